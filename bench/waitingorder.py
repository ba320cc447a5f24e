"""Compares who decides which waiting request gets an engine.

Run it with ``python -m bench.waitingorder``. Only the decisions are simulated, in
virtual time: requests of 24 organisations arrive at nodes, engines hold them in their
memory, and each node sees runs and waiting requests later than they happen.
"""

from __future__ import annotations

import abc
import argparse
import functools
import heapq
import itertools
import math
import multiprocessing
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import msgspec

from celerytrail.model import EndpointState, Registration
from celerytrail.nodes.gossip import DATAGRAM_HEADER_BYTES
from celerytrail.policies.engineloads import EngineLoad, Run
from celerytrail.policies.placing import (
    PREFILL_SHARE,
    Demand,
    LeastCostPlacement,
    expected_memory_share,
)
from celerytrail.policies.waiting import (
    REPEAT_SECONDS,
    ArrivalOrder,
    Assignment,
    SharedOrder,
    UnusedTurns,
    Waiting,
    WaitingOrder,
    find_turn,
    repeat_seconds,
)
from celerytrail.relay.updatemessages import NodeUpdate, ReturningEntry, WaitingEntry
from celerytrail.types import Address

SECONDS = 16.0
# Requests of the first seconds aren't counted: all engines are empty then.
WARM_UP_SECONDS = 5.0
# What is left of 22 while a domain is evacuated and some leave: they hold about 90
# narrations.
N_ENGINES = 13
N_SLOTS = 24
N_MEMORY_TOKENS = 26_893
PREFILL_RATE = 14_000.0
TOKEN_SECONDS = 0.0085
N_ORGANISATIONS = 24
N_LARGE = 3
# Share of the requests that the large organisations send together.
LARGE_SHARE = 0.6
WAIT_SHARE = 0.5
RETRY_SECONDS = 0.7
CHECK_SECONDS = 0.02
# Of an announcement between two nodes, in seconds.
NETWORK_SECONDS = 0.005
# While the owner is lost: until the others know, and until the next one has been told
# of the requests that wait.
OWNER_LOST_AT = 9.0
OWNER_LOST_SECONDS = 1.0 + REPEAT_SECONDS
# Engines that a request tries before it is refused.
MAX_REFUSALS = 3

ENTRY = WaitingEntry(
    request_id="attempt-0123456789ab/ffffff",
    service="assistente-llm",
    organisation="abcd",
    priority=2,
    waited_ms=900,
    target_ms=3_100,
    gives_up_ms=38_000,
    n_tokens=3_079,
    n_prefill_tokens=3_079,
    n_remaining_tokens=748,
)
NODE_NAME = "edge-recife-a-2-31cda185"
RETURNING = ReturningEntry(key=bytes(8), waited_ms=2_000, returns_ms=700)


def n_bytes(**fields: object) -> int:
    """Return the size of an update with its IP and UDP headers."""
    update = NodeUpdate(node=NODE_NAME, **fields)  # type: ignore[arg-type]
    return len(msgspec.msgpack.encode(update)) + DATAGRAM_HEADER_BYTES


WAITING_BYTES = n_bytes(waiting=[ENTRY])
END_BYTES = n_bytes(ended=[ENTRY.request_id])
RETURNING_BYTES = n_bytes(returning=[RETURNING])


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """A kind of request; its worth is counted in time and late."""

    name: str
    rate: float
    priority: int
    target: float
    n_prompt_tokens: int
    n_tokens: int
    worth: float
    late_worth: float


