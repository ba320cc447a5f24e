"""Many nodes before a platform that goes away and comes back: no storm."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest
from result import Err, Ok

from celerytrail.clock import LoopClock
from celerytrail.http.client import HttpClient, Lost, NotSent
from celerytrail.http.messages import Response
from celerytrail.platform.backoff import Breaker, RetryBudget, full_jitter
from celerytrail.platform.client import PlatformClient
from celerytrail.platform.table import HttpTable

N_NODES = 40
CALLS_PER_SECOND = 4.0
OUTAGE = (5.0, 35.0)
# The longest pause before a probe, and a probe that stalled just before the end.
RECOVERY_SECONDS = 5.0 + 2.0


class CountingPlatform(HttpClient):
    """Counts what arrives in each second; in the outage it stalls or refuses."""

    def __init__(self, *, how):
        super().__init__()
        self.how = how
        self.arrivals = Counter()
        self.n_waiting = 0
        self.n_most_waiting = 0

    async def request(self, address, method, path, **kwargs):
        now = asyncio.get_running_loop().time()
        self.arrivals[int(now)] += 1
        if not OUTAGE[0] <= now < OUTAGE[1]:
            await asyncio.sleep(0.003)
            page = b'{"rows":[],"has-more":false,"ver":1,"now-ms":0}'
            return Ok(Response(status=200, headers={}, body=page))
        if self.how == "refuse":
            return Err(NotSent(reason="connect_refused"))
        self.n_waiting += 1
        self.n_most_waiting = max(self.n_most_waiting, self.n_waiting)
        await asyncio.sleep(max(kwargs["deadline"] - now, 0.0))
        self.n_waiting -= 1
        return Err(Lost(reason="timeout"))


async def play(how):
    """Let all nodes read for 50 s; returns the platform and when each read failed."""
    clock, platform, failures = LoopClock(), CountingPlatform(how=how), []
    waits = {}

    async def read_once(table):
        start = clock.monotonic()
        if (await table.read(["k"], start + 5.0)).is_err():
            failures.append(start)
            waits[start] = clock.monotonic() - start

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
    return platform, failures, waits


# Arrivals are counted by the second from 0, and no fixture has read a clock before.
@pytest.mark.looptime(start=0)
class TestOutage:
    @pytest.mark.parametrize("how", ["stall", "refuse"])
    async def test_no_storm_and_a_bounded_recovery(self, how):
        """The platform is away for half a minute before forty busy nodes. Nodes that
        all kept asking would meet it with a storm when it comes back, and calls would
        each wait out their timeout meanwhile.
        """
        platform, failures, waits = await play(how)
        usual = N_NODES * CALLS_PER_SECOND
        outage = [platform.arrivals[second] for second in range(12, 35)]
        after = [platform.arrivals[second] for second in range(35, 48)]
        assert max(outage) < 0.2 * usual
        assert max(after) < 1.3 * usual
        assert max(failures) < OUTAGE[1] + RECOVERY_SECONDS
        # Once a node has noticed, only its probes wait; all else is told at once.
        noticed = [wait for start, wait in waits.items() if 8.0 < start < 35.0]
        share = sum(wait < 0.01 for wait in noticed) / len(noticed)
        assert share > 0.9
        print(how, max(outage), max(after), max(failures) - OUTAGE[1], share)


class TestBackoff:
    def test_full_jitter_spreads_over_a_doubling_limit(self):
        rng = random.Random(1)
        for n_failures, limit in ((1, 0.05), (3, 0.2), (50, 5.0)):
            draws = [full_jitter(rng, n_failures) for _ in range(500)]
            assert max(draws) <= limit
            assert min(draws) < 0.1 * limit
            assert max(draws) > 0.9 * limit

    def test_retries_are_a_share_of_first_tries(self):
        budget = RetryBudget(ratio=0.1, n_reserve=5.0)
        n_retries = 0
        for _ in range(1000):
            budget.note_first_try()
            while budget.take():
                n_retries += 1
        assert 95 <= n_retries <= 106

    def test_one_probe_at_a_time(self):
        breaker = Breaker(rng=random.Random(1), n_failures=2)
        for _ in range(2):
            assert breaker.wait_seconds(0.0) is None
            breaker.note_failure(0.0)
        assert breaker.wait_seconds(0.0) > 0.0
        assert breaker.wait_seconds(9.0) is None
        assert breaker.wait_seconds(9.0) > 0.0
        breaker.note_success()
        assert breaker.wait_seconds(9.0) is None
