"""Leases: two holders never both believe in one, whatever is lost or paused."""

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

WHOLE = LEASE_SECONDS + MARGIN_SECONDS


class Pair:
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
    yield Pair()


@pytest.mark.looptime
class TestLease:
    async def test_given_up_is_free_at_once_with_a_higher_number(self, pair):
        first = (await pair.take(pair.a)).ok_value
        await pair.a.give_up(first, first.deadline)
        second = (await pair.take(pair.b)).ok_value
        assert second.fencing == first.fencing + 1
        assert not second.is_after_lapse

    async def test_others_wait_until_the_holder_has_surely_stopped(self, pair):
        """The holder is paused and never gives up. Another node takes over, but only
        when the holder's own count has ended for certain.
        """
        held = (await pair.take(pair.a)).ok_value
        refused = (await pair.take(pair.b)).err_value
        assert refused.reason == "held"
        assert refused.ask_at >= held.deadline + MARGIN_SECONDS
        await sleep_until(pair, held.deadline - 0.001)
        assert held.holds(pair.clock.monotonic())
        assert (await pair.take(pair.b)).is_err()
        await sleep_until(pair, refused.ask_at)
        taken = (await pair.take(pair.b)).ok_value
        assert not held.holds(pair.clock.monotonic())
        assert taken.is_after_lapse
        assert taken.fencing > held.fencing

    async def test_renewed_lease_is_waited_for_anew(self, pair):
        held = (await pair.take(pair.a)).ok_value
        await pair.take(pair.b)
        await sleep_until(pair, LEASE_SECONDS - 1.0)
        held = (await pair.a.renew(held, held.deadline)).ok_value
        await sleep_until(pair, WHOLE + 1.0)
        assert held.holds(pair.clock.monotonic())
        assert (await pair.take(pair.b)).is_err()

    async def test_lost_reply_to_a_taking(self, pair):
        pair.table.lose_replies = 1
        assert (await pair.take(pair.a)).is_ok()
        assert (await pair.take(pair.b)).is_err()

    async def test_lost_renewal_does_not_extend(self, pair):
        """A renewal never arrives and its reply is lost too. The holder finds its own
        id in the row all the same, but must not count from the renewal: others count
        from the first taking.
        """
        held = (await pair.take(pair.a)).ok_value
        first = (await pair.take(pair.b)).err_value
        await sleep_until(pair, LEASE_SECONDS - 1.0)
        pair.table.drop_writes = 1
        assert (await pair.a.renew(held, held.deadline)).is_err()
        await sleep_until(pair, first.ask_at)
        assert (await pair.take(pair.b)).is_ok()

    async def test_two_at_once(self, pair):
        """Two nodes see a free lease in the same moment and both write. One has it."""
        results = await asyncio.gather(pair.take(pair.a), pair.take(pair.b))
        assert sorted(result.is_ok() for result in results) == [False, True]

    async def test_lost_taking_leaves_it_free(self, pair):
        """A taking never arrives and its reply is lost too. Nobody has the lease."""
        pair.table.drop_writes = 1
        assert (await pair.take(pair.a)).is_err()
        assert (await pair.take(pair.b)).is_ok()

    async def test_old_document_may_not_act(self, pair):
        """A node slept through three versions and wakes up. It must not get a lease
        under which engines were already ordered by a newer document.
        """
        first = (await pair.take(pair.a, version=4)).ok_value
        await pair.a.give_up(first, first.deadline)
        assert (await pair.take(pair.b, version=1)).err_value.reason == "old_document"

    async def test_mangled_row_is_nobodys(self, pair):
        row = Put(key=LEASE_PREFIX + "e1", value={"holder": 7})
        await pair.table.transact(Transaction(puts=(row,)), 0.0)
        assert (await pair.take(pair.a)).err_value.reason == "bad_row"

    async def test_store_down(self, pair):
        pair.table.is_down = True
        assert (await pair.take(pair.a)).err_value.reason == "store_down"


async def sleep_until(pair, at):
    await asyncio.sleep(max(at - pair.clock.monotonic(), 0.0))
