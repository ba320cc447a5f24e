"""Connections through another node, on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from asyncio import StreamReader, StreamWriter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import msgspec
import pytest
from result import Err

from celerytrail.http.client import HttpClient, NotSent, RequestLost
from celerytrail.http.messages import Request
from celerytrail.http.network import SystemNetwork
from celerytrail.http.routes import Router
from celerytrail.http.server import Handler, HttpServer, Responder
from celerytrail.http.tunnels import (
    END_PREFIX,
    HOLD_SECONDS,
    N_END_BYTES,
    TunnelRefusedError,
    new_end,
    open_tunnel,
)
from celerytrail.metrics import Metrics
from celerytrail.nodes.signing import PeerKeys
from celerytrail.platform.wire import MAX_PAUSE_SECONDS
from celerytrail.policies.reach import Reach
from celerytrail.relay.endpointanswers import RelayedStatements
from celerytrail.relay.tunnelserver import (
    MAX_TUNNELS,
    NO_ROOM,
    STOPPING,
    TUNNEL_PATH,
    UNKNOWN,
    UNREACHED,
    TunnelRequest,
    TunnelServer,
    decode_statements,
)
from celerytrail.types import Address
from tests.relayrig import wait_until

LOOPBACK = Address(host="127.0.0.1", port=0)
KEYS = PeerKeys(keys=[b"key"])
STATED = RelayedStatements(pause_seconds=1.5, is_leaving=True)


class EndpointHandler(Handler):
    """Answers with a length, without one, in parts, or not at all."""

    def __init__(self) -> None:
        self.go_on = asyncio.Event()
        self.n_waiting = 0

    async def handle(self, req: Request, res: Responder) -> None:
        transport = res._conn.transport
        assert transport is not None
        if req.path == "/unframed":
            transport.write(b"HTTP/1.1 200 OK\r\n\r\nwhole")
            transport.close()
        elif req.path == "/parts":
            transport.write(b"HTTP/1.1 200 OK\r\n\r\npart")
            self.n_waiting += 1
            await asyncio.wait(
                [asyncio.ensure_future(self.go_on.wait()), res.lost],
                return_when=asyncio.FIRST_COMPLETED,
            )
            self.n_waiting -= 1
            transport.close()
        elif req.path == "/slow-head":
            transport.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nx-sta")
            await asyncio.sleep(0.01)
            transport.write(b"ted: it\r\ncontent-length: 1\r\n\r\nx")
        elif req.path == "/reset":
            transport.write(b"HTTP/1.1 200 OK\r\n\r\npart")
            await asyncio.sleep(0.01)
            linger = struct.pack("ii", 1, 0)
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            res.abort()
        else:
            await res.send(200, req.body)


class ThroughPeer(SystemNetwork):
    """Connects through a peer."""

    def __init__(self, peer: Address) -> None:
        self.peer = peer
        self.told: list[RelayedStatements] = []

    async def connect(self, factory: Callable, address: Address):
        body = msgspec.json.encode(TunnelRequest(endpoint=str(address)))
        headers = KEYS.headers("POST", TUNNEL_PATH, body)
        return await open_tunnel(
            SystemNetwork(),
            self.peer,
            TUNNEL_PATH,
            body,
            headers,
            factory,
            on_accepted=lambda answered: self.told.append(decode_statements(answered)),
        )


@dataclass(kw_only=True)
class TunnelRig:
    """An endpoint, a node in the middle, and a client that connects through it."""

    handler: EndpointHandler
    endpoint: HttpServer
    address: Address
    reach: Reach
    tunnels: TunnelServer
    middle: HttpServer
    client: HttpClient
    network: ThroughPeer
    unreached: list[Address]
    answers: list[tuple[Address, int, str | None]]

    async def get(self, path: str):
        return await self.client.request(self.address, "GET", path, deadline=None)


@pytest.fixture
async def rig():
    handler = EndpointHandler()
    endpoint = HttpServer(handler=handler)
    address = await endpoint.start(LOOPBACK)
    reach = Reach()
    unreached: list[Address] = []
    answers: list[tuple[Address, int, str | None]] = []
    tunnels = TunnelServer(
        network=SystemNetwork(),
        reach=reach,
        is_endpoint=lambda found: found == address,
        keys=KEYS,
        metrics=Metrics(process="middle"),
        on_unreached=unreached.append,
        statements_at=lambda found: STATED,
        on_answer=lambda found, status, headers, sent_at: answers.append(
            (found, status, headers.get("x-stated"))
        ),
    )
    router = Router()
    tunnels.add_routes(router)
    middle = HttpServer(handler=router)
    peer = await middle.start(LOOPBACK)
    network = ThroughPeer(peer)
    client = HttpClient(network=network, id_header=None, allows_unframed=True)
    yield TunnelRig(
        handler=handler,
        endpoint=endpoint,
        address=address,
        reach=reach,
        tunnels=tunnels,
        middle=middle,
        client=client,
        network=network,
        unreached=unreached,
        answers=answers,
    )
    client.close()
    await middle.close()
    await endpoint.close()


class TestExchange:
    async def test_several_requests_use_one_tunnel(self, rig):
        for _ in range(3):
            answered = await rig.client.request(rig.address, "POST", "/", body=b"abc")
            assert answered.ok_value.body == b"abc"
        assert rig.client.n_connections_made == 1
        assert rig.tunnels.n_open == 1

    async def test_an_answer_that_ends_with_its_connection_is_whole(self, rig):
        answered = await rig.get("/unframed")
        assert answered.ok_value.body == b"whole"

    async def test_bytes_with_which_the_end_could_begin_are_passed_on(self, rig):
        # The last byte of an answer was held for the rest of the end, which never came.
        answered = await rig.client.request(
            rig.address, "POST", "/", body=b"abc" + END_PREFIX
        )
        assert answered.ok_value.body == b"abc" + END_PREFIX

    async def test_an_answer_that_is_reset_is_not_whole(self, rig):
        answered = await rig.get("/reset")
        assert isinstance(answered, Err)
        assert isinstance(answered.err_value, RequestLost)

    async def test_an_answer_is_not_whole_if_the_node_in_the_middle_dies(self, rig):
        # Its system closes the connection as the endpoint would do at the proper end.
        reading = asyncio.ensure_future(rig.get("/parts"))
        await wait_until(lambda: rig.handler.n_waiting == 1)
        for conn in rig.middle._tasks.values():
            conn.transport.write_eof()
        answered = await reading
        assert isinstance(answered, Err)
        assert isinstance(answered.err_value, RequestLost)

    async def test_the_endpoint_learns_that_the_caller_has_left(self, rig):
        reading = asyncio.ensure_future(rig.get("/parts"))
        await wait_until(lambda: rig.handler.n_waiting == 1)
        reading.cancel()
        await wait_until(lambda: rig.handler.n_waiting == 0)
        await wait_until(lambda: rig.tunnels.n_open == 0)


class TestUnreadRequests:
    @pytest.mark.parametrize("is_direct", [False, True])
    @pytest.mark.parametrize("is_reset", [False, True])
    @pytest.mark.parametrize("n_read", [1, 100_000])
    async def test_a_request_cut_while_it_is_written_counts_as_sent(
        self, rig, n_read, is_reset, is_direct
    ):
        """Guards against "not sent" of a request of which some bytes have left."""

        async def serve(reader: StreamReader, writer: StreamWriter) -> None:
            await reader.readexactly(n_read)
            if is_reset:
                writer.transport.abort()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        rig.tunnels._is_endpoint = lambda _: True
        client = HttpClient(id_header=None) if is_direct else rig.client
        answered = await client.request(
            Address(host="127.0.0.1", port=port), "POST", "/", body=bytes(4_000_000)
        )
        assert isinstance(answered.err_value, RequestLost)
        server.close()


class TestStatements:
    async def test_the_node_in_the_middle_reads_the_head_of_an_answer(self, rig):
        # It passed bytes on unread; the endpoint had spoken to it.
        answered = await rig.get("/slow-head")
        assert answered.ok_value.status == 503
        assert rig.answers == [(rig.address, 503, "it")]

    async def test_it_tells_what_it_knows_before_anything_is_sent(self, rig):
        # The caller's node hadn't heard that the endpoint wants no requests.
        await rig.get("/")
        assert rig.network.told == [STATED]

    def test_a_node_of_an_earlier_version_tells_nothing(self):
        nothing = RelayedStatements()
        assert decode_statements({}) == nothing
        assert decode_statements({"x-endpoint-pause": "soon"}) == nothing

    @pytest.mark.parametrize("text", ["inf", "1e400", "9" * 5_000, "nan", "-inf"])
    def test_a_pause_that_a_node_tells_of_has_an_end(self, text):
        """Guards against an endpoint that a node never uses again."""
        stated = decode_statements({"x-endpoint-pause": text})
        assert 0 <= stated.pause_seconds <= MAX_PAUSE_SECONDS


@contextlib.asynccontextmanager
async def tunnel_of(stated: bytes, *writes: bytes) -> AsyncIterator[HttpClient]:
    """Give a client of a node in the middle that writes some bytes and closes.

    ``stated`` is what it adds to its answer to the request for a tunnel.
    """
    tasks = set()

    async def serve(reader: StreamReader, writer: StreamWriter) -> None:
        tasks.add(asyncio.current_task())
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 101 Switching\r\nconnection: upgrade\r\n"
            b"upgrade: celerytrail-tunnel\r\n" + stated + b"\r\n"
        )
        await writer.drain()
        for data in writes:
            await asyncio.sleep(2.5 * HOLD_SECONDS)
            writer.write(data)
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()

    server = await asyncio.start_server(serve, LOOPBACK.host, 0)
    port = server.sockets[0].getsockname()[1]
    network = ThroughPeer(Address(host=LOOPBACK.host, port=port))
    client = HttpClient(network=network, id_header=None, allows_unframed=True)
    yield client
    client.close()
    server.close()
    await asyncio.wait(tasks)


class TestEnds:
    @pytest.mark.parametrize("end", [None, "", "ff", "not hexadecimal", "ff" * 17])
    async def test_a_tunnel_without_a_sound_end_is_not_used(self, end):
        """Guards against any close of a tunnel that counts as an answer's end."""
        stated = b"" if end is None else b"x-tunnel-end: %s\r\n" % end.encode()
        async with tunnel_of(stated, b"HTTP/1.1 200 OK\r\n\r\npart") as client:
            answered = await client.request(LOOPBACK, "GET", "/", deadline=None)
        assert isinstance(answered.err_value, NotSent)

    @pytest.mark.parametrize("is_split", [False, True])
    @pytest.mark.parametrize("n_bytes", [0, 1, 8, N_END_BYTES - 1])
    async def test_an_answer_whose_end_is_cut_is_not_whole(self, n_bytes, is_split):
        """Guards against a node that dies while it writes an answer's end."""
        end = new_end()
        stated = b"x-tunnel-end: %s\r\n" % end.hex().encode()
        answer = b"HTTP/1.1 200 OK\r\n\r\npart"
        writes = [answer, end[:n_bytes]] if is_split else [answer + end[:n_bytes]]
        async with tunnel_of(stated, *writes) as client:
            answered = await client.request(LOOPBACK, "GET", "/", deadline=None)
        assert isinstance(answered.err_value, RequestLost)

    async def test_an_answer_behind_its_end_is_not_whole(self):
        """Guards against bytes that belong to no answer and are dropped."""
        end = new_end()
        stated = b"x-tunnel-end: %s\r\n" % end.hex().encode()
        answer = b"HTTP/1.1 200 OK\r\n\r\npart" + end + b"x"
        async with tunnel_of(stated, answer) as client:
            answered = await client.request(LOOPBACK, "GET", "/", deadline=None)
        assert isinstance(answered.err_value, RequestLost)

    @pytest.mark.parametrize("closes", ["node", "to_endpoint", "to_caller"])
    async def test_what_the_node_in_the_middle_closes_itself_is_not_whole(
        self, rig, closes
    ):
        """Guards against an end of the node's own that is passed on as the endpoint's.

        A stopping node closes its tunnels at the end of its grace.
        """
        reading = asyncio.ensure_future(rig.get("/parts"))
        await wait_until(lambda: rig.handler.n_waiting == 1)
        (conn,) = rig.middle._tasks.values()
        pipe = conn.transport.get_protocol()
        if closes == "node":
            await rig.middle.close()
        elif closes == "to_endpoint":
            pipe._other._transport.close()
        else:
            pipe._transport.close()
        assert isinstance((await reading).err_value, RequestLost)


