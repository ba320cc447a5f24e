"""Claims in the platform's table: taking them and recording how they ended."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..platform.backoff import full_jitter
from ..platform.client import InDoubt, Unavailable
from ..platform.table import (
    Check,
    Conflict,
    Put,
    Row,
    Table,
    Transaction,
    TransactResult,
)
from .claims import Claim, Decision, Held, Proceed, decide, decode, encode

PAUSE_FIRST_SECONDS = 0.02
PAUSE_MOST_SECONDS = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class NotTaken:
    """The claim can't be had now.

    Parameters
    ----------
    reason : str
        A stable word for the cause.
    retry_after : float or None
        Seconds after which to come back.
    maybe_base_version : int or None
        Where the claim may yet appear in the table, the version that it was to
        replace; None where it certainly will not.
    """

    reason: str
    retry_after: float | None = None
    maybe_base_version: int | None = None


class ClaimStore:
    """Claims in a table.

    Parameters
    ----------
    table : Table
        Where the rows are.
    clock : Clock
        Its monotonic time must be the loop's.
    rng : random.Random
        Draws the pauses between tries.
    """

    def __init__(self, *, table: Table, clock: Clock, rng: random.Random) -> None:
        self._table = table
        self._clock = clock
        self._rng = rng

    async def take(
        self, key: str, claim: Claim, deadline: float
    ) -> Result[Decision, NotTaken]:
        """Write a claim, where the key is free.

        A claim whose reply was lost is settled by writing it again: that either
        meets the row with our own attempt, or takes the key now, after which the
        first write can't take effect late. Only ``Held`` allows the attempt to send.

        Parameters
        ----------
        key : str
            The row's key.
        claim : Claim
            The claim to write.
        deadline : float
            Monotonic time until which to try.
        """
        version = 0
        maybe_base_version = None
        n_failures = 0
        while True:
            match await self._put(key, claim, version, deadline):
                case Ok(committed):
                    return Ok(Held(version=committed.versions[key]))
                case Err(Conflict(rows=rows)):
                    # The row has moved on from the version that a write in doubt was
                    # to replace, so that write has had its effect or never will.
                    maybe_base_version = None
                    decision = self._decide(claim, rows)
                    if not isinstance(decision, Ok):
                        return Err(decision.err_value)
                    if not isinstance(decision.ok_value, Proceed):
                        return Ok(decision.ok_value)
                    version = decision.ok_value.version
                case Err(Unavailable() as failure) if maybe_base_version is None:
                    return Err(
                        NotTaken(reason="store_down", retry_after=failure.retry_after)
                    )
                case Err(InDoubt()):
                    maybe_base_version = version
            n_failures += 1
            pause = self._pause_seconds(n_failures)
            if self._clock.monotonic() + pause >= deadline:
                return Err(
                    NotTaken(
                        reason="claim_in_doubt",
                        retry_after=1.0,
                        maybe_base_version=maybe_base_version,
                    )
                )
            await asyncio.sleep(pause)

    async def finish(
        self, key: str, final: Claim, version: int, deadline: float
    ) -> bool:
        """Record how an attempt ended; returns whether that is settled.

        Only this attempt's own row, and only while it says ``claimed``, is replaced.
        Else a record that was retried for long could undo what another attempt or an
        operator has written since.

        Parameters
        ----------
        key : str
            The row's key.
        final : Claim
            The row to write.
        version : int
            The version to replace: of the claim, or the one that a claim in doubt was
            to replace, which then can't take effect any more.
        deadline : float
            Monotonic time until which to try.
        """
        n_failures = 0
        while True:
            match await self._put(key, final, version, deadline):
                case Ok(_):
                    return True
                case Err(Conflict(rows=rows)):
                    standing = _claim_of(rows[0]) if rows else None
                    if not _may_replace(standing, final):
                        _log_superseded(key, standing, final)
                        return True
                    version = rows[0].version
                case _:
                    pass
            n_failures += 1
            pause = self._pause_seconds(n_failures)
            if self._clock.monotonic() + pause >= deadline:
                return False
            await asyncio.sleep(pause)

    async def read(
        self, key: str, deadline: float
    ) -> Result[tuple[Claim, int] | None, Unavailable]:
        """Return a claim and its version, or None where there is no such row."""
        read = await self._table.read([key], deadline)
        if isinstance(read, Err):
            return Err(read.err_value)
        row = read.ok_value.get(key)
        if row is None:
            return Ok(None)
        claim = _claim_of(row)
        if claim is None:
            return Err(Unavailable(reason="bad_claim_row"))
        return Ok((claim, row.version))

    async def _put(
        self, key: str, claim: Claim, version: int, deadline: float
    ) -> TransactResult:
        transaction = Transaction(
            checks=(Check(key=key, version=version),),
            puts=(Put(key=key, value=encode(claim)),),
        )
        result = await self._table.transact(transaction, deadline)
        if isinstance(result, Ok) and key not in result.ok_value.versions:
            return Err(InDoubt(reason="bad_answer", detail="the version is missing"))
        return result

    def _decide(
        self, claim: Claim, rows: tuple[Row, ...]
    ) -> Result[Decision, NotTaken]:
        if not rows:
            return Err(NotTaken(reason="store_down", retry_after=1.0))
        row = rows[0]
        if row.version == 0:
            return Ok(Proceed(version=0))
        standing = _claim_of(row)
        if standing is None:
            # Nobody can tell what a mangled row stands for, so it is never run over.
            return Err(NotTaken(reason="bad_claim_row"))
        return Ok(decide(claim, standing, row.version, self._clock.wall()))

    def _pause_seconds(self, n_failures: int) -> float:
        return full_jitter(
            self._rng,
            n_failures,
            first=PAUSE_FIRST_SECONDS,
            most=PAUSE_MOST_SECONDS,
        )


def _claim_of(row: Row) -> Claim | None:
    if row.version == 0:
        return None
    decoded = decode(row.value, row.key)
    if isinstance(decoded, Ok):
        return decoded.ok_value
    log_message("claims:bad_row", place=row.key, problem=decoded.err_value.problem)
    return None


def _may_replace(standing: Claim | None, final: Claim) -> bool:
    return (
        standing is not None
        and standing.attempt == final.attempt
        and standing.state == "claimed"
    )


def _log_superseded(key: str, standing: Claim | None, final: Claim) -> None:
    is_ours = standing is not None and standing.attempt == final.attempt
    if is_ours and standing is not None and standing.state == final.state:
        return
    state = None if standing is None else standing.state
    log_message("claims:superseded", key=key, final=final.state, standing=state)
