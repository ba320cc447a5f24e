"""Platform outage and recovery with many nodes: no retry storm."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest
from result import Err, Ok

from celerytrail.clock import LoopClock
from celerytrail.http.client import HttpClient, NotSent, RequestLost
from celerytrail.http.messages import Response
from celerytrail.platform.backoff import Breaker, RetryBudget, full_jitter
from celerytrail.platform.client import PlatformClient
from celerytrail.platform.table import HttpTable

N_NODES = 40
CALLS_PER_SECOND = 4.0
OUTAGE = (5.0, 35.0)
# The longest pause before a probe, plus the timeout of a probe that stalled just
# before the end of the outage.
RECOVERY_SECONDS = 5.0 + 2.0


class CountingPlatform(HttpClient):
    """Counts requests per second; stalls or refuses them during the outage."""

    def __init__(self, *, mode):
        super().__init__()
        self.mode = mode
        self.arrivals = Counter()
        self.n_waiting = 0
        self.max_waiting = 0

    async def request(self, address, method, path, **kwargs):
        now = asyncio.get_running_loop().time()
        self.arrivals[int(now)] += 1
        if not OUTAGE[0] <= now < OUTAGE[1]:
            await asyncio.sleep(0.003)
            page = b'{"rows":[],"has-more":false,"ver":1,"now-ms":0}'
            return Ok(Response(status=200, headers={}, body=page))
        if self.mode == "refuse":
            return Err(NotSent(reason="connect_refused"))
        self.n_waiting += 1
        self.max_waiting = max(self.max_waiting, self.n_waiting)
        await asyncio.sleep(max(kwargs["deadline"] - now, 0.0))
        self.n_waiting -= 1
        return Err(RequestLost(reason="timeout"))


async def run_nodes(mode):
    """Run all nodes for 50 s; return the platform, when reads failed and how long."""
    clock, platform, failures = (
        LoopClock(),
        CountingPlatform(mode=mode),
        [],
    )
    waits_by_start = {}

    async def read_once(table):
        start = clock.monotonic()
        if (await table.read(["k"], start + 5.0)).is_err():
            failures.append(start)
            waits_by_start[start] = clock.monotonic() - start

    async def node(number):
        rng = random.Random(number)
        exchanger = PlatformClient(
            addresses=(None,), http=platform, clock=clock, rng=rng
        )
        table, tasks = HttpTable(exchanger=exchanger), []
        while clock.monotonic() < 50.0:
            await asyncio.sleep(rng.expovariate(CALLS_PER_SECOND))
            tasks.append(asyncio.create_task(read_once(table)))
        await asyncio.gather(*tasks)

    await asyncio.gather(*(node(number) for number in range(N_NODES)))
    return platform, failures, waits_by_start


# Arrivals are counted per second of loop time from 0; no fixture reads a clock first.
@pytest.mark.looptime(start=0)
class TestOutage:
    @pytest.mark.parametrize("mode", ["stall", "refuse"])
    async def test_no_retry_storm_and_bounded_recovery(self, mode):
        """The platform is down for 30 s while forty nodes keep calling. Without the
        breaker, retries would overload it when it returns, and each call would wait
        for its full timeout during the outage.
        """
        platform, failures, waits_by_start = await run_nodes(mode)
        normal_rate = N_NODES * CALLS_PER_SECOND
        outage_arrivals = [platform.arrivals[second] for second in range(12, 35)]
        recovery_arrivals = [platform.arrivals[second] for second in range(35, 48)]
        assert max(outage_arrivals) < 0.2 * normal_rate
        assert max(recovery_arrivals) < 1.3 * normal_rate
        assert max(failures) < OUTAGE[1] + RECOVERY_SECONDS
        # Once a node's breaker is open, only its probes wait; other calls fail at once.
        waits_in_outage = [
            wait for start, wait in waits_by_start.items() if 8.0 < start < 35.0
        ]
        refused_share = sum(wait < 0.01 for wait in waits_in_outage) / len(
            waits_in_outage
        )
        assert refused_share > 0.9
        print(
            mode,
            max(outage_arrivals),
            max(recovery_arrivals),
            max(failures) - OUTAGE[1],
            refused_share,
        )


class TestBackoff:
    def test_full_jitter_spreads_up_to_doubling_limit(self):
        rng = random.Random(1)
        for n_failures, limit in ((1, 0.05), (3, 0.2), (50, 5.0)):
            draws = [full_jitter(rng, n_failures) for _ in range(500)]
            assert max(draws) <= limit
            assert min(draws) < 0.1 * limit
            assert max(draws) > 0.9 * limit

    def test_retries_are_limited_to_share_of_first_tries(self):
        budget = RetryBudget(ratio=0.1, n_reserve=5.0)
        n_retries = 0
        for _ in range(1000):
            budget.record_first_try()
            while budget.take():
                n_retries += 1
        assert 95 <= n_retries <= 106

    def test_open_breaker_lets_one_probe_through(self):
        breaker = Breaker(rng=random.Random(1), n_failures=2)
        for _ in range(2):
            assert breaker.wait_seconds(0.0) is None
            breaker.record_failure(0.0)
        assert breaker.wait_seconds(0.0) > 0.0
        assert breaker.wait_seconds(9.0) is None
        assert breaker.wait_seconds(9.0) > 0.0
        breaker.record_success()
        assert breaker.wait_seconds(9.0) is None
