"""Streams, back pressure and faults of the network in memory."""

from __future__ import annotations

import asyncio
import random

import pytest
from result import Err

from celerytrail.http.client import HttpClient
from celerytrail.http.server import Handler, HttpServer
from celerytrail.types import Address
from scenarios.memorynetwork import MemoryFabric

SERVER = Address(host="10.0.0.1", port=80)

pytestmark = pytest.mark.looptime


class RepeatingHandler(Handler):
    """Streams 100 chunks, each as long as the request's body."""

    async def handle(self, req, res):
        res.start(200, {})
        for _ in range(100):
            await res.write(b"x" * len(req.body))
        await res.finish()


@pytest.fixture
async def pair():
    fabric = MemoryFabric(rng=random.Random(1))
    server = HttpServer(handler=RepeatingHandler(), network=fabric.network_of("server"))
    await server.start(SERVER)
    client = HttpClient(network=fabric.network_of("client"))
    yield fabric, client
    client.close()
    await server.close()


def deadline(seconds):
    return asyncio.get_running_loop().time() + seconds


class TestMemoryNetwork:
    async def test_large_answers_arrive_under_back_pressure(self, pair):
        _, client = pair
        for _ in range(3):
            answer = await client.request(SERVER, "POST", "/", body=b"a" * 5000)
            assert len(answer.ok_value.body) == 500_000

    async def test_killed_process_refuses_connections(self, pair):
        fabric, client = pair
        fabric.kill("server")
        answer = await client.request(SERVER, "GET", "/")
        assert answer.err_value.reason == "connect_refused"

    async def test_cut_holds_requests_until_healed(self, pair):
        """A cut link stalls without breaking the connection, so that only the caller's
        own deadline ends the request.
        """
        fabric, client = pair
        fabric.cut("server", "client")
        answer = await client.request(SERVER, "GET", "/", deadline=deadline(5))
        assert isinstance(answer, Err)
        assert answer.err_value.reason == "timeout"
        fabric.heal()
        answer = await client.request(SERVER, "POST", "/", body=b"a")
        assert len(answer.ok_value.body) == 100
