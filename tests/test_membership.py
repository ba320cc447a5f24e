"""Discovery, failure detection and gossip of nodes over simulated datagrams."""

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
    EndpointLeaving,
    ExchangeNeeded,
    MemberChanged,
    NewerVersion,
    UpdateRejected,
)
from celerytrail.nodes.member import State
from celerytrail.nodes.nodes import Nodes
from celerytrail.nodes.signing import PeerKeys
from celerytrail.nodes.wire import Datagram, EndpointUpdate, Kind
from celerytrail.types import Address


class TestJoining:
    def test_new_node_is_known_to_all_within_a_second(self):
        group = Group(12)
        group.run_until(group.all_alive, 3.0)
        group.add(make_member(50))
        group.run_until(group.all_alive, 1.0)

    def test_nodes_with_different_seeds_find_one_another(self):
        """Two groups start from seed lists that don't overlap, as when the VM list is
        empty. If they didn't merge, callers would only be sent within their group.
        """
        group = Group(4)
        second_group = Group(0)
        second_group.clock = group.clock
        for number in (10, 11, 12):
            second_group.add(make_member(number))
        for name, node in second_group.nodes.items():
            group.nodes[name] = node
            group.by_address[node.me.peer] = node
            group.events[name] = []
        group.nodes["node-10"].set_candidates([make_member(0).peer])
        group.run_until(group.all_alive, 20.0)

    def test_restart_with_the_clock_set_back(self):
        """A VM is replaced under the same name and its clock is behind, so the others
        hold a higher incarnation. Unless the new node refutes that, it stays dead.
        """
        group = Group(6)
        group.run(2.0)
        group.stopped.add("node-3")
        group.run_until(lambda: group.all_see("node-3", State.DEAD), 10.0)
        group.stopped.clear()
        group.add(make_member(3, incarnation=5))
        group.run_until(group.all_alive, 5.0)


class TestDetection:
    @pytest.mark.parametrize("seed", range(5))
    def test_killed_node_is_detected_by_all(self, seed):
        """A node is killed without announcing it. Until the others detect that, callers
        are sent to it and their connections time out.
        """
        group = Group(30, seed=seed)
        group.run(3.0)
        group.stopped.add("node-7")
        group.run_until(lambda: group.all_see("node-7", State.SUSPECT, State.DEAD), 3.0)
        group.run_until(lambda: group.all_see("node-7", State.DEAD), 6.0)

    @pytest.mark.parametrize("seed", [1, 70, 75])
    def test_whole_failure_domain_lost_at_once(self, seed):
        """A power failure stops a whole failure domain, including nodes that probed
        others in it, so the rings have to close over the gaps. Updates on ten lost
        nodes don't fit into one datagram, and a third of all updates is sent to lost
        nodes. A node that missed one must not send callers there until the next full
        exchange.
        """
        group = Group(30, seed=seed)
        group.run(3.0)
        lost = [name for name in group.nodes if int(name[5:]) % 3 == 0]
        group.stopped.update(lost)
        group.run_until(
            lambda: all(
                group.all_see(name, State.SUSPECT, State.DEAD) for name in lost
            ),
            8.0,
        )
        group.run(1.0)
        assert group.n_false_suspicions() == 0

    @pytest.mark.parametrize("seed", range(3))
    def test_packet_loss_causes_no_suspicions(self, seed):
        """A tenth of all datagrams is lost for a minute. Each false suspicion would
        take a healthy node out of service and move homes needlessly.
        """
        group = Group(20, seed=seed, drop_rate=0.1)
        group.run(60.0)
        assert group.n_false_suspicions() == 0


class TestPause:
    def test_resumed_node_suspects_nobody(self):
        """A process is frozen for a minute with pings pending, and resumed. All its
        probes have timed out on its own clock; if they counted, it would suspect every
        node that it probes and announce that to all.
        """
        group = Group(12)
        group.run(3.0)
        group.partition = frozenset(["node-4"])
        group.run(0.7)
        group.stopped.add("node-4")
        group.partition = frozenset()
        group.run_until(lambda: group.all_see("node-4", State.DEAD), 10.0)
        group.run(60.0)
        n_events_before = len(group.events["node-4"])
        group.stopped.clear()
        group.run_until(group.all_alive, 2.0)
        member_changes = [
            event
            for event in group.events["node-4"][n_events_before:]
            if isinstance(event, MemberChanged)
        ]
        assert not member_changes

    def test_suspected_node_refutes_the_suspicion(self):
        """A process is frozen just long enough to be suspected. It counts as alive
        again soon after it resumes, without being declared dead.
        """
        group = Group(12)
        group.run(3.0)
        group.stopped.add("node-4")
        group.run_until(lambda: group.all_see("node-4", State.SUSPECT), 4.0)
        group.stopped.clear()
        group.run_until(group.all_alive, 2.0)
        changes = [
            event for event in group.events_of(MemberChanged) if event.is_refuted
        ]
        assert changes


