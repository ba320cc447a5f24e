"""Compares ways to choose among plain endpoints that state their load and slowness.

Run it with ``python -m bench.endpointspeeds``. Only the decisions are simulated, in
virtual time: callers ask random nodes, endpoints work through queues and are slow now
and then, and nodes tell one another what endpoints state.
"""

from __future__ import annotations

import abc
import heapq
import itertools
import random
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from celerytrail.model import EndpointState, LoadHeader, Registration
from celerytrail.policies.endpointchoice import EndpointChoice
from celerytrail.policies.endpointspeeds import EndpointSpeeds, News
from celerytrail.types import Address

# Time of a message on its way, in seconds.
DELAY_SECONDS = 0.001
# Slow phases of endpoints: share of the time, length in seconds, and factor.
SLOW_SHARE = 0.15
SLOW_SECONDS = 0.6
SLOW_FACTOR = 2.5
# Requests that arrive before this time aren't measured, in seconds.
WARM_SECONDS = 5.0
# Size of an announcement of one load, with IP and UDP headers.
DATAGRAM_BYTES = 100


@dataclass(frozen=True, kw_only=True)
class Case:
    """A service and its load.

    Parameters
    ----------
    lasting : tuple of float
        The permanent slowness of each endpoint.
    n_slots : int
        Slots of an endpoint.
    per_second : float
        Requests per second.
    work_seconds : float
        Mean of their work, which is exponentially distributed.
    target_seconds : float
        Time within which an answer is useful.
    seconds : float
        How long the simulation lasts.
    """

    lasting: tuple[float, ...]
    n_slots: int
    per_second: float
    work_seconds: float
    target_seconds: float
    seconds: float = 35.0


CASES = {
    "confirmations": Case(
        lasting=(1.0,) * 4,
        n_slots=6,
        per_second=62.0,
        work_seconds=0.0225,
        target_seconds=0.13,
    ),
    "bookings": Case(
        lasting=(1.0,) * 3,
        n_slots=6,
        per_second=64.0,
        work_seconds=0.045,
        target_seconds=0.21,
    ),
    "confirmations, half load": Case(
        lasting=(1.0,) * 4,
        n_slots=6,
        per_second=530.0,
        work_seconds=0.0225,
        target_seconds=0.13,
        seconds=15.0,
    ),
    "confirmations, uneven": Case(
        lasting=(0.7, 0.7, 1.7, 1.7),
        n_slots=6,
        per_second=62.0,
        work_seconds=0.0225,
        target_seconds=0.13,
    ),
}


class Way(abc.ABC):
    """Chooses endpoints for the requests of all nodes.

    Parameters
    ----------
    case : Case
        The service.
    n_nodes : int
        The nodes.
    rng : random.Random
        Source of all draws.
    """

    # Share of the announcements that arrive at a node.
    told_share = 1.0

    def __init__(self, *, case: Case, n_nodes: int, rng: random.Random) -> None:
        self.n_nodes = n_nodes
        self.rng = rng
        self.regs = [
            Registration(
                endpoint=f"e{number}",
                service="desk",
                address=Address(host="10.0.0.1", port=number),
                failure_domain="a",
                n_slots=case.n_slots,
                state=EndpointState.READY,
            )
            for number in range(len(case.lasting))
        ]
        self.speeds = [EndpointSpeeds() for _ in range(n_nodes)]

    @abc.abstractmethod
    def choose(self, node: int, now: float) -> int:
        """Return the number of the endpoint for a request."""

    def on_answer(
        self, node: int, endpoint: int, began_at: float, header: LoadHeader, now: float
    ) -> News:
        """Record an answer; return whether it is announced."""
        return self.speeds[node].record_stated(f"e{endpoint}", header, now)

    def on_told(
        self, node: int, endpoint: int, header: LoadHeader, news: News, now: float
    ) -> None:
        """Record an announcement of another node."""
        if self.told_share < 1.0 and self.rng.random() >= self.told_share:
            return
        self.speeds[node].record_told(
            f"e{endpoint}", header, now, is_sample=news is News.SAMPLE
        )


