"""Tests the guarantees of the HTTP client and server that the relay depends on."""

from __future__ import annotations

import asyncio
import socket
import struct

import h11
import pytest
from result import Err

from celerytrail.exceptions import ConnectionClosedError
from celerytrail.http.client import HttpClient
from celerytrail.http.messages import Connection
from celerytrail.http.network import SystemNetwork
from celerytrail.http.server import Handler, HttpServer
from celerytrail.types import Address
from standins.worker import unframed_answer

LOCAL = Address(host="127.0.0.1", port=0)


async def raw_server(answer: bytes, *, reset_when: asyncio.Event | None = None):
    """Start a server that answers each connection's first request with raw bytes."""

    async def serve(reader, writer):
        await reader.read(65_536)
        writer.write(answer)
        await writer.drain()
        if reset_when is not None:
            # A reset also discards what the peer hasn't read yet.
            await reset_when.wait()
            # With a linger time of 0, closing sends a reset instead of an orderly end.
            sock = writer.get_extra_info("socket")
            zero_linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
            writer.transport.abort()
        else:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, Address(host="127.0.0.1", port=server.sockets[0].getsockname()[1])


async def held_server(answer: bytes):
    """Start a server that sends raw bytes, and closes once an event is set."""
    release = asyncio.Event()

    async def serve(reader, writer):
        await reader.read(65_536)
        writer.write(answer)
        await release.wait()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = Address(host="127.0.0.1", port=server.sockets[0].getsockname()[1])
    return server, address, release


def worker_client() -> HttpClient:
    return HttpClient(id_header="x-attempt-id", allows_unframed=True)


class Echo(Handler):
    """Answers with the request's body and counts the requests."""

    def __init__(self) -> None:
        self.n_handled = 0

    async def handle(self, req, res):
        self.n_handled += 1
        await res.send(200, req.body)


class TestUnframedAnswers:
    async def test_an_answer_ended_by_close_is_complete(self):
        server, address = await raw_server(unframed_answer("a1", b"whole"))
        opened = await worker_client().open(
            address, "GET", "/", headers={"x-attempt-id": "a1"}, request_id="a1"
        )
        assert (await opened.unwrap().read()).unwrap() == b"whole"
        server.close()

    async def test_an_answer_ended_by_a_reset_is_incomplete(self):
        # The endpoint fails while it sends an answer without a length. If the reset
        # counted as the end of the answer, a partial answer would look complete.
        is_head_read = asyncio.Event()
        server, address = await raw_server(
            unframed_answer("a1", b"ha"), reset_when=is_head_read
        )
        opened = await worker_client().open(
            address, "GET", "/", headers={"x-attempt-id": "a1"}, request_id="a1"
        )
        stream = opened.unwrap()
        is_head_read.set()
        assert isinstance(await stream.read(), Err)
        server.close()


class TestAborting:
    async def test_a_connection_that_ended_while_it_sent_can_be_aborted(self):
        """Guards against a 500 when an endpoint answers before it has read a body."""
        has_ended = asyncio.Event()

        async def serve(reader, writer):
            writer.write_eof()
            await has_ended.wait()
            while await reader.read(1 << 20):
                pass
            writer.close()
            await writer.wait_closed()
            is_served.set()

        is_served = asyncio.Event()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = Address(host="127.0.0.1", port=server.sockets[0].getsockname()[1])
        conn = await SystemNetwork().connect(
            lambda: Connection(role=h11.CLIENT), address
        )
        conn.transport.write(b"x" * (32 << 20))
        await conn.lost
        has_ended.set()
        await is_served.wait()
        conn.abort()
        conn.close()
        server.close()


