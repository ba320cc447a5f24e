"""Starts generations: admission, the engine, and another engine where one is lost.

Until the caller has its first token nothing is promised to it, so a generation may be
begun anew at another engine. After that it may not: two generations are never spliced.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine, Mapping
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
from ..engines.wire import BadReply, EngineRefused, Finished, GenerateOrder, Tokens
from ..policies.grants import AdmitRequest, Admitter, GenerationEnd, Grant
from ..policies.retries import RetryPolicy
from ..types import Address, NotRun
from .bodies import GenerationBody

RETRY_AFTER_SECONDS = 2.0

OWN_ID_BITS = 128


@dataclass(frozen=True, kw_only=True, slots=True)
class GenerationFailed:
    """No token came, and at least one engine may have begun.

    Parameters
    ----------
    reason, detail : str
        What became of the last try.
    retry_after : float
        Seconds after which to come back.
    """

    reason: str
    detail: str = ""
    retry_after: float = RETRY_AFTER_SECONDS


@dataclass(frozen=True, kw_only=True, slots=True)
class StartRequest:
    """A checked request by a known organisation.

    Parameters
    ----------
    request_id : str
        Names the request in logs and towards the admitter.
    organisation : OrganisationSpec
        Who asks.
    model, adapter : str
        What is to answer; an empty adapter for none.
    body : GenerationBody
        What the caller sent.
    n_max_tokens : int
        The most tokens, with the model's room considered.
    queue_deadline, deadline : float
        Monotonic times until which it may wait for an engine, and last in all.
    headers : Mapping
        Sent to the engine, such as the task of the log.
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
class Started:
    """A generation whose first tokens, or whose end, are here."""

    grant: Grant
    stream: EngineStream
    first: Tokens | Finished
    engine: EngineSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class _Failed:
    """One try that brought nothing."""

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


class BackgroundTasks:
    """Tasks that outlive the request that began them, such as cancels."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[object, object, object]) -> None:
        """Run something; what it raises goes to the log, not to nowhere."""
        task = asyncio.get_running_loop().create_task(_logged(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel whatever still runs."""
        for task in self._tasks:
            task.cancel()


