"""A short, fixed exploration of failures; ``make fuzz`` explores further."""

from __future__ import annotations

from scenarios.fuzz import explore


class TestFuzz:
    def test_fixed_seed(self):
        """Nodes die, freeze and restart, links stall and the platform fails while
        callers draft and file. Nobody gets a wrong token, a second run or a lie.
        """
        explore(seed=7, n_examples=4, n_steps=15)
