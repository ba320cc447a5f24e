"""Calls that come while a node stops: none is cut by the kill."""

from __future__ import annotations

import asyncio
import random

import h11
import pytest

from celerytrail.http.messages import Connection
from celerytrail.policies.answertimes import N_ANSWERS, AnswerTimes
from celerytrail.relay.shutdown import OTHER_NODE_RETRY_SECONDS, OUTAGE_RETRY_SECONDS
from tests.limitrig import now
from tests.relayrig import HOST, KEY, error_type
from tests.stoprig import GRACE_SECONDS, N_BEFORE, Fate, StopPlay

# A refusal that is said at once takes no longer, in seconds.
AT_ONCE_SECONDS = 0.1


def check_refusals(play: StopPlay) -> None:
    """Check that what was refused is said at once, and reached no endpoint."""
    for one in play.of(Fate.REFUSED):
        assert one.res is not None
        assert error_type(one.res) == "stopping"
        retry_after = (
            OTHER_NODE_RETRY_SECONDS if play.n_nodes > 1 else OUTAGE_RETRY_SECONDS
        )
        assert float(one.res.headers["retry-after"]) == retry_after
        assert one.res.headers["connection"] == "close"
        assert one.ended_at - one.sent_at < AT_ONCE_SECONDS
        assert play.n_runs(one.attempt) == 0


def check_served(play: StopPlay) -> None:
    """Check that all calls were served that could be, of those that were read."""
    read = [one for one in play.sent if one.fate is not Fate.UNREAD]
    assert [one for one in read if one.can_end and one.fate is not Fate.SERVED] == []


class TestKnownAnswerTimes:
    """Answers take as long as those before the stop."""

    @pytest.mark.parametrize("is_fresh", [True, False])
    @pytest.mark.parametrize("n_nodes", [1, 2, 4])
    @pytest.mark.parametrize("route", ["file", "look"])
    def test_no_call_is_cut_at_the_end_of_a_stop(self, route, n_nodes, is_fresh):
        """Guards against calls that are sent on though the kill cuts them."""
        play = StopPlay(
            seconds_of=lambda _: 3.0,
            routes=(route,),
            n_nodes=n_nodes,
            is_fresh=is_fresh,
        )
        found = play.run()
        assert found[Fate.CUT] == found[Fate.FAILED] == 0
        assert found[Fate.REFUSED] >= 4
        check_refusals(play)
        check_served(play)

    @pytest.mark.parametrize("is_fresh", [True, False])
    def test_short_calls_are_served_as_long_as_they_are_read(self, is_fresh):
        play = StopPlay(seconds_of=lambda _: 0.5, is_fresh=is_fresh)
        found = play.run()
        assert set(found) == {Fate.SERVED, Fate.UNREAD}

    def test_each_route_is_judged_by_its_own_answers(self):
        """Guards against short calls that are refused because of long ones."""
        play = StopPlay(
            seconds_of=lambda path: 3.0 if path.startswith("/file") else 0.5,
            routes=("file", "look"),
        )
        found = play.run()
        assert found[Fate.CUT] == found[Fate.FAILED] == 0
        check_refusals(play)
        check_served(play)

    @pytest.mark.parametrize("seed", range(1, 5))
    @pytest.mark.parametrize("route", ["file", "look"])
    def test_no_call_is_cut_if_answer_times_vary(self, route, seed):
        """Guards against calls that outlast the answers before them."""

        def seconds_of(path: str) -> float:
            return random.Random(path).choice([0.3, 0.5, 0.5, 0.8, 1.5, 3.0])

        play = StopPlay(seconds_of=seconds_of, routes=(route,), seed=seed)
        found = play.run()
        assert found[Fate.CUT] == 0
        check_refusals(play)
        longest = 3.0
        read = [one for one in play.sent if one.fate is not Fate.UNREAD]
        early = [one for one in read if one.sent_at + longest < GRACE_SECONDS - 0.2]
        assert early and {one.fate for one in early} == {Fate.SERVED}

    def test_a_call_refused_by_its_endpoint_is_not_sent_to_another_too_late(self):
        """Guards against a second endpoint that can't answer before the kill."""

        def refuse(workers):
            workers[0].refuses_after = 0.4

        play = StopPlay(seconds_of=lambda _: 3.0, prepare=refuse)
        found = play.run()
        assert found[Fate.CUT] == found[Fate.FAILED] == 0
        late = [
            one
            for one in play.of(Fate.REFUSED)
            if one.ended_at - one.sent_at > AT_ONCE_SECONDS
        ]
        assert late
        for one in late:
            assert one.res is not None
            assert error_type(one.res) == "stopping"
            assert play.n_runs(one.attempt) == 1

    def test_calls_that_wait_for_a_limited_endpoint_are_not_cut(self):
        """Guards against calls that wait for room until they can't end in time."""

        def limit(workers):
            for worker in workers:
                worker.request_limit = 1.0

        play = StopPlay(seconds_of=lambda _: 3.0, prepare=limit)
        found = play.run()
        assert found[Fate.SERVED] and found[Fate.REFUSED]
        assert found[Fate.CUT] == found[Fate.FAILED] == 0
        assert all(play.n_runs(one.attempt) == 0 for one in play.of(Fate.REFUSED))


