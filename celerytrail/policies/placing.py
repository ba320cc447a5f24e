"""Which engine a generation goes to, and which one keeps a copy of it.

The load that this answers: drafts of some thousand prompt tokens arrive in bursts at
many nodes at once, each takes memory until its end, and prompts that are read side by
side on one engine slow down every token there.
"""

from __future__ import annotations

import abc
import enum
import math
import random
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..model import Registration
from .engineloads import EngineLoad
from .readrates import USUAL_RATE

# Share of an engine's memory that is expected to be taken at any time to come; the
# rest is for outputs that are longer than hinted.
MEMORY_SHARE = 0.85
# The same for copies: what is left is for new generations.
COPY_SHARE = 0.6
# The same for copies of runs whose engine has more than its link can move in time.
NEEDED_COPY_SHARE = 0.72
# The same for a run that is moved off an engine that leaves, and would be lost.
MOVE_SHARE = 0.9
# Share of the target within which the prompts ahead of a generation, and its own, must
# be read. The rest of it is for the way, for the first token and for engines that are
# slower than reckoned.
READ_SHARE = 0.65
# What a full memory costs, in seconds of waiting for the first token, and what each
# further share of it costs beyond the share at which engines begin to crowd.
MEMORY_COST = 0.4
CROWDED_SHARE = 0.7
CROWDED_COST = 3.0
# What a second by which the reading of a prompt delays one other run costs, in the
# same unit. While a prompt is read, each step of its engine takes twice as long for all
# runs there. Short answers so gather where few long ones run.
DELAY_COST = 0.3
# What a second that an output takes to be made costs, in the same unit: meanwhile its
# memory is missing to others, and its engine or node may be lost with it.
OUTPUT_COST = 0.12
# What each request that waits in an engine's own queue costs, in the same unit.
QUEUE_COST = 0.3
# What an engine that is still slow after its start costs, in the same unit, for each
# second that is left of it.
COLD_COST = 0.5
# What another failure domain costs a new generation, in the same unit; breaks ties.
FAR_COST = 0.02
# What it costs one that is moved: the copy takes twice as long, 0.2 s more, in which
# the next one could have left an engine that is gone within two seconds.
FAR_MOVE_COST = 1.5


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """What a generation needs.

    Parameters
    ----------
    n_tokens : int
        Memory that it takes from the start: its prompt, and what was made of it.
    n_reading_tokens : int
        What of it must be read.
    n_remaining_tokens : int
        Output to reckon with.
    failure_domain : str
        Where its caller's node runs, or the engine that it leaves.
    memory_share : float
        The share of an engine's memory that may be expected to be taken with it.
    far_cost : float
        What another failure domain costs.
    read_rate : float
        Prompt tokens that an engine reads a second.
    read_seconds : float
        Within how long the prompts there and its own must be read.
    """

    n_tokens: int
    n_reading_tokens: int
    n_remaining_tokens: int
    failure_domain: str = ""
    memory_share: float = MEMORY_SHARE
    far_cost: float = FAR_COST
    read_rate: float = USUAL_RATE
    read_seconds: float = math.inf


def peak_tokens(sizes: Iterable[tuple[int, int]]) -> int:
    """Return the most memory that runs will take together at any time to come.

    Each grows by a token a step until its end, and then gives all back. Ends don't
    fall together, so this is less than the sum of what each takes at its end.

    Parameters
    ----------
    sizes : iterable of (int, int)
        Tokens that a run takes now, and that are still to be expected of it.
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


def expected_share(load: EngineLoad, demand: Demand) -> float:
    """Return the largest share of an engine's memory that is to be expected."""
    sizes = [
        (run.n_tokens, run.n_remaining_tokens) for run in (*load.runs, *load.copies)
    ]
    sizes.append((demand.n_tokens, demand.n_remaining_tokens))
    n_tokens = peak_tokens(sizes)
    if load.report is not None:
        # Copies that were left behind take memory of which no node knows any more.
        n_tokens = max(n_tokens, load.report.n_used_tokens + demand.n_tokens)
    return n_tokens / load.n_memory_tokens


