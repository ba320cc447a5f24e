"""Measures ways to give requests to endpoints that have just started or recovered.

Run it with ``python -m bench.pace``. Only the decisions are simulated, in virtual time:
callers ask random nodes, each node chooses among the endpoints of one plain service,
and some of the endpoints return.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace

from celerytrail.model import EndpointState, Registration
from celerytrail.policies.coldlimits import NodePosition
from celerytrail.policies.endpointchoice import EndpointChoice
from celerytrail.policies.pace import (
    FIRST_SHARE,
    LOWEST_SHARE,
    AnswerKind,
    NodePace,
    Pace,
    StartReason,
    is_in_force,
)
from celerytrail.policies.rendezvous import rank
from celerytrail.types import Address

SERVICE = "desk"
ROUTE = "check"
N_ENDPOINTS = 30
N_SLOTS = 6
# Requests that an endpoint lets wait; it refuses more.
N_QUEUED = 12
WORK_SECONDS = 0.2
ERROR_SECONDS = 0.005
# Endpoints return after this time; the nodes learn of it within the next, in seconds.
RETURN_AT = 8.0
NOTICE_SECONDS = 0.2
# Time that is measured from the return, in seconds.
MEASURED_SECONDS = 10.0
# Requests, as a share of what the endpoints can run that are there before the return.
LOAD = 0.6
BURST_FACTOR = 2.0
BURST_SECONDS = 4.0
TARGET_SECONDS = 3 * WORK_SECONDS
TIMEOUT_SECONDS = 3.0
DATAGRAM_SECONDS = 0.03
ANNOUNCE_SECONDS = 0.2
CHECK_SECONDS = 0.05
N_TRIES = 3


class Unpaced(Pace):
    """Gives every endpoint its full share at once."""

    def share(self, endpoint: str, now: float) -> float:
        """Return the part of the live nodes that may use an endpoint, in (0, 1]."""
        return 1.0

    def record_start(
        self,
        endpoint: str,
        now: float,
        *,
        reason: StartReason = StartReason.NEW,
        from_at: float | None = None,
    ) -> None:
        """Ignore a start."""

    def record_outcome(
        self, endpoint: str, is_good: bool, now: float, *, weight: float = 1.0
    ) -> bool:
        """Ignore an answer."""
        return False


class FixedRamp(Unpaced):
    """Increases the share evenly over a fixed time, whatever the answers are."""

    SECONDS = 2.0

    def __init__(self) -> None:
        self._started_at: dict[str, float] = {}

    def share(self, endpoint: str, now: float) -> float:
        """Return the part of the live nodes that may use an endpoint, in (0, 1]."""
        started_at = self._started_at.get(endpoint)
        if started_at is None:
            return 1.0
        return min(1.0, max(FIRST_SHARE, (now - started_at) / self.SECONDS))

    def record_start(
        self,
        endpoint: str,
        now: float,
        *,
        reason: StartReason = StartReason.NEW,
        from_at: float | None = None,
    ) -> None:
        """Record that an endpoint has started or recovered."""
        self._started_at[endpoint] = now


WAYS: dict[str, Callable[[], NodePace]] = {
    "none": lambda: NodePace(pace=Unpaced()),
    "fixed ramp": lambda: NodePace(pace=FixedRamp()),
    "adaptive": NodePace,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """What happens in a simulation; times are in seconds from its start.

    Parameters
    ----------
    n_returning : int
        Endpoints that return at ``RETURN_AT``.
    n_endpoints : int
        All endpoints.
    slowness : float
        How many times as long the returned endpoints work.
    fails_since : float or None
        When the returned endpoints begin to fail.
    fails_until : float
        When they no longer do.
    is_silent : bool
        Whether they give no answers then, instead of errors.
    flap_seconds : float or None
        Interval at which the returned endpoints change between gone and failing.
    has_burst : bool
        Whether twice the requests come at the moment of the return.
    load : float
        Requests, as a share of what the endpoints run that are there from the start.
    lost_datagrams : float
        Share of the announcements that are lost.
    cut_nodes : float
        Share of the nodes that are cut off from the others at the return.
    n_lost_nodes : int
        First nodes of the returning endpoint's order that are lost at the return, and
        known as lost one second later.
    """

    n_returning: int = 1
    n_endpoints: int = N_ENDPOINTS
    slowness: float = 1.0
    fails_since: float | None = None
    fails_until: float = 1e9
    is_silent: bool = False
    flap_seconds: float | None = None
    has_burst: bool = False
    load: float = LOAD
    lost_datagrams: float = 0.0
    cut_nodes: float = 0.0
    n_lost_nodes: int = 0


@dataclass(kw_only=True)
class _Endpoint:
    reg: Registration
    is_returning: bool
    is_there: bool
    n_running: int = 0
    waiting: list[_Request] = field(default_factory=list)
    arrived_at: list[float] = field(default_factory=list)
    served_at: list[float] = field(default_factory=list)


@dataclass(kw_only=True, eq=False)
class _Request:
    node: int
    came_at: float
    tried: set[str] = field(default_factory=set)
    sent_at: float = 0.0
    is_given_up: bool = False


@dataclass(kw_only=True)
class Measured:
    """What one simulation gave, in the measured time.

    ``used_share`` is the used part of what the returned endpoints could run, and
    ``used_early`` the same in the first two seconds; ``n_shed`` are refusals by the
    returned endpoints, ``n_bypassed`` requests sent to a paced endpoint although the
    node had no share, ``n_held_untried`` refusals of requests that a paced endpoint
    could have got, and ``n_announced`` announcements of failures.
    """

    n_all: int = 0
    n_late: int = 0
    n_failed: int = 0
    n_refused: int = 0
    n_shed: int = 0
    n_bypassed: int = 0
    n_held_untried: int = 0
    n_announced: int = 0
    used_share: float = 0.0
    used_early: float = 0.0
    full_share_at: float | None = None
    # When returned endpoints received requests, in seconds from the return.
    arrived_at: list[float] = field(default_factory=list)
    # Most requests that returned endpoints received from all nodes until all of these
    # had the lowest share for them.
    n_until_lowest: int = 0
    # When the first endpoint that returned dropped at a node, in the same way.
    dropped_at: list[float] = field(default_factory=list)


class Simulation:
    """Plays the return of endpoints.

    Parameters
    ----------
    make : callable
        Makes each node's pace.
    n_nodes : int
        The nodes.
    case : Case
        What happens.
    seed : int
        Seed of all draws.
    """

    def __init__(
        self, make: Callable[[], NodePace], n_nodes: int, case: Case, seed: int
    ) -> None:
        self._case = case
        self._rng = random.Random(seed)
        self._n_nodes = n_nodes
        self.paces = [make() for _ in range(n_nodes)]
        self._announced_at: dict[tuple[int, str], float] = {}
        self._choices = [
            EndpointChoice(
                failure_domain="a",
                rng=random.Random(self._rng.random()),
                tell=lambda endpoint: None,
                is_connected=lambda address: True,
                is_new=pace.pace.is_watched,
            )
            for pace in self.paces
        ]
        n_first = case.n_endpoints - case.n_returning
        self._endpoints = {
            f"e{n}": _Endpoint(
                reg=_registration(n), is_returning=n >= n_first, is_there=n < n_first
            )
            for n in range(case.n_endpoints)
        }
        # By node, the endpoints in its table.
        self._tables = [
            {name for name, one in self._endpoints.items() if one.is_there}
            for _ in range(n_nodes)
        ]
        self._lost: set[int] = set()
        self._cut = set(range(round(case.cut_nodes * n_nodes)))
        self._positions: dict[tuple[str, int], NodePosition] = {}
        self._set_positions(is_lost_known=False, is_cut_known=False)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._n_since_lowest = 0
        self.measured = Measured()

    @property
    def returned(self) -> list[str]:
        """Return the endpoints that return."""
        return [name for name, one in self._endpoints.items() if one.is_returning]

    def run(self) -> Measured:
        """Play the day, and return what was measured."""
        case = self._case
        self._push(RETURN_AT, self._return)
        end = RETURN_AT + MEASURED_SECONDS
        n_first = max(1, case.n_endpoints - case.n_returning)
        rate = case.load * n_first * N_SLOTS / WORK_SECONDS
        at = 0.0
        while at < end:
            is_burst = RETURN_AT <= at < RETURN_AT + BURST_SECONDS and case.has_burst
            at += self._rng.expovariate(rate * (BURST_FACTOR if is_burst else 1.0))
            req = _Request(node=self._rng.randrange(self._n_nodes), came_at=at)
            self._push(at, lambda now, req=req: self._ask(req, now))  # type: ignore[misc]
        step = RETURN_AT
        while step < end:
            self._push(step, self._expire)
            step += 0.25
        if case.fails_since is not None:
            for n in range(round(MEASURED_SECONDS / CHECK_SECONDS)):
                self._push(RETURN_AT + n * CHECK_SECONDS, self._check_lowest)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        self._measure()
        return self.measured

    def _push(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), action))

    def _set_positions(self, *, is_lost_known: bool, is_cut_known: bool) -> None:
        nodes = set(range(self._n_nodes))
        live = nodes - self._lost if is_lost_known else nodes
        sides = [live & self._cut, live - self._cut] if is_cut_known else [live]
        for name in self.returned:
            for side in sides:
                order = rank(f"cold {name}", [str(node) for node in side])
                for index, node in enumerate(order):
                    self._positions[name, int(node)] = NodePosition(
                        index=index, n_nodes=len(side)
                    )

    # Endpoints.

    def _return(self, now: float) -> None:
        case = self._case
        if case.n_lost_nodes:
            name = self.returned[0]
            order = rank(f"cold {name}", [str(n) for n in range(self._n_nodes)])
            self._lost = set(map(int, order[: case.n_lost_nodes]))
            self._push(
                now + 1.0,
                lambda _: self._set_positions(is_lost_known=True, is_cut_known=False),
            )
        if case.cut_nodes:
            self._push(
                now + 1.0,
                lambda _: self._set_positions(is_lost_known=False, is_cut_known=True),
            )
        for name in self.returned:
            self._appear(name, now)

    def _appear(self, name: str, now: float) -> None:
        self._endpoints[name].is_there = True
        for node in range(self._n_nodes):
            at = now + self._rng.uniform(0, NOTICE_SECONDS)
            self._push(at, lambda now, node=node: self._notice(node, name, now))  # type: ignore[misc]
        if self._case.flap_seconds is not None:
            at = now + self._case.flap_seconds
            self._push(at, lambda now: self._vanish(name, now))

    def _vanish(self, name: str, now: float) -> None:
        assert self._case.flap_seconds is not None
        self._endpoints[name].is_there = False
        for table in self._tables:
            table.discard(name)
        if now < RETURN_AT + MEASURED_SECONDS:
            at = now + self._case.flap_seconds
            self._push(at, lambda now: self._appear(name, now))

    def _notice(self, node: int, name: str, now: float) -> None:
        if self._endpoints[name].is_there and name not in self._tables[node]:
            self._tables[node].add(name)
            self.paces[node].pace.record_start(name, now)

    def _is_failing(self, endpoint: _Endpoint, now: float) -> bool:
        since = self._case.fails_since
        is_faulty = endpoint.is_returning and since is not None
        return is_faulty and (since or 0.0) <= now < self._case.fails_until

    def _arrive(self, req: _Request, name: str, now: float) -> None:
        endpoint = self._endpoints[name]
        endpoint.arrived_at.append(now)
        if self._is_failing(endpoint, now) and now < RETURN_AT + MEASURED_SECONDS:
            self._n_since_lowest += 1
            n_most = max(self.measured.n_until_lowest, self._n_since_lowest)
            self.measured.n_until_lowest = n_most
        if not endpoint.is_there:
            self._answer(req, name, AnswerKind.FAILED, now)
        elif self._is_failing(endpoint, now):
            if not self._case.is_silent:
                at = now + ERROR_SECONDS
                self._push(
                    at, lambda now: self._answer(req, name, AnswerKind.FAILED, now)
                )
        elif endpoint.n_running < N_SLOTS:
            self._start(req, name, now)
        elif len(endpoint.waiting) < N_QUEUED:
            endpoint.waiting.append(req)
        else:
            self.measured.n_shed += endpoint.is_returning
            self._answer(req, name, AnswerKind.REFUSED, now)

    def _start(self, req: _Request, name: str, now: float) -> None:
        endpoint = self._endpoints[name]
        endpoint.n_running += 1
        slowness = self._case.slowness if endpoint.is_returning else 1.0
        seconds = WORK_SECONDS * slowness * self._rng.uniform(0.7, 1.3)
        self._push(now + seconds, lambda now: self._finish(req, name, now))

    def _finish(self, req: _Request, name: str, now: float) -> None:
        endpoint = self._endpoints[name]
        endpoint.n_running -= 1
        endpoint.served_at.append(now)
        if endpoint.waiting:
            self._start(endpoint.waiting.pop(0), name, now)
        self._answer(req, name, AnswerKind.ANSWERED, now)

    # Nodes.

    def _ask(self, req: _Request, now: float) -> None:
        if req.node in self._lost:
            # Callers of a lost node go to another one.
            left = [n for n in range(self._n_nodes) if n not in self._lost]
            req.node = self._rng.choice(left)
        if self._is_measured(req) and not req.tried:
            self.measured.n_all += 1
        pace = self.paces[req.node]
        regs = [self._endpoints[name].reg for name in self._tables[req.node]]
        regs.sort(key=lambda reg: reg.endpoint)
        paced = [reg for reg in regs if pace.is_paced(reg.endpoint, now)]
        held: set[str] = set()
        # A request that another endpoint refused ignores the pace.
        if not req.tried and is_in_force(len(paced), len(regs)):
            held = {
                reg.endpoint
                for reg in paced
                if pace.holds_back(
                    reg.endpoint, self._positions[reg.endpoint, req.node], now
                )
            }
        choice = self._choices[req.node]
        trials = [
            reg
            for reg in paced
            if not req.tried
            and is_in_force(len(paced), len(regs))
            and pace.wants_trial(
                reg.endpoint, self._positions[reg.endpoint, req.node], now
            )
        ]
        if req.tried:
            trials = [reg for reg in paced if pace.takes_refused(reg.endpoint, now)]
        reg = choice.choose(trials or regs, req.tried | held, now)
        if reg is None:
            reg = choice.choose(regs, req.tried | held, now)
        if reg is None:
            reg = choice.choose(regs, req.tried, now)
            self.measured.n_bypassed += reg is not None
        if reg is None or len(req.tried) >= N_TRIES:
            self.measured.n_refused += self._is_measured(req)
            self.measured.n_held_untried += any(
                pace.takes_refused(one.endpoint, now)
                for one in paced
                if one.endpoint not in req.tried
            )
            req.is_given_up = True
            return
        req.tried.add(reg.endpoint)
        req.sent_at = now
        choice.begin(reg.endpoint, now)
        pace.begin(reg.endpoint, now)
        overdue_at = pace.overdue_at(reg.endpoint, SERVICE, now)
        name = reg.endpoint
        if overdue_at is not None:
            self._push(
                overdue_at, lambda at: self._check_overdue(req.node, name, now, at)
            )
        self._push(now + TIMEOUT_SECONDS, lambda at: self._give_up(req, name, now, at))
        self._arrive(req, name, now)

    def _check_overdue(self, node: int, name: str, sent_at: float, now: float) -> None:
        if self.paces[node].record_overdue(name, sent_at, now):
            self._on_drop(node, name, now)

    def _give_up(self, req: _Request, name: str, sent_at: float, now: float) -> None:
        if req.sent_at != sent_at or req.is_given_up:
            return
        self._answer(req, name, AnswerKind.FAILED, now)

    def _answer(self, req: _Request, name: str, kind: AnswerKind, now: float) -> None:
        if req.is_given_up:
            return
        node, pace = req.node, self.paces[req.node]
        self._choices[node].end(
            name,
            req.sent_at,
            is_failed=kind is not AnswerKind.ANSWERED,
            is_broken=False,
            now=now,
        )
        pace.end(name, req.sent_at)
        seconds = now - req.sent_at
        if pace.record_answer(name, SERVICE, ROUTE, now, kind=kind, seconds=seconds):
            self._on_drop(node, name, now)
        if kind is AnswerKind.REFUSED:
            self._ask(req, now)
            return
        req.is_given_up = True
        if self._is_measured(req):
            if kind is AnswerKind.FAILED:
                self.measured.n_failed += 1
            else:
                self.measured.n_late += now - req.came_at > TARGET_SECONDS

    def _on_drop(self, node: int, name: str, now: float) -> None:
        """Announce a drop in the way in which nodes announce aborted requests."""
        self.measured.dropped_at.append(now - RETURN_AT)
        if now < self._announced_at.get((node, name), 0.0) + ANNOUNCE_SECONDS:
            return
        self._announced_at[node, name] = now
        self.measured.n_announced += 1
        for other in range(self._n_nodes):
            is_lost = self._rng.random() < self._case.lost_datagrams
            is_cut = (other in self._cut) != (node in self._cut)
            if other != node and not is_lost and not is_cut:
                self._push(
                    now + DATAGRAM_SECONDS,
                    lambda now, other=other: self._hear(other, node, name, now),  # type: ignore[misc]
                )

    def _hear(self, node: int, sender: int, name: str, now: float) -> None:
        pace = self.paces[node].pace
        pace.record_peer_report(name, str(sender), now)
        if not pace.is_watched(name):
            self._choices[node].record_peer_failure(name, str(sender), now)

    def _expire(self, now: float) -> None:
        for pace, table in zip(self.paces, self._tables, strict=True):
            pace.expire(now, table.__contains__, {SERVICE})
        if self.measured.full_share_at is None and now > RETURN_AT:
            names = self.returned
            if all(
                name in table and not pace.is_paced(name, now)
                for pace, table in zip(self.paces, self._tables, strict=True)
                for name in names
            ):
                self.measured.full_share_at = now - RETURN_AT

    # Measuring.

    def _is_measured(self, req: _Request) -> bool:
        return RETURN_AT <= req.came_at < RETURN_AT + MEASURED_SECONDS

    def _check_lowest(self, now: float) -> None:
        if all(
            pace.pace.share(name, now) <= LOWEST_SHARE
            for name in self.returned
            for node, pace in enumerate(self.paces)
            if name in self._tables[node]
        ):
            self._n_since_lowest = 0

    def _measure(self) -> None:
        measured = self.measured
        returned = [self._endpoints[name] for name in self.returned]
        slowness = self._case.slowness
        for seconds, attribute in (
            (MEASURED_SECONDS, "used_share"),
            (2.0, "used_early"),
        ):
            n_served = sum(
                RETURN_AT <= at < RETURN_AT + seconds
                for one in returned
                for at in one.served_at
            )
            n_possible = len(returned) * N_SLOTS * seconds / (WORK_SECONDS * slowness)
            setattr(measured, attribute, n_served / n_possible)
        measured.arrived_at = sorted(
            at - RETURN_AT for one in returned for at in one.arrived_at
        )


def _registration(number: int) -> Registration:
    return Registration(
        endpoint=f"e{number}",
        service=SERVICE,
        address=Address(host="10.0.0.1", port=1_000 + number),
        failure_domain="a",
        n_slots=N_SLOTS,
        state=EndpointState.READY,
    )


CASES: dict[str, Case] = {
    "one of 30": Case(),
    "a third": Case(n_returning=10),
    "all": Case(n_returning=30, load=12.0),
    "2 s healthy, then failing": Case(fails_since=RETURN_AT + 2.0),
    "failing": Case(fails_since=0.0),
    "silent": Case(fails_since=0.0, is_silent=True),
    "half as fast": Case(slowness=2.0),
    "burst": Case(has_burst=True),
    "flapping each second": Case(fails_since=0.0, flap_seconds=1.0),
}
SIZES = (12, 100, 330)
SEEDS = (1, 2, 3)


def measure(way: str, n_nodes: int, case: Case, seed: int = 1) -> Measured:
    """Return what a simulation with one of the ways gives."""
    return Simulation(WAYS[way], n_nodes, case, seed).run()


def _cell(runs: Sequence[Measured]) -> str:
    n_all = sum(one.n_all for one in runs)

    def share(numbers: Iterable[int]) -> str:
        return f"{100 * sum(numbers) / max(1, n_all):.2f}"

    late = share(one.n_late for one in runs)
    failed = share(one.n_failed + one.n_refused for one in runs)
    used = sum(one.used_share for one in runs) / len(runs)
    early = sum(one.used_early for one in runs) / len(runs)
    n_first = max(sum(at < 2.0 for at in one.arrived_at) for one in runs)
    return f"{late}, {failed}, {used:.2f}, {early:.2f}, {n_first}"


def main(argv: Sequence[str] | None = None) -> None:
    """Print a table: late and failed in percent, used, used in 2 s, most received."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case", choices=sorted(CASES), action="append")
    parser.add_argument("--nodes", type=int, action="append")
    parser.add_argument("--seeds", type=int, nargs="+", default=SEEDS)
    parser.add_argument("--lost-datagrams", type=float, default=0.0)
    args = parser.parse_args(argv)
    print("| case | nodes | " + " | ".join(WAYS) + " |")
    print("| --- " * (2 + len(WAYS)) + "|")
    for name, n_nodes in itertools.product(args.case or CASES, args.nodes or SIZES):
        case = replace(CASES[name], lost_datagrams=args.lost_datagrams)
        cells = [
            _cell([measure(way, n_nodes, case, seed) for seed in args.seeds])
            for way in WAYS
        ]
        print(f"| {name} | {n_nodes} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
