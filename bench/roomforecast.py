"""Compares forecasts of capacity by the errors of the decisions based on them.

Each draw simulates a few engines and one queue for all nodes. Decisions use
information that is half a second old; requests are placed in order by the true state.
A refused request stays in the queue as a ghost, which takes capacity from other ghosts
only and shows whether there would have been capacity for it in time. Its caller retries
once and keeps its position; decisions on first attempts are judged, and callers count
as served at either attempt.

Run as ``python -m bench.roomforecast [unbounded] [FORECAST ...] [N_DRAWS [LOAD ...]]``,
or with ``time`` to measure the duration of a forecast. With ``unbounded``, requests are
not refused at three fifths of their callers' time.
"""

from __future__ import annotations

import functools
import hashlib
import itertools
import math
import random
import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from statistics import NormalDist

from celerytrail.model import EndpointState, Registration
from celerytrail.policies import placing
from celerytrail.policies.engineloads import EngineLoad, Run
from celerytrail.policies.roomforecast import (
    WAIT_SHARE,
    Forecast,
    Hindsight,
    Keep,
    RefusalReason,
    ReplayedEnds,
    RoomForecast,
    RunEnds,
    TurningAway,
    Verdict,
    WaitingDemand,
)
from celerytrail.types import Address

_NORMAL = NormalDist()

N_DRAWS = 200
LOADS = (0.8, 1.2, 1.6)
N_ENGINES = 4
# The rendering deployment: slots, memory in tokens, prompt tokens read per second,
# seconds per token with eight runs, and slowness of two thirds and of one third.
N_SLOTS = 24
N_MEMORY_TOKENS = 26_912
PREFILL_RATE = 14_000.0
TOKEN_SECONDS = 0.007 + 8 * 0.00012
SLOWNESS = (0.7, 0.7, 1.7)
# The standard deviation of the logarithm of output lengths about their hints, and the
# longest output as a multiple of the hint.
LENGTH_SPREAD = 1.1
MAX_LENGTH_RATIO = 6.0
# Bounds of the quantiles that `SpreadEnds` uses, as the distance from 0 and 1, and the
# mean further output beyond them, as a share of the present output.
QUANTILE_MARGIN = 0.02
TAIL_SHARE = 0.5
INFORMATION_AGE_SECONDS = 0.5
POLL_SECONDS = 0.1
# Requests that arrive between these times are judged, in seconds.
JUDGED_FROM = 16.0
JUDGED_UNTIL = 22.0
# Requests of this time before the start, in seconds, fill the engines: they are placed
# or dropped at once.
FILL_SECONDS = 60.0
# The time over which the capacity is measured, in seconds, with the fill.
CAPACITY_SECONDS = 300.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """A kind of request: its share, sizes in tokens, and times in seconds."""

    share: float
    priority: int
    n_prompt_tokens: int
    n_output_tokens: int
    target: float

    @property
    def patience(self) -> float:
        """Return the time after which its caller gives up."""
        return max(2.0, 4 * self.target)


BRIEF = Kind(
    share=14.6 / 30.9,
    priority=1,
    n_prompt_tokens=3_079,
    n_output_tokens=748,
    target=1.8,
)
TAG = Kind(
    share=16.3 / 30.9, priority=0, n_prompt_tokens=2_550, n_output_tokens=12, target=1.5
)


