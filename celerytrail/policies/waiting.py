"""Order of the requests that wait for an engine, the same at all nodes.

Each node applies the order to all requests that it knows to wait for a service, assigns
them to engines by the load that it sees, and places its own request if an engine
remains for it. Nodes whose information differs may place two requests in the same
capacity; the engine then queues or refuses one of them.

The load pattern: nothing waits for most of the time. In a burst some tens of requests
wait, one or two at each node, and each end of a run starts a decision at every node
that has one.
"""

from __future__ import annotations

import abc
import base64
import hashlib
import heapq
import itertools
import math
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from ..model import Prompt, Registration
from .engineloads import EngineLoad, Run
from .placing import PREFILL_SHARE, Demand, PlacementPolicy, expected_memory_share
from .prefillrates import DEFAULT_PREFILL_RATE

# Shortest time between two announcements of a waiting request, in seconds.
REPEAT_SECONDS = 0.5
# Most announcements that one node receives again per second from all others together.
# In a burst of 2.2 times the usual rate, repeating each one twice a second cost a node
# 26 KB a second, where 11 are allowed for all messages.
MAX_REPEATS_PER_SECOND = 32.0
# Periods after which a request that isn't announced again expires. Up to two of three
# announcements may be lost.
EXPIRY_PERIODS = 3.2
EXPIRY_SECONDS = EXPIRY_PERIODS * REPEAT_SECONDS
# For how long announcements of a request whose end is known are ignored, in seconds.
# The network may deliver a repeated announcement after the end.
ENDED_SECONDS = 0.2
# Share of its target after which a request that was passed over is ordered by age.
PASSED_OVER_SHARE = 0.25
# For how long capacity is kept for another node's request that doesn't take it, and for
# how long that request is then ignored, in seconds. Its node may have missed the end of
# the run that made room, or may not send to that engine: it can be cut off from it, or
# its share of a cold engine can be used up.
UNUSED_SECONDS = 0.25
IGNORED_SECONDS = 0.5
# Longest time between two decisions that count as one after the other, in seconds.
# There is no decision while a request wouldn't fit even if it were the first.
MAX_DECISION_GAP_SECONDS = 0.2
# Most requests ahead that get an engine in one decision. A choice among 30 engines
# takes about 1 ms, and a node relays events meanwhile.
MAX_ASSIGNED = 24
# How much longer than until its expected return a refused caller is remembered, in
# seconds.
RETURN_SLACK_SECONDS = 2.0
# Callers remembered at most; the oldest are dropped.
MAX_RETURNING = 10_000
RETURN_KEY_BYTES = 8
TAG_BYTES = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class Waiting:
    """A request that waits for an engine.

    All times are loop times of the node that holds it.

    Parameters
    ----------
    request_id : str
        The id of its run.
    service : str
        The service.
    organisation : str
        Tag of the organisation that holds its key, see `organisation_tag`.
    priority : int
        Its priority; 0 is the most urgent.
    waiting_since : float
        When it arrived, or when its caller's first attempt did.
    target_at : float
        Until when its first event is in time.
    gives_up_at : float
        When its caller gives up, or its deadline.
    n_tokens, n_prefill_tokens, n_remaining_tokens : int
        What it needs, as in `Demand`.
    by_age_at : float
        From when on it is ordered by age alone within its priority; infinite unless it
        has been passed over.
    return_key : bytes
        The key of its caller's refused attempt, see `return_key`; empty if none is
        known.
    """

    request_id: str
    service: str
    organisation: str
    priority: int
    waiting_since: float
    target_at: float
    gives_up_at: float
    n_tokens: int
    n_prefill_tokens: int
    n_remaining_tokens: int
    by_age_at: float = math.inf
    return_key: bytes = b""

    def age_key(self, now: float) -> tuple[int, str]:
        """Return what sorts requests by age; those of one millisecond by id.

        Whole milliseconds are compared, as announcements hold no more.
        """
        return (-round(1_000 * (now - self.waiting_since)), self.request_id)

    def passed_over(self, now: float) -> Waiting:
        """Return the request as from when a later one of its priority was placed."""
        if self.by_age_at < math.inf:
            return self
        target_seconds = self.target_at - self.waiting_since
        return replace(self, by_age_at=now + PASSED_OVER_SHARE * target_seconds)


