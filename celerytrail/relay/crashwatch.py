"""Finds out whether engines that broke off answers have crashed."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

from eliot import log_message
from result import Err

from ..metrics import Metrics
from ..model import Incarnation, Registration
from ..policies.crashsuspects import Crash, LostRun
from .engineapi import EngineApi
from .liverun import UNKNOWN_START
from .registry import Registry

# Events after which an engine has evidently begun a run's answer. One that crashes on a
# prompt may send a first event before its connections are closed.
N_BEGUN_EVENTS = 4
# Timeout of one request for an engine's report, and the pause after one that failed, in
# seconds.
REPORT_SECONDS = 0.5
RETRY_SECONDS = 0.2
# How long an engine that doesn't answer is asked, in seconds: a crashed one loses its
# row after three heartbeats.
GIVE_UP_SECONDS = 5.0
# The client's reason when nothing accepts connections, on any path.
REFUSED = "connect_refused"


class Fate(enum.Enum):
    """What became of an engine that broke off an answer."""

    CRASHED = "crashed"
    ALIVE = "alive"
    LEFT = "left"
    UNKNOWN = "unknown"


class CrashWatch:
    """Tells crashes from other causes that break off an engine's answers.

    A reset connection, a lost path, an engine that leaves and one that crashed look
    alike to a run. The engine's report tells them apart: it names the engine's start,
    and is asked for on every path that there is.

    Parameters
    ----------
    api : EngineApi
        Reads reports.
    registry : Registry
        Which engines have a row, and which of them leave.
    on_crash : callable
        Called with each crash by which runs were lost.
    metrics : Metrics
        Counts engines by what became of them.
    """

    def __init__(
        self,
        *,
        api: EngineApi,
        registry: Registry,
        on_crash: Callable[[Crash], None],
        metrics: Metrics,
    ) -> None:
        self._api = api
        self._registry = registry
        self._on_crash = on_crash
        self._metrics = metrics
        # By start of an engine, the runs lost while its fate is being found out.
        self._lost: dict[Incarnation, list[LostRun]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_lost(self, reg: Registration, run: LostRun, n_events: int) -> None:
        """Record that an engine broke off its answer to a run.

        ``n_events`` are the events of the run so far, those of other engines included.
        """
        known = self._lost.get(reg.incarnation)
        if known is None:
            known = self._lost[reg.incarnation] = []
            task = asyncio.ensure_future(self._find_out(reg, _now()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if n_events < N_BEGUN_EVENTS:
            known.append(run)

    async def _find_out(self, reg: Registration, lost_at: float) -> None:
        fate = Fate.UNKNOWN
        try:
            fate = await self._fate(reg, lost_at + GIVE_UP_SECONDS)
        finally:
            runs = tuple(self._lost.pop(reg.incarnation))
        self._metrics.count("engines_lost", fate=fate.value)
        log_message(
            "relay:engine:lost",
            endpoint=reg.endpoint,
            started_at=reg.started_at,
            fate=fate.value,
            seconds=round(_now() - lost_at, 3),
            prompts=[[*run.prompt.shared_parts, run.prompt.own_part] for run in runs],
        )
        if fate is Fate.CRASHED and runs:
            crash = Crash(incarnation=reg.incarnation, runs=runs, crashed_at=lost_at)
            self._on_crash(crash)

    async def _fate(self, reg: Registration, deadline: float) -> Fate:
        if self._registry.is_leaving(reg):
            return Fate.LEFT
        while _now() < deadline:
            answered = await self._api.report(reg, _now() + REPORT_SECONDS)
            if isinstance(answered, Err):
                if answered.err_value == REFUSED:
                    return Fate.CRASHED
            else:
                started_at = answered.ok_value.started_at
                if started_at == reg.started_at:
                    return Fate.ALIVE
                if started_at is None or reg.started_at == UNKNOWN_START:
                    return Fate.UNKNOWN
                return Fate.CRASHED
            if not self._registry.has(reg.endpoint):
                return Fate.CRASHED
            await asyncio.sleep(RETRY_SECONDS)
        return Fate.UNKNOWN


def _now() -> float:
    return asyncio.get_running_loop().time()
