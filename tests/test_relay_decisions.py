"""Unit tests of the relay's policies, without sockets and with a simulated clock."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from celerytrail.model import (
    EndpointState,
    EngineProfile,
    EngineReport,
    LoadHeader,
    Registration,
)
from celerytrail.policies import moving, placing
from celerytrail.policies.backups import SameDomainBackup
from celerytrail.policies.decodetimes import DEFAULT_TOKEN_SECONDS, DecodeTimes
from celerytrail.policies.endpointchoice import EndpointChoice
from celerytrail.policies.endpointspeeds import EndpointSpeeds
from celerytrail.policies.engineloads import EngineLoad, EngineLoads, Run
from celerytrail.policies.movetargets import OwnTargets
from celerytrail.policies.prefillrates import (
    DEFAULT_PREFILL_RATE,
    PrefillObserver,
    PrefillRates,
)
from celerytrail.policies.retrybudget import USED_SHARE, SharedRetryBudget
from celerytrail.policies.runlistschedule import (
    MAX_LISTS_PER_SECOND,
    MIN_LIST_PERIOD_SECONDS,
    N_EMPTY_LISTS,
    RunListSchedule,
)
from celerytrail.relay.events import MAX_EVENT_BYTES, EventSplitter
from celerytrail.relay.registry import LAPSE_GRACE_SECONDS, Registry
from celerytrail.types import Address

ENGINE = EngineProfile(
    n_slots=24,
    n_memory_tokens=34_359,
    token_bytes=18_432,
    link_bytes_per_second=2_700 * 125_000,
    can_move=True,
    can_back_up=True,
)
CHEAPEST = placing.LeastCostPlacement()


def registration(endpoint: str, **more: object) -> Registration:
    fields: dict[str, object] = {
        "endpoint": endpoint,
        "service": "models",
        "address": Address(host="10.0.0.1", port=1),
        "failure_domain": "a",
        "n_slots": 24,
        "state": EndpointState.READY,
        **more,
    }
    return Registration(**fields)  # type: ignore[arg-type]


def draft(name: str, endpoint: str = "e1", **more: object) -> Run:
    fields: dict[str, object] = {
        "run_id": name,
        "endpoint": endpoint,
        "n_prompt_tokens": 3_000,
        "n_expected_tokens": 900,
        "is_prefilling": False,
        **more,
    }
    return Run(**fields)  # type: ignore[arg-type]


def load(endpoint: str, *runs: Run, **more: object) -> EngineLoad:
    return EngineLoad(
        reg=registration(endpoint, **more),
        n_slots=ENGINE.n_slots,
        n_memory_tokens=ENGINE.n_memory_tokens,
        runs=runs,
    )


DEMAND = placing.Demand(
    n_tokens=3_000, n_prefill_tokens=3_000, n_remaining_tokens=900, failure_domain="a"
)


class TestPeakOverTime:
    def test_one_run_peaks_at_its_end(self):
        assert placing.peak_tokens([(3_000, 900)]) == 3_900

    def test_runs_that_end_apart_peak_below_their_sum(self):
        # One run frees its memory long before the other reaches its full size.
        assert placing.peak_tokens([(3_000, 100), (3_000, 900)]) == 6_200

    def test_no_runs_need_no_memory(self):
        assert placing.peak_tokens([]) == 0


class TestMoveTargets:
    def test_engines_that_leave_together_have_different_targets(self):
        # Nodes choose before they hear of one another's choices.
        loads = [load(f"e{n}") for n in range(20)]
        sources = ["l1", "l2", "l3", "l4"]
        selected = [
            {load.reg.endpoint for load in OwnTargets().select(loads, source, sources)}
            for source in sources
        ]
        assert set.union(*selected) == {load.reg.endpoint for load in loads}
        assert sum(map(len, selected)) == len(loads)

    def test_a_node_that_knows_only_its_own_leaving_engine_uses_all(self):
        loads = [load(f"e{n}") for n in range(20)]
        assert OwnTargets().select(loads, "l1", []) == loads


class TestStoppingForTheLastCopy:
    def test_a_run_is_not_stopped_while_its_copies_wait_on_the_link(self):
        # The caller receives nothing until the last copy has passed the link.
        stopping = moving.StopAfterQuick()
        assert not stopping.should_stop(1, 0.25, None)
        assert not stopping.should_stop(2, 0.18, 1.2)
        assert stopping.should_stop(3, 0.01, 1.0)

    def test_a_run_is_stopped_in_time_on_a_busy_link(self):
        stopping = moving.StopAfterQuick()
        assert stopping.should_stop(1, 0.25, moving.URGENT_SECONDS - 0.1)
        assert stopping.should_stop(moving.MAX_COPIES, 0.25, None)


class TestPlacing:
    def test_a_burst_of_drafts_is_spread_over_the_engines(self):
        # Twelve drafts arrive within a second at several nodes; each node sees the
        # earlier placements. If all prefills ran on one engine, the last caller would
        # time out before its first token.
        rng = random.Random(1)
        placed: dict[str, list[Run]] = {f"e{n}": [] for n in range(6)}
        for number in range(12):
            loads = [load(name, *runs) for name, runs in placed.items()]
            chosen = CHEAPEST.choose(loads, DEMAND, rng)
            assert chosen is not None
            name = chosen.reg.endpoint
            placed[name].append(draft(f"r{number}", name, is_prefilling=True))
        assert [len(runs) for runs in placed.values()] == [2] * 6

    def test_a_new_empty_engine_does_not_attract_all_drafts(self):
        # A replacement engine starts empty beside four that are half full. When it got
        # all new drafts, its prefill queue delayed first tokens by three seconds.
        rng = random.Random(1)
        placed = {f"e{n}": [draft(f"x{n}{k}") for k in range(4)] for n in range(4)}
        placed["new"] = []
        for number in range(6):
            loads = [load(name, *runs) for name, runs in placed.items()]
            chosen = CHEAPEST.choose(loads, DEMAND, rng)
            assert chosen is not None
            name = chosen.reg.endpoint
            placed[name].append(draft(f"r{number}", name, is_prefilling=True))
        assert len(placed["new"]) <= 2

    def test_no_engine_is_chosen_if_memory_would_be_exhausted(self):
        # Otherwise the newest run would be preempted in the middle of its stream, which
        # would pause for a second prefill.
        full = load("e1", *(draft(f"r{n}") for n in range(8)))
        assert CHEAPEST.choose([full], DEMAND, random.Random(1)) is None

    def test_a_moved_run_may_use_memory_that_new_runs_may_not(self):
        nearly_full = load(
            "e1", *(draft(f"r{n}", n_generated_tokens=400) for n in range(7))
        )
        moved = replace(DEMAND, memory_share=placing.MOVE_SHARE, n_remaining_tokens=350)
        assert not placing.fits(nearly_full, replace(DEMAND, n_remaining_tokens=350))
        assert placing.fits(nearly_full, moved)

    def test_a_run_that_would_be_lost_goes_where_it_fits_for_now(self):
        # Eight runs on engines that leave were lost in one wave of requests, as no
        # engine had memory for their whole expected length.
        loads = [
            load("e1", *(draft(f"a{n}") for n in range(11))),
            load("e2", *(draft(f"b{n}") for n in range(9))),
            load("e3", *(draft(f"c{n}") for n in range(10))),
        ]
        moved = replace(DEMAND, memory_share=placing.MOVE_SHARE)
        assert CHEAPEST.choose(loads, moved, random.Random(1)) is None
        chosen = placing.choose_last_resort(loads, moved)
        assert chosen is not None and chosen.reg.endpoint == "e2"
        assert placing.choose_last_resort(loads[:1], moved) is None

    def test_reported_memory_counts_beyond_the_listed_runs(self):
        # A failed node left orphaned copies. By the lists of runs the engine looks
        # empty, but generations that are placed there wait for seconds.
        report = EngineReport(
            n_queued=0, n_running=0, n_used_tokens=30_000, n_memory_tokens=34_359
        )
        assert not placing.fits(replace(load("e1"), report=report), DEMAND)

    def test_copies_count_as_memory_in_use(self):
        copies = tuple(draft(f"c{n}", "e2", backup="e1") for n in range(8))
        crowded = replace(load("e1"), copies=copies)
        assert not placing.fits(crowded, DEMAND)

    def test_a_copy_goes_to_another_engine_with_the_most_free_memory(self):
        loads = [load("e1"), load("e2", draft("r1", "e2")), load("e3")]
        chosen = SameDomainBackup().choose(
            loads, DEMAND, registration("e1"), random.Random(1), is_needed=False
        )
        assert chosen is not None and chosen.reg.endpoint == "e3"

    def test_a_copy_stays_in_the_failure_domain_of_its_run(self):
        # Each draft that starts is copied whole to another engine. A copy to another
        # failure domain occupies both links for 0.34 s. Drafts moved off an engine in
        # its last 1.6 s queued behind such copies, and were lost or paused for 1 s.
        loads = [load("e1"), load("e2", failure_domain="b")]
        chosen = SameDomainBackup().choose(
            loads, DEMAND, registration("e1"), random.Random(1), is_needed=True
        )
        assert chosen is None

    def test_no_copy_uses_memory_reserved_for_new_generations(self):
        runs = [draft(f"r{n}", "e2") for n in range(5)]
        loads = [load("e1"), load("e2", *runs)]
        chosen = SameDomainBackup().choose(
            loads, DEMAND, registration("e1"), random.Random(1), is_needed=False
        )
        assert chosen is None

    def test_a_short_answer_goes_where_its_prefill_delays_the_fewest_runs(self):
        # Questions with 2,500 prompt tokens and 16 output tokens arrive beside drafts.
        # Each prefill on an engine with five drafts delays all five; callers see every
        # draft take seconds longer. The questions have to go to the engine with few
        # drafts, although their prefills make it look as busy as the others.
        question = replace(DEMAND, n_tokens=2_550, n_prefill_tokens=2_550)
        question = replace(question, n_remaining_tokens=16)
        drafting = [
            load(f"e{n}", *(draft(f"x{n}{k}") for k in range(5))) for n in (1, 2)
        ]
        asked = draft("q", "e3", n_prompt_tokens=2_550, n_expected_tokens=16)
        quiet = load("e3", replace(asked, is_prefilling=True), draft("x3"))
        chosen = CHEAPEST.choose([*drafting, quiet], question, random.Random(1))
        assert chosen is not None and chosen.reg.endpoint == "e3"

    def test_long_outputs_go_to_fast_engines_and_short_ones_anywhere(self):
        # A third of the engines decodes a third slower. A draft of a thousand tokens
        # takes four seconds longer there, and is lost more often.
        slow = replace(load("slow"), token_seconds=0.015)
        fast = replace(load("fast", draft("r1"), draft("r2")), token_seconds=0.010)
        chosen = CHEAPEST.choose([slow, fast], DEMAND, random.Random(1))
        assert chosen is not None and chosen.reg.endpoint == "fast"
        short = replace(DEMAND, n_remaining_tokens=15)
        chosen = CHEAPEST.choose([slow, fast], short, random.Random(1))
        assert chosen is not None and chosen.reg.endpoint == "slow"


class TestDecodeTimes:
    def test_a_slow_engine_is_detected_by_the_progress_of_its_runs(self):
        decode_times = DecodeTimes()
        for step in range(20):
            now = step * 0.5
            decode_times.record_progress(
                draft("a", "fast", n_generated_tokens=1 + step * 50), now
            )
            decode_times.record_progress(
                draft("b", "slow", n_generated_tokens=1 + step * 25), now
            )
        assert decode_times.token_seconds("fast") == pytest.approx(0.010)
        assert decode_times.token_seconds("slow") == pytest.approx(0.020)

    def test_samples_in_quick_succession_are_ignored(self):
        decode_times = DecodeTimes()
        decode_times.record_progress(draft("a", "e1", n_generated_tokens=10), 0.0)
        decode_times.record_progress(draft("a", "e1", n_generated_tokens=10), 0.01)
        assert decode_times.token_seconds("e1") == DEFAULT_TOKEN_SECONDS

    def test_a_move_to_another_engine_discards_the_sample(self):
        decode_times = DecodeTimes()
        decode_times.record_progress(draft("a", "e1", n_generated_tokens=10), 0.0)
        decode_times.record_progress(draft("a", "e2", n_generated_tokens=500), 0.5)
        assert decode_times.token_seconds("e2") == DEFAULT_TOKEN_SECONDS

    def test_a_run_without_progress_marks_its_engine_as_slow(self):
        decode_times = DecodeTimes()
        for step in range(10):
            decode_times.record_progress(
                draft("a", "e1", n_generated_tokens=10), float(step)
            )
        assert decode_times.token_seconds("e1") == pytest.approx(0.05)


class TestMoving:
    # Each run has a longer expected output than the one before, and more of it made.
    RUNS = [
        draft(f"r{n}", n_expected_tokens=600 + n * 300, n_generated_tokens=n * 100)
        for n in range(4)
    ]

    @staticmethod
    def can_start(run_id: str, runs: list[Run]) -> bool:
        return moving.MoveQueue(run_id=run_id, engine=ENGINE).can_start(runs, 0.0)

    def test_runs_are_moved_one_at_a_time_costliest_loss_first(self):
        # An engine with four drafts stops 1.6 s after its notice. When all moves
        # started at once, the final copy of each run, during which it pauses, queued
        # behind the first copies of the others, and the engine stopped before any move
        # was complete.
        remaining = list(self.RUNS)
        order = []
        while remaining:
            due = [
                run.run_id for run in remaining if self.can_start(run.run_id, remaining)
            ]
            assert len(due) == 1
            order += due
            remaining = [run for run in remaining if run.run_id != due[0]]
        assert order == ["r3", "r2", "r1", "r0"]

    def test_a_run_with_a_long_prompt_waits_for_cheaper_moves(self):
        # A prompt of 6,600 tokens occupies the link for 0.7 s, in which two drafts with
        # an output of the same length could be moved.
        bulky = draft("bulky", n_prompt_tokens=6_600)
        assert self.can_start("r0", [bulky, *self.RUNS[:1]])
        assert not self.can_start("bulky", [bulky, *self.RUNS[:1]])

    def test_nodes_with_different_progress_data_agree_on_the_order(self):
        # Each node knows the current progress of its own run, and that of the others as
        # of half a second ago. When the order used the progress, two similar runs both
        # started, and the final copy of one queued behind the first copy of the other.
        first = draft("r1", n_generated_tokens=440)
        first_stale = draft("r1", n_generated_tokens=400)
        second = draft("r2", n_generated_tokens=440)
        second_stale = draft("r2", n_generated_tokens=400)
        first_may_begin = self.can_start("r1", [first, second_stale])
        second_may_begin = self.can_start("r2", [first_stale, second])
        assert first_may_begin != second_may_begin

    def test_a_run_being_moved_stays_first_in_the_queue(self):
        # The reserved target of a move resembles a backup. When it counted as one, the
        # next move started before the first was complete.
        moving_run = replace(self.RUNS[3], backup="e2", is_moving=True)
        runs = [*self.RUNS[:3], moving_run]
        assert self.can_start("r3", runs)
        assert not self.can_start("r2", runs)

    def test_a_copy_within_its_expected_time_is_not_overtaken(self):
        # A copy to another failure domain takes twice as long as one within a domain.
        # The next move started beside it, and both were cut off when the engine
        # stopped.
        moving_run = replace(self.RUNS[3], backup="e2", is_moving=True)
        runs = [*self.RUNS[:3], moving_run]
        queue = moving.MoveQueue(run_id="r2", engine=ENGINE)
        far = moving.copy_seconds(moving_run, ENGINE, is_cross_domain=True)
        answers = [queue.can_start(runs, at) for at in (0.0, 0.5 * far, far)]
        assert answers == [False, False, False]

    def test_runs_with_a_copy_elsewhere_are_not_queued(self):
        copied = replace(self.RUNS[3], backup="e2")
        assert self.can_start("r2", [*self.RUNS[:3], copied])

    def test_a_run_in_prefill_does_not_hold_up_others(self):
        # It can't be moved before its first token, which may take another second.
        reading = replace(self.RUNS[3], is_prefilling=True)
        assert self.can_start("r2", [*self.RUNS[:3], reading])

    def test_a_run_that_is_about_to_end_goes_last(self):
        ending = draft("ending", n_generated_tokens=870)
        assert self.can_start("r3", [ending, *self.RUNS])

    def test_a_run_past_its_hint_does_not_count_as_ending(self):
        # Hints are often far off. If a draft that exceeds its hint counted as about to
        # end, it would be moved last, and be lost with its long output.
        past = draft("past", n_expected_tokens=1_500, n_generated_tokens=1_700)
        assert self.can_start("past", [past, *self.RUNS])

    def test_a_failed_node_does_not_block_the_queue(self):
        # Its runs stay listed for seconds, but no node moves them.
        queue = moving.MoveQueue(run_id="r0", engine=ENGINE)
        at = 0.0
        while not queue.can_start(self.RUNS, at):
            at += 0.005
            assert at < 3.0
        assert at >= moving.START_TIMEOUT_SECONDS

    def test_a_failed_node_with_a_copy_in_progress_does_not_block_the_queue(self):
        stuck = replace(self.RUNS[1], backup="e2", is_moving=True)
        queue = moving.MoveQueue(run_id="r0", engine=ENGINE)
        at = 0.0
        while not queue.can_start([self.RUNS[0], stuck], at):
            at += 0.005
            assert at < 3.0

    def test_the_copy_time_follows_from_the_link_rate(self):
        run = draft("r", n_generated_tokens=1_000)
        near = moving.copy_seconds(run, ENGINE, is_cross_domain=False)
        assert near == pytest.approx(4_000 * 18_432 / (2_700 * 125_000))
        assert moving.copy_seconds(run, ENGINE, is_cross_domain=True) == 2 * near

    def test_runs_beyond_the_link_capacity_need_copies(self):
        assert not moving.needs_backup(draft("new"), self.RUNS[:1], ENGINE)
        assert moving.needs_backup(draft("new"), self.RUNS, ENGINE)


class TestEngineLoads:
    def test_runs_of_all_nodes_are_grouped_by_engine(self):
        loads = EngineLoads()
        loads.put_run("n1", draft("r1", "e1"), 0.0)
        loads.put_run("n2", draft("r2", "e1", backup="e2"), 0.0)
        empty = [load("e1"), load("e2")]
        found = {
            estimate.reg.endpoint: estimate for estimate in loads.estimate(empty, 0.0)
        }
        assert len(found["e1"].runs) == 2
        assert [run.run_id for run in found["e2"].copies] == ["r2"]

    def test_progress_is_extrapolated_between_two_lists(self):
        # When many nodes have runs, each sends its list only every few seconds. A draft
        # grows by hundreds of tokens meanwhile, so without extrapolation the load of
        # its engine would be underestimated.
        loads = EngineLoads(token_seconds=lambda endpoint: 0.01)
        loads.put_run(
            "n1", draft("r1", "e1", n_generated_tokens=100, is_prefilling=False), 5.0
        )
        loads.put_run("n1", draft("r2", "e1", is_prefilling=True), 5.0)
        (found,) = loads.estimate([load("e1")], 7.0)
        assert [run.n_generated_tokens for run in found.runs] == [300, 0]
        assert loads.runs_on_engine("e1")[0].n_generated_tokens == 100

    def test_an_update_replaces_what_was_projected(self):
        # Guards against loads of runs as they were before their last update.
        loads = EngineLoads(token_seconds=lambda endpoint: 0.01)
        run = replace(draft("r1", "e1"), is_prefilling=False, n_generated_tokens=100)

        def n_generated(now: float) -> int:
            (estimate,) = loads.estimate([load("e1")], now)
            return estimate.runs[0].n_generated_tokens

        loads.put_run("n1", run, 10.0)
        assert n_generated(10.041) == n_generated(10.079) == 100
        assert n_generated(10.081) == n_generated(10.159) == 108
        loads.put_run("n1", replace(run, n_generated_tokens=50), 10.2)
        assert n_generated(10.281) == 58
        loads.put_run("n1", replace(run, is_prefilling=True), 10.3)
        assert n_generated(11.0) == 100

    def test_a_prefill_is_new_until_it_was_observed(self):
        # Guards against a count of the prompts ahead with each list of runs.
        observer = PrefillObserver(rates=PrefillRates())
        run = draft("r1", "e1", is_prefilling=True)
        assert observer.is_new(run)
        observer.on_run(run, "models", 0, 10.0)
        assert not observer.is_new(run)
        assert observer.is_new(replace(run, endpoint="e2"))
        assert not observer.is_new(replace(run, is_prefilling=False))

    def test_a_complete_list_makes_up_for_a_lost_end(self):
        # The datagram with a run's end is lost. The run's memory would count as used
        # for good, and callers would be refused while engines are free.
        loads = EngineLoads()
        loads.put_run("n1", draft("r1", "e1"), 0.0)
        loads.replace_runs("n1", [], 1.0)
        assert loads.runs_on_engine("e1") == []

    def test_a_run_that_is_no_longer_listed_expires(self):
        # A node has more runs than fit in one datagram, so no part of its list says
        # that it is complete. When the end of a run was lost, the estimated load of its
        # engine was too high and callers were refused until the node's runs expired.
        loads = EngineLoads()
        loads.put_run("n1", draft("ended", "e1"), 0.0)
        for at in (0.0, 0.5, 1.0, 1.5, 2.0):
            loads.put_run("n1", draft("goes on", "e1"), at)
        loads.expire(2.0, "me")
        assert [run.run_id for run in loads.runs_on_engine("e1")] == ["goes on"]

    def test_runs_of_a_paused_node_are_kept_for_a_while(self):
        # It may pause for a second or two, while its runs continue at their engines.
        loads = EngineLoads()
        loads.put_run("n1", draft("r1", "e1"), 0.0)
        loads.expire(3.0, "me")
        assert [run.run_id for run in loads.runs_on_engine("e1")] == ["r1"]

    def test_runs_of_a_silent_node_expire_but_never_one_s_own(self):
        loads = EngineLoads()
        loads.put_run("gone", draft("r1", "e1"), 0.0)
        loads.put_run("me", draft("r2", "e1"), 0.0)
        loads.expire(60.0, "me")
        assert [run.run_id for run in loads.runs_on_engine("e1")] == ["r2"]


class TestRunListSchedule:
    def test_the_total_list_rate_is_bounded_for_any_number_of_nodes(self):
        # With hundreds of nodes and a fixed period, lists would saturate small links.
        for n_active_nodes in (1, 13, 102, 195, 330, 2_000):
            period = RunListSchedule().period_seconds(n_active_nodes)
            assert n_active_nodes / period <= MAX_LISTS_PER_SECOND
            assert period >= MIN_LIST_PERIOD_SECONDS

    def test_a_node_without_runs_stops_after_some_empty_lists(self):
        schedule = RunListSchedule()
        schedule.on_run_announced()
        assert schedule.count_if_due(1)
        due = [schedule.count_if_due(0) for _ in range(5)]
        assert due == [True] * N_EMPTY_LISTS + [False] * (5 - N_EMPTY_LISTS)

    def test_a_run_that_ends_before_the_first_list_causes_empty_lists(self):
        # Short answers end between two lists, and the datagram with the end may be
        # lost.
        schedule = RunListSchedule()
        schedule.on_run_announced()
        assert schedule.count_if_due(0)


class TestRegistry:
    def make(self) -> tuple[Registry, list[str]]:
        departed: list[str] = []
        return Registry(on_leaving=lambda reg: departed.append(reg.endpoint)), departed

    def test_a_leaving_endpoint_gets_no_new_work_and_is_reported_once(self):
        registry, departed = self.make()
        registry.put(registration("e1"))
        registry.put(registration("e1", state=EndpointState.LEAVING))
        registry.put(registration("e1", state=EndpointState.LEAVING))
        assert registry.usable_endpoints("models") == []
        assert departed == ["e1"]

    def test_an_endpoint_whose_row_is_deleted_is_removed(self):
        registry, departed = self.make()
        registry.put(registration("e1"))
        registry.remove("e1", 0.0, may_be_lapse=False)
        assert registry.usable_endpoints("models") == []
        assert departed == ["e1"]

    def test_lapsed_rows_are_used_as_a_last_resort_after_a_store_outage(self):
        # The rows of all endpoints lapsed during an outage of the store and are renewed
        # two seconds after it. Until then callers would be refused although all
        # endpoints are healthy.
        registry, departed = self.make()
        registry.put(registration("e1"))
        registry.remove("e1", 10.0, may_be_lapse=True)
        assert [reg.endpoint for reg in registry.usable_endpoints("models")] == ["e1"]
        registry.expire(10.0 + LAPSE_GRACE_SECONDS)
        assert registry.usable_endpoints("models") == []
        assert departed == ["e1"]

    def test_a_restart_under_the_same_id_is_another_process(self):
        # An engine crashes and restarts under its id. Its runs are lost, and the nodes
        # that placed them must be notified.
        registry, departed = self.make()
        previous = registration("e1", started_at=1)
        registry.put(previous)
        registry.put(registration("e1", started_at=2))
        assert departed == ["e1"]
        assert not registry.is_usable(previous)
        assert len(registry.usable_endpoints("models")) == 1

    def test_an_endpoint_whose_row_is_back_is_used_again(self):
        """Guards against workers that are never used again after one lapse."""
        registry, departed = self.make()
        for sequence in (1, 5, 9):
            registry.put(registration("e1", started_at=7, sequence=sequence))
            assert len(registry.usable_endpoints("models")) == 1
            registry.remove("e1", 0.0, may_be_lapse=False)
            assert registry.usable_endpoints("models") == []
        assert departed == ["e1"] * 3

    def test_an_earlier_heartbeat_does_not_bring_an_endpoint_back(self):
        """Guards against work for one that left while a heartbeat was on its way."""
        registry, _ = self.make()
        registry.put(registration("e1", started_at=7, sequence=5))
        registry.remove("e1", 0.0, may_be_lapse=False)
        for sequence in (4, 5):
            registry.put(registration("e1", started_at=7, sequence=sequence))
            assert registry.usable_endpoints("models") == []
            registry.remove("e1", 0.0, may_be_lapse=False)
        registry.put(registration("e1", started_at=7, sequence=5))
        assert registry.usable_endpoints("models") == []
        registry.put(registration("e1", started_at=7, sequence=6))
        assert len(registry.usable_endpoints("models")) == 1

    def test_what_an_endpoint_said_is_not_undone_by_its_row(self):
        """Guards against work for an endpoint that leaves and whose row flaps."""
        for says in ("row", "answer", "peer"):
            registry, _ = self.make()
            reg = registration("e1", started_at=7, sequence=1)
            registry.put(reg)
            if says == "row":
                registry.put(replace(reg, state=EndpointState.LEAVING))
            elif says == "answer":
                registry.record_leaving(reg)
            else:
                registry.record_leaving_at_peer("e1", 7)
            registry.remove("e1", 0.0, may_be_lapse=False)
            registry.put(replace(reg, sequence=2))
            assert registry.usable_endpoints("models") == []

    def test_a_lapsed_endpoint_is_used_again_once_its_row_is_back(self):
        registry, _ = self.make()
        registry.put(registration("e1", started_at=7, sequence=1))
        registry.remove("e1", 10.0, may_be_lapse=True)
        registry.expire(10.0 + LAPSE_GRACE_SECONDS)
        registry.put(registration("e1", started_at=7, sequence=2))
        assert len(registry.usable_endpoints("models")) == 1

    def test_a_row_at_the_address_of_a_later_start_is_not_used(self):
        """Guards against attempts at an endpoint that another one has replaced."""
        registry, _ = self.make()
        registry.put(registration("former", started_at=1))
        registry.put(registration("present", started_at=2))
        found = [reg.endpoint for reg in registry.usable_endpoints("models")]
        assert found == ["present"]
        registry.remove("present", 0.0, may_be_lapse=False)
        assert [reg.endpoint for reg in registry.usable_endpoints("models")] == [
            "former"
        ]

    def test_an_address_belongs_to_the_later_start(self):
        """Guards against statements that are recorded of an endpoint that is gone."""
        registry, _ = self.make()
        former = registration("former", started_at=1)
        present = registration("present", started_at=2)
        for regs in ((former, present), (present, former)):
            registry, _ = self.make()
            for reg in regs:
                registry.put(reg)
            assert registry.find_address(former.address) == present

    def test_a_row_of_an_older_incarnation_is_ignored(self):
        registry, departed = self.make()
        registry.put(registration("e1", started_at=2))
        registry.put(registration("e1", started_at=1, state=EndpointState.LEAVING))
        assert len(registry.usable_endpoints("models")) == 1
        assert departed == []


class TestRetryBudget:
    def make(self, share: float = 1.0) -> tuple[SharedRetryBudget, list[str]]:
        announced: list[str] = []
        budget = SharedRetryBudget(
            ratio=0.2,
            allowance=10.0,
            window_seconds=10.0,
            received_share=lambda: share,
            tell=announced.append,
        )
        return budget, announced

    def test_the_allowance_is_shared_by_all_nodes(self):
        # A service fails, and all nodes retry their requests. With a budget of its own,
        # each would keep its limit, and all together would overload the service.
        budget, announced = self.make()
        n_allowed = int(USED_SHARE * 10)
        for _ in range(n_allowed - 1):
            budget.record_peer_retry("desk", 0.0)
        assert budget.take("desk", 0.0)
        assert not budget.take("desk", 0.0)
        assert announced == ["desk"]

    def test_a_node_that_receives_from_few_others_uses_its_share_only(self):
        budget, _ = self.make(share=0.1)
        assert not budget.take("desk", 0.0)

    def test_own_requests_allow_further_retries(self):
        budget, _ = self.make(share=0.0)
        for _ in range(100):
            budget.record_request("desk", 0.0)
        n_taken = sum(budget.take("desk", 0.0) for _ in range(100))
        assert n_taken == int(USED_SHARE * 0.2 * 100)

    def test_the_window_slides(self):
        budget, _ = self.make()
        while budget.take("desk", 0.0):
            pass
        assert not budget.take("desk", 9.0)
        assert budget.take("desk", 10.1)


class TestEndpointChoice:
    REGS = [registration(f"e{n}") for n in range(3)]

    def make(self) -> EndpointChoice:
        self.announced: list[str] = []
        self.connected: set[Address] = set()
        return EndpointChoice(
            failure_domain="a",
            rng=random.Random(3),
            tell=self.announced.append,
            is_connected=self.connected.__contains__,
        )

    def test_a_failing_endpoint_that_passes_health_checks_is_avoided(self):
        # One of three endpoints fails half of its requests but passes its health
        # checks. If it kept its share of the load, every sixth request would fail.
        choice = self.make()
        for number in range(20):
            choice.begin("e1", 0.0)
            choice.end("e1", 0.0, is_failed=number % 2 == 0, is_broken=False, now=0.0)
        chosen = [choice.choose(self.REGS, (), 0.0) for _ in range(50)]
        assert all(reg is not None and reg.endpoint != "e1" for reg in chosen)

    def test_a_failing_endpoint_is_tried_again_after_a_while(self):
        choice = self.make()
        for _ in range(20):
            choice.begin("e1", 0.0)
            choice.end("e1", 0.0, is_failed=True, is_broken=False, now=0.0)
        chosen = {choice.choose(self.REGS, (), 60.0).endpoint for _ in range(50)}  # type: ignore[union-attr]
        assert "e1" in chosen

    def test_broken_off_requests_are_announced_at_a_limited_rate(self):
        # An endpoint resets all requests while its row reports it healthy. Each node
        # found out by a request of its own, which may have run and was answered 502.
        choice = self.make()
        for number in range(10):
            choice.begin("e1", 0.0)
            choice.end("e1", 0.0, is_failed=True, is_broken=True, now=0.05 * number)
        assert 1 <= len(self.announced) <= 3

    def test_an_endpoint_that_takes_many_times_as_long_is_avoided(self):
        # It passes its health checks and fails nothing. Each of a dozen nodes rarely
        # has two requests in progress there, so it kept its share of the load.
        choice = self.make()
        for name, seconds in (("e0", 0.06), ("e1", 0.5), ("e2", 0.07)):
            for number in range(5):
                choice.begin(name, number)
                choice.end(
                    name, number, is_failed=False, is_broken=False, now=number + seconds
                )
        chosen = [choice.choose(self.REGS, (), 5.0) for _ in range(50)]
        assert all(reg is not None and reg.endpoint != "e1" for reg in chosen)
        later = {choice.choose(self.REGS, (), 90.0).endpoint for _ in range(50)}  # type: ignore[union-attr]
        assert "e1" in later

    def test_an_endpoint_that_has_not_answered_yet_is_avoided(self):
        choice = self.make()
        choice.begin("e1", 0.0)
        chosen = [choice.choose(self.REGS, (), 0.4) for _ in range(50)]
        assert all(reg is not None and reg.endpoint != "e1" for reg in chosen)

    def test_error_answers_are_not_announced(self):
        choice = self.make()
        choice.begin("e1", 0.0)
        choice.end("e1", 0.0, is_failed=True, is_broken=False, now=0.0)
        assert self.announced == []

    def test_an_endpoint_that_broke_requests_of_others_is_avoided_for_a_while(self):
        choice = self.make()
        for number in range(3):
            choice.record_peer_failure("e1", f"node-{number}", 0.0)
        chosen = [choice.choose(self.REGS, (), 0.0) for _ in range(50)]
        assert all(reg is not None and reg.endpoint != "e1" for reg in chosen)
        later = {choice.choose(self.REGS, (), 60.0).endpoint for _ in range(50)}  # type: ignore[union-attr]
        assert "e1" in later

    def test_the_word_of_one_node_alone_takes_no_endpoint_from_others(self):
        # A node that had lost its path announced each endpoint five times a second.
        choice = self.make()
        for number in range(15):
            choice.record_peer_failure("e1", "node-1", 0.1 * number)
        for node in ("node-1", "node-2"):
            choice.record_peer_failure("e2", node, 1.4)
        chosen = [choice.choose(self.REGS, ("e0",), 1.4) for _ in range(50)]
        assert all(reg is not None and reg.endpoint == "e1" for reg in chosen)

    def test_an_open_connection_is_reused_while_its_endpoint_is_free(self):
        # Each of hundreds of nodes sends few requests. Spread over all endpoints, their
        # connections would time out as idle before they are used again.
        choice = self.make()
        regs = [
            registration(f"e{n}", address=Address(host=f"10.0.0.{n}", port=1))
            for n in range(3)
        ]
        self.connected.add(regs[1].address)
        for _ in range(20):
            assert choice.choose(regs, (), 0.0) == regs[1]
        choice.begin("e1", 0.0)
        # With 24 slots, one request in progress costs less than a new connection, and
        # five cost more.
        assert choice.choose(regs, (), 0.0) == regs[1]
        for _ in range(4):
            choice.begin("e1", 0.0)
        assert choice.choose(regs, (), 0.0) != regs[1]

    def test_requests_in_progress_are_spread(self):
        choice = self.make()
        counts = {reg.endpoint: 0 for reg in self.REGS}
        for _ in range(30):
            reg = choice.choose(self.REGS, (), 0.0)
            assert reg is not None
            choice.begin(reg.endpoint, 0.0)
            counts[reg.endpoint] += 1
        assert max(counts.values()) - min(counts.values()) <= 3

    def test_no_endpoint_is_left_after_all_were_tried(self):
        assert self.make().choose(self.REGS, {"e0", "e1", "e2"}, 0.0) is None


class TestChoiceByStatedLoad:
    """The load: endpoints of six slots state their load and slowness in each answer.
    They are slow for 0.6 s now and then, and up to 330 nodes read the same values.
    """

    REGS = [registration(f"e{n}", n_slots=6) for n in range(4)]

    def make(self, seed: int = 3) -> tuple[EndpointChoice, EndpointSpeeds]:
        speeds = EndpointSpeeds()
        choice = EndpointChoice(
            failure_domain="a",
            rng=random.Random(seed),
            tell=lambda endpoint: None,
            is_connected=lambda address: True,
            speeds=speeds,
        )
        return choice, speeds

    def state(
        self,
        speeds: EndpointSpeeds,
        endpoint: str,
        slowness: float | None = 1.0,
        n_running: int = 1,
        now: float = 0.0,
    ) -> None:
        header = LoadHeader(
            n_running=n_running, n_waiting=0, n_slots=6, slowness=slowness
        )
        speeds.record_told(endpoint, header, now, is_sample=False)

    def shares(self, choice: EndpointChoice, now: float = 0.0) -> dict[str, float]:
        counts = {reg.endpoint: 0 for reg in self.REGS}
        for _ in range(1_000):
            reg = choice.choose(self.REGS, (), now)
            assert reg is not None
            counts[reg.endpoint] += 1
        return {endpoint: n / 1_000 for endpoint, n in counts.items()}

    def names(self, choice: EndpointChoice, now: float) -> list[str]:
        chosen = [choice.choose(self.REGS, (), now) for _ in range(200)]
        return [reg.endpoint for reg in chosen if reg is not None]

    def test_endpoints_without_statements_are_chosen_as_before(self):
        # Guards against an effect on services that send no header.
        choice, speeds = self.make()
        self.state(speeds, "another service's", 4.0, 6)
        rng = random.Random(3)
        for _ in range(200):
            draws = [rng.random() for _ in self.REGS]
            expected = self.REGS[draws.index(min(draws))]
            assert choice.choose(self.REGS, (), 0.0) == expected

    def test_equal_statements_change_nothing(self):
        # Guards against nodes that give up open connections for no gain.
        choice, speeds = self.make()
        for reg in self.REGS:
            self.state(speeds, reg.endpoint)
        assert self.names(choice, 0.0) == self.names(self.make()[0], 0.0)

    def test_stale_statements_change_nothing(self):
        # Guards against old values after a lost node or a cut link: none arrive then.
        choice, speeds = self.make()
        for number, reg in enumerate(self.REGS):
            self.state(speeds, reg.endpoint, 1.0 + number, number)
        assert self.names(choice, 30.0) == self.names(self.make()[0], 30.0)

    def test_a_slow_endpoint_gets_no_request_and_returns_without_news(self):
        # Guards against requests at an endpoint that is known to be slow, and against
        # one that is avoided for longer than it is slow.
        choice, speeds = self.make()
        for reg in self.REGS:
            self.state(speeds, reg.endpoint, 2.5 if reg.endpoint == "e1" else 1.0)
        assert self.shares(choice)["e1"] < 0.02
        assert self.shares(choice, 4.0)["e1"] > 0.15

    def test_a_full_endpoint_is_avoided_while_the_statement_is_fresh(self):
        # Guards against requests that queue at a full endpoint beside idle ones.
        choice, speeds = self.make()
        for reg in self.REGS:
            self.state(speeds, reg.endpoint, None, 6 if reg.endpoint == "e1" else 0)
        assert self.shares(choice)["e1"] < 0.05
        assert self.shares(choice, 1.0)["e1"] > 0.15

    def test_one_fast_endpoint_is_not_flooded_under_load(self):
        # Guards against three slow endpoints that idle beside a full one.
        choice, speeds = self.make()
        for reg in self.REGS:
            self.state(speeds, reg.endpoint, 1.0, 3)
        for reg in self.REGS:
            is_fast = reg.endpoint == "e1"
            self.state(speeds, reg.endpoint, 1.0 if is_fast else 2.5, 3, 1.0)
        # At half load the fast one can run half of all requests.
        assert 0.3 < self.shares(choice, 1.0)["e1"] < 0.6
        assert 0.3 < self.shares(choice, 1.2)["e1"] < 0.6

    @pytest.mark.parametrize("n_nodes", [12, 100, 330])
    def test_nodes_that_read_one_idle_endpoint_do_not_all_choose_it(self, n_nodes: int):
        # Guards against a herd: least loaded by stated value sends all requests to the
        # idle one, power of two choices half of them. Its share of the free slots is
        # a half, too; three standard deviations are allowed beyond it.
        n_chosen = 0
        for seed in range(n_nodes):
            choice, speeds = self.make(seed)
            for reg in self.REGS:
                n_running = 0 if reg.endpoint == "e1" else 4
                self.state(speeds, reg.endpoint, 1.0, n_running)
            reg = choice.choose(self.REGS, (), 0.001)
            n_chosen += reg is not None and reg.endpoint == "e1"
        assert n_chosen / n_nodes <= 0.5 + 3 * 0.5 / n_nodes**0.5

    def test_one_that_states_to_be_idle_and_refuses_all_is_avoided(self):
        # Guards against a false statement that outweighs refusals.
        choice, speeds = self.make()
        for number in range(20):
            now = 0.2 * number
            for reg in self.REGS:
                n_running = 0 if reg.endpoint == "e1" else 4
                self.state(speeds, reg.endpoint, 0.5, n_running, now)
            reg = choice.choose(self.REGS, (), now)
            assert reg is not None
            choice.begin(reg.endpoint, now)
            is_refused = reg.endpoint == "e1"
            choice.end(
                reg.endpoint,
                now,
                is_failed=is_refused,
                is_broken=False,
                now=now + 0.02,
                is_answered=not is_refused,
                is_refused=is_refused,
            )
            if is_refused:
                break
        assert is_refused
        assert self.shares(choice, now + 0.02)["e1"] < 0.02

    def test_failures_outweigh_a_favourable_statement(self):
        # Guards against requests at an endpoint that fails as fast as it says.
        choice, speeds = self.make()
        for _ in range(4):
            choice.begin("e1", 0.0)
            choice.end("e1", 0.0, is_failed=True, is_broken=False, now=0.01)
        for reg in self.REGS:
            self.state(speeds, reg.endpoint, 0.5 if reg.endpoint == "e1" else 2.0)
        assert self.shares(choice)["e1"] < 0.2

    def test_the_inputs_are_reported_with_their_age(self):
        # Guards against log lines that don't explain a choice.
        choice, speeds = self.make()
        assert choice.inputs("e1", 0.0) == {}
        self.state(speeds, "e1", 2.5, 3)
        inputs = choice.inputs("e1", 0.1)
        assert inputs["stated_age"] == 0.1
        assert inputs["slowness"] > 2.0
        assert 0 < inputs["n_elsewhere"] < 3


class TestEventSplitter:
    def test_only_complete_events_are_returned(self):
        # An engine stops in the middle of an event. If the first half were forwarded,
        # the caller would get a broken event, and the event again when the stream
        # resumes.
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: a") == []
        (event,) = splitter.feed(b"b\n\nid: 2\nda")
        assert event.data == b"id: 1\ndata: ab\n\n"
        assert (event.event_id, event.number) == ("1", 1)
        assert not splitter.is_empty
        splitter.clear()
        assert splitter.is_empty

    def test_line_ends_of_either_kind_end_an_event(self):
        splitter = EventSplitter()
        events = splitter.feed(b"id:7\r\ndata: x\r\n\r\ndata: y\n\n")
        assert [event.event_id for event in events] == ["7", None]
        assert events[1].number is None

    def test_single_bytes_give_the_same_events(self):
        data = b": hi\n\nid: 1\r\ndata: a\r\n\r\ndata: b\n\n"
        whole, single = EventSplitter(), EventSplitter()
        found = [one for byte in data for one in single.feed(bytes([byte]))]
        assert found == whole.feed(data)
        assert [event.is_comment for event in found] == [True, False, False]

    def test_an_event_without_end_is_overlong(self):
        # It was buffered without a bound, and searched from its first byte each time.
        splitter = EventSplitter()
        splitter.feed(b"data: " + b"x" * MAX_EVENT_BYTES)
        assert splitter.is_overlong
        splitter.clear()
        assert not splitter.is_overlong

    def test_comments_without_end_are_overlong(self):
        # They are no events, so a stream of them never gets any further.
        splitter = EventSplitter()
        splitter.feed(b": x\n\n" * (MAX_EVENT_BYTES // 5))
        splitter.feed(b"data: a\n\n")
        splitter.feed(b": x\n\n" * (MAX_EVENT_BYTES // 5))
        assert not splitter.is_overlong
        splitter.feed(b": x\n\n")
        assert splitter.is_overlong


class TestPrefillInTime:
    """Prompts arrive faster than engines read them. Placed by free memory alone, they
    would queue at the engines and their first tokens would come late.
    """

    def draft_in_prefill(self, name: str) -> Run:
        return draft(name, is_prefilling=True)

    def test_a_queue_that_delays_the_first_token_is_not_joined(self):
        demand = replace(DEMAND, max_prefill_seconds=1.0, prefill_rate=7_500.0)
        assert placing.fits(load("e1", self.draft_in_prefill("r1")), demand)
        queued = load("e1", self.draft_in_prefill("r1"), self.draft_in_prefill("r2"))
        assert not placing.fits(queued, demand)

    def test_an_engine_without_prefills_accepts_any_prompt(self):
        demand = replace(DEMAND, n_prefill_tokens=20_000, max_prefill_seconds=0.1)
        assert placing.can_prefill_in_time(load("e1", draft("r1")), demand)

    def test_a_moved_run_needs_no_prefill_and_fits_any_queue(self):
        moved = replace(DEMAND, n_prefill_tokens=0)
        queued = load("e1", *(self.draft_in_prefill(f"r{n}") for n in range(5)))
        assert placing.fits(queued, moved)


class TestObstacles:
    def test_obstacles_are_counted_by_kind(self):
        """A refusal for lack of capacity reports what was lacking: memory, slots or
        prefill capacity. An operator reacts differently to each.
        """
        demand = replace(DEMAND, max_prefill_seconds=0.5, prefill_rate=7_500.0)
        queued = load("queued", draft("r1", is_prefilling=True))
        full = load("full", *(draft(f"r{n}") for n in range(9)))
        crowded = replace(load("crowded", draft("r1")), n_slots=1)
        free = load("free")
        found = placing.count_obstacles([queued, full, crowded, free], demand)
        assert found == {"prompts_queued": 1, "no_memory": 1, "no_slot": 1}


class TestPrefillObserver:
    """With a hundred nodes each relays a few generations a minute. From these alone no
    node learned that one engine reads at half the rate of the others, and prompts were
    placed behind queues there that took five seconds.
    """

    def observe(self, rates: PrefillRates, endpoint: str, seconds: float) -> None:
        observer = PrefillObserver(rates=rates)
        for number in range(40):
            run = draft(f"{endpoint}-{number}", endpoint, is_prefilling=True)
            observer.on_run(run, "models", 3_000, 10.0)
            observer.on_run(
                replace(run, is_prefilling=False), "models", 0, 10 + seconds
            )

    def test_a_slow_engine_is_known_from_the_runs_of_all_nodes(self):
        rates = PrefillRates()
        self.observe(rates, "e1", 1.0)
        self.observe(rates, "slow", 2.0)
        assert rates.rate("e1", "models") == pytest.approx(6_000, rel=0.05)
        assert rates.rate("slow", "models") == pytest.approx(3_000, rel=0.05)
        assert 3_000 < rates.rate("new", "models") < 6_000

    def test_a_run_that_was_moved_or_ended_is_no_observation(self):
        rates = PrefillRates()
        observer = PrefillObserver(rates=rates)
        moved, ended = (draft(name, "e1", is_prefilling=True) for name in ("m", "e"))
        for run in (moved, ended):
            observer.on_run(run, "models", 0, 10.0)
        elsewhere = replace(moved, endpoint="e2", is_prefilling=False)
        observer.on_run(elsewhere, "models", 0, 11.0)
        observer.forget("e")
        observer.on_run(replace(ended, is_prefilling=False), "models", 0, 11.0)
        assert rates.rate("e1", "models") == DEFAULT_PREFILL_RATE

    def test_fewer_prompts_are_placed_on_an_engine_that_reads_slowly(self):
        demand = replace(DEMAND, max_prefill_seconds=1.0)
        queued = load("e1", draft("q", is_prefilling=True))
        assert placing.fits(replace(queued, prefill_rate=7_500.0), demand)
        assert not placing.fits(replace(queued, prefill_rate=4_000.0), demand)


class TestPrefillRates:
    """The engines of some deployment read at half the default rate. With the default,
    prompts would wait twice as long as estimated.
    """

    def test_the_rate_is_estimated_by_service(self):
        rates = PrefillRates()
        for _ in range(40):
            rates.record_prefill("slow", 3_000, 1.0)
        assert rates.rate("slow") == pytest.approx(3_000, rel=0.05)
        assert rates.rate("other") == DEFAULT_PREFILL_RATE

    def test_one_stuck_engine_hardly_changes_the_rate(self):
        rates = PrefillRates()
        rates.record_prefill("models", 3_000, 60.0)
        assert rates.rate("models") > 0.85 * DEFAULT_PREFILL_RATE

    def test_short_queues_are_ignored(self):
        rates = PrefillRates()
        rates.record_prefill("models", 10, 0.5)
        assert rates.rate("models") == DEFAULT_PREFILL_RATE
