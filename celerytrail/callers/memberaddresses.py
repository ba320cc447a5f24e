"""The nodes, as address answers name them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal

from ..nodes.member import State
from ..nodes.nodes import Nodes
from .addresses import MemberAddress, MemberSource

StateName = Literal["alive", "suspect", "leaving", "dead"]

_NAMES: dict[State, StateName] = {
    State.ALIVE: "alive",
    State.LEAVING: "leaving",
    State.SUSPECT: "suspect",
    State.DEAD: "dead",
}


class NodesSource(MemberSource):
    """Gives the members that gossip knows.

    Parameters
    ----------
    nodes : Nodes
        What this node knows of the others and itself.
    """

    def __init__(self, *, nodes: Nodes) -> None:
        self._nodes = nodes

    def members(self) -> Iterable[MemberAddress]:
        """Return all members, this node included."""
        return [
            MemberAddress(
                node=member.node,
                address=str(member.caller),
                failure_domain=member.failure_domain,
                region=member.region,
                state=_NAMES[member.state],
            )
            for member in self._nodes.members()
        ]
