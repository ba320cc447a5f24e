"""Nodes notice endpoints that start or recover, and show their pace."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest_asyncio

from celerytrail.policies.pace import StartReason
from celerytrail.relay.status import RelayStatus
from tests.relayrig import Rig, wait_until


@pytest_asyncio.fixture
async def rig() -> AsyncIterator[Rig]:
    relay_rig = Rig()
    await relay_rig.start()
    yield relay_rig
    await relay_rig.close()


def paces(node):
    return node._endpoint_state.paces


async def add_first(rig: Rig):
    """Add two endpoints, and a node that finds them in the table."""
    for name in ("d1", "d2"):
        await rig.add_plain_worker(name)
    node = await rig.add_node()
    await wait_until(lambda: len(node.registry.usable_endpoints("desk")) == 2)
    return node


class TestStarts:
    async def test_first_rows_arent_starts(self, rig):
        # Guards against a pace at all endpoints whenever a node starts.
        node = await add_first(rig)
        assert list(paces(node).states()) == []

    async def test_a_new_row_is_a_start(self, rig):
        # Guards against starts that the gate doesn't learn of.
        node = await add_first(rig)
        await rig.add_plain_worker("d3")
        await wait_until(lambda: paces(node).states())
        (state,) = paces(node).states()
        assert (state.endpoint, state.reason) == ("d3", StartReason.NEW)
        assert state.share < 1.0
        assert paces(node).n_by_reason()[StartReason.NEW] == 1
        sent = [rig.request("/file/1") for _ in range(20)]
        assert all(res.status == 200 for res in await asyncio.gather(*sent))
        await wait_until(lambda: paces(node).least_share() == 1.0, seconds=3.0)

    async def test_the_end_of_an_evacuation_is_a_start(self, rig):
        # Guards against a domain that gets all requests at the moment of its return.
        node = await add_first(rig)
        rig.store.put("op", "evacuate/a", {})
        await wait_until(lambda: node.evacuations.domains)
        rig.store.drop("op", "evacuate/a")
        await wait_until(lambda: not node.evacuations.domains)
        reasons = {one.reason for one in paces(node).states()}
        assert reasons == {StartReason.EVACUATION_ENDED}
        # All endpoints of the service have returned, so none is held back.
        regs = node.registry.usable_endpoints("desk")
        assert node._endpoint_state.gate.held_back(regs, regs) == frozenset()


class TestShown:
    async def test_status_and_metrics_show_each_pace(self, rig):
        # Guards against an endpoint without requests for a reason that nobody sees.
        node = await add_first(rig)
        await rig.add_plain_worker("d3")
        await wait_until(lambda: paces(node).states())
        status = RelayStatus(
            nodes=node.nodes,
            config=lambda: node.configs.cfg,
            endpoints=node._endpoint_state,
            generations=node.generations,
            origins=node.origins,
            crashes=node.crashes,
            keys=node._keys,
            metrics=node._metrics,
        )
        (shown,) = status.collect()["paces"]
        assert shown["endpoint"] == "d3"
        assert shown["reason"] == "new"
        body, _ = node._metrics.render()
        assert b"celerytrail_pace_changes_total" in body