class SpreadEnds(RunEnds):
    """Spreads the lengths of outputs about their hints.

    Hints are right at the median only. If each run were expected to end at its hint,
    many runs would seem to be about to end that go on for long, and the early ends of
    others would be missed. Each run has a fixed quantile, derived from its id, of the
    log-normal distribution of the lengths above its present one. A run that exceeded
    its hint is so expected to make again 0.7 to 1.1 times its present output at the
    median, and the ends of many runs come at the rate at which they really do. Nodes
    agree on the quantiles without messages, and repeated forecasts don't vary.

    Parameters
    ----------
    spread : float
        Standard deviation of the logarithm of the lengths.
    """

    def __init__(self, *, spread: float = LENGTH_SPREAD) -> None:
        self._spread = spread

    def remaining_tokens(self, run: Run) -> float:
        """Return the run's quantile of the lengths above its present one."""
        digest = hashlib.blake2b(run.run_id.encode(), digest_size=4).digest()
        quantile = (int.from_bytes(digest, "big") + 0.5) / 2**32
        n_made = run.n_generated_tokens
        n_expected = max(1, run.n_expected_tokens)
        ended = 0.0
        if n_made > 0:
            ended = _NORMAL.cdf(math.log(n_made / n_expected) / self._spread)
        if ended >= 1.0 - QUANTILE_MARGIN:
            return max(1.0, -TAIL_SHARE * n_made * math.log(1.0 - quantile))
        length = self._length(n_expected, ended + quantile * (1.0 - ended))
        return max(1.0, length - n_made)

    def _length(self, n_expected_tokens: int, quantile: float) -> float:
        bounded = min(max(quantile, QUANTILE_MARGIN), 1.0 - QUANTILE_MARGIN)
        return n_expected_tokens * math.exp(self._spread * _NORMAL.inv_cdf(bounded))


class RoomRate(RoomForecast):
    """Learns the memory that recent ends freed per second.

    Parameters
    ----------
    window_seconds : float
        The time over which the rate is taken.
    """

    def __init__(self, *, window_seconds: float = 5.0) -> None:
        self._window_seconds = window_seconds
        self._ends: deque[tuple[float, int]] = deque()

    def record_end(self, n_tokens: int, now: float) -> None:
        """Record that a run freed memory."""
        self._ends.append((now, n_tokens))

    def forecast(
        self,
        own: WaitingDemand,
        ahead: Sequence[WaitingDemand],
        loads: Sequence[EngineLoad],
        now: float,
    ) -> Forecast:
        """Return when the rate has freed what those ahead and the request need."""
        while self._ends and self._ends[0][0] < now - self._window_seconds:
            self._ends.popleft()
        if not ahead and any(placing.fits(load, own.demand) for load in loads):
            return Forecast(room_at=now, n_ahead=0)
        n_needed = sum(
            req.demand.n_tokens + req.demand.n_remaining_tokens for req in (*ahead, own)
        )
        n_freed = sum(n_tokens for _, n_tokens in self._ends)
        if n_freed == 0:
            return Forecast(room_at=None, n_ahead=len(ahead))
        room_at = now + n_needed * self._window_seconds / n_freed
        return Forecast(
            room_at=room_at if room_at <= own.gives_up_at else None, n_ahead=len(ahead)
        )


@dataclass(kw_only=True, slots=True, eq=False)
class Request:
    """A request, and what became of it."""

    request_id: str
    kind: Kind
    arrived_at: float
    n_hinted_tokens: int
    n_output_tokens: int
    left_at: float = math.inf
    engine: int = -1
    placed_at: float = math.inf
    first_at: float = math.inf
    ended_at: float = math.inf
    decide_at: float = 0.0
    # When a retry of the caller arrived, which keeps the position of the first attempt.
    returned_at: float | None = None

    @property
    def attempt_at(self) -> float:
        """Return when this attempt arrived."""
        return self.arrived_at if self.returned_at is None else self.returned_at

    @property
    def rank(self) -> tuple[int, float]:
        """Return its position in the queue."""
        return (self.kind.priority, self.arrived_at)

    def waiting(self, now: float) -> WaitingDemand:
        """Return what forecasts know of it."""
        kind = self.kind
        target_at = self.arrived_at + kind.target
        prefill_by = self.arrived_at + placing.PREFILL_SHARE * kind.target
        return WaitingDemand(
            demand=placing.Demand(
                n_tokens=kind.n_prompt_tokens,
                n_prefill_tokens=kind.n_prompt_tokens,
                n_remaining_tokens=self.n_hinted_tokens,
                prefill_rate=PREFILL_RATE,
                max_prefill_seconds=max(0.0, prefill_by - now),
            ),
            arrived_at=self.attempt_at,
            target_at=target_at,
            gives_up_at=self.arrived_at + kind.patience,
        )


