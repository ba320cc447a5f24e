"""Describe the bench's deployments and generate their callers' requests.

Two deployments have lognormal lengths, partly with a Pareto tail; a third one has
another family of distributions. Heavy-tailed output lengths and bursts are reported for
the BurstGPT trace (Wang et al., 2024) and the Azure traces of Splitwise (Patel et al.,
2024). The parameters aren't taken from these traces. They describe drafts of one page
to dozens of pages (`OFFICE`) and short answers with bursts (`CIRANDA`).
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

LengthSampler = Callable[[random.Random], int]


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestKind:
    """Describes a kind of request: its share of all calls and its lengths in tokens."""

    share: float
    n_prompt: LengthSampler
    n_output: LengthSampler
    n_prefix: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """Describes a user's pool and its callers.

    Parameters
    ----------
    name : str
        Its name.
    n_engines, n_memory_tokens, n_batch : int
        The number of engines, and for each its memory in tokens and largest batch.
    kinds : tuple of RequestKind
        The kinds of requests that callers make.
    shares : tuple of float
        Each organisation's share of the requests, the smallest last.
    patience_seconds : float
        Seconds a caller waits in the queue.
    burst : float
        Factor by which the rate of arrivals rises in a burst; 1 for no bursts.
    seconds, warm_up_seconds : float
        Length of a run in seconds, and the part at its start that isn't measured.
    n_max_tokens : int
        The largest output that each request allows.
    """

    name: str
    n_engines: int
    n_memory_tokens: int
    n_batch: int
    kinds: tuple[RequestKind, ...]
    shares: tuple[float, ...]
    patience_seconds: float
    burst: float
    seconds: float
    warm_up_seconds: float
    n_max_tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """Holds a caller's request and its output length, which only the oracle may use."""

    number: int
    arrives_at: float
    organisation: str
    node: int
    n_prompt_tokens: int
    n_output_tokens: int
    prefix: str
    n_prefix_tokens: int


def lognormal(median: float, sigma: float, low: int, high: int) -> LengthSampler:
    """Return a sampler of a bounded lognormal distribution."""

    def sample(rng: random.Random) -> int:
        value = rng.lognormvariate(math.log(median), sigma)
        return int(min(max(value, low), high))

    return sample


def with_tail(body: LengthSampler, share: float, start: float, alpha: float, high: int):  # type: ignore[no-untyped-def]
    """Return a sampler that draws a share of lengths from a bounded Pareto tail."""

    def sample(rng: random.Random) -> int:
        if rng.random() < share:
            return int(min(start * rng.paretovariate(alpha), high))
        return body(rng)

    return sample


def weibull(scale: float, shape: float, low: int, high: int) -> LengthSampler:
    """Return a sampler of a bounded Weibull distribution.

    A shape below 1 gives a heavy tail.
    """

    def sample(rng: random.Random) -> int:
        return int(min(max(rng.weibullvariate(scale, shape), low), high))

    return sample


