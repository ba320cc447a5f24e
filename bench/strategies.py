"""Who decides in the bench: entry nodes alone, or a pool's home; all with node's code.

Round robin, least reported and power of two let everything into the engines at once,
as they do where no home can be reached: they have no queue, so they have no fairness
and refuse nothing; callers give up when their patience ends. The oracle is the pool
scheduler with an admission that knows every length and the true memory.
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

PROGRESS_EVERY = 0.5
# Entry nodes batch the ends of streams for so long.
END_BATCH = 0.05
# Until entry nodes have noticed that a home has moved, seconds.
HOME_NOTICED = (0.2, 1.0)


@dataclass(kw_only=True, slots=True, eq=False)
class Stream:
    """A call on its way: what its entry node knows."""

    call: Call
    deadline: float
    counted: bool
    state: str = "waiting"
    engine: str = ""
    grant_id: str = ""
    grant: Grant | None = None
    job: Any = None
    excluded: set[str] = field(default_factory=set)

    @property
    def stream_id(self) -> str:
        """The request's id."""
        return f"r{self.call.number}"

    def request(self, n_max_tokens: int) -> AdmitRequest:
        """Return what the entry node asks."""
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
    """Decides for a simulation."""

    def start(self, sim: Simulation) -> None:
        """Begin."""
        self.sim = sim
        for node in range(N_NODES):
            sim.after(sim.rng.random() * PROGRESS_EVERY, partial(self._beat, node))

    @abc.abstractmethod
    def arrive(self, stream: Stream) -> None:
        """Take in a call at its entry node."""

    @abc.abstractmethod
    def ended(self, stream: Stream, n_tokens: int, end: str) -> None:
        """Note a stream's end at its entry node."""

    @abc.abstractmethod
    def progress(self, stream: Stream, n_tokens: int) -> None:
        """Note a stream's progress, in an entry node's beat."""

    @abc.abstractmethod
    def receivers(self) -> range:
        """Return who polls the engines."""

    @abc.abstractmethod
    def receive(self, receiver: int, report: EngineReport, age: float) -> None:
        """Take in a report."""

    @abc.abstractmethod
    def cache_event(self, engine: str, kind: str, prefix: str) -> None:
        """Take in a cache event."""

    def move_home(self) -> None:  # noqa: B027
        """Lose the home and go on with another; nothing where there is none."""

    def _beat(self, node: int) -> None:
        sim = self.sim
        sim.after(PROGRESS_EVERY, partial(self._beat, node))
        for stream in list(sim.streams.values()):
            if stream.call.node == node and stream.job is not None:
                engine = sim.engines[stream.engine]
                self.progress(stream, engine.n_tokens(stream.job))


class Alone(Strategy):
    """Each entry node chooses by itself, and sends at once."""

    def __init__(self, *, policy: str, seed: int) -> None:
        self._books = [EngineTracker() for _ in range(N_NODES)]
        self._lengths = [LearnedLengths() for _ in range(N_NODES)]
        self._policies = [
            self._make(policy, random.Random(seed * 100 + node), node)
            for node in range(N_NODES)
        ]

    def _make(self, policy: str, rng: random.Random, node: int) -> RoutingPolicy:
        if policy == "round_robin":
            return RoundRobin()
        if policy == "least_reported":
            return LeastReported(rng=rng)
        return PowerOfTwo(rng=rng, lengths=self._lengths[node])

    def start(self, sim: Simulation) -> None:
        """Begin."""
        super().start(sim)
        for book in self._books:
            book.set_engines(sim.specs, 0.0)

    def arrive(self, stream: Stream) -> None:
        """Choose an engine and send."""
        sim, node = self.sim, stream.call.node
        if stream.state != "waiting":
            return
        req = stream.request(sim.deployment.n_max_tokens)
        views = self._books[node].candidates(req, sim.now)
        view = self._policies[node].choose(views, req, sim.now)
        if view is None:
            sim.refuse(stream)
            return
        grant_id = f"{stream.stream_id}.{len(stream.excluded)}"
        self._books[node].grant(grant_id, view.name, req, sim.now)
        sim.send(stream, view.name, grant_id)

    def ended(self, stream: Stream, n_tokens: int, end: str) -> None:
        """Strike it off the node's books."""
        node, organisation = stream.call.node, stream.call.organisation
        self._books[node].finish(stream.grant_id, self.sim.now)
        if end != "not_run":
            self._lengths[node].end(
                "m", organisation, n_tokens, is_censored=end != "answered"
            )

    def progress(self, stream: Stream, n_tokens: int) -> None:
        """Enter it in the node's books."""
        node, organisation = stream.call.node, stream.call.organisation
        run = self._books[node].views[stream.engine].running.get(stream.grant_id)
        n_before = run.n_tokens if run else n_tokens
        if n_tokens > n_before:
            self._lengths[node].advance("m", organisation, n_before, n_tokens)
        self._books[node].progress(stream.grant_id, n_tokens, self.sim.now)

    def receivers(self) -> range:
        """Every node polls."""
        return range(N_NODES)

    def receive(self, receiver: int, report: EngineReport, age: float) -> None:
        """Enter it in the node's books."""
        self._books[receiver].report(report, self.sim.now, age=age)

    def cache_event(self, engine: str, kind: str, prefix: str) -> None:
        """Ignore it."""


