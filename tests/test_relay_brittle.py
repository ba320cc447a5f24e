"""All nodes together make no brittle endpoint refuse more than it can."""

from __future__ import annotations

import pytest

from standins.worker import Brittleness, PlainWorker
from tests.fuzzseeds import fleet_sizes
from tests.limitrig import CONTACT_SECONDS, EndpointFleet, run_endpoint_fleet


async def add_brittle(
    rig: EndpointFleet, n_refusals: int, n_endpoints: int = 3
) -> list[PlainWorker]:
    """Start brittle endpoints that at first let many requests wait."""
    endpoints = [await rig.add_endpoint() for _ in range(n_endpoints)]
    for endpoint in endpoints:
        brittle = Brittleness(n_refusals=n_refusals, n_waiting=1_000)
        endpoint.brittleness = brittle
        row = endpoint.row("desk", slots=brittle.n_slots)
        rig.fleet.store.put("servers", endpoint.worker_id, row)
    return endpoints


def shrink_queues(endpoints: list[PlainWorker]) -> None:
    """Let no request wait at the endpoints from now on."""
    for endpoint in endpoints:
        assert endpoint.brittleness is not None
        endpoint.brittleness.n_waiting = 0


def n_falls(endpoints: list[PlainWorker]) -> int:
    """Return how often the endpoints fell over."""
    return sum(len(one.brittleness.fell_at) for one in endpoints if one.brittleness)


class TestBrittleEndpoints:
    @pytest.mark.parametrize(
        ("n_nodes", "n_refusals"), [(12, 3), (12, 10), *((n, 3) for n in fleet_sizes())]
    )
    def test_all_nodes_together_keep_them_from_falling_over(
        self, n_nodes: int, n_refusals: int
    ):
        # Each node chose by its own requests; endpoints' refusals bounded them all.
        async def steps(rig: EndpointFleet) -> None:
            endpoints = await add_brittle(rig, n_refusals)
            await rig.traffic(50.0).run(CONTACT_SECONDS)
            shrink_queues(endpoints)
            # The endpoints run 120 requests a second at most.
            callers = rig.traffic(160.0)
            await callers.run(3.0)
            assert n_falls(endpoints) <= 2 + 0.1 * len(endpoints)
            assert callers.n_served >= 0.6 * 120.0 * 3.0

        run_endpoint_fleet(n_nodes, steps)
