"""Records the orders that stop a run, by which the end of its stream is judged."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from ..policies.runstops import OrderEffect, StreamEnd, judge_end
from ..types import Address


@dataclass(kw_only=True, slots=True, eq=False)
class StopOrder:
    """An order to an engine to stop a run.

    ``effect`` is a future, done once the order's outcome is known, or known to stay
    unknown.
    """

    address: Address
    effect: asyncio.Future[OrderEffect] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def settle(self, effect: OrderEffect) -> None:
        """Record what became of the order."""
        if not self.effect.done():
            self.effect.set_result(effect)


class StopOrders:
    """The orders to stop one run.

    An order is recorded before it is sent. One whose outcome stays unknown may take
    effect at any later time, also on the run's next stream from the same engine.
    """

    def __init__(self) -> None:
        self._orders: list[StopOrder] = []

    @contextmanager
    def giving(self, address: Address) -> Iterator[StopOrder]:
        """Record an order while it is given; its outcome is unknown if none is set."""
        order = StopOrder(address=address)
        self._orders.append(order)
        try:
            yield order
        finally:
            order.settle(OrderEffect.UNKNOWN)
            if order.effect.result() is OrderEffect.NONE:
                self._orders.remove(order)

    def begin_stream(self, address: Address) -> None:
        """Record that the run goes on at an engine; earlier stops there are over."""
        self._orders = [
            order
            for order in self._orders
            if order.address != address
            or not order.effect.done()
            or order.effect.result() is not OrderEffect.STOPPED
        ]

    def judge_end(self, address: Address) -> StreamEnd:
        """Return what the orders so far say of a stream that an engine has closed."""
        return judge_end(
            order.effect.result() if order.effect.done() else None
            for order in self._orders
            if order.address == address
        )

    async def await_end(self, address: Address) -> StreamEnd:
        """Return the same once no order to the engine is under way any more.

        An order that shows that the run was stopped, or may have been, is enough.
        """
        while (end := self.judge_end(address)) is StreamEnd.PENDING:
            effects = [one.effect for one in self._orders if one.address == address]
            await asyncio.wait(
                [effect for effect in effects if not effect.done()],
                return_when=asyncio.FIRST_COMPLETED,
            )
        return end
