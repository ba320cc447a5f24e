"""Rendezvous hashing: ranks nodes for a key so that a change moves little.

References
----------
D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in their order for a key, the first one its home.

    A node that goes moves only the keys whose first it was; a node that comes takes
    only the keys whose first it becomes.
    """
    return sorted(nodes, key=lambda node: (_weight(key, node), node), reverse=True)


class Homes:
    """The first node in the order of each key, kept as nodes come and go.

    Ranking all nodes for all keys at each change would cost in proportion to both; a
    change of one node costs one weight a key.
    """

    def __init__(self) -> None:
        self._nodes: frozenset[str] = frozenset()
        self._homes: dict[str, str] = {}

    def set_nodes(self, nodes: Iterable[str]) -> None:
        """Set the nodes."""
        former, self._nodes = self._nodes, frozenset(nodes)
        came = sorted(self._nodes - former)
        for key, home in list(self._homes.items()):
            if home not in self._nodes:
                del self._homes[key]
            elif came:
                self._homes[key] = _first(key, (home, *came))

    def home(self, key: str) -> str | None:
        """Return the home of a key, None where there is no node."""
        found = self._homes.get(key)
        if found is None and self._nodes:
            found = self._homes[key] = _first(key, self._nodes)
        return found

    def keep(self, keys: Iterable[str]) -> None:
        """Forget all other keys."""
        kept = set(keys)
        self._homes = {key: home for key, home in self._homes.items() if key in kept}


def _first(key: str, nodes: Iterable[str]) -> str:
    return max(nodes, key=lambda node: (_weight(key, node), node))


def _weight(key: str, node: str) -> bytes:
    # The length of the key goes first, so that no two pairs give the same text.
    text = f"{len(key)} {key} {node}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
