"""Asks engines how they are, each by the one node that is its home for now."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from eliot import log_message
from result import Err

from ..model import Registration
from ..nodes.nodes import Nodes
from ..nodes.rendezvous import Homes
from .engineapi import EngineApi
from .registry import Registry
from .sharing import Sharing

# Between two reports of one engine, in seconds, and while the store doesn't tell who
# leaves.
REPORT_SECONDS = 1.0
UNSURE_REPORT_SECONDS = 0.25
REPORT_DEADLINE_SECONDS = 0.5


class EngineWatch:
    """Reads the reports of the engines whose home this node is.

    They show memory and queues that no node's own list of runs explains. An engine that
    is taken away within two seconds says so in the store and in its report; while the
    store is away only the report is left, and it is read more often. One node asks each
    engine and tells the others, so that the questions don't grow with the nodes.

    Nodes that are out of service ask as well: in a long outage of the store all of them
    are, and an engine that nobody asks takes its drafts with it when it goes.

    Parameters
    ----------
    api : EngineApi
        Asks engines.
    registry : Registry
        Knows them.
    sharing : Sharing
        Tells the others what engines say.
    nodes : Nodes
        Ranks the homes.
    is_unsure : callable
        Whether the store doesn't tell at this time who leaves.
    is_engine_service : callable
        Whether a service's endpoints are engines.
    on_leaving : callable
        Called with an engine that says that it leaves.
    """

    def __init__(
        self,
        *,
        api: EngineApi,
        registry: Registry,
        sharing: Sharing,
        nodes: Nodes,
        is_unsure: Callable[[], bool],
        is_engine_service: Callable[[str], bool],
        on_leaving: Callable[[Registration], None],
    ) -> None:
        self._api = api
        self._registry = registry
        self._sharing = sharing
        self._nodes = nodes
        self._is_unsure = is_unsure
        self._is_engine_service = is_engine_service
        self._on_leaving = on_leaving
        self._asking: set[str] = set()
        self._homes = Homes()

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            for reg in self._own():
                if reg.endpoint not in self._asking:
                    self._asking.add(reg.endpoint)
                    asyncio.ensure_future(self._ask(reg))
            is_unsure = self._is_unsure()
            await asyncio.sleep(UNSURE_REPORT_SECONDS if is_unsure else REPORT_SECONDS)

    def _own(self) -> list[Registration]:
        me = self._nodes.me.node
        regs = [
            reg
            for reg in self._registry.all()
            if self._is_engine_service(reg.service) and self._registry.is_usable(reg)
        ]
        self._homes.keep(reg.endpoint for reg in regs)
        self._homes.set_nodes(member.node for member in self._nodes.running())
        return [reg for reg in regs if self._homes.home(reg.endpoint) == me]

    async def _ask(self, reg: Registration) -> None:
        deadline = asyncio.get_running_loop().time() + REPORT_DEADLINE_SECONDS
        try:
            answered = await self._api.report(reg, deadline)
        finally:
            self._asking.discard(reg.endpoint)
        if isinstance(answered, Err):
            log_message(
                "relay:report:failed", endpoint=reg.endpoint, reason=answered.err_value
            )
            return
        report = answered.ok_value
        self._sharing.reported(reg.endpoint, report)
        if report.is_leaving:
            log_message(
                "relay:engine:leaving",
                endpoint=reg.endpoint,
                seconds=report.leaves_in_seconds,
            )
            self._on_leaving(reg)
