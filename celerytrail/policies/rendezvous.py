"""Rendezvous hashing: ranks nodes for a key so that a change moves few keys.

References
----------
D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in their order for a key, its home first.

    Removing a node moves only the keys for which it was first. Adding a node moves only
    the keys for which it becomes first.
    """
    return sorted(nodes, key=lambda node: (_weight(key, node), node), reverse=True)


class RendezvousHomes:
    """Caches the first node in the order of each key and updates it incrementally.

    Ranking all nodes for all keys at each change would cost the product of their
    numbers. A change of one node costs about one weight per key.
    """

    def __init__(self) -> None:
        self._nodes: frozenset[str] = frozenset()
        self._homes: dict[str, str] = {}

    def set_nodes(self, nodes: Iterable[str]) -> None:
        """Set the nodes and update the homes of all cached keys."""
        former, self._nodes = self._nodes, frozenset(nodes)
        added = sorted(self._nodes - former)
        for key, home in list(self._homes.items()):
            if home not in self._nodes:
                del self._homes[key]
            elif added:
                self._homes[key] = _top_ranked(key, (home, *added))

    def home(self, key: str) -> str | None:
        """Return the home of a key, None where there are no nodes."""
        found = self._homes.get(key)
        if found is None and self._nodes:
            found = self._homes[key] = _top_ranked(key, self._nodes)
        return found

    def keep(self, keys: Iterable[str]) -> None:
        """Drop all keys but these."""
        kept_keys = set(keys)
        self._homes = {
            key: home for key, home in self._homes.items() if key in kept_keys
        }


def _top_ranked(key: str, nodes: Iterable[str]) -> str:
    return max(nodes, key=lambda node: (_weight(key, node), node))


def _weight(key: str, node: str) -> bytes:
    # The key's length comes first, so that no two pairs give the same text.
    text = f"{len(key)} {key} {node}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
