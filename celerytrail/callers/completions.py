"""``POST /v1/completions`` and ``POST /v1/chat/completions``."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import partial
from typing import Any

from eliot import current_action
from result import Err, Ok, Result

from ..clock import Clock
from ..configuration.current import Configuration
from ..configuration.document import ModelSpec
from ..engines.prefixes import estimate_tokens
from ..engines.streams import StreamLost
from ..exceptions import PeerError
from ..http.server import Responder
from ..log import task_headers
from ..metrics import Metrics
from ..policies.grants import Admitter
from ..types import Finding
from .answers import send_findings, send_lost, send_start_error
from .bodies import GenerationBody, read_body
from .cleanup import GenerationCleanup, abandon_on_disconnect
from .context import Context
from .delivery import Delivery, collect_tokens, deliver_events
from .disconnects import DisconnectHandler
from .shapes import SHAPES, AnswerMetadata, EventWriter
from .starting import (
    RETRY_AFTER_SECONDS,
    GenerationFailed,
    GenerationStarter,
    StartedGeneration,
    StartError,
    StartRequest,
)
from .tickets import Ticket, TicketSigner

N_MAX_WHOLE_ATTEMPTS = 3
# Reasons of a lost stream after which a non-streamed answer isn't restarted elsewhere.
FINAL_LOSS_REASONS = ("deadline", "cancelled", "too_large")


class CompletionRoutes:
    """Starts generations and sends their tokens to the callers.

    Parameters
    ----------
    configuration : Configuration
        Lists models and adapters.
    starter : GenerationStarter
        Starts generations.
    admitter : Admitter
        Gets the progress of each generation.
    cleanup : GenerationCleanup
        Releases what ended generations hold.
    disconnects : DisconnectHandler
        Cancels generations whose callers have disconnected.
    tickets : TicketSigner
        Issues tickets.
    metrics : Metrics
        Counts refusals and measures the time to the first token.
    clock : Clock
        Source of monotonic time for deadlines and of wall time for dates.
    queue_seconds, ticket_seconds : float
        How long a request may wait for an engine, and how long a ticket is valid, in
        seconds.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        starter: GenerationStarter,
        admitter: Admitter,
        cleanup: GenerationCleanup,
        disconnects: DisconnectHandler,
        tickets: TicketSigner,
        metrics: Metrics,
        clock: Clock,
        queue_seconds: float,
        ticket_seconds: float,
    ) -> None:
        self._configuration = configuration
        self._starter = starter
        self._admitter = admitter
        self._cleanup = cleanup
        self._disconnects = disconnects
        self._tickets = tickets
        self._metrics = metrics
        self._clock = clock
        self._queue_seconds = queue_seconds
        self._ticket_seconds = ticket_seconds

    async def answer(self, ctx: Context, res: Responder, shape: str) -> None:
        """Answer one completion request.

        Parameters
        ----------
        ctx : Context
            The request.
        res : Responder
            Where the answer is sent.
        shape : str
            ``completion`` or ``chat``.
        """
        parsed = read_body(shape, ctx.req.body)
        if isinstance(parsed, Err):
            await send_findings(res, parsed.err_value, ctx.headers)
            return
        checked = self._check_body(ctx, parsed.ok_value)
        if isinstance(checked, Err):
            await send_findings(res, [checked.err_value], ctx.headers)
            return
        req = checked.ok_value
        received_at = self._clock.monotonic()
        started = await self._start(req, res)
        if started is None:
            return
        if isinstance(started, Err):
            await self._refuse(res, started.err_value, ctx)
            return
        seconds = self._clock.monotonic() - received_at
        self._metrics.observe("first_token", seconds)
        if req.body.is_streamed:
            await self._send_stream(ctx, res, req, started.ok_value)
        else:
            await self._send_whole(ctx, res, req, started.ok_value)

    def _check_body(
        self, ctx: Context, body: GenerationBody
    ) -> Result[StartRequest, Finding]:
        """Check a body against the document and return the request to start."""
        model_name, _, adapter = body.model.partition(":")
        model = self._find_model(ctx, model_name, adapter)
        if model is None:
            problem = f"{body.model!r} is no model that you may use"
            return Err(Finding(place="model", problem=problem))
        n_free_tokens = model.n_context_tokens - estimate_tokens(body.prompt)
        if n_free_tokens < 1:
            place = "messages" if body.shape == "chat" else "prompt"
            problem = f"fills the model's {model.n_context_tokens} tokens of context"
            return Err(Finding(place=place, problem=problem))
        now = self._clock.monotonic()
        deadline = ctx.deadline
        if body.timeout_seconds is not None:
            deadline = min(deadline, now + body.timeout_seconds)
        action = current_action()
        return Ok(
            StartRequest(
                request_id=ctx.request_id,
                organisation=ctx.organisation,
                model=model_name,
                adapter=adapter,
                body=body,
                n_max_tokens=min(body.n_max_tokens or n_free_tokens, n_free_tokens),
                queue_deadline=now + self._queue_seconds,
                deadline=deadline,
                headers=task_headers(action) if action is not None else {},
            )
        )

    def _find_model(self, ctx: Context, name: str, adapter: str) -> ModelSpec | None:
        document = self._configuration.current.document
        allowed = ctx.organisation.models
        if allowed and name not in allowed:
            return None
        adapters = {a.name for a in document.adapters if a.model == name}
        if adapter and adapter not in adapters:
            return None
        return next((m for m in document.models if m.name == name), None)

    async def _start(
        self, req: StartRequest, res: Responder, excluded: tuple[str, ...] = ()
    ) -> Result[StartedGeneration, StartError] | None:
        """Start a generation; return None if the caller disconnects first."""
        task = asyncio.get_running_loop().create_task(
            self._starter.start(req, excluded)
        )
        try:
            futures: list[asyncio.Future[Any]] = [task, res.lost]
            await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
        finally:
            if not task.done():
                # Otherwise the generation would run on for a disconnected caller.
                task.cancel()
        if not task.done():
            return None
        result = task.result()
        if res.is_lost and isinstance(result, Ok):
            started = result.ok_value
            self._disconnects.handle(started.stream, started.grant, can_return=False)
            return None
        return result

    async def _refuse(self, res: Responder, problem: StartError, ctx: Context) -> None:
        self._metrics.count("refusals", reason=problem.reason)
        await send_start_error(res, problem, ctx.headers)

    async def _send_stream(
        self,
        ctx: Context,
        res: Responder,
        req: StartRequest,
        started: StartedGeneration,
    ) -> None:
        ticket = self._issue_ticket(ctx, req, started)
        writer = EventWriter(
            shape=SHAPES[req.body.shape],
            head=self._answer_head(req, started),
            ticket=ticket,
        )
        delivery = self._delivery(started, ticket)
        res.lost.add_done_callback(abandon_on_disconnect(started.stream))
        try:
            outcome = await deliver_events(
                delivery,
                res,
                writer,
                ctx.headers,
                is_new=True,
                does_include_usage=req.body.does_include_usage,
            )
        except PeerError:
            self._disconnects.handle(started.stream, started.grant, can_return=True)
            raise
        except BaseException:
            self._cleanup.abandon(started.stream, started.grant)
            raise
        self._cleanup.on_end(started.stream, started.grant, outcome)

    async def _send_whole(
        self,
        ctx: Context,
        res: Responder,
        req: StartRequest,
        started: StartedGeneration,
    ) -> None:
        excluded: tuple[str, ...] = ()
        for n_left in reversed(range(N_MAX_WHOLE_ATTEMPTS)):
            collected = await self._collect_answer(res, req, started)
            if collected is None:
                return
            if isinstance(collected, Ok):
                await res.send_json(200, collected.ok_value, ctx.headers)
                return
            lost = collected.err_value
            if lost.reason in FINAL_LOSS_REASONS or not n_left:
                await send_lost(res, replace(lost, can_resume=False), "", ctx.headers)
                return
            # The caller has received no token, so another engine may start again.
            excluded = (*excluded, started.engine.name)
            restarted = await self._start(req, res, excluded)
            if restarted is None:
                return
            if isinstance(restarted, Err):
                await self._refuse(res, _as_generation_failed(restarted.err_value), ctx)
                return
            started = restarted.ok_value

    async def _collect_answer(
        self, res: Responder, req: StartRequest, started: StartedGeneration
    ) -> Result[dict[str, object], StreamLost] | None:
        """Collect the complete answer; return None if the caller disconnects first."""
        res.lost.add_done_callback(abandon_on_disconnect(started.stream))
        try:
            collected = await collect_tokens(self._delivery(started, ""))
        except BaseException:
            self._disconnects.handle(started.stream, started.grant, can_return=False)
            raise
        if isinstance(collected, Ok):
            tokens, finished = collected.ok_value
            self._cleanup.on_end(started.stream, started.grant, finished)
            head = self._answer_head(req, started)
            return Ok(SHAPES[req.body.shape].response(head, tokens, finished))
        if collected.err_value.reason == "abandoned":
            self._disconnects.handle(started.stream, started.grant, can_return=False)
            return None
        self._cleanup.on_end(
            started.stream, started.grant, collected.err_value, can_return=False
        )
        return Err(collected.err_value)

    def _delivery(self, started: StartedGeneration, ticket: str) -> Delivery:
        return Delivery(
            stream=started.stream,
            first=started.first,
            ticket=ticket,
            on_progress=partial(self._admitter.progress, started.grant),
        )

    def _answer_head(
        self, req: StartRequest, started: StartedGeneration
    ) -> AnswerMetadata:
        prefix = SHAPES[req.body.shape].answer_prefix
        return AnswerMetadata(
            answer_id=f"{prefix}{started.grant.grant_id}",
            model=req.body.model,
            created=int(self._clock.wall()),
        )

    def _issue_ticket(
        self, ctx: Context, req: StartRequest, started: StartedGeneration
    ) -> str:
        return self._tickets.issue(
            Ticket(
                organisation=ctx.organisation.name,
                engine=started.engine.name,
                incarnation=started.stream.incarnation,
                address=str(started.stream.address),
                generation_id=started.grant.grant_id,
                model=req.body.model,
                shape=req.body.shape,
                expires_at=self._clock.wall() + self._ticket_seconds,
            )
        )


def _as_generation_failed(problem: StartError) -> StartError:
    """Return the error as `GenerationFailed`, as an earlier attempt had started."""
    if isinstance(problem, GenerationFailed):
        return problem
    return GenerationFailed(
        reason=problem.reason,
        detail=problem.detail,
        retry_after=problem.retry_after or RETRY_AFTER_SECONDS,
    )
