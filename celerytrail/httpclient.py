"""A pooled HTTP/1.1 client by h11 that tells "not sent" from "perhaps received"."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Mapping
from dataclasses import dataclass

import h11
import msgspec
from result import Err, Ok, Result

from .exceptions import PeerError
from .http import JSON_TYPE, REQUEST_ID_HEADER, Connection, Response, header_map
from .network import Network, SystemNetwork
from .types import Address

MAX_IDLE_PER_ADDRESS = 16
MAX_RESPONSE_BYTES = 4 * 1024 * 1024


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
        if self._is_ended:
            return Ok(None)
        try:
            event = await self._conn.next_event(deadline)
        except TimeoutError:
            self.close()
            return Err(Lost(reason="stalled"))
        except PeerError as exc:
            # An answer without its proper end is an error, never a short answer.
            self.close()
            return Err(Lost(reason="cut", detail=str(exc)))
        if isinstance(event, h11.Data):
            return Ok(bytes(event.data))
        self._is_ended = True
        self._client.release(self._address, self._conn)
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
            self._conn.abort()


class HttpClient:
    """Makes exchanges with peers, one at a time on each connection.

    Parameters
    ----------
    process : str
        A name for this process, the first part of each exchange's id.
    network : Network or None
        What carries the connections; the machine's own by default.
    """

    def __init__(
        self, *, process: str = "client", network: Network | None = None
    ) -> None:
        self._process = process
        self._network = network or SystemNetwork()
        self._numbers = itertools.count(1)
        self._idle: dict[Address, list[Connection]] = {}

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
        headers: Mapping[str, str] | None = None,
        deadline: float | None = None,
        fresh: bool = False,
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
        """
        taken = await self._take(address, deadline, fresh)
        if isinstance(taken, Err):
            return Err(taken.err_value)
        conn = taken.ok_value
        if deadline is not None and asyncio.get_running_loop().time() >= deadline:
            # A process that was paused while it connected wakes up here, perhaps long
            # after; whoever asked must not find its request run after the deadline.
            conn.abort()
            return Err(NotSent(reason="deadline", detail=str(address)))
        request_id = f"{self._process}-{next(self._numbers)}"
        self._write(conn, address, method, path, body, headers or {}, request_id)
        try:
            await conn.drain(deadline)
            event = await conn.next_event(deadline)
            while isinstance(event, h11.InformationalResponse):
                event = await conn.next_event(deadline)
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

    def release(self, address: Address, conn: Connection) -> None:
        """Keep a connection whose exchange ended properly, where it can be reused."""
        is_done = conn.h11.our_state is h11.DONE and conn.h11.their_state is h11.DONE
        idle = self._idle.setdefault(address, [])
        if conn.is_lost or not is_done or len(idle) >= MAX_IDLE_PER_ADDRESS:
            conn.close()
            return
        conn.h11.start_next_cycle()
        idle.append(conn)

    def close(self) -> None:
        """Close all idle connections."""
        for conns in self._idle.values():
            for conn in conns:
                conn.close()
        self._idle.clear()

    def _check(
        self, conn: Connection, address: Address, head: h11.Response, request_id: str
    ) -> Result[Stream, ClientError]:
        """Refuse an answer to another exchange and one whose end can't be known."""
        headers = header_map(list(head.headers))
        if headers.get(REQUEST_ID_HEADER) != request_id:
            conn.abort()
            return Err(Lost(reason="crossed", detail="the answer has another id"))
        if "content-length" not in headers and "transfer-encoding" not in headers:
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
        while idle and not fresh:
            conn = idle.pop()
            if not conn.is_lost and conn.h11.trailing_data == (b"", False):
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
        return Ok(conn)

    @staticmethod
    def _write(
        conn: Connection,
        address: Address,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        request_id: str,
    ) -> None:
        whole = [
            ("host", str(address)),
            (REQUEST_ID_HEADER, request_id),
            ("content-length", str(len(body))),
            *headers.items(),
        ]
        conn.send(h11.Request(method=method, target=path, headers=whole))
        if body:
            conn.send(h11.Data(data=body))
        conn.send(h11.EndOfMessage())
