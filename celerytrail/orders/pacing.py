"""Shares the weight store's rate out over all nodes, by slots in the table."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..platform.client import Unavailable
from ..platform.table import Check, Conflict, Put, Row, Table, Transaction

PACE_KEY = "pace/weights"
N_TRIES = 5
MAX_AHEAD_SECONDS = 24 * 3600.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Pace:
    """The row: the wall time of the next free slot."""

    next_at: float


class LoadPacer:
    """Gives each load of weights a time at which it may begin.

    Two hundred engines told at once to load a version would run into the weight
    store's limit, all come back together and run into it again. A slot costs one
    write; slots are given in the order they are asked for.

    Parameters
    ----------
    table : Table
        Where the next free slot is kept.
    clock : Clock
        Its wall time dates slots.
    loads_per_second : float
        The weight store's rate.
    """

    def __init__(
        self, *, table: Table, clock: Clock, loads_per_second: float = 1.0
    ) -> None:
        self._table = table
        self._clock = clock
        self._interval = 1.0 / loads_per_second

    async def slot(self, deadline: float) -> Result[float, Unavailable]:
        """Take a slot; returns the wall time at which the load may begin."""
        read = await self._table.read([PACE_KEY], deadline)
        if isinstance(read, Err):
            return Err(read.err_value)
        row = read.ok_value.get(PACE_KEY, Row(key=PACE_KEY))
        for _ in range(N_TRIES):
            begin_at = max(self._clock.wall(), self._next_at(row))
            value = msgspec.to_builtins(_Pace(next_at=begin_at + self._interval))
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
                    # A slot that was perhaps taken goes unused, which harms nobody.
                    return Err(Unavailable(reason="in_doubt"))
        return Err(Unavailable(reason="contended"))

    def _next_at(self, row: Row) -> float:
        if row.version == 0:
            return 0.0
        try:
            next_at = msgspec.convert(row.value, _Pace).next_at
        except msgspec.ValidationError as exc:
            log_message("pacing:bad_row", place=row.key, problem=str(exc))
            return 0.0
        # A clock that once ran days ahead must not stop all loads for days.
        is_sane = next_at < self._clock.wall() + MAX_AHEAD_SECONDS
        return next_at if is_sane else 0.0
