"""Runs nodes on the platform's published protocol, with stand-ins for the rest."""

from __future__ import annotations

import asyncio
import os
import random
from dataclasses import dataclass, field

import msgspec

from celerytrail.http.client import HttpClient
from celerytrail.http.messages import Response
from celerytrail.platform.nodesettings import RelaySettings
from celerytrail.relay.node import RelayNode
from celerytrail.rowsource import RowSource
from celerytrail.types import Address
from chores.system import free_address
from standins.rowstore import RowStore
from standins.worker import EngineWorker, PlainWorker, Worker

HOST = "desk.example"
KEY = "key-of-org"
# Upper limit for any step, in seconds; a test that hangs fails after it.
PATIENCE_SECONDS = 20.0


def local(port: int) -> Address:
    return Address(host="127.0.0.1", port=port)


def node_host(number: int, pid: int) -> str:
    """Return the loopback address of a node, unique among concurrent test runs.

    Free ports are searched on 127.0.0.1 only. If two concurrent runs used the same
    hosts, a node of one run could choose a port that a node of the other run uses.
    """
    high, low = divmod(pid, 250)
    return f"127.{1 + high % 250}.{1 + low}.{10 + number}"


def route(name: str, kind: str, service: str, **extra: object) -> dict[str, object]:
    return {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "route-type": kind,
        "timeout-ms": 15_000,
        "target-latency-ms": 5_000,
        "service": service,
        "max-attempts": 1,
        **extra,
    }


def config(version: int = 1, **extra: object) -> dict[str, object]:
    engine = {
        "slots": 8,
        "kv-capacity-tokens": 30_000,
        "kv-token-bytes": 1_000,
        "link-mbps": 10_000.0,
        "moves": True,
        "backups": True,
        "stride": 1,
        "handle-s": 5.0,
    }
    return {
        "version": version,
        "routes": [
            route("draft", "streaming", "models"),
            route("check", "streaming", "models", **{"max-attempts": 2})
            | {"resumable": True},
            route("file", "unsafe", "desk"),
            route("look", "safe", "desk", **{"max-attempts": 2}),
        ],
        "services": [{"name": "models", "engine": engine}, {"name": "desk"}],
        "tenants": [{"name": "org", "api-keys": [KEY]}],
        **extra,
    }


@dataclass(kw_only=True)
class Rig:
    """A store, workers and nodes, all of which ``close`` shuts down."""

    store: RowStore = field(default_factory=RowStore)
    nodes: list[RelayNode] = field(default_factory=list)
    workers: list[Worker] = field(default_factory=list)
    client: HttpClient = field(default_factory=lambda: HttpClient(id_header=None))
    store_address: Address = local(1)
    datagram_port: int = field(default_factory=lambda: free_address().port)
    _n_requests: int = 0
    _n_started: int = 0

    async def start(self) -> None:
        self.store_address = await self.store.start()
        self.store.put("op", "config", config())

    async def close(self) -> None:
        self.client.close()
        for node in self.nodes:
            await node.close()
        for worker in self.workers:
            await worker.close()
        await self.store.close()

    async def add_engine(
        self,
        name: str,
        n_events: int = 6,
        *,
        address: Address | None = None,
        born: int = 1,
    ) -> EngineWorker:
        engine = EngineWorker(worker_id=name, n_events=n_events)
        engine.born = born
        await engine.start(address)
        for other in self.workers:
            if isinstance(other, EngineWorker):
                other.add_peers(engine)
                engine.add_peers(other)
        self.workers.append(engine)
        self.store.put("servers", name, engine.row("models"))
        return engine

    async def add_plain_worker(
        self, name: str, *, address: Address | None = None, born: int = 1
    ) -> PlainWorker:
        worker = PlainWorker(worker_id=name)
        worker.born = born
        await worker.start(address)
        self.workers.append(worker)
        self.store.put("servers", name, worker.row("desk"))
        return worker

    async def add_node(
        self, name: str = "vm-1", store: RowSource | None = None, **extra: object
    ) -> RelayNode:
        # Nodes exchange datagrams through one port number on different addresses.
        host = node_host(self._n_started, os.getpid())
        self._n_started += 1
        seeds = tuple(node.cfg.peers for node in self.nodes if node.cfg.peers)
        fields: dict[str, object] = {
            "node": name,
            "failure_domain": "a",
            "region": "r",
            "callers": Address(host=host, port=free_address().port),
            "readiness": Address(host=host, port=free_address().port),
            "peers": Address(host=host, port=free_address().port),
            "directory": Address(host=host, port=free_address().port),
            "peer_ports": (self.datagram_port, 0),
            "seeds": seeds,
            "store": self.store_address,
            "retry_slack": 100.0,
            **extra,
        }
        cfg = RelaySettings(**fields)  # type: ignore[arg-type]
        node = RelayNode(cfg=cfg, rng=random.Random(self._n_started - 1), store=store)
        await node.start()
        self.nodes.append(node)
        await wait_until(lambda: node.is_ready)
        return node

    def headers(self, key: str | None = KEY, **extra: str) -> dict[str, str]:
        self._n_requests += 1
        headers = {
            "host": HOST,
            "x-attempt-id": f"attempt-{self._n_requests}",
            "x-time-budget-ms": "15000",
            "x-token-count": "1000,100",
            **extra,
        }
        if key is not None:
            headers["authorization"] = f"Bearer {key}"
        return headers

    async def request(
        self,
        path: str,
        method: str = "POST",
        body: bytes = b"",
        *,
        node: RelayNode | None = None,
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send a request as a caller does, and check the id of its answer."""
        headers = headers or self.headers()
        address = (node or self.nodes[0]).cfg.callers
        assert address is not None
        answered = await self.client.request(
            address,
            method,
            path,
            body=body,
            headers=headers,
            deadline=asyncio.get_running_loop().time() + PATIENCE_SECONDS,
        )
        res = answered.unwrap()
        assert res.headers.get("x-attempt-id") == headers["x-attempt-id"]
        return res

    async def metrics(self, node: RelayNode) -> str:
        """Return a node's metrics in text form."""
        assert node.cfg.peers is not None
        answered = await self.client.request(node.cfg.peers, "GET", "/metrics")
        return answered.unwrap().body.decode()


async def restart_under_new_id(
    rig: Rig, former: Worker, name: str, *, is_later: bool = True
) -> Worker:
    """Start an endpoint at the address of another one, whose row remains.

    Unless its start is later by its clock, no row shows which one is there.
    """
    await former.close()
    born = former.born + is_later
    if isinstance(former, EngineWorker):
        return await rig.add_engine(
            name, former.n_events, address=former.address, born=born
        )
    return await rig.add_plain_worker(name, address=former.address, born=born)


async def wait_until(condition, *, seconds: float = PATIENCE_SECONDS) -> None:
    """Wait until a condition holds; raise ``TimeoutError`` after ``seconds``."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


async def running_first(
    engine_1: EngineWorker, engine_2: EngineWorker
) -> tuple[EngineWorker, EngineWorker]:
    """Wait until one of two engines has a run; return that one and the other."""
    await wait_until(lambda: engine_1.running or engine_2.running)
    return (engine_1, engine_2) if engine_1.running else (engine_2, engine_1)


def split_events(body: bytes) -> list[bytes]:
    """Split the body of a stream into its events."""
    return [event for event in body.split(b"\n\n") if event]


def expected_events(n_events: int) -> list[bytes]:
    return [f"id: {n}\ndata: word {n}".encode() for n in range(n_events)]


def error_type(res: Response) -> str:
    return str(msgspec.json.decode(res.body)["error"]["type"])
