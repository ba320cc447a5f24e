"""A node's state of engines: their latest reports and the node's own grants since.

Homes and entry nodes use the same state. Reports arrive late or not at all, and a few
are wrong; so a node counts its own grants and reconciles the reports with them.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..configuration.document import EngineSpec
from .grants import AdmitRequest
from .loadreports import EngineReport

# Memory assumed for an engine without a report; it is small to avoid overload.
UNKNOWN_MEMORY_TOKENS = 4096
# A grant that appears neither in progress nor in reports for this long is ended. Its
# entry node died before starting it, and its memory would stay reserved.
GRANT_SILENCE_SECONDS = 30.0
# Ids of ended generations are kept for this long, as late reports still list them.
ENDED_KEPT_SECONDS = 10.0
# A report is implausible if it states less than this share of the memory used by
# granted generations that have made progress.
MIN_REPORTED_SHARE = 0.7
# An engine without reports and progress for this long gets no new work.
ENGINE_SILENCE_SECONDS = 6.0
# Weight of a new sample in the moving average of an engine's stream rate.
STREAM_RATE_GAIN = 0.2


@dataclass(kw_only=True, slots=True)
class RunningGeneration:
    """One generation on an engine, as far as this node knows.

    Parameters
    ----------
    organisation : str
        The organisation it runs for; empty if another node granted it.
    n_prompt_tokens, n_tokens : int
        Tokens in the prompt, and produced so far.
    n_max_tokens : int
        The most tokens it may produce.
    granted_at, progress_at : float
        When it was granted, and when progress or a report last confirmed it;
        monotonic seconds.
    """

    organisation: str
    n_prompt_tokens: int
    n_max_tokens: int
    granted_at: float
    progress_at: float
    n_tokens: int = 0


@dataclass(kw_only=True, slots=True)
class EngineView:
    """A node's state of one engine."""

    name: str
    spec: EngineSpec
    report: EngineReport | None = None
    # When the report was true, on this process's monotonic clock.
    reported_at: float = float("-inf")
    # The latest of: when the engine was added, a report was true, progress arrived.
    last_seen_at: float = float("-inf")
    # This node's generations by grant id, and those that only reports list.
    running: dict[str, RunningGeneration] = field(default_factory=dict)
    foreign: dict[str, RunningGeneration] = field(default_factory=dict)
    # When recently ended generations ended, by grant id.
    ended: dict[str, float] = field(default_factory=dict)
    n_own_tokens: int = 0
    # Reported use that no known generation accounts for.
    n_unexplained_tokens: int = 0
    n_granted: int = 0
    # Implausibly low reports in a row.
    n_underreports: int = 0
    # Reported preemptions that the admission policy hasn't handled yet.
    n_new_preemptions: int = 0
    # Tokens per second and generation, as a moving average.
    stream_rate: float = 0.0
    # Rises with each change that invalidates a forecast.
    n_changes: int = 0

    @property
    def n_memory_tokens(self) -> int:
        """Capacity of the engine's memory in tokens, as reported."""
        if self.report is None:
            return UNKNOWN_MEMORY_TOKENS
        return self.report.n_memory_tokens

    @property
    def n_used_tokens(self) -> int:
        """Tokens in use: this node's, other nodes' and unexplained ones."""
        foreign = sum(r.n_prompt_tokens + r.n_tokens for r in self.foreign.values())
        return self.n_own_tokens + foreign + self.n_unexplained_tokens

    @property
    def n_running(self) -> int:
        """Number of known generations on the engine."""
        return len(self.running) + len(self.foreign)

    def accepts(self, req: AdmitRequest, now: float) -> bool:
        """Return whether the request may be sent to this engine at all."""
        if self.spec.role == "drain" or self.name in req.excluded:
            return False
        report = self.report
        if report is None:
            return not req.adapter or req.adapter in self.spec.adapters
        if report.role == "drain" or report.leaving_at is not None:
            return False
        if report.model and report.model != req.model:
            return False
        if req.adapter and req.adapter not in report.adapters:
            return False
        return now - self.last_seen_at <= ENGINE_SILENCE_SECONDS


