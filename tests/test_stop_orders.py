"""The orders to stop a run, and what they say of the end of its stream."""

from __future__ import annotations

import asyncio

import pytest

from celerytrail.policies.runstops import (
    OrderEffect,
    StreamEnd,
    judge_end,
    judge_order,
)
from celerytrail.relay.stoporders import StopOrders
from tests.test_run_stops_ends import SOURCE as ENGINE
from tests.test_run_stops_ends import TARGET as OTHER


class TestJudgeOrder:
    @pytest.mark.parametrize(
        ("status", "has_copy", "was_sent", "effect"),
        [
            (200, True, True, OrderEffect.STOPPED),
            (503, True, True, OrderEffect.STOPPED),
            (404, False, True, OrderEffect.NONE),
            (409, False, True, OrderEffect.NONE),
            (None, False, False, OrderEffect.NONE),
            (None, False, True, OrderEffect.UNKNOWN),
            (503, False, True, OrderEffect.UNKNOWN),
            (500, False, True, OrderEffect.UNKNOWN),
            (200, False, True, OrderEffect.UNKNOWN),
        ],
    )
    def test_only_an_answer_settles_an_order(self, status, has_copy, was_sent, effect):
        """Guards against an order that was lost and counts as one not given."""
        found = judge_order(status=status, has_copy=has_copy, was_sent=was_sent)
        assert found is effect


class TestJudgeEnd:
    @pytest.mark.parametrize(
        ("effects", "end"),
        [
            ([], StreamEnd.ENDED),
            ([OrderEffect.NONE], StreamEnd.ENDED),
            ([None], StreamEnd.PENDING),
            ([None, OrderEffect.UNKNOWN], StreamEnd.UNKNOWN),
            ([OrderEffect.NONE, OrderEffect.UNKNOWN], StreamEnd.UNKNOWN),
            ([OrderEffect.UNKNOWN, OrderEffect.STOPPED], StreamEnd.STOPPED),
            ([None, OrderEffect.STOPPED], StreamEnd.STOPPED),
        ],
    )
    def test_a_run_has_ended_if_nothing_stopped_it(self, effects, end):
        """Guards against a stopped stream that is taken for whole."""
        assert judge_end(effects) is end


class TestStopOrders:
    async def test_an_order_counts_before_it_is_answered(self):
        """Guards against an end that is read before the answer to its order."""
        orders = StopOrders()
        with orders.giving(ENGINE) as order:
            assert orders.judge_end(ENGINE) is StreamEnd.PENDING
            assert orders.judge_end(OTHER) is StreamEnd.ENDED
            order.settle(OrderEffect.STOPPED)
        assert orders.judge_end(ENGINE) is StreamEnd.STOPPED

    async def test_a_refused_order_is_forgotten(self):
        """Guards against whole streams that are cut for an order without effect."""
        orders = StopOrders()
        with orders.giving(ENGINE) as order:
            order.settle(OrderEffect.NONE)
        assert orders.judge_end(ENGINE) is StreamEnd.ENDED

    async def test_a_cancelled_order_may_have_been_read(self):
        """Guards against an order that arrives after its sender gave it up."""
        orders = StopOrders()

        async def give() -> None:
            with orders.giving(ENGINE):
                await asyncio.sleep(10.0)

        giving = asyncio.ensure_future(give())
        await asyncio.sleep(0)
        giving.cancel()
        await asyncio.wait({giving})
        orders.begin_stream(ENGINE)
        assert orders.judge_end(ENGINE) is StreamEnd.UNKNOWN

    async def test_a_stop_does_not_count_for_the_next_stream(self):
        """Guards against a run that went on at its own engine and is never whole."""
        orders = StopOrders()
        with orders.giving(ENGINE) as order:
            order.settle(OrderEffect.STOPPED)
        orders.begin_stream(ENGINE)
        assert orders.judge_end(ENGINE) is StreamEnd.ENDED

    async def test_an_end_waits_for_the_answers_to_all_orders(self):
        """Guards against a whole stream that is cut before its order is refused."""
        orders = StopOrders()
        with orders.giving(ENGINE) as first, orders.giving(ENGINE) as second:
            awaiting = asyncio.ensure_future(orders.await_end(ENGINE))
            first.settle(OrderEffect.NONE)
            await asyncio.sleep(0)
            assert not awaiting.done()
            second.settle(OrderEffect.NONE)
            assert await awaiting is StreamEnd.ENDED
