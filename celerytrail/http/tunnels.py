"""Tunnels: connections to a peer that continue as connections to another process.

A node opens one by an HTTP upgrade (RFC 9110, section 7.8). From then on the peer
passes the bytes on in both directions.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Mapping
from typing import TypeVar

import h11
from eliot import log_message

from ..exceptions import PeerError
from ..types import Address
from .messages import Connection, header_list, header_map, receive_buffer
from .network import Network

P = TypeVar("P", bound=asyncio.BaseProtocol)

PROTOCOL_NAME = "celerytrail-tunnel"
UPGRADE_HEADERS = {"connection": "upgrade", "upgrade": PROTOCOL_NAME}
# In the peer's answer: the bytes that follow the other process's last ones.
END_HEADER = "x-tunnel-end"
N_END_BYTES = 16
# The end begins with a byte that no UTF-8 text contains, so that hardly any answer's
# last bytes look like its beginning.
END_PREFIX = b"\xff"
_ANY_HOST = [("host", "endpoint")]
# How long bytes are held with which the end may begin, in seconds.
HOLD_SECONDS = 0.02


class TunnelRefusedError(OSError):
    """Raised when a peer can't make the connection; ``reason`` says why."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class _Receiver(asyncio.Protocol, asyncio.BufferedProtocol):
    """Receives into the buffer that all connections share."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to receive into."""
        return receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes received into the buffer."""
        self.data_received(bytes(receive_buffer[:nbytes]))


class Pipe(_Receiver):
    """One of two connected ends, each of which writes what the other one receives.

    Parameters
    ----------
    end : bytes
        Written to the other end behind the last bytes of a connection that was closed
        properly.
    """

    def __init__(self, *, end: bytes = b"") -> None:
        self._end = end
        self._other: Pipe | None = None
        self._has_ended = False
        self._transport: asyncio.Transport | None = None
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def join(self, other: Pipe) -> None:
        """Connect the two ends."""
        self._other, other._other = other, self

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Write the bytes to the other end."""
        other = self._other
        if other is not None and not other.closed.done() and other._transport:
            other._transport.write(data)

    def eof_received(self) -> bool:
        """Close both ends behind what was received."""
        self._has_ended = True
        self._close_other()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other end, as after a reset if the connection had no end."""
        if self._other is not None and not self._has_ended:
            self._other.abort()
        if not self.closed.done():
            self.closed.set_result(None)

    def pause_writing(self) -> None:
        """Receive nothing at the other end while this one can't write it."""
        if self._other is not None and self._other._transport is not None:
            self._other._transport.pause_reading()

    def resume_writing(self) -> None:
        """Receive at the other end again."""
        if self._other is not None and self._other._transport is not None:
            self._other._transport.resume_reading()

    def abort(self) -> None:
        """Close this end at once."""
        if self._transport is not None and not self.closed.done():
            self._transport.abort()

    def _close_other(self) -> None:
        other = self._other
        if other is None or other._transport is None or other._transport.is_closing():
            return
        if self._end:
            other._transport.write(self._end)
        other._transport.close()


class AnswerPipe(Pipe):
    """A pipe to a process that answers one request; reads the answer's head.

    Parameters
    ----------
    end : bytes
        See `Pipe`.
    on_head : callable
        Called with the status and the headers of the answer.
    """

    def __init__(
        self, *, end: bytes, on_head: Callable[[int, Mapping[str, str]], None]
    ) -> None:
        super().__init__(end=end)
        self._on_head = on_head
        self._reader: h11.Connection | None = h11.Connection(h11.CLIENT)
        # h11 reads an answer only after a request.
        self._reader.send(h11.Request(method="GET", target="/", headers=_ANY_HOST))
        self._reader.send(h11.EndOfMessage())

    def data_received(self, data: bytes) -> None:
        """Write the bytes to the other end, and look for the head in them."""
        if self._reader is not None:
            self._read_head(self._reader, data)
        super().data_received(data)

    def _read_head(self, reader: h11.Connection, data: bytes) -> None:
        reader.receive_data(data)
        try:
            event = reader.next_event()
            while isinstance(event, h11.InformationalResponse):
                event = reader.next_event()
        except h11.RemoteProtocolError as exc:
            # The node that asked reads the answer too, and refuses it.
            log_message("tunnel:unreadable", problem=str(exc))
            self._reader = None
            return
        if event is h11.NEED_DATA:
            return
        self._reader = None
        if isinstance(event, h11.Response):
            self._on_head(event.status_code, header_map(list(event.headers)))


