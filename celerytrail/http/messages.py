"""HTTP/1.1 on h11 and an asyncio transport: the parts shared by server and client."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

import h11
import msgspec
from eliot import log_message

from ..exceptions import ConnectionClosedError, PeerError
from .carriedids import CarriedIds

REQUEST_ID_HEADER = "x-request-id"
JSON_TYPE = "application/json"
MAX_HEAD_BYTES = 16 * 1024
READ_AHEAD_BYTES = 64 * 1024
RECEIVE_BYTES = 64 * 1024
# How long events are still returned after the deadline, in seconds: what has arrived by
# then is read, but a peer that never stops sending must not keep a reader for ever.
LATE_SECONDS = 0.1
# h11 may keep the closing line break of a chunk whose data it has returned.
CHUNK_TAIL_BYTES = 2

# All connections receive into this one buffer: there is one loop on one thread, and
# the received bytes are copied before the next call. Without it asyncio allocates
# 256 KiB for each read, which costs more than the rest of relaying a token.
receive_buffer = memoryview(bytearray(RECEIVE_BYTES))

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """Holds a complete request as the server received it.

    Parameters
    ----------
    method : str
        The method, in capitals.
    path : str
        The path without its query, still percent-encoded.
    query : str
        The part after the question mark; may be empty.
    has_query : bool
        Whether there is a question mark; the part after it may be empty.
    headers : Mapping
        Names in lower case to values; repeated headers joined by a comma.
    body : bytes
        The whole body.
    peer : str
        The peer's IP address and port, for the log.
    raw_headers : Headers
        The headers as received, in order, for forwarding.
    """

    method: str
    path: str
    query: str = ""
    has_query: bool = False
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    peer: str = ""
    raw_headers: Headers = field(default_factory=list)


@dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """Holds a complete response as the client received it."""

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
    """Convert h11's header list to a map, joining repeated headers by a comma."""
    joined: dict[str, str] = {}
    for raw_name, raw_value in headers:
        name = raw_name.decode("ascii", "replace").lower()
        value = raw_value.decode("latin-1")
        joined[name] = f"{joined[name]}, {value}" if name in joined else value
    return joined


def header_list(headers: Mapping[str, str]) -> Headers:
    """Convert a map of headers to h11's header list."""
    return [
        (name.encode("ascii"), value.encode("latin-1"))
        for name, value in headers.items()
    ]


