"""Runs a scenario with real processes and signals on this machine."""

from __future__ import annotations

import signal
from collections.abc import Mapping
from pathlib import Path

from celerytrail.clock import SystemClock
from celerytrail.http.network import SystemNetwork
from celerytrail.types import Address
from chores.system import SERVICE, Child, Layout, System

from .httpdriver import HttpDriver

SIGNALS = {
    "kill": signal.SIGKILL,
    "freeze": signal.SIGSTOP,
    "thaw": signal.SIGCONT,
    "stop": signal.SIGTERM,
}


class UnsupportedStepError(Exception):
    """The step disturbs links or clocks, which real processes do not allow."""


class RealDriver(HttpDriver):
    """A driver that starts real processes and sends them real signals.

    Parameters
    ----------
    folder : Path
        Folder of the processes' logs.
    """

    def __init__(self, *, folder: Path) -> None:
        super().__init__(network=SystemNetwork(), clock=SystemClock())
        self._system = System(folder=folder, layout=Layout(answer_seconds=3.0))

    async def start_all(self, n_nodes: int, n_engines: int, n_endpoints: int) -> None:
        """Start all processes and bring an initial document into force."""
        self._system.layout = Layout(
            n_nodes=n_nodes,
            n_engines=n_engines,
            n_endpoints=n_endpoints,
            answer_seconds=3.0,
        )
        await self._system.start(has_console=False)
        await self.publish_initial_document()

    async def start_one(self, name: str) -> None:
        """Start one more process, or restart a dead one."""
        kind, _, number = name.partition("-")
        if kind == "node":
            child = self._system.start_node(int(number))
        elif kind == "engine":
            child = self._system.start_engine(name)
        elif kind == SERVICE:
            child = self._system.start_endpoint(name)
        else:
            child = self._system.start_standin(name, f"standins.{kind}")
        await self._system.wait_listening(child)

    async def signal(self, name: str, action: str) -> None:
        """Kill, freeze, thaw or stop a process."""
        self._child(name).signal(SIGNALS[action])

    async def cut(self, sender: str, receiver: str, *, is_both_ways: bool) -> None:
        """Refuse the step: this driver does not disturb real links."""
        raise UnsupportedStepError(f"cut {sender} {receiver}")

    async def heal(self) -> None:
        """Refuse the step: this driver does not disturb real links."""
        raise UnsupportedStepError("heal")

    async def drop_datagrams(self, share: float) -> None:
        """Refuse the step: this driver does not disturb real links."""
        raise UnsupportedStepError("drop")

    async def shift_clock(self, name: str, seconds: float) -> None:
        """Refuse the step: this driver does not change the machine's clock."""
        raise UnsupportedStepError("jump")

    def addresses(self, prefix: str) -> Mapping[str, Address]:
        """Return the listen addresses of the processes whose names have a prefix."""
        return {
            name: child.address
            for name, child in self._system.children.items()
            if name.startswith(prefix)
        }

    def peer_addresses(self) -> Mapping[str, Address]:
        """Return the addresses at which nodes listen for their peers."""
        return {
            name: child.peer
            for name, child in self._system.children.items()
            if child.peer is not None
        }

    def has_ended(self, name: str) -> bool:
        """Return whether a process has exited."""
        return self._child(name).process.poll() is not None

    async def close(self) -> None:
        """Stop all processes and close all connections."""
        await self.close_clients()
        self._system.stop()

    def _child(self, name: str) -> Child:
        return self._system.children[name]
