"""Admission control: whether a request may wait for an engine with capacity.

Capacity is freed as runs end. A request that can't be placed before its caller gives up
is refused on arrival, so that its caller can retry; any other waits. The decisions are
judged in hindsight, as a forecast is only as good as the expected lengths of outputs.
"""

from __future__ import annotations

import abc
import enum
import heapq
import math
import random
from bisect import bisect_left
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from statistics import median

from .decodetimes import DEFAULT_TOKEN_SECONDS
from .engineloads import EngineLoad, Run
from .placing import Demand, prefill_rate

# Further output expected of a run that exceeded its hint, as a share of its present
# output. With 0.5, lengths spread log-normally by 1.1 about their hints, and up to 15
# requests ahead, the mean error of forecasts was under 0.2 s.
OVERDUE_SHARE = 0.5
# Output assumed for runs of other nodes if no run is known, in tokens: a long stream of
# the present deployments. Most of the memory in use belongs to these.
LONG_STREAM_TOKENS = 750
# Interval between two forecasts for a waiting request, in seconds.
FORECAST_SECONDS = 0.5
# Share of the time from a request's arrival until its caller gives up, after which a
# request without an engine is refused. The rest is for the caller's retry.
WAIT_SHARE = 0.6
# Bounds of the time until a retry: seconds, and the share of the time that remains to
# the caller. Callers don't retry later than that.
RETRY_MIN_SECONDS = 0.2
RETRY_MAX_SHARE = 1 / 3
# Retry times are extended by up to this share, so that callers refused at the same time
# don't retry at the same time.
RETRY_JITTER = 0.5
# Decisions that are followed at a time. A node gets one or two requests a second, each
# of which is followed for 8 s at most.
MAX_FOLLOWED = 256


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitingDemand:
    """What a forecast needs to know of a waiting request.

    Parameters
    ----------
    demand : Demand
        The resources that it needs. ``max_prefill_seconds`` counts from the time of the
        forecast.
    arrived_at : float
        When this attempt of its caller arrived, as monotonic time.
    target_at : float
        When its first event is due.
    gives_up_at : float
        When its caller gives up without a first event.
    """

    demand: Demand
    arrived_at: float
    target_at: float
    gives_up_at: float

    @property
    def prefill_seconds(self) -> float:
        """Return the time of its prefill on an engine without others."""
        return self.demand.n_prefill_tokens / self.demand.prefill_rate

    @property
    def latest_start_at(self) -> float:
        """Return when it must have an engine for its caller to get an event."""
        return self.gives_up_at - self.prefill_seconds

    @property
    def refuse_at(self) -> float:
        """Return when it is refused if it has no engine by then."""
        return self.arrived_at + WAIT_SHARE * (self.gives_up_at - self.arrived_at)


@dataclass(frozen=True, kw_only=True, slots=True)
class Forecast:
    """When there is expected to be capacity for a request.

    Parameters
    ----------
    room_at : float or None
        When an engine can accept it; None if none can before its caller gives up.
    n_ahead : int
        Requests that are placed before it.
    """

    room_at: float | None
    n_ahead: int


class RoomForecast(abc.ABC):
    """Forecasts when there is capacity for a request."""

    @abc.abstractmethod
    def forecast(
        self,
        own: WaitingDemand,
        ahead: Sequence[WaitingDemand],
        loads: Sequence[EngineLoad],
        now: float,
    ) -> Forecast:
        """Return the forecast for a request.

        Parameters
        ----------
        own : WaitingDemand
            The request.
        ahead : sequence of WaitingDemand
            The requests ahead of it, in their order.
        loads : sequence of EngineLoad
            The engines that may accept it, as expected now.
        now : float
            Monotonic time.
        """


class RunEnds(abc.ABC):
    """Estimates how much further output a run makes."""

    @abc.abstractmethod
    def remaining_tokens(self, run: Run) -> float:
        """Return the further output that is expected of a run, in tokens."""


class HintedEnds(RunEnds):
    """Expects runs to end at their hints, and overdue ones to go on for a while.

    A run that exceeded its hint may go on for long, the longer the further it got. It
    is expected to make half of its present output again, so it doesn't count as about
    to end in each of the repeated forecasts.
    """

    def remaining_tokens(self, run: Run) -> float:
        """Return what the hint leaves, or a share of the output of an overdue run."""
        n_tokens = run.n_remaining_tokens or OVERDUE_SHARE * run.n_generated_tokens
        return max(1.0, n_tokens)


