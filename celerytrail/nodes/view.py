"""The interface to the live nodes that homes use, and the ranking of nodes by key.

`Nodes` implements the interface; tests use other implementations.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..policies.rendezvous import rank
from .member import Member

# One for each key of a pool or of a group of organisations, by region.
MAX_CACHED_RANKINGS = 2_000


class NodesView(Protocol):
    """Provides the live nodes and notifies of changes."""

    @property
    def me(self) -> Member:
        """Return this node."""

    def live(self, region: str | None = None) -> tuple[Member, ...]:
        """Return the members that accept work."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for each change of `live`."""


class Ranking:
    """Caches the ranking of the live nodes by key until the live nodes change.

    Every request needs a ranking, and each one costs a hash for each live node.

    Parameters
    ----------
    nodes : NodesView
        The live nodes.
    """

    def __init__(self, *, nodes: NodesView) -> None:
        self._nodes = nodes
        self._rankings: dict[tuple[str, str | None], list[Member]] = {}
        nodes.on_change(self._rankings.clear)

    def ranked_nodes(self, key: str, region: str | None) -> list[Member]:
        """Return the live nodes ranked for a key; callers must not modify the list."""
        if len(self._rankings) >= MAX_CACHED_RANKINGS:
            self._rankings.clear()
        ranking = self._rankings.get((key, region))
        if ranking is None:
            ranking = ranked(self._nodes, key, region)
            self._rankings[key, region] = ranking
        return ranking


def ranked(nodes: NodesView, key: str, region: str | None) -> list[Member]:
    """Rank the live nodes for a key; the first is the home.

    If the region has no live node, the nodes of all regions are ranked, as a distant
    home is better than none.
    """
    members = nodes.live(region) or nodes.live()
    by_name = {member.node: member for member in members}
    return [by_name[name] for name in rank(key, by_name)]
