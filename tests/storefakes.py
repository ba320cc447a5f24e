"""In-memory fakes of the table and the object store, with fault injection."""

from __future__ import annotations

import asyncio
from collections import Counter

import msgspec
from result import Err, Ok

from celerytrail.platform.client import InDoubt, Unavailable
from celerytrail.platform.objects import ObjectStore
from celerytrail.platform.table import Committed, Conflict, Row, Table


class FakeTable(Table):
    """A table whose faults are injected by setting attributes.

    ``n_replies_to_lose`` transactions take effect without an answer, and
    ``n_writes_to_delay`` are kept in ``delayed`` for the test to apply. The next
    ``n_stale_reads`` reads see ``stale_rows``.
    """

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.is_down = False
        self.n_replies_to_lose = 0
        self.n_writes_to_delay = 0
        self.delayed = []
        self.stale_rows: dict[str, Row] | None = None
        self.n_stale_reads = 0
        self.n_calls = Counter()

    async def transact(self, transaction, deadline):
        self.n_calls["transact"] += 1
        await asyncio.sleep(0)
        if self.is_down:
            return Err(Unavailable(reason="platform_down"))
        if self.n_writes_to_delay:
            # The caller times out while the request is still in the network.
            self.n_writes_to_delay -= 1
            self.delayed.append(transaction)
            return Err(InDoubt(reason="stalled"))
        outcome = self.apply(transaction)
        if self.n_replies_to_lose:
            self.n_replies_to_lose -= 1
            return Err(InDoubt(reason="cut"))
        return outcome

    def apply(self, transaction):
        mismatches = [
            self.rows.get(check.key, Row(key=check.key))
            for check in transaction.checks
            if self.rows.get(check.key, Row(key=check.key)).version != check.version
        ]
        if mismatches:
            return Err(Conflict(rows=tuple(mismatches)))
        versions = {}
        for put in transaction.puts:
            value = msgspec.json.decode(msgspec.json.encode(put.value))
            version = self.rows.get(put.key, Row(key=put.key)).version + 1
            self.rows[put.key] = Row(key=put.key, value=value, version=version)
            versions[put.key] = version
        return Ok(Committed(versions=versions))

    async def read(self, keys, deadline):
        self.n_calls["read"] += 1
        await asyncio.sleep(0)
        if self.is_down:
            return Err(Unavailable(reason="platform_down"))
        rows = self.rows
        if self.stale_rows is not None and self.n_stale_reads:
            self.n_stale_reads -= 1
            rows = self.stale_rows
        return Ok({key: rows[key] for key in keys if key in rows})

    async def scan(self, prefix, *, after="", limit=100, deadline):
        if self.is_down:
            return Err(Unavailable(reason="platform_down"))
        keys = sorted(
            key for key in self.rows if key.startswith(prefix) and key > after
        )
        return Ok(tuple(self.rows[key] for key in keys[:limit]))


class FakeObjects(ObjectStore):
    """An object store whose faults are injected by setting attributes.

    After ``n_puts_left`` writes, all others fail. With ``is_staggered``, each write
    takes one turn of the event loop more than the one before.
    """

    def __init__(self):
        self.objects: dict[str, bytes] = {}
        self.is_down = False
        self.n_puts_left: int | None = None
        self.is_staggered = False
        self.n_calls = Counter()

    async def put(self, name, data, deadline):
        self.n_calls["put"] += 1
        for _ in range(self.n_calls["put"] if self.is_staggered else 1):
            await asyncio.sleep(0)
        if self.is_down or self.n_puts_left == 0:
            return Err(Unavailable(reason="platform_down"))
        if self.n_puts_left is not None:
            self.n_puts_left -= 1
        self.objects[name] = data
        return Ok(None)

    async def get(self, name, deadline):
        self.n_calls["get"] += 1
        await asyncio.sleep(0)
        if self.is_down:
            return Err(Unavailable(reason="platform_down"))
        return Ok(self.objects.get(name))
