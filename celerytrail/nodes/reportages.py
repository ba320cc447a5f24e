"""How old an engine's reports are, though its clock and ours need not agree."""

from __future__ import annotations

from collections import deque

from ..policies.reports import EngineReport

N_REMEMBERED = 8


class ReportAges:
    """Tells the age of one engine's reports from the differences alone.

    A node whose clock was off by an hour would take each report for an hour old, hold
    every engine of its pools for silent and let no request in. So the age is what a
    report lags behind the freshest of the last few, and the constant difference of the
    two clocks falls out; after a jump of either clock it does so again within
    `N_REMEMBERED` reports.
    """

    def __init__(self) -> None:
        self._differences: deque[float] = deque(maxlen=N_REMEMBERED)
        self._newest: tuple[str, int] = ("", -1)

    def note(self, report: EngineReport, wall: float) -> float:
        """Return a report's age in seconds.

        Parameters
        ----------
        report : EngineReport
            As it came.
        wall : float
            Our wall time, in seconds since the epoch.
        """
        difference = wall - report.at
        newest = (report.incarnation, report.sequence)
        if newest != self._newest:
            # An engine stuck on one report must grow older, so only new ones count.
            self._newest = newest
            self._differences.append(difference)
        return max(0.0, difference - min(self._differences))