def organisation_tag(organisation: str | None) -> str:
    """Return a short tag of an organisation, which is equal at all nodes.

    Runs are announced with it, and names could exceed the size of a datagram. Two of 24
    organisations have the same tag in one of 60,000 configurations, and share then what
    each of them would get.
    """
    if organisation is None:
        return ""
    digest = hashlib.blake2b(organisation.encode(), digest_size=TAG_BYTES).digest()
    return base64.urlsafe_b64encode(digest).decode()


def return_key(organisation: str | None, route: str, prompt: Prompt) -> bytes:
    """Return the key by which a refused caller is known again at any node.

    Its next attempt has another id, and the same organisation, route and prompt.
    """
    parts = (organisation or "", route, prompt.own_part, *prompt.shared_parts)
    text = "".join(f"{len(part)} {part}" for part in parts)
    return hashlib.blake2b(text.encode(), digest_size=RETURN_KEY_BYTES).digest()


class WaitingOrder(abc.ABC):
    """Order in which the waiting requests of a service get engines."""

    @abc.abstractmethod
    def order(
        self, waiting: Sequence[Waiting], running: Mapping[str, int], now: float
    ) -> list[Waiting]:
        """Return the requests, the first one first.

        Parameters
        ----------
        waiting : sequence of Waiting
            The requests, in any order.
        running : mapping of str to int
            Runs of each organisation at the service's engines, by its tag.
        now : float
            Current loop time.
        """


class SharedOrder(WaitingOrder):
    """Orders by chance to be in time, priority, organisation and age.

    Requests that can still be in time come before those that can't, then the more
    urgent ones. Among equally urgent ones, those that have been passed over for long
    come first, by age. The others are taken from the organisation that has the fewest
    runs and requests ahead, its oldest one first, so that a large organisation doesn't
    take the capacity of many small ones.

    Parameters
    ----------
    prefill_rate : float
        Prompt tokens that an engine reads per second. It is the same at all nodes; each
        node's own measurements would make their orders differ.
    """

    def __init__(self, *, prefill_rate: float = DEFAULT_PREFILL_RATE) -> None:
        self._prefill_rate = prefill_rate

    def can_be_in_time(self, waiting: Waiting, now: float) -> bool:
        """Return whether a request placed now has its first event in time."""
        prefill_seconds = waiting.n_prefill_tokens / self._prefill_rate
        return now + prefill_seconds <= waiting.target_at

    def order(
        self, waiting: Sequence[Waiting], running: Mapping[str, int], now: float
    ) -> list[Waiting]:
        """Return the requests, the first one first."""
        groups: dict[tuple[bool, int, bool], list[Waiting]] = defaultdict(list)
        for request in sorted(waiting, key=lambda request: request.age_key(now)):
            is_late = not self.can_be_in_time(request, now)
            is_by_organisation = request.by_age_at > now
            groups[is_late, request.priority, is_by_organisation].append(request)
        n_ahead = dict(running)
        ordered: list[Waiting] = []
        for key in sorted(groups):
            *_, is_by_organisation = key
            group = groups[key]
            if is_by_organisation:
                ordered += _by_organisation(group, n_ahead, now)
                continue
            ordered += group
            for request in group:
                organisation = request.organisation
                n_ahead[organisation] = n_ahead.get(organisation, 0) + 1
        return ordered


def _by_organisation(
    requests: Iterable[Waiting], n_ahead: dict[str, int], now: float
) -> list[Waiting]:
    """Order requests that are sorted by age, and count them in ``n_ahead``."""
    queues: dict[str, deque[Waiting]] = defaultdict(deque)
    for request in requests:
        queues[request.organisation].append(request)
    heap = [
        (n_ahead.get(organisation, 0), queue[0].age_key(now), organisation)
        for organisation, queue in queues.items()
    ]
    heapq.heapify(heap)
    ordered = []
    while heap:
        n, _, organisation = heap[0]
        queue = queues[organisation]
        ordered.append(queue.popleft())
        n_ahead[organisation] = n + 1
        if queue:
            entry = (n + 1, queue[0].age_key(now), organisation)
            heapq.heapreplace(heap, entry)
        else:
            heapq.heappop(heap)
    return ordered


class ArrivalOrder(WaitingOrder):
    """Orders by age alone; for comparisons."""

    def order(
        self, waiting: Sequence[Waiting], running: Mapping[str, int], now: float
    ) -> list[Waiting]:
        """Return the requests, the oldest first."""
        return sorted(waiting, key=lambda request: request.age_key(now))


