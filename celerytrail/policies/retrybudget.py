"""A node's part of the retry budget that all nodes share."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

# Share of the whole budget that is used. The rest is a margin, as windows slide and
# nodes learn of one another's retries with a delay.
USED_SHARE = 0.6


class SharedRetryBudget:
    """Allows retries up to a share of the requests, and a part of a fixed allowance.

    When a service fails, retries add load where there is already too much, so all nodes
    together may add a bounded share only. For the share, each node counts its own
    requests. It announces each retry to the others, so the fixed allowance goes to the
    nodes that need it. A node that receives the announcements of only part of the nodes
    uses that part of the allowance.

    Parameters
    ----------
    ratio : float
        Retries allowed per request in the window.
    allowance : float
        Further retries allowed in a window, by all nodes together.
    window_seconds : float
        Length of the sliding window.
    received_share : callable
        Returns the share of all nodes whose announcements this one receives, with
        itself.
    tell : callable
        Called with a service at which this node makes a retry.
    """

    def __init__(
        self,
        *,
        ratio: float,
        allowance: float,
        window_seconds: float,
        received_share: Callable[[], float],
        tell: Callable[[str], None],
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_seconds = window_seconds
        self._received_share = received_share
        self._tell = tell
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}
        self._all_retries: dict[str, deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._recent(self._requests, service, now).append(now)

    def record_peer_retry(self, service: str, now: float) -> None:
        """Count a retry that another node made."""
        self._recent(self._all_retries, service, now).append(now)

    def take(self, service: str, now: float) -> bool:
        """Return whether a retry at the service is allowed, and count it if so."""
        n_requests = len(self._recent(self._requests, service, now))
        retries = self._recent(self._retries, service, now)
        all_retries = self._recent(self._all_retries, service, now)
        ratio_limit = USED_SHARE * self._ratio * n_requests
        allowance_limit = USED_SHARE * self._allowance * self._received_share()
        if len(retries) + 1 > ratio_limit and len(all_retries) + 1 > allowance_limit:
            return False
        retries.append(now)
        all_retries.append(now)
        self._tell(service)
        return True

    def _recent(
        self, times: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        recent = times.setdefault(service, deque())
        while recent and recent[0] <= now - self._window_seconds:
            recent.popleft()
        return recent
