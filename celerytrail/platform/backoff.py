"""Retry policy: backoff with jitter, a retry budget and a circuit breaker, no I/O."""

from __future__ import annotations

import random

BACKOFF_FIRST_SECONDS = 0.05
BACKOFF_MAX_SECONDS = 5.0
RETRY_AFTER_MAX_SECONDS = 3600.0


def clamp_retry_after(seconds: float) -> float:
    """Clamp a peer's Retry-After to a plausible range, in seconds.

    The value is passed on to callers. A faulty peer could otherwise make them wait a
    hundred years, or give them a negative time.
    """
    return min(max(seconds, 0.0), RETRY_AFTER_MAX_SECONDS)


def full_jitter(
    rng: random.Random,
    n_failures: int,
    *,
    first: float = BACKOFF_FIRST_SECONDS,
    most: float = BACKOFF_MAX_SECONDS,
) -> float:
    """Return the seconds to wait after the n-th consecutive failure.

    The wait is uniform between 0 and a limit that doubles with each failure. Without
    jitter all nodes that saw the same outage would retry at the same moments.
    """
    limit = min(most, first * 2.0 ** min(n_failures - 1, 30))
    return rng.uniform(0.0, limit)


class RetryBudget:
    """Limits retries to a share of the first tries.

    With three tries for every failed call, an overloaded platform would get three
    times its load while it is overloaded, and stay down. Once the budget is spent, a
    failure is returned to the caller at once.

    Parameters
    ----------
    ratio : float
        Retries earned by each first try.
    n_reserve : float
        Most retries that can accumulate.
    """

    def __init__(self, *, ratio: float = 0.1, n_reserve: float = 10.0) -> None:
        self._ratio = ratio
        self._n_reserve = n_reserve
        self._level = n_reserve

    def record_first_try(self) -> None:
        """Add a first try's share to the budget."""
        self._level = min(self._level + self._ratio, self._n_reserve)

    def take(self) -> bool:
        """Spend one retry; return whether the budget had one."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


class Breaker:
    """Circuit breaker for a peer that has failed several times in a row.

    While the platform stalls without closing connections, each call would hold its
    caller for the whole timeout. After ``n_failures`` failures calls are refused at
    once. One probe at a time, with growing and random pauses between probes, detects
    when the peer is back.

    Parameters
    ----------
    rng : random.Random
        Draws the pauses.
    n_failures : int
        Consecutive failures that open it.
    max_pause_seconds : float
        Longest pause between two probes.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        n_failures: int = 5,
        max_pause_seconds: float = BACKOFF_MAX_SECONDS,
    ) -> None:
        self._rng = rng
        self._failure_threshold = n_failures
        self._most_seconds = max_pause_seconds
        self._n_failures = 0
        self._next_probe_at = 0.0
        self._is_probing = False

    @property
    def is_open(self) -> bool:
        """Return whether calls are being refused."""
        return self._n_failures >= self._failure_threshold

    def wait_seconds(self, now: float) -> float | None:
        """Return None if a call may be sent, else the seconds to wait."""
        if not self.is_open:
            return None
        if self._is_probing:
            return BACKOFF_FIRST_SECONDS
        if now < self._next_probe_at:
            return self._next_probe_at - now
        self._is_probing = True
        return None

    def record_success(self) -> None:
        """Close the breaker, as the peer answered."""
        self._n_failures = 0
        self._is_probing = False

    def record_failure(self, now: float) -> None:
        """Count a failure; past the threshold, schedule the next probe."""
        self._n_failures += 1
        self._is_probing = False
        n_probe_failures = self._n_failures - self._failure_threshold + 1
        if n_probe_failures > 0:
            # Half of the pause is fixed, so that a series of small draws can't turn
            # the probes into a stream of calls.
            max_pause = min(self._most_seconds, 0.25 * 2.0 ** min(n_probe_failures, 30))
            self._next_probe_at = now + self._rng.uniform(max_pause / 2, max_pause)

    def record_abandoned(self) -> None:
        """Allow the next probe after a call that ended without an outcome."""
        self._is_probing = False
