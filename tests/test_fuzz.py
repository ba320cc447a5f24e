"""A short fuzzing run with a fixed seed; ``make fuzz`` runs longer ones."""

from __future__ import annotations

from scenarios.fuzz import explore


class TestFuzz:
    def test_fixed_seed(self):
        """Nodes die, freeze and restart, links stall and the platform fails while
        callers draft and file. No draft has a wrong token, no key runs twice and no
        reported outcome is false.
        """
        explore(seed=7, n_examples=4, n_steps=15)
