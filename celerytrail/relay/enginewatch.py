"""Polls the load reports of engines, each from the one node that is its home."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from eliot import log_message
from result import Err

from ..model import Registration
from ..nodes.nodes import Nodes
from ..policies.rendezvous import RendezvousHomes
from ..supervision import BackgroundTasks
from .endpointgate import EndpointGate
from .engineapi import EngineApi
from .peerupdates import PeerUpdates
from .registry import Registry

# Interval between two reports of one engine, in seconds, and the interval while the
# store's data on leaving engines is stale.
REPORT_SECONDS = 1.0
STALE_REPORT_SECONDS = 0.25
REPORT_TIMEOUT_SECONDS = 0.5


class EngineWatch:
    """Polls the reports of the engines whose home this node is.

    Reports show memory use and queues that the nodes' lists of runs don't explain. An
    engine that shuts down within two seconds states so in the store and in its report;
    while the store is unavailable only the report is left, and it is polled more often.
    One node polls each engine and announces the report to the others, so that the
    number of requests doesn't grow with the number of nodes.

    An engine that asked for a pause is not polled in it, except once while the store is
    unavailable.

    Nodes that are out of service poll as well: in a long outage of the store all of
    them are, and the runs of an engine that no node polls are lost when it shuts down.

    Parameters
    ----------
    api : EngineApi
        Reads the reports.
    registry : Registry
        Lists the engines.
    peer_updates : PeerUpdates
        Announces the reports to the other nodes.
    nodes : Nodes
        The nodes among which homes are chosen.
    is_store_stale : callable
        Returns whether the store's data on leaving engines is stale.
    is_engine_service : callable
        Returns whether a service's endpoints are engines.
    gate : EndpointGate
        Which engines want no requests from this node now.
    on_leaving : callable
        Called with an engine whose report states that it leaves.
    on_started : callable
        Called with an engine and the start that its report names, or None.
    """

    def __init__(
        self,
        *,
        api: EngineApi,
        registry: Registry,
        peer_updates: PeerUpdates,
        nodes: Nodes,
        is_store_stale: Callable[[], bool],
        is_engine_service: Callable[[str], bool],
        gate: EndpointGate,
        on_leaving: Callable[[Registration], None],
        on_started: Callable[[Registration, int | None], None],
    ) -> None:
        self._api = api
        self._registry = registry
        self._sharing = peer_updates
        self._nodes = nodes
        self._is_store_stale = is_store_stale
        self._is_engine_service = is_engine_service
        self._gate = gate
        self._on_leaving = on_leaving
        self._on_started = on_started
        self._pending: set[str] = set()
        self._tasks = BackgroundTasks()
        self._homes = RendezvousHomes()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            is_stale = self._is_store_stale()
            for reg in self._homed_engines():
                if reg.endpoint in self._pending:
                    continue
                if self._gate.is_paused(reg) and not (
                    is_stale and self._gate.take_continuation(reg)
                ):
                    continue
                self._pending.add(reg.endpoint)
                self._tasks.spawn(self._read_report(reg))
            await asyncio.sleep(STALE_REPORT_SECONDS if is_stale else REPORT_SECONDS)

    def _homed_engines(self) -> list[Registration]:
        own_node = self._nodes.me.node
        regs = [
            reg
            for reg in self._registry.all()
            if self._is_engine_service(reg.service) and self._registry.is_accepting(reg)
        ]
        self._homes.keep(reg.endpoint for reg in regs)
        self._homes.set_nodes(member.node for member in self._nodes.running_members())
        return [reg for reg in regs if self._homes.home(reg.endpoint) == own_node]

    async def _read_report(self, reg: Registration) -> None:
        deadline = asyncio.get_running_loop().time() + REPORT_TIMEOUT_SECONDS
        try:
            answered = await self._api.report(reg, deadline)
        finally:
            self._pending.discard(reg.endpoint)
        if isinstance(answered, Err):
            log_message(
                "relay:report:failed", endpoint=reg.endpoint, reason=answered.err_value
            )
            return
        report = answered.ok_value
        self._on_started(reg, report.started_at)
        self._sharing.announce_report(reg.endpoint, report)
        if report.is_leaving:
            log_message(
                "relay:engine:leaving",
                endpoint=reg.endpoint,
                seconds=report.leaves_in_seconds,
            )
            self._on_leaving(reg)
