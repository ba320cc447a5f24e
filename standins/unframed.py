"""Answers without a length and without chunks, which end with their connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Mapping

from celerytrail.exceptions import PeerError
from celerytrail.http.server import Responder, ServerLimits

# Socket option values: closing resets, or sends what is left.
RESET = struct.pack("ii", 1, 0)
FINISH = struct.pack("ii", 0, 0)
CLOSE_SECONDS = 5.0


class UnframedResponder(Responder):
    """Ends a whole answer by closing, and resets the connection of any other.

    From the head to the end, whatever closes the connection resets it.

    Parameters
    ----------
    res : Responder
        The responder of the request, which would send chunks.
    """

    def __init__(self, *, res: Responder) -> None:
        super().__init__(conn=res._conn, limits=ServerLimits())

    def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the head."""
        self.status = status
        self.has_begun = True
        self._set_linger(RESET)
        fields = {**headers, "connection": "close"}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self._transport.write(f"HTTP/1.1 {status} OK\r\n{lines}\r\n".encode())

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        self._transport.write(data)

    async def finish(self) -> None:
        """End the body by closing the connection."""
        self._set_linger(FINISH)
        self._conn.close()
        await asyncio.wait([self.lost], timeout=CLOSE_SECONDS)
        raise PeerError("the answer ended with its connection")

    def _set_linger(self, value: bytes) -> None:
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self.is_lost:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    @property
    def _transport(self) -> asyncio.Transport:
        transport = self._conn.transport
        assert transport is not None
        return transport
