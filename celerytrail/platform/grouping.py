"""Group commit: many callers' transactions and reads in few exchanges.

The platform takes a few hundred writes a second from all nodes together, and each
keyed call needs two. Transactions that wait at the same moment therefore travel as
one. None of them notices: a conflict of one fails that one alone.
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

Asked = TypeVar("Asked")
Answer = TypeVar("Answer")

WINDOW_SECONDS = 0.003
MAX_WAITING = 2_000
MAX_FLIGHTS = 4
MAX_GROUP = 64
MAX_GROUP_BYTES = 256 * 1024
MAX_READ_KEYS = 256


@dataclass(eq=False, kw_only=True, slots=True)
class Entry(Generic[Asked, Answer]):
    """One caller's wish on its way; it changes as it travels.

    Parameters
    ----------
    is_sent : bool
        Whether it may have left this process.
    is_abandoned : bool
        Whether its caller has been answered already.
    """

    asked: Asked
    deadline: float
    fut: asyncio.Future[Answer]
    is_sent: bool = False
    is_abandoned: bool = False
    n_bytes: int = 0


class Grouper(abc.ABC, Generic[Asked, Answer]):
    """Collects wishes for a moment and sends them in groups.

    Parameters
    ----------
    window_seconds : float
        How long the first wish of a group waits for others while a group is on its
        way; with none on its way it goes at once.
    max_waiting : int
        Wishes that may wait; more are refused at once.
    max_flights : int
        Groups on their way at one time.
    """

    def __init__(
        self,
        *,
        window_seconds: float = WINDOW_SECONDS,
        max_waiting: int = MAX_WAITING,
        max_flights: int = MAX_FLIGHTS,
    ) -> None:
        self._window_seconds = window_seconds
        self._max_waiting = max_waiting
        self._max_flights = max_flights
        self._waiting: deque[Entry[Asked, Answer]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._flights: set[asyncio.Task[None]] = set()

    @abc.abstractmethod
    def fits(
        self, group: list[Entry[Asked, Answer]], entry: Entry[Asked, Answer]
    ) -> bool:
        """Return whether a wish may travel with those of a group."""

    @abc.abstractmethod
    async def send(self, group: list[Entry[Asked, Answer]]) -> None:
        """Send a group and set every wish's future."""

    @abc.abstractmethod
    def refusal(self, reason: str) -> Answer:
        """Return the answer for a wish that was certainly not sent."""

    @abc.abstractmethod
    def doubt(self, reason: str) -> Answer:
        """Return the answer for a wish that may have been sent."""

    async def ask(self, asked: Asked, deadline: float, n_bytes: int = 0) -> Answer:
        """Send a wish with others and wait for its answer until ``deadline``."""
        if len(self._waiting) >= self._max_waiting:
            return self.refusal("queue_full")
        loop = asyncio.get_running_loop()
        entry: Entry[Asked, Answer] = Entry(
            asked=asked,
            deadline=deadline,
            fut=loop.create_future(),
            n_bytes=n_bytes,
        )
        self._waiting.append(entry)
        self._wake()
        try:
            async with asyncio.timeout_at(deadline):
                return await entry.fut
        except TimeoutError:
            # Once this is said, a wish that still waits here is never sent.
            if entry.is_sent:
                return self.doubt("timeout")
            return self.refusal("queue_deadline")
        finally:
            entry.is_abandoned = True

    def close(self) -> None:
        """Stop at once; for the end of the process."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._flights:
            task.cancel()

    def _wake(self) -> None:
        if self._timer is None and len(self._flights) < self._max_flights:
            # A quiet node has nobody to wait for, and its caller would only wait.
            seconds = self._window_seconds if self._flights else 0.0
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(seconds, self._launch)

    def _launch(self) -> None:
        self._timer = None
        group = self._take_group()
        if not group:
            return
        task = asyncio.get_running_loop().create_task(self._fly(group))
        self._flights.add(task)
        if self._waiting:
            self._wake()

    def _take_group(self) -> list[Entry[Asked, Answer]]:
        group: list[Entry[Asked, Answer]] = []
        left: deque[Entry[Asked, Answer]] = deque()
        for entry in self._waiting:
            if entry.is_abandoned:
                continue
            if self.fits(group, entry):
                group.append(entry)
            else:
                left.append(entry)
        self._waiting = left
        return group

    async def _fly(self, group: list[Entry[Asked, Answer]]) -> None:
        try:
            await self.send(group)
        finally:
            # Whatever went wrong above, nobody is left waiting for its deadline.
            for entry in group:
                answer(entry, self.doubt("internal"))
            task = asyncio.current_task()
            assert task is not None
            self._flights.discard(task)
            if self._waiting:
                self._wake()


def answer(entry: Entry[Asked, Answer], value: Answer) -> None:
    """Give a wish its answer, unless it has one."""
    if not entry.fut.done():
        entry.fut.set_result(value)


class TransactionGrouper(Grouper[Transaction, TransactResult]):
    """Commits transactions that touch different rows together."""

    def __init__(self, *, inner: Table, window_seconds: float = WINDOW_SECONDS) -> None:
        super().__init__(window_seconds=window_seconds)
        self._inner = inner

    def fits(
        self,
        group: list[Entry[Transaction, TransactResult]],
        entry: Entry[Transaction, TransactResult],
    ) -> bool:
        """Keep groups small, and two transactions on one row apart."""
        if len(group) >= MAX_GROUP:
            return False
        if group and sum(e.n_bytes for e in group) + entry.n_bytes > MAX_GROUP_BYTES:
            return False
        keys = _keys(entry.asked)
        return not any(keys & _keys(other.asked) for other in group)

    async def send(self, group: list[Entry[Transaction, TransactResult]]) -> None:
        """Commit a group; those in conflict drop out and the rest goes again."""
        while group := [e for e in group if not e.is_abandoned and not e.fut.done()]:
            for entry in group:
                entry.is_sent = True
            result = await self._inner.transact(
                _merge(group), max(e.deadline for e in group)
            )
            match result:
                case Ok(committed):
                    for entry in group:
                        answer(entry, Ok(_part(committed, entry.asked)))
                case Err(Conflict(rows=rows)):
                    await self._drop_losers(group, rows)
                case Err(Unavailable(reason="rejected")) if len(group) > 1:
                    # One that the platform can't read must not fail the others.
                    await self._send_singly(group)
                case Err(failure):
                    for entry in group:
                        answer(entry, Err(failure))

    def refusal(self, reason: str) -> TransactResult:
        """Return that it was certainly not applied."""
        return Err(Unavailable(reason=reason))

    def doubt(self, reason: str) -> TransactResult:
        """Return that it may have been applied."""
        return Err(InDoubt(reason=reason))

    async def _drop_losers(
        self, group: list[Entry[Transaction, TransactResult]], rows: tuple[Row, ...]
    ) -> None:
        n_losers = 0
        for entry in group:
            checked = {check.key for check in entry.asked.checks}
            own = tuple(row for row in rows if row.key in checked)
            if own:
                n_losers += 1
                answer(entry, Err(Conflict(rows=own)))
        if n_losers:
            return
        if len(group) > 1:
            await self._send_singly(group)
        else:
            answer(group[0], Err(Conflict(rows=rows)))

    async def _send_singly(
        self, group: list[Entry[Transaction, TransactResult]]
    ) -> None:
        for entry in group:
            result = await self._inner.transact(entry.asked, entry.deadline)
            answer(entry, result)


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
        """Keep groups small."""
        n_keys = sum(len(e.asked) for e in group)
        return not group or n_keys + len(entry.asked) <= MAX_READ_KEYS

    async def send(self, group: list[Entry[tuple[str, ...], ReadResult]]) -> None:
        """Read all rows and hand each caller its own."""
        keys = sorted({key for entry in group for key in entry.asked})
        result = await self._inner.read(keys, max(e.deadline for e in group))
        for entry in group:
            if isinstance(result, Err):
                answer(entry, Err(result.err_value))
                continue
            rows = result.ok_value
            answer(entry, Ok({k: rows[k] for k in entry.asked if k in rows}))

    def refusal(self, reason: str) -> ReadResult:
        """Return that nothing was read."""
        return Err(Unavailable(reason=reason))

    def doubt(self, reason: str) -> ReadResult:
        """Return that nothing was read."""
        return Err(Unavailable(reason=reason))


class GroupedTable(Table):
    """A table whose transactions and reads are grouped.

    Parameters
    ----------
    inner : Table
        Where the groups go.
    window_seconds : float
        How long the first of a group waits for others.
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
        return await self._writes.ask(transaction, deadline, n_bytes)

    async def read(
        self, keys: Sequence[str], deadline: float
    ) -> Result[Rows, Unavailable]:
        """Read rows, together with others."""
        return await self._reads.ask(tuple(keys), deadline)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100, deadline: float
    ) -> Result[tuple[Row, ...], Unavailable]:
        """Scan; scans are rare and travel alone."""
        return await self._inner.scan(
            prefix, after=after, limit=limit, deadline=deadline
        )

    def close(self) -> None:
        """Stop at once; for the end of the process."""
        self._writes.close()
        self._reads.close()


def _keys(transaction: Transaction) -> set[str]:
    keys = {check.key for check in transaction.checks}
    keys.update(put.key for put in transaction.puts)
    keys.update(transaction.deletes)
    return keys


def _merge(group: list[Entry[Transaction, TransactResult]]) -> Transaction:
    return Transaction(
        checks=tuple(c for e in group for c in e.asked.checks),
        puts=tuple(p for e in group for p in e.asked.puts),
        deletes=tuple(d for e in group for d in e.asked.deletes),
    )


def _part(committed: Committed, transaction: Transaction) -> Committed:
    versions = committed.versions
    return Committed(
        versions={p.key: versions[p.key] for p in transaction.puts if p.key in versions}
    )
