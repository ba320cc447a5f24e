"""Placing policies to compare the product's own with, and what else can be varied."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import replace

from bench.fleet import Variation
from celerytrail.policies.engineloads import EngineLoad
from celerytrail.policies.placing import Demand, LeastCostPlacement, PlacementPolicy


class AnyQueue(LeastCostPlacement):
    """The product's own, but however many prompts an engine has still to read."""

    def choose(
        self, loads: Sequence[EngineLoad], demand: Demand, rng: random.Random
    ) -> EngineLoad | None:
        """Return the fitting engine with the least cost."""
        return super().choose(loads, replace(demand, max_prefill_seconds=math.inf), rng)


class RoundRobin(PlacementPolicy):
    """Each node sends to the engines in turn, whatever they hold."""

    def __init__(self) -> None:
        self._n_placed = 0

    def choose(
        self, loads: Sequence[EngineLoad], demand: Demand, rng: random.Random
    ) -> EngineLoad | None:
        """Return the next engine in the order of names."""
        ordered = sorted(loads, key=lambda load: load.reg.endpoint)
        if not ordered:
            return None
        self._n_placed += 1
        return ordered[self._n_placed % len(ordered)]


class LeastReported(PlacementPolicy):
    """Each node goes by the engines' own late reports alone."""

    def choose(
        self, loads: Sequence[EngineLoad], demand: Demand, rng: random.Random
    ) -> EngineLoad | None:
        """Return the engine that says that it has most memory free."""
        if not loads:
            return None
        return min(
            loads,
            key=lambda load: (
                load.report.n_used_tokens if load.report else 0,
                rng.random(),
            ),
        )


class FewestRuns(PlacementPolicy):
    """By the view that all nodes share, but only by how many runs there are."""

    def choose(
        self, loads: Sequence[EngineLoad], demand: Demand, rng: random.Random
    ) -> EngineLoad | None:
        """Return the engine with the fewest runs."""
        if not loads:
            return None
        return min(loads, key=lambda load: (len(load.runs), rng.random()))


VARIATIONS: dict[str, Callable[[], Variation]] = {
    "shipped": Variation,
    "no copies": lambda: Variation(can_back_up=False),
    "no moves": lambda: Variation(can_move=False, can_back_up=False),
    "any queue": lambda: Variation(placing=AnyQueue()),
    "fewest runs": lambda: Variation(placing=FewestRuns()),
    "least reported": lambda: Variation(placing=LeastReported()),
    "round robin": lambda: Variation(placing=RoundRobin()),
}
