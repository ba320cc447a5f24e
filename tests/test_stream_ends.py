"""Why a stream doesn't go on at its engine."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from result import Err, Ok

from celerytrail.http.client import RequestLost
from celerytrail.policies.runstops import OrderEffect
from celerytrail.relay.events import EventSplitter
from celerytrail.relay.streamends import END_SECONDS, STOPPED, find_break
from tests.test_run_stops_ends import SOURCE, live_run, run

BROKEN = Err(RequestLost(reason="cut"))


def ended_run(*, is_framed: bool):
    live = live_run(reg=SOURCE, stream=SimpleNamespace(is_framed=is_framed))
    live.ex.seconds_left = 60.0
    live.ex.has_ended_in_time = lambda stream: True
    live.ex.metrics = SimpleNamespace(count=lambda *_, **__: None)
    return live


class TestOpenOrders:
    @pytest.mark.parametrize("is_framed", [False, True])
    @pytest.mark.parametrize(
        ("effect", "reason"),
        [(OrderEffect.STOPPED, STOPPED), (OrderEffect.NONE, "cut")],
    )
    def test_a_broken_stream_waits_for_the_answer_that_names_its_copy(
        self, is_framed, effect, reason
    ):
        """Guards against a run that goes on from a copy which its last one replaces."""

        async def steps():
            live = ended_run(is_framed=is_framed)
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            with live.stop_orders.giving(SOURCE) as order:
                loop.call_later(0.05, order.settle, effect)
                found = await find_break(live, BROKEN, EventSplitter())
            return found, round(loop.time() - began_at, 3)

        assert run(steps) == (reason, 0.05)

    def test_it_does_not_wait_longer_than_callers_do(self):
        """Guards against a pause behind an order that is never answered."""

        async def steps():
            live = ended_run(is_framed=True)
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            with live.stop_orders.giving(SOURCE):
                found = await find_break(live, BROKEN, EventSplitter())
            return found, round(loop.time() - began_at, 3)

        assert run(steps) == (STOPPED, END_SECONDS)

    @pytest.mark.parametrize("is_framed", [False, True])
    def test_a_stream_without_orders_waits_for_nothing(self, is_framed):
        """Guards against pauses at the ends of streams that nobody stopped."""

        async def steps():
            live = ended_run(is_framed=is_framed)
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            found = [
                await find_break(live, chunk, EventSplitter())
                for chunk in (Ok(None), BROKEN)
            ]
            return found, loop.time() - began_at

        assert run(steps) == ([None, "cut"], 0.0)
