"""Placement policies and settings to compare the product's defaults with."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import replace

from bench.fleet import Variation
from celerytrail.policies.backups import OtherDomainBackup
from celerytrail.policies.engineloads import EngineLoad
from celerytrail.policies.movetargets import OwnTargets
from celerytrail.policies.moving import StopAfterQuick
from celerytrail.policies.placing import Demand, LeastCostPlacement, PlacementPolicy


class AnyQueue(LeastCostPlacement):
    """The product's policy without its bound on an engine's queue of prompts."""

    def choose(
        self, loads: Sequence[EngineLoad], demand: Demand, rng: random.Random
    ) -> EngineLoad | None:
        """Return the engine with the least cost that can take the run."""
        return super().choose(loads, replace(demand, max_prefill_seconds=math.inf), rng)


class RoundRobin(PlacementPolicy):
    """Each node uses the engines in turn, regardless of their load."""

    def __init__(self) -> None:
        self._n_placed = 0

    def choose(
        self, loads: Sequence[EngineLoad], demand: Demand, rng: random.Random
    ) -> EngineLoad | None:
        """Return the next engine in the order of endpoint names."""
        ordered = sorted(loads, key=lambda load: load.reg.endpoint)
        if not ordered:
            return None
        self._n_placed += 1
        return ordered[self._n_placed % len(ordered)]


class LeastReported(PlacementPolicy):
    """Each node uses only the engines' own, delayed load reports."""

    def choose(
        self, loads: Sequence[EngineLoad], demand: Demand, rng: random.Random
    ) -> EngineLoad | None:
        """Return the engine that reports the fewest used tokens."""
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
    """Uses the load estimate that nodes share, but only its number of runs."""

    def choose(
        self, loads: Sequence[EngineLoad], demand: Demand, rng: random.Random
    ) -> EngineLoad | None:
        """Return the engine with the fewest runs."""
        if not loads:
            return None
        return min(loads, key=lambda load: (len(load.runs), rng.random()))


VARIATIONS: dict[str, Callable[[], Variation]] = {
    "shipped": Variation,
    "other domain": lambda: Variation(backups=OtherDomainBackup()),
    "own targets": lambda: Variation(move_targets=OwnTargets()),
    "own targets, spread moves": lambda: Variation(
        move_targets=OwnTargets(), incoming_cost=1.0
    ),
    "own targets, other domain": lambda: Variation(
        move_targets=OwnTargets(), backups=OtherDomainBackup()
    ),
    "stop when quick": lambda: Variation(stopping=StopAfterQuick()),
    "own targets, quick": lambda: Variation(
        move_targets=OwnTargets(), stopping=StopAfterQuick()
    ),
    "own targets, quick, other": lambda: Variation(
        move_targets=OwnTargets(),
        stopping=StopAfterQuick(),
        backups=OtherDomainBackup(),
    ),
    "spread moves": lambda: Variation(incoming_cost=1.0),
    "other domain, spread moves": lambda: Variation(
        backups=OtherDomainBackup(), incoming_cost=1.0
    ),
    "no copies": lambda: Variation(can_back_up=False),
    "no moves": lambda: Variation(can_move=False, can_back_up=False),
    "any queue": lambda: Variation(placing=AnyQueue()),
    "fewest runs": lambda: Variation(placing=FewestRuns()),
    "least reported": lambda: Variation(placing=LeastReported()),
    "round robin": lambda: Variation(placing=RoundRobin()),
}
