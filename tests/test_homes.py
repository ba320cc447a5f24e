"""Pool homes and the admitter that asks them, over a network in memory."""

from __future__ import annotations

import asyncio
import random

import pytest
from homesrig import (
    N_MEMORY_TOKENS,
    POOL,
    FakeNodes,
    engine_spec,
    with_rig,
)
from result import Ok

from celerytrail.clock import LoopClock
from celerytrail.configuration.document import Document
from celerytrail.nodes.member import Member
from celerytrail.nodes.pools import MAX_POOL_ENGINES, pools_of
from celerytrail.nodes.rendezvous import Homes, rank
from celerytrail.nodes.signing import PeerKeys
from celerytrail.nodes.view import ranked
from celerytrail.types import Address


class TestHomes:
    def test_kept_homes_are_those_of_the_whole_ranking_as_nodes_come_and_go(self):
        """Homes are mended for the nodes that changed. A home that another node also
        takes for its own has its engine asked twice, one that none takes not at all.
        """
        rng = random.Random(5)
        homes, keys = Homes(), [f"e{number}" for number in range(40)]
        names: set[str] = set()
        for _ in range(60):
            names ^= set(rng.sample([f"n{number}" for number in range(30)], 3))
            homes.set_nodes(names)
            homes.keep(keys)
            for key in keys:
                assert homes.home(key) == (rank(key, names) or [None])[0]


class TestPools:
    def test_large_pool_is_split_and_each_engine_is_in_one(self):
        engines = tuple(engine_spec(number) for number in range(100))
        pools = pools_of(Document(engines=engines))
        names = [engine.name for pool in pools.values() for engine in pool.engines]
        assert sorted(names) == sorted(engine.name for engine in engines)
        assert all(len(pool.engines) <= MAX_POOL_ENGINES for pool in pools.values())

    def test_lost_node_moves_only_its_own_keys(self):
        """A node dies. Were other pools moved too, each death would make many homes
        learn their engines anew at once.
        """
        names = [f"n{number}" for number in range(20)]
        for number in range(200):
            key = f"pool-{number}"
            order = rank(key, names)
            assert rank(key, [name for name in names if name != "n7"]) == [
                name for name in order if name != "n7"
            ]


@pytest.mark.looptime
class TestAdmission:
    @with_rig
    async def test_grant_comes_from_the_home(self, rig):
        for peer in rig.peers.values():
            answer = await peer.admitter.admit(rig.request(f"q-{peer.name}"))
            assert answer.ok_value.home == rig.first.name

    @with_rig
    async def test_entry_node_learns_lengths_from_what_homes_granted(self, rig):
        """All homes are lost and an entry node chooses alone. Without lengths learned
        while homes granted, it would take every draft for one of usual length.
        """
        before = rig.entry.lengths.expected_residual("llm", "org", 0)
        for number in range(400):
            req = rig.request(f"q-{number}")
            grant = (await rig.entry.admitter.admit(req)).ok_value
            rig.entry.admitter.finish(grant, 1 + number % 8, "answered")
        assert rig.entry.lengths.expected_residual("llm", "org", 0) < before / 4

    @with_rig
    async def test_refused_at_the_queue_deadline(self, rig):
        """All engines are full. The caller is told so when its time in the queue is
        over, and when to come back, not later.
        """
        rig.fill_engines()
        await asyncio.sleep(1.0)
        started_at = rig.clock.monotonic()
        answer = await rig.entry.admitter.admit(rig.request(seconds=2.0))
        assert answer.err_value.retry_after is not None
        assert rig.clock.monotonic() - started_at < 2.3

    @with_rig
    async def test_clock_of_the_home_is_ahead(self, rig):
        """One VM's clock is an hour wrong. Were deadlines held against it, its home
        would refuse every request as late.
        """
        peer_clock = LoopClock(wall_offset=rig.clock.wall_offset + 3600.0)
        rig.first.homes._clock = peer_clock
        answer = await rig.entry.admitter.admit(rig.request())
        assert answer.ok_value.home == rig.first.name


