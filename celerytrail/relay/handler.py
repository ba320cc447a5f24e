"""Answers callers: finds the route, checks the key, hands on to whoever serves it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from eliot import log_message

from ..clock import Clock
from ..http.messages import Request
from ..http.server import Handler, Responder
from ..metrics import Metrics
from ..model import CallerFacts, OrganisationKey, RelayConfig, Route
from ..platform import wire
from ..policies.freshness import Freshness
from ..policies.stopping import can_finish
from .calls import PlainCalls
from .exchange import Exchange, refuse
from .generations import Generations

# When to come back to the system where only this node can't serve, in seconds: another
# address is worth trying at once.
ELSEWHERE_SECONDS = 0.1
# When to come back where no other node serves either, in seconds: the store is away for
# all, and outages last seconds. Told to come back at once, callers used up their tries
# while it lasted, and a third of them were refused for good.
OUTAGE_SECONDS = 2.0
# What engines take as the least urgent.
MAX_PRIORITY = 9
# How long a caller is reckoned to wait where it states nothing, in seconds.
DEFAULT_BUDGET_SECONDS = 60.0


class RelayHandler(Handler):
    """Takes callers' requests.

    Parameters
    ----------
    config : callable
        Returns the configuration in force, None before the first.
    freshness : Freshness
        Tells whether keys may be acted on, and what is not known may be denied.
    calls : PlainCalls
        Serves plain services.
    generations : Generations
        Serves model engines.
    has_others : callable
        Whether another node serves callers.
    killed_at : callable
        Returns when this node will be killed, in loop time; None while it isn't asked
        to stop.
    clock : Clock
        Dates arrivals and deadlines.
    rng : random.Random
        Splits traffic between services.
    metrics : Metrics
        Counts what becomes of requests.
    """

    def __init__(
        self,
        *,
        config: Callable[[], RelayConfig | None],
        freshness: Freshness,
        calls: PlainCalls,
        generations: Generations,
        has_others: Callable[[], bool],
        killed_at: Callable[[], float | None],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._config = config
        self._freshness = freshness
        self._calls = calls
        self._generations = generations
        self._has_others = has_others
        self._killed_at = killed_at
        self._clock = clock
        self._rng = rng
        self._metrics = metrics

    async def handle(self, req: Request, res: Responder) -> None:
        """Answer one request."""
        arrived_at = self._clock.boottime()
        cfg = self._config()
        facts = wire.caller_facts(req)
        if cfg is None:
            await self._refuse(res, facts, 503, "no_configuration", is_elsewhere=True)
            return
        route = cfg.find_route(req.headers.get("host", ""), req.path)
        if route is None:
            await self._deny(res, facts, 404, "no_route")
            return
        holder: OrganisationKey | None = None
        if cfg.keys is not None and not route.is_public:
            if not self._freshness.is_usable:
                await self._refuse(res, facts, 503, "keys_unknown", is_elsewhere=True)
                return
            holder = cfg.keys.get(facts.key or "")
            if holder is None:
                await self._deny(res, facts, 401, "unknown_key")
                return
        budget = facts.budget_seconds
        if budget is None:
            budget = DEFAULT_BUDGET_SECONDS
        ex = Exchange(
            req=req,
            res=res,
            facts=facts,
            route=route,
            service=self._service(route),
            organisation=holder.organisation if holder else None,
            priority=_priority(route, holder),
            arrived_at=arrived_at,
            deadline=arrived_at + min(budget, route.timeout_seconds),
            may_pass=self._guard(route, facts),
            metrics=self._metrics,
            clock=self._clock,
        )
        service = cfg.services.get(ex.service)
        if service is not None and service.engine is not None:
            if self._is_too_late_for(facts):
                await self._refuse(res, facts, 503, "stopping", is_elsewhere=True)
                return
            await self._generations.relay(ex, service.engine)
        else:
            await self._calls.relay(ex)

    def _is_too_late_for(self, facts: CallerFacts) -> bool:
        killed_at = self._killed_at()
        if killed_at is None:
            return False
        return not can_finish(facts, asyncio.get_running_loop().time(), killed_at)

    def _guard(self, route: Route, facts: CallerFacts) -> Callable[[], bool]:
        """Return whether a request may still be passed on, asked at that moment."""

        def may_pass() -> bool:
            cfg = self._config()
            if cfg is None:
                return False
            if cfg.keys is None or route.is_public:
                return True
            return self._freshness.is_usable and (facts.key or "") in cfg.keys

        return may_pass

    def _service(self, route: Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        names = [share.service for share in route.shares]
        weights = [share.weight for share in route.shares]
        if sum(weights) <= 0:
            return names[0]
        return self._rng.choices(names, weights)[0]

    async def _deny(
        self, res: Responder, facts: CallerFacts, status: int, reason: str
    ) -> None:
        """Refuse for good what is not in force; as not run where it may be by now."""
        if self._freshness.may_deny:
            await self._refuse(res, facts, status, reason)
        else:
            await self._refuse(
                res, facts, 503, "configuration_unsure", is_elsewhere=True
            )

    async def _refuse(
        self,
        res: Responder,
        facts: CallerFacts,
        status: int,
        reason: str,
        *,
        is_elsewhere: bool = False,
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
        retry_after = None
        if is_elsewhere:
            retry_after = ELSEWHERE_SECONDS if self._has_others() else OUTAGE_SECONDS
        await refuse(
            res,
            status,
            reason,
            attempt_id=facts.attempt_id,
            retry_after=retry_after,
            close=is_elsewhere,
        )


def _priority(route: Route, holder: OrganisationKey | None) -> int:
    """Return how urgent a request is; an organisation's rank goes first."""
    priority = route.priority
    if holder is not None and holder.priority is not None:
        priority = holder.priority
    return max(0, min(MAX_PRIORITY, priority))
