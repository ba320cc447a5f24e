"""Splits a stream's bytes into complete events and reads their ids."""

from __future__ import annotations

import re
from dataclasses import dataclass

_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
_END = re.compile(rb"\r?\n\r?\n")
# Longest end of an event without its last byte.
_END_BYTES = 3
# An event larger than this is invalid, in bytes, and so are more comments in a row.
MAX_EVENT_BYTES = 128 * 1024


# Longer ids aren't numbers of events.
MAX_NUMBER_DIGITS = 18


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamEvent:
    """One complete event as received, and its id if it has one.

    ``is_comment`` says that it has no fields: receivers ignore it.
    """

    data: bytes
    event_id: str | None
    is_comment: bool = False

    @property
    def number(self) -> int | None:
        """Return the id as a number, or None if it isn't one."""
        text = self.event_id
        if text is None or not text.isascii() or not text.isdigit():
            return None
        return int(text) if len(text) <= MAX_NUMBER_DIGITS else None


class EventSplitter:
    """Buffers bytes until they form a complete event.

    An engine may fail in the middle of an event. If a partial event were relayed, the
    event couldn't be sent again in full when the stream resumes elsewhere.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Bytes of the buffer that were searched for an end.
        self._n_searched = 0
        self._n_comment_bytes = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        self._buffer += data
        events: list[StreamEvent] = []
        begin = 0
        while True:
            end = _END.search(self._buffer, max(begin, self._n_searched - _END_BYTES))
            if end is None:
                break
            event = _make_event(bytes(self._buffer[begin : end.end()]))
            self._count_comment(event)
            events.append(event)
            begin = self._n_searched = end.end()
        del self._buffer[:begin]
        self._n_searched = len(self._buffer)
        return events

    @property
    def is_empty(self) -> bool:
        """Return whether the buffer holds no partial event."""
        return not self._buffer

    @property
    def is_overlong(self) -> bool:
        """Return whether so many bytes hold no event that the stream is invalid."""
        return max(len(self._buffer), self._n_comment_bytes) > MAX_EVENT_BYTES

    def clear(self) -> None:
        """Discard a partial event that won't be completed."""
        self._buffer.clear()
        self._n_searched = self._n_comment_bytes = 0

    def _count_comment(self, event: StreamEvent) -> None:
        if event.is_comment:
            self._n_comment_bytes += len(event.data)
        else:
            self._n_comment_bytes = 0


def _make_event(data: bytes) -> StreamEvent:
    match = _ID.search(data)
    event_id = match[1].decode("latin-1").strip() if match else None
    lines = data.splitlines() if data.startswith((b":", b"\r", b"\n")) else ()
    is_comment = bool(lines) and all(line[:1] in (b"", b":") for line in lines)
    return StreamEvent(data=data, event_id=event_id, is_comment=is_comment)
