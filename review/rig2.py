"""Starts nodes of the deploy file beside stand-ins of the store, workers and callers.

The stand-ins use the standard library only and run in the process of the script. Each
speaks what the platform's pages publish, on loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_SECONDS = 40.0
HEARTBEAT_SECONDS = 1.2

_REASONS = {200: "OK", 101: "Switching Protocols"}


class CannotRunError(Exception):
    """Raised when a case can't run, so that it shows nothing."""


@dataclass(kw_only=True)
class Message:
    """A request or an answer: its start line, headers in lower case, and body."""

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length or in chunks; None at the end of the connection.

    An answer without either lasts to the end of the connection.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    message = Message(start=first.split(" ", 2), headers=headers)
    is_answer = message.start[0].startswith("HTTP/")
    if "content-length" in headers:
        message.body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            message.body += chunk[:-2]
    elif is_answer:
        message.body = await reader.read()
    return message


def answer(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Encode an answer with its length."""
    fields = {**(headers or {}), "content-length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    head = f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}\r\n{lines}\r\n"
    return head.encode("latin-1") + body


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with its time, and print it."""
        line = f"{time.monotonic() - self._began_at:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass(frozen=True, kw_only=True)
class StoredRow:
    """A row of the store; ``value`` is None once it is removed."""

    table: str
    part: str
    key: str
    value: str | None
    ver: int


class Server:
    """Accepts connections on a loopback address and answers their requests in turn."""

    def __init__(self) -> None:
        self.host = "127.0.0.1"
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (req := await read_message(reader)) is not None:
                await self.handle(req, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, req: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows by table, part and key, with one version counter."""

    def __init__(self) -> None:
        super().__init__()
        self._rows: dict[tuple[str, str, str], StoredRow] = {}
        self._ver = 0
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object, *, part: str = "") -> None:
        """Write a row; the return is the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._set(table, part, key, base64.b64encode(data).decode())

    def drop(self, table: str, key: str, *, part: str = "") -> None:
        """Remove a row."""
        self._set(table, part, key, None)

    def _set(self, table: str, part: str, key: str, value: str | None) -> None:
        self._ver += 1
        self._rows[table, part, key] = StoredRow(
            table=table, part=part, key=key, value=value, ver=self._ver
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, req: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        url = urlsplit(req.start[1])
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        if url.path == "/api/rows-get":
            writer.write(self._range(query))
        elif url.path == "/api/rows-feed":
            writer.write(await self._feed(query))
        elif url.path == "/api/rows-tx":
            writer.write(self._transact(json.loads(req.body)))
        else:
            writer.write(answer(404))
        await writer.drain()

    def _page(self, rows: list[StoredRow], **more: object) -> bytes:
        found = []
        for row in rows:
            raw: dict[str, object] = {
                "table": row.table,
                "part": row.part,
                "key": row.key,
                "ver": row.ver,
            }
            raw |= {"tombstone": True} if row.value is None else {"value": row.value}
            found.append(raw)
        now = int(time.monotonic() * 1000)
        body = {"rows": found, "ver": self._ver, "now-ms": now, **more}
        headers = {"content-type": "application/json"}
        return answer(200, headers, json.dumps(body).encode())

    def _range(self, query: dict[str, str]) -> bytes:
        rows = [
            row
            for _, row in sorted(self._rows.items())
            if row.table == query.get("table")
            and row.part == query.get("part", "")
            and row.value is not None
            and row.key >= query.get("from", "")
            and ("to" not in query or row.key < query["to"])
        ]
        return self._page(rows, **{"has-more": False})

    async def _feed(self, query: dict[str, str]) -> bytes:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + min(30_000, int(query.get("wait-ms", "0"))) / 1_000
        while True:
            after, table = int(query["after"]), query["table"]
            rows = [
                row
                for row in self._rows.values()
                if row.table == table and row.ver > after
            ]
            left = ends_at - loop.time()
            if rows or left <= 0:
                return self._page(sorted(rows, key=lambda row: row.ver))
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    def _transact(self, entries: dict[str, Any]) -> bytes:
        for row in entries.get("expected-revision", []):
            found = self._rows.get((row["table"], row["part"], row["key"]))
            ver = found.ver if found is not None and found.value is not None else 0
            if ver != row["ver"]:
                return answer(412, body=b'{"rows":[],"ver":0}')
        for row in entries.get("writes", []):
            if row["table"] in ("op", "servers"):
                return answer(403)
            self._set(row["table"], row["part"], row["key"], row["value"])
        for row in entries.get("remove", []):
            self._set(row["table"], row["part"], row["key"], None)
        return answer(200, body=json.dumps({"ver": self._ver, "now-ms": 0}).encode())


@dataclass(frozen=True, kw_only=True)
class Run:
    """A request that a worker began to work on."""

    worker: str
    attempt_id: str
    method: str
    path: str
    tenant: str
    at: float


class Worker(Server):
    """A plain worker, which registers in the store and answers with its own id."""

    def __init__(self, worker_id: str, service: str, record: Record) -> None:
        super().__init__()
        self.worker_id = worker_id
        self.service = service
        self.record = record
        self.work_seconds = 0.02
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.n_arrivals = 0

    def row(self, state: str = "ready") -> dict[str, object]:
        """Return its next status report."""
        self.sequence += 1
        return self.row_at(self.sequence, state)

    def row_at(self, sequence: int, state: str = "ready") -> dict[str, object]:
        """Return its status report with a number."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold-remaining-ms": 0,
            "born": self.born,
            "sequence": sequence,
        }

    async def handle(self, req: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        attempt_id = req.headers.get("x-attempt-id", "")
        headers = {"x-attempt-id": attempt_id, "x-worker-id": self.worker_id}
        if req.headers.get("x-target-instance", self.worker_id) != self.worker_id:
            writer.write(answer(421, {**headers, "x-not-executed": "1"}))
            await writer.drain()
            return
        run = Run(
            worker=self.worker_id,
            attempt_id=attempt_id,
            method=req.start[0],
            path=req.start[1],
            tenant=req.headers.get("x-tenant-id", ""),
            at=time.monotonic(),
        )
        self.runs.append(run)
        self.record.write(
            f"worker {self.worker_id} of {self.service} runs {attempt_id} "
            f"{run.method} {run.path} tenant={run.tenant or '-'} "
            f"body={len(req.body)} B"
        )
        await asyncio.sleep(self.work_seconds)
        headers["x-response-seal"] = f"seal-{self.worker_id}"
        writer.write(answer(200, headers, self.worker_id.encode()))
        await writer.drain()


@dataclass(kw_only=True)
class Node:
    """A node process and where it listens."""

    name: str
    host: str
    ports: dict[str, int]
    path: Path
    process: subprocess.Popen[bytes] | None = None
    settings: dict[str, Any] = field(default_factory=dict)

    @property
    def front(self) -> tuple[str, int]:
        """Return where it accepts callers."""
        return self.host, self.ports["front"]


class Rig:
    """The store, workers and nodes of one case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.workers: list[Worker] = []
        self.nodes: list[Node] = []
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._peer_port = free_port()
        self._n_attempts = 0
        self._beats: dict[str, asyncio.Task[None]] = {}

    async def add_worker(self, worker_id: str, service: str) -> Worker:
        """Start a plain worker that reports to the store."""
        worker = Worker(worker_id, service, self.record)
        await self.add(worker)
        return worker

    async def add(self, worker: Worker) -> None:
        """Start a worker that reports to the store."""
        await worker.start()
        self.workers.append(worker)
        self.store.put("servers", worker.worker_id, worker.row())
        self._beats[worker.worker_id] = asyncio.create_task(self._beat(worker))

    def silence(self, worker: Worker) -> None:
        """End a worker's status reports."""
        self._beats[worker.worker_id].cancel()

    async def _beat(self, worker: Worker) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.store.put("servers", worker.worker_id, worker.row())

    def add_node(self, number: int, **more: object) -> Node:
        """Create a node's settings, and start its process."""
        host = f"127.0.0.{20 + number}"
        names = ("front", "ready", "control", "directory")
        ports = {name: free_port(host) for name in names}
        settings = {
            "node": f"edge-a-{number}",
            "role": "node",
            "machine-class": "edge",
            "serves": ["edge", "registry", "control_plane"],
            "ip": host,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {name: f"{host}:{ports[name]}" for name in names},
            "port-range": [self._peer_port, self._peer_port],
            "seeds": [
                f"{node.host}:{node.ports['control']}" for node in self.nodes[:3]
            ],
            "bootstrap": not self.nodes,
            "limits": {"memory-mb": 136, "max-fds": 1535, "link-mbps": 350.0},
            "discovery": "platform",
            "entry": "registry",
            "heartbeat-ms": int(HEARTBEAT_SECONDS * 1000),
            "bounds": {
                "contact-ms": 3000,
                "drain-ms": 2000,
                "grace-s": 8,
                "config-ms": 2000,
                "downgrade-slack-ms": 250,
                "strict-revocation": True,
                "revoke-ms": 5000,
                "budget-ratio": 0.2,
                "budget-window-s": 10,
                "retry-slack": 113,
                "ttl_max_s": 5,
            },
            "infrastructure": {"address": self.store.address, "form": "table"},
            **more,
        }
        path = self._folder / f"{settings['node']}.json"
        node = Node(name=f"edge-a-{number}", host=host, ports=ports, path=path)
        node.settings = settings
        self.nodes.append(node)
        self.start_node(node)
        return node

    def write_settings(self, node: Node) -> None:
        """Place a node's settings file."""
        temporary = node.path.with_suffix(".new")
        temporary.write_text(json.dumps(node.settings))
        temporary.replace(node.path)

    def start_node(self, node: Node) -> None:
        """Start a node with the command of the deploy file."""
        self.write_settings(node)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["CELERYTRAIL_SETTINGS"] = str(node.path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self._folder / f"{node.name}.log").open("ab") as log:
            node.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.write(f"node {node.name} started")

    def signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to a node's process."""
        assert node.process is not None
        node.process.send_signal(number)
        self.record.write(f"node {node.name} gets {number.name}")

    async def wait_ready(self, node: Node) -> None:
        """Wait until a node says that it is ready."""
        ends_at = time.monotonic() + START_SECONDS
        while time.monotonic() < ends_at:
            try:
                res = await call(
                    (node.host, node.ports["ready"]), "GET", "/api/readiness", {}
                )
                if res is not None and res.start[1] == "200":
                    self.record.write(f"node {node.name} is ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{node.name} isn't ready")

    async def wait_started(self, node: Node) -> bool:
        """Wait until a node is ready; return False if its process ends before."""
        assert node.process is not None
        ready = asyncio.create_task(self.wait_ready(node))
        while not ready.done() and node.process.poll() is None:
            await asyncio.wait({ready}, timeout=0.1)
        if not ready.done():
            ready.cancel()
            return False
        await ready
        return True

    def new_attempt(self) -> str:
        """Return the id of a new attempt of a caller."""
        self._n_attempts += 1
        return f"attempt-{self._n_attempts}"

    def log_of(self, node: Node) -> str:
        """Return what a node has logged."""
        return (self._folder / f"{node.name}.log").read_text(errors="replace")

    def close(self) -> None:
        """End all that was started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for beat in self._beats.values():
            beat.cancel()
        for worker in self.workers:
            worker.stop()
        self.store.stop()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)


def request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encode a caller's request."""
    fields = {"host": HOST, **headers}
    if body or method != "GET":
        fields["content-length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode("latin-1") + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 3.0,
) -> Message | None:
    """Send a request on a new connection; None if it ends without an answer."""
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request(method, path, headers, body))
            return await read_message(reader)
        finally:
            writer.close()


class Channel:
    """A caller's connection that is kept for several requests."""

    def __init__(self, rig: Rig, node: Node) -> None:
        self._rig = rig
        self._node = node
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect to the node."""
        self._reader, self._writer = await asyncio.open_connection(*self._node.front)

    async def send(
        self, method: str, path: str, key: str, body: bytes = b"", **more: str
    ) -> tuple[str, int | None]:
        """Send a request; return its attempt and the status of the answer."""
        assert self._reader is not None and self._writer is not None
        attempt = self._rig.new_attempt()
        headers = caller_headers(attempt, key) | more
        self._rig.record.write(f"caller sends {attempt} {method} {path} {len(body)} B")
        status = None
        try:
            self._writer.write(request(method, path, headers, body))
            async with asyncio.timeout(4.0):
                res = await read_message(self._reader)
            status = int(res.start[1]) if res is not None else None
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = None
        self._rig.record.write(f"caller gets {status} for {attempt}")
        return attempt, status

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


def caller_headers(attempt: str, key: str, budget_ms: int = 3000) -> dict[str, str]:
    """Return the headers of a caller's request."""
    headers = {"x-attempt-id": attempt, "x-time-budget-ms": str(budget_ms)}
    if key:
        headers["authorization"] = f"Bearer {key}"
    return headers


def route(name: str, kind: str, service: str, **more: object) -> dict[str, object]:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "route-type": kind,
        "timeout-ms": 3000,
        "target-latency-ms": 400,
        "service": service,
        "max-attempts": 1 if kind == "unsafe" else 2,
        **more,
    }


def configuration(
    version: int, routes: list[dict[str, object]], **more: object
) -> dict[str, object]:
    """Return a version of the operator's configuration."""
    services = sorted({str(one["service"]) for one in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name} for name in services],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 65536,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        **more,
    }


def run_case(folder: Path, case: Callable[[Rig, bool], Awaitable[int]]) -> None:
    """Run a case and exit with its result; ``TROUBLE=0`` leaves the disruption out."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        rig = Rig(folder)
        try:
            await rig.store.start()
            async with asyncio.timeout(110):
                result = await case(rig, has_trouble)
        except (CannotRunError, TimeoutError, OSError) as exc:
            rig.record.write(f"the case couldn't run: {exc!r}")
            result = NOT_RUN
        finally:
            rig.close()
        return result

    result = asyncio.run(run())
    text = {HELD: "the rule held", BROKEN: "the rule was broken"}
    print(text.get(result, "the case couldn't run"))
    sys.exit(result)
