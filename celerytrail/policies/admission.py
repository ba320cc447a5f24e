"""Admission: whether an engine's memory will hold one more generation to its end.

The memory that runs on an engine will need is forecast over the tokens to come: each
generation grows by a token a step until it ends, and its end is known as a probability
only. What counts is the peak of that forecast, with a margin for chance.
"""

from __future__ import annotations

import abc
import bisect
import math
from dataclasses import dataclass

from .engineview import EngineView, Running
from .grants import AdmitRequest
from .lengths import LengthModel, prompt_class

# Steps ahead at which memory is forecast.
HORIZON: tuple[int, ...] = (0, 32, 64, 128, 256, 384, 512, 768, 1024, 1536, 2048)
HORIZON += (3072, 4096, 6144, 8192, 12288, 16384)
# A generation that is less likely to run by then is left out.
P_NEGLIGIBLE = 0.002
# A candidate answers for peaks until it is likelier than this to have ended.
P_MATTERS = 0.1
# A forecast older than this is made anew, seconds.
FORECAST_LIFE = 0.5
# The margin, in standard deviations of the forecast: where it starts and its bounds.
MARGIN_START = 0.3
MARGIN_MIN = -0.3
MARGIN_MAX = 1.5
# A preemption raises the margin at once; each grant lets it down a little. At rest
# that allows one preemption in so many grants.
MARGIN_UP = 0.15
GRANTS_PER_PREEMPTION = 55
# Share of the memory that is never planned for: blocks are never packed to the last.
SLACK_SHARE = 0.03


class AdmissionPolicy(abc.ABC):
    """Judges whether an engine has room for a request."""

    @abc.abstractmethod
    def room(self, view: EngineView, req: AdmitRequest, now: float) -> float:
        """Return the share of memory left at the worst moment; negative for no room."""

    @abc.abstractmethod
    def granted(self, view: EngineView, req: AdmitRequest, now: float) -> None:
        """Note that the request was granted there."""

    @abc.abstractmethod
    def observe(self, view: EngineView) -> None:
        """Note what the engine's newest report says of preemptions."""


class AlwaysAdmit(AdmissionPolicy):
    """Lets everything in at once; a baseline."""

    def room(self, view: EngineView, req: AdmitRequest, now: float) -> float:
        """Return the share of memory free now, above 0 in any case."""
        free = 1.0 - view.n_used_tokens / max(1, view.n_memory_tokens)
        return max(1e-6, free)

    def granted(self, view: EngineView, req: AdmitRequest, now: float) -> None:
        """Do nothing: there is no forecast."""

    def observe(self, view: EngineView) -> None:
        """Do nothing: there is no margin."""


@dataclass(kw_only=True, slots=True)
class Forecast:
    """An engine's expected memory and its variance at each step of the horizon."""

    mean: list[float]
    variance: list[float]
    made_at: float
    n_changes: int


class PredictedPeak(AdmissionPolicy):
    """Admits where the forecast's peak with a margin stays within memory.

    Parameters
    ----------
    lengths : LengthModel
        Forecasts residual lengths.
    model : str
        The model of the pool's engines.
    """

    def __init__(self, *, lengths: LengthModel, model: str) -> None:
        self._lengths = lengths
        self._model = model
        self._forecasts: dict[str, Forecast] = {}
        self._margins: dict[str, float] = {}

    def margin(self, engine: str) -> float:
        """Return the margin learned for an engine, in standard deviations."""
        return self._margins.get(engine, MARGIN_START)

    def room(self, view: EngineView, req: AdmitRequest, now: float) -> float:
        """Return the share of memory left at the forecast's peak."""
        forecast = self._forecast(view, now)
        n_memory = view.n_memory_tokens * (1.0 - SLACK_SHARE)
        if forecast.mean[0] + req.n_prompt_tokens > n_memory:
            return -1.0
        return (n_memory - self._peak_with(forecast, view, req)) / n_memory

    def granted(self, view: EngineView, req: AdmitRequest, now: float) -> None:
        """Add the request to the engine's forecast."""
        forecast = self._forecast(view, now)
        row = self._row(req, 0)
        _add(forecast, req.n_prompt_tokens, row)
        margin = self.margin(view.name) - MARGIN_UP / GRANTS_PER_PREEMPTION
        self._margins[view.name] = max(MARGIN_MIN, margin)

    def observe(self, view: EngineView) -> None:
        """Raise the margin where preemptions were reported."""
        if view.n_new_preemptions:
            # Several at once have one cause. Were each counted, one bad moment would
            # leave the engine half empty for hundreds of grants.
            margin = self.margin(view.name) + MARGIN_UP
            self._margins[view.name] = min(MARGIN_MAX, margin)
            view.n_new_preemptions = 0

    def _forecast(self, view: EngineView, now: float) -> Forecast:
        forecast = self._forecasts.get(view.name)
        if (
            forecast is not None
            and forecast.n_changes == view.n_changes
            and now - forecast.made_at < FORECAST_LIFE
        ):
            return forecast
        forecast = Forecast(
            mean=[float(view.n_extra_tokens)] * len(HORIZON),
            variance=[0.0] * len(HORIZON),
            made_at=now,
            n_changes=view.n_changes,
        )
        for runs in (view.running.values(), view.foreign.values()):
            for run in runs:
                n_so_far = _tokens_now(run, view, now)
                row = self._row(run, n_so_far)
                _add(forecast, run.n_prompt_tokens + n_so_far, row)
        self._forecasts[view.name] = forecast
        return forecast

    def _row(self, run: Running | AdmitRequest, n_so_far: int) -> list[float]:
        kind = prompt_class(self._model, run.n_prompt_tokens)
        curve = self._lengths.curve(kind, run.organisation)
        row = curve.survival_row(n_so_far, HORIZON)
        n_left = run.n_max_tokens - n_so_far
        if n_left >= HORIZON[-1]:
            return row
        return row[: bisect.bisect_right(HORIZON, n_left)]

    def _peak_with(
        self, forecast: Forecast, view: EngineView, req: AdmitRequest
    ) -> float:
        margin = self.margin(view.name)
        row = self._row(req, 0)
        peak = 0.0
        for n_steps, p, mean, variance in zip(
            HORIZON, row, forecast.mean, forecast.variance, strict=False
        ):
            # Past the time that it will hardly see, a peak is not of its making. Were
            # that counted, a short answer would wait behind two long drafts.
            if p < P_MATTERS:
                break
            n_tokens = req.n_prompt_tokens + n_steps
            spread = variance + n_tokens * n_tokens * p * (1.0 - p)
            need = mean + n_tokens * p + margin * math.sqrt(spread)
            if need > peak:
                peak = need
        return peak


def _add(forecast: Forecast, n_held: int, row: list[float]) -> None:
    mean, variance = forecast.mean, forecast.variance
    for place, p in enumerate(row):
        if p < P_NEGLIGIBLE:
            return
        n_tokens = n_held + HORIZON[place]
        mean[place] += n_tokens * p
        variance[place] += n_tokens * n_tokens * p * (1.0 - p)


def _tokens_now(run: Running, view: EngineView, now: float) -> int:
    if not run.n_tokens:
        return 0
    # Progress comes in batches; the tokens since the last are there already.
    return run.n_tokens + int(view.stream_rate * min(2.0, now - run.progress_at))
