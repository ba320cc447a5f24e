"""Random releases of engines beside other faults, under streams that are taken up.

Each seed draws one sequence of faults, which overlap, in virtual time.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from tests.fuzzseeds import seeds
from tests.limitrig import now
from tests.versionrig import EngineFleet, check, run_engine_fleet

# A few seeds for each change; more by hand: CELERYTRAIL_VERSION_SEEDS=100-160.
SEEDS = seeds("CELERYTRAIL_VERSION_SEEDS", "1-4")
N_NODES = 10
N_FAULTS = 18
N_ENGINES = 6
VERSIONS = ("v1", "v1.1", "v2")


@dataclass(kw_only=True)
class Faults:
    """Draws faults; all are ended at the end."""

    rig: EngineFleet
    rng: random.Random
    cut: list[tuple[str, str]] = field(default_factory=list)
    frozen: set[int] = field(default_factory=set)
    _tasks: set[asyncio.Task[object]] = field(default_factory=set)

    async def inject(self) -> None:
        """Inject one fault."""
        await self.rng.choice(
            [
                self._replace,
                self._replace,
                self._replace,
                self._crash,
                self._crash,
                self._start_again,
                self._start_again,
                self._leave_in_pairs,
                self._lapse_row,
                self._cut_some,
                self._mend,
                self._restart_node,
                self._restart_some,
                self._freeze_node,
                self._thaw,
                self._lose_datagrams,
                self._change_config,
                self._refuse_store,
            ]
        )()

    async def end(self) -> None:
        """End all faults."""
        await self._mend()
        await self._thaw()
        for gate in self.rig.fleet.gates:
            gate.is_refusing = False
        await asyncio.gather(*self._tasks)

    def _start(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)

    def _engine(self):
        staying = [one for one in self.rig.engines.values() if one.leaving_at is None]
        return self.rng.choice(staying) if len(staying) > 2 else None

    async def _replace(self) -> None:
        """Release another version at one engine."""
        engine = self._engine()
        if engine is not None:
            version = self.rng.choice(VERSIONS)
            await self.rig.add_engine(version, zone=engine.failure_domain)
            self._start(self.rig.leave(engine, self.rng.uniform(0.3, 2.0)))

    async def _crash(self) -> None:
        engine = self._engine()
        if engine is not None:
            self._start(self.rig.crash(engine))
            await self.rig.add_engine(engine.software, zone=engine.failure_domain)

    async def _start_again(self) -> None:
        """Start an engine again under its id, at any version, its row late."""
        engine = self._engine()
        if engine is not None:
            seconds = self.rng.choice([0.0, 0.1, 0.8, 2.0])
            version = self.rng.choice(VERSIONS)
            await self.rig.start_again(engine, version, row_seconds=seconds)

    async def _leave_in_pairs(self) -> None:
        await self._replace()
        await self._replace()

    async def _lapse_row(self) -> None:
        engine = self._engine()
        if engine is not None:
            self.rig.fleet.store.drop("servers", engine.worker_id)
            await asyncio.sleep(0.3)
            if self.rig.engines.get(engine.worker_id) is engine:
                self.rig.write_row(engine)

    async def _cut_some(self) -> None:
        """Cut some nodes off from some engines."""
        wires = self.rig.fleet.wires
        is_silent = self.rng.random() < 0.5
        for number in self.rng.sample(range(N_NODES), self.rng.randint(1, 4)):
            for name in self.rng.sample(list(self.rig.engines), 2):
                link = (f"vm-{number}", name)
                self.cut.append(link)
                if is_silent:
                    wires.cut(*link)
                    wires.cut(*reversed(link))
                else:
                    wires.refuse(*link)
                    wires.reset(*link)

    async def _mend(self) -> None:
        for link in self.cut:
            self.rig.fleet.wires.heal_link(*link)
        self.cut.clear()

    async def _restart_node(self) -> None:
        number = self.rng.randrange(N_NODES)
        if number not in self.frozen:
            await self.rig.restart_node(number)

    async def _restart_some(self) -> None:
        for number in self.rng.sample(range(N_NODES), 4):
            if number not in self.frozen:
                await self.rig.restart_node(number)

    async def _freeze_node(self) -> None:
        number = self.rng.randrange(N_NODES)
        self.frozen.add(number)
        self.rig.freeze_node(number)

    async def _thaw(self) -> None:
        for number in sorted(self.frozen):
            self.rig.thaw_node(number)
        self.frozen.clear()

    async def _lose_datagrams(self) -> None:
        self.rig.fleet.wires.datagram_loss_rate = self.rng.choice([0.0, 0.05, 0.3])

    async def _change_config(self) -> None:
        self.rig.fleet.change(f"more-{self.rng.randrange(1_000)}")

    async def _refuse_store(self) -> None:
        number = self.rng.randrange(N_NODES)
        self.rig.fleet.gates[number].is_refusing = self.rng.random() < 0.5


@pytest.mark.parametrize("seed", SEEDS)
def test_streams_hold_events_of_one_version(seed: int):
    async def steps(rig: EngineFleet) -> None:
        rng = random.Random(seed)
        for _ in range(N_ENGINES):
            await rig.add_engine(rng.choice(VERSIONS[:2]))
        await asyncio.sleep(1.0)
        callers = rig.callers(
            8.0,
            seed=seed,
            routes=("check", "check", "draft"),
            n_mean_events=60.0,
            break_share=0.3,
        )
        sending = asyncio.ensure_future(callers.run(24.0))
        faults = Faults(rig=rig, rng=rng)
        ends_at = now() + 24.0
        for _ in range(N_FAULTS):
            await asyncio.sleep(rng.uniform(0.3, 2.0))
            if now() < ends_at:
                await faults.inject()
        await faults.end()
        await sending
        check(rig, callers)

    run_engine_fleet(N_NODES, steps, seed)
