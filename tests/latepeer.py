"""A peer that sends answers late, as bytes."""

from __future__ import annotations

import asyncio

from celerytrail.types import Address


class ScriptedPeer:
    """Sends a late answer and a due one for each request, in the order of arrival.

    No answer is late on a connection that had no request before.
    """

    def __init__(self, answers: list[tuple[bytes, bytes]]) -> None:
        self._answers = iter(answers)

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return Address(host="127.0.0.1", port=port)

    async def _serve(self, reader, writer):
        is_new = True
        while await reader.read(65_536):
            late, due = next(self._answers)
            writer.write(due if is_new else late + due)
            is_new = False
        writer.close()

    async def close(self) -> None:
        """Close, once the client has closed its connections."""
        self._server.close()
        await self._server.wait_closed()
