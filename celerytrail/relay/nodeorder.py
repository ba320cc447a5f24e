"""Position of this node among all nodes, in an order that differs by endpoint."""

from __future__ import annotations

from ..nodes.nodes import Nodes
from ..policies.coldlimits import NodePosition
from ..policies.rendezvous import rank

MAX_CACHED = 1_000


class NodeOrder:
    """Ranks the VMs of all known nodes for an endpoint.

    VMs keep their names when their node restarts, so a restart changes no order. Nodes
    that don't run are ranked too: one that is out of touch may still send requests.

    Parameters
    ----------
    nodes : Nodes
        The known nodes.
    """

    def __init__(self, *, nodes: Nodes) -> None:
        self._nodes = nodes
        self._n_listed = 0
        self._positions: dict[str, NodePosition] = {}
        nodes.on_change(self._positions.clear)

    def set_n_listed(self, n_nodes: int) -> None:
        """Set how many nodes have a row in the store."""
        self._n_listed = n_nodes
        self._positions.clear()

    def position(self, endpoint: str) -> NodePosition:
        """Return this node's position in the order that belongs to an endpoint.

        Nodes that have a row in the store but aren't known by name yet come first.
        """
        position = self._positions.get(endpoint)
        if position is None:
            if len(self._positions) >= MAX_CACHED:
                self._positions.clear()
            position = self._positions[endpoint] = self._rank(endpoint)
        return position

    def _rank(self, endpoint: str) -> NodePosition:
        own_vm = self._nodes.me.vm
        vms = {member.vm for member in self._nodes.members()} | {own_vm}
        n_unknown = max(0, self._n_listed - len(vms))
        return NodePosition(
            index=n_unknown + rank(f"cold {endpoint}", vms).index(own_vm),
            n_nodes=n_unknown + len(vms),
        )