class Chosen(Way):
    """The product's choice with stated values, announced to all nodes."""

    has_speeds = True

    def __init__(self, *, case: Case, n_nodes: int, rng: random.Random) -> None:
        super().__init__(case=case, n_nodes=n_nodes, rng=rng)
        self._choices = [
            EndpointChoice(
                failure_domain="a",
                rng=rng,
                tell=lambda endpoint: None,
                is_connected=lambda address: True,
                speeds=speeds if self.has_speeds else None,
            )
            for speeds in self.speeds
        ]

    def choose(self, node: int, now: float) -> int:
        """Return the number of the endpoint for a request."""
        reg = self._choices[node].choose(self.regs, (), now)
        assert reg is not None
        self._choices[node].begin(reg.endpoint, now)
        return self.regs.index(reg)

    def on_answer(
        self, node: int, endpoint: int, began_at: float, header: LoadHeader, now: float
    ) -> News:
        """Record an answer; return whether it is announced."""
        news = super().on_answer(node, endpoint, began_at, header, now)
        self._choices[node].end(
            f"e{endpoint}",
            began_at,
            is_failed=False,
            is_broken=False,
            now=now,
            is_answered=True,
        )
        return news


class AsNow(Chosen):
    """The choice without stated values."""

    has_speeds = False
    told_share = 0.0


class ChosenAlone(Chosen):
    """The product's choice with the values that a node read itself."""

    told_share = 0.0


class ChosenHalfTold(Chosen):
    """The product's choice; half of the announcements are lost."""

    told_share = 0.5


class LeastLoaded(Way):
    """The endpoint with the least stated load, however old the statement is."""

    def __init__(self, *, case: Case, n_nodes: int, rng: random.Random) -> None:
        super().__init__(case=case, n_nodes=n_nodes, rng=rng)
        unknown = LoadHeader(n_running=0, n_waiting=0, n_slots=case.n_slots)
        self._stated = [[unknown] * len(self.regs) for _ in range(n_nodes)]

    def choose(self, node: int, now: float) -> int:
        """Return the number of the endpoint for a request."""
        return min(self._candidates(), key=lambda n: self._key(node, n))

    def _candidates(self) -> Sequence[int]:
        return range(len(self.regs))

    def _key(self, node: int, endpoint: int) -> tuple[float, float]:
        header = self._stated[node][endpoint]
        n_ahead = header.n_running + header.n_waiting + 1
        return (n_ahead * (header.slowness or 1.0), self.rng.random())

    def on_answer(
        self, node: int, endpoint: int, began_at: float, header: LoadHeader, now: float
    ) -> News:
        """Record an answer; return whether it is announced."""
        self._stated[node][endpoint] = header
        return super().on_answer(node, endpoint, began_at, header, now)

    def on_told(
        self, node: int, endpoint: int, header: LoadHeader, news: News, now: float
    ) -> None:
        """Record an announcement of another node."""
        self._stated[node][endpoint] = header
        super().on_told(node, endpoint, header, news, now)


class TwoChoices(LeastLoaded):
    """The one of two random endpoints that states the lower load."""

    def _candidates(self) -> Sequence[int]:
        return self.rng.sample(range(len(self.regs)), 2)


WAYS: dict[str, type[Way]] = {
    "as now": AsNow,
    "least loaded": LeastLoaded,
    "two choices": TwoChoices,
    "chosen": Chosen,
    "chosen, not told": ChosenAlone,
    "chosen, half told": ChosenHalfTold,
}


@dataclass(kw_only=True)
class _Request:
    node: int
    came_at: float
    work_seconds: float
    endpoint: int = 0
    header: LoadHeader | None = None


@dataclass(kw_only=True)
class _Server:
    """An endpoint: its queue, and when it is slow."""

    lasting: float
    n_running: int = 0
    queue: deque[_Request] = field(default_factory=deque)
    slow_until: float = 0.0
    slow_at: float = 0.0


@dataclass(kw_only=True)
class Measured:
    """What one simulation gave; ``n_told`` counts announcements."""

    seconds: list[float] = field(default_factory=list)
    n_slow: int = 0
    n_told: int = 0
    phase_seconds: float = 0.0
    choice_seconds: float = 0.0


