"""A whole fleet in virtual time: real nodes, model engines that come and go, callers.

The nodes are the relay's own, over a network in memory; only the engines, the store and
the callers are stand-ins. So what is measured is what the product decides and sends.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field, replace

from bench.fleetcallers import Caller, Ending, arrival_number
from bench.fleetload import Arrival, FleetLoad, arrivals
from celerytrail.clock import LoopClock
from celerytrail.platform.nodesettings import RelaySettings
from celerytrail.policies.placing import PlacementPolicy
from celerytrail.relay.node import RelayNode
from celerytrail.types import Address
from scenarios.memorynetwork import Wires
from scenarios.virtualtime import close_loop, new_loop
from standins.enginemodel import EngineSpec
from standins.modelworker import ModelWorker
from standins.rowstore import RowStore

HOST = "desk.example"
KEY = "key-of-org"
SERVICE = "models"
# One way between two processes, in seconds.
DELAY_SECONDS = 0.001
# Nodes find one another and read the configuration before traffic starts, in seconds.
WARM_UP_SECONDS = 6.0


@dataclass(frozen=True, kw_only=True)
class Variation:
    """What differs between two plays of the same load.

    Parameters
    ----------
    placing : PlacementPolicy or None
        The policy that places; the product's own by default.
    can_move, can_back_up : bool
        Whether engines allow runs to be moved, and copied as they grow.
    dropped_share : float
        Share of the nodes' datagrams that are lost.
    frozen : tuple of (str, float, float) or None
        A node that stands still, from when on and for how many seconds.
    """

    placing: PlacementPolicy | None = None
    can_move: bool = True
    can_back_up: bool = True
    dropped_share: float = 0.0
    frozen: tuple[str, float, float] | None = None


@dataclass(frozen=True, kw_only=True)
class Costs:
    """What the nodes sent and used, all together, up to a moment.

    Parameters
    ----------
    at : float
        Virtual time, in seconds.
    processor_seconds : float
        Of the whole play, stand-ins and callers included.
    n_news, news_bytes : int
        Datagrams of news of runs, and their bytes with the heads of IP and UDP.
    gossip_bytes : int
        Bytes of membership.
    n_store_calls : int
        Calls of the store.
    """

    at: float = 0.0
    processor_seconds: float = 0.0
    n_news: int = 0
    news_bytes: int = 0
    gossip_bytes: int = 0
    n_store_calls: int = 0

    def since(self, former: Costs) -> Costs:
        """Return what was added after an earlier moment; ``at`` becomes the time."""
        return Costs(
            **{
                name: getattr(self, name) - getattr(former, name)
                for name in self.__dataclass_fields__
            }
        )


@dataclass(kw_only=True)
class FleetResult:
    """What a play gave.

    Parameters
    ----------
    endings : list of Ending
        What became of each request.
    n_read, n_read_again, n_preempted : int
        Prompt tokens read, those read again after a preemption, and preemptions.
    moved_bytes : float
        Memory copied between engines.
    twice : list of str
        Attempts that may not be repeated and were begun at more than one engine.
    start, traffic : Costs
        What the nodes cost until traffic began, and while it lasted.
    """

    endings: list[Ending] = field(default_factory=list)
    n_read: int = 0
    n_read_again: int = 0
    n_preempted: int = 0
    moved_bytes: float = 0.0
    twice: list[str] = field(default_factory=list)
    start: Costs = field(default_factory=Costs)
    traffic: Costs = field(default_factory=Costs)


class Fleet:
    """One play of a load.

    Parameters
    ----------
    load : FleetLoad
        What comes.
    variation : Variation
        What differs from the product as it is shipped.
    seed : int
        Of all chance.
    """

    def __init__(self, *, load: FleetLoad, variation: Variation, seed: int) -> None:
        self._load = load
        self._variation = variation
        self._rng = random.Random(seed)
        self._seed = seed
        self._wires = Wires(rng=random.Random(seed), delay=DELAY_SECONDS)
        self._store = RowStore(network=self._wires.process("store"))
        self._engines: dict[str, ModelWorker] = {}
        self._lost: list[ModelWorker] = []
        self._nodes: list[RelayNode] = []
        self._n_engines = 0
        self._spec = EngineSpec(n_memory_tokens=load.engines.n_memory_tokens)
        self.result = FleetResult()

    async def play(self) -> FleetResult:
        """Play the load to its last answer."""
        store = await self._store.start()
        self._store.put("op", "config", self._config())
        for zone in self._load.zones:
            for _ in range(self._load.engines.n_per_zone):
                await self._add_engine(zone)
        for number in range(self._load.n_nodes):
            await self._add_node(number, store)
        await asyncio.sleep(WARM_UP_SECONDS)
        if not all(node.is_ready for node in self._nodes):
            raise RuntimeError("not all nodes are ready")
        troubles = [asyncio.ensure_future(self._reclaim())]
        self._wires.dropped_share = self._variation.dropped_share
        if self._variation.frozen is not None:
            troubles.append(asyncio.ensure_future(self._freeze()))
        coming = arrivals(self._load, self._spec.n_event_tokens, self._seed)
        started_at = asyncio.get_running_loop().time()
        self.result.start = self._costs()
        asked = [self._ask(arrival, started_at) for arrival in coming]
        traffic_ends = asyncio.ensure_future(self._await_end(started_at))
        self.result.endings = list(await asyncio.gather(*asked))
        await traffic_ends
        for trouble in troubles:
            trouble.cancel()
        self._sum_up()
        for node in self._nodes:
            await node.close()
        return self.result

    async def _await_end(self, started_at: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(started_at + self._load.seconds - loop.time())
        self.result.traffic = self._costs().since(self.result.start)

    def _costs(self) -> Costs:
        nodes = self._nodes
        return Costs(
            at=asyncio.get_running_loop().time(),
            processor_seconds=time.process_time(),
            n_news=sum(node.peer_updates.n_sent for node in nodes),
            news_bytes=sum(node.peer_updates.n_sent_bytes for node in nodes),
            gossip_bytes=sum(node.nodes.gossip.n_sent_bytes for node in nodes),
            n_store_calls=self._store.n_calls,
        )

    def _sum_up(self) -> None:
        begun: Counter[str] = Counter()
        for engine in (*self._engines.values(), *self._lost):
            begun.update(engine.begun)
            totals = engine.model.totals
            self.result.n_read += totals.n_read
            self.result.n_read_again += totals.n_read_again
            self.result.n_preempted += totals.n_preempted
            self.result.moved_bytes += engine.link.n_bytes
        repeatable = {
            number
            for number, ending in enumerate(self.result.endings)
            if ending.kind.resumable
        }
        self.result.twice = [
            attempt
            for attempt, n_begun in begun.items()
            if n_begun > 1 and arrival_number(attempt) not in repeatable
        ]

    # What there is.

    def _config(self) -> dict[str, object]:
        spec = self._spec
        engine = {
            "slots": spec.n_slots,
            "kv-capacity-tokens": spec.n_memory_tokens,
            "kv-token-bytes": spec.token_bytes,
            "link-mbps": spec.link_bytes_per_second * 8 / 1e6,
            "moves": self._variation.can_move,
            "backups": self._variation.can_back_up,
            "stride": spec.n_event_tokens,
            "handle-s": 5.0,
        }
        routes = [
            {
                "name": kind.name,
                "hostname": HOST,
                "prefix": f"/{kind.name}/",
                "route-type": "streaming",
                "timeout-ms": kind.timeout * 1_000,
                "target-latency-ms": kind.target * 1_000,
                "gap-target-ms": kind.pause * 1_000,
                "service": SERVICE,
                "max-attempts": 2 if kind.resumable else 1,
                "resumable": kind.resumable,
                "priority": kind.priority,
            }
            for kind in self._load.requests
        ]
        return {
            "version": 1,
            "routes": routes,
            "services": [{"name": SERVICE, "engine": engine}],
            "tenants": [{"name": "org", "api-keys": [KEY]}],
        }

    async def _add_engine(self, zone: str) -> None:
        slowness = self._load.engines.slowness
        number = self._n_engines
        self._n_engines += 1
        name = f"engine-{number}"
        spec = replace(self._spec, slowness=slowness[number % len(slowness)])
        engine = ModelWorker(
            worker_id=name,
            failure_domain=zone,
            spec=spec,
            find=self._find,
            network=self._wires.process(name),
        )
        await engine.start()
        self._engines[name] = engine
        self._write_row(engine, "ready")

    def _write_row(self, engine: ModelWorker, state: str) -> None:
        facts = {"zone": engine.failure_domain, "slots": self._spec.n_slots}
        row = engine.row(SERVICE, state, **facts)
        self._store.put("servers", engine.worker_id, row)

    def _find(self, address: str) -> ModelWorker | None:
        for engine in self._engines.values():
            if str(engine.address) == address:
                return engine
        return None

    async def _add_node(self, number: int, store: Address) -> None:
        host = f"10.1.0.{number + 1}"
        name = f"vm-{number}"
        seeds = tuple(node.cfg.peers for node in self._nodes[:3] if node.cfg.peers)
        cfg = RelaySettings(
            node=name,
            failure_domain=self._load.zones[number % len(self._load.zones)],
            region="r",
            callers=Address(host=host, port=8740),
            readiness=Address(host=host, port=8741),
            peers=Address(host=host, port=8742),
            directory=Address(host=host, port=8743),
            peer_ports=(7200, 7201),
            seeds=seeds,
            store=store,
            retry_slack=100.0,
        )
        node = RelayNode(
            cfg=cfg,
            network=self._wires.process(name),
            rng=random.Random(f"{self._seed}:{name}"),
            clock=LoopClock(),
            placing=self._variation.placing,
        )
        await node.start()
        self._nodes.append(node)

    # What happens.

    async def _ask(self, arrival: Arrival, started_at: float) -> Ending:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(started_at + arrival.at - loop.time())
        node = self._rng.choice(self._nodes)
        assert node.cfg.callers is not None
        caller = Caller(
            arrival=arrival,
            network=self._wires.process("callers"),
            host=HOST,
            key=KEY,
        )
        return await caller.ask(node.cfg.callers)

    async def _reclaim(self) -> None:
        """Take engines away, one after another, and let others come."""
        fleet = self._load.engines
        while fleet.reclaim_every > 0:
            await asyncio.sleep(fleet.reclaim_every)
            ready = [
                engine for engine in self._engines.values() if engine.leaves_at is None
            ]
            asyncio.ensure_future(self._take_away(self._rng.choice(ready)))

    async def _freeze(self) -> None:
        """Let a node stand still for a while; nothing reaches it or comes from it."""
        assert self._variation.frozen is not None
        name, at, seconds = self._variation.frozen
        await asyncio.sleep(at)
        self._wires.freeze(name)
        await asyncio.sleep(seconds)
        self._wires.thaw(name)

    async def _take_away(self, engine: ModelWorker) -> None:
        fleet = self._load.engines
        notice = self._rng.uniform(*fleet.notice)
        engine.leaves_at = asyncio.get_running_loop().time() + notice
        if notice:
            self._write_row(engine, "draining")
            await asyncio.sleep(notice)
        self._wires.kill(engine.worker_id)
        await engine.close()
        self._lost.append(self._engines.pop(engine.worker_id))
        self._store.drop("servers", engine.worker_id)
        await asyncio.sleep(max(0.0, fleet.replace_after - notice))
        await self._add_engine(engine.failure_domain)


def play(load: FleetLoad, variation: Variation, seed: int) -> FleetResult:
    """Play a load on a loop of its own in virtual time."""
    loop = new_loop()
    try:
        fleet = Fleet(load=load, variation=variation, seed=seed)
        return loop.run_until_complete(fleet.play())
    finally:
        close_loop(loop)
