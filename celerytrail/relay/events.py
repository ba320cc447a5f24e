"""Splits a stream's bytes into whole events and reads their ids."""

from __future__ import annotations

import re
from dataclasses import dataclass

_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
_END = re.compile(rb"\r?\n\r?\n")
# An event larger than this is no event, in bytes.
MAX_EVENT_BYTES = 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamEvent:
    """One whole event as it came, and its id where it has one."""

    data: bytes
    event_id: str | None

    @property
    def number(self) -> int | None:
        """Return the id as a number, None where it is not one."""
        if self.event_id is None or not self.event_id.isdigit():
            return None
        return int(self.event_id)


class EventSplitter:
    """Holds back what is not yet a whole event.

    An engine may die in the middle of an event. Were the first half passed on, the
    event could not be sent again whole when the stream goes on elsewhere.
    """

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes and return the events that they complete."""
        self._rest += data
        events: list[StreamEvent] = []
        while True:
            end = _END.search(self._rest)
            if end is None:
                return events
            whole, self._rest = self._rest[: end.end()], self._rest[end.end() :]
            found = _ID.search(whole)
            event_id = found[1].decode("latin-1").strip() if found else None
            events.append(StreamEvent(data=whole, event_id=event_id))

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is held back."""
        return not self._rest

    def clear(self) -> None:
        """Drop the piece of an event that will never be whole."""
        self._rest = b""
