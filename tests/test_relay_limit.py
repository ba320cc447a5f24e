"""Endpoints get no more requests from all nodes together than the limit they state."""

from __future__ import annotations

import pytest

from tests.limitrig import (
    CONTACT_SECONDS,
    WINDOW_SECONDS,
    EndpointFleet,
    allowed,
    now,
    run_endpoint_fleet,
)


class TestStatedLimit:
    @pytest.mark.parametrize("limit", [1.0, 2.2])
    def test_all_nodes_together_keep_it(self, limit: float):
        # Two of three endpoints state a limit, which no node read.
        async def steps(rig: EndpointFleet) -> None:
            limited = [await rig.add_endpoint() for _ in range(2)]
            await rig.add_endpoint()
            traffic = rig.traffic(36.0)
            await traffic.run(2.0)
            for endpoint in limited:
                endpoint.request_limit = limit
            stated_at = now()
            await traffic.run(12.0)
            for endpoint in limited:
                n_most = endpoint.max_requests(
                    seconds=WINDOW_SECONDS, since=stated_at + CONTACT_SECONDS
                )
                assert n_most <= allowed(limit)

        run_endpoint_fleet(12, steps)