class Connection(asyncio.Protocol, asyncio.BufferedProtocol):
    """Connects h11 to an asyncio transport; read by one task at a time.

    Reading pauses while more than `READ_AHEAD_BYTES` are unread, so that a sender that
    is faster than our reading task fills its own buffers and not our memory.

    Parameters
    ----------
    role : type
        ``h11.CLIENT`` or ``h11.SERVER``.
    max_head_bytes : int
        Limit on the size of a head; a larger one is a protocol error.
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
        self._is_closed_here = False
        self._is_transport_closed = False
        # Whether it must not be used for another exchange.
        self.is_retired = False
        # Whether it waits for its next exchange, in a client's pool or reserved.
        self.is_pooled = False
        # A client's number for it, and the exchanges that it has carried.
        self.number = 0
        self.n_exchanges = 0
        self.carried = CarriedIds()
        # Loop time at which bytes last arrived, or the connection was made.
        self.received_at = 0.0
        self.n_received_bytes = 0
        self._n_unread = 0
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._is_write_paused = False
        self._is_discarding = False
        self._is_after_chunk = False
        self._deadline: float | None = None
        self._late_until: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self.lost: asyncio.Future[None] = self._loop.create_future()

    # Called by the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.received_at = self._loop.time()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to receive into."""
        return receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes received into the buffer."""
        self.data_received(bytes(receive_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass bytes to h11 and wake the reading task."""
        self.received_at = self._loop.time()
        self.n_received_bytes += len(data)
        if self._is_discarding:
            return
        if self.is_pooled:
            # No request is waiting for these bytes, and the next one must not get them.
            log_message("http:unrequested_bytes", peer=self.peer, n_bytes=len(data))
            self.is_retired = True
            self.abort()
            return
        self.h11.receive_data(data)
        self._n_unread += len(data)
        if self._n_unread > READ_AHEAD_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self._wake(self._read_waiter)

    def eof_received(self) -> bool:
        """Record that the peer sends no more bytes."""
        self.is_eof = True
        self.h11.receive_data(b"")
        self._wake(self._read_waiter)
        self._mark_lost()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is closed and wake the waiting tasks."""
        # A body without a length ends with its connection. Only the peer's own close is
        # that end; asyncio reports it by `eof_received`, and no exception here also
        # after this process has closed the connection.
        self.is_eof = True
        self._is_transport_closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._mark_lost()
        self._wake(self._read_waiter)
        self._wake(self._write_waiter)

    def pause_writing(self) -> None:
        """Record that the write buffer is full, as the peer reads too slowly."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Wake the writing task."""
        self._is_write_paused = False
        self._wake(self._write_waiter)

    # Called by tasks.

    @property
    def peer(self) -> str:
        """Return the peer's address, for logs."""
        if self.transport is None:
            return "?"
        name = self.transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if name else "?"

    def peek_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event without waiting, or ``h11.NEED_DATA``.

        Raises
        ------
        PeerError
            When the peer broke the protocol.
        """
        try:
            event = self.h11.next_event()
        except h11.RemoteProtocolError as exc:
            raise PeerError(str(exc)) from exc
        if event is h11.NEED_DATA:
            self.mark_all_read()
        self._is_after_chunk = isinstance(event, h11.Data) and event.chunk_end
        return event

    async def next_event(self, deadline: float | None = None) -> h11.Event:
        """Return the next event, waiting for it until ``deadline`` (loop time).

        Raises
        ------
        PeerError
            When the peer broke the protocol or closed in the middle of a message.
        ConnectionClosedError
            When this process has closed the connection, whether this task waited then
            or not.
        TimeoutError
            When the deadline passed.
        """
        while True:
            if deadline is not None:
                self._check_late(deadline)
            if self._is_empty_after_chunk():
                self.mark_all_read()
            else:
                event = self.peek_event()
                if event is h11.PAUSED:
                    raise PeerError("the other end sent more than one exchange at once")
                if event is not h11.NEED_DATA:
                    return event  # type: ignore[return-value]
            if self._is_closed_here:
                raise ConnectionClosedError("this process closed the connection")
            if self.is_eof:
                raise PeerError("the connection was closed in the middle")
            await self._wait_for_data(deadline)

    def send(self, event: h11.Event) -> None:
        """Write one event; drop its bytes if the connection is closed."""
        data = self.h11.send(event)
        if data and self.transport is not None and not self.is_lost:
            self.transport.write(data)

    @property
    def reads_chunks(self) -> bool:
        """Return whether the peer knows the chunked transfer coding (HTTP/1.1)."""
        version = self.h11.their_http_version
        return version is None or version >= b"1.1"

    @property
    def is_idle(self) -> bool:
        """Return whether no byte of a next message has arrived."""
        return self.h11.their_state is h11.IDLE and not self.h11.trailing_data[0]

    @property
    def must_drain(self) -> bool:
        """Return whether `drain` would wait or raise."""
        return self._is_write_paused or self.is_lost

    async def drain(self, deadline: float | None = None) -> None:
        """Wait until the peer has read enough for more to be written.

        Raises
        ------
        PeerError
            When the connection is closed.
        TimeoutError
            When the deadline passed.
        """
        while self._is_write_paused and not self.is_lost:
            self._write_waiter = self._loop.create_future()
            try:
                async with asyncio.timeout_at(deadline):
                    await self._write_waiter
            finally:
                self._write_waiter = None
        if self.is_lost:
            raise PeerError("the connection is gone")

    async def linger(self, deadline: float) -> None:
        """Discard received bytes until the peer closes or ``deadline`` passes.

        Closing with unread bytes resets the connection, and the reset can discard the
        answer that states the reason before the peer has read it.
        """
        self._is_discarding = True
        if self.transport is None or self.is_lost:
            return
        self.transport.resume_reading()
        self.transport.write_eof()
        await asyncio.wait([self.lost], timeout=deadline - self._loop.time())

    def close(self) -> None:
        """Close once all written bytes have been sent."""
        self._is_closed_here = True
        if self.transport is not None and not self._is_transport_closed:
            self.transport.close()

    def abort(self) -> None:
        """Close at once, dropping unsent bytes."""
        self._is_closed_here = True
        # asyncio raises an error in `abort` if the transport was closed at the peer's
        # end of data and had bytes to send then.
        if self.transport is not None and not self._is_transport_closed:
            self.transport.abort()

    def _check_late(self, deadline: float) -> None:
        """Raise TimeoutError once bytes have gone on for a while after the deadline."""
        now = self._loop.time()
        if now < deadline:
            self._late_until = None
        elif self._late_until is None:
            self._late_until = now + LATE_SECONDS
        elif now >= self._late_until:
            raise TimeoutError

    async def _wait_for_data(self, deadline: float | None) -> None:
        """Wait until bytes arrive, or raise TimeoutError at the deadline.

        One timer serves many waits: it is rescheduled only when it fires or when a wait
        has an earlier deadline. A separate timer for each token would cost more than
        the token, as the deadline is hardly ever reached.
        """
        self._read_waiter = self._loop.create_future()
        self._deadline = deadline
        if deadline is not None:
            if self._timer is None:
                self._timer = self._loop.call_at(deadline, self._on_timer, deadline)
            elif self._timer.when() > deadline:
                self._timer.cancel()
                self._timer = self._loop.call_at(deadline, self._on_timer, deadline)
        try:
            await self._read_waiter
        finally:
            self._read_waiter = None
            self._deadline = None

    def _on_timer(self, fired_at: float) -> None:
        self._timer = None
        read_waiter, deadline = self._read_waiter, self._deadline
        if read_waiter is None or deadline is None or read_waiter.done():
            return
        if deadline > fired_at:
            self._timer = self._loop.call_at(deadline, self._on_timer, deadline)
        else:
            read_waiter.set_exception(TimeoutError())

    def _is_empty_after_chunk(self) -> bool:
        """Return whether h11 certainly has no further event, to avoid calling it."""
        if not self._is_after_chunk:
            return False
        unread, is_closed = self.h11.trailing_data
        return len(unread) <= CHUNK_TAIL_BYTES and not is_closed

    def mark_all_read(self) -> None:
        """Record that nothing is unread, so that more may be received."""
        if self._n_unread:
            self._n_unread = 0
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def _mark_lost(self) -> None:
        self.is_lost = True
        if not self.lost.done():
            self.lost.set_result(None)

    @staticmethod
    def _wake(fut: asyncio.Future[None] | None) -> None:
        if fut is not None and not fut.done():
            fut.set_result(None)
