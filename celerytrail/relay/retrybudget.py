"""This node's part of the retry budget that all nodes share."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

# Share of the whole budget that is used: windows slide, and nodes don't see one
# another's retries at the moment they make them.
USED_SHARE = 0.6


class RetryBudget:
    """Allows retries up to a share of the requests, and a part of a fixed allowance.

    When a service fails, each request that is tried again adds load just where there
    is too much of it. All nodes together may add a bounded share; each takes an even
    part of the fixed allowance and counts its own requests for the rest.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request of the window.
    allowance : float
        Retries allowed besides in a window, over all nodes.
    window_seconds : float
        Length of the sliding window.
    n_nodes : callable
        Returns how many nodes share the allowance.
    """

    def __init__(
        self,
        *,
        ratio: float,
        allowance: float,
        window_seconds: float,
        n_nodes: Callable[[], int],
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_seconds = window_seconds
        self._n_nodes = n_nodes
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._recent(self._requests, service, now).append(now)

    def take(self, service: str, now: float) -> bool:
        """Return whether one more arrival at the service is allowed, and count it."""
        n_requests = len(self._recent(self._requests, service, now))
        retries = self._recent(self._retries, service, now)
        allowance = self._allowance / max(1, self._n_nodes())
        if len(retries) + 1 > USED_SHARE * (self._ratio * n_requests + allowance):
            return False
        retries.append(now)
        return True

    def _recent(
        self, times: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        found = times.setdefault(service, deque())
        while found and found[0] <= now - self._window_seconds:
            found.popleft()
        return found
