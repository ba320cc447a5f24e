"""An admitter that enforces organisations' limits before it asks another admitter."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from result import Err, Result

from ..policies.grants import AdmitRequest, Admitter, GenerationEnd, Grant
from ..types import NotRun
from .limit_homes import LimitHomes

# Length assumed for an organisation's generations until one has ended.
DEFAULT_LENGTH_TOKENS = 128
# A refused request is tried again this many times, after this wait each time.
N_LOAN_WAITS = 2
LOAN_WAIT_SECONDS = 0.3
MEAN_SMOOTHING = 0.1
MAX_MEAN_LENGTHS = 10_000


@dataclass(kw_only=True, slots=True)
class _Reservation:
    organisation: str
    n_tokens: float


class LimitedAdmitter(Admitter):
    """Charges each generation to its organisation's limit.

    A generation's length is unknown at admission, so the organisation's mean length is
    charged first. Tokens beyond it are charged as they are produced, and the difference
    is settled at the end.

    Parameters
    ----------
    inner : Admitter
        Decides when and where a generation starts.
    limits : LimitHomes
        Enforces the limits across all nodes.
    """

    def __init__(self, *, inner: Admitter, limits: LimitHomes) -> None:
        self._inner = inner
        self._limits = limits
        self._reservations: dict[str, _Reservation] = {}
        self._mean_lengths: dict[str, float] = {}

    async def admit(self, req: AdmitRequest) -> Result[Grant, NotRun]:
        """Refuse a request over the limit, else wait for the inner admitter."""
        mean_length = self._mean_lengths.get(
            req.organisation, float(DEFAULT_LENGTH_TOKENS)
        )
        n_tokens = min(mean_length, float(req.n_max_tokens))
        refusal = await self._reserve(req, n_tokens)
        if refusal is not None:
            return Err(refusal)
        reservation = _Reservation(organisation=req.organisation, n_tokens=n_tokens)
        try:
            answer = await self._inner.admit(req)
        except BaseException:
            # The caller has disconnected. Without the refund its place would never be
            # freed.
            self._refund(reservation)
            raise
        if isinstance(answer, Err):
            self._refund(reservation)
        else:
            self._reservations[answer.ok_value.grant_id] = reservation
        return answer

    def progress(self, grant: Grant, n_tokens: int) -> None:
        """Charge the tokens beyond those charged so far."""
        self._inner.progress(grant, n_tokens)
        reservation = self._reservations.get(grant.grant_id)
        if reservation is not None and n_tokens > reservation.n_tokens:
            self._limits.settle(
                reservation.organisation, n_tokens - reservation.n_tokens
            )
            reservation.n_tokens = n_tokens

    def finish(self, grant: Grant, n_tokens: int, end: GenerationEnd) -> None:
        """Settle the tokens and free the place, once for each grant."""
        self._inner.finish(grant, n_tokens, end)
        reservation = self._reservations.pop(grant.grant_id, None)
        if reservation is None:
            return
        self._limits.settle(reservation.organisation, n_tokens - reservation.n_tokens)
        self._limits.release(reservation.organisation)
        if end == "answered":
            self._update_mean_length(reservation.organisation, n_tokens)

    async def _reserve(self, req: AdmitRequest, n_tokens: float) -> NotRun | None:
        """Take a place and tokens, with retries that give the home time to lend more.

        A node that has had no recent requests of the organisation holds only a small
        share of its limit. Without the retries, a burst there would be refused for an
        exhausted limit of which most is free.
        """
        refusal = self._limits.admit(req.organisation, n_tokens)
        for _ in range(N_LOAN_WAITS):
            if refusal is None or self._limits.has_passed(req.queue_deadline):
                break
            await asyncio.sleep(LOAN_WAIT_SECONDS)
            refusal = self._limits.admit(req.organisation, n_tokens)
        return refusal

    def _refund(self, reservation: _Reservation) -> None:
        self._limits.settle(reservation.organisation, -reservation.n_tokens)
        self._limits.release(reservation.organisation)

    def _update_mean_length(self, organisation: str, n_tokens: int) -> None:
        mean = self._mean_lengths.get(organisation, float(DEFAULT_LENGTH_TOKENS))
        if (
            organisation not in self._mean_lengths
            and len(self._mean_lengths) >= MAX_MEAN_LENGTHS
        ):
            return
        self._mean_lengths[organisation] = mean + MEAN_SMOOTHING * (n_tokens - mean)
