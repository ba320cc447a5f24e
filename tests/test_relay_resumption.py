"""What requests that take up streams get, by what they state and what is known."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec
import pytest

from celerytrail.http.messages import Response
from celerytrail.nodes.signing import PeerKeys
from celerytrail.relay.resumption import ORIGIN_UNKNOWN, VERSION_GONE
from celerytrail.relay.updatemessages import NodeUpdate, OriginEntry, RunEntry
from celerytrail.settings import SigningKey
from celerytrail.status import STATUS_PATH
from standins.modelworker import request_body
from tests.relayrig import HOST, KEY, config, error_type
from tests.versionrig import EngineFleet, run_engine_fleet

OTHER_KEY = "key-of-other"
N_EVENTS = 6
TENANTS = [
    {"name": "org", "api-keys": [KEY]},
    {"name": "other", "api-keys": [OTHER_KEY]},
]


@dataclass(kw_only=True)
class Desk:
    """Sends single requests to a fleet of three nodes."""

    rig: EngineFleet
    n_sent: int = 0

    async def send(
        self, node: int = 0, *, key: str = KEY, path: str = "/check/1", **headers: str
    ) -> Response:
        """Send a request; names of headers have underscores."""
        self.n_sent += 1
        address = self.rig.fleet.nodes[node].cfg.callers
        assert address is not None
        answered = await self.rig.fleet.client.request(
            address,
            "POST",
            path,
            body=request_body(N_EVENTS),
            headers={
                "host": HOST,
                "authorization": f"Bearer {key}",
                "x-attempt-id": f"r{self.n_sent}",
                "x-time-budget-ms": "8000",
                "x-token-count": "100,50",
                **{name.replace("_", "-"): value for name, value in headers.items()},
            },
        )
        return answered.unwrap()

    async def begin(self, node: int = 0) -> tuple[str, str]:
        """Let a stream begin; return its attempt's id and its engine's version."""
        res = await self.send(node)
        assert res.status == 200
        return f"r{self.n_sent}", version_of(res)

    @property
    def ran(self) -> set[str]:
        """Return the attempts that engines ran."""
        return {run for engine in self.rig.all_engines for run in engine.ran}


def version_of(res: Response) -> str:
    """Return the version of the engine that sent all events of an answer."""
    found = {
        line.rpartition(" ")[2]
        for line in res.body.decode().split("\n")
        if line.startswith("sender: ")
    }
    assert len(found) == 1
    return found.pop()


def run_desk(steps, *versions: str) -> None:
    """Run a test's steps against a fleet with one engine of each version."""

    async def test(rig: EngineFleet) -> None:
        rig.fleet.store.put("op", "config", config(2, tenants=TENANTS))
        for version in versions:
            await rig.add_engine(version)
        await asyncio.sleep(2.0)
        await steps(Desk(rig=rig))

    run_engine_fleet(3, test)


