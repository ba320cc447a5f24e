"""Choice of the engines to which the runs of a leaving engine are moved.

The load pattern: several engines leave at the same moment, and the nodes that relay
their runs choose targets within a few milliseconds, before any of them hears of the
others' choices. If all choose the best target, its link carries the copies one after
another while the callers wait for their next events, and its memory overflows.

A copy to another failure domain takes twice as long. In the workload `rendering`, where
five of 30 engines in four domains leave, half of all copies went there, because a
leaving engine's share of all targets held one or two of its own domain; the last runs
of an engine were lost in the queue for its link.
"""

from __future__ import annotations

import abc
from collections.abc import Collection, Sequence

from ..model import Registration
from .engineloads import EngineLoad
from .rendezvous import rank


class MoveTargets(abc.ABC):
    """Selects the engines that a leaving engine's runs should be moved to."""

    @abc.abstractmethod
    def select(
        self,
        loads: Sequence[EngineLoad],
        source: Registration,
        leaving: Collection[Registration],
    ) -> list[EngineLoad]:
        """Return the preferred targets; another engine is used if none has room.

        Parameters
        ----------
        loads : sequence of EngineLoad
            The engines that accept work.
        source : Registration
            The engine that the run leaves.
        leaving : collection of Registration
            All engines that leave now, the source included.
        """


class OwnTargets(MoveTargets):
    """Divides the engines among those that leave, by a hash that all nodes share.

    The moves off one engine follow one another, so a target's link then carries one
    copy at a time. The engines of a failure domain are divided among those that leave
    it, and among all that leave if none of them is in that domain.
    """

    def select(
        self,
        loads: Sequence[EngineLoad],
        source: Registration,
        leaving: Collection[Registration],
    ) -> list[EngineLoad]:
        """Return the preferred targets; another engine is used if none has room."""
        sources = {source.endpoint}
        sources_by_domain = {source.failure_domain: {source.endpoint}}
        for reg in leaving:
            sources.add(reg.endpoint)
            sources_by_domain.setdefault(reg.failure_domain, set()).add(reg.endpoint)
        return [
            load
            for load in loads
            if rank(
                load.reg.endpoint,
                sources_by_domain.get(load.reg.failure_domain, sources),
            )[0]
            == source.endpoint
        ]
