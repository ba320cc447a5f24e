"""The queue of updates that a node has yet to pass on."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from .wire import Update, encode_update

# Each node sends an update to ln(n) + 3 others. A node then misses it with probability
# e^-(ln(n) + 3) = 0.05 / n. The newest version in each datagram's header and the
# comparison of digests repair a missed update.
EXTRA_SENDS = 3


@dataclass(kw_only=True, slots=True)
class _QueuedUpdate:
    raw: msgspec.Raw
    n_sent: int = 0


class UpdateQueue:
    """Holds one update for each subject; a newer one replaces the older."""

    def __init__(self) -> None:
        self._queued: dict[tuple[str, str], _QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def put(self, subject: tuple[str, str], update: Update) -> None:
        """Queue an update in place of any other of its subject."""
        self._queued[subject] = _QueuedUpdate(raw=encode_update(update))

    def pack(
        self, direct: Sequence[Update], max_bytes: int, n_members: int
    ) -> list[msgspec.Raw]:
        """Return the updates for one datagram: those for its receiver, then queued."""
        packed = []
        free_bytes = max_bytes
        for update in direct:
            raw = encode_update(update)
            if len(memoryview(raw)) <= free_bytes:
                free_bytes -= len(memoryview(raw))
                packed.append(raw)
        return packed + self.take(free_bytes, n_members)

    def take(self, max_bytes: int, n_members: int) -> list[msgspec.Raw]:
        """Return queued updates for one datagram, the least often sent first.

        Parameters
        ----------
        max_bytes : int
            Free space in the datagram.
        n_members : int
            Number of members; determines how often an update is sent.
        """
        if not self._queued:
            return []
        max_sends = math.ceil(math.log(n_members + 1)) + EXTRA_SENDS
        taken = []
        free_bytes = max_bytes
        ordered = sorted(self._queued.items(), key=lambda pair: pair[1].n_sent)
        for subject, queued in ordered:
            n_bytes = len(memoryview(queued.raw))
            if n_bytes > free_bytes:
                continue
            free_bytes -= n_bytes
            taken.append(queued.raw)
            queued.n_sent += 1
            if queued.n_sent >= max_sends:
                del self._queued[subject]
        return taken
