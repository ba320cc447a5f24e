"""Runs a scenario's nodes and stand-ins in one process on virtual time.

Nodes and stand-ins share one event loop and connect over the network in memory. A
frozen process here neither receives nor sends anything, but its timers keep running;
only the driver with real processes suspends a process entirely.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from celerytrail.clock import LoopClock
from celerytrail.node import Node
from celerytrail.settings import NodeSettings, SigningKey
from celerytrail.types import Address
from standins import engine as engines
from standins.batch import Batch
from standins.faults import FaultyServer
from standins.platform import PlatformStandin
from standins.service import ServiceStandin

from .callers import MODEL, SERVICE
from .httpdriver import FAILURE_DOMAINS, HttpDriver
from .memorynetwork import MemoryFabric

SIGNING_KEY = SigningKey(key_id="k1", secret=bytes(range(32)))
CALLER_PORT = 7100
PEER_PORT = 7101
STANDIN_PORT = 7000
HOST_OCTETS = {"node": 1, "engine": 2, SERVICE: 3, "platform": 4}
TOKENS_PER_SECOND = 50.0
N_MEMORY_TOKENS = 20_000


@dataclass(kw_only=True)
class _Process:
    """One simulated process of the scenario: its addresses, objects and state."""

    address: Address
    peer: Address | None = None
    node: Node | None = None
    server: FaultyServer | None = None
    clock: LoopClock = field(default_factory=LoopClock)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    is_stopping: bool = False
    has_ended: bool = False


class MemoryDriver(HttpDriver):
    """A driver that simulates all processes in the current process.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    """

    def __init__(self, *, seed: int = 1) -> None:
        self._fabric = MemoryFabric(rng=random.Random(seed))
        super().__init__(
            network=self._fabric.network_of("callers"), clock=LoopClock(), seed=seed
        )
        self._processes: dict[str, _Process] = {}

    async def start_all(self, n_nodes: int, n_engines: int, n_endpoints: int) -> None:
        """Start all processes and bring an initial document into force."""
        await self.start_one("platform")
        for number in range(1, n_engines + 1):
            await self.start_one(f"engine-{number}")
        for number in range(1, n_endpoints + 1):
            await self.start_one(f"{SERVICE}-{number}")
        for number in range(1, n_nodes + 1):
            await self.start_one(f"node-{number}")
        await self.publish_initial_document()

    async def start_one(self, name: str) -> None:
        """Start one more process, or restart a dead one."""
        kind, _, number = name.partition("-")
        host = f"10.0.{HOST_OCTETS[kind]}.{number or 1}"
        if kind == "node":
            await self._start_node(name, host, int(number))
        else:
            await self._start_standin(name, kind, host)

    async def signal(self, name: str, action: str) -> None:
        """Kill, freeze, thaw or stop a process."""
        process = self._processes[name]
        if action == "freeze":
            self._fabric.freeze(name)
        elif action == "thaw":
            self._fabric.thaw(name)
        elif action == "kill":
            process.has_ended = True
            self._fabric.kill(name)
            await self._shut_down(process)
        else:
            assert process.node is not None
            if process.is_stopping:
                # The daemon ignores a second stop signal; scenarios with real processes
                # check that.
                return
            process.is_stopping = True
            leaving = asyncio.create_task(self._leave(process))
            process.tasks.append(leaving)

    async def cut(self, sender: str, receiver: str, *, is_both_ways: bool) -> None:
        """Hold what one process sends to another."""
        self._fabric.cut(sender, receiver)
        if is_both_ways:
            self._fabric.cut(receiver, sender)

    async def heal(self) -> None:
        """Remove all cuts."""
        self._fabric.heal()

    async def drop_datagrams(self, share: float) -> None:
        """Drop a share, from 0 to 1, of the nodes' datagrams."""
        self._fabric.datagram_loss_rate = share

    async def shift_clock(self, name: str, seconds: float) -> None:
        """Shift a node's wall clock by ``seconds``."""
        self._processes[name].clock.wall_offset += seconds

    def addresses(self, prefix: str) -> Mapping[str, Address]:
        """Return the listen addresses of the processes whose names have a prefix."""
        return {
            name: process.address
            for name, process in self._processes.items()
            if name.startswith(prefix)
        }

    def peer_addresses(self) -> Mapping[str, Address]:
        """Return the addresses at which nodes listen for their peers."""
        return {
            name: process.peer
            for name, process in self._processes.items()
            if process.peer is not None
        }

    def versions_now(self) -> dict[str, int]:
        """Return the version in force at each running node, without a request."""
        return {
            name: process.node.sync.version
            for name, process in self._processes.items()
            if process.node is not None and not process.has_ended
        }

    def has_ended(self, name: str) -> bool:
        """Return whether a process has exited."""
        return self._processes[name].has_ended

    async def close(self) -> None:
        """Stop all processes and close all connections."""
        await self.close_clients()
        self._fabric.heal()
        for process in self._processes.values():
            if not process.has_ended:
                await self._shut_down(process)

    async def _start_node(self, name: str, host: str, number: int) -> None:
        address = Address(host=host, port=CALLER_PORT)
        peer = Address(host=host, port=PEER_PORT)
        process = _Process(address=address, peer=peer)
        cfg = NodeSettings(
            vm=name,
            failure_domain=FAILURE_DOMAINS[(number - 1) % len(FAILURE_DOMAINS)],
            region="default",
            caller_listen=address,
            peer_listen=peer,
            platform=(self._processes["platform"].address,),
            seeds=tuple(self.peer_addresses().values())[:3],
            ticket_keys=(SIGNING_KEY,),
            peer_keys=(SIGNING_KEY,),
            answer_seconds=5.0,
            queue_seconds=20.0,
            generation_seconds=1_800.0,
            call_seconds=30.0,
            stall_seconds=5.0,
            max_connections=2_000,
            log_file="-",
        )
        process.node = Node(
            cfg=cfg,
            clock=process.clock,
            rng=random.Random(self._rng.getrandbits(32)),
            network=self._fabric.network_of(name),
        )
        await process.node.start()
        self._processes[name] = process

    async def _start_standin(self, name: str, kind: str, host: str) -> None:
        address = Address(host=host, port=STANDIN_PORT)
        process = _Process(address=address)
        network = self._fabric.network_of(name)
        if kind == "engine":
            batch = Batch(
                engine=name,
                incarnation=f"{self._rng.getrandbits(48):012x}",
                model=MODEL,
                tokens_per_second=TOKENS_PER_SECOND,
                n_memory_tokens=N_MEMORY_TOKENS,
            )
            # The version in the document; with any other the engine would drain to be
            # reloaded.
            batch.version = "1"
            server, task = await engines.serve(
                listen=address, batch=batch, clock=process.clock, network=network
            )
            process.tasks.append(task)
            process.server = server
        elif kind == "platform":
            platform = PlatformStandin(clock=process.clock)
            await platform.server.start(address, network)
            process.server = platform.server
        else:
            endpoint = ServiceStandin(name=name, clock=process.clock)
            await endpoint.server.start(address, network)
            process.server = endpoint.server
        self._processes[name] = process

    async def _leave(self, process: _Process) -> None:
        assert process.node is not None
        await process.node.leave()
        process.has_ended = True

    async def _shut_down(self, process: _Process) -> None:
        for task in process.tasks:
            task.cancel()
        if process.tasks:
            await asyncio.wait(process.tasks)
        if process.node is not None:
            await process.node.close()
        if process.server is not None:
            await process.server.close()
