"""The callers' API for generations: its routes, and what each request begins with."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from eliot import Action
from result import Err

from ..clock import Clock
from ..configuration.current import Configuration
from ..engines.client import EngineClient
from ..engines.counters import StreamCounters
from ..engines.streams import StreamPolicy
from ..http.messages import Request
from ..http.routes import Params, Router
from ..http.server import Responder
from ..log import TASK_HEADER, continue_task
from ..metrics import Metrics
from ..policies.grants import Admitter
from ..policies.retries import RetryPolicy
from .answers import send_auth_error, send_findings
from .auth import Authenticator
from .completions import CompletionRoutes
from .context import Context, read_deadline, read_request_id
from .endings import Endings
from .generations import GenerationRoutes
from .leavers import RESUME_GRACE_SECONDS, Leavers
from .starting import BackgroundTasks, GenerationStarter
from .tickets import TicketSigner

Answer = Callable[[Context, Responder, Params], Awaitable[None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """How long things may take towards callers, in seconds.

    Parameters
    ----------
    queue_seconds : float
        How long a request may wait for an engine.
    generation_seconds : float
        The most that a request may take in all.
    ticket_seconds : float
        How long a ticket can be used.
    resume_grace_seconds : float
        How long a generation whose caller has gone is left to run.
    """

    queue_seconds: float = 20.0
    generation_seconds: float = 1_800.0
    ticket_seconds: float = 3_600.0
    resume_grace_seconds: float = RESUME_GRACE_SECONDS


class CallersApi:
    """Serves generations to callers.

    Parameters
    ----------
    configuration : Configuration
        Names organisations, models and engines.
    authenticator : Authenticator
        Finds the organisation of a request.
    admitter : Admitter
        Decides when and where generations start.
    engines : EngineClient
        Speaks to engines.
    retries : RetryPolicy
        Pays for tries after the first.
    tickets : TicketSigner
        Names streams.
    metrics : Metrics
        Of this process.
    clock : Clock
        Of all deadlines.
    rng : random.Random
        Of all jitter.
    limits : CallerLimits or None
        How long things may take.
    policy : StreamPolicy or None
        How long streams wait for engines.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        authenticator: Authenticator,
        admitter: Admitter,
        engines: EngineClient,
        retries: RetryPolicy,
        tickets: TicketSigner,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        limits: CallerLimits | None = None,
        policy: StreamPolicy | None = None,
    ) -> None:
        limits = limits or CallerLimits()
        self._configuration = configuration
        self._authenticator = authenticator
        self._metrics = metrics
        self._clock = clock
        self._limits = limits
        self._tasks = BackgroundTasks()
        self._n_streams = 0
        self.counters = StreamCounters()
        endings = Endings(admitter=admitter, tasks=self._tasks)
        leavers = Leavers(
            admitter=admitter,
            tasks=self._tasks,
            grace_seconds=limits.resume_grace_seconds,
        )
        starter = GenerationStarter(
            configuration=configuration,
            admitter=admitter,
            client=engines,
            retries=retries,
            clock=clock,
            rng=rng,
            policy=policy or StreamPolicy(),
            counters=self.counters,
            tasks=self._tasks,
        )
        self._completions = CompletionRoutes(
            configuration=configuration,
            starter=starter,
            admitter=admitter,
            endings=endings,
            leavers=leavers,
            tickets=tickets,
            metrics=metrics,
            clock=clock,
            queue_seconds=limits.queue_seconds,
            ticket_seconds=limits.ticket_seconds,
        )
        self._generations = GenerationRoutes(
            starter=starter,
            admitter=admitter,
            endings=endings,
            leavers=leavers,
            tickets=tickets,
            metrics=metrics,
            clock=clock,
            ticket_seconds=limits.ticket_seconds,
        )

    def add_routes(self, router: Router) -> None:
        """Serve the routes of generations and models."""
        ticket = "/v1/generations/{ticket}"
        self._add(router, "POST", "/v1/completions", self._complete)
        self._add(router, "POST", "/v1/chat/completions", self._chat)
        self._add(router, "GET", "/v1/models", self._list_models)
        self._add(router, "GET", ticket, self._generations.resume)
        self._add(router, "DELETE", ticket, self._generations.cancel)

    @property
    def n_streams(self) -> int:
        """Return how many requests are being answered."""
        return self._n_streams

    def flush_metrics(self) -> None:
        """Hand over what was counted; to be called before metrics are rendered."""
        self.counters.flush(self._metrics)
        self._metrics.set("streams", self._n_streams)

    def close(self) -> None:
        """Forget callers that may come back; engines give up what nobody reads."""
        self._tasks.close()

    def _add(self, router: Router, method: str, path: str, answer: Answer) -> None:
        async def handle(req: Request, res: Responder, params: Params) -> None:
            await self._handle(req, res, params, path, answer)

        router.add(method, path, handle)

    async def _handle(
        self, req: Request, res: Responder, params: Params, route: str, answer: Answer
    ) -> None:
        who = self._authenticator.authenticate(req)
        if isinstance(who, Err):
            await send_auth_error(res, who.err_value)
            self._metrics.count("requests", route=route, status="401")
            return
        request_id = read_request_id(req)
        deadline = read_deadline(req, self._clock, self._limits.generation_seconds)
        findings = [r.err_value for r in (request_id, deadline) if isinstance(r, Err)]
        if isinstance(request_id, Err) or isinstance(deadline, Err):
            await send_findings(res, findings)
            self._metrics.count("requests", route=route, status="400")
            return
        ctx = Context(
            req=req,
            organisation=who.ok_value,
            request_id=request_id.ok_value,
            deadline=deadline.ok_value,
        )
        self._n_streams += 1
        try:
            with self._action(ctx, route) as action:
                await answer(ctx, res, params)
                action.add_success_fields(status=res.status)
        finally:
            self._n_streams -= 1
            status = str(res.status) if res.status is not None else "gone"
            self._metrics.count("requests", route=route, status=status)

    def _action(self, ctx: Context, route: str) -> Action:
        return continue_task(
            ctx.req.headers.get(TASK_HEADER),
            "callers:request",
            request_id=ctx.request_id,
            organisation=ctx.organisation.name,
            route=route,
        )

    async def _complete(self, ctx: Context, res: Responder, params: Params) -> None:
        await self._completions.answer(ctx, res, "completion")

    async def _chat(self, ctx: Context, res: Responder, params: Params) -> None:
        await self._completions.answer(ctx, res, "chat")

    async def _list_models(self, ctx: Context, res: Responder, params: Params) -> None:
        document = self._configuration.current.document
        allowed = ctx.organisation.models
        names = []
        for model in document.models:
            if allowed and model.name not in allowed:
                continue
            names.append(model.name)
            names += [
                f"{model.name}:{a.name}"
                for a in document.adapters
                if a.model == model.name
            ]
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "celerytrail"}
            for name in names
        ]
        await res.send_json(200, {"object": "list", "data": data}, ctx.headers)
