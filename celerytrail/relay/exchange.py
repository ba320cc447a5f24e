"""One request of a caller and the state of its processing at this node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

from eliot import log_message

from ..clock import Clock
from ..http.client import Stream
from ..http.messages import Request
from ..http.server import Responder
from ..metrics import Metrics
from ..model import Prompt, RequestMetadata, Route
from ..platform import wire
from ..policies.versionbinding import UNBOUND, VersionBinding
from .shutdown import STOPPED

T = TypeVar("T")

# Reasons for which a request that may have run has no answer: the time ended.
TIMED_OUT_REASONS = ("timeout", "stalled", STOPPED)
# The least Retry-After, in seconds.
MIN_RETRY_SECONDS = 0.01
# Margin of the deadline that endpoints are sent, in seconds: it is sent in whole
# milliseconds, and measured by their own clocks.
LIMIT_MARGIN_SECONDS = 0.01


class CallerDisconnectedError(Exception):
    """The caller has disconnected; its request needs no further work."""


class NodeStoppedError(Exception):
    """The process is about to be killed, and nothing of the answer was sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Exchange:
    """A request that matches a route and has a valid key.

    Parameters
    ----------
    req, res : Request, Responder
        The request and where its answer is written.
    facts : RequestMetadata
        What its headers state.
    route : Route
        The route that it matches.
    service : str
        The service that answers it.
    organisation : str or None
        The organisation that holds its key.
    priority : int
        Its priority; 0 is the most urgent.
    arrived_at, deadline : float
        Boot time of its arrival, and of its deadline.
    gives_up_at : float
        Boot time until which its caller waits, over all of the caller's attempts.
    home_regions : frozenset of str
        The regions whose endpoints may get it; all if empty.
    binding : VersionBinding
        The software version at which it must run, if it takes up a stream.
    is_allowed : callable
        Returns whether its route and key allow it to be sent on at this moment.
    ends_before_kill : callable
        Returns whether it ends before this process is killed if it is sent on now,
        given how many tokens of its answer its caller has.
    metrics : Metrics
        Counts its events.
    clock : Clock
        Measures its age.
    """

    req: Request
    res: Responder
    facts: RequestMetadata
    route: Route
    service: str
    organisation: str | None
    priority: int
    arrived_at: float
    deadline: float
    gives_up_at: float
    is_allowed: Callable[[], bool]
    ends_before_kill: Callable[[int], bool]
    metrics: Metrics
    clock: Clock
    home_regions: frozenset[str] = frozenset()
    binding: VersionBinding = UNBOUND

    @property
    def seconds_left(self) -> float:
        """Return the time until the deadline."""
        return self.deadline - self.clock.boottime()

    @property
    def age_seconds(self) -> float:
        """Return the time since its arrival."""
        return self.clock.boottime() - self.arrived_at

    @property
    def loop_deadline(self) -> float:
        """Return the deadline on the event loop's clock."""
        return asyncio.get_running_loop().time() + self.seconds_left

    @property
    def prompt(self) -> Prompt:
        """Return what its prompt consists of."""
        return Prompt(
            service=self.service,
            shared_parts=self.facts.shared_parts,
            own_part=self.facts.own_part,
            digest=self.facts.digest,
        )

    @property
    def target(self) -> str:
        """Return the path with its query, as the caller sent it."""
        req = self.req
        return f"{req.path}?{req.query}" if req.has_query else req.path

    def can_end(self, n_made_tokens: int = 0) -> bool:
        """Return whether it ends before this process is killed if it is sent on now.

        ``n_made_tokens`` is how many tokens of its answer its caller has.
        """
        return self.ends_before_kill(n_made_tokens)

    def may_send(self, n_made_tokens: int = 0) -> bool:
        """Return whether the request may be sent; checked right before the first byte.

        The process may have been suspended between the decision and the first byte; the
        key may have been revoked or the deadline passed meanwhile. The process may have
        been asked to stop.
        """
        if not self.is_allowed() or self.seconds_left <= 0:
            return False
        return self.can_end(n_made_tokens)

    def can_continue(self) -> bool:
        """Return whether a run that an engine has begun may continue at another one.

        A revoked key blocks new requests only; a run in progress is completed, as no
        change of the configuration interrupts work in progress.
        """
        return self.seconds_left > 0

    def has_ended_in_time(self, stream: Stream) -> bool:
        """Return whether an answer that has just ended is whole.

        An endpoint stops work at the deadline that it was sent. Where a body ends
        with its connection, one that was stopped looks the same as a whole one.
        """
        return stream.is_framed or self.seconds_left > LIMIT_MARGIN_SECONDS

    async def run_while_connected(
        self, work: Coroutine[Any, Any, T], stopped: asyncio.Future[None]
    ) -> T:
        """Await a coroutine, and cancel it as soon as the caller disconnects.

        It is also cancelled if nothing of the answer was sent when ``stopped`` is done.

        Raises
        ------
        CallerDisconnectedError
            If the caller disconnects first.
        NodeStoppedError
            If the process is about to be killed.
        """
        task = asyncio.ensure_future(work)
        waiting: list[asyncio.Future[Any]] = [task, self.res.lost, stopped]
        try:
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            if stopped.done() and self.res.has_begun:
                waiting.remove(stopped)
                await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            task.cancel()
            raise
        if task.done():
            return task.result()
        task.cancel()
        await asyncio.wait({task})
        if self.res.is_lost:
            raise CallerDisconnectedError
        raise NodeStoppedError

    def observe(self, name: str) -> None:
        """Add the time since the request's arrival to a histogram."""
        self.observe_seconds(name, self.age_seconds)

    def observe_seconds(self, name: str, seconds: float) -> None:
        """Add a duration of this request to a histogram."""
        self.metrics.observe(name, seconds, route=self.route.name)

    def log(self, event: str, **fields: object) -> None:
        """Log an event of this request, and count it by its cause."""
        cause = fields.get("reason", fields.get("status", ""))
        self.metrics.count("relay_events", event=event, cause=str(cause))
        log_message(
            f"relay:{event}",
            request=self.facts.attempt_id,
            route=self.route.name,
            age=round(self.age_seconds, 4),
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
    """Send an error answer that this node generates itself."""
    headers = {}
    if attempt_id:
        headers[wire.ATTEMPT_HEADER] = attempt_id
    if retry_after is not None:
        headers["retry-after"] = f"{retry_after:g}"
    if close:
        res.is_closing = True
    await res.send_json(status, {"error": {"type": reason}}, headers)


async def break_off(res: Responder, reason: str, *, attempt_id: str) -> None:
    """End an answer that can't be completed, as an error if nothing of it was sent."""
    if res.has_begun or res.is_lost:
        res.abort()
        return
    await refuse(res, failure_status(reason), reason, attempt_id=attempt_id)


def failure_status(reason: str) -> int:
    """Return the status of a request that may have run and has no answer."""
    return 504 if reason in TIMED_OUT_REASONS else 502


def seconds_until(retry_at: float | None, default: float) -> float:
    """Return the Retry-After for a loop time, or a default if it isn't known."""
    if retry_at is None:
        return default
    seconds = retry_at - asyncio.get_running_loop().time()
    return round(max(MIN_RETRY_SECONDS, seconds), 3)
