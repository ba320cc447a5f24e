"""Tests of retries."""

from __future__ import annotations

import random

from celerytrail.policies.retries import BudgetedRetry, RetryAt
from celerytrail.types import NotRun

REFUSAL = NotRun(reason="shed", retry_after=2.0)


class TestBudgetedRetry:
    def decide(self, policy, *, n_attempts=1, deadline=100.0, not_run=REFUSAL):
        return policy.decide(
            "o", n_attempts=n_attempts, not_run=not_run, deadline=deadline, now=10.0
        )

    def test_waits_at_least_as_told(self):
        answer = self.decide(BudgetedRetry(rng=random.Random(1)))
        assert isinstance(answer, RetryAt)
        assert answer.at >= 12.0

    def test_gives_up_at_once_when_too_late(self):
        answer = self.decide(BudgetedRetry(rng=random.Random(1)), deadline=11.0)
        assert answer is REFUSAL

    def test_overload_is_not_multiplied(self):
        """All engines refuse for a while. If each refusal were tried again and again,
        the callers' load would arrive several times over and nobody would get in.
        """
        policy = BudgetedRetry(rng=random.Random(1))
        n_retries = 0
        for _ in range(1000):
            policy.first_attempt("o")
            n_attempts = 1
            while isinstance(self.decide(policy, n_attempts=n_attempts), RetryAt):
                n_retries += 1
                n_attempts += 1
        assert n_retries <= 0.1 * 1000 + 3
