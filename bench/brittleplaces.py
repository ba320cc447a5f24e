"""Measures how the places of an endpoint that falls over are shared among all nodes.

Run it with ``python -m bench.brittleplaces``. Only the decisions are simulated: callers
ask random nodes for the endpoint, which lets no request wait, and messages between
nodes take time.
"""

from __future__ import annotations

import abc
import heapq
import itertools
import random
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable

from celerytrail.policies.brittleplaces import BrittlePlaces
from celerytrail.policies.coldlimits import NodePosition, RankedShares

ENDPOINT = "e1"
N_SLOTS = 8
RUN_SECONDS = 0.1
SECONDS = 30.0
# One-way time of a message between two nodes, in seconds.
DELAY_SECONDS = 0.002
# How long nodes keep away from an endpoint that refused, in seconds.
HOLD_SECONDS = 0.25
# Requests for the endpoint, as a multiple of what it can run.
LOAD = 1.5


class Sharing(abc.ABC):
    """Decides which requests are sent; all times are in seconds."""

    # Time that a decision takes.
    delay_seconds = 0.0

    def __init__(self, *, n_nodes: int, n_refusals: int) -> None:
        self.n_nodes = n_nodes
        self.n_refusals = n_refusals
        self.n_own: Counter[int] = Counter()

    @abc.abstractmethod
    def may_send(self, node: int, now: float) -> bool:
        """Return whether a node may send a request."""

    @abc.abstractmethod
    def on_ended(self, node: int, now: float, *, is_refused: bool) -> None:
        """Record that a request of a node has ended or was refused."""


class Alone(Sharing):
    """Each node keeps away for a while after its own refusals."""

    def __init__(self, **more: int) -> None:
        super().__init__(**more)
        self._held_until: dict[int, float] = {}

    def may_send(self, node: int, now: float) -> bool:
        """Return whether a node may send a request."""
        return now >= self._held_until.get(node, 0.0)

    def on_ended(self, node: int, now: float, *, is_refused: bool) -> None:
        """Record that a request of a node has ended or was refused."""
        if is_refused:
            self._held_until[node] = now + HOLD_SECONDS


class Announced(Sharing):
    """All nodes keep away for a while after any refusal that they hear of."""

    def __init__(self, **more: int) -> None:
        super().__init__(**more)
        self._held: list[tuple[float, float]] = []

    def may_send(self, node: int, now: float) -> bool:
        """Return whether a node may send a request."""
        self._held = [held for held in self._held if now < held[1]]
        return not any(heard_at <= now for heard_at, _ in self._held)

    def on_ended(self, node: int, now: float, *, is_refused: bool) -> None:
        """Record that a request of a node has ended or was refused."""
        if is_refused:
            self._held.append((now + DELAY_SECONDS, now + HOLD_SECONDS))


class Parts(Sharing):
    """Each node has a part of the places, by rank."""

    def may_send(self, node: int, now: float) -> bool:
        """Return whether a node may send a request."""
        position = NodePosition(index=node, n_nodes=self.n_nodes)
        return self.n_own[node] < RankedShares().n_allowed(N_SLOTS, position)

    def on_ended(self, node: int, now: float, *, is_refused: bool) -> None:
        """Record that a request of a node has ended or was refused."""
        return


class Owner(Sharing):
    """One node counts the requests of all."""

    delay_seconds = 2 * DELAY_SECONDS

    def __init__(self, **more: int) -> None:
        super().__init__(**more)
        self._places = BrittlePlaces()
        self._numbers = itertools.count(1)

    def may_send(self, node: int, now: float) -> bool:
        """Return whether a node may send a request."""
        return self._places.decide(
            ENDPOINT,
            f"n{node}",
            now,
            number=next(self._numbers),
            n_own=self.n_own[node],
            n_slots=N_SLOTS,
            n_refusals=self.n_refusals,
            position=NodePosition(index=0, n_nodes=self.n_nodes),
            known_share=1.0,
        ).is_granted

    def on_ended(self, node: int, now: float, *, is_refused: bool) -> None:
        """Record that a request of a node has ended or was refused."""
        self._places.record(
            ENDPOINT,
            f"n{node}",
            now + DELAY_SECONDS,
            number=next(self._numbers),
            n_own=self.n_own[node],
            is_refused=is_refused,
            seconds=RUN_SECONDS,
        )


WAYS: dict[str, Callable[..., Sharing]] = {
    "alone": Alone,
    "announced": Announced,
    "parts": Parts,
    "owner": Owner,
}


def simulate(sharing: Sharing, seed: int) -> tuple[int, float]:
    """Return the most refusals in a second, and the share of the places in use."""
    rng = random.Random(seed)
    order = itertools.count()
    events: list[tuple[float, int, str, int]] = []
    at = 0.0
    while at < SECONDS:
        at += rng.expovariate(LOAD * N_SLOTS / RUN_SECONDS)
        node = rng.randrange(sharing.n_nodes)
        heapq.heappush(events, (at, next(order), "ask", node))
    n_running = n_run = 0
    refused_at: list[float] = []
    while events:
        now, _, event, node = heapq.heappop(events)
        if event == "ask" and sharing.may_send(node, now):
            sharing.n_own[node] += 1
            arrives_at = now + sharing.delay_seconds + DELAY_SECONDS
            heapq.heappush(events, (arrives_at, next(order), "arrive", node))
        elif event == "arrive" and n_running < N_SLOTS:
            n_running += 1
            n_run += 1
            heapq.heappush(events, (now + RUN_SECONDS, next(order), "end", node))
        elif event == "arrive":
            refused_at.append(now)
            sharing.n_own[node] -= 1
            sharing.on_ended(node, now + DELAY_SECONDS, is_refused=True)
        elif event == "end":
            n_running -= 1
            sharing.n_own[node] -= 1
            sharing.on_ended(node, now + DELAY_SECONDS, is_refused=False)
    n_most = max(
        (bisect_left(refused_at, at + 1.0) - n for n, at in enumerate(refused_at)),
        default=0,
    )
    return n_most, n_run * RUN_SECONDS / N_SLOTS / SECONDS


def main() -> None:
    """Print a table: most refusals in a second, and the share of places in use."""
    print("| nodes | N | " + " | ".join(WAYS) + " |")
    for n_nodes, n_refusals in itertools.product((12, 119, 330), (3, 10)):
        cells = []
        for make in WAYS.values():
            found = [
                simulate(make(n_nodes=n_nodes, n_refusals=n_refusals), seed)
                for seed in (1, 2, 3)
            ]
            n_most = max(n for n, _ in found)
            used = sum(share for _, share in found) / len(found)
            cells.append(f"{n_most}, {used:.2f}")
        print(f"| {n_nodes} | {n_refusals} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
