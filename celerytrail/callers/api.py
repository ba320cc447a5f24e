"""The callers' API for generations: its routes and the checks common to them."""

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
from ..supervision import BackgroundTasks
from .answers import send_auth_error, send_findings
from .auth import Authenticator
from .cleanup import GenerationCleanup
from .completions import CompletionRoutes
from .context import Context, read_deadline, read_request_id
from .disconnects import RESUME_GRACE_SECONDS, DisconnectHandler
from .generations import GenerationRoutes
from .starting import GenerationStarter
from .tickets import TicketSigner

RequestHandler = Callable[[Context, Responder, Params], Awaitable[None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Time limits of callers' requests, in seconds.

    Parameters
    ----------
    queue_seconds : float
        Longest wait of a request for an engine.
    generation_seconds : float
        Longest total time of a request.
    ticket_seconds : float
        Time for which a ticket is valid.
    resume_grace_seconds : float
        Time for which a generation runs on after its caller has disconnected.
    """

    queue_seconds: float = 20.0
    generation_seconds: float = 1_800.0
    ticket_seconds: float = 3_600.0
    resume_grace_seconds: float = RESUME_GRACE_SECONDS


class CallersApi:
    """Serves the generation routes to callers.

    Parameters
    ----------
    configuration : Configuration
        Defines organisations, models and engines.
    authenticator : Authenticator
        Identifies the organisation that sent a request.
    admitter : Admitter
        Decides when and on which engine a generation starts.
    engines : EngineClient
        Client for the engines' API.
    retries : RetryPolicy
        Holds the retry budget for attempts after the first.
    tickets : TicketSigner
        Issues and reads the tickets of streams.
    metrics : Metrics
        Metrics of this process.
    clock : Clock
        Clock for all deadlines.
    rng : random.Random
        Source of jitter.
    limits : CallerLimits or None
        Time limits; None for the defaults.
    policy : StreamPolicy or None
        Timeouts of the streams from engines; None for the defaults.
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
        cleanup = GenerationCleanup(admitter=admitter, tasks=self._tasks)
        disconnects = DisconnectHandler(
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
            cleanup=cleanup,
            disconnects=disconnects,
            tickets=tickets,
            metrics=metrics,
            clock=clock,
            queue_seconds=limits.queue_seconds,
            ticket_seconds=limits.ticket_seconds,
        )
        self._generations = GenerationRoutes(
            starter=starter,
            admitter=admitter,
            cleanup=cleanup,
            disconnects=disconnects,
            tickets=tickets,
            metrics=metrics,
            clock=clock,
            ticket_seconds=limits.ticket_seconds,
        )

    def add_routes(self, router: Router) -> None:
        """Register the routes of generations and models."""
        ticket = "/v1/generations/{ticket}"
        self._add_route(router, "POST", "/v1/completions", self._complete)
        self._add_route(router, "POST", "/v1/chat/completions", self._chat)
        self._add_route(router, "GET", "/v1/models", self._list_models)
        self._add_route(router, "GET", ticket, self._generations.resume)
        self._add_route(router, "DELETE", ticket, self._generations.cancel)

    @property
    def n_streams(self) -> int:
        """Return the number of requests in progress."""
        return self._n_streams

    def flush_metrics(self) -> None:
        """Add the counters to the metrics; call it before metrics are rendered."""
        self.counters.flush(self._metrics)
        self._metrics.set("streams", self._n_streams)

    def close(self) -> None:
        """Cancel the background tasks.

        Generations that are waiting for their callers to resume are not cancelled here:
        engines cancel generations whose output is not read.
        """
        self._tasks.close()

    def _add_route(
        self, router: Router, method: str, path: str, handler: RequestHandler
    ) -> None:
        async def handle(req: Request, res: Responder, params: Params) -> None:
            await self._handle(req, res, params, path, handler)

        router.add(method, path, handle)

    async def _handle(
        self,
        req: Request,
        res: Responder,
        params: Params,
        route: str,
        handler: RequestHandler,
    ) -> None:
        authenticated = self._authenticator.authenticate(req)
        if isinstance(authenticated, Err):
            await send_auth_error(res, authenticated.err_value)
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
            organisation=authenticated.ok_value,
            request_id=request_id.ok_value,
            deadline=deadline.ok_value,
        )
        self._n_streams += 1
        try:
            with self._start_action(ctx, route) as action:
                await handler(ctx, res, params)
                action.add_success_fields(status=res.status)
        finally:
            self._n_streams -= 1
            status = str(res.status) if res.status is not None else "gone"
            self._metrics.count("requests", route=route, status=status)

    def _start_action(self, ctx: Context, route: str) -> Action:
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
                f"{model.name}:{adapter.name}"
                for adapter in document.adapters
                if adapter.model == model.name
            ]
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "celerytrail"}
            for name in names
        ]
        await res.send_json(200, {"object": "list", "data": data}, ctx.headers)