@dataclass(frozen=True, kw_only=True, slots=True)
class _Announced:
    node: str
    waiting: Waiting
    updated_at: float

    def expires_at(self, own: str, period_seconds: float) -> float:
        """Return when it expires; a node's own requests do so with their callers."""
        if self.node == own:
            return self.waiting.gives_up_at
        expires_at = self.updated_at + EXPIRY_PERIODS * period_seconds
        return min(self.waiting.gives_up_at, expires_at)


def repeat_seconds(n_waiting: int) -> float:
    """Return the time between two announcements of each of all nodes' requests."""
    return max(REPEAT_SECONDS, n_waiting / MAX_REPEATS_PER_SECOND)


class WaitingTable:
    """The waiting requests that all nodes have announced.

    Parameters
    ----------
    own : str
        This node, whose requests need no announcement to stay.
    """

    def __init__(self, *, own: str) -> None:
        self._own = own
        self._announced: dict[str, _Announced] = {}
        # By request that ended, until when announcements of it are ignored.
        self._ended: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._announced)

    @property
    def period_seconds(self) -> float:
        """Return the time between two announcements of a request, in seconds."""
        return repeat_seconds(len(self._announced))

    def put(self, node: str, waiting: Waiting, now: float) -> None:
        """Add or update a waiting request of a node."""
        if node != self._own and self._ended.get(waiting.request_id, 0.0) > now:
            return
        self._announced[waiting.request_id] = _Announced(
            node=node, waiting=waiting, updated_at=now
        )

    def remove(self, request_id: str, now: float) -> Waiting | None:
        """Remove a request that no longer waits; return it if it was known."""
        announced = self._announced.pop(request_id, None)
        if announced is None:
            return None
        self._ended[request_id] = now + ENDED_SECONDS
        return announced.waiting

    def find(self, request_id: str) -> Waiting | None:
        """Return a request, None if it isn't known to wait."""
        announced = self._announced.get(request_id)
        return announced.waiting if announced is not None else None

    def own_requests(self) -> list[Waiting]:
        """Return the requests of this node."""
        return [
            announced.waiting
            for announced in self._announced.values()
            if announced.node == self._own
        ]

    def of_service(self, service: str, now: float) -> list[Waiting]:
        """Return the requests that wait for a service."""
        period = self.period_seconds
        return [
            announced.waiting
            for announced in self._announced.values()
            if announced.waiting.service == service
            and announced.expires_at(self._own, period) > now
        ]

    def oldest_update(self, service: str, now: float) -> float:
        """Return when the oldest information on a service's requests came in."""
        return min(
            (
                announced.updated_at
                for announced in self._announced.values()
                if announced.waiting.service == service and announced.node != self._own
            ),
            default=now,
        )

    def expire(self, now: float) -> None:
        """Remove requests of silent nodes, and those whose callers have given up."""
        period = self.period_seconds
        self._announced = {
            request_id: announced
            for request_id, announced in self._announced.items()
            if announced.expires_at(self._own, period) > now
        }
        self._ended = {
            request_id: until
            for request_id, until in self._ended.items()
            if until > now
        }


@dataclass(frozen=True, kw_only=True, slots=True)
class Returning:
    """A refused caller that is expected to return.

    Parameters
    ----------
    key : bytes
        See `return_key`.
    waiting_since : float
        Loop time of its first attempt's arrival.
    returns_at : float
        Loop time at which it was told to return.
    """

    key: bytes
    waiting_since: float
    returns_at: float

    @property
    def expires_at(self) -> float:
        """Return until when it is remembered, in loop time."""
        return self.returns_at + RETURN_SLACK_SECONDS


class ReturningCallers:
    """Refused callers that keep their position when they return.

    Parameters
    ----------
    n_max : int
        Callers remembered at most; the oldest are dropped.
    """

    def __init__(self, *, n_max: int = MAX_RETURNING) -> None:
        self._n_max = n_max
        self._by_key: dict[bytes, list[Returning]] = {}
        self._n = 0

    def __len__(self) -> int:
        return self._n

    def put(self, returning: Returning) -> None:
        """Remember a caller."""
        self._by_key.setdefault(returning.key, []).append(returning)
        self._n += 1
        while self._n > self._n_max:
            self.take(next(iter(self._by_key)), -math.inf)

    def take(self, key: bytes, now: float) -> Returning | None:
        """Return the earliest caller with a key, and forget it."""
        known = self._by_key.get(key, [])
        known = [returning for returning in known if returning.expires_at > now]
        found = min(known, key=lambda returning: returning.waiting_since, default=None)
        if found is not None:
            known.remove(found)
        self._set(key, known)
        return found

    def expire(self, now: float) -> None:
        """Forget callers that didn't return."""
        for key, known in list(self._by_key.items()):
            self._set(
                key, [returning for returning in known if returning.expires_at > now]
            )

    def _set(self, key: bytes, known: list[Returning]) -> None:
        self._n += len(known) - len(self._by_key.get(key, []))
        if known:
            self._by_key[key] = known
        else:
            self._by_key.pop(key, None)


