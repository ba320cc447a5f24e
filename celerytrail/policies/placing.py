"""Choice of the engine that runs a generation.

The workload: generations with some thousand prompt tokens arrive in bursts at many
nodes at once. Each occupies memory until it ends, and concurrent prefills on one engine
slow down every token that the engine makes.
"""

from __future__ import annotations

import abc
import enum
import math
import random
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .engineloads import EngineLoad
from .prefillrates import DEFAULT_PREFILL_RATE

# Largest expected share of an engine's memory in use at any future time. The rest is
# for outputs that are longer than their hint.
MEMORY_SHARE = 0.85
# The same limit for a run that is moved off a leaving engine and would otherwise be
# lost.
MOVE_SHARE = 0.9
# Share of an engine's slots that new generations leave free while engines of several
# versions serve: a stream that is taken up may go on at few of them, and a new one
# would else take each slot there that becomes free.
SPARE_SLOT_SHARE = 0.125
# Share of the target for the first token within which the queued prompts and the
# generation's own must be read. The rest covers network latency, the decode of the
# first token and engines that are slower than estimated.
PREFILL_SHARE = 0.65
# All costs are in seconds of waiting for the first token. The expected share of memory
# in use is multiplied by MEMORY_COST. What exceeds CROWDED_SHARE, where engines begin
# to be crowded, is multiplied by CROWDED_COST and added.
MEMORY_COST = 0.4
CROWDED_SHARE = 0.7
CROWDED_COST = 3.0
# Cost of each second by which the prefill delays one other run. During a prefill each
# step of the engine takes twice as long for all of its runs. This directs short answers
# to engines with few long runs.
DELAY_COST = 0.3
# Cost of each second of decode: until its end the run occupies memory that others
# need, and the loss of its engine or node would lose the output.
OUTPUT_COST = 0.12
# Cost of each request that waits in the engine's own queue.
QUEUE_COST = 0.3
# Cost of each second that remains of an engine's slow phase after its start.
COLD_COST = 0.5
# Cost of another failure domain for a new generation; it only breaks ties.
CROSS_DOMAIN_COST = 0.02
# Cost of another failure domain for a run that is moved. The copy takes twice as long,
# 0.2 s more, in which the next run could leave an engine that stops within two seconds.
CROSS_DOMAIN_MOVE_COST = 1.5


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Resources that a generation needs, and the limits for its placement.

    Parameters
    ----------
    n_tokens : int
        Memory that it takes from the start: its prompt and the output made so far.
    n_prefill_tokens : int
        Tokens of these that need a prefill.
    n_remaining_tokens : int
        Expected further output.
    failure_domain : str
        Failure domain of its caller's node, or of the engine that it leaves.
    memory_share : float
        Largest expected share of an engine's memory in use with it.
    cross_domain_cost : float
        Cost of another failure domain, in seconds.
    prefill_rate : float
        Prompt tokens that an engine reads per second.
    max_prefill_seconds : float
        Time within which the queued prompts and its own must be read.
    spare_slot_share : float
        Share of an engine's slots that it leaves free.
    """

    n_tokens: int
    n_prefill_tokens: int
    n_remaining_tokens: int
    failure_domain: str = ""
    memory_share: float = MEMORY_SHARE
    cross_domain_cost: float = CROSS_DOMAIN_COST
    prefill_rate: float = DEFAULT_PREFILL_RATE
    max_prefill_seconds: float = math.inf
    spare_slot_share: float = 0.0


def peak_tokens(sizes: Iterable[tuple[int, int]]) -> int:
    """Return the peak memory that runs will occupy together, in tokens.

    A run grows by one token per step and frees all of its memory at its end. Runs end
    at different times, so the peak is below the sum of their final sizes.

    Parameters
    ----------
    sizes : iterable of (int, int)
        Tokens that each run occupies now, and the further output expected of it.
    """
    ordered = sorted(sizes, key=lambda size: size[1])
    total = sum(n_tokens for n_tokens, _ in ordered)
    n_left = len(ordered)
    peak = total
    for n_tokens, n_remaining in ordered:
        peak = max(peak, total + n_left * n_remaining)
        total -= n_tokens
        n_left -= 1
    return peak


def expected_memory_share(load: EngineLoad, demand: Demand) -> float:
    """Return the expected peak share of an engine's memory in use."""
    sizes = [
        (run.n_tokens, run.n_remaining_tokens) for run in (*load.runs, *load.copies)
    ]
    sizes.append((demand.n_tokens, demand.n_remaining_tokens))
    n_tokens = peak_tokens(sizes)
    if load.report is not None:
        # Orphaned copies occupy memory but are on no node's list.
        n_tokens = max(n_tokens, load.report.n_used_tokens + demand.n_tokens)
    return n_tokens / load.n_memory_tokens


