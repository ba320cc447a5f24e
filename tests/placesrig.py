"""Plays random troubles around drafts, and reckons at which engines they were.

Each seed draws a fleet, troubles of its engines and one sequence of faults, which
overlap, in virtual time. The engines record their works, apart from the code.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from standins.handovertroubles import TROUBLES, draw_troubles
from standins.modelworker import AnswerEnds, ModelWorker
from standins.places import Places, Span, Work, find_places
from standins.reach import Reach
from tests.limitrig import CONTACT_SECONDS, now
from tests.relayrig import config
from tests.versionrig import (
    PATIENCE_SECONDS,
    EngineFleet,
    HeldStream,
    StreamCallers,
    broken_contents,
    run_engine_fleet,
)

DRAFT = "draft"
N_NODES = (1, 3, 12)
MIN_ENGINES, MAX_ENGINES = 3, 8
# Share of the engines that have a trouble, and of all troubles that come together.
SOME_ENGINES, SOME_TROUBLES = 0.4, 0.25
# How long callers begin streams, and how many begin in a second.
TRAFFIC_SECONDS = 14.0
STREAMS_PER_SECOND = 5.0
N_MEAN_EVENTS = 90.0
# Works that outlive their streams go on for so long before they are reckoned.
REST_SECONDS = 2.0
# Share of the answers that end with their connections, at each engine of a seed.
UNFRAMED_SHARES = ((0.0,), (1.0,), (0.0, 0.5, 1.0))
# How long a node has to pass a stream's end on; nothing may happen to it meanwhile.
PASS_SECONDS = 0.5


@dataclass(frozen=True, kw_only=True)
class Plan:
    """What one seed plays.

    Parameters
    ----------
    n_nodes, n_engines, n_zones : int
        The size of the fleet.
    troubles : tuple of str
        Names of the troubles that engines may have.
    trouble_share : float
        Share of the troubles that each engine has; they change if it is below 1.
    unframed_shares : tuple of float
        One of these is the share of an engine's answers without length and chunks.
    has_backups : bool
        Whether engines keep backups of runs; runs that have none are moved.
    """

    n_nodes: int
    n_engines: int
    n_zones: int
    troubles: tuple[str, ...]
    trouble_share: float
    unframed_shares: tuple[float, ...] = (0.0,)
    has_backups: bool = True

    @classmethod
    def draw(cls, rng: random.Random) -> Plan:
        """Draw a fleet, and no trouble, one at some or all engines, or all together."""
        names = tuple(TROUBLES)
        one = (rng.choice(names),)
        troubles, share = rng.choice(
            [((), 1.0), (one, 1.0), (one, SOME_ENGINES), (names, SOME_TROUBLES)]
        )
        return cls(
            n_nodes=rng.choice(N_NODES),
            n_engines=rng.randint(MIN_ENGINES, MAX_ENGINES),
            n_zones=rng.randint(1, 3),
            troubles=troubles,
            trouble_share=share,
            unframed_shares=rng.choice(UNFRAMED_SHARES),
            has_backups=rng.random() < 0.5,
        )


@dataclass(frozen=True, kw_only=True)
class Price:
    """What callers of drafts got.

    Parameters
    ----------
    n_drafts, n_whole, n_cut : int
        Drafts whose callers stayed, and those that came whole or were cut.
    n_moved : int
        Drafts that went on from copies.
    n_short : int
        Answers that came as whole ones and lack events.
    n_stopped : int
        Runs that engines were told to stop.
    worst_pause : float
        Longest pause between two events of a draft, in seconds.
    """

    n_drafts: int
    n_whole: int
    n_cut: int
    n_moved: int
    n_short: int
    n_stopped: int
    worst_pause: float


@dataclass(frozen=True, kw_only=True)
class PlayResult:
    """What one seed has shown: broken promises, the worst overlap, and the price."""

    plan: Plan
    broken: list[str]
    worst_overlap: float
    price: Price

    def __str__(self) -> str:
        plan, price = self.plan, self.price
        where = "all" if plan.trouble_share == 1.0 else "some"
        trouble = f"{plan.troubles[0]} at {where}" if plan.troubles else "none"
        trouble = "together" if len(plan.troubles) > 1 else trouble
        backups = "backups" if plan.has_backups else "no backups"
        unframed = "/".join(str(share) for share in plan.unframed_shares)
        return (
            f"{plan.n_nodes} nodes, {plan.n_engines} engines, {plan.n_zones} zones, "
            f"{backups}, unframed {unframed}, {trouble}: {len(self.broken)} broken, "
            f"overlap {self.worst_overlap:.2f} s;"
            f" drafts {price.n_drafts}, whole {price.n_whole}, short {price.n_short},"
            f" cut {price.n_cut}, moved {price.n_moved}, stopped {price.n_stopped},"
            f" worst pause {price.worst_pause:.2f} s"
        )


@dataclass(kw_only=True)
class Faults:
    """Draws faults, which end by themselves; ``end`` waits for that."""

    rig: EngineFleet
    plan: Plan
    rng: random.Random
    reach: Reach = field(default_factory=Reach)
    # Times at which a node's connections to an engine were reset.
    resets: Reach = field(default_factory=Reach)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Start the engines, with their troubles."""
        if not self.plan.has_backups:
            self.rig.fleet.change(services=without_backups())
        for _ in range(self.plan.n_engines):
            await self._add_engine()

    async def inject(self) -> None:
        """Inject one fault."""
        if len(self._staying()) < MIN_ENGINES:
            await self._add_engine()
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._leave,
            self._leave,
            self._leave_in_pairs,
            self._leave_with_its_backup,
            self._crash,
            self._start_again,
            self._freeze_engine,
            self._freeze_engine,
            self._cut_path,
            self._cut_path,
            self._cut_path,
            self._reset_path,
            self._freeze_node,
            self._cut_node_off,
            self._restart_node,
        ]
        if self.plan.trouble_share < 1.0:
            kinds += 3 * [self._change_troubles]
        await self.rng.choice(kinds)()

    async def end(self) -> None:
        """Wait until all faults have ended."""
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Engines.

    async def _add_engine(self) -> None:
        zone = "abc"[self.rng.randrange(self.plan.n_zones)]
        self._draw_troubles(await self.rig.add_engine(zone=zone))

    def _draw_troubles(self, engine: ModelWorker) -> None:
        plan = self.plan
        if engine.answer_ends is None:
            share = self.rng.choice(plan.unframed_shares)
            engine.answer_ends = AnswerEnds(unframed_share=share, rng=self.rng)
        draw_troubles(engine, self.rng, plan.troubles, plan.trouble_share)

    async def _change_troubles(self) -> None:
        self._draw_troubles(self.rng.choice(list(self.rig.engines.values())))

    def _staying(self) -> list[ModelWorker]:
        return [one for one in self.rig.engines.values() if one.leaving_at is None]

    def _engine(self) -> ModelWorker | None:
        """Return an engine with runs, if enough others stay."""
        staying = self._staying()
        busy = [one for one in staying if one.model.running]
        return self.rng.choice(busy or staying) if len(staying) > 2 else None

    async def _replace(self) -> None:
        if len(self._staying()) < self.plan.n_engines or self.rng.random() < 0.3:
            await self._add_engine()

    async def _let_leave(self, engine: ModelWorker, seconds: float) -> None:
        self._start(self.rig.leave(engine, seconds))
        # It says so before anything else is drawn.
        await asyncio.sleep(0)

    async def _leave(self) -> None:
        engine = self._engine()
        if engine is not None:
            await self._let_leave(engine, self.rng.uniform(0.3, 4.0))
            await self._replace()

    async def _leave_in_pairs(self) -> None:
        await self._leave()
        await self._leave()

    async def _leave_with_its_backup(self) -> None:
        """Let an engine and the backup of one of its runs leave together."""
        engine = self._engine()
        if engine is None:
            return
        addresses = {stream.backup for stream in engine._streams.values()}
        backups = [one for one in self._staying() if str(one.address) in addresses]
        seconds = self.rng.uniform(0.3, 4.0)
        await self._let_leave(engine, seconds)
        for backup in backups[:1]:
            if backup is not engine:
                await self._let_leave(backup, seconds + self.rng.uniform(0, 1))
        await self._replace()
        await self._replace()

    async def _crash(self) -> None:
        engine = self._engine()
        if engine is not None:
            self._start(self.rig.crash(engine))
            await self._replace()

    async def _start_again(self) -> None:
        engine = self._engine()
        if engine is None:
            return
        engine = await self.rig.start_again(
            engine, engine.software, row_seconds=self.rng.choice([0.0, 0.1, 0.8])
        )
        self._draw_troubles(engine)

    async def _freeze_engine(self) -> None:
        engine = self._engine()
        if engine is not None and not self.reach.is_lost("", engine.worker_id):
            self._start(self._hold_engine(engine.worker_id))

    async def _hold_engine(self, name: str) -> None:
        self.reach.lose("", name)
        self.rig.fleet.wires.freeze(name)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.rig.fleet.wires.thaw(name)
        self.reach.find("", name)

    # Paths.

    async def _cut_path(self) -> None:
        """Cut a node off from an engine in one or both directions."""
        link = self._path()
        if link is not None:
            directions = self.rng.choice([(1,), (-1,), (1, -1)])
            self._start(self._hold_path(link, directions))

    async def _reset_path(self) -> None:
        """Reset a node's connections to an engine; it may connect again at once."""
        link = self._path()
        if link is not None:
            self.rig.fleet.wires.reset(*link)
            self.resets.add(*link, (now(), now()))

    def _path(self) -> tuple[str, str] | None:
        engine = self._engine()
        if engine is None:
            return None
        link = (f"vm-{self.rng.randrange(self.plan.n_nodes)}", engine.worker_id)
        return None if self.reach.is_lost(*link) else link

    async def _hold_path(
        self, link: tuple[str, str], directions: Iterable[int]
    ) -> None:
        self.reach.lose(*link)
        for direction in directions:
            self.rig.fleet.wires.cut(*link[::direction])
        await asyncio.sleep(self.rng.uniform(0.3, 4.0))
        self.rig.fleet.wires.heal_link(*link)
        self.reach.find(*link)

    # Nodes.

    def _node(self) -> int | None:
        number = self.rng.randrange(self.plan.n_nodes)
        return None if self.reach.is_lost(f"vm-{number}", "") else number

    async def _freeze_node(self) -> None:
        number = self._node()
        if number is not None:
            self._start(self._hold_node(number))

    async def _hold_node(self, number: int) -> None:
        self.reach.lose(f"vm-{number}", "")
        self.rig.fleet.freeze(number)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.rig.fleet.thaw(number)
        self.reach.find(f"vm-{number}", "", CONTACT_SECONDS)

    async def _cut_node_off(self) -> None:
        """Cut a node off from the store and from all other nodes."""
        number = self._node()
        if number is not None:
            self._start(self._hold_contact(number))

    async def _hold_contact(self, number: int) -> None:
        fleet = self.rig.fleet
        self.reach.lose(f"vm-{number}", "")
        fleet.gates[number].is_refusing = True
        fleet.cut_off(number)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        fleet.gates[number].is_refusing = False
        for other in range(self.plan.n_nodes):
            fleet.wires.heal_link(f"vm-{number}", f"vm-{other}")
        self.reach.find(f"vm-{number}", "", CONTACT_SECONDS)

    async def _restart_node(self) -> None:
        number = self._node()
        if number is not None and self.plan.n_nodes > 1:
            self.reach.lose(f"vm-{number}", "")
            await self.rig.restart_node(number)
            self.reach.find(f"vm-{number}", "", CONTACT_SECONDS)


