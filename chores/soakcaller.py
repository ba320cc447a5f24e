"""A caller that keeps its connection until the other end closes it."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import h11

ANSWER_SECONDS = 10.0
CONNECT_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True)
class Answer:
    """What a caller received; ``status`` is None if no head arrived."""

    status: int | None = None
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


class SoakCaller:
    """Sends one request after the other, over one connection while that is open.

    Parameters
    ----------
    addresses : sequence of (str, int)
        The nodes; the next one is taken when a connection fails.
    first : int
        Which one it begins with.
    is_old : bool
        Whether it speaks HTTP/1.0, which knows no chunks.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[tuple[str, int]],
        first: int,
        is_old: bool = False,
    ) -> None:
        self._addresses = addresses
        self.is_old = is_old
        self._next = first
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._h11 = h11.Connection(h11.CLIENT)

    @property
    def host(self) -> str:
        """Return the host of the node that got the last request."""
        return self._addresses[self._next % len(self._addresses)][0]

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def request(
        self, path: str, headers: Mapping[str, str], body: bytes
    ) -> Answer:
        """Send a request and read its answer as far as it comes."""
        head: h11.Response | None = None
        received = bytearray()
        is_complete = False
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                await self._connect()
                self._send(path, headers, body)
                while True:
                    event = await self._next_event()
                    if isinstance(event, h11.Response):
                        head = event
                    elif isinstance(event, h11.Data):
                        received += event.data
                    elif isinstance(event, h11.EndOfMessage):
                        is_complete = True
                        break
                    else:
                        break
        except (OSError, h11.ProtocolError, TimeoutError):
            is_complete = False
        if is_complete and self._h11.our_state is self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        else:
            self.close()
        if head is None:
            return Answer()
        return Answer(
            status=head.status_code,
            headers={name.decode(): value.decode() for name, value in head.headers},
            body=bytes(received),
            is_complete=is_complete,
        )

    async def _connect(self) -> None:
        if self._writer is not None:
            return
        self._next += 1
        host, port = self._addresses[self._next % len(self._addresses)]
        async with asyncio.timeout(CONNECT_SECONDS):
            opened = await asyncio.open_connection(host, port)
        self._reader, self._writer = opened
        self._h11 = h11.Connection(h11.CLIENT)

    def _send(self, path: str, headers: Mapping[str, str], body: bytes) -> None:
        assert self._writer is not None
        fields = [*headers.items(), ("content-length", str(len(body)))]
        head = h11.Request(method="POST", target=path, headers=fields)
        sent = self._h11.send(head) or b""
        if self.is_old:
            sent = sent.replace(b" HTTP/1.1\r\n", b" HTTP/1.0\r\n", 1)
        self._writer.write(sent)
        for event in (h11.Data(data=body), h11.EndOfMessage()):
            self._writer.write(self._h11.send(event) or b"")

    async def _next_event(self) -> object:
        assert self._reader is not None
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._reader.read(65_536))
