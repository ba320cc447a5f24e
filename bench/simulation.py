"""The bench's virtual clock: callers, entry nodes and engine fakes, one heap of events.

Nothing here decides anything; a `strategies.Strategy` does, with the node's own code.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from bench.engine import Engine, Job
from bench.strategies import Strategy, Stream
from bench.workloads import Call, Deployment, calls
from celerytrail.configuration.document import EngineSpec

# A gap between tokens beyond this is a stall, seconds.
STALL_LIMIT = 0.25
# Gaps are counted in steps of this, seconds.
GAP_STEP = 0.0005
# One way between two VMs, seconds.
HOP = (0.001, 0.003)
# A caller waits this much longer than the queue deadline for the first token.
FIRST_TOKEN_GRACE = 1.0
REPORT_EVERY = 0.5
REPORT_DELAY = (0.1, 1.0)
REPORT_LOSS = 0.1


@dataclass(kw_only=True, slots=True)
class Measures:
    """What is measured in one run, in the window after warming up."""

    gaps: Counter[int] = field(default_factory=Counter)
    first_tokens: list[float] = field(default_factory=list)
    stall_seconds: float = 0.0
    n_delivered: int = 0
    n_lost_tokens: int = 0
    n_preemptions: int = 0
    n_calls: int = 0
    n_refused: int = 0
    n_given_up: int = 0
    n_lost: int = 0
    n_answered: int = 0
    n_late_refusals: int = 0
    offered: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)


class Simulation:
    """One run of one strategy against one workload.

    Parameters
    ----------
    deployment : Deployment
        The pool and its callers.
    rate : float
        Calls a second.
    shares : tuple of float
        Each organisation's share of the calls.
    seed : int
        Fixes calls, delays and losses.
    strategy : Strategy
        Who decides.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        rate: float,
        shares: tuple[float, ...],
        seed: int,
        strategy: Strategy,
    ) -> None:
        self.deployment = deployment
        self.strategy = strategy
        self.now = 0.0
        self.rng = random.Random(seed * 7919 + 1)
        self.measures = Measures()
        self.streams: dict[str, Stream] = {}
        self.engines = {
            name: Engine(
                name=name,
                n_memory_tokens=deployment.n_memory_tokens,
                n_batch=deployment.n_batch,
                on_gap=self._on_gap,
            )
            for name in (f"e{i}" for i in range(deployment.n_engines))
        }
        self.specs = [
            EngineSpec(name=name, address="", failure_domain="a", model="m")
            for name in self.engines
        ]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._calls = calls(
            deployment,
            rate=rate,
            shares=shares,
            seconds=deployment.seconds,
            seed=seed,
        )

    def run(self) -> Measures:
        """Run to the end and return what was measured."""
        self.strategy.start(self)
        for name in self.engines:
            self.after(self.rng.random() * REPORT_EVERY, partial(self._report, name))
        self._next_call()
        events = self._events
        seconds = self.deployment.seconds
        while events and events[0][0] < seconds:
            self.now, _, action = heapq.heappop(events)
            action()
        return self.measures

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something after a while."""
        self.at(self.now + seconds, action)

    def hop(self) -> float:
        """Return the seconds that a message takes."""
        return self.rng.uniform(*HOP)

    def send(self, stream: Stream, engine: str, grant_id: str) -> None:
        """Let an entry node start a stream on an engine, one hop away."""
        stream.engine = engine
        stream.grant_id = grant_id
        self.after(self.hop(), partial(self._submit, stream, engine, grant_id))

    def refuse(self, stream: Stream) -> None:
        """Answer a caller that the request was not run."""
        if stream.state != "waiting":
            return
        stream.state = "refused"
        self.streams.pop(stream.stream_id, None)
        if stream.counted:
            self.measures.n_refused += 1
            waited = self.now - stream.call.at
            late = abs(self.now - stream.deadline) > 0.05
            if waited > 0.05 and late:
                self.measures.n_late_refusals += 1

    def kick(self, engine: Engine) -> None:
        """Let an engine begin its next step, if it isn't in one."""
        if engine.busy or not engine.alive:
            return
        seconds = engine.begin_step()
        if seconds is not None:
            engine.busy = True
            self.after(seconds, partial(self._step, engine, engine.incarnation))

    def _step(self, engine: Engine, incarnation: int) -> None:
        if not engine.alive or engine.incarnation != incarnation:
            return
        before = engine.n_preemptions
        engine.end_step(self.now)
        engine.busy = False
        self.kick(engine)
        if self.now >= self.deployment.warm_up:
            self.measures.n_preemptions += engine.n_preemptions - before

    def _next_call(self) -> None:
        call = next(self._calls, None)
        if call is not None:
            self.at(call.at, partial(self._arrive, call))

    def _arrive(self, call: Call) -> None:
        self._next_call()
        deployment = self.deployment
        deadline = call.at + deployment.patience
        last = deployment.seconds - deployment.patience - FIRST_TOKEN_GRACE
        stream = Stream(
            call=call,
            deadline=deadline,
            counted=deployment.warm_up <= call.at < last,
        )
        self.streams[stream.stream_id] = stream
        if stream.counted:
            self.measures.n_calls += 1
            self.measures.offered[call.organisation] += call.n_output_tokens
        self.at(deadline + FIRST_TOKEN_GRACE, partial(self._give_up, stream))
        self.strategy.arrive(stream)

    def _submit(self, stream: Stream, engine_name: str, grant_id: str) -> None:
        if stream.state != "waiting" or stream.grant_id != grant_id:
            return
        call = stream.call
        engine = self.engines[engine_name]
        job = Job(
            generation_id=grant_id,
            organisation=call.organisation,
            priority=5,
            n_prompt_tokens=call.n_prompt_tokens,
            n_output_tokens=call.n_output_tokens,
            prefix=call.prefix,
            n_prefix_tokens=call.n_prefix_tokens,
            arrived_at=self.now,
            on_token=partial(self._on_token, stream),
            on_end=partial(self._on_end, stream),
        )
        if not engine.submit(job, self.now):
            stream.excluded.add(engine_name)
            self.strategy.ended(stream, 0, "not_run")
            self.strategy.arrive(stream)
            return
        stream.job = job
        self.kick(engine)

    def _give_up(self, stream: Stream) -> None:
        if stream.state != "waiting":
            return
        if stream.job is None:
            self.refuse(stream)
            return
        stream.state = "given_up"
        self.engines[stream.engine].cancel(stream.job)
        self.streams.pop(stream.stream_id, None)
        self.strategy.ended(stream, 0, "cancelled")
        if stream.counted:
            self.measures.n_given_up += 1

    def _on_token(self, stream: Stream, job: Job, now: float) -> None:
        if job.n_done > 1 or stream.state != "waiting":
            return
        stream.state = "running"
        if now >= self.deployment.warm_up:
            self.measures.n_delivered += 1
        if stream.counted:
            self.measures.first_tokens.append(now - stream.call.at)
            call = stream.call
            self.measures.served[call.organisation] += call.n_output_tokens

    def _on_end(self, stream: Stream, job: Job, end: str, now: float) -> None:
        stream.job = None
        if end == "lost" and stream.state == "waiting":
            # Not a token had come, so it may be run elsewhere.
            stream.excluded.add(stream.engine)
            self.strategy.ended(stream, 0, "lost")
            self.after(0.1, partial(self.strategy.arrive, stream))
            return
        stream.state = end
        self.streams.pop(stream.stream_id, None)
        n_tokens = job.n_done
        self.strategy.ended(stream, n_tokens, end)
        if not stream.counted:
            return
        if end == "answered":
            self.measures.n_answered += 1
        else:
            self.measures.n_lost += 1
            self.measures.n_lost_tokens += n_tokens

    def _on_gap(self, seconds: float, n: int, now: float) -> None:
        if now < self.deployment.warm_up:
            return
        measures = self.measures
        measures.gaps[round(seconds / GAP_STEP)] += n
        measures.n_delivered += n
        if seconds > STALL_LIMIT:
            measures.stall_seconds += (seconds - STALL_LIMIT) * n

    def _report(self, name: str) -> None:
        self.after(REPORT_EVERY, partial(self._report, name))
        engine = self.engines[name]
        if not engine.alive:
            return
        report = engine.make_report(self.now)
        for receiver in self.strategy.receivers():
            if self.rng.random() >= REPORT_LOSS:
                delay = self.rng.uniform(*REPORT_DELAY)
                receive = partial(self.strategy.receive, receiver, report, delay)
                self.after(delay, receive)
        events, engine.cache_events = engine.cache_events, []
        for kind, prefix in events:
            if self.rng.random() >= 2 * REPORT_LOSS:
                self.strategy.cache_event(name, kind, prefix)
