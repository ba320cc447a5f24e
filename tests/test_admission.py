"""Tests of admission and the books it goes by."""

from __future__ import annotations

import random

import pytest

from celerytrail.configuration.document import EngineSpec
from celerytrail.policies.admission import AlwaysAdmit, PredictedPeak
from celerytrail.policies.engineview import EngineBook
from celerytrail.policies.grants import AdmitRequest
from celerytrail.policies.lengths import LearnedLengths, prompt_class
from celerytrail.policies.reports import EngineReport


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
def book() -> EngineBook:
    book = EngineBook()
    spec = EngineSpec(name="e0", address="", failure_domain="a", model="m")
    book.set_engines([spec], 0.0)
    book.report(make_report(1), 0.0)
    return book


@pytest.fixture
def lengths() -> LearnedLengths:
    lengths = LearnedLengths()
    kind = prompt_class("m", 100)
    rng = random.Random(1)
    for _ in range(300):
        n_tokens = int(rng.lognormvariate(7, 0.6))
        lengths.advance(kind, "o", 0, n_tokens)
        lengths.end(kind, "o", n_tokens, censored=False)
    return lengths


def fill(policy, book, *, most: int = 200) -> int:
    view = book.views["e0"]
    for n in range(most):
        req = make_request(n)
        if policy.room(view, req, 1.0) < 0:
            return n
        policy.granted(view, req, 1.0)
        book.grant(f"g{n}", "e0", req, 1.0)
    return most


class TestPredictedPeak:
    def test_counts_growth_that_has_not_come_yet(self, book, lengths):
        """Ten drafts start together on an empty engine, whose memory looks free. When
        all have grown it is full, and the bandleader's draft stalls midway.
        """
        n_granted = fill(PredictedPeak(lengths=lengths, model="m"), book)
        assert 8 <= n_granted <= 16
        book.views["e0"].running.clear()
        assert fill(AlwaysAdmit(), book) == 200

    def test_preemptions_raise_the_margin_once_a_report(self, book, lengths):
        policy = PredictedPeak(lengths=lengths, model="m")
        before = policy.margin("e0")
        book.report(make_report(2, n_preemptions=12), 1.0)
        policy.observe(book.views["e0"])
        assert before < policy.margin("e0") < before + 0.3


class TestEngineBook:
    def test_report_that_hides_load_is_not_believed(self, book, lengths):
        """An engine reports a tenth of what it holds. Whoever believes it sends all
        new work there, and the drafts on it are preempted again and again.
        """
        policy = PredictedPeak(lengths=lengths, model="m")
        fill(policy, book)
        view = book.views["e0"]
        for grant_id in view.running:
            book.progress(grant_id, 500, 2.0)
        book.report(make_report(2, n_used_tokens=600), 3.0, age=0.5)
        assert view.n_underreports == 1
        assert policy.room(view, make_request(999), 3.0) < 0

    def test_other_nodes_work_is_taken_from_the_report(self, book):
        running = (("x1", 300), ("x2", 500))
        book.report(make_report(2, n_used_tokens=1200, running=running), 1.0)
        assert book.views["e0"].n_used_tokens == 1200

    def test_reports_that_overtake_each_other_are_dropped(self, book):
        assert book.report(make_report(3), 1.0)
        assert not book.report(make_report(2, n_used_tokens=9000), 1.1)

    def test_restart_frees_what_was_lost(self, book):
        book.grant("g1", "e0", make_request(), 1.0)
        report = EngineReport(
            engine="e0",
            incarnation="i2",
            sequence=1,
            at=0.0,
            n_memory_tokens=10_000,
            n_used_tokens=0,
        )
        book.report(report, 5.0)
        assert book.views["e0"].n_used_tokens == 0
