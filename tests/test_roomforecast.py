"""Admission control: forecasts of capacity, decisions and their hindsight."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

import pytest

from celerytrail.model import EndpointState, EngineReport, Registration
from celerytrail.policies import placing
from celerytrail.policies.engineloads import EngineLoad, EngineLoads, Run
from celerytrail.policies.roomforecast import (
    FORECAST_SECONDS,
    MAX_FOLLOWED,
    OVERDUE_SHARE,
    RETRY_JITTER,
    RETRY_MAX_SHARE,
    RETRY_MIN_SECONDS,
    Forecast,
    Hindsight,
    HintedEnds,
    Keep,
    RefusalReason,
    Refuse,
    ReplayedEnds,
    RunEnds,
    TurningAway,
    Verdict,
    WaitingDemand,
)
from celerytrail.types import Address

# The rendering deployment: an engine with eight runs, and its long streams.
N_SLOTS = 24
N_MEMORY_TOKENS = 26_912
TOKEN_SECONDS = 0.008
PREFILL_RATE = 14_000.0
N_PROMPT_TOKENS = 3_079
N_OUTPUT_TOKENS = 748
TARGET = 1.8
PATIENCE = 4 * TARGET
# Long streams that an engine holds.
N_PER_ENGINE = 6


class ExactEnds(RunEnds):
    """Expects each run to end at its hint."""

    def remaining_tokens(self, run: Run) -> float:
        return run.n_remaining_tokens


def run(name: str, endpoint: str = "e0", **more: object) -> Run:
    fields: dict[str, object] = {
        "run_id": name,
        "endpoint": endpoint,
        "n_prompt_tokens": N_PROMPT_TOKENS,
        "n_expected_tokens": N_OUTPUT_TOKENS,
        "is_prefilling": False,
        **more,
    }
    return Run(**fields)  # type: ignore[arg-type]


def load(endpoint: str, *runs: Run, **more: object) -> EngineLoad:
    fields: dict[str, object] = {
        "reg": Registration(
            endpoint=endpoint,
            service="briefs",
            address=Address(host="127.0.0.1", port=1),
            failure_domain="a",
            n_slots=N_SLOTS,
            state=EndpointState.READY,
        ),
        "n_slots": N_SLOTS,
        "n_memory_tokens": N_MEMORY_TOKENS,
        "runs": runs,
        "token_seconds": TOKEN_SECONDS,
        "prefill_rate": PREFILL_RATE,
        **more,
    }
    return EngineLoad(**fields)  # type: ignore[arg-type]


def full_load(endpoint: str, first_end: float, **more: object) -> EngineLoad:
    """Return an engine without room, whose runs end from ``first_end`` on.

    The ends are 0.8 s apart and the last ones at the hints.
    """
    last = N_OUTPUT_TOKENS * TOKEN_SECONDS
    runs = [
        run(
            f"{endpoint}-{number}",
            endpoint,
            n_generated_tokens=int(
                max(0.0, last - first_end - 0.8 * number) / TOKEN_SECONDS
            ),
        )
        for number in range(N_PER_ENGINE)
    ]
    full = load(endpoint, *runs, **more)
    assert not placing.fits(full, brief().demand)
    return full


def brief(arrived_at: float = 0.0, **more: object) -> WaitingDemand:
    fields: dict[str, object] = {
        "n_tokens": N_PROMPT_TOKENS,
        "n_prefill_tokens": N_PROMPT_TOKENS,
        "n_remaining_tokens": N_OUTPUT_TOKENS,
        "prefill_rate": PREFILL_RATE,
        "max_prefill_seconds": placing.PREFILL_SHARE * TARGET,
        **more,
    }
    return WaitingDemand(
        demand=placing.Demand(**fields),  # type: ignore[arg-type]
        arrived_at=arrived_at,
        target_at=arrived_at + TARGET,
        gives_up_at=arrived_at + PATIENCE,
    )


def turning_away(seed: int = 1) -> TurningAway:
    return TurningAway(rng=random.Random(seed))


def exact() -> ReplayedEnds:
    return ReplayedEnds(run_ends=ExactEnds())


def decide(
    loads: list[EngineLoad], ahead: list[WaitingDemand], now: float = 0.0
) -> Keep | Refuse:
    own = brief()
    return turning_away().decide(own, exact().forecast(own, ahead, loads, now), now)


class TestReplay:
    """Load: engines without room, and few requests ahead."""

    def test_room_is_expected_at_the_first_end_that_frees_enough(self):
        """Guards against a request that is refused although a run is about to end."""
        loads = [full_load("e0", 2.0), full_load("e1", 1.0)]
        found = exact().forecast(brief(), [], loads, 0.0)
        assert found.room_at == pytest.approx(1.0, abs=0.02)

    def test_those_ahead_get_the_first_ends(self):
        """Guards against a forecast that promises all waiting the same capacity."""
        loads = [full_load("e0", 2.0), full_load("e1", 1.0)]
        room_at = [
            exact().forecast(brief(), [brief()] * n_ahead, loads, 0.0).room_at
            for n_ahead in range(4)
        ]
        assert None not in room_at
        assert room_at == sorted(set(room_at))  # type: ignore[type-var]

    def test_one_ahead_that_fits_nowhere_does_not_hold_up_the_others(self):
        """Guards against a huge request that has all behind it refused."""
        huge = brief(n_tokens=N_MEMORY_TOKENS)
        found = exact().forecast(brief(), [huge], [load("e0")], 0.0)
        assert found == Forecast(room_at=0.0, n_ahead=1)

    def test_those_ahead_stay_when_they_are_refused(self):
        """Guards against a burst kept whole because all ahead are refused by then."""
        loads = [full_load("e0", 5.0)]
        early = [brief(arrived_at=-2.0)] * 3
        assert early[0].refuse_at < 5.0
        alone = exact().forecast(brief(), [], loads, 0.0)
        found = exact().forecast(brief(), early, loads, 0.0)
        assert alone.room_at is not None
        assert found.room_at is None or found.room_at > alone.room_at

    def test_a_prompt_waits_for_the_prefills_before_it(self):
        """Guards against ignoring prefills, which limit short answers in a burst."""
        reading = [run(f"r{n}", is_prefilling=True) for n in range(3)]
        own = brief(max_prefill_seconds=0.0)
        found = exact().forecast(own, [], [load("e0", *reading)], 0.0)
        assert found.room_at == pytest.approx(3 * N_PROMPT_TOKENS / PREFILL_RATE)

    def test_an_engine_without_known_speed_is_assumed_to_be_usual(self):
        """Guards against runs that seem to end at once on an engine just seen."""
        loads = [full_load("e0", 2.0, token_seconds=0.0, prefill_rate=None)]
        found = exact().forecast(brief(), [], loads, 0.0)
        assert found.room_at is not None and found.room_at > 2.0

    def test_a_copy_ends_with_its_run(self):
        """Guards against memory of copies that a replay never frees."""
        copied = [run(f"c{n}", "e1", n_generated_tokens=500) for n in range(7)]
        holder = load("e0", copies=tuple(copied))
        source = load("e1", *copied, n_slots=7)
        found = exact().forecast(brief(), [], [holder, source], 0.0)
        assert found.room_at == pytest.approx(248 * TOKEN_SECONDS)

    @pytest.mark.parametrize("seed", range(50))
    def test_it_agrees_with_the_placement_now(self, seed):
        """Guards against forecasts by other rules than those of the placement."""
        rng = random.Random(seed)
        names = map(str, itertools.count())

        def draw_run() -> Run:
            is_prefilling = rng.random() < 0.15
            return run(
                next(names),
                n_prompt_tokens=rng.randrange(100, 5_000),
                n_expected_tokens=rng.choice([3, 12, 700, 748, 1_500]),
                is_prefilling=is_prefilling,
                n_generated_tokens=0 if is_prefilling else rng.randrange(2_000),
            )

        report = EngineReport(
            n_queued=0,
            n_running=rng.randrange(12),
            n_used_tokens=rng.randrange(N_MEMORY_TOKENS),
            n_memory_tokens=N_MEMORY_TOKENS,
        )
        engine = load(
            "e0",
            *(draw_run() for _ in range(rng.randrange(9))),
            copies=tuple(draw_run() for _ in range(rng.randrange(3))),
            n_slots=rng.choice([8, N_SLOTS]),
            report=rng.choice([None, report]),
            prefill_rate=rng.choice([None, 9_000.0]),
        )
        for _ in range(100):
            own = brief(
                n_tokens=rng.randrange(10, 8_000),
                n_prefill_tokens=rng.randrange(10, 5_000),
                n_remaining_tokens=rng.choice([0, 3, 12, 748, 3_000]),
                max_prefill_seconds=rng.uniform(0.0, 2.0),
                memory_share=rng.choice([0.85, 0.9]),
                spare_slot_share=rng.choice([0.0, 0.125]),
            )
            found = ReplayedEnds().forecast(own, [], [engine], 0.0)
            assert (found.room_at == 0.0) == placing.fits(engine, own.demand)


class TestBurst:
    """Load: twice the usual rate for 3 s at ten engines that are nearly full."""

    @pytest.fixture
    def loads(self) -> list[EngineLoad]:
        return [full_load(f"e{n}", 0.3 + 0.08 * n) for n in range(10)]

    def test_the_first_are_kept_and_the_last_refused(self, loads):
        """Guards against a queue that grows beyond what its callers wait for."""
        n_usual_per_second = 10 * N_PER_ENGINE / (N_OUTPUT_TOKENS * TOKEN_SECONDS)
        n_waiting = int(2 * 3 * n_usual_per_second)
        decisions = [decide(loads, [brief()] * n) for n in range(0, 2 * n_waiting, 8)]
        kept = [isinstance(decision, Keep) for decision in decisions]
        assert kept[0] and not kept[-1]
        # More wait for later capacity, so no refusal comes before a kept one.
        assert kept == sorted(kept, reverse=True)

    def test_the_first_in_line_are_in_time_and_later_ones_late(self, loads):
        """Guards against keeping no one who can only be late."""
        first = decide(loads, [])
        later = decide(loads, [brief()] * 25)
        assert isinstance(first, Keep) and not first.is_late
        assert isinstance(later, Keep) and later.is_late


class TestRefusals:
    """Load: engines that are full for longer or shorter than a caller waits."""

    def test_no_room_before_the_caller_gives_up_is_refused_at_once(self):
        """Guards against callers that wait in vain and then can't retry."""
        crowd = [brief()] * 60
        decision = decide([full_load("e0", 3.0)], crowd)
        assert isinstance(decision, Refuse)
        assert decision.reason is RefusalReason.NO_CAPACITY_EXPECTED

    def test_room_too_late_for_the_own_prefill_is_refused(self):
        """Guards against a request whose first event comes after its caller left."""
        own = brief()
        latest = own.gives_up_at - N_PROMPT_TOKENS / PREFILL_RATE
        for room_at, kind in [(latest - 0.01, Keep), (latest + 0.01, Refuse)]:
            found = Forecast(room_at=room_at, n_ahead=0)
            assert isinstance(turning_away().decide(own, found, 0.0), kind)

    def test_late_but_before_the_caller_gives_up_is_kept(self):
        """Guards against refusing answers that are late and still useful."""
        own = brief()
        found = Forecast(room_at=own.target_at + 2.0, n_ahead=3)
        decision = turning_away().decide(own, found, 0.0)
        assert decision == Keep(
            room_at=found.room_at, decide_again_at=FORECAST_SECONDS, is_late=True
        )

    def test_a_request_without_an_engine_is_refused_at_three_fifths(self):
        """Guards against a request kept to its end and then refused."""
        own = brief(arrived_at=5.0)
        refuse_at = 5.0 + 0.6 * PATIENCE
        for now, kind in [(refuse_at - 0.01, Keep), (refuse_at, Refuse)]:
            found = Forecast(room_at=now + 0.1, n_ahead=0)
            assert isinstance(turning_away().decide(own, found, now), kind)
        decision = turning_away().decide(own, found, refuse_at)
        assert isinstance(decision, Refuse)
        assert decision.reason is RefusalReason.WAITED_TOO_LONG

    def test_the_last_decision_before_three_fifths_is_due_then(self):
        """Guards against a refusal half a second later, with less time to retry."""
        own = brief()
        found = Forecast(room_at=own.refuse_at + 0.5, n_ahead=0)
        decision = turning_away().decide(own, found, own.refuse_at - 0.1)
        assert isinstance(decision, Keep)
        assert decision.decide_again_at == own.refuse_at

    def test_no_engine_at_all_is_refused_at_once(self):
        """Guards against an error, or a wait in vain, if all engines have left."""
        found = exact().forecast(brief(), [brief()], [], 0.0)
        assert found == Forecast(room_at=None, n_ahead=1)
        assert isinstance(decide([], []), Refuse)


