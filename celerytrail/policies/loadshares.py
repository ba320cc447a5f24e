"""Shares of the requests of all nodes for servers that differ in speed and load.

The load pattern: ninety nodes read the same values and choose at the same time. If each
took the best server, it would get all requests until the next values arrive. Each node
draws with the same shares instead, so that all servers end up about equally good.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

# Largest share of the free capacity that is divided by expected times. Where there are
# more requests, servers get shares in proportion to their free capacity.
MAX_LOAD = 0.95


@dataclass(frozen=True, kw_only=True, slots=True)
class Server:
    """A server as expected at the time of a choice.

    The expected time of a request is that of its work divided by the share of the slots
    that is free, which grows without bound as the server fills.

    Parameters
    ----------
    n_slots : int
        Requests that it handles concurrently.
    slowness : float
        Time that work takes there as a multiple of the usual time.
    n_busy : float
        Slots that are in use already.
    """

    n_slots: int
    slowness: float = 1.0
    n_busy: float = 0.0

    @property
    def n_free(self) -> float:
        """Return the free slots."""
        return max(0.0, self.n_slots - self.n_busy)

    @property
    def capacity(self) -> float:
        """Return the requests at usual speed for which there is room."""
        return self.n_free / self.slowness

    @property
    def cost(self) -> float:
        """Return the expected time of one more request, as a multiple of the usual."""
        if self.n_free == 0:
            return math.inf
        return self.slowness * self.n_slots / self.n_free


def fair_shares(servers: Sequence[Server]) -> list[float]:
    """Return shares in proportion to the slots."""
    n_slots = sum(server.n_slots for server in servers)
    return [server.n_slots / n_slots for server in servers]


def fill_shares(servers: Sequence[Server], n_requests: float) -> list[float]:
    """Return the shares with which requests make the servers equally costly.

    Parameters
    ----------
    servers : sequence of Server
        At least one server.
    n_requests : float
        Requests in progress of all nodes together, as many as there would be at usual
        speed; greater than 0.

    Returns
    -------
    list of float
        The share of each server; 0 for those that are costlier than the others will be.
    """
    free = sum(server.capacity for server in servers)
    if free == 0:
        total = sum(server.n_slots / server.slowness for server in servers)
        return [server.n_slots / server.slowness / total for server in servers]
    n_requests = min(n_requests, MAX_LOAD * free)
    level = math.inf
    n_slots = 0
    left = -n_requests
    for server in sorted(servers, key=lambda server: server.cost):
        if server.cost >= level:
            break
        n_slots += server.n_slots
        left += server.capacity
        # Cost of all servers so far if they take all requests.
        level = n_slots / left if left > 0 else math.inf
    return [
        max(0.0, server.capacity - server.n_slots / level) / n_requests
        for server in servers
    ]
