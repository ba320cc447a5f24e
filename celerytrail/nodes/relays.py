"""Pings that this node makes for others, who could not reach the target."""

from __future__ import annotations

from dataclasses import dataclass

from ..types import Address

# A relayed ping that is not answered is forgotten after this, in seconds.
RELAY_SECONDS = 2.0
MAX_RELAYED = 1_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Relayed:
    """One ping made for another node.

    Parameters
    ----------
    address : Address
        Where the other node waits for the acknowledgement.
    node : str
        Its name.
    sequence : int
        The number by which it knows its own ping.
    forget_at : float
        Monotonic time.
    """

    address: Address
    node: str
    sequence: int
    forget_at: float


class Relays:
    """The relayed pings that are not yet answered, by this node's own numbers."""

    def __init__(self) -> None:
        self._waiting: dict[int, Relayed] = {}

    @property
    def is_full(self) -> bool:
        """Return whether no more can be taken on."""
        return len(self._waiting) >= MAX_RELAYED

    def put(self, sequence: int, relayed: Relayed) -> None:
        """Remember for whom a ping is made."""
        self._waiting[sequence] = relayed

    def take(self, sequence: int) -> Relayed | None:
        """Return for whom an acknowledged ping was made, once."""
        return self._waiting.pop(sequence, None)

    def forget(self, now: float) -> None:
        """Forget the pings that nobody acknowledged."""
        for sequence, relayed in list(self._waiting.items()):
            if now >= relayed.forget_at:
                del self._waiting[sequence]
