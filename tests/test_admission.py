"""Tests of admission control and of the engine state that it uses."""

from __future__ import annotations

import random

import pytest

from celerytrail.configuration.document import EngineSpec
from celerytrail.policies.admission import AlwaysAdmit, PredictedPeak
from celerytrail.policies.enginetracker import EngineTracker
from celerytrail.policies.grants import AdmitRequest
from celerytrail.policies.lengths import LearnedLengths, prompt_class
from celerytrail.policies.loadreports import EngineReport


def make_request(number: int = 0, **fields) -> AdmitRequest:
    fields = {"n_prompt_tokens": 100, "n_max_tokens": 8000, **fields}
    return AdmitRequest(
        request_id=f"r{number}",
        organisation="o",
        model="m",
        queue_deadline=9.0,
        **fields,
    )


def make_report(sequence: int, **fields) -> EngineReport:
    fields = {"n_memory_tokens": 10_000, "n_used_tokens": 0, **fields}
    return EngineReport(
        engine="e0", incarnation="i1", sequence=sequence, at=0.0, **fields
    )


@pytest.fixture
def tracker() -> EngineTracker:
    tracker = EngineTracker()
    spec = EngineSpec(name="e0", address="", failure_domain="a", model="m")
    tracker.set_engines([spec], 0.0)
    tracker.report(make_report(1), 0.0)
    return tracker


@pytest.fixture
def lengths() -> LearnedLengths:
    lengths = LearnedLengths()
    length_class = prompt_class("m", 100)
    rng = random.Random(1)
    for _ in range(300):
        n_tokens = int(rng.lognormvariate(7, 0.6))
        lengths.advance(length_class, "o", 0, n_tokens)
        lengths.end(length_class, "o", n_tokens, is_censored=False)
    return lengths


def grant_until_full(policy, tracker, *, max_grants: int = 200) -> int:
    view = tracker.views["e0"]
    for n in range(max_grants):
        req = make_request(n)
        if policy.headroom(view, req, 1.0) < 0:
            return n
        policy.granted(view, req, 1.0)
        tracker.grant(f"g{n}", "e0", req, 1.0)
    return max_grants


class TestPredictedPeak:
    def test_counts_growth_still_to_come(self, tracker, lengths):
        """Ten generations start together on an empty engine, whose memory looks free.
        It is full once all have grown; if admission ignored the growth, some of them
        would stall midway.
        """
        n_granted = grant_until_full(PredictedPeak(lengths=lengths, model="m"), tracker)
        assert 8 <= n_granted <= 16
        tracker.views["e0"].running.clear()
        assert grant_until_full(AlwaysAdmit(), tracker) == 200

    def test_preemptions_raise_the_margin_once_per_report(self, tracker, lengths):
        policy = PredictedPeak(lengths=lengths, model="m")
        before = policy.margin("e0")
        tracker.report(make_report(2, n_preemptions=12), 1.0)
        policy.observe(tracker.views["e0"])
        assert before < policy.margin("e0") < before + 0.3


class TestEngineState:
    def test_report_that_understates_use_is_not_believed(self, tracker, lengths):
        """An engine reports a tenth of its memory use. A scheduler that believed it
        would send all new work there, and its generations would be preempted
        repeatedly.
        """
        policy = PredictedPeak(lengths=lengths, model="m")
        grant_until_full(policy, tracker)
        view = tracker.views["e0"]
        for grant_id in view.running:
            tracker.progress(grant_id, 500, 2.0)
        tracker.report(make_report(2, n_used_tokens=600), 3.0, age=0.5)
        assert view.n_underreports == 1
        assert policy.headroom(view, make_request(999), 3.0) < 0

    def test_other_nodes_generations_are_taken_from_the_report(self, tracker):
        running = (("x1", 300), ("x2", 500))
        tracker.report(make_report(2, n_used_tokens=1200, running=running), 1.0)
        assert tracker.views["e0"].n_used_tokens == 1200

    def test_older_report_after_newer_is_dropped(self, tracker):
        assert tracker.report(make_report(3), 1.0)
        assert not tracker.report(make_report(2, n_used_tokens=9000), 1.1)

    def test_restart_frees_the_lost_memory(self, tracker):
        tracker.grant("g1", "e0", make_request(), 1.0)
        report = EngineReport(
            engine="e0",
            incarnation="i2",
            sequence=1,
            at=0.0,
            n_memory_tokens=10_000,
            n_used_tokens=0,
        )
        tracker.report(report, 5.0)
        assert tracker.views["e0"].n_used_tokens == 0
