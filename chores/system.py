"""A whole system of separate processes on this machine.

The system's own programs start no processes. This module starts and stops them for
the demo, ``make run``, the capacity benchmark and scenarios with real processes.
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

START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.05

CANDIDATE_PORTS = range(15_000, 30_000)
_assigned_ports: set[int] = set()

FAILURE_DOMAINS = ("a", "b", "c")
MODEL = "contracts"
SERVICE = "bookings"


class ProcessError(CelerytrailError):
    """A process exited during its start, or does not listen in time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Child:
    """A started process, its addresses and its log file."""

    name: str
    process: subprocess.Popen[bytes]
    address: Address
    peer: Address | None = None
    log: Path | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)


@dataclass(frozen=True, kw_only=True, slots=True)
class Layout:
    """Number of processes of each kind, and the settings that they start with."""

    n_engines: int = 6
    n_endpoints: int = 3
    n_nodes: int = 3
    tokens_per_second: float = 40.0
    answer_seconds: float = 2.0


@dataclass(kw_only=True)
class System:
    """The processes of one small deployment.

    Parameters
    ----------
    folder : Path
        Directory for log files and captured output.
    layout : Layout
        Number of processes of each kind, and their settings.
    """

    folder: Path
    layout: Layout = field(default_factory=Layout)
    children: dict[str, Child] = field(default_factory=dict)
    organisation_keys: dict[str, str] = field(default_factory=dict)
    operator_password: str = field(default_factory=lambda: secrets.token_hex(8))
    _ticket_keys: str = field(default_factory=lambda: f"t1:{secrets.token_hex(32)}")
    _peer_keys: str = field(default_factory=lambda: f"p1:{secrets.token_hex(32)}")

    async def start(self, *, has_console: bool = True) -> None:
        """Start all processes, wait until they listen, and publish the VMs."""
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
        """Start a stand-in from its module, on a free port."""
        address = free_address()
        command = [sys.executable, "-m", module, "--listen", str(address), *flags]
        return self._spawn(name, command, address)

    def start_node(self, number: int) -> Child:
        """Start a node in the failure domain that its number selects, in rotation."""
        address, peer = free_address(), free_address()
        domain = FAILURE_DOMAINS[(number - 1) % len(FAILURE_DOMAINS)]
        name = f"node-{number}"
        command = self._celerytrail_command("node", name)
        command += ["--failure-domain", domain, "--caller-listen", str(address)]
        command += ["--peer-listen", str(peer), "--seeds", self._seeds()]
        command += ["--answer-seconds", str(self.layout.answer_seconds)]
        return self._spawn(name, command, address, peer)

    def start_console(self) -> Child:
        """Start the operators' console."""
        address = free_address()
        command = self._celerytrail_command("console", "console")
        command += ["--listen", str(address), "--nodes", self._seeds()]
        secrets_environment = {
            "CELERYTRAIL_ACCOUNTS": make_account("ana", self.operator_password),
            "CELERYTRAIL_SESSION_KEYS": f"s1:{secrets.token_hex(32)}",
        }
        return self._spawn(
            "console", command, address, extra_environment=secrets_environment
        )

    async def wait_listening(self, child: Child) -> None:
        """Wait until a process answers its health check.

        Raises
        ------
        ProcessError
            When the process exits, or does not answer within the timeout.
        """
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT_SECONDS
        client = HttpClient()
        while asyncio.get_running_loop().time() < deadline:
            if child.process.poll() is not None:
                output = (self.folder / f"{child.name}.out").read_text()
                raise ProcessError(
                    f"{child.name} exited during its start: {output[-2_000:]}"
                )
            health = await client.request(child.address, "GET", "/healthz")
            if not isinstance(health, Err):
                client.close()
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        raise ProcessError(f"{child.name} does not answer health checks")

    async def publish_vms(self, leaving: tuple[str, ...] = ()) -> None:
        """Write a registration row for each process to the platform's table.

        Parameters
        ----------
        leaving : tuple of str
            Names of processes to register as draining.
        """
        rows = {}
        for child in self.children.values():
            state = "draining" if child.name in leaving else "ready"
            rows[child.name] = worker_row(child.name, child.address, state)
        client = HttpClient()
        await write_rows(client, self.children["platform"].address, rows)
        client.close()

    def nodes(self) -> list[Child]:
        """Return the nodes whose processes are running."""
        return [
            child
            for name, child in self.children.items()
            if name.startswith("node-") and child.process.poll() is None
        ]

    def logs(self) -> list[Path]:
        """Return the existing log files of all processes."""
        logs = [child.log for child in self.children.values() if child.log is not None]
        return [log for log in logs if log.exists()]

    def stop(self) -> list[str]:
        """Stop all processes; return the names of those that had to be killed."""
        running = [c for c in self.children.values() if c.process.poll() is None]
        for child in running:
            # A suspended process handles SIGTERM only after it is continued.
            child.signal(signal.SIGCONT)
            child.signal(signal.SIGTERM)
        killed = []
        for child in running:
            try:
                child.process.wait(STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                child.process.kill()
                child.process.wait()
                killed.append(child.name)
        return killed

    def _seeds(self) -> str:
        peers = [c.peer for c in self.children.values() if c.peer is not None]
        return ",".join(str(peer) for peer in peers[:3])

    def _celerytrail_command(self, command: str, name: str) -> list[str]:
        platform = str(self.children["platform"].address)
        log = str(self.folder / f"{name}.log")
        prefix = [sys.executable, "-m", "celerytrail", command, "--vm", name]
        return [*prefix, "--platform", platform, "--log-file", log]

    def _spawn(
        self,
        name: str,
        command: list[str],
        address: Address,
        peer: Address | None = None,
        extra_environment: dict[str, str] | None = None,
    ) -> Child:
        environment = {
            **os.environ,
            "CELERYTRAIL_PEER_KEYS": self._peer_keys,
            "CELERYTRAIL_TICKET_KEYS": self._ticket_keys,
            **(extra_environment or {}),
        }
        output_path = self.folder / f"{name}.out"
        with output_path.open("ab") as output:
            process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
            )
        log = self.folder / f"{name}.log" if "log" in " ".join(command) else None
        child = Child(name=name, process=process, address=address, peer=peer, log=log)
        self.children[name] = child
        return child


def free_address() -> Address:
    """Return a loopback address whose port is free for TCP and UDP.

    ``CANDIDATE_PORTS`` lies below the kernel's range of ephemeral ports. An outgoing
    connection can take a port of that range before the started process binds it,
    which made nodes fail at their start now and then.
    """
    while True:
        port = random.SystemRandom().choice(CANDIDATE_PORTS)
        if port not in _assigned_ports and _is_free(port):
            _assigned_ports.add(port)
            return Address(host="127.0.0.1", port=port)


def _is_free(port: int) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=socket_type) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