class UnusedTurns:
    """Finds requests that don't take the capacity that one request leaves to them."""

    def __init__(self) -> None:
        # By request, since when each decision had an engine for it.
        self._since: dict[str, float] = {}
        self._ignored_until: dict[str, float] = {}
        self._decided_at = -math.inf

    def is_ignored(self, request_id: str, now: float) -> bool:
        """Return whether no capacity is left to a request now."""
        return self._ignored_until.get(request_id, 0.0) > now

    def record(self, assigned: Iterable[str], now: float) -> int:
        """Record which requests ahead had an engine in the latest decision.

        Return how many of them are ignored from now on.
        """
        if now - self._decided_at > MAX_DECISION_GAP_SECONDS:
            self._since.clear()
        self._decided_at = now
        since = {
            request_id: self._since.get(request_id, now) for request_id in assigned
        }
        unused = [
            request_id
            for request_id, since_at in since.items()
            if now - since_at >= UNUSED_SECONDS
        ]
        for request_id in unused:
            del since[request_id]
            self._ignored_until[request_id] = now + IGNORED_SECONDS
        self._since = since
        return len(unused)


@dataclass(frozen=True, kw_only=True, slots=True)
class Turn:
    """Outcome of a decision on one's own request.

    Parameters
    ----------
    load : EngineLoad or None
        The engine that it may take now, None if it has to wait.
    n_ahead : int
        Requests ahead of it.
    assigned : tuple of str
        Those of them for which an engine has room now.
    """

    load: EngineLoad | None
    n_ahead: int
    assigned: tuple[str, ...]


class Assignment:
    """Assigns waiting requests to engines one after the other, in their order.

    A request that fits nowhere is skipped, so that smaller ones behind it may use the
    room that is there. Once it is ordered by age, the engine that comes closest to
    having room for it is kept from requests behind it that aren't; otherwise smaller
    ones would take the room each time before there is enough of it.

    Parameters
    ----------
    loads : sequence of EngineLoad
        The engines as they are now.
    policy : PlacementPolicy
        Chooses among them.
    rng : random.Random
        Breaks ties.
    """

    def __init__(
        self,
        *,
        loads: Sequence[EngineLoad],
        policy: PlacementPolicy,
        rng: random.Random,
    ) -> None:
        self._loads = list(loads)
        self._policy = policy
        self._rng = rng
        self._kept: set[str] = set()
        # What had no room: at any engine, and at those that aren't kept.
        self._unfit: list[Demand] = []
        self._unfit_at_open: list[Demand] = []

    def drop_full(self, demands: Sequence[Demand]) -> None:
        """Drop the engines that have room for none of some demands.

        While many requests wait, nearly all engines are full. Looking at each of them
        for each request would take tens of milliseconds.
        """
        smallest = replace(
            demands[0],
            n_tokens=min(demand.n_tokens for demand in demands),
            n_prefill_tokens=min(demand.n_prefill_tokens for demand in demands),
            n_remaining_tokens=min(demand.n_remaining_tokens for demand in demands),
            max_prefill_seconds=max(demand.max_prefill_seconds for demand in demands),
        )
        self._loads = [
            load
            for load in self._loads
            if self._policy.choose([load], smallest, self._rng) is not None
        ]

    def open_loads(self, waiting: Waiting, now: float) -> list[EngineLoad]:
        """Return the engines that a request may take, as they would be at its turn."""
        if waiting.by_age_at <= now:
            return self._loads
        return [load for load in self._loads if load.reg.endpoint not in self._kept]

    def assign(
        self, waiting: Waiting, demand: Demand, now: float
    ) -> Registration | None:
        """Return the next request's engine, None if none has room."""
        is_by_age = waiting.by_age_at <= now
        unfit = self._unfit if is_by_age else self._unfit + self._unfit_at_open
        chosen = None
        if not any(_needs_no_more(other, demand) for other in unfit):
            loads = self.open_loads(waiting, now)
            chosen = self._policy.choose(loads, demand, self._rng)
            if chosen is None:
                (self._unfit if is_by_age else self._unfit_at_open).append(demand)
        if chosen is not None:
            self._add(chosen, waiting)
            return chosen.reg
        if is_by_age:
            self._keep_engine(demand)
        return None

    def _keep_engine(self, demand: Demand) -> None:
        free = [load for load in self._loads if load.reg.endpoint not in self._kept]
        nearest = min(
            free, key=lambda load: expected_memory_share(load, demand), default=None
        )
        if nearest is not None:
            self._kept.add(nearest.reg.endpoint)

    def _add(self, chosen: EngineLoad, waiting: Waiting) -> None:
        run = Run(
            run_id=waiting.request_id,
            endpoint=chosen.reg.endpoint,
            n_prompt_tokens=waiting.n_tokens,
            n_expected_tokens=waiting.n_remaining_tokens,
            organisation=waiting.organisation,
        )
        self._loads = [
            replace(load, runs=(*load.runs, run))
            if load.reg.endpoint == chosen.reg.endpoint
            else load
            for load in self._loads
        ]


