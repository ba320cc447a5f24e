"""Grants within each organisation's limits over all nodes."""

from __future__ import annotations

import math
from dataclasses import dataclass

from result import Err, Result

from .grants import AdmitRequest, Admitter, GenerationEnd, Grant
from .nodes.limit_homes import LimitHomes
from .types import NotRun

# Lengths are unknown, so a generation is charged for this many tokens at its start and
# for each further portion as it produces them; what it leaves unused comes back.
PORTION_TOKENS = 64


@dataclass(kw_only=True, slots=True)
class _Charge:
    """What one generation has been charged so far."""

    organisation: str
    n_tokens: int


class LimitedAdmitter(Admitter):
    """Asks for leave under the limits before it asks for an engine.

    Parameters
    ----------
    inner : Admitter
        Finds an engine.
    limits : LimitHomes
        Lends places and tokens.
    """

    def __init__(self, *, inner: Admitter, limits: LimitHomes) -> None:
        self._inner = inner
        self._limits = limits
        self._charges: dict[str, _Charge] = {}

    async def admit(self, req: AdmitRequest) -> Result[Grant, NotRun]:
        """Wait for a grant, or refuse at once what is over a limit."""
        n_taken = req.n_prompt_tokens + min(req.n_max_tokens, PORTION_TOKENS)
        refusal = self._limits.admit(req.organisation, n_taken)
        if refusal is not None:
            return Err(refusal)
        granted = False
        try:
            answer = await self._inner.admit(req)
            granted = answer.is_ok()
        finally:
            # Were a refused or cancelled request to keep its place, the organisation
            # would run out of places without one generation running.
            if not granted:
                self._give_back(req.organisation, n_taken)
        if not isinstance(answer, Err):
            n_charged = n_taken - req.n_prompt_tokens
            self._charges[answer.ok_value.grant_id] = _Charge(
                organisation=req.organisation, n_tokens=n_charged
            )
        return answer

    def progress(self, grant: Grant, n_tokens: int) -> None:
        """Charge for what was produced beyond the portions paid for."""
        self._inner.progress(grant, n_tokens)
        charge = self._charges.get(grant.grant_id)
        if charge is None or n_tokens <= charge.n_tokens:
            return
        n_portions = math.ceil((n_tokens - charge.n_tokens) / PORTION_TOKENS)
        self._limits.settle(charge.organisation, n_portions * PORTION_TOKENS)
        charge.n_tokens += n_portions * PORTION_TOKENS

    def finish(self, grant: Grant, n_tokens: int, end: GenerationEnd) -> None:
        """Settle the charge and give the place back."""
        self._inner.finish(grant, n_tokens, end)
        charge = self._charges.pop(grant.grant_id, None)
        if charge is not None:
            self._give_back(charge.organisation, charge.n_tokens - n_tokens)

    def _give_back(self, organisation: str, n_tokens: int) -> None:
        self._limits.settle(organisation, -n_tokens)
        self._limits.release(organisation)
