"""The HTTP server and client on real sockets."""

from __future__ import annotations

import asyncio
import time

import pytest
from result import Err

import celerytrail.http.client as client_module
from celerytrail.exceptions import PeerError
from celerytrail.http.bodymemory import FREE_BODY_BYTES, BodyMemory
from celerytrail.http.client import HttpClient, NotSent, RequestLost
from celerytrail.http.messages import Request
from celerytrail.http.network import SystemNetwork
from celerytrail.http.server import Handler, HttpServer, Responder, ServerLimits
from celerytrail.types import Address

LOOPBACK = Address(host="127.0.0.1", port=0)


class EchoHandler(Handler):
    """Echoes the body whole or streamed, or cuts off the answer, by the path."""

    def __init__(self):
        self.release = asyncio.Event()

    async def handle(self, req: Request, res: Responder) -> None:
        if req.path == "/cut":
            res.start(200, {})
            await res.write(b"part")
            res.abort()
        elif req.path == "/large":
            res.start(200, {})
            await res.write(b"x" * int(req.body))
            await res.finish()
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
        """Nothing listens on the port. The request can safely be sent elsewhere."""
        client, address, _, server = echo
        await server.close()
        answer = await client.request(address, "GET", "/")
        assert isinstance(answer, Err)
        assert isinstance(answer.err_value, NotSent)

    async def test_cut_answer_is_lost(self, echo):
        """The peer crashes in the middle of its answer. Without an error the caller
        would treat a truncated answer as complete.
        """
        client, address, _, _ = echo
        answer = await client.request(address, "GET", "/cut")
        assert isinstance(answer.err_value, RequestLost)

    async def test_late_answer_does_not_reach_the_next_request(self, echo):
        """A request is cancelled before its answer arrives. If its connection were
        pooled, the next request would receive that late answer.
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
        """The peer receives the request and does not answer. It may have run it."""
        client, address, _, _ = echo
        deadline = asyncio.get_running_loop().time() + 0.5
        answer = await client.request(address, "GET", "/slow", deadline=deadline)
        assert isinstance(answer.err_value, RequestLost)


def stand_still(seconds: float) -> None:
    """Let the whole process do nothing, its event loop included."""
    time.sleep(seconds)


class StallingNetwork(SystemNetwork):
    """Connects slowly, after the process has stood still."""

    def __init__(self, *, connects: bool = True) -> None:
        self.connects = connects

    async def connect(self, factory, address):
        stand_still(0.4)
        if not self.connects:
            await asyncio.sleep(60.0)
        await asyncio.sleep(0.01)
        return await super().connect(factory, address)


class GivingUpNetwork(SystemNetwork):
    """Fails to connect as the kernel does after its own retransmissions."""

    async def connect(self, factory, address):
        raise TimeoutError("connection timed out")


class TestConnecting:
    async def test_a_connection_in_progress_outlives_a_stall_of_the_process(
        self, echo, monkeypatch
    ):
        # The node stood still for longer than its connect timeout, and refused requests
        # that their endpoint would have served.
        monkeypatch.setattr(client_module, "GRACE_SECONDS", 20.0)
        _, address, _, _ = echo
        client = HttpClient(network=StallingNetwork())
        answer = await client.open(address, "POST", "/", connect_seconds=0.2)
        client.close()
        assert answer.ok_value.status == 200

    async def test_a_stall_does_not_extend_the_deadline(self, echo, monkeypatch):
        monkeypatch.setattr(client_module, "GRACE_SECONDS", 3_600.0)
        _, address, _, _ = echo
        client = HttpClient(network=StallingNetwork(connects=False))
        deadline = asyncio.get_running_loop().time() + 0.5
        answer = await client.open(
            address, "POST", "/", connect_seconds=0.2, deadline=deadline
        )
        client.close()
        assert isinstance(answer, Err)
        assert isinstance(answer.err_value, NotSent)

    async def test_a_silent_endpoint_is_given_up_after_a_stall(self, echo):
        _, address, _, _ = echo
        client = HttpClient(network=StallingNetwork(connects=False))
        answer = await client.open(address, "POST", "/", connect_seconds=0.2)
        client.close()
        assert answer.err_value.reason == "connect_timeout"

    async def test_a_timeout_of_the_network_itself_is_not_sent(self, echo):
        # The kernel gives up connecting by itself, where no deadline is set.
        _, address, _, _ = echo
        client = HttpClient(network=GivingUpNetwork())
        answer = await client.open(address, "POST", "/")
        client.close()
        assert answer.err_value.reason == "connect_timeout"


class TestBadInput:
    async def test_body_over_the_limit_is_refused(self, echo):
        """A caller sends a body over the limit. It gets a 413, and the memory that one
        request can use stays bounded.
        """
        client, address, _, _ = echo
        answer = await client.request(address, "POST", "/", body=b"x" * 5000)
        assert answer.ok_value.status == 413

    async def test_malformed_request_gets_a_400(self, echo):
        """A client sends bytes that are not HTTP. It gets a 400, and other clients are
        still served.
        """
        client, address, _, _ = echo
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"\x00\x01garbage\r\n\r\n")
        text = await reader.read()
        writer.close()
        assert b" 400 " in text
        assert b"bad_request" in text
        answer = await client.request(address, "POST", "/", body=b"fine")
        assert answer.ok_value.body == b"fine"


async def exchange_raw(address: Address, request: bytes) -> bytes:
    """Send raw bytes, and return all that comes until the connection ends."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(request)
    try:
        return await reader.read()
    finally:
        writer.close()


