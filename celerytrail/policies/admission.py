"""Admission control: whether an engine's memory can hold one more generation.

The memory used by an engine's generations is forecast over the coming decode steps.
Each generation grows by one token per step until it ends, and its end is known only as
a probability. A request is admitted if the peak of the forecast, plus a margin for its
variance, fits in memory.
"""

from __future__ import annotations

import abc
import bisect
import math
from dataclasses import dataclass

from .enginetracker import EngineView, RunningGeneration
from .grants import AdmitRequest
from .lengths import LengthModel, prompt_class

# Decode steps ahead at which memory is forecast.
FORECAST_STEPS: tuple[int, ...] = (0, 32, 64, 128, 256, 384, 512, 768, 1024, 1536, 2048)
FORECAST_STEPS += (3072, 4096, 6144, 8192, 12288, 16384)
# A generation is left out of a step that it reaches with a lower probability.
MIN_RUNNING_PROBABILITY = 0.002
# A request isn't checked against a peak that it reaches with a lower probability.
MIN_PEAK_PROBABILITY = 0.1
# A forecast older than this is recomputed.
FORECAST_LIFE_SECONDS = 0.5
# The margin's initial value and bounds, in standard deviations of the forecast.
MARGIN_START = 0.3
MARGIN_MIN = -0.3
MARGIN_MAX = 1.5
# A report of preemptions raises the margin by one step; each grant lowers it by a small
# part of that. In equilibrium, one grant in GRANTS_PER_PREEMPTION is followed by a
# report of preemptions.
MARGIN_STEP = 0.15
GRANTS_PER_PREEMPTION = 55
# Share of the memory that stays unplanned, as memory blocks are never packed fully.
RESERVED_SHARE = 0.03


class AdmissionPolicy(abc.ABC):
    """Decides whether a request fits on an engine."""

    @abc.abstractmethod
    def headroom(self, view: EngineView, req: AdmitRequest, now: float) -> float:
        """Return the share of memory left at the peak; negative if it doesn't fit."""

    @abc.abstractmethod
    def granted(self, view: EngineView, req: AdmitRequest, now: float) -> None:
        """Record that the request was granted on the engine."""

    @abc.abstractmethod
    def observe(self, view: EngineView) -> None:
        """Adapt to the preemptions in the engine's latest report."""


class AlwaysAdmit(AdmissionPolicy):
    """Admits every request at once; a baseline for comparisons."""

    def headroom(self, view: EngineView, req: AdmitRequest, now: float) -> float:
        """Return the share of memory that is free now, always positive."""
        free = 1.0 - view.n_used_tokens / max(1, view.n_memory_tokens)
        return max(1e-6, free)

    def granted(self, view: EngineView, req: AdmitRequest, now: float) -> None:
        """Do nothing, as there is no forecast."""

    def observe(self, view: EngineView) -> None:
        """Do nothing, as there is no margin."""


@dataclass(kw_only=True, slots=True)
class Forecast:
    """Mean and variance of the tokens in an engine's memory at each forecast step."""

    mean: list[float]
    variance: list[float]
    made_at: float
    n_changes: int


