"""The stand-in engine's inside: a batch, a memory that fills, and known answers.

Tokens come at a pace to all running generations at once. Memory is counted in tokens;
when the next step would not fit, the newest generation of the lowest priority is
thrown out, waits, and has its tokens computed again before it goes on, so it stalls
but loses none. Every token follows from the prompt and the generation's id, so a test
knows the exact right answer.
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
GAP_EVERY = 7


def answer_length(prompt: str, seed: int) -> int:
    """Return how many tokens a prompt's answer has: heavy-tailed, or as it asks."""
    asked = LENGTH_MARK.search(prompt)
    if asked is not None:
        return int(asked.group(1))
    rng = random.Random(f"{seed}:{prompt}")
    length = rng.lognormvariate(0.0, LENGTH_SIGMA) * MEDIAN_TOKENS
    return max(1, min(MAX_TOKENS, int(length)))


def token_text(prompt: str, generation_id: str, offset: int) -> str:
    """Return the one right token at an offset of a generation's answer."""
    digest = hashlib.blake2b(f"{generation_id}:{prompt}".encode(), digest_size=3)
    return f"w{offset}-{digest.hexdigest()} "


class Generation:
    """One answer in the making.

    Parameters
    ----------
    generation_id, prompt : str
        Which one, and to what.
    n_total : int
        Tokens it will have; the engine alone knows.
    n_allowed : int
        The most tokens the caller allows.
    priority : int
        0 to 9; the lowest is thrown out of memory first.
    """

    def __init__(
        self,
        *,
        generation_id: str,
        prompt: str,
        n_total: int,
        n_allowed: int,
        priority: int,
    ) -> None:
        self.generation_id = generation_id
        self.prompt = prompt
        self.n_prompt = estimate_tokens(prompt)
        self.n_last = min(n_total, n_allowed)
        self.natural_end = "stop" if n_total <= n_allowed else "length"
        self.priority = priority
        self.n_produced = 0
        self.end: str | None = None
        self.ready_at = 0.0
        self.thrown_out_at: float | None = None
        self.last_read_at = 0.0
        self.deadline: float | None = None
        self.ended_at = 0.0
        self.n_readers = 0
        self.reader = 0
        self._changed = asyncio.Event()

    @property
    def n_memory(self) -> int:
        """Return the tokens of memory that it takes while it runs."""
        return self.n_prompt + self.n_produced

    def text(self, offset: int) -> str:
        """Return the token at an offset."""
        return token_text(self.prompt, self.generation_id, offset)

    def note_change(self) -> None:
        """Wake the readers."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_change(self) -> None:
        """Wait for more tokens or the end."""
        await self._changed.wait()


class Batch:
    """All generations of one engine process.

    Parameters
    ----------
    engine, incarnation, model : str
        What it calls itself, and the model it starts with.
    tokens_per_second : float
        Pace of each running generation.
    n_memory_tokens : int
        Tokens that the memory holds.
    seed : int
        Of the answers' lengths.
    prefill_tokens_per_second : float
        Pace at which prompts, and tokens lost to a preemption, are computed.
    keep_seconds : float
        How long an ended generation can still be read.
    unread_seconds : float
        After how long without a reader a generation is given up.
    event_seconds : float
        How late cache events are published.
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
        self._prefill = prefill_tokens_per_second
        self._keep_seconds = keep_seconds
        self._unread_seconds = unread_seconds
        self._n_preemptions = 0
        self._stall_seconds = 0.0
        self._n_events = 0
        self._n_reports = 0
        self._n_recent = 0
        self._recent_since = 0.0

    def start(
        self, generation_id: str, prompt: str, n_allowed: int, priority: int, now: float
    ) -> Generation:
        """Take a generation in; asking again with its id gives the one there is."""
        if generation_id in self.generations:
            return self.generations[generation_id]
        generation = Generation(
            generation_id=generation_id,
            prompt=prompt,
            n_total=answer_length(prompt, self._seed),
            n_allowed=n_allowed,
            priority=priority,
        )
        generation.last_read_at = now
        self.generations[generation_id] = generation
        self._waiting.append(generation)
        return generation

    def cancel(self, generation: Generation, now: float) -> None:
        """End a generation before its time."""
        if generation.end is None:
            self._finish(generation, "cancelled", now)

    def step(self, now: float) -> None:
        """Make one token for each running generation."""
        self._let_in(now)
        ready = [g for g in self._running if g.ready_at <= now]
        while ready and self.n_used + len(ready) > self.n_memory_tokens:
            thrown_out = self._throw_out(now)
            if thrown_out is None:
                break
            ready = [g for g in ready if g is not thrown_out]
        for generation in ready:
            generation.n_produced += 1
            self._n_recent += 1
            if generation.n_produced >= generation.n_last:
                self._finish(generation, generation.natural_end, now)
            else:
                generation.note_change()
        self._expire(now)

    @property
    def is_idle(self) -> bool:
        """Return whether there is nothing to generate."""
        return not self._running and not self._waiting

    @property
    def n_used(self) -> int:
        """Return the tokens that the memory holds now."""
        return sum(g.n_memory for g in self._running)

    def report(self, now: float, wall: float) -> EngineReport:
        """Return the load as it is now."""
        seconds = max(now - self._recent_since, self.step_seconds)
        rate = self._n_recent / seconds
        self._n_recent = 0
        self._recent_since = now
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

    def _let_in(self, now: float) -> None:
        self._waiting.sort(key=lambda g: -g.priority)
        while self._waiting:
            generation = self._waiting[0]
            is_alone = not self._running
            room = self.n_memory_tokens - self.n_used - len(self._running)
            if generation.n_memory + 1 > room and not is_alone:
                return
            self._waiting.pop(0)
            n_cached = self._use_cache(generation.prompt, now)
            n_compute = max(1, generation.n_memory - n_cached)
            generation.ready_at = now + n_compute / self._prefill
            if generation.thrown_out_at is not None:
                self._stall_seconds += generation.ready_at - generation.thrown_out_at
                generation.thrown_out_at = None
            self._running.append(generation)

    def _throw_out(self, now: float) -> Generation | None:
        if len(self._running) < 2:
            # One that is alone would wait for itself for ever.
            return None
        lowest = min(g.priority for g in self._running)
        generation = next(g for g in reversed(self._running) if g.priority == lowest)
        self._running.remove(generation)
        self._waiting.insert(0, generation)
        generation.thrown_out_at = now
        self._n_preemptions += 1
        return generation

    def _finish(self, generation: Generation, end: str, now: float) -> None:
        generation.end = end
        generation.ended_at = now
        for queue in (self._running, self._waiting):
            if generation in queue:
                queue.remove(generation)
        generation.note_change()

    def _expire(self, now: float) -> None:
        for generation in list(self.generations.values()):
            if generation.n_readers:
                generation.last_read_at = now
            deadline = generation.deadline
            if generation.end is not None:
                if now - generation.ended_at > self._keep_seconds:
                    del self.generations[generation.generation_id]
            elif now - generation.last_read_at > self._unread_seconds:
                # Whoever asked for it is gone, and so is the node that relayed it;
                # without this it would take memory until it ends by itself.
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
            self._note_event("stored", prefix, now)
        while len(self._prefixes) > MAX_CACHED_PREFIXES:
            prefix, _ = self._prefixes.popitem(last=False)
            self._note_event("evicted", prefix, now)
        return n_cached * estimate_tokens("x" * 512)

    def _note_event(self, kind: str, prefix: str, now: float) -> None:
        self._n_events += 1
        if self._n_events % GAP_EVERY == 0:
            # Engines publish with gaps: this event is never seen.
            return
        event = {"sequence": self._n_events, "at": now, "kind": kind, "prefix": prefix}
        self.events.append(event)
        del self.events[:-MAX_EVENTS]
