"""Shedding: who is refused, at once, and when to come back.

A request whose turn won't come before its queue deadline is refused as it arrives,
not held until then. Each organisation is judged by its own line and its own share, so
whoever asks for more than its share is shed first and the others don't notice.
"""

from __future__ import annotations

import abc
import math
import random

from ..types import NotRun

# The drain rate is an average over about so many seconds.
DRAIN_SECONDS = 30.0
# A forecast of the wait is wrong by about this factor either way; only a request that
# would be too late by more than that is refused on arrival.
DOUBT = 3.0
# Until so many tokens have been granted, nothing is known about the drain.
N_COLD_GRANTS = 20
RETRY_AFTER_MIN = 0.5
RETRY_AFTER_MAX = 120.0
# Spreads those that were refused together, so that they don't return together.
JITTER = 0.3


class SheddingPolicy(abc.ABC):
    """Decides whether an arriving request is refused at once."""

    @abc.abstractmethod
    def judge(
        self, *, backlog: float, share: float, patience: float, now: float
    ) -> NotRun | None:
        """Return a refusal, or None to let it wait.

        Parameters
        ----------
        backlog : float
            Tokens that the organisation's own waiting requests will take.
        share : float
            The organisation's share of the pool at present, 0 to 1.
        patience : float
            Seconds until the request's queue deadline.
        now : float
            Monotonic time.
        """

    @abc.abstractmethod
    def too_late(self, *, backlog: float, share: float, now: float) -> NotRun:
        """Return the refusal for a request whose queue deadline has passed."""

    @abc.abstractmethod
    def granted(self, n_tokens: float, now: float) -> None:
        """Note that a request of so many expected tokens was granted."""


class ShedByWait(SheddingPolicy):
    """Refuses what would wait beyond its deadline, by the rate the queue drains at.

    Parameters
    ----------
    rng : random.Random
        Spreads the times to come back.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._rate = 0.0
        self._rate_at = 0.0
        self._n_granted = 0

    def judge(
        self, *, backlog: float, share: float, patience: float, now: float
    ) -> NotRun | None:
        """Refuse where the wait is longer than the patience, doubt allowed."""
        if self._n_granted < N_COLD_GRANTS:
            return None
        wait = self._wait(backlog, share, now)
        if wait <= patience * DOUBT:
            return None
        return NotRun(
            reason="shed",
            detail=f"the wait would be about {wait:.0f} s",
            retry_after=self._retry_after(wait - patience),
        )

    def too_late(self, *, backlog: float, share: float, now: float) -> NotRun:
        """Refuse with the time in which what waits before it should be through."""
        wait = self._wait(backlog, share, now) if self._n_granted else 1.0
        return NotRun(
            reason="queue_deadline",
            detail="no engine had room before the request's queue deadline",
            retry_after=self._retry_after(wait),
        )

    def granted(self, n_tokens: float, now: float) -> None:
        """Take a grant into the average of the drain rate."""
        self._decay(now)
        self._rate += n_tokens / DRAIN_SECONDS
        self._n_granted += 1

    def drain_rate(self, now: float) -> float:
        """Return the tokens a second at which grants are made."""
        self._decay(now)
        return self._rate

    def _wait(self, backlog: float, share: float, now: float) -> float:
        return backlog / max(1e-3, share * self.drain_rate(now))

    def _decay(self, now: float) -> None:
        self._rate *= math.exp(-(now - self._rate_at) / DRAIN_SECONDS)
        self._rate_at = now

    def _retry_after(self, seconds: float) -> float:
        bounded = min(max(seconds, RETRY_AFTER_MIN), RETRY_AFTER_MAX)
        return bounded * (1.0 + JITTER * self._rng.random())