class TestRetryTimes:
    """Load: a hundred callers refused in the same moment."""

    def retry_seconds(self, room_at: float | None, now: float = 0.0) -> list[float]:
        decisions = [
            turning_away(seed).decide(
                brief(), Forecast(room_at=room_at, n_ahead=0), now
            )
            for seed in range(100)
        ]
        assert all(isinstance(decision, Refuse) for decision in decisions)
        return [decision.retry_at - now for decision in decisions]  # type: ignore[union-attr]

    @pytest.mark.parametrize("room_at", [None, 20.0])
    def test_they_are_spread_below_the_bound(self, room_at):
        """Guards against all of them retrying at the bound, or too late for it."""
        seconds = self.retry_seconds(room_at)
        longest = RETRY_MAX_SHARE * PATIENCE
        assert all(longest / (1 + RETRY_JITTER) <= s < longest for s in seconds)
        assert max(seconds) - min(seconds) > 0.25 * longest

    def test_none_is_before_there_is_capacity(self):
        """Guards against retries that find the engines as full as before."""
        now = 0.6 * PATIENCE
        seconds = self.retry_seconds(now + 0.5, now)
        assert all(0.5 <= s <= 0.5 * (1 + RETRY_JITTER) for s in seconds)
        assert len(set(seconds)) > 90

    @pytest.mark.parametrize("now", [0.6 * PATIENCE, PATIENCE - 0.1, PATIENCE + 1])
    def test_none_is_at_once(self, now):
        """Guards against retries in a tight loop, also after the last moment."""
        seconds = self.retry_seconds(now, now)
        assert all(s >= RETRY_MIN_SECONDS - 1e-9 for s in seconds)


