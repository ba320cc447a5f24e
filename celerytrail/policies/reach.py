"""Which endpoints this node reaches itself, and which only other nodes reach.

The load pattern: a node loses the path to some or all endpoints for seconds, while
callers, the store and the other nodes still reach it. Its connections hang, are reset,
or go on while new ones are refused. Half of the nodes, a failure domain, or nearly all
lose it at once. An endpoint that nobody reaches is down, which is no loss of the path,
and one that is silent for a moment is neither.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import TypeVar

from ..types import Address

N = TypeVar("N")

# Interval at which a lost path is tried again, in seconds.
RETRY_SECONDS = 0.5
# How long no other node is asked for an endpoint that several didn't reach, in seconds.
DOWN_SECONDS = 0.5
# How long a connection shows that an endpoint is reached, in seconds.
REACHED_SECONDS = 2.0
# Endpoints of a service, of those tried lately, that a node must have failed to reach
# to count as cut off from it: this many, or all that there are, and more than a share.
N_UNREACHED = 3
UNREACHED_SHARE = 0.5
# How long a node counts as cut off after the path is back, in seconds.
RETURN_SECONDS = 1.5
# How long a node's statement of the services that it is cut off from holds, in seconds.
STATEMENT_SECONDS = 3.5
# Interval at which a node repeats its statement, in seconds.
STATEMENT_PERIOD_SECONDS = 1.0
# Share of the serving nodes that callers are sent to at least. If fewer reach the
# endpoints, callers are sent to all, and the few others aren't overrun.
MIN_LISTED_SHARE = 0.5


@dataclass(kw_only=True, slots=True)
class _Unreached:
    """An endpoint that this node failed to reach.

    ``is_lost`` says that another node reached it meanwhile.
    """

    is_lost: bool = False
    retry_at: float


class Reach:
    """Knows the endpoints that this node fails to reach.

    The path to one is lost if this node can't connect to it while another node can.
    """

    def __init__(self) -> None:
        self._unreached: dict[Address, _Unreached] = {}
        self._reached_at: dict[Address, float] = {}
        self._down_until: dict[Address, float] = {}
        # By service, when this node counts no longer as cut off from it.
        self._cut_off_until: dict[str, float] = {}

    def record_reached(self, address: Address, now: float) -> bool:
        """Record that this node reached an endpoint; return whether it was lost."""
        self._reached_at[address] = now
        self._down_until.pop(address, None)
        known = self._unreached.pop(address, None)
        return known is not None and known.is_lost

    def record_unreached(self, address: Address, now: float) -> bool:
        """Record that this node failed to reach an endpoint; return if that's new."""
        if address in self._unreached:
            return False
        self._unreached[address] = _Unreached(retry_at=now + RETRY_SECONDS)
        return True

    def record_lost(self, address: Address, now: float) -> bool:
        """Record that only another node reached an endpoint; return if that's new."""
        self._down_until.pop(address, None)
        self.record_unreached(address, now)
        known = self._unreached[address]
        is_new = not known.is_lost
        known.is_lost = True
        return is_new

    def record_down(self, address: Address, now: float) -> None:
        """Record that neither this node nor others reached an endpoint."""
        self._down_until[address] = now + DOWN_SECONDS

    def is_lost(self, address: Address) -> bool:
        """Return whether this node has lost the path to an endpoint."""
        known = self._unreached.get(address)
        return known is not None and known.is_lost

    def is_unreached(self, address: Address) -> bool:
        """Return whether this node failed to reach an endpoint when it last tried."""
        return address in self._unreached

    def is_down(self, address: Address, now: float) -> bool:
        """Return whether no node reached an endpoint a short while ago."""
        return now < self._down_until.get(address, 0.0)

    def is_retry_due(self, address: Address, now: float) -> bool:
        """Return whether an endpoint should be tried again, and count it as tried."""
        known = self._unreached.get(address)
        if known is None or now < known.retry_at:
            return False
        known.retry_at = now + RETRY_SECONDS
        return True

    def unreached(self) -> list[Address]:
        """Return the endpoints that this node failed to reach when it last tried."""
        return list(self._unreached)

    @property
    def n_lost(self) -> int:
        """Return the number of endpoints that only other nodes reach."""
        return sum(known.is_lost for known in self._unreached.values())

    def update_service(
        self, service: str, addresses: Collection[Address], now: float
    ) -> bool:
        """Return whether this node counts as cut off from a service.

        It does so for a while after the path is back. Otherwise callers would go to and
        fro with a path that comes and goes.
        """
        if self._is_unreached(addresses, now):
            self._cut_off_until[service] = now + RETURN_SECONDS
        return now < self._cut_off_until.get(service, 0.0)

    def _is_unreached(self, addresses: Collection[Address], now: float) -> bool:
        """Return whether this node fails to reach the endpoints that it tried."""
        n_unreached = sum(address in self._unreached for address in addresses)
        n_reached = sum(
            now - self._reached_at.get(address, -REACHED_SECONDS) < REACHED_SECONDS
            for address in addresses
            if address not in self._unreached
        )
        if not n_unreached or n_unreached < min(N_UNREACHED, len(addresses)):
            return False
        return n_unreached > UNREACHED_SHARE * (n_unreached + n_reached)

    def keep(self, addresses: Iterable[Address], now: float) -> None:
        """Forget endpoints that are gone."""
        known = set(addresses)
        for address in self._unreached.keys() - known:
            del self._unreached[address]
        self._reached_at = {
            address: at
            for address, at in self._reached_at.items()
            if address in known and now - at < REACHED_SECONDS
        }
        self._down_until = {
            address: until for address, until in self._down_until.items() if now < until
        }


@dataclass(frozen=True, kw_only=True, slots=True)
class _Statement:
    services: frozenset[str]
    holds_until: float


class CutOffNodes:
    """Knows which nodes state that they are cut off from services."""

    def __init__(self) -> None:
        self._statements: dict[str, _Statement] = {}

    def record(self, node: str, services: Collection[str], now: float) -> None:
        """Record the services that a node is cut off from; none ends its statement."""
        self._statements = {
            name: statement
            for name, statement in self._statements.items()
            if now < statement.holds_until
        }
        if not services:
            self._statements.pop(node, None)
            return
        self._statements[node] = _Statement(
            services=frozenset(services), holds_until=now + STATEMENT_SECONDS
        )

    def is_cut_off(self, node: str, now: float, service: str | None = None) -> bool:
        """Return whether a node is cut off from a service, or from any."""
        statement = self._statements.get(node)
        if statement is None or now >= statement.holds_until:
            return False
        return service is None or service in statement.services

    def n_cut_off(self, now: float) -> int:
        """Return the number of nodes that are cut off from a service."""
        return sum(self.is_cut_off(node, now) for node in self._statements)


def listed_nodes(nodes: Sequence[N], is_cut_off: Callable[[N], bool]) -> Sequence[N]:
    """Return the nodes to send callers to: those not cut off, if they suffice."""
    reaching = [node for node in nodes if not is_cut_off(node)]
    return reaching if len(reaching) >= MIN_LISTED_SHARE * len(nodes) else nodes
