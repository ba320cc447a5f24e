"""How long callers wait, by what their attempts state."""

from __future__ import annotations

from celerytrail.policies.callerwaits import (
    MAX_WAIT_SECONDS,
    PERIOD_SECONDS,
    CallerWaits,
)


class TestCallerWaits:
    def test_the_longest_statement_of_a_route_counts(self):
        waits = CallerWaits()
        for seconds in (6.0, 39.0, 2.0):
            waits.record("check", seconds, 0.0)
        assert waits.longest("check", 1.0) == 39.0
        assert waits.longest("draft", 1.0) == 0.0

    def test_a_statement_counts_for_a_period_and_not_for_ever(self):
        waits = CallerWaits()
        waits.record("check", 39.0, 0.0)
        waits.record("check", 6.0, PERIOD_SECONDS + 1.0)
        assert waits.longest("check", PERIOD_SECONDS + 2.0) == 39.0
        assert waits.longest("check", 2 * PERIOD_SECONDS + 2.0) == 6.0

    def test_an_endless_wait_is_bounded(self):
        """Guards against one caller that keeps all streams from going on for ever."""
        waits = CallerWaits()
        waits.record("check", 1e9, 0.0)
        assert waits.longest("check", 0.0) == MAX_WAIT_SECONDS
