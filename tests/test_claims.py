"""A key runs at most once, and only calls that did not run are reported as such."""

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
        assert len(world.run_attempts) == 1

    async def test_concurrent_calls_at_two_nodes_run_once(self, world):
        """A client sends one call to two nodes at once. It runs once, and the other
        node reports it as in progress.
        """
        results = await asyncio.gather(world.a.file(), world.b.file())
        assert sorted(map(word, results)) == ["answered", "in_progress"]
        assert len(world.run_attempts) == 1

    async def test_another_body_is_refused(self, world):
        """One key is used for two different calls by mistake. The second must neither
        run nor receive the answer of the first.
        """
        await world.a.file(body=b'{"a": 1}')
        assert word(await world.b.file(body=b'{"a": 2}')) == "reused"
        assert word(await world.b.file(body=b'{ "a":1 }')) == "replayed"
        assert len(world.run_attempts) == 1

    async def test_row_keys_and_hashes_are_distinct(self):
        assert row_key("office", "k") != row_key("ciranda", "k")
        assert hash_body("file", b"{}") != hash_body("void", b"{}")

    async def test_large_answer_body_is_not_stored(self, world):
        world.http.n_padding_bytes = MAX_OUTCOME_BYTES + 1
        await world.a.file()
        again = await world.b.file()
        assert not again.ok_value.outcome.is_whole
        assert len(world.run_attempts) == 1


@pytest.mark.looptime
class TestTable:
    async def test_table_down_before_the_claim_refuses_as_not_run(self, world):
        """The platform is down when a call arrives. The call is refused at once and not
        sent, as without its claim a retry at another node could run it twice.
        """
        world.table.is_down = True
        loop = asyncio.get_running_loop()
        start = loop.time()
        result = await world.a.file()
        assert word(result) == "not_run"
        assert result.err_value.retry_after is not None
        assert loop.time() - start < 0.5
        assert world.run_attempts == []
        world.table.is_down = False
        assert word(await world.b.file()) == "answered"

    async def test_table_down_during_the_call_delays_only_the_record(self, world):
        """The platform is down for an hour while a call runs. The caller receives its
        answer at once and this node reports it. Another node can't report it until the
        platform is available again.
        """
        world.http.run_seconds = 1.0
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
        assert len(world.run_attempts) == 1

    async def test_refusal_says_that_an_earlier_call_may_have_run(self, world):
        """A call has run and the platform goes down. The retry is refused, and the
        refusal says that an earlier call may have run. Without that, a caller might
        repeat the call under a new key.
        """
        await world.a.file()
        world.table.is_down = True
        result = await world.b.file()
        assert word(result) == "not_run"
        assert "earlier one with the same key may have run" in result.err_value.detail
        world.table.is_down = False
        assert word(await world.b.file()) == "replayed"
        assert len(world.run_attempts) == 1

    async def test_claim_reply_lost(self, world):
        """The claim is written and the platform's reply is lost. The attempt finds its
        own claim and continues. If it stopped, the key would be left as unknown.
        """
        world.table.lose_replies = 1
        assert word(await world.a.file()) == "answered"
        assert len(world.run_attempts) == 1

    async def test_claim_write_dropped(self, world):
        world.table.drop_writes = 1
        assert word(await world.a.file()) == "answered"
        assert len(world.run_attempts) == 1

    async def test_claim_that_takes_effect_late(self, world):
        """The platform stalls and applies a claim only after the call was reported as
        not run and a retry has run. The late claim must conflict with that of the
        retry, so that nothing runs again.
        """
        world.table.delayed = 1_000
        assert word(await world.a.file()) == "not_run"
        world.table.delayed = 0
        await asyncio.sleep(10.0)
        assert word(await world.b.file()) == "answered"
        world.table.apply_delayed()
        assert word(await world.a.file()) == "replayed"
        assert len(world.run_attempts) == 1

    async def test_claim_in_doubt_is_released_for_a_retry(self, world):
        """All replies to a claim are lost until its attempt times out, but the claim is
        in the table. It is released in the background, so that the retry of a call that
        was never sent is not reported as unknown.
        """
        world.table.lose_replies = 1_000
        assert word(await world.a.file(seconds=0.01)) == "not_run"
        world.table.lose_replies = 0
        await asyncio.sleep(5.0)
        assert word(await world.b.file()) == "answered"
        assert len(world.run_attempts) == 1

    async def test_outcome_reply_lost(self, world):
        """The answer is recorded and the platform's reply is lost. Another node must
        report the answer.
        """
        task = asyncio.create_task(world.a.file())
        world.http.run_seconds = 0.2
        await asyncio.sleep(0.1)
        world.table.lose_replies = 1
        assert word(await task) == "answered"
        assert (await world.b.status()).ok_value.state == "answered"

    async def test_unreadable_claim_row_refuses_the_call(self, world):
        """A claim's row is unreadable, so its call may have run. Nothing is sent and
        the refusal gives the reason.
        """
        key = row_key("office", "k")
        unreadable = Transaction(puts=(Put(key=key, value={"state": 5}),))
        await world.table.transact(unreadable, 0.0)
        result = await world.a.file()
        assert (word(result), result.err_value.reason) == ("not_run", "bad_claim_row")
        assert world.run_attempts == []


