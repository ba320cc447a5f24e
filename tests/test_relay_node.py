"""Tests a relay node between callers and stand-ins for the workers and the store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from result import Err

from celerytrail.http.client import HttpClient
from celerytrail.policies.endpointchoice import ANNOUNCE_SECONDS
from celerytrail.relay.shutdown import (
    OTHER_NODE_RETRY_SECONDS,
    OUTAGE_RETRY_SECONDS,
)
from celerytrail.relay.tunnelserver import STOPPING
from celerytrail.rowsource import RowSource, StoreUnavailable
from standins.worker import EngineWorker, WorkerFaults
from tests.relayrig import (
    HOST,
    KEY,
    Rig,
    config,
    error_type,
    expected_events,
    node_host,
    route,
    running_first,
    split_events,
    wait_until,
)


@pytest_asyncio.fixture
async def rig() -> AsyncIterator[Rig]:
    relay_rig = Rig()
    await relay_rig.start()
    yield relay_rig
    await relay_rig.close()


class TestPlainCalls:
    async def test_an_answer_is_returned_complete_with_its_seal(self, rig):
        endpoint = await rig.add_plain_worker("d1")
        await rig.add_node()
        res = await rig.request("/file/1?x=2", body=b"deposit")
        assert res.status == 200
        assert res.body == b"d1 deposit"
        assert res.headers["x-response-seal"] == "seal of d1"
        (seen,) = endpoint.seen
        assert (seen.req.path, seen.req.query) == ("/file/1", "x=2")
        assert seen.req.headers["x-tenant-id"] == "org"
        assert seen.req.headers["x-target-instance"] == "d1"
        assert "authorization" not in seen.req.headers

    async def test_an_unsafe_request_is_not_repeated_once_it_may_have_run(self, rig):
        # The endpoint accepts the request and resets the connection. If it were
        # repeated, a deposit could be charged twice; if it were reported as not run,
        # the caller would repeat it.
        first, second = (
            await rig.add_plain_worker("d1"),
            await rig.add_plain_worker("d2"),
        )
        first.faults = second.faults = WorkerFaults(resets=True)
        await rig.add_node()
        res = await rig.request("/file/1")
        assert res.status == 502
        assert len(first.seen) + len(second.seen) == 1

    async def test_a_refused_unsafe_request_is_sent_to_another_endpoint(self, rig):
        first, second = (
            await rig.add_plain_worker("d1"),
            await rig.add_plain_worker("d2"),
        )
        first.faults = WorkerFaults(refuses=True)
        await rig.add_node()
        for _ in range(6):
            assert (await rig.request("/file/1")).status == 200
        assert len(second.ran) == 6
        assert first.ran == []

    async def test_refusal_by_all_endpoints_returns_503_with_retry_after(self, rig):
        endpoint = await rig.add_plain_worker("d1")
        endpoint.faults = WorkerFaults(refuses=True)
        await rig.add_node()
        res = await rig.request("/file/1")
        assert res.status == 503
        assert float(res.headers["retry-after"]) > 0
        assert endpoint.ran == []

    async def test_a_failed_safe_request_is_retried_at_another_endpoint(self, rig):
        first, second = (
            await rig.add_plain_worker("d1"),
            await rig.add_plain_worker("d2"),
        )
        first.faults = WorkerFaults(status=500)
        second.faults = WorkerFaults(status=500)
        await rig.add_node()
        assert (await rig.request("/look/1", "GET")).status == 500
        assert len(first.seen) == len(second.seen) == 1
        second.faults = WorkerFaults()
        assert (await rig.request("/look/1", "GET")).status == 200

    @pytest.mark.parametrize(
        "faults",
        [
            WorkerFaults(cuts_after_bytes=1),
            WorkerFaults(is_unsealed=True),
            WorkerFaults(echoes_other_id=True),
        ],
    )
    async def test_an_incomplete_or_foreign_answer_is_not_relayed(self, rig, faults):
        # The endpoint breaks off, sends bytes without its seal, or answers another
        # request. The caller would take a partial answer, or the answer to somebody
        # else's request, for its own.
        endpoint = await rig.add_plain_worker("d1")
        endpoint.faults = faults
        await rig.add_node()
        res = await rig.request("/file/1")
        assert res.status == 502
        assert b"d1" not in res.body

    async def test_an_extra_answer_is_not_relayed(self, rig):
        # A faulty endpoint sends a second answer after the first. If the connection
        # were kept, the next request on it would receive that answer.
        endpoint = await rig.add_plain_worker("d1")
        endpoint.faults = WorkerFaults(has_extra=True)
        await rig.add_node()
        for number in range(5):
            body = f"n{number}".encode()
            res = await rig.request("/file/1", body=body)
            assert res.status in (200, 502)
            assert res.status == 502 or res.body == b"d1 " + body

    async def test_an_endpoint_whose_address_was_reassigned_is_not_used(self, rig):
        # An endpoint disappeared and its address was reassigned to another service. The
        # request would be executed by a service that the route doesn't name.
        other_service = await rig.add_plain_worker("stranger")
        healthy = await rig.add_plain_worker("d2")
        rig.store.drop("servers", "stranger")
        rig.store.put("servers", "d1", other_service.row("desk"))
        await rig.add_node()
        for _ in range(6):
            assert (await rig.request("/file/1")).status == 200
        assert other_service.ran == []
        assert len(healthy.ran) == 6

    async def test_a_request_is_cancelled_when_the_caller_disconnects(self, rig):
        endpoint = await rig.add_plain_worker("d1")
        endpoint.faults = WorkerFaults(is_mute=True)
        node = await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/file/1"))
        await wait_until(lambda: endpoint.ran)
        pending.cancel()
        await wait_until(lambda: node.n_endpoint_requests == 0)

    async def test_a_silent_endpoint_times_out(self, rig):
        endpoint = await rig.add_plain_worker("d1")
        endpoint.faults = WorkerFaults(is_mute=True)
        changed = config(2)
        changed["routes"] = [
            route("file", "unsafe", "desk") | {"timeout-ms": 200},
        ]
        rig.store.put("op", "config", changed)
        await rig.add_node()
        res = await rig.request("/file/1")
        assert res.status == 504


class TestRoutesAndKeys:
    async def test_unknown_routes_and_keys_are_refused(self, rig):
        await rig.add_plain_worker("d1")
        await rig.add_node()
        assert (await rig.request("/nowhere/")).status == 404
        assert (await rig.request("/file/1", headers=rig.headers("bad"))).status == 401
        assert (await rig.request("/file/1", headers=rig.headers(None))).status == 401

    async def test_a_public_route_needs_no_key(self, rig):
        await rig.add_plain_worker("d1")
        changed = config(2)
        changed["routes"] = [route("open", "safe", "desk") | {"public": True}]
        rig.store.put("op", "config", changed)
        await rig.add_node()
        res = await rig.request("/open/1", "GET", headers=rig.headers(None))
        assert res.status == 200

    async def test_an_older_configuration_never_replaces_a_newer_one(self, rig):
        # The operator revokes a key. Late answers and rows of older versions must not
        # restore it.
        await rig.add_plain_worker("d1")
        node = await rig.add_node()
        assert (await rig.request("/file/1")).status == 200
        rig.store.put("op", "config", config(5, tenants=[]))
        await wait_until(lambda: node.configs.cfg.version == 5)
        assert (await rig.request("/file/1")).status == 401
        rig.store.put("op", "config", config(4))
        rig.store.put("op", "config", config(6, tenants=[]))
        await wait_until(lambda: node.configs.cfg.version == 6)
        assert (await rig.request("/file/1")).status == 401

    async def test_an_unreadable_configuration_keeps_the_previous_one(self, rig):
        await rig.add_plain_worker("d1")
        node = await rig.add_node()
        rig.store.put("op", "config", b"{torn")
        rig.store.put("servers", "d9", b"\xff")
        rig.store.put("op", "config", config(3))
        await wait_until(lambda: node.configs.cfg.version == 3)
        assert (await rig.request("/file/1")).status == 200

    async def test_requests_are_refused_when_the_keys_are_stale(self, rig):
        # The store stops answering, so the node can't learn of revoked keys. It must
        # refuse requests as not run, and report itself as not ready.
        endpoint = await rig.add_plain_worker("d1")
        node = await rig.add_node(revoke_seconds=1.0)
        rig.store.faults.is_silent = True
        await wait_until(lambda: not node.is_ready)
        res = await rig.request("/file/1")
        assert res.status == 503
        assert error_type(res) == "keys_unknown"
        assert endpoint.seen == []
        rig.store.faults.is_silent = False
        await wait_until(lambda: node.is_ready)
        assert (await rig.request("/file/1")).status == 200

    async def test_retry_after_is_longer_when_no_node_serves(self, rig):
        # The store is unavailable to all nodes. With the short Retry-After, callers
        # used up their tries before it recovered. Where another node serves, they can
        # go there without delay.
        first = await rig.add_node("vm-1", revoke_seconds=1.5)
        second = await rig.add_node("vm-2", revoke_seconds=1.5)
        await wait_until(
            lambda: len(first.nodes.live()) == len(second.nodes.live()) == 2
        )
        rig.store.faults.is_silent = True
        await wait_until(lambda: not first.is_ready and not second.is_ready)
        await wait_until(lambda: not first.nodes.live() and not second.nodes.live())
        res = await rig.request("/file/1", node=first)
        assert res.status == 503
        assert float(res.headers["retry-after"]) == OUTAGE_RETRY_SECONDS
        second.nodes.set_serving(True)
        await wait_until(lambda: first.nodes.live())
        res = await rig.request("/file/1", node=first)
        assert float(res.headers["retry-after"]) == OTHER_NODE_RETRY_SECONDS

    async def test_requests_are_refused_before_the_first_configuration(self, rig):
        rig.store.drop("op", "config")
        add = asyncio.ensure_future(rig.add_node())
        await wait_until(lambda: rig.store.n_calls > 2)
        while not rig.nodes:
            await asyncio.sleep(0.01)
        res = await rig.request("/file/1")
        assert res.status == 503
        rig.store.put("op", "config", config())
        await add

    async def test_a_table_is_read_in_full_when_the_store_lost_its_history(self, rig):
        await rig.add_plain_worker("d1")
        node = await rig.add_node()
        rig.store.faults.has_forgotten = True
        rig.store.put("op", "config", config(9))
        await wait_until(lambda: node.configs.cfg.version == 9)


class TestGenerations:
    async def test_events_arrive_complete_and_in_order(self, rig):
        engine = await rig.add_engine("e1")
        await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: engine.running)
        await engine.tick(6)
        res = await pending
        assert split_events(res.body) == expected_events(6)

    async def test_a_lost_draft_does_not_end_as_complete(self, rig):
        engine = await rig.add_engine("e1")
        node = await rig.add_node()
        address = node.cfg.callers
        opened = await HttpClient(id_header=None).open(
            address, "POST", "/draft/1", headers=rig.headers()
        )
        stream = opened.unwrap()
        await wait_until(lambda: engine.running)
        await engine.tick(2)
        await engine.close()
        assert isinstance(await stream.read(), Err)
        assert engine.ran == [engine.seen[0].attempt_id]

    async def test_a_partial_event_is_not_relayed(self, rig):
        engine = await rig.add_engine("e1")
        engine.faults = WorkerFaults(cuts_after_bytes=7)
        node = await rig.add_node()
        opened = await HttpClient(id_header=None).open(
            node.cfg.callers, "POST", "/draft/1", headers=rig.headers()
        )
        stream = opened.unwrap()
        await wait_until(lambda: engine.running)
        await engine.tick()
        read = await stream.next_chunk()
        assert isinstance(read, Err)

    async def test_a_resumable_stream_continues_at_another_engine(self, rig):
        engine_1, engine_2 = await rig.add_engine("e1"), await rig.add_engine("e2")
        await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/check/1"))
        first, second = await running_first(engine_1, engine_2)
        await first.tick(2)
        await first.close()
        await wait_until(lambda: second.running)
        await second.tick(6)
        res = await pending
        assert split_events(res.body) == expected_events(6)

    async def test_a_draft_continues_after_its_key_is_revoked(self, rig):
        # No change of the configuration interrupts work in progress: a revoked key
        # blocks new requests, but a running draft is continued, also at another engine.
        first = await rig.add_engine("e1")
        node = await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: first.running)
        await first.tick(2)
        second = await rig.add_engine("e2")
        rig.store.put("op", "config", config(2, tenants=[]))
        await wait_until(lambda: node.configs.cfg.version == 2)
        await wait_until(lambda: len(node.registry.usable_endpoints("models")) == 2)
        rig.store.put("servers", "e1", first.row("models", "draining"))
        await wait_until(lambda: second.running)
        await second.tick(6)
        assert split_events((await pending).body) == expected_events(6)

    async def test_full_engines_lead_to_503_with_retry_after(self, rig):
        engine = await rig.add_engine("e1")
        engine.faults = WorkerFaults(refuses=True)
        await rig.add_node()
        changed = config(2)
        changed["routes"] = [
            route("draft", "streaming", "models") | {"target-latency-ms": 100}
        ]
        rig.store.put("op", "config", changed)
        res = await rig.request("/draft/1")
        assert res.status == 503
        assert float(res.headers["retry-after"]) > 0
        assert engine.ran == []

    async def test_the_engine_stops_when_the_caller_disconnects(self, rig):
        engine = await rig.add_engine("e1")
        await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: engine.running)
        pending.cancel()
        await wait_until(lambda: not engine.running)


class TestStopping:
    async def test_a_draft_that_would_outlast_a_stopping_node_is_refused(self, rig):
        # Callers keep using connections to a stopping node. A draft that arrived four
        # seconds after the stop was cut when the process was killed; as it had run, its
        # caller couldn't repeat it.
        engine = await rig.add_engine("e1")
        node = await rig.add_node()
        other = await rig.add_node("vm-2")
        await wait_until(lambda: len(node.nodes.live()) == 2)
        node.shutdown.begin(asyncio.get_running_loop().time() + 4.0)
        headers = rig.headers(**{"x-token-count": "3000,900"})
        refused = await rig.request("/draft/1", node=node, headers=headers)
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) == OTHER_NODE_RETRY_SECONDS
        assert not engine.seen
        retry_headers = rig.headers(**{"x-token-count": "3000,900"})
        pending = asyncio.ensure_future(
            rig.request("/draft/1", node=other, headers=retry_headers)
        )
        await wait_until(lambda: engine.running)
        await engine.tick(6)
        assert split_events((await pending).body) == expected_events(6)

    async def test_a_stopping_node_still_serves_a_short_generation(self, rig):
        # If it were refused, its caller would lose a try for nothing.
        engine = await rig.add_engine("e1")
        node = await rig.add_node()
        node.shutdown.begin(asyncio.get_running_loop().time() + 6.0)
        headers = rig.headers(**{"x-token-count": "2200,16"})
        pending = asyncio.ensure_future(rig.request("/draft/1", headers=headers))
        await wait_until(lambda: engine.running)
        await engine.tick(6)
        assert split_events((await pending).body) == expected_events(6)

    async def test_a_draft_without_a_head_gets_an_answer_before_the_kill(self, rig):
        """Guards against a connection that ends without an answer at the kill."""
        engine = await rig.add_engine("e1")
        engine.faults = WorkerFaults(is_mute=True)
        node = await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: engine.seen)
        node.shutdown.begin(asyncio.get_running_loop().time() + 0.3)
        res = await pending
        assert (res.status, error_type(res)) == (504, "node_stopped")

    async def test_a_draft_that_waits_for_room_is_refused_as_not_run(self, rig):
        """Guards against a caller that can't repeat what has not run."""
        node = await rig.add_node()
        engine = await rig.add_engine("e1")
        await wait_until(lambda: node.registry.has("e1"))
        headers = rig.headers(**{"x-token-count": "20000,5000"})
        first = asyncio.ensure_future(rig.request("/draft/1", headers=headers))
        await wait_until(lambda: engine.seen)
        headers = rig.headers(**{"x-token-count": "20000,5000"})
        waiting = asyncio.ensure_future(rig.request("/draft/2", headers=headers))
        await asyncio.sleep(0.2)
        node.shutdown.begin(asyncio.get_running_loop().time() + 0.3)
        res = await waiting
        assert (res.status, error_type(res)) == (503, "stopping")
        assert len(engine.seen) == 1
        first.cancel()

    async def test_a_stream_goes_on_until_the_kill(self, rig):
        """Guards against streams that are given up before they are cut."""
        engine = await rig.add_engine("e1")
        node = await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: engine.running)
        await engine.tick(1)
        killed_at = asyncio.get_running_loop().time() + 0.3
        await wait_until(lambda: any(live.n_events for live in node.generations._live))
        node.shutdown.begin(killed_at)
        await wait_until(lambda: asyncio.get_running_loop().time() >= killed_at)
        await engine.tick(5)
        assert split_events((await pending).body) == expected_events(6)

    async def test_a_stopping_node_makes_no_connections_for_others(self, rig):
        """Guards against another node's call that is cut together with this one."""
        await rig.add_plain_worker("d1")
        node = await rig.add_node()
        stopping = asyncio.ensure_future(node.stop())
        await asyncio.sleep(0)
        worker = rig.workers[0]
        assert node.access.tunnels._refusal(worker.address) == STOPPING
        stopping.cancel()


