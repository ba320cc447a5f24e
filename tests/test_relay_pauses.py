"""Endpoints that ask a node for a pause get no more requests from it meanwhile."""

from __future__ import annotations

import asyncio

import pytest

from tests.fuzzseeds import fleet_sizes
from tests.limitrig import now
from tests.statementrig import StatementFleet, run_statement_fleet

ENGINE_ROUTES = ("draft", "check")


def rate(n_nodes: int) -> float:
    """Return the requests per second: enough for each node to meet a pause."""
    return max(60.0, 2.0 * n_nodes)


async def add_endpoints(rig: StatementFleet, n_endpoints: int) -> None:
    for _ in range(n_endpoints):
        await rig.add_endpoint()


class TestPlainEndpoints:
    @pytest.mark.parametrize("n_nodes", [12, *fleet_sizes()])
    def test_all_endpoints_ask_at_once(self, n_nodes: int):
        # Refusals only raised a moving average; once all refused, all were asked again.
        async def steps(rig: StatementFleet) -> None:
            await add_endpoints(rig, 3)
            callers = rig.first_tries(rate(n_nodes))
            sending = asyncio.ensure_future(callers.run(14.0))
            await asyncio.sleep(1.0)
            await rig.shed(rig.endpoints, 5.0, "4")
            ended_at = now()
            await sending
            assert rig.broken == []
            last = callers.between(ended_at + 6.0, now())
            assert last and all(one.is_served for one in last)
            rig.check_executions(callers.tries)

        run_statement_fleet(n_nodes, steps)

    @pytest.mark.parametrize("n_nodes", [12, *fleet_sizes()])
    def test_each_refuses_part_of_its_requests(self, n_nodes: int):
        # Endpoints that serve most requests were asked again in the pause.
        async def steps(rig: StatementFleet) -> None:
            await add_endpoints(rig, 5)
            callers = rig.first_tries(rate(n_nodes))
            sending = asyncio.ensure_future(callers.run(12.0))
            await asyncio.sleep(1.0)
            await rig.shed(rig.endpoints, 8.0, "3", share=0.4)
            await sending
            assert rig.broken == []
            rig.check_executions(callers.tries)

        run_statement_fleet(n_nodes, steps)


class TestEngines:
    def test_two_of_six_engines_ask(self):
        # Each generation was tried at both engines first, and placed at a third.
        async def steps(rig: StatementFleet) -> None:
            engines = [await rig.add_engine() for _ in range(6)]
            await asyncio.sleep(1.0)
            callers = rig.first_tries(20.0, routes=ENGINE_ROUTES)
            sending = asyncio.ensure_future(callers.run(14.0))
            await asyncio.sleep(2.0)
            await rig.shed(engines[:2], 8.0, "3")
            await sending
            assert rig.broken == []

        run_statement_fleet(12, steps)


class TestLeaving:
    @pytest.mark.parametrize("n_nodes", [12, *fleet_sizes()])
    def test_an_endpoint_says_so_while_its_row_is_ready(self, n_nodes: int):
        # Only rows and reports were read; the answers went unheard.
        async def steps(rig: StatementFleet) -> None:
            await add_endpoints(rig, 3)
            callers = rig.first_tries(rate(n_nodes))
            sending = asyncio.ensure_future(callers.run(10.0))
            await asyncio.sleep(1.0)
            rig.endpoints[0].is_leaving = True
            await sending
            sent_at = {one.attempt_id: one.sent_at for one in callers.tries}
            assert rig.broken_leavings(sent_at) == []
            rig.check_executions(callers.tries)

        run_statement_fleet(n_nodes, steps)

    def test_an_engine_says_so_while_its_row_is_ready(self):
        # Generations went on to be placed there; runs there move off.
        async def steps(rig: StatementFleet) -> None:
            engines = [await rig.add_engine() for _ in range(3)]
            await asyncio.sleep(1.0)
            callers = rig.first_tries(10.0, routes=ENGINE_ROUTES)
            sending = asyncio.ensure_future(callers.run(10.0))
            await asyncio.sleep(2.0)
            engines[0].is_leaving = True
            await sending
            sent_at = {one.attempt_id: one.sent_at for one in callers.tries}
            assert rig.broken_leavings(sent_at) == []
            assert all(one.is_served for one in callers.tries)

        run_statement_fleet(12, steps)


class TestThroughOtherNodes:
    @pytest.mark.parametrize("is_leaving", [False, True])
    def test_the_node_in_the_middle_keeps_what_it_was_told(self, is_leaving: bool):
        # The endpoint sees the node in the middle, which passed its answers on unread.
        async def steps(rig: StatementFleet) -> None:
            await add_endpoints(rig, 3)
            cut = range(0, 12, 2)
            callers = rig.first_tries(60.0)
            sending = asyncio.ensure_future(callers.run(14.0))
            await asyncio.sleep(1.0)
            cut_at = now()
            rig.cut(cut, "reset")
            await asyncio.sleep(3.0)
            rig.excuse(cut, cut_at)
            if is_leaving:
                rig.endpoints[0].is_leaving = True
                await asyncio.sleep(5.0)
            else:
                await rig.shed(rig.endpoints, 5.0, "4")
            rig.mend(cut)
            await sending
            sent_at = {one.attempt_id: one.sent_at for one in callers.tries}
            assert rig.broken == []
            assert rig.broken_leavings(sent_at) == []
            rig.check_executions(callers.tries)

        run_statement_fleet(12, steps)
