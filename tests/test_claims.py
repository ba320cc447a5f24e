"""At most once for a key, and "not run" only where it was not run."""

from __future__ import annotations

import asyncio
import random

import pytest

from celerytrail.platform.table import Put, Transaction
from celerytrail.services.claims import MAX_OUTCOME_BYTES, hash_body, row_key
from tests.servicefakes import World, word


@pytest.fixture
async def world():
    yield World()


@pytest.mark.looptime
class TestSameKey:
    async def test_second_call_gets_the_first_answer(self, world):
        first = await world.a.file()
        second = await world.b.file()
        assert [word(first), word(second)] == ["answered", "replayed"]
        assert second.ok_value.outcome.body == first.ok_value.outcome.body
        assert len(world.ledger) == 1

    async def test_two_nodes_at_the_same_moment(self, world):
        """A steward's client sends one filing to two nodes at once. It runs once; the
        other is told where to ask.
        """
        results = await asyncio.gather(world.a.file(), world.b.file())
        assert sorted(map(word, results)) == ["answered", "in_progress"]
        assert len(world.ledger) == 1

    async def test_another_body_is_refused(self, world):
        """A key is used for two different filings by mistake. The second must neither
        run nor be given the first one's answer.
        """
        await world.a.file(body=b'{"a": 1}')
        assert word(await world.b.file(body=b'{"a": 2}')) == "reused"
        assert word(await world.b.file(body=b'{ "a":1 }')) == "replayed"
        assert len(world.ledger) == 1

    async def test_keys_of_organisations_are_apart(self):
        assert row_key("office", "k") != row_key("ciranda", "k")
        assert hash_body("file", b"{}") != hash_body("void", b"{}")

    async def test_large_answer_is_bounded_in_the_table(self, world):
        world.http.n_bytes = MAX_OUTCOME_BYTES + 1
        await world.a.file()
        again = await world.b.file()
        assert not again.ok_value.outcome.is_whole
        assert len(world.ledger) == 1


@pytest.mark.looptime
class TestTable:
    async def test_down_before_refuses_as_not_run(self, world):
        """The platform is down when a filing comes. It is refused at once and not
        sent: sent without its claim, a retry elsewhere could run it twice.
        """
        world.table.is_down = True
        loop = asyncio.get_running_loop()
        start = loop.time()
        result = await world.a.file()
        assert word(result) == "not_run"
        assert result.err_value.retry_after is not None
        assert loop.time() - start < 0.5
        assert world.ledger == []
        world.table.is_down = False
        assert word(await world.b.file()) == "answered"

    async def test_down_between_still_answers_and_records_later(self, world):
        """The platform goes down while a filing runs, for an hour. Its caller gets
        the true answer at once, asking at this node finds it, another node can't
        tell yet, and once the platform is back everyone can.
        """
        world.http.slow = 1.0
        task = asyncio.create_task(world.a.file())
        await asyncio.sleep(0.5)
        world.table.is_down = True
        assert word(await task) == "answered"
        assert (await world.a.status()).ok_value.state == "answered"
        assert (await world.b.status()).is_err()
        assert word(await world.a.file()) == "replayed"
        await asyncio.sleep(3600.0)
        world.table.is_down = False
        await asyncio.sleep(10.0)
        assert (await world.b.status()).ok_value.state == "answered"
        assert word(await world.b.file()) == "replayed"
        assert world.a.recorder.n_pending == 0
        assert len(world.ledger) == 1

    async def test_down_after_refuses_without_a_word_on_the_first(self, world):
        """A filing has run and the platform goes down. Sent again, it is refused, and
        the refusal says that an earlier one may have run; a caller that took it for
        the whole truth would file again under a new key.
        """
        await world.a.file()
        world.table.is_down = True
        result = await world.b.file()
        assert word(result) == "not_run"
        assert "earlier one with the same key may have run" in result.err_value.detail
        world.table.is_down = False
        assert word(await world.b.file()) == "replayed"
        assert len(world.ledger) == 1

    async def test_claim_reply_lost(self, world):
        """The claim is written and the platform's reply is lost. The attempt finds
        its own claim and goes on; were it to give up, the key would be unknown.
        """
        world.table.lose_replies = 1
        assert word(await world.a.file()) == "answered"
        assert len(world.ledger) == 1

    async def test_claim_lost_on_its_way(self, world):
        world.table.drop_writes = 1
        assert word(await world.a.file()) == "answered"
        assert len(world.ledger) == 1

    async def test_claim_that_takes_effect_late(self, world):
        """The platform freezes with a claim in it and lets it take effect long after
        the caller was told "not run" and a retry has run. The late claim must find
        the key taken, and nothing runs again.
        """
        world.table.delayed = 1_000
        assert word(await world.a.file()) == "not_run"
        world.table.delayed = 0
        await asyncio.sleep(10.0)
        assert word(await world.b.file()) == "answered"
        world.table.apply_delayed()
        assert word(await world.a.file()) == "replayed"
        assert len(world.ledger) == 1

    async def test_claim_in_doubt_is_released_for_a_retry(self, world):
        """Every reply to a claim is lost until its attempt gives up, but the claim
        stands in the table. It is released in the background, so the steward's retry
        is not told "unknown" of a filing that was never sent.
        """
        world.table.lose_replies = 1_000
        assert word(await world.a.file(seconds=0.01)) == "not_run"
        world.table.lose_replies = 0
        await asyncio.sleep(5.0)
        assert word(await world.b.file()) == "answered"
        assert len(world.ledger) == 1

    async def test_outcome_reply_lost(self, world):
        """The answer is recorded and the reply to that is lost. Asked for later, at
        another node, it is there.
        """
        task = asyncio.create_task(world.a.file())
        world.http.slow = 0.2
        await asyncio.sleep(0.1)
        world.table.lose_replies = 1
        assert word(await task) == "answered"
        assert (await world.b.status()).ok_value.state == "answered"

    async def test_mangled_row_is_never_run_over(self, world):
        """A claim's row holds something unreadable. Nobody can tell whether its call
        ran, so nothing is sent and the caller is told so.
        """
        key = row_key("office", "k")
        mangled = Transaction(puts=(Put(key=key, value={"state": 5}),))
        await world.table.transact(mangled, 0.0)
        result = await world.a.file()
        assert (word(result), result.err_value.reason) == ("not_run", "bad_claim_row")
        assert world.ledger == []


