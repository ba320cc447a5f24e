"""Policies for retries of requests that were not run.

Only requests that certainly did not run are retried. A retry budget ties the number of
retries to that of first attempts, so refusals don't amplify an overload.
"""

from __future__ import annotations

import abc
import random
from collections import OrderedDict
from dataclasses import dataclass

from ..types import NotRun

# Retries earned by each first attempt, and the most that a budget can hold.
RETRY_RATIO = 0.1
BUDGET_MAX = 10.0
# Initial budget, so that an organisation with few requests can retry too.
BUDGET_START = 3.0
MAX_BUDGETS = 8192
BACKOFF_BASE_SECONDS = 0.1
BACKOFF_MAX_SECONDS = 10.0
MAX_ATTEMPTS = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryAt:
    """Decision to retry, not before ``at`` (monotonic seconds)."""

    at: float


class RetryPolicy(abc.ABC):
    """Decides whether and when a request that was not run is retried."""

    @abc.abstractmethod
    def on_first_attempt(self, key: str) -> None:
        """Record a request's first attempt; ``key`` names the budget that it feeds."""

    @abc.abstractmethod
    def decide(
        self, key: str, *, n_attempts: int, not_run: NotRun, deadline: float, now: float
    ) -> RetryAt | NotRun:
        """Return the time of the next attempt, or the refusal if there is none.

        Parameters
        ----------
        key : str
            Name of the budget that is charged.
        n_attempts : int
            Attempts made so far, including the first.
        not_run : NotRun
            The refusal of the last attempt.
        deadline, now : float
            Monotonic seconds; no retry starts after the deadline.
        """


class NeverRetry(RetryPolicy):
    """Returns each refusal without a retry; a baseline."""

    def on_first_attempt(self, key: str) -> None:
        """Do nothing."""

    def decide(
        self, key: str, *, n_attempts: int, not_run: NotRun, deadline: float, now: float
    ) -> RetryAt | NotRun:
        """Return the refusal."""
        return not_run


class BudgetedRetry(RetryPolicy):
    """Retries with exponential backoff and full jitter, limited by a budget per key.

    Parameters
    ----------
    rng : random.Random
        Draws the jitter.
    ratio : float
        Retries earned by each first attempt.
    """

    def __init__(self, *, rng: random.Random, ratio: float = RETRY_RATIO) -> None:
        self._rng = rng
        self._ratio = ratio
        self._budgets: OrderedDict[str, float] = OrderedDict()

    def on_first_attempt(self, key: str) -> None:
        """Add a share of a retry to the budget."""
        budget = self._budgets.get(key, BUDGET_START)
        self._budgets[key] = min(BUDGET_MAX, budget + self._ratio)
        self._budgets.move_to_end(key)
        if len(self._budgets) > MAX_BUDGETS:
            self._budgets.popitem(last=False)

    def decide(
        self, key: str, *, n_attempts: int, not_run: NotRun, deadline: float, now: float
    ) -> RetryAt | NotRun:
        """Return a retry if attempts, budget and deadline allow it."""
        budget = self._budgets.get(key, BUDGET_START)
        if n_attempts >= MAX_ATTEMPTS or budget < 1.0:
            return not_run
        delay = self._delay(n_attempts, not_run.retry_after)
        if now + delay >= deadline:
            # A wait until near the deadline would only delay the refusal. A refused
            # caller can go elsewhere now, or come back after ``retry_after``.
            return not_run
        self._budgets[key] = budget - 1.0
        return RetryAt(at=now + delay)

    def _delay(self, n_attempts: int, retry_after: float | None) -> float:
        ceiling = min(
            BACKOFF_MAX_SECONDS, BACKOFF_BASE_SECONDS * 2.0 ** (n_attempts - 1)
        )
        delay = self._rng.random() * ceiling
        if retry_after is not None:
            delay += retry_after
        return delay