class PredictedPeak(AdmissionPolicy):
    """Admits a request if the forecast's peak plus a margin fits in memory.

    Parameters
    ----------
    lengths : LengthModel
        Forecasts the remaining lengths of generations.
    model : str
        The model of the pool's engines.
    """

    def __init__(self, *, lengths: LengthModel, model: str) -> None:
        self._lengths = lengths
        self._model = model
        self._forecasts: dict[str, Forecast] = {}
        self._margins: dict[str, float] = {}

    def margin(self, engine: str) -> float:
        """Return an engine's current margin, in standard deviations."""
        return self._margins.get(engine, MARGIN_START)

    def headroom(self, view: EngineView, req: AdmitRequest, now: float) -> float:
        """Return the share of memory left at the forecast's peak."""
        forecast = self._forecast(view, now)
        n_memory = view.n_memory_tokens * (1.0 - RESERVED_SHARE)
        if forecast.mean[0] + req.n_prompt_tokens > n_memory:
            return -1.0
        return (n_memory - self._peak_with_request(forecast, view, req)) / n_memory

    def granted(self, view: EngineView, req: AdmitRequest, now: float) -> None:
        """Add the request to the engine's forecast."""
        forecast = self._forecast(view, now)
        row = self._survival_row(req, 0)
        _add_generation(forecast, req.n_prompt_tokens, row)
        margin = self.margin(view.name) - MARGIN_STEP / GRANTS_PER_PREEMPTION
        self._margins[view.name] = max(MARGIN_MIN, margin)

    def observe(self, view: EngineView) -> None:
        """Raise the margin if preemptions were reported."""
        if view.n_new_preemptions:
            # Preemptions in one report have a common cause. Counting each of them
            # would leave the engine half empty for hundreds of grants.
            margin = self.margin(view.name) + MARGIN_STEP
            self._margins[view.name] = min(MARGIN_MAX, margin)
            view.n_new_preemptions = 0

    def _forecast(self, view: EngineView, now: float) -> Forecast:
        forecast = self._forecasts.get(view.name)
        if (
            forecast is not None
            and forecast.n_changes == view.n_changes
            and now - forecast.made_at < FORECAST_LIFE_SECONDS
        ):
            return forecast
        forecast = Forecast(
            mean=[float(view.n_unexplained_tokens)] * len(FORECAST_STEPS),
            variance=[0.0] * len(FORECAST_STEPS),
            made_at=now,
            n_changes=view.n_changes,
        )
        for runs in (view.running.values(), view.foreign.values()):
            for run in runs:
                n_so_far = _estimate_tokens(run, view, now)
                row = self._survival_row(run, n_so_far)
                _add_generation(forecast, run.n_prompt_tokens + n_so_far, row)
        self._forecasts[view.name] = forecast
        return forecast

    def _survival_row(
        self, run: RunningGeneration | AdmitRequest, n_so_far: int
    ) -> list[float]:
        length_class = prompt_class(self._model, run.n_prompt_tokens)
        curve = self._lengths.curve(length_class, run.organisation)
        row = curve.survival_row(n_so_far, FORECAST_STEPS)
        n_left = run.n_max_tokens - n_so_far
        if n_left >= FORECAST_STEPS[-1]:
            return row
        return row[: bisect.bisect_right(FORECAST_STEPS, n_left)]

    def _peak_with_request(
        self, forecast: Forecast, view: EngineView, req: AdmitRequest
    ) -> float:
        margin = self.margin(view.name)
        row = self._survival_row(req, 0)
        peak = 0.0
        for n_steps, p, mean, variance in zip(
            FORECAST_STEPS, row, forecast.mean, forecast.variance, strict=False
        ):
            # The request hardly contributes to peaks after its likely end. If these
            # counted, a short answer would wait behind two long ones.
            if p < MIN_PEAK_PROBABILITY:
                break
            n_tokens = req.n_prompt_tokens + n_steps
            total_variance = variance + n_tokens * n_tokens * p * (1.0 - p)
            n_needed = mean + n_tokens * p + margin * math.sqrt(total_variance)
            if n_needed > peak:
                peak = n_needed
        return peak


def _add_generation(forecast: Forecast, n_held_tokens: int, row: list[float]) -> None:
    mean, variance = forecast.mean, forecast.variance
    for i, p in enumerate(row):
        if p < MIN_RUNNING_PROBABILITY:
            return
        n_tokens = n_held_tokens + FORECAST_STEPS[i]
        mean[i] += n_tokens * p
        variance[i] += n_tokens * n_tokens * p * (1.0 - p)


def _estimate_tokens(run: RunningGeneration, view: EngineView, now: float) -> int:
    if not run.n_tokens:
        return 0
    # Progress arrives in batches, so the tokens generated since the last batch are
    # estimated from the engine's stream rate.
    return run.n_tokens + int(view.stream_rate * min(2.0, now - run.progress_at))
