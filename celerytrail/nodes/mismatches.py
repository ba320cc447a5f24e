"""How long this node's digest and each peer's have differed without a change."""

from __future__ import annotations

from collections.abc import Container


class DigestMismatches:
    """Holds differing digests by peer, and since when neither of the two has changed.

    While updates propagate, digests differ and change. Only a pair that stays the same
    shows that an update was missed.
    """

    def __init__(self) -> None:
        self._unchanged_since: dict[str, tuple[int, int, float]] = {}

    def record(self, peer: str, own_digest: int, peer_digest: int, now: float) -> float:
        """Record a pair of digests and return for how many seconds it has differed."""
        if own_digest == peer_digest:
            self._unchanged_since.pop(peer, None)
            return 0.0
        former = self._unchanged_since.get(peer)
        if former is None or former[:2] != (own_digest, peer_digest):
            self._unchanged_since[peer] = (own_digest, peer_digest, now)
            return 0.0
        return now - former[2]

    def forget(self, peer: str) -> None:
        """Discard a peer's pair of digests, so that its time starts again."""
        self._unchanged_since.pop(peer, None)

    def keep(self, peers: Container[str]) -> None:
        """Drop all peers but these."""
        self._unchanged_since = {
            peer: pair for peer, pair in self._unchanged_since.items() if peer in peers
        }
