"""A stand-in worker in trouble: it sends bytes that are no answer, without end."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from celerytrail.exceptions import PeerError
from celerytrail.http.messages import Connection, Request
from celerytrail.http.network import Listener, Network
from celerytrail.http.server import Responder
from celerytrail.types import Address

from .worker import SEAL_HEADER, Worker, worker_row


@dataclass(frozen=True, kw_only=True)
class EndlessBytes:
    """What a worker sends instead of an answer.

    Parameters
    ----------
    first : bytes
        Sent once; ``ATTEMPT`` in it stands for the id of the request's attempt.
    again : bytes
        Sent again and again until the connection is closed.
    pause : float
        Time between two of these, in seconds; 0 writes as fast as the peer reads.
    n_times : int or None
        How often they are sent before the connection is cut; without end by default.
    """

    first: bytes = b""
    again: bytes
    pause: float = 0.0
    n_times: int | None = None

    @property
    def rounds(self) -> Iterable[int]:
        """Return the numbers of the times that it is sent."""
        return itertools.count() if self.n_times is None else range(self.n_times)


def answer_head(status: int, *fields: str) -> bytes:
    """Return the head of an answer with a worker's seal."""
    lines = (
        f"HTTP/1.1 {status} Status",
        "x-attempt-id: ATTEMPT",
        f"{SEAL_HEADER}: s",
        *fields,
    )
    return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\n"


class EndlessWorker:
    """Accepts connections, and answers the first request on each without end.

    Parameters
    ----------
    worker_id : str
        Its id.
    sends : EndlessBytes
        What it sends.
    network : Network
        Carries its connections.
    """

    def __init__(
        self, *, worker_id: str, sends: EndlessBytes, network: Network
    ) -> None:
        self.worker_id = worker_id
        self.sends = sends
        self.address = Address(host="127.0.0.1", port=1)
        # The connections that answer callers' requests without end.
        self.open: set[_EndlessConnection] = set()
        # The most bytes that these had sent at any time, all together.
        self.n_most_bytes = 0
        self._network = network
        self._listener: Listener | None = None

    async def start(self) -> Address:
        """Listen on a free port."""
        self._listener = await self._network.listen(
            lambda: _EndlessConnection(self), Address(host="127.0.0.1", port=0)
        )
        self.address = self._listener.address
        return self.address

    def row(self, service: str) -> dict[str, object]:
        """Return the row by which it registers in the store."""
        return worker_row(service, self.address)

    def close(self) -> None:
        """Stop, and close all connections."""
        assert self._listener is not None
        self._listener.close()
        for conn in list(self.open):
            conn.stop()


class _EndlessConnection(asyncio.Protocol):
    def __init__(self, worker: EndlessWorker) -> None:
        self._worker = worker
        self.n_sent_bytes = 0
        self._head = b""
        self._transport: asyncio.Transport | None = None
        self._may_write = asyncio.Event()
        self._may_write.set()
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._task is not None:
            return
        self._head += data
        if b"\r\n\r\n" in self._head:
            if b" /api/" not in self._head.split(b"\r\n")[0]:
                self._worker.open.add(self)
            self._task = asyncio.ensure_future(self._answer())

    def pause_writing(self) -> None:
        self._may_write.clear()

    def resume_writing(self) -> None:
        self._may_write.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self._worker.open.discard(self)
        if self._task is not None:
            self._task.cancel()

    def stop(self) -> None:
        """Close the connection."""
        assert self._transport is not None
        self._transport.abort()

    async def _answer(self) -> None:
        sends = self._worker.sends
        lines = self._head.decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines if ": " in line)
        attempt = fields.get("x-attempt-id", "")
        self._write(sends.first.replace(b"ATTEMPT", attempt.encode()))
        for _ in sends.rounds:
            await self._may_write.wait()
            self._write(sends.again)
            await asyncio.sleep(sends.pause)
        self.stop()

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        self.n_sent_bytes += len(data)
        worker = self._worker
        n_bytes = sum(conn.n_sent_bytes for conn in worker.open)
        worker.n_most_bytes = max(worker.n_most_bytes, n_bytes)
        self._transport.write(data)


class EndlessControl:
    """Answers a worker's control requests without end, as long as it is on.

    Parameters
    ----------
    sends : EndlessBytes
        What it sends.
    path : str
        Start of the paths of these requests.
    """

    def __init__(self, *, sends: EndlessBytes, path: str) -> None:
        self.sends = sends
        self.is_on = True
        self.n_asked = 0
        self.n_sent_bytes = 0
        self._path = path

    def attach(self, worker: Worker) -> None:
        """Let a worker's control requests be answered so."""
        answer_other = worker._answer_other

        async def answer(req: Request, res: Responder) -> bool:
            if not self.is_on or not req.path.startswith(self._path):
                return await answer_other(req, res)
            self.n_asked += 1
            await self._send(res._conn)
            return True

        worker._answer_other = answer  # type: ignore[method-assign]

    async def _send(self, conn: Connection) -> None:
        self._write(conn, self.sends.first)
        with contextlib.suppress(PeerError):
            for _ in self.sends.rounds:
                self._write(conn, self.sends.again)
                await asyncio.sleep(self.sends.pause)
                await conn.drain()
        conn.abort()

    def _write(self, conn: Connection, data: bytes) -> None:
        assert conn.transport is not None
        self.n_sent_bytes += len(data)
        conn.transport.write(data)