class TestPartition:
    def test_healed_partition_merges(self):
        """Regions are partitioned for a minute, and each declares the other dead. If no
        node pinged dead members, the two halves would never merge.
        """
        group = Group(12)
        group.run(3.0)
        group.partition = frozenset(f"node-{number}" for number in range(4))
        group.run(60.0)
        assert group.all_see("node-0", State.ALIVE, State.DEAD)
        assert not group.all_alive()
        group.partition = frozenset()
        group.run_until(group.all_alive, 15.0)

    def test_reported_deaths_count_as_suspicions(self):
        """A partition heals and one node of each side exchanges its full state. Each
        side holds the other dead; if that were accepted, every node would hold the
        nodes of its own side dead until each refuted it.
        """
        group = Group(12)
        group.run(3.0)
        group.partition = frozenset(f"node-{number}" for number in range(4))
        group.run(20.0)
        group.partition = frozenset()
        group.exchange(group.nodes["node-0"], group.nodes["node-5"])
        for number in (1, 2, 3):
            assert group.state_at("node-0", f"node-{number}") is State.SUSPECT
        group.run_until(group.all_alive, 15.0)

    def test_missed_update_is_repaired_by_an_exchange(self):
        """A node misses every copy of a new node's update. No later update repeats it,
        so it would never send callers there; the digests in its pings reveal that.
        """
        group = Group(8)
        group.run(3.0)
        group.partition = frozenset(["node-7"])
        new_node = group.add(make_member(30))
        group.run(0.5)
        new_node._state.queue.__init__()
        for node in group.nodes.values():
            node._state.queue.__init__()
        group.partition = frozenset()
        group.run_until(group.all_alive, 15.0)


class TestLeaving:
    def test_leaving_node_is_announced_and_not_suspected(self):
        group = Group(12)
        group.run(3.0)
        group.nodes["node-2"].leave()
        group.run_until(lambda: group.all_see("node-2", State.LEAVING), 1.0)
        group.run(5.0)
        assert group.all_see("node-2", State.LEAVING)
        group.nodes["node-2"].depart()
        group._deliver()
        group.stopped.add("node-2")
        group.run_until(lambda: group.all_see("node-2", State.DEAD), 1.0)

    def test_earliest_time_of_a_leaving_endpoint_wins(self):
        """Two sources announce different times for one endpoint at the same moment. A
        node that kept the later one would go on placing work there.
        """
        group = Group(12, drop_rate=0.1)
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
        assert group.events_of(EndpointLeaving)

    def test_clock_offset_does_not_hide_leaving_endpoints(self):
        """One VM's clock is an hour ahead, another's an hour behind. Without conversion
        of times those two would send work to leaving endpoints, and the others would
        drop their updates.
        """
        group = Group(12)
        group.wall_offsets = {"node-1": 3_600.0, "node-2": -3_600.0}
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
        assert not group.events_of(ExchangeNeeded)

    def test_successor_under_the_same_name_leaves_too(self):
        """A VM leaves, its successor takes over the name and leaves as well. If the
        first time were kept as the earliest, the second one would not be announced.
        """
        group = Group(6)
        group.run(2.0)
        for seconds in (0.0, 300.0):
            group.run(seconds)
            now, wall = group.clock.monotonic(), group.clock.wall()
            group.nodes["node-1"].announce_leaving("engine-1", wall, now, wall)
            group.run(2.0)
        leaving_times = [
            e.at for e in group.events["node-4"] if isinstance(e, EndpointLeaving)
        ]
        assert len(leaving_times) == 2
        assert set(group.nodes["node-3"].endpoints) == {"engine-1"}
        group.run(700.0)
        assert not any(node.endpoints for node in group.nodes.values())


