"""Group commit: many callers in one request, with conflicts kept apart."""

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
    async def test_concurrent_claims_are_one_transaction(self):
        inner = FakeTable()
        table = GroupedTable(inner=inner)
        results = await asyncio.gather(
            *(table.transact(put_if(f"k{n}", n), soon()) for n in range(50))
        )
        assert all(f"k{n}" in r.ok_value.versions for n, r in enumerate(results))
        assert inner.n_transactions == 1

    async def test_conflict_fails_only_its_own_transaction(self):
        """Two callers use keys that are taken while forty others commit at the same
        time. If the whole group were refused, the forty would get a conflict that
        they didn't cause.
        """
        inner = FakeTable()
        await inner.transact(put_if("k3", "old"), soon())
        await inner.transact(put_if("k7", "old"), soon())
        table = GroupedTable(inner=inner)
        results = await asyncio.gather(
            *(table.transact(put_if(f"k{n}", n), soon()) for n in range(42))
        )
        conflicts = {n: r.err_value for n, r in enumerate(results) if r.is_err()}
        assert set(conflicts) == {3, 7}
        assert all(isinstance(conflict, Conflict) for conflict in conflicts.values())
        assert [row.key for row in conflicts[3].rows] == ["k3"]
        assert inner.n_transactions == 4

    async def test_concurrent_claims_of_one_key_succeed_once(self):
        """Five callers claim one key at the same time. Only one gets it."""
        table = GroupedTable(inner=FakeTable())
        results = await asyncio.gather(
            *(table.transact(put_if("k", n), soon()) for n in range(5))
        )
        assert [r.is_ok() for r in results] == [True, False, False, False, False]

    async def test_lost_reply_leaves_whole_group_in_doubt(self):
        inner = FakeTable()
        inner.lose_replies = 1
        table = GroupedTable(inner=inner)
        results = await asyncio.gather(
            *(table.transact(put_if(f"k{n}", n), soon()) for n in range(3))
        )
        assert all(isinstance(r.err_value, InDoubt) for r in results)

    async def test_request_reported_as_not_sent_is_never_sent(self):
        """The platform stalls, so later writes wait in the queue. Those whose deadline
        passes there are reported as without effect. They must not be sent when the
        platform recovers.
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
