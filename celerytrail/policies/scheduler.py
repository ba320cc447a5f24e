"""The pool scheduler: what a pool's home runs to grant engines to waiting requests.

Pure: it is handed the time and does no I/O. Its user feeds it requests, reports,
progress and ends, and after each of these, and at `PoolScheduler.next_deadline`, asks
`PoolScheduler.poll` for decisions. All times are monotonic seconds of one process.
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
from .engineview import EngineBook, EngineView
from .fairness import PROMPT_COST, FairQueue, effective_weight
from .grants import AdmitRequest, GenerationEnd, Grant
from .lengths import LearnedLengths, LengthModel, prompt_class
from .reports import EngineReport
from .shedding import ShedByWait, SheddingPolicy

# Without news from outside, forecasts change only as tokens come; look again so often.
POLL_SECONDS = 0.25
# How many organisations' first requests are tried when the first in line doesn't fit.
N_HEADS_TRIED = 4
# The first in line is passed over for so long at most; then room is kept for it.
PASSED_OVER_SECONDS = 2.0
SWEEP_SECONDS = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """The request may start on the granted engine."""

    request_id: str
    grant: Grant


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The request is refused and was not run."""

    request_id: str
    not_run: NotRun


Decision = Granted | Refused


@dataclass(kw_only=True, slots=True)
class _Live:
    """A grant that is not finished: what was asked and what was charged for it."""

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
        The name of the node that runs it; goes into its grants.
    rng : random.Random
        For names of grants and the spread of times to come back.
    lengths, admission, queue, shedding, affinity : optional
        The policies; by default those that the node uses.
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
        self.book = EngineBook()
        self.lengths = lengths or LearnedLengths()
        self.admission = admission or PredictedPeak(lengths=self.lengths, model=model)
        self.queue = queue or FairQueue()
        self.shedding = shedding or ShedByWait(rng=rng)
        self.affinity = affinity or BoundedAffinity()
        self._rng = rng
        self._live: dict[str, _Live] = {}
        self._grants: dict[str, Grant] = {}
        # Queue deadlines, earliest first; entries of requests that left stay until due.
        self._deadlines: list[tuple[float, str]] = []
        self._first_tried: tuple[str, float] = ("", 0.0)
        self._changed = False
        self._polled_at = float("-inf")
        self._swept_at = float("-inf")

    @property
    def n_waiting(self) -> int:
        """Requests that wait for a grant."""
        return len(self.queue)

    @property
    def n_live(self) -> int:
        """Grants that are not finished."""
        return len(self._live)

    def set_engines(self, engines: Sequence[EngineSpec], now: float) -> None:
        """Decide about just these engines from now on."""
        self.book.set_engines(engines, now)
        self._changed = True

    def report(self, report: EngineReport, now: float, *, age: float = 0.0) -> None:
        """Take in an engine's load report that was true ``age`` seconds ago."""
        view = self.book.views.get(report.engine)
        old = view.report if view is not None else None
        if view is None or not self.book.report(report, now, age=age):
            return
        if old is not None and old.incarnation != report.incarnation:
            self.affinity.forget(report.engine)
            self._drop_lost(report.engine)
        self.admission.observe(view)
        self._changed = True

    def submit(self, req: AdmitRequest, now: float) -> list[Decision]:
        """Take in a request; decides at once where it can be.

        Asking again with the same id replaces the former asking. Where that was
        granted already and nothing has come of it, the same grant is given again: its
        answer was lost on the way.
        """
        self.queue.remove(req.request_id)
        granted = self._grants.get(req.request_id)
        if granted is not None:
            if granted.engine not in req.excluded:
                return [Granted(request_id=req.request_id, grant=granted)]
            self.finish(granted.grant_id, 0, "not_run", now)
        if now >= req.queue_deadline:
            return [Refused(request_id=req.request_id, not_run=self._late(req, now))]
        refusal = self._shed(req, now)
        if refusal is not None:
            return [Refused(request_id=req.request_id, not_run=refusal)]
        self.queue.push(req)
        heapq.heappush(self._deadlines, (req.queue_deadline, req.request_id))
        self._changed = True
        return self.poll(now)

    def cancel(self, request_id: str, now: float) -> None:
        """Forget a waiting request, or a grant whose caller has gone."""
        if self.queue.remove(request_id) is not None:
            self._changed = True
            return
        grant = self._grants.get(request_id)
        if grant is not None:
            self.finish(grant.grant_id, 0, "cancelled", now)

    def adopt(self, grant: Grant, req: AdmitRequest, n_tokens: int, now: float) -> None:
        """Take over a generation that another home, or the entry node, let in.

        An entry node calls for this after `progress` said that it doesn't know a
        grant: the home has moved.
        """
        if grant.grant_id in self._live or grant.engine not in self.book.views:
            return
        self.book.grant(grant.grant_id, grant.engine, req, now, n_tokens=n_tokens)
        self.book.views[grant.engine].n_changes += 1
        self._live[grant.grant_id] = _Live(req=req, charged=0.0, n_tokens=n_tokens)
        self._grants[req.request_id] = grant

    def progress(self, grant_id: str, n_tokens: int, now: float) -> bool:
        """Note how many tokens a generation has produced.

        Returns
        -------
        bool
            Whether the grant is known; if not, the caller may have it adopted.
        """
        live = self._live.get(grant_id)
        if live is None:
            return False
        self.book.progress(grant_id, n_tokens, now)
        self._learn(live, n_tokens)
        return True

    def finish(
        self, grant_id: str, n_tokens: int, end: GenerationEnd, now: float
    ) -> None:
        """Note that a generation has ended, which frees its room."""
        live = self._live.pop(grant_id, None)
        if live is None:
            return
        self._grants.pop(live.req.request_id, None)
        self.book.finish(grant_id, now)
        organisation = live.req.organisation
        if end != "not_run":
            self._learn(live, n_tokens)
            censored = end != "answered" or n_tokens >= live.req.n_max_tokens
            kind = prompt_class(self.model, live.req.n_prompt_tokens)
            self.lengths.end(kind, organisation, n_tokens, censored=censored)
        cost = n_tokens + PROMPT_COST * live.req.n_prompt_tokens
        self.queue.charge(organisation, (cost if n_tokens else 0.0) - live.charged)
        self._changed = True

    def cache_event(self, engine: str, kind: str, prefix: str) -> None:
        """Note an engine's cache event, ``stored`` or ``evicted``; late is fine."""
        if kind == "stored":
            self.affinity.stored(engine, (prefix,))
        elif kind == "evicted":
            self.affinity.evicted(engine, prefix)

    def poll(self, now: float) -> list[Decision]:
        """Return the decisions that can be made now."""
        decisions = self._refuse_late(now)
        if now - self._swept_at >= SWEEP_SECONDS:
            self._sweep(now)
        if not self._changed and now - self._polled_at < POLL_SECONDS:
            return decisions
        self._changed = False
        self._polled_at = now
        while len(self.queue):
            granted = self._grant_next(now)
            if granted is None:
                break
            decisions.append(granted)
        return decisions

    def next_deadline(self) -> float | None:
        """Return when `poll` is due at the latest; None while nothing waits."""
        if not len(self.queue):
            return None
        return min(self._deadlines[0][0], self._polled_at + POLL_SECONDS)

    def _grant_next(self, now: float) -> Granted | None:
        for n_tried, req in enumerate(self.queue.heads()):
            if n_tried == 0 and self._first_tried[0] != req.request_id:
                self._first_tried = (req.request_id, now)
            view = self._best_engine(req, now)
            if view is not None:
                return self._grant(req, view, now)
            # Smaller requests may slip past the first in line while it waits, but
            # not for ever: on a busy pool a large prompt would never find room.
            waited = now - self._first_tried[1]
            if n_tried + 1 >= N_HEADS_TRIED or waited > PASSED_OVER_SECONDS:
                return None
        return None

    def _best_engine(self, req: AdmitRequest, now: float) -> EngineView | None:
        best, best_score = None, 0.0
        for view in self.book.candidates(req, now):
            room = self.admission.room(view, req, now)
            if room < 0:
                continue
            score = 1.0 + room + self.affinity.bonus(view.name, req.prefixes)
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
        charged = expected + PROMPT_COST * req.n_prompt_tokens
        self.queue.charge(req.organisation, charged)
        self.admission.granted(view, req, now)
        self.book.grant(grant.grant_id, view.name, req, now)
        self.shedding.granted(expected, now)
        self.affinity.stored(view.name, req.prefixes)
        self._live[grant.grant_id] = _Live(req=req, charged=charged)
        self._grants[req.request_id] = grant
        return Granted(request_id=req.request_id, grant=grant)

    def _learn(self, live: _Live, n_tokens: int) -> None:
        if n_tokens <= live.n_tokens:
            return
        organisation = live.req.organisation
        kind = prompt_class(self.model, live.req.n_prompt_tokens)
        self.lengths.advance(kind, organisation, live.n_tokens, n_tokens)
        live.n_tokens = n_tokens
        over = n_tokens + PROMPT_COST * live.req.n_prompt_tokens - live.charged
        if over > 0:
            self.queue.charge(organisation, over)
            live.charged += over

    def _expected_tokens(self, req: AdmitRequest) -> float:
        kind = prompt_class(self.model, req.n_prompt_tokens)
        expected = self.lengths.expected_residual(kind, req.organisation, 0)
        return min(expected, float(req.n_max_tokens))

    def _shed(self, req: AdmitRequest, now: float) -> NotRun | None:
        backlog, share = self._line(req)
        patience = req.queue_deadline - now
        return self.shedding.judge(
            backlog=backlog, share=share, patience=patience, now=now
        )

    def _late(self, req: AdmitRequest, now: float) -> NotRun:
        backlog, share = self._line(req)
        return self.shedding.too_late(backlog=backlog, share=share, now=now)

    def _line(self, req: AdmitRequest) -> tuple[float, float]:
        n_waiting = self.queue.n_waiting(req.organisation)
        weight = effective_weight(req.weight, req.priority)
        share = self.queue.share(req.organisation, weight)
        return n_waiting * self._expected_tokens(req), share

    def _refuse_late(self, now: float) -> list[Decision]:
        refused: list[Decision] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heapq.heappop(self._deadlines)
            req = self.queue.get(request_id)
            # Asked again in the meantime, it has a later deadline of its own.
            if req is None or req.queue_deadline > now:
                continue
            self.queue.remove(request_id)
            not_run = self._late(req, now)
            refused.append(Refused(request_id=request_id, not_run=not_run))
        return refused

    def _sweep(self, now: float) -> None:
        self._swept_at = now
        for grant_id in list(self.book.silent_grants(now)):
            live = self._live.get(grant_id)
            self.finish(grant_id, live.n_tokens if live else 0, "lost", now)

    def _drop_lost(self, engine: str) -> None:
        lost = [
            grant_id
            for grant_id, live in self._live.items()
            if self._grants[live.req.request_id].engine == engine
            and self.book.view_of(grant_id) is None
        ]
        for grant_id in lost:
            live = self._live.pop(grant_id)
            self._grants.pop(live.req.request_id, None)
