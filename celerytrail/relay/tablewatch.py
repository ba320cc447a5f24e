"""Follows one table of the platform's store and applies its changes to a sink."""

from __future__ import annotations

import abc
import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from eliot import log_message
from result import Err

from ..clock import Clock
from ..rowsource import Changes, HistoryTruncated, Row, RowSource

# How long an answer may take beyond the wait that the request asked for, in seconds. A
# silent node is abandoned within it, with time left for the store's answer.
ANSWER_SECONDS = 0.95
READ_SECONDS = 1.0
# Mean pause between two tries while the store is unavailable, in seconds; jitter of up
# to half of it is applied.
RETRY_SECONDS = 0.3
# After the store was unavailable for longer than this, in seconds, rows may be missing
# only because their writers could not reach the store.
OUTAGE_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Confirmation:
    """States that a table's rows were complete as of a version and a boot time.

    ``source`` is the node that answered, empty for the store.
    """

    version: int
    confirmed_at: float
    source: str = ""


class TableSink(abc.ABC):
    """Receives the rows of a table.

    ``is_after_outage`` says that the source had been unavailable for longer than
    `OUTAGE_SECONDS` before it sent the rows.
    """

    @abc.abstractmethod
    def replace(self, rows: Sequence[Row], *, is_after_outage: bool) -> None:
        """Replace the whole table."""

    @abc.abstractmethod
    def change(self, rows: Sequence[Row], *, is_after_outage: bool) -> None:
        """Apply changed rows."""


class TableWatch:
    """Follows one table: reads it whole, then requests its changes repeatedly.

    Parameters
    ----------
    source : RowSource
        Source of the table's rows.
    table : str
        The table's name.
    sink : TableSink
        Receives the rows.
    wait : callable
        Returns how long one request waits for a change, in seconds.
    pause : callable
        Returns the pause between two requests in seconds, which bounds the rate of
        calls for a busy table.
    on_confirmed : callable
        Called with each confirmation.
    on_renewed : callable
        Called with the age that the rows had reached in seconds, right before a newer
        confirmation is applied.
    bound_seconds : callable
        Returns the age that the rows must not reach.
    clock : Clock
        Dates the requests.
    rng : random.Random
        Source of jitter.
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
        self._newest_version = 0
        self._confirmed_at: float | None = None
        self._answered_at = self._clock.boottime()
        self._is_unavailable = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            is_answered = await self._step()
            if is_answered:
                await asyncio.sleep(self._pause())
            else:
                await asyncio.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1.5))

    async def _step(self) -> bool:
        """Send one request and return whether it was answered."""
        sent_at = self._clock.boottime()
        now = asyncio.get_running_loop().time()
        if self._version is None:
            answered = await self._source.read(
                self._table, now + READ_SECONDS, at_least=self._newest_version
            )
            if isinstance(answered, Err):
                self._on_unavailable(answered.err_value.reason)
                return False
            if answered.ok_value.version < self._newest_version:
                # Endpoints added since that version would be missing, and would be
                # treated as removed.
                self._on_unavailable("older than the known version")
                return False
            is_after_outage = self._on_answered(0.0)
            self._sink.replace(answered.ok_value.rows, is_after_outage=is_after_outage)
            self._record_version(answered.ok_value, sent_at)
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
            if isinstance(exc, HistoryTruncated):
                log_message("relay:table:history_gone", table=self._table)
                self._version = None
                return True
            self._on_unavailable(exc.reason)
            # If the history doesn't reach back to this version by the next request,
            # the whole table is read.
            return False
        is_after_outage = self._on_answered(wait_seconds)
        if followed.ok_value.rows:
            self._sink.change(followed.ok_value.rows, is_after_outage=is_after_outage)
        self._record_version(followed.ok_value, sent_at)
        return True

    def _record_version(self, changes: Changes, sent_at: float) -> None:
        # Another node may answer with an older version than this node already has.
        self._version = max(changes.version, self._version or 0)
        self._newest_version = max(self._newest_version, self._version)
        # The request arrived after it was sent, so the answer is newer than the request
        # by at least the time that the request waited there.
        elapsed = self._clock.boottime() - sent_at
        answered_at = sent_at + min(changes.waited_seconds, elapsed)
        confirmation = Confirmation(
            version=changes.version,
            confirmed_at=answered_at - changes.age_seconds,
            source=changes.source,
        )
        self._record_renewal(confirmation)
        self._on_confirmed(confirmation)

    def _record_renewal(self, confirmation: Confirmation) -> None:
        former = self._confirmed_at
        if former is not None and confirmation.confirmed_at <= former:
            return
        self._confirmed_at = confirmation.confirmed_at
        if former is None:
            return
        age = self._clock.boottime() - former
        self._on_renewed(age)
        if age > self._bound_seconds():
            log_message(
                "relay:table:renewed_late",
                table=self._table,
                age=age,
                source=confirmation.source or "store",
                version=confirmation.version,
            )

    def _on_unavailable(self, reason: str) -> None:
        if not self._is_unavailable:
            self._is_unavailable = True
            log_message("relay:store:lost", table=self._table, reason=reason)

    def _on_answered(self, wait_seconds: float) -> bool:
        """Record an answer and return whether it ends an outage."""
        now = self._clock.boottime()
        silent_seconds = now - self._answered_at
        self._answered_at = now
        if self._is_unavailable:
            self._is_unavailable = False
            log_message(
                "relay:store:regained", table=self._table, silent=silent_seconds
            )
        return silent_seconds > wait_seconds + OUTAGE_SECONDS