class TestVersions:
    @pytest.mark.parametrize("seed", range(3))
    def test_version_reaches_all(self, seed):
        group = Group(30, seed=seed, drop_rate=0.1)
        group.run(2.0)
        group.nodes["node-3"].announce_version(7, "root7")
        group.run_until(
            lambda: all(node.newest.version == 7 for node in group.nodes.values()), 2.0
        )
        events = group.events_of(NewerVersion)
        assert all(event.root == "root7" for event in events)
        assert {event.member.node for event in events} == {"node-3"}

    def test_old_version_is_not_spread(self):
        """A node that was frozen during newer versions announces its old one. If the
        others took it up, an accepted configuration would be reverted.
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
        assert {event.version for event in group.events_of(NewerVersion)} == {9}
        assert group.nodes["node-2"].newest.root == "root9"

    def test_resumed_node_receives_the_version(self):
        """The update is no longer sent when a frozen node resumes. The newest version
        in the header of each of its datagrams shows that the node lags.
        """
        group = Group(8)
        group.run(2.0)
        group.stopped.add("node-5")
        group.nodes["node-1"].announce_version(3, "root3")
        group.run(30.0)
        group.stopped.clear()
        group.run_until(lambda: group.nodes["node-5"].newest.version == 3, 2.0)


class TestBadInput:
    def test_rejected_updates_do_not_affect_the_others(self):
        """A peer of another release sends updates that can't be decoded, among them a
        time of NaN. The other updates of the datagram are still applied.
        """
        group = Group(2)
        node = group.nodes["node-0"]
        wall = group.clock.wall()
        good = EndpointUpdate("engine-2", wall + 5.0)
        bad = [
            ["z", 1],
            ["e", "engine-1", float("nan")],
            ["c", "x" * 70, 1, 0],
            7,
            ["m", "node-9", 1, 0, "nowhere", "127.0.0.1:1", "", "", ""],
        ]
        items = [msgspec.Raw(msgspec.msgpack.encode(item)) for item in (*bad, good)]
        datagram = Datagram(
            kind=Kind.UPDATE,
            sender="node-1",
            incarnation=1_000_000,
            sent_at=wall,
            items=items,
        )
        node.receive(datagram, make_member(1).peer, group.clock.time, wall)
        assert list(node.endpoints) == ["engine-2"]
        findings = [e for e in node.take_events() if isinstance(e, UpdateRejected)]
        assert len(findings) == len(bad)

    def test_second_process_with_the_same_name_is_reported(self):
        """Two VMs have the same name by mistake. They would refute each other forever,
        so a finding names the cause.
        """
        group = Group(3)
        node = group.nodes["node-0"]
        datagram = Datagram(kind=Kind.PING, sender="node-0", incarnation=9)
        source = make_member(9).peer
        node.receive(datagram, source, group.clock.time, group.clock.wall())
        assert [
            e.problem for e in node.take_events() if isinstance(e, UpdateRejected)
        ] == ["own_name"]

    def test_keys_rotate(self):
        """The key is replaced node by node. A node that accepts both keys reads what
        is signed with the old one, and signs with the new one.
        """
        old, both = PeerKeys(keys=[b"old"]), PeerKeys(keys=[b"new", b"old"])
        assert both.open(old.seal(b"data")) == b"data"
        assert old.open(both.seal(b"data")) is None
        assert PeerKeys(keys=[b"new"]).open(both.seal(b"data")) == b"data"


class TestOnRealSockets:
    async def test_join_forged_datagrams_and_leave(self):
        """Three nodes on 127.0.0.1 join over HTTP and UDP. Forged and malformed
        datagrams are counted and ignored, and a leaving node is no longer live.
        """
        all_nodes, servers = [], []
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
            servers += [server]
        first, second, third = all_nodes
        is_announced = asyncio.Event()
        third.on_version(lambda version, root, member: is_announced.set())

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
        forger_keys = PeerKeys(keys=[b"other"])
        for data in (b"", b"junk" * 10, forger_keys.seal(b"x"), b"y" * 1_300):
            transport.sendto(data)
        second.announce_version(2, "root2")
        await is_announced.wait()
        await second.leave()
        await until(lambda: len(first.live()) == 2 and len(third.live()) == 2)
        transport.close()
        text = first._metrics.render()[0].decode()
        assert 'problem="signature"' in text
        assert 'problem="too_large"' in text
        for nodes, server in zip(all_nodes, servers, strict=True):
            await nodes.stop()
            await server.close()
