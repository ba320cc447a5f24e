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

    def test_waits_at_least_until_retry_after(self):
        decision = self.decide(BudgetedRetry(rng=random.Random(1)))
        assert isinstance(decision, RetryAt)
        assert decision.at >= 12.0

    def test_refuses_at_once_if_the_retry_would_miss_the_deadline(self):
        decision = self.decide(BudgetedRetry(rng=random.Random(1)), deadline=11.0)
        assert decision is REFUSAL

    def test_retries_do_not_multiply_an_overload(self):
        """All engines refuse for a while. Without a budget, retries would multiply the
        load and no request would succeed.
        """
        policy = BudgetedRetry(rng=random.Random(1))
        n_retries = 0
        for _ in range(1000):
            policy.on_first_attempt("o")
            n_attempts = 1
            while isinstance(self.decide(policy, n_attempts=n_attempts), RetryAt):
                n_retries += 1
                n_attempts += 1
        assert n_retries <= 0.1 * 1000 + 3
