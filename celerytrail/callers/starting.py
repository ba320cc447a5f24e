"""Starts generations: admission, the request to an engine, and retries elsewhere.

Until the caller has received its first token, a generation may be restarted at another
engine. After that it may not, as the tokens of two generations are never combined into
one answer.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass

from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..configuration.current import Configuration
from ..configuration.document import EngineSpec, OrganisationSpec
from ..engines.client import EngineClient, OpenError
from ..engines.counters import StreamCounters
from ..engines.prefixes import estimate_tokens, prefix_hashes
from ..engines.reader import TokenReader
from ..engines.streams import EngineStream, StreamLost, StreamPolicy
from ..engines.wire import BadReply, EngineRefused, Finished, GenerateRequest, Tokens
from ..policies.grants import AdmitRequest, Admitter, GenerationEnd, Grant
from ..policies.retries import RetryPolicy
from ..supervision import BackgroundTasks
from ..types import Address, NotRun
from .bodies import GenerationBody

RETRY_AFTER_SECONDS = 2.0

ADMIT_ID_BITS = 128


@dataclass(frozen=True, kw_only=True, slots=True)
class GenerationFailed:
    """No token was received, and at least one engine may have started the generation.

    Parameters
    ----------
    reason, detail : str
        Why the last attempt failed.
    retry_after : float
        Seconds after which the caller may retry.
    """

    reason: str
    detail: str = ""
    retry_after: float = RETRY_AFTER_SECONDS


@dataclass(frozen=True, kw_only=True, slots=True)
class StartRequest:
    """A validated request of an authenticated organisation.

    Parameters
    ----------
    request_id : str
        The caller's request id.
    organisation : OrganisationSpec
        The organisation that sent the request.
    model, adapter : str
        The model and the adapter to use; an empty adapter for none.
    body : GenerationBody
        The request's body.
    n_max_tokens : int
        Maximum number of tokens to generate, bounded by the model's context.
    queue_deadline, deadline : float
        Monotonic seconds until which the request may wait for an engine, and until
        which it must have ended.
    headers : Mapping
        Headers to send to the engine, such as the log's task id.
    """

    request_id: str
    organisation: OrganisationSpec
    model: str
    adapter: str
    body: GenerationBody
    n_max_tokens: int
    queue_deadline: float
    deadline: float
    headers: Mapping[str, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class StartedGeneration:
    """A generation of which the first tokens, or the end, have been received."""

    grant: Grant
    stream: EngineStream
    first: Tokens | Finished
    engine: EngineSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class _FailedAttempt:
    """An attempt at one engine that returned no token.

    Parameters
    ----------
    engine : str
        The engine's name in the document.
    reason, detail : str
        Why the attempt failed.
    is_not_run : bool
        Whether the engine certainly didn't start the generation.
    is_final : bool
        Whether no other engine should be tried.
    """

    engine: str
    reason: str
    detail: str
    is_not_run: bool
    is_final: bool = False


StartError = NotRun | GenerationFailed
DEADLINE_PASSED = NotRun(
    reason="deadline",
    detail="the deadline passed before an engine was asked",
    retry_after=RETRY_AFTER_SECONDS,
)


class GenerationStarter:
    """Starts generations and opens streams.

    Parameters
    ----------
    configuration : Configuration
        Lists the engines.
    admitter : Admitter
        Decides when and on which engine a generation starts.
    client : EngineClient
        Sends requests to engines.
    retries : RetryPolicy
        Decides about each attempt after the first, with a retry budget per
        organisation.
    clock, rng, policy, counters
        Passed to each stream.
    tasks : BackgroundTasks
        Runs the cancels of generations that are no longer wanted.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        admitter: Admitter,
        client: EngineClient,
        retries: RetryPolicy,
        clock: Clock,
        rng: random.Random,
        policy: StreamPolicy,
        counters: StreamCounters,
        tasks: BackgroundTasks,
    ) -> None:
        self._configuration = configuration
        self._admitter = admitter
        self._client = client
        self._retries = retries
        self._clock = clock
        self._rng = rng
        self._policy = policy
        self._counters = counters
        self._tasks = tasks

    async def start(
        self, req: StartRequest, excluded: tuple[str, ...] = ()
    ) -> Result[StartedGeneration, StartError]:
        """Start a generation, trying other engines until one returns tokens.

        Parameters
        ----------
        req : StartRequest
            What to generate.
        excluded : tuple of str
            Engines that are not tried.
        """
        key = req.organisation.name
        self._retries.on_first_attempt(key)
        may_have_run = False
        n_attempts = 0
        while True:
            n_attempts += 1
            if self._clock.monotonic() >= req.deadline:
                return Err(_start_error(DEADLINE_PASSED, may_have_run))
            admitted = await self._admit(req, excluded)
            if isinstance(admitted, Err):
                return Err(_start_error(admitted.err_value, may_have_run))
            attempt = await self._attempt(req, admitted.ok_value)
            if isinstance(attempt, StartedGeneration):
                return Ok(attempt)
            may_have_run |= not attempt.is_not_run
            excluded = (*excluded, attempt.engine)
            not_run = NotRun(reason=attempt.reason, detail=attempt.detail)
            if attempt.is_final:
                return Err(_start_error(not_run, may_have_run))
            now = self._clock.monotonic()
            decision = self._retries.decide(
                key,
                n_attempts=n_attempts,
                not_run=not_run,
                deadline=min(req.deadline, req.queue_deadline),
                now=now,
            )
            if isinstance(decision, NotRun):
                return Err(_start_error(decision, may_have_run))
            await asyncio.sleep(decision.at - now)

    def open(
        self,
        *,
        address: Address,
        generation_id: str,
        incarnation: str,
        offset: int,
        deadline: float,
        headers: Mapping[str, str],
        reader: TokenReader | None = None,
    ) -> EngineStream:
        """Return a stream of a started generation, from an offset on."""
        return EngineStream(
            client=self._client,
            clock=self._clock,
            rng=self._rng,
            policy=self._policy,
            counters=self._counters,
            address=address,
            generation_id=generation_id,
            incarnation=incarnation,
            offset=offset,
            reader=reader,
            deadline=deadline,
            headers=headers,
        )

    async def _admit(
        self, req: StartRequest, excluded: tuple[str, ...]
    ) -> Result[Grant, NotRun]:
        # The caller's request id can't be used here. Two callers may send the same
        # one, and the second would then be given the first one's grant, and with it
        # another organisation's answer.
        admit_id = f"{self._rng.getrandbits(ADMIT_ID_BITS):032x}"
        return await self._admitter.admit(
            AdmitRequest(
                request_id=admit_id,
                organisation=req.organisation.name,
                model=req.model,
                adapter=req.adapter,
                n_prompt_tokens=estimate_tokens(req.body.prompt),
                n_max_tokens=req.n_max_tokens,
                priority=req.organisation.priority,
                weight=req.organisation.weight,
                prefixes=prefix_hashes(req.body.prompt),
                queue_deadline=min(req.queue_deadline, req.deadline),
                excluded=excluded,
            )
        )

    async def _attempt(
        self, req: StartRequest, grant: Grant
    ) -> StartedGeneration | _FailedAttempt:
        """Try the granted engine once; finish the grant unless it returns tokens."""
        log_message("callers:granted", engine=grant.engine, grant=grant.grant_id)
        engine = self._find_engine(grant.engine)
        if engine is None:
            # The home and this node have different versions of the document.
            self._admitter.finish(grant, 0, "not_run")
            return _FailedAttempt(
                engine=grant.engine,
                reason="engine_not_in_document",
                detail=f"{grant.engine} is not in the document in force here",
                is_not_run=True,
            )
        if self._clock.monotonic() >= req.deadline:
            # The request waited for its grant past the caller's deadline.
            self._admitter.finish(grant, 0, "not_run")
            return _FailedAttempt(
                engine=grant.engine,
                reason=DEADLINE_PASSED.reason,
                detail=DEADLINE_PASSED.detail,
                is_not_run=True,
                is_final=True,
            )
        address = Address.parse(engine.address)
        end: GenerationEnd = "cancelled"
        try:
            attempt = await self._start_at_engine(req, grant, engine, address)
            if isinstance(attempt, StartedGeneration):
                return attempt
            end = "not_run" if attempt.is_not_run else "lost"
        except asyncio.CancelledError:
            # The caller has disconnected and can't resume, as it has no ticket yet.
            self._cancel(address, grant)
            self._admitter.finish(grant, 0, "cancelled")
            raise
        if not attempt.is_not_run:
            self._cancel(address, grant)
        self._admitter.finish(grant, 0, end)
        return attempt

    async def _start_at_engine(
        self, req: StartRequest, grant: Grant, engine: EngineSpec, address: Address
    ) -> StartedGeneration | _FailedAttempt:
        """Send the request to an engine and wait for the first tokens."""
        opened = await self._client.generate(
            address,
            self._generate_order(req, grant),
            deadline=min(
                req.deadline, self._clock.monotonic() + self._policy.head_seconds
            ),
            request_deadline=req.deadline,
            headers=req.headers,
        )
        if isinstance(opened, Err):
            return self._open_failure(engine, opened.err_value)
        reader = opened.ok_value
        stream = self.open(
            address=address,
            generation_id=grant.grant_id,
            incarnation=reader.incarnation,
            offset=0,
            deadline=req.deadline,
            headers=req.headers,
            reader=reader,
        )
        try:
            first = await stream.next()
        except asyncio.CancelledError:
            stream.abandon()
            raise
        if isinstance(first, Err):
            return self._stream_failure(engine, first.err_value)
        return StartedGeneration(
            grant=grant, stream=stream, first=first.ok_value, engine=engine
        )

    def _open_failure(self, engine: EngineSpec, problem: OpenError) -> _FailedAttempt:
        is_not_run = isinstance(problem, EngineRefused)
        if isinstance(problem, BadReply):
            self._counters.bad_replies[problem.reason] += 1
        log_message(
            "callers:engine_failed",
            engine=engine.name,
            reason=problem.reason,
            not_run=is_not_run,
        )
        return _FailedAttempt(
            engine=engine.name,
            reason=f"engine_{problem.reason}",
            detail=f"engine {engine.name}: {problem.reason}",
            is_not_run=is_not_run,
        )

    def _stream_failure(self, engine: EngineSpec, lost: StreamLost) -> _FailedAttempt:
        log_message("callers:engine_lost", engine=engine.name, reason=lost.reason)
        return _FailedAttempt(
            engine=engine.name,
            reason=lost.reason,
            detail=f"engine {engine.name} was lost before its first token",
            is_not_run=False,
            is_final=lost.reason in ("deadline", "abandoned"),
        )

    def _generate_order(self, req: StartRequest, grant: Grant) -> GenerateRequest:
        return GenerateRequest(
            generation_id=grant.grant_id,
            model=req.model,
            adapter=req.adapter,
            prompt=req.body.prompt,
            n_max_tokens=req.n_max_tokens,
            priority=req.organisation.priority,
            organisation=req.organisation.name,
            sampling=req.body.sampling,
        )

    def _cancel(self, address: Address, grant: Grant) -> None:
        """Cancel a generation that may have started, without waiting for the reply."""
        deadline = self._clock.monotonic() + self._policy.head_seconds
        self._tasks.spawn(
            self._client.cancel(address, grant.grant_id, deadline=deadline)
        )

    def _find_engine(self, name: str) -> EngineSpec | None:
        engines = self._configuration.current.document.engines
        return next((engine for engine in engines if engine.name == name), None)


def _start_error(not_run: NotRun, may_have_run: bool) -> StartError:
    """Return "not run" only if no engine can have started the generation."""
    if not may_have_run:
        return not_run
    return GenerationFailed(
        reason=not_run.reason,
        detail=not_run.detail,
        retry_after=not_run.retry_after or RETRY_AFTER_SECONDS,
    )