class TestHeaders:
    def test_both_headers_go_on_at_the_version_that_began(self):
        async def steps(desk: Desk) -> None:
            for node in (1, 2, 0):
                attempt, version = await desk.begin()
                for _ in range(4):
                    res = await desk.send(node, last_event_id="2", resumes=attempt)
                    assert res.status == 200
                    assert version_of(res) == version
                    assert res.body.startswith(b"id: 3\n")

        run_desk(steps, "v1", "v2", "v2")

    def test_an_event_of_an_unnamed_stream_goes_on_nowhere_among_versions(self):
        # A caller that names no attempt holds events of nobody knows which version.
        async def steps(desk: Desk) -> None:
            res = await desk.send(last_event_id="2")
            assert (res.status, error_type(res)) == (421, ORIGIN_UNKNOWN)
            assert "retry-after" not in res.headers
            assert desk.ran == set()

        run_desk(steps, "v1", "v2")

    def test_an_event_of_an_unnamed_stream_goes_on_at_the_only_version(self):
        async def steps(desk: Desk) -> None:
            await asyncio.sleep(15.0)
            res = await desk.send(last_event_id="2")
            assert res.status == 200

        run_desk(steps, "v1", "v1")

    def test_a_named_stream_without_an_event_is_bound_too(self):
        # The caller may hold events and have lost count.
        async def steps(desk: Desk) -> None:
            for _ in range(4):
                attempt, version = await desk.begin()
                res = await desk.send(1, resumes=attempt)
                assert (res.status, version_of(res)) == (200, version)

        run_desk(steps, "v1", "v2")

    @pytest.mark.parametrize("resumes", ["nobody", "r1, r1", "x" * 4_000, "%00"])
    def test_a_name_that_is_no_stream_is_refused_at_once(self, resumes: str):
        async def steps(desk: Desk) -> None:
            await desk.begin()
            began_at = asyncio.get_running_loop().time()
            res = await desk.send(1, last_event_id="2", resumes=resumes)
            assert (res.status, error_type(res)) == (421, ORIGIN_UNKNOWN)
            assert asyncio.get_running_loop().time() < began_at + 0.2
            assert desk.ran == {"r1"}

        run_desk(steps, "v1", "v2")

    def test_empty_headers_are_no_headers(self):
        async def steps(desk: Desk) -> None:
            res = await desk.send(last_event_id="", resumes="")
            assert res.status == 200

        run_desk(steps, "v1", "v2")

    def test_a_stream_of_another_organisation_is_unknown(self):
        # The answer must not tell that such a stream exists.
        async def steps(desk: Desk) -> None:
            attempt, _ = await desk.begin()
            for name in (attempt, "nobody"):
                res = await desk.send(1, key=OTHER_KEY, last_event_id="2", resumes=name)
                assert (res.status, error_type(res)) == (421, ORIGIN_UNKNOWN)

        run_desk(steps, "v1", "v2")


class TestVersionsThatLeave:
    def test_a_stream_whose_version_has_left_is_refused_at_once(self):
        # Waiting for an engine of it would take the caller's time to begin anew.
        async def steps(desk: Desk) -> None:
            attempt, version = await desk.begin()
            engine = next(
                one for one in desk.rig.engines.values() if one.software == version
            )
            await desk.rig.leave(engine, 0.5)
            await asyncio.sleep(0.5)
            res = await desk.send(1, last_event_id="2", resumes=attempt)
            assert (res.status, error_type(res)) == (421, VERSION_GONE)
            assert f"r{desk.n_sent}" not in desk.ran

        run_desk(steps, "v1", "v2")

    def test_a_version_that_was_there_makes_an_unknown_stream_go_on_nowhere(self):
        # One version is left, but the stream may have begun at the other.
        async def steps(desk: Desk) -> None:
            engine = next(iter(desk.rig.engines.values()))
            await desk.rig.leave(engine, 0.5)
            await asyncio.sleep(1.0)
            res = await desk.send(last_event_id="2", resumes="nobody")
            assert (res.status, error_type(res)) == (421, ORIGIN_UNKNOWN)
            await asyncio.sleep(16.0)
            res = await desk.send(last_event_id="2", resumes="nobody")
            assert res.status == 200

        run_desk(steps, "v1", "v2")


class TestOtherNodes:
    def test_a_node_that_has_just_started_asks(self):
        async def steps(desk: Desk) -> None:
            attempt, version = await desk.begin(0)
            await desk.rig.restart_node(2)
            await asyncio.sleep(3.0)
            res = await desk.send(2, last_event_id="2", resumes=attempt)
            assert (res.status, version_of(res)) == (200, version)

        run_desk(steps, "v1", "v2")

    def test_a_node_that_reaches_no_owner_sends_callers_to_others(self):
        # Another node may know the stream; this one must not say that nobody does.
        async def steps(desk: Desk) -> None:
            attempt, _ = await desk.begin(0)
            desk.rig.fleet.cut_off(2)
            desk.rig.fleet.nodes[2].origins.origins.expire(1e12)
            res = await desk.send(2, last_event_id="2", resumes=attempt)
            assert (res.status, error_type(res)) == (503, ORIGIN_UNKNOWN)
            assert float(res.headers["retry-after"]) > 0
            res = await desk.send(1, last_event_id="2", resumes=attempt)
            assert res.status == 200

        run_desk(steps, "v1", "v2")


