"""An admitter that holds organisations to their limits before it asks another."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from result import Err, Result

from ..policies.grants import AdmitRequest, Admitter, GenerationEnd, Grant
from ..types import NotRun
from .limit_homes import LimitHomes

# Tokens taken for a generation before anything is known of an organisation's.
FIRST_TOKENS = 128
# How often, and after how many seconds each, a refused request asks again.
N_LOAN_WAITS = 2
LOAN_SECONDS = 0.3
MEAN_GAIN = 0.1
MAX_MEANS = 10_000


@dataclass(kw_only=True, slots=True)
class _Held:
    organisation: str
    n_tokens: float


class LimitedAdmitter(Admitter):
    """Takes a place and tokens of the organisation's limit for each generation.

    The length is unknown, so the organisation's usual length is taken first, and what
    it really produces is charged as it comes and settled at its end.

    Parameters
    ----------
    inner : Admitter
        Decides when and where it starts.
    limits : LimitHomes
        Holds the limits together with the other nodes.
    """

    def __init__(self, *, inner: Admitter, limits: LimitHomes) -> None:
        self._inner = inner
        self._limits = limits
        self._held: dict[str, _Held] = {}
        self._means: dict[str, float] = {}

    async def admit(self, req: AdmitRequest) -> Result[Grant, NotRun]:
        """Refuse over the limit; else wait for the inner admitter."""
        usual = self._means.get(req.organisation, float(FIRST_TOKENS))
        n_tokens = min(usual, float(req.n_max_tokens))
        refusal = await self._take(req, n_tokens)
        if refusal is not None:
            return Err(refusal)
        held = _Held(organisation=req.organisation, n_tokens=n_tokens)
        try:
            answer = await self._inner.admit(req)
        except BaseException:
            # The caller has gone; its place would be missing for ever.
            self._give_back(held)
            raise
        if isinstance(answer, Err):
            self._give_back(held)
        else:
            self._held[answer.ok_value.grant_id] = held
        return answer

    def progress(self, grant: Grant, n_tokens: int) -> None:
        """Charge what goes beyond what was taken."""
        self._inner.progress(grant, n_tokens)
        held = self._held.get(grant.grant_id)
        if held is not None and n_tokens > held.n_tokens:
            self._limits.settle(held.organisation, n_tokens - held.n_tokens)
            held.n_tokens = n_tokens

    def finish(self, grant: Grant, n_tokens: int, end: GenerationEnd) -> None:
        """Settle the tokens and give the place back, once."""
        self._inner.finish(grant, n_tokens, end)
        held = self._held.pop(grant.grant_id, None)
        if held is None:
            return
        self._limits.settle(held.organisation, n_tokens - held.n_tokens)
        self._limits.release(held.organisation)
        if end == "answered":
            self._learn(held.organisation, n_tokens)

    async def _take(self, req: AdmitRequest, n_tokens: float) -> NotRun | None:
        """Take what is needed, asking again after the home had time to lend more.

        A node that nobody of the organisation used lately holds a small share only.
        Were a burst refused by that alone, its callers would be told that a limit is
        used up of which most is free.
        """
        refusal = self._limits.admit(req.organisation, n_tokens)
        for _ in range(N_LOAN_WAITS):
            if refusal is None or self._limits.is_over(req.queue_deadline):
                break
            await asyncio.sleep(LOAN_SECONDS)
            refusal = self._limits.admit(req.organisation, n_tokens)
        return refusal

    def _give_back(self, held: _Held) -> None:
        self._limits.settle(held.organisation, -held.n_tokens)
        self._limits.release(held.organisation)

    def _learn(self, organisation: str, n_tokens: int) -> None:
        mean = self._means.get(organisation, float(FIRST_TOKENS))
        if organisation not in self._means and len(self._means) >= MAX_MEANS:
            return
        self._means[organisation] = mean + MEAN_GAIN * (n_tokens - mean)
