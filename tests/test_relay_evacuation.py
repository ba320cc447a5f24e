"""Evacuated failure domains get no new requests, and what runs there ends."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from celerytrail.policies.evacuations import Evacuations
from standins.worker import EngineWorker
from tests.relayrig import Rig, error_type, expected_events, split_events, wait_until
from tests.sourcesrig import Fleet, run_fleet

EVACUATION_SECONDS = 5.0


@pytest_asyncio.fixture
async def rig() -> AsyncIterator[Rig]:
    relay_rig = Rig()
    await relay_rig.start()
    yield relay_rig
    await relay_rig.close()


async def add_engine(rig: Rig, name: str, domain: str) -> EngineWorker:
    engine = await rig.add_engine(name)
    rig.store.put("servers", name, engine.row("models", zone=domain))
    return engine


async def evacuate(rig: Rig, *domains: str, value: object = None) -> None:
    for domain in domains:
        rig.store.put("op", f"evacuate/{domain}", {} if value is None else value)
    for node in rig.nodes:
        await wait_until(lambda node=node: node.evacuations.domains >= set(domains))


async def take_back(rig: Rig, domain: str) -> None:
    rig.store.drop("op", f"evacuate/{domain}")
    for node in rig.nodes:
        await wait_until(lambda node=node: domain not in node.evacuations.domains)


class TestEvacuation:
    async def test_a_plain_endpoint_gets_nothing_until_its_domain_is_taken_back(
        self, rig
    ):
        endpoints = {}
        for name, domain in (("d1", "a"), ("d2", "b")):
            endpoints[name] = await rig.add_plain_worker(name)
            row = endpoints[name].row("desk", zone=domain)
            rig.store.put("servers", name, row)
        await rig.add_node()
        await evacuate(rig, "a")
        for _ in range(6):
            assert (await rig.request("/file/1")).status == 200
        assert endpoints["d1"].seen == []
        await take_back(rig, "a")
        await evacuate(rig, "b")
        assert (await rig.request("/file/1")).status == 200
        assert len(endpoints["d1"].ran) == 1

    async def test_a_draft_in_progress_ends_where_it_runs(self, rig):
        # The operator empties a domain; work in progress must not be cut.
        first = await add_engine(rig, "e1", "a")
        await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: first.running)
        await first.tick(2)
        second = await add_engine(rig, "e2", "b")
        await evacuate(rig, "a")
        later = asyncio.ensure_future(rig.request("/draft/2"))
        await wait_until(lambda: second.running)
        await first.tick(6)
        await second.tick(6)
        for res in (await pending, await later):
            assert split_events(res.body) == expected_events(6)
        assert len(first.ran) == len(second.ran) == 1

    async def test_a_backup_in_an_evacuated_domain_gets_no_run(self, rig):
        # An engine falls silent after its domain was evacuated. Its runs used to go on
        # at their copies, which are in the same domain.
        engines = [await add_engine(rig, name, "a") for name in ("e1", "e2")]
        await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: any(engine.running for engine in engines))
        source = next(engine for engine in engines if engine.running)
        other = next(engine for engine in engines if engine is not source)
        await source.tick(2)
        await evacuate(rig, "a")
        rig.store.put("servers", source.worker_id, source.row("models", "draining"))
        await asyncio.sleep(0.2)
        await source.tick(6)
        assert split_events((await pending).body) == expected_events(6)
        assert other.seen == []

    async def test_a_run_leaves_an_evacuated_domain_with_its_engine(self, rig):
        first = await add_engine(rig, "e1", "a")
        node = await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: first.running)
        await first.tick(2)
        second = await add_engine(rig, "e2", "b")
        await wait_until(lambda: len(node.registry.usable_endpoints("models")) == 2)
        await evacuate(rig, "a")
        row = first.row("models", "draining", zone="a")
        rig.store.put("servers", "e1", row)
        await wait_until(lambda: second.running)
        await second.tick(6)
        assert split_events((await pending).body) == expected_events(6)


class TestNothingLeft:
    async def test_requests_are_refused_at_once_if_all_domains_are_evacuated(self, rig):
        # A draft used to wait half of its target for an engine that couldn't come.
        engines = [await add_engine(rig, name, name) for name in ("e1", "e2")]
        endpoint = await rig.add_plain_worker("d1")
        await rig.add_node()
        await evacuate(rig, "a", "e1", "e2")
        started_at = asyncio.get_running_loop().time()
        draft = await rig.request("/draft/1")
        filed = await rig.request("/file/1")
        assert asyncio.get_running_loop().time() - started_at < 2.0
        assert (draft.status, error_type(draft)) == (503, "evacuated")
        assert filed.status == 503
        assert float(draft.headers["retry-after"]) > 0
        assert not any(worker.seen for worker in (*engines, endpoint))

    async def test_an_unknown_domain_and_an_unreadable_row(self, rig):
        # The row's key alone names the domain: its value may be torn.
        endpoint = await rig.add_plain_worker("d1")
        await rig.add_node()
        await evacuate(rig, "nowhere")
        assert (await rig.request("/file/1")).status == 200
        await evacuate(rig, "a", value=b"{\xff")
        assert (await rig.request("/file/1")).status == 503
        assert len(endpoint.ran) == 1

    async def test_a_node_that_starts_later_sends_nothing_there(self, rig):
        endpoint = await rig.add_plain_worker("d1")
        rig.store.put("op", "evacuate/a", {})
        await rig.add_node()
        assert (await rig.request("/file/1")).status == 503
        assert endpoint.seen == []


class TestBound:
    """Every undisturbed node applies an evacuation within its bound."""

    @pytest.mark.parametrize("n_frozen", [0, 1, 3, 5])
    def test_readers_freeze_at_the_moment_of_the_evacuation(self, n_frozen: int):
        async def steps(fleet: Fleet) -> None:
            ranked = fleet.ranked
            for number in ranked[:n_frozen]:
                fleet.freeze(number)
            fleet.store.put("op", "evacuate/a", {})
            await asyncio.sleep(EVACUATION_SECONDS)
            for number in ranked[n_frozen:]:
                assert fleet.nodes[number].evacuations.domains == {"a"}

        run_fleet(1, steps)

    def test_the_store_forgets_its_history_while_a_domain_is_taken_back(self):
        async def steps(fleet: Fleet) -> None:
            fleet.store.put("op", "evacuate/a", {})
            await asyncio.sleep(EVACUATION_SECONDS)
            fleet.store.faults.has_forgotten = True
            fleet.store.drop("op", "evacuate/a")
            await asyncio.sleep(EVACUATION_SECONDS)
            assert not any(node.evacuations.domains for node in fleet.nodes)

        run_fleet(1, steps)

    def test_a_run_on_its_way_may_continue_for_less_than_the_bound(self):
        evacuations = Evacuations(continue_seconds=1.0)
        evacuations.set_domains({"a"}, 10.0)
        assert evacuations.is_evacuated("a")
        assert evacuations.may_continue("a", 10.9)
        evacuations.set_domains({"a", "b"}, 10.8)
        assert not evacuations.may_continue("a", 11.0)
        assert evacuations.may_continue("b", 11.0)
        evacuations.set_domains({"b"}, 12.0)
        assert evacuations.may_continue("a", 12.0)
