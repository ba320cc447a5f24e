"""Handles callers' requests: finds the route, checks the key and dispatches them."""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Callable

from eliot import log_message
from result import Err

from ..clock import Clock
from ..http.messages import Request
from ..http.server import Handler, Responder
from ..metrics import Metrics
from ..model import OrganisationKey, RelayConfig, RequestMetadata, Route
from ..platform import wire
from ..policies.blockedprompts import BLOCK_SECONDS, BlockedPrompts
from ..policies.freshness import Freshness
from ..policies.homes import allowed_regions
from .calls import PlainCalls
from .endpointgate import reason_of
from .exchange import Exchange, refuse, seconds_until
from .generations import Generations
from .resumption import CannotResume, Resumptions
from .shutdown import STOPPING, Shutdown

# The least urgent priority that engines accept.
MAX_PRIORITY = 9
# Time budget of a request whose caller states none, in seconds.
DEFAULT_BUDGET_SECONDS = 60.0


class RelayHandler(Handler):
    """Handles callers' requests.

    Parameters
    ----------
    config : callable
        Returns the configuration in force, None before the first.
    freshness : Freshness
        Whether the known keys are recent enough to be used, and whether an unknown
        route or key may be denied.
    calls : PlainCalls
        Relays requests to plain services.
    generations : Generations
        Relays requests to model engines.
    blocked : BlockedPrompts
        The requests that no endpoint gets.
    resumptions : Resumptions
        Finds where streams may be taken up.
    shutdown : Shutdown
        Which requests can end before this process is killed.
    clock : Clock
        Timestamps arrivals and deadlines.
    rng : random.Random
        Splits traffic between services.
    metrics : Metrics
        Counts requests by outcome.
    """

    def __init__(
        self,
        *,
        config: Callable[[], RelayConfig | None],
        freshness: Freshness,
        calls: PlainCalls,
        generations: Generations,
        resumptions: Resumptions,
        blocked: BlockedPrompts,
        shutdown: Shutdown,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._config = config
        self._freshness = freshness
        self._calls = calls
        self._generations = generations
        self._resumptions = resumptions
        self._blocked = blocked
        self._shutdown = shutdown
        self._clock = clock
        self._rng = rng
        self._metrics = metrics

    async def handle(self, req: Request, res: Responder) -> None:
        """Answer one request."""
        arrived_at = self._clock.boottime()
        cfg = self._config()
        facts = wire.decode_request_metadata(req)
        if cfg is None:
            await self._refuse(
                res, facts, 503, "no_configuration", can_retry_elsewhere=True
            )
            return
        route = cfg.find_route(req.headers.get("host", ""), req.path)
        if route is None:
            await self._deny(res, facts, 404, "no_route")
            return
        key_holder: OrganisationKey | None = None
        if cfg.keys is not None and not route.is_public:
            if not self._freshness.is_usable:
                await self._refuse(
                    res, facts, 503, "keys_unknown", can_retry_elsewhere=True
                )
                return
            key_holder = cfg.keys.get(facts.key or "")
            if key_holder is None:
                await self._deny(res, facts, 401, "unknown_key")
                return
        organisation = key_holder.organisation if key_holder else None
        resolved = await self._resumptions.resolve(
            facts, route, organisation, self._choose_service(route)
        )
        if isinstance(resolved, Err):
            await self._refuse_resumption(res, facts, resolved.err_value)
            return
        resumption = resolved.ok_value
        budget = facts.budget_seconds
        if budget is None:
            budget = DEFAULT_BUDGET_SECONDS
        deadline = arrived_at + min(budget, route.timeout_seconds)
        service = cfg.services.get(resumption.service)
        engine = service.engine if service is not None else None
        ends_before_kill: Callable[[int], bool]
        if engine is None:
            ends_before_kill = self._make_call_check(
                resumption.service, route, deadline
            )
        else:
            ends_before_kill = functools.partial(self._shutdown.can_generate, facts)
        ex = Exchange(
            req=req,
            res=res,
            facts=facts,
            route=route,
            service=resumption.service,
            organisation=organisation,
            priority=_priority(route, key_holder),
            arrived_at=arrived_at,
            deadline=deadline,
            gives_up_at=arrived_at + budget,
            is_allowed=self._make_allowed_check(route, facts),
            ends_before_kill=ends_before_kill,
            metrics=self._metrics,
            clock=self._clock,
            home_regions=allowed_regions(route, key_holder),
            binding=resumption.binding,
        )
        if resumption.source:
            ex.log(
                "taken_up",
                resumes=facts.resumed_attempt,
                last_event=facts.last_event_id,
                version=resumption.binding.version,
                source=resumption.source,
            )
        if await self._refuse_blocked(ex):
            return
        if not ex.can_end():
            await self._refuse(res, facts, 503, STOPPING, can_retry_elsewhere=True)
            return
        if engine is not None:
            await self._generations.relay(ex, engine)
        else:
            await self._calls.relay(ex)

    async def _refuse_blocked(self, ex: Exchange) -> bool:
        """Refuse a request if it, or its prompt, is blocked; return whether it was."""
        now = asyncio.get_running_loop().time()
        block = self._blocked.find(ex.prompt, now)
        if block is None:
            return False
        reason = reason_of(block)
        ex.log("refused", reason=reason, parts=sorted(block.parts))
        await refuse(
            ex.res,
            503,
            reason,
            attempt_id=ex.facts.attempt_id,
            retry_after=seconds_until(block.ends_at, BLOCK_SECONDS),
        )
        return True

    def _make_call_check(
        self, service: str, route: Route, deadline: float
    ) -> Callable[[int], bool]:
        """Return a function that checks whether a call ends before the kill."""

        def ends_before_kill(n_made_tokens: int) -> bool:
            seconds_left = deadline - self._clock.boottime()
            return self._shutdown.can_call(service, route, seconds_left)

        return ends_before_kill

    def _make_allowed_check(
        self, route: Route, facts: RequestMetadata
    ) -> Callable[[], bool]:
        """Return a function that checks whether a request may still be sent on."""

        def is_allowed() -> bool:
            cfg = self._config()
            if cfg is None:
                return False
            if cfg.keys is None or route.is_public:
                return True
            return self._freshness.is_usable and (facts.key or "") in cfg.keys

        return is_allowed

    async def _refuse_resumption(
        self, res: Responder, facts: RequestMetadata, refused: CannotResume
    ) -> None:
        """Refuse to take up a stream; the caller tries another node or begins anew."""
        await self._refuse(
            res,
            facts,
            503 if refused.may_elsewhere else 421,
            refused.reason,
            can_retry_elsewhere=refused.may_elsewhere,
        )

    def _choose_service(self, route: Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        names = [share.service for share in route.shares]
        weights = [share.weight for share in route.shares]
        if sum(weights) <= 0:
            return names[0]
        return self._rng.choices(names, weights)[0]

    async def _deny(
        self, res: Responder, facts: RequestMetadata, status: int, reason: str
    ) -> None:
        """Refuse with ``status``, or as retryable if the configuration may be stale."""
        if self._freshness.can_deny:
            await self._refuse(res, facts, status, reason)
        else:
            await self._refuse(
                res, facts, 503, "configuration_unsure", can_retry_elsewhere=True
            )

    async def _refuse(
        self,
        res: Responder,
        facts: RequestMetadata,
        status: int,
        reason: str,
        *,
        can_retry_elsewhere: bool = False,
    ) -> None:
        self._metrics.count("relay_events", event="refused", cause=reason)
        cfg = self._config()
        log_message(
            "relay:refused",
            request=facts.attempt_id,
            reason=reason,
            status=status,
            version=cfg.version if cfg else None,
            knowledge_age=self._freshness.age_seconds,
            knowledge_source=self._freshness.source or "store",
        )
        retry_after = self._shutdown.retry_seconds if can_retry_elsewhere else None
        await refuse(
            res,
            status,
            reason,
            attempt_id=facts.attempt_id,
            retry_after=retry_after,
            close=can_retry_elsewhere,
        )


def _priority(route: Route, key_holder: OrganisationKey | None) -> int:
    """Return a request's priority; an organisation's own takes precedence."""
    priority = route.priority
    if key_holder is not None and key_holder.priority is not None:
        priority = key_holder.priority
    return max(0, min(MAX_PRIORITY, priority))
