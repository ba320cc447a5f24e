"""Gauges of a node on a platform, set when its metrics are read."""

from __future__ import annotations

import asyncio
from collections import Counter

from ..metrics import Metrics
from ..model import RelayConfig
from ..nodes.nodes import Nodes
from ..policies.freshness import Freshness
from .endpointaccess import EndpointAccess
from .endpointstate import EndpointState
from .generations import Generations
from .originbroker import OriginBroker
from .peerupdates import PeerUpdates
from .promptbroker import PromptBroker


def set_gauges(
    metrics: Metrics,
    *,
    cfg: RelayConfig | None,
    nodes: Nodes,
    freshness: Freshness,
    endpoints: EndpointState,
    access: EndpointAccess,
    generations: Generations,
    origins: OriginBroker,
    prompts: PromptBroker,
    peer_updates: PeerUpdates,
) -> None:
    """Set the gauges to the node's present state."""
    now = asyncio.get_running_loop().time()
    nodes.update_member_gauge()
    values = {
        "configuration_version": cfg.version if cfg else 0,
        "knowledge_age_seconds": freshness.age_seconds or 0.0,
        "evacuated_domains": len(endpoints.evacuations.domains),
        "cold_endpoints": endpoints.cold.n_cold(now),
        "limited_endpoints": len(endpoints.limits.rates.in_force()),
        "brittle_endpoints": len(endpoints.limits.brittle.in_force()),
        "paused_endpoints": endpoints.pauses.n_paused(now),
        "lost_paths": access.reach.n_lost,
        "cut_off_services": len(access.cut_off_services),
        "cut_off_nodes": access.cut_off_nodes.n_cut_off(now),
        "open_tunnels": access.tunnels.n_open,
        "streams": generations.n_live,
        "known_streams": len(origins.origins),
        "blocked_prompts": len(prompts.blocked.in_force(now)),
        "suspected_crashes": prompts.suspects.n_crashes,
        "news_sent": peer_updates.n_sent,
        "news_sent_bytes": peer_updates.n_sent_bytes,
        "news_period_seconds": peer_updates.period_seconds,
    }
    for name, value in values.items():
        metrics.set(name, float(value))
    counts = Counter((reg.service, reg.version) for reg in endpoints.registry.all())
    for (service, version), n in counts.items():
        metrics.set("endpoint_versions", n, service=service, version=version)
