"""An HTTP/1.1 server on h11: one task per connection, with limits on every resource."""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

import h11
import msgspec
from eliot import log_message
from result import Err

from ..exceptions import PeerError
from ..types import Address
from .bodymemory import BodyMemory, HeldBody
from .messages import (
    JSON_TYPE,
    MAX_HEAD_BYTES,
    REQUEST_ID_HEADER,
    Connection,
    Request,
    header_list,
    header_map,
)
from .network import Listener, Network, SystemNetwork

# How long a refused connection stays open so that the caller can read the answer.
LINGER_SECONDS = 1.0
# Retry-After of a request for whose body there is no memory, in seconds.
NO_MEMORY_RETRY_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLimits:
    """Holds the limits of a connection, in seconds and bytes, and on their number.

    Without the time limits a sender of one byte per minute would hold a connection
    forever, and a few thousand of them would use up all connections; without the byte
    limits one sender could fill the memory.
    """

    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = 1024 * 1024
    head_seconds: float = 10.0
    body_seconds: float = 30.0
    idle_seconds: float = 75.0
    write_seconds: float = 30.0
    max_connections: int = 2_000


class Responder:
    """Sends the answer to one request: whole with `send`, or streamed in pieces.

    A caller that can't read chunks gets a streamed answer at its end, with its length:
    without either, only the close of the connection would end it, and a part of it
    would look whole.

    Parameters
    ----------
    conn : Connection
        The connection to answer on.
    limits : ServerLimits
        The limits of the connection.
    memory : BodyMemory or None
        Counts what is held of answers.
    """

    def __init__(
        self,
        *,
        conn: Connection,
        limits: ServerLimits,
        memory: BodyMemory | None = None,
    ) -> None:
        self._conn = conn
        self._limits = limits
        self._memory = memory or BodyMemory()
        self._held: _HeldAnswer | None = None
        self.status: int | None = None
        # Whether any byte of the answer was sent; until then another one may be.
        self.has_begun = False
        self.is_closing = False

    @property
    def lost(self) -> asyncio.Future[None]:
        """Return a future that is done once the caller has disconnected."""
        return self._conn.lost

    @property
    def is_lost(self) -> bool:
        """Return whether the caller has disconnected."""
        return self._conn.is_lost

    async def send(
        self, status: int, body: bytes = b"", headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a whole answer."""
        self.start(status, {**(headers or {}), "content-length": str(len(body))})
        self._memory.hold(len(body))
        try:
            if body:
                self._conn.send(h11.Data(data=body))
            self._conn.send(h11.EndOfMessage())
            await self._drain()
        finally:
            self._memory.release(len(body))

    async def send_json(
        self, status: int, value: object, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a value as JSON."""
        all_headers = {"content-type": JSON_TYPE, **(headers or {})}
        await self.send(status, msgspec.json.encode(value), all_headers)

    def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the head; a body without a length is sent in chunks, or held."""
        self.release()
        self.status = status
        if "content-length" not in headers and not self._conn.reads_chunks:
            body = HeldBody(memory=self._memory)
            self._held = _HeldAnswer(status=status, headers=headers, body=body)
            return
        sent = dict(headers)
        if self._conn.request_id is not None:
            # The exchange's id is echoed so that the caller can check it.
            sent[REQUEST_ID_HEADER] = self._conn.request_id
        if self.is_closing:
            sent["connection"] = "close"
        if "content-length" not in sent:
            sent["transfer-encoding"] = "chunked"
        self.has_begun = True
        self._conn.send(h11.Response(status_code=status, headers=header_list(sent)))

    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed body, waiting while the write buffer is full.

        Raises
        ------
        PeerError
            When the caller has disconnected or read nothing for ``write_seconds``, or
            when there is no memory to hold the piece.
        """
        if self._held is not None:
            added = self._held.body.add(data)
            if isinstance(added, Err):
                raise PeerError(f"the answer can't be held: {added.err_value}")
            return
        self._conn.send(h11.Data(data=data))
        if self._conn.must_drain:
            await self._drain()

    async def finish(self) -> None:
        """Send the end of a streamed body, and all that was held of it."""
        if self._held is not None:
            held = self._held
            await self.send(held.status, held.body.content(), held.headers)
            return
        self._conn.send(h11.EndOfMessage())
        await self._drain()

    def abort(self) -> None:
        """Abort the connection, so that a partial answer can't look complete."""
        self.release()
        self._conn.abort()

    def release(self) -> None:
        """Drop what is held of the answer."""
        if self._held is not None:
            self._held.body.release()
            self._held = None

    def switch_protocols(self, headers: Mapping[str, str]) -> asyncio.Transport:
        """Accept the caller's upgrade, and return the connection's transport.

        The handler replaces the transport's protocol, and returns once it is closed.
        """
        transport = self._conn.transport
        assert transport is not None
        self.status = 101
        self.has_begun = True
        self._conn.send(
            h11.InformationalResponse(status_code=101, headers=header_list(headers))
        )
        return transport

    async def _drain(self) -> None:
        deadline = asyncio.get_running_loop().time() + self._limits.write_seconds
        try:
            await self._conn.drain(deadline)
        except TimeoutError as exc:
            self._conn.abort()
            raise PeerError("the caller read nothing within the write timeout") from exc


@dataclass(frozen=True, kw_only=True, slots=True)
class _HeldAnswer:
    """An answer that is sent at its end."""

    status: int
    headers: Mapping[str, str]
    body: HeldBody


class Handler(abc.ABC):
    """Answers requests."""

    @abc.abstractmethod
    async def handle(self, req: Request, res: Responder) -> None:
        """Answer one request through ``res``."""


class HttpServer:
    """Accepts connections and passes each request to a handler.

    Parameters
    ----------
    handler : Handler
        Answers the requests.
    limits : ServerLimits
        Limits of each connection and on their number.
    network : Network or None
        Accepts the connections; TCP of this machine by default.
    memory : BodyMemory or None
        Bounds the bodies that are held; servers and clients may share it.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: ServerLimits | None = None,
        network: Network | None = None,
        memory: BodyMemory | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits or ServerLimits()
        self._memory = memory or BodyMemory()
        self._network = network or SystemNetwork()
        self._listener: Listener | None = None
        self._tasks: dict[asyncio.Task[None], Connection] = {}
        self._busy: set[Connection] = set()
        self._is_draining = False
        self.is_retiring = False

    async def start(self, address: Address) -> Address:
        """Listen on an address and return it; for port 0 with the port chosen."""
        self._listener = await self._network.listen(self._make_connection, address)
        return self._listener.address

    @property
    def n_connections(self) -> int:
        """Return how many connections are open, idle ones included."""
        return len(self._tasks)

    @property
    def n_busy(self) -> int:
        """Return the number of exchanges in progress."""
        return len(self._busy)

    def set_limits(self, limits: ServerLimits) -> None:
        """Replace the limits for future requests."""
        self._limits = limits

    def retire(self) -> None:
        """Close idle connections and announce the close in all further answers.

        New connections are still accepted, as callers cache the resolved address for a
        while.
        """
        self.is_retiring = True
        for conn in list(self._tasks.values()):
            if conn not in self._busy and conn.is_idle:
                conn.close()

    async def drain(self) -> None:
        """Stop listening, wait for the exchanges in progress, then close."""
        self._is_draining = True
        if self._listener is not None:
            self._listener.close()
        for conn in list(self._tasks.values()):
            if conn not in self._busy:
                conn.close()
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    async def close(self) -> None:
        """Stop at once, aborting the exchanges in progress."""
        if self._listener is not None:
            self._listener.close()
        for task, conn in list(self._tasks.items()):
            conn.abort()
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks))

    def _make_connection(self) -> Connection:
        return _ServerConnection(self, self._limits.max_head_bytes)

    def accept(self, conn: Connection) -> None:
        """Serve a new connection, or abort it if the server is full or draining."""
        if len(self._tasks) >= self._limits.max_connections or self._is_draining:
            conn.abort()
            return
        task = asyncio.get_running_loop().create_task(self._serve(conn))
        self._tasks[task] = conn
        task.add_done_callback(self._tasks.pop)

    async def _serve(self, conn: Connection) -> None:
        try:
            while await self._serve_exchange(conn):
                conn.h11.start_next_cycle()
        except (PeerError, TimeoutError, h11.LocalProtocolError) as exc:
            log_message(
                "http:server:connection_closed", peer=conn.peer, problem=str(exc)
            )
        finally:
            conn.close()

    async def _serve_exchange(self, conn: Connection) -> bool:
        """Serve one exchange; return whether the connection can serve another."""
        body = HeldBody(memory=self._memory, n_max_bytes=self._limits.max_body_bytes)
        try:
            return await self._serve_held(conn, body)
        finally:
            body.release()

    async def _serve_held(self, conn: Connection, body: HeldBody) -> bool:
        try:
            req = await self._read_request(conn, body)
        except (PeerError, TimeoutError) as exc:
            body.release()
            await self._refuse(conn, exc)
            return False
        if req is None:
            return False
        self._busy.add(conn)
        res = Responder(conn=conn, limits=self._limits, memory=self._memory)
        res.is_closing = self._is_draining or self.is_retiring
        try:
            await self._handler.handle(req, res)
        except PeerError:
            raise
        except Exception as exc:
            # A bug in a handler must neither stop the process nor leave the caller
            # waiting: it gets a 500, or an aborted stream if the head has been sent.
            log_message("http:server:handler_failed", path=req.path, problem=repr(exc))
            if res.has_begun:
                conn.abort()
                return False
            await res.send_json(500, {"error": {"type": "internal"}})
        finally:
            res.release()
            self._busy.discard(conn)
        if self._is_draining or self.is_retiring or conn.is_lost:
            return False
        return conn.h11.our_state is h11.DONE and conn.h11.their_state is h11.DONE

    async def _read_request(self, conn: Connection, body: HeldBody) -> Request | None:
        loop = asyncio.get_running_loop()
        if conn.h11.trailing_data == (b"", False):
            head_deadline = loop.time() + self._limits.idle_seconds
        else:
            head_deadline = loop.time() + self._limits.head_seconds
        head = await self._read_head(conn, head_deadline)
        if head is None:
            return None
        headers = header_map(list(head.headers))
        conn.request_id = headers.get(REQUEST_ID_HEADER)
        if "transfer-encoding" in headers and "content-length" in headers:
            # The two headers define different ends of the body (request smuggling): a
            # proxy that uses the other one would read the rest as a separate request.
            raise PeerError("a body with both a length and a transfer encoding")
        # h11 limits a head only while it is incomplete; one that arrives in a single
        # read could have any size up to that of the read.
        n_bytes = len(head.target) + sum(len(n) + len(v) for n, v in head.headers)
        if n_bytes > self._limits.max_head_bytes:
            raise _HeadTooLargeError(
                f"the head is over {self._limits.max_head_bytes} bytes"
            )
        length = headers.get("content-length", "0")
        n_body_bytes = min(int(length), self._limits.max_body_bytes)
        if not self._memory.has_room(n_body_bytes):
            raise _NoMemoryError("too many bodies are held at present")
        if conn.h11.they_are_waiting_for_100_continue:
            conn.send(h11.InformationalResponse(status_code=100, headers=[]))
        body_deadline = loop.time() + self._limits.body_seconds
        while True:
            event = await conn.next_event(body_deadline)
            if isinstance(event, h11.EndOfMessage):
                break
            assert isinstance(event, h11.Data)
            added = body.add(bytes(event.data))
            if added == Err("too_large"):
                raise _BodyTooLargeError(
                    f"the body is over {self._limits.max_body_bytes} bytes"
                )
            if isinstance(added, Err):
                raise _NoMemoryError("too many bodies are held at present")
        target = head.target.decode("ascii", "replace")
        path, question_mark, query = target.partition("?")
        return Request(
            method=head.method.decode("ascii", "replace"),
            path=path,
            query=query,
            has_query=bool(question_mark),
            headers=headers,
            body=body.content(),
            peer=conn.peer,
            raw_headers=list(head.headers),
        )

    async def _read_head(
        self, conn: Connection, idle_deadline: float
    ) -> h11.Request | None:
        """Read a head; return None if the caller closed or stayed idle in between."""
        try:
            event = await conn.next_event(idle_deadline)
        except TimeoutError:
            if conn.h11.trailing_data[0]:
                raise
            return None
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise PeerError("a request was expected")
        return event

    async def _refuse(self, conn: Connection, exc: Exception) -> None:
        """Answer a request that could not be read, if h11 still allows an answer."""
        if conn.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = {}
        if isinstance(exc, TimeoutError):
            status, kind, problem = 408, "timeout", "the request came too slowly"
        elif isinstance(exc, _NoMemoryError):
            status, kind, problem = 503, "no_memory", str(exc)
            headers = {"retry-after": f"{NO_MEMORY_RETRY_SECONDS:g}"}
        elif isinstance(exc, _BodyTooLargeError):
            status, kind, problem = 413, "too_large", str(exc)
        elif isinstance(exc, _HeadTooLargeError):
            status, kind, problem = 431, "too_large", str(exc)
        else:
            cause = exc.__cause__
            status = getattr(cause, "error_status_hint", 400) or 400
            kind = "too_large" if status == 431 else "bad_request"
            problem = str(exc)
        res = Responder(conn=conn, limits=self._limits)
        res.is_closing = True
        error = {"type": kind, "place": "request", "message": problem}
        await res.send_json(status, {"error": error}, headers)
        await conn.linger(asyncio.get_running_loop().time() + LINGER_SECONDS)


class _BodyTooLargeError(PeerError):
    """Raised when a body exceeds the limit."""


class _NoMemoryError(PeerError):
    """Raised when too many bytes of bodies are held."""


class _HeadTooLargeError(PeerError):
    """Raised when a head exceeds the limit."""


class _ServerConnection(Connection):
    """A connection that registers with its server when it is made."""

    def __init__(self, server: HttpServer, max_head_bytes: int) -> None:
        super().__init__(role=h11.SERVER, max_head_bytes=max_head_bytes)
        self._server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start serving."""
        super().connection_made(transport)
        self._server.accept(self)
