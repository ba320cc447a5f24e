"""What homes need to know of the nodes; `Nodes` is one, tests make others."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .member import Member
from .rendezvous import rank

# Keys of pools and groups of organisations that are kept at a time.
MAX_ORDERS = 2_000


class NodesView(Protocol):
    """The live nodes and news of changes."""

    @property
    def me(self) -> Member:
        """Return this node."""

    def live(self, region: str | None = None) -> tuple[Member, ...]:
        """Return the members that work may be sent to."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call after any change of `live`."""


class Ranking:
    """Ranks of the live nodes, kept until one comes or goes.

    A rank costs a hash for each live node, and one is needed for every request.

    Parameters
    ----------
    nodes : NodesView
        The live nodes.
    """

    def __init__(self, *, nodes: NodesView) -> None:
        self._nodes = nodes
        self._orders: dict[tuple[str, str | None], list[Member]] = {}
        nodes.on_change(self._orders.clear)

    def order(self, key: str, region: str | None) -> list[Member]:
        """Return the live nodes in their order for a key; not to be changed."""
        if len(self._orders) >= MAX_ORDERS:
            self._orders.clear()
        order = self._orders.get((key, region))
        if order is None:
            order = ranked(self._nodes, key, region)
            self._orders[key, region] = order
        return order


def ranked(nodes: NodesView, key: str, region: str | None) -> list[Member]:
    """Return the live nodes in their order for a key, the home first.

    Where no node of the region lives, all nodes are ranked: a home far away is better
    than none.
    """
    members = nodes.live(region) or nodes.live()
    by_name = {member.node: member for member in members}
    return [by_name[name] for name in rank(key, by_name)]
