"""Order of all nodes, which differs by endpoint, and this node's position in it."""

from __future__ import annotations

from ..clock import Clock
from ..nodes.member import Member
from ..nodes.nodes import Nodes
from ..policies.coldlimits import NodePosition
from ..policies.rendezvous import rank

MAX_CACHED = 1_000
# Time after its start in which a node may not know all others yet, in seconds.
JOIN_SECONDS = 10.0
# Nodes that one which knows nobody yet assumes, before it has read how many there are.
# If it took itself for the only one, nodes that start together would each use the whole
# of what all of them share.
N_ASSUMED = 1_000


class NodeOrder:
    """Ranks the VMs of all known nodes for an endpoint.

    VMs keep their names when their node restarts, so a restart changes no order. Nodes
    that don't run are ranked too: one that is out of touch may still send requests.

    Parameters
    ----------
    nodes : Nodes
        The known nodes.
    clock : Clock
        Measures the time since this node's start.
    """

    def __init__(self, *, nodes: Nodes, clock: Clock) -> None:
        self._nodes = nodes
        self._clock = clock
        self._joined_at = clock.boottime() + JOIN_SECONDS
        self._n_listed: int | None = None
        # By endpoint and number of unknown nodes.
        self._positions: dict[tuple[str, int], NodePosition] = {}
        self._live_positions: dict[tuple[str, int], NodePosition] = {}
        self._owners: dict[str, Member | None] = {}
        nodes.on_change(self._clear)

    def _clear(self) -> None:
        self._positions.clear()
        self._live_positions.clear()
        self._owners.clear()

    def set_n_listed(self, n_nodes: int) -> None:
        """Set how many nodes have a row in the store."""
        self._n_listed = n_nodes
        self._positions.clear()

    def position(self, endpoint: str) -> NodePosition:
        """Return this node's position in the order that belongs to an endpoint.

        Nodes that have a row in the store but aren't known by name yet come first.
        """
        vms = self._vms()
        n_unknown = self._n_unknown(len(vms))
        key = (endpoint, n_unknown)
        position = self._positions.get(key)
        if position is None:
            if len(self._positions) >= MAX_CACHED:
                self._positions.clear()
            position = self._positions[key] = NodePosition(
                index=n_unknown + rank(_key(endpoint), vms).index(self._nodes.me.vm),
                n_nodes=n_unknown + len(vms),
            )
        return position

    def live_position(self, endpoint: str) -> NodePosition:
        """Return this node's position among the running nodes, in the same order.

        The rank of a lost node passes to the next one.
        """
        n_unknown = self._n_unknown(len(self._vms()))
        key = (endpoint, n_unknown)
        position = self._live_positions.get(key)
        if position is None:
            if len(self._live_positions) >= MAX_CACHED:
                self._live_positions.clear()
            me = self._nodes.me.vm
            vms = {member.vm for member in self._nodes.running_members()} | {me}
            position = self._live_positions[key] = NodePosition(
                index=n_unknown + rank(_key(endpoint), vms).index(me),
                n_nodes=n_unknown + len(vms),
            )
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

    def first(self, key: str, n: int) -> list[Member]:
        """Return the first running nodes in the order of any key.

        VMs are ranked, so a node that restarts keeps its place.
        """
        running = {member.vm: member for member in self._nodes.running_members()}
        return [running[vm] for vm in rank(key, running)[:n]]

    def running_nodes(self) -> set[str]:
        """Return the names of the nodes that run, this one included."""
        running = {member.node for member in self._nodes.running_members()}
        return running | {self._nodes.me.node}

    def running_share(self) -> float:
        """Return the share of all VMs whose nodes run and are known to this one."""
        vms = self._vms()
        running = {member.vm for member in self._nodes.running_members()}
        n_running = len(running | {self._nodes.me.vm})
        return n_running / (len(vms) + self._n_unknown(len(vms)))

    def _vms(self) -> set[str]:
        return {member.vm for member in self._nodes.members()} | {self._nodes.me.vm}

    def _n_unknown(self, n_known: int) -> int:
        """Return how many nodes there may be beside the known ones.

        The row of a VM that was lost stays in the store, so rows count only until this
        node has had time to join the others, or as long as it is alone.
        """
        if n_known > 1 and self._clock.boottime() >= self._joined_at:
            return 0
        n_listed = self._n_listed
        if n_listed is None:
            n_listed = N_ASSUMED if n_known == 1 else 0
        return max(0, n_listed - n_known)


def _key(endpoint: str) -> str:
    """Return the key of an endpoint's order, the same in all versions of the nodes."""
    return f"cold {endpoint}"