@pytest.mark.looptime
class TestNotRun:
    @pytest.mark.parametrize("fault", ["refused", "not_run"])
    async def test_no_endpoint_takes_it(self, world, fault):
        """Both endpoints refuse the connection, or the work. The caller is told "not
        run" and when to come back; the same key then runs.
        """
        world.http.script = [fault, fault]
        result = await world.a.file()
        assert word(result) == "not_run"
        assert result.err_value.retry_after is not None
        assert world.ledger == []
        assert (await world.b.status()).ok_value.state == "not_run"
        assert word(await world.b.file()) == "answered"
        assert len(world.ledger) == 1

    async def test_other_endpoint_after_a_refusal(self, world):
        world.http.script = ["refused", "ok"]
        assert word(await world.a.file()) == "answered"
        assert len(world.ledger) == 1

    @pytest.mark.parametrize(
        ("fault", "n_runs"), [("lost_before", 0), ("lost_after", 1)]
    )
    async def test_lost_connection_is_unknown_for_ever(self, world, fault, n_runs):
        """The connection is lost after the filing was written to it. It may have run,
        so it is neither called "not run" nor sent again, however often it is asked.
        """
        world.http.script = [fault]
        result = await world.a.file()
        assert word(result) == "unknown"
        assert result.err_value.ask == "/v1/services/bookings/calls/k"
        for _ in range(3):
            await asyncio.sleep(3600.0)
            assert word(await world.b.file()) == "unknown"
            assert (await world.b.status()).ok_value.state == "unknown"
        assert len(world.ledger) == n_runs

    async def test_error_that_is_no_refusal(self, world):
        """The endpoint runs a filing and answers 503. Only its own word "not run"
        makes that a refusal; else the answer is handed on and nothing is sent again.
        """
        world.http.script = ["failed"]
        result = await world.a.file()
        assert (word(result), result.ok_value.outcome.status) == ("answered", 503)
        assert word(await world.b.file()) == "replayed"
        assert len(world.ledger) == 1

    async def test_repeatable_call_is_sent_again(self, world):
        world.http.script = ["lost_after", "ok"]
        result = await world.a.file(key=None, operation="status")
        assert word(result) == "answered"

    async def test_deadline_passed(self, world):
        assert word(await world.a.file(seconds=0.0)) == "not_run"
        assert world.ledger == []

    async def test_caller_gone_changes_nothing(self, world):
        """The caller's connection breaks while its filing runs. The filing runs to
        its end and is recorded, so asking later tells the truth.
        """
        world.http.slow = 1.0
        task = asyncio.create_task(world.a.file())
        await asyncio.sleep(0.5)
        task.cancel()
        await asyncio.sleep(1.0)
        assert (await world.b.status()).ok_value.state == "answered"

    async def test_shed(self, world):
        world.a.calls._max_in_progress = 0
        result = await world.a.file()
        assert (word(result), result.err_value.reason) == ("not_run", "shed")
        assert world.ledger == []


@pytest.mark.looptime
class TestPausedProcess:
    async def test_paused_between_claim_and_send(self, world):
        """A node is paused after it claimed a filing and before it sent it, past the
        filing's deadline. Nobody else sends meanwhile; thawed, it finds the deadline
        passed, sends nothing, and releases the key, which then runs once.
        """
        world.http.gate = asyncio.Event()
        paused = asyncio.create_task(world.a.file(seconds=5.0))
        await asyncio.sleep(1.0)
        assert word(await world.b.file()) == "in_progress"
        await asyncio.sleep(3600.0)
        assert word(await world.b.file()) == "unknown"
        world.http.gate.set()
        assert word(await paused) == "not_run"
        assert world.ledger == []
        assert word(await world.b.file()) == "answered"
        assert len(world.ledger) == 1

    async def test_thawed_before_the_deadline(self, world):
        world.http.gate = asyncio.Event()
        paused = asyncio.create_task(world.a.file(seconds=60.0))
        await asyncio.sleep(30.0)
        assert word(await world.b.file()) == "in_progress"
        world.http.gate.set()
        assert word(await paused) == "answered"
        assert word(await world.b.file()) == "replayed"
        assert len(world.ledger) == 1


