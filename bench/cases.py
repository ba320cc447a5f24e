"""The bench's cases and what is made of a run's measures."""

from __future__ import annotations

import os
import statistics
import time
from collections import Counter
from dataclasses import asdict, dataclass, replace

from bench.faults import FAULTS
from bench.simulation import GAP_STEP, Measures, Simulation
from bench.strategies import make_strategy
from bench.workloads import DEPLOYMENTS, Deployment, mean_length

# Calls that come so much faster than served show what a pool can sustain.
OVERLOAD = 2.0
# A first guess at tokens a second for each engine, to set the overload's rate.
GUESS_PER_ENGINE = 800.0
CAPACITY_SEED = 999
# The greedy case: one organisation offers ten times its even share, the nine others
# nine tenths of theirs.
N_ORGANISATIONS = 10
GREEDY_OTHERS = 0.9


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """One run to make.

    Parameters
    ----------
    deployment, policy : str
        Names of both.
    load : float
        Offered tokens as a share of capacity.
    fault : str
        A name in `FAULTS`, ``none``, or ``greedy`` for the greedy organisation.
    seed : int
        Fixes the run.
    capacity : float
        Tokens a second that the oracle sustains, from `measure_capacity`.
    length : float
        Share of the deployment's usual run that is made.
    """

    deployment: str
    policy: str
    load: float
    fault: str
    seed: int
    capacity: float
    length: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """What came of a case; times in seconds, rates in tokens a second."""

    deployment: str
    policy: str
    load: float
    fault: str
    seed: int
    stall_seconds: float
    n_preemptions: float
    gap_p50: float
    gap_p99: float
    gap_p999: float
    first_p50: float
    first_p99: float
    goodput: float
    refused: float
    late_refusals: float
    lost: float
    smallest_share: float
    run_seconds: float


def measure_capacity(name: str) -> float:
    """Return the tokens a second that the oracle sustains with a queue never empty."""
    deployment = DEPLOYMENTS[name]
    guess = GUESS_PER_ENGINE * deployment.n_engines
    sim = Simulation(
        deployment=deployment,
        rate=OVERLOAD * guess / mean_length(deployment),
        shares=deployment.shares,
        seed=CAPACITY_SEED,
        strategy=make_strategy("oracle", CAPACITY_SEED),
    )
    measures = sim.run()
    return measures.n_delivered / (deployment.seconds - deployment.warm_up)


def run_case(case: Case) -> Outcome:
    """Make one run."""
    started = time.process_time()
    deployment = _deployment(case)
    rate = case.load * case.capacity / mean_length(deployment)
    shares = deployment.shares
    if case.fault == "greedy":
        others = GREEDY_OTHERS / N_ORGANISATIONS
        weights = [1.0] + [others] * (N_ORGANISATIONS - 1)
        rate *= sum(weights)
        shares = tuple(weight / sum(weights) for weight in weights)
    sim = Simulation(
        deployment=deployment,
        rate=rate,
        shares=shares,
        seed=case.seed,
        strategy=make_strategy(case.policy, case.seed),
    )
    if case.fault in FAULTS:
        window = deployment.seconds - deployment.warm_up
        FAULTS[case.fault](sim, deployment.warm_up + 0.2 * window, 0.6 * window)
    measures = sim.run()
    return _outcome(case, measures, time.process_time() - started)


def _deployment(case: Case) -> Deployment:
    usual = DEPLOYMENTS[case.deployment]
    return replace(usual, seconds=usual.seconds * case.length)


def _outcome(case: Case, measures: Measures, run_seconds: float) -> Outcome:
    deployment = _deployment(case)
    seconds = deployment.seconds - deployment.warm_up
    gap_p50, gap_p99, gap_p999 = _quantiles(measures.gaps, (0.5, 0.99, 0.999))
    first = sorted(measures.first_tokens) or [0.0]
    n_calls = max(1, measures.n_calls)
    smallest = _smallest_share(case, measures)
    return Outcome(
        deployment=case.deployment,
        policy=case.policy,
        load=case.load,
        fault=case.fault,
        seed=case.seed,
        stall_seconds=measures.stall_seconds,
        n_preemptions=measures.n_preemptions,
        gap_p50=gap_p50,
        gap_p99=gap_p99,
        gap_p999=gap_p999,
        first_p50=first[len(first) // 2],
        first_p99=first[int(0.99 * len(first))],
        goodput=(measures.n_delivered - measures.n_lost_tokens) / seconds,
        refused=(measures.n_refused + measures.n_given_up) / n_calls,
        late_refusals=measures.n_late_refusals,
        lost=measures.n_lost,
        smallest_share=smallest,
        run_seconds=run_seconds,
    )


def _smallest_share(case: Case, measures: Measures) -> float:
    """Return what the smallest organisation is served of what it is due.

    Due is what it asks, or an even share of capacity where it asks for more: lengths
    have heavy tails, and by chance one asks for far more than on average.
    """
    deployment = _deployment(case)
    seconds = deployment.seconds - deployment.warm_up - deployment.patience
    even = case.capacity * seconds / N_ORGANISATIONS
    shares = [
        measures.served[name] / min(n_tokens, even)
        for name, n_tokens in sorted(measures.offered.items())
        if name != "org0"
    ]
    return min(shares) if case.fault == "greedy" else shares[-1]


def _quantiles(gaps: Counter[int], shares: tuple[float, ...]) -> list[float]:
    total = sum(gaps.values())
    wanted = list(shares)
    found: list[float] = []
    n_passed = 0
    for step, n in sorted(gaps.items()):
        n_passed += n
        while wanted and n_passed >= wanted[0] * total:
            found.append(step * GAP_STEP)
            wanted.pop(0)
    return found + [0.0] * len(wanted)


def median(outcomes: list[Outcome], field: str) -> float:
    """Return the median of a field over seeds."""
    return statistics.median(getattr(outcome, field) for outcome in outcomes)


def spread(outcomes: list[Outcome], field: str) -> tuple[float, float]:
    """Return the least and greatest of a field over seeds."""
    values = [getattr(outcome, field) for outcome in outcomes]
    return min(values), max(values)


def as_json(outcomes: list[Outcome]) -> list[dict[str, object]]:
    """Return the outcomes as plain data."""
    return [asdict(outcome) for outcome in outcomes]


def n_processes() -> int:
    """Return how many processes the bench may use."""
    return min(3, os.cpu_count() or 1)
