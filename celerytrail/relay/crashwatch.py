"""Finds out whether endpoints that broke off answers have crashed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from eliot import log_message

from ..metrics import Metrics
from ..model import Incarnation, Registration
from ..policies.crashsuspects import Crash, LostRun
from .fates import Fate, FateFinder

# Events after which an engine has evidently begun a run's answer. One that crashes on a
# prompt may send a first event before its connections are closed.
N_BEGUN_EVENTS = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class _Loss:
    """A run that an endpoint broke off after some events."""

    run: LostRun
    n_events: int


class CrashWatch:
    """Reports the crashes of endpoints with the runs that were lost by them.

    Parameters
    ----------
    fates : FateFinder
        Tells crashes from other causes that break off answers.
    on_crash : callable
        Called with each crash by which runs were lost.
    metrics : Metrics
        Counts endpoints by what became of them.
    """

    def __init__(
        self,
        *,
        fates: FateFinder,
        on_crash: Callable[[Crash], None],
        metrics: Metrics,
    ) -> None:
        self._fates = fates
        self._on_crash = on_crash
        self._metrics = metrics
        # By start of an endpoint, the runs lost while its fate is being found out.
        self._lost: dict[Incarnation, list[_Loss]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_lost(self, reg: Registration, run: LostRun, n_events: int = 0) -> None:
        """Record that an endpoint broke off its answer to a run.

        ``n_events`` are the events of the run so far, those of other engines included.
        """
        known = self._lost.get(reg.incarnation)
        if known is None:
            known = self._lost[reg.incarnation] = []
            task = asyncio.ensure_future(self._find_out(reg, _now()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        known.append(_Loss(run=run, n_events=n_events))

    async def _find_out(self, reg: Registration, lost_at: float) -> None:
        fate = Fate.UNKNOWN
        try:
            fate = await self._fates.find(reg, lost_at)
        finally:
            losses = self._lost.pop(reg.incarnation)
        self._log(reg, fate, lost_at, losses)
        runs = tuple(one.run for one in losses if one.n_events < N_BEGUN_EVENTS)
        if fate is Fate.CRASHED and runs:
            crash = Crash(incarnation=reg.incarnation, runs=runs, crashed_at=lost_at)
            self._on_crash(crash)

    def _log(
        self, reg: Registration, fate: Fate, lost_at: float, losses: list[_Loss]
    ) -> None:
        self._metrics.count("endpoints_lost", service=reg.service, fate=fate.value)
        log_message(
            "relay:endpoint:lost",
            endpoint=reg.endpoint,
            service=reg.service,
            started_at=reg.started_at,
            fate=fate.value,
            seconds=round(_now() - lost_at, 3),
            runs=[
                {
                    "digest": one.run.prompt.digest,
                    "parts": one.run.prompt.shared_parts,
                    "n_events": one.n_events,
                    "sent_before": round(lost_at - one.run.sent_at, 3),
                }
                for one in losses
            ],
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