class TestClosedStreams:
    async def test_a_stream_closed_by_another_task_is_incomplete(self):
        # A run is moved to another engine while its reader is busy writing to its
        # caller. If the closed stream counted as ended, the partial draft would be
        # completed as whole.
        head = b"HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\ncontent-length: 10\r\n\r\nhalf"
        server, address = await raw_server(head)
        opened = await worker_client().open(
            address, "GET", "/", headers={"x-attempt-id": "a1"}, request_id="a1"
        )
        stream = opened.unwrap()
        stream.close()
        assert isinstance(await stream.next_chunk(), Err)
        server.close()

    async def test_a_waiting_reader_gets_no_end_of_what_this_node_closes(self):
        """Guards against a part of an answer without a length that looks whole."""
        server, address, release = await held_server(unframed_answer("a1", b"half"))
        opened = await worker_client().open(
            address, "GET", "/", headers={"x-attempt-id": "a1"}, request_id="a1"
        )
        stream = opened.unwrap()
        assert (await stream.next_chunk()).unwrap() == b"half"
        reading = asyncio.ensure_future(stream.next_chunk())
        await asyncio.sleep(0.01)
        stream.close()
        assert (await reading).err_value.reason == "abandoned"
        release.set()
        server.close()

    @pytest.mark.parametrize("method", ["abort", "close"])
    @pytest.mark.parametrize("head", ["", "content-length: 10\r\n"])
    async def test_a_closed_connection_tells_its_reader_who_closed_it(
        self, method, head
    ):
        """Guards against an end, or a fault of the peer, that is this node's doing."""
        answer = f"HTTP/1.1 200 OK\r\n{head}\r\nhalf".encode()
        server, address, release = await held_server(answer)
        conn = await SystemNetwork().connect(
            lambda: Connection(role=h11.CLIENT), address
        )
        conn.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
        conn.send(h11.EndOfMessage())
        assert isinstance(await conn.next_event(), h11.Response)
        assert isinstance(await conn.next_event(), h11.Data)
        reading = asyncio.ensure_future(conn.next_event())
        await asyncio.sleep(0.01)
        getattr(conn, method)()
        with pytest.raises(ConnectionClosedError):
            await reading
        with pytest.raises(ConnectionClosedError):
            await conn.next_event()
        release.set()
        server.close()


class TestWithdrawnRequests:
    async def test_nothing_is_sent_after_the_request_is_withdrawn(self):
        # The process was suspended while it connected, and the key was revoked
        # meanwhile.
        handler = Echo()
        server = HttpServer(handler=handler)
        address = await server.start(LOCAL)
        client = HttpClient(id_header=None)
        opened = await client.open(address, "GET", "/", may_send=lambda: False)
        assert isinstance(opened, Err)
        assert opened.err_value.reason == "withdrawn"
        assert (await client.request(address, "GET", "/")).unwrap().status == 200
        assert handler.n_handled == 1
        await server.close()


class TestSmuggling:
    @pytest.mark.parametrize(
        "head",
        [
            b"content-length: 4\r\ntransfer-encoding: chunked\r\n",
            b"transfer-encoding: chunked\r\ncontent-length: 4\r\n",
        ],
    )
    async def test_a_body_with_two_framings_is_refused(self, head):
        # A second request is hidden in what one reader parses as the body and another
        # as the next request. It would be executed under another caller's identity.
        handler = Echo()
        server = HttpServer(handler=handler)
        address = await server.start(LOCAL)
        reader, writer = await asyncio.open_connection(address.host, address.port)
        hidden = b"0\r\n\r\nGET /hidden HTTP/1.1\r\nhost: x\r\n\r\n"
        writer.write(b"POST / HTTP/1.1\r\nhost: x\r\n" + head + b"\r\n" + hidden)
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 400")
        assert answer.count(b"HTTP/1.1") == 1
        assert handler.n_handled == 0
        writer.close()
        await server.close()


class TestRetiring:
    async def test_idle_connections_close_and_new_ones_get_connection_close(self):
        server = HttpServer(handler=Echo())
        address = await server.start(LOCAL)
        client = HttpClient(id_header=None)
        assert (await client.request(address, "GET", "/")).unwrap().status == 200
        server.retire()
        (idle,) = client._pool._idle[address]
        await idle.conn.lost
        res = (await client.request(address, "GET", "/")).unwrap()
        assert res.headers["connection"] == "close"
        assert client.n_connections_made == 2
        await server.close()
