"""Acquires claims in the platform's table and records their outcome."""

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

BACKOFF_INITIAL_SECONDS = 0.02
BACKOFF_MAX_SECONDS = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimUnavailable:
    """The claim could not be acquired.

    Parameters
    ----------
    reason : str
        Stable identifier of the cause.
    retry_after : float or None
        Seconds after which to retry.
    in_doubt_base_version : int or None
        Where a write of the claim may still take effect, the version that it was to
        replace; None where it certainly will not.
    """

    reason: str
    retry_after: float | None = None
    in_doubt_base_version: int | None = None


class ClaimStore:
    """Reads and writes claims in the platform's table.

    Parameters
    ----------
    table : Table
        Holds the rows of the claims.
    clock : Clock
        Its monotonic time must be the event loop's.
    rng : random.Random
        Adds jitter to the backoff between tries.
    """

    def __init__(self, *, table: Table, clock: Clock, rng: random.Random) -> None:
        self._table = table
        self._clock = clock
        self._rng = rng

    async def acquire(
        self, key: str, claim: Claim, deadline: float
    ) -> Result[Decision, ClaimUnavailable]:
        """Write a claim if its key is free.

        A write whose reply was lost is repeated. Either the repeated write conflicts
        with the row of this same attempt, or it takes effect itself, after which the
        first write can no longer do so. Only ``Held`` allows the attempt to send.

        Parameters
        ----------
        key : str
            The row's key.
        claim : Claim
            The claim to write.
        deadline : float
            Monotonic time in seconds until which to try.
        """
        version = 0
        in_doubt_base_version = None
        n_failures = 0
        while True:
            match await self._put(key, claim, version, deadline):
                case Ok(committed):
                    return Ok(Held(version=committed.versions[key]))
                case Err(Conflict(rows=rows)):
                    # The row no longer has the version that a write in doubt was to
                    # replace, so that write has taken effect or never will.
                    in_doubt_base_version = None
                    decision = self._decide(claim, rows)
                    if not isinstance(decision, Ok):
                        return Err(decision.err_value)
                    if not isinstance(decision.ok_value, Proceed):
                        return Ok(decision.ok_value)
                    version = decision.ok_value.version
                case Err(Unavailable() as failure) if in_doubt_base_version is None:
                    return Err(
                        ClaimUnavailable(
                            reason="store_down", retry_after=failure.retry_after
                        )
                    )
                case Err(InDoubt()):
                    in_doubt_base_version = version
            n_failures += 1
            backoff_seconds = self._backoff_seconds(n_failures)
            if self._clock.monotonic() + backoff_seconds >= deadline:
                return Err(
                    ClaimUnavailable(
                        reason="claim_in_doubt",
                        retry_after=1.0,
                        in_doubt_base_version=in_doubt_base_version,
                    )
                )
            await asyncio.sleep(backoff_seconds)

    async def finish(
        self, key: str, final: Claim, version: int, deadline: float
    ) -> bool:
        """Record the outcome of an attempt; return whether no more tries are needed.

        Only the row of this same attempt is replaced, and only while its state is
        ``claimed``. Otherwise a late retry could overwrite what another attempt or an
        operator has written since.

        Parameters
        ----------
        key : str
            The row's key.
        final : Claim
            The claim to write.
        version : int
            The version to replace: that of the claim or, for a claim in doubt, the one
            that its write was to replace, so that it can no longer take effect.
        deadline : float
            Monotonic time in seconds until which to try.
        """
        n_failures = 0
        while True:
            match await self._put(key, final, version, deadline):
                case Ok(_):
                    return True
                case Err(Conflict(rows=rows)):
                    current = _claim_of(rows[0]) if rows else None
                    if not _may_replace(current, final):
                        _log_superseded(key, current, final)
                        return True
                    version = rows[0].version
                case _:
                    pass
            n_failures += 1
            backoff_seconds = self._backoff_seconds(n_failures)
            if self._clock.monotonic() + backoff_seconds >= deadline:
                return False
            await asyncio.sleep(backoff_seconds)

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
    ) -> Result[Decision, ClaimUnavailable]:
        if not rows:
            return Err(ClaimUnavailable(reason="store_down", retry_after=1.0))
        row = rows[0]
        if row.version == 0:
            return Ok(Proceed(version=0))
        current = _claim_of(row)
        if current is None:
            # An unreadable row is not overwritten, as its call may have run.
            return Err(ClaimUnavailable(reason="bad_claim_row"))
        return Ok(decide(claim, current, row.version, self._clock.wall()))

    def _backoff_seconds(self, n_failures: int) -> float:
        return full_jitter(
            self._rng,
            n_failures,
            first=BACKOFF_INITIAL_SECONDS,
            most=BACKOFF_MAX_SECONDS,
        )


def _claim_of(row: Row) -> Claim | None:
    if row.version == 0:
        return None
    decoded = decode(row.value, row.key)
    if isinstance(decoded, Ok):
        return decoded.ok_value
    log_message("claims:bad_row", place=row.key, problem=decoded.err_value.problem)
    return None


def _may_replace(current: Claim | None, final: Claim) -> bool:
    return (
        current is not None
        and current.attempt == final.attempt
        and current.state == "claimed"
    )


def _log_superseded(key: str, current: Claim | None, final: Claim) -> None:
    is_ours = current is not None and current.attempt == final.attempt
    if is_ours and current is not None and current.state == final.state:
        return
    state = None if current is None else current.state
    log_message("claims:superseded", key=key, final=final.state, standing=state)
