"""A small engine fake for the bench: no network, steps on a virtual clock.

It batches continuously, processes prompts in chunks, keeps a prefix cache, honours
priorities, and preempts by recomputing when its memory is full. All running
generations get one token a step, so the books of a step don't depend on the batch.
"""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from celerytrail.policies.loadreports import EngineReport

# Seconds a step takes: fixed, per generation in the batch, per 1,000 tokens of memory
# read, and per prompt token processed.
STEP_BASE = 0.016
STEP_PER_RUNNING = 0.00015
STEP_PER_KILOTOKEN = 0.00012
STEP_PER_PREFILL = 0.00004
PREFILL_CHUNK = 512
N_PREFIXES = 12


@dataclass(kw_only=True, slots=True, eq=False)
class Job:
    """One generation as the engine holds it; lengths are known to the fake alone."""

    generation_id: str
    organisation: str
    priority: int
    n_prompt_tokens: int
    n_output_tokens: int
    prefix: str
    n_prefix_tokens: int
    arrived_at: float
    on_token: Callable[[Job, float], None]
    on_end: Callable[[Job, str, float], None]
    n_done: int = 0
    n_prefill: int = 0
    base: int = 0
    joined: int = 0
    state: str = "waiting"
    last_token_at: float = 0.0
    queued_at: float = field(default=0.0)


