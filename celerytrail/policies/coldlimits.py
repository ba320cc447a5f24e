"""Each node's part of the requests that a cold endpoint takes per second.

The load pattern: an endpoint has just started, or was reset, and crashes if all nodes
together send it more than a few dozen requests in one second. To every node it looks
like the least loaded one. There may be more nodes than requests allowed, and a node may
reach the endpoint but none of the other nodes, so none may ask before it sends.
"""

from __future__ import annotations

import abc
import math
from collections import deque
from dataclasses import dataclass, field

# Share of the allowed requests that the nodes distribute. The rest is for nodes that
# don't know each other yet.
USED_SHARE = 0.75
# Length of the sliding window in which a node's requests are counted, in seconds: the
# limit's own second, and the resolution of timers.
WINDOW_SECONDS = 1.05


@dataclass(frozen=True, kw_only=True, slots=True)
class NodePosition:
    """A node's place among all nodes in the order that belongs to one endpoint.

    Parameters
    ----------
    index : int
        The place, from 0.
    n_nodes : int
        All known nodes, those that don't run included: one that is out of touch may
        still reach the endpoint.
    """

    index: int
    n_nodes: int


class ColdShares(abc.ABC):
    """Divides the requests that a cold endpoint takes per second among the nodes."""

    @abc.abstractmethod
    def n_allowed(self, n_per_second: float, position: NodePosition) -> int:
        """Return how many requests a node may send in any second."""


class RankedShares(ColdShares):
    """Gives equal parts, and what can't be divided to the first nodes in the order.

    The parts add up to the whole however many nodes there are, and each node knows its
    part without a message. The order differs from endpoint to endpoint.
    """

    def n_allowed(self, n_per_second: float, position: NodePosition) -> int:
        """Return how many requests a node may send in any second."""
        n_shared = math.floor(USED_SHARE * n_per_second)
        n_each, n_rest = divmod(n_shared, max(1, position.n_nodes))
        return n_each + (1 if position.index < n_rest else 0)


@dataclass(kw_only=True, slots=True)
class _ColdEndpoint:
    cold_until: float
    sent_at: deque[float] = field(default_factory=deque)


class ColdEndpoints:
    """Knows which endpoints are cold, and counts this node's requests to them."""

    def __init__(self) -> None:
        self._endpoints: dict[str, _ColdEndpoint] = {}

    def record(self, endpoint: str, cold_until: float) -> None:
        """Record that an endpoint is cold until a time; an earlier one is ignored."""
        known = self._endpoints.get(endpoint)
        if known is None:
            self._endpoints[endpoint] = _ColdEndpoint(cold_until=cold_until)
        else:
            known.cold_until = max(known.cold_until, cold_until)

    def is_cold(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is cold."""
        known = self._endpoints.get(endpoint)
        return known is not None and now < known.cold_until

    def remaining_seconds(self, endpoint: str, now: float) -> float:
        """Return for how long an endpoint stays cold."""
        known = self._endpoints.get(endpoint)
        return max(0.0, known.cold_until - now) if known is not None else 0.0

    def n_cold(self, now: float) -> int:
        """Return the number of cold endpoints."""
        return sum(now < known.cold_until for known in self._endpoints.values())

    def n_recent(self, endpoint: str, now: float) -> int:
        """Return how many requests this node sent to an endpoint in the last second."""
        known = self._endpoints.get(endpoint)
        if known is None:
            return 0
        while known.sent_at and known.sent_at[0] <= now - WINDOW_SECONDS:
            known.sent_at.popleft()
        return len(known.sent_at)

    def count_request(self, endpoint: str, now: float) -> None:
        """Count a request that is sent to a cold endpoint now."""
        known = self._endpoints.get(endpoint)
        if known is not None:
            known.sent_at.append(now)

    def expire(self, now: float) -> None:
        """Forget the endpoints that are no longer cold."""
        self._endpoints = {
            endpoint: known
            for endpoint, known in self._endpoints.items()
            if now < known.cold_until
        }
