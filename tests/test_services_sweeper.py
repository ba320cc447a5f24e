"""Old claims: finished ones go after a week, open ones wait for a person."""

from __future__ import annotations

import asyncio

import pytest

from celerytrail.services.calls import CLAIM_RETENTION_SECONDS
from celerytrail.services.sweeper import ClaimSweeper
from tests.servicefakes import World, word


@pytest.fixture
async def swept():
    world = World()
    node = world.a
    yield world, ClaimSweeper(table=world.table, clock=node.clock, rng=node.rng)


def soon(world):
    return world.a.clock.monotonic() + 1.0


@pytest.mark.looptime
class TestSweep:
    async def test_finished_claims_go_and_open_ones_stay(self, swept):
        world, sweeper = swept
        for n in range(150):
            await world.a.file(f"k{n}")
        world.http.script = ["lost_after"]
        await world.a.file("lost")
        await asyncio.sleep(CLAIM_RETENTION_SECONDS - 10.0)
        assert await sweeper.sweep() + await sweeper.sweep() == 0
        await asyncio.sleep(60.0)
        # Without newer claims nobody else's clock says that the time is over.
        assert await sweeper.sweep() + await sweeper.sweep() == 0
        for node in (world.a, world.b):
            await node.file(f"new-{node.clock}")
        for _ in range(4):
            await sweeper.sweep()
        assert len(world.table.rows.scan("claims/", "", 500)) == 3
        assert word(await world.b.file("lost")) == "unknown"

    async def test_clock_that_jumped_ahead_deletes_nothing(self, swept):
        """A node's clock jumps a month ahead. By it every finished filing is long
        over; were they deleted, a steward's retry would file a second time.
        """
        world, sweeper = swept
        await world.a.file()
        await world.b.file("other")
        world.a.clock.wall_offset += 30 * 24 * 3600.0
        await world.a.file("ahead")
        for _ in range(3):
            assert await sweeper.sweep() == 0
        assert word(await world.b.file()) == "replayed"


@pytest.mark.looptime
class TestSettle:
    async def lose_one(self, world):
        world.http.script = ["lost_before"]
        await world.a.file(seconds=10.0)

    async def test_operator_finds_that_it_did_not_run(self, swept):
        world, sweeper = swept
        await self.lose_one(world)
        await asyncio.sleep(60.0)
        (opened,) = (await sweeper.open_claims(soon(world))).ok_value.claims
        settled = await sweeper.settle(
            opened, "not_run", by="ana", deadline=soon(world)
        )
        assert settled.is_ok()
        assert word(await world.b.file()) == "answered"
        assert len(world.ledger) == 1

    async def test_operator_finds_that_it_ran(self, swept):
        world, sweeper = swept
        await self.lose_one(world)
        await asyncio.sleep(60.0)
        (opened,) = (await sweeper.open_claims(soon(world))).ok_value.claims
        await sweeper.settle(opened, "answered", by="ana", deadline=soon(world))
        assert word(await world.b.file()) == "replayed"
        assert world.ledger == []

    async def test_call_that_may_be_under_way_is_not_settled(self, swept):
        """An operator sees a claim without an outcome and calls it not run, while the
        node that holds it is merely paused. Were that taken, the key would be free
        and the thawed node could still send.
        """
        world, sweeper = swept
        world.http.gate = asyncio.Event()
        call = asyncio.create_task(world.a.file(seconds=30.0))
        await asyncio.sleep(20.0)
        assert (await sweeper.open_claims(soon(world))).ok_value.claims == ()
        world.http.gate.set()
        assert word(await call) == "answered"

    async def test_two_operators(self, swept):
        world, sweeper = swept
        await self.lose_one(world)
        await asyncio.sleep(60.0)
        (opened,) = (await sweeper.open_claims(soon(world))).ok_value.claims
        first = await sweeper.settle(opened, "answered", by="a", deadline=soon(world))
        second = await sweeper.settle(opened, "not_run", by="b", deadline=soon(world))
        assert (first.is_ok(), second.is_ok()) == (True, False)
