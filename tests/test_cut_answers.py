"""Answers and uploads that stop at each of their bytes, by a close or a reset."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Iterator

import msgspec
import pytest
from result import Err, Ok

from celerytrail.clock import SystemClock
from celerytrail.engines.client import EngineClient
from celerytrail.engines.wire import Finished, GenerateRequest
from celerytrail.http.client import HttpClient
from celerytrail.http.messages import Request
from celerytrail.http.network import Network, SystemNetwork
from celerytrail.http.routes import Router
from celerytrail.http.server import Handler, HttpServer, Responder
from celerytrail.http.tunnels import END_PREFIX, open_tunnel
from celerytrail.metrics import Metrics
from celerytrail.nodes.signing import PeerKeys
from celerytrail.platform.registrations import decode_registration
from celerytrail.policies.reach import Reach
from celerytrail.relay.endpointanswers import RelayedStatements
from celerytrail.relay.engineapi import EngineApi
from celerytrail.relay.rowsmessages import RowsAnswer, SentRow
from celerytrail.relay.storeclient import make_rows
from celerytrail.relay.tunnelserver import TUNNEL_PATH, TunnelRequest, TunnelServer
from celerytrail.types import Address
from standins.unframed import FINISH, RESET
from standins.worker import worker_row

LOOPBACK = Address(host="127.0.0.1", port=0)
KEYS = PeerKeys(keys=[b"key"])
SECONDS = 5.0
SEALED = b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n"
CHUNKED = SEALED + b"transfer-encoding: chunked\r\n\r\n"
WITH_LENGTH = SEALED + b"content-length: 5\r\n\r\nwhole"

# Each with the body that it has when it is whole.
FRAMED = {
    "length": (WITH_LENGTH, b"whole"),
    "informational": (CONTINUE + HINTS + WITH_LENGTH, b"whole"),
    "chunks": (CHUNKED + b"3;a=b\r\nwho\r\n2\r\nle\r\n0\r\n\r\n", b"whole"),
    "trailers": (CHUNKED + b"5\r\nwhole\r\n0\r\nx-a: b\r\nx-c: d\r\n\r\n", b"whole"),
    "empty": (SEALED + b"content-length: 0\r\n\r\n", b""),
    "no content": (b"HTTP/1.1 204 No\r\nx-response-seal: s\r\n\r\n", b""),
    "length twice": (
        SEALED + b"content-length: 5\r\ncontent-length: 5\r\n\r\nwhole",
        b"whole",
    ),
    "binary": (
        SEALED + b"content-length: 18\r\n\r\n" + END_PREFIX * 18,
        END_PREFIX * 18,
    ),
}
UNFRAMED_HEAD = HINTS + SEALED + b"\r\n"
# Whole on their channel, and no answers.
INVALID = {
    "two lengths": SEALED + b"content-length: 5\r\ncontent-length: 4\r\n\r\nwhole",
    "signed length": SEALED + b"content-length: +5\r\n\r\nwhole",
    "negative length": SEALED + b"content-length: -5\r\n\r\nwhole",
    "long length": SEALED + b"content-length: " + b"9" * 5_000 + b"\r\n\r\nwhole",
    "signed chunk": CHUNKED + b"+5\r\nwhole\r\n0\r\n\r\n",
    "long chunk size": CHUNKED + b"0" * 5_000 + b"5\r\nwhole\r\n0\r\n\r\n",
    "status line": b"HTTP/1.1 200 OK\r\n",
    "informational only": CONTINUE + HINTS,
    "switched": b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "nothing": b"",
    "line break": b"\r\n",
}


class CuttingPeer:
    """Answers the request on each connection with some bytes, and then closes it."""

    def __init__(self) -> None:
        self.data = b""
        self.linger = FINISH
        self.address = LOOPBACK
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, LOOPBACK.host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address(host=LOOPBACK.host, port=port)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        await reader.read(65_536)
        writer.write(self.data)
        await writer.drain()
        if self.linger == RESET and self.data:
            # What was written arrives before the reset.
            await asyncio.sleep(0.001)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, self.linger)
        writer.transport.abort() if self.linger == RESET else writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()

    async def close(self) -> None:
        """Close, once all connections are closed."""
        self._server.close()
        if self._tasks:
            await asyncio.wait(self._tasks)


class ThroughNode(SystemNetwork):
    """Connects to an endpoint through a node, as one without a path of its own does."""

    def __init__(self, node: Address) -> None:
        self._node = node

    async def connect(self, factory, address):
        body = msgspec.json.encode(TunnelRequest(endpoint=str(address)))
        headers = KEYS.headers("POST", TUNNEL_PATH, body)
        return await open_tunnel(
            SystemNetwork(), self._node, TUNNEL_PATH, body, headers, factory
        )


@pytest.fixture
async def peer():
    peer = CuttingPeer()
    await peer.start()
    yield peer
    await peer.close()


@pytest.fixture(params=["direct", "tunnel"])
async def network(request, peer):
    """Carry connections to the peer: the system's, or through a node."""
    tunnels = TunnelServer(
        network=SystemNetwork(),
        reach=Reach(),
        is_endpoint=lambda found: found == peer.address,
        keys=KEYS,
        metrics=Metrics(process="middle"),
        on_unreached=lambda _: None,
        statements_at=lambda _: RelayedStatements(),
        on_answer=lambda *_: None,
    )
    router = Router()
    tunnels.add_routes(router)
    middle = HttpServer(handler=router)
    node = await middle.start(LOOPBACK)
    yield ThroughNode(node) if request.param == "tunnel" else SystemNetwork()
    await middle.close()