@pytest.mark.looptime
class TestLostHome:
    @with_rig
    async def test_killed_home(self, rig):
        """The home dies with the request in its queue. The entry node asks the next
        in rank under the same id, and the caller only waits a little longer.
        """
        rig.fill_engines()
        await asyncio.sleep(1.0)
        task = asyncio.create_task(rig.entry.admitter.admit(rig.request()))
        await asyncio.sleep(0.5)
        rig.wires.kill(rig.first.name)
        for peer in (rig.entry, rig.second):
            peer.nodes.lose(rig.first.name)
        rig.engines.used_tokens.clear()
        answer = await task
        assert answer.ok_value.home == rig.second.name

    @with_rig
    async def test_frozen_home(self, rig):
        """The home freezes and closes no connection. Were it waited for, the request
        would be refused at its deadline with engines standing free.
        """
        rig.fill_engines()
        await asyncio.sleep(1.0)
        started_at = rig.clock.monotonic()
        task = asyncio.create_task(rig.entry.admitter.admit(rig.request()))
        await asyncio.sleep(0.5)
        rig.wires.freeze(rig.first.name)
        rig.engines.used_tokens.clear()
        rig.entry.nodes.lose(rig.first.name)
        answer = await task
        assert answer.ok_value.home == rig.second.name
        assert rig.clock.monotonic() - started_at < 3.0

    @with_rig
    async def test_entry_node_notices_before_the_second(self, rig):
        """The entry node has lost the home, the second in rank still believes in it.
        Were it to refuse, nobody would be home until all agree.
        """
        rig.wires.kill(rig.first.name)
        rig.entry.nodes.lose(rig.first.name)
        answer = await rig.entry.admitter.admit(rig.request())
        assert answer.ok_value.home == rig.second.name

    @with_rig
    async def test_nobody_reachable(self, rig):
        """The entry node is cut off from all others but not from the engines. It
        chooses by itself rather than refuse.
        """
        rig.wires.kill(rig.first.name)
        rig.wires.kill(rig.second.name)
        own = rig.entry.homes
        own.home_for = lambda pool: None
        answer = await rig.entry.admitter.admit(rig.request())
        assert answer.ok_value.home == ""
        assert answer.ok_value.engine in ("engine-1", "engine-2")

    @with_rig
    async def test_new_home_learns_what_runs(self, rig):
        """The home is replaced while a draft runs. Until the new one knows of it, it
        would give the draft's memory away a second time.
        """
        answer = await rig.entry.admitter.admit(rig.request())
        grant = answer.ok_value
        rig.wires.kill(rig.first.name)
        for peer in (rig.entry, rig.second):
            peer.nodes.lose(rig.first.name)
        for n_tokens in range(10, 50, 10):
            rig.entry.admitter.progress(grant, n_tokens)
            await asyncio.sleep(0.3)
        assert rig.scheduler(rig.second).n_live == 1
        rig.entry.admitter.finish(grant, 50, "answered")
        await asyncio.sleep(0.3)
        assert rig.scheduler(rig.second).n_live == 0

    @with_rig
    async def test_new_home_learns_of_a_draft_that_stands_still(self, rig):
        """The home is replaced while a draft waits for memory and produces nothing.
        Its memory is taken all the same, so the new home has to hear of it.
        """
        answer = await rig.entry.admitter.admit(rig.request())
        rig.entry.admitter.progress(answer.ok_value, 40)
        await asyncio.sleep(1.5)
        rig.wires.kill(rig.first.name)
        for peer in (rig.entry, rig.second):
            peer.nodes.lose(rig.first.name)
        await asyncio.sleep(1.5)
        assert rig.scheduler(rig.second).n_live == 1

    @with_rig
    async def test_end_that_the_home_did_not_hear(self, rig):
        """A draft ends while the home refuses connections for a few seconds. The end is
        told again; were it lost, its memory would stand empty for half a minute.
        """
        answer = await rig.entry.admitter.admit(rig.request())
        rig.wires.kill(rig.first.name)
        rig.entry.admitter.finish(answer.ok_value, 40, "answered")
        await asyncio.sleep(3.0)
        assert rig.scheduler(rig.first).n_live == 1
        await rig.first.server.close()
        rig.first.network = rig.wires.process(rig.first.name)
        rig.first.server._network = rig.first.network
        await rig.first.server.start(rig.first.nodes.me.peer)
        await asyncio.sleep(2.0)
        assert rig.scheduler(rig.first).n_live == 0

    @with_rig
    async def test_home_that_leaves_sends_its_queue_on(self, rig):
        """The home is stopped gracefully with requests in its queue. They move to the
        next home at once and none of them is refused.
        """
        rig.fill_engines()
        await asyncio.sleep(1.0)
        task = asyncio.create_task(rig.entry.admitter.admit(rig.request()))
        await asyncio.sleep(0.5)
        # The entry node has not heard of it yet.
        for peer in (rig.first, rig.second):
            peer.nodes.lose(rig.first.name)
        await asyncio.sleep(0.1)
        assert rig.scheduler(rig.first).n_waiting == 0
        rig.engines.used_tokens.clear()
        assert (await task).ok_value.home == rig.second.name

    @with_rig
    async def test_two_homes_over_admit_a_little_only(self, rig):
        """Entry nodes disagree on who is home, so two grant the same engines. Each
        sees the other's generations in the engines' reports and counts them.
        """
        rig.entry.nodes.lose(rig.first.name)
        n_granted = 0
        for number in range(400):
            peer = (rig.entry, rig.first)[number % 2]
            req = rig.request(
                f"q{number}", seconds=0.3, n_prompt_tokens=400, n_max_tokens=100
            )
            answer = await peer.admitter.admit(req)
            if isinstance(answer, Ok):
                n_granted += 1
                engine = answer.ok_value.engine
                rig.engines.used_tokens[engine] = (
                    rig.engines.used_tokens.get(engine, 0) + 450
                )
                running = rig.engines.running.setdefault(engine, [])
                running.append((answer.ok_value.grant_id, 50))
            await asyncio.sleep(0.05)
        assert max(rig.engines.used_tokens.values()) <= 1.2 * N_MEMORY_TOKENS
        assert n_granted >= 20


