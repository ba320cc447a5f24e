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
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return Address(host="127.0.0.1", port=port)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        is_new = True
        while await reader.read(65_536):
            late, due = next(self._answers)
            writer.write(due if is_new else late + due)
            is_new = False
        writer.close()
        await writer.wait_closed()

    async def close(self) -> None:
        """Close, once the client has closed its connections."""
        self._server.close()
        # `Server.wait_closed` of Python 3.11 doesn't wait for its connections.
        if self._tasks:
            await asyncio.wait(self._tasks)
