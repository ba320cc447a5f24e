"""How long this node's digest and each peer's have stood apart."""

from __future__ import annotations

from collections.abc import Container


class Mismatches:
    """Differing digests by peer, and since when neither of the two has changed.

    While news is on its way digests differ and change; only a pair that stands still
    shows that something was missed.
    """

    def __init__(self) -> None:
        self._since: dict[str, tuple[int, int, float]] = {}

    def lasted(self, peer: str, own: int, other: int, now: float) -> float:
        """Return for how many seconds this pair of digests has stood apart."""
        if own == other:
            self._since.pop(peer, None)
            return 0.0
        former = self._since.get(peer)
        if former is None or former[:2] != (own, other):
            self._since[peer] = (own, other, now)
            return 0.0
        return now - former[2]

    def forget(self, peer: str) -> None:
        """Begin anew with a peer."""
        self._since.pop(peer, None)

    def keep(self, peers: Container[str]) -> None:
        """Forget all but these peers."""
        self._since = {
            peer: pair for peer, pair in self._since.items() if peer in peers
        }
