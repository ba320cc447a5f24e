"""Which prompt parts crashes and answers accuse."""

from __future__ import annotations

import random

import pytest

from celerytrail.model import Prompt
from celerytrail.policies.blockedprompts import (
    MAX_BLOCKS,
    MAX_REQUEST_BLOCKS,
    Block,
    BlockedPrompts,
)
from celerytrail.policies.crashsuspects import (
    MAX_ANSWERED,
    MAX_CRASHES,
    Crash,
    CrashSuspects,
    Finding,
    LostRun,
)


def prompt(*parts: str, own: str = "", service: str = "models") -> Prompt:
    return Prompt(service=service, shared_parts=parts, digest=own)


class Timeline:
    """Records crashes and answers, one second apart, and what they show."""

    def __init__(self) -> None:
        self.suspects = CrashSuspects()
        self.now = 100.0
        self.n_crashes = 0
        self.found: list[Finding] = []

    def answer(self, *parts: str, **more) -> bool:
        self.now += 1.0
        return self.suspects.record_answer(prompt(*parts, **more), self.now)

    def crash(self, *prompts: Prompt, sent_ago: float = 0.5, former=()) -> list[set]:
        """Record a crash by which runs were lost; return the parts that it shows."""
        self.now += 1.0
        self.n_crashes += 1
        runs = tuple(
            LostRun(
                prompt=one
                if one.digest
                else prompt(*one.shared_parts, own=f"own{self.n_crashes}{i}"),
                sent_at=self.now - sent_ago,
            )
            for i, one in enumerate(prompts)
        )
        crash = Crash(
            incarnation=(f"e{self.n_crashes}", 1), runs=runs, crashed_at=self.now
        )
        found = self.suspects.record_crash(crash, self.now, former)
        self.found += found
        return [set(one.parts) for one in found]


class TestFinding:
    def test_three_crashes_in_a_row_show_a_part(self):
        line = Timeline()
        assert line.crash(prompt("bad")) == []
        assert line.crash(prompt("bad")) == []
        assert line.crash(prompt("bad")) == [{"bad"}]
        assert line.found[0].crashes == (("e1", 1), ("e2", 1), ("e3", 1))

    def test_companions_that_were_answered_are_no_cause(self):
        line = Timeline()
        line.answer("first", "second")
        line.crash(prompt("first", "bad"))
        line.crash(prompt("first", "second", "bad"))
        assert line.crash(prompt("first", "second", "bad")) == [{"bad"}]

    def test_companions_that_were_never_answered_are_blocked_only_together(self):
        line = Timeline()
        for _ in range(2):
            line.crash(prompt("new", "bad"))
        assert line.crash(prompt("new", "bad")) == [{"new", "bad"}]
        # The next crash without one of them tells which it was.
        assert line.crash(prompt("bad")) == [{"bad"}]

    def test_two_parts_that_take_turns_are_both_found(self):
        line = Timeline()
        line.answer("first")
        found = []
        for n in range(6):
            found += line.crash(prompt("first", "bad1" if n % 2 else "bad2"))
        assert found == [{"bad2"}, {"bad1"}]

    def test_a_sound_run_at_the_same_engine_waits_for_a_crash_that_tells(self):
        line = Timeline()
        for _ in range(3):
            assert line.crash(prompt("rare"), prompt("bad")) == []
        assert line.crash(prompt("bad")) == [{"bad"}]

    def test_a_part_that_was_sound_needs_answers_without_it(self):
        line = Timeline()
        line.answer("first", "turned")
        for _ in range(5):
            assert line.crash(prompt("first", "turned")) == []
        for _ in range(3):
            line.answer("first")
        assert line.crash(prompt("first", "turned")) == [{"turned"}]

    def test_a_part_found_before_needs_one_more_crash(self):
        line = Timeline()
        former = [("models", "bad")]
        assert line.crash(prompt("bad"), former=former) == [{"bad"}]

    def test_parts_of_another_service_are_other_parts(self):
        line = Timeline()
        line.crash(prompt("bad"))
        line.crash(prompt("bad", own="x", service="other"))
        line.crash(prompt("bad"))
        assert line.crash(prompt("bad", own="y", service="other")) == []


class TestDigests:
    def test_a_shared_part_is_found_after_one_request_was_blocked(self):
        line = Timeline()
        line.answer("first")
        line.crash(prompt("first", "bad", own="x"))
        assert line.crash(prompt("first", "bad", own="x")) == []
        assert line.crash(prompt("first", "bad", own="y")) == [{"bad"}]

    def test_a_digest_is_not_a_shared_part_of_the_same_id(self):
        line = Timeline()
        line.crash(prompt("first", own="bad"))
        line.crash(prompt("bad", own="y"))
        assert line.crash(prompt("bad", own="z")) == []


