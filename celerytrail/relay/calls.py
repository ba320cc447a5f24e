"""Relays requests to plain endpoints and repeats only those that may be repeated."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from result import Err, Ok

from ..http.client import HttpClient, NotSent, RequestLost
from ..http.messages import Response
from ..model import Prompt, Registration, RouteKind
from ..platform import wire
from ..policies.crashsuspects import LostRun
from ..policies.endpointchoice import EndpointChoice
from ..policies.pace import AnswerKind
from ..policies.retrybudget import SharedRetryBudget
from .crashes.watch import CrashWatch
from .endpointanswers import MAX_REFUSAL_BYTES, EndpointAnswers
from .endpointgate import ENDPOINT_LIMITED, Admission, EndpointGate, reason_of
from .endpointpaces import EndpointPaces
from .exchange import (
    CallerDisconnectedError,
    Exchange,
    NodeStoppedError,
    failure_status,
    refuse,
    seconds_until,
)
from .outcomes import (
    BROKEN_OFF,
    CONNECT_REFUSED,
    CONNECT_TIMEOUT,
    TIMEOUT,
    UNREACHABLE_REASONS,
    Failed,
    NotExecuted,
)
from .registry import Registry
from .shutdown import STOPPED, STOPPING, Shutdown

# Share of the target after which a repeatable request is also sent to a second
# endpoint. Most answers take a sixth of the target, so the rest suffices for a second.
HEDGE_SHARE = 0.45
# Connect timeout before another endpoint is tried, in seconds.
CONNECT_SECONDS = 0.25
# Share of the target for which a request waits for room within endpoints' limits, or
# for a connection if there is no other endpoint, and the longest wait for the next
# chance, in seconds.
WAIT_SHARE = 0.5
MAX_POLL_SECONDS = 0.1
# Endpoints that a request may be sent to while none has executed it.
MAX_TRIED_ENDPOINTS = 3
# Retry-After when all endpoints refused, in seconds.
BUSY_RETRY_SECONDS = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """A complete answer of an endpoint's own."""

    endpoint: str
    res: Response
    # What the endpoint had stated when it was chosen.
    inputs: dict[str, float] = field(default_factory=dict)


Outcome = Answered | NotExecuted | Failed


@dataclass(kw_only=True, slots=True)
class _Attempts:
    """The attempts at one request.

    ``tried`` holds the endpoints, ``n_maybe_executed`` counts the ended attempts that
    an endpoint may have executed, ``n_sent`` those that an endpoint received, and
    ``n_refused`` those whose connections were refused. ``slow`` holds the endpoints to
    which connecting took too long, until they are tried once more as the last ones.
    """

    tried: set[str] = field(default_factory=set)
    pending: set[asyncio.Task[Outcome]] = field(default_factory=set)
    n_maybe_executed: int = 0
    n_sent: int = 0
    n_refused: int = 0
    slow: set[str] = field(default_factory=set)
    are_slow_ones_left: bool = False

    @property
    def n_tried(self) -> int:
        """Return how many endpoints were tried that may be up.

        The registration of a crashed endpoint remains for seconds, and must not keep a
        request from those that are up.
        """
        return len(self.tried) - self.n_refused

    def try_slow_ones_again(self) -> bool:
        """Allow the slow endpoints once more, and return whether there are any."""
        if not self.slow or self.are_slow_ones_left:
            return False
        self.tried -= self.slow
        self.are_slow_ones_left = True
        return True

    def record(self, outcome: Outcome) -> None:
        """Count an attempt by its outcome."""
        self.n_refused += _is_refused(outcome)
        if not isinstance(outcome, NotExecuted):
            self.n_maybe_executed += 1
            self.n_sent += 1
        elif outcome.was_sent:
            self.n_sent += 1


