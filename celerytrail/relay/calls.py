"""Requests to plain endpoints: whole answers, repeated only where that is allowed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from result import Err

from ..http.client import HttpClient, Lost, NotSent
from ..http.messages import Response
from ..model import Registration, RouteKind
from ..platform import wire
from ..policies.endpointchoice import EndpointChoice
from ..policies.retrybudget import RetryBudget
from .exchange import CallerGoneError, Exchange, refuse
from .registry import Registry

# Share of the target after which a second endpoint is asked as well, where the request
# may be repeated: most answers take a sixth of it, and what is left still suffices.
HEDGE_SHARE = 0.45
# How long to connect, in seconds, before another endpoint is tried.
CONNECT_SECONDS = 0.25
# To how many endpoints a request goes that none of them has run.
MAX_NOT_RUN = 3
# When to come back after all endpoints refused, in seconds.
BUSY_RETRY_SECONDS = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """An endpoint's own whole answer."""

    res: Response


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRunThere:
    """The endpoint has not run the request; ``was_sent`` tells whether it saw it."""

    reason: str
    was_sent: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Broken:
    """The endpoint may have run the request, but no answer can be passed on."""

    reason: str


Outcome = Answered | NotRunThere | Broken


@dataclass(kw_only=True, slots=True)
class _Tries:
    """The tries of one request that may run again.

    ``tried`` are endpoints, ``n_run`` counts tries that may have run there, ``n_sent``
    those that an endpoint got to see.
    """

    tried: set[str] = field(default_factory=set)
    pending: set[asyncio.Task[Outcome]] = field(default_factory=set)
    n_run: int = 0
    n_sent: int = 0

    def note(self, outcome: Outcome) -> None:
        """Note how a try ended."""
        if not isinstance(outcome, NotRunThere):
            self.n_run += 1
            self.n_sent += 1
        elif outcome.was_sent:
            self.n_sent += 1


