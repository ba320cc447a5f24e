"""What is done about old claims: finished ones go, open ones wait for a person."""

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
    answered,
    decode,
    encode,
    released,
)

PAGE_ROWS = 100
SWEEP_SECONDS = 60.0
# Clocks of so many other VMs must say that a claim's time is over.
N_WITNESSES = 2
MAX_VMS = 2_000
TRY_SECONDS = 5.0

Verdict = Literal["not_run", "answered"]


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenClaim:
    """A claim whose outcome nobody knows.

    Parameters
    ----------
    row_key : str
        Names it.
    claim : Claim
        What is known.
    version : int
        The row's version, to be handed back when it is settled.
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
        Those that a person has to settle.
    next_after : str or None
        Where the next page begins; None after the last.
    """

    claims: tuple[OpenClaim, ...]
    next_after: str | None


class ClaimSweeper:
    """Reads through all claims, a page now and then.

    Every node sweeps, each from a place of its own drawing, so nobody has to be
    chosen for it and the loss of a node changes nothing. Without it the table would
    grow by a row for each filing ever made.

    No single clock decides: a node whose clock jumps a month ahead would delete every
    finished claim, and each filing sent again after that would run again. So a claim
    goes only when claims made on other VMs are dated past its time as well; in a
    table that nobody writes to, old claims stay.

    Parameters
    ----------
    table : Table
        Where the rows are.
    clock : Clock
        Its monotonic time must be the loop's.
    rng : random.Random
        Draws where to begin and spreads the pages.
    """

    def __init__(self, *, table: Table, clock: Clock, rng: random.Random) -> None:
        self._table = table
        self._clock = clock
        self._rng = rng
        self._after = ""
        self._claimed_at: dict[str, float] = {}

    async def run(self) -> None:
        """Sweep for ever."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS * self._rng.uniform(0.5, 1.5))
            await self.sweep()

    async def sweep(self) -> int:
        """Sweep one page; returns how many claims were deleted."""
        deadline = self._clock.monotonic() + TRY_SECONDS
        page = await self._table.scan(
            CLAIM_PREFIX, after=self._after, limit=PAGE_ROWS, deadline=deadline
        )
        if isinstance(page, Err):
            return 0
        rows = page.ok_value
        self._after = rows[-1].key if len(rows) == PAGE_ROWS else ""
        self._note_clocks(rows)
        n_deleted = 0
        for row in rows:
            if self._is_over(row):
                n_deleted += await self._delete(row, deadline)
        return n_deleted

    async def open_claims(
        self, deadline: float, *, after: str = "", limit: int = PAGE_ROWS
    ) -> Result[OpenPage, Unavailable]:
        """Return the claims of one page that a person has to settle."""
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
        self, opened: OpenClaim, verdict: Verdict, *, by: str, deadline: float
    ) -> Result[None, Finding]:
        """Record what a person found out at the endpoint.

        ``not_run`` lets the key be used again. It is refused before the call's
        deadline has passed by a margin, since an attempt that is merely slow may send
        until then.

        Parameters
        ----------
        opened : OpenClaim
            As it was shown to the operator.
        verdict : {"not_run", "answered"}
            What became of the call.
        by : str
            The operator.
        deadline : float
            Monotonic time until which to try.
        """
        claim = opened.claim
        if not self._is_open(claim):
            problem = "its call may still be running; wait until its deadline is over"
            return Err(Finding(place=opened.row_key, problem=problem))
        final = released(claim, "settled")
        if verdict == "answered":
            final = answered(claim, Outcome(status=200, is_whole=False))
        final = replace(final, settled_by=by)
        transaction = Transaction(
            checks=(Check(key=opened.row_key, version=opened.version),),
            puts=(Put(key=opened.row_key, value=encode(final)),),
        )
        match await self._table.transact(transaction, deadline):
            case Ok(_):
                log_message(
                    "claims:settled", key=opened.row_key, verdict=verdict, by=by
                )
                return Ok(None)
            case Err(Conflict()):
                problem = "it has changed since it was shown; look again"
            case Err(InDoubt()):
                problem = "the platform's reply was lost; look again"
            case Err(Unavailable()):
                problem = "the platform can't be reached; nothing was changed"
        return Err(Finding(place=opened.row_key, problem=problem))

    def _is_open(self, claim: Claim) -> bool:
        """Tell whether it waits for a person; until then the request may be under way.

        That holds for a lost answer as well: the request may reach its endpoint late.
        """
        is_late = self._clock.wall() > claim.deadline_at + RECORD_MARGIN_SECONDS
        return is_late and claim.state in ("claimed", "unknown")

    def _is_over(self, row: Row) -> bool:
        """Tell whether a row may go: finished and past the time it is kept for."""
        claim = decode(row.value, row.key).ok()
        if claim is None or claim.state not in ("answered", "not_run"):
            return False
        witnesses = sorted(self._claimed_at.values(), reverse=True)
        if len(witnesses) < N_WITNESSES:
            return False
        now = min(self._clock.wall(), witnesses[N_WITNESSES - 1])
        return now > claim.expires_at

    def _note_clocks(self, rows: tuple[Row, ...]) -> None:
        """Remember the latest time that each VM is known to have had."""
        for row in rows:
            claim = decode(row.value, row.key).ok()
            if claim is None:
                continue
            vm = claim.node.rpartition("-")[0] or claim.node
            if vm in self._claimed_at or len(self._claimed_at) < MAX_VMS:
                latest = self._claimed_at.get(vm, 0.0)
                self._claimed_at[vm] = max(latest, claim.claimed_at)

    async def _delete(self, row: Row, deadline: float) -> int:
        transaction = Transaction(
            checks=(Check(key=row.key, version=row.version),), deletes=(row.key,)
        )
        return int((await self._table.transact(transaction, deadline)).is_ok())
