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
from .context import Context
from .delivery import Delivery, deliver_events, gather
from .endings import Endings, abandoner
from .leavers import Leavers
from .shapes import SHAPES, AnswerHead, EventWriter
from .starting import (
    RETRY_AFTER_SECONDS,
    GenerationFailed,
    GenerationStarter,
    Started,
    StartError,
    StartRequest,
)
from .tickets import Ticket, TicketSigner

N_WHOLE_TRIES = 3
# Losses after which a whole answer isn't begun anew elsewhere.
FINAL_LOSSES = ("deadline", "cancelled", "too_large")


class CompletionRoutes:
    """Starts generations and gives them to their callers.

    Parameters
    ----------
    configuration : Configuration
        Names models, adapters and organisations.
    starter : GenerationStarter
        Starts generations.
    admitter : Admitter
        Told of progress and ends.
    endings : Endings
        Frees what ended generations held.
    leavers : Leavers
        Takes over generations whose callers have gone.
    tickets : TicketSigner
        Names streams.
    metrics : Metrics
        Counts refusals and first tokens.
    clock : Clock
        Of deadlines and of dates.
    queue_seconds, ticket_seconds : float
        How long a request may wait for an engine, and a ticket holds.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        starter: GenerationStarter,
        admitter: Admitter,
        endings: Endings,
        leavers: Leavers,
        tickets: TicketSigner,
        metrics: Metrics,
        clock: Clock,
        queue_seconds: float,
        ticket_seconds: float,
    ) -> None:
        self._configuration = configuration
        self._starter = starter
        self._admitter = admitter
        self._ends = endings
        self._leavers = leavers
        self._tickets = tickets
        self._metrics = metrics
        self._clock = clock
        self._queue_seconds = queue_seconds
        self._ticket_seconds = ticket_seconds

    async def answer(self, ctx: Context, res: Responder, shape: str) -> None:
        """Answer one request."""
        read = read_body(shape, ctx.req.body)
        if isinstance(read, Err):
            await send_findings(res, read.err_value, ctx.headers)
            return
        planned = self._plan(ctx, read.ok_value)
        if isinstance(planned, Err):
            await send_findings(res, [planned.err_value], ctx.headers)
            return
        req = planned.ok_value
        asked_at = self._clock.monotonic()
        started = await self._start(req, res)
        if started is None:
            return
        if isinstance(started, Err):
            await self._refuse(res, started.err_value, ctx)
            return
        seconds = self._clock.monotonic() - asked_at
        self._metrics.observe("first_token", seconds)
        if req.body.is_streamed:
            await self._stream(ctx, res, req, started.ok_value)
        else:
            await self._whole(ctx, res, req, started.ok_value)

    def _plan(
        self, ctx: Context, body: GenerationBody
    ) -> Result[StartRequest, Finding]:
        """Check a body against the document."""
        model_name, _, adapter = body.model.partition(":")
        model = self._find_model(ctx, model_name, adapter)
        if model is None:
            problem = f"{body.model!r} is no model that you may use"
            return Err(Finding(place="model", problem=problem))
        n_room = model.n_context_tokens - estimate_tokens(body.prompt)
        if n_room < 1:
            place = "messages" if body.shape == "chat" else "prompt"
            problem = f"fills the model's {model.n_context_tokens} tokens of context"
            return Err(Finding(place=place, problem=problem))
        now = self._clock.monotonic()
        deadline = ctx.deadline
        if body.timeout is not None:
            deadline = min(deadline, now + body.timeout)
        action = current_action()
        return Ok(
            StartRequest(
                request_id=ctx.request_id,
                organisation=ctx.organisation,
                model=model_name,
                adapter=adapter,
                body=body,
                n_max_tokens=min(body.n_max_tokens or n_room, n_room),
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
    ) -> Result[Started, StartError] | None:
        """Start a generation; None where the caller left before it had begun."""
        task = asyncio.get_running_loop().create_task(
            self._starter.start(req, excluded)
        )
        try:
            either: list[asyncio.Future[Any]] = [task, res.lost]
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
        finally:
            if not task.done():
                # Without this a generation would go on for a caller who has gone.
                task.cancel()
        if not task.done():
            return None
        result = task.result()
        if res.is_lost and isinstance(result, Ok):
            started = result.ok_value
            self._leavers.note(started.stream, started.grant, can_return=False)
            return None
        return result

    async def _refuse(self, res: Responder, problem: StartError, ctx: Context) -> None:
        self._metrics.count("refusals", reason=problem.reason)
        await send_start_error(res, problem, ctx.headers)

    async def _stream(
        self, ctx: Context, res: Responder, req: StartRequest, started: Started
    ) -> None:
        ticket = self._issue(ctx, req, started)
        writer = EventWriter(
            shape=SHAPES[req.body.shape], head=self._head(req, started), ticket=ticket
        )
        delivery = self._delivery(started, ticket)
        res.lost.add_done_callback(abandoner(started.stream))
        try:
            last = await deliver_events(
                delivery,
                res,
                writer,
                ctx.headers,
                is_new=True,
                does_include_usage=req.body.does_include_usage,
            )
        except PeerError:
            self._leavers.note(started.stream, started.grant, can_return=True)
            raise
        except BaseException:
            self._ends.give_up(started.stream, started.grant)
            raise
        self._ends.note(started.stream, started.grant, last)

    async def _whole(
        self, ctx: Context, res: Responder, req: StartRequest, started: Started
    ) -> None:
        excluded: tuple[str, ...] = ()
        for n_left in reversed(range(N_WHOLE_TRIES)):
            got = await self._gather(res, req, started)
            if got is None:
                return
            if isinstance(got, Ok):
                await res.send_json(200, got.ok_value, ctx.headers)
                return
            lost = got.err_value
            if lost.reason in FINAL_LOSSES or not n_left:
                await send_lost(res, replace(lost, can_resume=False), "", ctx.headers)
                return
            # The caller has no token yet, so another engine may begin anew.
            excluded = (*excluded, started.engine.name)
            again = await self._start(req, res, excluded)
            if again is None:
                return
            if isinstance(again, Err):
                await self._refuse(res, _may_have_run(again.err_value), ctx)
                return
            started = again.ok_value

    async def _gather(
        self, res: Responder, req: StartRequest, started: Started
    ) -> Result[dict[str, object], StreamLost] | None:
        """Return the whole answer; None where the caller left before it was there."""
        res.lost.add_done_callback(abandoner(started.stream))
        try:
            gathered = await gather(self._delivery(started, ""))
        except BaseException:
            self._leavers.note(started.stream, started.grant, can_return=False)
            raise
        if isinstance(gathered, Ok):
            tokens, finished = gathered.ok_value
            self._ends.note(started.stream, started.grant, finished)
            head = self._head(req, started)
            return Ok(SHAPES[req.body.shape].whole(head, tokens, finished))
        if gathered.err_value.reason == "abandoned":
            self._leavers.note(started.stream, started.grant, can_return=False)
            return None
        self._ends.note(started.stream, started.grant, gathered.err_value)
        return Err(gathered.err_value)

    def _delivery(self, started: Started, ticket: str) -> Delivery:
        return Delivery(
            stream=started.stream,
            first=started.first,
            ticket=ticket,
            progress=partial(self._admitter.progress, started.grant),
        )

    def _head(self, req: StartRequest, started: Started) -> AnswerHead:
        prefix = SHAPES[req.body.shape].answer_prefix
        return AnswerHead(
            answer_id=f"{prefix}{started.grant.grant_id}",
            model=req.body.model,
            created=int(self._clock.wall()),
        )

    def _issue(self, ctx: Context, req: StartRequest, started: Started) -> str:
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


def _may_have_run(problem: StartError) -> StartError:
    """Take back a "not run" where an earlier try had begun."""
    if isinstance(problem, GenerationFailed):
        return problem
    return GenerationFailed(
        reason=problem.reason,
        detail=problem.detail,
        retry_after=problem.retry_after or RETRY_AFTER_SECONDS,
    )
