"""Order of all nodes, which differs by endpoint, and this node's position in it."""

from __future__ import annotations

from ..nodes.member import Member
from ..nodes.nodes import Nodes
from ..policies.coldlimits import NodePosition
from ..policies.rendezvous import rank

MAX_CACHED = 1_000
# Time after its start in which a node may not know all others yet, in seconds.
JOIN_SECONDS = 10.0


class NodeOrder:
    """Ranks the VMs of all known nodes for an endpoint.

    VMs keep their names when their node restarts, so a restart changes no order. Nodes
    that don't run are ranked too: one that is out of touch may still send requests.

    Parameters
    ----------
    nodes : Nodes
        The known nodes.
    joined_at : float
        Boot time from which this node counts as knowing all others.
    """

    def __init__(self, *, nodes: Nodes, joined_at: float) -> None:
        self._nodes = nodes
        self._joined_at = joined_at
        self._n_listed: int | None = None
        self._positions: dict[str, NodePosition] = {}
        self._owners: dict[str, Member | None] = {}
        nodes.on_change(self._clear)

    def _clear(self) -> None:
        self._positions.clear()
        self._owners.clear()

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

    def owner(self, endpoint: str) -> Member | None:
        """Return the first running node in an endpoint's order."""
        if endpoint not in self._owners:
            if len(self._owners) >= MAX_CACHED:
                self._owners.clear()
            running = {member.vm: member for member in self._nodes.running_members()}
            first = next(iter(rank(_key(endpoint), set(running))), None)
            self._owners[endpoint] = running[first] if first is not None else None
        return self._owners[endpoint]

    def running_share(self, now: float) -> float:
        """Return the share of all VMs whose nodes run and are known to this one.

        It is 0 for a node that knows nobody yet and hasn't learned how many there are:
        if it took itself for the only one, many nodes that start at once would each
        use what all of them share.
        """
        vms = self._vms()
        n_known = len(vms)
        if now < self._joined_at:
            if n_known == 1 and self._n_listed is None:
                return 0.0
            n_known = max(n_known, self._n_listed or 0)
        running = {member.vm for member in self._nodes.running_members()}
        return len(running | {self._nodes.me.vm}) / n_known

    def _vms(self) -> set[str]:
        return {member.vm for member in self._nodes.members()} | {self._nodes.me.vm}

    def _rank(self, endpoint: str) -> NodePosition:
        vms = self._vms()
        n_unknown = max(0, (self._n_listed or 0) - len(vms))
        return NodePosition(
            index=n_unknown + rank(_key(endpoint), vms).index(self._nodes.me.vm),
            n_nodes=n_unknown + len(vms),
        )


def _key(endpoint: str) -> str:
    return f"cold {endpoint}"
