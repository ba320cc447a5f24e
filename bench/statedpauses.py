"""Measures ways to keep the pauses that endpoints ask for when they shed load.

Run it with ``python -m bench.statedpauses``. Only the decisions are simulated: callers
ask random nodes, endpoints refuse part of the requests for a while and ask for pauses,
and callers that are refused return when they are told.
"""

from __future__ import annotations

import abc
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from celerytrail.policies.statedpauses import StatedPauses

N_ENDPOINTS = 3
N_SLOTS = 8
RUN_SECONDS = 0.1
# Requests that endpoints let wait; more are refused without a pause.
N_WAITING = 4
DELAY_SECONDS = 0.002
SECONDS = 16.0
# Endpoints shed load in this time, in seconds, and ask for this pause.
SHED_SINCE = 2.0
SHED_UNTIL = 8.0
PAUSE_SECONDS = 3.0
GRACE_SECONDS = 0.5
# Requests, as a share of what the endpoints can run.
LOAD = 0.7
# Endpoints that a request is tried at, and times that its caller returns.
N_TRIES = 3
N_RETURNS = 3
BUSY_RETRY_SECONDS = 0.25
AIM_SECONDS = 0.4


class Way(abc.ABC):
    """Decides where nodes may send requests; all times are in seconds."""

    has_probes = True

    def __init__(self, n_nodes: int) -> None:
        self.n_nodes = n_nodes
        self.n_messages = 0

    @abc.abstractmethod
    def pauses_of(self, node: int) -> StatedPauses | None:
        """Return the pauses that a node keeps."""

    def on_pause(self, node: int, endpoint: int, now: float) -> None:
        """Record that an endpoint asked a node for a pause."""
        pauses = self.pauses_of(node)
        if pauses is not None:
            pauses.record((str(endpoint), 1), now, PAUSE_SECONDS)


class NotKept(Way):
    """Nodes forget what a refusal asks for."""

    def pauses_of(self, node: int) -> StatedPauses | None:
        """Return the pauses that a node keeps."""
        return None


class Alone(Way):
    """Each node keeps the pauses that it was asked for."""

    def __init__(self, n_nodes: int) -> None:
        super().__init__(n_nodes)
        self._pauses = [StatedPauses() for _ in range(n_nodes)]

    def pauses_of(self, node: int) -> StatedPauses | None:
        """Return the pauses that a node keeps."""
        return self._pauses[node]


class AloneAtOnce(Alone):
    """The same; after a pause all requests go."""

    has_probes = False


class Announced(Alone):
    """All nodes keep each pause; the news takes no time."""

    def on_pause(self, node: int, endpoint: int, now: float) -> None:
        """Record that an endpoint asked a node for a pause."""
        self.n_messages += self.n_nodes - 1
        for pauses in self._pauses:
            pauses.record((str(endpoint), 1), now, PAUSE_SECONDS)


WAYS: dict[str, Callable[[int], Way]] = {
    "not kept": NotKept,
    "alone, all at once after it": AloneAtOnce,
    "alone, one first after it": Alone,
    "announced, one first": Announced,
}


@dataclass(kw_only=True)
class _Request:
    node: int
    came_at: float
    n_returns: int = 0
    tried: set[int] = field(default_factory=set)
    is_probe: bool = False


@dataclass(kw_only=True)
class Measured:
    """What one simulation gave.

    ``n_refused`` are refusals with a pause, ``n_most`` the most requests of one node in
    one pause, ``n_herd`` the most refusals within 0.1 s.
    """

    n_all: int = 0
    n_served: int = 0
    n_in_aim: int = 0
    n_refused: int = 0
    n_most: int = 0
    n_herd: int = 0
    n_messages: int = 0


