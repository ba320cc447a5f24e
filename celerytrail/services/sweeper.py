"""Deletes expired claims and lets operators settle those of unknown outcome."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, replace
from typing import Literal

from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..platform.client import InDoubt, Unavailable
from ..platform.table import Check, Conflict, Put, Row, Table, Transaction
from ..types import Finding
from .claims import (
    CLAIM_PREFIX,
    RECORD_MARGIN_SECONDS,
    Claim,
    Outcome,
    as_answered,
    as_not_run,
    decode,
    encode,
)

PAGE_SIZE_ROWS = 100
SWEEP_INTERVAL_SECONDS = 60.0
# Claims from this many VMs must be dated after a claim's expiry before it is deleted.
N_CONFIRMING_VMS = 2
MAX_TRACKED_VMS = 2_000
SWEEP_TIMEOUT_SECONDS = 5.0

Verdict = Literal["not_run", "answered"]


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenClaim:
    """A claim of unknown outcome that an operator has to settle.

    Parameters
    ----------
    row_key : str
        The row's key.
    claim : Claim
        The claim as stored.
    version : int
        The row's version, which is checked when the claim is settled.
    """

    row_key: str
    claim: Claim
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenPage:
    """The open claims among one page of rows.

    Parameters
    ----------
    claims : tuple of OpenClaim
        The open claims.
    next_after : str or None
        The row key after which the next page begins; None on the last page.
    """

    claims: tuple[OpenClaim, ...]
    next_after: str | None


class ClaimSweeper:
    """Scans all claims periodically, one page at a time, and deletes expired ones.

    Every node sweeps independently, so no leader is needed and the loss of a node has
    no effect. Without the sweep the table would grow by one row for each keyed call.

    No single clock decides. A node whose clock jumps a month ahead would otherwise
    delete every finished claim, and a call retried after that would run again. A claim
    is therefore deleted only when claims from several VMs are dated after its expiry
    as well. In a table without new claims, old claims stay.

    Parameters
    ----------
    table : Table
        Holds the rows of the claims.
    clock : Clock
        Its monotonic time must be the event loop's.
    rng : random.Random
        Adds jitter to the sweep interval.
    """

    def __init__(self, *, table: Table, clock: Clock, rng: random.Random) -> None:
        self._table = table
        self._clock = clock
        self._rng = rng
        self._cursor = ""
        self._latest_claimed_at: dict[str, float] = {}

    async def run(self) -> None:
        """Sweep one page after another until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS * self._rng.uniform(0.5, 1.5))
            await self.sweep()

    async def sweep(self) -> int:
        """Sweep one page and return the number of claims deleted."""
        deadline = self._clock.monotonic() + SWEEP_TIMEOUT_SECONDS
        page = await self._table.scan(
            CLAIM_PREFIX, after=self._cursor, limit=PAGE_SIZE_ROWS, deadline=deadline
        )
        if isinstance(page, Err):
            return 0
        rows = page.ok_value
        self._cursor = rows[-1].key if len(rows) == PAGE_SIZE_ROWS else ""
        self._record_claim_times(rows)
        n_deleted = 0
        for row in rows:
            if self._is_expired(row):
                n_deleted += await self._delete(row, deadline)
        return n_deleted

    async def open_claims(
        self, deadline: float, *, after: str = "", limit: int = PAGE_SIZE_ROWS
    ) -> Result[OpenPage, Unavailable]:
        """Return the claims of one page that an operator has to settle."""
        page = await self._table.scan(
            CLAIM_PREFIX, after=after, limit=limit, deadline=deadline
        )
        if isinstance(page, Err):
            return Err(page.err_value)
        found = []
        for row in page.ok_value:
            claim = decode(row.value, row.key).ok()
            if claim is not None and self._is_open(claim):
                found.append(
                    OpenClaim(row_key=row.key, claim=claim, version=row.version)
                )
        rows = page.ok_value
        next_after = rows[-1].key if len(rows) == limit else None
        return Ok(OpenPage(claims=tuple(found), next_after=next_after))

    async def settle(
        self, open_claim: OpenClaim, verdict: Verdict, *, by: str, deadline: float
    ) -> Result[None, Finding]:
        """Record the outcome that an operator found out at the endpoint.

        ``not_run`` frees the key for another attempt. A claim can't be settled before
        the call's deadline has passed by a margin, as a slow attempt may send until
        then.

        Parameters
        ----------
        open_claim : OpenClaim
            The claim as it was shown to the operator.
        verdict : {"not_run", "answered"}
            The outcome of the call.
        by : str
            The operator's name.
        deadline : float
            Monotonic time in seconds until which to try.
        """
        claim = open_claim.claim
        if not self._is_open(claim):
            problem = "its call may still be running; retry after its deadline"
            return Err(Finding(place=open_claim.row_key, problem=problem))
        final = as_not_run(claim, "settled")
        if verdict == "answered":
            final = as_answered(claim, Outcome(status=200, is_whole=False))
        final = replace(final, settled_by=by)
        transaction = Transaction(
            checks=(Check(key=open_claim.row_key, version=open_claim.version),),
            puts=(Put(key=open_claim.row_key, value=encode(final)),),
        )
        match await self._table.transact(transaction, deadline):
            case Ok(_):
                log_message(
                    "claims:settled", key=open_claim.row_key, verdict=verdict, by=by
                )
                return Ok(None)
            case Err(Conflict()):
                problem = "it has changed since it was listed; list the claims again"
            case Err(InDoubt()):
                problem = "the platform's reply was lost; list the claims again"
            case Err(Unavailable()):
                problem = "the platform is unavailable; nothing was changed"
        return Err(Finding(place=open_claim.row_key, problem=problem))

    def _is_open(self, claim: Claim) -> bool:
        """Return whether an operator has to settle the claim.

        Until the deadline and its margin have passed the request may be in progress.
        This applies to a lost answer as well: the request may reach its endpoint late.
        """
        is_late = self._clock.wall() > claim.deadline_at + RECORD_MARGIN_SECONDS
        return is_late and claim.state in ("claimed", "unknown")

    def _is_expired(self, row: Row) -> bool:
        """Return whether a row holds a finished claim past its retention time."""
        claim = decode(row.value, row.key).ok()
        if claim is None or claim.state not in ("answered", "not_run"):
            return False
        latest_times = sorted(self._latest_claimed_at.values(), reverse=True)
        if len(latest_times) < N_CONFIRMING_VMS:
            return False
        now = min(self._clock.wall(), latest_times[N_CONFIRMING_VMS - 1])
        return now > claim.expires_at

    def _record_claim_times(self, rows: tuple[Row, ...]) -> None:
        """Record the time of the latest claim of each VM."""
        for row in rows:
            claim = decode(row.value, row.key).ok()
            if claim is None:
                continue
            vm = claim.node.rpartition("-")[0] or claim.node
            if (
                vm in self._latest_claimed_at
                or len(self._latest_claimed_at) < MAX_TRACKED_VMS
            ):
                latest = self._latest_claimed_at.get(vm, 0.0)
                self._latest_claimed_at[vm] = max(latest, claim.claimed_at)

    async def _delete(self, row: Row, deadline: float) -> int:
        transaction = Transaction(
            checks=(Check(key=row.key, version=row.version),), deletes=(row.key,)
        )
        return int((await self._table.transact(transaction, deadline)).is_ok())