class TestMetrics:
    async def test_requests_are_counted_by_outcome(self, rig):
        await rig.add_plain_worker("d1")
        engine = await rig.add_engine("e1")
        node = await rig.add_node()
        await rig.request("/file/1")
        await rig.request("/file/1", headers=rig.headers("bad"))
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: engine.running)
        await engine.tick(6)
        await pending
        text = await rig.metrics(node)
        assert 'cause="200",event="answered"' in text
        assert 'cause="unknown_key",event="refused"' in text
        assert "celerytrail_relay_answer_seconds" in text
        assert 'relay_wait_seconds_count{process="vm-1",route="draft"} 1' in text
        assert "celerytrail_relay_longest_pause_seconds" in text
        assert "celerytrail_relay_between_events_seconds" in text
        assert "celerytrail_platform_call_seconds" in text
        assert 'celerytrail_platform_calls_total{kind="read",outcome="answered"' in text
        assert "celerytrail_configuration_version" in text


class TestSeveralNodes:
    async def test_an_endpoint_that_failed_one_node_is_avoided_by_another(self, rig):
        # An endpoint resets every request while its row says ready. One node loses some
        # requests to it; its announcement keeps the requests of the other node away.
        failing = await rig.add_plain_worker("d1")
        first = await rig.add_node("vm-1")
        second = await rig.add_node("vm-2")
        await wait_until(lambda: len(second.nodes.live()) == 2)
        await wait_until(lambda: len(first.nodes.live()) == 2)
        failing.faults = WorkerFaults(resets=True)
        for _ in range(3):
            await rig.request("/file/1", node=first)
            await asyncio.sleep(ANNOUNCE_SECONDS)
        await rig.add_plain_worker("d2")
        await wait_until(lambda: len(second.registry.usable_endpoints("desk")) == 2)
        answers = [await rig.request("/file/1", node=second) for _ in range(6)]
        assert [res.status for res in answers] == [200] * 6

    async def test_callers_get_the_addresses_of_all_nodes_until_one_stops(self, rig):
        await rig.add_plain_worker("d1")
        first, second = await rig.add_node("vm-1"), await rig.add_node("vm-2")
        await wait_until(lambda: len(first.nodes.live()) == 2)
        addresses = await self.fetch_addresses(rig, first)
        assert sorted(addresses) == sorted(
            [str(first.cfg.callers), str(second.cfg.callers)]
        )
        stopping = asyncio.ensure_future(second.stop())
        await wait_until(lambda: len(first.nodes.live()) == 1)
        assert await self.fetch_addresses(rig, first) == [str(first.cfg.callers)]
        # It still answers callers that use its address, and asks them to reconnect
        # elsewhere.
        res = await rig.request("/file/1", node=second)
        assert res.status == 200
        assert res.headers["connection"] == "close"
        stopping.cancel()

    @staticmethod
    async def fetch_addresses(rig, node) -> list[str]:
        answered = await HttpClient(id_header=None).request(
            node.cfg.directory, "GET", f"/api/resolve?name={HOST}&zone=a"
        )
        return list(answered.unwrap().json()["addresses"])

    async def test_one_node_follows_the_store_for_all(self, rig):
        nodes = [await rig.add_node(f"vm-{number}") for number in range(3)]
        await wait_until(lambda: all(len(node.nodes.live()) == 3 for node in nodes))
        assert sum(node.shared_rows.sources.is_reader for node in nodes) == 1
        rig.store.put("op", "config", config(8))
        await wait_until(lambda: all(node.configs.cfg.version == 8 for node in nodes))

    async def test_a_node_without_access_to_the_store_learns_from_others(self, rig):
        # The store refuses one node and serves the others. The node's callers would be
        # refused although the other node knows the whole configuration.
        await rig.add_plain_worker("d1")
        healthy = await rig.add_node("vm-1")
        isolated = await rig.add_node("vm-2", store=UnavailableStore())
        await wait_until(lambda: len(healthy.nodes.live()) == 2)
        rig.store.put("op", "config", config(4))
        await wait_until(lambda: isolated.configs.cfg.version == 4)
        assert (await rig.request("/file/1", node=isolated)).status == 200

    async def test_a_placed_run_is_announced_to_the_other_nodes(self, rig):
        engine = await rig.add_engine("e1")
        first, second = await rig.add_node("vm-1"), await rig.add_node("vm-2")
        await wait_until(
            lambda: len(first.nodes.live()) == len(second.nodes.live()) == 2
        )
        pending = asyncio.ensure_future(rig.request("/draft/1", node=first))
        await wait_until(lambda: len(second.loads.runs_on_engine("e1")) == 1)
        await wait_until(lambda: engine.running)
        await engine.tick(6)
        await pending
        await wait_until(lambda: second.loads.runs_on_engine("e1") == [])