class TestOverdueRuns:
    """Load: output lengths far from their hints, which are right at the median."""

    @pytest.mark.parametrize("ratio", [1.0, 2.0, 6.0])
    def test_one_that_exceeded_its_hint_is_not_expected_to_end_at_once(self, ratio):
        """Guards against capacity promised twice a second that never comes."""
        n_made = int(ratio * N_OUTPUT_TOKENS)
        overdue = run("r", n_generated_tokens=n_made)
        assert HintedEnds().remaining_tokens(overdue) == OVERDUE_SHARE * n_made

    def test_an_engine_of_overdue_runs_has_no_room_for_a_while(self):
        """Guards against engines of endless runs that seem to become free at once."""
        runs = [run(f"r{n}", n_generated_tokens=2_000) for n in range(5)]
        found = ReplayedEnds().forecast(brief(), [], [load("e0", *runs)], 0.0)
        assert found.room_at is None

    def test_forecasts_of_two_nodes_agree(self):
        """Guards against nodes that keep and refuse differently on the same state."""
        loads = [full_load(f"e{n}", 0.5 * n) for n in range(5)]
        found = [ReplayedEnds().forecast(brief(), [], loads, 0.0) for _ in range(2)]
        assert found[0] == found[1]

    @pytest.mark.parametrize("n_made", [0, 1, 748, 10**6])
    @pytest.mark.parametrize("n_expected", [0, 1, 748])
    def test_any_length_has_a_finite_end(self, n_made, n_expected):
        """Guards against runs that end before now on hints or outputs of zero."""
        odd = run("r", n_generated_tokens=n_made, n_expected_tokens=n_expected)
        assert 0.0 < HintedEnds().remaining_tokens(odd) < 1e7