class TestInnocents:
    def test_an_answer_clears_a_part_of_the_crashes_before_it(self):
        line = Timeline()
        line.crash(prompt("sound"))
        line.crash(prompt("sound"))
        assert line.answer("sound")
        assert line.crash(prompt("sound")) == []
        assert not line.answer("never", "suspected")

    def test_one_request_alone_accuses_no_part(self):
        # Its own part, or its body, may be the cause; its repeats are blocked.
        line = Timeline()
        line.answer("first")
        for _ in range(12):
            assert line.crash(prompt("first", "rare", own="same")) == []

    def test_engines_that_crash_together_count_once(self):
        # A lost failure domain crashes many engines, whose requests are sound.
        line = Timeline()
        for n in range(10):
            assert line.crash(prompt("sound"), sent_ago=5.0 + n) == []

    def test_a_crash_that_several_nodes_report_counts_once(self):
        suspects = CrashSuspects()
        for n in range(10):
            run = LostRun(prompt=prompt("sound", own=f"o{n}"), sent_at=1.0)
            crash = Crash(incarnation=("e1", 1), runs=(run,), crashed_at=2.0)
            assert suspects.record_crash(crash, 2.0) == []

    def test_crashes_of_everything_accuse_no_part_that_was_answered(self):
        # While all engines crash, for any reason, nothing is answered.
        line = Timeline()
        line.answer("first", "second")
        for _ in range(30):
            assert line.crash(prompt("first", "second"), prompt("first")) == []

    def test_crashes_that_a_found_part_explains_accuse_no_other(self):
        line = Timeline()
        for _ in range(2):
            line.crash(prompt("bad"), prompt("rare"))
        line.crash(prompt("bad"))
        assert line.crash(prompt("rare")) == []
        assert line.crash(prompt("rare")) == []

    def test_runs_that_were_in_flight_when_a_part_was_found_accuse_no_other(self):
        line = Timeline()
        for _ in range(3):
            line.crash(prompt("bad"))
        for _ in range(5):
            assert line.crash(prompt("bad"), prompt("rare")) == []

    def test_crashes_long_ago_do_not_count(self):
        line = Timeline()
        line.crash(prompt("bad"))
        line.crash(prompt("bad"))
        line.now += 601.0
        assert line.crash(prompt("bad")) == []


class TestBounds:
    def test_parts_without_end_need_bounded_memory(self):
        line = Timeline()
        rng = random.Random(1)
        for n in range(3 * MAX_ANSWERED):
            line.answer(f"p{n}")
        for n in range(2 * MAX_CRASHES):
            line.crash(*(prompt(f"{n}-{rng.random()}") for _ in range(50)))
        assert len(line.suspects._answered) <= MAX_ANSWERED
        assert len(line.suspects._crashes) <= MAX_CRASHES
        assert all(len(one.runs) <= 32 for one in line.suspects._crashes.values())
        held = {part for one in line.suspects._crashes.values() for part in one.sent_at}
        assert set(line.suspects._lost_with) == held

    def test_a_report_of_a_known_crash_forgets_no_other(self):
        suspects = CrashSuspects()
        for n in [*range(MAX_CRASHES), MAX_CRASHES - 1]:
            run = LostRun(prompt=prompt("sound", own=f"o{n}"), sent_at=1.0)
            crash = Crash(incarnation=(f"e{n}", 1), runs=(run,), crashed_at=2.0)
            suspects.record_crash(crash, 2.0)
        assert suspects.n_crashes == MAX_CRASHES

    def test_engines_lost_together_cost_no_ranking_of_all_parts(self, monkeypatch):
        # Each report of 64 lost engines ranked thousands of parts, for seconds in all,
        # and the node served nobody meanwhile.
        line = Timeline()
        line.answer("first")
        ranked = []
        monkeypatch.setattr(line.suspects, "_strongest", ranked.append)
        for n in range(MAX_CRASHES):
            runs = (prompt("first", f"p{k}") for k in range(8))
            assert line.crash(*runs, sent_ago=5.0 + n) == []
        assert not ranked

    def test_blocks_are_bounded(self):
        blocked = BlockedPrompts()
        for n in range(2 * MAX_BLOCKS):
            blocked.put(block(f"p{n}"))
        assert len(blocked.all()) == MAX_BLOCKS

    def test_blocks_on_requests_displace_none_on_parts(self):
        blocked = BlockedPrompts()
        blocked.put(block("bad"))
        for n in range(2 * MAX_REQUEST_BLOCKS):
            blocked.put(block(f"={n}"))
        assert len(blocked.all()) == MAX_REQUEST_BLOCKS + 1
        assert blocked.find(prompt("bad"), 1.0) is not None


def block(*parts: str, revision: int = 1, ends_at: float = 10.0, lifted: bool = False):
    return Block(
        service="models",
        parts=frozenset(parts),
        revision=revision,
        ends_at=ends_at,
        is_lifted=lifted,
    )


class TestBlockedPrompts:
    def test_a_single_request_is_blocked_whatever_its_parts(self):
        blocked = BlockedPrompts()
        blocked.put(block("=1"))
        assert blocked.find(prompt(own="1"), 1.0) is not None
        assert blocked.find(prompt("first", own="1"), 1.0) is not None
        assert blocked.find(prompt("first", own="2"), 1.0) is None
        assert blocked.find(prompt("1"), 1.0) is None
        assert blocked.find(prompt(own="1", service="other"), 1.0) is None
        assert blocked.find(prompt(own="1"), 10.0) is None

    def test_a_prompt_with_all_parts_is_blocked(self):
        blocked = BlockedPrompts()
        blocked.put(block("a", "b"))
        assert blocked.find(prompt("b", "c", "a"), 1.0) is not None
        assert blocked.find(prompt("a"), 1.0) is None
        assert blocked.find(prompt("a", "b", service="other"), 1.0) is None
        assert blocked.find(prompt("a", "b"), 10.0) is None

    @pytest.mark.parametrize("order", [(0, 1), (1, 0)])
    def test_the_order_of_arrival_does_not_matter(self, order):
        statements = [block("a", revision=1), block("a", revision=2, lifted=True)]
        blocked = BlockedPrompts()
        for index in order:
            blocked.put(statements[index])
        assert blocked.find(prompt("a"), 1.0) is None

    def test_an_empty_set_blocks_nothing(self):
        blocked = BlockedPrompts()
        assert not blocked.put(block())
        assert blocked.find(prompt("a"), 1.0) is None
