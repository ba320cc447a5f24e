"""Choice of the engine that keeps a growing copy of a run.

The load pattern: engines leave at two seconds' notice, several at a time, and now and
then a whole failure domain is gone without notice. A run with a copy elsewhere goes on
there at once; without one it has to be moved, or is lost. Copies take as much memory as
their runs, and there isn't enough for all.
"""

from __future__ import annotations

import abc
import random
from collections.abc import Sequence

from ..model import Registration
from .engineloads import EngineLoad
from .placing import Demand, expected_memory_share

# Largest expected share of an engine's memory in use with a copy; the difference to the
# limit for new generations is reserved for these.
COPY_SHARE = 0.6
# The same limit for copies of runs on an engine that holds more than its link can
# move before the engine stops.
NEEDED_COPY_SHARE = 0.72


class BackupPolicy(abc.ABC):
    """Policy that chooses the engine that keeps a run's copy."""

    @abc.abstractmethod
    def choose(
        self,
        loads: Sequence[EngineLoad],
        demand: Demand,
        placed: Registration,
        rng: random.Random,
        *,
        is_needed: bool,
    ) -> EngineLoad | None:
        """Return the engine for a copy, None if none has enough memory.

        Parameters
        ----------
        loads : sequence of EngineLoad
            The engines.
        demand : Demand
            What the run needs.
        placed : Registration
            The engine that runs it.
        rng : random.Random
            Breaks ties.
        is_needed : bool
            Whether the engine's link can't move all of its runs in time.
        """


class SameDomainBackup(BackupPolicy):
    """Chooses the engine with the most free memory in the run's failure domain.

    A copy to another domain occupies both links for twice as long, and the final step
    of a run that is being moved may queue behind it.
    """

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
        same = [
            load for load in loads if load.reg.failure_domain == placed.failure_domain
        ]
        return most_free(same, demand, placed, rng, is_needed=is_needed)


def most_free(
    loads: Sequence[EngineLoad],
    demand: Demand,
    placed: Registration,
    rng: random.Random,
    *,
    is_needed: bool,
) -> EngineLoad | None:
    """Return the engine with the least expected memory in use, if below the limit."""
    best: EngineLoad | None = None
    best_share = NEEDED_COPY_SHARE if is_needed else COPY_SHARE
    for load in loads:
        if load.reg.endpoint == placed.endpoint:
            continue
        share = expected_memory_share(load, demand) + 0.001 * rng.random()
        if share < best_share:
            best, best_share = load, share
    return best
