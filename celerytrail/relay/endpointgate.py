"""Checks right before each request whether its endpoint may still receive it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from ..http.pool import MAX_IDLE_PER_ADDRESS
from ..model import Prompt, Registration
from ..policies.blockedprompts import Block, BlockedPrompts
from ..policies.coldlimits import ColdEndpoints, ColdShares, NodePosition, RankedShares
from ..policies.evacuations import Evacuations
from ..policies.homes import is_allowed
from ..policies.statedpauses import StatedPauses
from .endpointlimits import EndpointLimits
from .endpointpaces import EndpointPaces
from .placebroker import Place
from .tokenbroker import RequestToken

# Reason for which a request wasn't sent: its endpoint may not receive it now.
ENDPOINT_CLOSED = "endpoint_closed"
# The same, because of the limit that its endpoint states.
ENDPOINT_LIMITED = "endpoint_limited"
# Reasons for which a request isn't sent anywhere: prompts like its own crash engines,
# or it crashes endpoints by itself.
PROMPT_BLOCKED = "prompt_blocked"
REQUEST_BLOCKED = "request_blocked"
# Interval at which a run that continues checks whether its engine may receive it, in
# seconds.
POLL_SECONDS = 0.05
# Shortest wait for room within an endpoint's limits, in seconds.
MIN_WAIT_SECONDS = 0.01


@dataclass(frozen=True, kw_only=True, slots=True)
class Admission:
    """An endpoint that a request may be sent to, with its token and its place.

    ``prompt`` is what the request's prompt consists of. ``is_probe`` says that it is
    the first request after a pause.
    """

    reg: Registration
    prompt: Prompt
    token: RequestToken | None
    place: Place
    is_probe: bool = False


class EndpointGate:
    """Decides whether an endpoint may receive a request at this moment.

    Endpoints are chosen before a connection is opened; by the time the first byte is
    sent, the operator may have evacuated their failure domain, this node may have used
    its share of a cold endpoint's requests, and the endpoint may have stated a limit,
    asked for a pause or said that it leaves.

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
    limits : EndpointLimits
        What endpoints state for all nodes together.
    pauses : StatedPauses
        The pauses that endpoints asked this node for.
    is_leaving : callable
        Returns whether an endpoint said that it leaves.
    position : callable
        Returns this node's position in the order that belongs to an endpoint.
    paces : EndpointPaces
        The pace of endpoints that have started or recovered.
    domain_regions : mapping or None
        The region of each failure domain.
    blocked : BlockedPrompts
        The requests that no endpoint gets.
    is_suspect : callable
        Returns whether a request may have crashed an endpoint.
    await_causes : callable
        Waits until it is known why a suspect was lost once more.
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
        limits: EndpointLimits,
        pauses: StatedPauses,
        is_leaving: Callable[[Registration], bool],
        position: Callable[[str], NodePosition],
        blocked: BlockedPrompts,
        is_suspect: Callable[[Prompt], bool],
        await_causes: Callable[[Prompt], Awaitable[None]],
        paces: EndpointPaces,
        domain_regions: Mapping[str, str] | None = None,
        shares: ColdShares | None = None,
    ) -> None:
        self._evacuations = evacuations
        self._cold = cold
        self._cold_limit = cold_limit
        self._connection_limit = connection_limit
        self._limits = limits
        self._pauses = pauses
        self._is_leaving = is_leaving
        self._position = position
        self._blocked = blocked
        self.is_suspect = is_suspect
        self._await_causes = await_causes
        self._paces = paces
        self._domain_regions = domain_regions or {}
        self._shares = shares or RankedShares()

    def find_block(self, prompt: Prompt) -> Block | None:
        """Return what keeps a request from all endpoints, if anything does."""
        return self._blocked.find(prompt, _now())

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

    def held_back(
        self, regs: Sequence[Registration], usable: Sequence[Registration]
    ) -> frozenset[str]:
        """Return the endpoints that are closed to this node by their pace.

        Callers choose among the others, and among these if they find none. Nothing is
        held back if too many of the service's endpoints are paced.

        Parameters
        ----------
        regs : sequence of Registration
            The endpoints to choose from.
        usable : sequence of Registration
            All endpoints of the service that may get the request.
        """
        held = frozenset(reg.endpoint for reg in regs if self._paces.is_held_back(reg))
        return held if held and self._paces.is_in_force(usable) else frozenset()

    def find_trial(
        self, regs: Sequence[Registration], usable: Sequence[Registration]
    ) -> Sequence[Registration]:
        """Return the endpoints of which one should get this node's next request."""
        trials = [reg for reg in regs if self._paces.wants_trial(reg)]
        return trials if trials and self._paces.is_in_force(usable) else ()

    def seconds_until_open(self, regs: Iterable[Registration]) -> float | None:
        """Return the time until one of several endpoints may get a request.

        None unless all of them are closed because of their limits and pauses.
        """
        waits = [self._seconds_until_open(reg) for reg in regs]
        return min(waits, default=0.0) or None

    def return_seconds(self, regs: Iterable[Registration]) -> float | None:
        """Return after which time a caller should return that found all of them closed.

        None unless all are; callers that come in a pause return in order, spread.
        """
        now = _now()
        waits = [
            max(
                self._limits.seconds_until_open(reg.endpoint),
                self._pauses.return_seconds(reg.incarnation, now),
            )
            for reg in regs
        ]
        return min(waits, default=0.0) or None

    def is_leaving(self, reg: Registration) -> bool:
        """Return whether an endpoint said that it leaves."""
        return self._is_leaving(reg)

    def is_limited(self, reg: Registration) -> bool:
        """Return whether an endpoint states a limit, or wants no requests now."""
        return self._limits.is_limited(reg.endpoint) or self.is_paused(reg)

    def is_paused(self, reg: Registration) -> bool:
        """Return whether an endpoint wants no requests from this node now."""
        return self._pauses.is_paused(reg.incarnation, _now())

    async def admit(self, reg: Registration, prompt: Prompt) -> Admission | None:
        """Return the admission of a request to an endpoint, None if it is closed.

        An endpoint that refused is closed until it may have room again.
        """
        incarnation = reg.incarnation
        if self._pauses.seconds_until_open(incarnation, _now()) > 0:
            return None
        is_probe = self._pauses.begin_probe(incarnation, _now())
        admission = None
        try:
            admission = await self._admit_within_limits(reg, prompt, is_probe=is_probe)
        finally:
            if is_probe and admission is None:
                self._pauses.end_probe(incarnation)
        return admission

    async def _admit_within_limits(
        self, reg: Registration, prompt: Prompt, *, is_probe: bool = False
    ) -> Admission | None:
        await self._await_causes(prompt)
        place = await self._limits.places.take(reg.endpoint, reg.n_slots)
        if place is None:
            return None
        token = None
        if self._limits.tokens.is_limited(reg.endpoint):
            try:
                token = await self._limits.tokens.take(reg.endpoint)
            finally:
                if token is None:
                    self._limits.places.end(place, is_refused=False)
            if token is None:
                return None
        return Admission(
            reg=reg, prompt=prompt, token=token, place=place, is_probe=is_probe
        )

    def end(self, admission: Admission, *, is_refused: bool = False) -> None:
        """Record that an admitted request has ended, or wasn't sent.

        ``is_refused`` says that its endpoint had no room for it.
        """
        self._limits.places.end(admission.place, is_refused=is_refused)
        if admission.is_probe:
            self._pauses.end_probe(admission.reg.incarnation)

    async def admit_until(
        self, reg: Registration, prompt: Prompt, deadline: float
    ) -> Admission | None:
        """Return the admission of a run that continues; wait until a deadline."""
        while True:
            admission = None
            if self._may_continue_now(reg):
                admission = await self._admit_within_limits(reg, prompt)
            if admission is not None:
                return admission
            seconds = max(self._seconds_until_open(reg), MIN_WAIT_SECONDS)
            if _now() + seconds >= deadline:
                return None
            await asyncio.sleep(seconds)

    def take_continuation(self, reg: Registration) -> bool:
        """Return whether a request for work in progress may be sent in a pause."""
        return self._pauses.take_continuation(reg.incarnation, _now())

    def _may_continue_now(self, reg: Registration) -> bool:
        return not self.is_paused(reg) or self.take_continuation(reg)

    def _seconds_until_open(self, reg: Registration) -> float:
        return max(
            self._limits.seconds_until_open(reg.endpoint),
            self._pauses.seconds_until_open(reg.incarnation, _now()),
        )

    def _is_open(self, reg: Registration) -> bool:
        if self._evacuations.is_evacuated(reg.failure_domain):
            return False
        return self._has_share(reg, _now())

    def may_begin(self, admission: Admission) -> bool:
        """Return whether a request may be sent to an endpoint now, and count it."""
        reg = admission.reg
        if self.find_block(admission.prompt) is not None:
            return False
        if not self._is_open(reg) or self._is_leaving(reg):
            return False
        is_probe = admission.is_probe
        if not self._pauses.admits(reg.incarnation, _now(), is_probe=is_probe):
            return False
        if not self._limits.tokens.admits(reg.endpoint, admission.token):
            return False
        self._cold.count_request(reg.endpoint, _now())
        return True

    def may_continue(self, admission: Admission) -> bool:
        """Return whether a run may continue from its copy now, and count it."""
        reg = admission.reg
        now = _now()
        if self.find_block(admission.prompt) is not None:
            return False
        if not self._limits.tokens.admits(reg.endpoint, admission.token):
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

    def _has_share(self, reg: Registration, now: float) -> bool:
        if not self._cold.is_cold(reg.endpoint, now):
            return True
        n_per_second = self._cold_limit(reg.service)
        if n_per_second is None:
            return True
        position = self._position(reg.endpoint)
        n_allowed = self._shares.n_allowed(n_per_second, position)
        return self._cold.n_recent(reg.endpoint, now) < n_allowed


def reason_of(block: Block) -> str:
    """Return the reason for which requests that meet a block are refused."""
    return REQUEST_BLOCKED if block.is_on_one_request else PROMPT_BLOCKED


def _now() -> float:
    return asyncio.get_running_loop().time()
