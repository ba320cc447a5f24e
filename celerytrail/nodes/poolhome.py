"""The home of one pool: runs its scheduler and polls its engines."""

from __future__ import annotations

import asyncio
import functools
import random
import traceback
from collections.abc import Callable, Sequence
from dataclasses import replace

from eliot import log_message
from result import Err, Ok

from ..clock import Clock
from ..configuration.document import EngineSpec
from ..engines.client import EngineClient
from ..metrics import Metrics
from ..policies.grants import AdmitRequest
from ..policies.loadreports import EngineReport
from ..policies.scheduler import Decision, Granted, PoolScheduler
from ..supervision import Supervisor
from ..types import Address
from .homewire import AdmitAnswer, ProgressAnswer, ProgressBody
from .pools import Pool
from .report_ages import ReportAges

POLL_INTERVAL_SECONDS = 0.5
ENGINE_TIMEOUT_SECONDS = 1.0
POLLS_PER_CACHE_QUERY = 4
# Upper bound of a report's age. A larger age means that the engine's clock is wrong,
# not that its report is old.
MAX_REPORT_AGE_SECONDS = 10.0
# How long after its queue deadline a request still waits for a decision, and the pause
# after scheduling has failed.
DECISION_MARGIN_SECONDS = 0.5
SCHEDULING_RETRY_SECONDS = 1.0

# Takes an engine's name and when it leaves, or None when it reports that it stays.
OnLeavingChange = Callable[[str, float | None], None]


