"""Fake a model engine that runs steps on a virtual clock, without a network.

It batches continuously, prefills prompts in chunks, keeps a prefix cache, respects
priorities, and preempts with recomputation when its memory is full. Each decoding
generation gets one token per step, so that the bookkeeping of a step doesn't grow with
the batch.
"""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from celerytrail.policies.loadreports import EngineReport

# A step's duration has a fixed part and parts per generation in the batch, per 1,000
# tokens of memory read and per prompt token prefilled.
STEP_BASE_SECONDS = 0.016
STEP_SECONDS_PER_RUNNING = 0.00015
STEP_SECONDS_PER_KILOTOKEN = 0.00012
STEP_SECONDS_PER_PREFILLED_TOKEN = 0.00004
N_PREFILL_TOKENS_PER_STEP = 512
N_CACHED_PREFIXES = 12


@dataclass(kw_only=True, slots=True, eq=False)
class Job:
    """Holds one generation at an engine.

    Only the fake engine and the oracle know its output length. While it decodes, it has
    produced as many tokens as the engine's current step is past ``base_step``.
    """

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
    n_produced_tokens: int = 0
    n_prefill_tokens_left: int = 0
    base_step: int = 0
    joined: int = 0
    state: str = "waiting"
    last_token_at: float = 0.0
    queued_at: float = field(default=0.0)


