"""Callers that speak HTTP/1.0, which knows no chunks."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

import pytest

from celerytrail.relay.node import RelayNode
from celerytrail.types import Address
from tests.relayrig import HOST, KEY, Rig, expected_events, split_events, wait_until

N_CALLERS = 8
N_EVENTS = 12
SENT_EVENTS = 3


@dataclass(frozen=True, kw_only=True)
class Got:
    """All bytes that a caller received until its connection ended."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def has_length(self) -> bool:
        return "content-length" in self.headers

    @property
    def looks_complete(self) -> bool:
        """Return whether a caller that can't read chunks takes the body for whole."""
        if not self.status:
            return False
        return int(self.headers.get("content-length", len(self.body))) == len(self.body)


async def call_old(
    address: Address, path: str, number: int, *, seconds: float = 15.0
) -> Got:
    """Send a request as HTTP/1.0, and read to the end of the connection."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    fields = {
        "host": HOST,
        "authorization": f"Bearer {KEY}",
        "x-attempt-id": f"old-{number}",
        "x-time-budget-ms": str(round(seconds * 1_000)),
        "x-token-count": "1000,100",
        "content-length": "0",
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(f"POST {path} HTTP/1.0\r\n{lines}\r\n".encode())
    received = b""
    try:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                received += data
    finally:
        writer.close()
    head, _, body = received.partition(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    status = int(first.split()[1]) if first else 0
    pairs = (line.partition(":") for line in rest)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return Got(status=status, headers=headers, body=body)


def callers_address(node: RelayNode) -> Address:
    assert node.cfg.callers is not None
    return node.cfg.callers


@pytest.fixture
async def rig():
    rig = Rig()
    await rig.start()
    for number in (1, 2):
        await rig.add_engine(f"e{number}", N_EVENTS)
    for number in (1, 2):
        await rig.add_node(f"vm-{number}")
    yield rig
    await rig.close()


async def start_streams(rig: Rig, path: str, **extra: float) -> list[asyncio.Task[Got]]:
    """Begin streams at both nodes, and let each send a few events."""
    tasks = [
        asyncio.ensure_future(
            call_old(callers_address(rig.nodes[number % 2]), path, number, **extra)
        )
        for number in range(N_CALLERS)
    ]
    await wait_until(
        lambda: sum(len(engine.running) for engine in rig.workers) == N_CALLERS
    )
    for engine in rig.workers:
        await engine.tick(SENT_EVENTS)
    return tasks


class TestStreams:
    async def test_a_stream_comes_whole_and_with_its_length(self, rig):
        tasks = await start_streams(rig, "/draft/x")
        for engine in rig.workers:
            await engine.tick(N_EVENTS)
        for got in await asyncio.gather(*tasks):
            assert got.status == 200
            assert got.has_length
            assert split_events(got.body) == expected_events(N_EVENTS)
            assert "transfer-encoding" not in got.headers

    async def test_no_part_looks_complete_when_the_engines_end(self, rig):
        """Guards against a part of a stream that ends as a whole one does."""
        tasks = await start_streams(rig, "/draft/x")
        for engine in rig.workers:
            await engine.close()
        for got in await asyncio.gather(*tasks):
            assert got.status == 502
            assert got.looks_complete
            assert b"word" not in got.body

    async def test_no_part_looks_complete_when_the_caller_has_no_time_left(self, rig):
        """Guards against a part of a stream that ends as a whole one does."""
        tasks = await start_streams(rig, "/draft/x", seconds=1.0)
        for got in await asyncio.gather(*tasks):
            assert got.status == 504
            assert b"word" not in got.body

    async def test_no_part_looks_complete_when_the_node_ends(self, rig):
        """Guards against the orderly close that a killed process leaves behind."""
        tasks = await start_streams(rig, "/draft/x")
        for node in rig.nodes:
            await node.close()
        for got in await asyncio.gather(*tasks):
            assert b"word" not in got.body

    async def test_a_caller_that_leaves_frees_its_engine(self, rig):
        """Guards against a run that goes on for a caller that is gone."""
        tasks = await start_streams(rig, "/draft/x")
        for task in tasks:
            task.cancel()
        # The engines would end the runs themselves at the caller's time limit.
        await wait_until(
            lambda: not any(engine.running for engine in rig.workers), seconds=10.0
        )


class TestPlainAnswers:
    async def test_an_answer_has_its_length(self, rig):
        await rig.add_plain_worker("d1")
        await wait_until(
            lambda: all(node.registry.usable_endpoints("desk") for node in rig.nodes)
        )
        got = await call_old(callers_address(rig.nodes[0]), "/file/x", 1)
        assert (got.status, got.has_length) == (200, True)

    async def test_the_nodes_own_answers_have_their_length(self, rig):
        cfg = rig.nodes[0].cfg
        for address, path in (
            (cfg.callers, "/nowhere/x"),
            (cfg.readiness, "/api/readiness"),
            (cfg.directory, "/api/resolve?name=desk.example"),
            (cfg.directory, "/nowhere"),
            (cfg.peers, "/metrics"),
        ):
            got = await call_old(address, path, 1)
            assert got.status
            assert got.has_length
            assert got.looks_complete
