"""Nodes that follow the platform's tables through readers, in virtual time."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from celerytrail.relay import rowsources
from tests.sourcesrig import CONFIG_SECONDS, N_NODES, Fleet, run_fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
class TestReaderRefused:
    """The store refuses the calls of some VMs for eight seconds, and serves others."""

    def test_no_node_stops_serving_when_the_reader_is_refused(self, seed: int):
        """The store refuses only the reader. The other nodes used to wait for it until
        no time was left to call the store themselves, and treated the store as failed.
        Seconds later their keys were too old, and every caller was refused although
        the store was healthy and engines were free.
        """

        async def steps(fleet: Fleet) -> None:
            fleet.gates[fleet.reader].is_refusing = True
            assert await fleet.unready_seconds(8.0) == 0.0

        run_fleet(seed, steps)

    def test_no_node_stops_serving_when_several_are_refused(self, seed: int):
        """The store refuses the reader and two more nodes. They have to get the keys
        from nodes that reach the store, so that all eight go on serving.
        """

        async def steps(fleet: Fleet) -> None:
            reader = fleet.reader
            for step in range(3):
                fleet.gates[(reader + step) % N_NODES].is_refusing = True
            assert await fleet.unready_seconds(8.0) == 0.0

        run_fleet(seed, steps)

    def test_at_most_two_nodes_turn_to_the_store(self, seed: int):
        """All nodes together may make a bounded number of calls to the store. If every
        node followed the store while the reader can't, the calls of a hundred nodes
        would be refused, and none would get any rows.
        """

        async def steps(fleet: Fleet) -> None:
            fleet.gates[fleet.reader].is_refusing = True
            await asyncio.sleep(4.0)
            before = [gate.n_calls for gate in fleet.gates]
            await asyncio.sleep(4.0)
            n_calls = [
                gate.n_calls - n for gate, n in zip(fleet.gates, before, strict=True)
            ]
            assert sum(n > 8 for n in n_calls) <= 2

        run_fleet(seed, steps)


class TestRelayedRows:
    """More nodes than one reader serves, and a short bound on the configuration."""

    def test_only_one_node_calls_the_store(self):
        """Rows that came over two nodes were up to three waits old, more than half of
        the bound. Followers then avoided their readers and tried other nodes and the
        store in turn.
        """
        n_nodes = 36

        async def steps(fleet: Fleet) -> None:
            await asyncio.sleep(2.0)
            before = [gate.n_calls for gate in fleet.gates]
            await asyncio.sleep(6.0)
            n_calls = [
                gate.n_calls - n for gate, n in zip(fleet.gates, before, strict=True)
            ]
            assert sum(n > 0 for n in n_calls) == 1

        run_fleet(1, steps, n_nodes)


class TestMassStart:
    """All nodes start in the same second, as after a loss of all VMs."""

    def test_calls_to_the_store_are_bounded_until_nodes_find_others(self):
        """Until it knows other nodes, each node follows the store itself, which answers
        at every heartbeat of an endpoint. Hundreds of nodes made more calls in their
        first second than in the minute after it.
        """
        n_nodes = 40

        async def steps(fleet: Fleet) -> None:
            rows = asyncio.ensure_future(heartbeats(fleet))
            await fleet.restart()
            await asyncio.sleep(3.0)
            assert all(node.is_ready for node in fleet.nodes)
            n_calls = sum(gate.n_calls for gate in fleet.gates)
            assert n_calls <= 5 * n_nodes + 3.0 * 15
            rows.cancel()

        run_fleet(1, steps, n_nodes)

    def test_a_node_joins_the_others_before_it_serves(self):
        """A node that starts doesn't serve yet. It used to search for others only if it
        was the only serving node, so it found them a second late.
        """

        async def steps(fleet: Fleet) -> None:
            await fleet.add()
            await asyncio.sleep(0.1)
            assert len(fleet.nodes[-1].nodes.members()) == len(fleet.nodes)

        run_fleet(1, steps)


async def heartbeats(fleet: Fleet) -> None:
    """Let 35 endpoints rewrite their rows repeatedly."""
    for sequence in itertools.count():
        for number in range(35):
            row = {
                "service": "desk",
                "address": f"10.9.0.{number + 1}:80",
                "zone": "a",
                "version": "1",
                "slots": 6,
                "state": "ready",
                "cold-remaining-ms": 0,
                "sequence": sequence,
                "born": 1,
            }
            fleet.store.put("servers", f"e{number}", row)
            await asyncio.sleep(1.2 / 35)


@pytest.mark.parametrize("n_nodes", [1, 2, 3, 8])
class TestStoreOutage:
    """The store refuses all nodes for a while."""

    def test_nodes_are_ready_soon_after_its_end(self, n_nodes: int):
        """A node that avoids the failed store and has few or no other sources must try
        the store anyway. Otherwise it would refuse callers for seconds after the
        store's return.
        """

        async def steps(fleet: Fleet) -> None:
            for gate in fleet.gates:
                gate.is_refusing = True
            await asyncio.sleep(6.0)
            assert not any(node.is_ready for node in fleet.nodes)
            for gate in fleet.gates:
                gate.is_refusing = False
            await asyncio.sleep(1.5)
            assert all(node.is_ready for node in fleet.nodes)

        run_fleet(1, steps, n_nodes)


@pytest.mark.parametrize("seed", [1, 2])
class TestManyReaders:
    """More nodes than one reader can serve; here each reader serves two of eight."""

    @pytest.fixture(autouse=True)
    def few_nodes_per_reader(self, monkeypatch):
        monkeypatch.setattr(rowsources, "NODES_PER_READER", 2)

    def test_calls_to_the_store_do_not_grow_with_the_readers(self, seed: int):
        """When every reader followed the store itself, hundreds of nodes made thousands
        of calls in a minute without load, most of them for heartbeats.
        """

        async def steps(fleet: Fleet) -> None:
            assert sum(node.shared_rows.sources.is_reader for node in fleet.nodes) == 4
            before = [gate.n_calls for gate in fleet.gates]
            assert await fleet.unready_seconds(4.0) == 0.0
            n_calls = [
                gate.n_calls - n for gate, n in zip(fleet.gates, before, strict=True)
            ]
            assert sum(n > 0 for n in n_calls) <= 1

        run_fleet(seed, steps)

    def test_no_node_stops_serving_when_the_first_two_in_rank_are_refused(
        self, seed: int
    ):
        """The reader of the store and the node next in rank are refused. Another node
        has to replace them before the keys are too old to be used.
        """

        async def steps(fleet: Fleet) -> None:
            for number in fleet.ranked[:2]:
                fleet.gates[number].is_refusing = True
            assert await fleet.unready_seconds(8.0) == 0.0

        run_fleet(seed, steps)

    def test_a_change_is_in_force_everywhere_within_the_bound(self, seed: int):
        """Rows reach most nodes over two others. If the waits of each added up, a node
        would deny a route that the operator announced two seconds ago.
        """

        async def steps(fleet: Fleet) -> None:
            for step in range(4):
                fleet.change(f"added{step}")
                await asyncio.sleep(CONFIG_SECONDS)
                versions = {node.configs.cfg.version for node in fleet.nodes}
                assert versions == {fleet.version}

        run_fleet(seed, steps)

    def test_a_frozen_store_reader_delays_no_change(self, seed: int):
        """The store's reader freezes while the operator changes the configuration."""

        async def steps(fleet: Fleet) -> None:
            frozen = fleet.ranked[0]
            fleet.freeze(frozen)
            for step in range(3):
                fleet.change(f"added{step}")
                await asyncio.sleep(CONFIG_SECONDS)
                versions = {
                    node.configs.cfg.version
                    for number, node in enumerate(fleet.nodes)
                    if number != frozen
                }
                assert versions == {fleet.version}

        run_fleet(seed, steps)

    def test_nodes_follow_a_reader_of_their_own_failure_domain(self, seed: int):
        """Each node sends three requests a second. If these went to other domains, they
        would be half of all bytes that an idle fleet sends between domains.
        """

        async def steps(fleet: Fleet) -> None:
            domains = {node.node_id: node.cfg.failure_domain for node in fleet.nodes}
            readers = [
                node for node in fleet.nodes if node.shared_rows.sources.is_reader
            ]
            reader_domains = {node.cfg.failure_domain for node in readers}
            followers = [node for node in fleet.nodes if node not in readers]
            for node in followers:
                await asyncio.sleep(1.0)
                source = node._freshness.source
                if node.cfg.failure_domain in reader_domains:
                    assert domains[source] == node.cfg.failure_domain

        run_fleet(seed, steps)
