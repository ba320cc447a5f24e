"""Place streams in the bench: each entry node by itself, or the pool's home.

All strategies use the code that nodes run. Round robin, least reported and power of two
send every request to an engine at once, as entry nodes do when they can't reach a home.
They have no queue, therefore no fairness and no refusals; callers cancel when their
patience ends. The oracle is the pool scheduler with an admission policy that knows
every output length and the engines' true memory.
"""

from __future__ import annotations

import abc
import random
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

from bench.workloads import N_NODES, Call
from celerytrail.policies.admission import AdmissionPolicy
from celerytrail.policies.enginetracker import EngineTracker, EngineView
from celerytrail.policies.grants import AdmitRequest, Grant
from celerytrail.policies.lengths import LearnedLengths
from celerytrail.policies.loadreports import EngineReport
from celerytrail.policies.routing import (
    LeastReported,
    PowerOfTwo,
    RoundRobin,
    RoutingPolicy,
)
from celerytrail.policies.scheduler import Decision, Granted, PoolScheduler

if TYPE_CHECKING:
    from bench.simulation import Simulation

PROGRESS_INTERVAL_SECONDS = 0.5
# How long entry nodes collect ends of streams before they report them.
END_BATCH_SECONDS = 0.05
# Range of the time after which an entry node detects that the home has moved.
HOME_DETECTION_SECONDS = (0.2, 1.0)


@dataclass(kw_only=True, slots=True, eq=False)
class Stream:
    """Holds what an entry node knows of a call that hasn't ended."""

    call: Call
    deadline: float
    is_counted: bool
    state: str = "waiting"
    engine: str = ""
    grant_id: str = ""
    grant: Grant | None = None
    job: Any = None
    excluded: set[str] = field(default_factory=set)

    @property
    def stream_id(self) -> str:
        """Return the request's id."""
        return f"r{self.call.number}"

    def request(self, n_max_tokens: int) -> AdmitRequest:
        """Return the request for admission that the entry node makes."""
        return AdmitRequest(
            request_id=self.stream_id,
            organisation=self.call.organisation,
            model="m",
            n_prompt_tokens=self.call.n_prompt_tokens,
            n_max_tokens=n_max_tokens,
            prefixes=(self.call.prefix,),
            queue_deadline=self.deadline,
            excluded=tuple(self.excluded),
        )


class Strategy(abc.ABC):
    """Makes the placing decisions of a simulation."""

    def start(self, sim: Simulation) -> None:
        """Start to report progress from every entry node."""
        self.sim = sim
        for node in range(N_NODES):
            sim.call_later(
                sim.rng.random() * PROGRESS_INTERVAL_SECONDS,
                partial(self._report_progress, node),
            )

    @abc.abstractmethod
    def on_arrival(self, stream: Stream) -> None:
        """Handle a call that arrives at its entry node, or is placed once more."""

    @abc.abstractmethod
    def on_end(self, stream: Stream, n_tokens: int, end: str) -> None:
        """Record the end of a stream at its entry node."""

    @abc.abstractmethod
    def on_progress(self, stream: Stream, n_tokens: int) -> None:
        """Record the progress of a stream; entry nodes report it periodically."""

    @abc.abstractmethod
    def report_receivers(self) -> range:
        """Return the numbers of the nodes that poll the engines."""

    @abc.abstractmethod
    def on_report(self, receiver: int, report: EngineReport, age: float) -> None:
        """Handle an engine's load report."""

    @abc.abstractmethod
    def on_cache_event(self, engine: str, kind: str, prefix: str) -> None:
        """Handle an engine's cache event."""

    def replace_home(self) -> None:  # noqa: B027
        """Replace the home by an empty one; do nothing for strategies without one."""

    def _report_progress(self, node: int) -> None:
        sim = self.sim
        sim.call_later(PROGRESS_INTERVAL_SECONDS, partial(self._report_progress, node))
        for stream in list(sim.streams.values()):
            if stream.call.node == node and stream.job is not None:
                engine = sim.engines[stream.engine]
                self.on_progress(stream, engine.n_tokens(stream.job))


