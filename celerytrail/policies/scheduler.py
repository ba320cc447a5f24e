"""The pool scheduler: grants a pool's engines to waiting requests, on the pool's home.

It does no I/O and takes the time as an argument. Its owner passes in requests, load
reports, progress and ends, and calls `PoolScheduler.poll` for decisions after each of
these and at `PoolScheduler.next_deadline`. All times are monotonic seconds of one
process.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Sequence
from dataclasses import dataclass

from ..configuration.document import EngineSpec
from ..types import NotRun
from .admission import AdmissionPolicy, PredictedPeak
from .affinity import AffinityPolicy, BoundedAffinity
from .enginetracker import EngineTracker, EngineView
from .fairness import PROMPT_TOKEN_COST, FairQueue, effective_weight
from .grants import AdmitRequest, GenerationEnd, Grant
from .lengths import LearnedLengths, LengthModel, prompt_class
from .loadreports import EngineReport
from .shedding import ShedByWait, SheddingPolicy

# Between events, forecasts change only as running generations produce tokens; waiting
# requests are reconsidered at this interval.
POLL_SECONDS = 0.25
# Organisations whose first request is considered for a grant, the head of the line
# included.
N_HEADS_TRIED = 4
# After the head of the line has been bypassed for this long, nothing is granted before
# it.
MAX_BYPASS_SECONDS = 2.0
# Interval at which grants without recent progress or report are ended.
SWEEP_SECONDS = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """A decision that the request may start on the granted engine."""

    request_id: str
    grant: Grant


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """A decision that the request is refused; it was not run."""

    request_id: str
    not_run: NotRun


Decision = Granted | Refused


@dataclass(kw_only=True, slots=True)
class _LiveGrant:
    """A grant that is not finished: its request, charged cost and tokens so far."""

    req: AdmitRequest
    charged: float
    n_tokens: int = 0


class PoolScheduler:
    """Grants the engines of one pool to waiting requests.

    Parameters
    ----------
    model : str
        The model that the pool serves.
    home : str
        The node that runs this scheduler; named in its grants.
    rng : random.Random
        Source of grant ids and of the jitter of retry times.
    lengths, admission, queue, shedding, affinity : optional
        The policies; the defaults are those that nodes use.
    """

    def __init__(
        self,
        *,
        model: str,
        home: str,
        rng: random.Random,
        lengths: LengthModel | None = None,
        admission: AdmissionPolicy | None = None,
        queue: FairQueue | None = None,
        shedding: SheddingPolicy | None = None,
        affinity: AffinityPolicy | None = None,
    ) -> None:
        self.model = model
        self.home = home
        self.tracker = EngineTracker()
        self.lengths = lengths or LearnedLengths()
        self.admission = admission or PredictedPeak(lengths=self.lengths, model=model)
        self.queue = queue or FairQueue()
        self.shedding = shedding or ShedByWait(rng=rng)
        self.affinity = affinity or BoundedAffinity()
        self._rng = rng
        # Unfinished grants: by grant id, and by request id.
        self._live: dict[str, _LiveGrant] = {}
        self._grants: dict[str, Grant] = {}
        # Heap of queue deadlines. Entries of requests that left the queue stay in it
        # until they are due.
        self._deadlines: list[tuple[float, str]] = []
        # Id of the request at the head of the line, and since when it is there.
        self._head_of_line: tuple[str, float] = ("", 0.0)
        # Whether something happened since the last poll that may permit a grant.
        self._has_changed = False
        self._polled_at = float("-inf")
        self._swept_at = float("-inf")

    @property
    def n_waiting(self) -> int:
        """Number of requests that wait for a grant."""
        return len(self.queue)

    @property
    def n_live(self) -> int:
        """Number of grants that are not finished."""
        return len(self._live)

    def set_engines(self, engines: Sequence[EngineSpec], now: float) -> None:
        """Set the engines of the pool; others are dropped."""
        self.tracker.set_engines(engines, now)
        self._has_changed = True

    def report(self, report: EngineReport, now: float, *, age: float = 0.0) -> None:
        """Record an engine's load report that was true ``age`` seconds ago."""
        view = self.tracker.views.get(report.engine)
        old = view.report if view is not None else None
        if view is None or not self.tracker.report(report, now, age=age):
            return
        if old is not None and old.incarnation != report.incarnation:
            self.affinity.forget(report.engine)
            self._drop_lost_grants(report.engine)
        self.admission.observe(view)
        self._has_changed = True

    def submit(self, req: AdmitRequest, now: float) -> list[Decision]:
        """Queue a request and return the decisions that can be made at once.

        A request with a known id replaces the earlier one. If that one was granted
        and its generation hasn't finished, the same grant is returned again, as the
        first answer was lost between the nodes. A grant on an engine that the request
        now excludes is finished instead.
        """
        self.queue.remove(req.request_id)
        granted = self._grants.get(req.request_id)
        if granted is not None:
            if granted.engine not in req.excluded:
                return [Granted(request_id=req.request_id, grant=granted)]
            self.finish(granted.grant_id, 0, "not_run", now)
        if now >= req.queue_deadline:
            return [
                Refused(
                    request_id=req.request_id, not_run=self._deadline_refusal(req, now)
                )
            ]
        refusal = self._arrival_refusal(req, now)
        if refusal is not None:
            return [Refused(request_id=req.request_id, not_run=refusal)]
        self.queue.push(req)
        heapq.heappush(self._deadlines, (req.queue_deadline, req.request_id))
        self._has_changed = True
        return self.poll(now)

    def cancel(self, request_id: str, now: float) -> None:
        """Drop a waiting request, or finish a grant whose caller has disconnected."""
        if self.queue.remove(request_id) is not None:
            self._has_changed = True
            return
        grant = self._grants.get(request_id)
        if grant is not None:
            self.finish(grant.grant_id, 0, "cancelled", now)

    def adopt(self, grant: Grant, req: AdmitRequest, n_tokens: int, now: float) -> None:
        """Take over a running generation that another home or an entry node granted.

        Entry nodes request this after `progress` returned False for a grant, which
        happens once the pool's home has moved to another node.
        """
        if grant.grant_id in self._live or grant.engine not in self.tracker.views:
            return
        self.tracker.grant(grant.grant_id, grant.engine, req, now, n_tokens=n_tokens)
        self.tracker.views[grant.engine].n_changes += 1
        self._live[grant.grant_id] = _LiveGrant(req=req, charged=0.0, n_tokens=n_tokens)
        self._grants[req.request_id] = grant

    def progress(self, grant_id: str, n_tokens: int, now: float) -> bool:
        """Record how many tokens a generation has produced.

        Returns
        -------
        bool
            Whether the grant is known; if not, it can be adopted (see `adopt`).
        """
        live = self._live.get(grant_id)
        if live is None:
            return False
        self.tracker.progress(grant_id, n_tokens, now)
        self._record_tokens(live, n_tokens)
        return True

    def finish(
        self, grant_id: str, n_tokens: int, end: GenerationEnd, now: float
    ) -> None:
        """Record that a generation has ended, which frees its memory."""
        live = self._live.pop(grant_id, None)
        if live is None:
            return
        self._grants.pop(live.req.request_id, None)
        self.tracker.finish(grant_id, now)
        organisation = live.req.organisation
        if end != "not_run":
            self._record_tokens(live, n_tokens)
            is_censored = end != "answered" or n_tokens >= live.req.n_max_tokens
            length_class = prompt_class(self.model, live.req.n_prompt_tokens)
            self.lengths.end(
                length_class, organisation, n_tokens, is_censored=is_censored
            )
        cost = n_tokens + PROMPT_TOKEN_COST * live.req.n_prompt_tokens
        self.queue.charge(organisation, (cost if n_tokens else 0.0) - live.charged)
        self._has_changed = True

    def cache_event(self, engine: str, kind: str, prefix: str) -> None:
        """Record an engine's cache event, ``stored`` or ``evicted``.

        Events may arrive late: affinity only ranks engines that fit a request.
        """
        if kind == "stored":
            self.affinity.stored(engine, (prefix,))
        elif kind == "evicted":
            self.affinity.evicted(engine, prefix)

    def poll(self, now: float) -> list[Decision]:
        """Return the decisions that can be made now."""
        decisions = self._refuse_expired(now)
        if now - self._swept_at >= SWEEP_SECONDS:
            self._end_silent_grants(now)
        if not self._has_changed and now - self._polled_at < POLL_SECONDS:
            return decisions
        self._has_changed = False
        self._polled_at = now
        while len(self.queue):
            granted = self._grant_next(now)
            if granted is None:
                break
            decisions.append(granted)
        return decisions

    def next_deadline(self) -> float | None:
        """Return the time at which `poll` is next due; None while no request waits."""
        if not len(self.queue):
            return None
        return min(self._deadlines[0][0], self._polled_at + POLL_SECONDS)

    def _grant_next(self, now: float) -> Granted | None:
        for n_tried, req in enumerate(self.queue.heads()):
            if n_tried == 0 and self._head_of_line[0] != req.request_id:
                self._head_of_line = (req.request_id, now)
            view = self._best_engine(req, now)
            if view is not None:
                return self._grant(req, view, now)
            # Smaller requests may bypass the head of the line, but only for a bounded
            # time: on a busy pool a large prompt would otherwise never fit.
            waited = now - self._head_of_line[1]
            if n_tried + 1 >= N_HEADS_TRIED or waited > MAX_BYPASS_SECONDS:
                return None
        return None

    def _best_engine(self, req: AdmitRequest, now: float) -> EngineView | None:
        best, best_score = None, 0.0
        for view in self.tracker.candidates(req, now):
            headroom = self.admission.headroom(view, req, now)
            if headroom < 0:
                continue
            score = 1.0 + headroom + self.affinity.bonus(view.name, req.prefixes)
            if best is None or score > best_score:
                best, best_score = view, score
        return best

    def _grant(self, req: AdmitRequest, view: EngineView, now: float) -> Granted:
        self.queue.remove(req.request_id)
        grant = Grant(
            grant_id=f"{req.request_id}.{self._rng.getrandbits(32):08x}",
            engine=view.name,
            home=self.home,
        )
        expected = self._expected_tokens(req)
        charged = expected + PROMPT_TOKEN_COST * req.n_prompt_tokens
        self.queue.charge(req.organisation, charged)
        self.admission.granted(view, req, now)
        self.tracker.grant(grant.grant_id, view.name, req, now)
        self.shedding.granted(expected, now)
        self.affinity.stored(view.name, req.prefixes)
        self._live[grant.grant_id] = _LiveGrant(req=req, charged=charged)
        self._grants[req.request_id] = grant
        return Granted(request_id=req.request_id, grant=grant)

    def _record_tokens(self, live: _LiveGrant, n_tokens: int) -> None:
        if n_tokens <= live.n_tokens:
            return
        organisation = live.req.organisation
        length_class = prompt_class(self.model, live.req.n_prompt_tokens)
        self.lengths.advance(length_class, organisation, live.n_tokens, n_tokens)
        live.n_tokens = n_tokens
        excess = n_tokens + PROMPT_TOKEN_COST * live.req.n_prompt_tokens - live.charged
        if excess > 0:
            self.queue.charge(organisation, excess)
            live.charged += excess

    def _expected_tokens(self, req: AdmitRequest) -> float:
        length_class = prompt_class(self.model, req.n_prompt_tokens)
        expected = self.lengths.expected_residual(length_class, req.organisation, 0)
        return min(expected, float(req.n_max_tokens))

    def _arrival_refusal(self, req: AdmitRequest, now: float) -> NotRun | None:
        backlog, share = self._backlog_and_share(req)
        patience = req.queue_deadline - now
        return self.shedding.refusal_on_arrival(
            backlog=backlog, share=share, patience=patience, now=now
        )

    def _deadline_refusal(self, req: AdmitRequest, now: float) -> NotRun:
        backlog, share = self._backlog_and_share(req)
        return self.shedding.deadline_refusal(backlog=backlog, share=share, now=now)

    def _backlog_and_share(self, req: AdmitRequest) -> tuple[float, float]:
        n_waiting = self.queue.n_waiting(req.organisation)
        weight = effective_weight(req.weight, req.priority)
        share = self.queue.share(req.organisation, weight)
        return n_waiting * self._expected_tokens(req), share

    def _refuse_expired(self, now: float) -> list[Decision]:
        refused: list[Decision] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heapq.heappop(self._deadlines)
            req = self.queue.get(request_id)
            # A request submitted again has another heap entry with a later deadline.
            if req is None or req.queue_deadline > now:
                continue
            self.queue.remove(request_id)
            not_run = self._deadline_refusal(req, now)
            refused.append(Refused(request_id=request_id, not_run=not_run))
        return refused

    def _end_silent_grants(self, now: float) -> None:
        self._swept_at = now
        for grant_id in list(self.tracker.silent_grants(now)):
            live = self._live.get(grant_id)
            self.finish(grant_id, live.n_tokens if live else 0, "lost", now)

    def _drop_lost_grants(self, engine: str) -> None:
        lost_ids = [
            grant_id
            for grant_id, live in self._live.items()
            if self._grants[live.req.request_id].engine == engine
            and self.tracker.view_of(grant_id) is None
        ]
        for grant_id in lost_ids:
            live = self._live.pop(grant_id)
            self._grants.pop(live.req.request_id, None)
