"""The home of one pool: runs its scheduler and polls its engines."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import replace

from eliot import log_message
from result import Err, Ok

from ..clock import Clock
from ..configuration.document import EngineSpec
from ..engines.client import EngineClient
from ..metrics import Metrics
from ..policies.grants import AdmitRequest
from ..policies.reports import EngineReport
from ..policies.scheduler import Decision, Granted, PoolScheduler
from ..types import Address
from .homewire import AdmitAnswer, ProgressAnswer, ProgressBody
from .pools import Pool
from .reportages import ReportAges

POLL_SECONDS = 0.5
LOAD_SECONDS = 1.0
CACHE_EVERY = 4
# A report is never taken to be older than this, in seconds: beyond it the engine's
# clock is wrong and not its report old.
MAX_REPORT_AGE = 10.0

# An engine's name and when it leaves, or None where it took that back.
LeavingNews = Callable[[str, float | None], None]


class PoolHome:
    """Grants one pool's engines to requests from all entry nodes.

    It knows nothing that can't be lost: a new home learns of the engines by their
    reports, and of what runs by the entry nodes' next batches.

    Parameters
    ----------
    pool : Pool
        The pool.
    node : str
        This node.
    client : EngineClient
        Asks engines for their load.
    clock : Clock
        Monotonic and wall time.
    rng : random.Random
        For the scheduler and the spread of polls.
    metrics : Metrics
        Counts bad reports and sets gauges.
    tell_leaving : callable
        Called with an engine's name and time when it reports that it leaves.
    """

    def __init__(
        self,
        *,
        pool: Pool,
        node: str,
        client: EngineClient,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        tell_leaving: LeavingNews,
    ) -> None:
        self.pool = pool
        self._client = client
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._tell_leaving = tell_leaving
        self.scheduler = PoolScheduler(model=pool.model, home=node, rng=rng)
        self._asked: dict[str, asyncio.Future[AdmitAnswer]] = {}
        self._watchers: dict[str, asyncio.Task[None]] = {}
        self._ages: dict[str, ReportAges] = {}
        self._leaving: set[str] = set()
        self._n_preemptions: dict[str, tuple[str, int]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.used_at = clock.monotonic()

    def set_engines(self, specs: Sequence[EngineSpec]) -> None:
        """Decide about just these engines; those that leave have the role ``drain``."""
        self.scheduler.set_engines(specs, self._clock.monotonic())
        wanted = {spec.name: spec for spec in specs}
        for name in self._watchers.keys() - wanted.keys():
            self._watchers.pop(name).cancel()
            self._ages.pop(name, None)
            self._n_preemptions.pop(name, None)
        loop = asyncio.get_running_loop()
        for name, spec in wanted.items():
            if name not in self._watchers:
                self._watchers[name] = loop.create_task(self._watch(spec))
        self._poll()

    async def admit(self, req: AdmitRequest) -> AdmitAnswer:
        """Wait for a decision; cancelling this gives up the place."""
        now = self._clock.monotonic()
        self.used_at = now
        fut: asyncio.Future[AdmitAnswer] = asyncio.get_running_loop().create_future()
        former = self._asked.pop(req.request_id, None)
        if former is not None and not former.done():
            # Its entry node asks again, so nobody waits for the former answer.
            former.set_result(AdmitAnswer())
        self._asked[req.request_id] = fut
        self._resolve(self.scheduler.submit(req, now))
        self._arm()
        try:
            return await fut
        except asyncio.CancelledError:
            if self._asked.get(req.request_id) is fut:
                self.scheduler.cancel(req.request_id, self._clock.monotonic())
                self._poll()
            raise
        finally:
            if self._asked.get(req.request_id) is fut:
                del self._asked[req.request_id]

    def take(self, body: ProgressBody) -> ProgressAnswer:
        """Take in an entry node's batch."""
        now = self._clock.monotonic()
        self.used_at = now
        for request_id in body.cancelled:
            self.scheduler.cancel(request_id, now)
        for adopted in body.adopted:
            req = replace(adopted.req, queue_deadline=now)
            self.scheduler.adopt(adopted.grant, req, adopted.n_tokens, now)
        unknown = tuple(
            grant_id
            for grant_id, n_tokens in body.progress
            if not self.scheduler.progress(grant_id, n_tokens, now)
        )
        for ended in body.ended:
            self.scheduler.finish(ended.grant_id, ended.n_tokens, ended.end, now)
        self._poll()
        reports: list[EngineReport] = []
        ages = []
        if body.wants_reports:
            for view in self.scheduler.book.views.values():
                if view.report is not None:
                    reports.append(replace(view.report, running=()))
                    ages.append(now - view.reported_at)
        return ProgressAnswer(
            is_home=True, unknown=unknown, reports=tuple(reports), ages=tuple(ages)
        )

    @property
    def is_idle(self) -> bool:
        """Return whether nothing waits here and nothing that it granted runs."""
        return not self._asked and not self.scheduler.n_live

    def release(self) -> None:
        """Send all who wait to another home, without a refusal."""
        now = self._clock.monotonic()
        for request_id, fut in list(self._asked.items()):
            self.scheduler.cancel(request_id, now)
            if not fut.done():
                fut.set_result(AdmitAnswer())

    def close(self) -> None:
        """Stop polling and send all who wait to another home."""
        self.release()
        if self._timer is not None:
            self._timer.cancel()
        for task in self._watchers.values():
            task.cancel()
        self._watchers.clear()

    # Inside.

    def _poll(self) -> None:
        self._resolve(self.scheduler.poll(self._clock.monotonic()))
        self._metrics.set(
            "queued", float(self.scheduler.n_waiting), model=self.pool.model
        )
        self._arm()

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        deadline = self.scheduler.next_deadline()
        if deadline is None:
            return
        loop = asyncio.get_running_loop()
        wait = max(0.0, deadline - self._clock.monotonic())
        self._timer = loop.call_later(wait, self._poll)

    def _resolve(self, decisions: Sequence[Decision]) -> None:
        for decision in decisions:
            fut = self._asked.get(decision.request_id)
            if fut is None or fut.done():
                if isinstance(decision, Granted):
                    # Nobody waits for it any more; its place must not stay taken.
                    now = self._clock.monotonic()
                    self.scheduler.finish(decision.grant.grant_id, 0, "cancelled", now)
                continue
            if isinstance(decision, Granted):
                fut.set_result(AdmitAnswer(grant=decision.grant))
            else:
                fut.set_result(AdmitAnswer(refusal=decision.not_run))

    async def _watch(self, spec: EngineSpec) -> None:
        """Poll one engine for as long as it is in the pool."""
        address = Address.parse(spec.address)
        next_event = 0
        n_polls = 0
        await asyncio.sleep(self._rng.uniform(0, POLL_SECONDS / 4))
        while True:
            try:
                await self._ask_load(spec, address)
                if n_polls % CACHE_EVERY == 0:
                    next_event = await self._cache_events(spec, address, next_event)
            except Exception as exc:
                # Were a fault to end this task, the engine would look silent and get
                # no work until the home moves, with nothing to show why.
                log_message("homes:poll_failed", engine=spec.name, problem=repr(exc))
            n_polls += 1
            await asyncio.sleep(POLL_SECONDS * self._rng.uniform(0.9, 1.1))

    async def _ask_load(self, spec: EngineSpec, address: Address) -> None:
        deadline = self._clock.monotonic() + LOAD_SECONDS
        match await self._client.load(address, deadline=deadline):
            case Ok(report):
                self._take_report(spec, report)
            case Err(problem):
                log_message("homes:no_report", engine=spec.name, reason=problem.reason)

    def _take_report(self, spec: EngineSpec, report: EngineReport) -> None:
        if report.engine != spec.name:
            self._metrics.count("bad_input", peer="engine", problem="other_engine")
            return
        ages = self._ages.setdefault(spec.name, ReportAges())
        age = min(ages.note(report, self._clock.wall()), MAX_REPORT_AGE)
        self.scheduler.report(report, self._clock.monotonic(), age=age)
        self._metrics.set(
            "engine_used_tokens", float(report.n_used_tokens), engine=spec.name
        )
        self._count_preemptions(report)
        self._note_leaving(spec.name, report.leaving_at)
        self._poll()

    def _count_preemptions(self, report: EngineReport) -> None:
        """Count what was preempted since the engine's last report of this life."""
        known = self._n_preemptions.get(report.engine)
        self._n_preemptions[report.engine] = (
            report.incarnation,
            report.n_preemptions,
        )
        if known is None or known[0] != report.incarnation:
            # A new home has not seen the earlier ones happen; they were counted.
            return
        n_new = report.n_preemptions - known[1]
        if n_new > 0:
            self._metrics.count("preemptions", n_new, engine=report.engine)

    def _note_leaving(self, engine: str, at: float | None) -> None:
        if at is not None:
            self._leaving.add(engine)
            self._tell_leaving(engine, at)
        elif engine in self._leaving:
            # An engine that says it stays after all, or a new one under the name,
            # would otherwise get no work until this node restarts.
            self._leaving.discard(engine)
            self._tell_leaving(engine, None)

    async def _cache_events(
        self, spec: EngineSpec, address: Address, after: int
    ) -> int:
        deadline = self._clock.monotonic() + LOAD_SECONDS
        answer = await self._client.cache_events(address, after, deadline=deadline)
        if isinstance(answer, Err):
            return after
        for event in answer.ok_value.events:
            if event.kind == "stored":
                self.scheduler.affinity.stored(spec.name, (event.prefix,))
            else:
                self.scheduler.affinity.evicted(spec.name, event.prefix)
        return answer.ok_value.next