@pytest.mark.looptime
class TestProgress:
    @with_rig
    async def test_progress_takes_few_messages(self, rig):
        """A hundred streams run through a node. Were each told at every batch, their
        progress alone would take more bytes than the node has for control.
        """
        bodies = []
        home = rig.first.homes._homes[POOL]
        apply_batch = home.apply_batch
        home.apply_batch = lambda body: bodies.append(body) or apply_batch(body)
        answer = await rig.entry.admitter.admit(rig.request(n_max_tokens=1_000))
        for n_tokens in range(1, 440):
            rig.entry.admitter.progress(answer.ok_value, n_tokens)
            await asyncio.sleep(0.03)
        rig.entry.admitter.finish(answer.ok_value, 440, "answered")
        await asyncio.sleep(0.5)
        assert sum(len(body.progress) for body in bodies) <= 12
        assert rig.scheduler(rig.first).n_live == 0


@pytest.mark.looptime
class TestCancel:
    @with_rig
    async def test_caller_leaves_the_queue(self, rig):
        """A caller gives up while it waits. Its place in the queue goes, or engines
        would be granted to people who have left.
        """
        rig.fill_engines()
        await asyncio.sleep(1.0)
        task = asyncio.create_task(rig.entry.admitter.admit(rig.request()))
        await asyncio.sleep(0.5)
        assert rig.scheduler(rig.first).n_waiting == 1
        task.cancel()
        await asyncio.sleep(0.5)
        assert rig.scheduler(rig.first).n_waiting == 0

    @with_rig
    async def test_caller_leaves_behind_a_stalled_link(self, rig):
        """The caller gives up while the link to the home stalls, so the home sees no
        close. When the link is back it is told by the next batch.
        """
        rig.fill_engines()
        await asyncio.sleep(1.0)
        task = asyncio.create_task(rig.entry.admitter.admit(rig.request()))
        await asyncio.sleep(0.5)
        rig.wires.cut(rig.entry.name, rig.first.name)
        task.cancel()
        await asyncio.sleep(0.1)
        rig.wires.heal()
        await asyncio.sleep(1.0)
        assert rig.scheduler(rig.first).n_waiting == 0

    @with_rig
    async def test_caller_leaves_as_the_grant_comes(self, rig):
        """The grant and the caller's leaving cross. Nobody would use the grant, and
        its memory would stand empty for half a minute.
        """
        rig.wires.cut(rig.first.name, rig.entry.name)
        task = asyncio.create_task(rig.entry.admitter.admit(rig.request()))
        await asyncio.sleep(0.5)
        assert rig.scheduler(rig.first).n_live == 1
        task.cancel()
        await asyncio.sleep(0.5)
        rig.wires.heal()
        await asyncio.sleep(1.0)
        assert rig.scheduler(rig.first).n_live == 0

    @with_rig
    async def test_entry_node_is_killed(self, rig):
        """The node that holds the caller dies. Nobody tells the home, which must not
        keep the place in its queue for a caller that is gone.
        """
        rig.fill_engines()
        await asyncio.sleep(1.0)
        task = asyncio.create_task(rig.entry.admitter.admit(rig.request()))
        await asyncio.sleep(0.5)
        assert rig.scheduler(rig.first).n_waiting == 1
        # A dead process sends no more batches.
        rig.entry.admitter._batches.cancel = lambda pool, home, request_id: None
        rig.wires.kill(rig.entry.name)
        await asyncio.sleep(0.5)
        assert rig.scheduler(rig.first).n_waiting == 0
        task.cancel()


