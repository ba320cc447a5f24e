"""The inside of a model engine as the platform's pages describe it: batch and memory.

Pure: each step says how long it takes and what it made; whoever drives it waits.
Prompts are read in chunks that lengthen the steps of all, running requests and kept
prompt parts share the memory, and the newest of the least urgent requests is preempted
when it is full.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from dataclasses import dataclass, field

Part = tuple[str, int]


@dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """What an engine has, and how fast it is.

    Parameters
    ----------
    n_slots : int
        Requests that run at once.
    n_memory_tokens : int
        Tokens that fit in memory.
    step_seconds, slot_seconds : float
        What a step takes, and what each running request adds to it.
    read_rate : float
        Prompt tokens read a second, on top of the steps that they join.
    n_chunk_tokens : int
        Prompt tokens that one step reads at most.
    n_event_tokens : int
        Tokens in one event of a stream.
    slowness : float
        How many times as long each step takes as on a usual engine.
    token_bytes : float
        Memory of a token, for copies to other engines.
    link_bytes_per_second : float
        What its link carries.
    n_queue : int
        Requests that may wait; more are refused.
    """

    n_slots: int = 24
    n_memory_tokens: int = 34_000
    step_seconds: float = 0.007
    slot_seconds: float = 0.00012
    read_rate: float = 14_000.0
    n_chunk_tokens: int = 112
    n_event_tokens: int = 4
    slowness: float = 1.0
    token_bytes: float = 18_432.0
    link_bytes_per_second: float = 337.5e6
    n_queue: int = 72


@dataclass(kw_only=True)
class Job:
    """One request at an engine.

    Parameters
    ----------
    attempt_id : str
        The caller's id.
    n_prompt, n_output : int
        Tokens of the prompt, and of the output, which nobody else knows.
    parts : tuple of (str, int)
        The prompt's parts, by which kept ones are found again.
    priority : int
        0 is the most urgent.
    n_made : int
        Tokens of output made.
    n_unread : int
        Tokens that must be read before the next one is made.
    is_copy : bool
        Whether it goes on from a copy, and so is let in first.
    """

    attempt_id: str
    n_prompt: int
    n_output: int
    parts: tuple[Part, ...] = ()
    priority: int = 5
    n_made: int = 0
    n_unread: int = 0
    is_copy: bool = False
    number: int = 0
    n_preempted: int = 0

    @property
    def n_tokens(self) -> int:
        """Return the memory that it takes."""
        return self.n_prompt + self.n_made

    @property
    def is_done(self) -> bool:
        """Return whether it has made its last token."""
        return self.n_made >= self.n_output


@dataclass(frozen=True, kw_only=True)
class Step:
    """What one step did: its time, who made a token, and prompt tokens read."""

    seconds: float
    made: tuple[Job, ...] = ()
    n_read: int = 0


@dataclass(kw_only=True)
class Totals:
    """What an engine did in its life."""

    n_read: int = 0
    n_read_again: int = 0
    n_preempted: int = 0


class EngineModel:
    """Requests in a batch, waiting ones, copies of others' runs, and kept parts.

    Parameters
    ----------
    spec : EngineSpec
        What the engine has.
    """

    def __init__(self, *, spec: EngineSpec) -> None:
        self.spec = spec
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.totals = Totals()
        # Memory of copies by name; each takes a slot as well.
        self.copies: dict[str, int] = {}
        self._kept: OrderedDict[str, int] = OrderedDict()
        self._numbers = itertools.count()

    @property
    def n_used(self) -> int:
        """Return the memory that can't yield, in tokens."""
        return sum(job.n_tokens for job in self.running) + sum(self.copies.values())

    @property
    def is_idle(self) -> bool:
        """Return whether no step is due."""
        return not self.running and not self.waiting

    def has_room_for(self, n_tokens: int) -> bool:
        """Return whether a copy of so many tokens would fit."""
        n_places = len(self.running) + len(self.copies)
        has_slot = n_places < self.spec.n_slots
        return has_slot and self.n_used + n_tokens <= self.spec.n_memory_tokens

    def submit(self, job: Job) -> bool:
        """Take a request in; False where the queue is full or it can never fit."""
        if job.n_prompt + job.n_output > self.spec.n_memory_tokens:
            return False
        if len(self.waiting) >= self.spec.n_queue:
            return False
        job.number = next(self._numbers)
        self.waiting.append(job)
        return True

    def withdraw(self, job: Job) -> None:
        """Let go of a request."""
        for queue in (self.running, self.waiting):
            if job in queue:
                queue.remove(job)

    def step(self) -> Step:
        """Read a chunk, and make one token of each request that has been read."""
        self._let_in()
        ready = [job for job in self.running if job.n_unread == 0]
        ready = self._make_room(ready)
        n_read = self._read_chunk()
        for job in ready:
            # A run that was moved right after its last token has none left to make.
            job.n_made = min(job.n_output, job.n_made + 1)
            if job.is_done:
                self.running.remove(job)
                self._keep(job)
        spec = self.spec
        seconds = spec.step_seconds + spec.slot_seconds * len(self.running)
        seconds += n_read / spec.read_rate
        return Step(seconds=seconds * spec.slowness, made=tuple(ready), n_read=n_read)

    def _let_in(self) -> None:
        self.waiting.sort(key=lambda job: (not job.is_copy, job.priority, job.number))
        while self.waiting:
            job = self.waiting[0]
            n_places = len(self.running) + len(self.copies)
            if n_places >= self.spec.n_slots:
                return
            if self.n_used + job.n_tokens + 1 > self.spec.n_memory_tokens:
                return
            self.waiting.pop(0)
            if not job.is_copy:
                job.n_unread = job.n_tokens - self._n_kept(job)
            self.running.append(job)

    def _make_room(self, ready: list[Job]) -> list[Job]:
        """Preempt until each ready request can make its token."""
        while self.n_used + len(ready) > self.spec.n_memory_tokens and len(ready) > 1:
            last = max(self.running, key=lambda job: (job.priority, job.number))
            self.running.remove(last)
            last.is_copy = False
            last.n_preempted += 1
            self.totals.n_preempted += 1
            self.totals.n_read_again += last.n_tokens
            self.waiting.append(last)
            ready = [job for job in ready if job is not last]
        return ready

    def _read_chunk(self) -> int:
        left = self.spec.n_chunk_tokens
        # The few tokens that a copy lacks don't wait behind whole prompts.
        for job in sorted(self.running, key=lambda job: not job.is_copy):
            n_read = min(left, job.n_unread)
            job.n_unread -= n_read
            left -= n_read
        n_read = self.spec.n_chunk_tokens - left
        self.totals.n_read += n_read
        return n_read

    def _n_kept(self, job: Job) -> int:
        """Return the tokens of a prompt that are kept; a part after a gap is not."""
        n_kept = 0
        for part, n_tokens in job.parts:
            if self._kept.get(part) != n_tokens:
                break
            self._kept.move_to_end(part)
            n_kept += n_tokens
        return min(n_kept, job.n_prompt - 1)

    def _keep(self, job: Job) -> None:
        for part, n_tokens in job.parts:
            self._kept[part] = n_tokens
            self._kept.move_to_end(part)
        spare = self.spec.n_memory_tokens - self.n_used
        while self._kept and sum(self._kept.values()) > spare:
            self._kept.popitem(last=False)


@dataclass(kw_only=True)
class Link:
    """An engine's link; copies go one after another, and queue at both ends."""

    free_at: float = 0.0
    n_bytes: float = field(default=0.0)

    @staticmethod
    def take(
        source: Link, target: Link, n_bytes: float, seconds: float, now: float
    ) -> float:
        """Book a copy on two links; returns when it is complete."""
        ends_at = max(now, source.free_at, target.free_at) + seconds
        source.free_at = target.free_at = ends_at
        source.n_bytes += n_bytes
        return ends_at
