"""Bytes that are no answer and come without end, in a head or in a body."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from result import Err

from celerytrail.http.client import HttpClient
from standins.endless import EndlessBytes, EndlessWorker, answer_head
from tests.limitrig import now
from tests.relayrig import HOST, KEY
from tests.sourcesrig import Fleet, run_fleet

# Time that each caller has, and how much later it must have an answer, in seconds.
BUDGET_SECONDS = 6.0
LATE_SECONDS = 0.5
N_CALLERS = 8
# Bytes of bodies that a node holds at most.
N_NODE_BYTES = 16 * 1024 * 1024
# What each connection holds on its way: both ends' buffers.
N_BUFFER_BYTES = 512 * 1024
CHUNKED = "transfer-encoding: chunked"
EVENTS = ("content-type: text/event-stream", CHUNKED)
CHUNK = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body that holds some bytes many times."""
    data = data * max(1, 16_384 // len(data))
    return b"%x\r\n" % len(data) + data + b"\r\n"


HEADS = {
    "garbage": EndlessBytes(again=b"\x00\x01garbage" * 1_000),
    "header": EndlessBytes(first=b"HTTP/1.1 200 OK\r\nx-long: ", again=b"y" * 8_192),
    "header lines": EndlessBytes(
        first=b"HTTP/1.1 200 OK\r\n", again=b"x-more: y\r\n" * 500
    ),
    "informational": EndlessBytes(again=b"HTTP/1.1 100 Continue\r\n\r\n" * 300),
    "single bytes": EndlessBytes(again=b"H", pause=0.02),
    "single informational": EndlessBytes(
        again=b"HTTP/1.1 100 Continue\r\n\r\n", pause=0.5
    ),
}
BODIES = {
    "unframed": EndlessBytes(first=answer_head(200), again=b"x" * 65_536),
    "length": EndlessBytes(
        first=answer_head(200, "content-length: 1000000000000"), again=b"x" * 65_536
    ),
    "chunks": EndlessBytes(first=answer_head(200, CHUNKED), again=CHUNK),
    "chunk extension": EndlessBytes(
        first=answer_head(200, CHUNKED) + b"1;", again=b"e" * 8_192
    ),
    "trailers": EndlessBytes(
        first=answer_head(200, CHUNKED) + b"0\r\n", again=b"x-more: y\r\n" * 500
    ),
    "refusal": EndlessBytes(
        first=answer_head(503, "x-not-executed: 1", CHUNKED), again=CHUNK
    ),
    "failure": EndlessBytes(first=answer_head(500, CHUNKED), again=CHUNK),
    "slow chunks": EndlessBytes(
        first=answer_head(200, CHUNKED), again=b"1\r\nx\r\n", pause=0.02
    ),
}
STREAMS = {
    "event": EndlessBytes(
        first=answer_head(200, *EVENTS) + b"6\r\ndata: \r\n", again=chunk(b"x" * 16_384)
    ),
    "lines": EndlessBytes(first=answer_head(200, *EVENTS), again=chunk(b"data: x\n")),
    "comments": EndlessBytes(first=answer_head(200, *EVENTS), again=chunk(b": x\n\n")),
    "slow comments": EndlessBytes(
        first=answer_head(200, *EVENTS), again=b"5\r\n: x\n\n\r\n", pause=0.02
    ),
}


@dataclass(frozen=True, kw_only=True)
class Got:
    """What a caller got, and after how many seconds."""

    status: int
    is_whole: bool
    seconds: float


@dataclass(kw_only=True)
class EndlessRig:
    """Callers of one node whose only endpoint answers without end."""

    fleet: Fleet
    worker: EndlessWorker
    got: list[Got] = field(default_factory=list)

    async def call(self, route: str, number: int) -> None:
        """Send one request, and wait for all that comes."""
        address = self.fleet.nodes[0].cfg.callers
        assert address is not None
        sent_at = now()
        client = HttpClient(
            network=self.fleet.wires.network_of("callers"), id_header=None
        )
        headers = {
            "host": HOST,
            "authorization": f"Bearer {KEY}",
            "x-attempt-id": f"a{number}",
            "x-time-budget-ms": str(round(BUDGET_SECONDS * 1_000)),
            "x-token-count": "100,100",
        }
        opened = await client.open(
            address,
            "POST",
            f"/{route}/{number}",
            headers=headers,
            deadline=sent_at + 2 * BUDGET_SECONDS,
        )
        status, is_whole = 0, False
        if not isinstance(opened, Err):
            status = opened.ok_value.status
            body = await opened.ok_value.read(sent_at + 2 * BUDGET_SECONDS)
            is_whole = not isinstance(body, Err)
        client.close()
        one = Got(status=status, is_whole=is_whole, seconds=now() - sent_at)
        self.got.append(one)

    def check(self) -> None:
        """Check that callers know in time, and that no connection is left."""
        limit = BUDGET_SECONDS + LATE_SECONDS
        assert len(self.got) == N_CALLERS
        assert all(one.seconds <= limit for one in self.got), self.got
        assert not any(one.status == 200 and one.is_whole for one in self.got)
        assert not self.worker.open
        bound = N_NODE_BYTES + N_CALLERS * N_BUFFER_BYTES
        assert self.worker.n_most_bytes <= bound, self.worker.n_most_bytes


def play(sends: EndlessBytes, route: str, service: str) -> None:
    """Send requests to an endpoint that answers without end, and check all."""

    async def steps(fleet: Fleet) -> None:
        worker = EndlessWorker(
            worker_id="d1", sends=sends, network=fleet.wires.network_of("d1")
        )
        await worker.start()
        fleet.store.put("servers", "d1", worker.row(service))
        await asyncio.sleep(1.0)
        rig = EndlessRig(fleet=fleet, worker=worker)
        calls = [rig.call(route, number) for number in range(N_CALLERS)]
        async with asyncio.timeout(3 * BUDGET_SECONDS):
            await asyncio.gather(*calls)
        await asyncio.sleep(LATE_SECONDS)
        rig.check()
        worker.close()

    run_fleet(1, steps, 1)


class TestEndlessHeads:
    @pytest.mark.parametrize("name", HEADS)
    def test_a_call_waits_for_a_head_without_end(self, name):
        # The deadline was looked at only while no bytes came.
        play(HEADS[name], "file", "desk")

    @pytest.mark.parametrize("name", ["garbage", "informational"])
    def test_a_stream_waits_for_a_head_without_end(self, name):
        # The same, at an engine.
        play(HEADS[name], "check", "models")


class TestEndlessBodies:
    @pytest.mark.parametrize("name", BODIES)
    def test_a_call_reads_a_body_without_end(self, name):
        # Each body had a bound, and all of them together had none.
        play(BODIES[name], "file", "desk")

    @pytest.mark.parametrize("name", STREAMS)
    def test_a_stream_reads_bytes_that_are_no_events(self, name):
        # An event had no bound, and comments that came all the time no deadline.
        play(STREAMS[name], "check", "models")


class TestEndlessConnections:
    def test_bytes_after_a_whole_answer_close_the_connection(self):
        # The connection was kept for the next request, with its buffers full.
        async def steps(fleet: Fleet) -> None:
            sends = EndlessBytes(
                first=answer_head(200, "content-length: 2") + b"ok",
                again=b"more" * 4_096,
                pause=0.05,
            )
            worker = EndlessWorker(
                worker_id="d1", sends=sends, network=fleet.wires.network_of("d1")
            )
            await worker.start()
            fleet.store.put("servers", "d1", worker.row("desk"))
            await asyncio.sleep(1.0)
            rig = EndlessRig(fleet=fleet, worker=worker)
            await rig.call("file", 1)
            await asyncio.sleep(LATE_SECONDS)
            assert [one.status for one in rig.got] == [200]
            assert not worker.open
            worker.close()

        run_fleet(1, steps, 1)
