"""Decides for this node's waiting requests whether they wait on, and follows up."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Sequence
from dataclasses import replace

from ..metrics import Metrics
from ..policies.engineloads import EngineLoad
from ..policies.placing import Demand, fits
from ..policies.roomforecast import (
    Forecast,
    Hindsight,
    Keep,
    Refuse,
    ReplayedEnds,
    RoomForecast,
    TurningAway,
    Verdict,
    WaitingDemand,
)
from ..policies.waiting import Waiting, demand_ahead
from .liverun import LiveRun
from .waitingroom import WaitingRoom

# Most requests ahead that a forecast replays. With 60 it takes under 5 ms.
MAX_REPLAYED = 60


class AdmissionControl:
    """Decides whether requests without an engine wait on or are refused.

    Parameters
    ----------
    room : WaitingRoom
        The requests of all nodes that wait.
    metrics : Metrics
        Counts decisions, and what they turned out to be.
    rng : random.Random
        Source of the jitter of retry times.
    forecast : RoomForecast or None
        Forecasts capacity; a replay of the runs' ends by default.
    """

    def __init__(
        self,
        *,
        room: WaitingRoom,
        metrics: Metrics,
        rng: random.Random,
        forecast: RoomForecast | None = None,
    ) -> None:
        self._room = room
        self._metrics = metrics
        self._forecast = forecast or ReplayedEnds()
        self._turning_away = TurningAway(rng=rng)
        self._hindsight = Hindsight()
        # By refused request, its service.
        self._refused_services: dict[str, str] = {}

    def decide(
        self, live: LiveRun, own: Waiting, demand: Demand, loads: Sequence[EngineLoad]
    ) -> Keep | Refuse:
        """Return whether a request that found no engine waits on.

        Parameters
        ----------
        live : LiveRun
            The run that the request asks for.
        own : Waiting
            What the other nodes are told of it.
        demand : Demand
            What it needs.
        loads : sequence of EngineLoad
            The engines that it may get.
        """
        now = _now()
        self._look_back(own.service, loads, now)
        waits = WaitingDemand(
            demand=replace(demand, max_prefill_seconds=math.inf),
            arrived_at=now - live.ex.age_seconds,
            target_at=own.target_at,
            gives_up_at=own.gives_up_at,
        )
        ahead = [
            WaitingDemand(
                demand=replace(
                    demand_ahead(other, demand, now), max_prefill_seconds=math.inf
                ),
                arrived_at=other.waiting_since,
                target_at=other.target_at,
                gives_up_at=other.gives_up_at,
            )
            for other in self._room.ahead(own, loads)[:MAX_REPLAYED]
        ]
        forecast = self._forecast.forecast(waits, ahead, loads, now)
        decision = self._turning_away.decide(waits, forecast, now)
        self._count_verdict(self._hindsight.record(own.request_id, waits, decision))
        if isinstance(decision, Refuse):
            self._refused_services[own.request_id] = own.service
        self._report(live, forecast, decision, now)
        return decision

    def record_placed(self, request_id: str) -> None:
        """Record that a request got an engine."""
        self._count_verdict(self._hindsight.record_placed(request_id))

    def record_left(self, request_id: str) -> None:
        """Record that a request left without an engine or a refusal."""
        self._hindsight.forget(request_id)

    def expire(self, now: float) -> None:
        """Close the decisions that can't turn out otherwise any more."""
        for verdict in self._hindsight.expire(now):
            self._count_verdict(verdict)
        refused = self._hindsight.refused
        self._refused_services = {
            request_id: service
            for request_id, service in self._refused_services.items()
            if request_id in refused
        }

    def _look_back(self, service: str, loads: Sequence[EngineLoad], now: float) -> None:
        """Find refused requests for which there would be capacity now."""
        for request_id, waits in self._hindsight.refused.items():
            if self._refused_services.get(request_id) != service:
                continue
            if any(fits(load, waits.demand) for load in loads):
                verdict = self._hindsight.record_room(request_id, now)
                self._count_verdict(verdict)

    def _count_verdict(self, verdict: Verdict | None) -> None:
        if verdict is not None:
            self._metrics.count("waiting_hindsight", verdict=verdict.value)

    def _report(
        self, live: LiveRun, forecast: Forecast, decision: Keep | Refuse, now: float
    ) -> None:
        if isinstance(decision, Keep):
            name, reason = "keep", "late" if decision.is_late else "in_time"
        else:
            name, reason = "refuse", decision.reason.value
        self._metrics.count("waiting_decisions", decision=name, reason=reason)
        room_seconds = None
        if forecast.room_at is not None:
            room_seconds = round(forecast.room_at - now, 3)
            live.ex.observe_seconds("waiting_forecast", room_seconds)
        live.ex.log(
            "admission_decided",
            decision=name,
            basis=reason,
            n_ahead=forecast.n_ahead,
            room_seconds=room_seconds,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
