"""Simulate callers, entry nodes and fake engines on a virtual clock with an event heap.

A `strategies.Strategy` makes every placing decision, with the code that nodes run.
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
from bench.workloads import Call, Deployment, generate_calls
from celerytrail.configuration.document import EngineSpec

# A longer gap between two tokens counts as a stall.
STALL_LIMIT_SECONDS = 0.25
# Width of a bin in the histogram of gaps.
GAP_STEP_SECONDS = 0.0005
# Range of the one-way network delay between two VMs.
HOP_SECONDS = (0.001, 0.003)
# How long a caller waits for the first token after the queue deadline.
FIRST_TOKEN_GRACE_SECONDS = 1.0
REPORT_INTERVAL_SECONDS = 0.5
REPORT_DELAY_SECONDS = (0.1, 1.0)
REPORT_LOSS_PROBABILITY = 0.1


@dataclass(kw_only=True, slots=True)
class Measures:
    """Holds what one run measures in the window after the warm-up.

    Stall seconds are the parts of gaps beyond `STALL_LIMIT_SECONDS`. Token counts by
    organisation sum the output lengths of all its calls (offered) and of those that got
    a first token (served).
    """

    gaps: Counter[int] = field(default_factory=Counter)
    first_token_seconds: list[float] = field(default_factory=list)
    stall_seconds: float = 0.0
    n_delivered: int = 0
    n_lost_tokens: int = 0
    n_preemptions: int = 0
    n_calls: int = 0
    n_refused: int = 0
    n_timed_out: int = 0
    n_lost_streams: int = 0
    n_answered: int = 0
    n_late_refusals: int = 0
    n_offered_tokens: Counter[str] = field(default_factory=Counter)
    n_served_tokens: Counter[str] = field(default_factory=Counter)


class Simulation:
    """Runs one strategy against one workload.

    Parameters
    ----------
    deployment : Deployment
        The pool and its callers.
    rate : float
        Calls per second.
    shares : tuple of float
        Each organisation's share of the calls.
    seed : int
        Seeds the calls, delays and losses.
    strategy : Strategy
        Makes the placing decisions.
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
        self._event_heap: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._calls = generate_calls(
            deployment,
            rate=rate,
            shares=shares,
            seconds=deployment.seconds,
            seed=seed,
        )

    def run(self) -> Measures:
        """Run the simulation to its end and return the measures."""
        self.strategy.start(self)
        for name in self.engines:
            self.call_later(
                self.rng.random() * REPORT_INTERVAL_SECONDS,
                partial(self._send_report, name),
            )
        self._schedule_next_call()
        events = self._event_heap
        seconds = self.deployment.seconds
        while events and events[0][0] < seconds:
            self.now, _, action = heapq.heappop(events)
            action()
        return self.measures

    def call_at(self, at: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        heapq.heappush(self._event_heap, (at, next(self._event_numbers), action))

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a number of virtual seconds."""
        self.call_at(self.now + seconds, action)

    def draw_hop_seconds(self) -> float:
        """Draw the seconds that a message takes between two VMs."""
        return self.rng.uniform(*HOP_SECONDS)

    def send(self, stream: Stream, engine: str, grant_id: str) -> None:
        """Send a stream from its entry node to an engine, one hop away."""
        stream.engine = engine
        stream.grant_id = grant_id
        self.call_later(
            self.draw_hop_seconds(),
            partial(self._submit_to_engine, stream, engine, grant_id),
        )

    def refuse(self, stream: Stream) -> None:
        """Refuse a request that is still waiting."""
        if stream.state != "waiting":
            return
        stream.state = "refused"
        self.streams.pop(stream.stream_id, None)
        if stream.is_counted:
            self.measures.n_refused += 1
            waited_seconds = self.now - stream.call.arrives_at
            is_off_deadline = abs(self.now - stream.deadline) > 0.05
            if waited_seconds > 0.05 and is_off_deadline:
                self.measures.n_late_refusals += 1

    def start_step(self, engine: Engine) -> None:
        """Start an engine's next step unless one is in progress."""
        if engine.is_busy or not engine.is_alive:
            return
        seconds = engine.begin_step()
        if seconds is not None:
            engine.is_busy = True
            self.call_later(
                seconds, partial(self._on_step_end, engine, engine.incarnation)
            )

    def _on_step_end(self, engine: Engine, incarnation: int) -> None:
        if not engine.is_alive or engine.incarnation != incarnation:
            return
        n_preemptions_before = engine.n_preemptions
        engine.end_step(self.now)
        engine.is_busy = False
        self.start_step(engine)
        if self.now >= self.deployment.warm_up_seconds:
            self.measures.n_preemptions += engine.n_preemptions - n_preemptions_before

    def _schedule_next_call(self) -> None:
        call = next(self._calls, None)
        if call is not None:
            self.call_at(call.arrives_at, partial(self._on_arrival, call))

    def _on_arrival(self, call: Call) -> None:
        self._schedule_next_call()
        deployment = self.deployment
        deadline = call.arrives_at + deployment.patience_seconds
        counted_until = (
            deployment.seconds - deployment.patience_seconds - FIRST_TOKEN_GRACE_SECONDS
        )
        stream = Stream(
            call=call,
            deadline=deadline,
            is_counted=deployment.warm_up_seconds <= call.arrives_at < counted_until,
        )
        self.streams[stream.stream_id] = stream
        if stream.is_counted:
            self.measures.n_calls += 1
            self.measures.n_offered_tokens[call.organisation] += call.n_output_tokens
        self.call_at(
            deadline + FIRST_TOKEN_GRACE_SECONDS, partial(self._on_patience_end, stream)
        )
        self.strategy.on_arrival(stream)

    def _submit_to_engine(
        self, stream: Stream, engine_name: str, grant_id: str
    ) -> None:
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
            self.strategy.on_end(stream, 0, "not_run")
            self.strategy.on_arrival(stream)
            return
        stream.job = job
        self.start_step(engine)

    def _on_patience_end(self, stream: Stream) -> None:
        if stream.state != "waiting":
            return
        if stream.job is None:
            self.refuse(stream)
            return
        stream.state = "given_up"
        self.engines[stream.engine].cancel(stream.job)
        self.streams.pop(stream.stream_id, None)
        self.strategy.on_end(stream, 0, "cancelled")
        if stream.is_counted:
            self.measures.n_timed_out += 1

    def _on_token(self, stream: Stream, job: Job, now: float) -> None:
        if job.n_produced_tokens > 1 or stream.state != "waiting":
            return
        stream.state = "running"
        if now >= self.deployment.warm_up_seconds:
            self.measures.n_delivered += 1
        if stream.is_counted:
            self.measures.first_token_seconds.append(now - stream.call.arrives_at)
            call = stream.call
            self.measures.n_served_tokens[call.organisation] += call.n_output_tokens

    def _on_end(self, stream: Stream, job: Job, end: str, now: float) -> None:
        stream.job = None
        if end == "lost" and stream.state == "waiting":
            # The caller has no token yet, so another engine may run the request.
            stream.excluded.add(stream.engine)
            self.strategy.on_end(stream, 0, "lost")
            self.call_later(0.1, partial(self.strategy.on_arrival, stream))
            return
        stream.state = end
        self.streams.pop(stream.stream_id, None)
        n_tokens = job.n_produced_tokens
        self.strategy.on_end(stream, n_tokens, end)
        if not stream.is_counted:
            return
        if end == "answered":
            self.measures.n_answered += 1
        else:
            self.measures.n_lost_streams += 1
            self.measures.n_lost_tokens += n_tokens

    def _on_gap(self, seconds: float, n_streams: int, now: float) -> None:
        if now < self.deployment.warm_up_seconds:
            return
        measures = self.measures
        measures.gaps[round(seconds / GAP_STEP_SECONDS)] += n_streams
        measures.n_delivered += n_streams
        if seconds > STALL_LIMIT_SECONDS:
            measures.stall_seconds += (seconds - STALL_LIMIT_SECONDS) * n_streams

    def _send_report(self, name: str) -> None:
        self.call_later(REPORT_INTERVAL_SECONDS, partial(self._send_report, name))
        engine = self.engines[name]
        if not engine.is_alive:
            return
        report = engine.make_report(self.now)
        for receiver in self.strategy.report_receivers():
            if self.rng.random() >= REPORT_LOSS_PROBABILITY:
                delay = self.rng.uniform(*REPORT_DELAY_SECONDS)
                receive = partial(self.strategy.on_report, receiver, report, delay)
                self.call_later(delay, receive)
        events, engine.cache_events = engine.cache_events, []
        for kind, prefix in events:
            if self.rng.random() >= 2 * REPORT_LOSS_PROBABILITY:
                self.strategy.on_cache_event(name, kind, prefix)
