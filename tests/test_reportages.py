"""How old engines' reports are, whatever the clocks say."""

from __future__ import annotations

from celerytrail.nodes.reportages import ReportAges
from celerytrail.policies.reports import EngineReport


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
    def test_a_clock_an_hour_off_ages_nothing(self):
        """The clock of a node is an hour ahead. Were its reports taken for an hour
        old, its pools would let nobody in, and callers would wait in vain.
        """
        ages = ReportAges()
        found = [ages.record(report(n, n * 0.5), 3600 + n * 0.5) for n in range(5)]
        assert max(found) < 0.001

    def test_a_late_report_is_as_old_as_it_is_late(self):
        ages = ReportAges()
        ages.record(report(1, 10.0), 10.1)
        assert abs(ages.record(report(2, 11.0), 13.1) - 2.0) < 0.001

    def test_a_stuck_engine_grows_older(self):
        """An engine hangs and gives its last report again and again. It must count as
        silent before long.
        """
        ages = ReportAges()
        found = [ages.record(report(1, 10.0), 10.0 + n) for n in range(30)]
        assert found[-1] == 29.0

    def test_a_jump_of_the_clock_is_got_over(self):
        ages = ReportAges()
        for n in range(10):
            ages.record(report(n, n), n)
        after = [ages.record(report(n, n), n + 500.0) for n in range(10, 20)]
        assert after[0] == 500.0
        assert after[-1] == 0.0
