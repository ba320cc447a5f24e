"""What a node knows of the endpoints: rows, evacuations, cold phases and limits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..metrics import Metrics
from ..model import LoadHeader, Registration, Service
from ..platform.nodesettings import RelaySettings
from ..policies.coldlimits import ColdEndpoints
from ..policies.endpointspeeds import EndpointSpeeds, News
from ..policies.evacuations import Evacuations
from ..policies.pace import StartReason
from ..policies.statedpauses import StatedPauses
from .crashes.broker import CrashBroker
from .endpointanswers import EndpointAnswers
from .endpointgate import EndpointGate
from .endpointlimits import EndpointLimits
from .endpointpaces import EndpointPaces
from .nodeorder import NodeOrder
from .registry import Registry

# Share of the time between the bounds on configuration and on evacuations in which a
# run may still continue from a copy that was already on its way.
EVACUATION_CONTINUE_SHARE = 0.5
# How long the endpoints of a failure domain are treated as cold after an evacuation, in
# seconds. They may have turned cold meanwhile, and say so in their next heartbeat.
RETURN_SECONDS = 3.0


class EndpointState:
    """Holds the registry, and decides which endpoints may receive requests.

    Parameters
    ----------
    cfg : RelaySettings
        The node's settings.
    find_service : callable
        Returns a service of the configuration in force by its name, or None.
    node_order : NodeOrder
        This node's position among all nodes.
    limits : EndpointLimits
        What endpoints state for all nodes together.
    crashes : CrashBroker
        Which requests no endpoint gets, and which may have crashed one.
    on_leaving : callable
        Called once for each incarnation of an endpoint that leaves or is removed.
    announce_leaving : callable
        Announces an endpoint that leaves to the other nodes.
    announce_load : callable
        Announces the load that an endpoint states to the other nodes.
    announce_failing : callable
        Announces an endpoint that fails after it started or recovered.
    metrics : Metrics
        Counts load headers by outcome, and changes of paces.
    """

    def __init__(
        self,
        *,
        cfg: RelaySettings,
        find_service: Callable[[str], Service | None],
        node_order: NodeOrder,
        limits: EndpointLimits,
        crashes: CrashBroker,
        on_leaving: Callable[[Registration], None],
        announce_leaving: Callable[[Registration], None],
        announce_load: Callable[[Registration, LoadHeader, News], None],
        announce_failing: Callable[[Registration], None],
        metrics: Metrics,
    ) -> None:
        self._cfg = cfg
        self._find_service = find_service
        spare_seconds = max(0.0, cfg.evacuation_seconds - cfg.config_seconds)
        self.evacuations = Evacuations(
            continue_seconds=EVACUATION_CONTINUE_SHARE * spare_seconds
        )
        self.cold = ColdEndpoints()
        self.pauses = StatedPauses()
        self.speeds = EndpointSpeeds()
        self.limits = limits
        self.registry = Registry(
            on_leaving=on_leaving,
            on_started=self._on_started,
            evacuations=self.evacuations,
        )
        self.paces = EndpointPaces(
            registry=self.registry,
            position=node_order.live_position,
            is_paused=lambda reg: self.gate.is_paused(reg),
            announce=announce_failing,
            metrics=metrics,
        )
        self.gate = EndpointGate(
            evacuations=self.evacuations,
            cold=self.cold,
            cold_limit=self._cold_limit,
            connection_limit=self._connection_limit,
            limits=limits,
            pauses=self.pauses,
            is_leaving=self.registry.is_leaving,
            position=node_order.position,
            blocked=crashes.blocked,
            is_suspect=crashes.is_suspect,
            await_causes=crashes.await_causes,
            paces=self.paces,
            domain_regions=cfg.domain_regions,
        )
        self.answers = EndpointAnswers(
            registry=self.registry,
            cold=self.cold,
            pauses=self.pauses,
            limits=limits,
            speeds=self.speeds,
            paces=self.paces,
            announce_leaving=announce_leaving,
            announce_load=announce_load,
            metrics=metrics,
        )

    def set_evacuated(self, domains: frozenset[str]) -> None:
        """Set the evacuated failure domains.

        The endpoints of one that is taken back count as cold until their own rows can
        tell.
        """
        now = asyncio.get_running_loop().time()
        returned = self.evacuations.domains - domains
        for reg in self.registry.all():
            if reg.failure_domain in returned:
                self.paces.record_start(reg, StartReason.EVACUATION_ENDED)
            service = self._find_service(reg.service)
            if service is None or service.cold_seconds <= 0:
                continue
            if reg.failure_domain in returned:
                self.cold.record(reg.endpoint, now + RETURN_SECONDS)
        self.evacuations.set_domains(domains, now)

    def expire(self, now: float) -> None:
        """Forget endpoints that didn't return in time, and what has ended of them."""
        self.registry.expire(now)
        self.cold.expire(now)
        self.limits.expire(now, self.registry.has)
        self.pauses.expire(now, self.registry.has)
        self.speeds.expire(self.registry.has)
        self.paces.expire(now)

    def _on_started(self, reg: Registration, was_known: bool) -> None:
        reason = StartReason.RESTARTED if was_known else StartReason.NEW
        self.paces.record_start(reg, reason)

    def _cold_limit(self, name: str) -> float | None:
        """Return the requests per second for a cold endpoint, None without a limit."""
        service = self._find_service(name)
        if service is None or self._cfg.cold_excess is None:
            return None
        rate = service.cold_requests_per_second
        return rate * self._cfg.cold_excess + self._cfg.cold_slack

    def _connection_limit(self, name: str) -> int | None:
        """Return the connections that an endpoint of a service accepts, if known."""
        service = self._find_service(name)
        return service.n_max_connections if service is not None else None
