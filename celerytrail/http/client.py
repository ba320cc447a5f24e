"""A pooled HTTP/1.1 client by h11 that tells "not sent" from "perhaps received"."""

from __future__ import annotations

import asyncio
import itertools
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import h11
import msgspec
from result import Err, Ok, Result

from ..exceptions import PeerError
from ..types import Address
from .messages import JSON_TYPE, REQUEST_ID_HEADER, Connection, Response, header_map
from .network import Network, SystemNetwork

MAX_IDLE_PER_ADDRESS = 16
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
# How long an idle connection is kept where the peer names no time, in seconds.
IDLE_SECONDS = 30.0
# A peer that closes idle connections after N seconds may be a little early; ours are
# dropped at this share of it, so that no request crosses the close.
IDLE_SHARE = 0.7

Pairs = Iterable[tuple[str, str]]


@dataclass(frozen=True, kw_only=True, slots=True)
class NotSent:
    """No byte of the request left this process, so the peer can't have run it."""

    reason: str
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Lost:
    """The request may have reached the peer, but no whole answer came back."""

    reason: str
    detail: str = ""


ClientError = NotSent | Lost


@dataclass(frozen=True, kw_only=True, slots=True)
class _Idle:
    """A connection that waits for its next exchange until loop time ``drop_at``."""

    conn: Connection
    drop_at: float


class Stream:
    """An answer being read; its connection is pooled only after its proper end."""

    def __init__(
        self,
        *,
        client: HttpClient,
        address: Address,
        conn: Connection,
        status: int,
        headers: Mapping[str, str],
    ) -> None:
        self._client = client
        self._address = address
        self._conn = conn
        self._is_ended = False
        self._is_abandoned = False
        self.status = status
        self.headers = headers

    async def next_chunk(
        self, deadline: float | None = None
    ) -> Result[bytes | None, Lost]:
        """Return the next piece of the body, or None at its proper end.

        Parameters
        ----------
        deadline : float or None
            Loop time until which to wait for it.
        """
        if self._is_abandoned:
            # Whoever reads on after another task has closed the answer must not take
            # that for its proper end.
            return Err(Lost(reason="abandoned"))
        if self._is_ended:
            return Ok(None)
        try:
            event = await self._conn.next_event(deadline)
        except TimeoutError:
            self.close()
            return Err(Lost(reason="stalled"))
        except asyncio.CancelledError:
            self.close()
            raise
        except PeerError as exc:
            # An answer without its proper end is an error, never a short answer.
            self.close()
            return Err(Lost(reason="cut", detail=str(exc)))
        if isinstance(event, h11.Data):
            return Ok(bytes(event.data))
        self._is_ended = True
        self._client.release(self._address, self._conn, self.headers)
        return Ok(None)

    async def read(self, deadline: float | None = None) -> Result[bytes, Lost]:
        """Return the whole rest of the body."""
        body = bytearray()
        while True:
            match await self.next_chunk(deadline):
                case Ok(None):
                    return Ok(bytes(body))
                case Ok(chunk):
                    assert chunk is not None
                    body += chunk
                case Err(lost):
                    return Err(lost)
            if len(body) > MAX_RESPONSE_BYTES:
                self.close()
                return Err(Lost(reason="too_large"))

    def close(self) -> None:
        """Abandon the answer: the connection is closed, so nothing can cross over."""
        if not self._is_ended:
            self._is_ended = True
            self._is_abandoned = True
            self._conn.abort()


