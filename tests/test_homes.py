"""Pool homes and the admitter that asks them, over an in-memory network."""

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
from celerytrail.nodes.signing import PeerKeys
from celerytrail.nodes.view import ranked
from celerytrail.policies.rendezvous import RendezvousHomes, rank
from celerytrail.types import Address


class TestRendezvousHomes:
    def test_incremental_homes_equal_full_ranking(self):
        """Incremental updates of homes equal a full ranking. An engine with two homes
        would be polled twice, and one without a home not at all.
        """
        rng = random.Random(5)
        homes, keys = RendezvousHomes(), [f"e{number}" for number in range(40)]
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
        """If the loss of a node moved the pools of other nodes too, many homes would
        have to learn their engines anew at once.
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
        """An entry node that chooses without a home needs lengths learned while homes
        granted. Otherwise it would assume the default length for every generation.
        """
        before = rig.entry.lengths.expected_residual("llm", "org", 0)
        for number in range(400):
            req = rig.request(f"q-{number}")
            grant = (await rig.entry.admitter.admit(req)).ok_value
            rig.entry.admitter.finish(grant, 1 + number % 8, "answered")
        assert rig.entry.lengths.expected_residual("llm", "org", 0) < before / 4

    @with_rig
    async def test_refused_at_the_queue_deadline(self, rig):
        """With all engines full, the caller gets a refusal with a retry time at its
        queue deadline and not later.
        """
        rig.fill_engines()
        await asyncio.sleep(1.0)
        started_at = rig.clock.monotonic()
        answer = await rig.entry.admitter.admit(rig.request(seconds=2.0))
        assert answer.err_value.retry_after is not None
        assert rig.clock.monotonic() - started_at < 2.3

    @with_rig
    async def test_refused_though_scheduling_fails(self, rig):
        """Guards against a request that waits for a decision which nobody makes."""
        rig.fill_engines()
        await asyncio.sleep(2.0)
        admitted = [
            asyncio.ensure_future(
                peer.admitter.admit(rig.request(f"q-{peer.name}", seconds=2.0))
            )
            for peer in (rig.first, rig.entry)
        ]
        await asyncio.sleep(0.5)

        def fail(now):
            raise ZeroDivisionError

        rig.scheduler(rig.first).poll = fail
        async with asyncio.timeout(5.0):
            answers = await asyncio.gather(*admitted)
        assert {answer.err_value.reason for answer in answers} == {"queue_deadline"}

    @with_rig
    async def test_a_request_is_decided_after_scheduling_failed(self, rig):
        """Guards against a queue whose timer ended with an error."""
        rig.fill_engines()
        await asyncio.sleep(2.0)
        admitted = asyncio.ensure_future(rig.first.admitter.admit(rig.request("q")))
        await asyncio.sleep(0.5)
        scheduler = rig.scheduler(rig.first)
        poll, failures = scheduler.poll, iter([True] * 5)

        def fail_at_first(now):
            if next(failures, False):
                raise ZeroDivisionError
            return poll(now)

        scheduler.poll = fail_at_first
        rig.engines.used_tokens.clear()
        assert (await admitted).ok_value.home == rig.first.name

    @with_rig
    async def test_home_clock_is_an_hour_ahead(self, rig):
        """One VM's clock is an hour ahead. A home that compared deadlines with it would
        refuse every request as late.
        """
        peer_clock = LoopClock(wall_offset=rig.clock.wall_offset + 3600.0)
        rig.first.homes._clock = peer_clock
        answer = await rig.entry.admitter.admit(rig.request())
        assert answer.ok_value.home == rig.first.name


@pytest.mark.looptime
class TestLostHome:
    @with_rig
    async def test_killed_home(self, rig):
        """The home dies with a request in its queue. The entry node repeats the request
        under the same id at the next in rank; the caller only waits a little longer.
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
        """The home freezes and closes no connection. An entry node that waited for it
        would refuse the request at its deadline while engines are free.
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
    async def test_entry_node_detects_loss_before_second_home(self, rig):
        """The entry node has lost the home, but the second in rank still sees it as
        live. If the second refused, there would be no home until the views agree.
        """
        rig.wires.kill(rig.first.name)
        rig.entry.nodes.lose(rig.first.name)
        answer = await rig.entry.admitter.admit(rig.request())
        assert answer.ok_value.home == rig.second.name

    @with_rig
    async def test_no_home_is_reachable(self, rig):
        """The entry node is partitioned from all other nodes but not from the engines.
        It chooses an engine by itself instead of refusing.
        """
        rig.wires.kill(rig.first.name)
        rig.wires.kill(rig.second.name)
        own = rig.entry.homes
        own.home_for = lambda pool: None
        answer = await rig.entry.admitter.admit(rig.request())
        assert answer.ok_value.home == ""
        assert answer.ok_value.engine in ("engine-1", "engine-2")

    @with_rig
    async def test_new_home_adopts_running_generation(self, rig):
        """The home is replaced while a generation runs. A new home that doesn't know of
        the generation would grant its memory a second time.
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
    async def test_new_home_adopts_stalled_generation(self, rig):
        """The home is replaced while a generation waits for memory and produces no
        tokens. It still occupies memory, so the new home has to adopt it.
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
    async def test_end_is_resent_after_home_was_unreachable(self, rig):
        """A generation ends while the home refuses connections for a few seconds. If
        the end weren't sent again, its memory would stay reserved for half a minute.
        """
        answer = await rig.entry.admitter.admit(rig.request())
        rig.wires.kill(rig.first.name)
        rig.entry.admitter.finish(answer.ok_value, 40, "answered")
        await asyncio.sleep(3.0)
        assert rig.scheduler(rig.first).n_live == 1
        await rig.first.server.close()
        rig.first.network = rig.wires.network_of(rig.first.name)
        rig.first.server._network = rig.first.network
        await rig.first.server.start(rig.first.nodes.me.peer)
        await asyncio.sleep(2.0)
        assert rig.scheduler(rig.first).n_live == 0

    @with_rig
    async def test_stopping_home_hands_over_its_queue(self, rig):
        """The home stops gracefully with requests in its queue. They move to the next
        home at once and none is refused.
        """
        rig.fill_engines()
        await asyncio.sleep(1.0)
        task = asyncio.create_task(rig.entry.admitter.admit(rig.request()))
        await asyncio.sleep(0.5)
        # The entry node doesn't know of the change yet.
        for peer in (rig.first, rig.second):
            peer.nodes.lose(rig.first.name)
        await asyncio.sleep(0.1)
        assert rig.scheduler(rig.first).n_waiting == 0
        rig.engines.used_tokens.clear()
        assert (await task).ok_value.home == rig.second.name

    @with_rig
    async def test_two_homes_overcommit_only_slightly(self, rig):
        """Entry nodes disagree on the home, so two homes grant the same engines. Each
        counts the other's generations from the engines' reports.
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
        """If the progress of each of a hundred streams were sent in every batch, it
        would exceed the node's bandwidth budget for control traffic.
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
    async def test_caller_cancels_while_queued(self, rig):
        """A caller cancels while it waits. Its request leaves the queue; otherwise
        engines would be granted to callers that have disconnected.
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
    async def test_caller_cancels_while_link_is_stalled(self, rig):
        """The caller cancels while the link to the home stalls, so the home sees no
        closed connection. The next batch reports the cancellation.
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
    async def test_caller_cancels_as_grant_arrives(self, rig):
        """The grant and the caller's cancellation cross. An unused grant would reserve
        its memory for half a minute.
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
        """The caller's entry node dies and sends no cancellation. The home must drop
        the request from its queue nevertheless.
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
    async def test_home_does_not_know_yet(self, rig):
        """The entry node knows that an engine leaves, but the home doesn't. The entry
        node returns a grant for that engine and requests another.
        """
        rig.entry.leaving.add("engine-1")
        for number in range(6):
            answer = await rig.entry.admitter.admit(rig.request(f"q{number}"))
            assert answer.ok_value.engine == "engine-2"

    @with_rig
    async def test_home_learns_it_from_engine_report(self, rig):
        rig.engines.leaving["engine-2"] = rig.clock.wall() + 60.0
        await asyncio.sleep(1.5)
        assert "engine-2" in rig.first.reported_leaving
        for number in range(6):
            answer = await rig.entry.admitter.admit(rig.request(f"q{number}"))
            assert answer.ok_value.engine == "engine-1"

    @with_rig
    async def test_silent_engine_gets_no_work(self, rig):
        rig.engines.silent.add("engine-1")
        await asyncio.sleep(8.0)
        answer = await rig.entry.admitter.admit(rig.request())
        assert answer.ok_value.engine == "engine-2"


@pytest.mark.looptime
class TestBadInput:
    @with_rig
    async def test_forged_and_broken_requests(self, rig):
        """A sender without the key requests grants, and a peer of another release sends
        bodies that can't be decoded. Each is refused with its own status and counted.
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
    def test_region_without_nodes_ranks_all_nodes(self):
        """With all nodes of a region down, its engines get a home in another region."""
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
