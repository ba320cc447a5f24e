"""The queue of news that a node still has to pass on."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from .wire import Item, encode_item

# Each node passes an item on to ln(n) + 3 others. A node then misses it with
# probability e^-(ln(n) + 3) = 0.05 / n, and what was missed is mended by the version
# in every datagram and by the digests.
EXTRA_SENDS = 3


@dataclass(kw_only=True, slots=True)
class _Waiting:
    raw: msgspec.Raw
    n_sent: int = 0


class NewsQueue:
    """News by subject; newer news of a subject replaces older."""

    def __init__(self) -> None:
        self._waiting: dict[tuple[str, str], _Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, subject: tuple[str, str], item: Item) -> None:
        """Queue an item, in place of what was queued of its subject."""
        self._waiting[subject] = _Waiting(raw=encode_item(item))

    def pack(
        self, first: Sequence[Item], max_bytes: int, n_members: int
    ) -> list[msgspec.Raw]:
        """Return what goes into one datagram: items for its receiver, then news."""
        packed = []
        room = max_bytes
        for item in first:
            raw = encode_item(item)
            if len(memoryview(raw)) <= room:
                room -= len(memoryview(raw))
                packed.append(raw)
        return packed + self.take(room, n_members)

    def take(self, max_bytes: int, n_members: int) -> list[msgspec.Raw]:
        """Return items for one datagram, the least often sent first.

        Parameters
        ----------
        max_bytes : int
            Room in the datagram.
        n_members : int
            How many nodes there are; decides when an item has been sent enough.
        """
        if not self._waiting:
            return []
        max_sends = math.ceil(math.log(n_members + 1)) + EXTRA_SENDS
        taken = []
        room = max_bytes
        ordered = sorted(self._waiting.items(), key=lambda pair: pair[1].n_sent)
        for subject, waiting in ordered:
            size = len(memoryview(waiting.raw))
            if size > room:
                continue
            room -= size
            taken.append(waiting.raw)
            waiting.n_sent += 1
            if waiting.n_sent >= max_sends:
                del self._waiting[subject]
        return taken
