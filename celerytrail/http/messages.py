"""HTTP/1.1 by h11 on an asyncio transport: what server and client share."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

import h11
import msgspec

from ..exceptions import PeerError

REQUEST_ID_HEADER = "x-request-id"
JSON_TYPE = "application/json"
MAX_HEAD_BYTES = 16 * 1024
READ_AHEAD_BYTES = 64 * 1024
RECEIVE_BYTES = 64 * 1024
# What h11 may leave of a chunk that it has handed out: its closing line break.
CHUNK_TAIL_BYTES = 2

# All connections receive into this one buffer: there is one loop on one thread, and
# what came is copied out before the next call. Without it asyncio allocates 256 KiB
# for each read, which costs more than the rest of relaying a token.
_received = memoryview(bytearray(RECEIVE_BYTES))

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A whole request as the server received it.

    Parameters
    ----------
    method : str
        The method, in capitals.
    path : str
        The path without its query, still percent-encoded.
    query : str
        What stood behind the question mark; may be empty.
    headers : Mapping
        Names in lower case to values; repeated headers joined by a comma.
    body : bytes
        The whole body.
    peer : str
        The other end's IP number and port, for the log.
    raw_headers : Headers
        The headers as they came, in order, for whoever passes them on.
    """

    method: str
    path: str
    query: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    peer: str = ""
    raw_headers: Headers = field(default_factory=list)


@dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A whole response as the client received it."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> object:
        """Decode the body.

        Raises
        ------
        msgspec.DecodeError
            When the body is not JSON.
        """
        return msgspec.json.decode(self.body)


def header_map(headers: Headers) -> dict[str, str]:
    """Turn h11's header list into a map, joining repeated headers by a comma."""
    found: dict[str, str] = {}
    for raw_name, raw_value in headers:
        name = raw_name.decode("ascii", "replace").lower()
        value = raw_value.decode("latin-1")
        found[name] = f"{found[name]}, {value}" if name in found else value
    return found


def header_list(headers: Mapping[str, str]) -> Headers:
    """Turn a map of headers into the list that h11 takes."""
    return [
        (name.encode("ascii"), value.encode("latin-1"))
        for name, value in headers.items()
    ]


