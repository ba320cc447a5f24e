"""Measures the decision on requests that crash endpoints, apart from nodes.

Run it with ``python -m bench.crashrequests``. Only the decision is played: requests run
at random endpoints of a service, some crash theirs, and endpoints also crash by
themselves. Many draws show both errors: ends until a request is found, and sound
requests that are blocked.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Annotated

import typer

from celerytrail.model import Incarnation, Prompt
from celerytrail.policies import crashrequests
from celerytrail.policies.crashrequests import RequestKey, RequestSuspects
from celerytrail.policies.crashsuspects import Crash, LostRun

N_ENDPOINTS = 6
DOWN_SECONDS = 3.0
SECONDS = 60.0
# Time until it is known that an endpoint has crashed, and until nodes compare reports.
FATE_SECONDS = 0.02
REPORTS_SECONDS = 0.03
# Pause before a lost request that may be repeated is sent again.
RETRY_SECONDS = 0.001
N_TRIES = 2
N_SOUND_ATTEMPTS = 2


@dataclass(frozen=True, kw_only=True)
class Case:
    """What runs, and which crashes endpoints have by themselves.

    Runs last ``run_seconds`` in the mean, and have begun after ``begun_seconds``.
    ``n_bad`` requests crash their endpoints after ``bad_seconds``; their callers send
    them ``n_repeats`` times, each ``pause`` after the last one failed, those of sound
    requests twice. Sound requests are all different, or of ``n_pages`` pages.
    """

    run_seconds: float = 0.1
    begun_seconds: float = float("inf")
    sound_per_second: float = 100.0
    n_bad: int = 0
    bad_seconds: float = 0.05
    pause: float = 0.6
    n_repeats: int = 12
    crash_every: float = 0.0
    n_together: int = 1
    n_pages: int = 0


ENGINES = Case(
    run_seconds=4.0, begun_seconds=0.5, sound_per_second=8.0, bad_seconds=1.0
)
PLAIN = Case()


def _with(base: Case, **changes: object) -> Case:
    fields = {name: getattr(base, name) for name in base.__dataclass_fields__}
    return Case(**{**fields, **changes})


CASES: dict[str, Case] = {
    "plain, one request": _with(PLAIN, n_bad=1),
    "plain, three requests": _with(PLAIN, n_bad=3),
    "plain, three at a busy service": _with(PLAIN, n_bad=3, sound_per_second=400.0),
    "plain, one request, other crashes": _with(PLAIN, n_bad=1, crash_every=3.0),
    "plain, only other crashes": _with(PLAIN, crash_every=1.2),
    "plain, only other crashes, five pages": _with(PLAIN, crash_every=1.2, n_pages=5),
    "plain, only other crashes, many": _with(PLAIN, crash_every=0.6),
    "plain, half lost together": _with(PLAIN, crash_every=6.0, n_together=3),
    "engines, one request": _with(ENGINES, n_bad=1),
    "engines, one at its first token": _with(ENGINES, n_bad=1, bad_seconds=0.2),
    "engines, three requests": _with(ENGINES, n_bad=3),
    "engines, one request, other crashes": _with(ENGINES, n_bad=1, crash_every=4.0),
    "engines, only other crashes": _with(ENGINES, crash_every=1.5),
    "engines, only other crashes, many": _with(ENGINES, crash_every=0.6),
    "engines, half lost together": _with(ENGINES, crash_every=6.0, n_together=3),
}


@dataclass(kw_only=True)
class Measured:
    """What one draw gave.

    ``ends`` are those of each request that crashes endpoints. Of ``n_sound`` requests
    ``n_served`` were answered. ``n_wrong`` different ones were blocked as the cause of
    crashes, and ``n_refused`` attempts therefore refused.
    """

    ends: list[int]
    n_sound: int = 0
    n_served: int = 0
    n_wrong: int = 0
    n_refused: int = 0


@dataclass(kw_only=True, eq=False)
class _Run:
    key: str
    is_bad: bool
    n_attempts: int = 0
    n_tries: int = 0
    endpoint: int = -1
    sent_at: float = 0.0


class Draw:
    """Plays one draw of a case."""

    def __init__(self, case: Case, seed: int) -> None:
        self._case = case
        self._rng = random.Random(seed)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._up = [True] * N_ENDPOINTS
        self._starts = [1] * N_ENDPOINTS
        self._runs: set[_Run] = set()
        self._suspects = RequestSuspects()
        self._blocked: set[str] = set()
        self._ends: dict[str, int] = {f"bad{n}": 0 for n in range(case.n_bad)}
        self._measured = Measured(ends=[])

    def run(self) -> Measured:
        """Play it."""
        case = self._case
        at = 0.0
        while at < SECONDS:
            at += self._rng.expovariate(case.sound_per_second)
            self._at(at, self._arrive)
        for key in self._ends:
            self._repeat(self._rng.uniform(5.0, 6.0), _Run(key=key, is_bad=True))
        for n in range(1, int(SECONDS / case.crash_every) if case.crash_every else 0):
            self._at(n * case.crash_every, self._crash_some)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        self._measured.ends = list(self._ends.values())
        self._measured.n_wrong = len(self._blocked - self._ends.keys())
        return self._measured

    def _at(self, at: float, action: Callable[[float], None]) -> None:
        if at < SECONDS:
            heapq.heappush(self._events, (at, next(self._order), action))

    def _arrive(self, now: float) -> None:
        n_pages = self._case.n_pages
        number = self._measured.n_sound
        self._measured.n_sound += 1
        key = f"page{self._rng.randrange(n_pages)}" if n_pages else f"sound{number}"
        self._repeat(now, _Run(key=key, is_bad=False))

    def _repeat(self, at: float, run: _Run) -> None:
        """Let a request's caller send it again."""
        n_most = self._case.n_repeats if run.is_bad else N_SOUND_ATTEMPTS
        if run.n_attempts < n_most:
            run.n_attempts += 1
            run.n_tries = 0
            self._at(at, lambda now: self._place(now, run))

    def _place(self, now: float, run: _Run) -> None:
        if run.key in self._blocked:
            self._measured.n_refused += not run.is_bad
            self._fail(now, run)
            return
        up = [n for n in range(N_ENDPOINTS) if self._up[n]]
        if not up:
            self._fail(now, run)
            return
        loads = [sum(one.endpoint == n for one in self._runs) for n in up]
        least = min(loads)
        run.endpoint = self._rng.choice(
            [n for n, load in zip(up, loads, strict=True) if load == least]
        )
        run.sent_at = now
        run.n_tries += 1
        self._runs.add(run)
        seconds = self._rng.expovariate(1 / self._case.run_seconds)
        if run.is_bad:
            seconds = self._case.bad_seconds
        self._at(now + seconds, lambda later: self._end(later, run, now))

    def _end(self, now: float, run: _Run, sent_at: float) -> None:
        if run not in self._runs or run.sent_at != sent_at:
            return
        if run.is_bad:
            self._ends[run.key] += 1
            self._crash(now, run.endpoint)
            return
        self._runs.discard(run)
        self._measured.n_served += 1
        self._suspects.record_answer(("desk", run.key), now)

    def _crash_some(self, now: float) -> None:
        up = [n for n in range(N_ENDPOINTS) if self._up[n]]
        for number in self._rng.sample(up, min(self._case.n_together, len(up))):
            self._crash(now, number)

    def _crash(self, now: float, number: int) -> None:
        incarnation: Incarnation = (f"d{number}", self._starts[number])
        self._up[number] = False
        self._starts[number] += 1
        self._at(now + DOWN_SECONDS, lambda _: self._restart(number))
        lost = [run for run in self._runs if run.endpoint == number]
        self._runs.difference_update(lost)
        runs = tuple(
            LostRun(
                prompt=Prompt(service="desk", digest=run.key),
                sent_at=run.sent_at,
                has_begun=now - run.sent_at >= self._case.begun_seconds,
            )
            for run in lost
        )
        crash = Crash(incarnation=incarnation, runs=runs, crashed_at=now)
        self._at(now + FATE_SECONDS, lambda later: self._report(later, crash))
        for run in lost:
            self._try_again(now, run)

    def _try_again(self, now: float, run: _Run) -> None:
        """Send a lost run to another endpoint, or let its attempt fail."""
        if run.n_tries >= N_TRIES:
            self._fail(now, run)
            return
        is_suspect = self._suspects.is_suspect(("desk", run.key))
        wait = FATE_SECONDS + 2 * REPORTS_SECONDS if is_suspect else RETRY_SECONDS
        self._at(now + wait, lambda later: self._place(later, run))

    def _fail(self, now: float, run: _Run) -> None:
        self._repeat(now + self._case.pause, run)

    def _restart(self, number: int) -> None:
        self._up[number] = True

    def _report(self, now: float, crash: Crash) -> None:
        self._suspects.record_crash(crash, now)
        self._block(one.key for one in self._suspects.overdue(crash.incarnation))
        self._at(now + REPORTS_SECONDS, lambda _: self._compare(crash))

    def _compare(self, crash: Crash) -> None:
        self._block(one.key for one in self._suspects.find(crash.incarnation))

    def _block(self, keys: Iterable[RequestKey]) -> None:
        self._blocked.update(key for _, key in keys)