class TestCrashedButRegistered:
    """The registrations of crashed endpoints remain for some seconds, and to every node
    these endpoints look like the least loaded ones, so that each request is sent to
    them first.
    """

    @staticmethod
    async def draft(rig: Rig, engine: EngineWorker, path: str) -> None:
        pending = asyncio.ensure_future(rig.request(path))
        await wait_until(lambda: engine.running or pending.done())
        await engine.tick(6)
        assert split_events((await pending).body) == expected_events(6)

    async def test_a_draft_is_placed_on_a_live_engine(self, rig):
        crashed = [await rig.add_engine(f"e{number}") for number in range(5)]
        for engine in crashed:
            await engine.close()
        live_engine = await rig.add_engine("alive")
        await rig.add_node(retry_slack=0.0)
        await self.draft(rig, live_engine, "/draft/1")

    async def test_an_unreachable_engine_is_not_tried_again(self, rig):
        engines = [await rig.add_engine(f"e{number}") for number in range(2)]
        await engines[0].close()
        node = await rig.add_node(retry_slack=0.0)
        for number in range(3):
            await self.draft(rig, engines[1], f"/draft/{number}")
        text = await rig.metrics(node)
        tried = 'cause="connect_refused",event="attempt_failed"'
        lines = [line for line in text.splitlines() if tried in line]
        assert not lines or lines[0].endswith(" 1")

    async def test_refused_connections_use_no_retry_budget(self, rig):
        crashed = [await rig.add_plain_worker(f"d{number}") for number in range(2)]
        for endpoint in crashed:
            await endpoint.close()
        await rig.add_plain_worker("alive")
        await rig.add_node(retry_slack=0.0)
        for path in ("/file/1", "/look/1"):
            assert (await rig.request(path)).status == 200


