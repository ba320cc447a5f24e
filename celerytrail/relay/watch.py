"""Keeps the configuration and the endpoints at what the platform's table holds."""

from __future__ import annotations

import abc
import asyncio
import random
from collections.abc import Callable, Sequence

from eliot import log_message
from result import Err

from ..clock import Clock
from ..rowsource import Changes, HistoryGone, Row, RowSource

# How long an answer may take beyond the time that it was asked to wait, in seconds. A
# connection may go silent for ever; the next question goes over a new one.
ANSWER_SECONDS = 0.6
READ_SECONDS = 1.0
# Between two tries while the store doesn't answer, in seconds, with jitter.
RETRY_SECONDS = 0.3
# Beyond this silence of the store, in seconds, rows that vanish may have lapsed only
# because their writers could not reach it.
OUTAGE_SECONDS = 1.0


class TableSink(abc.ABC):
    """Takes in rows."""

    @abc.abstractmethod
    def replace(self, rows: Sequence[Row], *, was_away: bool) -> None:
        """Take in the whole table."""

    @abc.abstractmethod
    def change(self, rows: Sequence[Row], *, was_away: bool) -> None:
        """Take in changed rows."""


class TableWatch:
    """Follows one table: a whole read, then what changes, again and again.

    Parameters
    ----------
    source : RowSource
        The platform's table.
    table : str
        Its name.
    sink : TableSink
        Takes in the rows.
    wait : callable
        Returns the seconds that one question waits for a change.
    pause : callable
        Returns the seconds between two questions, so that a busy table costs a
        bounded rate of calls.
    on_confirmed : callable
        Called with a version, and the boot time as of which its rows were whole.
    clock : Clock
        Dates the questions.
    rng : random.Random
        For jitter.
    """

    def __init__(
        self,
        *,
        source: RowSource,
        table: str,
        sink: TableSink,
        wait: Callable[[], float],
        pause: Callable[[], float],
        on_confirmed: Callable[[int, float], None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._table = table
        self._sink = sink
        self._wait = wait
        self._pause = pause
        self._on_confirmed = on_confirmed
        self._clock = clock
        self._rng = rng
        self._version: int | None = None
        self._heard_at = self._clock.boottime()
        self._is_away = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            is_heard = await self._step()
            if is_heard:
                await asyncio.sleep(self._pause())
            else:
                await asyncio.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1.5))

    async def _step(self) -> bool:
        """Ask once; returns whether the store answered."""
        sent_at = self._clock.boottime()
        now = asyncio.get_running_loop().time()
        if self._version is None:
            answered = await self._source.read(self._table, now + READ_SECONDS)
            if isinstance(answered, Err):
                self._note_away(answered.err_value.reason)
                return False
            was_away = self._note_back()
            self._sink.replace(answered.ok_value.rows, was_away=was_away)
            self._note_version(answered.ok_value, sent_at)
            return True
        wait_seconds = self._wait()
        followed = await self._source.follow(
            self._table,
            self._version,
            wait_seconds,
            now + wait_seconds + ANSWER_SECONDS,
        )
        if isinstance(followed, Err):
            exc = followed.err_value
            if isinstance(exc, HistoryGone):
                log_message("relay:table:history_gone", table=self._table)
                self._version = None
                return True
            self._note_away(exc.reason)
            # What was missed is read whole: the history may be short.
            return False
        was_away = self._note_back()
        if followed.ok_value.rows:
            self._sink.change(followed.ok_value.rows, was_away=was_away)
        self._note_version(followed.ok_value, sent_at)
        return True

    def _note_version(self, changes: Changes, sent_at: float) -> None:
        # Another node may know less than this one did already.
        self._version = max(changes.version, self._version or 0)
        self._on_confirmed(changes.version, sent_at - changes.age_seconds)

    def _note_away(self, reason: str) -> None:
        if not self._is_away:
            self._is_away = True
            log_message("relay:store:lost", table=self._table, reason=reason)

    def _note_back(self) -> bool:
        """Note an answer; returns whether the store had been silent for long."""
        now = self._clock.boottime()
        silent_seconds = now - self._heard_at
        self._heard_at = now
        if self._is_away:
            self._is_away = False
            log_message(
                "relay:store:regained", table=self._table, silent=silent_seconds
            )
        return silent_seconds > self._wait() + OUTAGE_SECONDS
