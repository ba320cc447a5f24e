"""Indirect probes: pings sent for other nodes that could not reach the target."""

from __future__ import annotations

from dataclasses import dataclass

from ..types import Address

# A relayed ping without an acknowledgement is dropped after this time.
RELAY_TIMEOUT_SECONDS = 2.0
MAX_RELAYED = 1_000


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayedPing:
    """A ping sent for another node.

    Parameters
    ----------
    address : Address
        Where to forward the acknowledgement.
    node : str
        The other node's name.
    sequence : int
        The sequence number of the other node's own ping.
    forget_at : float
        Monotonic time at which it is dropped.
    """

    address: Address
    node: str
    sequence: int
    forget_at: float


class RelayedPings:
    """Holds the unacknowledged relayed pings by this node's own sequence numbers."""

    def __init__(self) -> None:
        self._pending: dict[int, RelayedPing] = {}

    @property
    def is_full(self) -> bool:
        """Return whether no further ping can be relayed."""
        return len(self._pending) >= MAX_RELAYED

    def put(self, sequence: int, relayed: RelayedPing) -> None:
        """Store the relayed ping of a sequence number."""
        self._pending[sequence] = relayed

    def take(self, sequence: int) -> RelayedPing | None:
        """Remove and return an acknowledged ping, None where there is none."""
        return self._pending.pop(sequence, None)

    def expire(self, now: float) -> None:
        """Drop the pings that were not acknowledged in time."""
        for sequence, relayed in list(self._pending.items()):
            if now >= relayed.forget_at:
                del self._pending[sequence]
