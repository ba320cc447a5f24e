"""How this node reaches endpoints, and what it tells the other nodes of that."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from eliot import log_message

from ..http.bodymemory import BodyMemory
from ..http.client import HttpClient
from ..http.network import Network
from ..http.routes import Router
from ..metrics import Metrics
from ..model import Registration
from ..nodes.member import Member, State
from ..nodes.nodes import Nodes
from ..nodes.signing import PeerKeys
from ..platform import wire
from ..policies.peerchoice import DomainPeers, PeerChoice
from ..policies.reach import STATEMENT_PERIOD_SECONDS, CutOffNodes, Reach
from ..types import Address
from .endpointanswers import EndpointAnswers
from .engineapi import EngineApi
from .paths import EndpointPaths
from .registry import Registry
from .tunnelserver import TunnelServer

# Time without the beginning of an answer after which the path to its endpoint is
# checked, in seconds. Most answers take a few tens of milliseconds.
SILENCE_SECONDS = 0.15


class EndpointAccess:
    """Holds the clients of endpoints, and the paths on which they connect.

    Parameters
    ----------
    network : Network
        This node's own network.
    nodes : Nodes
        The known nodes.
    registry : Registry
        Lists the endpoints.
    answers : EndpointAnswers
        Records what endpoints state in their answers.
    keys : PeerKeys
        The keys that nodes share.
    metrics : Metrics
        Counts connections by way.
    rng : random.Random
        Spreads tunnels over the nodes.
    announce : callable
        Announces to the other nodes all services that this one is cut off from.
    on_silent : callable
        Called with an endpoint when the path to it has fallen silent.
    on_regained : callable
        Called with an endpoint when this node reaches it again itself.
    choice : PeerChoice or None
        Chooses the nodes through which an endpoint is reached; those of this node's
        failure domain first by default.
    memory : BodyMemory or None
        Bounds the answers that are held.
    """

    def __init__(
        self,
        *,
        network: Network,
        nodes: Nodes,
        registry: Registry,
        answers: EndpointAnswers,
        keys: PeerKeys,
        metrics: Metrics,
        rng: random.Random,
        announce: Callable[[set[str]], None],
        on_silent: Callable[[Registration], None],
        on_regained: Callable[[Registration], None],
        choice: PeerChoice | None = None,
        memory: BodyMemory | None = None,
    ) -> None:
        self._nodes = nodes
        self._registry = registry
        self._announce = announce
        self._on_silent = on_silent
        self._on_regained = on_regained
        self.reach = Reach()
        self.cut_off_nodes = CutOffNodes()
        self._cut_off: set[str] = set()
        self._announce_at = 0.0
        me = nodes.me
        self.paths = EndpointPaths(
            network=network,
            reach=self.reach,
            peers=self._peers,
            same_service=self._same_service,
            choice=choice or DomainPeers(failure_domain=me.failure_domain, rng=rng),
            keys=keys,
            metrics=metrics,
            on_silent=self._on_path_silent,
            on_stated=answers.record_relayed,
            on_regained=self._on_path_regained,
        )
        self.tunnels = TunnelServer(
            network=network,
            reach=self.reach,
            is_endpoint=lambda address: registry.find_address(address) is not None,
            keys=keys,
            metrics=metrics,
            on_unreached=self.paths.suspect,
            statements_at=answers.statements_at,
            on_answer=answers.record_at,
        )
        memory = memory or BodyMemory()
        self.client = HttpClient(
            process=me.node,
            network=self.paths,
            id_header=wire.ATTEMPT_HEADER,
            allows_unframed=True,
            on_silence=self.paths.suspect,
            silence_seconds=SILENCE_SECONDS,
            memory=memory,
        )
        self.engine_api = EngineApi(
            client=HttpClient(
                network=self.paths,
                id_header=None,
                keeps_connections=False,
                memory=memory,
            ),
            on_answer=answers.record_at,
        )

    def add_routes(self, router: Router) -> None:
        """Add the route by which other nodes reach endpoints."""
        self.tunnels.add_routes(router)

    async def run(self) -> None:
        """Try lost paths again periodically, until cancelled."""
        await self.paths.run()

    def close(self) -> None:
        """Close the idle connections and cancel what is in progress."""
        self.paths.close()
        self.client.close()

    @property
    def cut_off_services(self) -> set[str]:
        """Return the services that this node is cut off from."""
        return self._cut_off

    def update(self, now: float) -> None:
        """Find out which services this node is cut off from, and announce changes."""
        if self.paths.has_retired:
            self.paths.has_retired = False
            self.client.close_retired()
            self.engine_api.close_retired()
        by_service: dict[str, list[Address]] = {}
        for reg in self._registry.all():
            by_service.setdefault(reg.service, []).append(reg.address)
        self.reach.keep(
            (address for found in by_service.values() for address in found), now
        )
        cut_off = {
            service
            for service, addresses in by_service.items()
            if self.reach.update_service(service, addresses, now)
        }
        is_changed = cut_off != self._cut_off
        if is_changed:
            log_message("relay:cut_off", services=sorted(cut_off))
            self._cut_off = cut_off
        if is_changed or (cut_off and now >= self._announce_at):
            self._announce_at = now + STATEMENT_PERIOD_SECONDS
            self._announce(cut_off)

    def is_node_cut_off(self, member: Member) -> bool:
        """Return whether a node is cut off from any service."""
        if member.node == self._nodes.me.node:
            return bool(self._cut_off)
        now = asyncio.get_running_loop().time()
        return self.cut_off_nodes.is_cut_off(member.node, now)

    def _peers(self, address: Address) -> list[Member]:
        """Return the nodes that may reach an endpoint which this one doesn't."""
        reg = self._registry.find_address(address)
        if reg is None:
            return []
        now = asyncio.get_running_loop().time()
        return [
            member
            for member in self._nodes.members()
            if member.state is State.ALIVE
            and member.node != self._nodes.me.node
            and not self.cut_off_nodes.is_cut_off(member.node, now, reg.service)
        ]

    def _same_service(self, address: Address) -> list[Address]:
        """Return the endpoints of the service that the one at an address belongs to."""
        found = self._registry.find_address(address)
        if found is None:
            return []
        regs = self._registry.usable_endpoints(found.service)
        return [reg.address for reg in regs]

    def _on_path_regained(self, address: Address) -> None:
        reg = self._registry.find_address(address)
        if reg is not None:
            self._on_regained(reg)

    def _on_path_silent(self, address: Address) -> None:
        reg = self._registry.find_address(address)
        if reg is not None:
            self._on_silent(reg)