@pytest.mark.looptime
class TestNotRun:
    @pytest.mark.parametrize("fault", ["refused", "not_run"])
    async def test_refusal_by_all_endpoints_is_not_run(self, world, fault):
        """Both endpoints refuse the connection or the call. The result is "not run"
        with a time for the retry, and the same key then runs.
        """
        world.http.script = [fault, fault]
        result = await world.a.file()
        assert word(result) == "not_run"
        assert result.err_value.retry_after is not None
        assert world.run_attempts == []
        assert (await world.b.status()).ok_value.state == "not_run"
        assert word(await world.b.file()) == "answered"
        assert len(world.run_attempts) == 1

    async def test_refused_call_is_sent_to_another_endpoint(self, world):
        world.http.script = ["refused", "ok"]
        assert word(await world.a.file()) == "answered"
        assert len(world.run_attempts) == 1

    @pytest.mark.parametrize(
        ("fault", "n_runs"), [("lost_before", 0), ("lost_after", 1)]
    )
    async def test_lost_connection_stays_unknown(self, world, fault, n_runs):
        """The connection is lost after the request was written to it. The call may have
        run, so it is never reported as "not run" nor sent again.
        """
        world.http.script = [fault]
        result = await world.a.file()
        assert word(result) == "unknown"
        assert result.err_value.status_path == "/v1/services/bookings/calls/k"
        for _ in range(3):
            await asyncio.sleep(3600.0)
            assert word(await world.b.file()) == "unknown"
            assert (await world.b.status()).ok_value.state == "unknown"
        assert len(world.run_attempts) == n_runs

    async def test_503_without_not_run_is_an_answer(self, world):
        """The endpoint runs a call and answers 503. Only an explicit "not run" in the
        body is a refusal. Any other 503 is returned as the answer and not retried.
        """
        world.http.script = ["failed"]
        result = await world.a.file()
        assert (word(result), result.ok_value.outcome.status) == ("answered", 503)
        assert word(await world.b.file()) == "replayed"
        assert len(world.run_attempts) == 1

    async def test_idempotent_call_is_retried_after_a_lost_reply(self, world):
        world.http.script = ["lost_after", "ok"]
        result = await world.a.file(key=None, operation="status")
        assert word(result) == "answered"

    async def test_deadline_passed(self, world):
        assert word(await world.a.file(seconds=0.0)) == "not_run"
        assert world.run_attempts == []

    async def test_cancelled_caller_does_not_cancel_the_call(self, world):
        """The caller's connection closes while its call runs. The call completes and
        its answer is recorded, so that a later status request returns it.
        """
        world.http.run_seconds = 1.0
        task = asyncio.create_task(world.a.file())
        await asyncio.sleep(0.5)
        task.cancel()
        await asyncio.sleep(1.0)
        assert (await world.b.status()).ok_value.state == "answered"

    async def test_shed(self, world):
        world.a.calls._max_in_progress = 0
        result = await world.a.file()
        assert (word(result), result.err_value.reason) == ("not_run", "shed")
        assert world.run_attempts == []


@pytest.mark.looptime
class TestPausedProcess:
    async def test_paused_between_claim_and_send(self, world):
        """A node is paused between claim and send until after the call's deadline. No
        other node sends the call meanwhile. When resumed, the node sends nothing and
        releases the key, which then runs once.
        """
        world.http.gate = asyncio.Event()
        paused = asyncio.create_task(world.a.file(seconds=5.0))
        await asyncio.sleep(1.0)
        assert word(await world.b.file()) == "in_progress"
        await asyncio.sleep(3600.0)
        assert word(await world.b.file()) == "unknown"
        world.http.gate.set()
        assert word(await paused) == "not_run"
        assert world.run_attempts == []
        assert word(await world.b.file()) == "answered"
        assert len(world.run_attempts) == 1

    async def test_resumed_before_the_deadline(self, world):
        world.http.gate = asyncio.Event()
        paused = asyncio.create_task(world.a.file(seconds=60.0))
        await asyncio.sleep(30.0)
        assert word(await world.b.file()) == "in_progress"
        world.http.gate.set()
        assert word(await paused) == "answered"
        assert word(await world.b.file()) == "replayed"
        assert len(world.run_attempts) == 1