class TestLongStoreOutage:
    """The store is unavailable until all nodes are out of service. They still run,
    exchange messages and have drafts in progress.
    """

    async def test_a_leaving_engine_is_still_detected(self, rig):
        # Only the engine's own report states that it leaves. If no node polled it, its
        # drafts would be lost at its shutdown.
        engine = await rig.add_engine("e1")
        node = await rig.add_node(revoke_seconds=1.0)
        await wait_until(lambda: node.registry.usable_endpoints("models"))
        rig.store.faults.is_silent = True
        await wait_until(lambda: not node.is_ready)
        await wait_until(lambda: not node.nodes.live())
        engine.leaves_ms = 1_500.0
        await wait_until(lambda: not node.registry.usable_endpoints("models"))

    async def test_nodes_still_count_one_another_as_heard(self, rig):
        # The retry budget is shared among the nodes that receive one another's
        # messages. If they counted as lost, each would use one node's share only, and
        # callers would get no retry.
        first = await rig.add_node("vm-1", revoke_seconds=1.0)
        second = await rig.add_node("vm-2", revoke_seconds=1.0)
        await wait_until(
            lambda: len(first.nodes.live()) == len(second.nodes.live()) == 2
        )
        rig.store.faults.is_silent = True
        await wait_until(lambda: not first.nodes.live())
        assert first._peers.node_order.running_share() == 1.0


class UnavailableStore(RowSource):
    """A store that refuses this node."""

    async def read(self, table, deadline, *, at_least=0):
        return Err(StoreUnavailable(reason="status 503", status=503))

    async def follow(self, table, after, wait_seconds, deadline):
        return Err(StoreUnavailable(reason="status 503", status=503))

    async def put(self, table, key, value, deadline):
        return Err(StoreUnavailable(reason="status 503", status=503))

    async def drop(self, table, key, deadline):
        return Err(StoreUnavailable(reason="status 503", status=503))


def test_concurrent_test_runs_use_different_addresses():
    """Guards concurrent test runs on one machine, such as CI beside load tests: a node
    whose port was taken by a node of the other run made a test fail without a fault.
    """
    hosts = {
        node_host(number, pid) for number in range(3) for pid in (700, 701, 95_000)
    }
    assert len(hosts) == 9


def test_the_key_of_the_rig_is_the_configured_one():
    tenants = config()["tenants"]
    assert tenants == [{"name": "org", "api-keys": [KEY]}]
