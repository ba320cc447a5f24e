"""A node's place among the others: membership, the store's rows, and addresses."""

from __future__ import annotations

import random
from collections.abc import Iterable

from ..clock import Clock
from ..http.client import HttpClient
from ..http.network import Network
from ..metrics import Metrics
from ..nodes.member import Member, State
from ..nodes.nodes import Nodes
from ..nodes.signing import PeerKeys
from ..platform.noderows import NodeRows
from ..platform.nodesettings import RelaySettings
from ..rowsource import RowSource
from ..supervision import Supervisor
from ..types import Address
from .nodeorder import NodeOrder
from .peerrequests import PeerRequests
from .sharedrows import SharedRows
from .storeclient import make_rows

MILLISECONDS = 1_000


class NodePeers:
    """Creates what finds the other nodes and speaks with them.

    Parameters
    ----------
    cfg : RelaySettings
        The node's settings.
    node : str
        The node's name, new at each start.
    network : Network
        Carries the connections and datagrams.
    store : RowSource or None
        The platform's tables; the store that the settings name by default.
    clock : Clock
        The clocks.
    rng : random.Random
        Source of jitter.
    metrics : Metrics
        Counts what is received and sent.
    supervisor : Supervisor
        Runs what joins the other nodes.
    """

    def __init__(
        self,
        *,
        cfg: RelaySettings,
        node: str,
        network: Network,
        store: RowSource | None,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        supervisor: Supervisor,
    ) -> None:
        assert cfg.callers is not None and cfg.peers is not None
        assert cfg.store is not None
        self._update_port = cfg.peer_ports[0]
        # All nodes of a deployment share its store. A key derived from its address
        # rejects datagrams of another deployment that reach a reused address.
        self.keys = keys = PeerKeys(keys=[f"nodes of {cfg.store}".encode()])
        me = Member(
            node=node,
            incarnation=int(clock.wall() * MILLISECONDS),
            caller=cfg.callers,
            peer=cfg.peers,
            state=State.LEAVING,
            vm=cfg.node,
            failure_domain=cfg.failure_domain,
            region=cfg.region,
            link_mbps=round(cfg.link_mbps),
        )
        self.nodes = Nodes(
            me=me,
            keys=keys,
            client=HttpClient(process=node, network=network),
            clock=clock,
            metrics=metrics,
            rng=rng,
            seeds=cfg.seeds,
            answer_seconds=cfg.max_address_seconds,
            network=network,
            supervisor=supervisor,
        )
        self.node_order = NodeOrder(nodes=self.nodes, clock=clock)
        self.requests = PeerRequests(
            client=HttpClient(process=node, network=network), keys=keys, metrics=metrics
        )
        self.rows = store or make_rows(
            cfg.store, network=network, clock=clock, rng=rng, metrics=metrics
        )
        self.node_rows = NodeRows(
            rows=self.rows,
            caller=cfg.callers,
            peer=cfg.peers,
            rng=rng,
            is_first_start=cfg.is_first_start,
        )
        self.shared_rows = SharedRows(
            store=self.rows,
            nodes=self.nodes,
            client=HttpClient(process=node, network=network),
            keys=keys,
            metrics=metrics,
        )

    async def enter_store(self) -> None:
        """Write this node's row to the store, and read the other nodes' addresses."""
        addresses = await self.node_rows.enter()
        self.node_order.set_n_listed(len(addresses))
        self.nodes.set_vm_addresses(addresses)

    def update_addresses(self, members: Iterable[Member]) -> list[Address]:
        """Return where nodes receive updates on runs."""
        return [
            Address(host=member.peer.host, port=self._update_port) for member in members
        ]

    def others(self) -> list[Member]:
        """Return the other nodes that aren't known to be dead."""
        own_node = self.nodes.me.node
        return [
            member
            for member in self.nodes.members()
            if member.state is not State.DEAD and member.node != own_node
        ]
