"""The HTTP server and client on real sockets."""

from __future__ import annotations

import asyncio

import pytest
from result import Err

from celerytrail.http.client import HttpClient, Lost, NotSent
from celerytrail.http.messages import Request
from celerytrail.http.server import Handler, HttpServer, Responder, ServerLimits
from celerytrail.types import Address

LOOPBACK = Address(host="127.0.0.1", port=0)


class EchoHandler(Handler):
    """Answers with the body, streams it, or cuts it, by the path."""

    def __init__(self):
        self.release = asyncio.Event()

    async def handle(self, req: Request, res: Responder) -> None:
        if req.path == "/cut":
            res.start(200, {})
            await res.write(b"part")
            res.abort()
        elif req.path == "/slow":
            await self.release.wait()
            await res.send(200, req.body)
        elif req.path == "/stream":
            res.start(200, {})
            for byte in req.body:
                await res.write(bytes([byte]))
            await res.finish()
        else:
            await res.send(200, req.body)


@pytest.fixture
async def echo():
    handler = EchoHandler()
    server = HttpServer(handler=handler, limits=ServerLimits(max_body_bytes=1000))
    address = await server.start(LOOPBACK)
    client = HttpClient()
    yield client, address, handler, server
    client.close()
    await server.close()


class TestExchange:
    async def test_whole_and_streamed_answers(self, echo):
        client, address, _, _ = echo
        for path in ("/", "/stream", "/"):
            answer = await client.request(address, "POST", path, body=b"abc")
            assert answer.ok_value.body == b"abc"

    async def test_connect_refused_is_not_sent(self, echo):
        """Nothing listens on the port. The caller may safely try another endpoint."""
        client, address, _, server = echo
        await server.close()
        answer = await client.request(address, "GET", "/")
        assert isinstance(answer, Err)
        assert isinstance(answer.err_value, NotSent)

    async def test_cut_answer_is_lost(self, echo):
        """The peer dies in the middle of its answer. Were the part taken for the
        whole, the caller would act on half an answer.
        """
        client, address, _, _ = echo
        answer = await client.request(address, "GET", "/cut")
        assert isinstance(answer.err_value, Lost)

    async def test_abandoned_exchange_never_crosses(self, echo):
        """A request is given up while its answer is still on the way. Were its
        connection pooled, the next request would be handed that late answer.
        """
        client, address, handler, _ = echo
        task = asyncio.create_task(
            client.request(address, "POST", "/slow", body=b"first")
        )
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait([task])
        handler.release.set()
        answer = await client.request(address, "POST", "/", body=b"second")
        assert answer.ok_value.body == b"second"

    async def test_timeout_is_lost(self, echo):
        """The peer takes the request and says nothing. It may have run."""
        client, address, _, _ = echo
        deadline = asyncio.get_running_loop().time() + 0.5
        answer = await client.request(address, "GET", "/slow", deadline=deadline)
        assert isinstance(answer.err_value, Lost)


class TestBadInput:
    async def test_large_body_is_refused_with_its_limit(self, echo):
        """A caller sends more than is allowed. It is told the limit, and the memory
        that it could take is bounded.
        """
        client, address, _, _ = echo
        answer = await client.request(address, "POST", "/", body=b"x" * 5000)
        assert answer.ok_value.status == 413

    async def test_garbage_gets_a_typed_error(self, echo):
        """Something that is not HTTP connects. It gets an error, others go on."""
        client, address, _, _ = echo
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"\x00\x01garbage\r\n\r\n")
        text = await reader.read()
        writer.close()
        assert b" 400 " in text
        assert b"bad_request" in text
        answer = await client.request(address, "POST", "/", body=b"fine")
        assert answer.ok_value.body == b"fine"


class TestDrain:
    async def test_drain_waits_for_the_answer_in_progress(self, echo):
        """The process is told to stop while an answer is being made. The caller
        still gets it whole; new connections are refused.
        """
        client, address, handler, server = echo
        task = asyncio.create_task(client.request(address, "POST", "/slow", body=b"x"))
        while server.n_busy == 0:
            await asyncio.sleep(0.001)
        drain = asyncio.create_task(server.drain())
        await asyncio.sleep(0.01)
        assert not drain.done()
        handler.release.set()
        assert (await task).ok_value.body == b"x"
        await drain