def row(name: str, n_draws: int) -> str:
    """Return a row of the table."""
    draws = [Draw(CASES[name], seed).run() for seed in range(n_draws)]
    ends = sorted(n for one in draws for n in one.ends)
    n_sound = sum(one.n_sound for one in draws)
    n_wrong = sum(one.n_wrong for one in draws)
    cells = ["-", "-", "-"]
    if ends:
        n_kept = sum(n <= crashrequests.N_CRASHES for n in ends)
        cells = [
            f"{ends[len(ends) // 2]}",
            f"{ends[int(len(ends) * 0.95)]}",
            f"{n_kept / len(ends):.3f}",
        ]
    cells += [
        f"{1e6 * n_wrong / n_sound:.1f}",
        f"{1e6 * sum(one.n_refused for one in draws) / n_sound:.1f}",
        f"{sum(one.n_served for one in draws) / n_sound:.3f}",
    ]
    return f"| {name} | {' | '.join(cells)} |"


def main(
    cases: Annotated[list[str] | None, typer.Argument(help="Names of cases.")] = None,
    draws: Annotated[int, typer.Option(help="Draws of each case.")] = 100,
    in_row: Annotated[int, typer.Option(help="Crashes in a row that suffice.")] = 2,
) -> None:
    """Print both errors of the decision, for each case."""
    crashrequests.N_IN_ROW = in_row
    typer.echo(
        "| case | ends | 95% | at most 3 | "
        "sound blocked, of a million | refused, of a million | served |"
    )
    for name in cases or CASES:
        typer.echo(row(name, draws))


if __name__ == "__main__":
    typer.run(main)