class GenerationStarter:
    """Starts generations and opens streams.

    Parameters
    ----------
    configuration : Configuration
        Names the engines.
    admitter : Admitter
        Decides when and where.
    client : EngineClient
        Speaks to engines.
    retries : RetryPolicy
        Its budget, per organisation, pays for each try after the first.
    clock, rng, policy, counters
        Handed to each stream.
    tasks : BackgroundTasks
        Where cancels run.
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
    ) -> Result[Started, StartError]:
        """Return a generation with its first tokens, trying several engines."""
        key = req.organisation.name
        self._retries.first_attempt(key)
        may_have_run = False
        n_attempts = 0
        while True:
            n_attempts += 1
            if self._clock.monotonic() >= req.deadline:
                return Err(_outcome(DEADLINE_PASSED, may_have_run))
            admitted = await self._admit(req, excluded)
            if isinstance(admitted, Err):
                return Err(_outcome(admitted.err_value, may_have_run))
            tried = await self._try(req, admitted.ok_value)
            if isinstance(tried, Started):
                return Ok(tried)
            may_have_run |= not tried.is_not_run
            excluded = (*excluded, tried.engine)
            not_run = NotRun(reason=tried.reason, detail=tried.detail)
            if tried.is_final:
                return Err(_outcome(not_run, may_have_run))
            now = self._clock.monotonic()
            decided = self._retries.decide(
                key,
                n_attempts=n_attempts,
                not_run=not_run,
                deadline=min(req.deadline, req.queue_deadline),
                now=now,
            )
            if isinstance(decided, NotRun):
                return Err(_outcome(decided, may_have_run))
            await asyncio.sleep(decided.at - now)

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
        """Return a stream of a generation that has been started."""
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
        # The caller's own request id must never name anything here: two callers may
        # use the same one, and then the second would be handed the first one's grant,
        # and with it another organisation's answer.
        own_id = f"{self._rng.getrandbits(OWN_ID_BITS):032x}"
        return await self._admitter.admit(
            AdmitRequest(
                request_id=own_id,
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

    async def _try(self, req: StartRequest, grant: Grant) -> Started | _Failed:
        """Try one engine; its grant is freed unless it started."""
        log_message("callers:granted", engine=grant.engine, grant=grant.grant_id)
        engine = self._engine(grant.engine)
        if engine is None:
            # The home has a newer document than this node, or an older one.
            self._admitter.finish(grant, 0, "not_run")
            return _Failed(
                engine=grant.engine,
                reason="engine_not_in_document",
                detail=f"{grant.engine} is not in the document in force here",
                is_not_run=True,
            )
        if self._clock.monotonic() >= req.deadline:
            # It waited for its grant until its caller had given up.
            self._admitter.finish(grant, 0, "not_run")
            return _Failed(
                engine=grant.engine,
                reason=DEADLINE_PASSED.reason,
                detail=DEADLINE_PASSED.detail,
                is_not_run=True,
                is_final=True,
            )
        address = Address.parse(engine.address)
        end: GenerationEnd = "cancelled"
        try:
            tried = await self._begin(req, grant, engine, address)
            if isinstance(tried, Started):
                return tried
            end = "not_run" if tried.is_not_run else "lost"
        except asyncio.CancelledError:
            # The caller has gone and can't come back: it was told no ticket.
            self._cancel(address, grant)
            self._admitter.finish(grant, 0, "cancelled")
            raise
        if not tried.is_not_run:
            self._cancel(address, grant)
        self._admitter.finish(grant, 0, end)
        return tried

    async def _begin(
        self, req: StartRequest, grant: Grant, engine: EngineSpec, address: Address
    ) -> Started | _Failed:
        opened = await self._client.generate(
            address,
            self._order(req, grant),
            deadline=min(
                req.deadline, self._clock.monotonic() + self._policy.head_seconds
            ),
            request_deadline=req.deadline,
            headers=req.headers,
        )
        if isinstance(opened, Err):
            return self._failed_open(engine, opened.err_value)
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
            return self._failed_stream(engine, first.err_value)
        return Started(grant=grant, stream=stream, first=first.ok_value, engine=engine)

    def _failed_open(self, engine: EngineSpec, problem: OpenError) -> _Failed:
        is_not_run = isinstance(problem, EngineRefused)
        if isinstance(problem, BadReply):
            self._counters.bad_replies[problem.reason] += 1
        log_message(
            "callers:engine_failed",
            engine=engine.name,
            reason=problem.reason,
            not_run=is_not_run,
        )
        return _Failed(
            engine=engine.name,
            reason=f"engine_{problem.reason}",
            detail=f"engine {engine.name}: {problem.reason}",
            is_not_run=is_not_run,
        )

    def _failed_stream(self, engine: EngineSpec, lost: StreamLost) -> _Failed:
        log_message("callers:engine_lost", engine=engine.name, reason=lost.reason)
        return _Failed(
            engine=engine.name,
            reason=lost.reason,
            detail=f"engine {engine.name} was lost before its first token",
            is_not_run=False,
            is_final=lost.reason in ("deadline", "abandoned"),
        )

    def _order(self, req: StartRequest, grant: Grant) -> GenerateOrder:
        return GenerateOrder(
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
        """Tell an engine that may have begun that nobody wants its answer."""
        deadline = self._clock.monotonic() + self._policy.head_seconds
        self._tasks.spawn(
            self._client.cancel(address, grant.grant_id, deadline=deadline)
        )

    def _engine(self, name: str) -> EngineSpec | None:
        engines = self._configuration.current.document.engines
        return next((engine for engine in engines if engine.name == name), None)


def _outcome(not_run: NotRun, may_have_run: bool) -> StartError:
    """Say "not run" only where no engine can have begun."""
    if not may_have_run:
        return not_run
    return GenerationFailed(
        reason=not_run.reason,
        detail=not_run.detail,
        retry_after=not_run.retry_after or RETRY_AFTER_SECONDS,
    )


async def _logged(work: Coroutine[object, object, object]) -> None:
    try:
        await work
    except Exception as exc:
        log_message("callers:background_failed", problem=repr(exc))
