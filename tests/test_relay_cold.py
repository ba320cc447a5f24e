"""Cold endpoints get no more requests from all nodes together than they tolerate."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from celerytrail.policies.coldlimits import (
    ColdEndpoints,
    NodePosition,
    RankedShares,
)
from celerytrail.policies.rendezvous import rank
from tests.relayrig import Rig, config, expected_events, split_events, wait_until

COLD = {"cold_excess": 1.5, "cold_slack": 5.0}


@pytest_asyncio.fixture
async def rig() -> AsyncIterator[Rig]:
    relay_rig = Rig()
    await relay_rig.start()
    cold = {"cold-s": 1.0, "cold-per-s": 2.0}
    services = [{**service, **cold} for service in config()["services"]]
    relay_rig.store.put("op", "config", config(2, services=services))
    yield relay_rig
    await relay_rig.close()


def cold_row(worker, service: str, seconds: float) -> object:
    return worker.row(service, **{"cold-remaining-ms": round(seconds * 1_000)})


class TestColdEndpoints:
    async def test_two_nodes_together_keep_a_cold_endpoints_limit(self, rig):
        # An endpoint that has just started crashes if all nodes find it idle at once.
        cold = await rig.add_plain_worker("d1")
        warm = await rig.add_plain_worker("d2")
        rig.store.put("servers", "d1", cold_row(cold, "desk", 60.0))
        nodes = [await rig.add_node(f"vm-{n}", **COLD) for n in range(2)]
        await wait_until(
            lambda: (
                all(len(node.nodes.members()) == 2 for node in nodes)
                and all(
                    len(node.registry.usable_endpoints("desk")) == 2 for node in nodes
                )
            )
        )
        sent = [rig.request("/file/1", node=nodes[n % 2]) for n in range(60)]
        for res in await asyncio.gather(*sent):
            assert res.status == 200
        assert 0 < cold.max_requests_per_second <= 8
        assert len(warm.ran) + len(cold.ran) == 60

    async def test_requests_are_refused_if_all_endpoints_are_cold(self, rig):
        cold = await rig.add_plain_worker("d1")
        rig.store.put("servers", "d1", cold_row(cold, "desk", 60.0))
        await rig.add_node(**COLD)
        answers = await asyncio.gather(*(rig.request("/file/1") for _ in range(30)))
        n_served = sum(res.status == 200 for res in answers)
        refused = [res for res in answers if res.status == 503]
        assert n_served == cold.max_requests_per_second <= 8
        assert n_served + len(refused) == 30
        assert all(float(res.headers["retry-after"]) > 0 for res in refused)

    async def test_an_endpoint_that_turns_cold_again_is_limited(self, rig):
        # It is long in use, and its heartbeat states that it has become cold. Such
        # changes of a row used to be treated as heartbeats and not passed on.
        endpoint = await rig.add_plain_worker("d1")
        nodes = [await rig.add_node(f"vm-{n}", **COLD) for n in range(2)]
        rig.store.put("servers", "d1", cold_row(endpoint, "desk", 60.0))
        for node in nodes:
            await wait_until(lambda node=node: node.cold.is_cold("d1", now()))

    async def test_an_endpoints_own_statement_counts(self, rig):
        endpoint = await rig.add_plain_worker("d1")
        endpoint.cold_ms = 60_000
        node = await rig.add_node(**COLD)
        assert (await rig.request("/file/1")).status == 200
        assert node.cold.is_cold("d1", now())

    async def test_a_cold_engine_is_limited(self, rig):
        cold, warm = await rig.add_engine("e1", 1), await rig.add_engine("e2", 1)
        rig.store.put("servers", "e1", cold_row(cold, "models", 60.0))
        node = await rig.add_node(**COLD)
        await wait_until(lambda: len(node.registry.usable_endpoints("models")) == 2)
        sent = [asyncio.ensure_future(rig.request("/check/1")) for _ in range(12)]
        await wait_until(lambda: len(cold.seen) + len(warm.seen) == 12)
        await cold.tick()
        await warm.tick()
        for res in await asyncio.gather(*sent):
            assert split_events(res.body) == expected_events(1)
        assert cold.max_requests_per_second <= 8

    async def test_a_returning_domain_is_treated_as_cold(self, rig):
        # Its endpoints may have turned cold during the evacuation, and all of them are
        # idle when all nodes hear at once that the domain is taken back.
        endpoint = await rig.add_plain_worker("d1")
        node = await rig.add_node(**COLD)
        rig.store.put("op", "evacuate/a", {})
        await wait_until(lambda: node.evacuations.domains)
        rig.store.drop("op", "evacuate/a")
        await wait_until(lambda: not node.evacuations.domains)
        await asyncio.gather(*(rig.request("/file/1") for _ in range(30)))
        assert 0 < endpoint.max_requests_per_second <= 8


def now() -> float:
    return asyncio.get_running_loop().time()


class TestShares:
    @pytest.mark.parametrize("n_nodes", [1, 12, 13, 119, 330])
    @pytest.mark.parametrize("n_per_second", [0.0, 5.0, 8.0, 44.0, 500.0])
    def test_the_shares_add_up_to_less_than_the_limit(self, n_nodes, n_per_second):
        total = sum(
            RankedShares().n_allowed(
                n_per_second, NodePosition(index=index, n_nodes=n_nodes)
            )
            for index in range(n_nodes)
        )
        assert total <= n_per_second
        assert total >= 0.75 * n_per_second - 1

    @pytest.mark.parametrize("seed", range(5))
    def test_nodes_that_know_different_members_keep_the_limit(self, seed):
        """Nodes join, and each of the others knows of only some of the new ones."""
        rng = random.Random(seed)
        old = [f"vm-{n}" for n in range(110)]
        new = [f"new-{n}" for n in range(9)]
        total = 0
        for vm in old + new:
            known = {vm, *old, *(name for name in new if rng.random() < 0.5)}
            position = NodePosition(
                index=rank("cold e1", known).index(vm), n_nodes=len(known)
            )
            total += RankedShares().n_allowed(44.0, position)
        assert total <= 44

    def test_requests_count_in_a_sliding_second(self):
        cold = ColdEndpoints()
        cold.record("e1", 20.0)
        for sent_at in (10.0, 10.6):
            cold.count_request("e1", sent_at)
        assert cold.n_recent("e1", 10.9) == 2
        assert cold.n_recent("e1", 11.1) == 1
        cold.record("e1", 15.0)
        assert cold.is_cold("e1", 19.0)
        cold.expire(20.0)
        assert not cold.is_cold("e1", 20.0)
