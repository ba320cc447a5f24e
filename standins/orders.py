"""Orders to the stand-in engine, with fencing tokens checked or ignored."""

from __future__ import annotations

import asyncio

import msgspec
from eliot import log_message

from celerytrail.clock import Clock
from celerytrail.http.messages import Request
from celerytrail.http.routes import Params, Router, send_error
from celerytrail.http.server import Responder

from .batch import Batch

MAX_ORDERS = 1_024


class OrderBody(msgspec.Struct, kw_only=True):
    """The body of ``POST /orders``."""

    order_id: str
    kind: str
    fencing: int
    expires_at: float
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class Orders:
    """Accepts orders and applies them to a batch.

    Parameters
    ----------
    batch : Batch
        The batch that the orders change.
    clock : Clock
        Source of the wall time at which orders expire.
    does_honour_fencing : bool
        Whether an order with an old fencing token is refused.
    load_seconds : float
        How long loading a model or an adapter takes.
    """

    def __init__(
        self,
        *,
        batch: Batch,
        clock: Clock,
        does_honour_fencing: bool,
        load_seconds: float,
    ) -> None:
        self._batch = batch
        self._clock = clock
        self._does_honour_fencing = does_honour_fencing
        self._load_seconds = load_seconds
        self._orders: list[dict[str, object]] = []
        self._headers = {"x-engine-incarnation": batch.incarnation}

    def add_routes(self, router: Router) -> None:
        """Add the routes of ``/orders``."""
        router.add("POST", "/orders", self._post_order)
        router.add("GET", "/orders", self._list_orders)

    async def _post_order(self, req: Request, res: Responder, params: Params) -> None:
        try:
            order = msgspec.json.decode(req.body, type=OrderBody)
        except msgspec.MsgspecError as exc:
            await send_error(res, 400, "bad_body", place="body", message=str(exc))
            return
        if order.expires_at < self._clock.wall():
            await res.send_json(410, {"reason": "expired"}, self._headers)
            return
        if self._does_honour_fencing and order.fencing < self._batch.fencing:
            value = {"reason": "old_fencing", "fencing": self._batch.fencing}
            await res.send_json(409, value, self._headers)
            return
        if all(order.order_id != previous["order_id"] for previous in self._orders):
            self._orders.append(msgspec.to_builtins(order))
            del self._orders[:-MAX_ORDERS]
            self._batch.fencing = max(self._batch.fencing, order.fencing)
            await self._apply(order)
        await res.send_json(200, {"order_id": order.order_id}, self._headers)

    async def _apply(self, order: OrderBody) -> None:
        log_message("engine:order", kind=order.kind, fencing=order.fencing)
        if order.kind == "load_model":
            await asyncio.sleep(self._load_seconds)
            self._batch.model = order.model
            self._batch.version = order.version
        elif order.kind == "load_adapter":
            await asyncio.sleep(self._load_seconds)
            if order.adapter not in self._batch.adapters:
                self._batch.adapters.append(order.adapter)
        elif order.kind == "unload_adapter":
            if order.adapter in self._batch.adapters:
                self._batch.adapters.remove(order.adapter)
        elif order.kind == "set_role":
            self._batch.role = order.role

    async def _list_orders(self, req: Request, res: Responder, params: Params) -> None:
        await res.send_json(200, {"orders": self._orders}, self._headers)
