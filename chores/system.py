"""Starts and ends a whole system of separate processes on this machine.

The system's own programs start no process; this chore does, for the demo, for
``make run`` and for scenarios with real processes.
"""

from __future__ import annotations

import asyncio
import os
import random
import secrets
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from result import Err

from celerytrail.accounts import make_account
from celerytrail.exceptions import CelerytrailError
from celerytrail.http.client import HttpClient
from celerytrail.types import Address
from standins.worker import worker_row, write_rows

START_SECONDS = 20.0
STOP_SECONDS = 20.0
POLL_SECONDS = 0.05

PORTS = range(15_000, 30_000)
_given: set[int] = set()

FAILURE_DOMAINS = ("a", "b", "c")
MODEL = "contracts"
SERVICE = "bookings"


class ProcessError(CelerytrailError):
    """A process of the system did not do what it should."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Child:
    """One process that was started."""

    name: str
    process: subprocess.Popen[bytes]
    address: Address
    peer: Address | None = None
    log: Path | None = None

    @property
    def pid(self) -> int:
        """Return its process id."""
        return self.process.pid

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self.process.send_signal(number)


@dataclass(frozen=True, kw_only=True, slots=True)
class Layout:
    """How many of what are started."""

    n_engines: int = 6
    n_endpoints: int = 3
    n_nodes: int = 3
    tokens_per_second: float = 40.0
    answer_seconds: float = 2.0


@dataclass(kw_only=True)
class System:
    """All processes of one small deployment.

    Parameters
    ----------
    folder : Path
        Where their logs go.
    layout : Layout
        How many of what.
    """

    folder: Path
    layout: Layout = field(default_factory=Layout)
    children: dict[str, Child] = field(default_factory=dict)
    organisation_keys: dict[str, str] = field(default_factory=dict)
    operator_password: str = field(default_factory=lambda: secrets.token_hex(8))
    _ticket_keys: str = field(default_factory=lambda: f"t1:{secrets.token_hex(32)}")
    _peer_keys: str = field(default_factory=lambda: f"p1:{secrets.token_hex(32)}")

    async def start(self, *, has_console: bool = True) -> None:
        """Start stand-ins, nodes and console, and wait until all of them listen."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.start_standin("platform", "standins.platform")
        for number in range(1, self.layout.n_engines + 1):
            self.start_engine(f"engine-{number}")
        for number in range(1, self.layout.n_endpoints + 1):
            name = f"{SERVICE}-{number}"
            self.start_endpoint(name)
        for number in range(1, self.layout.n_nodes + 1):
            self.start_node(number)
        if has_console:
            self.start_console()
        for child in self.children.values():
            await self.wait_listening(child)
        await self.publish_vms()

    def start_engine(self, name: str) -> Child:
        """Start a stand-in model engine."""
        return self.start_standin(
            name,
            "standins.engine",
            "--name",
            name,
            "--model",
            MODEL,
            "--version",
            "1",
            "--tokens-per-second",
            str(self.layout.tokens_per_second),
            *self._log_flag(name),
        )

    def start_endpoint(self, name: str) -> Child:
        """Start a stand-in endpoint of the plain service."""
        flags = ["--name", name, *self._log_flag(name)]
        return self.start_standin(name, "standins.service", *flags)

    def _log_flag(self, name: str) -> list[str]:
        return ["--log", str(self.folder / f"{name}.log")]

    def start_standin(self, name: str, module: str, *flags: str) -> Child:
        """Start a stand-in."""
        address = free_address()
        command = [sys.executable, "-m", module, "--listen", str(address), *flags]
        return self._spawn(name, command, address)

    def start_node(self, number: int) -> Child:
        """Start a node; nodes are spread over the failure domains."""
        address, peer = free_address(), free_address()
        domain = FAILURE_DOMAINS[(number - 1) % len(FAILURE_DOMAINS)]
        name = f"node-{number}"
        command = self._celerytrail("node", name)
        command += ["--failure-domain", domain, "--caller-listen", str(address)]
        command += ["--peer-listen", str(peer), "--seeds", self._seeds()]
        command += ["--answer-seconds", str(self.layout.answer_seconds)]
        return self._spawn(name, command, address, peer)

    def start_console(self) -> Child:
        """Start the operators' console."""
        address = free_address()
        command = self._celerytrail("console", "console")
        command += ["--listen", str(address), "--nodes", self._seeds()]
        secret = {
            "CELERYTRAIL_ACCOUNTS": make_account("ana", self.operator_password),
            "CELERYTRAIL_SESSION_KEYS": f"s1:{secrets.token_hex(32)}",
        }
        return self._spawn("console", command, address, more=secret)

    async def wait_listening(self, child: Child) -> None:
        """Wait until a process accepts connections."""
        deadline = asyncio.get_running_loop().time() + START_SECONDS
        client = HttpClient()
        while asyncio.get_running_loop().time() < deadline:
            if child.process.poll() is not None:
                output = (self.folder / f"{child.name}.out").read_text()
                raise ProcessError(f"{child.name} ended: {output[-2_000:]}")
            asked = await client.request(child.address, "GET", "/healthz")
            if not isinstance(asked, Err):
                client.close()
                return
            await asyncio.sleep(POLL_SECONDS)
        raise ProcessError(f"{child.name} does not listen")

    async def publish_vms(self, leaving: tuple[str, ...] = ()) -> None:
        """Write the rows by which the platform tells which VMs there are."""
        rows = {}
        for child in self.children.values():
            state = "draining" if child.name in leaving else "ready"
            rows[child.name] = worker_row(child.name, child.address, state)
        client = HttpClient()
        await write_rows(client, self.children["platform"].address, rows)
        client.close()

    def nodes(self) -> list[Child]:
        """Return the nodes that still run."""
        return [
            child
            for name, child in self.children.items()
            if name.startswith("node-") and child.process.poll() is None
        ]

    def logs(self) -> list[Path]:
        """Return the logs of all processes."""
        logs = [child.log for child in self.children.values() if child.log is not None]
        return [log for log in logs if log.exists()]

    def stop(self) -> list[str]:
        """End every process that was started; returns those that had to be killed."""
        running = [c for c in self.children.values() if c.process.poll() is None]
        for child in running:
            # A frozen process takes no signal but this one.
            child.signal(signal.SIGCONT)
            child.signal(signal.SIGTERM)
        killed = []
        for child in running:
            try:
                child.process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                child.process.kill()
                child.process.wait()
                killed.append(child.name)
        return killed

    def _seeds(self) -> str:
        peers = [c.peer for c in self.children.values() if c.peer is not None]
        return ",".join(str(peer) for peer in peers[:3])

    def _celerytrail(self, command: str, name: str) -> list[str]:
        platform = str(self.children["platform"].address)
        log = str(self.folder / f"{name}.log")
        start = [sys.executable, "-m", "celerytrail", command, "--vm", name]
        return [*start, "--platform", platform, "--log-file", log]

    def _spawn(
        self,
        name: str,
        command: list[str],
        address: Address,
        peer: Address | None = None,
        more: dict[str, str] | None = None,
    ) -> Child:
        environment = {
            **os.environ,
            "CELERYTRAIL_PEER_KEYS": self._peer_keys,
            "CELERYTRAIL_TICKET_KEYS": self._ticket_keys,
            **(more or {}),
        }
        output = self.folder / f"{name}.out"
        with output.open("ab") as out:
            process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                env=environment,
            )
        log = self.folder / f"{name}.log" if "log" in " ".join(command) else None
        child = Child(name=name, process=process, address=address, peer=peer, log=log)
        self.children[name] = child
        return child


def free_address() -> Address:
    """Return a loopback address whose port is free for TCP and UDP.

    The kernel gives connections their ports from a range above these. Were a port of
    that range chosen, somebody's connection could take it before the process that it
    was chosen for binds it; that ended a node at its start now and then.
    """
    while True:
        port = random.SystemRandom().choice(PORTS)
        if port not in _given and _is_free(port):
            _given.add(port)
            return Address(host="127.0.0.1", port=port)


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