def can_prefill_in_time(load: EngineLoad, demand: Demand) -> bool:
    """Return whether an engine reads a generation's prompt in time.

    In a burst, or while one of few engines is missing, prompts arrive faster than they
    are read. Placed by free memory alone they would queue at the engines, and each
    would delay the first token of all behind it: one second of burst would delay
    answers for ten seconds. A prompt that finds no short queue waits at the node
    instead, where any engine may still take it, and is refused in time. An engine
    without a prefill in progress accepts any prompt.
    """
    if load.n_prefill_tokens == 0:
        return True
    n_reading = load.n_prefill_tokens + demand.n_prefill_tokens
    return n_reading / prefill_rate(load, demand) <= demand.max_prefill_seconds


def prefill_rate(load: EngineLoad, demand: Demand) -> float:
    """Return the prompt tokens that an engine is expected to read per second."""
    return load.prefill_rate or demand.prefill_rate


class Obstacle(enum.Enum):
    """Reason for which an engine can't accept a generation now."""

    NO_SLOT = "no_slot"
    PROMPTS_QUEUED = "prompts_queued"
    NO_MEMORY = "no_memory"


def find_obstacle(load: EngineLoad, demand: Demand) -> Obstacle | None:
    """Return why a generation can't be placed on an engine, None if it can."""
    n_spare = math.ceil(demand.spare_slot_share * load.n_slots)
    if len(load.runs) >= load.n_slots - n_spare:
        return Obstacle.NO_SLOT
    if not can_prefill_in_time(load, demand):
        return Obstacle.PROMPTS_QUEUED
    if expected_memory_share(load, demand) > demand.memory_share:
        return Obstacle.NO_MEMORY
    return None


def fits(load: EngineLoad, demand: Demand) -> bool:
    """Return whether an engine starts a generation in time and holds it to its end."""
    return find_obstacle(load, demand) is None


def choose_last_resort(
    loads: Sequence[EngineLoad], demand: Demand
) -> EngineLoad | None:
    """Return the engine for a run that would be lost otherwise, None if none has room.

    The run fits now, though perhaps not to its end; by then others may have ended.
    """
    roomy = [
        load
        for load in loads
        if len(load.runs) < load.n_slots
        and load.n_tokens + demand.n_tokens <= load.n_memory_tokens
    ]
    return min(
        roomy, key=lambda load: expected_memory_share(load, demand), default=None
    )


def count_obstacles(loads: Iterable[EngineLoad], demand: Demand) -> dict[str, int]:
    """Return the number of engines by obstacle."""
    found = (find_obstacle(load, demand) for load in loads)
    return Counter(obstacle.value for obstacle in found if obstacle is not None)


def cost(load: EngineLoad, demand: Demand) -> float:
    """Return the cost of placing a generation on an engine, in seconds."""
    n_reading = load.n_prefill_tokens + demand.n_prefill_tokens
    share = expected_memory_share(load, demand)
    is_cross_domain = load.reg.failure_domain != demand.failure_domain
    rate = prefill_rate(load, demand)
    return (
        n_reading / rate
        + DELAY_COST * len(load.runs) * demand.n_prefill_tokens / rate
        + MEMORY_COST * share
        + CROWDED_COST * max(0.0, share - CROWDED_SHARE)
        + OUTPUT_COST * demand.n_remaining_tokens * load.token_seconds
        + QUEUE_COST * (load.report.n_queued if load.report else 0)
        + COLD_COST * load.cold_seconds
        + (demand.cross_domain_cost if is_cross_domain else 0.0)
    )


class PlacementPolicy(abc.ABC):
    """Policy that chooses the engine of a generation."""

    @abc.abstractmethod
    def choose(
        self, loads: Sequence[EngineLoad], demand: Demand, rng: random.Random
    ) -> EngineLoad | None:
        """Return the chosen engine, or None if the generation has to wait."""


class LeastCostPlacement(PlacementPolicy):
    """Chooses the least costly engine that can hold a generation to its end."""

    def choose(
        self, loads: Sequence[EngineLoad], demand: Demand, rng: random.Random
    ) -> EngineLoad | None:
        """Return the fitting engine with the lowest cost."""
        fitting = [load for load in loads if fits(load, demand)]
        if not fitting:
            return None
        # Nodes that decide in the same millisecond see the same loads. Random
        # tie-breaking keeps them from all choosing the same of two equal engines.
        return min(
            fitting, key=lambda load: (round(cost(load, demand), 2), rng.random())
        )
