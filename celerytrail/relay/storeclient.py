"""The relay's client of the platform's store, and how often it asks one that fails."""

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

# The longest pause between two tries of a store that fails, in seconds: a node has to
# hear of a new configuration within two seconds of the store's return.
PROBE_SECONDS = 0.4


def make_rows(
    store: Address,
    *,
    network: Network,
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
) -> RowSource:
    """Return the platform's rows; a call that fails is not tried again here.

    Watches ask again by themselves, and of another node as well.
    """
    client = PlatformClient(
        addresses=(store,),
        http=HttpClient(network=network, id_header=None),
        clock=clock,
        rng=rng,
        metrics=metrics,
        budget=RetryBudget(ratio=0.0, n_reserve=0.0),
        breaker=Breaker(rng=rng, most_seconds=PROBE_SECONDS),
    )
    return PlatformRows(exchanger=client)
