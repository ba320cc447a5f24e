"""Records the orders that stop a run, by which the end of its stream is judged."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from ..model import Registration
from ..policies.runstops import OrderEffect, StreamEnd, judge_end

# The start of an engine that doesn't answer; no row has it.
UNKNOWN_START = -1


@dataclass(kw_only=True, slots=True, eq=False)
class StopOrder:
    """An order to an engine to stop a run.

    ``effect`` is a future, done once the order's outcome is known, or known to stay
    unknown. ``is_late`` is set if it was still open when a stream began at the engine,
    so that it may reach any start of it.
    """

    reg: Registration
    is_late: bool = False
    effect: asyncio.Future[OrderEffect] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    @property
    def known_effect(self) -> OrderEffect | None:
        """Return what it has done; None while it is open."""
        return self.effect.result() if self.effect.done() else None

    def concerns(self, reg: Registration) -> bool:
        """Return whether it may stop a run at a start of an engine.

        An engine that starts again knows nothing of what its former start was told.
        """
        if self.reg.address != reg.address:
            return False
        starts = {self.reg.started_at, reg.started_at}
        return self.is_late or len(starts) == 1 or UNKNOWN_START in starts

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
    def giving(self, reg: Registration) -> Iterator[StopOrder]:
        """Record an order while it is given; its outcome is unknown if none is set."""
        order = StopOrder(reg=reg)
        self._orders.append(order)
        try:
            yield order
        finally:
            order.settle(OrderEffect.UNKNOWN)
            if order.known_effect is OrderEffect.NONE:
                self._orders.remove(order)

    def begin_stream(self, reg: Registration) -> None:
        """Record that the run goes on at an engine; earlier stops there are over."""
        self._orders = [
            order
            for order in self._orders
            if order.reg.address != reg.address
            or order.known_effect is not OrderEffect.STOPPED
        ]
        for order in self._orders:
            if order.reg.address == reg.address and order.known_effect is None:
                order.is_late = True

    def judge_end(self, reg: Registration) -> StreamEnd:
        """Return what the orders so far say of a stream that an engine has closed."""
        return judge_end(order.known_effect for order in self._concerning(reg))

    async def await_end(self, reg: Registration) -> StreamEnd:
        """Return the same once no order to the engine is under way any more.

        An order that shows that the run was stopped, or may have been, is enough.
        """
        while (end := self.judge_end(reg)) is StreamEnd.PENDING:
            effects = [order.effect for order in self._concerning(reg)]
            await asyncio.wait(
                [effect for effect in effects if not effect.done()],
                return_when=asyncio.FIRST_COMPLETED,
            )
        return end

    def _concerning(self, reg: Registration) -> list[StopOrder]:
        return [order for order in self._orders if order.concerns(reg)]
