"""A table as this node knows it, from which other nodes can follow it."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable, Sequence

from ..clock import Clock
from ..rowsource import Changes, HistoryGone, Row
from .watch import TableSink

# Changes that are kept for those that follow; whoever lags more reads the whole table.
MAX_CHANGES = 512
# A shorter wait is none, in seconds: timers are no finer.
LEAST_WAIT_SECONDS = 0.001


class TableMirror(TableSink):
    """Keeps a table's rows and its last changes, and hands them to the node's own sink.

    Parameters
    ----------
    inner : TableSink
        What the node itself makes of the rows.
    meaning : callable
        Returns what of a row matters to those that follow. Endpoints write a heartbeat
        each second; only what changes more than that is worth a message to every node.
    clock : Clock
        Tells how old the knowledge is.
    """

    def __init__(
        self,
        *,
        inner: TableSink,
        meaning: Callable[[str, bytes], object],
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._inner = inner
        self._meaning = meaning
        self._rows: dict[str, Row] = {}
        self._meanings: dict[str, object] = {}
        self._changes: deque[Row] = deque(maxlen=MAX_CHANGES)
        self._whole_at: int | None = None
        self._version: int | None = None
        self._confirmed_at: float | None = None
        self._news = asyncio.Event()

    # As a sink.

    def replace(self, rows: Sequence[Row], *, was_away: bool) -> None:
        """Take in the whole table."""
        self._rows = {row.key: row for row in rows}
        self._meanings = {
            row.key: self._meaning(row.key, row.value or b"") for row in rows
        }
        self._changes.clear()
        # The rows may be older than the former ones, and so may be their version.
        self._whole_at = None
        self._version = None
        self._confirmed_at = None
        self._inner.replace(rows, was_away=was_away)
        self._tell()

    def change(self, rows: Sequence[Row], *, was_away: bool) -> None:
        """Take in changed rows."""
        is_news = False
        for row in rows:
            is_news |= self._change_one(row)
        self._inner.change(rows, was_away=was_away)
        if is_news:
            self._tell()

    def confirm(self, version: int, confirmed_at: float) -> None:
        """Note that the rows were whole as of a version and a boot time."""
        if self._whole_at is None:
            self._whole_at = version
        self._version = max(version, self._version or version)
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def _change_one(self, row: Row) -> bool:
        if row.value is None:
            self._rows.pop(row.key, None)
            is_news = self._meanings.pop(row.key, None) is not None
        else:
            self._rows[row.key] = row
            meaning = self._meaning(row.key, row.value)
            is_news = meaning != self._meanings.get(row.key)
            self._meanings[row.key] = meaning
        if is_news:
            self._forget_oldest()
            self._changes.append(row)
        return is_news

    def _forget_oldest(self) -> None:
        if len(self._changes) == MAX_CHANGES:
            self._whole_at = self._changes[0].version

    def _tell(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    # For those that follow.

    @property
    def age_seconds(self) -> float | None:
        """Return how old the knowledge is, None where there is none."""
        if self._confirmed_at is None or self._version is None:
            return None
        return self._clock.boottime() - self._confirmed_at

    def whole(self) -> Changes | None:
        """Return all rows, None before the first whole read."""
        age = self.age_seconds
        if age is None or self._version is None:
            return None
        rows = tuple(self._rows.values())
        return Changes(rows=rows, version=self._version, age_seconds=age)

    async def follow(
        self, after: int, wait_seconds: float, *, useful_seconds: float = math.inf
    ) -> Changes | HistoryGone | None:
        """Return what changed after a version, waiting a while for something.

        Parameters
        ----------
        after : int
            The version.
        wait_seconds : float
            How long to wait for a change.
        useful_seconds : float
            An answer is given before the knowledge is older, so that whoever asked has
            time left to ask elsewhere.
        """
        asked_at = self._clock.boottime()
        while True:
            waited = self._clock.boottime() - asked_at
            found = self._since(after, waited)
            if not isinstance(found, Changes) or found.rows:
                return found
            left = min(wait_seconds - waited, useful_seconds - found.age_seconds)
            if left < LEAST_WAIT_SECONDS:
                return found
            await self._wait_for_news(left)

    async def _wait_for_news(self, seconds: float) -> None:
        news = self._news
        try:
            async with asyncio.timeout(seconds):
                await news.wait()
        except TimeoutError:
            # Nothing changed; the answer still says how fresh that is.
            pass

    def _since(self, after: int, waited_seconds: float) -> Changes | HistoryGone | None:
        age = self.age_seconds
        if age is None or self._version is None or self._whole_at is None:
            return None
        if after < self._whole_at:
            return HistoryGone()
        rows = tuple(row for row in self._changes if row.version > after)
        return Changes(
            rows=rows,
            version=self._version,
            age_seconds=age,
            waited_seconds=waited_seconds,
        )
