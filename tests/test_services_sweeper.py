"""Finished claims are deleted after a week; open ones wait for an operator."""

from __future__ import annotations

import asyncio

import pytest

from celerytrail.services.calls import CLAIM_RETENTION_SECONDS
from celerytrail.services.sweeper import ClaimSweeper
from tests.servicefakes import Cluster, outcome_name


@pytest.fixture
async def cluster_and_sweeper():
    cluster = Cluster()
    node = cluster.a
    yield cluster, ClaimSweeper(table=cluster.table, clock=node.clock, rng=node.rng)


def short_deadline(cluster):
    return cluster.a.clock.monotonic() + 1.0


@pytest.mark.looptime
class TestSweep:
    async def test_finished_claims_are_deleted_and_open_ones_kept(
        self, cluster_and_sweeper
    ):
        cluster, sweeper = cluster_and_sweeper
        for n in range(150):
            await cluster.a.file(f"k{n}")
        cluster.http.script = ["lost_after"]
        await cluster.a.file("lost")
        await asyncio.sleep(CLAIM_RETENTION_SECONDS - 10.0)
        assert await sweeper.sweep() + await sweeper.sweep() == 0
        await asyncio.sleep(60.0)
        # Without newer claims no other VM's clock confirms that the claims expired.
        assert await sweeper.sweep() + await sweeper.sweep() == 0
        for node in (cluster.a, cluster.b):
            await node.file(f"new-{node.clock}")
        for _ in range(4):
            await sweeper.sweep()
        assert len(cluster.table.rows.scan("claims/", "", 500)) == 3
        assert outcome_name(await cluster.b.file("lost")) == "unknown"

    async def test_clock_that_jumped_ahead_deletes_nothing(self, cluster_and_sweeper):
        """A node's clock jumps a month ahead, so that all finished claims seem expired
        there. If they were deleted, a retry would run its call a second time.
        """
        cluster, sweeper = cluster_and_sweeper
        await cluster.a.file()
        await cluster.b.file("other")
        cluster.a.clock.wall_offset += 30 * 24 * 3600.0
        await cluster.a.file("ahead")
        for _ in range(3):
            assert await sweeper.sweep() == 0
        assert outcome_name(await cluster.b.file()) == "replayed"


@pytest.mark.looptime
class TestSettle:
    async def lose_call(self, cluster):
        cluster.http.script = ["lost_before"]
        await cluster.a.file(seconds=10.0)

    async def test_operator_finds_that_it_did_not_run(self, cluster_and_sweeper):
        cluster, sweeper = cluster_and_sweeper
        await self.lose_call(cluster)
        await asyncio.sleep(60.0)
        (open_claim,) = (
            await sweeper.open_claims(short_deadline(cluster))
        ).ok_value.claims
        settled = await sweeper.settle(
            open_claim, "not_run", by="ana", deadline=short_deadline(cluster)
        )
        assert settled.is_ok()
        assert outcome_name(await cluster.b.file()) == "answered"
        assert len(cluster.run_attempts) == 1

    async def test_operator_finds_that_it_ran(self, cluster_and_sweeper):
        cluster, sweeper = cluster_and_sweeper
        await self.lose_call(cluster)
        await asyncio.sleep(60.0)
        (open_claim,) = (
            await sweeper.open_claims(short_deadline(cluster))
        ).ok_value.claims
        await sweeper.settle(
            open_claim, "answered", by="ana", deadline=short_deadline(cluster)
        )
        assert outcome_name(await cluster.b.file()) == "replayed"
        assert cluster.run_attempts == []

    async def test_call_that_may_be_running_is_not_listed_as_open(
        self, cluster_and_sweeper
    ):
        """A claim without an outcome is not listed as open before its deadline, as its
        node may only be paused. If it were settled as not run, the key would be free
        and the resumed node could still send.
        """
        cluster, sweeper = cluster_and_sweeper
        cluster.http.gate = asyncio.Event()
        call = asyncio.create_task(cluster.a.file(seconds=30.0))
        await asyncio.sleep(20.0)
        assert (
            await sweeper.open_claims(short_deadline(cluster))
        ).ok_value.claims == ()
        cluster.http.gate.set()
        assert outcome_name(await call) == "answered"

    async def test_second_of_two_operators_is_refused(self, cluster_and_sweeper):
        cluster, sweeper = cluster_and_sweeper
        await self.lose_call(cluster)
        await asyncio.sleep(60.0)
        (open_claim,) = (
            await sweeper.open_claims(short_deadline(cluster))
        ).ok_value.claims
        first = await sweeper.settle(
            open_claim, "answered", by="a", deadline=short_deadline(cluster)
        )
        second = await sweeper.settle(
            open_claim, "not_run", by="b", deadline=short_deadline(cluster)
        )
        assert (first.is_ok(), second.is_ok()) == (True, False)
