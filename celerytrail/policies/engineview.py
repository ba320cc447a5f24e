"""What one node knows of engines: their last reports and its own work since.

Homes and entry nodes keep the same books. Reports come late, some not at all, and a
few are wrong; so what was granted here is counted here, and the two are compared.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..configuration.document import EngineSpec
from .grants import AdmitRequest
from .reports import EngineReport

# Without any report an engine is taken to be small, so that it isn't flooded.
UNKNOWN_MEMORY_TOKENS = 4096
# A grant that shows no life for so long, neither by progress nor in a report, is
# dropped: its entry node died before it started, and its room would stay taken.
GRANT_SILENCE = 30.0
# Ids of ended generations are kept this long, as late reports still list them.
RECENT = 10.0
# Reported use under this share of what was granted and has shown progress is a lie.
LIE_SHARE = 0.7
# Neither reports nor progress for this long: no new work is sent there.
SILENT_AFTER = 6.0
RATE_GAIN = 0.2


@dataclass(kw_only=True, slots=True)
class Running:
    """One generation on an engine, as far as this node knows.

    Parameters
    ----------
    organisation : str
        Whose it is; empty for one that another node granted.
    n_prompt_tokens, n_tokens : int
        Tokens of its prompt, and produced so far.
    n_max_tokens : int
        The most it may produce.
    granted_at, progress_at : float
        When it was granted and when it last showed life; monotonic seconds.
    """

    organisation: str
    n_prompt_tokens: int
    n_max_tokens: int
    granted_at: float
    progress_at: float
    n_tokens: int = 0


@dataclass(kw_only=True, slots=True)
class EngineView:
    """The books on one engine."""

    name: str
    spec: EngineSpec
    report: EngineReport | None = None
    # When the report was true, on this process's monotonic clock.
    reported_at: float = float("-inf")
    heard_at: float = float("-inf")
    running: dict[str, Running] = field(default_factory=dict)
    foreign: dict[str, Running] = field(default_factory=dict)
    ended: dict[str, float] = field(default_factory=dict)
    n_own_tokens: int = 0
    n_extra_tokens: int = 0
    n_granted: int = 0
    n_lies: int = 0
    n_new_preemptions: int = 0
    stream_rate: float = 0.0
    # Rises with each change that a forecast must take in.
    n_changes: int = 0

    @property
    def n_memory_tokens(self) -> int:
        """Tokens the engine's memory holds, as it says."""
        if self.report is None:
            return UNKNOWN_MEMORY_TOKENS
        return self.report.n_memory_tokens

    @property
    def n_used_tokens(self) -> int:
        """Tokens in its memory by these books: own, other nodes' and unexplained."""
        foreign = sum(r.n_prompt_tokens + r.n_tokens for r in self.foreign.values())
        return self.n_own_tokens + foreign + self.n_extra_tokens

    @property
    def n_running(self) -> int:
        """Generations on it by these books."""
        return len(self.running) + len(self.foreign)

    def accepts(self, req: AdmitRequest, now: float) -> bool:
        """Whether new work may be sent there at all."""
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
        return now - self.heard_at <= SILENT_AFTER


class EngineBook:
    """The books on all engines that a node decides about."""

    def __init__(self) -> None:
        self.views: dict[str, EngineView] = {}
        self._engine_of: dict[str, str] = {}

    def set_engines(self, specs: Sequence[EngineSpec], now: float) -> None:
        """Keep books on just these engines; what is known of them stays."""
        wanted = {spec.name: spec for spec in specs}
        for name in [name for name in self.views if name not in wanted]:
            view = self.views.pop(name)
            for grant_id in view.running:
                self._engine_of.pop(grant_id, None)
        for name, spec in wanted.items():
            known = self.views.get(name)
            if known is None:
                self.views[name] = EngineView(name=name, spec=spec, heard_at=now)
            else:
                known.spec = spec

    def view_of(self, grant_id: str) -> EngineView | None:
        """Return the engine that a grant is on, where it is known."""
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
        """Enter a generation that was sent, or is known to run, on an engine."""
        view = self.views.get(engine)
        if view is None or grant_id in view.running:
            return
        view.foreign.pop(grant_id, None)
        view.running[grant_id] = Running(
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

    def progress(self, grant_id: str, n_tokens: int, now: float) -> Running | None:
        """Enter how many tokens a generation has produced; None where unknown."""
        view = self.view_of(grant_id)
        if view is None:
            return None
        run = view.running[grant_id]
        if n_tokens > run.n_tokens:
            _learn_rate(view, run, n_tokens, now)
            view.n_own_tokens += n_tokens - run.n_tokens
            run.n_tokens = n_tokens
            run.progress_at = now
            view.heard_at = now
        return run

    def finish(self, grant_id: str, now: float) -> Running | None:
        """Strike a generation off; None where it is unknown."""
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
        """Take in an engine's report.

        Parameters
        ----------
        report : EngineReport
            What the engine says.
        now : float
            Monotonic time.
        age : float
            Seconds since the report was true.

        Returns
        -------
        bool
            Whether it was news: reports that overtook each other are dropped.
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
            # A new incarnation holds nothing of what was sent to the former.
            for grant_id in list(view.running):
                if view.running[grant_id].granted_at < now - age:
                    self.finish(grant_id, now)
        view.report = report
        view.reported_at = now - max(0.0, age)
        view.heard_at = max(view.heard_at, view.reported_at)
        self._compare(view, now)
        view.n_changes += 1
        return True

    def silent_grants(self, now: float) -> Iterable[str]:
        """Return the grants that have shown no life for too long."""
        for view in self.views.values():
            for grant_id, run in list(view.running.items()):
                if now - run.progress_at > GRANT_SILENCE:
                    yield grant_id

    def _compare(self, view: EngineView, now: float) -> None:
        report = view.report
        assert report is not None
        for grant_id in [g for g, at in view.ended.items() if now - at > RECENT]:
            del view.ended[grant_id]
        others = {}
        for grant_id, n_tokens in report.running:
            if grant_id in view.running:
                run = view.running[grant_id]
                run.progress_at = max(run.progress_at, view.reported_at)
                view.n_own_tokens += max(0, n_tokens - run.n_tokens)
                run.n_tokens = max(run.n_tokens, n_tokens)
            elif grant_id not in view.ended:
                others[grant_id] = n_tokens
        n_known = _tokens_at_report(view)
        n_unexplained = max(0, report.n_used_tokens - n_known - sum(others.values()))
        n_prompt = n_unexplained // len(others) if others else 0
        view.foreign = {
            grant_id: Running(
                organisation="",
                n_prompt_tokens=n_prompt,
                n_max_tokens=1 << 20,
                granted_at=view.reported_at,
                progress_at=view.reported_at,
                n_tokens=n_tokens,
            )
            for grant_id, n_tokens in others.items()
        }
        view.n_extra_tokens = 0 if others else n_unexplained
        lied = report.n_used_tokens < LIE_SHARE * n_known - 256
        view.n_lies = view.n_lies + 1 if lied else 0


def _tokens_at_report(view: EngineView) -> int:
    # What was granted after the report was made can't be in it.
    n_tokens = 0
    for run in view.running.values():
        if run.granted_at < view.reported_at and run.n_tokens:
            n_tokens += run.n_prompt_tokens + run.n_tokens
    return n_tokens


def _learn_rate(view: EngineView, run: Running, n_tokens: int, now: float) -> None:
    seconds = now - run.progress_at
    if run.n_tokens and seconds > 0:
        rate = (n_tokens - run.n_tokens) / seconds
        view.stream_rate += RATE_GAIN * (rate - view.stream_rate)
