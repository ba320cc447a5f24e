"""Group commit: sends many callers' transactions and reads in few requests.

The platform takes a few hundred writes a second from all nodes together, and each
keyed call needs two. Transactions that wait at the same time are therefore sent as
one. A conflict fails only the transaction that caused it, not its group.
"""

from __future__ import annotations

import abc
import asyncio
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec
from result import Err, Ok, Result

from .client import InDoubt, Unavailable
from .table import Committed, Conflict, Row, Rows, Table, Transaction, TransactResult

Request = TypeVar("Request")
Reply = TypeVar("Reply")

WINDOW_SECONDS = 0.003
MAX_WAITING = 2_000
MAX_GROUPS_IN_FLIGHT = 4
MAX_GROUP_ENTRIES = 64
MAX_GROUP_BYTES = 256 * 1024
MAX_READ_KEYS = 256


@dataclass(eq=False, kw_only=True, slots=True)
class Entry(Generic[Request, Reply]):
    """One caller's waiting or sent request; its flags change with its state.

    Parameters
    ----------
    is_sent : bool
        Whether it may have left this process.
    is_abandoned : bool
        Whether its caller no longer waits for a reply.
    """

    request: Request
    deadline: float
    fut: asyncio.Future[Reply]
    is_sent: bool = False
    is_abandoned: bool = False
    n_bytes: int = 0


