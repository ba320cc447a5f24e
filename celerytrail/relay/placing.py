"""Which engine a generation goes to, and which one keeps a copy of it.

The load that this answers: drafts of some thousand prompt tokens arrive in bursts at
many nodes at once, each takes memory until its end, and prompts that are read side by
side on one engine slow down every token there.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from .engineloads import EngineLoad

# Share of an engine's memory that runs may be expected to take at their ends. Ends
# don't fall together, so the rest is only for lengths that were hinted too short.
MEMORY_SHARE = 0.92
# Share of the memory that runs at their ends and copies together may be expected to
# take before no more copies are made there: what is left is for new generations.
COPY_SHARE = 0.75
# Prompt tokens read ahead of a new one that cost as much as a full memory: about a
# quarter of a second of reading beside the tokens of others.
READING_TOKENS = 3_000.0
# What an engine that is still slow after its start costs, in the same unit, for each
# second that is left of it.
COLD_COST = 0.5
# What another failure domain costs a new generation, in the same unit; breaks ties.
FAR_COST = 0.02
# What it costs one that is moved: the copy takes twice as long, and the engine that it
# leaves is gone within two seconds.
FAR_MOVE_COST = 0.35


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """What a generation needs.

    Parameters
    ----------
    n_prompt_tokens, n_expected_tokens : int
        Size of its prompt, and of the output to reckon with.
    failure_domain : str
        Where its caller's node runs, or the engine that it leaves.
    far_cost : float
        What another failure domain costs.
    """

    n_prompt_tokens: int
    n_expected_tokens: int
    failure_domain: str = ""
    far_cost: float = FAR_COST

    @property
    def n_peak_tokens(self) -> int:
        """Return the memory that it is expected to take at its end, in tokens."""
        return self.n_prompt_tokens + self.n_expected_tokens


def fits(load: EngineLoad, demand: Demand) -> bool:
    """Return whether an engine is expected to hold a generation to its end."""
    if load.n_running >= load.n_slots:
        return False
    n_tokens = load.n_peak_tokens + load.n_backup_tokens + demand.n_peak_tokens
    return n_tokens <= MEMORY_SHARE * load.n_memory_tokens


def cost(load: EngineLoad, demand: Demand) -> float:
    """Return how bad an engine is for a generation; 1 is about a full memory."""
    n_tokens = load.n_peak_tokens + load.n_backup_tokens
    is_far = load.reg.failure_domain != demand.failure_domain
    return (
        n_tokens / load.n_memory_tokens
        + load.n_reading_tokens / READING_TOKENS
        + COLD_COST * load.reg.cold_seconds
        + (demand.far_cost if is_far else 0.0)
    )


def choose_engine(
    loads: Sequence[EngineLoad], demand: Demand, rng: random.Random
) -> EngineLoad | None:
    """Return the best engine that is expected to hold a generation to its end."""
    fitting = [load for load in loads if fits(load, demand)]
    if not fitting:
        return None
    # Nodes that decide in the same millisecond see the same loads; where two engines
    # are alike, chance keeps them apart.
    return min(fitting, key=lambda load: (round(cost(load, demand), 2), rng.random()))


def choose_backup(
    loads: Sequence[EngineLoad], demand: Demand, placed: str, rng: random.Random
) -> EngineLoad | None:
    """Return the engine with the most room for a copy, None where none has enough."""
    best: EngineLoad | None = None
    best_share = COPY_SHARE
    for load in loads:
        if load.reg.endpoint == placed:
            continue
        n_tokens = load.n_peak_tokens + load.n_backup_tokens + demand.n_peak_tokens
        share = n_tokens / load.n_memory_tokens + 0.001 * rng.random()
        if share < best_share:
            best, best_share = load, share
    return best
