"""Routing policies, which choose the engine of a generation.

The first two policies are baselines for comparison. An entry node uses the third when
it can't reach a home and has to choose an engine itself.
"""

from __future__ import annotations

import abc
import random
from collections.abc import Sequence

from .enginetracker import EngineView
from .grants import AdmitRequest
from .lengths import LengthModel


class RoutingPolicy(abc.ABC):
    """Chooses an engine at once, without admission control or queueing."""

    @abc.abstractmethod
    def choose(
        self, views: Sequence[EngineView], req: AdmitRequest, now: float
    ) -> EngineView | None:
        """Return the chosen engine, or None if there are no engines."""


class RoundRobin(RoutingPolicy):
    """Chooses each engine in turn, regardless of load."""

    def __init__(self) -> None:
        self._n_chosen = 0

    def choose(
        self, views: Sequence[EngineView], req: AdmitRequest, now: float
    ) -> EngineView | None:
        """Return the next engine in turn."""
        if not views:
            return None
        self._n_chosen += 1
        return views[self._n_chosen % len(views)]


class LeastReported(RoutingPolicy):
    """Chooses the engine with the least reported load.

    The load is the share of memory in use plus the number of waiting requests. Requests
    sent since the report don't count.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, views: Sequence[EngineView], req: AdmitRequest, now: float
    ) -> EngineView | None:
        """Return the engine with the least reported load; ties are broken at random."""
        if not views:
            return None
        return min(views, key=lambda view: (_reported_load(view), self._rng.random()))


class PowerOfTwo(RoutingPolicy):
    """Chooses the less loaded of two random engines.

    The load includes requests sent from this node since the report, and the expected
    growth of all runs on the engine. The random draw keeps nodes with the same outdated
    report from all choosing the same engine.

    Parameters
    ----------
    rng : random.Random
        Draws the two engines.
    lengths : LengthModel
        Forecasts the growth of the runs.
    """

    def __init__(self, *, rng: random.Random, lengths: LengthModel) -> None:
        self._rng = rng
        self._lengths = lengths

    def choose(
        self, views: Sequence[EngineView], req: AdmitRequest, now: float
    ) -> EngineView | None:
        """Return the drawn engine with the lower expected load."""
        if len(views) < 2:
            return views[0] if views else None
        first, second = self._rng.sample(views, 2)
        if self._load(second, req.model) < self._load(first, req.model):
            return second
        return first

    def _load(self, view: EngineView, model: str) -> float:
        n_tokens = float(view.n_used_tokens)
        for run in (*view.running.values(), *view.foreign.values()):
            n_tokens += self._lengths.expected_residual(
                model, run.organisation, run.n_tokens
            )
        n_waiting = view.report.n_waiting if view.report is not None else 0
        n_tokens += n_waiting * self._lengths.expected_residual(model, "", 0)
        return n_tokens / max(1, view.n_memory_tokens)


def _reported_load(view: EngineView) -> float:
    report = view.report
    if report is None:
        return 0.0
    return report.n_used_tokens / max(1, report.n_memory_tokens) + report.n_waiting