class TestRefusals:
    async def refusal(self, rig) -> str:
        with pytest.raises(TunnelRefusedError) as raised:
            await rig.client._network.connect(asyncio.Protocol, rig.address)
        return raised.value.reason

    async def test_a_refused_tunnel_has_sent_nothing(self, rig):
        rig.tunnels.n_open = MAX_TUNNELS
        answered = await rig.get("/")
        assert isinstance(answered.err_value, NotSent)
        assert await self.refusal(rig) == NO_ROOM

    async def test_no_tunnel_leads_through_another_one(self, rig):
        rig.reach.record_lost(rig.address, 0.0)
        assert await self.refusal(rig) == UNREACHED
        assert rig.endpoint.n_connections == 0

    async def test_no_tunnel_leads_to_an_address_without_an_endpoint(self, rig):
        rig.tunnels._is_endpoint = lambda _: False
        assert await self.refusal(rig) == UNKNOWN

    async def test_an_endpoint_that_the_peer_does_not_reach_is_checked(self, rig):
        await rig.endpoint.close()
        assert await self.refusal(rig) == UNREACHED
        assert rig.unreached == [rig.address]

    async def test_an_unsigned_request_is_refused(self, rig):
        body = msgspec.json.encode(TunnelRequest(endpoint=str(rig.address)))
        with pytest.raises(TunnelRefusedError):
            await open_tunnel(
                SystemNetwork(),
                rig.client._network.peer,
                TUNNEL_PATH,
                body,
                {},
                asyncio.Protocol,
            )
        assert rig.endpoint.n_connections == 0


class TestStopping:
    async def test_a_stopping_node_lets_tunnels_end_and_opens_no_more(self, rig):
        reading = asyncio.ensure_future(rig.get("/parts"))
        await wait_until(lambda: rig.handler.n_waiting == 1)
        loop = asyncio.get_running_loop()
        stopping = asyncio.ensure_future(rig.tunnels.stop(loop.time() + 20.0))
        await asyncio.sleep(0.1)
        assert not stopping.done()
        with pytest.raises(TunnelRefusedError) as raised:
            await rig.client._network.connect(asyncio.Protocol, rig.address)
        assert raised.value.reason == STOPPING
        rig.handler.go_on.set()
        assert (await reading).ok_value.body == b"part"
        await stopping
