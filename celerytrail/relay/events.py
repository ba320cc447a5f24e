"""Splits a stream's bytes into complete events and reads their ids."""

from __future__ import annotations

import re
from dataclasses import dataclass

_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
_END = re.compile(rb"\r?\n\r?\n")
# An event larger than this is invalid, in bytes.
MAX_EVENT_BYTES = 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamEvent:
    """One complete event as received, and its id if it has one."""

    data: bytes
    event_id: str | None

    @property
    def number(self) -> int | None:
        """Return the id as a number, or None if it isn't one."""
        if self.event_id is None or not self.event_id.isdigit():
            return None
        return int(self.event_id)


class EventSplitter:
    """Buffers bytes until they form a complete event.

    An engine may fail in the middle of an event. If a partial event were relayed, the
    event couldn't be sent again in full when the stream resumes elsewhere.
    """

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        self._buffer += data
        events: list[StreamEvent] = []
        while True:
            end = _END.search(self._buffer)
            if end is None:
                return events
            event, self._buffer = self._buffer[: end.end()], self._buffer[end.end() :]
            match = _ID.search(event)
            event_id = match[1].decode("latin-1").strip() if match else None
            events.append(StreamEvent(data=event, event_id=event_id))

    @property
    def is_empty(self) -> bool:
        """Return whether the buffer holds no partial event."""
        return not self._buffer

    def clear(self) -> None:
        """Discard a partial event that won't be completed."""
        self._buffer = b""
