"""Records starts, requests and answers of endpoints for their pace."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from eliot import log_message

from ..metrics import Metrics
from ..model import Registration
from ..policies.coldlimits import NodePosition
from ..policies.pace import (
    AnswerKind,
    NodePace,
    PaceState,
    StartReason,
    is_in_force,
)
from .registry import Registry


class EndpointPaces:
    """Holds the pace of endpoints that have started or recovered.

    Parameters
    ----------
    registry : Registry
        Lists the endpoints.
    position : callable
        Returns this node's position among the live nodes in an endpoint's order.
    is_paused : callable
        Returns whether an endpoint wants no requests from this node now.
    announce : callable
        Announces to the other nodes that an endpoint fails.
    metrics : Metrics
        Counts changes.
    pace : NodePace or None
        The decisions; adaptive by default.
    """

    def __init__(
        self,
        *,
        registry: Registry,
        position: Callable[[str], NodePosition],
        is_paused: Callable[[Registration], bool],
        announce: Callable[[Registration], None],
        metrics: Metrics,
        pace: NodePace | None = None,
    ) -> None:
        self._registry = registry
        self._position = position
        self._is_paused = is_paused
        self._announce = announce
        self._metrics = metrics
        self._pace = pace or NodePace()
        # The endpoints that had less than their full share at the last expiry.
        self._limited: set[str] = set()

    # What is recorded.

    def record_start(
        self, reg: Registration, reason: StartReason, from_at: float | None = None
    ) -> None:
        """Record that an endpoint has started or recovered.

        ``from_at`` is the loop time from which it takes requests, if that is later.
        """
        now = _now()
        self._pace.pace.record_start(reg.endpoint, now, reason=reason, from_at=from_at)
        self._limited.add(reg.endpoint)
        self._log("started", reg.endpoint, now)

    def begin(self, reg: Registration, sent_at: float) -> None:
        """Record that a request is sent to an endpoint."""
        self._pace.begin(reg.endpoint, sent_at)
        overdue_at = self._pace.overdue_at(reg.endpoint, reg.service, sent_at)
        if overdue_at is not None:
            loop = asyncio.get_running_loop()
            loop.call_at(overdue_at, self._on_overdue, reg, sent_at)

    def end(self, reg: Registration, sent_at: float) -> None:
        """Record that a request has its answer, or was given up."""
        self._pace.end(reg.endpoint, sent_at)

    def record_answer(
        self, reg: Registration, route: str, sent_at: float, kind: AnswerKind
    ) -> None:
        """Record how an endpoint answered, and announce it if it drops.

        ``sent_at`` is the loop time at which the request was sent.
        """
        now = _now()
        self._pace.end(reg.endpoint, sent_at)
        is_dropped = self._pace.record_answer(
            reg.endpoint,
            reg.service,
            route,
            now,
            kind=kind,
            seconds=max(0.0, now - sent_at),
        )
        if is_dropped:
            self._on_dropped(reg, now, cause=kind.value)

    def record_peer_report(self, endpoint: str, node: str) -> bool:
        """Record that another node found an endpoint faulty.

        Returns
        -------
        bool
            Whether the pace alone takes account of it.
        """
        now = _now()
        if not self._registry.has(endpoint):
            return False
        if self._pace.pace.record_peer_report(endpoint, node, now):
            self._limited.add(endpoint)
            self._log("dropped", endpoint, now, cause="peer", node=node)
        reg = self._registry.find(endpoint)
        return reg is not None and self._is_limited(reg, now)

    def _on_overdue(self, reg: Registration, sent_at: float) -> None:
        now = _now()
        if self._pace.record_overdue(reg.endpoint, sent_at, now):
            self._on_dropped(reg, now, cause="overdue")

    def _on_dropped(self, reg: Registration, now: float, *, cause: str) -> None:
        self._limited.add(reg.endpoint)
        self._log("dropped", reg.endpoint, now, cause=cause)
        self._announce(reg)

    # What is decided.

    def is_held_back(self, reg: Registration) -> bool:
        """Return whether this node has no share of an endpoint's requests now."""
        now = _now()
        if not self._pace.is_paced(reg.endpoint, now):
            return False
        position = self._position(reg.endpoint)
        return self._pace.holds_back(reg.endpoint, position, now)

    def wants_trial(self, reg: Registration) -> bool:
        """Return whether this node should send an endpoint its next request."""
        if not self._pace.pace.is_watched(reg.endpoint):
            return False
        position = self._position(reg.endpoint)
        return self._pace.wants_trial(reg.endpoint, position, _now())

    def takes_refused(self, reg: Registration) -> bool:
        """Return whether an endpoint should get a request that others refused."""
        return self._pace.takes_refused(reg.endpoint, _now())

    def is_new(self, endpoint: str) -> bool:
        """Return whether an endpoint started or recovered a short while ago."""
        return self._pace.pace.is_watched(endpoint)

    def is_in_force(self, regs: Iterable[Registration]) -> bool:
        """Return whether enough of a service's endpoints are open and not paced."""
        now = _now()
        n_paced = n_open = 0
        for reg in regs:
            if not self._is_paused(reg):
                n_open += 1
                n_paced += self._pace.is_paced(reg.endpoint, now)
        return n_paced > 0 and is_in_force(n_paced, n_open)

    def _is_limited(self, reg: Registration, now: float) -> bool:
        if not self._pace.is_paced(reg.endpoint, now):
            return False
        return self.is_in_force(self._registry.usable_endpoints(reg.service))

    # What is shown.

    def states(self) -> Sequence[PaceState]:
        """Return the endpoints that are watched, with their shares."""
        return self._pace.pace.states(_now())

    def n_by_reason(self) -> dict[StartReason, int]:
        """Return how many endpoints have less than their full share, by reason."""
        counts = Counter(one.reason for one in self.states() if one.share < 1.0)
        return {reason: counts[reason] for reason in StartReason}

    def least_share(self) -> float:
        """Return the least share of an endpoint; 1 if none is paced."""
        return min((one.share for one in self.states()), default=1.0)

    def is_held_back_now(self, endpoint: str) -> bool:
        """Return whether this node sends an endpoint no request now, for operators."""
        reg = self._registry.find(endpoint)
        if reg is None or not self.is_held_back(reg):
            return False
        return self.is_in_force(self._registry.usable_endpoints(reg.service))

    def count_bypassed(self, service: str) -> None:
        """Count a request for which only paced endpoints were left."""
        self._metrics.count("pace_bypassed", service=service)

    def expire(self, now: float) -> None:
        """Forget endpoints that are gone, and log those that have their full share."""
        services = {reg.service for reg in self._registry.all()}
        for endpoint in sorted(self._limited):
            if not self._pace.is_paced(endpoint, now):
                self._limited.discard(endpoint)
                if self._registry.has(endpoint):
                    self._log("full", endpoint, now)
        self._pace.expire(now, self._registry.has, services)

    def _log(self, change: str, endpoint: str, now: float, **facts: str) -> None:
        state = next(
            (one for one in self._pace.pace.states(now) if one.endpoint == endpoint),
            None,
        )
        if state is None:
            return
        self._metrics.count("pace_changes", change=change, reason=state.reason.value)
        log_message(
            f"relay:pace:{change}",
            endpoint=endpoint,
            reason=state.reason.value,
            share=round(state.share, 3),
            seconds_since_start=round(now - state.started_at, 3),
            seconds_until_full=round(max(0.0, state.full_at - now), 3),
            n_good=state.n_good,
            n_bad=state.n_bad,
            n_holds=state.n_holds,
            **facts,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
