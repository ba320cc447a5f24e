"""When an engine whose reports can't be used is asked again: the decisions alone."""

from __future__ import annotations

import pytest

from celerytrail.model import Incarnation
from celerytrail.policies.reportpauses import (
    FORGET_SECONDS,
    MAX_PAUSE_SECONDS,
    MIN_PAUSE_SECONDS,
    ReportPauses,
)
from tests.test_stream_versions import registration

E1: Incarnation = registration("v1").incarnation
E2: Incarnation = registration("v1", "e2").incarnation


def fail(pauses: ReportPauses, asked_at: float, now: float) -> None:
    """Ask an engine whose report can't be used."""
    assert pauses.begin(E1, asked_at)
    pauses.end(E1, asked_at=asked_at, now=now, is_good=False)


class TestReportPauses:
    def test_a_bad_report_pauses_the_requests_to_its_engine_only(self):
        """Guards against bad reports that are asked for again at once."""
        pauses = ReportPauses()
        fail(pauses, 0.0, 1.0)
        assert not pauses.begin(E1, 1.0 + 0.9 * MIN_PAUSE_SECONDS)
        assert pauses.begin(E2, 1.0)
        assert pauses.begin(E1, 1.0 + MIN_PAUSE_SECONDS)

    def test_one_request_at_a_time_finds_out_whether_reports_are_good_again(self):
        """Guards against many requests to a faulty engine at the same time."""
        pauses = ReportPauses()
        fail(pauses, 0.0, 1.0)
        assert pauses.begin(E1, 2.0)
        assert not pauses.begin(E1, 2.1)
        pauses.end(E1, asked_at=2.0, now=2.2, is_good=True)
        assert pauses.begin(E1, 2.2) and pauses.begin(E1, 2.2)

    def test_pauses_grow_up_to_a_limit(self):
        """Guards against an engine that is sound again and isn't asked."""
        pauses, now, waits = ReportPauses(), 0.0, []
        for _ in range(12):
            asked_at = now
            while not pauses.begin(E1, now):
                now += MIN_PAUSE_SECONDS / 3
            waits.append(round(now - asked_at, 6))
            pauses.end(E1, asked_at=now, now=now, is_good=False)
        assert waits == sorted(waits)
        assert waits[-1] == pytest.approx(MAX_PAUSE_SECONDS, abs=MIN_PAUSE_SECONDS)

    def test_requests_that_were_under_way_lengthen_no_pause(self):
        """Guards against one moment's failures that count as many."""
        pauses = ReportPauses()
        assert all(pauses.begin(E1, 0.0) for _ in range(9))
        for _ in range(9):
            pauses.end(E1, asked_at=0.0, now=1.0, is_good=False)
        assert pauses.begin(E1, 1.0 + MIN_PAUSE_SECONDS)

    def test_silence_pauses_nothing(self):
        """Guards against a crash that is noticed later, as its engine isn't asked."""
        pauses = ReportPauses()
        for number in range(5):
            assert pauses.begin(E1, number)
            pauses.end(E1, asked_at=number, now=number, is_good=None)

    def test_a_silent_engine_is_asked_again_behind_bad_reports(self):
        """Guards against a request without an answer that ends all others."""
        pauses = ReportPauses()
        fail(pauses, 0.0, 0.0)
        for asked_at in (1.0, 2.0):
            assert pauses.begin(E1, asked_at)
            pauses.end(E1, asked_at=asked_at, now=asked_at + 0.5, is_good=None)

    def test_engines_that_are_gone_are_forgotten(self):
        """Guards against memory that grows with each start of a faulty engine."""
        pauses = ReportPauses()
        for number in range(50):
            now = number * (FORGET_SECONDS + 1.0)
            incarnation = registration("v1", f"e{number}").incarnation
            pauses.end(incarnation, asked_at=now, now=now, is_good=False)
        assert len(pauses._troubles) == 1