KINDS = (
    Kind(
        name="narration",
        rate=9.09,
        priority=2,
        target=4.0,
        n_prompt_tokens=3_079,
        n_tokens=748,
        worth=130.0,
        late_worth=28.0,
    ),
    Kind(
        name="verdict",
        rate=17.7,
        priority=0,
        target=1.5,
        n_prompt_tokens=2_550,
        n_tokens=8,
        worth=65.0,
        late_worth=3.8,
    ),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Setting:
    """One run of the comparison.

    Parameters
    ----------
    n_nodes : int
        Nodes at which requests arrive.
    load : float
        Share of the usual rate of requests.
    delay : float
        Age of a node's information on other nodes, in seconds.
    loss_rate : float
        Share of announcements that are lost; they are made up for 0.5 s later.
    seed : int
        Seed of the requests.
    """

    n_nodes: int
    load: float
    delay: float = NETWORK_SECONDS
    loss_rate: float = 0.0
    seed: int = 1


@dataclass(kw_only=True, slots=True, eq=False)
class Request:
    """A request, and its state."""

    number: int
    kind: Kind
    node: int
    is_large: bool
    waiting: Waiting
    arrived_at: float
    attempt_at: float = 0.0
    announced_at: float = math.inf
    left_at: float = math.inf
    placed_at: float = math.inf
    ends_at: float = math.inf
    endpoint: str = ""
    first_event_at: float = math.inf
    is_refused: bool = False
    n_refusals: int = 0
    refused_by: set[str] = field(default_factory=set)
    unused: UnusedTurns = field(default_factory=UnusedTurns)
    # When the owner's grant reaches its node, and the engine.
    granted: tuple[float, str] | None = None

    @property
    def until(self) -> float:
        """Return until when it waits for an engine."""
        return self.attempt_at + WAIT_SHARE * self.kind.target


class Fleet:
    """Requests, engines and what each node knows of them at a time."""

    def __init__(self, setting: Setting, way: Way) -> None:
        self.setting = setting
        self.way = way
        self.rng = random.Random(setting.seed)
        self.policy = LeastCostPlacement()
        self.now = 0.0
        self.counts: Counter[str] = Counter()
        self.n_bytes = 0
        # Requests that wait, and those with a run that may still be known.
        self.waiting: dict[int, Request] = {}
        self.left: dict[int, Request] = {}
        self.runs: dict[int, Request] = {}
        self.prefill_ends = {f"e{number}": 0.0 for number in range(N_ENGINES)}
        self.engines = [
            EngineLoad(
                reg=Registration(
                    endpoint=endpoint,
                    service="models",
                    address=Address(host="10.0.0.1", port=1),
                    failure_domain="a",
                    n_slots=N_SLOTS,
                    state=EndpointState.READY,
                ),
                n_slots=N_SLOTS,
                n_memory_tokens=N_MEMORY_TOKENS,
                token_seconds=TOKEN_SECONDS,
                prefill_rate=PREFILL_RATE,
            )
            for endpoint in self.prefill_ends
        ]
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    # Time.

    def call_at(self, at: float, call: Callable[[], None]) -> None:
        """Call something at a time."""
        heapq.heappush(self._events, (at, next(self._numbers), call))

    def run(self) -> list[Request]:
        """Simulate all requests; return those that are counted."""
        requests = list(self._make_requests())
        for request in requests:
            self.call_at(request.arrived_at, functools.partial(self._begin, request))
        while self._events:
            self.now, _, call = heapq.heappop(self._events)
            call()
        return [
            request for request in requests if request.arrived_at >= WARM_UP_SECONDS
        ]

    def _make_requests(self) -> list[Request]:
        rng = self.rng
        requests: list[Request] = []
        for kind in KINDS:
            at = 0.0
            while True:
                at += rng.expovariate(self.setting.load * kind.rate)
                if at >= SECONDS:
                    break
                requests.append(self._make_request(kind, at, len(requests)))
        return requests

    def _make_request(self, kind: Kind, at: float, number: int) -> Request:
        rng = self.rng
        is_large = rng.random() < LARGE_SHARE
        if is_large:
            organisation = rng.randrange(N_LARGE)
        else:
            organisation = rng.randrange(N_LARGE, N_ORGANISATIONS)
        n_prompt = round(kind.n_prompt_tokens * rng.uniform(0.7, 1.3))
        return Request(
            number=number,
            kind=kind,
            node=rng.randrange(self.setting.n_nodes),
            is_large=is_large,
            arrived_at=at,
            attempt_at=at,
            waiting=Waiting(
                request_id=f"r{number}",
                service="models",
                organisation=f"o{organisation}",
                priority=kind.priority,
                waiting_since=at,
                target_at=at + kind.target,
                gives_up_at=at + 4 * kind.target,
                n_tokens=n_prompt,
                n_prefill_tokens=n_prompt,
                n_remaining_tokens=round(kind.n_tokens * rng.uniform(0.8, 1.2)),
            ),
        )

    # What nodes know.

    def delay(self, request: Request, node: int, event: int) -> float:
        """Return after which time a node learns of an event of a request."""
        if request.node == node:
            return 0.0
        setting = self.setting
        if not setting.loss_rate:
            return setting.delay
        mark = hash((setting.seed, request.number, node, event)) * 0x9E3779B1
        share = (mark >> 8 & 0xFFFFFF) / 0x1000000
        n_lost = 0
        while share < setting.loss_rate ** (n_lost + 1) and n_lost < 3:
            n_lost += 1
        return setting.delay + n_lost * REPEAT_SECONDS

    def known_runs(self, node: int) -> list[Request]:
        """Return the runs that a node knows of."""
        now = self.now
        return [
            request
            for request in self.runs.values()
            if request.placed_at + self.delay(request, node, 0) <= now
            and request.ends_at + self.delay(request, node, 1) > now
        ]

    def known_waiting(self, node: int) -> list[Waiting]:
        """Return the requests that a node knows to wait."""
        now = self.now
        return [
            request.waiting
            for request in (*self.waiting.values(), *self.left.values())
            if request.announced_at + self.delay(request, node, 2) <= now
            and request.left_at + self.delay(request, node, 3) > now
        ]

    def loads(self, runs: list[Request]) -> list[EngineLoad]:
        """Return the load of the engines with some runs."""
        by_engine: dict[str, list[Run]] = {}
        for request in runs:
            waiting = request.waiting
            is_prefilling = self.now < request.first_event_at
            n_made = (self.now - request.first_event_at) / TOKEN_SECONDS
            run = Run(
                run_id=waiting.request_id,
                endpoint=request.endpoint,
                n_prompt_tokens=waiting.n_tokens,
                n_expected_tokens=waiting.n_remaining_tokens,
                is_prefilling=is_prefilling,
                n_generated_tokens=0 if is_prefilling else int(n_made),
                organisation=waiting.organisation,
            )
            by_engine.setdefault(request.endpoint, []).append(run)
        return [
            replace(load, runs=tuple(by_engine.get(load.reg.endpoint, ())))
            for load in self.engines
        ]

    def demand(self, request: Request) -> Demand:
        """Return what a request needs now."""
        waiting = request.waiting
        prefill_by = request.attempt_at + PREFILL_SHARE * request.kind.target
        return Demand(
            n_tokens=waiting.n_tokens,
            n_prefill_tokens=waiting.n_prefill_tokens,
            n_remaining_tokens=waiting.n_remaining_tokens,
            failure_domain="a",
            max_prefill_seconds=max(0.0, prefill_by - self.now),
        )

    # Requests.

    def _begin(self, request: Request) -> None:
        request.left_at = math.inf
        self.waiting[request.number] = request
        self.way.on_begin(self, request)
        self._check(request)

    def _check(self, request: Request) -> None:
        if request.number not in self.waiting:
            return
        endpoint = self.way.find(self, request)
        if endpoint is not None and self._place(request, endpoint):
            return
        if self.now >= request.until or request.n_refusals >= MAX_REFUSALS:
            self._refuse(request)
            return
        self.way.on_waiting(self, request)
        self.call_at(self.now + CHECK_SECONDS, lambda: self._check(request))

    def _place(self, request: Request, endpoint: str) -> bool:
        """Start a run, unless its engine has no memory for it to its end."""
        running = [other for other in self.runs.values() if other.ends_at > self.now]
        load = next(
            load for load in self.loads(running) if load.reg.endpoint == endpoint
        )
        demand = self.demand(request)
        is_full = len(load.runs) >= N_SLOTS
        if is_full or expected_memory_share(load, demand) > 1.0:
            self.counts["refused by an engine"] += 1
            request.n_refusals += 1
            request.refused_by.add(endpoint)
            request.granted = None
            return False
        waiting = request.waiting
        begins_at = max(self.now, self.prefill_ends[endpoint])
        prefilled_at = begins_at + waiting.n_prefill_tokens / PREFILL_RATE
        self.prefill_ends[endpoint] = prefilled_at
        request.endpoint = endpoint
        request.placed_at = self.now
        request.first_event_at = prefilled_at + 4 * TOKEN_SECONDS
        request.ends_at = prefilled_at + waiting.n_remaining_tokens * TOKEN_SECONDS
        self._leave(request)
        self.runs[request.number] = request
        forget_at = request.ends_at + self.setting.delay + 4 * REPEAT_SECONDS
        self.call_at(forget_at, lambda: self._forget(request))
        self.way.on_placed(self, request)
        return True

    def _forget(self, request: Request) -> None:
        del self.runs[request.number]

    def _forget_left(self, request: Request) -> None:
        self.left.pop(request.number, None)

    def _leave(self, request: Request) -> None:
        del self.waiting[request.number]
        request.left_at = self.now
        self.left[request.number] = request
        known_until = self.now + self.setting.delay + 4 * REPEAT_SECONDS
        self.call_at(known_until, lambda: self._forget_left(request))

    def _refuse(self, request: Request) -> None:
        self._leave(request)
        self.way.on_refused(self, request)
        if request.is_refused:
            return
        request.is_refused = True
        self.call_at(self.now + RETRY_SECONDS, lambda: self._retry(request))

    def _retry(self, request: Request) -> None:
        self.left.pop(request.number, None)
        request.attempt_at = self.now
        request.announced_at = math.inf
        request.n_refusals = 0
        request.refused_by = set()
        request.unused = UnusedTurns()
        request.granted = None
        request.node = self.rng.randrange(self.setting.n_nodes)
        self.way.on_retry(self, request)
        self._begin(request)

    def count_messages(self, n: int, size: int) -> None:
        """Count datagrams of a size."""
        self.counts["messages"] += n
        self.n_bytes += n * size

    def announce(self, size: int) -> None:
        """Count an announcement to all other nodes."""
        self.count_messages(self.setting.n_nodes - 1, size)


class Hooks:
    """Told what happens to requests; does nothing with it by default."""

    def on_begin(self, fleet: Fleet, request: Request) -> None:
        """Note that a request has arrived."""

    def on_waiting(self, fleet: Fleet, request: Request) -> None:
        """Note that a check found no engine for a request."""

    def on_placed(self, fleet: Fleet, request: Request) -> None:
        """Note that a request has an engine."""

    def on_refused(self, fleet: Fleet, request: Request) -> None:
        """Note that a request is refused."""

    def on_retry(self, fleet: Fleet, request: Request) -> None:
        """Note that a refused caller returns: it starts anew."""
        request.waiting = replace(request.waiting, by_age_at=math.inf)


class Way(Hooks, abc.ABC):
    """Who decides, and what it costs."""

    name = ""

    @abc.abstractmethod
    def find(self, fleet: Fleet, request: Request) -> str | None:
        """Return the engine that a request may take now."""

    def usable(self, fleet: Fleet, request: Request, node: int) -> list[EngineLoad]:
        """Return the engines as a node sees them, without those that refused."""
        return [
            load
            for load in fleet.loads(fleet.known_runs(node))
            if load.reg.endpoint not in request.refused_by
        ]


class Polling(Way):
    """Each request takes what it finds first."""

    name = "polling"

    def find(self, fleet: Fleet, request: Request) -> str | None:
        """Return the engine that the request would take if no other waited."""
        loads = self.usable(fleet, request, request.node)
        load = fleet.policy.choose(loads, fleet.demand(request), fleet.rng)
        return load.reg.endpoint if load is not None else None


class Ordered(Way):
    """Each node applies the same order to all waiting requests."""

    name = "this order"

    def __init__(self, order: WaitingOrder | None = None) -> None:
        self._order = order or SharedOrder()

    def find(self, fleet: Fleet, request: Request) -> str | None:
        """Return the engine that remains for the request after those ahead."""
        now, node = fleet.now, request.node
        known = fleet.known_runs(node)
        loads = [
            load
            for load in fleet.loads(known)
            if load.reg.endpoint not in request.refused_by
        ]
        demand = fleet.demand(request)
        rng = fleet.rng
        load = fleet.policy.choose(loads, demand, rng)
        if load is None:
            return None
        own = request.waiting
        waiting = fleet.known_waiting(node)
        if all(other.request_id != own.request_id for other in waiting):
            waiting.append(own)
        if len(waiting) == 1:
            return load.reg.endpoint
        running = Counter(other.waiting.organisation for other in known)
        turn = find_turn(
            own,
            self._order.order(waiting, running, now),
            demand,
            Assignment(loads=loads, policy=fleet.policy, rng=rng),
            choose=lambda left: fleet.policy.choose(left, demand, rng),
            is_ignored=lambda number: request.unused.is_ignored(number, now),
            now=now,
        )
        fleet.counts["unused turns"] += request.unused.record(turn.assigned, now)
        return turn.load.reg.endpoint if turn.load is not None else None

    def on_waiting(self, fleet: Fleet, request: Request) -> None:
        """Announce the request now and each half second."""
        if request.announced_at < math.inf:
            return
        request.announced_at = fleet.now
        self._repeat(fleet, request, fleet.now)

    def _repeat(self, fleet: Fleet, request: Request, announced_at: float) -> None:
        if request.announced_at == announced_at and request.number in fleet.waiting:
            fleet.announce(WAITING_BYTES)
            again_at = fleet.now + repeat_seconds(len(fleet.waiting))
            fleet.call_at(again_at, lambda: self._repeat(fleet, request, announced_at))

    def on_placed(self, fleet: Fleet, request: Request) -> None:
        """Let older requests of the same priority know that they are passed over."""
        for other in fleet.waiting.values():
            waiting = other.waiting
            is_equal = waiting.priority == request.waiting.priority
            if is_equal and waiting.waiting_since < request.waiting.waiting_since:
                at = fleet.now + fleet.delay(request, other.node, 0)
                other.waiting = waiting.passed_over(at)

    def on_refused(self, fleet: Fleet, request: Request) -> None:
        """Announce the end, its repetition, and that the caller may return."""
        fleet.announce(END_BYTES)
        fleet.announce(END_BYTES)
        if not request.is_refused:
            fleet.announce(RETURNING_BYTES)

    def on_retry(self, fleet: Fleet, request: Request) -> None:
        """Keep the request's position."""


class ByArrival(Ordered):
    """The same with the order of arrival."""

    name = "by arrival"

    def __init__(self) -> None:
        super().__init__(ArrivalOrder())


class Owner(Way):
    """One node grants capacity to all requests, in the same order."""

    name = "owner"

    def __init__(self) -> None:
        self._order = SharedOrder()
        self._asked: dict[int, float] = {}
        self._is_deciding = False

    def on_begin(self, fleet: Fleet, request: Request) -> None:
        """Ask the owner."""
        fleet.count_messages(1, WAITING_BYTES)
        # A question that is lost is sent again.
        n_lost = 0
        while fleet.rng.random() < fleet.setting.loss_rate:
            n_lost += 1
        asked_at = fleet.now + NETWORK_SECONDS + n_lost * REPEAT_SECONDS
        self._asked[request.number] = asked_at
        if not self._is_deciding:
            self._is_deciding = True
            fleet.call_at(fleet.now, lambda: self._decide(fleet))

    def find(self, fleet: Fleet, request: Request) -> str | None:
        """Return the engine that the owner granted, once the grant is here."""
        if request.granted is None or request.granted[0] > fleet.now:
            return None
        return request.granted[1]

    def on_refused(self, fleet: Fleet, request: Request) -> None:
        """Withdraw the question."""
        fleet.count_messages(1, END_BYTES)
        self._asked.pop(request.number, None)

    def on_placed(self, fleet: Fleet, request: Request) -> None:
        """Forget the question."""
        self._asked.pop(request.number, None)

    def on_retry(self, fleet: Fleet, request: Request) -> None:
        """Keep the request's position."""

    def _decide(self, fleet: Fleet) -> None:
        """Grant what is free to those that come first, each 5 ms."""
        now = fleet.now
        if now < SECONDS + 20.0:
            fleet.call_at(now + NETWORK_SECONDS, lambda: self._decide(fleet))
        if OWNER_LOST_AT <= now < OWNER_LOST_AT + OWNER_LOST_SECONDS:
            return
        asking = [
            request
            for number, request in fleet.waiting.items()
            if request.granted is None and self._asked.get(number, math.inf) <= now
        ]
        if not asking:
            return
        # The owner knows at once what it granted, and later which runs ended.
        known = [
            request
            for request in fleet.runs.values()
            if request.ends_at + fleet.setting.delay > now
        ]
        granted = [
            request for request in fleet.waiting.values() if request.granted is not None
        ]
        for request in granted:
            assert request.granted is not None
            request.endpoint = request.granted[1]
        loads = fleet.loads([*known, *granted])
        running = Counter(other.waiting.organisation for other in (*known, *granted))
        by_id = {request.waiting.request_id: request for request in asking}
        ordered = self._order.order(
            [request.waiting for request in asking], running, now
        )
        assignment = Assignment(loads=loads, policy=fleet.policy, rng=fleet.rng)
        for waiting in ordered:
            request = by_id[waiting.request_id]
            reg = assignment.assign(waiting, fleet.demand(request), now)
            if reg is None:
                continue
            n_lost = 0
            while fleet.rng.random() < fleet.setting.loss_rate:
                n_lost += 1
            arrives_at = now + NETWORK_SECONDS + n_lost * REPEAT_SECONDS
            request.granted = (arrives_at, reg.endpoint)
            fleet.count_messages(1, END_BYTES)
            fleet.call_at(arrives_at, functools.partial(fleet._check, request))


WAYS: dict[str, type[Way]] = {
    way.name: way for way in (Polling, ByArrival, Owner, Ordered)
}


def measure(job: tuple[str, Setting]) -> dict[str, float]:
    """Return the figures of one run."""
    name, setting = job
    fleet = Fleet(setting, WAYS[name]())
    requests = fleet.run()

    def in_time(chosen: list[Request]) -> float:
        n_good = sum(r.first_event_at <= r.arrived_at + r.kind.target for r in chosen)
        return n_good / max(1, len(chosen))

    worth = sum(
        request.kind.worth
        if request.first_event_at <= request.arrived_at + request.kind.target
        else request.kind.late_worth
        for request in requests
        if request.first_event_at < math.inf
    )
    node_seconds = setting.n_nodes * SECONDS
    return {
        "urgent": in_time([r for r in requests if r.kind.priority == 0]),
        "less urgent": in_time([r for r in requests if r.kind.priority != 0]),
        "small": in_time([r for r in requests if not r.is_large]),
        "large": in_time([r for r in requests if r.is_large]),
        "worth": worth / sum(request.kind.worth for request in requests),
        "refused by an engine": fleet.counts["refused by an engine"] / SECONDS,
        "messages": fleet.counts["messages"] / node_seconds,
        "bytes": fleet.n_bytes / node_seconds,
    }


def main() -> None:
    """Print the figures of all ways and settings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="*", default=[12, 100, 330])
    parser.add_argument("--loads", type=float, nargs="*", default=[1.6])
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--ways", nargs="*", default=list(WAYS))
    args = parser.parse_args()
    cases = [
        ("fresh", {}),
        ("0.5 s old", {"delay": 0.5}),
        ("10% lost", {"loss_rate": 0.1}),
    ]
    jobs = [
        (label, (way, Setting(n_nodes=n, load=load, seed=seed, **fields)))
        for load in args.loads
        for label, fields in cases
        for n in args.nodes
        for way in args.ways
        for seed in range(1, args.seeds + 1)
    ]
    names: list[str] = []
    with multiprocessing.Pool(args.processes) as pool:
        found = pool.imap(measure, [job for _, job in jobs])
        grouped: dict[tuple[float, str, int, str], list[dict[str, float]]] = {}
        for (label, (way, setting)), figures in zip(jobs, found, strict=True):
            if not names:
                names = list(figures)
                print("load | information | nodes | way | " + " | ".join(names))
            key = (setting.load, label, setting.n_nodes, way)
            runs = grouped.setdefault(key, [])
            runs.append(figures)
            if len(runs) == args.seeds:
                means = [sum(run[name] for run in runs) / len(runs) for name in names]
                values = [
                    f"{mean:.3f}" if mean < 10 else f"{mean:.0f}" for mean in means
                ]
                print(" | ".join([*map(str, key), *values]), flush=True)


if __name__ == "__main__":
    main()