class Home(Strategy):
    """One home runs the pool scheduler; entry nodes ask it, a hop away."""

    def __init__(self, *, seed: int, oracle: bool = False) -> None:
        self._seed = seed
        self._oracle = oracle
        self._n_homes = 0
        self._poll_at: float | None = None

    def start(self, sim: Simulation) -> None:
        """Begin."""
        super().start(sim)
        self.scheduler = self._new_scheduler()

    def arrive(self, stream: Stream) -> None:
        """Ask the home."""
        if stream.state != "waiting":
            return
        stream.grant = None
        self.sim.after(self.sim.hop(), partial(self._ask, stream))

    def ended(self, stream: Stream, n_tokens: int, end: str) -> None:
        """Tell the home, in the next batch."""
        grant_id = stream.grant_id
        delay = END_BATCH * self.sim.rng.random() + self.sim.hop()
        self.sim.after(delay, partial(self._finish, grant_id, n_tokens, end))

    def progress(self, stream: Stream, n_tokens: int) -> None:
        """Tell the home, which may have to adopt it."""
        scheduler, now = self.scheduler, self.sim.now
        if scheduler.progress(stream.grant_id, n_tokens, now):
            return
        if stream.grant is not None:
            req = stream.request(self.sim.deployment.n_max_tokens)
            scheduler.adopt(stream.grant, req, n_tokens, now)

    def receivers(self) -> range:
        """The home alone polls."""
        return range(1)

    def receive(self, receiver: int, report: EngineReport, age: float) -> None:
        """Hand it to the scheduler."""
        self.scheduler.report(report, self.sim.now, age=age)
        self._poll()

    def cache_event(self, engine: str, kind: str, prefix: str) -> None:
        """Hand it to the scheduler."""
        self.scheduler.cache_event(engine, kind, prefix)

    def move_home(self) -> None:
        """Start a scheduler that knows nothing; entry nodes notice and ask again."""
        sim = self.sim
        self.scheduler = self._new_scheduler()
        for stream in list(sim.streams.values()):
            if stream.state == "waiting" and stream.grant is None:
                delay = sim.rng.uniform(*HOME_NOTICED)
                sim.after(delay, partial(self._ask, stream))

    def _new_scheduler(self) -> PoolScheduler:
        self._n_homes += 1
        scheduler = PoolScheduler(
            model="m",
            home=f"n{self._n_homes}",
            rng=random.Random(self._seed * 1000 + self._n_homes),
            admission=ExactPeak(sim=self.sim) if self._oracle else None,
        )
        scheduler.set_engines(self.sim.specs, self.sim.now)
        return scheduler

    def _ask(self, stream: Stream) -> None:
        if stream.state != "waiting" or stream.grant is not None:
            return
        req = stream.request(self.sim.deployment.n_max_tokens)
        self._carry_out(self.scheduler.submit(req, self.sim.now))
        self._arm()

    def _finish(self, grant_id: str, n_tokens: int, end: Any) -> None:
        self.scheduler.finish(grant_id, n_tokens, end, self.sim.now)
        self._poll()

    def _poll(self) -> None:
        self._carry_out(self.scheduler.poll(self.sim.now))
        self._arm()

    def _arm(self) -> None:
        due = self.scheduler.next_deadline()
        if due is None or (self._poll_at is not None and self._poll_at <= due):
            return
        self._poll_at = max(due, self.sim.now)
        self.sim.at(self._poll_at, self._on_timer)

    def _on_timer(self) -> None:
        self._poll_at = None
        self._poll()

    def _carry_out(self, decisions: list[Decision]) -> None:
        sim = self.sim
        for decision in decisions:
            stream = sim.streams.get(decision.request_id)
            if stream is None:
                continue
            if isinstance(decision, Granted):
                stream.grant = decision.grant
                grant = decision.grant
                send = partial(sim.send, stream, grant.engine, grant.grant_id)
                sim.after(sim.hop(), send)
            else:
                sim.after(sim.hop(), partial(sim.refuse, stream))


class ExactPeak(AdmissionPolicy):
    """The oracle's admission: exact lengths and the engine's true state."""

    def __init__(self, *, sim: Simulation) -> None:
        self._sim = sim

    def headroom(self, view: EngineView, req: AdmitRequest, now: float) -> float:
        """Return the share of memory left at the true peak."""
        engine = self._sim.engines[view.name]
        grants = set(view.running)
        held = []
        for job in engine.jobs.values():
            grants.discard(job.generation_id)
            n_done = engine.n_tokens(job)
            held.append((job.n_output_tokens - n_done, job.n_prompt_tokens + n_done))
        for grant_id in (*grants, req.request_id):
            stream = self._sim.streams.get(grant_id.split(".")[0])
            if stream is not None:
                call = stream.call
                held.append((call.n_output_tokens, call.n_prompt_tokens))
        held.sort(reverse=True)
        peak = n_held = 0
        for n_running, (residual, n_tokens) in enumerate(held, start=1):
            n_held += n_tokens
            peak = max(peak, n_held + n_running * residual)
        n_memory = 0.98 * engine.n_memory_tokens
        return (n_memory - peak) / n_memory

    def granted(self, view: EngineView, req: AdmitRequest, now: float) -> None:
        """Do nothing: the truth needs no notes."""

    def observe(self, view: EngineView) -> None:
        """Do nothing: it needs no margin."""


POLICIES = ("round_robin", "least_reported", "power_of_two", "ours", "oracle")


def make_strategy(policy: str, seed: int) -> Strategy:
    """Return the strategy of a name in `POLICIES`."""
    if policy in ("ours", "oracle"):
        return Home(seed=seed, oracle=policy == "oracle")
    return Alone(policy=policy, seed=seed)