class PlainCalls:
    """Relays requests to plain endpoints.

    Parameters
    ----------
    client : HttpClient
        Sends requests to endpoints.
    registry : Registry
        Lists them.
    choice : EndpointChoice
        Chooses among them.
    budget : SharedRetryBudget
        Bounds repeated requests.
    gate : EndpointGate
        Whether an endpoint may receive a request now.
    answers : EndpointAnswers
        Records what endpoints state in their answers.
    paces : EndpointPaces
        Told how endpoints answer.
    watch : CrashWatch
        Finds out why an endpoint broke off an answer.
    shutdown : Shutdown
        Which requests can end before this process is killed.
    on_begun, on_whole : callable
        Called with the prompt of a request that was answered.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        registry: Registry,
        choice: EndpointChoice,
        budget: SharedRetryBudget,
        gate: EndpointGate,
        answers: EndpointAnswers,
        paces: EndpointPaces,
        watch: CrashWatch,
        shutdown: Shutdown,
        on_begun: Callable[[Prompt], None],
        on_whole: Callable[[Prompt], None],
    ) -> None:
        self._client = client
        self._registry = registry
        self._choice = choice
        self._budget = budget
        self._gate = gate
        self._answers = answers
        self._paces = paces
        self._watch = watch
        self._shutdown = shutdown
        self._on_begun = on_begun
        self._on_whole = on_whole
        self.n_open = 0

    async def relay(self, ex: Exchange) -> None:
        """Answer a request with the answer of an endpoint of its service."""
        now = asyncio.get_running_loop().time()
        self._budget.record_request(ex.service, now)
        is_repeatable = ex.route.kind is RouteKind.IDEMPOTENT
        send = self._send_repeatable if is_repeatable else self._send_unrepeatable
        outcome: Outcome
        try:
            with self._shutdown.watch() as stopped:
                outcome = await ex.run_while_connected(send(ex), stopped)
        except CallerDisconnectedError:
            ex.log("caller_gone")
            return
        except NodeStoppedError:
            outcome = Failed(reason=STOPPED)
        if isinstance(outcome, NotExecuted) and not ex.can_end():
            outcome = NotExecuted(reason=STOPPING)
        await self._send_answer(ex, outcome)

    async def _send_answer(self, ex: Exchange, outcome: Outcome) -> None:
        attempt = ex.facts.attempt_id
        match outcome:
            case Answered(endpoint=endpoint, res=res, inputs=inputs):
                ex.log("answered", endpoint=endpoint, status=res.status, **inputs)
                ex.observe("relay_answer")
                headers = wire.answer_headers(res.headers)
                await ex.res.send(res.status, res.body, headers)
            case NotExecuted(reason=reason, retry_at=retry_at):
                ex.log("refused", reason=reason)
                if reason == STOPPING:
                    retry_after = self._shutdown.retry_seconds
                else:
                    retry_at = retry_at or self._return_at(ex)
                    retry_after = seconds_until(retry_at, BUSY_RETRY_SECONDS)
                await refuse(
                    ex.res, 503, reason, attempt_id=attempt, retry_after=retry_after
                )
            case Failed(reason=reason):
                status = failure_status(reason)
                ex.log("failed", reason=reason, status=status)
                await refuse(ex.res, status, reason, attempt_id=attempt)

    async def _send_unrepeatable(self, ex: Exchange) -> Outcome:
        """Send a request that must run only once, until an endpoint accepts it."""
        attempts = _Attempts()
        outcome: Outcome | None = None
        while attempts.n_tried < MAX_TRIED_ENDPOINTS:
            admission = await self._choose_endpoint(
                ex, attempts, is_repeat=attempts.n_sent > 0
            )
            if admission is None:
                break
            outcome = await self._start_attempt(ex, attempts, admission)
            # Another endpoint may be tried only if this one states that it hasn't
            # executed the request, or if no byte of it was sent.
            if not isinstance(outcome, NotExecuted):
                break
            attempts.record(outcome)
        return outcome or self._unsent(ex)

    async def _send_repeatable(self, ex: Exchange) -> Outcome:
        """Send a request that may be repeated, and hedge slow or failed attempts."""
        attempts = _Attempts()
        failure: Outcome | None = None
        try:
            while attempts.pending or await self._begin_attempt(ex, attempts):
                for task in await self._wait_or_hedge(ex, attempts):
                    attempts.pending.discard(task)
                    outcome = task.result()
                    if isinstance(outcome, Answered) and outcome.res.status < 500:
                        return outcome
                    attempts.record(outcome)
                    failure = _more_informative(failure or outcome, outcome)
            return failure or self._unsent(ex)
        finally:
            for task in attempts.pending:
                task.cancel()

    async def _begin_attempt(self, ex: Exchange, attempts: _Attempts) -> bool:
        """Begin one more attempt if the limits allow it and an endpoint is left."""
        n_attempts = attempts.n_maybe_executed + len(attempts.pending)
        if (
            attempts.n_tried >= MAX_TRIED_ENDPOINTS
            or n_attempts >= ex.route.max_attempts
        ):
            return False
        is_repeat = attempts.n_sent > 0 or bool(attempts.pending)
        admission = await self._choose_endpoint(ex, attempts, is_repeat=is_repeat)
        if admission is None:
            return False
        attempts.pending.add(self._start_attempt(ex, attempts, admission))
        return True

    def _start_attempt(
        self, ex: Exchange, attempts: _Attempts, admission: Admission
    ) -> asyncio.Task[Outcome]:
        attempts.tried.add(admission.reg.endpoint)
        connect_seconds = CONNECT_SECONDS
        if attempts.are_slow_ones_left:
            seconds_left = WAIT_SHARE * ex.route.target_latency_seconds - ex.age_seconds
            connect_seconds = max(CONNECT_SECONDS, seconds_left)
        attempt = asyncio.ensure_future(self._attempt(ex, admission, connect_seconds))
        ended = functools.partial(self._on_ended, attempts, admission)
        attempt.add_done_callback(ended)
        return attempt

    def _on_ended(
        self,
        attempts: _Attempts,
        admission: Admission,
        attempt: asyncio.Task[Outcome],
    ) -> None:
        """Give an attempt's admission back, also if it was cancelled at once."""
        outcome = None
        if not attempt.cancelled() and attempt.exception() is None:
            outcome = attempt.result()
        if isinstance(outcome, NotExecuted) and outcome.reason == CONNECT_TIMEOUT:
            attempts.slow.add(admission.reg.endpoint)
        is_refused = isinstance(outcome, NotExecuted) and outcome.was_sent
        self._gate.end(admission, is_refused=is_refused)

    async def _wait_or_hedge(
        self, ex: Exchange, attempts: _Attempts
    ) -> set[asyncio.Task[Outcome]]:
        """Wait for attempts to end; begin a second one when they take long.

        A request that may have crashed an endpoint is at one at a time.

        Returns
        -------
        set of asyncio.Task
            The ended attempts; empty when another one was begun.
        """
        timeout = None
        n_attempts = attempts.n_maybe_executed + len(attempts.pending)
        if n_attempts < ex.route.max_attempts and not self._gate.is_suspect(ex.prompt):
            timeout = HEDGE_SHARE * ex.route.target_latency_seconds
        done, _ = await asyncio.wait(
            attempts.pending, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        if not done and not await self._begin_attempt(ex, attempts):
            done, _ = await asyncio.wait(
                attempts.pending, return_when=asyncio.FIRST_COMPLETED
            )
        return done

    async def _choose_endpoint(
        self, ex: Exchange, attempts: _Attempts, *, is_repeat: bool
    ) -> Admission | None:
        """Choose the next endpoint for a request, within the retry budget.

        The budget bounds what endpoints receive, and a refused connection delivers
        nothing. If refused connections were charged to it, a crashed endpoint's
        registration would use up the budget and callers would be refused.
        """
        loop = asyncio.get_running_loop()
        admission = None
        while admission is None:
            if self._gate.find_block(ex.prompt) is not None or not ex.can_end():
                return None
            usable = self._registry.usable_endpoints(ex.service, ex.binding)
            open_regs = [
                reg for reg in usable if self._gate.is_open_for(reg, ex.home_regions)
            ]
            reg = self._choose_paced(ex, open_regs, usable, attempts.tried)
            if reg is None and await self._wait_for_room(ex, usable, attempts.tried):
                continue
            if reg is None and attempts.try_slow_ones_again():
                continue
            if reg is None:
                return None
            admission = await self._gate.admit(reg, ex.prompt)
        if is_repeat and not self._budget.take(ex.service, loop.time()):
            self._gate.end(admission)
            ex.log("retry_denied")
            return None
        return admission

    def _choose_paced(
        self,
        ex: Exchange,
        regs: list[Registration],
        usable: list[Registration],
        tried: set[str],
    ) -> Registration | None:
        """Return a request's endpoint, one that is held back if there is no other.

        A request that another one refused goes to a paced one first: the others may be
        full, and the pace must not be the reason for a refusal.
        """
        now = asyncio.get_running_loop().time()
        if tried:
            paced = [reg for reg in regs if self._paces.takes_refused(reg)]
            reg = self._choice.choose(paced, tried, now)
            return reg or self._choice.choose(regs, tried, now)
        reg = self._choice.choose(self._gate.find_trial(regs, usable), (), now)
        if reg is not None:
            return reg
        held = self._gate.held_back(regs, usable)
        reg = self._choice.choose(regs, held, now)
        if reg is None and held:
            self._paces.count_bypassed(ex.service)
            reg = self._choice.choose(regs, (), now)
        return reg

    async def _wait_for_room(
        self, ex: Exchange, usable: list[Registration], tried: set[str]
    ) -> bool:
        """Wait until an endpoint has room again; return whether it is worth trying."""
        regs = [reg for reg in usable if reg.endpoint not in tried]
        seconds = self._gate.seconds_until_open(regs)
        if seconds is None or seconds > MAX_POLL_SECONDS:
            return False
        wait_seconds = WAIT_SHARE * ex.route.target_latency_seconds - ex.age_seconds
        if seconds > wait_seconds:
            return False
        await asyncio.sleep(seconds)
        return True

    def _unsent(self, ex: Exchange) -> NotExecuted:
        """Return the outcome of a request for which there was no endpoint."""
        block = self._gate.find_block(ex.prompt)
        if block is not None:
            return NotExecuted(reason=reason_of(block), retry_at=block.ends_at)
        retry_at = self._return_at(ex)
        if retry_at is None:
            return NotExecuted(reason="no_endpoint")
        return NotExecuted(reason=ENDPOINT_LIMITED, retry_at=retry_at)

    def _return_at(self, ex: Exchange) -> float | None:
        """Return when a caller should return if all endpoints are closed now."""
        usable = self._registry.usable_endpoints(ex.service, ex.binding)
        seconds = self._gate.return_seconds(usable)
        if seconds is None:
            return None
        return asyncio.get_running_loop().time() + seconds

    async def _attempt(
        self, ex: Exchange, admission: Admission, connect_seconds: float
    ) -> Outcome:
        reg = admission.reg
        began_at = asyncio.get_running_loop().time()
        inputs = self._choice.inputs(reg.endpoint, began_at)
        self._choice.begin(reg.endpoint, began_at)
        self._paces.begin(reg, began_at)
        times = self._shutdown.answer_times
        times.begin(ex.service, ex.route.name, began_at)
        self.n_open += 1
        outcome: Outcome | None = None
        try:
            outcome = await self._send(ex, admission, connect_seconds)
            if isinstance(outcome, Answered):
                outcome = replace(outcome, inputs=inputs)
            return outcome
        finally:
            self.n_open -= 1
            is_answered = isinstance(outcome, Answered) and outcome.res.status < 500
            now = asyncio.get_running_loop().time()
            self._choice.end(
                reg.endpoint,
                began_at,
                is_failed=outcome is not None and not is_answered,
                is_broken=isinstance(outcome, Failed),
                now=now,
                is_answered=is_answered,
                is_refused=isinstance(outcome, NotExecuted) and outcome.was_sent,
            )
            times.end(ex.service, ex.route.name, began_at, now, is_answered=is_answered)
            kind = _answer_kind(outcome)
            if kind is None:
                self._paces.end(reg, began_at)
            else:
                self._paces.record_answer(reg, ex.route.name, began_at, kind)

    async def _send(
        self, ex: Exchange, admission: Admission, connect_seconds: float
    ) -> Outcome:
        reg = admission.reg
        if ex.seconds_left <= 0:
            return Failed(reason="timeout")
        asked_at = sent_at = asyncio.get_running_loop().time()

        def may_send() -> bool:
            nonlocal sent_at
            sent_at = asyncio.get_running_loop().time()
            return (
                ex.binding.allows(reg)
                and ex.may_send()
                and self._gate.may_begin(admission)
            )

        opened = await self._client.open(
            reg.address,
            ex.req.method,
            ex.target,
            body=ex.req.body,
            headers=functools.partial(_forward_headers, ex, reg),
            deadline=ex.loop_deadline,
            connect_seconds=connect_seconds,
            max_idle=self._gate.max_idle_connections(reg),
            request_id=ex.facts.attempt_id,
            may_send=may_send,
        )
        if isinstance(opened, Err):
            exc = opened.err_value
            was_sent = not isinstance(exc, NotSent)
            _log_failed(ex, reg, exc.reason, was_sent=was_sent)
            if not was_sent:
                return NotExecuted(reason=exc.reason)
            self._record_lost(ex, reg, sent_at, exc.reason)
            return Failed(reason=exc.reason)
        stream = opened.ok_value
        is_not_run = self._answers.read(ex, reg, stream, asked_at)
        if is_not_run:
            await stream.read(ex.loop_deadline, n_max_bytes=MAX_REFUSAL_BYTES)
            return NotExecuted(reason="endpoint_refused", was_sent=True)
        body = await stream.read(ex.loop_deadline)
        if isinstance(body, Ok) and not ex.has_ended_in_time(stream):
            body = Err(RequestLost(reason=TIMEOUT))
        if isinstance(body, Err):
            lost: RequestLost = body.err_value
            _log_failed(ex, reg, lost.reason)
            self._record_lost(ex, reg, sent_at, lost.reason)
            return Failed(reason=lost.reason)
        if not wire.is_sealed_answer(stream.headers):
            _log_failed(ex, reg, "unsealed")
            return Failed(reason="unsealed")
        if stream.status < 500:
            self._on_begun(ex.prompt)
            self._on_whole(ex.prompt)
        res = Response(status=stream.status, headers=stream.headers, body=body.ok_value)
        return Answered(endpoint=reg.endpoint, res=res)

    def _record_lost(
        self, ex: Exchange, reg: Registration, sent_at: float, reason: str
    ) -> None:
        """Record that an endpoint's answer to a request broke off."""
        if reason == BROKEN_OFF:
            run = LostRun(prompt=ex.prompt, sent_at=sent_at)
            self._watch.record_lost(reg, run)


def _forward_headers(ex: Exchange, reg: Registration) -> list[tuple[str, str]]:
    """Return a request's headers for an endpoint, with the time that is left now."""
    facts = wire.ForwardMetadata(
        endpoint=reg.endpoint,
        budget_seconds=ex.seconds_left,
        organisation=ex.organisation,
    )
    return wire.forward_headers(ex.req, facts)


def _log_failed(
    ex: Exchange, reg: Registration, reason: str, *, was_sent: bool = True
) -> None:
    ex.log(
        "attempt_failed",
        endpoint=reg.endpoint,
        address=str(reg.address),
        reason=reason,
        was_sent=was_sent,
        digest=ex.facts.digest,
    )


def _answer_kind(outcome: Outcome | None) -> AnswerKind | None:
    """Return what an outcome tells of its endpoint; None for nothing.

    An attempt that was given up may have met its caller's deadline only.
    """
    match outcome:
        case Answered(res=res):
            return AnswerKind.ANSWERED if res.status < 500 else AnswerKind.FAILED
        case NotExecuted(was_sent=True):
            return AnswerKind.REFUSED
        case NotExecuted(reason=reason):
            return AnswerKind.FAILED if reason in UNREACHABLE_REASONS else None
        case Failed(reason=reason) if reason != "timeout":
            return AnswerKind.FAILED
    return None


def _is_refused(outcome: Outcome) -> bool:
    return isinstance(outcome, NotExecuted) and outcome.reason == CONNECT_REFUSED


def _more_informative(first: Outcome, second: Outcome) -> Outcome:
    """Return the outcome that is more informative to the caller."""
    order = (NotExecuted, Failed, Answered)
    return max(first, second, key=lambda outcome: order.index(type(outcome)))