class EngineTracker:
    """Holds the state of all engines that a node sends work to."""

    def __init__(self) -> None:
        self.views: dict[str, EngineView] = {}
        self._engine_of: dict[str, str] = {}

    def set_engines(self, specs: Sequence[EngineSpec], now: float) -> None:
        """Set the engines to track; state of engines that stay is kept."""
        wanted = {spec.name: spec for spec in specs}
        for name in [name for name in self.views if name not in wanted]:
            view = self.views.pop(name)
            for grant_id in view.running:
                self._engine_of.pop(grant_id, None)
        for name, spec in wanted.items():
            known = self.views.get(name)
            if known is None:
                self.views[name] = EngineView(name=name, spec=spec, last_seen_at=now)
            else:
                known.spec = spec

    def view_of(self, grant_id: str) -> EngineView | None:
        """Return the state of a grant's engine; None if the grant is unknown."""
        return self.views.get(self._engine_of.get(grant_id, ""))

    def candidates(self, req: AdmitRequest, now: float) -> list[EngineView]:
        """Return the engines to which the request may be sent."""
        return [view for view in self.views.values() if view.accepts(req, now)]

    def grant(
        self,
        grant_id: str,
        engine: str,
        req: AdmitRequest,
        now: float,
        *,
        n_tokens: int = 0,
    ) -> None:
        """Add a generation that was granted, or is known to run, on an engine."""
        view = self.views.get(engine)
        if view is None or grant_id in view.running:
            return
        view.foreign.pop(grant_id, None)
        view.running[grant_id] = RunningGeneration(
            organisation=req.organisation,
            n_prompt_tokens=req.n_prompt_tokens,
            n_max_tokens=req.n_max_tokens,
            granted_at=now,
            progress_at=now,
            n_tokens=n_tokens,
        )
        view.n_own_tokens += req.n_prompt_tokens + n_tokens
        view.n_granted += 1
        self._engine_of[grant_id] = engine

    def progress(
        self, grant_id: str, n_tokens: int, now: float
    ) -> RunningGeneration | None:
        """Record a generation's number of tokens; return None if it is unknown."""
        view = self.view_of(grant_id)
        if view is None:
            return None
        run = view.running[grant_id]
        if n_tokens > run.n_tokens:
            _update_stream_rate(view, run, n_tokens, now)
            view.n_own_tokens += n_tokens - run.n_tokens
            run.n_tokens = n_tokens
            run.progress_at = now
            view.last_seen_at = now
        return run

    def finish(self, grant_id: str, now: float) -> RunningGeneration | None:
        """Remove a generation and return it; None if it is unknown."""
        view = self.view_of(grant_id)
        if view is None:
            return None
        del self._engine_of[grant_id]
        run = view.running.pop(grant_id)
        view.n_own_tokens -= run.n_prompt_tokens + run.n_tokens
        view.ended[grant_id] = now
        view.n_changes += 1
        return run

    def report(self, report: EngineReport, now: float, *, age: float = 0.0) -> bool:
        """Apply an engine's report.

        Parameters
        ----------
        report : EngineReport
            The engine's report.
        now : float
            Monotonic time.
        age : float
            Seconds since the report was true.

        Returns
        -------
        bool
            Whether the report was applied. Reports of unknown engines, and those that
            arrive after a later one, are dropped.
        """
        view = self.views.get(report.engine)
        if view is None:
            return False
        old = view.report
        if old is not None and old.incarnation == report.incarnation:
            if report.sequence <= old.sequence:
                return False
            view.n_new_preemptions += max(0, report.n_preemptions - old.n_preemptions)
        elif old is not None:
            # A new incarnation holds none of the generations sent to the previous one.
            for grant_id in list(view.running):
                if view.running[grant_id].granted_at < now - age:
                    self.finish(grant_id, now)
        view.report = report
        view.reported_at = now - max(0.0, age)
        view.last_seen_at = max(view.last_seen_at, view.reported_at)
        self._reconcile(view, now)
        view.n_changes += 1
        return True

    def silent_grants(self, now: float) -> Iterable[str]:
        """Yield the ids of grants without progress or report for too long."""
        for view in self.views.values():
            for grant_id, run in list(view.running.items()):
                if now - run.progress_at > GRANT_SILENCE_SECONDS:
                    yield grant_id

    def _reconcile(self, view: EngineView, now: float) -> None:
        report = view.report
        assert report is not None
        for grant_id in [
            g for g, at in view.ended.items() if now - at > ENDED_KEPT_SECONDS
        ]:
            del view.ended[grant_id]
        foreign_tokens = {}
        for grant_id, n_tokens in report.running:
            if grant_id in view.running:
                run = view.running[grant_id]
                run.progress_at = max(run.progress_at, view.reported_at)
                view.n_own_tokens += max(0, n_tokens - run.n_tokens)
                run.n_tokens = max(run.n_tokens, n_tokens)
            elif grant_id not in view.ended:
                foreign_tokens[grant_id] = n_tokens
        n_known = _expected_use_at_report(view)
        n_unexplained = max(
            0, report.n_used_tokens - n_known - sum(foreign_tokens.values())
        )
        # Reports don't list prompts: the unexplained tokens are split evenly.
        n_prompt_tokens = n_unexplained // len(foreign_tokens) if foreign_tokens else 0
        view.foreign = {
            grant_id: RunningGeneration(
                organisation="",
                n_prompt_tokens=n_prompt_tokens,
                n_max_tokens=1 << 20,
                granted_at=view.reported_at,
                progress_at=view.reported_at,
                n_tokens=n_tokens,
            )
            for grant_id, n_tokens in foreign_tokens.items()
        }
        view.n_unexplained_tokens = 0 if foreign_tokens else n_unexplained
        is_implausible = report.n_used_tokens < MIN_REPORTED_SHARE * n_known - 256
        view.n_underreports = view.n_underreports + 1 if is_implausible else 0


def _expected_use_at_report(view: EngineView) -> int:
    # The report can't include generations granted after it was made.
    n_tokens = 0
    for run in view.running.values():
        if run.granted_at < view.reported_at and run.n_tokens:
            n_tokens += run.n_prompt_tokens + run.n_tokens
    return n_tokens


def _update_stream_rate(
    view: EngineView, run: RunningGeneration, n_tokens: int, now: float
) -> None:
    seconds = now - run.progress_at
    if run.n_tokens and seconds > 0:
        rate = (n_tokens - run.n_tokens) / seconds
        view.stream_rate += STREAM_RATE_GAIN * (rate - view.stream_rate)