def without_backups() -> list[dict[str, object]]:
    """Return the services of a configuration whose engines keep no backups."""
    models, *others = config()["services"]
    engine = {**models["engine"], "backups": False}
    return [{**models, "engine": engine}, *others]


def play(seed: int) -> PlayResult:
    """Play one seed, and return what it has shown."""
    rng = random.Random(f"places {seed}")
    plan = Plan.draw(rng)
    results = []

    async def steps(rig: EngineFleet) -> None:
        faults = Faults(rig=rig, plan=plan, rng=rng)
        await faults.start()
        await asyncio.sleep(1.5)
        callers = rig.callers(
            STREAMS_PER_SECOND,
            seed=seed,
            routes=(DRAFT, DRAFT, "check"),
            n_mean_events=N_MEAN_EVENTS,
            leave_share=0.1,
        )
        sending = asyncio.ensure_future(callers.run(TRAFFIC_SECONDS))
        ends_at = now() + TRAFFIC_SECONDS
        while now() < ends_at:
            await asyncio.sleep(rng.uniform(0.1, 1.2))
            await faults.inject()
        await faults.end()
        await sending
        await asyncio.sleep(REST_SECONDS)
        result = reckon(plan, rig, callers, faults.reach)
        reaches = (faults.reach, faults.resets)
        cut = broken_ends(callers.streams, rig.all_engines, reaches)
        results.append(replace(result, broken=result.broken + cut))

    run_engine_fleet(plan.n_nodes, steps, seed)
    return results[0]