class TestAllNodesKilled:
    async def replace_all(self, desk: Desk) -> None:
        """Kill all nodes and start them again; another version takes over."""
        former = desk.rig.all_engines[0]
        for node in range(3):
            await desk.rig.restart_node(node)
        await desk.rig.crash(former)
        await desk.rig.add_engine("v2")

    def test_a_long_waiting_callers_stream_does_not_go_on_at_another_version(self):
        """Guards against an answer joined from two versions after a kill of all nodes.

        The caller's time is longer than the route's, and little of it is left.
        """

        async def steps(desk: Desk) -> None:
            await desk.send(x_time_budget_ms="39000")
            attempt = f"r{desk.n_sent}"
            await self.replace_all(desk)
            await asyncio.sleep(5.0)
            for node in range(3):
                assert (await desk.send(node, x_time_budget_ms="39000")).status == 200
            await asyncio.sleep(25.0)
            for node in range(3):
                res = await desk.send(
                    node, last_event_id="2", resumes=attempt, x_time_budget_ms="8000"
                )
                assert res.status == 421
                assert error_type(res) == ORIGIN_UNKNOWN

        run_desk(steps, "v1")

    def test_a_shorter_timeout_does_not_shorten_what_must_be_known(self):
        """Guards against the same when the route's timeout is cut before the kill."""

        async def steps(desk: Desk) -> None:
            await desk.send()
            attempt = f"r{desk.n_sent}"
            cfg = config(3, tenants=TENANTS)
            for entry in cfg["routes"]:
                entry["timeout-ms"] = 1_500
            desk.rig.fleet.store.put("op", "config", cfg)
            await self.replace_all(desk)
            await asyncio.sleep(2.0)
            for node in range(3):
                assert (await desk.send(node)).status == 200
            await asyncio.sleep(1.0)
            for node in range(3):
                res = await desk.send(
                    node, last_event_id="2", resumes=attempt, x_time_budget_ms="2000"
                )
                assert res.status == 421
                assert error_type(res) == ORIGIN_UNKNOWN

        run_desk(steps, "v1")


class TestMessages:
    """Nodes of the last release run beside those of this one while it is rolled out."""

    def test_an_update_of_the_last_release_is_read(self):
        class Former(msgspec.Struct, array_like=True):
            node: str
            is_complete: bool = False
            runs: list[RunEntry] = []

        data = msgspec.msgpack.encode(Former(node="vm-1"))
        assert msgspec.msgpack.decode(data, type=NodeUpdate).origins == []

    def test_the_last_release_reads_an_update_of_this_one(self):
        class Former(msgspec.Struct, array_like=True):
            node: str
            is_complete: bool = False

        entry = OriginEntry(key=b"k", service="models", version="v1", seconds=1.0)
        data = msgspec.msgpack.encode(NodeUpdate(node="vm-1", origins=[entry]))
        assert msgspec.msgpack.decode(data, type=Former).node == "vm-1"


class TestWhatOperatorsSee:
    def test_status_and_metrics_name_the_versions(self):
        async def steps(desk: Desk) -> None:
            attempt, _ = await desk.begin()
            await desk.send(1, last_event_id="2", resumes=attempt)
            node = desk.rig.fleet.nodes[1]
            assert node.cfg.peers is not None
            key = SigningKey(key_id="k", secret=f"nodes of {node.cfg.store}".encode())
            client = desk.rig.fleet.client
            headers = PeerKeys(keys=[key.secret]).headers("GET", STATUS_PATH, b"")
            answered = await client.request(
                node.cfg.peers, "GET", STATUS_PATH, headers=headers
            )
            status = msgspec.json.decode(answered.unwrap().body)
            assert status["software_versions"] == {
                "models": {"v1": {"ready": 1}, "v2": {"ready": 1}}
            }
            unsigned = await client.request(node.cfg.peers, "GET", STATUS_PATH)
            assert unsigned.unwrap().status == 403
            answered = await client.request(node.cfg.peers, "GET", "/metrics")
            text = answered.unwrap().body.decode()
            assert 'service="models",version="v2"' in text
            assert "celerytrail_resumptions_total{" in text

        run_desk(steps, "v1", "v2")
