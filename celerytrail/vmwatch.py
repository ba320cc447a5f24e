"""Watches the platform's lagging rows of VMs: who may be joined, and who leaves."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator

from eliot import log_message
from result import Err

from .clock import Clock
from .configuration.current import Configuration
from .leaving import LeavingBoard
from .nodes.nodes import Nodes
from .platform.vms import Vm, VmList, node_addresses

# Between two readings by one node, in seconds, and what each live node adds to it. One
# node's reading is told to all, so that all together read at most twice a second: at
# 2,000 endpoints of 300 bytes that is 3.6 KB/s for each of 330 nodes.
POLL_SECONDS = 10.0
NODE_SECONDS = 0.5
FIRST_POLL_SECONDS = 1.0
READ_SECONDS = 3.0


class VmWatch:
    """Reads the VM list now and then.

    Parameters
    ----------
    vms : VmList
        The platform's rows.
    nodes : Nodes
        Told which addresses other nodes may be at.
    leaving : LeavingBoard
        Told which engines and endpoints are on VMs that leave.
    configuration : Configuration
        Says what runs on which VM.
    clock : Clock
        Dates the news.
    rng : random.Random
        Spreads the nodes' reads.
    """

    def __init__(
        self,
        *,
        vms: VmList,
        nodes: Nodes,
        leaving: LeavingBoard,
        configuration: Configuration,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._vms = vms
        self._nodes = nodes
        self._leaving = leaving
        self._configuration = configuration
        self._clock = clock
        self._rng = rng
        self._listed_leaving: set[str] = set()

    async def run(self) -> None:
        """Read for ever; while the list can't be read, what is known stays."""
        wait = FIRST_POLL_SECONDS
        while True:
            fetched = await self._vms.fetch(self._clock.monotonic() + READ_SECONDS)
            if isinstance(fetched, Err):
                log_message("vms:unavailable", reason=fetched.err_value.reason)
            else:
                self.take(fetched.ok_value)
                wait = max(POLL_SECONDS, NODE_SECONDS * len(self._nodes.live()))
            await asyncio.sleep(wait * self._rng.uniform(0.5, 1.5))

    def take(self, vms: tuple[Vm, ...]) -> None:
        """Take one reading of the list."""
        self._nodes.set_listed(node_addresses(vms))
        leaving_vms = {vm.vm for vm in vms if vm.state == "leaving"}
        now = self._clock.wall()
        listed = {name for name, vm in self._placed() if vm in leaving_vms}
        for name in listed - self._listed_leaving:
            self._leaving.note(name, "vm_list", now)
        for name in self._listed_leaving - listed:
            self._leaving.withdraw(name, "vm_list")
        self._listed_leaving = listed

    def _placed(self) -> Iterator[tuple[str, str]]:
        """Yield each engine and endpoint with its VM."""
        document = self._configuration.current.document
        for engine in document.engines:
            yield engine.name, engine.vm
        for service in document.services:
            for endpoint in service.endpoints:
                yield endpoint.name, endpoint.vm
