"""A large configuration reaches all nodes within its bound, also on slow links."""

from __future__ import annotations

import asyncio
import random
import string

import pytest

from celerytrail.policies.readers import Candidate, FastLinkOrder
from celerytrail.relay.tablemirror import TableMirror
from celerytrail.relay.tablewatch import TableSink
from celerytrail.rowsource import Changes, Row
from celerytrail.types import Address
from standins.worker import worker_row
from tests.sourcesrig import CONFIG_SECONDS, Fleet, run_fleet

N_ROUTES = 1_400
BOUND_SECONDS = 3.0
# Mbit/s; a few nodes in each failure domain have fast links.
SLOW, FAST = 5.0, 100.0


def link_mbps(number: int) -> float:
    return FAST if number % 10 < 3 else SLOW


def route_names(seed: int, n_routes: int = N_ROUTES) -> list[str]:
    rng = random.Random(seed)
    return ["".join(rng.choices(string.ascii_lowercase, k=9)) for _ in range(n_routes)]


async def seconds_to_apply(fleet: Fleet, limit: float) -> float:
    """Return the time until all nodes have the newest version, at most a limit."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while loop.time() - started_at < limit:
        if all(node.configs.cfg.version == fleet.version for node in fleet.nodes):
            break
        await asyncio.sleep(0.02)
    return loop.time() - started_at


class TestManyRoutes:
    """The operator adds 1,400 routes, some 300 kB. An answer that took longer than its
    timeout was abandoned and requested again from its first byte, by every node, so
    that the whole deployment was out of service.
    """

    @pytest.mark.parametrize("n_nodes", [13, 40, 119])
    def test_they_are_in_force_at_all_nodes_within_the_bound(self, n_nodes: int):
        async def steps(fleet: Fleet) -> None:
            fleet.change(*route_names(1))
            assert await seconds_to_apply(fleet, 10.0) < BOUND_SECONDS
            assert await fleet.unready_seconds(5.0) == 0.0

        run_fleet(1, steps, n_nodes, config_seconds=BOUND_SECONDS, link_mbps=link_mbps)

    def test_three_changes_in_a_row_and_a_restart_of_all_nodes(self):
        async def steps(fleet: Fleet) -> None:
            names = route_names(1)
            for number in range(3):
                fleet.change(*names, *route_names(2 + number, 100))
                await asyncio.sleep(0.3)
            assert await seconds_to_apply(fleet, 10.0) < BOUND_SECONDS
            assert await fleet.unready_seconds(3.0) == 0.0
            await fleet.restart()
            await asyncio.sleep(3.0)
            assert all(node.is_ready for node in fleet.nodes)

        run_fleet(1, steps, 40, config_seconds=BOUND_SECONDS, link_mbps=link_mbps)

    def test_a_row_that_no_link_carries_in_time_delays_only_itself(self):
        """All links are slow, and the row takes longer than every timeout. It may come
        late, but it comes, and requests are served again.
        """

        async def steps(fleet: Fleet) -> None:
            fleet.change(*route_names(1, 8_000))
            assert await seconds_to_apply(fleet, 30.0) < 30.0
            await asyncio.sleep(CONFIG_SECONDS)
            assert await fleet.unready_seconds(3.0) == 0.0

        run_fleet(
            1, steps, 8, config_seconds=BOUND_SECONDS, link_mbps=lambda number: SLOW
        )


class TestManyEndpoints:
    def test_a_table_of_many_pages_is_read_on_a_slow_link(self):
        """2,000 endpoints have rows. All pages had to arrive within one second, and on
        a slow link each read began again at the first page.
        """
        n_endpoints = 2_000

        async def steps(fleet: Fleet) -> None:
            for number in range(n_endpoints):
                address = Address(host="10.9.0.1", port=10_000 + number)
                row = worker_row("desk", address)
                fleet.store.put("servers", f"w{number}", row)
            await fleet.restart()
            await asyncio.sleep(6.0)
            for node in fleet.nodes:
                assert len(node.registry.usable_endpoints("desk")) == n_endpoints

        run_fleet(
            1, steps, 3, config_seconds=BOUND_SECONDS, link_mbps=lambda number: SLOW
        )


class TestFastLinkOrder:
    def test_readers_have_fast_links_and_begin_with_each_failure_domain(self):
        candidates = [
            Candidate(node=f"n{n}", failure_domain="aaabc"[n % 5], link_mbps=mbps)
            for n, mbps in enumerate([5, 100, 60, 100, 5, 5, 5, 5, 100, 50])
        ]
        order = FastLinkOrder().arrange(candidates)
        assert order[:3] == ["n1", "n3", "n9"]
        assert order[3:5] == ["n2", "n8"]
        assert sorted(order) == sorted(candidate.node for candidate in candidates)

    def test_unknown_links_keep_the_order(self):
        candidates = [Candidate(node=name, failure_domain="a") for name in "cab"]
        assert FastLinkOrder().arrange(candidates) == ["c", "a", "b"]


class _IgnoringSink(TableSink):
    def replace(self, rows, *, is_after_outage):
        pass

    def change(self, rows, *, is_after_outage):
        pass


class TestHistory:
    async def test_a_follower_that_lags_gets_only_the_newest_state_of_a_row(self):
        """Several versions of a large row filled the memory of its reader, and each of
        its followers got all of them.
        """
        mirror = TableMirror(
            sink=_IgnoringSink(),
            relevant_content=lambda key, value: value,
            clock=_LoopClock(),
        )
        mirror.replace([], is_after_outage=False)
        mirror.confirm(1, 0.0)
        for version in range(2, 6):
            row = Row(key="config", value=b"%d" % version, version=version)
            mirror.change([row], is_after_outage=False)
            mirror.confirm(version, 0.0)
        found = await mirror.follow(1, 0.0)
        assert isinstance(found, Changes)
        assert [row.version for row in found.rows] == [5]


class _LoopClock:
    def boottime(self) -> float:
        return asyncio.get_running_loop().time()