@dataclass(kw_only=True, slots=True, eq=False)
class Engine:
    """A simulated engine: its runs until they end, and those of ghosts."""

    load: EngineLoad
    slowness: float
    runs: list[Request] = field(default_factory=list)
    ghosts: list[Request] = field(default_factory=list)
    reads_until: float = -math.inf
    ghosts_read_until: float = -math.inf

    def start(self, req: Request, now: float, *, is_ghost: bool) -> None:
        """Begin a request's prefill."""
        seconds = req.kind.n_prompt_tokens * self.slowness / PREFILL_RATE
        reads_until = max(now, self.reads_until)
        if is_ghost:
            reads_until = max(reads_until, self.ghosts_read_until)
        req.placed_at = now
        req.first_at = reads_until + seconds
        req.ended_at = req.first_at + req.n_output_tokens * self.load.token_seconds
        if is_ghost:
            self.ghosts_read_until = req.first_at
            self.ghosts.append(req)
        else:
            self.reads_until = req.first_at
            self.runs.append(req)

    def load_at(
        self, now: float, known_at: float, reqs: Iterable[Request]
    ) -> EngineLoad:
        """Return its load now as known from news up to a time."""
        return replace(
            self.load,
            runs=tuple(
                self._run(req, now, known_at)
                for req in reqs
                if req.placed_at <= known_at < req.ended_at
            ),
        )

    def _run(self, req: Request, now: float, known_at: float) -> Run:
        is_prefilling = req.first_at > known_at
        n_made = 0
        if not is_prefilling:
            n_made = int((now - req.first_at) / self.load.token_seconds)
        return Run(
            run_id=req.request_id,
            endpoint=self.load.reg.endpoint,
            n_prompt_tokens=req.kind.n_prompt_tokens,
            n_expected_tokens=req.n_hinted_tokens,
            is_prefilling=is_prefilling,
            n_generated_tokens=n_made,
        )


def _engines(n_engines: int) -> list[Engine]:
    engines = []
    for number in range(n_engines):
        slowness = SLOWNESS[number % len(SLOWNESS)]
        reg = Registration(
            endpoint=f"e{number}",
            service="briefs",
            address=Address(host="127.0.0.1", port=1),
            failure_domain="a",
            n_slots=N_SLOTS,
            state=EndpointState.READY,
        )
        load = EngineLoad(
            reg=reg,
            n_slots=N_SLOTS,
            n_memory_tokens=N_MEMORY_TOKENS,
            token_seconds=TOKEN_SECONDS * slowness,
            prefill_rate=PREFILL_RATE / slowness,
        )
        engines.append(Engine(load=load, slowness=slowness))
    return engines


def _length(kind: Kind, rng: random.Random) -> int:
    ratio = min(MAX_LENGTH_RATIO, rng.lognormvariate(0.0, LENGTH_SPREAD))
    return max(1, int(kind.n_output_tokens * ratio))


@functools.cache
def capacity() -> float:
    """Return the requests a second that are placed if some always wait.

    They are placed in the order of arrival, so that the engines get the usual mix.
    """
    rng = random.Random(0)
    engines = _engines(N_ENGINES)
    req = _draw_request(0, 0.0, rng)
    n_placed = 0
    for number in range(int(CAPACITY_SECONDS / POLL_SECONDS)):
        now = number * POLL_SECONDS
        for engine in engines:
            engine.runs = [run for run in engine.runs if run.ended_at > now]
        while True:
            demand = replace(req.waiting(now).demand, max_prefill_seconds=1.0)
            loads = [engine.load_at(now, now, engine.runs) for engine in engines]
            fitting = [i for i, load in enumerate(loads) if placing.fits(load, demand)]
            if not fitting:
                break
            best = min(fitting, key=lambda i: loads[i].n_tokens)
            engines[best].start(req, now, is_ghost=False)
            n_placed += now >= FILL_SECONDS
            req = _draw_request(n_placed, now, rng)
    return n_placed / (CAPACITY_SECONDS - FILL_SECONDS)