@dataclass(kw_only=True, slots=True, eq=False)
class _Held:
    """Memory that a run or a copy occupies in a replay, and until when.

    The estimate of further output on which nodes base placements, from
    ``decodes_at`` on, differs from the end that is expected.
    """

    n_tokens: int
    n_remaining_tokens: int
    decodes_at: float
    ends_at: float
    token_seconds: float
    is_run: bool


@dataclass(kw_only=True, slots=True, eq=False)
class _Least:
    """The least that any of some requests needs, and the latest time that one allows.

    Most engines have no capacity for any of them, which one comparison shows.
    """

    n_tokens: int
    n_remaining_tokens: int
    memory_share: float
    n_prefill_tokens: int
    max_prefill_seconds: float

    @classmethod
    def of(cls, pending: Sequence[tuple[int, Demand]]) -> _Least:
        """Return the least of the demands of pending requests, at least one."""
        demands = [demand for _, demand in pending]
        return cls(
            n_tokens=min(demand.n_tokens for demand in demands),
            n_remaining_tokens=min(demand.n_remaining_tokens for demand in demands),
            memory_share=max(demand.memory_share for demand in demands),
            n_prefill_tokens=min(demand.n_prefill_tokens for demand in demands),
            max_prefill_seconds=max(demand.max_prefill_seconds for demand in demands),
        )


@dataclass(kw_only=True, slots=True, eq=False)
class _Engine:
    """An engine in a replay."""

    load: EngineLoad
    token_seconds: float
    reads_until: float
    held: list[_Held]
    # Memory in use according to the engine's report but of no known run, by its end.
    unlisted: list[tuple[float, int]]
    # Of the current time: the sizes of what it holds and the memory in use.
    n_runs: int = 0
    n_tokens: int = 0
    sizes: list[tuple[int, int]]
    # Computed when needed. The sizes are ordered by further output; ``peaks[i]`` is the
    # highest use until the end of the first i beside a run that outlasts them, without
    # that run's present tokens, and ``totals[i]`` the present tokens of the others.
    has_peaks: bool = False
    peak: int = 0
    ends: list[int]
    peaks: list[int]
    totals: list[int]

    def advance(self, at: float) -> None:
        """Remove what has ended by a later time."""
        held_now = []
        sizes = []
        n_runs = n_tokens = 0
        for held in self.held:
            if held.ends_at <= at:
                continue
            n_held = held.n_tokens
            n_remaining = held.n_remaining_tokens
            if at > held.decodes_at:
                n_made = int((at - held.decodes_at) / held.token_seconds)
                n_held += n_made
                n_remaining = n_remaining - n_made if n_remaining > n_made else 0
            held_now.append(held)
            sizes.append((n_held, n_remaining))
            n_tokens += n_held
            n_runs += held.is_run
        self.held = held_now
        self.sizes = sizes
        self.n_tokens = n_tokens
        self.n_runs = n_runs
        self.has_peaks = False
        if self.unlisted:
            self.unlisted = [(end, n) for end, n in self.unlisted if end > at]
            self.n_tokens += sum(n for _, n in self.unlisted)

    def _compute_peaks(self) -> None:
        sizes = sorted(self.sizes, key=_n_remaining)
        total = sum([n for n, _ in sizes])
        n_left = len(sizes)
        self.ends = [n_remaining for _, n_remaining in sizes]
        self.peaks = [0]
        self.totals = [total]
        highest = peak = 0
        for n_tokens, n_remaining in sizes:
            n_used = total + n_left * n_remaining
            if n_used > highest:
                highest = n_used
            if n_used + n_remaining > peak:
                peak = n_used + n_remaining
            total -= n_tokens
            n_left -= 1
            self.peaks.append(peak)
            self.totals.append(total)
        self.peak = highest
        self.has_peaks = True

    def fits(self, demand: Demand, now: float, at: float) -> bool:
        """Return what `placing.fits` would return at the current time."""
        n_spare = math.ceil(demand.spare_slot_share * self.load.n_slots)
        return (
            self.n_runs < self.load.n_slots - n_spare
            and self._has_memory(demand)
            and self.can_prefill_in_time(demand, now, at)
        )

    def may_fit(self, least: _Least, now: float, at: float) -> bool:
        """Return false if none of the requests fits."""
        return self.can_prefill_in_time(least, now, at) and self._has_memory(least)

    def can_prefill_in_time(
        self, demand: Demand | _Least, now: float, at: float
    ) -> bool:
        if self.reads_until <= at:
            return True
        rate = self.load.prefill_rate
        if rate is None:
            rate = demand.prefill_rate if isinstance(demand, Demand) else math.inf
        seconds = self.reads_until - at + demand.n_prefill_tokens / rate
        return seconds <= max(0.0, demand.max_prefill_seconds - (at - now))

    def _has_memory(self, demand: Demand | _Least) -> bool:
        """Compare the expected peak, as `placing.expected_memory_share` does.

        The sums are kept for all demands, which takes a tenth of the time.
        """
        limit = demand.memory_share
        if (self.n_tokens + demand.n_tokens) / self.load.n_memory_tokens > limit:
            return False
        if not self.has_peaks:
            self._compute_peaks()
        n_remaining = demand.n_remaining_tokens
        n_ended = bisect_left(self.ends, n_remaining)
        n_left = len(self.ends) - n_ended
        n_at_end = self.totals[n_ended] + (n_left + 1) * n_remaining
        n_beside = max(self.peaks[n_ended], n_at_end)
        n_tokens = max(self.peak, n_beside + demand.n_tokens)
        return n_tokens / self.load.n_memory_tokens <= limit

    def place(self, demand: Demand, at: float) -> _Held:
        """Add a request that fits."""
        prefill_seconds = demand.n_prefill_tokens / prefill_rate(self.load, demand)
        decodes_at = max(at, self.reads_until) + prefill_seconds
        held = _Held(
            n_tokens=demand.n_tokens,
            n_remaining_tokens=demand.n_remaining_tokens,
            decodes_at=decodes_at,
            ends_at=decodes_at + demand.n_remaining_tokens * self.token_seconds,
            token_seconds=self.token_seconds,
            is_run=True,
        )
        self.reads_until = decodes_at
        self.held.append(held)
        self.sizes.append((held.n_tokens, held.n_remaining_tokens))
        self.n_tokens += held.n_tokens
        self.n_runs += 1
        self.has_peaks = False
        return held