class PoolHome:
    """Grants one pool's engines to requests from all entry nodes.

    All of its state can be rebuilt after a failover: a new home learns the state of the
    engines from their reports, and what runs from the entry nodes' next batches.

    Parameters
    ----------
    pool : Pool
        The pool.
    node : str
        This node.
    client : EngineClient
        Fetches the engines' load reports and cache events.
    clock : Clock
        Monotonic and wall time.
    rng : random.Random
        For the scheduler and the jitter of polls.
    metrics : Metrics
        Counts bad reports and sets gauges.
    on_leaving_change : callable
        Called with an engine's name and its time of leaving when it reports that it
        leaves, and with None instead of the time when it reports that it stays.
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
        on_leaving_change: OnLeavingChange,
        supervisor: Supervisor,
    ) -> None:
        self._supervisor = supervisor
        self.pool = pool
        self._client = client
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._on_leaving_change = on_leaving_change
        self.scheduler = PoolScheduler(model=pool.model, home=node, rng=rng)
        self._pending: dict[str, asyncio.Future[AdmitAnswer]] = {}
        self._poll_tasks: dict[str, asyncio.Task[None]] = {}
        self._report_ages: dict[str, ReportAges] = {}
        self._leaving_engines: set[str] = set()
        self._n_preemptions: dict[str, tuple[str, int]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.used_at = clock.monotonic()

    def set_engines(self, specs: Sequence[EngineSpec]) -> None:
        """Set the engines to schedule on; leaving ones have the role ``drain``."""
        self.scheduler.set_engines(specs, self._clock.monotonic())
        specs_by_name = {spec.name: spec for spec in specs}
        for name in self._poll_tasks.keys() - specs_by_name.keys():
            self._poll_tasks.pop(name).cancel()
            self._report_ages.pop(name, None)
            self._n_preemptions.pop(name, None)
        for name, spec in specs_by_name.items():
            if name not in self._poll_tasks:
                poll = functools.partial(self._poll_engine, spec)
                self._poll_tasks[name] = self._supervisor.start("engine poll", poll)
        self._run_scheduler()

    async def admit(self, req: AdmitRequest) -> AdmitAnswer:
        """Wait for a decision; cancelling this removes the request from the queue.

        Without a decision by the request's queue deadline, the answer is empty.
        """
        now = self._clock.monotonic()
        self.used_at = now
        fut: asyncio.Future[AdmitAnswer] = asyncio.get_running_loop().create_future()
        former = self._pending.pop(req.request_id, None)
        if former is not None and not former.done():
            # The entry node has sent the request again and no longer waits for the
            # answer to the former one.
            former.set_result(AdmitAnswer())
        self._pending[req.request_id] = fut
        self._resolve(self.scheduler.submit(req, now))
        self._set_timer()
        wait_seconds = max(0.0, req.queue_deadline - now) + DECISION_MARGIN_SECONDS
        try:
            async with asyncio.timeout(wait_seconds):
                return await fut
        except TimeoutError:
            log_message("homes:undecided", pool=self.pool.key, request=req.request_id)
            self.scheduler.cancel(req.request_id, self._clock.monotonic())
            return AdmitAnswer()
        except asyncio.CancelledError:
            if self._pending.get(req.request_id) is fut:
                self.scheduler.cancel(req.request_id, self._clock.monotonic())
                self._run_scheduler()
            raise
        finally:
            if self._pending.get(req.request_id) is fut:
                del self._pending[req.request_id]

    def apply_batch(self, body: ProgressBody) -> ProgressAnswer:
        """Apply an entry node's batch and return the answer to it."""
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
        self._run_scheduler()
        reports: list[EngineReport] = []
        ages = []
        if body.wants_reports:
            for view in self.scheduler.tracker.views.values():
                if view.report is not None:
                    reports.append(replace(view.report, running=()))
                    ages.append(now - view.reported_at)
        return ProgressAnswer(
            is_home=True, unknown=unknown, reports=tuple(reports), ages=tuple(ages)
        )

    @property
    def is_idle(self) -> bool:
        """Return whether no request waits and no granted generation runs."""
        return not self._pending and not self.scheduler.n_live

    def release(self) -> None:
        """Answer all waiting requests without a refusal, so they go to another home."""
        now = self._clock.monotonic()
        for request_id, fut in list(self._pending.items()):
            self.scheduler.cancel(request_id, now)
            if not fut.done():
                fut.set_result(AdmitAnswer())

    def close(self) -> None:
        """Stop polling and send all waiting requests to another home."""
        self.release()
        if self._timer is not None:
            self._timer.cancel()
        for task in self._poll_tasks.values():
            task.cancel()
        self._poll_tasks.clear()

    def _run_scheduler(self) -> None:
        self._resolve(self.scheduler.poll(self._clock.monotonic()))
        self._metrics.set(
            "queued", float(self.scheduler.n_waiting), model=self.pool.model
        )
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        deadline = self.scheduler.next_deadline()
        if deadline is None:
            return
        loop = asyncio.get_running_loop()
        delay_seconds = max(0.0, deadline - self._clock.monotonic())
        self._timer = loop.call_later(delay_seconds, self._on_timer)

    def _on_timer(self) -> None:
        try:
            self._run_scheduler()
        except Exception:
            # Without another timer the requests in the queue would wait for the next
            # event of the pool, which may not come.
            log_message(
                "homes:scheduling_failed",
                pool=self.pool.key,
                problem=traceback.format_exc(),
            )
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(SCHEDULING_RETRY_SECONDS, self._on_timer)

    def _resolve(self, decisions: Sequence[Decision]) -> None:
        for decision in decisions:
            fut = self._pending.get(decision.request_id)
            if fut is None or fut.done():
                if isinstance(decision, Granted):
                    # No request waits for the grant any more, so its place is freed.
                    now = self._clock.monotonic()
                    self.scheduler.finish(decision.grant.grant_id, 0, "cancelled", now)
                continue
            if isinstance(decision, Granted):
                fut.set_result(AdmitAnswer(grant=decision.grant))
            else:
                fut.set_result(AdmitAnswer(refusal=decision.not_run))

    async def _poll_engine(self, spec: EngineSpec) -> None:
        """Poll one engine as long as it is in the pool."""
        address = Address.parse(spec.address)
        next_event = 0
        n_polls = 0
        await asyncio.sleep(self._rng.uniform(0, POLL_INTERVAL_SECONDS / 4))
        while True:
            try:
                await self._fetch_load(spec, address)
                if n_polls % POLLS_PER_CACHE_QUERY == 0:
                    next_event = await self._fetch_cache_events(
                        spec, address, next_event
                    )
            except Exception as exc:
                # If an exception ended this task, the engine would count as silent and
                # get no work until the home moves, with no sign of the reason.
                log_message("homes:poll_failed", engine=spec.name, problem=repr(exc))
            n_polls += 1
            await asyncio.sleep(POLL_INTERVAL_SECONDS * self._rng.uniform(0.9, 1.1))

    async def _fetch_load(self, spec: EngineSpec, address: Address) -> None:
        deadline = self._clock.monotonic() + ENGINE_TIMEOUT_SECONDS
        match await self._client.load(address, deadline=deadline):
            case Ok(report):
                self._on_report(spec, report)
            case Err(problem):
                log_message("homes:no_report", engine=spec.name, reason=problem.reason)

    def _on_report(self, spec: EngineSpec, report: EngineReport) -> None:
        if report.engine != spec.name:
            self._metrics.count("bad_input", peer="engine", problem="other_engine")
            return
        ages = self._report_ages.setdefault(spec.name, ReportAges())
        age = min(ages.record(report, self._clock.wall()), MAX_REPORT_AGE_SECONDS)
        self.scheduler.report(report, self._clock.monotonic(), age=age)
        self._metrics.set(
            "engine_used_tokens", float(report.n_used_tokens), engine=spec.name
        )
        self._count_preemptions(report)
        self._update_leaving(spec.name, report.leaving_at)
        self._run_scheduler()

    def _count_preemptions(self, report: EngineReport) -> None:
        """Count the preemptions since the last report of the engine's incarnation."""
        previous = self._n_preemptions.get(report.engine)
        self._n_preemptions[report.engine] = (
            report.incarnation,
            report.n_preemptions,
        )
        if previous is None or previous[0] != report.incarnation:
            # The first report of an incarnation includes earlier preemptions, which
            # the former home has counted.
            return
        n_new = report.n_preemptions - previous[1]
        if n_new > 0:
            self._metrics.count("preemptions", n_new, engine=report.engine)

    def _update_leaving(self, engine: str, leaving_at: float | None) -> None:
        if leaving_at is not None:
            self._leaving_engines.add(engine)
            self._on_leaving_change(engine, leaving_at)
        elif engine in self._leaving_engines:
            # Otherwise an engine that cancels its leaving, or a new engine of the same
            # name, would get no work until this node restarts.
            self._leaving_engines.discard(engine)
            self._on_leaving_change(engine, None)

    async def _fetch_cache_events(
        self, spec: EngineSpec, address: Address, after: int
    ) -> int:
        deadline = self._clock.monotonic() + ENGINE_TIMEOUT_SECONDS
        answer = await self._client.cache_events(address, after, deadline=deadline)
        if isinstance(answer, Err):
            return after
        for event in answer.ok_value.events:
            if event.kind == "stored":
                self.scheduler.affinity.stored(spec.name, (event.prefix,))
            else:
                self.scheduler.affinity.evicted(spec.name, event.prefix)
        return answer.ok_value.next
