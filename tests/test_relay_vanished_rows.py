"""Rows that vanish and come back, at small and large fleets."""

from __future__ import annotations

import asyncio

import pytest

from celerytrail.http.client import HttpClient
from standins.modelworker import ModelWorker
from tests.fuzzseeds import fleet_sizes
from tests.relayrig import Rig, wait_until
from tests.versionrig import EngineFleet, run_engine_fleet

SIZES = [12, *fleet_sizes()]
SECONDS_AWAY = 5.0
SECONDS_BACK = 4.0
# How much lower the served share may be once the rows are back.
SHARE_SLACK = 0.02
SERVED_SECONDS = 8.0


def n_listing(rig: EngineFleet, engine: ModelWorker) -> int:
    """Return how many nodes may send an engine new work."""
    return sum(
        engine.worker_id
        in {reg.endpoint for reg in node.registry.usable_endpoints("models")}
        for node in rig.fleet.nodes
    )


async def served_share(rig: EngineFleet, seed: int) -> float:
    """Return the share of new streams that are served at their first try."""
    callers = rig.callers(per_second=10.0, seed=seed, break_share=0.0)
    await callers.run(SERVED_SECONDS)
    first = [stream.tries[0] for stream in callers.streams]
    return sum(one.status == 200 for one in first) / len(first)


class TestRows:
    @pytest.mark.parametrize("n_nodes", SIZES)
    def test_engines_whose_rows_are_back_are_used_by_all_nodes(self, n_nodes):
        """Guards against workers that are never used again after one lapse."""

        async def test(rig: EngineFleet) -> None:
            engines = [await rig.add_engine() for _ in range(3)]
            await asyncio.sleep(3.0)
            for sequence, engine in enumerate(engines, start=2):
                rig.fleet.store.drop("servers", engine.worker_id)
                await asyncio.sleep(SECONDS_AWAY)
                assert n_listing(rig, engine) == 0
                row = engine.row("models", slots=24, sequence=sequence)
                rig.fleet.store.put("servers", engine.worker_id, row)
                await asyncio.sleep(SECONDS_BACK)
                assert n_listing(rig, engine) == n_nodes

        run_engine_fleet(n_nodes, test)

    @pytest.mark.parametrize("n_nodes", SIZES)
    def test_rows_that_only_some_nodes_see_vanish_are_used_by_all(self, n_nodes):
        """Guards against an absence that one node saw and others didn't."""

        async def test(rig: EngineFleet) -> None:
            engines = [await rig.add_engine() for _ in range(3)]
            await asyncio.sleep(3.0)
            store = rig.fleet.store
            for sequence in range(2, 8):
                # Shorter than the time between two readings of most nodes.
                for engine in engines:
                    store.drop("servers", engine.worker_id)
                await asyncio.sleep(0.05 * sequence)
                for engine in engines:
                    row = engine.row("models", slots=24, sequence=sequence)
                    store.put("servers", engine.worker_id, row)
                await asyncio.sleep(0.3)
            await asyncio.sleep(SECONDS_BACK)
            assert [n_listing(rig, engine) for engine in engines] == 3 * [n_nodes]

        run_engine_fleet(n_nodes, test)

    @pytest.mark.parametrize("n_nodes", SIZES)
    def test_as_many_streams_are_served_as_before_the_rows_vanished(self, n_nodes):
        """Guards against a service that is never whole again after a lapse."""

        async def test(rig: EngineFleet) -> None:
            engines = [await rig.add_engine() for _ in range(4)]
            await asyncio.sleep(3.0)
            before = await served_share(rig, 1)
            for sequence, engine in enumerate(engines, start=2):
                rig.fleet.store.drop("servers", engine.worker_id)
                await asyncio.sleep(SECONDS_AWAY)
                row = engine.row("models", slots=24, sequence=sequence)
                rig.fleet.store.put("servers", engine.worker_id, row)
            await asyncio.sleep(SECONDS_BACK)
            after = await served_share(rig, 1)
            assert before > 0.9
            assert after >= before - SHARE_SLACK

        run_engine_fleet(n_nodes, test)

    def test_rows_that_come_back_after_a_restart_of_all_nodes_are_used(self):
        """Guards against an absence that outlives the nodes that saw it."""

        async def test(rig: EngineFleet) -> None:
            engine, other = [await rig.add_engine() for _ in range(2)]
            await asyncio.sleep(3.0)
            rig.fleet.store.drop("servers", engine.worker_id)
            await asyncio.sleep(2.0)
            for number in range(12):
                await rig.restart_node(number)
            await asyncio.sleep(2.0)
            row = engine.row("models", slots=24, sequence=2)
            rig.fleet.store.put("servers", engine.worker_id, row)
            await asyncio.sleep(SECONDS_BACK)
            assert (n_listing(rig, engine), n_listing(rig, other)) == (12, 12)

        run_engine_fleet(12, test)

    @pytest.mark.parametrize("n_nodes", SIZES)
    def test_an_engine_that_leaves_stays_away_though_its_row_flaps(self, n_nodes):
        """Guards against requests to a leaving endpoint (DRAIN)."""

        async def test(rig: EngineFleet) -> None:
            engine, _ = [await rig.add_engine() for _ in range(2)]
            await asyncio.sleep(3.0)
            store = rig.fleet.store
            row = engine.row("models", "draining", slots=24, sequence=2)
            store.put("servers", engine.worker_id, row)
            await asyncio.sleep(1.5)
            for sequence in (3, 4):
                store.drop("servers", engine.worker_id)
                await asyncio.sleep(1.5)
                row = engine.row("models", slots=24, sequence=sequence)
                store.put("servers", engine.worker_id, row)
                await asyncio.sleep(SECONDS_BACK)
                assert n_listing(rig, engine) == 0

        run_engine_fleet(n_nodes, test)


class TestNode:
    async def test_calls_are_served_as_before_once_rows_are_back(self):
        """Guards against refusals after all rows of a service lapsed once."""
        rig = Rig()
        await rig.start()
        worker = await rig.add_plain_worker("d1")
        node = await rig.add_node()
        rig.client = HttpClient(id_header=None)
        try:
            assert (await rig.request("/look/1")).status == 200
            rig.store.drop("servers", "d1")
            await wait_until(lambda: not node.registry.usable_endpoints("desk"))
            assert (await rig.request("/look/1")).status == 503
            rig.store.put("servers", "d1", worker.row("desk", sequence=2))
            await wait_until(lambda: node.registry.usable_endpoints("desk"))
            assert (await rig.request("/look/1")).status == 200
        finally:
            await rig.close()