def _n_remaining(size: tuple[int, int]) -> int:
    return size[1]


class ReplayedEnds(RoomForecast):
    """Replays the expected ends of the runs on all engines.

    At each end of a run or of the prefills of an engine, the waiting requests that fit
    there are placed in their order, by the rules of `placing.fits`. One that doesn't
    fit doesn't hold up those behind it, and neither does it in the queue itself. Those
    ahead are not taken to leave when they are refused, as their callers retry and keep
    their position.

    Parameters
    ----------
    run_ends : RunEnds or None
        Estimates the further output of runs; `HintedEnds` by default.
    """

    def __init__(self, *, run_ends: RunEnds | None = None) -> None:
        self._run_ends = run_ends or HintedEnds()

    def forecast(
        self,
        own: WaitingDemand,
        ahead: Sequence[WaitingDemand],
        loads: Sequence[EngineLoad],
        now: float,
    ) -> Forecast:
        """Return when the replay finds an engine for the request."""
        room_at = self._replay([*ahead, own], loads, now, own.gives_up_at)
        return Forecast(room_at=room_at, n_ahead=len(ahead))

    def _replay(
        self,
        waiting: list[WaitingDemand],
        loads: Sequence[EngineLoad],
        now: float,
        until: float,
    ) -> float | None:
        """Return when the last of the waiting requests is placed."""
        engines = self._engines(loads, waiting[-1].demand, now)
        # The position tells whether a request is the last one, which may equal others.
        pending = [(position, req.demand) for position, req in enumerate(waiting)]
        events: list[tuple[float, int]] = []

        def add_events(index: int, times: Iterator[float]) -> None:
            events.extend((at, index) for at in times if now < at <= until)

        for index, engine in enumerate(engines):
            engine.advance(now)
            add_events(index, _event_times(engine))
        heapq.heapify(events)

        def place(demand: Demand, index: int, at: float) -> None:
            held = engines[index].place(demand, at)
            for event_at in (held.decodes_at, held.ends_at):
                if event_at <= until:
                    heapq.heappush(events, (event_at, index))

        least = _Least.of(pending)
        roomy = [
            i for i, engine in enumerate(engines) if engine.may_fit(least, now, now)
        ]
        left = []
        for position, demand in pending:
            fitting = [i for i in roomy if engines[i].fits(demand, now, now)]
            if not fitting:
                left.append((position, demand))
                continue
            if position == len(waiting) - 1:
                return now
            best = min(fitting, key=lambda i: engines[i].n_tokens)
            place(demand, best, now)
            if not engines[best].may_fit(least, now, now):
                roomy.remove(best)
        pending = left
        least = _Least.of(pending)
        while events:
            at, index = heapq.heappop(events)
            engine = engines[index]
            if not engine.can_prefill_in_time(least, now, at):
                continue
            engine.advance(at)
            first = 0
            while engine.may_fit(least, now, at):
                found = next(
                    (
                        i
                        for i in range(first, len(pending))
                        if engine.fits(pending[i][1], now, at)
                    ),
                    None,
                )
                if found is None:
                    # The bound may be that of a request placed since.
                    least = _Least.of(pending)
                    break
                position, demand = pending[found]
                if position == len(waiting) - 1:
                    return at
                place(demand, index, at)
                del pending[found]
                first = found
        return None

    def _engines(
        self, loads: Sequence[EngineLoad], demand: Demand, now: float
    ) -> list[_Engine]:
        """Return the engines as they are at the start of a replay."""
        engines = [
            _Engine(
                load=load,
                token_seconds=load.token_seconds or DEFAULT_TOKEN_SECONDS,
                reads_until=now,
                held=[],
                unlisted=[],
                sizes=[],
                ends=[],
                peaks=[],
                totals=[],
            )
            for load in loads
        ]
        held_by_run: dict[str, _Held] = {}
        for engine in engines:
            for run in engine.load.runs:
                held = self._held(run, engine, demand, now, is_run=True)
                held_by_run[run.run_id] = held
                engine.held.append(held)
        for engine in engines:
            for run in engine.load.copies:
                original = held_by_run.get(run.run_id)
                if original is None:
                    held = self._held(run, engine, demand, now, is_run=False)
                else:
                    held = _Held(
                        n_tokens=original.n_tokens,
                        n_remaining_tokens=original.n_remaining_tokens,
                        decodes_at=original.decodes_at,
                        ends_at=original.ends_at,
                        token_seconds=original.token_seconds,
                        is_run=False,
                    )
                engine.held.append(held)
        expected = [run.n_expected_tokens for load in loads for run in load.runs]
        n_usual_tokens = max(1, median(expected)) if expected else LONG_STREAM_TOKENS
        for engine in engines:
            engine.unlisted = _unlisted(engine, n_usual_tokens, now)
        return engines

    def _held(
        self, run: Run, engine: _Engine, demand: Demand, now: float, *, is_run: bool
    ) -> _Held:
        decodes_at = now
        if is_run and run.is_prefilling:
            # How far prefills are is unknown; they are taken to begin now.
            seconds = run.n_prompt_tokens / prefill_rate(engine.load, demand)
            engine.reads_until += seconds
            decodes_at = engine.reads_until
        n_remaining_tokens = self._run_ends.remaining_tokens(run)
        return _Held(
            n_tokens=run.n_tokens,
            n_remaining_tokens=run.n_remaining_tokens,
            decodes_at=decodes_at,
            ends_at=decodes_at + n_remaining_tokens * engine.token_seconds,
            token_seconds=engine.token_seconds,
            is_run=is_run,
        )


