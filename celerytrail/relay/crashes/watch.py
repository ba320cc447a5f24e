"""Finds out whether endpoints that broke off answers have crashed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace

from eliot import log_message

from ...metrics import Metrics
from ...model import Incarnation, Registration
from ...policies.crashsuspects import Crash, LostRun
from .fates import Fate, FateFinder

# Events after which an engine has evidently begun a run's answer. One that crashes on a
# prompt may send a first event before its connections are closed.
N_BEGUN_EVENTS = 4


class CrashWatch:
    """Reports the crashes of endpoints with the runs that were lost by them.

    Parameters
    ----------
    fates : FateFinder
        Tells crashes from other causes that break off answers.
    on_lost : callable
        Called with each lost run, and the task that finds out why.
    on_crash : callable
        Called with each crash by which runs were lost.
    metrics : Metrics
        Counts endpoints by what became of them.
    """

    def __init__(
        self,
        *,
        fates: FateFinder,
        on_lost: Callable[[LostRun, asyncio.Task[None]], None],
        on_crash: Callable[[Crash], None],
        metrics: Metrics,
    ) -> None:
        self._fates = fates
        self._on_lost = on_lost
        self._on_crash = on_crash
        self._metrics = metrics
        # By start of an endpoint, the runs lost while its fate is being found out.
        self._lost: dict[Incarnation, list[LostRun]] = {}
        self._tasks: dict[Incarnation, asyncio.Task[None]] = {}

    def record_lost(self, reg: Registration, run: LostRun, n_events: int = 0) -> None:
        """Record that an endpoint broke off its answer to a run.

        ``n_events`` are the events of the run so far, those of other engines included.
        """
        known = self._lost.get(reg.incarnation)
        if known is None:
            known = self._lost[reg.incarnation] = []
            task = asyncio.ensure_future(self._find_out(reg, _now()))
            self._tasks[reg.incarnation] = task
        known.append(replace(run, has_begun=n_events >= N_BEGUN_EVENTS))
        self._on_lost(run, self._tasks[reg.incarnation])

    async def _find_out(self, reg: Registration, lost_at: float) -> None:
        fate = Fate.UNKNOWN
        try:
            fate = await self._fates.find(reg, lost_at)
        finally:
            runs = tuple(self._lost.pop(reg.incarnation))
            del self._tasks[reg.incarnation]
        self._log(reg, fate, lost_at, runs)
        if fate is Fate.CRASHED:
            crash = Crash(incarnation=reg.incarnation, runs=runs, crashed_at=lost_at)
            self._on_crash(crash)

    def _log(
        self, reg: Registration, fate: Fate, lost_at: float, runs: Iterable[LostRun]
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
                    "digest": run.prompt.digest,
                    "parts": run.prompt.shared_parts,
                    "has_begun": run.has_begun,
                    "sent_before": round(lost_at - run.sent_at, 3),
                }
                for run in runs
            ],
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
