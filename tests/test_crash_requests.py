"""Which single requests crashes and whole answers accuse."""

from __future__ import annotations

from celerytrail.model import Prompt
from celerytrail.policies.crashrequests import (
    MAX_CRASHES,
    MAX_RECENT,
    MAX_RUNS,
    RequestSuspects,
)
from celerytrail.policies.crashsuspects import Crash, LostRun


class Timeline:
    """Records crashes and answers, one second apart, and what they show."""

    def __init__(self) -> None:
        self.explained: set[str] = set()
        self.suspects = RequestSuspects(
            has_other_cause=lambda incarnation: incarnation[0] in self.explained
        )
        self.now = 100.0
        self.n_crashes = 0

    def answer(self, digest: str) -> bool:
        self.now += 1.0
        return self.suspects.record_answer(("desk", digest), self.now)

    def lose(
        self, *digests: str, sent_ago: float = 0.5, has_begun: bool = False
    ) -> tuple[str, int]:
        """Record a crash by which requests were lost."""
        self.now += 1.0
        self.n_crashes += 1
        runs = tuple(
            LostRun(
                prompt=Prompt(service="desk", digest=one),
                sent_at=self.now - sent_ago,
                has_begun=has_begun,
            )
            for one in digests
        )
        incarnation = (f"d{self.n_crashes}", 1)
        crash = Crash(incarnation=incarnation, runs=runs, crashed_at=self.now)
        self.suspects.record_crash(crash, self.now)
        return incarnation

    def crash(self, *digests: str, former=(), **more) -> set[str]:
        """Record a crash; return the requests that it shows."""
        found = self.suspects.find(self.lose(*digests, **more), former)
        return {one.key[1] for one in found}


class TestFinding:
    def test_two_crashes_in_a_row_show_a_request(self):
        line = Timeline()
        assert line.crash("bad", "a") == set()
        assert line.crash("bad", "b") == {"bad"}

    def test_two_requests_that_fit_equally_wait_for_the_third_crash(self):
        line = Timeline()
        line.crash("bad", "a")
        assert line.crash("bad", "a") == set()
        assert line.crash("bad") == {"bad"}

    def test_the_third_crash_is_the_last_whatever_else_ran(self):
        line = Timeline()
        for _ in range(2):
            assert line.crash("bad", "a") == set()
        assert line.crash("bad", "a") == {"bad", "a"}

    def test_advanced_runs_need_three_crashes(self):
        # A run of many seconds meets two crashes by chance.
        line = Timeline()
        assert line.crash("bad", has_begun=True) == set()
        assert line.crash("bad", has_begun=True) == set()
        assert line.crash("bad", has_begun=True) == {"bad"}

    def test_endpoints_lost_together_are_no_row(self):
        line = Timeline()
        line.crash("sound", sent_ago=5.0)
        assert line.crash("sound", sent_ago=5.0) == set()

    def test_the_third_crash_is_known_before_all_nodes_have_reported(self):
        line = Timeline()
        for _ in range(2):
            line.crash("bad", "a")
        (one,) = line.suspects.overdue(line.lose("bad"))
        assert one.key == ("desk", "bad")

    def test_a_request_found_before_needs_one_more_crash(self):
        line = Timeline()
        assert line.crash("bad", former={("desk", "bad")}) == {"bad"}

    def test_a_request_beside_a_known_cause_still_counts_its_crashes(self):
        # Several requests may crash endpoints at the same time.
        line = Timeline()
        line.crash("bad1", "bad2")
        assert line.crash("bad1") == {"bad1"}
        assert line.crash("bad2") == set()
        assert line.crash("bad2") == {"bad2"}


class TestSoundRequests:
    def test_a_companion_is_sound_once_the_cause_is_known(self):
        line = Timeline()
        line.crash("bad", "a")
        assert line.crash("bad") == {"bad"}
        # It meets one more crash beside a run of the cause that was on its way.
        assert line.crash("bad", "a") == {"bad"}

    def test_a_whole_answer_clears_a_request(self):
        line = Timeline()
        line.crash("sound")
        assert line.answer("sound")
        assert not line.suspects.is_suspect(("desk", "sound"))
        assert line.crash("sound") == set()
        assert not line.answer("never lost")

    def test_a_request_that_was_answered_needs_three_crashes(self):
        line = Timeline()
        line.crash("page")
        line.answer("page")
        assert line.crash("page") == set()
        assert line.crash("page") == set()
        assert line.crash("page") == {"page"}

    def test_an_answer_known_before_its_crash_clears_as_well(self):
        line = Timeline()
        crashed_at = line.now
        line.answer("sound")
        run = LostRun(prompt=Prompt(service="desk", digest="sound"), sent_at=1.0)
        crash = Crash(incarnation=("d9", 1), runs=(run,), crashed_at=crashed_at)
        answered = line.suspects.record_crash(crash, line.now)
        assert answered == {("desk", "sound"): line.now}
        assert not line.suspects.is_suspect(("desk", "sound"))

    def test_crashes_by_a_shared_part_accuse_no_request(self):
        line = Timeline()
        line.crash("a")
        line.explained = {"d1", "d2"}
        assert line.crash("a") == set()
        assert line.suspects.is_explained(("desk", "a"))

    def test_crashes_long_ago_do_not_count(self):
        line = Timeline()
        line.crash("a")
        line.now += 601.0
        assert line.crash("a") == set()

    def test_requests_of_other_services_are_others(self):
        line = Timeline()
        line.crash("a")
        assert not line.suspects.is_suspect(("models", "a"))


class TestBounds:
    def test_requests_without_end_need_bounded_memory(self):
        line = Timeline()
        for n in range(2 * MAX_RECENT):
            line.answer(f"answered {n}")
        for n in range(2 * MAX_CRASHES):
            line.now -= 1.0
            line.crash(*(f"{n} {k}" for k in range(MAX_RUNS + 10)))
        suspects = line.suspects
        assert len(suspects._crashes) <= MAX_CRASHES
        assert suspects.n_suspects <= MAX_CRASHES * MAX_RUNS
        assert len(suspects._recent) <= MAX_RECENT

    def test_the_most_suspect_run_of_many_is_kept(self):
        # A hundred sound runs were lost with it, and reported before it.
        line = Timeline()
        line.crash("bad")
        assert line.crash(*(f"a{n}" for n in range(MAX_RUNS)), "bad") == {"bad"}

    def test_the_order_of_reports_does_not_matter(self):
        line = Timeline()
        line.crash("bad", "a")
        incarnation = line.lose("a")
        for digest in ("bad", "b"):
            run = LostRun(prompt=Prompt(service="desk", digest=digest), sent_at=101.5)
            crash = Crash(incarnation=incarnation, runs=(run,), crashed_at=line.now)
            line.suspects.record_crash(crash, line.now)
        assert line.suspects.find(incarnation) == []
