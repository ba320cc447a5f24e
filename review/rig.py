"""What the scripts of the review share: node processes, callers and the record.

The nodes are separate processes, started with the command of the deploy file. The
platform's store and the workers are the project's stand-ins, in the script's process.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.rowstore import RowStore

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
KEY = "key-of-org"
# Exit codes of the Python programs. Python itself exits with 1 on an error, so that
# a broken rule has another code; the scripts turn it into 1.
HELD, BROKEN, NOT_RUN = 0, 10, 2
START_SECONDS = 20.0
# A script may run for 120 seconds.
MAX_SECONDS = 110.0
# The bounds of the small deployments (settings example of DEPLOY.md).
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 8,
    "loss-slack-ms": 200,
    "config-ms": 2000,
    "downgrade-slack-ms": 250,
    "skew-max-ms": 5000,
    "strict-revocation": True,
    "revoke-ms": 5000,
    "budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-slack": 113,
    "recovery-s": 12,
    "pass-ms": 120,
    "reuse-window-s": 4.8,
    "ttl_max_s": 5,
}
ENGINE = {
    "slots": 24,
    "kv-capacity-tokens": 34359,
    "kv-token-bytes": 18432,
    "link-mbps": 2700.0,
    "moves": True,
    "backups": True,
    "stride": 4,
    "handle-s": 5.0,
    "models": [{"name": "m"}],
}


class CaseError(Exception):
    """The case couldn't run, so it shows nothing."""


def has_trouble() -> bool:
    """Return whether the case brings about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclass(frozen=True, kw_only=True)
class Answer:
    """What a caller received: ``is_complete`` if the body ended by its framing."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    seconds: float


