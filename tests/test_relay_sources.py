"""Nodes that follow the platform's tables for one another, in virtual time."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from celerytrail.relay import sharedrows
from tests.sourcesrig import CONFIG_SECONDS, N_NODES, Fleet, play


@pytest.mark.parametrize("seed", [1, 2, 3])
class TestReaderTurnedAway:
    """The store turns some VMs away and serves the others, for eight seconds."""

    def test_no_node_stops_serving_as_the_reader_is_turned_away(self, seed: int):
        """One node follows the store for all; the store refuses just that one. The
        others waited for it until no time was left to ask the store themselves, and
        took the store for lost. Seconds later no node knew its keys any more, and
        every caller was refused with a sound store and free engines.
        """

        async def work(fleet: Fleet) -> None:
            fleet.gates[fleet.reader].is_shut = True
            assert await fleet.unready_seconds(8.0) == 0.0

        play(seed, work)

    def test_no_node_stops_serving_as_many_are_turned_away(self, seed: int):
        """The reader and two more are refused. They have to hear of keys from nodes
        that reach the store; callers of all eight are served on.
        """

        async def work(fleet: Fleet) -> None:
            reader = fleet.reader
            for step in range(3):
                fleet.gates[(reader + step) % N_NODES].is_shut = True
            assert await fleet.unready_seconds(8.0) == 0.0

        play(seed, work)

    def test_the_others_do_not_all_turn_to_the_store(self, seed: int):
        """Each call to the store costs, and all nodes together may make a bounded
        number. Did every node follow the store itself while its reader can't, the
        calls of a hundred nodes would be refused, and none would hear anything.
        """

        async def work(fleet: Fleet) -> None:
            fleet.gates[fleet.reader].is_shut = True
            await asyncio.sleep(4.0)
            before = [gate.n_calls for gate in fleet.gates]
            await asyncio.sleep(4.0)
            n_calls = [
                gate.n_calls - n for gate, n in zip(fleet.gates, before, strict=True)
            ]
            assert sum(n > 8 for n in n_calls) <= 2

        play(seed, work)


class TestRelayedWord:
    """More nodes than one reader serves, and a short bound on the configuration."""

    def test_no_reader_falls_behind_by_the_waits_of_those_it_follows(self):
        """Word over two nodes was up to three waits old, more than half of the bound.
        Followers passed their readers over and asked others and the store by turns.
        """
        n_nodes = 36

        async def work(fleet: Fleet) -> None:
            await asyncio.sleep(2.0)
            before = [gate.n_calls for gate in fleet.gates]
            await asyncio.sleep(6.0)
            n_calls = [
                gate.n_calls - n for gate, n in zip(fleet.gates, before, strict=True)
            ]
            assert sum(n > 0 for n in n_calls) == 1

        play(1, work, n_nodes)


class TestMassStart:
    """All nodes start in the same second, as after a loss of all VMs."""

    def test_a_node_asks_the_store_a_bounded_number_of_times_until_it_finds_others(
        self,
    ):
        """Until it knows the others each node follows the store itself, where every
        heartbeat of an endpoint is an answer. Hundreds of them made more calls in the
        second of their return than in the minute after it.
        """
        n_nodes = 40

        async def work(fleet: Fleet) -> None:
            rows = asyncio.ensure_future(heartbeats(fleet))
            await fleet.restart()
            await asyncio.sleep(3.0)
            assert all(node.is_ready for node in fleet.nodes)
            n_calls = sum(gate.n_calls for gate in fleet.gates)
            assert n_calls <= 5 * n_nodes + 3.0 * 15
            rows.cancel()

        play(1, work, n_nodes)

    def test_a_node_joins_the_others_before_it_serves(self):
        """A node that starts serves nobody yet. It looked for others only where it was
        the one node that serves, so it never did, and found them a second later.
        """

        async def work(fleet: Fleet) -> None:
            await fleet.add()
            await asyncio.sleep(0.1)
            assert len(fleet.nodes[-1].nodes.members()) == len(fleet.nodes)

        play(1, work)


async def heartbeats(fleet: Fleet) -> None:
    """Let 35 endpoints write their rows again and again."""
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
class TestStoreAway:
    """The store is away for all nodes, and comes back."""

    def test_it_is_heard_again_soon_after_its_return(self, n_nodes: int):
        """A node that passes the store over since it failed, and has few or no others
        to ask, must ask it all the same. Its callers would be refused for seconds
        after the store is back.
        """

        async def work(fleet: Fleet) -> None:
            for gate in fleet.gates:
                gate.is_shut = True
            await asyncio.sleep(6.0)
            assert not any(node.is_ready for node in fleet.nodes)
            for gate in fleet.gates:
                gate.is_shut = False
            await asyncio.sleep(1.5)
            assert all(node.is_ready for node in fleet.nodes)

        play(1, work, n_nodes)


@pytest.mark.parametrize("seed", [1, 2])
class TestManyReaders:
    """More nodes than one reader can serve; here each reader serves two of eight."""

    @pytest.fixture(autouse=True)
    def few_nodes_per_reader(self, monkeypatch):
        monkeypatch.setattr(sharedrows, "NODES_PER_READER", 2)

    def test_calls_to_the_store_do_not_grow_with_the_readers(self, seed: int):
        """Each reader for 32 nodes asked the store itself: a fleet of hundreds made
        thousands of calls in a calm minute, most of them for heartbeats.
        """

        async def work(fleet: Fleet) -> None:
            assert sum(node.shared.is_reader for node in fleet.nodes) == 4
            before = [gate.n_calls for gate in fleet.gates]
            assert await fleet.unready_seconds(4.0) == 0.0
            n_calls = [
                gate.n_calls - n for gate, n in zip(fleet.gates, before, strict=True)
            ]
            assert sum(n > 0 for n in n_calls) <= 1

        play(seed, work)

    def test_no_node_stops_serving_as_the_first_two_in_rank_are_turned_away(
        self, seed: int
    ):
        """The node that follows the store for all loses it, and so has the next one.
        Another has to take their place before keys are too old to be used.
        """

        async def work(fleet: Fleet) -> None:
            for number in fleet.ranked[:2]:
                fleet.gates[number].is_shut = True
            assert await fleet.unready_seconds(8.0) == 0.0

        play(seed, work)

    def test_a_change_is_in_force_everywhere_within_the_bound(self, seed: int):
        """Word goes over two nodes to most others. Were the waits of each added up, a
        node would deny a route that callers were told of two seconds ago.
        """

        async def work(fleet: Fleet) -> None:
            for step in range(4):
                fleet.change(f"added{step}")
                await asyncio.sleep(CONFIG_SECONDS)
                versions = {node.configs.cfg.version for node in fleet.nodes}
                assert versions == {fleet.version}

        play(seed, work)

    def test_a_frozen_store_reader_makes_no_change_late(self, seed: int):
        """The node that follows the store for all stands still without a word while
        the operator changes the configuration.
        """

        async def work(fleet: Fleet) -> None:
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

        play(seed, work)

    def test_nodes_follow_a_reader_of_their_own_failure_domain(self, seed: int):
        """Each node asks thrice a second; from other domains that is half of all bytes
        that a calm fleet sends between them.
        """

        async def work(fleet: Fleet) -> None:
            domains = {node.node_id: node.cfg.failure_domain for node in fleet.nodes}
            readers = [node for node in fleet.nodes if node.shared.is_reader]
            led = {node.cfg.failure_domain for node in readers}
            followers = [node for node in fleet.nodes if node not in readers]
            for node in followers:
                await asyncio.sleep(1.0)
                source = node._freshness.source
                if node.cfg.failure_domain in led:
                    assert domains[source] == node.cfg.failure_domain

        play(seed, work)
