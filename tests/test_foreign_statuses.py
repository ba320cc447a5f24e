"""Answers whose status is none of HTTP's, to callers' requests and to a node's own."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest
from result import Err, Ok

from celerytrail.clock import LoopClock
from celerytrail.http.client import HttpClient
from celerytrail.http.messages import Request
from celerytrail.http.network import SystemNetwork
from celerytrail.http.server import Responder
from celerytrail.metrics import Metrics
from celerytrail.nodes.member import Member, State
from celerytrail.nodes.signing import PeerKeys
from celerytrail.policies.runstops import OrderEffect
from celerytrail.relay.engineapi import EngineApi, effect_of
from celerytrail.relay.peerrequests import PeerRequests
from celerytrail.relay.storeclient import make_rows
from celerytrail.rowsource import StoreInDoubt, StoreUnavailable
from celerytrail.types import Address
from standins.worker import SEAL_HEADER, EngineWorker, PlainWorker, Worker
from tests.limitrig import now
from tests.relayrig import HOST, KEY
from tests.sourcesrig import Fleet, run_fleet
from tests.test_stream_versions import registration

# No final answer has these: three digits from 200 on are needed, and a switch of the
# protocol follows a request for one only.
NO_STATUSES = (
    "000", "001", "099", "101", "199", "20", "0200", "2000", "abc", "2x0", "+20", "-20",
    "+200", "-200", "",
)  # fmt: skip
# HTTP has no such classes either, but a client takes a status that it doesn't know for
# a failure of the server (RFC 9110, 15), and it is an endpoint's own.
ODD_STATUSES = ("600", "999")
FRAMINGS = ("length", "chunks", "close")
BUDGET_SECONDS = 4.0
EVENT = b"id: 0\ndata: word 0\n\n"


def raw_answer(status: str, framing: str, body: bytes, *fields: str) -> bytes:
    """Return an answer with any status; without a length its close ends it."""
    lines = [f"HTTP/1.1 {status} Odd".replace("  ", " "), *fields]
    if framing == "length":
        lines.append(f"content-length: {len(body)}")
    elif framing == "chunks":
        lines.append("transfer-encoding: chunked")
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\n" + body


def answer_oddly(worker: Worker, status: str, framing: str, body: bytes) -> list[str]:
    """Let a worker answer callers' requests with a status; return their attempts."""
    ran: list[str] = []

    async def run(req: Request, res: Responder, attempt_id: str) -> None:
        ran.append(attempt_id)
        fields = [f"x-attempt-id: {attempt_id}", f"{SEAL_HEADER}: s"]
        if isinstance(worker, EngineWorker):
            fields.append("content-type: text/event-stream")
        transport = res._conn.transport
        assert transport is not None
        transport.write(raw_answer(status, framing, body, *fields))
        transport.close()
        await res.lost

    worker._run = run  # type: ignore[method-assign]
    return ran


async def request(fleet: Fleet, name: str, attempt: str) -> tuple[int, str, bool]:
    """Return the status that a caller gets, its seal, and whether the body is whole."""
    address = fleet.nodes[0].cfg.callers
    assert address is not None
    client = HttpClient(network=fleet.wires.network_of("callers"), id_header=None)
    opened = await client.open(
        address,
        "POST",
        f"/{name}/1",
        headers={
            "host": HOST,
            "authorization": f"Bearer {KEY}",
            "x-attempt-id": attempt,
            "x-time-budget-ms": str(round(BUDGET_SECONDS * 1_000)),
            "x-token-count": "100,100",
        },
        deadline=now() + 2 * BUDGET_SECONDS,
    )
    stream = opened.unwrap()
    body = await stream.read(now() + 2 * BUDGET_SECONDS)
    client.close()
    return stream.status, stream.headers.get(SEAL_HEADER, ""), isinstance(body, Ok)


def play(name: str, status: str, framing: str, n_nodes: int) -> tuple[int, str, bool]:
    """Play one request; its node reaches the worker through another one if there is."""
    found: list[tuple[int, str, bool]] = []

    async def steps(fleet: Fleet) -> None:
        network = fleet.wires.network_of("w")
        worker: Worker
        if name == "draft":
            worker, service, body = OddEngine(network), "models", EVENT
        else:
            worker = PlainWorker(worker_id="w", network=network)
            service, body = "desk", b"ok"
        ran = answer_oddly(worker, status, framing, body)
        await worker.start()
        if n_nodes > 1:
            fleet.wires.refuse("vm-0", "w")
        fleet.store.put("servers", "w", worker.row(service))
        await asyncio.sleep(2.0)
        found.append(await request(fleet, name, "a1"))
        assert ran == ["a1"]
        await worker.close()

    run_fleet(1, steps, n_nodes)
    return found[0]


