"""The metrics of a node on a platform, with gauges that are set when they are read."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from ..http.bodymemory import BodyMemory
from ..http.messages import Request
from ..http.routes import Params, Router
from ..http.server import Responder
from ..metrics import Metrics
from ..model import RelayConfig
from ..nodes.nodes import Nodes
from ..policies.freshness import Freshness
from .crashes.broker import CrashBroker
from .endpointaccess import EndpointAccess
from .endpointstate import EndpointState
from .generations import Generations
from .originbroker import OriginBroker
from .peerupdates import PeerUpdates
from .waitingroom import WaitingRoom


class RelayMetrics:
    """Serves the metrics of a node.

    Parameters
    ----------
    metrics : Metrics
        The metrics.
    config : callable
        Returns the configuration in force, None before the first.
    nodes : Nodes
        The known nodes.
    freshness : Freshness
        How old this node's knowledge is.
    endpoints : EndpointState
        What is known of the endpoints.
    access : EndpointAccess
        Reaches them.
    generations : Generations
        The generations in progress.
    origins : OriginBroker
        What is known of streams that may be taken up.
    crashes : CrashBroker
        Which requests crash endpoints.
    peer_updates : PeerUpdates
        The updates that nodes send one another.
    waiting_room : WaitingRoom
        The requests that wait for engines.
    memory : BodyMemory
        The bodies that are held for callers.
    """

    def __init__(
        self,
        *,
        metrics: Metrics,
        config: Callable[[], RelayConfig | None],
        nodes: Nodes,
        freshness: Freshness,
        endpoints: EndpointState,
        access: EndpointAccess,
        generations: Generations,
        origins: OriginBroker,
        crashes: CrashBroker,
        peer_updates: PeerUpdates,
        waiting_room: WaitingRoom,
        memory: BodyMemory,
    ) -> None:
        self._memory = memory
        self._metrics = metrics
        self._config = config
        self._nodes = nodes
        self._freshness = freshness
        self._endpoints = endpoints
        self._access = access
        self._generations = generations
        self._origins = origins
        self._crashes = crashes
        self._peer_updates = peer_updates
        self._waiting_room = waiting_room

    def add_routes(self, router: Router) -> None:
        """Add the route at which the metrics are read."""
        router.add("GET", "/metrics", self._answer)

    async def _answer(self, req: Request, res: Responder, _: Params) -> None:
        self._set_gauges()
        body, headers = self._metrics.render()
        await res.send(200, body, headers)

    def _set_gauges(self) -> None:
        now = asyncio.get_running_loop().time()
        self._nodes.update_member_gauge()
        for name, value in self._values(now).items():
            self._metrics.set(name, float(value))
        for reason, n in self._endpoints.paces.n_by_reason().items():
            self._metrics.set("paced_endpoints", n, reason=reason.value)
        counts = Counter(
            (reg.service, reg.version) for reg in self._endpoints.registry.all()
        )
        for (service, version), n in counts.items():
            self._metrics.set("endpoint_versions", n, service=service, version=version)

    def _values(self, now: float) -> dict[str, float]:
        cfg = self._config()
        endpoints, access = self._endpoints, self._access
        return {
            "configuration_version": cfg.version if cfg else 0,
            "knowledge_age_seconds": self._freshness.age_seconds or 0.0,
            "evacuated_domains": len(endpoints.evacuations.domains),
            "cold_endpoints": endpoints.cold.n_cold(now),
            "limited_endpoints": len(endpoints.limits.rates.in_force()),
            "brittle_endpoints": len(endpoints.limits.brittle.in_force()),
            "paused_endpoints": endpoints.pauses.n_paused(now),
            "least_endpoint_share": endpoints.paces.least_share(),
            "lost_paths": access.reach.n_lost,
            "cut_off_services": len(access.cut_off_services),
            "cut_off_nodes": access.cut_off_nodes.n_cut_off(now),
            "open_tunnels": access.tunnels.n_open,
            "held_body_bytes": self._memory.n_all_bytes,
            "streams": self._generations.n_live,
            "known_streams": len(self._origins.origins),
            "blocked_prompts": len(self._crashes.blocked.in_force(now)),
            "suspected_crashes": self._crashes.suspects.n_crashes,
            "suspected_requests": self._crashes.requests.n_suspects,
            "waiting_requests": self._waiting_room.n_own,
            "known_waiting_requests": len(self._waiting_room.table),
            "news_sent": self._peer_updates.n_sent,
            "news_sent_bytes": self._peer_updates.n_sent_bytes,
            "news_period_seconds": self._peer_updates.period_seconds,
        }
