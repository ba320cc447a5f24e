"""Decides where a request that takes up a stream may go on, or that it can't."""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok, Result

from ..clock import Clock
from ..metrics import Metrics
from ..model import RequestMetadata, Route, RouteKind
from ..policies.callerwaits import CallerWaits
from ..policies.streamorigins import stream_key
from ..policies.versionbinding import UNBOUND, VersionBinding
from .originbroker import OriginBroker
from .registry import Registry

# Reasons for which a stream can't be taken up.
ORIGIN_UNKNOWN = "stream_unknown"
VERSION_GONE = "version_gone"


@dataclass(frozen=True, kw_only=True, slots=True)
class Resumption:
    """Where a request may run: its service, and the version it is bound to, if any.

    ``source`` is how the version became known; empty for a request that begins anew.
    """

    service: str
    binding: VersionBinding = UNBOUND
    source: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class CannotResume:
    """A stream can't be taken up here; ``may_elsewhere`` says another node may."""

    reason: str
    may_elsewhere: bool = False


class Resumptions:
    """Finds where streams may be taken up.

    Parameters
    ----------
    broker : OriginBroker
        Finds what began streams.
    registry : Registry
        Lists the endpoints.
    metrics : Metrics
        Counts streams that are taken up, by what was known of them.
    clock : Clock
        Dates what callers state.
    """

    def __init__(
        self,
        *,
        broker: OriginBroker,
        registry: Registry,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._broker = broker
        self._registry = registry
        self._metrics = metrics
        self._clock = clock
        self._waits = CallerWaits()

    async def resolve(
        self,
        facts: RequestMetadata,
        route: Route,
        organisation: str | None,
        service: str,
    ) -> Result[Resumption, CannotResume]:
        """Return where a request may run.

        Parameters
        ----------
        facts : RequestMetadata
            What its head states.
        route : Route
            The route that it matches.
        organisation : str or None
            The organisation that sends it.
        service : str
            The service that it would begin at.
        """
        if route.kind is not RouteKind.STREAM:
            return Ok(Resumption(service=service))
        if facts.budget_seconds is not None:
            self._waits.record(route.name, facts.budget_seconds, self._clock.boottime())
        if not facts.is_resumption:
            return Ok(Resumption(service=service))
        resolved = await self._resolve(facts, route, organisation)
        outcome = (
            resolved.err_value.reason
            if isinstance(resolved, Err)
            else resolved.ok_value.source
        )
        self._metrics.count("resumptions", outcome=outcome)
        return resolved

    async def _resolve(
        self, facts: RequestMetadata, route: Route, organisation: str | None
    ) -> Result[Resumption, CannotResume]:
        names = [share.service for share in route.shares]
        # The caller states what is left of its time, and the stream may have begun
        # before that; the route's time may have been longer then.
        arrived_at = self._clock.boottime()
        waits = self._waits.longest(route.name, arrived_at)
        found = await self._broker.find(
            stream_key(organisation, facts.resumed_attempt or ""),
            names[0] if len(names) == 1 else "",
            max(route.timeout_seconds, waits),
        )
        if isinstance(found, Err):
            may_elsewhere = found.err_value.may_be_known
            return Err(CannotResume(reason=ORIGIN_UNKNOWN, may_elsewhere=may_elsewhere))
        origin = found.ok_value.origin
        binding = VersionBinding(version=origin.version)
        if origin.service not in names:
            return Err(CannotResume(reason=VERSION_GONE))
        if not self._registry.has_accepting(origin.service, binding):
            # Other nodes may have read rows that this one has yet to read.
            is_told = await self._broker.wait_for_version(origin, arrived_at)
            if not self._registry.has_accepting(origin.service, binding):
                return Err(CannotResume(reason=VERSION_GONE, may_elsewhere=not is_told))
        return Ok(
            Resumption(
                service=origin.service, binding=binding, source=found.ok_value.source
            )
        )
