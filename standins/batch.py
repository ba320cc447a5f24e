"""The batch of the stand-in engine: bounded memory and reproducible answers.

Each step generates one token for every running generation. Memory is counted in
tokens; when the next step would not fit, the newest generation of the lowest priority
is preempted. It waits, and its tokens are computed again before it continues, so it
stalls but loses no token. Every token is a function of the prompt and the generation's
id, so a test knows the exact right answer.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
import re
from collections import OrderedDict

from celerytrail.engines.prefixes import estimate_tokens, prefix_hashes
from celerytrail.policies.loadreports import EngineReport

LENGTH_MARK = re.compile(r"\[length=(\d+)\]")
MEDIAN_TOKENS = 120
LENGTH_SIGMA = 1.1
MAX_TOKENS = 20_000
MAX_CACHED_PREFIXES = 256
MAX_EVENTS = 4_096
# One cache event in this number isn't published.
EVENT_GAP_INTERVAL = 7


def answer_length(prompt: str, seed: int) -> int:
    """Return the tokens of a prompt's answer: as marked, or a heavy-tailed draw."""
    mark = LENGTH_MARK.search(prompt)
    if mark is not None:
        return int(mark.group(1))
    rng = random.Random(f"{seed}:{prompt}")
    length = rng.lognormvariate(0.0, LENGTH_SIGMA) * MEDIAN_TOKENS
    return max(1, min(MAX_TOKENS, int(length)))


def token_text(prompt: str, generation_id: str, offset: int) -> str:
    """Return the one right token at an offset of a generation's answer."""
    digest = hashlib.blake2b(f"{generation_id}:{prompt}".encode(), digest_size=3)
    return f"w{offset}-{digest.hexdigest()} "


class Generation:
    """One generation: its prompt, its progress and its readers.

    Parameters
    ----------
    generation_id, prompt : str
        Its id, and the prompt that it answers.
    n_total : int
        Tokens of the whole answer; only the engine knows it.
    n_max_tokens : int
        Maximum of tokens that the caller allows.
    priority : int
        0 to 9; the lowest is preempted first.
    """

    def __init__(
        self,
        *,
        generation_id: str,
        prompt: str,
        n_total: int,
        n_max_tokens: int,
        priority: int,
    ) -> None:
        self.generation_id = generation_id
        self.prompt = prompt
        self.n_prompt = estimate_tokens(prompt)
        self.n_target = min(n_total, n_max_tokens)
        self.natural_end = "stop" if n_total <= n_max_tokens else "length"
        self.priority = priority
        self.n_produced = 0
        self.end: str | None = None
        self.ready_at = 0.0
        self.preempted_at: float | None = None
        self.last_read_at = 0.0
        self.deadline: float | None = None
        self.ended_at = 0.0
        self.n_readers = 0
        self.reader = 0
        self._changed = asyncio.Event()

    @property
    def n_memory(self) -> int:
        """Return the memory that it takes while it runs, in tokens."""
        return self.n_prompt + self.n_produced

    def text(self, offset: int) -> str:
        """Return the token at an offset."""
        return token_text(self.prompt, self.generation_id, offset)

    def notify_change(self) -> None:
        """Wake the readers, after a new token or the end."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Wait for a new token, the end, or a lost reader."""
        await self._changed.wait()