def _needs_no_more(demand: Demand, other: Demand) -> bool:
    """Return whether a demand fits wherever another one does."""
    return (
        demand.n_tokens <= other.n_tokens
        and demand.n_prefill_tokens <= other.n_prefill_tokens
        and demand.n_remaining_tokens <= other.n_remaining_tokens
        and demand.max_prefill_seconds >= other.max_prefill_seconds
    )


def demand_ahead(waiting: Waiting, own: Demand, now: float) -> Demand:
    """Return what a request ahead needs, with the limits that hold for one's own."""
    max_seconds = PREFILL_SHARE * max(0.0, waiting.target_at - now)
    return replace(
        own,
        n_tokens=waiting.n_tokens,
        n_prefill_tokens=waiting.n_prefill_tokens,
        n_remaining_tokens=waiting.n_remaining_tokens,
        failure_domain="",
        max_prefill_seconds=max_seconds,
    )


def find_turn(
    own: Waiting,
    ordered: Iterable[Waiting],
    demand: Demand,
    assignment: Assignment,
    *,
    choose: Callable[[list[EngineLoad]], EngineLoad | None],
    is_ignored: Callable[[str], bool],
    now: float,
) -> Turn:
    """Decide whether one's own request may take an engine now, and which.

    Parameters
    ----------
    own : Waiting
        The request, which is one of ``ordered``.
    ordered : iterable of Waiting
        The requests that wait for the service, in their order.
    demand : Demand
        What the own request needs.
    assignment : Assignment
        A new one, of the engines as they are now.
    choose : callable
        Chooses the own request's engine among those given.
    is_ignored : callable
        Returns whether no capacity is left to the request with an id.
    now : float
        Current loop time.
    """
    ahead = list(
        itertools.takewhile(lambda other: other.request_id != own.request_id, ordered)
    )
    n_ahead = len(ahead)
    demands = [demand_ahead(waiting, demand, now) for waiting in ahead]
    assignment.drop_full([demand, *demands])
    assigned: list[str] = []
    for waiting, demand_then in zip(ahead, demands, strict=True):
        if is_ignored(waiting.request_id):
            continue
        if len(assigned) >= MAX_ASSIGNED:
            return Turn(load=None, n_ahead=n_ahead, assigned=tuple(assigned))
        reg = assignment.assign(waiting, demand_then, now)
        if reg is not None:
            assigned.append(waiting.request_id)
    load = choose(assignment.open_loads(own, now))
    return Turn(load=load, n_ahead=n_ahead, assigned=tuple(assigned))


def overtaken(own: Waiting, ordered: Iterable[Waiting], now: float) -> Counter[str]:
    """Return the earlier requests that one's own passes over if it is placed now.

    They are counted by reason: it is ahead of them by its ``priority``, because they
    are ``late``, or by its ``organisation``; or they are ahead and have ``no_room``.
    """
    counts: Counter[str] = Counter()
    is_behind = False
    for other in ordered:
        if other.request_id == own.request_id:
            is_behind = True
        elif other.age_key(now) < own.age_key(now):
            if not is_behind:
                counts["no_room"] += 1
            elif other.priority > own.priority:
                counts["priority"] += 1
            elif other.target_at < now:
                counts["late"] += 1
            else:
                counts["organisation"] += 1
    return counts
