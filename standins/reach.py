"""Records when nodes are out of touch, and which endpoints they don't reach."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from collections.abc import Iterable

from .places import Span


class Reach:
    """Records the times in which nodes don't reach endpoints.

    An empty name stands for all nodes, or for all endpoints.
    """

    def __init__(self) -> None:
        self._spans: defaultdict[tuple[str, str], list[Span]] = defaultdict(list)

    def add(self, node: str, endpoint: str, span: Span) -> None:
        """Record a time in which a node didn't reach an endpoint."""
        self._spans[node, endpoint].append(span)

    def lose(self, node: str, endpoint: str) -> None:
        """Record that a node doesn't reach an endpoint from now on."""
        self.add(node, endpoint, (asyncio.get_running_loop().time(), math.inf))

    def find(self, node: str, endpoint: str, later: float = 0.0) -> None:
        """Record that a node reaches an endpoint again, now or some seconds later."""
        at = asyncio.get_running_loop().time() + later
        spans = self._spans[node, endpoint]
        spans[:] = [(since, min(until, at)) for since, until in spans]

    def is_lost(self, node: str, endpoint: str) -> bool:
        """Return whether a node doesn't reach an endpoint now."""
        now = asyncio.get_running_loop().time()
        return any(until > now for _, until in self._spans[node, endpoint])

    def spans(self, nodes: Iterable[str], endpoint: str) -> list[Span]:
        """Return when nodes were out of touch, or didn't reach an endpoint."""
        links = [("", ""), ("", endpoint)]
        links += [link for node in nodes for link in ((node, ""), (node, endpoint))]
        return [span for link in links for span in self._spans[link]]