OFFICE = Deployment(
    name="office",
    n_engines=6,
    n_memory_tokens=48_000,
    n_batch=48,
    kinds=(
        RequestKind(
            share=0.55,
            n_prompt=lognormal(600, 0.5, 50, 4000),
            n_output=with_tail(
                lognormal(900, 0.8, 100, 20_000), 0.1, 3000, 1.5, 20_000
            ),
            n_prefix=400,
        ),
        RequestKind(
            share=0.45,
            n_prompt=lognormal(250, 0.5, 20, 2000),
            n_output=lognormal(150, 0.7, 5, 2000),
            n_prefix=120,
        ),
    ),
    shares=(0.30, 0.20, 0.12, 0.10, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02),
    patience_seconds=60.0,
    burst=1.0,
    seconds=900.0,
    warm_up_seconds=200.0,
    n_max_tokens=24_000,
)
CIRANDA = Deployment(
    name="ciranda",
    n_engines=6,
    n_memory_tokens=16_000,
    n_batch=48,
    kinds=(
        RequestKind(
            share=0.85,
            n_prompt=lognormal(300, 0.5, 30, 2000),
            n_output=with_tail(lognormal(160, 0.8, 5, 6000), 0.08, 500, 1.8, 6000),
            n_prefix=200,
        ),
        RequestKind(
            share=0.15,
            n_prompt=lognormal(800, 0.4, 100, 3000),
            n_output=lognormal(80, 0.4, 10, 400),
            n_prefix=100,
        ),
    ),
    shares=(0.70, 0.08, 0.06, 0.04, 0.03, 0.03, 0.02, 0.02, 0.01, 0.01),
    patience_seconds=10.0,
    burst=3.0,
    seconds=360.0,
    warm_up_seconds=60.0,
    n_max_tokens=8_000,
)
# A held-out workload: no policy was tuned on it. It has another family of distributions
# and a single kind of request.
UNSEEN = Deployment(
    name="unseen",
    n_engines=6,
    n_memory_tokens=32_000,
    n_batch=48,
    kinds=(
        RequestKind(
            share=1.0,
            n_prompt=lognormal(400, 0.9, 20, 4000),
            n_output=weibull(500, 0.55, 3, 16_000),
            n_prefix=150,
        ),
    ),
    shares=(0.4, 0.2, 0.1, 0.1, 0.05, 0.05, 0.04, 0.03, 0.02, 0.01),
    patience_seconds=30.0,
    burst=2.0,
    seconds=600.0,
    warm_up_seconds=120.0,
    n_max_tokens=20_000,
)
DEPLOYMENTS = {d.name: d for d in (OFFICE, CIRANDA, UNSEEN)}

BURST_SECONDS = 8.0
BURST_INTERVAL_SECONDS = 60.0
N_NODES = 12


def mean_length(deployment: Deployment) -> float:
    """Return the mean output length in tokens, from a large fixed sample."""
    rng = random.Random(20_000)
    total = 0
    for _ in range(60_000):
        kind = _draw(deployment.kinds, [k.share for k in deployment.kinds], rng)
        total += kind.n_output(rng)
    return total / 60_000


def generate_calls(
    deployment: Deployment,
    *,
    rate: float,
    shares: tuple[float, ...],
    seconds: float,
    seed: int,
) -> Iterator[Call]:
    """Yield the calls of a run in order of arrival; the same for each policy.

    Parameters
    ----------
    deployment : Deployment
        The pool and its callers.
    rate : float
        Calls per second, on average over bursts and the time between them.
    shares : tuple of float
        Each organisation's share of the calls.
    seconds : float
        Length of the run.
    seed : int
        Seeds the calls.
    """
    rng = random.Random(seed)
    names = [f"org{i}" for i in range(len(shares))]
    calm_rate = rate / (
        1.0 + (deployment.burst - 1.0) * BURST_SECONDS / BURST_INTERVAL_SECONDS
    )
    at, number = 0.0, 0
    burst_at = rng.expovariate(1.0 / BURST_INTERVAL_SECONDS)
    while True:
        in_burst = deployment.burst > 1 and burst_at <= at < burst_at + BURST_SECONDS
        if at >= burst_at + BURST_SECONDS:
            burst_at = at + rng.expovariate(
                1.0 / (BURST_INTERVAL_SECONDS - BURST_SECONDS)
            )
        at += rng.expovariate(calm_rate * (deployment.burst if in_burst else 1.0))
        if at >= seconds:
            return
        number += 1
        kind = _draw(deployment.kinds, [k.share for k in deployment.kinds], rng)
        organisation = _draw(names, list(shares), rng)
        n_prompt = kind.n_prompt(rng)
        yield Call(
            number=number,
            arrives_at=at,
            organisation=organisation,
            node=rng.randrange(N_NODES),
            n_prompt_tokens=n_prompt,
            n_output_tokens=max(1, kind.n_output(rng)),
            prefix=f"{organisation}/{kind.n_prefix}",
            n_prefix_tokens=min(kind.n_prefix, n_prompt),
        )


def _draw(items, weights, rng):  # type: ignore[no-untyped-def]
    return rng.choices(items, weights)[0]