class Simulation:
    """Plays one day of one service."""

    def __init__(
        self, case: Case, make: Callable[..., Way], n_nodes: int, seed: int
    ) -> None:
        self._case = case
        self._rng = random.Random(seed)
        self._way = make(case=case, n_nodes=n_nodes, rng=random.Random(seed + 100))
        # Own source, so that all ways meet the same slow phases.
        self._phases = [random.Random(f"{seed}:{n}") for n in range(len(case.lasting))]
        self._servers = [_Server(lasting=lasting) for lasting in case.lasting]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now = 0.0
        self.measured = Measured()

    def run(self) -> Measured:
        """Play the day, and return what was measured."""
        case = self._case
        for number in range(len(case.lasting)):
            self._plan_phase(number)
        at = self._rng.expovariate(case.per_second)
        while at < case.seconds:
            req = _Request(
                node=self._rng.randrange(self._way.n_nodes),
                came_at=at,
                work_seconds=self._rng.expovariate(1 / case.work_seconds),
            )
            self._push(at, lambda req=req: self._send(req))  # type: ignore[misc]
            at += self._rng.expovariate(case.per_second)
        while self._events:
            self._now, _, step = heapq.heappop(self._events)
            step()
        self.measured.phase_seconds = self._way.speeds[0].phase_seconds("e0")
        return self.measured

    def _push(self, at: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), step))

    def _plan_phase(self, number: int) -> None:
        server = self._servers[number]
        usual_seconds = SLOW_SECONDS * (1 - SLOW_SHARE) / SLOW_SHARE
        pause_seconds = self._phases[number].expovariate(1 / usual_seconds)
        server.slow_at = max(self._now, server.slow_until) + pause_seconds
        server.slow_until = server.slow_at + SLOW_SECONDS
        if server.slow_until < self._case.seconds + 5.0:
            self._push(server.slow_until, lambda: self._plan_phase(number))

    def _slowness(self, server: _Server) -> float:
        is_slow = server.slow_at <= self._now < server.slow_until
        return server.lasting * (SLOW_FACTOR if is_slow else 1.0)

    def _send(self, req: _Request) -> None:
        began_at = time.perf_counter()
        req.endpoint = self._way.choose(req.node, self._now)
        self.measured.choice_seconds += time.perf_counter() - began_at
        server = self._servers[req.endpoint]
        if req.came_at >= WARM_SECONDS:
            self.measured.n_slow += self._slowness(server) > server.lasting
        self._push(self._now + DELAY_SECONDS, lambda: self._arrive(req))

    def _arrive(self, req: _Request) -> None:
        server = self._servers[req.endpoint]
        if server.n_running >= self._case.n_slots:
            server.queue.append(req)
        else:
            self._begin(server, req)

    def _begin(self, server: _Server, req: _Request) -> None:
        server.n_running += 1
        seconds = req.work_seconds * self._slowness(server)
        self._push(self._now + seconds, lambda: self._end(server, req))

    def _end(self, server: _Server, req: _Request) -> None:
        server.n_running -= 1
        if server.queue:
            self._begin(server, server.queue.popleft())
        req.header = LoadHeader(
            n_running=server.n_running,
            n_waiting=len(server.queue),
            n_slots=self._case.n_slots,
            slowness=self._slowness(server),
        )
        self._push(self._now + DELAY_SECONDS, lambda: self._answer(req))

    def _answer(self, req: _Request) -> None:
        header = req.header
        assert header is not None
        now = self._now
        if req.came_at >= WARM_SECONDS:
            self.measured.seconds.append(now - req.came_at)
        news = self._way.on_answer(req.node, req.endpoint, req.came_at, header, now)
        if news is News.NONE or self._way.told_share == 0.0:
            return
        self.measured.n_told += 1
        self._push(
            now + DELAY_SECONDS,
            lambda: self._tell(req.node, req.endpoint, header, news),
        )

    def _tell(self, teller: int, endpoint: int, header: LoadHeader, news: News) -> None:
        for node in range(self._way.n_nodes):
            if node != teller:
                self._way.on_told(node, endpoint, header, news, self._now)


def main() -> None:
    """Print a table of all cases, sizes and ways."""
    print("| case | nodes | " + " | ".join(WAYS) + " |")
    print("| --- | --- |" + " --- |" * len(WAYS))
    for (name, case), n_nodes in itertools.product(CASES.items(), (12, 100, 330)):
        cells = []
        for make in WAYS.values():
            runs = [Simulation(case, make, n_nodes, seed).run() for seed in (1, 2, 3)]
            seconds = sorted(itertools.chain(*(one.seconds for one in runs)))
            in_time = sum(one <= case.target_seconds for one in seconds) / len(seconds)
            mean_ms = 1_000 * sum(seconds) / len(seconds)
            late_ms = 1_000 * seconds[int(0.99 * len(seconds))]
            n_slow = sum(one.n_slow for one in runs) / len(seconds)
            n_told = sum(one.n_told for one in runs) / 3 / case.seconds
            # As many bytes are received as sent, averaged over all nodes.
            n_bytes = 2 * n_told * DATAGRAM_BYTES * (n_nodes - 1) / n_nodes
            cells.append(
                f"{in_time:.4f}, {mean_ms:.1f}, {late_ms:.0f}, {n_slow:.3f}, "
                f"{n_told:.1f}, {n_bytes:.0f}, {runs[0].phase_seconds:.2f}"
            )
        print(f"| {name} | {n_nodes} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
