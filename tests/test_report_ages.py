"""Age of engines' reports when clocks are wrong."""

from __future__ import annotations

from celerytrail.nodes.report_ages import ReportAges
from celerytrail.policies.loadreports import EngineReport


def report(sequence, at, incarnation="i1"):
    return EngineReport(
        engine="e1",
        incarnation=incarnation,
        sequence=sequence,
        at=at,
        n_memory_tokens=1,
        n_used_tokens=0,
    )


class TestReportAges:
    def test_clock_offset_does_not_age_reports(self):
        """A node's clock is an hour ahead. If it took reports as an hour old, its pools
        would admit no request until the callers' deadlines.
        """
        ages = ReportAges()
        found = [ages.record(report(n, n * 0.5), 3600 + n * 0.5) for n in range(5)]
        assert max(found) < 0.001

    def test_late_report_ages_by_its_delay(self):
        ages = ReportAges()
        ages.record(report(1, 10.0), 10.1)
        assert abs(ages.record(report(2, 11.0), 13.1) - 2.0) < 0.001

    def test_repeated_report_ages(self):
        """An engine hangs and repeats its last report. The report has to age, so that
        the engine counts as silent.
        """
        ages = ReportAges()
        found = [ages.record(report(1, 10.0), 10.0 + n) for n in range(30)]
        assert found[-1] == 29.0

    def test_ages_recover_after_clock_jump(self):
        ages = ReportAges()
        for n in range(10):
            ages.record(report(n, n), n)
        after = [ages.record(report(n, n), n + 500.0) for n in range(10, 20)]
        assert after[0] == 500.0
        assert after[-1] == 0.0
