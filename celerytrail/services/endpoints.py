"""The endpoints of plain services: their known state and the choice among them."""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from eliot import log_message
from result import Err, Ok

from ..clock import Clock
from ..configuration.current import Configuration
from ..configuration.document import EndpointSpec, VersionedDocument
from ..decoding import decode_json
from ..http.client import HttpClient
from ..leaving import LeavingTracker
from ..metrics import Metrics
from ..policies.loadreports import EndpointReport
from ..supervision import Supervisor
from ..types import Address

POLL_INTERVAL_SECONDS = 1.0
POLL_TIMEOUT_SECONDS = 1.0
SUSPECT_SECONDS = 2.0
SUSPECT_LOAD_PENALTY = 1_000.0
CROSS_DOMAIN_LOAD_PENALTY = 0.05


@dataclass(kw_only=True, slots=True)
class EndpointView:
    """Holds this node's current knowledge of one endpoint.

    Parameters
    ----------
    spec : EndpointSpec
        The endpoint's part of the document.
    report : EndpointReport or None
        Its latest load report.
    n_outstanding : int
        Calls that this node has sent to it and that have not ended.
    suspect_until : float
        Monotonic time in seconds until which other endpoints are preferred, as this
        one did not answer.
    """

    spec: EndpointSpec
    report: EndpointReport | None = None
    n_outstanding: int = 0
    suspect_until: float = 0.0

    def load(self, now: float, failure_domain: str) -> float:
        """Return the load estimate, as a fraction of the endpoint's capacity.

        Reports are delayed, so this node's outstanding calls are added to them. A call
        that is briefly counted twice spreads the load. Without the addition, all calls
        of the next second would go to the endpoint that last reported the lowest load.
        """
        n_calls = float(self.n_outstanding)
        capacity = 1
        if self.report is not None:
            n_calls += self.report.n_running + self.report.n_waiting
            capacity = max(self.report.capacity, 1)
        load = n_calls / capacity
        if self.spec.failure_domain != failure_domain:
            load += CROSS_DOMAIN_LOAD_PENALTY
        if now < self.suspect_until:
            load += SUSPECT_LOAD_PENALTY
        return load


def choose(
    views: Iterable[EndpointView],
    *,
    excluded: Collection[str],
    is_leaving: Callable[[str], bool],
    now: float,
    failure_domain: str,
    rng: random.Random,
) -> EndpointView | None:
    """Return the least loaded endpoint that is neither leaving nor excluded."""
    candidates = [
        view
        for view in views
        if view.spec.name not in excluded and not is_leaving(view.spec.name)
    ]
    if not candidates:
        return None
    return min(candidates, key=lambda v: (v.load(now, failure_domain), rng.random()))


@dataclass(kw_only=True, slots=True)
class _Service:
    views: dict[str, EndpointView] = field(default_factory=dict)


