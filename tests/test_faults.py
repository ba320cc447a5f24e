"""Tests of the faults that can be switched on in the stand-ins."""

from __future__ import annotations

import asyncio
import time

import pytest

from celerytrail.http.client import HttpClient, NotSent, RequestLost
from celerytrail.http.server import Handler
from celerytrail.types import Address
from standins.faults import Faults, FaultyServer

LOOPBACK = Address(host="127.0.0.1", port=0)


async def repeat_until(ask, is_wanted):
    for _ in range(1000):
        answer = await ask()
        if is_wanted(answer):
            return answer
        await asyncio.sleep(0.01)
    raise AssertionError(f"no wanted answer; the last was {answer}")


class CountingHandler(Handler):
    def __init__(self):
        self.n_effects = 0

    async def handle(self, req, res):
        self.n_effects += 1
        if req.path == "/stream":
            res.start(200, {})
            for _ in range(5):
                await res.write(b"x")
            await res.finish()
            return
        await res.send(200, b"whole")


@pytest.fixture
async def standin():
    handler = CountingHandler()
    server = FaultyServer(inner=handler, faults=Faults())
    address = await server.start(LOOPBACK)
    client = HttpClient()

    async def ask(path="/"):
        deadline = asyncio.get_running_loop().time() + 0.1
        return await client.request(address, "GET", path, deadline=deadline)

    async def put(**fault):
        answer = await client.request_json(address, "PUT", "/faults", fault)
        return answer.ok_value.status

    yield handler, ask, put
    client.close()
    await server.close()


class TestFaults:
    async def test_outage_has_no_effect(self, standin):
        handler, ask, put = standin
        assert await put(name="outage") == 200
        assert (await ask()).ok_value.status == 503
        assert handler.n_effects == 0
        await put()
        assert (await ask()).ok_value.status == 200

    async def test_lose_reply_has_its_effect(self, standin):
        handler, ask, put = standin
        await put(name="lose_reply", n=1)
        assert isinstance((await ask()).err_value, RequestLost)
        assert handler.n_effects == 1
        assert (await ask()).ok_value.body == b"whole"

    async def test_stall_gives_no_answer_and_has_no_effect(self, standin):
        handler, ask, put = standin
        await put(name="stall", n=1)
        assert (await ask()).err_value.reason == "timeout"
        assert handler.n_effects == 0

    async def test_stall_after_two_pieces_of_a_stream(self, standin):
        _, ask, put = standin
        await put(name="stall", after_writes=2)
        assert (await ask("/stream")).err_value.reason == "stalled"

    async def test_freeze_delays_the_effect(self, standin):
        handler, ask, put = standin
        await put(name="freeze")
        assert isinstance((await ask()).err_value, RequestLost)
        assert handler.n_effects == 0
        await put()
        await ask()
        assert handler.n_effects == 2

    async def test_refuse_closes_the_listener_until_its_end(self, standin):
        handler, ask, put = standin
        await put(name="refuse", until_at=time.time() + 0.2)
        refused = await repeat_until(
            ask, lambda answer: isinstance(answer.err(), NotSent)
        )
        assert refused.err_value.reason == "connect_refused"
        answer = await repeat_until(ask, lambda answer: answer.is_ok())
        assert answer.ok_value.status == 200

    async def test_unknown_fault_is_rejected(self, standin):
        _, _, put = standin
        assert await put(name="earthquake") == 400
