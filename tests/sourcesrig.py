"""Nodes that share one store, in virtual time; each node's access can be refused."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from result import Err

from celerytrail.clock import LoopClock
from celerytrail.http.client import HttpClient
from celerytrail.http.messages import Response
from celerytrail.metrics import Metrics
from celerytrail.platform.nodesettings import RelaySettings
from celerytrail.policies.rendezvous import rank
from celerytrail.relay.node import RelayNode
from celerytrail.relay.rowsources import READERS_KEY
from celerytrail.relay.storeclient import make_rows
from celerytrail.rowsource import RowSource, StoreUnavailable
from celerytrail.types import Address
from scenarios.memorynetwork import MemoryFabric
from scenarios.virtualtime import close_loop, new_loop
from standins.rowstore import RowStore
from tests.relayrig import HOST, KEY, config, route

N_NODES = 8
CONFIG_SECONDS = 2.0
REVOKE_SECONDS = 5.0
WARM_UP_SECONDS = 6.0
BYTES_PER_MEGABIT = 125_000


class GatedStore(RowSource):
    """One node's access to the store, which can refuse this node's calls."""

    def __init__(self, *, store: RowSource) -> None:
        self._store = store
        self.is_refusing = False
        self.n_calls = 0

    def _refusal(self) -> Err[StoreUnavailable] | None:
        self.n_calls += 1
        if self.is_refusing:
            return Err(StoreUnavailable(reason="status 429", status=429))
        return None

    async def read(self, table, deadline, *, at_least=0):
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        return await self._store.read(table, deadline, at_least=at_least)

    async def follow(self, table, after, wait_seconds, deadline):
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        return await self._store.follow(table, after, wait_seconds, deadline)

    async def put(self, table, key, value, deadline):
        return self._refusal() or await self._store.put(table, key, value, deadline)

    async def drop(self, table, key, deadline):
        return self._refusal() or await self._store.drop(table, key, deadline)


class Fleet:
    """Nodes that share one store; each node's access to it can be refused."""

    def __init__(
        self,
        seed: int,
        n_nodes: int,
        *,
        config_seconds: float = CONFIG_SECONDS,
        link_mbps: Callable[[int], float] | None = None,
        are_nodes_cut_off: bool = False,
        **settings: object,
    ) -> None:
        self.wires = MemoryFabric(rng=random.Random(seed))
        self.store = RowStore(network=self.wires.network_of("store"))
        self.nodes: list[RelayNode] = []
        self.gates: list[GatedStore] = []
        self.client = HttpClient(
            network=self.wires.network_of("callers"), id_header=None
        )
        self.version = 1
        self._n_requests = 0
        self._seed = seed
        self._config_seconds = config_seconds
        self._link_mbps = link_mbps
        self._n_nodes = n_nodes
        self._settings = settings
        if are_nodes_cut_off:
            self.cut_off(*range(n_nodes))

    def cut_off(self, *numbers: int) -> None:
        """Cut nodes off from all other nodes; they still reach everything else."""
        for number in numbers:
            for other in range(self._n_nodes):
                if other != number:
                    self._cut(number, other)

    def split(self, n_parts: int) -> None:
        """Split the nodes into parts that can't reach one another."""
        for number in range(self._n_nodes):
            for other in range(number):
                if number % n_parts != other % n_parts:
                    self._cut(number, other)

    def _cut(self, number: int, other: int) -> None:
        self.wires.cut(f"vm-{number}", f"vm-{other}")
        self.wires.cut(f"vm-{other}", f"vm-{number}")

    async def start(self) -> None:
        self._address = await self.store.start()
        self.store.put("op", "config", config())
        for _ in range(self._n_nodes):
            await self.add()
        await asyncio.sleep(WARM_UP_SECONDS)
        assert all(node.is_ready for node in self.nodes)

    async def restart(self) -> None:
        """Kill all nodes and start them again at once."""
        stopped, self.nodes = self.nodes, []
        for number, node in enumerate(stopped):
            self.wires.kill(f"vm-{number}")
            await node.close()
        self.gates = []
        for _ in stopped:
            await self.add()

    async def add(self) -> None:
        """Start one more node."""
        await self._add_node(len(self.nodes), self._address)

    async def restart_node(self, number: int) -> None:
        """Kill a node and start it again on its VM."""
        self.wires.kill(f"vm-{number}")
        await self.nodes[number].close()
        await self._add_node(number, self._address)
        self.nodes[number] = self.nodes.pop()
        self.gates[number] = self.gates.pop()

    async def _add_node(self, number: int, store: Address) -> None:
        host = f"10.1.{number // 250}.{number % 250 + 1}"
        name = f"vm-{number}"
        network = self.wires.network_of(name)
        rng = random.Random(100 * self._seed + number)
        gate = GatedStore(
            store=make_rows(
                store,
                network=network,
                clock=LoopClock(),
                rng=rng,
                metrics=Metrics(process=name),
            )
        )
        link_mbps = self._link_mbps(number) if self._link_mbps else 0.0
        if link_mbps:
            self.wires.bandwidths[name] = link_mbps * BYTES_PER_MEGABIT
        cfg = RelaySettings(
            node=name,
            failure_domain="abc"[number % 3],
            region="r",
            callers=Address(host=host, port=8740),
            readiness=Address(host=host, port=8741),
            peers=Address(host=host, port=8742),
            directory=Address(host=host, port=8743),
            peer_ports=(7200, 7201),
            seeds=(Address(host="10.1.0.1", port=8742),),
            store=store,
            config_seconds=self._config_seconds,
            link_mbps=link_mbps,
            revoke_seconds=REVOKE_SECONDS,
            **self._settings,
        )
        node = RelayNode(
            cfg=cfg, network=network, rng=rng, clock=LoopClock(), store=gate
        )
        await node.start()
        self.nodes.append(node)
        self.gates.append(gate)

    @property
    def reader(self) -> int:
        """Return the number of the only reader."""
        readers = [
            i for i, node in enumerate(self.nodes) if node.shared_rows.sources.is_reader
        ]
        assert len(readers) == 1
        return readers[0]

    @property
    def ranked(self) -> list[int]:
        """Return the numbers of all nodes in their rank as readers."""
        numbers = {node.node_id: i for i, node in enumerate(self.nodes)}
        return [numbers[name] for name in rank(READERS_KEY, numbers)]

    def freeze(self, number: int) -> None:
        """Freeze a node: connections to it are accepted and never answered."""
        self.wires.freeze(f"vm-{number}")

    def thaw(self, number: int) -> None:
        """Let a frozen node go on."""
        self.wires.thaw(f"vm-{number}")

    def change(self, *route_names: str, **more: object) -> None:
        """Write the next configuration version, with further routes."""
        self.version += 1
        cfg = config(self.version, **more)
        added = [route(name, "safe", "desk") for name in route_names]
        self.store.put("op", "config", {**cfg, "routes": [*cfg["routes"], *added]})

    async def request(self, number: int, name: str, key: str = KEY) -> Response:
        """Send a caller's request for a route to a node."""
        self._n_requests += 1
        address = self.nodes[number].cfg.callers
        assert address is not None
        headers = {
            "host": HOST,
            "authorization": f"Bearer {key}",
            "x-attempt-id": f"a{self._n_requests}",
            "x-time-budget-ms": "1000",
        }
        answered = await self.client.request(
            address, "GET", f"/{name}/1", headers=headers
        )
        return answered.unwrap()

    async def unready_seconds(self, seconds: float) -> float:
        """Return the seconds that nodes were not ready, summed over all nodes."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        unready = 0.0
        while loop.time() < until:
            await asyncio.sleep(0.05)
            unready += 0.05 * sum(not node.is_ready for node in self.nodes)
        return unready


def run_fleet(
    seed: int,
    test: Callable[[Fleet], Awaitable[None]],
    n_nodes: int = N_NODES,
    **more: Any,
) -> None:
    """Run a test's steps against a new fleet in virtual time."""

    async def steps() -> None:
        fleet = Fleet(seed, n_nodes, **more)
        await fleet.start()
        await test(fleet)
        for node in fleet.nodes:
            await node.close()

    loop = new_loop()
    try:
        loop.run_until_complete(steps())
    finally:
        close_loop(loop)
