"""A pooled HTTP/1.1 client on h11.

Its errors distinguish requests that were never sent from those that the peer may have
received.
"""

from __future__ import annotations

import asyncio
import itertools
import re
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

import h11
import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ..exceptions import ConnectionClosedError, PeerError
from ..types import Address
from .bodymemory import FREE_BODY_BYTES, MAX_BODY_BYTES, BodyMemory, HeldBody
from .lateanswers import MAX_LATE_ANSWERS, read_past
from .messages import (
    JSON_TYPE,
    MAX_HEAD_BYTES,
    REQUEST_ID_HEADER,
    Connection,
    Response,
    header_map,
)
from .network import Network, SystemNetwork
from .pool import IDLE_SECONDS, MAX_IDLE_PER_ADDRESS, ConnectionPool

# Informational answers before the final one.
MAX_INFORMATIONAL = 16
# A timeout that passes later than this after its time shows that the process stood
# still, in seconds.
STALL_SECONDS = 0.05
# Bytes by which the body of an answer makes progress: single bytes now and then come on
# no link that is only slow.
MIN_PROGRESS_BYTES = 1_024
# How long a connection may still take after such a timeout, in seconds.
GRACE_SECONDS = 0.1
# Bytes of an answer for each byte that its body may have. Chunk extensions, which h11
# skips, are part of no body; chunks of eight bytes or more take less than this.
MAX_FRAMING_FACTOR = 2
# Share of the peer's keep-alive timeout after which an idle connection is dropped. A
# peer may close slightly early, and a request must not cross with the close.
IDLE_SHARE = 0.7

Pairs = Iterable[tuple[str, str]]


@dataclass(frozen=True, kw_only=True, slots=True)
class NotSent:
    """Reports that no byte of the request was sent, so the peer can't have run it."""

    reason: str
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestLost:
    """Reports that no complete answer arrived; the peer may have run the request.

    ``is_bad_answer`` says that the peer sent bytes, but not an answer within its bound.
    """

    reason: str
    detail: str = ""
    is_bad_answer: bool = False


ClientError = NotSent | RequestLost


@dataclass(frozen=True, kw_only=True, slots=True)
class Progress:
    """Lets an answer exceed its deadline while it keeps arriving.

    A large answer on a slow link would otherwise be abandoned and requested again from
    its first byte, each time in vain.

    Parameters
    ----------
    seconds : float
        Longest time between two parts of the body of `MIN_PROGRESS_BYTES`.
    deadline : float
        Loop time by which the whole body must have arrived.
    """

    seconds: float
    deadline: float

    def extend(self, deadline: float, now: float) -> float:
        """Return the deadline of the next part after one that has just arrived."""
        return max(deadline, min(now + self.seconds, self.deadline))