def reckon(
    plan: Plan, rig: EngineFleet, callers: StreamCallers, reach: Reach
) -> PlayResult:
    """Reckon the broken promises and the price of a play."""
    nodes = {
        one.attempt_id: f"vm-{one.node}"
        for stream in callers.streams
        for one in stream.tries
    }

    def exempt(work: Work) -> list[Span]:
        return reach.spans({nodes[work.attempt_id], work.machine}, work.endpoint)

    logs = [engine.work_log for engine in rig.all_engines]
    places = find_places(logs, now(), exempt)
    drafts = [stream for stream in callers.streams if stream.route == DRAFT]
    found = [
        places[one.attempt_id]
        for stream in drafts
        for one in stream.tries
        if one.attempt_id in places
    ]
    return PlayResult(
        plan=plan,
        broken=broken_places(found) + broken_contents(callers.streams, rig.all_engines),
        worst_overlap=max((one.overlap_seconds for one in found), default=0.0),
        price=price_of(drafts, found, rig.all_engines),
    )


def broken_ends(
    streams: Iterable[HeldStream],
    engines: Iterable[ModelWorker],
    reaches: Iterable[Reach],
) -> list[str]:
    """Return streams that engines sent to their ends, and that came cut.

    Their nodes were in touch with the engines around the ends, and had passed events
    of these engines on; a stream from a copy isn't taken before its engine's version is
    known. Their callers waited.
    """
    ended = {work.attempt_id: work for one in engines for work in one.ended}
    broken = []
    for stream in streams:
        last = stream.tries[-1]
        work = ended.get(last.attempt_id)
        if work is None or stream.is_complete or stream.has_left or not last.n_events:
            continue
        if stream.events[-1].sender.endpoint != work.endpoint:
            continue
        since = work.ended_at - PASS_SECONDS
        until = work.ended_at + PASS_SECONDS
        is_late = until > stream.tries[0].sent_at + PATIENCE_SECONDS
        is_disturbed = any(
            begun < until and over > since
            for reach in reaches
            for begun, over in reach.spans([f"vm-{last.node}"], work.endpoint)
        )
        if not is_late and not is_disturbed:
            broken.append(
                f"{last.attempt_id} was cut after {len(stream.events)} of "
                f"{stream.n_events} events, and {work.endpoint} sent its end"
            )
    return broken