class TestOldCallers:
    """Callers that speak HTTP/1.0, which knows no chunks."""

    REQUEST = b"POST /%b HTTP/1.0\r\ncontent-length: %d\r\n\r\n%b"

    async def ask(self, address, path: bytes, body: bytes = b"") -> bytes:
        return await exchange_raw(address, self.REQUEST % (path, len(body), body))

    async def test_a_streamed_answer_has_its_length(self, echo):
        _, address, _, _ = echo
        answer = await self.ask(address, b"stream", b"pieces")
        head, _, body = answer.partition(b"\r\n\r\n")
        assert b"content-length: 6" in head
        assert b"chunked" not in head
        assert body == b"pieces"

    async def test_nothing_is_sent_of_an_answer_that_is_cut(self, echo):
        """Guards against a part that ends with its connection, as a whole one does."""
        _, address, _, _ = echo
        assert await self.ask(address, b"cut") == b""

    async def test_an_answer_that_cannot_be_held_fails(self, echo):
        """Guards against memory that grows with each such answer."""
        _, address, _, server = echo
        server._memory = BodyMemory(n_max_bytes=0)
        assert b" 200 " in await self.ask(address, b"large", b"1000")
        n_bytes = FREE_BODY_BYTES + 1
        assert await self.ask(address, b"large", b"%d" % n_bytes) == b""
        assert server._memory.n_held_bytes == 0

    async def test_a_failing_handler_answers_500(self, echo):
        """Guards against an answer of two heads after one was held."""
        _, address, handler, _ = echo

        async def fail(req, res):
            res.start(200, {})
            await res.write(b"part")
            raise ValueError("a fault of the handler")

        handler.handle = fail
        answer = await self.ask(address, b"stream")
        assert answer.startswith(b"HTTP/1.1 500 ")
        assert b"part" not in answer


class PartHandler(Handler):
    """Sends a part of an answer, and leaves its end to what ``end`` does."""

    def __init__(self, headers, end):
        self.headers = headers
        self.end = end

    async def handle(self, req: Request, res: Responder) -> None:
        res.start(200, self.headers)
        await res.write(b"part")
        # What was written is sent before the end.
        await asyncio.sleep(0.01)
        await self.end(res)


async def leave(res):
    """Return without an end."""


async def lose_peer(res):
    raise PeerError("the endpoint is gone")


async def fail(res):
    raise ValueError("a fault of the handler")


async def run_out_of_memory(res):
    raise MemoryError


async def cancel(res):
    task = asyncio.current_task()
    assert task is not None
    task.cancel()
    await asyncio.sleep(1.0)


async def abort(res):
    res.abort()


async def wait_long(res):
    await asyncio.sleep(60.0)


class TestEnds:
    """Answers whose end this process causes before they are whole."""

    @pytest.mark.parametrize("version", [b"1.0", b"1.1"])
    @pytest.mark.parametrize("headers", [{}, {"content-length": "8"}])
    @pytest.mark.parametrize(
        "end", [leave, lose_peer, fail, run_out_of_memory, cancel, abort, wait_long]
    )
    async def test_no_part_of_an_answer_looks_whole(self, version, headers, end):
        """Guards against an end of this process that a caller takes for its answer's.

        A handler that waits is ended by a stop of the server.
        """
        server = HttpServer(handler=PartHandler(headers, end))
        address = await server.start(LOOPBACK)
        request = b"GET / HTTP/%b\r\nhost: h\r\n\r\n" % version
        reading = asyncio.create_task(exchange_raw(address, request))
        if end is wait_long:
            while not server.n_busy:
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.02)
            await server.close()
        try:
            received = await reading
        except ConnectionResetError:
            received = b""
        head, _, body = received.partition(b"\r\n\r\n")
        if b" 200 " in head and b"chunked" in head:
            assert b"0\r\n\r\n" not in body
        elif b" 200 " in head:
            assert b"content-length: 8" in head
            assert len(body) < 8
        else:
            assert b"part" not in received
        await server.close()


