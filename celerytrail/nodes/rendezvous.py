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


def first(key: str, nodes: Iterable[str]) -> str:
    """Return the first node in the order for a key, its home."""
    return max(nodes, key=lambda node: (_weight(key, node), node))


def _weight(key: str, node: str) -> bytes:
    # The length of the key goes first, so that no two pairs give the same text.
    text = f"{len(key)} {key} {node}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