class EntryNodeStrategy(Strategy):
    """Lets each entry node choose an engine by itself and send at once."""

    def __init__(self, *, policy: str, seed: int) -> None:
        self._trackers = [EngineTracker() for _ in range(N_NODES)]
        self._lengths = [LearnedLengths() for _ in range(N_NODES)]
        self._policies = [
            self._make_policy(policy, random.Random(seed * 100 + node), node)
            for node in range(N_NODES)
        ]

    def _make_policy(self, policy: str, rng: random.Random, node: int) -> RoutingPolicy:
        if policy == "round_robin":
            return RoundRobin()
        if policy == "least_reported":
            return LeastReported(rng=rng)
        return PowerOfTwo(rng=rng, lengths=self._lengths[node])

    def start(self, sim: Simulation) -> None:
        """Give each node's tracker the engines."""
        super().start(sim)
        for tracker in self._trackers:
            tracker.set_engines(sim.specs, 0.0)

    def on_arrival(self, stream: Stream) -> None:
        """Choose an engine and send the stream to it."""
        sim, node = self.sim, stream.call.node
        if stream.state != "waiting":
            return
        req = stream.request(sim.deployment.n_max_tokens)
        views = self._trackers[node].candidates(req, sim.now)
        view = self._policies[node].choose(views, req, sim.now)
        if view is None:
            sim.refuse(stream)
            return
        grant_id = f"{stream.stream_id}.{len(stream.excluded)}"
        self._trackers[node].grant(grant_id, view.name, req, sim.now)
        sim.send(stream, view.name, grant_id)

    def on_end(self, stream: Stream, n_tokens: int, end: str) -> None:
        """Remove the run from the node's tracker and record its length."""
        node, organisation = stream.call.node, stream.call.organisation
        self._trackers[node].finish(stream.grant_id, self.sim.now)
        if end != "not_run":
            self._lengths[node].end(
                "m", organisation, n_tokens, is_censored=end != "answered"
            )

    def on_progress(self, stream: Stream, n_tokens: int) -> None:
        """Record the progress in the node's tracker and length tables."""
        node, organisation = stream.call.node, stream.call.organisation
        run = self._trackers[node].views[stream.engine].running.get(stream.grant_id)
        n_before = run.n_tokens if run else n_tokens
        if n_tokens > n_before:
            self._lengths[node].advance("m", organisation, n_before, n_tokens)
        self._trackers[node].progress(stream.grant_id, n_tokens, self.sim.now)

    def report_receivers(self) -> range:
        """Return all nodes, as each polls the engines."""
        return range(N_NODES)

    def on_report(self, receiver: int, report: EngineReport, age: float) -> None:
        """Record the report in the node's tracker."""
        self._trackers[receiver].report(report, self.sim.now, age=age)

    def on_cache_event(self, engine: str, kind: str, prefix: str) -> None:
        """Ignore the event, as these policies don't use prefix affinity."""


