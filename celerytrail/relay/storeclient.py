"""Creates the relay's client of the platform's store, with its retry limits."""

from __future__ import annotations

import random

from ..clock import Clock
from ..http.client import HttpClient
from ..http.network import Network
from ..metrics import Metrics
from ..platform.backoff import Breaker, RetryBudget
from ..platform.client import PlatformClient
from ..platform.rows import PlatformRows
from ..rowsource import RowSource
from ..types import Address

# Longest pause between two calls to a failing store, in seconds: a node must receive a
# new configuration within two seconds of the store's return.
MAX_PROBE_PAUSE_SECONDS = 0.4


def make_rows(
    store: Address,
    *,
    network: Network,
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
) -> RowSource:
    """Create the source of the platform's rows, which doesn't retry failed calls.

    The table watches repeat their requests, and also send them to other nodes.
    """
    client = PlatformClient(
        addresses=(store,),
        http=HttpClient(network=network, id_header=None),
        clock=clock,
        rng=rng,
        metrics=metrics,
        budget=RetryBudget(ratio=0.0, n_reserve=0.0),
        breaker=Breaker(rng=rng, max_pause_seconds=MAX_PROBE_PAUSE_SECONDS),
    )
    return PlatformRows(exchanger=client)