def _draw_request(number: int, at: float, rng: random.Random) -> Request:
    kind = BRIEF if rng.random() < BRIEF.share else TAG
    return Request(
        request_id=f"r{number}",
        kind=kind,
        arrived_at=at,
        n_hinted_tokens=kind.n_output_tokens,
        n_output_tokens=_length(kind, rng),
    )


class Draw:
    """One simulation of a queue with engines.

    Parameters
    ----------
    forecast : RoomForecast
        The compared forecast.
    load : float
        Requests per second as a share of the capacity.
    seed : int
        Seed of the draw.
    is_bounded : bool
        Whether requests are refused at three fifths of their callers' time. Otherwise
        they wait as long as their forecast allows, which shows its errors alone.
    """

    def __init__(
        self,
        *,
        forecast: RoomForecast,
        load: float,
        seed: int,
        is_bounded: bool = True,
    ) -> None:
        rng = random.Random(f"{seed}")
        self._forecast = forecast
        self._is_bounded = is_bounded
        self._deciding = TurningAway(rng=random.Random(seed))
        self._engines = _engines(N_ENGINES)
        self._requests = list(self._draw_requests(load, rng))
        self._hindsight = Hindsight()
        self._queue: list[Request] = []
        self._ghosts: list[Request] = []
        # Runs and waiting requests that ended too recently to be known to have.
        self._recent: list[list[Request]] = [[] for _ in self._engines]
        self._left: list[Request] = []
        self._returning: list[Request] = []
        self._reasons: dict[str, RefusalReason] = {}
        self.verdicts: Counter[Verdict] = Counter()
        # Refusals, and those for which room came in time, by reason.
        self.refusals: Counter[RefusalReason] = Counter()
        self.with_room: Counter[RefusalReason] = Counter()
        self.n_judged = sum(req.arrived_at >= JUDGED_FROM for req in self._requests)
        self.n_served = 0
        self.n_in_time = 0

    def _draw_requests(self, load: float, rng: random.Random) -> Iterable[Request]:
        rate = load * capacity()
        at = -FILL_SECONDS
        for number in itertools.count():
            at += rng.expovariate(rate)
            if at >= JUDGED_UNTIL:
                return
            yield _draw_request(number, at, rng)

    def run(self) -> None:
        """Simulate until all judged requests have an outcome."""
        pending = deque(self._requests)
        while pending[0].arrived_at < 0.0:
            req = pending.popleft()
            self._end_runs(req.arrived_at)
            self._queue = [req]
            self._place(req.arrived_at)
        self._queue = []
        n_polls = int((JUDGED_UNTIL + BRIEF.patience + 1.0) / POLL_SECONDS)
        for number in range(n_polls):
            now = number * POLL_SECONDS
            self._end_runs(now)
            while pending and pending[0].arrived_at <= now:
                self._queue.append(pending.popleft())
            self._queue += [req for req in self._returning if req.attempt_at <= now]
            self._returning = [req for req in self._returning if req.attempt_at > now]
            self._queue.sort(key=lambda req: req.rank)
            self._place(now)
            self._place_ghosts(now)
            for req in list(self._queue):
                if now >= req.decide_at:
                    self._decide(req, now)
            self._count(self._hindsight.expire(now))

    def _end_runs(self, now: float) -> None:
        for engine, recent in zip(self._engines, self._recent, strict=True):
            for req in engine.runs:
                if req.ended_at <= now:
                    recent.append(req)
                    if isinstance(self._forecast, RoomRate):
                        n_tokens = req.kind.n_prompt_tokens + req.n_output_tokens
                        self._forecast.record_end(n_tokens, now)
            engine.runs = [req for req in engine.runs if req.ended_at > now]
            engine.ghosts = [req for req in engine.ghosts if req.ended_at > now]
            known_at = now - INFORMATION_AGE_SECONDS
            recent[:] = [req for req in recent if req.ended_at > known_at]
            self._left = [req for req in self._left if req.left_at > known_at]

    def _place(self, now: float) -> None:
        rejected: set[Kind] = set()
        loads: list[EngineLoad] = []
        for req in list(self._queue):
            demand = req.waiting(now).demand
            is_late = demand.max_prefill_seconds == 0.0
            if is_late and req.kind in rejected:
                continue
            loads = loads or [
                engine.load_at(now, now, engine.runs) for engine in self._engines
            ]
            fitting = [i for i, load in enumerate(loads) if placing.fits(load, demand)]
            if not fitting:
                # Late requests of one kind have equal demands.
                if is_late:
                    rejected.add(req.kind)
                continue
            best = min(fitting, key=lambda i: loads[i].n_tokens)
            self._engines[best].start(req, now, is_ghost=False)
            loads = []
            req.left_at = now
            self._queue.remove(req)
            self._left.append(req)
            if req.arrived_at >= JUDGED_FROM:
                self.n_served += 1
                self.n_in_time += req.first_at <= req.arrived_at + req.kind.target
                verdict = self._hindsight.record_placed(req.request_id)
                self._count([verdict] if verdict else [])

    def _place_ghosts(self, now: float) -> None:
        followed = self._hindsight.refused
        self._ghosts = [req for req in self._ghosts if req.request_id in followed]
        loads: list[EngineLoad] = []
        for req in sorted(self._ghosts, key=lambda req: req.rank):
            loads = loads or [
                engine.load_at(now, now, [*engine.runs, *engine.ghosts])
                for engine in self._engines
            ]
            demand = req.waiting(now).demand
            fitting = [i for i, load in enumerate(loads) if placing.fits(load, demand)]
            if not fitting:
                continue
            best = min(fitting, key=lambda i: loads[i].n_tokens)
            self._engines[best].start(req, now, is_ghost=True)
            loads = []
            verdict = self._hindsight.record_room(req.request_id, now)
            if verdict is not None:
                self._count([verdict])
                self.with_room[self._reasons[req.request_id]] += 1

    def _decide(self, req: Request, now: float) -> None:
        known_at = now - INFORMATION_AGE_SECONDS
        loads = [
            engine.load_at(now, known_at, [*engine.runs, *recent])
            for engine, recent in zip(self._engines, self._recent, strict=True)
        ]
        ahead = [
            self._waiting(other, now)
            for other in sorted([*self._queue, *self._left], key=lambda req: req.rank)
            if other.rank < req.rank and other.attempt_at <= known_at
        ]
        own = self._waiting(req, now)
        forecast = self._forecast.forecast(own, ahead, loads, now)
        decision = self._deciding.decide(own, forecast, now)
        is_judged = req.arrived_at >= JUDGED_FROM and req.returned_at is None
        if is_judged:
            verdict = self._hindsight.record(req.request_id, own, decision)
            self._count([verdict] if verdict else [])
        if isinstance(decision, Keep):
            req.decide_at = decision.decide_again_at
            return
        req.left_at = now
        self._queue.remove(req)
        self._left.append(req)
        seconds = decision.retry_at - now
        if req.returned_at is None and seconds <= (own.gives_up_at - now) / 3:
            retry = replace(
                req,
                request_id=f"{req.request_id}-2",
                returned_at=decision.retry_at,
                left_at=math.inf,
                decide_at=0.0,
            )
            self._returning.append(retry)
        if is_judged:
            self.refusals[decision.reason] += 1
            self._reasons[req.request_id] = decision.reason
            ghost = replace(req)
            self._ghosts.append(ghost)

    def _waiting(self, req: Request, now: float) -> WaitingDemand:
        waiting = req.waiting(now)
        if self._is_bounded:
            return waiting
        # The arrival from which three fifths end at the latest start.
        seconds = waiting.prefill_seconds / (1.0 - WAIT_SHARE)
        return replace(waiting, arrived_at=waiting.gives_up_at - seconds)

    def _count(self, verdicts: Iterable[Verdict]) -> None:
        self.verdicts.update(verdicts)