@pytest.mark.looptime
class TestCrash:
    """A node crashes at one of the steps between claim and record."""

    @pytest.mark.parametrize(
        ("step", "n_runs"), [("claimed", 0), ("sent", 1), ("answered", 1)]
    )
    async def test_retry_after_a_crash_does_not_run_the_call(self, world, step, n_runs):
        """The node that holds a claim crashes. Only an operator can find out whether
        the call ran, so a retry at another node is reported as unknown and not run.
        """
        if step == "claimed":
            world.http.gate = asyncio.Event()
        else:
            world.http.run_seconds = 5.0
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
        assert len(world.run_attempts) == n_runs


@pytest.mark.looptime
class TestLateRecord:
    async def test_late_release_does_not_overwrite_a_later_attempt(self, world):
        """A node retries the release of a key after its replies were lost, while the
        retry of the call has run at another node. The late release must not overwrite
        that node's record, or a third try would run the call again.
        """
        world.http.script = ["refused", "refused"]
        assert word(await world.a.file()) == "not_run"
        key = row_key("office", "k")
        deadline = world.a.clock.monotonic() + 1.0
        released, version = (await world.a.store.read(key, deadline)).ok_value
        assert word(await world.b.file()) == "answered"
        assert await world.a.store.finish(key, released, version, deadline)
        assert word(await world.a.file()) == "replayed"
        assert len(world.run_attempts) == 1


WRITE_FAULTS = ("lose_replies", "drop_writes", "delayed")
SCRIPT_ENTRIES = ("ok", "ok", "refused", "not_run", "lost_before", "lost_after")


async def run_random_faults(seed):
    """Run random calls under random faults; return the world and their outcomes."""
    rng = random.Random(seed)
    world = World(seed=seed)
    outcomes = []

    async def caller(key):
        for _ in range(rng.randint(1, 4)):
            node = rng.choice([world.a, world.b])
            seconds = rng.choice([0.05, 0.5, 5.0])
            outcomes.append((key, word(await node.file(key, seconds=seconds))))
            await asyncio.sleep(rng.uniform(0.0, 2.0))

    async def inject_faults():
        for _ in range(30):
            await asyncio.sleep(rng.uniform(0.0, 0.3))
            fault = rng.choice((*WRITE_FAULTS, "down", "gate", "script", "late"))
            if fault in WRITE_FAULTS:
                setattr(world.table, fault, rng.randint(0, 3))
            elif fault == "down":
                world.table.is_down = not world.table.is_down
            elif fault == "script":
                world.http.script = rng.choices(SCRIPT_ENTRIES, k=4)
                world.http.run_seconds = rng.choice([0.0, 0.1, 1.0])
            elif fault == "late":
                world.table.apply_delayed()
            elif world.http.gate is None:
                world.http.gate = asyncio.Event()
            else:
                world.http.gate.set()
                world.http.gate = None

    keys = [f"k{n}" for n in range(4) for _ in range(3)]
    await asyncio.gather(inject_faults(), *(caller(key) for key in keys))
    world.table.is_down = False
    world.table.lose_replies = world.table.drop_writes = world.table.delayed = 0
    if world.http.gate is not None:
        world.http.gate.set()
    await asyncio.sleep(60.0)
    world.table.apply_delayed()
    return world, outcomes


@pytest.mark.looptime
class TestRandomFaults:
    @pytest.mark.parametrize("seed", range(60))
    async def test_no_key_runs_twice_and_outcomes_are_correct(self, seed):
        """Clients retry the same calls at two nodes under random faults of the platform
        and the endpoints. A call must not run twice, nor be reported as "not run" after
        it ran, as its next retry would then run it twice.
        """
        world, outcomes = await run_random_faults(seed)
        result_by_attempt = dict(
            world.a.calls.attempt_results + world.b.calls.attempt_results
        )
        rows = {row["key"]: row["value"] for row in world.table.rows.scan("", "", 99)}
        for attempt in world.run_attempts:
            assert world.run_attempts.count(attempt) == 1
            assert word(result_by_attempt[attempt]) in ("answered", "unknown")
        for key in {key for key, _ in outcomes}:
            row = rows.get(row_key("office", key), {"state": "absent", "attempt": ""})
            key_outcomes = {outcome for other, outcome in outcomes if other == key}
            if "answered" in key_outcomes or "replayed" in key_outcomes:
                assert row["state"] == "answered"
                assert row["attempt"] in world.run_attempts
            else:
                assert row["state"] != "answered"
        assert len(world.run_attempts) <= len({key for key, _ in outcomes})
        assert world.a.recorder.n_pending == world.b.recorder.n_pending == 0
