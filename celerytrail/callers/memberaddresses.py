"""Adapter from the gossiped membership table to the source of the address API."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal

from ..nodes.member import State
from ..nodes.nodes import Nodes
from .addresses import MemberAddress, MemberSource

StateName = Literal["alive", "suspect", "leaving", "dead"]

_STATE_NAMES: dict[State, StateName] = {
    State.ALIVE: "alive",
    State.LEAVING: "leaving",
    State.SUSPECT: "suspect",
    State.DEAD: "dead",
}


class GossipMemberSource(MemberSource):
    """Provides the members of the gossiped membership table.

    Parameters
    ----------
    nodes : Nodes
        Membership table of this node.
    """

    def __init__(self, *, nodes: Nodes) -> None:
        self._nodes = nodes

    def members(self) -> Iterable[MemberAddress]:
        """Return all members, including this node."""
        return [
            MemberAddress(
                node=member.node,
                address=str(member.caller),
                failure_domain=member.failure_domain,
                region=member.region,
                state=_STATE_NAMES[member.state],
            )
            for member in self._nodes.members()
        ]