class Grouper(abc.ABC, Generic[Request, Reply]):
    """Collects requests for a short window and sends them in groups.

    Parameters
    ----------
    window_seconds : float
        How long the first request of a group waits for others while another group is
        in flight; with none in flight it is sent at once.
    max_waiting : int
        Requests that may wait; further ones are refused at once.
    max_groups_in_flight : int
        Groups in flight at a time.
    """

    def __init__(
        self,
        *,
        window_seconds: float = WINDOW_SECONDS,
        max_waiting: int = MAX_WAITING,
        max_groups_in_flight: int = MAX_GROUPS_IN_FLIGHT,
    ) -> None:
        self._window_seconds = window_seconds
        self._max_waiting = max_waiting
        self._max_groups_in_flight = max_groups_in_flight
        self._waiting: deque[Entry[Request, Reply]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._groups_in_flight: set[asyncio.Task[None]] = set()

    @abc.abstractmethod
    def fits(
        self, group: list[Entry[Request, Reply]], entry: Entry[Request, Reply]
    ) -> bool:
        """Return whether an entry may join a group."""

    @abc.abstractmethod
    async def send(self, group: list[Entry[Request, Reply]]) -> None:
        """Send a group and set the future of each entry."""

    @abc.abstractmethod
    def not_sent_reply(self, reason: str) -> Reply:
        """Return the reply to a request that was certainly not sent."""

    @abc.abstractmethod
    def in_doubt_reply(self, reason: str) -> Reply:
        """Return the reply to a request that may have been sent."""

    async def submit(
        self, request: Request, deadline: float, n_bytes: int = 0
    ) -> Reply:
        """Send a request with others and wait for its reply until ``deadline``."""
        if len(self._waiting) >= self._max_waiting:
            return self.not_sent_reply("queue_full")
        loop = asyncio.get_running_loop()
        entry: Entry[Request, Reply] = Entry(
            request=request,
            deadline=deadline,
            fut=loop.create_future(),
            n_bytes=n_bytes,
        )
        self._waiting.append(entry)
        self._schedule()
        try:
            async with asyncio.timeout_at(deadline):
                return await entry.fut
        except TimeoutError:
            # A request that was reported as not sent must never be sent later, so it
            # is marked as abandoned below.
            if entry.is_sent:
                return self.in_doubt_reply("timeout")
            return self.not_sent_reply("queue_deadline")
        finally:
            entry.is_abandoned = True

    def close(self) -> None:
        """Cancel the timer and the groups in flight; for the end of the process."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._groups_in_flight:
            task.cancel()

    def _schedule(self) -> None:
        if (
            self._timer is None
            and len(self._groups_in_flight) < self._max_groups_in_flight
        ):
            # Without a group in flight there is little to group with, and a window
            # would only delay the caller.
            seconds = self._window_seconds if self._groups_in_flight else 0.0
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(seconds, self._start_group)

    def _start_group(self) -> None:
        self._timer = None
        group = self._take_group()
        if not group:
            return
        task = asyncio.get_running_loop().create_task(self._send_group(group))
        self._groups_in_flight.add(task)
        if self._waiting:
            self._schedule()

    def _take_group(self) -> list[Entry[Request, Reply]]:
        group: list[Entry[Request, Reply]] = []
        remaining: deque[Entry[Request, Reply]] = deque()
        for entry in self._waiting:
            if entry.is_abandoned:
                continue
            if self.fits(group, entry):
                group.append(entry)
            else:
                remaining.append(entry)
        self._waiting = remaining
        return group

    async def _send_group(self, group: list[Entry[Request, Reply]]) -> None:
        try:
            await self.send(group)
        finally:
            # After an unexpected error no caller should wait until its deadline.
            for entry in group:
                set_reply(entry, self.in_doubt_reply("internal"))
            task = asyncio.current_task()
            assert task is not None
            self._groups_in_flight.discard(task)
            if self._waiting:
                self._schedule()


def set_reply(entry: Entry[Request, Reply], value: Reply) -> None:
    """Resolve an entry's future, unless it is done."""
    if not entry.fut.done():
        entry.fut.set_result(value)


class TransactionGrouper(Grouper[Transaction, TransactResult]):
    """Commits transactions on distinct rows together."""

    def __init__(self, *, inner: Table, window_seconds: float = WINDOW_SECONDS) -> None:
        super().__init__(window_seconds=window_seconds)
        self._inner = inner

    def fits(
        self,
        group: list[Entry[Transaction, TransactResult]],
        entry: Entry[Transaction, TransactResult],
    ) -> bool:
        """Limit the size of groups, and keep transactions on the same row apart."""
        if len(group) >= MAX_GROUP_ENTRIES:
            return False
        if group and sum(e.n_bytes for e in group) + entry.n_bytes > MAX_GROUP_BYTES:
            return False
        keys = _row_keys(entry.request)
        return not any(keys & _row_keys(other.request) for other in group)

    async def send(self, group: list[Entry[Transaction, TransactResult]]) -> None:
        """Commit a group; on a conflict, reject its causes and send the rest again."""
        while group := [e for e in group if not e.is_abandoned and not e.fut.done()]:
            for entry in group:
                entry.is_sent = True
            result = await self._inner.transact(
                _merge(group), max(e.deadline for e in group)
            )
            match result:
                case Ok(committed):
                    for entry in group:
                        set_reply(entry, Ok(_committed_part(committed, entry.request)))
                case Err(Conflict(rows=rows)):
                    await self._reject_conflicting(group, rows)
                case Err(Unavailable(reason="rejected")) if len(group) > 1:
                    # A transaction that the platform rejects must not fail the others.
                    await self._send_singly(group)
                case Err(failure):
                    for entry in group:
                        set_reply(entry, Err(failure))

    def not_sent_reply(self, reason: str) -> TransactResult:
        """Return `Unavailable`: the transaction was certainly not applied."""
        return Err(Unavailable(reason=reason))

    def in_doubt_reply(self, reason: str) -> TransactResult:
        """Return `InDoubt`: the transaction may have been applied."""
        return Err(InDoubt(reason=reason))

    async def _reject_conflicting(
        self, group: list[Entry[Transaction, TransactResult]], rows: tuple[Row, ...]
    ) -> None:
        n_rejected = 0
        for entry in group:
            checked = {check.key for check in entry.request.checks}
            own_rows = tuple(row for row in rows if row.key in checked)
            if own_rows:
                n_rejected += 1
                set_reply(entry, Err(Conflict(rows=own_rows)))
        if n_rejected:
            return
        if len(group) > 1:
            await self._send_singly(group)
        else:
            set_reply(group[0], Err(Conflict(rows=rows)))

    async def _send_singly(
        self, group: list[Entry[Transaction, TransactResult]]
    ) -> None:
        for entry in group:
            result = await self._inner.transact(entry.request, entry.deadline)
            set_reply(entry, result)


ReadResult = Result[Rows, Unavailable]


class ReadGrouper(Grouper[tuple[str, ...], ReadResult]):
    """Reads many callers' rows together."""

    def __init__(self, *, inner: Table, window_seconds: float = WINDOW_SECONDS) -> None:
        super().__init__(window_seconds=window_seconds)
        self._inner = inner

    def fits(
        self,
        group: list[Entry[tuple[str, ...], ReadResult]],
        entry: Entry[tuple[str, ...], ReadResult],
    ) -> bool:
        """Limit the number of keys of a group."""
        n_keys = sum(len(e.request) for e in group)
        return not group or n_keys + len(entry.request) <= MAX_READ_KEYS

    async def send(self, group: list[Entry[tuple[str, ...], ReadResult]]) -> None:
        """Read all rows and give each caller the rows that it requested."""
        keys = sorted({key for entry in group for key in entry.request})
        result = await self._inner.read(keys, max(e.deadline for e in group))
        for entry in group:
            if isinstance(result, Err):
                set_reply(entry, Err(result.err_value))
                continue
            rows = result.ok_value
            set_reply(entry, Ok({k: rows[k] for k in entry.request if k in rows}))

    def not_sent_reply(self, reason: str) -> ReadResult:
        """Return `Unavailable`: no rows were read."""
        return Err(Unavailable(reason=reason))

    def in_doubt_reply(self, reason: str) -> ReadResult:
        """Return `Unavailable`: no rows were read."""
        return Err(Unavailable(reason=reason))


class GroupedTable(Table):
    """A table that groups transactions and reads.

    Parameters
    ----------
    inner : Table
        Executes the groups.
    window_seconds : float
        How long the first request of a group waits for others.
    """

    def __init__(self, *, inner: Table, window_seconds: float = WINDOW_SECONDS) -> None:
        self._inner = inner
        self._writes = TransactionGrouper(inner=inner, window_seconds=window_seconds)
        self._reads = ReadGrouper(inner=inner, window_seconds=window_seconds)

    async def transact(
        self, transaction: Transaction, deadline: float
    ) -> TransactResult:
        """Apply a transaction, together with others."""
        n_bytes = sum(len(msgspec.json.encode(put.value)) for put in transaction.puts)
        return await self._writes.submit(transaction, deadline, n_bytes)

    async def read(
        self, keys: Sequence[str], deadline: float
    ) -> Result[Rows, Unavailable]:
        """Read rows, together with others."""
        return await self._reads.submit(tuple(keys), deadline)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100, deadline: float
    ) -> Result[tuple[Row, ...], Unavailable]:
        """Return rows in key order; scans are rare and aren't grouped."""
        return await self._inner.scan(
            prefix, after=after, limit=limit, deadline=deadline
        )

    def close(self) -> None:
        """Cancel all groups in flight; for the end of the process."""
        self._writes.close()
        self._reads.close()


def _row_keys(transaction: Transaction) -> set[str]:
    keys = {check.key for check in transaction.checks}
    keys.update(put.key for put in transaction.puts)
    keys.update(transaction.deletes)
    return keys


def _merge(group: list[Entry[Transaction, TransactResult]]) -> Transaction:
    return Transaction(
        checks=tuple(c for e in group for c in e.request.checks),
        puts=tuple(p for e in group for p in e.request.puts),
        deletes=tuple(d for e in group for d in e.request.deletes),
    )


def _committed_part(committed: Committed, transaction: Transaction) -> Committed:
    versions = committed.versions
    return Committed(
        versions={p.key: versions[p.key] for p in transaction.puts if p.key in versions}
    )