class Batch:
    """All generations of one engine process.

    Parameters
    ----------
    engine, incarnation, model : str
        The engine's name, its incarnation, and the model it starts with.
    tokens_per_second : float
        Rate of each running generation.
    n_memory_tokens : int
        Memory size in tokens.
    seed : int
        Seed of the answers' lengths.
    prefill_tokens_per_second : float
        Rate at which prompts, and tokens lost to a preemption, are computed.
    keep_seconds : float
        How long a finished generation can still be read.
    unread_seconds : float
        Time without a reader after which a generation is cancelled.
    event_seconds : float
        Delay with which cache events are published.
    """

    def __init__(
        self,
        *,
        engine: str,
        incarnation: str,
        model: str,
        tokens_per_second: float = 30.0,
        n_memory_tokens: int = 20_000,
        seed: int = 1,
        prefill_tokens_per_second: float = 10_000.0,
        keep_seconds: float = 120.0,
        unread_seconds: float = 60.0,
        event_seconds: float = 1.0,
    ) -> None:
        self.engine = engine
        self.incarnation = incarnation
        self.model = model
        self.version = ""
        self.adapters: list[str] = []
        self.role = "serve"
        self.fencing = 0
        self.leaving_at: float | None = None
        self.event_seconds = event_seconds
        self.n_memory_tokens = n_memory_tokens
        self.step_seconds = 1.0 / tokens_per_second
        self.generations: dict[str, Generation] = {}
        self.events: list[dict[str, object]] = []
        self._running: list[Generation] = []
        self._waiting: list[Generation] = []
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._seed = seed
        self._prefill_rate = prefill_tokens_per_second
        self._keep_seconds = keep_seconds
        self._unread_seconds = unread_seconds
        self._n_preemptions = 0
        self._stall_seconds = 0.0
        self._n_events = 0
        self._n_reports = 0
        self._n_recent_tokens = 0
        self._reported_at = 0.0

    def start(
        self,
        generation_id: str,
        prompt: str,
        n_max_tokens: int,
        priority: int,
        now: float,
    ) -> Generation:
        """Queue a generation; returns the existing one if its id is known."""
        if generation_id in self.generations:
            return self.generations[generation_id]
        generation = Generation(
            generation_id=generation_id,
            prompt=prompt,
            n_total=answer_length(prompt, self._seed),
            n_max_tokens=n_max_tokens,
            priority=priority,
        )
        generation.last_read_at = now
        self.generations[generation_id] = generation
        self._waiting.append(generation)
        return generation

    def cancel(self, generation: Generation, now: float) -> None:
        """Cancel a generation, unless it has finished."""
        if generation.end is None:
            self._finish(generation, "cancelled", now)

    def step(self, now: float) -> None:
        """Generate one token for each running generation."""
        self._admit(now)
        ready = [g for g in self._running if g.ready_at <= now]
        while ready and self.n_used + len(ready) > self.n_memory_tokens:
            preempted = self._preempt(now)
            if preempted is None:
                break
            ready = [g for g in ready if g is not preempted]
        for generation in ready:
            generation.n_produced += 1
            self._n_recent_tokens += 1
            if generation.n_produced >= generation.n_target:
                self._finish(generation, generation.natural_end, now)
            else:
                generation.notify_change()
        self._expire(now)

    @property
    def is_idle(self) -> bool:
        """Return whether there is nothing to generate."""
        return not self._running and not self._waiting

    @property
    def n_used(self) -> int:
        """Return the memory in use, in tokens."""
        return sum(g.n_memory for g in self._running)

    def report(self, now: float, wall: float) -> EngineReport:
        """Return the current load; its token rate is since the last report."""
        seconds = max(now - self._reported_at, self.step_seconds)
        rate = self._n_recent_tokens / seconds
        self._n_recent_tokens = 0
        self._reported_at = now
        self._n_reports += 1
        return EngineReport(
            engine=self.engine,
            incarnation=self.incarnation,
            sequence=self._n_reports,
            at=wall,
            n_memory_tokens=self.n_memory_tokens,
            n_used_tokens=self.n_used,
            n_running=len(self._running),
            n_waiting=len(self._waiting),
            n_preemptions=self._n_preemptions,
            stall_seconds=round(self._stall_seconds, 4),
            tokens_per_second=round(rate, 2),
            model=self.model,
            version=self.version,
            adapters=tuple(self.adapters),
            role="drain" if self.role == "drain" else "serve",
            leaving_at=self.leaving_at,
            fencing=self.fencing,
            running=tuple((g.generation_id, g.n_produced) for g in self._running),
        )

    def _admit(self, now: float) -> None:
        self._waiting.sort(key=lambda g: -g.priority)
        while self._waiting:
            generation = self._waiting[0]
            is_alone = not self._running
            n_free = self.n_memory_tokens - self.n_used - len(self._running)
            if generation.n_memory + 1 > n_free and not is_alone:
                return
            self._waiting.pop(0)
            n_cached = self._use_cache(generation.prompt, now)
            n_compute = max(1, generation.n_memory - n_cached)
            generation.ready_at = now + n_compute / self._prefill_rate
            if generation.preempted_at is not None:
                self._stall_seconds += generation.ready_at - generation.preempted_at
                generation.preempted_at = None
            self._running.append(generation)

    def _preempt(self, now: float) -> Generation | None:
        if len(self._running) < 2:
            # A generation that runs alone would wait for its own memory for ever.
            return None
        lowest = min(g.priority for g in self._running)
        generation = next(g for g in reversed(self._running) if g.priority == lowest)
        self._running.remove(generation)
        self._waiting.insert(0, generation)
        generation.preempted_at = now
        self._n_preemptions += 1
        return generation

    def _finish(self, generation: Generation, end: str, now: float) -> None:
        generation.end = end
        generation.ended_at = now
        for queue in (self._running, self._waiting):
            if generation in queue:
                queue.remove(generation)
        generation.notify_change()

    def _expire(self, now: float) -> None:
        for generation in list(self.generations.values()):
            if generation.n_readers:
                generation.last_read_at = now
            deadline = generation.deadline
            if generation.end is not None:
                if now - generation.ended_at > self._keep_seconds:
                    del self.generations[generation.generation_id]
            elif now - generation.last_read_at > self._unread_seconds:
                # Its caller and the node that relayed it no longer read it; without
                # this it would take memory until its last token.
                self._finish(generation, "cancelled", now)
            elif deadline is not None and now >= deadline:
                self._finish(generation, "cancelled", now)

    def _use_cache(self, prompt: str, now: float) -> int:
        """Return how many prompt tokens are cached, and cache the prompt."""
        hashes = prefix_hashes(prompt)
        n_cached = 0
        for prefix in hashes:
            if prefix in self._prefixes:
                n_cached += 1
                self._prefixes.move_to_end(prefix)
                continue
            self._prefixes[prefix] = None
            self._record_event("stored", prefix, now)
        while len(self._prefixes) > MAX_CACHED_PREFIXES:
            prefix, _ = self._prefixes.popitem(last=False)
            self._record_event("evicted", prefix, now)
        return n_cached * estimate_tokens("x" * 512)

    def _record_event(self, kind: str, prefix: str, now: float) -> None:
        self._n_events += 1
        if self._n_events % EVENT_GAP_INTERVAL == 0:
            # Engines publish with gaps: this event is never published.
            return
        event = {"sequence": self._n_events, "at": now, "kind": kind, "prefix": prefix}
        self.events.append(event)
        del self.events[:-MAX_EVENTS]
