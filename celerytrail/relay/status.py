"""The state of a node on a platform for operators, at the path of ``status``."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from ..http.messages import Request
from ..http.routes import Params, Router
from ..http.server import Responder
from ..metrics import Metrics
from ..model import RelayConfig
from ..nodes.exchange import refuse_signature
from ..nodes.nodes import Nodes
from ..nodes.signing import PeerKeys
from ..status import STATUS_PATH
from .crashes.broker import CrashBroker
from .endpointstate import EndpointState
from .generations import Generations
from .originbroker import OriginBroker


class RelayStatus:
    """Collects and serves the state of a node.

    Parameters
    ----------
    nodes : Nodes
        The known nodes.
    config : callable
        Returns the configuration in force, None before the first.
    endpoints : EndpointState
        What is known of the endpoints.
    generations : Generations
        The generations in progress.
    origins : OriginBroker
        What is known of streams that may be taken up.
    crashes : CrashBroker
        Which requests crash endpoints.
    keys : PeerKeys
        Verify the signatures of requests.
    metrics : Metrics
        Counts rejected requests.
    """

    def __init__(
        self,
        *,
        nodes: Nodes,
        config: Callable[[], RelayConfig | None],
        endpoints: EndpointState,
        generations: Generations,
        origins: OriginBroker,
        crashes: CrashBroker,
        keys: PeerKeys,
        metrics: Metrics,
    ) -> None:
        self._nodes = nodes
        self._config = config
        self._endpoints = endpoints
        self._generations = generations
        self._origins = origins
        self._crashes = crashes
        self._keys = keys
        self._metrics = metrics

    def add_routes(self, router: Router) -> None:
        """Add the status route."""
        router.add("GET", STATUS_PATH, self._on_status)

    def collect(self) -> dict[str, object]:
        """Return the node's state as JSON-compatible values."""
        me = self._nodes.me
        cfg = self._config()
        return {
            "node": me.node,
            "vm": me.vm,
            "failure_domain": me.failure_domain,
            "region": me.region,
            "state": me.state.name.lower(),
            "version": cfg.version if cfg else None,
            "members": {
                member.node: member.state.name.lower()
                for member in self._nodes.members()
            },
            "software_versions": self._software_versions(),
            "evacuated_domains": sorted(self._endpoints.evacuations.domains),
            "paces": self._paces(),
            "streams": self._generations.n_live,
            "known_streams": len(self._origins.origins),
            "blocked_prompts": self._blocked_prompts(),
            "suspected_prompt_parts": self._crashes.suspects.counts(),
            "suspected_requests": self._crashes.requests.counts(),
        }

    def _blocked_prompts(self) -> list[dict[str, object]]:
        now = asyncio.get_running_loop().time()
        return [
            {
                "service": block.service,
                "parts": sorted(block.parts),
                "seconds_left": round(block.ends_at - now),
            }
            for block in self._crashes.blocked.in_force(now)
        ]

    def _paces(self) -> list[dict[str, object]]:
        """Return the endpoints that are watched after a start, and why."""
        now = asyncio.get_running_loop().time()
        paces = self._endpoints.paces
        return [
            {
                "endpoint": one.endpoint,
                "share": round(one.share, 3),
                "reason": one.reason.value,
                "is_held_back": paces.is_held_back_now(one.endpoint),
                "seconds_since_start": round(now - one.started_at, 2),
                "seconds_until_full": round(max(0.0, one.full_at - now), 2),
                "good_answers": one.n_good,
                "bad_answers": one.n_bad,
                "holds": one.n_holds,
            }
            for one in paces.states()
        ]

    def _software_versions(self) -> dict[str, dict[str, dict[str, int]]]:
        """Return the endpoints by service, software version and state."""
        registry = self._endpoints.registry
        counts = Counter(
            (
                reg.service,
                reg.version,
                "ready" if registry.is_accepting(reg) else "leaving",
            )
            for reg in registry.all()
        )
        found: dict[str, dict[str, dict[str, int]]] = {}
        for (service, version, state), n in sorted(counts.items()):
            found.setdefault(service, {}).setdefault(version, {})[state] = n
        return found

    async def _on_status(self, req: Request, res: Responder, _: Params) -> None:
        if not self._keys.accepts(req):
            await refuse_signature(res, self._metrics)
            return
        await res.send_json(200, self.collect())
