"""How nodes find and watch one another, with fakes at the datagram interface."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest
from membershiprig import Group, make_member

from celerytrail.clock import SystemClock
from celerytrail.http.client import HttpClient
from celerytrail.http.routes import Router
from celerytrail.http.server import HttpServer
from celerytrail.metrics import Metrics
from celerytrail.nodes.events import (
    BadItem,
    EndpointLeaving,
    ExchangeWanted,
    MemberChanged,
    VersionHeard,
)
from celerytrail.nodes.member import State
from celerytrail.nodes.nodes import Nodes
from celerytrail.nodes.signing import PeerKeys
from celerytrail.nodes.wire import Datagram, EndpointNews, Kind
from celerytrail.types import Address


class TestJoining:
    def test_newcomer_is_known_to_all_at_once(self):
        group = Group(12)
        group.run_until(group.is_whole, 3.0)
        group.add(make_member(50))
        group.run_until(group.is_whole, 1.0)

    def test_nodes_with_different_seeds_find_one_another(self):
        """Two halves start from seed lists that don't overlap, as when the VM list is
        empty. Callers of each half would never be sent to the other.
        """
        group = Group(4)
        strangers = Group(0)
        strangers.clock = group.clock
        for number in (10, 11, 12):
            strangers.add(make_member(number))
        for name, node in strangers.nodes.items():
            group.nodes[name] = node
            group.by_address[node.me.peer] = node
            group.events[name] = []
        group.nodes["node-10"].set_candidates([make_member(0).peer])
        group.run_until(group.is_whole, 20.0)

    def test_restarted_with_the_clock_set_back(self):
        """A VM is replaced under the same name and its clock is behind. The others
        hold a higher incarnation; without refuting it the newcomer would stay dead.
        """
        group = Group(6)
        group.run(2.0)
        group.stopped.add("node-3")
        group.run_until(lambda: group.all_hold("node-3", State.DEAD), 10.0)
        group.stopped.clear()
        group.add(make_member(3, incarnation=5))
        group.run_until(group.is_whole, 5.0)


class TestDetection:
    @pytest.mark.parametrize("seed", range(5))
    def test_killed_node_leaves_the_answers_of_all(self, seed):
        """A node is killed without a word. Callers that are still sent to it wait for
        a connection that never comes.
        """
        group = Group(30, seed=seed)
        group.run(3.0)
        group.stopped.add("node-7")
        group.run_until(
            lambda: group.all_hold("node-7", State.SUSPECT, State.DEAD), 3.0
        )
        group.run_until(lambda: group.all_hold("node-7", State.DEAD), 6.0)

    @pytest.mark.parametrize("seed", [1, 70, 75])
    def test_whole_failure_domain_lost_at_once(self, seed):
        """Power goes in one failure domain. Those who watched its nodes are gone too,
        so the rings have to close over the gaps. News of ten lost nodes is more than
        fits beside one answer, and a third of all news goes to the lost nodes
        themselves: a node that missed one of them must not wait for a whole exchange,
        while its callers are sent to the dead.
        """
        group = Group(30, seed=seed)
        group.run(3.0)
        lost = [name for name in group.nodes if int(name[5:]) % 3 == 0]
        group.stopped.update(lost)
        group.run_until(
            lambda: all(
                group.all_hold(name, State.SUSPECT, State.DEAD) for name in lost
            ),
            8.0,
        )
        group.run(1.0)
        assert group.false_suspicions() == 0

    @pytest.mark.parametrize("seed", range(3))
    def test_dropped_datagrams_make_no_suspects(self, seed):
        """A tenth of all datagrams is lost for a minute. Each false suspicion takes a
        healthy node from its callers and moves homes for nothing.
        """
        group = Group(20, seed=seed, drop=0.1)
        group.run(60.0)
        assert group.false_suspicions() == 0


class TestPause:
    def test_thawed_node_blames_nobody(self):
        """A process is frozen for a minute while its pings are under way, and thawed.
        All its probes have run out on its own clock; were they believed, it would
        suspect everyone it watches and say so to all.
        """
        group = Group(12)
        group.run(3.0)
        group.cut = frozenset(["node-4"])
        group.run(0.7)
        group.stopped.add("node-4")
        group.cut = frozenset()
        group.run_until(lambda: group.all_hold("node-4", State.DEAD), 10.0)
        group.run(60.0)
        before = len(group.events["node-4"])
        group.stopped.clear()
        group.run_until(group.is_whole, 2.0)
        blamed = [
            event
            for event in group.events["node-4"][before:]
            if isinstance(event, MemberChanged)
        ]
        assert not blamed

    def test_suspected_node_refutes(self):
        """A process stands still just long enough to be suspected. It is back in the
        answers as soon as it speaks again, and never counted as dead.
        """
        group = Group(12)
        group.run(3.0)
        group.stopped.add("node-4")
        group.run_until(lambda: group.all_hold("node-4", State.SUSPECT), 4.0)
        group.stopped.clear()
        group.run_until(group.is_whole, 2.0)
        changes = [event for event in group.told(MemberChanged) if event.is_refuted]
        assert changes


class TestCut:
    def test_healed_partition_merges(self):
        """Regions lose each other for minutes, and each declares the other dead. If
        nobody spoke to the dead, the halves would stay apart for ever.
        """
        group = Group(12)
        group.run(3.0)
        group.cut = frozenset(f"node-{number}" for number in range(4))
        group.run(60.0)
        assert group.all_hold("node-0", State.ALIVE, State.DEAD)
        assert not group.is_whole()
        group.cut = frozenset()
        group.run_until(group.is_whole, 15.0)

    def test_others_word_that_all_are_dead_is_doubted(self):
        """A cut heals and one node of each side exchanges all it knows. Each side holds
        the other dead; were that believed, every node would leave its own neighbours
        out as dead until each had spoken up.
        """
        group = Group(12)
        group.run(3.0)
        group.cut = frozenset(f"node-{number}" for number in range(4))
        group.run(20.0)
        group.cut = frozenset()
        group.exchange(group.nodes["node-0"], group.nodes["node-5"])
        for number in (1, 2, 3):
            assert group.state_at("node-0", f"node-{number}") is State.SUSPECT
        group.run_until(group.is_whole, 15.0)

    def test_missed_news_is_mended_by_an_exchange(self):
        """A node misses a newcomer's news altogether. Nothing repeats it later, so it
        would never send callers there; the digests in its pings show the gap.
        """
        group = Group(8)
        group.run(3.0)
        group.cut = frozenset(["node-7"])
        newcomer = group.add(make_member(30))
        group.run(0.5)
        newcomer._known.news.__init__()
        for node in group.nodes.values():
            node._known.news.__init__()
        group.cut = frozenset()
        group.run_until(group.is_whole, 15.0)


class TestLeaving:
    def test_leaving_node_is_told_to_all_and_not_suspected(self):
        group = Group(12)
        group.run(3.0)
        group.nodes["node-2"].leave()
        group.run_until(lambda: group.all_hold("node-2", State.LEAVING), 1.0)
        group.run(5.0)
        assert group.all_hold("node-2", State.LEAVING)
        group.nodes["node-2"].depart()
        group._deliver()
        group.stopped.add("node-2")
        group.run_until(lambda: group.all_hold("node-2", State.DEAD), 1.0)

    def test_earliest_time_of_a_leaving_endpoint_wins(self):
        """Two sources tell different times for one endpoint, and the news cross. Were
        the later one kept anywhere, that node would go on giving it work.
        """
        group = Group(12, drop=0.1)
        group.run(2.0)
        now, wall = group.clock.monotonic(), group.clock.wall()
        group.nodes["node-1"].announce_leaving("engine-1", wall + 60.0, now, wall)
        group.nodes["node-9"].announce_leaving("engine-1", wall + 20.0, now, wall)
        group.run_until(
            lambda: all(
                node.endpoints == {"engine-1": wall + 20.0}
                for node in group.nodes.values()
            ),
            3.0,
        )
        assert group.told(EndpointLeaving)

    def test_clock_of_one_node_is_wrong(self):
        """One VM's clock is an hour ahead, another's an hour behind. Were times read
        as they stand, those two would send work to what is leaving, and nobody would
        believe what they say.
        """
        group = Group(12)
        group.offsets = {"node-1": 3_600.0, "node-2": -3_600.0}
        group.run(2.0)
        for name in ("node-1", "node-2", "node-3"):
            wall = group.wall_at(name)
            group.nodes[name].announce_leaving(
                f"engine of {name}", wall, group.clock.monotonic(), wall
            )
        group.run_until(
            lambda: all(len(node.endpoints) == 3 for node in group.nodes.values()), 2.0
        )
        group.run(30.0)
        assert all(len(node.endpoints) == 3 for node in group.nodes.values())
        assert not group.told(ExchangeWanted)

    def test_successor_under_the_same_name_leaves_too(self):
        """A VM goes, its successor takes over the name and goes as well. Were the
        first time kept as the earliest, nobody would hear of the second leaving.
        """
        group = Group(6)
        group.run(2.0)
        for seconds in (0.0, 300.0):
            group.run(seconds)
            now, wall = group.clock.monotonic(), group.clock.wall()
            group.nodes["node-1"].announce_leaving("engine-1", wall, now, wall)
            group.run(2.0)
        heard = [e.at for e in group.events["node-4"] if isinstance(e, EndpointLeaving)]
        assert len(heard) == 2
        assert set(group.nodes["node-3"].endpoints) == {"engine-1"}
        group.run(700.0)
        assert not any(node.endpoints for node in group.nodes.values())


class TestVersions:
    @pytest.mark.parametrize("seed", range(3))
    def test_version_reaches_all(self, seed):
        group = Group(30, seed=seed, drop=0.1)
        group.run(2.0)
        group.nodes["node-3"].announce_version(7, "root7")
        group.run_until(
            lambda: all(node.newest.version == 7 for node in group.nodes.values()), 2.0
        )
        heard = group.told(VersionHeard)
        assert all(event.root == "root7" for event in heard)
        assert {event.member.node for event in heard} == {"node-3"}

    def test_old_version_goes_nowhere(self):
        """A node that was frozen through three versions speaks of its old one. Were
        it taken for news, an accepted configuration would revert.
        """
        group = Group(6)
        group.run(2.0)
        group.stopped.add("node-2")
        group.nodes["node-2"].announce_version(4, "root4")
        group.nodes["node-1"].announce_version(9, "root9")
        group.run(2.0)
        group.stopped.clear()
        group.run(3.0)
        assert {node.newest.version for node in group.nodes.values()} == {9}
        assert {event.version for event in group.told(VersionHeard)} == {9}
        assert group.nodes["node-2"].newest.root == "root9"

    def test_thawed_node_hears_of_it(self):
        """The news has long been passed round when a frozen node thaws. The version in
        the head of every datagram shows that it lags.
        """
        group = Group(8)
        group.run(2.0)
        group.stopped.add("node-5")
        group.nodes["node-1"].announce_version(3, "root3")
        group.run(30.0)
        group.stopped.clear()
        group.run_until(lambda: group.nodes["node-5"].newest.version == 3, 2.0)


class TestBadInput:
    def test_one_bad_item_does_not_take_the_rest(self):
        """A peer of another release sends an item that this one can't read, or a time
        that is no number. The other items of the datagram still count.
        """
        group = Group(2)
        node = group.nodes["node-0"]
        wall = group.clock.wall()
        good = EndpointNews("engine-2", wall + 5.0)
        bad = [
            ["z", 1],
            ["e", "engine-1", float("nan")],
            ["c", "x" * 70, 1, 0],
            7,
            ["m", "node-9", 1, 0, "nowhere", "127.0.0.1:1", "", "", ""],
        ]
        items = [msgspec.Raw(msgspec.msgpack.encode(item)) for item in (*bad, good)]
        datagram = Datagram(
            kind=Kind.NEWS,
            sender="node-1",
            incarnation=1_000_000,
            sent_at=wall,
            items=items,
        )
        node.receive(datagram, make_member(1).peer, group.clock.time, wall)
        assert list(node.endpoints) == ["engine-2"]
        findings = [e for e in node.take_events() if isinstance(e, BadItem)]
        assert len(findings) == len(bad)

    def test_second_process_with_the_same_name_is_told_of(self):
        """Two VMs are given one name by mistake. They would refute each other for ever
        with nobody knowing why, so a finding says it.
        """
        group = Group(3)
        node = group.nodes["node-0"]
        datagram = Datagram(kind=Kind.PING, sender="node-0", incarnation=9)
        source = make_member(9).peer
        node.receive(datagram, source, group.clock.time, group.clock.wall())
        assert [e.problem for e in node.take_events() if isinstance(e, BadItem)] == [
            "own_name"
        ]

    def test_keys_rotate(self):
        """The key is replaced node by node. A node with only the new key still has to
        be understood by those that sign by the old one.
        """
        old, both = PeerKeys(keys=[b"old"]), PeerKeys(keys=[b"new", b"old"])
        assert both.open(old.seal(b"data")) == b"data"
        assert old.open(both.seal(b"data")) is None
        assert PeerKeys(keys=[b"new"]).open(both.seal(b"data")) == b"data"


class TestOnRealSockets:
    async def test_join_forged_datagrams_and_leave(self):
        """Three nodes on 127.0.0.1 meet over HTTP and UDP. Forged and torn datagrams
        are counted and change nothing, and a node that leaves is known to have left.
        """
        all_nodes, closers = [], []
        clock = SystemClock()
        for number in range(3):
            router = Router()
            server = HttpServer(handler=router)
            peer = await server.start(Address(host="127.0.0.1", port=0))
            client = HttpClient()
            metrics = Metrics(process=f"node-{number}")
            nodes = Nodes(
                me=make_member(number, peer=peer),
                keys=PeerKeys(keys=[b"key"]),
                client=client,
                clock=clock,
                metrics=metrics,
                rng=random.Random(number),
                seeds=[all_nodes[0].me.peer] if all_nodes else [],
            )
            nodes.add_routes(router)
            await nodes.start()
            all_nodes.append(nodes)
            closers += [server]
        first, second, third = all_nodes
        heard = asyncio.Event()
        third.on_version(lambda version, root, member: heard.set())

        async def until(condition):
            changed = asyncio.Event()
            for nodes in all_nodes:
                nodes.on_change(changed.set)
            while not condition():
                await changed.wait()
                changed.clear()

        await until(lambda: all(len(nodes.live()) == 3 for nodes in all_nodes))
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol,
            remote_addr=(first.me.peer.host, first.me.peer.port),
        )
        stranger = PeerKeys(keys=[b"other"])
        for data in (b"", b"junk" * 10, stranger.seal(b"x"), b"y" * 1_300):
            transport.sendto(data)
        second.announce_version(2, "root2")
        await heard.wait()
        await second.leave()
        await until(lambda: len(first.live()) == 2 and len(third.live()) == 2)
        transport.close()
        text = first._metrics.render()[0].decode()
        assert 'problem="signature"' in text
        assert 'problem="too_large"' in text
        for nodes, server in zip(all_nodes, closers, strict=True):
            await nodes.stop()
            await server.close()
