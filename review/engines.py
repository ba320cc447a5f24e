"""Model workers whose answers have no length and end with their connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Mapping

from celerytrail.exceptions import PeerError
from celerytrail.http.network import SystemNetwork
from celerytrail.http.server import Responder, ServerLimits
from standins.enginemodel import EngineSpec
from standins.modelworker import ModelWorker, _Stream

# Socket option value: on, and no time to linger, so that closing resets.
RESET = struct.pack("ii", 1, 0)


class UnframedResponder(Responder):
    """Writes an answer without a length and without chunks.

    The project's responder passes its heads through h11, which adds the chunked
    transfer coding to each answer without a length.
    """

    def start(
        self, status: int, headers: Mapping[str, str], *, is_framed: bool = True
    ) -> None:
        """Send the head."""
        self.status = status
        fields = {**headers, "connection": "close"}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self._transport.write(f"HTTP/1.1 {status} OK\r\n{lines}\r\n".encode())

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        self._transport.write(data)

    async def finish(self) -> None:
        """End the body by closing the connection."""
        self._conn.close()
        await asyncio.wait([self.lost], timeout=5.0)
        raise PeerError("the answer ended with its connection")

    def abort(self) -> None:
        """Reset the connection, so that the answer is not complete."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self.is_lost:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self._conn.abort()

    @property
    def _transport(self) -> asyncio.Transport:
        transport = self._conn.transport
        assert transport is not None
        return transport


class UnframedWorker(ModelWorker):
    """Ends whole answers by closing, and resets the connections of all others."""

    async def _send_events(
        self, res: Responder, stream: _Stream, first_event: int
    ) -> None:
        unframed = UnframedResponder(conn=res._conn, limits=ServerLimits())
        await super()._send_events(unframed, stream, first_event)


def make_engines(n_engines: int) -> list[UnframedWorker]:
    """Create engines of one failure domain that know one another."""
    engines: list[UnframedWorker] = []

    def find(address: str) -> UnframedWorker | None:
        return next((one for one in engines if str(one.address) == address), None)

    for number in range(1, n_engines + 1):
        engine = UnframedWorker(
            worker_id=f"engine-{number}",
            failure_domain="a",
            spec=EngineSpec(),
            find_engine=find,
            network=SystemNetwork(),
        )
        engines.append(engine)
    return engines
