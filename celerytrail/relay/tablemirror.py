"""Keeps this node's replica of a table, and serves it to the nodes that follow it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence

from ..clock import Clock
from ..rowsource import Changes, HistoryTruncated, Row
from .tablewatch import TableSink

# Changed rows kept for followers; one that lags further reads the whole table.
MAX_CHANGES = 512
# A wait shorter than this, in seconds, is skipped: timers are no finer.
MIN_WAIT_SECONDS = 0.001


class TableMirror(TableSink):
    """Keeps a table's rows and recent changes, and passes them to the node's own sink.

    Parameters
    ----------
    sink : TableSink
        Applies the rows at this node.
    relevant_content : callable
        Returns the part of a row that matters to followers. Endpoints write a heartbeat
        each second; only a change beyond that is worth a message to every node.
    clock : Clock
        Measures the age of the rows.
    """

    def __init__(
        self,
        *,
        sink: TableSink,
        relevant_content: Callable[[str, bytes], object],
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._sink = sink
        self._relevant_content = relevant_content
        self._rows: dict[str, Row] = {}
        self._contents: dict[str, object] = {}
        # By key, the newest change of each row, in the order of the changes.
        self._changes: dict[str, Row] = {}
        # The version after which `_changes` holds every change.
        self._history_start: int | None = None
        self._version: int | None = None
        self._confirmed_at: float | None = None
        self._changed = asyncio.Event()

    # The sink.

    def replace(self, rows: Sequence[Row], *, is_after_outage: bool) -> None:
        """Replace the whole table."""
        self._rows = {row.key: row for row in rows}
        self._contents = {
            row.key: self._relevant_content(row.key, row.value or b"") for row in rows
        }
        self._changes.clear()
        # The rows may be older than the former ones, and so may be their version.
        self._history_start = None
        self._version = None
        self._confirmed_at = None
        self._sink.replace(rows, is_after_outage=is_after_outage)
        self._wake_followers()

    def change(self, rows: Sequence[Row], *, is_after_outage: bool) -> None:
        """Apply changed rows."""
        is_relevant = False
        for row in rows:
            is_relevant |= self._change_row(row)
        self._sink.change(rows, is_after_outage=is_after_outage)
        if is_relevant:
            self._wake_followers()

    def confirm(self, version: int, confirmed_at: float) -> None:
        """Record that the rows were complete as of a version and a boot time."""
        if self._history_start is None:
            self._history_start = version
        self._version = max(version, self._version or version)
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def _change_row(self, row: Row) -> bool:
        if row.value is None:
            self._rows.pop(row.key, None)
            is_relevant = self._contents.pop(row.key, None) is not None
        else:
            self._rows[row.key] = row
            content = self._relevant_content(row.key, row.value)
            is_relevant = content != self._contents.get(row.key)
            self._contents[row.key] = content
        if is_relevant:
            # A follower needs only the newest state; several versions of a large row
            # would take many times its memory, and be sent to each follower that lags.
            self._changes.pop(row.key, None)
            self._trim_history()
            self._changes[row.key] = row
        return is_relevant

    def _trim_history(self) -> None:
        if len(self._changes) >= MAX_CHANGES:
            oldest = self._changes.pop(next(iter(self._changes)))
            self._history_start = oldest.version

    def _wake_followers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # The followers' side.

    @property
    def age_seconds(self) -> float | None:
        """Return the age of the rows, None before the first confirmation."""
        if self._confirmed_at is None or self._version is None:
            return None
        return self._clock.boottime() - self._confirmed_at

    def snapshot(self) -> Changes | None:
        """Return all rows, None before the first whole read."""
        age = self.age_seconds
        if age is None or self._version is None:
            return None
        rows = tuple(self._rows.values())
        return Changes(rows=rows, version=self._version, age_seconds=age)

    async def follow(
        self, after: int, wait_seconds: float, *, useful_seconds: float = math.inf
    ) -> Changes | HistoryTruncated | None:
        """Return the changes after a version, waiting for one if there is none.

        Parameters
        ----------
        after : int
            The version.
        wait_seconds : float
            How long to wait for a change.
        useful_seconds : float
            The answer is sent before the rows are older than this, so that the
            requester has time left to try another source.
        """
        received_at = self._clock.boottime()
        while True:
            waited = self._clock.boottime() - received_at
            found = self._changes_since(after, waited)
            if not isinstance(found, Changes) or found.rows:
                return found
            left = min(wait_seconds - waited, useful_seconds - found.age_seconds)
            if left < MIN_WAIT_SECONDS:
                return found
            await self._wait_for_change(left)

    async def _wait_for_change(self, seconds: float) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            # Nothing changed; the answer still carries a version and its age.
            pass

    def _changes_since(
        self, after: int, waited_seconds: float
    ) -> Changes | HistoryTruncated | None:
        age = self.age_seconds
        if age is None or self._version is None or self._history_start is None:
            return None
        if after < self._history_start:
            return HistoryTruncated()
        rows = tuple(row for row in self._changes.values() if row.version > after)
        return Changes(
            rows=rows,
            version=self._version,
            age_seconds=age,
            waited_seconds=waited_seconds,
        )