def broken_places(found: Iterable[Places]) -> list[str]:
    """Return drafts that two engines worked on for too long, or that began twice."""
    broken = []
    for one in found:
        if one.is_at_two:
            broken.append(
                f"{one.attempt_id} was at two engines for {one.overlap_seconds:.2f} s"
            )
        if one.n_begun > 1:
            broken.append(f"{one.attempt_id} began {one.n_begun} times")
    return broken


def price_of(
    drafts: Iterable[HeldStream],
    found: Iterable[Places],
    engines: Iterable[ModelWorker],
) -> Price:
    """Return what the callers of drafts got who stayed."""
    stayed = [stream for stream in drafts if not stream.has_left]
    n_whole = sum(stream.is_complete for stream in stayed)
    pauses = [
        after.at - before.at
        for stream in stayed
        for before, after in zip(stream.events, stream.events[1:], strict=False)
    ]
    return Price(
        n_drafts=len(stayed),
        n_whole=n_whole,
        n_cut=sum(bool(stream.events) and not stream.is_complete for stream in stayed),
        n_moved=sum(one.n_from_copies > 0 for one in found),
        n_short=sum(
            one.is_complete and len(one.events) < one.n_events for one in stayed
        ),
        n_stopped=sum(len(engine.stopped) for engine in engines),
        worst_pause=max(pauses, default=0.0),
    )
