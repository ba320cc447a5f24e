"""When to ask the platform again, and when not to ask at all; pure decisions."""

from __future__ import annotations

import random

BACKOFF_FIRST_SECONDS = 0.05
BACKOFF_MOST_SECONDS = 5.0
RETRY_AFTER_MOST_SECONDS = 3600.0


def sane_retry_after(seconds: float) -> float:
    """Return a peer's word on when to come back, within what can be meant.

    It is handed on to callers: by a peer's fault one could be told to come back in a
    hundred years, or before now.
    """
    return min(max(seconds, 0.0), RETRY_AFTER_MOST_SECONDS)


def full_jitter(
    rng: random.Random,
    n_failures: int,
    *,
    first: float = BACKOFF_FIRST_SECONDS,
    most: float = BACKOFF_MOST_SECONDS,
) -> float:
    """Return seconds to wait after the n-th failure in a row.

    The wait is drawn from nothing up to a limit that doubles. Without the drawing,
    all nodes that saw the same outage would come back in the same moment, again and
    again.
    """
    limit = min(most, first * 2.0 ** min(n_failures - 1, 30))
    return rng.uniform(0.0, limit)


class RetryBudget:
    """Lets retries be only a share of the first tries.

    Were every failed call tried three times, an overloaded platform would get three
    times its load just when it can least bear it, and stay down. With the budget
    spent, a failure is handed to the caller at once.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first try.
    n_reserve : float
        Retries that may be saved up.
    """

    def __init__(self, *, ratio: float = 0.1, n_reserve: float = 10.0) -> None:
        self._ratio = ratio
        self._n_reserve = n_reserve
        self._level = n_reserve

    def note_first_try(self) -> None:
        """Earn a part of a retry."""
        self._level = min(self._level + self._ratio, self._n_reserve)

    def take(self) -> bool:
        """Spend one retry, where there is one."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


class Breaker:
    """Keeps calls off a peer that has failed several times in a row.

    While the platform stalls without closing, each call would hold its caller for
    the whole timeout. After some failures calls are refused at once, and one probe
    at a time, with growing and drawn pauses, finds out when the peer is back.

    Parameters
    ----------
    rng : random.Random
        Draws the pauses.
    n_failures : int
        Failures in a row that open it.
    most_seconds : float
        The longest pause between two probes.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        n_failures: int = 5,
        most_seconds: float = BACKOFF_MOST_SECONDS,
    ) -> None:
        self._rng = rng
        self._n_allowed = n_failures
        self._most_seconds = most_seconds
        self._n_failures = 0
        self._closed_until_probe_at = 0.0
        self._is_probing = False

    @property
    def is_open(self) -> bool:
        """Return whether calls are being refused."""
        return self._n_failures >= self._n_allowed

    def wait_seconds(self, now: float) -> float | None:
        """Return None where a call may go, else seconds until it is worth asking."""
        if not self.is_open:
            return None
        if self._is_probing:
            return BACKOFF_FIRST_SECONDS
        if now < self._closed_until_probe_at:
            return self._closed_until_probe_at - now
        self._is_probing = True
        return None

    def note_success(self) -> None:
        """The peer answered: let all calls through."""
        self._n_failures = 0
        self._is_probing = False

    def note_failure(self, now: float) -> None:
        """The peer failed: after enough of them, wait before the next probe."""
        self._n_failures += 1
        self._is_probing = False
        n_past = self._n_failures - self._n_allowed + 1
        if n_past > 0:
            # Half of the pause is certain, so that a run of small draws can't turn
            # the probes into a stream of calls.
            most = min(self._most_seconds, 0.25 * 2.0 ** min(n_past, 30))
            self._closed_until_probe_at = now + self._rng.uniform(most / 2, most)

    def note_abandoned(self) -> None:
        """A call ended without telling anything of the peer."""
        self._is_probing = False
