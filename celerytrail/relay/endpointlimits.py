"""What endpoints state for all nodes together, and what keeps it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from eliot import log_message

from ..clock import Clock
from ..http.client import HttpClient
from ..http.network import Network
from ..http.routes import Router
from ..metrics import Metrics
from ..model import EndpointStatements, Registration
from ..nodes.signing import PeerKeys
from ..policies.statedlimits import LimitStatement, StatedLimits
from .nodeorder import NodeOrder
from .peerrequests import PeerRequests
from .placebroker import PlaceBroker
from .tokenbroker import TokenBroker

Announce = Callable[[Sequence[LimitStatement]], None]


class EndpointLimits:
    """Holds the limits that endpoints state, and obtains what requests need there.

    Parameters
    ----------
    node : str
        This node's name.
    node_order : NodeOrder
        The owner of each endpoint, and this node's position.
    network : Network
        Carries the requests to owners.
    keys : PeerKeys
        Sign requests, and verify those of other nodes.
    announce_rates, announce_brittle : callable
        Announce limits on requests, and endpoints that fall over, to the other nodes.
    clock : Clock
        Measures the age of tokens.
    metrics : Metrics
        Counts requests for tokens and places.
    """

    def __init__(
        self,
        *,
        node: str,
        node_order: NodeOrder,
        network: Network,
        keys: PeerKeys,
        announce_rates: Announce,
        announce_brittle: Announce,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._announce_rates = announce_rates
        self._announce_brittle = announce_brittle
        # The requests per second that endpoints take, and the refusals that they bear.
        requests = PeerRequests(
            client=HttpClient(process=node, network=network), keys=keys, metrics=metrics
        )
        self.rates = StatedLimits()
        self.brittle = StatedLimits()
        self.tokens = TokenBroker(
            node=node,
            limits=self.rates,
            node_order=node_order,
            requests=requests,
            announce=announce_rates,
            clock=clock,
            metrics=metrics,
        )
        self.places = PlaceBroker(
            node=node,
            brittle=self.brittle,
            node_order=node_order,
            requests=requests,
            announce=announce_brittle,
            metrics=metrics,
        )

    def add_routes(self, router: Router) -> None:
        """Add the routes at which other nodes ask this one as an owner."""
        self.tokens.add_routes(router)
        self.places.add_routes(router)

    async def run(self) -> None:
        """Announce the limits of owned endpoints periodically, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.tokens.run())
            group.create_task(self.places.run())

    def seconds_until_open(self, endpoint: str) -> float:
        """Return the time until a request to an endpoint may be admitted."""
        return max(
            self.tokens.seconds_until_open(endpoint),
            self.places.seconds_until_open(endpoint),
        )

    def is_limited(self, endpoint: str) -> bool:
        """Return whether an endpoint states a limit for all nodes together."""
        return self.tokens.is_limited(endpoint) or self.places.is_brittle(endpoint)

    def record_statements(
        self, reg: Registration, stated: EndpointStatements, sent_at: float, now: float
    ) -> None:
        """Record what an endpoint states in its answer to a request.

        What it doesn't state has ended, if the answer is certainly its own.
        """
        for limit, record, announce in (
            (stated.refusals_per_second, self.record_brittle, self._announce_brittle),
            (stated.requests_per_second, self.record_rate, self._announce_rates),
        ):
            if limit is None and not stated.is_own:
                continue
            statement = LimitStatement(
                endpoint=reg.endpoint,
                requests_per_second=limit,
                sent_at=sent_at,
                heard_at=now,
            )
            if record(statement):
                announce([statement])

    def record_rate(self, statement: LimitStatement) -> bool:
        """Record an endpoint's limit, and return whether it changes."""
        if not self.rates.record(statement):
            return False
        log_message(
            "relay:endpoint:limit",
            endpoint=statement.endpoint,
            requests_per_second=statement.requests_per_second,
        )
        return True

    def record_brittle(self, statement: LimitStatement) -> bool:
        """Record the refusals that an endpoint bears; return whether that changes."""
        if not self.brittle.record(statement):
            return False
        log_message(
            "relay:endpoint:brittle",
            endpoint=statement.endpoint,
            refusals_per_second=statement.requests_per_second,
        )
        return True

    def expire(self, now: float, is_known: Callable[[str], bool]) -> None:
        """Forget the limits of endpoints that are gone, and those that have ended."""
        for limits in (self.rates, self.brittle):
            for statement in limits.in_force():
                if not is_known(statement.endpoint):
                    limits.forget(statement.endpoint)
            limits.expire(now)
