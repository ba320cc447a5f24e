"""Order in which nodes become readers, which follow the store for all others.

The load pattern: a change of several hundred kilobytes passes from the store to one
reader, on to a few more, and from each to dozens of followers, within a few seconds.
Links of one deployment differ twentyfold.
"""

from __future__ import annotations

import abc
from collections.abc import Sequence
from dataclasses import dataclass

# A node qualifies as a reader if its link has at least this share of the bandwidth of
# the fastest one.
FAST_SHARE = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A node that may become a reader; ``link_mbps`` is 0 if its link is unknown."""

    node: str
    failure_domain: str
    link_mbps: float = 0.0


class ReaderOrder(abc.ABC):
    """Order in which nodes become readers."""

    @abc.abstractmethod
    def arrange(self, candidates: Sequence[Candidate]) -> list[str]:
        """Return the names of the nodes; the first ones are the readers.

        Parameters
        ----------
        candidates : sequence of Candidate
            The live nodes in the order of a hash, the same at all nodes.
        """


class FastLinkOrder(ReaderOrder):
    """Prefers fast links, and begins with one node of each failure domain.

    A reader sends each change to all of its followers. With a reader in each domain,
    most of these bytes stay within it.
    """

    def arrange(self, candidates: Sequence[Candidate]) -> list[str]:
        """Return the names of the nodes; the first ones are the readers."""
        fastest = max((candidate.link_mbps for candidate in candidates), default=0.0)
        ordered = sorted(
            candidates,
            key=lambda candidate: candidate.link_mbps < FAST_SHARE * fastest,
        )
        first_of_domain: dict[str, Candidate] = {}
        for candidate in ordered:
            if candidate.link_mbps >= FAST_SHARE * fastest:
                first_of_domain.setdefault(candidate.failure_domain, candidate)
        firsts = list(first_of_domain.values())
        rest = [candidate for candidate in ordered if candidate not in firsts]
        return [candidate.node for candidate in (*firsts, *rest)]
