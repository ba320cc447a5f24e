"""Ends of answers that nothing states, where this system may have caused them."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Mapping

import pytest
from result import Err, Ok, Result

from celerytrail.http.client import ClientError
from celerytrail.http.messages import Response
from standins.worker import SEAL_HEADER, worker_row
from tests.relayrig import Rig, config, local, route, wait_until

# Timeout of the routes, in milliseconds: what endpoints get as their time limit.
TIMEOUT_MS = 1_500
PATIENT_MS = 8_000
REPORT = b'{"queued":0,"in-flight":0,"kv-used":0,"kv-total":1,"state":"ready","born":1}'
PART = b"id: 0\ndata: word 0\n\nid: 1\ndata: word 1\n\n"
N_REQUESTS = 8


class ObedientEndpoint:
    """Stops work at the time limit that it receives, and closes its answer in order.

    Its answers have no length. It runs in a thread of its own, as it goes on while the
    node is suspended.

    Parameters
    ----------
    status : int
        The status of its answers.
    seconds : float or None
        How long a whole answer takes; None for longer than any limit.
    """

    def __init__(self, *, status: int = 200, seconds: float | None = None) -> None:
        self.address = local(1)
        self.limits: list[float] = []
        self._status = status
        self._seconds = seconds
        self._tasks: set[asyncio.Task[None]] = set()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._listen()))
        self._is_listening = threading.Event()

    def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._thread.start()
        self._is_listening.wait()

    def close(self) -> None:
        """Stop listening, and end once all connections are closed."""
        self._loop.call_soon_threadsafe(self._closed.set)
        self._thread.join()

    async def _listen(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._closed = asyncio.Event()
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = local(server.sockets[0].getsockname()[1])
        self._is_listening.set()
        await self._closed.wait()
        server.close()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while not await self._answer(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether its connection ends with the answer."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.split("\r\n")
        pairs = (line.partition(":") for line in lines if line)
        fields = {name.lower(): value.strip() for name, _, value in pairs}
        await reader.readexactly(int(fields.get("content-length", "0")))
        if first.split()[1].startswith("/api/"):
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(REPORT))
            writer.write(REPORT)
            return False
        await self._run(fields, writer)
        return True

    async def _run(
        self, fields: Mapping[str, str], writer: asyncio.StreamWriter
    ) -> None:
        limit = int(fields["x-time-budget-ms"]) / 1_000
        ends_at = self._loop.time() + min(limit, self._seconds or limit)
        self.limits.append(limit)
        head = (
            f"HTTP/1.1 {self._status} Status\r\n{SEAL_HEADER}: s\r\n"
            f"x-attempt-id: {fields['x-attempt-id']}\r\n\r\n"
        )
        writer.write(head.encode() + PART)
        await asyncio.sleep(ends_at - self._loop.time())


async def play(
    path: str,
    endpoint: ObedientEndpoint,
    n_requests: int = N_REQUESTS,
    *,
    is_suspended: bool = False,
    timeout_ms: int = TIMEOUT_MS,
) -> list[Result[Response, ClientError]]:
    """Return the answers to some requests, or why there are none."""
    rig = Rig()
    await rig.start()
    endpoint.start()
    limits = {"timeout-ms": timeout_ms, "target-latency-ms": timeout_ms}
    routes = [
        route("draft", "streaming", "models", **limits),
        route("file", "unsafe", "desk", **limits),
    ]
    try:
        rig.store.put("op", "config", config(routes=routes))
        service = "models" if path.startswith("/draft") else "desk"
        row = worker_row(service, endpoint.address, slots=2 * N_REQUESTS)
        rig.store.put("servers", "e1", row)
        node = await rig.add_node()
        await wait_until(lambda: node.registry.usable_endpoints(service))
        address = node.cfg.callers
        assert address is not None
        sent = [
            asyncio.ensure_future(
                rig.client.request(address, "POST", path, headers=rig.headers())
            )
            for _ in range(n_requests)
        ]
        await wait_until(lambda: len(endpoint.limits) == n_requests)
        if is_suspended:
            time.sleep(timeout_ms / 1_000 + 0.1)  # noqa: ASYNC251
        return await asyncio.gather(*sent)
    finally:
        await rig.close()
        endpoint.close()


class TestTimeLimits:
    @pytest.mark.parametrize("is_suspended", [False, True])
    async def test_a_stream_that_stops_at_its_time_limit_is_not_whole(
        self, is_suspended
    ):
        """Guards against a part that ends where its engine obeyed the limit sent."""
        endpoint = ObedientEndpoint()
        answers = await play("/draft/x", endpoint, is_suspended=is_suspended)
        assert all(isinstance(answered, Err) for answered in answers)

    @pytest.mark.parametrize("is_suspended", [False, True])
    @pytest.mark.parametrize(
        ("path", "status", "n_requests"),
        [
            ("/file/x", 200, N_REQUESTS),
            ("/file/x", 404, N_REQUESTS),
            ("/draft/x", 404, 2),
        ],
    )
    async def test_an_answer_that_stops_at_its_time_limit_is_not_whole(
        self, path, status, n_requests, is_suspended
    ):
        """Guards against the same with answers that aren't streams."""
        endpoint = ObedientEndpoint(status=status)
        answers = await play(path, endpoint, n_requests, is_suspended=is_suspended)
        assert [answered.ok_value.status for answered in answers] == n_requests * [504]

    @pytest.mark.parametrize("path", ["/draft/x", "/file/x"])
    async def test_an_answer_that_ends_before_its_time_limit_is_whole(self, path):
        """Guards against whole answers that are cut as none states its length."""
        endpoint = ObedientEndpoint(seconds=0.3)
        answers = await play(path, endpoint, timeout_ms=PATIENT_MS)
        bodies = [answered.map(lambda res: res.body) for answered in answers]
        assert bodies == N_REQUESTS * [Ok(PART)]
