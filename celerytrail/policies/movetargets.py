"""Choice of the engines to which the runs of a leaving engine are moved.

The load pattern: several engines leave at the same moment, and the nodes that relay
their runs choose targets within a few milliseconds, before any of them hears of the
others' choices. If all choose the best target, its link carries the copies one after
another while the callers wait for their next events, and its memory overflows.
"""

from __future__ import annotations

import abc
from collections.abc import Collection, Sequence

from .engineloads import EngineLoad
from .rendezvous import rank


class MoveTargets(abc.ABC):
    """Selects the engines that a leaving engine's runs should be moved to."""

    @abc.abstractmethod
    def select(
        self, loads: Sequence[EngineLoad], source: str, leaving: Collection[str]
    ) -> list[EngineLoad]:
        """Return the preferred targets; another engine is used if none has room.

        Parameters
        ----------
        loads : sequence of EngineLoad
            The engines that accept work.
        source : str
            The engine that the run leaves.
        leaving : collection of str
            All engines that leave now, the source included.
        """


class OwnTargets(MoveTargets):
    """Divides the engines among those that leave, by a hash that all nodes share.

    The moves off one engine follow one another, so a target's link then carries one
    copy at a time.
    """

    def select(
        self, loads: Sequence[EngineLoad], source: str, leaving: Collection[str]
    ) -> list[EngineLoad]:
        """Return the preferred targets; another engine is used if none has room."""
        sources = {*leaving, source}
        return [load for load in loads if rank(load.reg.endpoint, sources)[0] == source]
