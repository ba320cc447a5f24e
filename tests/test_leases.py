"""Leases: at most one holder at a time, whatever is lost or paused."""

from __future__ import annotations

import asyncio
import random

import pytest

from celerytrail.clock import LoopClock
from celerytrail.orders.leases import (
    LEASE_PREFIX,
    LEASE_SECONDS,
    MARGIN_SECONDS,
    LeaseKeeper,
)
from celerytrail.platform.table import Put, Transaction
from tests.fakes import FakeTable

TAKEOVER_SECONDS = LEASE_SECONDS + MARGIN_SECONDS


class KeeperPair:
    """Two keepers on one table and one clock."""

    def __init__(self):
        self.table = FakeTable()
        self.clock = LoopClock()
        self.a, self.b = (
            LeaseKeeper(
                table=self.table, holder=name, clock=self.clock, rng=random.Random(name)
            )
            for name in "ab"
        )

    async def take(self, keeper, version=1):
        deadline = self.clock.monotonic() + 1.0
        return await keeper.take("e1", document_version=version, deadline=deadline)


@pytest.fixture
async def pair():
    yield KeeperPair()


@pytest.mark.looptime
class TestLease:
    async def test_released_lease_is_free_at_once_with_higher_fencing(self, pair):
        first = (await pair.take(pair.a)).ok_value
        await pair.a.release(first, first.deadline)
        second = (await pair.take(pair.b)).ok_value
        assert second.fencing == first.fencing + 1
        assert not second.is_after_lapse

    async def test_takeover_waits_until_holder_count_has_ended(self, pair):
        """The holder is paused and never releases the lease. Another node takes over
        only once the holder's own count has surely ended.
        """
        held = (await pair.take(pair.a)).ok_value
        refused = (await pair.take(pair.b)).err_value
        assert refused.reason == "held"
        assert refused.retry_at >= held.deadline + MARGIN_SECONDS
        await sleep_until(pair, held.deadline - 0.001)
        assert held.is_valid(pair.clock.monotonic())
        assert (await pair.take(pair.b)).is_err()
        await sleep_until(pair, refused.retry_at)
        taken = (await pair.take(pair.b)).ok_value
        assert not held.is_valid(pair.clock.monotonic())
        assert taken.is_after_lapse
        assert taken.fencing > held.fencing

    async def test_renewal_restarts_the_takeover_wait(self, pair):
        held = (await pair.take(pair.a)).ok_value
        await pair.take(pair.b)
        await sleep_until(pair, LEASE_SECONDS - 1.0)
        held = (await pair.a.renew(held, held.deadline)).ok_value
        await sleep_until(pair, TAKEOVER_SECONDS + 1.0)
        assert held.is_valid(pair.clock.monotonic())
        assert (await pair.take(pair.b)).is_err()

    async def test_lost_reply_to_acquisition(self, pair):
        pair.table.lose_replies = 1
        assert (await pair.take(pair.a)).is_ok()
        assert (await pair.take(pair.b)).is_err()

    async def test_lost_renewal_does_not_extend_lease(self, pair):
        """A renewal has no effect and its reply is lost. The row still has the holder's
        id from the acquisition, but the holder must not count from the renewal: others
        count from the acquisition.
        """
        held = (await pair.take(pair.a)).ok_value
        first = (await pair.take(pair.b)).err_value
        await sleep_until(pair, LEASE_SECONDS - 1.0)
        pair.table.drop_writes = 1
        assert (await pair.a.renew(held, held.deadline)).is_err()
        await sleep_until(pair, first.retry_at)
        assert (await pair.take(pair.b)).is_ok()

    async def test_concurrent_acquisitions_give_one_holder(self, pair):
        """Two nodes read a free lease at once and both write; only one gets it."""
        results = await asyncio.gather(pair.take(pair.a), pair.take(pair.b))
        assert sorted(result.is_ok() for result in results) == [False, True]

    async def test_lost_acquisition_leaves_lease_free(self, pair):
        """An acquisition has no effect and its reply is lost; the lease stays free."""
        pair.table.drop_writes = 1
        assert (await pair.take(pair.a)).is_err()
        assert (await pair.take(pair.b)).is_ok()

    async def test_old_document_is_refused(self, pair):
        """A node missed three versions. It must not get a lease under which a newer
        document was already acted on.
        """
        first = (await pair.take(pair.a, version=4)).ok_value
        await pair.a.release(first, first.deadline)
        assert (await pair.take(pair.b, version=1)).err_value.reason == "old_document"

    async def test_undecodable_row_is_refused(self, pair):
        row = Put(key=LEASE_PREFIX + "e1", value={"holder": 7})
        await pair.table.transact(Transaction(puts=(row,)), 0.0)
        assert (await pair.take(pair.a)).err_value.reason == "bad_row"

    async def test_store_down_is_refused(self, pair):
        pair.table.is_down = True
        assert (await pair.take(pair.a)).err_value.reason == "store_down"


async def sleep_until(pair, at):
    # Virtual time advances in steps of a microsecond, so a sleep may end just before.
    while pair.clock.monotonic() < at:
        await asyncio.sleep(max(at - pair.clock.monotonic(), 1e-5))
