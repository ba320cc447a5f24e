"""A short soak of real processes; a longer one by hand: make soak SEEDS=1-50."""

from __future__ import annotations

import pytest

from chores.soak import Soak
from tests.fuzzseeds import seeds

SECONDS = 20.0


class TestSoak:
    @pytest.mark.parametrize("seed", seeds("CELERYTRAIL_SOAK_SEEDS", "1-2"))
    async def test_promises_hold_in_a_soak(self, seed):
        """Guards against promises that overlapping disruptions break."""
        report = await Soak(seed=seed, seconds=SECONDS).run()
        assert report.broken == []
        assert report.counts["file 200"] and report.counts["late answers"]