class Connection(asyncio.Protocol, asyncio.BufferedProtocol):
    """One h11 connection on one transport, read by one task at a time.

    Reading pauses while more than `READ_AHEAD_BYTES` wait to be taken, so that a fast
    sender before a slow reader fills its own buffers and not our memory.

    Parameters
    ----------
    role : type
        ``h11.CLIENT`` or ``h11.SERVER``.
    max_head_bytes : int
        The largest head that is read; a larger one is a protocol error.
    """

    def __init__(
        self,
        *,
        role: type[h11.CLIENT] | type[h11.SERVER],
        max_head_bytes: int = MAX_HEAD_BYTES,
    ) -> None:
        self.h11 = h11.Connection(role, max_incomplete_event_size=max_head_bytes)
        self.transport: asyncio.Transport | None = None
        self.request_id: str | None = None
        self.is_lost = False
        self.is_eof = False
        self._n_unread = 0
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._is_write_paused = False
        self._is_discarding = False
        self._is_after_chunk = False
        self._deadline: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self.lost: asyncio.Future[None] = self._loop.create_future()

    # What the transport calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to put bytes."""
        return _received

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that were put there."""
        self.data_received(bytes(_received[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Hand bytes to h11 and wake the reading task."""
        if self._is_discarding:
            return
        self.h11.receive_data(data)
        self._n_unread += len(data)
        if self._n_unread > READ_AHEAD_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self._wake(self._reader)

    def eof_received(self) -> bool:
        """Note that the other end will send no more."""
        self.is_eof = True
        self.h11.receive_data(b"")
        self._wake(self._reader)
        self._note_lost()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone and wake whoever waits on it."""
        if not self.is_eof:
            self.is_eof = True
            # A body without a length ends with its connection. Were a reset taken for
            # that end, a torn answer would look whole to its caller.
            if exc is None:
                self.h11.receive_data(b"")
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._note_lost()
        self._wake(self._reader)
        self._wake(self._writer)

    def pause_writing(self) -> None:
        """Note that the other end reads too slowly."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Let the writing task go on."""
        self._is_write_paused = False
        self._wake(self._writer)

    # What tasks call.

    @property
    def peer(self) -> str:
        """Return the other end's address, for logs."""
        if self.transport is None:
            return "?"
        name = self.transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if name else "?"

    def peek_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event without waiting, or ``h11.NEED_DATA``.

        Raises
        ------
        PeerError
            When the other end broke the protocol.
        """
        try:
            event = self.h11.next_event()
        except h11.RemoteProtocolError as exc:
            raise PeerError(str(exc)) from exc
        if event is h11.NEED_DATA:
            self._note_all_taken()
        self._is_after_chunk = isinstance(event, h11.Data) and event.chunk_end
        return event

    async def next_event(self, deadline: float | None = None) -> h11.Event:
        """Return the next event, waiting for it until ``deadline`` (loop time).

        Raises
        ------
        PeerError
            When the other end broke the protocol or left in the middle.
        TimeoutError
            When the deadline passed.
        """
        while True:
            if self._is_empty_after_chunk():
                self._note_all_taken()
            else:
                event = self.peek_event()
                if event is h11.PAUSED:
                    raise PeerError("the other end sent more than one exchange at once")
                if event is not h11.NEED_DATA:
                    return event  # type: ignore[return-value]
            if self.is_eof:
                raise PeerError("the connection was closed in the middle")
            await self._wait_for_data(deadline)

    def send(self, event: h11.Event) -> None:
        """Write one event; bytes for a connection that is gone are dropped."""
        data = self.h11.send(event)
        if data and self.transport is not None and not self.is_lost:
            self.transport.write(data)

    @property
    def is_untouched(self) -> bool:
        """Return whether no byte of a next message has come yet."""
        return self.h11.their_state is h11.IDLE and not self.h11.trailing_data[0]

    @property
    def must_drain(self) -> bool:
        """Return whether `drain` would wait or raise."""
        return self._is_write_paused or self.is_lost

    async def drain(self, deadline: float | None = None) -> None:
        """Wait until the other end has taken enough for more to be written.

        Raises
        ------
        PeerError
            When the connection is gone.
        TimeoutError
            When the deadline passed.
        """
        while self._is_write_paused and not self.is_lost:
            self._writer = self._loop.create_future()
            try:
                async with asyncio.timeout_at(deadline):
                    await self._writer
            finally:
                self._writer = None
        if self.is_lost:
            raise PeerError("the connection is gone")

    async def linger(self, deadline: float) -> None:
        """Discard what still comes until the other end closes or ``deadline``.

        Closing while unread bytes wait resets the connection, and the reset can
        destroy the answer that says why we close before the other end has read it.
        """
        self._is_discarding = True
        if self.transport is None or self.is_lost:
            return
        self.transport.resume_reading()
        self.transport.write_eof()
        await asyncio.wait([self.lost], timeout=deadline - self._loop.time())

    def close(self) -> None:
        """Close after what was written has gone out."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once, dropping what was not yet sent."""
        if self.transport is not None:
            self.transport.abort()

    async def _wait_for_data(self, deadline: float | None) -> None:
        """Wait until something came, or raise TimeoutError at the deadline.

        One timer stands for many waits: it is moved only when it fires or an earlier
        deadline comes. A timer of its own for each token would cost more than the
        token, as the deadline is hardly ever reached.
        """
        self._reader = self._loop.create_future()
        self._deadline = deadline
        if deadline is not None:
            if self._timer is None:
                self._timer = self._loop.call_at(deadline, self._on_timer, deadline)
            elif self._timer.when() > deadline:
                self._timer.cancel()
                self._timer = self._loop.call_at(deadline, self._on_timer, deadline)
        try:
            await self._reader
        finally:
            self._reader = None
            self._deadline = None

    def _on_timer(self, at: float) -> None:
        self._timer = None
        reader, deadline = self._reader, self._deadline
        if reader is None or deadline is None or reader.done():
            return
        if deadline > at:
            self._timer = self._loop.call_at(deadline, self._on_timer, deadline)
        else:
            reader.set_exception(TimeoutError())

    def _is_empty_after_chunk(self) -> bool:
        """Return whether h11 can have no further event, which spares asking it."""
        if not self._is_after_chunk:
            return False
        rest, is_closed = self.h11.trailing_data
        return len(rest) <= CHUNK_TAIL_BYTES and not is_closed

    def _note_all_taken(self) -> None:
        if self._n_unread:
            self._n_unread = 0
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def _note_lost(self) -> None:
        self.is_lost = True
        if not self.lost.done():
            self.lost.set_result(None)

    @staticmethod
    def _wake(fut: asyncio.Future[None] | None) -> None:
        if fut is not None and not fut.done():
            fut.set_result(None)