@dataclass(kw_only=True)
class Rig:
    """The store, the node processes and the record of one run of a case.

    Parameters
    ----------
    folder : Path
        The folder of the case, which gets the record.
    """

    folder: Path
    store: RowStore = field(default_factory=RowStore)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    callers: list[tuple[str, int]] = field(default_factory=list)
    _ready_port: int = 0
    _began_at: float = field(default_factory=time.monotonic)
    _lines: list[str] = field(default_factory=list)
    _temporary: tempfile.TemporaryDirectory[str] = field(
        default_factory=tempfile.TemporaryDirectory
    )

    def record(self, event: str, **fields: object) -> None:
        """Add a line to the record."""
        seconds = round(time.monotonic() - self._began_at, 3)
        self._lines.append(json.dumps({"s": seconds, "event": event, **fields}))

    async def start_nodes(self, n_nodes: int, **changes: object) -> None:
        """Start the store and nodes, and wait until all are ready.

        Each node has its own loopback address and all have the same ports.
        """
        store_address = await self.store.start()
        ports = free_ports(5)
        self._ready_port = ports[1]
        for number in range(1, n_nodes + 1):
            host = f"127.0.0.{40 + number}"
            listen = {
                name: f"{host}:{port}"
                for name, port in zip(
                    ("front", "ready", "control", "directory"), ports[:4], strict=True
                )
            }
            settings: dict[str, object] = {
                "node": f"edge-a-{number}",
                "role": "node",
                "machine-class": "edge",
                "serves": ["edge", "registry", "control_plane"],
                "ip": host,
                "zone": "a",
                "region": "r",
                "zones": {"a": "r"},
                "listen": listen,
                "port-range": [ports[4], ports[4]],
                "seeds": [f"127.0.0.41:{ports[2]}"],
                "bootstrap": True,
                "limits": {"memory-mb": 136, "link-mbps": 350.0, "max-fds": 1535},
                "data-dir": None,
                "discovery": "platform",
                "entry": "registry",
                "heartbeat-ms": 1200,
                "tolerate": {"machines": 1, "zones": 0, "regions": 0},
                "bounds": BOUNDS,
                "infrastructure": {"address": str(store_address), "form": "table"},
                **changes,
            }
            name = f"edge-a-{number}"
            path = Path(self._temporary.name) / f"{name}.json"
            path.write_text(json.dumps(settings))
            self.processes[name] = self._start_node(name, path)
            self.callers.append((host, ports[0]))
        await self._wait_all_ready()

    async def kill_and_restart_nodes(self, down_seconds: float) -> None:
        """Kill all nodes, start them again after a while, and wait for them."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.record("killed", nodes=list(self.processes))
        await asyncio.sleep(down_seconds)
        for name in self.processes:
            path = Path(self._temporary.name) / f"{name}.json"
            settings = json.loads(path.read_text())
            path.write_text(json.dumps({**settings, "bootstrap": False}))
            self.processes[name] = self._start_node(name, path)
        await self._wait_all_ready()
        self.record("back", nodes=list(self.processes))

    async def _wait_all_ready(self) -> None:
        for host, _ in self.callers:
            await self._wait_ready(host, self._ready_port)

    def _start_node(self, name: str, settings: Path) -> subprocess.Popen[bytes]:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        kept = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        with (Path(self._temporary.name) / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                deploy["roles"]["node"]["run"].split(),
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "CELERYTRAIL_SETTINGS": str(settings),
                },
                stdout=log,
                stderr=log,
            )

    async def _wait_ready(self, host: str, port: int) -> None:
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            try:
                answer = await call(host, port, "GET", "/api/readiness", {"host": host})
                if answer.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        self.save_logs(("",))
        raise CaseError(f"the node at {host} did not get ready")

    async def request(
        self,
        node: int,
        method: str,
        path: str,
        attempt_id: str,
        *,
        body: bytes = b"",
        **more: str,
    ) -> Answer:
        """Send one caller's request to a node, and record both ends of it."""
        host, port = self.callers[node]
        headers = {
            "host": HOST,
            "authorization": f"Bearer {KEY}",
            "x-attempt-id": attempt_id,
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        self.record("sent", attempt=attempt_id, path=path, node=f"edge-a-{node + 1}")
        answer = await call(host, port, method, path, headers, body)
        self.record(
            "answered",
            attempt=attempt_id,
            status=answer.status,
            n_bytes=len(answer.body),
            is_complete=answer.is_complete,
        )
        return answer

    def save_logs(self, words: tuple[str, ...]) -> None:
        """Add the lines of the nodes' logs that hold one of the words to the record."""
        for path in sorted(Path(self._temporary.name).glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if any(word in line for word in words):
                    self._lines.append(f"log of {path.stem}: {line[:400]}")

    async def close(self) -> None:
        """End all processes that were started, and write the record."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        await self.store.close()
        (self.folder / "record.txt").write_text("\n".join(self._lines) + "\n")
        self._temporary.cleanup()


def free_ports(n_ports: int) -> list[int]:
    """Return ports that are free on all loopback addresses now."""
    sockets = [socket.socket() for _ in range(n_ports)]
    try:
        for one in sockets:
            one.bind(("0.0.0.0", 0))
        return [int(one.getsockname()[1]) for one in sockets]
    finally:
        for one in sockets:
            one.close()


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> Answer:
    """Send a request on a new connection and read its answer to its end."""
    began_at = time.monotonic()
    reader, writer = await asyncio.open_connection(host, port)
    try:
        fields = {"content-length": str(len(body)), **headers}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        status, found = await _read_head(reader)
        received = bytearray()
        is_complete = False
        try:
            await _read_body(reader, found, received)
            is_complete = True
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
    except (asyncio.IncompleteReadError, ConnectionError):
        status, found, received, is_complete = 0, {}, bytearray(), False
    finally:
        writer.close()
    return Answer(
        status=status,
        headers=found,
        body=bytes(received),
        is_complete=is_complete,
        seconds=time.monotonic() - began_at,
    )


async def _read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    found = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            found[name.lower()] = value.strip()
    return int(lines[0].split()[1]), found


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], received: bytearray
) -> None:
    """Read a body to its end by the framing; raise if it ends before."""
    if "content-length" in headers:
        received += await reader.readexactly(int(headers["content-length"]))
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return
        received += chunk[:-2]


def run_case(case: Coroutine[Any, Any, int]) -> int:
    """Run a case within its time; return its exit code.

    A signal to stop cancels the case, which then ends its processes.
    """

    async def limited() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(MAX_SECONDS):
            return await case

    try:
        return asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as exc:
        print(f"the case couldn't run: {exc!r}")
        return NOT_RUN