class Stream:
    """Reads the body of an answer and returns its connection to the pool.

    The connection is pooled only after the proper end of the body.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        address: Address,
        conn: Connection,
        status: int,
        headers: Mapping[str, str],
        max_idle: int,
        is_framed: bool = True,
    ) -> None:
        self._client = client
        self._address = address
        self._conn = conn
        self._max_idle = max_idle
        self._is_ended = False
        self._is_abandoned = False
        self._n_bytes_before = conn.n_received_bytes
        self.status = status
        self.headers = headers
        # Whether the body states its own end; another one ends with its connection.
        self.is_framed = is_framed
        # The connection of the answer, and its place among the answers there.
        self.connection = conn.number
        self.exchange = conn.n_exchanges

    async def next_chunk(
        self, deadline: float | None = None
    ) -> Result[bytes | None, RequestLost]:
        """Return the next chunk of the body, or None at its proper end.

        Parameters
        ----------
        deadline : float or None
            Loop time until which to wait for the chunk.
        """
        if self._is_abandoned:
            # Another task has closed the answer; that must not look like its proper
            # end.
            return Err(RequestLost(reason="abandoned"))
        if self._is_ended:
            return Ok(None)
        try:
            event = await self._conn.next_event(deadline)
        except TimeoutError:
            self.close()
            return Err(RequestLost(reason="stalled", is_bad_answer=True))
        except asyncio.CancelledError:
            self.close()
            raise
        except PeerError as exc:
            # A truncated answer is an error, not a short answer.
            self.close()
            return Err(_lost(exc, has_begun=True))
        if isinstance(event, h11.Data):
            return Ok(bytes(event.data))
        self._is_ended = True
        self._client.release(
            self._address, self._conn, self.headers, max_idle=self._max_idle
        )
        return Ok(None)

    async def read(
        self,
        deadline: float | None = None,
        *,
        progress: Progress | None = None,
        n_max_bytes: int = MAX_BODY_BYTES,
    ) -> Result[bytes, RequestLost]:
        """Return the remaining body; ``progress`` extends the deadline.

        A larger body than ``n_max_bytes`` is abandoned, and so is one for which the
        client has no memory by the deadline, or at once if its length isn't known.
        """
        if self._length > n_max_bytes:
            return Err(self._abandon("too_large"))
        body = HeldBody(memory=self._client.memory, n_max_bytes=n_max_bytes)
        try:
            if not await self._reserve(body, deadline):
                return Err(self._abandon("no_memory"))
            n_most_bytes = MAX_FRAMING_FACTOR * n_max_bytes + MAX_HEAD_BYTES
            return await self._read_into(body, deadline, progress, n_most_bytes)
        finally:
            body.release()

    @property
    def _length(self) -> int:
        """Return the length that the head states, in bytes; 0 if it states none."""
        length = self.headers.get("content-length", "")
        return int(length) if length.isdecimal() else 0

    def _abandon(self, reason: str) -> RequestLost:
        self.close()
        return RequestLost(reason=reason, is_bad_answer=reason == "too_large")

    async def _reserve(self, body: HeldBody, deadline: float | None) -> bool:
        """Wait for the memory of a large body whose length is known."""
        if self._length <= FREE_BODY_BYTES:
            return True
        try:
            return await body.reserve(self._length, deadline)
        except asyncio.CancelledError:
            self.close()
            raise

    async def _read_into(
        self,
        body: HeldBody,
        deadline: float | None,
        progress: Progress | None,
        n_most_bytes: int,
    ) -> Result[bytes, RequestLost]:
        loop = asyncio.get_running_loop()
        n_new_bytes = 0
        while True:
            match await self.next_chunk(deadline):
                case Ok(None):
                    return Ok(body.content())
                case Ok(chunk):
                    assert chunk is not None
                case Err(lost):
                    return Err(lost)
            added = body.add(chunk)
            if isinstance(added, Err):
                return Err(self._abandon(added.err_value))
            if self._conn.n_received_bytes - self._n_bytes_before > n_most_bytes:
                return Err(self._abandon("too_large"))
            n_new_bytes += len(chunk)
            if n_new_bytes < MIN_PROGRESS_BYTES:
                continue
            n_new_bytes = 0
            if progress is not None and deadline is not None:
                deadline = progress.extend(deadline, loop.time())

    def close(self) -> None:
        """Abandon the answer and close its connection.

        A pooled connection would deliver the rest of this answer to the next request.
        """
        if not self._is_ended:
            self._is_ended = True
            self._is_abandoned = True
            self._conn.abort()


class HttpClient:
    """Sends requests to peers, one at a time on each connection.

    Parameters
    ----------
    process : str
        Name of this process, the first part of each exchange's id.
    network : Network or None
        Makes the connections; TCP of this machine by default.
    id_header : str or None
        Header in which a peer echoes the exchange's id, in lower case; None if the
        peers don't echo it.
    keeps_connections : bool
        Whether connections are used again. Peers that echo no id need connections of
        their own for each exchange where they may send an answer twice.
    allows_unframed : bool
        Whether an answer may lack a length and end with its connection.
    on_silence : callable or None
        Called with the address of a peer that has not begun to answer a request
        ``silence_seconds`` after it was sent.
    silence_seconds : float
        See ``on_silence``.
    memory : BodyMemory or None
        Bounds the bodies that are being read; clients may share it.
    """

    def __init__(
        self,
        *,
        process: str = "client",
        network: Network | None = None,
        id_header: str | None = REQUEST_ID_HEADER,
        keeps_connections: bool = True,
        allows_unframed: bool = False,
        on_silence: Callable[[Address], None] | None = None,
        silence_seconds: float = 0.0,
        memory: BodyMemory | None = None,
    ) -> None:
        self._process = process
        self._network = network or SystemNetwork()
        self._id_header = id_header
        self._keeps_connections = keeps_connections
        self._allows_unframed = allows_unframed
        self._on_silence = on_silence
        self._silence_seconds = silence_seconds
        self.memory = memory or BodyMemory()
        self._exchange_numbers = itertools.count(1)
        self._pool = ConnectionPool()
        self.n_connections_made = 0

    async def request(
        self,
        address: Address,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        deadline: float | None = None,
        fresh: bool = False,
        progress: Progress | None = None,
        n_max_bytes: int = MAX_BODY_BYTES,
    ) -> Result[Response, ClientError]:
        """Send a request and read the whole answer; see `open` for the parameters.

        ``progress`` lets the answer's body exceed the deadline. An answer with a larger
        body than ``n_max_bytes`` is abandoned.
        """
        opened = await self.open(
            address,
            method,
            path,
            body=body,
            headers=headers,
            deadline=deadline,
            fresh=fresh,
        )
        if isinstance(opened, Err):
            return Err(opened.err_value)
        stream = opened.ok_value
        body_read = await stream.read(
            deadline, progress=progress, n_max_bytes=n_max_bytes
        )
        match body_read:
            case Ok(content):
                return Ok(
                    Response(status=stream.status, headers=stream.headers, body=content)
                )
            case Err(lost):
                return Err(lost)

    async def request_json(
        self,
        address: Address,
        method: str,
        path: str,
        value: object,
        *,
        headers: Mapping[str, str] | None = None,
        deadline: float | None = None,
        fresh: bool = False,
    ) -> Result[Response, ClientError]:
        """Send a request with a JSON body and read the whole answer."""
        return await self.request(
            address,
            method,
            path,
            body=msgspec.json.encode(value),
            headers={"content-type": JSON_TYPE, **(headers or {})},
            deadline=deadline,
            fresh=fresh,
        )

    async def open(
        self,
        address: Address,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | Pairs | Callable[[], Pairs] | None = None,
        deadline: float | None = None,
        fresh: bool = False,
        request_id: str | None = None,
        may_send: Callable[[], bool] | None = None,
        connect_seconds: float | None = None,
        max_idle: int = MAX_IDLE_PER_ADDRESS,
        reserved: Connection | None = None,
    ) -> Result[Stream, ClientError]:
        """Send a request and read the answer's head.

        Parameters
        ----------
        address : Address
            The peer.
        method, path, body, headers
            The request; ``path`` includes the query. A function that returns the
            headers is called right before the first byte is sent.
        deadline : float or None
            Loop time by which the head must have arrived.
        fresh : bool
            Whether to use a new connection. A peer may close an idle connection just
            as a request is written to it, which leaves unknown whether the request
            ran. A new connection has no such race, so it is used for calls that may
            not be repeated.
        request_id : str or None
            The exchange's id; a new one by default.
        may_send : callable or None
            Called right before the first byte is sent; nothing is sent if it returns
            False.
        connect_seconds : float or None
            Timeout for making a new connection, in addition to the deadline.
        max_idle : int
            Idle connections to the peer that are kept at most.
        reserved : Connection or None
            A connection that `reserve` returned for this request.
        """
        request_id = request_id or f"{self._process}-{next(self._exchange_numbers)}"
        if reserved is not None:
            conn = reserved
            if conn.is_lost or conn.is_eof:
                conn.abort()
                return Err(NotSent(reason="connection_lost", detail=str(address)))
        else:
            acquired = await self.reserve(
                address,
                request_id,
                deadline=deadline,
                connect_seconds=connect_seconds,
                fresh=fresh,
            )
            if isinstance(acquired, Err):
                return Err(acquired.err_value)
            conn = acquired.ok_value
        conn.is_pooled = False
        if deadline is not None and asyncio.get_running_loop().time() >= deadline:
            # A process that was paused while it connected may continue here long after
            # the deadline; the request must not run then.
            conn.abort()
            return Err(NotSent(reason="deadline", detail=str(address)))
        if may_send is not None and not may_send():
            self._pool.add(address, conn, max_idle=max_idle)
            return Err(NotSent(reason="withdrawn", detail=str(address)))
        found = headers() if callable(headers) else headers
        sent = _encode_request(
            address, method, path, body, self._headers_with_id(found, request_id)
        )
        conn.n_exchanges += 1
        n_bytes_before = conn.n_received_bytes
        for part in sent:
            conn.send(part)
        silence = self._start_silence_timer(address)
        try:
            await conn.drain(deadline)
            event = await self._read_due_head(conn, sent, request_id, deadline)
        except TimeoutError:
            conn.abort()
            has_begun = conn.n_received_bytes > n_bytes_before
            return Err(RequestLost(reason="timeout", is_bad_answer=has_begun))
        except PeerError as exc:
            conn.abort()
            has_begun = conn.n_received_bytes > n_bytes_before
            return Err(_lost(exc, has_begun=has_begun))
        except BaseException:
            # The answer to a cancelled exchange may still arrive; if the connection
            # were pooled, the next request on it would receive that answer.
            conn.abort()
            raise
        finally:
            if silence is not None:
                silence.cancel()
        if not isinstance(event, h11.Response):
            conn.abort()
            return Err(RequestLost(reason="cut", detail="closed before its answer"))
        conn.carried.add(request_id)
        return self._check_head(conn, address, event, request_id, max_idle)

    async def reserve(
        self,
        address: Address,
        request_id: str,
        *,
        deadline: float | None = None,
        connect_seconds: float | None = None,
        fresh: bool = False,
    ) -> Result[Connection, NotSent]:
        """Take or make a connection for a request; see `open` for the parameters.

        It is given to `open`, or closed.
        """
        conn = None if fresh else self._pool.take(address, request_id)
        if conn is None:
            connect_deadline = deadline
            if connect_seconds is not None:
                connect_deadline = asyncio.get_running_loop().time() + connect_seconds
                if deadline is not None:
                    connect_deadline = min(connect_deadline, deadline)
            made = await self._connect(address, connect_deadline, deadline)
            if isinstance(made, Err):
                return made
            conn = made.ok_value
        # What arrives before the request is sent isn't its answer.
        conn.is_pooled = True
        return Ok(conn)

    async def _read_due_head(
        self,
        conn: Connection,
        sent: Sequence[h11.Event],
        request_id: str,
        deadline: float | None,
    ) -> h11.Event:
        """Return the head of the answer, behind those to earlier exchanges.

        A peer may send an answer once more where the next one is due. The id that it
        echoes shows that.
        """
        event = await _read_final_head(conn, deadline)
        for _ in range(MAX_LATE_ANSWERS):
            named = self._answered_id(event)
            if named is None or named == request_id or named not in conn.carried:
                break
            log_message("http:late_answer", peer=conn.peer, named=named)
            if not await read_past(conn, sent, deadline):
                break
            event = await _read_final_head(conn, deadline)
        return event

    def _answered_id(self, event: h11.Event) -> str | None:
        """Return the id of the exchange that an answer names, if any."""
        if self._id_header is None or not isinstance(event, h11.Response):
            return None
        return header_map(list(event.headers)).get(self._id_header)

    def _start_silence_timer(self, address: Address) -> asyncio.TimerHandle | None:
        if self._on_silence is None:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_later(self._silence_seconds, self._on_silence, address)

    def release(
        self,
        address: Address,
        conn: Connection,
        headers: Mapping[str, str],
        *,
        max_idle: int = MAX_IDLE_PER_ADDRESS,
    ) -> None:
        """Pool a connection whose exchange ended properly, if it can be reused."""
        is_done = conn.h11.our_state is h11.DONE and conn.h11.their_state is h11.DONE
        # Bytes after a complete answer belong to no exchange, and the next request on
        # this connection would receive them.
        is_clean = conn.h11.trailing_data == (b"", False)
        is_reusable = self._keeps_connections and not conn.is_retired
        if conn.is_lost or not is_reusable or not is_done or not is_clean:
            conn.close()
            return
        conn.h11.start_next_cycle()
        conn.mark_all_read()
        self._pool.add(address, conn, _idle_seconds(headers), max_idle=max_idle)

    async def ensure_connected(
        self, address: Address, deadline: float
    ) -> Result[None, NotSent]:
        """Make a connection to a peer that the next request can use, if there is none.

        Parameters
        ----------
        address : Address
            The peer.
        deadline : float
            Loop time by which it must be made.
        """
        if self.is_connected(address):
            return Ok(None)
        connected = await self._connect(address, deadline, deadline)
        if isinstance(connected, Err):
            return Err(connected.err_value)
        self._pool.add(address, connected.ok_value)
        return Ok(None)

    def is_connected(self, address: Address) -> bool:
        """Return whether a connection to a peer is likely to be reused."""
        return self._pool.has_usable(address)

    def close_retired(self) -> None:
        """Close the idle connections that must not be used again."""
        self._pool.close_retired()

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to a peer."""
        self._pool.close_address(address)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    def _check_head(
        self,
        conn: Connection,
        address: Address,
        head: h11.Response,
        request_id: str,
        max_idle: int,
    ) -> Result[Stream, ClientError]:
        """Reject an answer to another exchange or one without a known length."""
        headers = header_map(list(head.headers))
        if self._id_header and headers.get(self._id_header) != request_id:
            conn.abort()
            return Err(
                RequestLost(
                    reason="crossed",
                    detail="the answer has another id",
                    is_bad_answer=True,
                )
            )
        is_framed = "content-length" in headers or "transfer-encoding" in headers
        if not is_framed and not self._allows_unframed:
            conn.abort()
            return Err(
                RequestLost(
                    reason="unframed",
                    detail="the answer has no length",
                    is_bad_answer=True,
                )
            )
        return Ok(
            Stream(
                client=self,
                address=address,
                conn=conn,
                status=head.status_code,
                headers=headers,
                max_idle=max_idle,
                is_framed=is_framed,
            )
        )

    async def _connect(
        self, address: Address, connect_deadline: float | None, deadline: float | None
    ) -> Result[Connection, NotSent]:
        """Make a connection, unless its timeout passes first.

        What arrived while the process stood still is read only after the timeout has
        passed, so a late timeout allows a moment for that.
        """
        loop = asyncio.get_running_loop()
        handle: asyncio.TimerHandle | None = None

        def expire() -> None:
            assert connect_deadline is not None
            now = loop.time()
            is_late = now - connect_deadline >= STALL_SECONDS
            ends_at = now + GRACE_SECONDS if is_late else now
            timeout.reschedule(ends_at if deadline is None else min(ends_at, deadline))

        try:
            async with asyncio.timeout(None) as timeout:
                if connect_deadline is not None:
                    handle = loop.call_at(connect_deadline, expire)
                conn = await self._network.connect(
                    lambda: Connection(role=h11.CLIENT), address
                )
        except TimeoutError:
            return Err(NotSent(reason="connect_timeout", detail=str(address)))
        except OSError as exc:
            return Err(NotSent(reason="connect_refused", detail=f"{address}: {exc}"))
        finally:
            if handle is not None:
                handle.cancel()
        self.n_connections_made += 1
        conn.number = self.n_connections_made
        return Ok(conn)

    def _headers_with_id(
        self, headers: Mapping[str, str] | Pairs | None, request_id: str
    ) -> list[tuple[str, str]]:
        """Return a request's headers with the one for its id."""
        pairs = headers.items() if isinstance(headers, Mapping) else headers or ()
        found = list(pairs)
        names = {name.lower() for name, _ in found}
        if self._id_header and self._id_header not in names:
            found.append((self._id_header, request_id))
        return found


