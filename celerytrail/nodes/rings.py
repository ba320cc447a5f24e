"""Choice of probe targets: each node probes its successor in each of several rings."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from .member import Member, State

N_RINGS = 3
# While members of a ring are suspected, their successors are probed as well. The bound
# keeps a node that is itself partitioned from probing all members at once.
MAX_TARGETS_PER_RING = 4


class ProbeRings:
    """Orders members by hashes of their names, with one order for each ring.

    Every member is probed by up to `N_RINGS` fixed others, so the time until a dead
    member is probed is bounded by the probe period. With random targets it has a long
    tail: the probability that no node has probed it after k periods is e^-k.

    Parameters
    ----------
    node : str
        The node that sends the probes.
    """

    def __init__(self, *, node: str) -> None:
        self._node = node
        self._keys: dict[str, tuple[int, ...]] = {}
        self._own = _ring_keys(node)

    def probe_targets(self, members: Iterable[Member]) -> list[str]:
        """Return the names of the members that this node has to probe."""
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
        targets: list[str] = []
        for ring in range(N_RINGS):
            targets += self._targets_in_ring(ring, others, targets)
        return targets

    def _targets_in_ring(
        self, ring: int, others: dict[str, Member], targets: list[str]
    ) -> list[str]:
        own = self._own[ring]
        ordered = sorted(
            others, key=lambda name: (self._keys[name][ring] - own) % 2**64
        )
        ring_targets = []
        for name in ordered:
            if name in targets:
                continue
            ring_targets.append(name)
            is_suspect = others[name].state is State.SUSPECT
            if not is_suspect or len(ring_targets) >= MAX_TARGETS_PER_RING:
                break
        return ring_targets


def _ring_keys(name: str) -> tuple[int, ...]:
    digest = hashlib.blake2b(name.encode(), digest_size=8 * N_RINGS).digest()
    return tuple(
        int.from_bytes(digest[start : start + 8], "big")
        for start in range(0, len(digest), 8)
    )
