"""Group commit: many callers in one exchange, and none pays for another."""

from __future__ import annotations

import asyncio

import pytest

from celerytrail.platform.client import InDoubt, Unavailable
from celerytrail.platform.grouping import GroupedTable
from celerytrail.platform.table import Check, Conflict, Put, Transaction
from tests.fakes import FakeTable


def put_if(key, value, version=0):
    return Transaction(
        checks=(Check(key=key, version=version),), puts=(Put(key=key, value=value),)
    )


def soon(seconds=1.0):
    return asyncio.get_running_loop().time() + seconds


@pytest.mark.looptime
class TestGroupCommit:
    async def test_many_claims_are_one_transaction(self):
        inner = FakeTable()
        table = GroupedTable(inner=inner)
        results = await asyncio.gather(
            *(table.transact(put_if(f"k{n}", n), soon()) for n in range(50))
        )
        assert all(f"k{n}" in r.ok_value.versions for n, r in enumerate(results))
        assert inner.n_transactions == 1

    async def test_a_conflict_fails_nobody_else(self):
        """Two callers use keys that are taken while forty others commit in the same
        moment. Were the group refused as a whole, the forty would be told of a
        conflict that is not theirs.
        """
        inner = FakeTable()
        await inner.transact(put_if("k3", "old"), soon())
        await inner.transact(put_if("k7", "old"), soon())
        table = GroupedTable(inner=inner)
        results = await asyncio.gather(
            *(table.transact(put_if(f"k{n}", n), soon()) for n in range(42))
        )
        losers = {n: r.err_value for n, r in enumerate(results) if r.is_err()}
        assert set(losers) == {3, 7}
        assert all(isinstance(loser, Conflict) for loser in losers.values())
        assert [row.key for row in losers[3].rows] == ["k3"]
        assert inner.n_transactions == 4

    async def test_same_key_in_one_moment_is_taken_once(self):
        """One key is claimed twice in the same moment. One caller gets it."""
        table = GroupedTable(inner=FakeTable())
        results = await asyncio.gather(
            *(table.transact(put_if("k", n), soon()) for n in range(5))
        )
        assert [r.is_ok() for r in results] == [True, False, False, False, False]

    async def test_lost_reply_puts_all_in_doubt(self):
        inner = FakeTable()
        inner.lose_replies = 1
        table = GroupedTable(inner=inner)
        results = await asyncio.gather(
            *(table.transact(put_if(f"k{n}", n), soon()) for n in range(3))
        )
        assert all(isinstance(r.err_value, InDoubt) for r in results)

    async def test_told_not_sent_is_never_sent(self):
        """The platform stands still, so later writes wait in the queue. Those whose
        deadline passes there are told that they had no effect; when the platform
        goes on, they must not be sent after all.
        """
        inner = FakeTable()
        inner.gate = asyncio.Event()
        table = GroupedTable(inner=inner)
        first = [
            asyncio.create_task(table.transact(put_if(f"f{n}", n), soon()))
            for n in range(4 * 64)
        ]
        await asyncio.sleep(0.1)
        late = await table.transact(put_if("late", 1), soon(0.1))
        assert isinstance(late.err_value, Unavailable)
        results = await asyncio.gather(*first)
        assert all(isinstance(r.err_value, InDoubt) for r in results)
        inner.gate.set()
        await asyncio.sleep(10.0)
        assert inner.rows.read(["late"]) == []
        assert len(inner.rows.read([f"f{n}" for n in range(256)])) == 256

    async def test_reads_are_grouped(self):
        inner = FakeTable()
        await inner.transact(put_if("a", 1), soon())
        table = GroupedTable(inner=inner)
        results = await asyncio.gather(
            *(table.read([key], soon()) for key in ("a", "b", "a"))
        )
        assert [list(r.ok_value) for r in results] == [["a"], [], ["a"]]
        assert inner.n_reads == 1
