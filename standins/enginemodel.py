"""A model of an engine's batch and memory, as the platform's pages describe them.

It does no waiting: each step returns its duration and the requests that produced a
token, and the caller waits. A prefill runs in chunks that lengthen the steps of the
whole batch. Running requests and cached prompt parts share the memory. When it is
full, the newest of the least urgent requests is preempted.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from dataclasses import dataclass, field

Part = tuple[str, int]


@dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """The capacity and the speed of an engine.

    Parameters
    ----------
    n_slots : int
        Requests that run at once.
    n_memory_tokens : int
        Tokens that fit in memory.
    step_seconds, slot_seconds : float
        Duration of a step, and what each running request adds to it.
    prefill_tokens_per_second : float
        Rate of the prefill, whose time adds to the steps that it is part of.
    n_chunk_tokens : int
        Maximum of prompt tokens that one step reads.
    n_event_tokens : int
        Tokens in one event of a stream.
    slowness : float
        Factor on the duration of each step; 1 is a usual engine.
    token_bytes : float
        Memory of a token, for copies to other engines.
    link_bytes_per_second : float
        Throughput of the engine's link.
    n_max_waiting : int
        Maximum of waiting requests; more are refused.
    """

    n_slots: int = 24
    n_memory_tokens: int = 34_000
    step_seconds: float = 0.007
    slot_seconds: float = 0.00012
    prefill_tokens_per_second: float = 14_000.0
    n_chunk_tokens: int = 112
    n_event_tokens: int = 4
    slowness: float = 1.0
    token_bytes: float = 18_432.0
    link_bytes_per_second: float = 337.5e6
    n_max_waiting: int = 72


@dataclass(kw_only=True)
class Job:
    """One request at an engine.

    Parameters
    ----------
    attempt_id : str
        The caller's id.
    n_prompt, n_output : int
        Tokens of the prompt and of the whole output; only the engine knows the latter.
    parts : tuple of (str, int)
        The prompt's parts with their tokens, by which the cache finds them.
    priority : int
        0 is the most urgent.
    n_generated : int
        Output tokens generated.
    n_prefill : int
        Tokens that must be read before the next one is generated.
    is_from_copy : bool
        Whether it continues from a copy, and so is admitted first.
    number : int
        Its place in the order of arrival.
    n_preempted : int
        How often it was preempted.
    """

    attempt_id: str
    n_prompt: int
    n_output: int
    parts: tuple[Part, ...] = ()
    priority: int = 5
    n_generated: int = 0
    n_prefill: int = 0
    is_from_copy: bool = False
    number: int = 0
    n_preempted: int = 0

    @property
    def n_tokens(self) -> int:
        """Return the memory that it takes, in tokens."""
        return self.n_prompt + self.n_generated

    @property
    def is_done(self) -> bool:
        """Return whether its last token is generated."""
        return self.n_generated >= self.n_output


@dataclass(frozen=True, kw_only=True)
class Step:
    """The result of a step: duration, jobs that got a token, prompt tokens read."""

    seconds: float
    decoded: tuple[Job, ...] = ()
    n_read: int = 0


@dataclass(kw_only=True)
class Totals:
    """Counts over the life of an engine: tokens read, and preemptions.

    ``n_read_again`` counts the tokens whose memory was lost to a preemption.
    """

    n_read: int = 0
    n_read_again: int = 0
    n_preempted: int = 0


class EngineModel:
    """Running and waiting requests, copies of other engines' runs, and a prefix cache.

    Parameters
    ----------
    spec : EngineSpec
        The engine's capacity and speed.
    """

    def __init__(self, *, spec: EngineSpec) -> None:
        self.spec = spec
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.totals = Totals()
        # Tokens of each copy by its name; a copy also takes a slot.
        self.copies: dict[str, int] = {}
        self._cached_parts: OrderedDict[str, int] = OrderedDict()
        self._numbers = itertools.count()

    @property
    def n_used(self) -> int:
        """Return the memory that can't be evicted, in tokens: runs and copies."""
        return sum(job.n_tokens for job in self.running) + sum(self.copies.values())

    @property
    def is_idle(self) -> bool:
        """Return whether no step is due."""
        return not self.running and not self.waiting

    def can_hold_copy(self, n_tokens: int) -> bool:
        """Return whether a slot and the memory for a copy of a size are free."""
        n_slots_used = len(self.running) + len(self.copies)
        has_slot = n_slots_used < self.spec.n_slots
        return has_slot and self.n_used + n_tokens <= self.spec.n_memory_tokens

    def submit(self, job: Job) -> bool:
        """Queue a request; False if the queue is full or the request can never fit."""
        if job.n_prompt + job.n_output > self.spec.n_memory_tokens:
            return False
        if len(self.waiting) >= self.spec.n_max_waiting:
            return False
        job.number = next(self._numbers)
        self.waiting.append(job)
        return True

    def withdraw(self, job: Job) -> None:
        """Remove a request, whether it runs or waits."""
        for queue in (self.running, self.waiting):
            if job in queue:
                queue.remove(job)

    def step(self) -> Step:
        """Read a chunk, and generate one token of each request that has been read."""
        self._admit()
        ready = [job for job in self.running if job.n_prefill == 0]
        ready = self._preempt(ready)
        n_read = self._read_chunk()
        for job in ready:
            # A run that was moved right after its last token has none left to generate.
            job.n_generated = min(job.n_output, job.n_generated + 1)
            if job.is_done:
                self.running.remove(job)
                self._cache_parts(job)
        spec = self.spec
        seconds = spec.step_seconds + spec.slot_seconds * len(self.running)
        seconds += n_read / spec.prefill_tokens_per_second
        return Step(
            seconds=seconds * spec.slowness, decoded=tuple(ready), n_read=n_read
        )

    def _admit(self) -> None:
        self.waiting.sort(
            key=lambda job: (not job.is_from_copy, job.priority, job.number)
        )
        while self.waiting:
            job = self.waiting[0]
            n_slots_used = len(self.running) + len(self.copies)
            if n_slots_used >= self.spec.n_slots:
                return
            if self.n_used + job.n_tokens + 1 > self.spec.n_memory_tokens:
                return
            self.waiting.pop(0)
            if not job.is_from_copy:
                job.n_prefill = job.n_tokens - self._n_cached(job)
            self.running.append(job)

    def _preempt(self, ready: list[Job]) -> list[Job]:
        """Preempt requests until a token of each ready one fits; returns these."""
        while self.n_used + len(ready) > self.spec.n_memory_tokens and len(ready) > 1:
            victim = max(self.running, key=lambda job: (job.priority, job.number))
            self.running.remove(victim)
            victim.is_from_copy = False
            victim.n_preempted += 1
            self.totals.n_preempted += 1
            self.totals.n_read_again += victim.n_tokens
            self.waiting.append(victim)
            ready = [job for job in ready if job is not victim]
        return ready

    def _read_chunk(self) -> int:
        n_left = self.spec.n_chunk_tokens
        # The few tokens that a copy lacks don't wait behind whole prompts.
        for job in sorted(self.running, key=lambda job: not job.is_from_copy):
            n_read = min(n_left, job.n_prefill)
            job.n_prefill -= n_read
            n_left -= n_read
        n_read = self.spec.n_chunk_tokens - n_left
        self.totals.n_read += n_read
        return n_read

    def _n_cached(self, job: Job) -> int:
        """Return a prompt's cached tokens; a part after a missing one doesn't count."""
        n_cached = 0
        for part, n_tokens in job.parts:
            if self._cached_parts.get(part) != n_tokens:
                break
            self._cached_parts.move_to_end(part)
            n_cached += n_tokens
        return min(n_cached, job.n_prompt - 1)

    def _cache_parts(self, job: Job) -> None:
        for part, n_tokens in job.parts:
            self._cached_parts[part] = n_tokens
            self._cached_parts.move_to_end(part)
        n_free = self.spec.n_memory_tokens - self.n_used
        while self._cached_parts and sum(self._cached_parts.values()) > n_free:
            self._cached_parts.popitem(last=False)


@dataclass(kw_only=True)
class Link:
    """An engine's network link; it carries one copy at a time, in order of booking."""

    free_at: float = 0.0
    n_bytes: float = field(default=0.0)

    @staticmethod
    def book(
        source: Link, target: Link, n_bytes: float, seconds: float, now: float
    ) -> float:
        """Book a copy on the links of both engines; returns when it is complete."""
        ends_at = max(now, source.free_at, target.free_at) + seconds
        source.free_at = target.free_at = ends_at
        source.n_bytes += n_bytes
        return ends_at
