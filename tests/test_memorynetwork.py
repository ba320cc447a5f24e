"""The network in memory carries what the real one does."""

from __future__ import annotations

import asyncio
import random

import pytest
from result import Err

from celerytrail.http.client import HttpClient
from celerytrail.http.server import Handler, HttpServer
from celerytrail.types import Address
from scenarios.memorynetwork import Wires

SERVER = Address(host="10.0.0.1", port=80)

pytestmark = pytest.mark.looptime


class LengthHandler(Handler):
    """Answers with the body's length, streamed in pieces."""

    async def handle(self, req, res):
        res.start(200, {})
        for _ in range(100):
            await res.write(b"x" * len(req.body))
        await res.finish()


@pytest.fixture
async def pair():
    wires = Wires(rng=random.Random(1))
    server = HttpServer(handler=LengthHandler(), network=wires.process("server"))
    await server.start(SERVER)
    client = HttpClient(network=wires.process("client"))
    yield wires, client
    client.close()
    await server.close()


def deadline(seconds):
    return asyncio.get_running_loop().time() + seconds


class TestMemoryNetwork:
    async def test_large_answers_pass_with_back_pressure(self, pair):
        _, client = pair
        for _ in range(3):
            answer = await client.request(SERVER, "POST", "/", body=b"a" * 5000)
            assert len(answer.ok_value.body) == 500_000

    async def test_killed_process_refuses(self, pair):
        wires, client = pair
        wires.kill("server")
        answer = await client.request(SERVER, "GET", "/")
        assert answer.err_value.reason == "connect_refused"

    async def test_cut_holds_until_it_is_healed(self, pair):
        """A link stalls without breaking. Only the caller's own deadline tells."""
        wires, client = pair
        wires.cut("server", "client")
        answer = await client.request(SERVER, "GET", "/", deadline=deadline(5))
        assert isinstance(answer, Err)
        assert answer.err_value.reason == "timeout"
        wires.heal()
        answer = await client.request(SERVER, "POST", "/", body=b"a")
        assert len(answer.ok_value.body) == 100