class EndpointDirectory:
    """Tracks the endpoints of all services and polls them for their load.

    Parameters
    ----------
    configuration : Configuration
        Provides the document that lists the endpoints.
    leaving : LeavingTracker
        Holds which endpoints are leaving; updated from the document and from load
        reports.
    http : HttpClient
        Sends the polls.
    clock : Clock
        Its monotonic time must be the event loop's.
    rng : random.Random
        Breaks ties and adds jitter to the poll interval.
    failure_domain : str
        This node's failure domain, whose endpoints are slightly preferred.
    metrics : Metrics or None
        Counts invalid reports.
    supervisor : Supervisor or None
        Runs the polls; one of its own by default.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        leaving: LeavingTracker,
        http: HttpClient,
        clock: Clock,
        rng: random.Random,
        failure_domain: str = "",
        metrics: Metrics | None = None,
        supervisor: Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or Supervisor(
            metrics=metrics or Metrics(process="endpoints")
        )
        self._leaving = leaving
        self._http = http
        self._clock = clock
        self._rng = rng
        self._failure_domain = failure_domain
        self._metrics = metrics
        self._services: dict[str, _Service] = {}
        self._pollers: dict[EndpointSpec, asyncio.Task[None]] = {}
        self._is_running = False
        self._apply(configuration.current)
        configuration.subscribe(self._apply)

    def start(self) -> None:
        """Start to poll all endpoints for their load."""
        self._is_running = True
        self._start_pollers()

    def close(self) -> None:
        """Stop polling."""
        self._is_running = False
        for task in self._pollers.values():
            task.cancel()
        self._pollers.clear()

    def choose(self, service: str, excluded: Collection[str]) -> EndpointView | None:
        """Return the endpoint for the next call of a service, or None without one."""
        known_service = self._services.get(service)
        if known_service is None:
            return None
        wall = self._clock.wall()
        return choose(
            known_service.views.values(),
            excluded=excluded,
            is_leaving=lambda name: self._leaving.is_leaving(name, wall),
            now=self._clock.monotonic(),
            failure_domain=self._failure_domain,
            rng=self._rng,
        )

    def views(self, service: str) -> list[EndpointView]:
        """Return the views of a service's endpoints, for operators."""
        known_service = self._services.get(service)
        return [] if known_service is None else list(known_service.views.values())

    def record_failure(self, view: EndpointView) -> None:
        """Prefer other endpoints for a while, as this one could not be reached."""
        view.suspect_until = self._clock.monotonic() + SUSPECT_SECONDS

    def on_load_report(self, view: EndpointView, body: bytes) -> None:
        """Decode an endpoint's load report and apply it to its view."""
        decoded = decode_json(body, EndpointReport)
        if isinstance(decoded, Err):
            self._reject_report(view, decoded.err_value)
            return
        report = decoded.ok_value
        if report.endpoint != view.spec.name:
            self._reject_report(view, f"report names {report.endpoint!r}")
            return
        view.report = report
        view.suspect_until = 0.0
        if report.leaving_at is not None:
            self._leaving.record(view.spec.name, "report", self._clock.wall())
        else:
            self._leaving.withdraw(view.spec.name, "report")

    def _reject_report(self, view: EndpointView, problem: str) -> None:
        log_message("services:bad_report", place=view.spec.name, problem=problem)
        if self._metrics is not None:
            self._metrics.count("bad_input", peer="service", problem="report")

    def _apply(self, versioned: VersionedDocument) -> None:
        """Apply a new document, keeping the views of endpoints that remain."""
        services: dict[str, _Service] = {}
        for spec in versioned.document.services:
            old_views = self._services.get(spec.name, _Service()).views
            service = services[spec.name] = _Service()
            for endpoint in spec.endpoints:
                view = old_views.get(endpoint.name)
                if view is None or view.spec.address != endpoint.address:
                    view = EndpointView(spec=endpoint)
                view.spec = endpoint
                service.views[endpoint.name] = view
                self._apply_role(endpoint)
        self._services = services
        names = {engine.name for engine in versioned.document.engines}
        names.update(name for s in services.values() for name in s.views)
        self._leaving.remove_stale(names, self._clock.wall())
        if self._is_running:
            self._start_pollers()

    def _apply_role(self, endpoint: EndpointSpec) -> None:
        if endpoint.role == "drain":
            self._leaving.record(endpoint.name, "document", self._clock.wall())
        else:
            self._leaving.withdraw(endpoint.name, "document")

    def _start_pollers(self) -> None:
        views = [v for s in self._services.values() for v in s.views.values()]
        wanted = {view.spec for view in views}
        for spec in [spec for spec in self._pollers if spec not in wanted]:
            self._pollers.pop(spec).cancel()
        for view in views:
            if view.spec not in self._pollers:
                poll = functools.partial(self._poll, view)
                self._pollers[view.spec] = self._supervisor.start("endpoint poll", poll)

    async def _poll(self, view: EndpointView) -> None:
        address = Address.parse(view.spec.address)
        while True:
            deadline = self._clock.monotonic() + POLL_TIMEOUT_SECONDS
            polled = await self._http.request(
                address, "GET", "/load", deadline=deadline
            )
            if isinstance(polled, Ok) and polled.ok_value.status == 200:
                self.on_load_report(view, polled.ok_value.body)
            else:
                self.record_failure(view)
            await asyncio.sleep(POLL_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2))
