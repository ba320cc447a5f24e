"""Places generations on engines by the view that all nodes share, and tells of it."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from ..model import Registration
from ..policies import moving, placing
from ..policies.engineloads import EngineLoad, EngineLoads
from ..policies.paces import Paces
from ..policies.readrates import ReadRates
from .liverun import LiveRun, Reading
from .registry import Registry
from .sharing import Sharing

# Share of the target for which a generation waits here for an engine with room; the
# rest is for reading its prompt.
WAIT_SHARE = 0.5
# Between two looks for room, in seconds.
LOOK_SECONDS = 0.02
# How long an engine is avoided that no connection could be made to, in seconds: a
# crashed one's row is gone after three of its heartbeats, some 3.6 s.
AVOID_SECONDS = 2.0


class EnginePlacer:
    """Chooses engines for runs, and tells the other nodes of each choice.

    Parameters
    ----------
    registry : Registry
        Knows the engines.
    loads : EngineLoads
        What all nodes have placed.
    sharing : Sharing
        Tells the other nodes.
    paces : Paces
        How fast each engine is.
    failure_domain : str
        Where this node runs.
    rng : random.Random
        Breaks ties.
    policy : Placing
        Decides among the engines.
    rates : ReadRates
        How fast engines read prompts.
    """

    def __init__(
        self,
        *,
        registry: Registry,
        loads: EngineLoads,
        sharing: Sharing,
        paces: Paces,
        failure_domain: str,
        rng: random.Random,
        policy: placing.Placing,
        rates: ReadRates,
    ) -> None:
        self._registry = registry
        self._loads = loads
        self._sharing = sharing
        self._paces = paces
        self._failure_domain = failure_domain
        self._rng = rng
        self._placing = policy
        self._rates = rates
        # Engines that no connection could be made to, and until when they are avoided.
        self._avoid_until: dict[str, float] = {}

    def note_unreachable(self, reg: Registration) -> None:
        """Avoid an engine for a while that no connection could be made to."""
        now = asyncio.get_running_loop().time()
        self._avoid_until = {
            endpoint: until
            for endpoint, until in self._avoid_until.items()
            if until > now
        }
        self._avoid_until[reg.endpoint] = now + AVOID_SECONDS

    def _usable(self, service: str, excluded: set[str]) -> list[Registration]:
        """Return the engines to choose from; avoided ones only if there are no others.

        A silent engine costs each request that tries it a quarter of a second.
        """
        now = asyncio.get_running_loop().time()
        usable = [
            reg
            for reg in self._registry.usable(service)
            if reg.endpoint not in excluded
        ]
        reachable = [
            reg for reg in usable if self._avoid_until.get(reg.endpoint, 0.0) <= now
        ]
        return reachable or usable

    def _engine_loads(self, live: LiveRun, excluded: set[str]) -> list[EngineLoad]:
        engine = live.engine
        empty = [
            EngineLoad(
                reg=reg,
                n_slots=engine.n_slots,
                n_memory_tokens=engine.n_memory_tokens,
            )
            for reg in self._usable(live.ex.service, excluded)
        ]
        now = asyncio.get_running_loop().time()
        return [
            replace(load, token_seconds=self._paces.token_seconds(load.reg.endpoint))
            for load in self._loads.loads(empty, now)
        ]

    def _demand(self, live: LiveRun) -> placing.Demand:
        run = live.run
        return placing.Demand(
            n_tokens=run.n_tokens,
            n_reading_tokens=run.n_prompt_tokens,
            n_remaining_tokens=run.n_remaining_tokens,
            failure_domain=self._failure_domain,
            read_rate=self._rates.rate(live.ex.service),
        )

    async def place(self, live: LiveRun, excluded: set[str]) -> Registration | None:
        """Wait for an engine with room; None where none has any in time."""
        ex = live.ex
        loop = asyncio.get_running_loop()
        target = ex.route.target_seconds
        read_by = loop.time() + placing.READ_SHARE * target
        until = min(loop.time() + WAIT_SHARE * target, ex.loop_deadline)
        while True:
            loads = self._engine_loads(live, excluded)
            demand = replace(
                self._demand(live), read_seconds=max(0.0, read_by - loop.time())
            )
            load = self._placing.choose(loads, demand, self._rng)
            if load is not None:
                ex.observe("relay_wait")
                self._note_place(live, load.reg, loads, demand)
                return load.reg
            if loop.time() >= until:
                obstacles = placing.count_obstacles(loads, demand)
                ex.log("no_room", n_engines=len(loads), obstacles=obstacles)
                return None
            await asyncio.sleep(LOOK_SECONDS)

    def _note_place(
        self,
        live: LiveRun,
        reg: Registration,
        loads: list[EngineLoad],
        demand: placing.Demand,
    ) -> None:
        live.reg = reg
        n_ahead = sum(
            load.n_reading_tokens for load in loads if load.reg.endpoint == reg.endpoint
        )
        live.reading = Reading(
            n_tokens=n_ahead + demand.n_reading_tokens,
            since=asyncio.get_running_loop().time(),
        )
        live.backup = self._choose_backup(live, reg, loads, demand)
        self.share(live, is_reading=True)

    def _choose_backup(
        self,
        live: LiveRun,
        reg: Registration,
        loads: list[EngineLoad],
        demand: placing.Demand,
    ) -> Registration | None:
        """Return the engine that gets a copy of a run as it grows, if any."""
        if not live.engine.can_back_up or live.ex.route.is_resumable:
            return None
        others = [
            run
            for run in self._loads.on_engine(reg.endpoint)
            if run.run_id != live.run.run_id
        ]
        is_needed = moving.needs_backup(live.run, others, live.engine)
        copy = placing.choose_backup(loads, demand, reg, self._rng, is_needed=is_needed)
        return copy.reg if copy is not None else None

    def share(
        self, live: LiveRun, *, is_reading: bool, is_moving: bool = False
    ) -> None:
        """Tell the other nodes where a run is."""
        assert live.reg is not None
        live.run = replace(
            live.run,
            endpoint=live.reg.endpoint,
            backup=live.backup.endpoint if live.backup else "",
            is_reading=is_reading,
            is_moving=is_moving,
        )
        self._sharing.placed(live.run)

    def note_first_event(self, live: LiveRun) -> None:
        """Note that a prompt has been read, and how long that took."""
        reading, live.reading = live.reading, None
        if reading is not None:
            seconds = asyncio.get_running_loop().time() - reading.since
            self._rates.note(live.ex.service, reading.n_tokens, seconds)
        self.share(live, is_reading=False)

    def forget_backup(self, live: LiveRun) -> None:
        """Note that the engine that had a copy of a run goes."""
        live.backup = None
        if live.reg is not None:
            self.share(live, is_reading=live.run.is_reading)

    def move_target(
        self, live: LiveRun, source: Registration, excluded: set[str]
    ) -> Registration | None:
        """Return the best engine for a run that leaves another one."""
        demand = replace(
            self._demand(live),
            failure_domain=source.failure_domain,
            n_reading_tokens=0,
            memory_share=placing.MOVE_SHARE,
            far_cost=placing.FAR_MOVE_COST,
        )
        loads = self._engine_loads(live, excluded)
        target = self._placing.choose(loads, demand, self._rng)
        return target.reg if target is not None else None
