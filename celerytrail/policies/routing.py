"""Routing: which of several engines gets a generation.

The first two policies are baselines to measure against. The third is what an entry
node uses when it can reach no home and must choose by itself.
"""

from __future__ import annotations

import abc
import random
from collections.abc import Sequence

from .engineview import EngineView
from .grants import AdmitRequest
from .lengths import LengthModel


class RoutingPolicy(abc.ABC):
    """Chooses an engine; sends always, never holds back."""

    @abc.abstractmethod
    def choose(
        self, views: Sequence[EngineView], req: AdmitRequest, now: float
    ) -> EngineView | None:
        """Return the engine to send to; None where there is no engine at all."""


class RoundRobin(RoutingPolicy):
    """Each engine in turn, whatever its load."""

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
    """The engine that reported the least memory in use, nothing else counted."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, views: Sequence[EngineView], req: AdmitRequest, now: float
    ) -> EngineView | None:
        """Return the engine of the least reported load, ties broken by chance."""
        if not views:
            return None
        return min(views, key=lambda view: (_reported(view), self._rng.random()))


class PowerOfTwo(RoutingPolicy):
    """The better of two engines drawn by chance.

    What was sent from here since the report counts, and so does the growth that is
    expected of all that runs there. The draw keeps the many nodes that hold the same
    late report from all choosing the same engine.

    Parameters
    ----------
    rng : random.Random
        Draws the two.
    lengths : LengthModel
        Forecasts the growth.
    """

    def __init__(self, *, rng: random.Random, lengths: LengthModel) -> None:
        self._rng = rng
        self._lengths = lengths

    def choose(
        self, views: Sequence[EngineView], req: AdmitRequest, now: float
    ) -> EngineView | None:
        """Return the one of two with the lower expected load."""
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


def _reported(view: EngineView) -> float:
    report = view.report
    if report is None:
        return 0.0
    return report.n_used_tokens / max(1, report.n_memory_tokens) + report.n_waiting
