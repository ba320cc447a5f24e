"""Call the platform with deadlines, a bounded queue, retries and typed failures."""

from __future__ import annotations

import abc
import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..http.client import HttpClient, NotSent, Progress
from ..http.messages import Response
from ..metrics import Metrics
from ..types import Address
from . import storewire
from .backoff import Breaker, RetryBudget, clamp_retry_after, full_jitter

DEFAULT_RETRY_AFTER_SECONDS = 1.0
# Longest pause within an answer, and longest time for one that keeps arriving, in
# seconds.
PROGRESS_SECONDS = 0.6
MAX_TRANSFER_SECONDS = 10.0
# Longest time for which no calls are made because the platform asked for it, in
# seconds: it is the only source of the configuration.
MAX_HELD_SECONDS = 60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The platform was not reached or refused the call; it had no effect.

    Parameters
    ----------
    reason : str
        A stable identifier of the cause.
    detail : str
        A readable description.
    retry_after : float
        Seconds from now after which a retry is useful.
    is_retry_after_stated : bool
        Whether the platform stated that time itself; there is no retry before it.
    """

    reason: str
    detail: str = ""
    retry_after: float = DEFAULT_RETRY_AFTER_SECONDS
    is_retry_after_stated: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class InDoubt:
    """The write may or may not take effect, now or later."""

    reason: str
    detail: str = ""


_ExchangeResult = Result[Response, Unavailable | InDoubt]


class Exchanger(abc.ABC):
    """Calls the platform; ``deadline`` is loop time in seconds."""

    @abc.abstractmethod
    async def exchange(
        self,
        kind: str,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        deadline: float,
        is_repeatable: bool,
    ) -> Result[Response, Unavailable | InDoubt]:
        """Send a request; one that is not repeatable may end `InDoubt`."""

    @abc.abstractmethod
    def record_bad_answer(self, kind: str, problem: str) -> None:
        """Record that a response could not be decoded."""

    async def send_transaction(
        self, body: bytes, deadline: float
    ) -> Result[Response, Unavailable | InDoubt]:
        """Send a transaction to the store, without retries after an unclear failure."""
        return await self.exchange(
            "transact",
            "POST",
            storewire.TRANSACT_PATH,
            body=body,
            deadline=deadline,
            is_repeatable=False,
        )

    async def fetch(
        self,
        kind: str,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        deadline: float,
        allowed: tuple[int, ...] = (200,),
    ) -> Result[Response, Unavailable]:
        """Send a repeatable request whose response must have an allowed status."""
        result = await self.exchange(
            kind, method, path, body=body, deadline=deadline, is_repeatable=True
        )
        match result:
            case Ok(res) if res.status in allowed:
                return Ok(res)
            case Ok(res):
                return Err(Unavailable(reason=f"status_{res.status}"))
            case Err(Unavailable() as failure):
                return Err(failure)
            case Err(in_doubt):
                return Err(Unavailable(reason=in_doubt.reason, detail=in_doubt.detail))


class PlatformClient(Exchanger):
    """Calls the platform over HTTP.

    Parameters
    ----------
    addresses : tuple of Address
        Where the platform listens; a failure moves on to the next address.
    http : HttpClient
        Sends the requests.
    clock : Clock
        Its monotonic time must be the event loop's.
    rng : random.Random
        Draws the pauses before retries.
    metrics : Metrics or None
        Counts calls by kind and outcome.
    n_in_flight : int
        Requests in flight at a time.
    n_waiting : int
        Calls that may wait for a slot. Further ones are refused at once, so that a
        slow platform can't exhaust this process's memory.
    try_seconds : float
        Timeout of one try.
    budget : RetryBudget or None
        Limits retries; by default to a share of the first tries.
    breaker : Breaker or None
        Stops calls while the platform fails; by default with the default limits.
    """

    def __init__(
        self,
        *,
        addresses: tuple[Address, ...],
        http: HttpClient,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics | None = None,
        n_in_flight: int = 16,
        n_waiting: int = 512,
        try_seconds: float = 2.0,
        budget: RetryBudget | None = None,
        breaker: Breaker | None = None,
    ) -> None:
        self._addresses = addresses
        self._n_failovers = 0
        self._http = http
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._slots = asyncio.Semaphore(n_in_flight)
        self._n_waiting = 0
        self._max_waiting = n_waiting
        self._try_seconds = try_seconds
        self._budget = budget or RetryBudget()
        self._breaker = breaker or Breaker(rng=rng)
        # By address, the monotonic time until which it asked for no calls.
        self._held_until: dict[Address, float] = {}

    @property
    def address(self) -> Address:
        """Return the address that the next try goes to."""
        return self._addresses[self._n_failovers % len(self._addresses)]

    @property
    def is_down(self) -> bool:
        """Return whether the circuit breaker is open after repeated failures."""
        return self._breaker.is_open

    async def exchange(
        self,
        kind: str,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        deadline: float,
        is_repeatable: bool,
    ) -> Result[Response, Unavailable | InDoubt]:
        """Send a request, with retries where they are safe and within the budget."""
        started_at = self._clock.monotonic()
        result = await self._exchange(
            kind, method, path, body, deadline, is_repeatable=is_repeatable
        )
        if self._metrics is not None:
            seconds = self._clock.monotonic() - started_at
            self._metrics.observe("platform_call", seconds, kind=kind)
        return result

    async def _exchange(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes,
        deadline: float,
        *,
        is_repeatable: bool,
    ) -> Result[Response, Unavailable | InDoubt]:
        if self._n_waiting >= self._max_waiting:
            return self._count_outcome(kind, Err(Unavailable(reason="queue_full")))
        self._n_waiting += 1
        try:
            async with asyncio.timeout_at(deadline):
                await self._slots.acquire()
        except TimeoutError:
            return self._count_outcome(kind, Err(Unavailable(reason="queue_deadline")))
        finally:
            self._n_waiting -= 1

        def attempt(try_deadline: float) -> Awaitable[_ExchangeResult]:
            return self._try_once(method, path, body, try_deadline, is_repeatable)

        try:
            return self._count_outcome(kind, await self._retry_loop(attempt, deadline))
        finally:
            self._slots.release()

    def record_bad_answer(self, kind: str, problem: str) -> None:
        """Log and count a response that could not be decoded."""
        log_message("platform:bad_answer", kind=kind, problem=problem)
        if self._metrics is not None:
            self._metrics.count("bad_input", peer="platform", problem=kind)

    async def _retry_loop(
        self, attempt: Callable[[float], Awaitable[_ExchangeResult]], deadline: float
    ) -> Result[Response, Unavailable | InDoubt]:
        self._budget.record_first_try()
        n_failures = 0
        while True:
            wait = self._breaker.wait_seconds(self._clock.monotonic())
            if wait is not None:
                return Err(Unavailable(reason="platform_down", retry_after=wait))
            held = self._held_until.get(self.address, 0.0) - self._clock.monotonic()
            if held > 0:
                self._breaker.record_abandoned()
                return Err(
                    Unavailable(
                        reason="platform_paused",
                        retry_after=held,
                        is_retry_after_stated=True,
                    )
                )
            try_deadline = min(deadline, self._clock.monotonic() + self._try_seconds)
            result = await attempt(try_deadline)
            if not isinstance(result, Err):
                return Ok(result.ok_value)
            failure = result.err_value
            if isinstance(failure, InDoubt) or failure.is_retry_after_stated:
                return Err(failure)
            n_failures += 1
            pause = full_jitter(self._rng, n_failures)
            is_past_deadline = self._clock.monotonic() + pause >= deadline
            if is_past_deadline or not self._budget.take():
                return Err(failure)
            await asyncio.sleep(pause)

    async def _try_once(
        self,
        method: str,
        path: str,
        body: bytes,
        try_deadline: float,
        is_repeatable: bool,
    ) -> Result[Response, Unavailable | InDoubt]:
        """Try once and record the outcome in the circuit breaker.

        The answer to a repeatable request may exceed the deadline while it arrives.
        """
        progress = None
        if is_repeatable:
            progress = Progress(
                seconds=PROGRESS_SECONDS,
                deadline=self._clock.monotonic() + MAX_TRANSFER_SECONDS,
            )
        address = self.address
        try:
            result = await self._http.request(
                address,
                method,
                path,
                body=body,
                deadline=try_deadline,
                progress=progress,
            )
        except BaseException:
            self._breaker.record_abandoned()
            raise
        if isinstance(result, Ok):
            self._record_pause(address, result.ok_value)
        if isinstance(result, Ok) and result.ok_value.status < 500:
            self._breaker.record_success()
            return Ok(result.ok_value)
        self._breaker.record_failure(self._clock.monotonic())
        self._n_failovers += 1
        if isinstance(result, Ok):
            return Err(_failure_of_response(result.ok_value, is_repeatable))
        error = result.err_value
        if isinstance(error, NotSent) or is_repeatable:
            return Err(Unavailable(reason=error.reason, detail=error.detail))
        return Err(InDoubt(reason=error.reason, detail=error.detail))

    def _record_pause(self, address: Address, res: Response) -> None:
        """Record until when a platform that turned a call away wants no others."""
        retry_after = _retry_after(res)
        if res.status not in storewire.NOT_APPLIED_STATUSES or retry_after is None:
            return
        seconds = min(clamp_retry_after(retry_after), MAX_HELD_SECONDS)
        self._held_until[address] = self._clock.monotonic() + seconds
        log_message("platform:paused", address=str(address), seconds=seconds)

    def _count_outcome(
        self, kind: str, result: Result[Response, Unavailable | InDoubt]
    ) -> Result[Response, Unavailable | InDoubt]:
        if self._metrics is not None:
            outcome = "answered"
            if isinstance(result, Err):
                is_in_doubt = isinstance(result.err_value, InDoubt)
                outcome = "in_doubt" if is_in_doubt else result.err_value.reason
            self._metrics.count("platform_calls", kind=kind, outcome=outcome)
        return result


def _failure_of_response(res: Response, is_repeatable: bool) -> Unavailable | InDoubt:
    reason = f"status_{res.status}"
    if res.status in storewire.NOT_APPLIED_STATUSES:
        retry_after = _retry_after(res)
        if retry_after is None:
            return Unavailable(reason=reason)
        return Unavailable(
            reason=reason,
            retry_after=clamp_retry_after(retry_after),
            is_retry_after_stated=True,
        )
    if is_repeatable:
        return Unavailable(reason=reason)
    # Any other 5xx may come from an intermediary after the write was applied.
    return InDoubt(reason=reason)


def _retry_after(res: Response) -> float | None:
    try:
        return float(res.headers.get("retry-after", ""))
    except ValueError:
        return None