def is_read_in_time(load: EngineLoad, demand: Demand) -> bool:
    """Return whether a generation's prompt is read there before it is late.

    More prompts come than engines read, in a burst or while one of few engines is
    gone. Placed wherever memory is free, they queue up there, and each that is added
    makes the first words of all behind it late: a second of burst is felt for ten.
    What finds no short queue waits here, where any engine may take it, and is refused
    in time. An engine that reads nothing takes any prompt.
    """
    if load.n_reading_tokens == 0:
        return True
    n_reading = load.n_reading_tokens + demand.n_reading_tokens
    return n_reading / demand.read_rate <= demand.read_seconds


class Obstacle(enum.Enum):
    """Why an engine can't take a generation now."""

    NO_SLOT = "no_slot"
    PROMPTS_QUEUED = "prompts_queued"
    NO_MEMORY = "no_memory"


def find_obstacle(load: EngineLoad, demand: Demand) -> Obstacle | None:
    """Return why an engine would not serve a generation in time and to its end."""
    if len(load.runs) >= load.n_slots:
        return Obstacle.NO_SLOT
    if not is_read_in_time(load, demand):
        return Obstacle.PROMPTS_QUEUED
    if expected_share(load, demand) > demand.memory_share:
        return Obstacle.NO_MEMORY
    return None


def fits(load: EngineLoad, demand: Demand) -> bool:
    """Return whether an engine serves a generation in time and holds it to its end."""
    return find_obstacle(load, demand) is None


def count_obstacles(loads: Iterable[EngineLoad], demand: Demand) -> dict[str, int]:
    """Return on how many engines each obstacle stood in the way."""
    found = (find_obstacle(load, demand) for load in loads)
    return Counter(obstacle.value for obstacle in found if obstacle is not None)


def cost(load: EngineLoad, demand: Demand) -> float:
    """Return how bad an engine is, in seconds of waiting for the first token."""
    n_reading = load.n_reading_tokens + demand.n_reading_tokens
    share = expected_share(load, demand)
    is_far = load.reg.failure_domain != demand.failure_domain
    return (
        n_reading / demand.read_rate
        + DELAY_COST * len(load.runs) * demand.n_reading_tokens / demand.read_rate
        + MEMORY_COST * share
        + CROWDED_COST * max(0.0, share - CROWDED_SHARE)
        + OUTPUT_COST * demand.n_remaining_tokens * load.token_seconds
        + QUEUE_COST * (load.report.n_queued if load.report else 0)
        + COLD_COST * load.reg.cold_seconds
        + (demand.far_cost if is_far else 0.0)
    )


class Placing(abc.ABC):
    """Which engine a generation goes to."""

    @abc.abstractmethod
    def choose(
        self, loads: Sequence[EngineLoad], demand: Demand, rng: random.Random
    ) -> EngineLoad | None:
        """Return the engine, None where the generation has to wait for room."""


class CheapestPlacing(Placing):
    """The best engine that is expected to hold a generation to its end."""

    def choose(
        self, loads: Sequence[EngineLoad], demand: Demand, rng: random.Random
    ) -> EngineLoad | None:
        """Return the fitting engine with the least cost."""
        fitting = [load for load in loads if fits(load, demand)]
        if not fitting:
            return None
        # Nodes that decide in the same millisecond see the same loads; where two
        # engines are alike, chance keeps them apart.
        return min(
            fitting, key=lambda load: (round(cost(load, demand), 2), rng.random())
        )


def choose_backup(
    loads: Sequence[EngineLoad],
    demand: Demand,
    placed: Registration,
    rng: random.Random,
    *,
    is_needed: bool,
) -> EngineLoad | None:
    """Return the engine with the most room for a copy, None where none has enough.

    Only engines of the same failure domain as ``placed``: a copy to another one keeps
    both links busy for twice as long, and the last step of a run that is moved, for
    which its caller sees it stand still, then waits behind it for up to a second.
    """
    best: EngineLoad | None = None
    best_share = NEEDED_COPY_SHARE if is_needed else COPY_SHARE
    for load in loads:
        if load.reg.endpoint == placed.endpoint:
            continue
        if load.reg.failure_domain != placed.failure_domain:
            continue
        share = expected_share(load, demand) + 0.001 * rng.random()
        if share < best_share:
            best, best_share = load, share
    return best
