"""Checks right before each request whether its endpoint may still receive it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from eliot import log_message

from ..http.client import MAX_IDLE_PER_ADDRESS
from ..model import EndpointStatements, Registration
from ..policies.coldlimits import ColdEndpoints, ColdShares, NodePosition, RankedShares
from ..policies.evacuations import Evacuations
from ..policies.homes import is_allowed
from ..policies.statedlimits import LimitStatement, StatedLimits
from .placebroker import Place, PlaceBroker
from .tokenbroker import RequestToken, TokenBroker

# Reason for which a request wasn't sent: its endpoint may not receive it now.
ENDPOINT_CLOSED = "endpoint_closed"
# The same, because of the limit that its endpoint states.
ENDPOINT_LIMITED = "endpoint_limited"
# Interval at which a run that continues checks whether its engine may receive it, in
# seconds.
POLL_SECONDS = 0.05
# Shortest wait for room within an endpoint's limits, in seconds.
MIN_WAIT_SECONDS = 0.01


@dataclass(frozen=True, kw_only=True, slots=True)
class Admission:
    """An endpoint that a request may be sent to, with its token and its place."""

    reg: Registration
    token: RequestToken | None
    place: Place


class EndpointGate:
    """Decides whether an endpoint may receive a request at this moment.

    Endpoints are chosen before a connection is opened; by the time the first byte is
    sent, the operator may have evacuated their failure domain, this node may have used
    its share of a cold endpoint's requests, and the endpoint may have stated a limit.

    Parameters
    ----------
    evacuations : Evacuations
        The failure domains that get no new work.
    cold : ColdEndpoints
        The cold endpoints.
    cold_limit : callable
        Returns how many requests per second all nodes together may send to a cold
        endpoint of a service; None without a limit.
    connection_limit : callable
        Returns how many connections an endpoint of a service accepts from all nodes
        together; None if unknown.
    limits : StatedLimits
        The limits that endpoints state.
    broker : TokenBroker
        Obtains tokens for endpoints with a limit.
    brittle : StatedLimits
        The refusals per second that brittle endpoints state to bear.
    places : PlaceBroker
        Obtains places at brittle endpoints.
    on_brittle : callable
        Called with each statement that changes whether an endpoint is brittle.
    on_limit : callable
        Called with each statement that changes an endpoint's limit.
    position : callable
        Returns this node's position in the order that belongs to an endpoint.
    domain_regions : mapping or None
        The region of each failure domain.
    shares : ColdShares or None
        Divides these requests among the nodes; by rank by default.
    """

    def __init__(
        self,
        *,
        evacuations: Evacuations,
        cold: ColdEndpoints,
        cold_limit: Callable[[str], float | None],
        connection_limit: Callable[[str], int | None],
        limits: StatedLimits,
        broker: TokenBroker,
        brittle: StatedLimits,
        places: PlaceBroker,
        on_brittle: Callable[[LimitStatement], None],
        on_limit: Callable[[LimitStatement], None],
        position: Callable[[str], NodePosition],
        domain_regions: Mapping[str, str] | None = None,
        shares: ColdShares | None = None,
    ) -> None:
        self._evacuations = evacuations
        self._cold = cold
        self._cold_limit = cold_limit
        self._connection_limit = connection_limit
        self._limits = limits
        self._broker = broker
        self._brittle = brittle
        self._places = places
        self._on_brittle = on_brittle
        self._on_limit = on_limit
        self._position = position
        self._domain_regions = domain_regions or {}
        self._shares = shares or RankedShares()

    def is_open_for(
        self,
        reg: Registration,
        home_regions: frozenset[str],
        *,
        can_wait: bool = False,
    ) -> bool:
        """Return whether a request with these homes could be sent to an endpoint.

        ``can_wait`` is for runs that continue, which wait for room within its limit.
        """
        is_home = is_allowed(reg.failure_domain, home_regions, self._domain_regions)
        has_room = can_wait or self._seconds_until_open(reg) == 0
        return is_home and has_room and self._is_open(reg)

    def seconds_until_open(self, regs: Iterable[Registration]) -> float | None:
        """Return the time until one of several endpoints has room within its limits.

        None unless all of them are closed because of their limits.
        """
        waits = [self._seconds_until_open(reg) for reg in regs]
        return min(waits, default=0.0) or None

    def _seconds_until_open(self, reg: Registration) -> float:
        return max(
            self._broker.seconds_until_open(reg.endpoint),
            self._places.seconds_until_open(reg.endpoint),
        )

    def is_limited(self, reg: Registration) -> bool:
        """Return whether an endpoint states a limit for all nodes together."""
        endpoint = reg.endpoint
        return self._broker.is_limited(endpoint) or self._places.is_brittle(endpoint)

    async def admit(self, reg: Registration) -> Admission | None:
        """Return the admission of a request to an endpoint, None if its limit forbids.

        An endpoint that refused is closed until it may have room again.
        """
        place = await self._places.take(reg.endpoint, reg.n_slots)
        if place is None:
            return None
        token = None
        if self._broker.is_limited(reg.endpoint):
            try:
                token = await self._broker.take(reg.endpoint)
            finally:
                if token is None:
                    self._places.end(place, is_refused=False)
            if token is None:
                return None
        return Admission(reg=reg, token=token, place=place)

    def end(self, admission: Admission, *, is_refused: bool = False) -> None:
        """Record that an admitted request has ended, or wasn't sent.

        ``is_refused`` says that its endpoint had no room for it.
        """
        self._places.end(admission.place, is_refused=is_refused)

    async def admit_until(self, reg: Registration, deadline: float) -> Admission | None:
        """Return the admission of a run that continues; wait until a deadline."""
        while (admission := await self.admit(reg)) is None:
            seconds = max(self._seconds_until_open(reg), MIN_WAIT_SECONDS)
            if _now() + seconds >= deadline:
                return None
            await asyncio.sleep(seconds)
        return admission

    def _is_open(self, reg: Registration) -> bool:
        if self._evacuations.is_evacuated(reg.failure_domain):
            return False
        return self._has_share(reg, _now())

    def may_begin(self, admission: Admission) -> bool:
        """Return whether a request may be sent to an endpoint now, and count it."""
        reg = admission.reg
        if not self._is_open(reg):
            return False
        if not self._broker.admits(reg.endpoint, admission.token):
            return False
        self._cold.count_request(reg.endpoint, _now())
        return True

    def may_continue(self, admission: Admission) -> bool:
        """Return whether a run may continue from its copy now, and count it."""
        reg = admission.reg
        now = _now()
        if not self._broker.admits(reg.endpoint, admission.token):
            return False
        if not self._evacuations.may_continue(reg.failure_domain, now):
            return False
        if not self._has_share(reg, now):
            return False
        self._cold.count_request(reg.endpoint, now)
        return True

    async def wait_for_share(self, reg: Registration, deadline: float) -> None:
        """Wait until this node has a share of a cold endpoint's requests again."""
        while not self._has_share(reg, _now()):
            if _now() >= deadline:
                return
            await asyncio.sleep(POLL_SECONDS)

    def max_idle_connections(self, reg: Registration) -> int:
        """Return how many idle connections to an endpoint this node may keep.

        Endpoints reset connections beyond those that they accept from all nodes.
        """
        n_max = self._connection_limit(reg.service)
        if n_max is None:
            return MAX_IDLE_PER_ADDRESS
        n_allowed = self._shares.n_allowed(n_max, self._position(reg.endpoint))
        return min(MAX_IDLE_PER_ADDRESS, n_allowed)

    def cold_seconds(self, reg: Registration) -> float:
        """Return for how long an endpoint stays cold."""
        return self._cold.remaining_seconds(reg.endpoint, _now())

    def record_statements(
        self, reg: Registration, stated: EndpointStatements, sent_at: float
    ) -> None:
        """Record what an endpoint states in the answer to a request.

        Parameters
        ----------
        reg : Registration
            The endpoint.
        stated : EndpointStatements
            Its statements.
        sent_at : float
            Loop time at which the request was about to be sent.
        """
        now = _now()
        if stated.cold_seconds > 0:
            self._cold.record(reg.endpoint, now + stated.cold_seconds)
        if stated.refusals_per_second is not None or stated.is_own:
            bears = LimitStatement(
                endpoint=reg.endpoint,
                requests_per_second=stated.refusals_per_second,
                sent_at=sent_at,
                heard_at=now,
            )
            if self.record_brittle(bears):
                self._on_brittle(bears)
        if stated.requests_per_second is None and not stated.is_own:
            return
        statement = LimitStatement(
            endpoint=reg.endpoint,
            requests_per_second=stated.requests_per_second,
            sent_at=sent_at,
            heard_at=now,
        )
        if self.record_limit(statement):
            self._on_limit(statement)

    def record_limit(self, statement: LimitStatement) -> bool:
        """Record an endpoint's limit, and return whether it changes."""
        if not self._limits.record(statement):
            return False
        log_message(
            "relay:endpoint:limit",
            endpoint=statement.endpoint,
            requests_per_second=statement.requests_per_second,
        )
        return True

    def record_brittle(self, statement: LimitStatement) -> bool:
        """Record what an endpoint bears, and return whether that changes."""
        if not self._brittle.record(statement):
            return False
        log_message(
            "relay:endpoint:brittle",
            endpoint=statement.endpoint,
            refusals_per_second=statement.requests_per_second,
        )
        return True

    def _has_share(self, reg: Registration, now: float) -> bool:
        if not self._cold.is_cold(reg.endpoint, now):
            return True
        n_per_second = self._cold_limit(reg.service)
        if n_per_second is None:
            return True
        position = self._position(reg.endpoint)
        n_allowed = self._shares.n_allowed(n_per_second, position)
        return self._cold.n_recent(reg.endpoint, now) < n_allowed


def _now() -> float:
    return asyncio.get_running_loop().time()