@pytest.mark.looptime
class TestCrash:
    """A node dies at each step between claim and record, for good."""

    @pytest.mark.parametrize(
        ("step", "n_runs"), [("claimed", 0), ("sent", 1), ("answered", 1)]
    )
    async def test_retry_after_a_crash_never_runs_again(self, world, step, n_runs):
        """The node that took a filing dies. Only a person can find out whether it
        ran; a retry at another node is told so and must not run it.
        """
        if step == "claimed":
            world.http.gate = asyncio.Event()
        else:
            world.http.slow = 5.0
        call = asyncio.create_task(world.a.file(seconds=20.0))
        await asyncio.sleep(1.0)
        if step == "answered":
            world.table.gate = asyncio.Event()
            await asyncio.sleep(4.5)
        for task in world.a.calls._tasks:
            task.cancel()
        call.cancel()
        world.table.gate = None
        world.http.gate = None
        assert word(await world.b.file()) == "in_progress"
        await asyncio.sleep(30.0)
        assert word(await world.b.file()) == "unknown"
        assert len(world.ledger) == n_runs


@pytest.mark.looptime
class TestLateRecord:
    async def test_late_release_leaves_a_later_attempt_alone(self, world):
        """A node's release of a key is retried for long, as its replies were lost.
        Meanwhile the retry at another node has run. The late release must not undo
        that node's record, or a third try would run again.
        """
        world.http.script = ["refused", "refused"]
        assert word(await world.a.file()) == "not_run"
        key = row_key("office", "k")
        deadline = world.a.clock.monotonic() + 1.0
        old, version = (await world.a.store.read(key, deadline)).ok_value
        assert word(await world.b.file()) == "answered"
        assert await world.a.store.finish(key, old, version, deadline)
        assert word(await world.a.file()) == "replayed"
        assert len(world.ledger) == 1


FAULTS = ("lose_replies", "drop_writes", "delayed")
WORDS = ("ok", "ok", "refused", "not_run", "lost_before", "lost_after")


async def play(seed):
    """Play a random storm of calls and faults; returns the world and what was told."""
    rng = random.Random(seed)
    world = World(seed=seed)
    told = []

    async def caller(key):
        for _ in range(rng.randint(1, 4)):
            node = rng.choice([world.a, world.b])
            seconds = rng.choice([0.05, 0.5, 5.0])
            told.append((key, word(await node.file(key, seconds=seconds))))
            await asyncio.sleep(rng.uniform(0.0, 2.0))

    async def trouble():
        for _ in range(30):
            await asyncio.sleep(rng.uniform(0.0, 0.3))
            fault = rng.choice((*FAULTS, "down", "gate", "script", "late"))
            if fault in FAULTS:
                setattr(world.table, fault, rng.randint(0, 3))
            elif fault == "down":
                world.table.is_down = not world.table.is_down
            elif fault == "script":
                world.http.script = rng.choices(WORDS, k=4)
                world.http.slow = rng.choice([0.0, 0.1, 1.0])
            elif fault == "late":
                world.table.apply_delayed()
            elif world.http.gate is None:
                world.http.gate = asyncio.Event()
            else:
                world.http.gate.set()
                world.http.gate = None

    keys = [f"k{n}" for n in range(4) for _ in range(3)]
    await asyncio.gather(trouble(), *(caller(key) for key in keys))
    world.table.is_down = False
    world.table.lose_replies = world.table.drop_writes = world.table.delayed = 0
    if world.http.gate is not None:
        world.http.gate.set()
    await asyncio.sleep(60.0)
    world.table.apply_delayed()
    return world, told


@pytest.mark.looptime
class TestStorm:
    @pytest.mark.parametrize("seed", range(60))
    async def test_no_key_runs_twice_and_nobody_is_told_a_lie(self, seed):
        """Clients retry the same filings at two nodes while the platform drops and
        delays writes and replies and endpoints refuse, lose and stand still. A filing
        that ran twice double-books a player; one called "not run" that ran does so
        at the next retry.
        """
        world, told = await play(seed)
        by_attempt = dict(world.a.calls.told + world.b.calls.told)
        rows = {row["key"]: row["value"] for row in world.table.rows.scan("", "", 99)}
        for attempt in world.ledger:
            assert world.ledger.count(attempt) == 1
            assert word(by_attempt[attempt]) in ("answered", "unknown")
        for key in {key for key, _ in told}:
            row = rows.get(row_key("office", key), {"state": "absent", "attempt": ""})
            words = {said for other, said in told if other == key}
            if "answered" in words or "replayed" in words:
                assert row["state"] == "answered"
                assert row["attempt"] in world.ledger
            else:
                assert row["state"] != "answered"
        assert len(world.ledger) <= len({key for key, _ in told})
        assert world.a.recorder.n_pending == world.b.recorder.n_pending == 0