class Engine:
    """A model engine on a virtual clock.

    Parameters
    ----------
    name : str
        Its name.
    n_memory_tokens : int
        What its memory holds.
    n_batch : int
        The most generations in a batch.
    on_gap : callable
        Told each gap between tokens, seconds, and for how many generations it was.
    """

    def __init__(
        self,
        *,
        name: str,
        n_memory_tokens: int,
        n_batch: int,
        on_gap: Callable[[float, int, float], None],
    ) -> None:
        self.name = name
        self.n_memory_tokens = n_memory_tokens
        self.n_batch = n_batch
        self.on_gap = on_gap
        self.incarnation = 1
        self.alive = True
        self.slowness = 1.0
        self.lies = False
        self.leaving_at: float | None = None
        self.busy = False
        self.n_used_tokens = 0
        self.n_preemptions = 0
        self.step = 0
        self.jobs: dict[str, Job] = {}
        self.cache_events: list[tuple[str, str]] = []
        self._decoding: set[Job] = set()
        self._prefilling: list[Job] = []
        self._finishing: list[Job] = []
        self._waiting: list[tuple[int, float, int, Job]] = []
        self._ends: list[tuple[int, int, Job]] = []
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._numbers = itertools.count()
        self._sequence = 0
        self._duration = 0.0
        self._last_step_at = 0.0

    def submit(self, job: Job, now: float) -> bool:
        """Take in a generation; False when the engine is gone."""
        if not self.alive:
            return False
        job.arrived_at = now
        self.jobs[job.generation_id] = job
        self._queue(job)
        return True

    def cancel(self, job: Job) -> None:
        """Drop a generation wherever it is."""
        if self.jobs.pop(job.generation_id, None) is not None:
            self._leave(job)
            job.state = "gone"

    def die(self, now: float) -> None:
        """Lose everything at once."""
        self.alive = False
        jobs, self.jobs = list(self.jobs.values()), {}
        for job in jobs:
            self._leave(job)
            job.state = "gone"
        self._waiting.clear()
        self._cache.clear()
        for job in jobs:
            job.on_end(job, "lost", now)

    def restart(self) -> None:
        """Come back empty, as a new incarnation."""
        self.alive = True
        self.leaving_at = None
        self.incarnation += 1
        self.n_preemptions = 0
        self._sequence = 0

    def begin_step(self) -> float | None:
        """Start a step; return the seconds it takes, or None when there is no work."""
        self._admit()
        n_prefilled = self._prefill()
        self._make_room()
        n_running = len(self._decoding) + len(self._prefilling) + len(self._finishing)
        if not n_running:
            return None
        self._duration = self.slowness * (
            STEP_BASE
            + STEP_PER_RUNNING * n_running
            + STEP_PER_KILOTOKEN * self.n_used_tokens / 1000
            + STEP_PER_PREFILL * n_prefilled
        )
        return self._duration

    def end_step(self, now: float) -> None:
        """Hand out the step's tokens."""
        if not self.alive:
            return
        self.step += 1
        self._last_step_at = now
        n_decoding = len(self._decoding)
        if n_decoding:
            self.n_used_tokens += n_decoding
            self.on_gap(self._duration, n_decoding, now)
        for job in self._finishing:
            if job.state == "prefilled":
                self._join(job, now)
        self._finishing = []
        while self._ends and self._ends[0][0] <= self.step:
            _, _, job = heapq.heappop(self._ends)
            if job.state == "decoding" and self.step >= job.base + job.n_output_tokens:
                self._end(job, now)

    def n_tokens(self, job: Job) -> int:
        """Return how many tokens a generation has produced."""
        return self.step - job.base if job.state == "decoding" else job.n_done

    def make_report(self, now: float) -> EngineReport:
        """Report the load, or a lie."""
        self._sequence += 1
        running = [job for job in self.jobs.values() if job.state != "waiting"]
        share = 0.1 if self.lies else 1.0
        return EngineReport(
            engine=self.name,
            incarnation=str(self.incarnation),
            sequence=self._sequence,
            at=now,
            n_memory_tokens=self.n_memory_tokens,
            n_used_tokens=int(self.n_used_tokens * share),
            n_running=int(len(running) * share),
            n_waiting=0 if self.lies else len(self.jobs) - len(running),
            n_preemptions=0 if self.lies else self.n_preemptions,
            model="m",
            leaving_at=self.leaving_at,
            running=()
            if self.lies
            else tuple((job.generation_id, self.n_tokens(job)) for job in running),
        )

    def _queue(self, job: Job) -> None:
        job.state = "waiting"
        entry = (-job.priority, job.arrived_at, next(self._numbers), job)
        heapq.heappush(self._waiting, entry)

    def _admit(self) -> None:
        limit = 0.99 * self.n_memory_tokens
        while self._waiting:
            job = self._waiting[0][3]
            if job.state != "waiting":
                heapq.heappop(self._waiting)
                continue
            n_needed = job.n_prompt_tokens + job.n_done
            n_running = len(self._decoding) + len(self._prefilling)
            if self.n_used_tokens + n_needed > limit or n_running >= self.n_batch:
                return
            heapq.heappop(self._waiting)
            job.state = "prefilling"
            job.n_prefill = n_needed - self._cached(job)
            self.n_used_tokens += n_needed
            self._prefilling.append(job)

    def _cached(self, job: Job) -> int:
        warm = job.prefix in self._cache
        if not warm:
            self.cache_events.append(("stored", job.prefix))
        self._cache[job.prefix] = None
        self._cache.move_to_end(job.prefix)
        if len(self._cache) > N_PREFIXES:
            old, _ = self._cache.popitem(last=False)
            self.cache_events.append(("evicted", old))
        return min(job.n_prefix_tokens, job.n_prompt_tokens - 1) if warm else 0

    def _prefill(self) -> int:
        budget = PREFILL_CHUNK
        while self._prefilling and budget:
            job = self._prefilling[0]
            n_now = min(budget, job.n_prefill)
            job.n_prefill -= n_now
            budget -= n_now
            if job.n_prefill:
                break
            job.state = "prefilled"
            self._finishing.append(self._prefilling.pop(0))
        return PREFILL_CHUNK - budget

    def _make_room(self) -> None:
        while True:
            n_growing = len(self._decoding) + len(self._finishing)
            if self.n_used_tokens + n_growing <= self.n_memory_tokens:
                return
            running = [*self._decoding, *self._prefilling, *self._finishing]
            if len(running) < 2:
                return
            victim = min(running, key=lambda job: (job.priority, -job.arrived_at))
            self._leave(victim)
            self._queue(victim)
            self.n_preemptions += 1

    def _join(self, job: Job, now: float) -> None:
        job.n_done += 1
        job.base = self.step - job.n_done
        job.state = "decoding"
        self.n_used_tokens += 1
        self._decoding.add(job)
        end = (job.base + job.n_output_tokens, next(self._numbers), job)
        heapq.heappush(self._ends, end)
        if job.n_done > 1:
            self.on_gap(now - job.last_token_at, 1, now)
        job.on_token(job, now)

    def _leave(self, job: Job) -> None:
        if job.state == "decoding":
            job.n_done = self.step - job.base
            job.last_token_at = self._last_step_at
            self._decoding.discard(job)
        elif job.state == "prefilling":
            self._prefilling.remove(job)
        elif job.state == "prefilled":
            self._finishing.remove(job)
        if job.state != "waiting":
            self.n_used_tokens -= job.n_prompt_tokens + job.n_done

    def _end(self, job: Job, now: float) -> None:
        self._leave(job)
        del self.jobs[job.generation_id]
        job.state = "gone"
        job.on_end(job, "answered", now)
