"""Retries: whether what was not run is tried again, and when.

Only what was certainly not run comes here. A retry must earn its place: a budget ties
retries to first attempts, so that an overload isn't fed by its own refusals.
"""

from __future__ import annotations

import abc
import random
from collections import OrderedDict
from dataclasses import dataclass

from ..types import NotRun

# Retries allowed for each first attempt, and the most that may be saved up.
RETRY_RATIO = 0.1
BUDGET_MAX = 10.0
# A few retries are free at first, so that a quiet organisation's odd one gets through.
BUDGET_START = 3.0
N_BUDGETS = 8192
BACKOFF_BASE = 0.1
BACKOFF_MAX = 10.0
N_ATTEMPTS_MAX = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryAt:
    """Try again, not before ``at`` (monotonic seconds)."""

    at: float


class RetryPolicy(abc.ABC):
    """Decides about what was not run."""

    @abc.abstractmethod
    def first_attempt(self, key: str) -> None:
        """Note a request's first attempt; ``key`` names whose budget it feeds."""

    @abc.abstractmethod
    def decide(
        self, key: str, *, n_attempts: int, not_run: NotRun, deadline: float, now: float
    ) -> RetryAt | NotRun:
        """Return when to try again, or the final answer, which is to be sent at once.

        Parameters
        ----------
        key : str
            Whose budget pays.
        n_attempts : int
            Attempts made so far, the first included.
        not_run : NotRun
            What came of the last one.
        deadline, now : float
            Monotonic seconds; a retry that would start after the deadline is no use.
        """


class NeverRetry(RetryPolicy):
    """Passes each refusal on; a baseline."""

    def first_attempt(self, key: str) -> None:
        """Do nothing."""

    def decide(
        self, key: str, *, n_attempts: int, not_run: NotRun, deadline: float, now: float
    ) -> RetryAt | NotRun:
        """Return the refusal."""
        return not_run


class BudgetedRetry(RetryPolicy):
    """Exponential backoff with full jitter, paid for from a budget per key.

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

    def first_attempt(self, key: str) -> None:
        """Earn a share of a retry."""
        budget = self._budgets.get(key, BUDGET_START)
        self._budgets[key] = min(BUDGET_MAX, budget + self._ratio)
        self._budgets.move_to_end(key)
        if len(self._budgets) > N_BUDGETS:
            self._budgets.popitem(last=False)

    def decide(
        self, key: str, *, n_attempts: int, not_run: NotRun, deadline: float, now: float
    ) -> RetryAt | NotRun:
        """Try again where attempts, budget and deadline allow it."""
        budget = self._budgets.get(key, BUDGET_START)
        if n_attempts >= N_ATTEMPTS_MAX or budget < 1.0:
            return not_run
        delay = self._delay(n_attempts, not_run.retry_after)
        if now + delay >= deadline:
            # Waiting here until near the deadline would only hide the refusal from
            # the caller, who could go elsewhere now or come back when told.
            return not_run
        self._budgets[key] = budget - 1.0
        return RetryAt(at=now + delay)

    def _delay(self, n_attempts: int, retry_after: float | None) -> float:
        ceiling = min(BACKOFF_MAX, BACKOFF_BASE * 2.0 ** (n_attempts - 1))
        delay = self._rng.random() * ceiling
        if retry_after is not None:
            delay += retry_after
        return delay
