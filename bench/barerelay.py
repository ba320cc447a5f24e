"""Run a relay without h11 or any check, the second reference for `bench.relay`.

For each read from an engine it writes as many bytes as an event has, which measures the
cost of sockets and asyncio alone. It isn't meant to serve callers.
"""

from __future__ import annotations

import asyncio

import msgspec
import typer

RECEIVE_BYTES = 64 * 1024
EVENT = b"\ndata: " + b"x" * 330

_received = memoryview(bytearray(RECEIVE_BYTES))


class _EngineProtocol(asyncio.BufferedProtocol):
    """Requests a draft of a million tokens and writes an event for each read."""

    def __init__(self, caller: asyncio.Transport) -> None:
        self._caller = caller

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        body_fields = {
            "generation_id": f"g{id(self)}",
            "model": "draft",
            "prompt": "bare [length=1000000]",
            "n_max_tokens": 1_000_000,
        }
        body = msgspec.json.encode(body_fields)
        head = f"POST /generate HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}"
        transport.write(head.encode() + b"\r\n\r\n" + body)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _received

    def buffer_updated(self, nbytes: int) -> None:
        bytes(_received[:nbytes])
        self._caller.write(EVENT)


class _CallerProtocol(asyncio.Protocol):
    """Opens a connection to the engine for each caller."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._task = asyncio.get_running_loop().create_task(self._connect(transport))

    async def _connect(self, caller: asyncio.Transport) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_connection(
            lambda: _EngineProtocol(caller), self._host, self._port
        )


async def _serve(engine: str) -> None:
    host, _, port = engine.rpartition(":")
    server = await asyncio.get_running_loop().create_server(
        lambda: _CallerProtocol(host, int(port)), "127.0.0.1", 0
    )
    own_port = server.sockets[0].getsockname()[1]
    print(f"listening 127.0.0.1:{own_port}", flush=True)
    await server.serve_forever()


def main(engine: str = typer.Option(..., help="IP:PORT of an engine.")) -> None:
    """Write an event to a caller for each read from the engine."""
    asyncio.run(_serve(engine))


if __name__ == "__main__":
    typer.run(main)