class TestDrain:
    async def test_drain_waits_for_the_answer_in_progress(self, echo):
        """The server is drained while an answer is in progress. The caller still gets
        the whole answer.
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


class TestBodyMemory:
    async def test_large_bodies_share_the_memory(self):
        memory = BodyMemory(n_max_bytes=100_000)
        assert memory.resize(0, FREE_BODY_BYTES + 60_000)
        assert not memory.resize(0, FREE_BODY_BYTES + 60_000)
        assert memory.resize(0, FREE_BODY_BYTES + 40_000)
        assert memory.n_held_bytes == 100_000

    async def test_small_bodies_are_read_however_large_others_are(self):
        memory = BodyMemory(n_max_bytes=0)
        assert memory.resize(0, FREE_BODY_BYTES)
        assert not memory.resize(FREE_BODY_BYTES, FREE_BODY_BYTES + 1)

    async def test_memory_is_given_back_after_each_answer(self, echo):
        _, address, _, _ = echo
        client = HttpClient(memory=BodyMemory(n_max_bytes=1_000))
        for _ in range(3):
            answer = await client.request(address, "POST", "/", body=b"a" * 900)
            assert len(answer.ok_value.body) == 900
        assert client.memory.n_held_bytes == 0
        client.close()

    async def test_small_bodies_together_are_bounded(self):
        """Guards against many small bodies that fill the memory together."""
        memory = BodyMemory(n_max_first_bytes=FREE_BODY_BYTES)
        assert memory.resize(0, 1_000)
        assert memory.has_room(FREE_BODY_BYTES - 1_000)
        assert not memory.has_room(FREE_BODY_BYTES)
        memory.release(1_000)
        assert memory.has_room(FREE_BODY_BYTES)
        assert memory.n_held_first_bytes == memory.n_held_bytes == 0

    async def test_large_bodies_wait_for_memory_in_their_order(self):
        """Guards against answers that are lost while others are being delivered."""
        memory = BodyMemory(n_max_bytes=100_000)
        n_bytes = FREE_BODY_BYTES + 80_000
        memory.hold(n_bytes)
        deadline = asyncio.get_running_loop().time() + 5.0
        first = asyncio.ensure_future(memory.reserve(n_bytes, deadline))
        second = asyncio.ensure_future(memory.reserve(FREE_BODY_BYTES + 1, deadline))
        await asyncio.sleep(0.01)
        # The second one would fit, and would keep the first one waiting for ever.
        assert not first.done() and not second.done()
        memory.release(n_bytes)
        assert await first and await second
        assert memory.n_held_bytes == 80_001

    async def test_a_wait_for_memory_that_is_given_up_leaves_nothing_behind(self):
        """Guards against memory that nobody gives back."""
        memory = BodyMemory(n_max_bytes=100_000)
        n_bytes = FREE_BODY_BYTES + 80_000
        memory.hold(n_bytes)
        loop = asyncio.get_running_loop()
        assert not await memory.reserve(n_bytes, loop.time() + 0.01)
        assert not await memory.reserve(n_bytes, None)
        waiting = asyncio.ensure_future(memory.reserve(n_bytes, loop.time() + 5.0))
        await asyncio.sleep(0.01)
        memory.release(n_bytes)
        waiting.cancel()
        await asyncio.wait([waiting])
        assert memory.n_held_bytes == memory.n_held_first_bytes == 0
        assert await memory.reserve(n_bytes, None)


class TestHeldBodies:
    """Bodies of callers, and of the answers to them, share one memory."""

    N_BODY_BYTES = 200_000

    @pytest.fixture
    async def held(self):
        handler = EchoHandler()
        memory = BodyMemory(n_max_bytes=2 * self.N_BODY_BYTES)
        limits = ServerLimits(max_body_bytes=self.N_BODY_BYTES)
        server = HttpServer(handler=handler, limits=limits, memory=memory)
        address = await server.start(LOOPBACK)
        client = HttpClient()
        yield client, address, handler, memory
        client.close()
        await server.close()

    async def test_a_body_without_memory_is_refused_as_not_run(self, held):
        """Guards against bodies that are bounded each and fill the memory together."""
        client, address, handler, memory = held
        body = b"x" * self.N_BODY_BYTES
        n_held = []

        async def send():
            return (await client.request(address, "POST", "/slow", body=body)).unwrap()

        sent = [asyncio.ensure_future(send()) for _ in range(12)]
        while sum(task.done() for task in sent) < 10:
            await asyncio.sleep(0.01)
            n_held.append(memory.n_held_bytes)
        handler.release.set()
        answers = await asyncio.gather(*sent)
        refused = [res for res in answers if res.status == 503]
        assert len(refused) >= 9
        assert all(float(res.headers["retry-after"]) > 0 for res in refused)
        assert all(res.body == body for res in answers if res.status == 200)
        assert max(n_held) <= 2 * self.N_BODY_BYTES
        assert memory.n_held_bytes == memory.n_held_first_bytes == 0

    async def test_a_small_body_is_read_however_large_others_are(self, held):
        client, address, _, memory = held
        memory.hold(3 * self.N_BODY_BYTES)
        answer = (await client.request(address, "POST", "/", body=b"small")).unwrap()
        assert (answer.status, answer.body) == (200, b"small")

    async def test_an_answer_counts_until_its_caller_has_read_it(self, held):
        """Guards against slow readers whose answers nobody counts."""
        _, address, handler, memory = held
        n_bytes = 8 * 1024 * 1024

        async def answer(req, res):
            await res.send(200, b"x" * n_bytes)

        handler.handle = answer
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        assert memory.n_held_bytes == n_bytes - FREE_BODY_BYTES
        assert not memory.has_room(2 * FREE_BODY_BYTES)
        writer.transport.abort()
        while memory.n_held_bytes:
            await asyncio.sleep(0.01)
