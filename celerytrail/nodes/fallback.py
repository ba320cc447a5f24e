"""Choice of an engine by an entry node that can reach no home."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from ..clock import Clock
from ..configuration.current import Configuration
from ..configuration.document import EngineSpec, VersionedDocument
from ..policies.enginetracker import EngineTracker
from ..policies.grants import AdmitRequest, GenerationEnd, Grant
from ..policies.lengths import LengthModel
from ..policies.loadreports import EngineReport
from ..policies.routing import RoutingPolicy


class FallbackChooser:
    """Chooses an engine by the last known reports and this node's own grants.

    Parameters
    ----------
    configuration : Configuration
        Lists the engines.
    routing : RoutingPolicy
        Chooses among the engines.
    clock : Clock
        Monotonic time.
    rng : random.Random
        For grant ids.
    lengths : LengthModel
        Lengths that the routing policy forecasts with. It learns from every generation
        of this node, including those that homes granted. If it learned only while no
        home can be reached, it would have no data when it is first needed.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        routing: RoutingPolicy,
        clock: Clock,
        rng: random.Random,
        lengths: LengthModel,
    ) -> None:
        self._lengths = lengths
        self._requests: dict[str, AdmitRequest] = {}
        self._routing = routing
        self._clock = clock
        self._rng = rng
        self._book = EngineTracker()
        self._apply_document(configuration.current)
        configuration.subscribe(self._apply_document)

    def _apply_document(self, current: VersionedDocument) -> None:
        self._book.set_engines(current.document.engines, self._clock.monotonic())

    def on_reports(
        self, reports: Sequence[EngineReport], ages: Sequence[float]
    ) -> None:
        """Update the engines' state from a home's reports and their ages in seconds."""
        now = self._clock.monotonic()
        for report, age in zip(reports, ages, strict=False):
            self._book.report(report, now, age=age)

    def choose(
        self,
        engines: Sequence[EngineSpec],
        req: AdmitRequest,
        is_leaving: Callable[[str], bool],
    ) -> Grant | None:
        """Return a grant of this node itself, None where no engine is available."""
        now = self._clock.monotonic()
        names = {engine.name for engine in engines if not is_leaving(engine.name)}
        # The age of a report doesn't exclude an engine: without a home all are old.
        views = [
            view
            for name, view in self._book.views.items()
            if name in names and view.accepts(req, view.last_seen_at)
        ]
        view = self._routing.choose(views, req, now)
        if view is None:
            return None
        grant = Grant(
            grant_id=f"{req.request_id}.{self._rng.getrandbits(32):08x}",
            engine=view.name,
        )
        self._book.grant(grant.grant_id, view.name, req, now)
        return grant

    def record_grant(self, grant: Grant, req: AdmitRequest) -> None:
        """Record the request of a grant, to learn its length from its end."""
        self._requests[grant.grant_id] = req

    def finish(self, grant: Grant, n_tokens: int, end: GenerationEnd) -> None:
        """Remove a grant and learn from its length."""
        self._book.finish(grant.grant_id, self._clock.monotonic())
        req = self._requests.pop(grant.grant_id, None)
        if req is None or end == "not_run":
            return
        is_censored = end != "answered" or n_tokens >= req.n_max_tokens
        self._lengths.advance(req.model, req.organisation, 0, n_tokens)
        self._lengths.end(
            req.model, req.organisation, n_tokens, is_censored=is_censored
        )