class Engine:
    """Simulates a model engine on a virtual clock.

    Parameters
    ----------
    name : str
        Its name.
    n_memory_tokens : int
        Size of its memory, in tokens.
    n_batch : int
        Largest number of generations that decode and prefill together.
    on_gap : callable
        Called with a gap between tokens in seconds, the number of generations that
        had it, and the time.
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
        self.is_alive = True
        self.slowdown_factor = 1.0
        self.is_underreporting = False
        self.leaving_at: float | None = None
        self.is_busy = False
        self.n_used_tokens = 0
        self.n_preemptions = 0
        self.step = 0
        self.jobs: dict[str, Job] = {}
        self.cache_events: list[tuple[str, str]] = []
        self._decoding: set[Job] = set()
        self._prefilling: list[Job] = []
        self._prefilled: list[Job] = []
        self._waiting: list[tuple[int, float, int, Job]] = []
        self._decoding_ends: list[tuple[int, int, Job]] = []
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._entry_numbers = itertools.count()
        self._report_sequence = 0
        self._step_seconds = 0.0
        self._last_step_at = 0.0

    def submit(self, job: Job, now: float) -> bool:
        """Queue a generation; return False when the engine has failed."""
        if not self.is_alive:
            return False
        job.arrived_at = now
        self.jobs[job.generation_id] = job
        self._enqueue(job)
        return True

    def cancel(self, job: Job) -> None:
        """Remove a generation in any state."""
        if self.jobs.pop(job.generation_id, None) is not None:
            self._release(job)
            job.state = "gone"

    def fail(self, now: float) -> None:
        """Fail, losing all generations and the prefix cache."""
        self.is_alive = False
        jobs, self.jobs = list(self.jobs.values()), {}
        for job in jobs:
            self._release(job)
            job.state = "gone"
        self._waiting.clear()
        self._cache.clear()
        for job in jobs:
            job.on_end(job, "lost", now)

    def restart(self) -> None:
        """Restart empty, as a new incarnation."""
        self.is_alive = True
        self.leaving_at = None
        self.incarnation += 1
        self.n_preemptions = 0
        self._report_sequence = 0

    def begin_step(self) -> float | None:
        """Start a step and return its duration in seconds, or None without work."""
        self._admit()
        n_prefilled = self._prefill()
        self._preempt_for_memory()
        n_running = len(self._decoding) + len(self._prefilling) + len(self._prefilled)
        if not n_running:
            return None
        self._step_seconds = self.slowdown_factor * (
            STEP_BASE_SECONDS
            + STEP_SECONDS_PER_RUNNING * n_running
            + STEP_SECONDS_PER_KILOTOKEN * self.n_used_tokens / 1000
            + STEP_SECONDS_PER_PREFILLED_TOKEN * n_prefilled
        )
        return self._step_seconds

    def end_step(self, now: float) -> None:
        """Deliver the step's tokens and complete the generations that end with it."""
        if not self.is_alive:
            return
        self.step += 1
        self._last_step_at = now
        n_decoding = len(self._decoding)
        if n_decoding:
            self.n_used_tokens += n_decoding
            self.on_gap(self._step_seconds, n_decoding, now)
        for job in self._prefilled:
            if job.state == "prefilled":
                self._start_decoding(job, now)
        self._prefilled = []
        while self._decoding_ends and self._decoding_ends[0][0] <= self.step:
            _, _, job = heapq.heappop(self._decoding_ends)
            if (
                job.state == "decoding"
                and self.step >= job.base_step + job.n_output_tokens
            ):
                self._complete(job, now)

    def n_tokens(self, job: Job) -> int:
        """Return how many tokens a generation has produced."""
        return (
            self.step - job.base_step
            if job.state == "decoding"
            else job.n_produced_tokens
        )

    def make_report(self, now: float) -> EngineReport:
        """Report the load, or a tenth of it while the engine underreports."""
        self._report_sequence += 1
        running = [job for job in self.jobs.values() if job.state != "waiting"]
        reported_share = 0.1 if self.is_underreporting else 1.0
        return EngineReport(
            engine=self.name,
            incarnation=str(self.incarnation),
            sequence=self._report_sequence,
            at=now,
            n_memory_tokens=self.n_memory_tokens,
            n_used_tokens=int(self.n_used_tokens * reported_share),
            n_running=int(len(running) * reported_share),
            n_waiting=0 if self.is_underreporting else len(self.jobs) - len(running),
            n_preemptions=0 if self.is_underreporting else self.n_preemptions,
            model="m",
            leaving_at=self.leaving_at,
            running=()
            if self.is_underreporting
            else tuple((job.generation_id, self.n_tokens(job)) for job in running),
        )

    def _enqueue(self, job: Job) -> None:
        job.state = "waiting"
        entry = (-job.priority, job.arrived_at, next(self._entry_numbers), job)
        heapq.heappush(self._waiting, entry)

    def _admit(self) -> None:
        max_used_tokens = 0.99 * self.n_memory_tokens
        while self._waiting:
            job = self._waiting[0][3]
            if job.state != "waiting":
                heapq.heappop(self._waiting)
                continue
            n_needed = job.n_prompt_tokens + job.n_produced_tokens
            n_running = len(self._decoding) + len(self._prefilling)
            if (
                self.n_used_tokens + n_needed > max_used_tokens
                or n_running >= self.n_batch
            ):
                return
            heapq.heappop(self._waiting)
            job.state = "prefilling"
            job.n_prefill_tokens_left = n_needed - self._use_prefix_cache(job)
            self.n_used_tokens += n_needed
            self._prefilling.append(job)

    def _use_prefix_cache(self, job: Job) -> int:
        is_cached = job.prefix in self._cache
        if not is_cached:
            self.cache_events.append(("stored", job.prefix))
        self._cache[job.prefix] = None
        self._cache.move_to_end(job.prefix)
        if len(self._cache) > N_CACHED_PREFIXES:
            evicted, _ = self._cache.popitem(last=False)
            self.cache_events.append(("evicted", evicted))
        return min(job.n_prefix_tokens, job.n_prompt_tokens - 1) if is_cached else 0

    def _prefill(self) -> int:
        n_left = N_PREFILL_TOKENS_PER_STEP
        while self._prefilling and n_left:
            job = self._prefilling[0]
            n_now = min(n_left, job.n_prefill_tokens_left)
            job.n_prefill_tokens_left -= n_now
            n_left -= n_now
            if job.n_prefill_tokens_left:
                break
            job.state = "prefilled"
            self._prefilled.append(self._prefilling.pop(0))
        return N_PREFILL_TOKENS_PER_STEP - n_left

    def _preempt_for_memory(self) -> None:
        while True:
            n_growing = len(self._decoding) + len(self._prefilled)
            if self.n_used_tokens + n_growing <= self.n_memory_tokens:
                return
            running = [*self._decoding, *self._prefilling, *self._prefilled]
            if len(running) < 2:
                return
            victim = min(running, key=lambda job: (job.priority, -job.arrived_at))
            self._release(victim)
            self._enqueue(victim)
            self.n_preemptions += 1

    def _start_decoding(self, job: Job, now: float) -> None:
        job.n_produced_tokens += 1
        job.base_step = self.step - job.n_produced_tokens
        job.state = "decoding"
        self.n_used_tokens += 1
        self._decoding.add(job)
        end = (job.base_step + job.n_output_tokens, next(self._entry_numbers), job)
        heapq.heappush(self._decoding_ends, end)
        if job.n_produced_tokens > 1:
            self.on_gap(now - job.last_token_at, 1, now)
        job.on_token(job, now)

    def _release(self, job: Job) -> None:
        if job.state == "decoding":
            job.n_produced_tokens = self.step - job.base_step
            job.last_token_at = self._last_step_at
            self._decoding.discard(job)
        elif job.state == "prefilling":
            self._prefilling.remove(job)
        elif job.state == "prefilled":
            self._prefilled.remove(job)
        if job.state != "waiting":
            self.n_used_tokens -= job.n_prompt_tokens + job.n_produced_tokens

    def _complete(self, job: Job, now: float) -> None:
        self._release(job)
        del self.jobs[job.generation_id]
        job.state = "gone"
        job.on_end(job, "answered", now)
