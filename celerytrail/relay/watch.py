"""Keeps the configuration and the endpoints at what the platform's table holds."""

from __future__ import annotations

import abc
import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from eliot import log_message
from result import Err

from ..clock import Clock
from ..rowsource import Changes, HistoryGone, Row, RowSource

# How long an answer may take beyond the time that it was asked to wait, in seconds. A
# node that stays silent is given up within it, with time left for the store's answer.
ANSWER_SECONDS = 0.95
READ_SECONDS = 1.0
# Between two tries while the store doesn't answer, in seconds, with jitter.
RETRY_SECONDS = 0.3
# Beyond this silence of the store, in seconds, rows that vanish may have lapsed only
# because their writers could not reach it.
OUTAGE_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Confirmation:
    """That a table's rows were whole as of a version and a boot time.

    ``source`` is the node that told it, empty for the store.
    """

    version: int
    at: float
    source: str = ""


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
        Called with each confirmation.
    on_renewed : callable
        Called with how old the knowledge had become in seconds, right before a
        confirmation made it younger.
    bound_seconds : callable
        Returns the age that the knowledge must not reach.
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
        on_confirmed: Callable[[Confirmation], None],
        on_renewed: Callable[[float], None],
        bound_seconds: Callable[[], float],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._table = table
        self._sink = sink
        self._wait = wait
        self._pause = pause
        self._on_confirmed = on_confirmed
        self._on_renewed = on_renewed
        self._bound_seconds = bound_seconds
        self._clock = clock
        self._rng = rng
        self._version: int | None = None
        self._newest = 0
        self._confirmed_at: float | None = None
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
            answered = await self._source.read(
                self._table, now + READ_SECONDS, at_least=self._newest
            )
            if isinstance(answered, Err):
                self._note_away(answered.err_value.reason)
                return False
            if answered.ok_value.version < self._newest:
                # Endpoints that came since would be missing, and taken for gone.
                self._note_away("older than what is known")
                return False
            was_away = self._note_back(0.0)
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
        was_away = self._note_back(wait_seconds)
        if followed.ok_value.rows:
            self._sink.change(followed.ok_value.rows, was_away=was_away)
        self._note_version(followed.ok_value, sent_at)
        return True

    def _note_version(self, changes: Changes, sent_at: float) -> None:
        # Another node may know less than this one did already.
        self._version = max(changes.version, self._version or 0)
        self._newest = max(self._newest, self._version)
        # The question arrived after it was sent, so its answer is at least so much
        # younger as it waited there.
        elapsed = self._clock.boottime() - sent_at
        answered_at = sent_at + min(changes.waited_seconds, elapsed)
        known = Confirmation(
            version=changes.version,
            at=answered_at - changes.age_seconds,
            source=changes.source,
        )
        self._note_renewed(known)
        self._on_confirmed(known)

    def _note_renewed(self, known: Confirmation) -> None:
        former = self._confirmed_at
        if former is not None and known.at <= former:
            return
        self._confirmed_at = known.at
        if former is None:
            return
        age = self._clock.boottime() - former
        self._on_renewed(age)
        if age > self._bound_seconds():
            log_message(
                "relay:table:renewed_late",
                table=self._table,
                age=age,
                source=known.source or "store",
                version=known.version,
            )

    def _note_away(self, reason: str) -> None:
        if not self._is_away:
            self._is_away = True
            log_message("relay:store:lost", table=self._table, reason=reason)

    def _note_back(self, wait_seconds: float) -> bool:
        """Note an answer; returns whether the store had been silent for long."""
        now = self._clock.boottime()
        silent_seconds = now - self._heard_at
        self._heard_at = now
        if self._is_away:
            self._is_away = False
            log_message(
                "relay:store:regained", table=self._table, silent=silent_seconds
            )
        return silent_seconds > wait_seconds + OUTAGE_SECONDS
