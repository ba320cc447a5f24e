"""Exchanges with the platform: deadlines, a bounded queue, retries, typed failures."""

from __future__ import annotations

import abc
import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..http.client import HttpClient, NotSent
from ..http.messages import Response
from ..metrics import Metrics
from ..types import Address
from . import storewire
from .backoff import Breaker, RetryBudget, full_jitter, sane_retry_after

DEFAULT_RETRY_AFTER = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The platform was not reached or refused: certainly without effect.

    Parameters
    ----------
    reason : str
        A stable word for the cause.
    detail : str
        A sentence for a person.
    retry_after : float
        Seconds from now after which asking again is worth while.
    is_told : bool
        Whether the platform itself named that time; it is not asked sooner then.
    """

    reason: str
    detail: str = ""
    retry_after: float = DEFAULT_RETRY_AFTER
    is_told: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class InDoubt:
    """The write may or may not have had its effect, now or later."""

    reason: str
    detail: str = ""


_Tried = Result[Response, Unavailable | InDoubt]


class Exchanger(abc.ABC):
    """Makes exchanges with the platform; ``deadline`` is loop time in seconds."""

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
        """Make an exchange; one that is not repeatable may end `InDoubt`."""

    @abc.abstractmethod
    def note_bad_answer(self, kind: str, problem: str) -> None:
        """Record that an answer could not be understood."""

    async def send_transaction(
        self, body: bytes, deadline: float
    ) -> Result[Response, Unavailable | InDoubt]:
        """Send the store a transaction, once."""
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
        """Make a repeatable exchange that must be answered by an allowed status."""
        made = await self.exchange(
            kind, method, path, body=body, deadline=deadline, is_repeatable=True
        )
        match made:
            case Ok(res) if res.status in allowed:
                return Ok(res)
            case Ok(res):
                return Err(Unavailable(reason=f"status_{res.status}"))
            case Err(Unavailable() as failure):
                return Err(failure)
            case Err(in_doubt):
                return Err(Unavailable(reason=in_doubt.reason, detail=in_doubt.detail))


class PlatformClient(Exchanger):
    """Exchanges with the platform.

    Parameters
    ----------
    addresses : tuple of Address
        Where the platform listens; the next one is taken after a failure.
    http : HttpClient
        Makes the exchanges.
    clock : Clock
        Its monotonic time must be the loop's.
    rng : random.Random
        Draws the waits before retries.
    metrics : Metrics or None
        Where calls are counted, by kind and outcome.
    n_in_flight : int
        Exchanges at one time.
    n_waiting : int
        Calls that may wait for their turn; more are refused at once, so that a slow
        platform can't fill this process's memory.
    try_seconds : float
        The longest that one try may take, in seconds.
    budget : RetryBudget or None
        Bounds retries; a share of the first tries by default.
    breaker : Breaker or None
        Keeps calls off a platform that fails; the usual one by default.
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
        self._n_moves = 0
        self._http = http
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._slots = asyncio.Semaphore(n_in_flight)
        self._n_waiting = 0
        self._most_waiting = n_waiting
        self._try_seconds = try_seconds
        self._budget = budget or RetryBudget()
        self._breaker = breaker or Breaker(rng=rng)

    @property
    def address(self) -> Address:
        """Return the address that the next try goes to."""
        return self._addresses[self._n_moves % len(self._addresses)]

    @property
    def is_down(self) -> bool:
        """Return whether the platform has lately failed again and again."""
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
        """Make an exchange, with retries as far as they are safe and in budget."""
        began_at = self._clock.monotonic()
        made = await self._exchange(
            kind, method, path, body, deadline, is_repeatable=is_repeatable
        )
        if self._metrics is not None:
            seconds = self._clock.monotonic() - began_at
            self._metrics.observe("platform_call", seconds, kind=kind)
        return made

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
        if self._n_waiting >= self._most_waiting:
            return self._end(kind, Err(Unavailable(reason="queue_full")))
        self._n_waiting += 1
        try:
            async with asyncio.timeout_at(deadline):
                await self._slots.acquire()
        except TimeoutError:
            return self._end(kind, Err(Unavailable(reason="queue_deadline")))
        finally:
            self._n_waiting -= 1

        def attempt(until: float) -> Awaitable[_Tried]:
            return self._try(method, path, body, until, is_repeatable)

        try:
            return self._end(kind, await self._with_retries(attempt, deadline))
        finally:
            self._slots.release()

    def note_bad_answer(self, kind: str, problem: str) -> None:
        """Record that an answer could not be understood."""
        log_message("platform:bad_answer", kind=kind, problem=problem)
        if self._metrics is not None:
            self._metrics.count("bad_input", peer="platform", problem=kind)

    async def _with_retries(
        self, attempt: Callable[[float], Awaitable[_Tried]], deadline: float
    ) -> Result[Response, Unavailable | InDoubt]:
        self._budget.note_first_try()
        n_failures = 0
        while True:
            wait = self._breaker.wait_seconds(self._clock.monotonic())
            if wait is not None:
                return Err(Unavailable(reason="platform_down", retry_after=wait))
            until = min(deadline, self._clock.monotonic() + self._try_seconds)
            tried = await attempt(until)
            if not isinstance(tried, Err):
                return Ok(tried.ok_value)
            failure = tried.err_value
            if isinstance(failure, InDoubt) or failure.is_told:
                return Err(failure)
            n_failures += 1
            pause = full_jitter(self._rng, n_failures)
            is_late = self._clock.monotonic() + pause >= deadline
            if is_late or not self._budget.take():
                return Err(failure)
            await asyncio.sleep(pause)

    async def _try(
        self, method: str, path: str, body: bytes, until: float, is_repeatable: bool
    ) -> Result[Response, Unavailable | InDoubt]:
        """Make one try and note what it tells of the platform's health."""
        try:
            made = await self._http.request(
                self.address, method, path, body=body, deadline=until
            )
        except BaseException:
            self._breaker.note_abandoned()
            raise
        if isinstance(made, Ok) and made.ok_value.status < 500:
            self._breaker.note_success()
            return Ok(made.ok_value)
        self._breaker.note_failure(self._clock.monotonic())
        self._n_moves += 1
        if isinstance(made, Ok):
            return Err(_failure_of_answer(made.ok_value, is_repeatable))
        error = made.err_value
        if isinstance(error, NotSent) or is_repeatable:
            return Err(Unavailable(reason=error.reason, detail=error.detail))
        return Err(InDoubt(reason=error.reason, detail=error.detail))

    def _end(
        self, kind: str, made: Result[Response, Unavailable | InDoubt]
    ) -> Result[Response, Unavailable | InDoubt]:
        if self._metrics is not None:
            outcome = "answered"
            if isinstance(made, Err):
                is_doubt = isinstance(made.err_value, InDoubt)
                outcome = "in_doubt" if is_doubt else made.err_value.reason
            self._metrics.count("platform_calls", kind=kind, outcome=outcome)
        return made


def _failure_of_answer(res: Response, is_repeatable: bool) -> Unavailable | InDoubt:
    reason = f"status_{res.status}"
    if res.status in storewire.NOT_DONE:
        retry_after = _retry_after(res)
        if retry_after is None:
            return Unavailable(reason=reason)
        return Unavailable(
            reason=reason, retry_after=sane_retry_after(retry_after), is_told=True
        )
    if is_repeatable:
        return Unavailable(reason=reason)
    # Any other 5xx may come from something in between, after the write went through.
    return InDoubt(reason=reason)


def _retry_after(res: Response) -> float | None:
    try:
        return float(res.headers.get("retry-after", ""))
    except ValueError:
        return None
