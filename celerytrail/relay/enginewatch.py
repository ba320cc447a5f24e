"""Asks engines how they are, each by the one node that is its home for now."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from eliot import log_message
from result import Err

from ..nodes.nodes import Nodes
from ..nodes.rendezvous import rank
from .engineapi import EngineApi
from .engineloads import EngineLoads
from .model import Registration
from .registry import Registry

# Between two reports of one engine, in seconds.
REPORT_SECONDS = 0.25
REPORT_DEADLINE_SECONDS = 0.5


class EngineWatch:
    """Reads the reports of the engines whose home this node is, while it is needed.

    An engine that is taken away within two seconds says so in the store and in its
    report. While the store is away only the report is left. One node asks each engine,
    so that the questions don't grow with the nodes.

    Parameters
    ----------
    api : EngineApi
        Asks engines.
    registry : Registry
        Knows them.
    loads : EngineLoads
        Keeps their reports.
    nodes : Nodes
        Ranks the homes.
    is_needed : callable
        Whether engines should be asked at this time.
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
        loads: EngineLoads,
        nodes: Nodes,
        is_needed: Callable[[], bool],
        is_engine_service: Callable[[str], bool],
        on_leaving: Callable[[Registration], None],
    ) -> None:
        self._api = api
        self._registry = registry
        self._loads = loads
        self._nodes = nodes
        self._is_needed = is_needed
        self._is_engine_service = is_engine_service
        self._on_leaving = on_leaving
        self._asking: set[str] = set()

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            for reg in self._own() if self._is_needed() else ():
                if reg.endpoint not in self._asking:
                    self._asking.add(reg.endpoint)
                    asyncio.ensure_future(self._ask(reg))
            await asyncio.sleep(REPORT_SECONDS)

    def _own(self) -> list[Registration]:
        names = [member.node for member in self._nodes.live()]
        me = self._nodes.me.node
        return [
            reg
            for reg in self._registry.all()
            if self._is_engine_service(reg.service)
            and self._registry.is_usable(reg)
            and rank(reg.endpoint, names)[:1] == [me]
        ]

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
        self._loads.note_report(reg.endpoint, report)
        if report.is_leaving:
            log_message(
                "relay:engine:leaving",
                endpoint=reg.endpoint,
                seconds=report.leaves_in_seconds,
            )
            self._on_leaving(reg)