class OddEngine(EngineWorker):
    """An engine in memory, whose reports are sound."""

    def __init__(self, network) -> None:
        super().__init__(worker_id="w")
        self._server._network = network


class RawServer:
    """Answers each request with the same bytes, and closes."""

    def __init__(self, answer: bytes) -> None:
        self._answer = answer

    async def __aenter__(self) -> Address:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return Address(host=host, port=port)

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        await reader.read(65_536)
        writer.write(self._answer)
        writer.close()


class TestCallers:
    @pytest.mark.parametrize("n_nodes", [1, 2])
    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("status", NO_STATUSES)
    @pytest.mark.parametrize("name", ["file", "draft"])
    def test_an_answer_without_a_status_reaches_no_caller(
        self, name, status, framing, n_nodes
    ):
        """Guards against status 000 of a worker in trouble that a caller gets."""
        assert play(name, status, framing, n_nodes) == (502, "", True)

    @pytest.mark.parametrize("n_nodes", [1, 2])
    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("status", ODD_STATUSES)
    @pytest.mark.parametrize("name", ["file", "draft"])
    def test_a_status_of_an_unknown_class_is_the_endpoints_failure(
        self, name, status, framing, n_nodes
    ):
        """Guards against a failure that bears another status than its endpoint's."""
        assert play(name, status, framing, n_nodes) == (int(status), "s", True)


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("status", NO_STATUSES + ODD_STATUSES)
class TestOwnRequests:
    """Guards against bytes that are no answer, and count as one of a node's own."""

    def api(self) -> EngineApi:
        self.recorded: list[int] = []
        return EngineApi(
            client=HttpClient(id_header=None, keeps_connections=False),
            on_answer=lambda _, status, *more: self.recorded.append(status),
        )

    def known(self, status: str) -> list[int]:
        """Return the statuses that may count as answers."""
        return [int(status)] if status in ODD_STATUSES else []

    async def test_a_report(self, status, framing):
        fields = {"queued": 0, "in-flight": 0, "kv-used": 0, "kv-total": 1, "born": 1}
        body = msgspec.json.encode(fields)
        async with RawServer(raw_answer(status, framing, body)) as address:
            api = self.api()
            report = await api.report(registration("v1", address=address), now() + 1.0)
        assert isinstance(report, Err)
        assert self.recorded == self.known(status)

    async def test_a_copy(self, status, framing):
        body = msgspec.json.encode({"handle": "h", "created": 3})
        async with RawServer(raw_answer(status, framing, body)) as address:
            api = self.api()
            copied = await api.copy(
                address, "a1", address, is_last=True, deadline=now() + 1.0
            )
        assert isinstance(copied, Err)
        if not self.known(status):
            assert copied.err_value.handle is None
            assert effect_of(copied) is OrderEffect.UNKNOWN
        assert self.recorded == self.known(status)

    async def test_the_release_of_a_copy(self, status, framing):
        async with RawServer(raw_answer(status, framing, b"ok")) as address:
            api = self.api()
            await api.free_copy(address, "h", now() + 1.0)
        assert self.recorded == self.known(status)

    async def test_the_store(self, status, framing):
        body = msgspec.json.encode(
            {"rows": [], "has-more": False, "ver": 7, "now-ms": 1}
        )
        async with RawServer(raw_answer(status, framing, body)) as address:
            rows = make_rows(
                address,
                network=SystemNetwork(),
                clock=LoopClock(),
                rng=random.Random(1),
                metrics=Metrics(process="node"),
            )
            deadline = now() + 1.0
            found = [
                await rows.read("servers", deadline),
                await rows.follow("servers", 1, 0.0, deadline),
                await rows.put("nodes", "n", b"x", deadline),
                await rows.drop("nodes", "n", deadline),
            ]
        assert all(isinstance(one, Err) for one in found), found
        kinds = [type(one.err_value) for one in found]
        assert kinds == [StoreUnavailable] * 2 + [StoreInDoubt] * 2

    async def test_another_node(self, status, framing):
        async with RawServer(raw_answer(status, framing, b"{}")) as address:
            requests = PeerRequests(
                client=HttpClient(id_header=None),
                keys=PeerKeys(keys=[b"k"]),
                metrics=Metrics(process="node"),
            )
            member = Member(
                node="n", incarnation=1, caller=address, peer=address, state=State.ALIVE
            )
            answered = await requests.post(
                member, "/x", Nothing(), Nothing, now() + 1.0
            )
        assert isinstance(answered, Err)


class Nothing(msgspec.Struct):
    """A message, and an answer, that say nothing."""
