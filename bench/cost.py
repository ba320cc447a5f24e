"""Measure what scheduling decisions cost: ``python -m bench.cost``.

It measures the processor time of a decision by the number of workers, for an undivided
pool and for a shard, and the memory that each further item of state takes. Times are
processor times of this process, so that other load on the machine affects them little.
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

POOL_SIZES = (6, 333, 2000)
N_SHARD_ENGINES = 32
N_RUNS_PER_ENGINE = 15
N_MEMORY_TOKENS = 24_000
N_ORGANISATIONS = 300
N_DECISIONS = 300
N_ROUNDS = 3
# A decision takes so long in pools of at least this size that fewer of them suffice.
N_LARGE_POOL_ENGINES = 300


def main() -> None:
    """Measure the costs, print them and write ``out/cost.json``."""
    figures: dict[str, float] = {}
    for n_engines in POOL_SIZES:
        figures |= {f"{n_engines}_whole_{k}": v for k, v in decision_costs(n_engines)}
    for k, v in decision_costs(N_SHARD_ENGINES):
        figures[f"{N_SHARD_ENGINES}_shard_{k}"] = v
    figures["bytes_per_engine"] = bytes_per_item(scheduler_with_engines, 32, 256)
    figures["bytes_per_grant"] = bytes_per_item(scheduler_with_grants, 100, 1000)
    figures["bytes_per_queued_request"] = bytes_per_item(
        scheduler_with_queue, 500, 5000
    )
    figures["bytes_per_organisation"] = bytes_per_item(
        queue_with_organisations, 500, 6400
    )
    figures["bytes_per_length_table"] = bytes_per_item(lengths_with_tables, 500, 6400)
    figures["bytes_per_length_table_with_curve"] = bytes_per_item(
        lengths_with_curves, 500, 6400
    )
    for name, value in figures.items():
        print(f"{name:40} {value:12.1f}")
    path = Path("out/cost.json")
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(figures, indent=1))


def decision_costs(n_engines: int) -> list[tuple[str, float]]:
    """Return the microseconds of each kind of call, as medians over rounds."""
    rounds = [_measure_decisions(n_engines, seed) for seed in range(N_ROUNDS)]
    return [
        (f"{name}_us", statistics.median(row[name] for row in rounds))
        for name in rounds[0]
    ]


def _measure_decisions(n_engines: int, seed: int) -> dict[str, float]:
    rng = random.Random(seed)
    scheduler = scheduler_with_engines(n_engines)
    now, n = 1.0, 0
    running_grants = []
    for _ in range(N_RUNS_PER_ENGINE):
        for engine in list(scheduler.tracker.views):
            n += 1
            grant = Grant(grant_id=f"r{n}.0", engine=engine)
            scheduler.adopt(
                grant, _make_request(n, rng, now), rng.randrange(1, 500), now
            )
            running_grants.append(grant)
    n_decisions = N_DECISIONS if n_engines < N_LARGE_POOL_ENGINES else N_DECISIONS // 10
    seconds_by_call = {"grant": 0.0, "progress": 0.0, "finish": 0.0, "report": 0.0}
    for i in range(n_decisions):
        now += 0.45 / n_engines
        grant = running_grants.pop(rng.randrange(len(running_grants)))
        progress = partial(scheduler.progress, grant.grant_id, 50, now)
        seconds_by_call["progress"] += _processor_seconds(progress)
        finish = partial(scheduler.finish, grant.grant_id, 300, "answered", now)
        seconds_by_call["finish"] += _processor_seconds(finish)
        n += 1
        submit = partial(scheduler.submit, _make_request(n, rng, now), now)
        decisions: list[Decision] = []
        seconds_by_call["grant"] += _processor_seconds(submit, decisions)
        running_grants += [d.grant for d in decisions if isinstance(d, Granted)]
        view = scheduler.tracker.views[f"e{i % n_engines}"]
        report = _make_report(view.name, i + 2, view.running)
        seconds_by_call["report"] += _processor_seconds(
            partial(scheduler.report, report, now)
        )
    return {
        name: 1e6 * seconds / n_decisions for name, seconds in seconds_by_call.items()
    }


def bytes_per_item(make: Callable[[int], Any], low: int, high: int) -> float:
    """Return the bytes for each further item in what ``make`` builds."""
    return (_allocated_bytes(make, high) - _allocated_bytes(make, low)) / (high - low)


def scheduler_with_engines(n: int) -> PoolScheduler:
    """Return a scheduler with ``n`` engines that have reported their load."""
    scheduler = PoolScheduler(model="m", home="n1", rng=random.Random(1))
    scheduler.set_engines(
        [
            EngineSpec(name=f"e{i}", address="", failure_domain="a", model="m")
            for i in range(n)
        ],
        0.0,
    )
    for i in range(n):
        scheduler.report(_make_report(f"e{i}", 1, {}), 0.5)
    return scheduler


def scheduler_with_grants(n: int) -> PoolScheduler:
    """Return a scheduler with 96 engines and ``n`` grants."""
    scheduler = scheduler_with_engines(96)
    rng = random.Random(1)
    for i in range(n):
        scheduler.submit(_make_request(i, rng, 1.0), 1.0)
    return scheduler


def scheduler_with_queue(n: int) -> PoolScheduler:
    """Return a scheduler without engines where ``n`` requests wait."""
    scheduler = scheduler_with_engines(0)
    rng = random.Random(1)
    for i in range(n):
        scheduler.submit(_make_request(i, rng, 1.0), 1.0)
    return scheduler


def queue_with_organisations(n: int) -> FairQueue:
    """Return an empty queue that keeps the accounts of ``n`` organisations."""
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


def lengths_with_tables(n: int) -> LearnedLengths:
    """Return length tables of ``n`` organisations with one model."""
    lengths = LearnedLengths()
    for i in range(n):
        lengths.advance("m", f"organisation-{i}", 0, 300)
    return lengths


def lengths_with_curves(n: int) -> LearnedLengths:
    """Return ``n`` length tables, each with the curve that forecasts need."""
    lengths = lengths_with_tables(n)
    for i in range(n):
        lengths.expected_residual("m", f"organisation-{i}", 0)
    return lengths


def _allocated_bytes(make: Callable[[int], Any], n: int) -> float:
    tracemalloc.start()
    built = make(n)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size


def _make_request(n: int, rng: random.Random, now: float) -> AdmitRequest:
    return AdmitRequest(
        request_id=f"r{n}",
        organisation=f"organisation-{rng.randrange(N_ORGANISATIONS)}",
        model="m",
        n_prompt_tokens=rng.randrange(100, 900),
        n_max_tokens=8000,
        queue_deadline=now + 10.0,
    )


def _make_report(engine: str, sequence: int, running: Any) -> EngineReport:
    return EngineReport(
        engine=engine,
        incarnation="i1",
        sequence=sequence,
        at=0.0,
        n_memory_tokens=N_MEMORY_TOKENS,
        n_used_tokens=500 * len(running),
        model="m",
        running=tuple((grant_id, 40) for grant_id in running),
    )


def _processor_seconds(
    action: Callable[[], Any], decisions: list[Decision] | None = None
) -> float:
    started = time.process_time()
    result = action()
    seconds = time.process_time() - started
    if decisions is not None:
        decisions.extend(result)
    return seconds


if __name__ == "__main__":
    main()
