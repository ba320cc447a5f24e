"""What callers ask for in the bench: two deployments and their length distributions.

Bodies are lognormal with a Pareto tail. That output lengths and their bursts are
heavy-tailed is reported for the BurstGPT trace (Wang et al., 2024) and the Azure
traces of Splitwise (Patel et al., 2024); the parameters here are our own, set to the
brief's words (a page to dozens of pages; short answers with bursts).
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

Sampler = Callable[[random.Random], int]


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """A kind of request: how common it is, and how long prompt and output are."""

    share: float
    n_prompt: Sampler
    n_output: Sampler
    n_prefix: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """A user's pool and its callers.

    Parameters
    ----------
    name : str
        Its name.
    n_engines, n_memory_tokens, n_batch : int
        The engines, their memory in tokens and their largest batch.
    kinds : tuple of Kind
        What is asked.
    shares : tuple of float
        Each organisation's share of the requests, the smallest last.
    patience : float
        Seconds a caller waits for its turn.
    burst : float
        Factor by which arrivals rise in a burst; 1 for none.
    seconds, warm_up : float
        How long a run is, and how much of it isn't counted.
    """

    name: str
    n_engines: int
    n_memory_tokens: int
    n_batch: int
    kinds: tuple[Kind, ...]
    shares: tuple[float, ...]
    patience: float
    burst: float
    seconds: float
    warm_up: float
    n_max_tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """One caller's request, with the length that only the oracle may know."""

    number: int
    at: float
    organisation: str
    node: int
    n_prompt_tokens: int
    n_output_tokens: int
    prefix: str
    n_prefix_tokens: int


def lognormal(median: float, sigma: float, low: int, high: int) -> Sampler:
    """Return a sampler of a bounded lognormal."""

    def sample(rng: random.Random) -> int:
        value = rng.lognormvariate(math.log(median), sigma)
        return int(min(max(value, low), high))

    return sample


def with_tail(body: Sampler, share: float, start: float, alpha: float, high: int):  # type: ignore[no-untyped-def]
    """Return a sampler that draws a share from a bounded Pareto tail."""

    def sample(rng: random.Random) -> int:
        if rng.random() < share:
            return int(min(start * rng.paretovariate(alpha), high))
        return body(rng)

    return sample


def weibull(scale: float, shape: float, low: int, high: int) -> Sampler:
    """Return a sampler of a bounded Weibull; a shape under 1 is heavy-tailed."""

    def sample(rng: random.Random) -> int:
        return int(min(max(rng.weibullvariate(scale, shape), low), high))

    return sample


OFFICE = Deployment(
    name="office",
    n_engines=6,
    n_memory_tokens=48_000,
    n_batch=48,
    kinds=(
        Kind(
            share=0.55,
            n_prompt=lognormal(600, 0.5, 50, 4000),
            n_output=with_tail(
                lognormal(900, 0.8, 100, 20_000), 0.1, 3000, 1.5, 20_000
            ),
            n_prefix=400,
        ),
        Kind(
            share=0.45,
            n_prompt=lognormal(250, 0.5, 20, 2000),
            n_output=lognormal(150, 0.7, 5, 2000),
            n_prefix=120,
        ),
    ),
    shares=(0.30, 0.20, 0.12, 0.10, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02),
    patience=60.0,
    burst=1.0,
    seconds=900.0,
    warm_up=200.0,
    n_max_tokens=24_000,
)
CIRANDA = Deployment(
    name="ciranda",
    n_engines=6,
    n_memory_tokens=16_000,
    n_batch=48,
    kinds=(
        Kind(
            share=0.85,
            n_prompt=lognormal(300, 0.5, 30, 2000),
            n_output=with_tail(lognormal(160, 0.8, 5, 6000), 0.08, 500, 1.8, 6000),
            n_prefix=200,
        ),
        Kind(
            share=0.15,
            n_prompt=lognormal(800, 0.4, 100, 3000),
            n_output=lognormal(80, 0.4, 10, 400),
            n_prefix=100,
        ),
    ),
    shares=(0.70, 0.08, 0.06, 0.04, 0.03, 0.03, 0.02, 0.02, 0.01, 0.01),
    patience=10.0,
    burst=3.0,
    seconds=360.0,
    warm_up=60.0,
    n_max_tokens=8_000,
)
# Never tuned on: another family of distributions, and no other kind beside it.
UNSEEN = Deployment(
    name="unseen",
    n_engines=6,
    n_memory_tokens=32_000,
    n_batch=48,
    kinds=(
        Kind(
            share=1.0,
            n_prompt=lognormal(400, 0.9, 20, 4000),
            n_output=weibull(500, 0.55, 3, 16_000),
            n_prefix=150,
        ),
    ),
    shares=(0.4, 0.2, 0.1, 0.1, 0.05, 0.05, 0.04, 0.03, 0.02, 0.01),
    patience=30.0,
    burst=2.0,
    seconds=600.0,
    warm_up=120.0,
    n_max_tokens=20_000,
)
DEPLOYMENTS = {d.name: d for d in (OFFICE, CIRANDA, UNSEEN)}

BURST_SECONDS = 8.0
BURST_EVERY = 60.0
N_NODES = 12


def mean_length(deployment: Deployment) -> float:
    """Return the mean output length in tokens, from a large fixed sample."""
    rng = random.Random(20_000)
    total = 0
    for _ in range(60_000):
        kind = _pick(deployment.kinds, [k.share for k in deployment.kinds], rng)
        total += kind.n_output(rng)
    return total / 60_000


def calls(
    deployment: Deployment,
    *,
    rate: float,
    shares: tuple[float, ...],
    seconds: float,
    seed: int,
) -> Iterator[Call]:
    """Yield the calls of a run in order; the same for every policy.

    Parameters
    ----------
    deployment : Deployment
        Who asks.
    rate : float
        Calls a second, on average over bursts and lulls.
    shares : tuple of float
        Each organisation's share of the calls.
    seconds : float
        How long calls come.
    seed : int
        Fixes all of them.
    """
    rng = random.Random(seed)
    names = [f"org{i}" for i in range(len(shares))]
    calm = rate / (1.0 + (deployment.burst - 1.0) * BURST_SECONDS / BURST_EVERY)
    at, number = 0.0, 0
    burst_at = rng.expovariate(1.0 / BURST_EVERY)
    while True:
        in_burst = deployment.burst > 1 and burst_at <= at < burst_at + BURST_SECONDS
        if at >= burst_at + BURST_SECONDS:
            burst_at = at + rng.expovariate(1.0 / (BURST_EVERY - BURST_SECONDS))
        at += rng.expovariate(calm * (deployment.burst if in_burst else 1.0))
        if at >= seconds:
            return
        number += 1
        kind = _pick(deployment.kinds, [k.share for k in deployment.kinds], rng)
        organisation = _pick(names, list(shares), rng)
        n_prompt = kind.n_prompt(rng)
        yield Call(
            number=number,
            at=at,
            organisation=organisation,
            node=rng.randrange(N_NODES),
            n_prompt_tokens=n_prompt,
            n_output_tokens=max(1, kind.n_output(rng)),
            prefix=f"{organisation}/{kind.n_prefix}",
            n_prefix_tokens=min(kind.n_prefix, n_prompt),
        )


def _pick(items, weights, rng):  # type: ignore[no-untyped-def]
    return rng.choices(items, weights)[0]
