"""Choice of the nodes through which a node reaches an endpoint that it can't reach.

The load pattern: half of the nodes, a failure domain, or all but two lose the path to
all endpoints at the same moment, and each sends its requests through the rest.
"""

from __future__ import annotations

import abc
import random
from collections.abc import Iterator, Sequence
from typing import Protocol, TypeVar


class Peer(Protocol):
    """A node, as far as its choice depends on it."""

    @property
    def failure_domain(self) -> str:
        """Return the failure domain in which it runs."""


M = TypeVar("M", bound=Peer)


class PeerChoice(abc.ABC):
    """Orders the nodes through which an endpoint may be reached."""

    @abc.abstractmethod
    def order(self, members: Sequence[M], n_most: int) -> Iterator[M]:
        """Yield the nodes to try, the preferred one first."""


class DomainPeers(PeerChoice):
    """Prefers a node of one failure domain, then nodes of others, all at random.

    Bytes that stay within a failure domain cost least. A whole domain may have lost the
    path, so that only the first node is taken from it.

    Parameters
    ----------
    failure_domain : str
        The failure domain of this node.
    rng : random.Random
        Spreads the requests over the nodes.
    """

    def __init__(self, *, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng

    def order(self, members: Sequence[M], n_most: int) -> Iterator[M]:
        """Yield the nodes to try, the preferred one first."""
        near = [m for m in members if m.failure_domain == self._failure_domain]
        far = [m for m in members if m.failure_domain != self._failure_domain]
        self._rng.shuffle(near)
        self._rng.shuffle(far)
        yield from (near[:1] + far + near[1:])[:n_most]
