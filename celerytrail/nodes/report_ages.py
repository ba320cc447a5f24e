"""Age of an engine's reports, independent of the offset between the clocks."""

from __future__ import annotations

from collections import deque

from ..policies.loadreports import EngineReport

N_KEPT_REPORTS = 8


class ReportAges:
    """Estimates the age of one engine's reports from differences of clock readings.

    A node whose clock is off by an hour would otherwise take each report as an hour
    old, treat every engine of its pools as silent and admit no request. The age is
    therefore the delay of a report relative to the freshest of the last few, so that
    the offset between the two clocks cancels out. After a jump of either clock, the
    ages are right again within `N_KEPT_REPORTS` reports.
    """

    def __init__(self) -> None:
        self._differences: deque[float] = deque(maxlen=N_KEPT_REPORTS)
        self._newest_report: tuple[str, int] = ("", -1)

    def record(self, report: EngineReport, wall: float) -> float:
        """Record a report and return its age in seconds.

        Parameters
        ----------
        report : EngineReport
            The report as received.
        wall : float
            Wall time of this node, in seconds since the epoch.
        """
        difference = wall - report.at
        report_key = (report.incarnation, report.sequence)
        if report_key != self._newest_report:
            # A repeated report must age, as its engine hangs, so only new ones count.
            self._newest_report = report_key
            self._differences.append(difference)
        return max(0.0, difference - min(self._differences))