def closes(data: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield each beginning of some bytes with each way to close behind it."""
    for end in range(len(data)):
        for linger in (FINISH, RESET):
            yield data[:end], linger


def deadline() -> float:
    return asyncio.get_running_loop().time() + SECONDS


async def fetch(peer: CuttingPeer, network: Network, *, allows_unframed: bool):
    """Send a request, and return its answer as the client has it."""
    client = HttpClient(
        network=network, id_header=None, allows_unframed=allows_unframed
    )
    answered = await client.request(peer.address, "GET", "/", deadline=deadline())
    client.close()
    return answered


class TestAnswers:
    @pytest.mark.parametrize("name", FRAMED)
    async def test_an_answer_that_stops_at_any_byte_is_no_answer(
        self, peer, network, name
    ):
        """Guards against a success with a part of a body, or with none."""
        data, body = FRAMED[name]
        peer.data, peer.linger = data, FINISH
        whole = await fetch(peer, network, allows_unframed=True)
        assert whole.ok_value.body == body
        for part, linger in closes(data):
            peer.data, peer.linger = part, linger
            answered = await fetch(peer, network, allows_unframed=True)
            assert isinstance(answered, Err), part

    @pytest.mark.parametrize("name", INVALID)
    async def test_bytes_that_are_no_answer_are_none_whatever_closes(
        self, peer, network, name
    ):
        """Guards against bytes whose end is taken for that of an answer."""
        for linger in (FINISH, RESET):
            peer.data, peer.linger = INVALID[name], linger
            answered = await fetch(peer, network, allows_unframed=True)
            assert isinstance(answered, Err)

    async def test_an_answer_without_a_length_needs_its_head_and_a_proper_end(
        self, peer, network
    ):
        """Guards against an empty body in place of one whose head was cut."""
        for part, linger in closes(UNFRAMED_HEAD):
            peer.data, peer.linger = part, linger
            answered = await fetch(peer, network, allows_unframed=True)
            assert isinstance(answered, Err), part
        for n_bytes in range(6):
            peer.data, peer.linger = UNFRAMED_HEAD + b"whole"[:n_bytes], RESET
            answered = await fetch(peer, network, allows_unframed=True)
            assert isinstance(answered, Err), n_bytes

    async def test_a_proper_end_is_all_that_ends_a_body_without_a_length(
        self, peer, network
    ):
        # The protocol allows such answers, and states no form of the seal: nothing
        # tells a body that stopped early from a whole one.
        for n_bytes in range(6):
            body = b"whole"[:n_bytes]
            peer.data, peer.linger = UNFRAMED_HEAD + body, FINISH
            answered = await fetch(peer, network, allows_unframed=True)
            assert answered.ok_value.body == body

    async def test_the_store_and_nodes_always_state_a_length(self, peer):
        """Guards against a table or a message that ends where its channel did."""
        peer.data = UNFRAMED_HEAD + b'{"rows": [], "ver": 1}'
        answered = await fetch(peer, SystemNetwork(), allows_unframed=False)
        assert answered.err_value.reason == "unframed"


def json_answer(value: object, *, is_framed: bool = True) -> bytes:
    """Return an answer with a JSON body."""
    body = msgspec.json.encode(value)
    length = b"content-length: %d\r\n" % len(body) if is_framed else b""
    return b"HTTP/1.1 200 OK\r\n" + length + b"\r\n" + body


class TestStore:
    async def test_an_answer_of_the_store_that_stops_at_any_byte_says_nothing(
        self, peer
    ):
        """Guards against a table without rows, and a write that counts as done."""
        rows = [{"table": "servers", "key": "e1", "ver": 7, "value": "e30="}]
        for data in (json_answer({"rows": rows, "ver": 9}), json_answer({"ver": 9})):
            for part, linger in closes(data):
                peer.data, peer.linger = part, linger
                store = make_rows(
                    peer.address,
                    network=SystemNetwork(),
                    clock=SystemClock(),
                    rng=random.Random(1),
                    metrics=Metrics(process="test"),
                )
                if b"rows" in data:
                    found = await store.follow("servers", 1, 0.0, deadline())
                else:
                    found = await store.put("servers", "e1", b"{}", deadline())
                assert isinstance(found, Err), part


class TestEngines:
    @pytest.mark.parametrize("is_framed", [True, False])
    async def test_a_control_answer_that_stops_at_any_byte_says_nothing(
        self, peer, network, is_framed
    ):
        """Guards against an idle engine, or a copy that was never named."""
        client = HttpClient(network=network, id_header=None, allows_unframed=True)
        api = EngineApi(client=client, on_answer=lambda *_: None)
        row = msgspec.json.encode(worker_row("models", peer.address))
        reg = decode_registration("e1", row).unwrap()
        report = json_answer({"queued": 3, "kv-total": 9}, is_framed=is_framed)
        moved = json_answer({"handle": "copy", "created": 12}, is_framed=is_framed)
        for part, linger in closes(report):
            peer.data, peer.linger = part, linger
            assert isinstance(await api.report(reg, deadline()), Err), part
        for part, linger in closes(moved):
            peer.data, peer.linger = part, linger
            copied = await api.copy(
                peer.address, "a1", peer.address, is_last=True, deadline=deadline()
            )
            assert copied.err_value.handle is None, part
        client.close()


LINES = (
    b'{"offset":0,"token":"a"}\n{"offset":1,"token":"b"}\n',
    b'{"end":"stop","n_tokens":2}\n',
)
GENERATION = b"HTTP/1.1 200 OK\r\nx-generation-id: g\r\nx-engine-incarnation: i\r\n"


def chunked(lines: tuple[bytes, ...]) -> bytes:
    """Return an engine's answer in chunks, which its framing ends."""
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(line), line) for line in lines)
    return GENERATION + b"transfer-encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