FORECASTS: dict[str, Callable[[], RoomForecast]] = {
    "replay": ReplayedEnds,
    "rate": RoomRate,
    "spread": lambda: ReplayedEnds(run_ends=SpreadEnds()),
}


def compare(
    names: Iterable[str], n_draws: int, loads: Sequence[float], *, is_bounded: bool
) -> None:
    """Print both kinds of error of each forecast, by load."""
    print(f"capacity {capacity():.2f} requests/s")
    print(
        "| load | forecast | requests | served | in time | kept | of these never served"
        " | refused as no room is expected | of these with room in time"
        " | refused at the bound | of these with room in time |"
    )
    print("| --- " * 11 + "|")
    for load in loads:
        for name in names:
            draws = [
                Draw(
                    forecast=FORECASTS[name](),
                    load=load,
                    seed=seed,
                    is_bounded=is_bounded,
                )
                for seed in range(n_draws)
            ]
            for draw in draws:
                draw.run()
            print(_row(load, name, draws), flush=True)


def _row(load: float, name: str, draws: Sequence[Draw]) -> str:
    verdicts: Counter[Verdict] = Counter()
    refusals: Counter[RefusalReason] = Counter()
    with_room: Counter[RefusalReason] = Counter()
    for draw in draws:
        verdicts += draw.verdicts
        refusals += draw.refusals
        with_room += draw.with_room
    n_judged = sum(draw.n_judged for draw in draws)
    n_unserved = verdicts[Verdict.KEPT_UNSERVED]
    n_kept = n_unserved + verdicts[Verdict.KEPT_SERVED]
    cells = [
        f"{load}",
        name,
        f"{n_judged}",
        f"{sum(draw.n_served for draw in draws) / n_judged:.3f}",
        f"{sum(draw.n_in_time for draw in draws) / n_judged:.3f}",
        f"{n_kept}",
        _part(n_unserved, n_kept),
    ]
    for reason in (RefusalReason.NO_CAPACITY_EXPECTED, RefusalReason.WAITED_TOO_LONG):
        n_refused = refusals[reason]
        cells += [f"{n_refused}", _part(with_room[reason], n_refused)]
    return f"| {' | '.join(cells)} |"


