"""The relay's decisions, each by itself: no sockets, a clock that the test holds."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from celerytrail.model import EndpointState, EngineFacts, EngineReport, Registration
from celerytrail.policies import moving, placing
from celerytrail.policies.endpointchoice import EndpointChoice
from celerytrail.policies.engineloads import EngineLoad, EngineLoads, Run
from celerytrail.policies.paces import DEFAULT_TOKEN_SECONDS, Paces
from celerytrail.policies.readrates import DEFAULT_PREFILL_RATE, ReadRates
from celerytrail.policies.repeats import (
    MAX_LISTS_PER_SECOND,
    N_EMPTY_LISTS,
    SHORTEST_SECONDS,
    Repeats,
)
from celerytrail.policies.retrybudget import USED_SHARE, RetryBudget
from celerytrail.relay.events import EventSplitter
from celerytrail.relay.registry import LAPSE_SECONDS, Registry
from celerytrail.types import Address

ENGINE = EngineFacts(
    n_slots=24,
    n_memory_tokens=34_359,
    token_bytes=18_432,
    link_bytes_per_second=2_700 * 125_000,
    can_move=True,
    can_back_up=True,
)
CHEAPEST = placing.CheapestPlacing()


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
        "is_reading": False,
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
    n_tokens=3_000, n_reading_tokens=3_000, n_remaining_tokens=900, failure_domain="a"
)


class TestPeakOverTime:
    def test_one_run_peaks_at_its_end(self):
        assert placing.peak_tokens([(3_000, 900)]) == 3_900

    def test_ends_that_fall_apart_take_less_than_their_sum(self):
        # One run gives back its memory long before the other needs more.
        assert placing.peak_tokens([(3_000, 100), (3_000, 900)]) == 6_200

    def test_no_runs_take_nothing(self):
        assert placing.peak_tokens([]) == 0


class TestPlacing:
    def test_a_burst_of_drafts_is_spread_over_the_engines(self):
        # Twelve drafts arrive within a second at several nodes, and each is placed with
        # what was placed before in view. Read side by side on one engine, the last one
        # would wait for its first token until its caller has given up.
        rng = random.Random(1)
        placed: dict[str, list[Run]] = {f"e{n}": [] for n in range(6)}
        for number in range(12):
            loads = [load(name, *runs) for name, runs in placed.items()]
            chosen = CHEAPEST.choose(loads, DEMAND, rng)
            assert chosen is not None
            name = chosen.reg.endpoint
            placed[name].append(draft(f"r{number}", name, is_reading=True))
        assert [len(runs) for runs in placed.values()] == [2] * 6

    def test_a_new_empty_engine_does_not_draw_all(self):
        # An engine that replaces one that was taken away comes up empty beside four
        # that are half full. All that arrived went there, and its queue of prompts
        # made callers wait three seconds for a first token.
        rng = random.Random(1)
        placed = {f"e{n}": [draft(f"x{n}{k}") for k in range(4)] for n in range(4)}
        placed["new"] = []
        for number in range(6):
            loads = [load(name, *runs) for name, runs in placed.items()]
            chosen = CHEAPEST.choose(loads, DEMAND, rng)
            assert chosen is not None
            name = chosen.reg.endpoint
            placed[name].append(draft(f"r{number}", name, is_reading=True))
        assert len(placed["new"]) <= 2

    def test_none_is_chosen_where_memory_would_run_out(self):
        # Placed all the same, the newest run would be preempted in the middle of its
        # stream, and its caller would see it stand still while its prompt is read anew.
        full = load("e1", *(draft(f"r{n}") for n in range(8)))
        assert CHEAPEST.choose([full], DEMAND, random.Random(1)) is None

    def test_a_run_off_a_leaving_engine_may_fill_what_new_ones_may_not(self):
        nearly = load("e1", *(draft(f"r{n}", n_made_tokens=400) for n in range(7)))
        moved = replace(DEMAND, memory_share=placing.MOVE_SHARE, n_remaining_tokens=350)
        assert not placing.fits(nearly, replace(DEMAND, n_remaining_tokens=350))
        assert placing.fits(nearly, moved)

    def test_memory_that_no_list_explains_counts_by_the_engines_report(self):
        # Copies were left behind by a node that died. The engine looks empty by all
        # lists of runs, and whatever is placed there waits for seconds.
        report = EngineReport(
            n_queued=0, n_running=0, n_used_tokens=30_000, n_memory_tokens=34_359
        )
        assert not placing.fits(replace(load("e1"), report=report), DEMAND)

    def test_copies_take_memory_too(self):
        copies = tuple(draft(f"c{n}", "e2", backup="e1") for n in range(8))
        crowded = replace(load("e1"), copies=copies)
        assert not placing.fits(crowded, DEMAND)

    def test_a_copy_goes_where_most_room_is_and_never_to_the_engine_itself(self):
        loads = [load("e1"), load("e2", draft("r1", "e2")), load("e3")]
        chosen = placing.choose_backup(
            loads, DEMAND, registration("e1"), random.Random(1), is_needed=False
        )
        assert chosen is not None and chosen.reg.endpoint == "e3"

    def test_a_copy_stays_in_the_failure_domain_of_its_run(self):
        # Each draft that starts is copied whole to another engine. To another failure
        # domain that takes 0.34 s of both links; drafts that leave an engine with 1.6 s
        # left waited behind such copies, and were lost or stood still for a second.
        loads = [load("e1"), load("e2", failure_domain="b")]
        chosen = placing.choose_backup(
            loads, DEMAND, registration("e1"), random.Random(1), is_needed=True
        )
        assert chosen is None

    def test_no_copy_where_it_would_take_the_room_of_new_generations(self):
        runs = [draft(f"r{n}", "e2") for n in range(5)]
        loads = [load("e1"), load("e2", *runs)]
        chosen = placing.choose_backup(
            loads, DEMAND, registration("e1"), random.Random(1), is_needed=False
        )
        assert chosen is None

    def test_a_short_answer_is_read_where_it_delays_the_fewest(self):
        # Questions with a prompt of 2,500 tokens and 16 tokens of answer come beside
        # drafts. Read on an engine with five drafts, each holds up all five; callers
        # see every draft take seconds longer. One engine is given few drafts, though
        # the questions that it reads make it look as busy as the others.
        question = replace(DEMAND, n_tokens=2_550, n_reading_tokens=2_550)
        question = replace(question, n_remaining_tokens=16)
        drafting = [
            load(f"e{n}", *(draft(f"x{n}{k}") for k in range(5))) for n in (1, 2)
        ]
        asked = draft("q", "e3", n_prompt_tokens=2_550, n_expected_tokens=16)
        quiet = load("e3", replace(asked, is_reading=True), draft("x3"))
        chosen = CHEAPEST.choose([*drafting, quiet], question, random.Random(1))
        assert chosen is not None and chosen.reg.endpoint == "e3"

    def test_long_outputs_go_to_fast_engines_and_short_ones_anywhere(self):
        # A third of the engines makes tokens a third slower. A draft of a thousand
        # tokens placed there takes four seconds longer, and is lost more often.
        slow = replace(load("slow"), token_seconds=0.015)
        fast = replace(load("fast", draft("r1"), draft("r2")), token_seconds=0.010)
        chosen = CHEAPEST.choose([slow, fast], DEMAND, random.Random(1))
        assert chosen is not None and chosen.reg.endpoint == "fast"
        short = replace(DEMAND, n_remaining_tokens=15)
        chosen = CHEAPEST.choose([slow, fast], short, random.Random(1))
        assert chosen is not None and chosen.reg.endpoint == "slow"


class TestPaces:
    def test_a_slow_engine_is_known_by_the_progress_of_its_runs(self):
        paces = Paces()
        for step in range(20):
            now = step * 0.5
            paces.note(draft("a", "fast", n_made_tokens=1 + step * 50), now)
            paces.note(draft("b", "slow", n_made_tokens=1 + step * 25), now)
        assert paces.token_seconds("fast") == pytest.approx(0.010)
        assert paces.token_seconds("slow") == pytest.approx(0.020)

    def test_looks_that_follow_at_once_tell_nothing(self):
        paces = Paces()
        paces.note(draft("a", "e1", n_made_tokens=10), 0.0)
        paces.note(draft("a", "e1", n_made_tokens=10), 0.01)
        assert paces.token_seconds("e1") == DEFAULT_TOKEN_SECONDS

    def test_a_move_to_another_engine_starts_anew(self):
        paces = Paces()
        paces.note(draft("a", "e1", n_made_tokens=10), 0.0)
        paces.note(draft("a", "e2", n_made_tokens=500), 0.5)
        assert paces.token_seconds("e2") == DEFAULT_TOKEN_SECONDS

    def test_a_run_that_stands_still_makes_its_engine_slow(self):
        paces = Paces()
        for step in range(10):
            paces.note(draft("a", "e1", n_made_tokens=10), float(step))
        assert paces.token_seconds("e1") == pytest.approx(0.05)


class TestMoving:
    # Longer outputs, from which more was made already.
    RUNS = [
        draft(f"r{n}", n_expected_tokens=600 + n * 300, n_made_tokens=n * 100)
        for n in range(4)
    ]

    @staticmethod
    def may_begin(run_id: str, runs: list[Run]) -> bool:
        return moving.Turns(run_id=run_id, engine=ENGINE).may_begin(runs, 0.0)

    def test_one_run_is_moved_at_a_time_the_costliest_loss_first(self):
        # An engine with four drafts is gone 1.6 s after its notice. Begun at once, the
        # last copy of each, for which it stands still, waited behind the first copies
        # of the others, and the engine was gone before any had left.
        left = list(self.RUNS)
        order = []
        while left:
            due = [run.run_id for run in left if self.may_begin(run.run_id, left)]
            assert len(due) == 1
            order += due
            left = [run for run in left if run.run_id != due[0]]
        assert order == ["r3", "r2", "r1", "r0"]

    def test_what_little_a_long_prompt_is_worth_waits(self):
        # A prompt of 6,600 tokens keeps the link busy for 0.7 s, in which two drafts of
        # as many tokens of output could have left.
        bulky = draft("bulky", n_prompt_tokens=6_600)
        assert self.may_begin("r0", [bulky, *self.RUNS[:1]])
        assert not self.may_begin("bulky", [bulky, *self.RUNS[:1]])

    def test_nodes_that_know_their_own_runs_better_agree_on_the_order(self):
        # Each node knows how far its own run is now, and the others' as of half a
        # second ago. By how far they were, both of two runs that are alike began, and
        # the first one's last copy waited behind the second one's first.
        own = draft("r1", n_made_tokens=440)
        stale = draft("r1", n_made_tokens=400)
        other = draft("r2", n_made_tokens=440)
        other_stale = draft("r2", n_made_tokens=400)
        may_one = self.may_begin("r1", [own, other_stale])
        may_other = self.may_begin("r2", [stale, other])
        assert may_one != may_other

    def test_a_run_on_its_way_keeps_its_turn(self):
        # The target that a move reserves looks like a copy elsewhere; taken for one,
        # it let the next move begin before the first was done.
        moving_run = replace(self.RUNS[3], backup="e2", is_moving=True)
        runs = [*self.RUNS[:3], moving_run]
        assert self.may_begin("r3", runs)
        assert not self.may_begin("r2", runs)

    def test_a_copy_that_takes_its_usual_time_is_not_overtaken(self):
        # A copy to another failure domain takes twice as long as within one. The next
        # one began beside it, and both were cut when their engine was gone.
        moving_run = replace(self.RUNS[3], backup="e2", is_moving=True)
        runs = [*self.RUNS[:3], moving_run]
        turns = moving.Turns(run_id="r2", engine=ENGINE)
        far = moving.copy_seconds(moving_run, ENGINE, is_far=True)
        looks = [turns.may_begin(runs, at) for at in (0.0, 0.5 * far, far)]
        assert looks == [False, False, False]

    def test_runs_with_a_copy_elsewhere_don_t_wait_for_the_link(self):
        copied = replace(self.RUNS[3], backup="e2")
        assert self.may_begin("r2", [*self.RUNS[:3], copied])

    def test_a_prompt_that_is_still_read_holds_up_nobody(self):
        # It can't be moved before its first token, which may be a second away.
        reading = replace(self.RUNS[3], is_reading=True)
        assert self.may_begin("r2", [*self.RUNS[:3], reading])

    def test_one_that_is_about_to_end_goes_last(self):
        ending = draft("ending", n_made_tokens=870)
        assert self.may_begin("r3", [ending, *self.RUNS])

    def test_one_that_is_past_its_hint_is_not_taken_for_ending(self):
        # Hints are often far off. A draft that goes on beyond its own would be moved
        # last, and lost with what was made of it, as if it were about to end.
        past = draft("past", n_expected_tokens=1_500, n_made_tokens=1_700)
        assert self.may_begin("past", [past, *self.RUNS])

    def test_a_lost_node_does_not_hold_up_the_others_for_ever(self):
        # Its runs stay on the list for seconds, and nobody moves them.
        turns = moving.Turns(run_id="r0", engine=ENGINE)
        at = 0.0
        while not turns.may_begin(self.RUNS, at):
            at += 0.005
            assert at < 3.0
        assert at >= moving.START_TIMEOUT_SECONDS

    def test_a_lost_node_with_a_copy_under_way_does_not_either(self):
        stuck = replace(self.RUNS[1], backup="e2", is_moving=True)
        turns = moving.Turns(run_id="r0", engine=ENGINE)
        at = 0.0
        while not turns.may_begin([self.RUNS[0], stuck], at):
            at += 0.005
            assert at < 3.0

    def test_a_copy_takes_as_long_as_the_link_needs(self):
        run = draft("r", n_made_tokens=1_000)
        near = moving.copy_seconds(run, ENGINE, is_far=False)
        assert near == pytest.approx(4_000 * 18_432 / (2_700 * 125_000))
        assert moving.copy_seconds(run, ENGINE, is_far=True) == 2 * near

    def test_more_than_the_link_can_move_needs_copies(self):
        assert not moving.needs_backup(draft("new"), self.RUNS[:1], ENGINE)
        assert moving.needs_backup(draft("new"), self.RUNS, ENGINE)


class TestEngineLoads:
    def test_what_all_nodes_placed_is_summed_by_engine(self):
        loads = EngineLoads()
        loads.put("n1", draft("r1", "e1"), 0.0)
        loads.put("n2", draft("r2", "e1", backup="e2"), 0.0)
        empty = [load("e1"), load("e2")]
        found = {one.reg.endpoint: one for one in loads.loads(empty, 0.0)}
        assert len(found["e1"].runs) == 2
        assert [run.run_id for run in found["e2"].copies] == ["r2"]

    def test_runs_go_on_between_two_lists_of_their_node(self):
        # Lists come every few seconds where many nodes have runs; by then a draft takes
        # hundreds of tokens more, and its engine would be reckoned emptier than it is.
        loads = EngineLoads(token_seconds=lambda endpoint: 0.01)
        loads.put("n1", draft("r1", "e1", n_made_tokens=100, is_reading=False), 5.0)
        loads.put("n1", draft("r2", "e1", is_reading=True), 5.0)
        (found,) = loads.loads([load("e1")], 7.0)
        assert [run.n_made_tokens for run in found.runs] == [300, 0]
        assert loads.on_engine("e1")[0].n_made_tokens == 100

    def test_a_lost_end_is_mended_by_the_next_whole_list(self):
        # The datagram that says that a run ended is dropped. Its memory would count as
        # taken for good, and callers would be refused with engines free.
        loads = EngineLoads()
        loads.put("n1", draft("r1", "e1"), 0.0)
        loads.replace("n1", [], 1.0)
        assert loads.on_engine("e1") == []

    def test_a_lost_end_among_many_runs_is_mended_too(self):
        # A node has more runs than fit in one datagram, so no part of its list says
        # that there are no others. The end of one is lost on the way: its engine looked
        # fuller than it was, and callers were refused, until the node fell silent.
        loads = EngineLoads()
        loads.put("n1", draft("ended", "e1"), 0.0)
        for at in (0.0, 0.5, 1.0, 1.5, 2.0):
            loads.put("n1", draft("goes on", "e1"), at)
        loads.expire(2.0, "me")
        assert [run.run_id for run in loads.on_engine("e1")] == ["goes on"]

    def test_runs_of_a_node_that_pauses_are_kept_for_a_while(self):
        # It may stand still for a second or two; its runs go on at their engines.
        loads = EngineLoads()
        loads.put("n1", draft("r1", "e1"), 0.0)
        loads.expire(3.0, "me")
        assert [run.run_id for run in loads.on_engine("e1")] == ["r1"]

    def test_the_runs_of_a_silent_node_are_forgotten_but_never_one_s_own(self):
        loads = EngineLoads()
        loads.put("gone", draft("r1", "e1"), 0.0)
        loads.put("me", draft("r2", "e1"), 0.0)
        loads.expire(60.0, "me")
        assert [run.run_id for run in loads.on_engine("e1")] == ["r2"]


class TestRepeats:
    def test_all_lists_together_are_bounded_however_many_nodes_have_runs(self):
        # At hundreds of nodes a fixed period would fill small links with lists.
        for n_speaking in (1, 13, 102, 195, 330, 2_000):
            period = Repeats().period_seconds(n_speaking)
            assert n_speaking / period <= MAX_LISTS_PER_SECOND
            assert period >= SHORTEST_SECONDS

    def test_a_node_falls_silent_some_lists_after_its_last_run(self):
        repeats = Repeats()
        repeats.note_run()
        assert repeats.take(1)
        due = [repeats.take(0) for _ in range(5)]
        assert due == [True] * N_EMPTY_LISTS + [False] * (5 - N_EMPTY_LISTS)

    def test_a_run_that_ended_before_the_first_list_is_followed_by_empty_ones(self):
        # Short answers end between two lists; the news of that may be lost.
        repeats = Repeats()
        repeats.note_run()
        assert repeats.take(0)


class TestRegistry:
    def make(self) -> tuple[Registry, list[str]]:
        left: list[str] = []
        return Registry(on_leaving=lambda reg: left.append(reg.endpoint)), left

    def test_one_that_leaves_gets_no_new_work_and_is_told_once(self):
        registry, left = self.make()
        registry.put(registration("e1"))
        registry.put(registration("e1", state=EndpointState.LEAVING))
        registry.put(registration("e1", state=EndpointState.LEAVING))
        assert registry.usable("models") == []
        assert left == ["e1"]

    def test_one_whose_row_vanishes_is_gone(self):
        registry, left = self.make()
        registry.put(registration("e1"))
        registry.remove("e1", 0.0, may_be_lapse=False)
        assert registry.usable("models") == []
        assert left == ["e1"]

    def test_rows_that_lapsed_with_the_store_serve_where_nothing_else_does(self):
        # The store was away, and the rows of all endpoints lapsed meanwhile; they are
        # back two seconds after its return. Callers would be refused until then though
        # every endpoint is well.
        registry, left = self.make()
        registry.put(registration("e1"))
        registry.remove("e1", 10.0, may_be_lapse=True)
        assert [reg.endpoint for reg in registry.usable("models")] == ["e1"]
        registry.expire(10.0 + LAPSE_SECONDS)
        assert registry.usable("models") == []
        assert left == ["e1"]

    def test_the_same_id_born_again_is_another_process(self):
        # An engine crashes and comes back under its id. What ran there is lost, and
        # whoever carries its runs must hear of it.
        registry, left = self.make()
        former = registration("e1", started_at=1)
        registry.put(former)
        registry.put(registration("e1", started_at=2))
        assert left == ["e1"]
        assert not registry.is_usable(former)
        assert len(registry.usable("models")) == 1

    def test_word_of_an_older_life_changes_nothing(self):
        registry, left = self.make()
        registry.put(registration("e1", started_at=2))
        registry.put(registration("e1", started_at=1, state=EndpointState.LEAVING))
        assert len(registry.usable("models")) == 1
        assert left == []


class TestRetryBudget:
    def make(self, share: float = 1.0) -> tuple[RetryBudget, list[str]]:
        told: list[str] = []
        budget = RetryBudget(
            ratio=0.2,
            allowance=10.0,
            window_seconds=10.0,
            heard_share=lambda: share,
            tell=told.append,
        )
        return budget, told

    def test_the_allowance_is_one_for_all_nodes(self):
        # A service fails, and every node tries again what it has. Each alone would
        # keep to its bound, and all together would bury the service.
        budget, told = self.make()
        n_allowed = int(USED_SHARE * 10)
        for _ in range(n_allowed - 1):
            budget.note_other("desk", 0.0)
        assert budget.take("desk", 0.0)
        assert not budget.take("desk", 0.0)
        assert told == ["desk"]

    def test_a_node_that_hears_few_others_takes_its_share_only(self):
        budget, _ = self.make(share=0.1)
        assert not budget.take("desk", 0.0)

    def test_own_requests_allow_retries_besides(self):
        budget, _ = self.make(share=0.0)
        for _ in range(100):
            budget.note_request("desk", 0.0)
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
        self.told: list[str] = []
        self.connected: set[Address] = set()
        return EndpointChoice(
            failure_domain="a",
            rng=random.Random(3),
            tell=self.told.append,
            is_connected=self.connected.__contains__,
        )

    def test_one_that_fails_with_good_health_gets_less(self):
        # An endpoint fails half of its requests while its health answers are good.
        # Callers would see every sixth request fail as long as that lasts.
        choice = self.make()
        for number in range(20):
            choice.begin("e1")
            choice.end("e1", is_failed=number % 2 == 0, is_broken=False, now=0.0)
        chosen = [choice.choose(self.REGS, (), 0.0) for _ in range(50)]
        assert all(reg is not None and reg.endpoint != "e1" for reg in chosen)

    def test_it_is_tried_again_after_a_while(self):
        choice = self.make()
        for _ in range(20):
            choice.begin("e1")
            choice.end("e1", is_failed=True, is_broken=False, now=0.0)
        chosen = {choice.choose(self.REGS, (), 60.0).endpoint for _ in range(50)}  # type: ignore[union-attr]
        assert "e1" in chosen

    def test_one_that_breaks_requests_is_told_to_the_others(self):
        # An endpoint resets what it gets while its row says that it is well. Each node
        # found out by a filing of its own, which may have run and is answered 502.
        choice = self.make()
        for number in range(10):
            choice.begin("e1")
            choice.end("e1", is_failed=True, is_broken=True, now=0.05 * number)
        assert 1 <= len(self.told) <= 3

    def test_its_own_failing_answers_are_not_told(self):
        choice = self.make()
        choice.begin("e1")
        choice.end("e1", is_failed=True, is_broken=False, now=0.0)
        assert self.told == []

    def test_what_others_tell_keeps_requests_away_for_a_while(self):
        choice = self.make()
        for _ in range(3):
            choice.hear_broken("e1", 0.0)
        chosen = [choice.choose(self.REGS, (), 0.0) for _ in range(50)]
        assert all(reg is not None and reg.endpoint != "e1" for reg in chosen)
        later = {choice.choose(self.REGS, (), 60.0).endpoint for _ in range(50)}  # type: ignore[union-attr]
        assert "e1" in later

    def test_an_open_connection_is_used_again_while_its_endpoint_is_free(self):
        # Hundreds of nodes send an endpoint little each. Spread over all of them, its
        # connections close before they are used again.
        choice = self.make()
        regs = [
            registration(f"e{n}", address=Address(host=f"10.0.0.{n}", port=1))
            for n in range(3)
        ]
        self.connected.add(regs[1].address)
        for _ in range(20):
            assert choice.choose(regs, (), 0.0) == regs[1]
        choice.begin("e1")
        # One request at 24 slots costs less than a connection, five cost more.
        assert choice.choose(regs, (), 0.0) == regs[1]
        for _ in range(4):
            choice.begin("e1")
        assert choice.choose(regs, (), 0.0) != regs[1]

    def test_work_in_progress_is_spread(self):
        choice = self.make()
        counts = {reg.endpoint: 0 for reg in self.REGS}
        for _ in range(30):
            reg = choice.choose(self.REGS, (), 0.0)
            assert reg is not None
            choice.begin(reg.endpoint)
            counts[reg.endpoint] += 1
        assert max(counts.values()) - min(counts.values()) <= 3

    def test_none_is_left_once_all_were_tried(self):
        assert self.make().choose(self.REGS, {"e0", "e1", "e2"}, 0.0) is None


class TestEventSplitter:
    def test_only_whole_events_come_out(self):
        # An engine dies in the middle of an event. Were the first half passed on, the
        # caller would get the event broken, and again when the stream goes on.
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


class TestReadInTime:
    """More prompts come than engines read. Whatever is placed where memory is free
    waits there behind the others, and its caller's first word comes late.
    """

    def reading(self, name: str) -> Run:
        return draft(name, is_reading=True)

    def test_a_queue_that_makes_the_first_word_late_is_not_joined(self):
        demand = replace(DEMAND, read_seconds=1.0, read_rate=7_500.0)
        assert placing.fits(load("e1", self.reading("r1")), demand)
        queued = load("e1", self.reading("r1"), self.reading("r2"))
        assert not placing.fits(queued, demand)

    def test_an_engine_that_reads_nothing_takes_any_prompt(self):
        long = replace(DEMAND, n_reading_tokens=20_000, read_seconds=0.1)
        assert placing.can_prefill_in_time(load("e1", draft("r1")), long)

    def test_a_run_that_moves_reads_nothing_and_may_join_any_queue(self):
        moved = replace(DEMAND, n_reading_tokens=0)
        queued = load("e1", *(self.reading(f"r{n}") for n in range(5)))
        assert placing.fits(queued, moved)


class TestObstacles:
    def test_a_refusal_can_be_explained_by_what_stood_in_the_way(self):
        """A caller is refused for want of room. Whether memory, slots or queued prompts
        are short asks for different things of an operator.
        """
        demand = replace(DEMAND, read_seconds=0.5, read_rate=7_500.0)
        queued = load("queued", draft("r1", is_reading=True))
        full = load("full", *(draft(f"r{n}") for n in range(9)))
        crowded = replace(load("crowded", draft("r1")), n_slots=1)
        free = load("free")
        found = placing.count_obstacles([queued, full, crowded, free], demand)
        assert found == {"prompts_queued": 1, "no_memory": 1, "no_slot": 1}


class TestReadRates:
    """Engines of another deployment read half as fast as is usual. Were the usual rate
    taken for theirs, prompts would wait in queues twice as long as reckoned.
    """

    def test_the_rate_is_learned_by_service(self):
        rates = ReadRates()
        for _ in range(40):
            rates.note("slow", 3_000, 1.0)
        assert rates.rate("slow") == pytest.approx(3_000, rel=0.05)
        assert rates.rate("other") == DEFAULT_PREFILL_RATE

    def test_one_stuck_engine_does_not_close_all(self):
        rates = ReadRates()
        rates.note("models", 3_000, 60.0)
        assert rates.rate("models") > 0.85 * DEFAULT_PREFILL_RATE

    def test_short_prompts_say_nothing(self):
        rates = ReadRates()
        rates.note("models", 10, 0.5)
        assert rates.rate("models") == DEFAULT_PREFILL_RATE