async def read_generation(peer: CuttingPeer, network: Network) -> Finished | str:
    """Return the end of a generation, or why there is none."""
    http = HttpClient(network=network, id_header=None)
    client = EngineClient(http=http, clock=SystemClock())
    req = GenerateRequest(generation_id="g", model="m", prompt="p", n_max_tokens=2)
    opened = await client.generate(peer.address, req, deadline=deadline())
    while isinstance(opened, Ok):
        read = await opened.ok_value.next_lines(deadline())
        if isinstance(read, Err):
            return read.err_value.reason
        if isinstance(read.ok_value[-1], Finished):
            return read.ok_value[-1]
    return opened.err_value.reason


class TestGenerations:
    async def test_only_its_end_line_ends_a_generation(self, peer, network):
        """Guards against the framing's end, or a close, taken for the end."""
        peer.data = chunked(LINES)
        whole = await read_generation(peer, network)
        assert isinstance(whole, Finished)
        peer.data = chunked(LINES[:1])
        assert await read_generation(peer, network) == "no_end"
        line_end = chunked(LINES).index(LINES[1]) + len(LINES[1])
        for part, linger in closes(chunked(LINES)[:line_end]):
            peer.data, peer.linger = part, linger
            assert isinstance(await read_generation(peer, network), str), part

    async def test_an_engine_that_states_no_length_is_not_read(self, peer, network):
        """Guards against ends that only a close could show."""
        peer.data = GENERATION + b"\r\n" + b"".join(LINES)
        assert await read_generation(peer, network) == "unframed"


class TestPeers:
    async def test_rows_of_a_node_that_stop_at_any_byte_are_none(self, peer):
        """Guards against a table with a part of its rows."""
        answer = RowsAnswer(
            version=7,
            age_seconds=0.0,
            waited_seconds=0.0,
            rows=[SentRow(key="e1", value=b"{}", version=7)],
        )
        data = json_answer(answer)
        for part, linger in closes(data):
            peer.data, peer.linger = part, linger
            answered = await fetch(peer, SystemNetwork(), allows_unframed=False)
            assert isinstance(answered, Err), part


class Recorder(Handler):
    """Records the bodies of whole requests."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []

    async def handle(self, req: Request, res: Responder) -> None:
        self.bodies.append(req.body)
        await res.send(200)


REQUEST = b"POST /file/x HTTP/1.1\r\nhost: h\r\n"
UPLOADS = {
    "length": REQUEST + b"content-length: 5\r\n\r\nwhole",
    "chunks": REQUEST
    + b"transfer-encoding: chunked\r\n\r\n3;a=b\r\nwho\r\n2\r\nle\r\n0\r\nx: y\r\n\r\n",
}


class TestUploads:
    @pytest.mark.parametrize("name", UPLOADS)
    async def test_an_upload_that_stops_at_any_byte_is_no_request(self, name):
        """Guards against a request that runs with a part of its body (UNASKED)."""
        handler = Recorder()
        server = HttpServer(handler=handler)
        address = await server.start(LOOPBACK)
        data = UPLOADS[name]
        for part, linger in [*closes(data), (data, FINISH)]:
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(part)
            if linger == FINISH:
                writer.write_eof()
                got = await asyncio.wait_for(reader.read(), SECONDS)
                assert b" 200 " not in got or part == data
            else:
                await asyncio.sleep(0.001)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                writer.transport.abort()
            writer.close()
        await server.close()
        assert handler.bodies == [b"whole"]


class TestKept:
    async def test_a_whole_answer_is_read_though_a_reset_follows(self, peer):
        """Guards against checks that pass as no bytes arrive before a reset."""
        peer.data, peer.linger = WITH_LENGTH, RESET
        answered = await fetch(peer, SystemNetwork(), allows_unframed=True)
        assert isinstance(answered, Ok)