class TestLostNode:
    """Load: a node is lost, and all runs on one of two full engines with it."""

    def test_its_runs_count_until_they_expire(self):
        """Guards against callers refused for runs that no one reads any more."""
        table = EngineLoads()
        lost, kept = full_load("e0", 3.0), full_load("e1", 3.0)
        table.replace_runs("lost", list(lost.runs), 0.0)
        table.replace_runs("kept", list(kept.runs), 0.0)
        idle = [replace(lost, runs=()), replace(kept, runs=())]
        before = exact().forecast(brief(), [], table.estimate(idle, 0.1), 0.1)
        assert before.room_at is not None and before.room_at > 1.0
        table.replace_runs("kept", list(kept.runs), 30.0)
        table.expire(30.0, own="kept")
        after = exact().forecast(brief(30.0), [], table.estimate(idle, 30.0), 30.0)
        assert after.room_at == 30.0


class TestMissingInformation:
    """Load: a node that hears nothing of the runs on half of the engines."""

    def report(self, n_running: int, n_used_tokens: int) -> EngineReport:
        return EngineReport(
            n_queued=0,
            n_running=n_running,
            n_used_tokens=n_used_tokens,
            n_memory_tokens=N_MEMORY_TOKENS,
        )

    def loads(self, report: EngineReport | None) -> list[EngineLoad]:
        known = [full_load(f"e{n}", 4.0) for n in range(5)]
        unknown = [load(f"u{n}", report=report) for n in range(5)]
        return known + unknown

    def test_reported_runs_are_expected_to_end(self):
        """Guards against refusing all because unknown runs seem to stay for ever."""
        found = exact().forecast(brief(), [], self.loads(self.report(7, 25_000)), 0.0)
        assert found.room_at is not None
        assert 0.0 < found.room_at < 4.0

    def test_memory_of_no_run_stays_in_use(self):
        """Guards against capacity expected from orphaned copies."""
        found = exact().forecast(brief(), [], self.loads(self.report(0, 25_000)), 0.0)
        assert found.room_at == pytest.approx(4.0, abs=0.02)

    def test_engines_without_a_report_count_as_free(self):
        """Guards against refusals for lack of information."""
        found = exact().forecast(brief(), [], self.loads(None), 0.0)
        assert found.room_at == 0.0


