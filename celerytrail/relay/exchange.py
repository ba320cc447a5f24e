"""One request of a caller on its way through this node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

from eliot import log_message

from ..clock import Clock
from ..http.messages import Request
from ..http.server import Responder
from ..metrics import Metrics
from ..model import CallerFacts, Route
from ..platform import wire

T = TypeVar("T")


class CallerGoneError(Exception):
    """The caller left; nothing more is to be done for it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Exchange:
    """A request that a route and a key allow.

    Parameters
    ----------
    req, res : Request, Responder
        The request and where its answer goes.
    facts : CallerFacts
        What its head says.
    route : Route
        The route that it is on.
    service : str
        The service that answers it.
    organisation : str or None
        Who holds its key.
    priority : int
        How urgent it is, 0 first.
    arrived_at, deadline : float
        Boot time of its arrival, and until which it must be answered.
    may_pass : callable
        Whether it may be passed on at this moment.
    metrics : Metrics
        Counts its turning points.
    clock : Clock
        Tells how long it has been here.
    """

    req: Request
    res: Responder
    facts: CallerFacts
    route: Route
    service: str
    organisation: str | None
    priority: int
    arrived_at: float
    deadline: float
    may_pass: Callable[[], bool]
    metrics: Metrics
    clock: Clock

    @property
    def seconds_left(self) -> float:
        """Return the time until the deadline."""
        return self.deadline - self.clock.boottime()

    @property
    def loop_deadline(self) -> float:
        """Return the deadline on the event loop's clock."""
        return asyncio.get_running_loop().time() + self.seconds_left

    @property
    def target(self) -> str:
        """Return the path with its query, as the caller sent it."""
        req = self.req
        return f"{req.path}?{req.query}" if req.query else req.path

    def may_send(self) -> bool:
        """Return whether a byte of it may go out; to be asked right before.

        Between a decision and the first byte the process may have stood still: the
        key may have been taken away, or the caller's time may be over.
        """
        return self.may_pass() and self.seconds_left > 0

    def may_go_on(self) -> bool:
        """Return whether a run that an engine has begun may go on at another one.

        A key that was taken away lets no new request through; what runs already is
        finished, as no change cuts work in progress.
        """
        return self.seconds_left > 0

    async def unless_gone(self, work: Coroutine[Any, Any, T]) -> T:
        """Await some work, and cancel it as soon as the caller leaves.

        Raises
        ------
        CallerGoneError
            When the caller left first.
        """
        task = asyncio.ensure_future(work)
        waiting: list[asyncio.Future[Any]] = [task, self.res.lost]
        try:
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            task.cancel()
            raise
        if task.done():
            return task.result()
        task.cancel()
        await asyncio.wait({task})
        raise CallerGoneError

    def observe(self, name: str) -> None:
        """Add the time since its arrival to a histogram."""
        self.observe_seconds(name, self.clock.boottime() - self.arrived_at)

    def observe_seconds(self, name: str, seconds: float) -> None:
        """Add a time of this request to a histogram."""
        self.metrics.observe(name, seconds, route=self.route.name)

    def log(self, event: str, **fields: object) -> None:
        """Write a line about this request, and count it by its cause."""
        cause = fields.get("reason", fields.get("status", ""))
        self.metrics.count("relay_events", event=event, cause=str(cause))
        log_message(
            f"relay:{event}",
            request=self.facts.attempt_id,
            route=self.route.name,
            age=round(self.clock.boottime() - self.arrived_at, 4),
            **fields,
        )


async def refuse(
    res: Responder,
    status: int,
    reason: str,
    *,
    attempt_id: str = "",
    retry_after: float | None = None,
    close: bool = False,
) -> None:
    """Send a final answer of this node's own."""
    headers = {}
    if attempt_id:
        headers[wire.ATTEMPT_HEADER] = attempt_id
    if retry_after is not None:
        headers["retry-after"] = f"{retry_after:g}"
    if close:
        res.is_closing = True
    await res.send_json(status, {"error": {"type": reason}}, headers)