def _encode_request(
    address: Address,
    method: str,
    path: str,
    body: bytes,
    headers: list[tuple[str, str]],
) -> tuple[h11.Event, ...]:
    """Return the events of a request."""
    all_headers = [("content-length", str(len(body))), *headers]
    if "host" not in {name.lower() for name, _ in all_headers}:
        all_headers.insert(0, ("host", str(address)))
    encoded = [
        (name.encode("ascii"), value.encode("latin-1")) for name, value in all_headers
    ]
    head = h11.Request(method=method, target=path, headers=encoded)
    data = [h11.Data(data=body)] if body else []
    return (head, *data, h11.EndOfMessage())


def _lost(exc: PeerError, *, has_begun: bool) -> RequestLost:
    """Return whether the peer broke off an answer, or this process did."""
    is_own = isinstance(exc, ConnectionClosedError)
    return RequestLost(
        reason="abandoned" if is_own else "cut",
        detail=str(exc),
        is_bad_answer=has_begun and not is_own,
    )


async def _read_final_head(conn: Connection, deadline: float | None) -> h11.Event:
    """Return the head of the final answer, skipping informational ones."""
    for _ in range(MAX_INFORMATIONAL + 1):
        event = await conn.next_event(deadline)
        if not isinstance(event, h11.InformationalResponse):
            return event
    raise PeerError("too many informational answers")


def _idle_seconds(headers: Mapping[str, str]) -> float:
    """Return how long a connection may stay idle, by the peer's keep-alive header."""
    match = re.search(r"timeout=(\d+)", headers.get("keep-alive", ""))
    return IDLE_SHARE * float(match[1]) if match else IDLE_SECONDS
