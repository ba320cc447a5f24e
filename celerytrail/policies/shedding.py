"""Load shedding: which requests to refuse on arrival, and when to retry.

A request that won't be served before its queue deadline is refused as it arrives
instead of being held until then. The wait is estimated from the organisation's own
backlog and share, so an organisation that exceeds its share is shed first, without
effect on the others.
"""

from __future__ import annotations

import abc
import math
import random

from ..types import NotRun

# Time constant of the moving average of the drain rate.
DRAIN_WINDOW_SECONDS = 30.0
# A forecast of the wait is wrong by up to about this factor in both directions, so a
# request is refused on arrival only if the forecast exceeds its patience by more.
WAIT_ERROR_FACTOR = 3.0
# The drain rate is unknown until this many requests have been granted.
N_WARMUP_GRANTS = 20
RETRY_AFTER_MIN = 0.5
RETRY_AFTER_MAX = 120.0
# Retry times are extended by up to this share, so that callers refused at the same
# time don't retry at the same time.
RETRY_JITTER = 0.3


class SheddingPolicy(abc.ABC):
    """Decides which requests are refused, and when to retry them."""

    @abc.abstractmethod
    def refusal_on_arrival(
        self, *, backlog: float, share: float, patience: float, now: float
    ) -> NotRun | None:
        """Return a refusal for an arriving request, or None to queue it.

        Parameters
        ----------
        backlog : float
            Tokens that the organisation's waiting requests are expected to take.
        share : float
            The organisation's current share of the pool, 0 to 1.
        patience : float
            Seconds until the request's queue deadline.
        now : float
            Monotonic time.
        """

    @abc.abstractmethod
    def deadline_refusal(self, *, backlog: float, share: float, now: float) -> NotRun:
        """Return the refusal for a request whose queue deadline has passed."""

    @abc.abstractmethod
    def granted(self, n_tokens: float, now: float) -> None:
        """Record the grant of a request with this expected number of tokens."""


class ShedByWait(SheddingPolicy):
    """Refuses requests that can't be expected to be served before their deadline.

    The wait follows from the backlog and the rate at which the queue drains.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter of retry times.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._rate = 0.0
        self._rate_at = 0.0
        self._n_granted = 0

    def refusal_on_arrival(
        self, *, backlog: float, share: float, patience: float, now: float
    ) -> NotRun | None:
        """Refuse if the wait exceeds the patience by more than the forecast's error."""
        if self._n_granted < N_WARMUP_GRANTS:
            return None
        wait = self._expected_wait(backlog, share, now)
        if wait <= patience * WAIT_ERROR_FACTOR:
            return None
        return NotRun(
            reason="shed",
            detail=f"the wait would be about {wait:.0f} s",
            retry_after=self._retry_after(wait - patience),
        )

    def deadline_refusal(self, *, backlog: float, share: float, now: float) -> NotRun:
        """Refuse, to be retried once the organisation's backlog should be served."""
        wait = self._expected_wait(backlog, share, now) if self._n_granted else 1.0
        return NotRun(
            reason="queue_deadline",
            detail="no engine had room before the request's queue deadline",
            retry_after=self._retry_after(wait),
        )

    def granted(self, n_tokens: float, now: float) -> None:
        """Add a grant to the average of the drain rate."""
        self._decay(now)
        self._rate += n_tokens / DRAIN_WINDOW_SECONDS
        self._n_granted += 1

    def drain_rate(self, now: float) -> float:
        """Return the rate of grants, in expected tokens per second."""
        self._decay(now)
        return self._rate

    def _expected_wait(self, backlog: float, share: float, now: float) -> float:
        return backlog / max(1e-3, share * self.drain_rate(now))

    def _decay(self, now: float) -> None:
        self._rate *= math.exp(-(now - self._rate_at) / DRAIN_WINDOW_SECONDS)
        self._rate_at = now

    def _retry_after(self, seconds: float) -> float:
        bounded = min(max(seconds, RETRY_AFTER_MIN), RETRY_AFTER_MAX)
        return bounded * (1.0 + RETRY_JITTER * self._rng.random())