class TestHindsight:
    """Load: decisions whose outcomes come later, in any order."""

    KEEP = Keep(room_at=1.0, decide_again_at=0.5, is_late=False)
    REFUSE = Refuse(retry_at=1.0, reason=RefusalReason.NO_CAPACITY_EXPECTED)

    def test_a_kept_request_with_an_engine_was_rightly_kept(self):
        """Guards against counting each of the repeated decisions."""
        hindsight = Hindsight()
        for _ in range(3):
            assert hindsight.record("r1", brief(), self.KEEP) is None
        assert hindsight.record_placed("r1") is Verdict.KEPT_SERVED
        assert hindsight.record_placed("r1") is None
        assert hindsight.expire(100.0) == []

    def test_a_kept_request_that_is_refused_later_was_wrongly_kept(self):
        """Guards against hiding a wrong forecast behind the refusal that follows."""
        hindsight = Hindsight()
        hindsight.record("r1", brief(), self.KEEP)
        found = hindsight.record("r1", brief(), self.REFUSE)
        assert found is Verdict.KEPT_UNSERVED
        assert hindsight.expire(PATIENCE) == [Verdict.REFUSED_WITHOUT_ROOM]

    def test_a_kept_request_whose_caller_gives_up_was_wrongly_kept(self):
        """Guards against losing the requests that no one ended."""
        hindsight = Hindsight()
        hindsight.record("r1", brief(), self.KEEP)
        assert hindsight.expire(PATIENCE - 0.1) == []
        assert hindsight.expire(PATIENCE) == [Verdict.KEPT_UNSERVED]

    def test_a_caller_that_disconnects_proves_nothing(self):
        """Guards against errors counted for callers that lost interest."""
        hindsight = Hindsight()
        hindsight.record("r1", brief(), self.KEEP)
        hindsight.forget("r1")
        assert hindsight.expire(100.0) == []

    def test_room_in_time_after_a_refusal_is_an_error(self):
        """Guards against refusals that look right because no one checks."""
        hindsight = Hindsight()
        hindsight.record("r1", brief(), self.REFUSE)
        assert list(hindsight.refused) == ["r1"]
        found = hindsight.record_room("r1", brief().latest_start_at)
        assert found is Verdict.REFUSED_WITH_ROOM
        assert hindsight.expire(100.0) == []

    def test_room_too_late_is_no_error(self):
        """Guards against blaming a refusal for capacity after the caller left."""
        hindsight = Hindsight()
        hindsight.record("r1", brief(), self.REFUSE)
        assert hindsight.record_room("r1", brief().latest_start_at + 0.01) is None
        assert hindsight.expire(PATIENCE) == [Verdict.REFUSED_WITHOUT_ROOM]

    def test_the_followed_decisions_are_bounded(self):
        """Guards against memory that grows with the refusals of an overload."""
        hindsight = Hindsight()
        for number in range(2 * MAX_FOLLOWED):
            hindsight.record(f"r{number}", brief(), self.REFUSE)
        assert len(hindsight.refused) == MAX_FOLLOWED
        assert f"r{2 * MAX_FOLLOWED - 1}" in hindsight.refused