class TestOtherAnswerTimes:
    """Answers take longer than could be known."""

    def test_a_call_on_an_unknown_route_is_expected_to_take_its_target(self):
        """Guards against calls of unknown length that are sent on late."""
        play = StopPlay(seconds_of=lambda _: 3.0, n_before=0, begins_at=4.0)
        found = play.run()
        assert set(found) == {Fate.REFUSED, Fate.UNREAD}
        check_refusals(play)

    def test_a_call_on_an_unknown_route_is_served_while_its_target_fits(self):
        play = StopPlay(seconds_of=lambda _: 0.5, n_before=0)
        assert set(play.run()) == {Fate.SERVED, Fate.UNREAD}

    @pytest.mark.parametrize("route", ["file", "look"])
    def test_a_call_that_outlasts_the_grace_gets_an_answer(self, route):
        """Guards against a connection that ends without an answer at the kill."""
        play = StopPlay(seconds_of=lambda _: 9.0, routes=(route,), n_before=0)
        found = play.run()
        assert found[Fate.FAILED] > 0 and found[Fate.CUT] == 0
        for one in play.of(Fate.FAILED):
            assert one.res is not None
            assert (one.res.status, error_type(one.res)) == (504, "node_stopped")
            assert one.ended_at < GRACE_SECONDS
        check_refusals(play)

    def test_answers_that_become_slower_are_noticed_before_they_come(self):
        """Guards against an estimate that only answered calls correct."""

        def seconds_of(path: str) -> float:
            number = int(path.rpartition("-")[2])
            return 0.5 if number < N_BEFORE else 4.0

        play = StopPlay(seconds_of=seconds_of)
        found = play.run()
        assert found[Fate.CUT] == 0
        # Those sent in the time in which the first ones weren't late yet.
        assert found[Fate.FAILED] <= 3
        check_refusals(play)


class SlowUpload(StopPlay):
    """Sends one request in the stop, whose body takes 1.6 s."""

    status: int = 0

    async def send_all(self, rig, stopped_at):
        await asyncio.sleep(stopped_at + 4.0 - now())
        event = await send_slowly(rig, rig.fleet.nodes[0].cfg.callers)
        self.status = event.status_code


class TestSlowUploads:
    def test_a_call_read_too_late_is_not_sent_on(self):
        """Guards against a decision that is older than the request's last byte."""
        play = SlowUpload(seconds_of=lambda _: 3.0)
        play.run()
        assert play.status == 503
        assert play.n_runs("slow-upload") == 0


async def send_slowly(rig, address):
    """Send a request whose body takes 1.6 s, and return the head of its answer."""
    network = rig.fleet.wires.network_of("callers")
    conn = await network.connect(lambda: Connection(role=h11.CLIENT), address)
    headers = [
        ("host", HOST),
        ("authorization", f"Bearer {KEY}"),
        ("x-attempt-id", "slow-upload"),
        ("x-time-budget-ms", "15000"),
        ("content-length", "8"),
    ]
    conn.send(h11.Request(method="POST", target="/file/1", headers=headers))
    for _ in range(8):
        await asyncio.sleep(0.2)
        conn.send(h11.Data(data=b"x"))
    conn.send(h11.EndOfMessage())
    return await conn.next_event()


class TestAnswerTimes:
    def test_the_estimate_is_the_longest_of_a_few_answers(self):
        times = make_times([0.5] * 11 + [3.0])
        assert times.expected_seconds("desk", "file", 0.0, default=9.0) == 3.0

    def test_one_outlier_among_many_does_not_count(self):
        """Guards against a stop that refuses all calls because of a single one."""
        times = make_times([0.5] * 40 + [30.0])
        assert times.expected_seconds("desk", "file", 0.0, default=9.0) == 0.5

    def test_old_answers_are_forgotten(self):
        times = make_times([3.0] * 10 + [0.5] * N_ANSWERS)
        assert times.expected_seconds("desk", "file", 0.0, default=9.0) == 0.5

    def test_few_answers_do_not_shorten_the_default(self):
        times = make_times([0.1, 0.1])
        assert times.expected_seconds("desk", "file", 0.0, default=2.0) == 2.0
        times = make_times([5.0, 0.1])
        assert times.expected_seconds("desk", "file", 0.0, default=2.0) == 5.0

    def test_calls_in_progress_that_are_late_count(self):
        times = make_times([0.5] * 4)
        times.begin("desk", "file", 10.0)
        assert times.expected_seconds("desk", "file", 10.4, default=9.0) == 0.5
        assert times.expected_seconds("desk", "file", 12.0, default=9.0) == 2.0
        times.end("desk", "file", 10.0, 12.0, is_answered=False)
        assert times.expected_seconds("desk", "file", 12.0, default=9.0) == 0.5

    def test_services_that_are_gone_are_forgotten(self):
        times = make_times([0.5] * 4)
        times.keep({"other"})
        assert times.expected_seconds("desk", "file", 0.0, default=9.0) == 9.0


def make_times(seconds: list[float]) -> AnswerTimes:
    """Return the times of answers that took so long, one after the other."""
    times = AnswerTimes()
    for one in seconds:
        times.begin("desk", "file", 0.0)
        times.end("desk", "file", 0.0, one, is_answered=True)
    return times