def _event_times(engine: _Engine) -> Iterator[float]:
    """Yield when an engine may gain capacity."""
    yield engine.reads_until
    for held in engine.held:
        yield held.ends_at
    for ends_at, _ in engine.unlisted:
        yield ends_at


def _unlisted(
    engine: _Engine, n_usual_tokens: float, now: float
) -> list[tuple[float, int]]:
    """Return the memory in use that belongs to no known run, by its expected end.

    Runs of nodes that can't be heard end too. Those that the engine reports beyond the
    known ones are taken to end one after the other within the time of a usual run.
    What belongs to no run, such as orphaned copies, stays.
    """
    load = engine.load
    if load.report is None:
        return []
    n_tokens = load.report.n_used_tokens - load.n_tokens
    if n_tokens <= 0:
        return []
    n_runs = load.report.n_running - len(load.runs)
    if n_runs <= 0:
        return [(math.inf, n_tokens)]
    seconds = n_usual_tokens * engine.token_seconds
    parts = [n_tokens // n_runs] * n_runs
    parts[-1] += n_tokens - sum(parts)
    return [
        (now + seconds * (number + 0.5) / n_runs, part)
        for number, part in enumerate(parts)
    ]


class RefusalReason(enum.Enum):
    """Reason for which a waiting request is refused."""

    NO_CAPACITY_EXPECTED = "no_capacity_expected"
    WAITED_TOO_LONG = "waited_too_long"


@dataclass(frozen=True, kw_only=True, slots=True)
class Keep:
    """The request waits.

    Parameters
    ----------
    room_at : float
        When there is expected to be capacity.
    decide_again_at : float
        When to decide again if it still waits.
    is_late : bool
        Whether its first event is expected after the target.
    """

    room_at: float
    decide_again_at: float
    is_late: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """The request is refused.

    Parameters
    ----------
    retry_at : float
        When its caller may retry.
    reason : RefusalReason
        The reason.
    """

    retry_at: float
    reason: RefusalReason


class TurningAway:
    """Decides whether a request without an engine waits on or is refused.

    A late answer is still useful, so a request waits as long as it can be placed before
    its caller gives up. It is never kept to the end and then refused: its caller could
    not retry any more.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter of retry times.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def decide(
        self, own: WaitingDemand, forecast: Forecast, now: float
    ) -> Keep | Refuse:
        """Return the decision for a request that has no engine now.

        Parameters
        ----------
        own : WaitingDemand
            The request.
        forecast : Forecast
            The forecast made for it now.
        now : float
            Monotonic time.
        """
        room_at = forecast.room_at
        if now >= own.refuse_at:
            return Refuse(
                retry_at=self._retry_at(own, room_at, now),
                reason=RefusalReason.WAITED_TOO_LONG,
            )
        if room_at is None or room_at > own.latest_start_at:
            return Refuse(
                retry_at=self._retry_at(own, room_at, now),
                reason=RefusalReason.NO_CAPACITY_EXPECTED,
            )
        return Keep(
            room_at=room_at,
            decide_again_at=min(now + FORECAST_SECONDS, own.refuse_at),
            is_late=room_at + own.prefill_seconds > own.target_at,
        )

    def _retry_at(self, own: WaitingDemand, room_at: float | None, now: float) -> float:
        """Return when to retry: with capacity, but early enough for the caller.

        The jitter of a time at the upper bound shortens it, as callers don't retry
        later than the bound and all would otherwise retry at it.
        """
        longest = RETRY_MAX_SHARE * max(0.0, own.gives_up_at - now)
        seconds = longest if room_at is None else room_at - now
        seconds = min(max(seconds, RETRY_MIN_SECONDS), longest / (1.0 + RETRY_JITTER))
        seconds *= 1.0 + RETRY_JITTER * self._rng.random()
        return now + max(seconds, RETRY_MIN_SECONDS)


class Verdict(enum.Enum):
    """What a decision turned out to be; the values label ``waiting_hindsight``."""

    KEPT_SERVED = "kept_served"
    KEPT_UNSERVED = "kept_unserved"
    REFUSED_WITHOUT_ROOM = "refused_without_room"
    REFUSED_WITH_ROOM = "refused_with_room"


class Hindsight:
    """Tells of each decision afterwards whether it was right.

    A request that was kept was rightly so if it got an engine. One that was refused was
    wrongly so if, before its latest start, there was capacity for it after those ahead
    of it. A request may be kept and refused later; both decisions are judged.
    """

    def __init__(self) -> None:
        self._kept: dict[str, WaitingDemand] = {}
        self._refused: dict[str, WaitingDemand] = {}

    def record(
        self, request_id: str, own: WaitingDemand, decision: Keep | Refuse
    ) -> Verdict | None:
        """Record a decision, and return what an earlier one turned out to be."""
        if isinstance(decision, Keep):
            _add(self._kept, request_id, own)
            return None
        _add(self._refused, request_id, own)
        was_kept = self._kept.pop(request_id, None) is not None
        return Verdict.KEPT_UNSERVED if was_kept else None

    def record_placed(self, request_id: str) -> Verdict | None:
        """Record that a request got an engine."""
        was_kept = self._kept.pop(request_id, None) is not None
        return Verdict.KEPT_SERVED if was_kept else None

    def forget(self, request_id: str) -> None:
        """Forget a request whose caller disconnected before it would have given up."""
        self._kept.pop(request_id, None)

    @property
    def refused(self) -> dict[str, WaitingDemand]:
        """Return the refused requests for which there may still be capacity in time."""
        return dict(self._refused)

    def record_room(self, request_id: str, now: float) -> Verdict | None:
        """Record that there is capacity for a refused request."""
        own = self._refused.get(request_id)
        if own is None or now > own.latest_start_at:
            return None
        del self._refused[request_id]
        return Verdict.REFUSED_WITH_ROOM

    def expire(self, now: float) -> list[Verdict]:
        """Return what the decisions turned out to be for which it is too late."""
        unserved = [key for key, own in self._kept.items() if now >= own.gives_up_at]
        for request_id in unserved:
            del self._kept[request_id]
        without_room = [
            key for key, own in self._refused.items() if now > own.latest_start_at
        ]
        for request_id in without_room:
            del self._refused[request_id]
        return [Verdict.KEPT_UNSERVED] * len(unserved) + [
            Verdict.REFUSED_WITHOUT_ROOM
        ] * len(without_room)


def _add(
    followed: dict[str, WaitingDemand], request_id: str, own: WaitingDemand
) -> None:
    if request_id not in followed and len(followed) >= MAX_FOLLOWED:
        del followed[next(iter(followed))]
    followed[request_id] = own
