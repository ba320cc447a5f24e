"""Run the bench's cases and summarise the measures of each."""

from __future__ import annotations

import os
import statistics
import time
from collections import Counter
from dataclasses import asdict, dataclass, replace

from bench.faults import FAULTS
from bench.simulation import GAP_STEP_SECONDS, Measures, Simulation
from bench.strategies import make_strategy
from bench.workloads import DEPLOYMENTS, Deployment, mean_length

# Offered load over the assumed capacity. It keeps the queue from ever being empty while
# the sustained capacity is measured.
OVERLOAD_FACTOR = 2.0
# Sets the rate of calls in that measurement.
ASSUMED_TOKENS_PER_SECOND_PER_ENGINE = 800.0
CAPACITY_SEED = 999
# In the greedy case, one organisation offers as much as the whole pool can serve, ten
# times its even share. The nine others offer this part of theirs.
N_ORGANISATIONS = 10
MODERATE_SHARE = 0.9


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """Describes one run.

    Parameters
    ----------
    deployment, policy : str
        Their names.
    load : float
        Offered tokens as a share of capacity.
    fault : str
        A name in `FAULTS`, ``none``, or ``greedy`` for the greedy organisation.
    seed : int
        Seeds the run.
    capacity : float
        Tokens per second that the oracle sustains, from `measure_capacity`.
    length : float
        Length of the run as a share of the deployment's usual run.
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
    """Summarises a case; durations in seconds, rates in tokens per second."""

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
    """Return the tokens per second that the oracle sustains under overload."""
    deployment = DEPLOYMENTS[name]
    assumed_capacity = ASSUMED_TOKENS_PER_SECOND_PER_ENGINE * deployment.n_engines
    sim = Simulation(
        deployment=deployment,
        rate=OVERLOAD_FACTOR * assumed_capacity / mean_length(deployment),
        shares=deployment.shares,
        seed=CAPACITY_SEED,
        strategy=make_strategy("oracle", CAPACITY_SEED),
    )
    measures = sim.run()
    return measures.n_delivered / (deployment.seconds - deployment.warm_up_seconds)


def run_case(case: Case) -> Outcome:
    """Run a case and return its outcome."""
    started = time.process_time()
    deployment = _scaled_deployment(case)
    rate = case.load * case.capacity / mean_length(deployment)
    shares = deployment.shares
    if case.fault == "greedy":
        moderate_weight = MODERATE_SHARE / N_ORGANISATIONS
        weights = [1.0] + [moderate_weight] * (N_ORGANISATIONS - 1)
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
        window = deployment.seconds - deployment.warm_up_seconds
        FAULTS[case.fault](sim, deployment.warm_up_seconds + 0.2 * window, 0.6 * window)
    measures = sim.run()
    return _outcome(case, measures, time.process_time() - started)


def _scaled_deployment(case: Case) -> Deployment:
    deployment = DEPLOYMENTS[case.deployment]
    return replace(deployment, seconds=deployment.seconds * case.length)


def _outcome(case: Case, measures: Measures, run_seconds: float) -> Outcome:
    deployment = _scaled_deployment(case)
    seconds = deployment.seconds - deployment.warm_up_seconds
    gap_p50, gap_p99, gap_p999 = _quantiles(measures.gaps, (0.5, 0.99, 0.999))
    first = sorted(measures.first_token_seconds) or [0.0]
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
        refused=(measures.n_refused + measures.n_timed_out) / n_calls,
        late_refusals=measures.n_late_refusals,
        lost=measures.n_lost_streams,
        smallest_share=smallest,
        run_seconds=run_seconds,
    )


def _smallest_share(case: Case, measures: Measures) -> float:
    """Return the share of its due tokens that the smallest organisation is served.

    An organisation is due what it offers, at most an even share of capacity. The limit
    is needed because lengths have heavy tails, so that an organisation may by chance
    offer far more than on average. In the greedy case, the result is the smallest share
    of any organisation but the greedy one.
    """
    deployment = _scaled_deployment(case)
    seconds = (
        deployment.seconds - deployment.warm_up_seconds - deployment.patience_seconds
    )
    n_even_share_tokens = case.capacity * seconds / N_ORGANISATIONS
    shares = [
        measures.n_served_tokens[name] / min(n_tokens, n_even_share_tokens)
        for name, n_tokens in sorted(measures.n_offered_tokens.items())
        if name != "org0"
    ]
    return min(shares) if case.fault == "greedy" else shares[-1]


def _quantiles(gaps: Counter[int], shares: tuple[float, ...]) -> list[float]:
    total = sum(gaps.values())
    remaining = list(shares)
    quantiles: list[float] = []
    n_gaps = 0
    for step, n in sorted(gaps.items()):
        n_gaps += n
        while remaining and n_gaps >= remaining[0] * total:
            quantiles.append(step * GAP_STEP_SECONDS)
            remaining.pop(0)
    return quantiles + [0.0] * len(remaining)


def median(outcomes: list[Outcome], field: str) -> float:
    """Return the median of a field over the seeds."""
    return statistics.median(getattr(outcome, field) for outcome in outcomes)


def spread(outcomes: list[Outcome], field: str) -> tuple[float, float]:
    """Return the smallest and largest value of a field over the seeds."""
    values = [getattr(outcome, field) for outcome in outcomes]
    return min(values), max(values)


def as_json(outcomes: list[Outcome]) -> list[dict[str, object]]:
    """Return the outcomes as values that JSON can encode."""
    return [asdict(outcome) for outcome in outcomes]


def n_processes() -> int:
    """Return how many processes the bench may use."""
    return min(3, os.cpu_count() or 1)
