"""Nodes with pool homes on an in-memory network, for the tests of homes."""

from __future__ import annotations

import asyncio
import random

from result import Err, Ok

from celerytrail.clock import LoopClock
from celerytrail.configuration.current import Configuration
from celerytrail.configuration.document import Document, EngineSpec, VersionedDocument
from celerytrail.engines.wire import CacheEvents, EngineLost
from celerytrail.http.client import HttpClient
from celerytrail.http.routes import Router
from celerytrail.http.server import HttpServer
from celerytrail.metrics import Metrics
from celerytrail.nodes.admitters import HomeAdmitter
from celerytrail.nodes.fallback import FallbackChooser
from celerytrail.nodes.homes import Homes
from celerytrail.nodes.member import Member
from celerytrail.nodes.signing import PeerKeys
from celerytrail.policies.grants import AdmitRequest
from celerytrail.policies.lengths import LearnedLengths
from celerytrail.policies.loadreports import EngineReport
from celerytrail.policies.rendezvous import rank
from celerytrail.policies.routing import PowerOfTwo
from celerytrail.types import Address
from scenarios.memorynetwork import MemoryFabric

POOL = "llm/r/0"
N_MEMORY_TOKENS = 8_000


def engine_spec(number: int) -> EngineSpec:
    return EngineSpec(
        name=f"engine-{number}",
        address=f"10.0.1.{number}:80",
        failure_domain="fd-1",
        region="r",
        model="llm",
    )


class FakeEngines:
    """Returns engines' load reports in place of the client that fetches them."""

    def __init__(self, clock):
        self.clock = clock
        self.used_tokens = {}
        self.running = {}
        self.leaving = {}
        self.silent = set()
        self.sequence = 0

    async def load(self, address, *, deadline):
        name = f"engine-{address.host.rsplit('.', 1)[1]}"
        await asyncio.sleep(0.001)
        if name in self.silent:
            return Err(EngineLost(reason="timeout"))
        self.sequence += 1
        return Ok(
            EngineReport(
                engine=name,
                incarnation="i",
                sequence=self.sequence,
                at=self.clock.wall(),
                n_memory_tokens=N_MEMORY_TOKENS,
                n_used_tokens=self.used_tokens.get(name, 0),
                model="llm",
                running=tuple(self.running.get(name, ())),
                leaving_at=self.leaving.get(name),
            )
        )

    async def cache_events(self, address, after, *, deadline):
        return Ok(CacheEvents(next=after))


class FakeNodes:
    """One node's view of the live nodes."""

    def __init__(self, me, members):
        self.me = me
        self._members = members
        self.lost = set()
        self._callbacks = []

    def live(self, region=None):
        return tuple(
            m
            for m in self._members
            if m.node not in self.lost and region in (None, m.region)
        )

    def on_change(self, callback):
        self._callbacks.append(callback)

    def lose(self, *names):
        self.lost.update(names)
        self.notify_change()

    def notify_change(self):
        for callback in self._callbacks:
            callback()


class Peer:
    """Runs one node with its homes and its admitter."""

    def __init__(self, rig, me):
        self.name = me.node
        self.nodes = FakeNodes(me, rig.members)
        self.leaving = set()
        self.reported_leaving = []
        self.network = rig.wires.network_of(me.node)
        self.client = HttpClient(process=me.node, network=self.network)
        self.metrics = Metrics(process=me.node)
        rng = random.Random(me.node)
        shared = {
            "nodes": self.nodes,
            "keys": PeerKeys(keys=[b"key"]),
            "clock": rig.clock,
            "rng": rng,
            "metrics": self.metrics,
            "is_leaving": self.leaving.__contains__,
        }
        self.homes = Homes(
            configuration=rig.configuration,
            client=rig.engines,
            on_leaving_change=lambda engine, at: self.reported_leaving.append(engine),
            **shared,
        )
        self.lengths = LearnedLengths()
        fallback = FallbackChooser(
            configuration=rig.configuration,
            routing=PowerOfTwo(rng=rng, lengths=self.lengths),
            clock=rig.clock,
            rng=rng,
            lengths=self.lengths,
        )
        self.admitter = HomeAdmitter(
            homes=self.homes, client=self.client, fallback=fallback, **shared
        )
        router = Router()
        self.homes.add_routes(router)
        self.server = HttpServer(handler=router, network=self.network)

    async def start(self):
        await self.server.start(self.nodes.me.peer)
        await self.homes.start()
        await self.admitter.start()

    async def stop(self):
        await self.admitter.stop()
        await self.homes.stop()
        await self.server.close()
        self.client.close()


class Rig:
    """Holds three nodes and two engines; one node is the home, one the entry node."""

    def __init__(self):
        self.clock = LoopClock()
        self.wires = MemoryFabric(rng=random.Random(1))
        self.engines = FakeEngines(self.clock)
        self.configuration = Configuration()
        document = Document(engines=(engine_spec(1), engine_spec(2)))
        self.configuration.offer(VersionedDocument(version=1, document=document))
        self.members = [
            Member(
                node=name,
                incarnation=1,
                caller=Address(host=f"10.0.0.{number}", port=70),
                peer=Address(host=f"10.0.0.{number}", port=71),
                region="r",
            )
            for number, name in enumerate(["a", "b", "c"], start=1)
        ]
        self.peers = {m.node: Peer(self, m) for m in self.members}
        order = rank(POOL, self.peers)
        self.first, self.second, self.entry = (self.peers[name] for name in order)

    def request(self, request_id="q1", seconds=10.0, **changes):
        fields = {
            "request_id": request_id,
            "organisation": "org",
            "model": "llm",
            "n_prompt_tokens": 100,
            "n_max_tokens": 200,
            "queue_deadline": self.clock.monotonic() + seconds,
        }
        return AdmitRequest(**{**fields, **changes})

    def scheduler(self, peer):
        return peer.homes._homes[POOL].scheduler

    def fill_engines(self):
        for number in (1, 2):
            self.engines.used_tokens[f"engine-{number}"] = N_MEMORY_TOKENS


def with_rig(test):
    """Run a test with a started rig.

    This is no fixture because looptime runs fixtures before virtual time begins, so the
    timers that one started would never fire.
    """

    async def wrapper(self):
        rig = Rig()
        for peer in rig.peers.values():
            await peer.start()
        await asyncio.sleep(1.0)
        try:
            await test(self, rig)
        finally:
            rig.wires.heal()
            for peer in rig.peers.values():
                await peer.stop()

    wrapper.__doc__ = test.__doc__
    return wrapper