@pytest.mark.looptime
class TestLeavingEngine:
    @with_rig
    async def test_home_has_not_heard_yet(self, rig):
        """The entry node knows that an engine leaves, the home doesn't. The entry node
        gives such a grant back and asks for another.
        """
        rig.entry.leaving.add("engine-1")
        for number in range(6):
            answer = await rig.entry.admitter.admit(rig.request(f"q{number}"))
            assert answer.ok_value.engine == "engine-2"

    @with_rig
    async def test_home_hears_it_from_the_engine(self, rig):
        rig.engines.leaving["engine-2"] = rig.clock.wall() + 60.0
        await asyncio.sleep(1.5)
        assert "engine-2" in rig.first.reported_leaving
        for number in range(6):
            answer = await rig.entry.admitter.admit(rig.request(f"q{number}"))
            assert answer.ok_value.engine == "engine-1"

    @with_rig
    async def test_engine_that_reports_no_more(self, rig):
        rig.engines.silent.add("engine-1")
        await asyncio.sleep(8.0)
        answer = await rig.entry.admitter.admit(rig.request())
        assert answer.ok_value.engine == "engine-2"


@pytest.mark.looptime
class TestBadInput:
    @with_rig
    async def test_forged_and_broken_requests(self, rig):
        """Somebody without the key asks for grants, and a peer of another release
        sends what can't be read. Both are refused by name and counted.
        """
        address = rig.first.nodes.me.peer
        client = rig.entry.client
        answer = await client.request(address, "POST", "/peer/v1/admit", body=b"{}")
        assert answer.ok_value.status == 403
        keys = PeerKeys(keys=[b"key"])
        for body in (b"{", b"{}", b'{"pool": 7}'):
            headers = keys.headers("POST", "/peer/v1/admit", body)
            answer = await client.request(
                address, "POST", "/peer/v1/admit", body=body, headers=headers
            )
            assert answer.ok_value.status == 400
        text = rig.first.metrics.render()[0].decode()
        assert 'problem="signature"' in text
        assert 'problem="body"' in text


class TestRanked:
    def test_region_without_nodes_falls_to_all(self):
        """All nodes of a region are down. Its engines go on under a home elsewhere."""
        rig_members = [
            Member(
                node="a",
                incarnation=1,
                caller=Address(host="10.0.0.1", port=1),
                peer=Address(host="10.0.0.1", port=2),
                region="r",
            )
        ]
        nodes = FakeNodes(rig_members[0], rig_members)
        assert ranked(nodes, "k", "elsewhere") == rig_members
