"""Paces the loads of weights on all nodes with slots reserved in the table."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..platform.client import Unavailable
from ..platform.table import Check, Conflict, Put, Row, Table, Transaction

PACE_KEY = "pace/weights"
MAX_ATTEMPTS = 5
MAX_AHEAD_SECONDS = 24 * 3600.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _PaceRow:
    """The stored row: the wall time of the next free slot."""

    next_at: float


class LoadPacer:
    """Reserves a begin time for each load of weights.

    Two hundred engines ordered to load a version at the same time would exceed the
    weight store's rate limit, retry together and exceed it again. A slot costs one
    write; slots are assigned in the order in which they are reserved.

    Parameters
    ----------
    table : Table
        Holds the next free slot.
    clock : Clock
        Its wall time is the time base of the slots.
    loads_per_second : float
        The loads that the weight store can begin each second.
    """

    def __init__(
        self, *, table: Table, clock: Clock, loads_per_second: float = 1.0
    ) -> None:
        self._table = table
        self._clock = clock
        self._interval_seconds = 1.0 / loads_per_second

    async def reserve_slot(self, deadline: float) -> Result[float, Unavailable]:
        """Reserve a slot and return the wall time at which the load may begin."""
        read = await self._table.read([PACE_KEY], deadline)
        if isinstance(read, Err):
            return Err(read.err_value)
        row = read.ok_value.get(PACE_KEY, Row(key=PACE_KEY))
        for _ in range(MAX_ATTEMPTS):
            begin_at = max(self._clock.wall(), self._next_slot_at(row))
            value = msgspec.to_builtins(
                _PaceRow(next_at=begin_at + self._interval_seconds)
            )
            transaction = Transaction(
                checks=(Check(key=PACE_KEY, version=row.version),),
                puts=(Put(key=PACE_KEY, value=value),),
            )
            match await self._table.transact(transaction, deadline):
                case Ok(_):
                    return Ok(begin_at)
                case Err(Conflict(rows=rows)) if rows:
                    row = rows[0]
                case Err(Unavailable() as failure):
                    return Err(failure)
                case _:
                    # A slot that may have been reserved stays unused, without harm.
                    return Err(Unavailable(reason="in_doubt"))
        return Err(Unavailable(reason="contended"))

    def _next_slot_at(self, row: Row) -> float:
        if row.version == 0:
            return 0.0
        try:
            next_at = msgspec.convert(row.value, _PaceRow).next_at
        except msgspec.ValidationError as exc:
            log_message("pacing:bad_row", place=row.key, problem=str(exc))
            return 0.0
        # A slot written by a clock that ran days ahead must not stop all loads.
        is_plausible = next_at < self._clock.wall() + MAX_AHEAD_SECONDS
        return next_at if is_plausible else 0.0
