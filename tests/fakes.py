"""In-memory fakes of the platform's services with failures that tests control."""

from __future__ import annotations

import asyncio

from result import Err, Ok
from tablemodel import Rows

from celerytrail.platform.client import InDoubt, Unavailable
from celerytrail.platform.objects import ObjectStore
from celerytrail.platform.table import Committed, Conflict, Row, Table
from celerytrail.platform.vms import VmList


class FakeTable(Table):
    """A table in memory.

    ``is_down`` refuses every request without effect. The three counters are numbers of
    coming writes whose reply is lost: those of ``lose_replies`` take effect, those of
    ``drop_writes`` don't, and those of ``delayed`` take effect at `apply_delayed`, as
    with a platform that was frozen. ``gate``, where set, is awaited before each write
    and each read by key.
    """

    def __init__(self):
        self.rows = Rows()
        self.is_down = False
        self.lose_replies = 0
        self.drop_writes = 0
        self.delayed = 0
        self.gate = None
        self.n_transactions = 0
        self.n_reads = 0
        self._delayed_writes = []

    async def transact(self, transaction, deadline):
        if self.gate is not None:
            await self.gate.wait()
        await asyncio.sleep(0)
        if self.is_down:
            return Err(Unavailable(reason="down"))
        self.n_transactions += 1
        if self.drop_writes:
            self.drop_writes -= 1
            return Err(InDoubt(reason="reply_lost"))
        if self.delayed:
            self.delayed -= 1
            self._delayed_writes.append(transaction)
            return Err(InDoubt(reason="reply_lost"))
        result = self._apply(transaction)
        if self.lose_replies:
            self.lose_replies -= 1
            return Err(InDoubt(reason="reply_lost"))
        return result

    def apply_delayed(self):
        """Apply the delayed writes whose conditions still hold."""
        for transaction in self._delayed_writes:
            self._apply(transaction)
        self._delayed_writes = []

    async def read(self, keys, deadline):
        if self.gate is not None:
            await self.gate.wait()
        await asyncio.sleep(0)
        if self.is_down:
            return Err(Unavailable(reason="down"))
        self.n_reads += 1
        return Ok({row["key"]: Row(**row) for row in self.rows.read(list(keys))})

    async def scan(self, prefix, *, after="", limit=100, deadline):
        await asyncio.sleep(0)
        if self.is_down:
            return Err(Unavailable(reason="down"))
        rows = self.rows.scan(prefix, after, limit)
        return Ok(tuple(Row(**row) for row in rows))

    def _apply(self, transaction):
        versions, rows = self.rows.transact(
            transaction.checks, transaction.puts, transaction.deletes
        )
        if rows:
            return Err(Conflict(rows=tuple(Row(**row) for row in rows)))
        return Ok(Committed(versions=versions))


class FakeObjectStore(ObjectStore):
    """An object store in memory; ``is_down`` refuses every request."""

    def __init__(self):
        self.objects = {}
        self.is_down = False

    async def put(self, name, data, deadline):
        await asyncio.sleep(0)
        if self.is_down:
            return Err(Unavailable(reason="down"))
        self.objects[name] = data
        return Ok(None)

    async def get(self, name, deadline):
        await asyncio.sleep(0)
        if self.is_down:
            return Err(Unavailable(reason="down"))
        return Ok(self.objects.get(name))


class FakeVmList(VmList):
    """A VM list that the test sets; ``is_down`` refuses every request."""

    def __init__(self):
        self.vms = ()
        self.is_down = False

    async def fetch(self, deadline):
        await asyncio.sleep(0)
        if self.is_down:
            return Err(Unavailable(reason="down"))
        return Ok(tuple(self.vms))
