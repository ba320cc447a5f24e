"""Places generations on engines by the load estimate that all nodes share."""

from __future__ import annotations

import asyncio
import functools
import random
from dataclasses import replace

from ..model import Registration
from ..policies import moving, placing
from ..policies.backups import BackupPolicy, SameDomainBackup
from ..policies.decodetimes import DecodeTimes
from ..policies.endpointspeeds import EndpointSpeeds
from ..policies.engineloads import EngineLoad, EngineLoads
from ..policies.leavingversions import LeavingVersions
from ..policies.movetargets import MoveTargets, OwnTargets
from ..policies.prefillrates import PrefillRates
from .endpointgate import Admission, EndpointGate
from .endpointpaces import EndpointPaces
from .enginecandidates import EngineCandidates
from .liverun import LiveRun
from .peerupdates import PeerUpdates
from .queueturns import QueueTurns
from .registry import Registry
from .waitingroom import WaitingRoom

# Share of the target for which a generation waits for an engine with capacity; the rest
# is for the prefill.
WAIT_SHARE = 0.5
# Interval between two checks for capacity without a queue order, in seconds.
POLL_SECONDS = 0.02


class EnginePlacer:
    """Chooses engines for runs and announces each choice to the other nodes.

    Parameters
    ----------
    registry : Registry
        Lists the engines.
    loads : EngineLoads
        The runs that all nodes have placed.
    peer_updates : PeerUpdates
        Announces runs to the other nodes.
    decode_times : DecodeTimes
        Decode speed of each engine.
    failure_domain : str
        The failure domain of this node.
    rng : random.Random
        Breaks ties.
    gate : EndpointGate
        Which engines may receive a request now.
    policy : PlacementPolicy
        Chooses among the engines.
    backups : BackupPolicy or None
        Chooses the engines that keep copies of runs; in the same failure domain by
        default.
    move_targets : MoveTargets or None
        Selects the engines that get the runs of leaving ones.
    incoming_cost : float
        Cost, for a run that is moved, of each other one that is being moved to the same
        engine, in seconds.
    rates : PrefillRates
        Prefill speed of each engine and of each service's engines.
    speeds : EndpointSpeeds
        The slowness that engines state.
    waiting_room : WaitingRoom
        The requests of all nodes that wait for engines.
    paces : EndpointPaces
        Told of engines that weren't reached.
    uses_queue_order : bool
        Whether new requests take capacity in the order that all nodes share. Off by
        default: see docs/design/queue-order.md for what it cost.
    """

    def __init__(
        self,
        *,
        registry: Registry,
        loads: EngineLoads,
        peer_updates: PeerUpdates,
        decode_times: DecodeTimes,
        failure_domain: str,
        rng: random.Random,
        gate: EndpointGate,
        policy: placing.PlacementPolicy,
        rates: PrefillRates,
        speeds: EndpointSpeeds,
        waiting_room: WaitingRoom,
        paces: EndpointPaces,
        backups: BackupPolicy | None = None,
        move_targets: MoveTargets | None = None,
        uses_queue_order: bool = False,
    ) -> None:
        self._registry = registry
        self._loads = loads
        self._sharing = peer_updates
        self._failure_domain = failure_domain
        self._rng = rng
        self._gate = gate
        self._placing = policy
        self._paces = paces
        self._backups = backups or SameDomainBackup()
        self._move_targets = move_targets or OwnTargets()
        self._uses_queue_order = uses_queue_order
        self._leaving_versions = LeavingVersions()
        self._candidates = EngineCandidates(
            registry=registry,
            loads=loads,
            decode_times=decode_times,
            rng=rng,
            gate=gate,
            rates=rates,
            speeds=speeds,
            paces=paces,
        )
        self._queue = QueueTurns(
            waiting_room=waiting_room,
            candidates=self._candidates,
            peer_updates=peer_updates,
            policy=policy,
        )

    def record_unreachable(self, reg: Registration) -> None:
        """Avoid an engine for a while after a failed connection."""
        self._candidates.record_unreachable(reg)

    def record_refused(self, live: LiveRun, retry_after: float) -> None:
        """Let a refused caller keep its position, if there are positions."""
        if self._uses_queue_order:
            self._queue.record_refused(live, retry_after)

    def record_leaving(self, reg: Registration) -> None:
        """Record that an engine leaves, and that its version may be leaving."""
        now = asyncio.get_running_loop().time()
        self._leaving_versions.record(reg.service, reg.version, now)

    def is_evacuated(self, live: LiveRun) -> bool:
        """Return whether all engines for a run are in evacuated domains."""
        return self._registry.is_service_evacuated(live.ex.service, live.binding)

    def has_version(self, live: LiveRun) -> bool:
        """Return whether an engine at which a run may continue doesn't leave."""
        return self._registry.has_accepting(live.ex.service, live.binding)

    def return_at(self, live: LiveRun) -> float | None:
        """Return when a caller should return if all engines are closed now."""
        seconds = self._gate.return_seconds(self._candidates.allowed(live))
        if seconds is None:
            return None
        return asyncio.get_running_loop().time() + seconds

    def find(self, reg: Registration) -> Registration | None:
        """Return the row of an engine's start, None if it has none."""
        found = self._registry.find(reg.endpoint)
        if found is None or found.incarnation != reg.incarnation:
            return None
        return found

    def _demand(self, live: LiveRun) -> placing.Demand:
        run = live.run
        return placing.Demand(
            n_tokens=run.n_tokens,
            n_prefill_tokens=run.n_prompt_tokens,
            n_remaining_tokens=run.n_remaining_tokens,
            failure_domain=self._failure_domain,
        )

    def _choose_paced(
        self,
        live: LiveRun,
        loads: list[EngineLoad],
        demand: placing.Demand,
        excluded: set[str],
    ) -> tuple[EngineLoad | None, list[EngineLoad]]:
        """Return a run's engine and those that it was chosen from.

        These include engines that the pace holds back only if no other has room. A run
        that goes on, or that another engine didn't take, ignores the pace.
        """
        if live.binding.version is None and not excluded:
            regs = [load.reg for load in loads]
            held = self._gate.held_back(regs, self._candidates.allowed(live))
            open_loads = [load for load in loads if load.reg.endpoint not in held]
            load = self._choose(live, open_loads, demand)
            if load is not None or not held:
                return load, open_loads
            load = self._choose(live, loads, demand)
            if load is not None:
                self._paces.count_bypassed(live.ex.service)
            return load, loads
        return self._choose(live, loads, demand), loads

    def _choose(
        self, live: LiveRun, loads: list[EngineLoad], demand: placing.Demand
    ) -> EngineLoad | None:
        """Return an engine, of a version that stays if one of these has room."""
        if live.binding.version is None:
            versions = {load.reg.version for load in loads}
            now = asyncio.get_running_loop().time()
            avoided = self._leaving_versions.avoided(live.ex.service, versions, now)
            if avoided:
                staying = [load for load in loads if load.reg.version not in avoided]
                load = self._placing.choose(staying, demand, self._rng)
                if load is not None:
                    return load
        return self._placing.choose(loads, demand, self._rng)

    def _placing_demand(self, live: LiveRun, prefill_seconds: float) -> placing.Demand:
        """Return what a run needs where it begins, or goes on without a copy.

        A run that goes on would be lost, and only some of the engines may have it.
        """
        demand = self._demand(live)
        if live.binding.version is not None:
            return replace(demand, memory_share=placing.MOVE_SHARE)
        has_several = len(self._registry.versions(live.ex.service)) > 1
        return replace(
            demand,
            max_prefill_seconds=max(0.0, prefill_seconds),
            spare_slot_share=placing.SPARE_SLOT_SHARE if has_several else 0.0,
        )

    async def place_admitted(
        self, live: LiveRun, excluded: set[str], *, until: float | None = None
    ) -> Admission | None:
        """Wait for an engine with capacity that also admits the generation."""
        admission = None
        while admission is None:
            reg = await self.place(live, excluded, until=until)
            if reg is None:
                return None
            admission = await self._gate.admit(reg, live.ex.prompt)
        return admission

    async def place(
        self, live: LiveRun, excluded: set[str], *, until: float | None = None
    ) -> Registration | None:
        """Wait for an engine with capacity; return None if none has any in time.

        They take capacity as soon as they find it, or in the order that all nodes share
        if that is used. Runs that continue elsewhere, and those that begin again after
        a failure, don't wait for their turn.

        Parameters
        ----------
        live : LiveRun
            The run.
        excluded : set of str
            Engines that it may not get.
        until : float or None
            Loop time until which it waits; for a share of its target by default.
        """
        is_new = live.binding.version is None and not live.n_runs
        if not is_new or not self._uses_queue_order:
            return await self._place(live, excluded, until, is_ordered=False)
        outcome = "ended"
        try:
            reg = await self._place(live, excluded, until, is_ordered=True)
            outcome = "placed" if reg is not None else "refused"
            return reg
        finally:
            self._queue.leave(live, outcome)

    async def _place(
        self,
        live: LiveRun,
        excluded: set[str],
        until: float | None,
        *,
        is_ordered: bool,
    ) -> Registration | None:
        ex = live.ex
        loop = asyncio.get_running_loop()
        target = ex.route.target_latency_seconds
        prefill_deadline = loop.time() + placing.PREFILL_SHARE * target
        if until is None:
            until = loop.time() + WAIT_SHARE * target
        wait_deadline = min(until, ex.loop_deadline)
        while True:
            loads = self._candidates.engine_loads(live, excluded)
            demand = self._placing_demand(live, prefill_deadline - loop.time())
            load, usable = self._choose_paced(live, loads, demand, excluded)
            if load is not None and is_ordered:
                choose = functools.partial(self._choose, live, demand=demand)
                load = self._queue.choose(
                    live, excluded, loads, demand, load, usable, choose
                )
            if load is not None:
                ex.observe("relay_wait")
                self._record_placement(live, load.reg, loads, demand)
                return load.reg
            is_hopeless = (
                not self.has_version(live)
                or self._gate.find_block(live.ex.prompt) is not None
                or self.is_evacuated(live)
                or (not loads and self._opens_after(live, wait_deadline))
            )
            if loop.time() >= wait_deadline or is_hopeless:
                obstacles = placing.count_obstacles(loads, demand)
                ex.log("no_room", n_engines=len(loads), obstacles=obstacles)
                return None
            if is_ordered:
                self._queue.enter(live, loads, demand)
                await self._queue.wait_for_change()
            else:
                await asyncio.sleep(POLL_SECONDS)

    def _opens_after(self, live: LiveRun, deadline: float) -> bool:
        """Return whether the limits of engines keep them closed past a deadline."""
        seconds = self._candidates.seconds_until_open(live)
        if seconds is None:
            return False
        return asyncio.get_running_loop().time() + seconds >= deadline

    def _record_placement(
        self,
        live: LiveRun,
        reg: Registration,
        loads: list[EngineLoad],
        demand: placing.Demand,
    ) -> None:
        live.reg = reg
        n_ahead = sum(
            load.n_prefill_tokens for load in loads if load.reg.endpoint == reg.endpoint
        )
        live.waited_seconds = live.ex.age_seconds
        live.n_queued_tokens = n_ahead
        live.backup = self._choose_backup(live, reg, loads, demand)
        self.announce(live, is_prefilling=True)

    def _choose_backup(
        self,
        live: LiveRun,
        reg: Registration,
        loads: list[EngineLoad],
        demand: placing.Demand,
    ) -> Registration | None:
        """Return the engine that gets a growing copy of a run, if any."""
        if not live.engine.can_back_up or live.ex.route.is_resumable:
            return None
        others = [
            run
            for run in self._loads.runs_on_engine(reg.endpoint)
            if run.run_id != live.run.run_id
        ]
        is_needed = moving.needs_backup(live.run, others, live.engine)
        loads = self._candidates.unlimited(
            [load for load in loads if live.binding.allows(load.reg, copied_from=reg)]
        )
        copy = self._backups.choose(loads, demand, reg, self._rng, is_needed=is_needed)
        return copy.reg if copy is not None else None

    def announce(
        self, live: LiveRun, *, is_prefilling: bool, is_moving: bool = False
    ) -> None:
        """Announce to the other nodes where a run is."""
        self._update_run(live, is_prefilling=is_prefilling, is_moving=is_moving)
        self._sharing.announce_run(live.run)

    def on_first_event(self, live: LiveRun) -> None:
        """Announce that a prefill has ended."""
        self._update_run(live, is_prefilling=False, is_moving=False)
        self._sharing.announce_first_event(live.run)

    def _update_run(
        self, live: LiveRun, *, is_prefilling: bool, is_moving: bool
    ) -> None:
        assert live.reg is not None
        live.run = replace(
            live.run,
            endpoint=live.reg.endpoint,
            backup=live.backup.endpoint if live.backup else "",
            is_prefilling=is_prefilling,
            is_moving=is_moving,
        )

    def clear_backup(self, live: LiveRun) -> None:
        """Record and announce that a run has no backup any more."""
        live.backup = None
        if live.reg is not None:
            self.announce(live, is_prefilling=live.run.is_prefilling)

    def choose_move_target(
        self, live: LiveRun, source: Registration, excluded: set[str]
    ) -> Registration | None:
        """Return the best engine for a run that is moved off another one."""
        demand = replace(
            self._demand(live),
            failure_domain=source.failure_domain,
            n_prefill_tokens=0,
            memory_share=placing.MOVE_SHARE,
            cross_domain_cost=placing.CROSS_DOMAIN_MOVE_COST,
        )
        loads = self._candidates.unlimited(
            [
                load
                for load in self._candidates.engine_loads(live, excluded, can_wait=True)
                if live.binding.allows(load.reg, copied_from=source)
            ]
        )
        leaving = self._registry.leaving_endpoints(live.ex.service, source.version)
        preferred = self._move_targets.select(loads, source.endpoint, leaving)
        target = self._placing.choose(preferred, demand, self._rng)
        if target is None:
            target = self._placing.choose(loads, demand, self._rng)
        if target is None:
            target = placing.choose_last_resort(loads, demand)
        return target.reg if target is not None else None
