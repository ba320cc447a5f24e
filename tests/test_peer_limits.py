"""Limits per organisation over several nodes, on a network in memory."""

from __future__ import annotations

import asyncio
import random

import pytest

from celerytrail.clock import LoopClock
from celerytrail.configuration import Configuration
from celerytrail.document import Document, OrganisationSpec, VersionedDocument
from celerytrail.httpclient import HttpClient
from celerytrail.httpserver import HttpServer
from celerytrail.metrics import Metrics
from celerytrail.nodes.limit_homes import LimitHomes, _group
from celerytrail.nodes.member import Member
from celerytrail.nodes.rendezvous import rank
from celerytrail.nodes.signing import PeerKeys
from celerytrail.routes import Router
from celerytrail.types import Address
from scenarios.memorynetwork import Wires

N_TOKENS_PER_SECOND = 900
N_CONCURRENT = 12


class FakeNodes:
    """All nodes, less those that were lost."""

    def __init__(self, me, members, gone):
        self.me = me
        self._members = members
        self._gone = gone

    def live(self, region=None):
        return tuple(m for m in self._members if m.node not in self._gone)

    def on_change(self, callback):
        pass


class Rig:
    """Three nodes and one organisation with limits."""

    def __init__(self):
        self.clock = LoopClock()
        self.wires = Wires(rng=random.Random(1))
        self.gone = set()
        organisation = OrganisationSpec(
            name="org",
            n_tokens_per_second=N_TOKENS_PER_SECOND,
            n_concurrent=N_CONCURRENT,
        )
        configuration = Configuration()
        document = Document(organisations=(organisation, OrganisationSpec(name="free")))
        configuration.offer(VersionedDocument(version=1, document=document))
        members = [
            Member(
                node=name,
                incarnation=1,
                caller=Address(host=f"10.0.0.{number}", port=70),
                peer=Address(host=f"10.0.0.{number}", port=71),
            )
            for number, name in enumerate("abc", start=1)
        ]
        self.limits, self.servers = {}, {}
        for me in members:
            network = self.wires.process(me.node)
            limits = LimitHomes(
                nodes=FakeNodes(me, members, self.gone),
                configuration=configuration,
                keys=PeerKeys(keys=[b"key"]),
                client=HttpClient(process=me.node, network=network),
                clock=self.clock,
                metrics=Metrics(process=me.node),
            )
            router = Router()
            limits.add_routes(router)
            self.limits[me.node] = limits
            self.servers[me] = HttpServer(handler=router, network=network)
        self.order = rank(_group("org"), self.limits)

    async def start(self):
        for me, server in self.servers.items():
            await server.start(me.peer)
            await self.limits[me.node].start()

    async def stop(self):
        for me, server in self.servers.items():
            await self.limits[me.node].stop()
            await server.close()

    async def demand(self, names, seconds):
        """Ask for much more than is allowed; returns the tokens let through."""
        n_tokens = 0
        for _ in range(round(seconds / 0.05)):
            await asyncio.sleep(0.05)
            for name in names:
                if self.limits[name].admit("org", 50) is None:
                    n_tokens += 50
                    self.limits[name].release("org")
        return n_tokens


@pytest.mark.looptime
class TestLimits:
    async def test_one_limit_over_three_nodes(self):
        """An organisation sends to all nodes at once. Were each node to hold the whole
        limit by itself, it would get three times what it may have.
        """
        rig = Rig()
        await rig.start()
        await rig.demand(rig.order, 10.0)
        n_tokens = await rig.demand(rig.order, 20.0)
        assert n_tokens <= 1.15 * 20.0 * N_TOKENS_PER_SECOND
        await rig.stop()

    async def test_one_busy_node_gets_more_than_its_even_share(self):
        """All of an organisation's callers come to one node. Its share there would be
        a third of what it pays for.
        """
        rig = Rig()
        await rig.start()
        await rig.demand(rig.order[2:], 10.0)
        n_tokens = await rig.demand(rig.order[2:], 20.0)
        assert n_tokens > 0.5 * 20.0 * N_TOKENS_PER_SECOND
        await rig.stop()

    async def test_places_over_three_nodes(self):
        """Long drafts are opened at all nodes. Together they stay within the limit."""
        rig = Rig()
        await rig.start()
        n_open = 0
        for _ in range(200):
            await asyncio.sleep(0.05)
            for name in rig.order:
                n_open += rig.limits[name].admit("org", 1) is None
        assert N_CONCURRENT // 2 <= n_open <= N_CONCURRENT + len(rig.order)
        await rig.stop()

    async def test_limit_home_is_lost(self):
        """The limit home dies, and nobody has noticed yet. Work goes on by even shares
        and stays within the limit, then a new home lends.
        """
        rig = Rig()
        await rig.start()
        home, *others = rig.order
        await rig.demand(others, 5.0)
        rig.wires.kill(home)
        await rig.demand(others, 5.0)
        n_tokens = await rig.demand(others, 10.0)
        assert 0 < n_tokens <= 1.15 * 10.0 * N_TOKENS_PER_SECOND
        rig.gone.add(home)
        await rig.demand(others, 5.0)
        n_tokens = await rig.demand(others, 20.0)
        assert n_tokens <= 1.15 * 20.0 * N_TOKENS_PER_SECOND
        assert n_tokens > 0.5 * 20.0 * N_TOKENS_PER_SECOND
        await rig.stop()

    async def test_organisation_without_limits_is_never_refused(self):
        rig = Rig()
        for _ in range(1_000):
            assert rig.limits["a"].admit("free", 1_000_000) is None
        assert rig.limits["a"].admit("unknown", 1) is None