class _TunnelEnd(_Receiver):
    """Passes what arrives through a tunnel to the protocol of a connection.

    If the peer dies, its system closes the tunnel as if the process at the other end
    had done so. Only the end bytes show that this one did, and the answer is complete.
    """

    def __init__(self, *, inner: asyncio.Protocol, end: bytes) -> None:
        self._inner = inner
        self._end = end
        # Received bytes with which the end may begin.
        self._held = b""
        self._release_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._is_over = False

    def attach(self, transport: asyncio.Transport) -> None:
        """Take over a transport."""
        self._transport = transport
        transport.set_protocol(self)
        self._inner.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Pass on all bytes but those with which the end may begin."""
        data = self._held + data
        n_held = _n_common(data, self._end)
        self._held = data[len(data) - n_held :]
        if self._release_timer is not None:
            self._release_timer.cancel()
            self._release_timer = None
        if 0 < n_held < len(self._end):
            loop = asyncio.get_running_loop()
            self._release_timer = loop.call_later(HOLD_SECONDS, self._release_held)
        if n_held < len(data):
            self._inner.data_received(data[: len(data) - n_held])

    def _release_held(self) -> None:
        """Pass on what didn't turn out to be the end."""
        held, self._held = self._held, b""
        self._inner.data_received(held)

    def eof_received(self) -> bool:
        """Pass on the end of the connection; without the end bytes, as a reset."""
        if self._held == self._end:
            self._is_over = True
            return bool(self._inner.eof_received())
        if self._transport is not None:
            self._transport.abort()
        self._lose(ConnectionResetError("the tunnel broke"))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on the loss of the connection."""
        if exc is None and not self._is_over and self._held != self._end:
            exc = ConnectionResetError("the tunnel broke")
        self._lose(exc)

    def pause_writing(self) -> None:
        """Pass on that the write buffer is full."""
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the write buffer has room."""
        self._inner.resume_writing()

    def _lose(self, exc: Exception | None) -> None:
        self._is_over = True
        if self._release_timer is not None:
            self._release_timer.cancel()
        inner, self._inner = self._inner, asyncio.Protocol()
        inner.connection_lost(exc)


def _n_common(data: bytes, end: bytes) -> int:
    """Return the length of the longest end of the data that begins ``end``."""
    for n_bytes in range(min(len(data), len(end)), 0, -1):
        if data.endswith(end[:n_bytes]):
            return n_bytes
    return 0


async def accept_tunnel(transport: asyncio.Transport, pipe: Pipe, other: Pipe) -> None:
    """Join a caller's connection to the one that was made for it, until both close.

    Parameters
    ----------
    transport : asyncio.Transport
        The caller's connection, after its protocol was switched.
    pipe, other : Pipe
        The end for the caller, and the end of the connection that was made.
    """
    pipe.connection_made(transport)
    transport.set_protocol(pipe)
    pipe.join(other)
    try:
        await asyncio.wait([pipe.closed, other.closed])
    finally:
        pipe.abort()
        other.abort()


def new_end() -> bytes:
    """Return end bytes that no answer contains by chance."""
    return END_PREFIX + secrets.token_bytes(N_END_BYTES - len(END_PREFIX))


async def open_tunnel(
    network: Network,
    peer: Address,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
    factory: Callable[[], P],
    on_accepted: Callable[[Mapping[str, str]], None] | None = None,
) -> P:
    """Open a tunnel through a peer, and return the protocol of its connection.

    ``on_accepted`` is called with the headers of the peer's answer.

    Raises
    ------
    OSError
        When the peer can't be reached or can't make the connection.
    """
    conn = await network.connect(lambda: Connection(role=h11.CLIENT), peer)
    try:
        answered = await _negotiate(conn, peer, path, body, headers)
        end = _read_end(answered)
    except BaseException:
        conn.abort()
        raise
    transport = conn.transport
    assert transport is not None
    protocol = factory()
    assert isinstance(protocol, asyncio.Protocol)
    if on_accepted is not None:
        on_accepted(answered)
    tunnel_end = _TunnelEnd(inner=protocol, end=end)
    tunnel_end.attach(transport)
    unread, is_closed = conn.h11.trailing_data
    if unread:
        tunnel_end.data_received(unread)
    if is_closed or conn.is_lost:
        transport.abort()
        raise ConnectionResetError("the tunnel was closed at once")
    return protocol


def _read_end(answered: Mapping[str, str]) -> bytes:
    """Return the end bytes that a peer states.

    Without them, any close of the tunnel would look like the end of an answer.
    """
    try:
        end = bytes.fromhex(answered.get(END_HEADER, ""))
    except ValueError:
        end = b""
    if len(end) != N_END_BYTES:
        raise ConnectionResetError("the peer states no end of the tunnel")
    return end


async def _negotiate(
    conn: Connection,
    peer: Address,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
) -> Mapping[str, str]:
    """Request the upgrade, and return the headers of the peer's answer."""
    fields = {
        "host": str(peer),
        "content-length": str(len(body)),
        **UPGRADE_HEADERS,
        **headers,
    }
    conn.send(h11.Request(method="POST", target=path, headers=header_list(fields)))
    conn.send(h11.Data(data=body))
    conn.send(h11.EndOfMessage())
    try:
        event = await conn.next_event()
    except PeerError as exc:
        raise ConnectionResetError(str(exc)) from exc
    if isinstance(event, h11.InformationalResponse) and event.status_code == 101:
        return header_map(list(event.headers))
    if isinstance(event, h11.Response):
        answered = header_map(list(event.headers))
        raise TunnelRefusedError(answered.get("x-reason", str(event.status_code)))
    raise ConnectionResetError("the peer closed the connection")
