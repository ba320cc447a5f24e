"""Who watches whom: each node watches its successor in each of several rings."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from .member import Member, State

N_RINGS = 3
# While members of a ring are suspected, the ones after them are watched as well; the
# bound keeps a node that is itself cut off from probing everyone at once.
MAX_WATCHED_PER_RING = 4


class Rings:
    """Members in the order of hashes of their names, one order for each ring.

    Every member is then watched by up to `N_RINGS` others, always the same ones, so
    that the time until somebody probes a dead one is bounded by the probe period. With
    targets drawn at random it has a long tail: after k periods nobody has probed it
    with probability e^-k.

    Parameters
    ----------
    node : str
        The node that watches.
    """

    def __init__(self, *, node: str) -> None:
        self._node = node
        self._keys: dict[str, tuple[int, ...]] = {}
        self._own = _ring_keys(node)

    def watched(self, members: Iterable[Member]) -> list[str]:
        """Return the names of the members that this node has to watch."""
        others = {
            member.node: member
            for member in members
            if member.state is not State.DEAD and member.node != self._node
        }
        for name in self._keys.keys() - others.keys():
            del self._keys[name]
        for name in others:
            if name not in self._keys:
                self._keys[name] = _ring_keys(name)
        found: list[str] = []
        for ring in range(N_RINGS):
            found += self._watched_in(ring, others, found)
        return found

    def _watched_in(
        self, ring: int, others: dict[str, Member], found: list[str]
    ) -> list[str]:
        own = self._own[ring]
        ordered = sorted(
            others, key=lambda name: (self._keys[name][ring] - own) % 2**64
        )
        watched = []
        for name in ordered:
            if name in found:
                continue
            watched.append(name)
            is_suspect = others[name].state is State.SUSPECT
            if not is_suspect or len(watched) >= MAX_WATCHED_PER_RING:
                break
        return watched


def _ring_keys(name: str) -> tuple[int, ...]:
    digest = hashlib.blake2b(name.encode(), digest_size=8 * N_RINGS).digest()
    return tuple(
        int.from_bytes(digest[start : start + 8], "big")
        for start in range(0, len(digest), 8)
    )