class Simulation:
    """Plays one day with endpoints that shed load."""

    def __init__(self, way: Way, shares: Sequence[float], seed: int) -> None:
        self._way = way
        self._shares = shares
        self._rng = random.Random(seed)
        self._order = itertools.count()
        self._events: list[tuple[float, int, str, int, _Request]] = []
        self._n_running = [0] * N_ENDPOINTS
        self._n_queued = [0] * N_ENDPOINTS
        # By endpoint and node, when pauses were asked for; arrivals in them.
        self._asked: dict[tuple[int, int], list[float]] = {}
        self._arrivals: Counter[tuple[int, int, float]] = Counter()
        self._refused_at: list[float] = []
        self.measured = Measured()

    def run(self) -> Measured:
        """Play the day, and return what was measured."""
        at = 0.0
        rate = LOAD * N_ENDPOINTS * N_SLOTS / RUN_SECONDS
        while at < SECONDS:
            at += self._rng.expovariate(rate)
            node = self._rng.randrange(self._way.n_nodes)
            self._push(at, "ask", 0, _Request(node=node, came_at=at))
        steps = {"ask": self._ask, "arrive": self._arrive, "end": self._end}
        while self._events:
            now, _, step, endpoint, req = heapq.heappop(self._events)
            steps[step](now, endpoint, req)
        measured = self.measured
        measured.n_most = max(self._arrivals.values(), default=0)
        times = self._refused_at
        first = 0
        for last, at in enumerate(times):
            while times[first] < at - 0.1:
                first += 1
            measured.n_herd = max(measured.n_herd, last - first + 1)
        measured.n_messages = self._way.n_messages
        return measured

    def _push(self, at: float, step: str, endpoint: int, req: _Request) -> None:
        heapq.heappush(self._events, (at, next(self._order), step, endpoint, req))

    def _ask(self, now: float, _: int, req: _Request) -> None:
        if req.n_returns == 0 and not req.tried:
            self.measured.n_all += SHED_SINCE <= req.came_at < SHED_UNTIL + 2.0
        pauses = self._way.pauses_of(req.node)
        open_endpoints = [
            endpoint
            for endpoint in range(N_ENDPOINTS)
            if endpoint not in req.tried and self._is_open(pauses, endpoint, now)
        ]
        if not open_endpoints or len(req.tried) >= N_TRIES:
            self._refuse(now, pauses, req)
            return
        endpoint = min(
            open_endpoints, key=lambda n: (self._n_running[n], self._rng.random())
        )
        req.tried.add(endpoint)
        if pauses is not None and self._way.has_probes:
            req.is_probe = pauses.begin_probe((str(endpoint), 1), now)
        self._push(now + DELAY_SECONDS, "arrive", endpoint, req)

    def _is_open(self, pauses: StatedPauses | None, endpoint: int, now: float) -> bool:
        if pauses is None:
            return True
        key = (str(endpoint), 1)
        if self._way.has_probes:
            return pauses.seconds_until_open(key, now) == 0
        return not pauses.is_paused(key, now)

    def _refuse(self, now: float, pauses: StatedPauses | None, req: _Request) -> None:
        seconds = BUSY_RETRY_SECONDS
        if pauses is not None:
            waits = [
                pauses.return_seconds((str(endpoint), 1), now)
                for endpoint in range(N_ENDPOINTS)
            ]
            seconds = min(waits) or BUSY_RETRY_SECONDS
        if req.n_returns < N_RETURNS:
            req.n_returns += 1
            req.tried.clear()
            self._push(now + seconds, "ask", 0, req)

    def _arrive(self, now: float, endpoint: int, req: _Request) -> None:
        for asked_at in self._asked.get((endpoint, req.node), ()):
            if asked_at + GRACE_SECONDS < now < asked_at + PAUSE_SECONDS:
                self._arrivals[endpoint, req.node, asked_at] += 1
        is_shedding = SHED_SINCE <= now < SHED_UNTIL
        if is_shedding and self._rng.random() < self._shares[endpoint]:
            self._asked.setdefault((endpoint, req.node), []).append(now)
            self._refused_at.append(now)
            self.measured.n_refused += 1
            self._end_probe(endpoint, req)
            self._way.on_pause(req.node, endpoint, now + DELAY_SECONDS)
            self._push(now + DELAY_SECONDS, "ask", 0, req)
        elif self._n_running[endpoint] >= N_SLOTS + N_WAITING:
            self._end_probe(endpoint, req)
            self._push(now + DELAY_SECONDS, "ask", 0, req)
        else:
            self._n_running[endpoint] += 1
            n_ahead = max(0, self._n_running[endpoint] - N_SLOTS)
            seconds = RUN_SECONDS * (1 + n_ahead / N_SLOTS)
            self._push(now + seconds, "end", endpoint, req)

    def _end(self, now: float, endpoint: int, req: _Request) -> None:
        self._n_running[endpoint] -= 1
        self._end_probe(endpoint, req)
        pauses = self._way.pauses_of(req.node)
        if pauses is not None:
            pauses.record_answer((str(endpoint), 1), now - RUN_SECONDS)
        if SHED_SINCE <= req.came_at < SHED_UNTIL + 2.0:
            self.measured.n_served += 1
            self.measured.n_in_aim += now - req.came_at <= AIM_SECONDS

    def _end_probe(self, endpoint: int, req: _Request) -> None:
        pauses = self._way.pauses_of(req.node)
        if req.is_probe and pauses is not None:
            pauses.end_probe((str(endpoint), 1))
            req.is_probe = False


CASES: dict[str, tuple[float, ...]] = {
    "all refuse": (1.0, 1.0, 1.0),
    "two of three": (1.0, 1.0, 0.0),
    "each four in ten": (0.4, 0.4, 0.4),
}


def main() -> None:
    """Print a table: served, in aim, refusals, most in a pause, herd, messages."""
    print("| case | nodes | " + " | ".join(WAYS) + " |")
    for (case, shares), n_nodes in itertools.product(CASES.items(), (12, 119, 330)):
        cells = []
        for make in WAYS.values():
            runs = [Simulation(make(n_nodes), shares, seed).run() for seed in (1, 2, 3)]
            n_all = sum(one.n_all for one in runs)
            served = sum(one.n_served for one in runs) / n_all
            in_aim = sum(one.n_in_aim for one in runs) / n_all
            n_refused = sum(one.n_refused for one in runs) // 3
            n_most = max(one.n_most for one in runs)
            n_herd = max(one.n_herd for one in runs)
            n_messages = sum(one.n_messages for one in runs) // 3
            cells.append(
                f"{served:.2f}, {in_aim:.2f}, {n_refused}, {n_most}, {n_herd}, "
                f"{n_messages}"
            )
        print(f"| {case} | {n_nodes} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
