"""Polls the platform's VM list, which lags, for node addresses and leaving VMs."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator

from eliot import log_message
from result import Err

from .clock import Clock
from .configuration.current import Configuration
from .leaving import LeavingTracker
from .nodes.nodes import Nodes
from .platform.vms import Vm, VmList, node_addresses

# Minimum interval between two reads by one node, and the interval for each live
# node, in seconds. What one node reads is announced to all, so all nodes together read
# at most twice a second: with 2,000 endpoints of 300 bytes, 3.6 KB/s for each of 330
# nodes.
MIN_POLL_SECONDS = 10.0
POLL_SECONDS_PER_NODE = 0.5
FIRST_POLL_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 3.0


class VmWatch:
    """Polls the VM list and passes on addresses and leaving endpoints.

    Parameters
    ----------
    vms : VmList
        Reads the platform's rows.
    nodes : Nodes
        Receives the addresses at which other nodes may listen.
    leaving : LeavingTracker
        Receives the engines and endpoints on VMs that leave.
    configuration : Configuration
        Holds which engine or endpoint runs on which VM.
    clock : Clock
        Its wall time dates the notices.
    rng : random.Random
        Adds jitter to the poll interval.
    """

    def __init__(
        self,
        *,
        vms: VmList,
        nodes: Nodes,
        leaving: LeavingTracker,
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
        """Poll forever; while the list can't be read, the last state stays in force."""
        interval_seconds = FIRST_POLL_SECONDS
        while True:
            fetched = await self._vms.fetch(
                self._clock.monotonic() + READ_TIMEOUT_SECONDS
            )
            if isinstance(fetched, Err):
                log_message("vms:unavailable", reason=fetched.err_value.reason)
            else:
                self.on_list(fetched.ok_value)
                interval_seconds = max(
                    MIN_POLL_SECONDS, POLL_SECONDS_PER_NODE * len(self._nodes.live())
                )
            await asyncio.sleep(interval_seconds * self._rng.uniform(0.5, 1.5))

    def on_list(self, vms: tuple[Vm, ...]) -> None:
        """Apply one reading of the list."""
        self._nodes.set_vm_addresses(node_addresses(vms))
        leaving_vms = {vm.vm for vm in vms if vm.state == "leaving"}
        now = self._clock.wall()
        listed = {name for name, vm in self._names_with_vms() if vm in leaving_vms}
        for name in listed - self._listed_leaving:
            self._leaving.record(name, "vm_list", now)
        for name in self._listed_leaving - listed:
            self._leaving.withdraw(name, "vm_list")
        self._listed_leaving = listed

    def _names_with_vms(self) -> Iterator[tuple[str, str]]:
        """Yield the name of each engine and endpoint with its VM."""
        document = self._configuration.current.document
        for engine in document.engines:
            yield engine.name, engine.vm
        for service in document.services:
            for endpoint in service.endpoints:
                yield endpoint.name, endpoint.vm
