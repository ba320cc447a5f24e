"""Chooses from which node, or whether from the store, a node gets a table's rows."""

from __future__ import annotations

import asyncio
import itertools
import math

from eliot import log_message

from ..nodes.member import Member
from ..nodes.nodes import Nodes
from ..policies.readers import Candidate, FastLinkOrder, ReaderOrder
from ..policies.rendezvous import rank
from ..rowsource import StoreUnavailable
from ..types import Address

# Rendezvous key by which nodes are ranked as readers.
READERS_KEY = "readers of the store"
# Nodes that one reader serves: each sends about two requests a second, and an answer
# costs the reader about a millisecond.
NODES_PER_READER = 32
# Readers that follow the store itself; the other readers follow these, so that calls to
# the store don't grow with the number of nodes.
N_STORE_READERS = 1
# How long a failed source is avoided, in seconds.
AVOID_SECONDS = 4.0
# The same for a reader that is behind: the next node in rank becomes a reader as soon
# as it notices that.
AVOID_BEHIND_SECONDS = 0.5
# How many other nodes are tried for one request before the store.
MAX_READERS_TRIED = 2
# Shortest time between a failure of the store and the next call to it by a node whose
# rows are overdue, in seconds.
STORE_RETRY_SECONDS = 1.0
# For this long after its start, a node that sees no other node assumes that it has not
# found them yet, in seconds.
SETTLE_SECONDS = 1.5

# The store's name among the sources; other nodes are named by their ids.
STORE = ""


class ReaderBehind(StoreUnavailable):
    """A reader whose rows are too old or of too low a version."""


class RowSources:
    """Ranks the readers and remembers which sources failed.

    Parameters
    ----------
    nodes : Nodes
        The live nodes, among which the readers are ranked.
    order : ReaderOrder or None
        Which nodes become readers; those with fast links by default.
    """

    def __init__(self, *, nodes: Nodes, order: ReaderOrder | None = None) -> None:
        self._nodes = nodes
        self._me = nodes.me.node
        self._order = order or FastLinkOrder()
        self._store_failed_at = -math.inf
        self._avoid_until: dict[str, float] = {}
        self._ranking: list[str] = []
        self._live: dict[str, Member] = {}
        self._settled_at: float | None = None
        nodes.on_change(self._on_nodes_changed)

    @property
    def is_reader(self) -> bool:
        """Return whether this node is a reader."""
        return self._me in self.readers()

    @property
    def is_first_reader(self) -> bool:
        """Return whether this node is the first of the readers."""
        return self.readers()[:1] == [self._me]

    @property
    def is_relayed(self) -> bool:
        """Return whether most nodes get rows over two others."""
        return len(self.readers()) > N_STORE_READERS

    @property
    def is_settled(self) -> bool:
        """Return whether this node has found a reader to follow, or is alone."""
        readers = self.readers()
        if readers and readers != [self._me]:
            return True
        return self._settled_at is not None and _now() >= self._settled_at

    @property
    def max_hops(self) -> int:
        """Return how many nodes may lie between the store and a source of this node.

        Rows that came over more nodes are new enough, but may stem from this node
        itself. Readers follow those that follow the store, and all others the readers.
        """
        readers = self.readers()
        if len(readers) <= N_STORE_READERS or self._me in readers:
            return 0
        return 1

    def on_first_request(self) -> None:
        """Record that this node has started to request rows."""
        if self._settled_at is None:
            self._settled_at = _now() + SETTLE_SECONDS

    def readers(self) -> list[str]:
        """Return the nodes that this node considers to be the readers.

        A reader that failed is left out, and the next node in rank replaces it: that
        node notices the failure too, finds itself among the readers, and turns to the
        store. So a single node takes over the calls to the store, not all of them.
        """
        now = _now()
        ranking = self._ranked()
        available = (
            name
            for name in ranking
            if not self._is_avoided_at(STORE if name == self._me else name, now)
        )
        return list(
            itertools.islice(available, math.ceil(len(ranking) / NODES_PER_READER))
        )

    def address(self, name: str) -> Address | None:
        """Return a node's address, None for the store."""
        self._ranked()
        member = self._live.get(name)
        return member.peer if member is not None else None

    def is_avoided(self, name: str) -> bool:
        """Return whether a source failed recently."""
        return self._is_avoided_at(name, _now())

    def choose(self, tried: set[str], *, is_overdue: bool) -> str | None:
        """Return the source to try next, None if there is none.

        Parameters
        ----------
        tried : set of str
            The sources that have failed for this request.
        is_overdue : bool
            Whether only the store can renew this node's rows in time.
        """
        me = self._me
        now = _now()
        if STORE not in tried and is_overdue and self._can_retry_store(now):
            return STORE
        is_store_available = STORE not in tried and not self._is_avoided_at(STORE, now)
        readers = self.readers()
        followed = readers
        if me in readers:
            followed = readers[:N_STORE_READERS]
            if me in followed and is_store_available:
                return STORE
        n_nodes_tried = len(tried - {STORE})
        others = [name for name in followed if name not in tried and name != me]
        if is_store_available and (n_nodes_tried >= MAX_READERS_TRIED or not others):
            return STORE
        if others:
            return rank(me, self._in_own_domain(others) or others)[0]
        return self._choose_among_failed(tried)

    def on_answered(self, name: str) -> None:
        """Record that a source answered."""
        if name == STORE:
            self._avoid_until.pop(STORE, None)

    def on_failed(self, name: str, exc: StoreUnavailable) -> None:
        """Record that a source failed; it is avoided for a while."""
        now = _now()
        if name == STORE:
            self._store_failed_at = now
        former = self._avoid_until.get(name, -math.inf)
        is_first = now - former > AVOID_SECONDS
        is_brief = is_first and isinstance(exc, ReaderBehind)
        self._avoid_until[name] = now + (
            AVOID_BEHIND_SECONDS if is_brief else AVOID_SECONDS
        )
        log_message(
            "relay:rows:source_failed", source=name or "store", reason=exc.reason
        )

    def avoid(self, name: str) -> None:
        """Avoid a source for a while."""
        self._avoid_until[name] = _now() + AVOID_SECONDS

    def _on_nodes_changed(self) -> None:
        self._ranking = []

    def _ranked(self) -> list[str]:
        if not self._ranking:
            self._live = {member.node: member for member in self._nodes.live()}
            self._ranking = self._order.arrange(
                [
                    Candidate(
                        node=name,
                        failure_domain=self._live[name].failure_domain,
                        link_mbps=self._live[name].link_mbps,
                    )
                    for name in rank(READERS_KEY, self._live)
                ]
            )
        return self._ranking

    def _is_avoided_at(self, name: str, now: float) -> bool:
        return self._avoid_until.get(name, 0.0) > now

    def _can_retry_store(self, now: float) -> bool:
        return now - self._store_failed_at >= STORE_RETRY_SECONDS

    def _in_own_domain(self, names: list[str]) -> list[str]:
        """Return the nodes of this node's failure domain; traffic to others costs."""
        own = self._nodes.me.failure_domain
        return [name for name in names if self._live[name].failure_domain == own]

    def _choose_among_failed(self, tried: set[str]) -> str | None:
        """Return the source to try if all have failed recently, the store included."""
        me = self._me
        rest = [name for name in self._ranked() if name not in tried and name != me]
        n_nodes_tried = len(tried - {STORE})
        if STORE not in tried and (n_nodes_tried >= MAX_READERS_TRIED or not rest):
            return STORE
        # Prefers the one that failed longest ago.
        return min(
            rest, key=lambda name: self._avoid_until.get(name, 0.0), default=None
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