def _part(n: int, n_all: int) -> str:
    return f"{n} ({n / n_all:.2f})" if n_all else "0"


def measure(n_engines: int = 30, n_runs: int = 8, n_ahead: int = 60) -> None:
    """Print the processor time that a forecast takes, in milliseconds."""
    rng = random.Random(1)
    engines = _engines(n_engines)
    kinds = [BRIEF, TAG]
    loads = []
    for engine in engines:
        for number in range(n_runs):
            req = Request(
                request_id=f"{engine.load.reg.endpoint}-{number}",
                kind=BRIEF,
                arrived_at=0.0,
                n_hinted_tokens=rng.randrange(700, 800),
                n_output_tokens=748,
            )
            engine.start(req, -rng.uniform(0.0, 6.0), is_ghost=False)
            engine.reads_until = 0.0
            req.ended_at = math.inf
        loads.append(engine.load_at(0.0, 0.0, engine.runs))
    waiting = [
        Request(
            request_id=f"w{number}",
            kind=rng.choice(kinds),
            arrived_at=-rng.uniform(0.0, 3.0),
            n_hinted_tokens=rng.randrange(700, 800),
            n_output_tokens=748,
        ).waiting(0.0)
        for number in range(n_ahead)
    ]
    own = replace(waiting[0], arrived_at=0.0, target_at=1.8, gives_up_at=7.2)
    for name, create in FORECASTS.items():
        forecast = create()
        samples = []
        for _ in range(200):
            began = time.process_time()
            found = forecast.forecast(own, waiting, loads, 0.0)
            samples.append((time.process_time() - began) * 1_000)
        samples.sort()
        print(
            f"{name}: median {samples[100]:.2f} ms, 95th percentile "
            f"{samples[190]:.2f} ms, room at {found.room_at}"
        )


if __name__ == "__main__":
    arguments = sys.argv[1:]
    if arguments == ["time"]:
        measure()
    else:
        is_bounded = "unbounded" not in arguments
        names = [text for text in arguments if text in FORECASTS] or list(FORECASTS)
        numbers = [
            float(text) for text in arguments if text not in {*FORECASTS, "unbounded"}
        ]
        n_draws = int(numbers[0]) if numbers else N_DRAWS
        compare(names, n_draws, numbers[1:] or LOADS, is_bounded=is_bounded)
