"""What decisions cost: ``python -m bench.cost``.

Processor time of a decision by the number of workers, for a pool taken whole and in
shards, and slopes of the memory that the state takes. Times are of this process's
processor, so that a busy machine disturbs them little.
"""

from __future__ import annotations

import json
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from celerytrail.configuration.document import EngineSpec
from celerytrail.policies.fairness import FairQueue
from celerytrail.policies.grants import AdmitRequest, Grant
from celerytrail.policies.lengths import LearnedLengths
from celerytrail.policies.loadreports import EngineReport
from celerytrail.policies.scheduler import Decision, Granted, PoolScheduler

SIZES = (6, 333, 2000)
SHARD = 32
N_RUNNING = 15
N_MEMORY = 24_000
N_ORGANISATIONS = 300
N_DECISIONS = 300
N_ROUNDS = 3
# Pools of so many engines are slow enough to be measured by fewer decisions.
N_LARGE = 300


def main() -> None:
    """Measure, print and write ``out/cost.json``."""
    figures: dict[str, float] = {}
    for n_engines in SIZES:
        figures |= {f"{n_engines}_whole_{k}": v for k, v in decisions(n_engines)}
    for k, v in decisions(SHARD):
        figures[f"{SHARD}_shard_{k}"] = v
    figures["bytes_per_engine"] = slope(engines_of, 32, 256)
    figures["bytes_per_grant"] = slope(grants_of, 100, 1000)
    figures["bytes_per_queued_request"] = slope(queue_of, 500, 5000)
    figures["bytes_per_organisation"] = slope(accounts_of, 500, 6400)
    figures["bytes_per_length_table"] = slope(tables_of, 500, 6400)
    figures["bytes_per_length_table_with_curve"] = slope(curves_of, 500, 6400)
    for name, value in figures.items():
        print(f"{name:40} {value:12.1f}")
    path = Path("out/cost.json")
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(figures, indent=1))


def decisions(n_engines: int) -> list[tuple[str, float]]:
    """Return microseconds of each kind of call, medians of rounds."""
    rounds = [_decide(n_engines, seed) for seed in range(N_ROUNDS)]
    return [
        (f"{name}_us", statistics.median(row[name] for row in rounds))
        for name in rounds[0]
    ]


def _decide(n_engines: int, seed: int) -> dict[str, float]:
    rng = random.Random(seed)
    scheduler = engines_of(n_engines)
    now, n = 1.0, 0
    live = []
    for _ in range(N_RUNNING):
        for engine in list(scheduler.tracker.views):
            n += 1
            grant = Grant(grant_id=f"r{n}.0", engine=engine)
            scheduler.adopt(grant, _request(n, rng, now), rng.randrange(1, 500), now)
            live.append(grant)
    n_decisions = N_DECISIONS if n_engines < N_LARGE else N_DECISIONS // 10
    spent = {"grant": 0.0, "progress": 0.0, "finish": 0.0, "report": 0.0}
    for i in range(n_decisions):
        now += 0.45 / n_engines
        grant = live.pop(rng.randrange(len(live)))
        progress = partial(scheduler.progress, grant.grant_id, 50, now)
        spent["progress"] += _time(progress)
        finish = partial(scheduler.finish, grant.grant_id, 300, "answered", now)
        spent["finish"] += _time(finish)
        n += 1
        submit = partial(scheduler.submit, _request(n, rng, now), now)
        made: list[Decision] = []
        spent["grant"] += _time(submit, made)
        live += [d.grant for d in made if isinstance(d, Granted)]
        view = scheduler.tracker.views[f"e{i % n_engines}"]
        report = _report(view.name, i + 2, view.running)
        spent["report"] += _time(partial(scheduler.report, report, now))
    return {name: 1e6 * seconds / n_decisions for name, seconds in spent.items()}


def slope(make: Callable[[int], Any], low: int, high: int) -> float:
    """Return bytes for each more of what ``make`` makes."""
    return (_bytes(make, high) - _bytes(make, low)) / (high - low)


def engines_of(n: int) -> PoolScheduler:
    """Return a scheduler of ``n`` engines that have reported."""
    scheduler = PoolScheduler(model="m", home="n1", rng=random.Random(1))
    scheduler.set_engines(
        [
            EngineSpec(name=f"e{i}", address="", failure_domain="a", model="m")
            for i in range(n)
        ],
        0.0,
    )
    for i in range(n):
        scheduler.report(_report(f"e{i}", 1, {}), 0.5)
    return scheduler


def grants_of(n: int) -> PoolScheduler:
    """Return a scheduler with ``n`` grants."""
    scheduler = engines_of(96)
    rng = random.Random(1)
    for i in range(n):
        scheduler.submit(_request(i, rng, 1.0), 1.0)
    return scheduler


def queue_of(n: int) -> PoolScheduler:
    """Return a scheduler without engines where ``n`` requests wait."""
    scheduler = engines_of(0)
    rng = random.Random(1)
    for i in range(n):
        scheduler.submit(_request(i, rng, 1.0), 1.0)
    return scheduler


def accounts_of(n: int) -> FairQueue:
    """Return a queue that has seen ``n`` organisations."""
    queue = FairQueue()
    for i in range(n):
        req = AdmitRequest(
            request_id=f"r{i}",
            organisation=f"organisation-{i}",
            model="m",
            n_prompt_tokens=100,
            n_max_tokens=100,
            queue_deadline=9.0,
        )
        queue.push(req)
        queue.remove(req.request_id)
    return queue


def tables_of(n: int) -> LearnedLengths:
    """Return length tables of ``n`` organisations with one model."""
    lengths = LearnedLengths()
    for i in range(n):
        lengths.advance("m", f"organisation-{i}", 0, 300)
    return lengths


def curves_of(n: int) -> LearnedLengths:
    """Return the same, each with the curve that forecasts need."""
    lengths = tables_of(n)
    for i in range(n):
        lengths.expected_residual("m", f"organisation-{i}", 0)
    return lengths


def _bytes(make: Callable[[int], Any], n: int) -> float:
    tracemalloc.start()
    made = make(n)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return size


def _request(n: int, rng: random.Random, now: float) -> AdmitRequest:
    return AdmitRequest(
        request_id=f"r{n}",
        organisation=f"organisation-{rng.randrange(N_ORGANISATIONS)}",
        model="m",
        n_prompt_tokens=rng.randrange(100, 900),
        n_max_tokens=8000,
        queue_deadline=now + 10.0,
    )


def _report(engine: str, sequence: int, running: Any) -> EngineReport:
    return EngineReport(
        engine=engine,
        incarnation="i1",
        sequence=sequence,
        at=0.0,
        n_memory_tokens=N_MEMORY,
        n_used_tokens=500 * len(running),
        model="m",
        running=tuple((grant_id, 40) for grant_id in running),
    )


def _time(action: Callable[[], Any], made: list[Decision] | None = None) -> float:
    started = time.process_time()
    result = action()
    seconds = time.process_time() - started
    if made is not None:
        made.extend(result)
    return seconds


if __name__ == "__main__":
    main()
