"""Finished claims are deleted after a week; open ones wait for an operator."""

from __future__ import annotations

import asyncio

import pytest

from celerytrail.services.calls import CLAIM_RETENTION_SECONDS
from celerytrail.services.sweeper import ClaimSweeper
from tests.servicefakes import World, word


@pytest.fixture
async def world_and_sweeper():
    world = World()
    node = world.a
    yield world, ClaimSweeper(table=world.table, clock=node.clock, rng=node.rng)


def short_deadline(world):
    return world.a.clock.monotonic() + 1.0


@pytest.mark.looptime
class TestSweep:
    async def test_finished_claims_are_deleted_and_open_ones_kept(
        self, world_and_sweeper
    ):
        world, sweeper = world_and_sweeper
        for n in range(150):
            await world.a.file(f"k{n}")
        world.http.script = ["lost_after"]
        await world.a.file("lost")
        await asyncio.sleep(CLAIM_RETENTION_SECONDS - 10.0)
        assert await sweeper.sweep() + await sweeper.sweep() == 0
        await asyncio.sleep(60.0)
        # Without newer claims no other VM's clock confirms that the claims expired.
        assert await sweeper.sweep() + await sweeper.sweep() == 0
        for node in (world.a, world.b):
            await node.file(f"new-{node.clock}")
        for _ in range(4):
            await sweeper.sweep()
        assert len(world.table.rows.scan("claims/", "", 500)) == 3
        assert word(await world.b.file("lost")) == "unknown"

    async def test_clock_that_jumped_ahead_deletes_nothing(self, world_and_sweeper):
        """A node's clock jumps a month ahead, so that all finished claims seem expired
        there. If they were deleted, a retry would run its call a second time.
        """
        world, sweeper = world_and_sweeper
        await world.a.file()
        await world.b.file("other")
        world.a.clock.wall_offset += 30 * 24 * 3600.0
        await world.a.file("ahead")
        for _ in range(3):
            assert await sweeper.sweep() == 0
        assert word(await world.b.file()) == "replayed"


@pytest.mark.looptime
class TestSettle:
    async def lose_call(self, world):
        world.http.script = ["lost_before"]
        await world.a.file(seconds=10.0)

    async def test_operator_finds_that_it_did_not_run(self, world_and_sweeper):
        world, sweeper = world_and_sweeper
        await self.lose_call(world)
        await asyncio.sleep(60.0)
        (open_claim,) = (
            await sweeper.open_claims(short_deadline(world))
        ).ok_value.claims
        settled = await sweeper.settle(
            open_claim, "not_run", by="ana", deadline=short_deadline(world)
        )
        assert settled.is_ok()
        assert word(await world.b.file()) == "answered"
        assert len(world.run_attempts) == 1

    async def test_operator_finds_that_it_ran(self, world_and_sweeper):
        world, sweeper = world_and_sweeper
        await self.lose_call(world)
        await asyncio.sleep(60.0)
        (open_claim,) = (
            await sweeper.open_claims(short_deadline(world))
        ).ok_value.claims
        await sweeper.settle(
            open_claim, "answered", by="ana", deadline=short_deadline(world)
        )
        assert word(await world.b.file()) == "replayed"
        assert world.run_attempts == []

    async def test_call_that_may_be_running_is_not_listed_as_open(
        self, world_and_sweeper
    ):
        """A claim without an outcome is not listed as open before its deadline, as its
        node may only be paused. If it were settled as not run, the key would be free
        and the resumed node could still send.
        """
        world, sweeper = world_and_sweeper
        world.http.gate = asyncio.Event()
        call = asyncio.create_task(world.a.file(seconds=30.0))
        await asyncio.sleep(20.0)
        assert (await sweeper.open_claims(short_deadline(world))).ok_value.claims == ()
        world.http.gate.set()
        assert word(await call) == "answered"

    async def test_second_of_two_operators_is_refused(self, world_and_sweeper):
        world, sweeper = world_and_sweeper
        await self.lose_call(world)
        await asyncio.sleep(60.0)
        (open_claim,) = (
            await sweeper.open_claims(short_deadline(world))
        ).ok_value.claims
        first = await sweeper.settle(
            open_claim, "answered", by="a", deadline=short_deadline(world)
        )
        second = await sweeper.settle(
            open_claim, "not_run", by="b", deadline=short_deadline(world)
        )
        assert (first.is_ok(), second.is_ok()) == (True, False)
