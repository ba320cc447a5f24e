"""Placement policies and settings to compare the product's defaults with."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import replace

from bench.fleet import Variation
from celerytrail.model import Registration
from celerytrail.policies.backups import BackupPolicy, most_free
from celerytrail.policies.engineloads import EngineLoad
from celerytrail.policies.movetargets import MoveTargets
from celerytrail.policies.moving import StopPolicy
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


class AnyTargets(MoveTargets):
    """Moves runs to any engine."""

    def select(
        self, loads: Sequence[EngineLoad], source: str, leaving: Collection[str]
    ) -> list[EngineLoad]:
        """Return all engines."""
        return list(loads)


class StopAfterOne(StopPolicy):
    """Stops a run after its first copy."""

    def should_stop(
        self, n_copies: int, copy_seconds: float, remaining_seconds: float | None
    ) -> bool:
        """Return true."""
        return True


class OtherDomainBackup(BackupPolicy):
    """Keeps copies in another failure domain than the run's, if there is room."""

    def choose(
        self,
        loads: Sequence[EngineLoad],
        demand: Demand,
        placed: Registration,
        rng: random.Random,
        *,
        is_needed: bool,
    ) -> EngineLoad | None:
        """Return the engine for a copy, None if none has enough memory."""
        others = [
            load for load in loads if load.reg.failure_domain != placed.failure_domain
        ]
        found = most_free(others, demand, placed, rng, is_needed=is_needed)
        return found or most_free(loads, demand, placed, rng, is_needed=is_needed)


VARIATIONS: dict[str, Callable[[], Variation]] = {
    "shipped": Variation,
    "any targets": lambda: Variation(move_targets=AnyTargets()),
    "stop after one": lambda: Variation(stopping=StopAfterOne()),
    "any targets, stop after one": lambda: Variation(
        move_targets=AnyTargets(), stopping=StopAfterOne()
    ),
    "other domain": lambda: Variation(backups=OtherDomainBackup()),
    "no copies": lambda: Variation(can_back_up=False),
    "no moves": lambda: Variation(can_move=False, can_back_up=False),
    "any queue": lambda: Variation(placing=AnyQueue()),
    "fewest runs": lambda: Variation(placing=FewestRuns()),
    "least reported": lambda: Variation(placing=LeastReported()),
    "round robin": lambda: Variation(placing=RoundRobin()),
}