class PlainCalls:
    """Relays requests to plain endpoints.

    Parameters
    ----------
    client : HttpClient
        Speaks with endpoints.
    registry : Registry
        Knows them.
    choice : EndpointChoice
        Chooses among them.
    budget : RetryBudget
        Bounds what is sent again.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        registry: Registry,
        choice: EndpointChoice,
        budget: RetryBudget,
    ) -> None:
        self._client = client
        self._registry = registry
        self._choice = choice
        self._budget = budget
        self.n_open = 0

    async def relay(self, ex: Exchange) -> None:
        """Answer a request from an endpoint of its service."""
        now = asyncio.get_running_loop().time()
        self._budget.note_request(ex.service, now)
        try:
            if ex.route.kind is RouteKind.IDEMPOTENT:
                outcome = await ex.unless_gone(self._ask_repeatedly(ex))
            else:
                outcome = await ex.unless_gone(self._ask_once(ex))
        except CallerGoneError:
            ex.log("caller_gone")
            return
        await self._answer(ex, outcome)

    async def _answer(self, ex: Exchange, outcome: Outcome) -> None:
        attempt = ex.facts.attempt_id
        match outcome:
            case Answered(res=res):
                ex.log("answered", status=res.status)
                ex.observe("relay_answer")
                headers = wire.answer_headers(res.headers)
                await ex.res.send(res.status, res.body, headers)
            case NotRunThere(reason=reason):
                ex.log("refused", reason=reason)
                await refuse(
                    ex.res,
                    503,
                    reason,
                    attempt_id=attempt,
                    retry_after=BUSY_RETRY_SECONDS,
                )
            case Broken(reason=reason):
                status = 504 if reason in ("timeout", "stalled") else 502
                ex.log("failed", reason=reason, status=status)
                await refuse(ex.res, status, reason, attempt_id=attempt)

    async def _ask_once(self, ex: Exchange) -> Outcome:
        """Send a request that must not run twice, until one endpoint takes it."""
        tried: set[str] = set()
        outcome: Outcome = NotRunThere(reason="no_endpoint")
        n_sent = 0
        while len(tried) < MAX_NOT_RUN:
            reg = self._next(ex, tried, is_repeat=n_sent > 0)
            if reg is None:
                break
            tried.add(reg.endpoint)
            outcome = await self._attempt(ex, reg)
            # Only an endpoint's own word that it has not run the request, or a request
            # of which no byte went out, allows another one to be asked.
            if not isinstance(outcome, NotRunThere):
                break
            n_sent += outcome.was_sent
        return outcome

    async def _ask_repeatedly(self, ex: Exchange) -> Outcome:
        """Send a request that may run again; a slow or failed try gets a second one."""
        tries = _Tries()
        worst: Outcome = NotRunThere(reason="no_endpoint")
        try:
            while tries.pending or self._begin(ex, tries):
                for task in await self._wait(ex, tries):
                    tries.pending.discard(task)
                    outcome = task.result()
                    if isinstance(outcome, Answered) and outcome.res.status < 500:
                        return outcome
                    tries.note(outcome)
                    worst = _better(worst, outcome)
            return worst
        finally:
            for task in tries.pending:
                task.cancel()

    def _begin(self, ex: Exchange, tries: _Tries) -> bool:
        """Begin one more try, where one is allowed and there is an endpoint for it."""
        n_attempts = tries.n_run + len(tries.pending)
        if len(tries.tried) >= MAX_NOT_RUN or n_attempts >= ex.route.max_attempts:
            return False
        is_repeat = tries.n_sent > 0 or bool(tries.pending)
        reg = self._next(ex, tries.tried, is_repeat=is_repeat)
        if reg is None:
            return False
        tries.tried.add(reg.endpoint)
        tries.pending.add(asyncio.ensure_future(self._attempt(ex, reg)))
        return True

    async def _wait(self, ex: Exchange, tries: _Tries) -> set[asyncio.Task[Outcome]]:
        """Wait for tries to end; one that takes long gets a second one beside it.

        Returns those that ended, none where another one was begun.
        """
        timeout = None
        if tries.n_run + len(tries.pending) < ex.route.max_attempts:
            timeout = HEDGE_SHARE * ex.route.target_seconds
        done, _ = await asyncio.wait(
            tries.pending, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        if not done and not self._begin(ex, tries):
            done, _ = await asyncio.wait(
                tries.pending, return_when=asyncio.FIRST_COMPLETED
            )
        return done

    def _next(
        self, ex: Exchange, tried: set[str], *, is_repeat: bool
    ) -> Registration | None:
        """Return where to send a request next, within the budget for repeats.

        The budget bounds what endpoints get to see. A connection that was refused
        showed the endpoint nothing; charged for it, callers would be refused for want
        of budget while a crashed endpoint's row still stands.
        """
        now = asyncio.get_running_loop().time()
        reg = self._choice.choose(self._registry.usable(ex.service), tried, now)
        if reg is None:
            return None
        if is_repeat and not self._budget.take(ex.service, now):
            ex.log("retry_denied")
            return None
        return reg

    async def _attempt(self, ex: Exchange, reg: Registration) -> Outcome:
        self._choice.begin(reg.endpoint)
        self.n_open += 1
        outcome: Outcome | None = None
        try:
            outcome = await self._send(ex, reg)
            return outcome
        finally:
            self.n_open -= 1
            is_failed = outcome is not None and not (
                isinstance(outcome, Answered) and outcome.res.status < 500
            )
            now = asyncio.get_running_loop().time()
            self._choice.end(
                reg.endpoint,
                is_failed=is_failed,
                is_broken=isinstance(outcome, Broken),
                now=now,
            )

    async def _send(self, ex: Exchange, reg: Registration) -> Outcome:
        if ex.seconds_left <= 0:
            return Broken(reason="timeout")
        facts = wire.ForwardFacts(
            endpoint=reg.endpoint,
            budget_seconds=ex.seconds_left,
            organisation=ex.organisation,
        )
        opened = await self._client.open(
            reg.address,
            ex.req.method,
            ex.target,
            body=ex.req.body,
            headers=wire.forward_headers(ex.req, facts),
            deadline=ex.loop_deadline,
            connect_seconds=CONNECT_SECONDS,
            request_id=ex.facts.attempt_id,
            may_send=ex.may_send,
        )
        if isinstance(opened, Err):
            exc = opened.err_value
            ex.log("attempt_failed", endpoint=reg.endpoint, reason=exc.reason)
            if isinstance(exc, NotSent):
                return NotRunThere(reason=exc.reason)
            return Broken(reason=exc.reason)
        stream = opened.ok_value
        body = await stream.read(ex.loop_deadline)
        if isinstance(body, Err):
            lost: Lost = body.err_value
            ex.log("attempt_failed", endpoint=reg.endpoint, reason=lost.reason)
            return Broken(reason=lost.reason)
        if wire.is_not_run(stream.status, stream.headers):
            ex.log("attempt_refused", endpoint=reg.endpoint, status=stream.status)
            return NotRunThere(reason="endpoint_refused", was_sent=True)
        if not wire.is_own_answer(stream.headers):
            ex.log("attempt_failed", endpoint=reg.endpoint, reason="unsealed")
            return Broken(reason="unsealed")
        res = Response(status=stream.status, headers=stream.headers, body=body.ok_value)
        return Answered(res=res)


def _better(one: Outcome, other: Outcome) -> Outcome:
    """Return which of two failed tries tells the caller more."""
    order = (NotRunThere, Broken, Answered)
    return max(one, other, key=lambda outcome: order.index(type(outcome)))