class HomeStrategy(Strategy):
    """Runs the pool scheduler at one home, a hop away from the entry nodes."""

    def __init__(self, *, seed: int, is_oracle: bool = False) -> None:
        self._seed = seed
        self._is_oracle = is_oracle
        self._n_homes = 0
        self._poll_at: float | None = None

    def start(self, sim: Simulation) -> None:
        """Create the first home's scheduler."""
        super().start(sim)
        self.scheduler = self._new_scheduler()

    def on_arrival(self, stream: Stream) -> None:
        """Submit the request to the home after a hop."""
        if stream.state != "waiting":
            return
        stream.grant = None
        self.sim.call_later(self.sim.draw_hop_seconds(), partial(self._submit, stream))

    def on_end(self, stream: Stream, n_tokens: int, end: str) -> None:
        """Report the end to the home in the next batch."""
        grant_id = stream.grant_id
        delay = END_BATCH_SECONDS * self.sim.rng.random() + self.sim.draw_hop_seconds()
        self.sim.call_later(delay, partial(self._finish, grant_id, n_tokens, end))

    def on_progress(self, stream: Stream, n_tokens: int) -> None:
        """Report progress to the home, which adopts a run that it doesn't know."""
        scheduler, now = self.scheduler, self.sim.now
        if scheduler.progress(stream.grant_id, n_tokens, now):
            return
        if stream.grant is not None:
            req = stream.request(self.sim.deployment.n_max_tokens)
            scheduler.adopt(stream.grant, req, n_tokens, now)

    def report_receivers(self) -> range:
        """Return one receiver, as only the home polls the engines."""
        return range(1)

    def on_report(self, receiver: int, report: EngineReport, age: float) -> None:
        """Pass the report to the scheduler and carry out its decisions."""
        self.scheduler.report(report, self.sim.now, age=age)
        self._poll()

    def on_cache_event(self, engine: str, kind: str, prefix: str) -> None:
        """Pass the event to the scheduler."""
        self.scheduler.cache_event(engine, kind, prefix)

    def replace_home(self) -> None:
        """Start an empty scheduler; entry nodes detect it and resubmit what waits."""
        sim = self.sim
        self.scheduler = self._new_scheduler()
        for stream in list(sim.streams.values()):
            if stream.state == "waiting" and stream.grant is None:
                delay = sim.rng.uniform(*HOME_DETECTION_SECONDS)
                sim.call_later(delay, partial(self._submit, stream))

    def _new_scheduler(self) -> PoolScheduler:
        self._n_homes += 1
        scheduler = PoolScheduler(
            model="m",
            home=f"n{self._n_homes}",
            rng=random.Random(self._seed * 1000 + self._n_homes),
            admission=OracleAdmission(sim=self.sim) if self._is_oracle else None,
        )
        scheduler.set_engines(self.sim.specs, self.sim.now)
        return scheduler

    def _submit(self, stream: Stream) -> None:
        if stream.state != "waiting" or stream.grant is not None:
            return
        req = stream.request(self.sim.deployment.n_max_tokens)
        self._apply(self.scheduler.submit(req, self.sim.now))
        self._arm_poll_timer()

    def _finish(self, grant_id: str, n_tokens: int, end: Any) -> None:
        self.scheduler.finish(grant_id, n_tokens, end, self.sim.now)
        self._poll()

    def _poll(self) -> None:
        self._apply(self.scheduler.poll(self.sim.now))
        self._arm_poll_timer()

    def _arm_poll_timer(self) -> None:
        deadline = self.scheduler.next_deadline()
        if deadline is None or (
            self._poll_at is not None and self._poll_at <= deadline
        ):
            return
        self._poll_at = max(deadline, self.sim.now)
        self.sim.call_at(self._poll_at, self._on_timer)

    def _on_timer(self) -> None:
        self._poll_at = None
        self._poll()

    def _apply(self, decisions: list[Decision]) -> None:
        sim = self.sim
        for decision in decisions:
            stream = sim.streams.get(decision.request_id)
            if stream is None:
                continue
            if isinstance(decision, Granted):
                stream.grant = decision.grant
                grant = decision.grant
                send = partial(sim.send, stream, grant.engine, grant.grant_id)
                sim.call_later(sim.draw_hop_seconds(), send)
            else:
                sim.call_later(sim.draw_hop_seconds(), partial(sim.refuse, stream))


class OracleAdmission(AdmissionPolicy):
    """Admits by exact output lengths and the engine's true state, for the oracle."""

    def __init__(self, *, sim: Simulation) -> None:
        self._sim = sim

    def headroom(self, view: EngineView, req: AdmitRequest, now: float) -> float:
        """Return the share of the engine's memory that is free at the true peak."""
        engine = self._sim.engines[view.name]
        unseen_grant_ids = set(view.running)
        lengths = []
        for job in engine.jobs.values():
            unseen_grant_ids.discard(job.generation_id)
            n_done = engine.n_tokens(job)
            lengths.append((job.n_output_tokens - n_done, job.n_prompt_tokens + n_done))
        for grant_id in (*unseen_grant_ids, req.request_id):
            stream = self._sim.streams.get(grant_id.split(".")[0])
            if stream is not None:
                call = stream.call
                lengths.append((call.n_output_tokens, call.n_prompt_tokens))
        # When a run ends, every run that lasts as long or longer has grown by the run's
        # residual length. Memory use peaks at one of these moments.
        lengths.sort(reverse=True)
        n_peak_tokens = n_held_tokens = 0
        for n_running, (n_residual_tokens, n_tokens) in enumerate(lengths, start=1):
            n_held_tokens += n_tokens
            n_peak_tokens = max(
                n_peak_tokens, n_held_tokens + n_running * n_residual_tokens
            )
        n_usable_tokens = 0.98 * engine.n_memory_tokens
        return (n_usable_tokens - n_peak_tokens) / n_usable_tokens

    def granted(self, view: EngineView, req: AdmitRequest, now: float) -> None:
        """Do nothing, as the engine's true state already has the run."""

    def observe(self, view: EngineView) -> None:
        """Do nothing, as exact lengths need no learned margin."""


POLICIES = ("round_robin", "least_reported", "power_of_two", "ours", "oracle")


def make_strategy(policy: str, seed: int) -> Strategy:
    """Return a new strategy for a name in `POLICIES`."""
    if policy in ("ours", "oracle"):
        return HomeStrategy(seed=seed, is_oracle=policy == "oracle")
    return EntryNodeStrategy(policy=policy, seed=seed)
