"""What homes need to know of the nodes; `Nodes` is one, tests make others."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .member import Member
from .rendezvous import rank


class NodesView(Protocol):
    """The live nodes and news of changes."""

    @property
    def me(self) -> Member:
        """Return this node."""

    def live(self, region: str | None = None) -> tuple[Member, ...]:
        """Return the members that work may be sent to."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call after any change of `live`."""


def ranked(nodes: NodesView, key: str, region: str | None) -> list[Member]:
    """Return the live nodes in their order for a key, the home first.

    Where no node of the region lives, all nodes are ranked: a home far away is better
    than none.
    """
    members = nodes.live(region) or nodes.live()
    by_name = {member.node: member for member in members}
    return [by_name[name] for name in rank(key, by_name)]
