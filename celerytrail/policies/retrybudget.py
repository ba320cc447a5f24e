"""A node's part of the retry budget that all nodes share."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

# Share of the whole budget that is used: windows slide, and nodes don't see one
# another's retries at the moment they make them.
USED_SHARE = 0.6


class RetryBudget:
    """Allows retries up to a share of the requests, and a part of a fixed allowance.

    When a service fails, each request that is tried again adds load just where there
    is too much of it. All nodes together may add a bounded share. Each counts its own
    requests for the share, and tells the others of each retry, so that the fixed
    allowance goes to whoever needs it; a node that hears of few others takes less.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request of the window.
    allowance : float
        Retries allowed besides in a window, over all nodes.
    window_seconds : float
        Length of the sliding window.
    heard_share : callable
        Returns the share of all nodes whose retries this one hears of, itself included.
    tell : callable
        Called with a service at which this node made a retry.
    """

    def __init__(
        self,
        *,
        ratio: float,
        allowance: float,
        window_seconds: float,
        heard_share: Callable[[], float],
        tell: Callable[[str], None],
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_seconds = window_seconds
        self._heard_share = heard_share
        self._tell = tell
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}
        self._all_retries: dict[str, deque[float]] = {}

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._recent(self._requests, service, now).append(now)

    def note_other(self, service: str, now: float) -> None:
        """Count a retry that another node made."""
        self._recent(self._all_retries, service, now).append(now)

    def take(self, service: str, now: float) -> bool:
        """Return whether one more arrival at the service is allowed, and count it."""
        n_requests = len(self._recent(self._requests, service, now))
        retries = self._recent(self._retries, service, now)
        all_retries = self._recent(self._all_retries, service, now)
        by_share = USED_SHARE * self._ratio * n_requests
        by_allowance = USED_SHARE * self._allowance * self._heard_share()
        if len(retries) + 1 > by_share and len(all_retries) + 1 > by_allowance:
            return False
        retries.append(now)
        all_retries.append(now)
        self._tell(service)
        return True

    def _recent(
        self, times: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        found = times.setdefault(service, deque())
        while found and found[0] <= now - self._window_seconds:
            found.popleft()
        return found
