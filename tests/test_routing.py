"""Tests of routing, affinity and shedding."""

from __future__ import annotations

import random

from celerytrail.configuration.document import EngineSpec
from celerytrail.policies.affinity import BONUS_MAX, BoundedAffinity
from celerytrail.policies.enginetracker import EngineTracker
from celerytrail.policies.grants import AdmitRequest
from celerytrail.policies.lengths import LearnedLengths
from celerytrail.policies.routing import LeastReported, PowerOfTwo, RoundRobin
from celerytrail.policies.shedding import N_WARMUP_GRANTS, ShedByWait


def route(policy, *, n_requests: int = 60) -> dict[str, int]:
    book = EngineTracker()
    book.set_engines(
        [
            EngineSpec(name=f"e{i}", address="", failure_domain="a", model="m")
            for i in range(3)
        ],
        0.0,
    )
    sent: dict[str, int] = {}
    for n in range(n_requests):
        req = AdmitRequest(
            request_id=f"r{n}",
            organisation="o",
            model="m",
            n_prompt_tokens=100,
            n_max_tokens=1000,
            queue_deadline=9.0,
        )
        view = policy.choose(book.candidates(req, 0.0), req, 0.0)
        book.grant(f"g{n}", view.name, req, 0.0)
        sent[view.name] = sent.get(view.name, 0) + 1
    return sent


class TestRouting:
    def test_round_robin_takes_turns(self):
        assert route(RoundRobin()) == {"e0": 20, "e1": 20, "e2": 20}

    def test_power_of_two_counts_requests_sent_since_the_report(self):
        """An entry node sends a burst while no reports arrive. By reports alone, all of
        it would go to the engine with the lowest load in the last report.
        """
        sent = route(PowerOfTwo(rng=random.Random(1), lengths=LearnedLengths()))
        assert min(sent.values()) >= 15

    def test_no_engine_gives_none(self):
        policies = (
            RoundRobin(),
            LeastReported(rng=random.Random(1)),
            PowerOfTwo(rng=random.Random(1), lengths=LearnedLengths()),
        )
        for policy in policies:
            assert policy.choose([], None, 0.0) is None


class TestBoundedAffinity:
    def test_bonus_grows_with_the_cached_part_and_is_bounded(self):
        affinity = BoundedAffinity()
        affinity.stored("e0", ("a", "b"))
        assert affinity.bonus("e0", ("a", "b", "c", "d")) == BONUS_MAX / 2
        assert affinity.bonus("e0", ("a", "b")) == BONUS_MAX
        assert affinity.bonus("e1", ("a", "b")) == 0.0
        affinity.evicted("e0", "a")
        assert affinity.bonus("e0", ("a", "b")) == 0.0


class TestShedByWait:
    def test_refuses_only_requests_that_would_wait_far_too_long(self):
        shedding = ShedByWait(rng=random.Random(1))
        for i in range(10 * N_WARMUP_GRANTS):
            shedding.granted(100.0, 0.2 * i)
        now = 0.2 * 10 * N_WARMUP_GRANTS
        rate = shedding.drain_rate(now)
        judge = {"share": 0.5, "patience": 10.0, "now": now}
        assert shedding.refusal_on_arrival(backlog=rate * 5, **judge) is None
        refusal = shedding.refusal_on_arrival(backlog=rate * 50, **judge)
        assert refusal.reason == "shed"
        # At half the rate the backlog takes 100 s, and 10 s of waiting are acceptable.
        assert 85 <= refusal.retry_after <= 125