class HttpClient:
    """Makes exchanges with peers, one at a time on each connection.

    Parameters
    ----------
    process : str
        A name for this process, the first part of each exchange's id.
    network : Network or None
        What carries the connections; the machine's own by default.
    id_header : str or None
        The header by which a peer echoes the exchange's id, in lower case; None for
        peers that echo nothing.
    allows_unframed : bool
        Whether an answer may have no length and end with its connection.
    """

    def __init__(
        self,
        *,
        process: str = "client",
        network: Network | None = None,
        id_header: str | None = REQUEST_ID_HEADER,
        allows_unframed: bool = False,
    ) -> None:
        self._process = process
        self._network = network or SystemNetwork()
        self._id_header = id_header
        self._allows_unframed = allows_unframed
        self._numbers = itertools.count(1)
        self._idle: dict[Address, list[_Idle]] = {}
        self.n_connected = 0

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
    ) -> Result[Response, ClientError]:
        """Make a whole exchange; see `open` for the parameters."""
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
        match await stream.read(deadline):
            case Ok(whole):
                return Ok(
                    Response(status=stream.status, headers=stream.headers, body=whole)
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
        """Make a whole exchange with a JSON body."""
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
        headers: Mapping[str, str] | Pairs | None = None,
        deadline: float | None = None,
        fresh: bool = False,
        request_id: str | None = None,
        may_send: Callable[[], bool] | None = None,
        connect_seconds: float | None = None,
    ) -> Result[Stream, ClientError]:
        """Send a request and read the answer's head.

        Parameters
        ----------
        address : Address
            The peer.
        method, path, body, headers
            The request; ``path`` includes the query.
        deadline : float or None
            Loop time until which the head must have come.
        fresh : bool
            Whether to refuse a pooled connection. A peer may be closing an idle one
            just as we write to it, which leaves a call that may not be repeated in
            doubt; a new connection has no such moment.
        request_id : str or None
            The exchange's id; a new one by default.
        may_send : callable or None
            Asked right before the first byte goes out; nothing is sent where it
            returns False.
        connect_seconds : float or None
            How long a new connection may take to be made; until the deadline by
            default.
        """
        connect_by = deadline
        if connect_seconds is not None:
            connect_by = asyncio.get_running_loop().time() + connect_seconds
            connect_by = connect_by if deadline is None else min(connect_by, deadline)
        taken = await self._take(address, connect_by, fresh)
        if isinstance(taken, Err):
            return Err(taken.err_value)
        conn = taken.ok_value
        if deadline is not None and asyncio.get_running_loop().time() >= deadline:
            # A process that was paused while it connected wakes up here, perhaps long
            # after; whoever asked must not find its request run after the deadline.
            conn.abort()
            return Err(NotSent(reason="deadline", detail=str(address)))
        if may_send is not None and not may_send():
            self._keep(address, conn)
            return Err(NotSent(reason="withdrawn", detail=str(address)))
        request_id = request_id or f"{self._process}-{next(self._numbers)}"
        self._write(conn, address, method, path, body, headers or {}, request_id)
        try:
            await conn.drain(deadline)
            event = await _answer_head(conn, deadline)
        except TimeoutError:
            conn.abort()
            return Err(Lost(reason="timeout"))
        except PeerError as exc:
            conn.abort()
            return Err(Lost(reason="cut", detail=str(exc)))
        except BaseException:
            # A cancelled exchange leaves an answer on its way; were the connection
            # pooled, the next request on it would be given that answer.
            conn.abort()
            raise
        if not isinstance(event, h11.Response):
            conn.abort()
            return Err(Lost(reason="cut", detail="closed before its answer"))
        return self._check(conn, address, event, request_id)

    def release(
        self, address: Address, conn: Connection, headers: Mapping[str, str]
    ) -> None:
        """Keep a connection whose exchange ended properly, where it can be reused."""
        is_done = conn.h11.our_state is h11.DONE and conn.h11.their_state is h11.DONE
        # Bytes behind a whole answer belong to no exchange; the next one on this
        # connection would be given them.
        is_clean = conn.h11.trailing_data == (b"", False)
        idle = self._idle.setdefault(address, [])
        is_full = len(idle) >= MAX_IDLE_PER_ADDRESS
        if conn.is_lost or not is_done or not is_clean or is_full:
            conn.close()
            return
        conn.h11.start_next_cycle()
        self._keep(address, conn, _idle_seconds(headers))

    def _keep(
        self, address: Address, conn: Connection, seconds: float = IDLE_SECONDS
    ) -> None:
        drop_at = asyncio.get_running_loop().time() + seconds
        idle = self._idle.setdefault(address, [])
        idle.append(_Idle(conn=conn, drop_at=drop_at))

    def is_connected(self, address: Address) -> bool:
        """Return whether a connection to a peer is likely to be reused."""
        now = asyncio.get_running_loop().time()
        return any(
            now < waiting.drop_at and not waiting.conn.is_lost
            for waiting in self._idle.get(address, ())
        )

    def forget(self, address: Address) -> None:
        """Close the idle connections to a peer that is gone."""
        for waiting in self._idle.pop(address, []):
            waiting.conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)

    def _check(
        self, conn: Connection, address: Address, head: h11.Response, request_id: str
    ) -> Result[Stream, ClientError]:
        """Refuse an answer to another exchange and one whose end can't be known."""
        headers = header_map(list(head.headers))
        if self._id_header and headers.get(self._id_header) != request_id:
            conn.abort()
            return Err(Lost(reason="crossed", detail="the answer has another id"))
        is_framed = "content-length" in headers or "transfer-encoding" in headers
        if not is_framed and not self._allows_unframed:
            conn.abort()
            return Err(Lost(reason="unframed", detail="the answer has no length"))
        return Ok(
            Stream(
                client=self,
                address=address,
                conn=conn,
                status=head.status_code,
                headers=headers,
            )
        )

    async def _take(
        self, address: Address, deadline: float | None, fresh: bool
    ) -> Result[Connection, NotSent]:
        idle = self._idle.get(address, [])
        now = asyncio.get_running_loop().time()
        while idle and not fresh:
            waiting = idle.pop()
            conn = waiting.conn
            is_clean = conn.h11.trailing_data == (b"", False)
            if not conn.is_lost and is_clean and now < waiting.drop_at:
                return Ok(conn)
            conn.abort()
        try:
            async with asyncio.timeout_at(deadline):
                conn = await self._network.connect(
                    lambda: Connection(role=h11.CLIENT), address
                )
        except TimeoutError:
            return Err(NotSent(reason="connect_timeout", detail=str(address)))
        except OSError as exc:
            return Err(NotSent(reason="connect_refused", detail=f"{address}: {exc}"))
        self.n_connected += 1
        return Ok(conn)

    def _write(
        self,
        conn: Connection,
        address: Address,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | Pairs,
        request_id: str,
    ) -> None:
        pairs = headers.items() if isinstance(headers, Mapping) else headers
        whole = [("content-length", str(len(body))), *pairs]
        names = {name.lower() for name, _ in whole}
        if "host" not in names:
            whole.insert(0, ("host", str(address)))
        if self._id_header and self._id_header not in names:
            whole.append((self._id_header, request_id))
        conn.send(h11.Request(method=method, target=path, headers=whole))
        if body:
            conn.send(h11.Data(data=body))
        conn.send(h11.EndOfMessage())


async def _answer_head(conn: Connection, deadline: float | None) -> h11.Event:
    """Return the final answer's head, past all informational ones."""
    event = await conn.next_event(deadline)
    while isinstance(event, h11.InformationalResponse):
        event = await conn.next_event(deadline)
    return event


def _idle_seconds(headers: Mapping[str, str]) -> float:
    """Return how long a connection may wait for its next exchange."""
    named = re.search(r"timeout=(\d+)", headers.get("keep-alive", ""))
    return IDLE_SHARE * int(named[1]) if named else IDLE_SECONDS
