"""Engines that a run may get now, and their loads as all nodes know them."""

from __future__ import annotations

import asyncio
import random

from ..model import Registration
from ..policies.decodetimes import DecodeTimes
from ..policies.endpointspeeds import EndpointSpeeds
from ..policies.engineloads import EngineLoad, EngineLoads
from ..policies.pace import StartReason
from ..policies.prefillrates import PrefillRates
from .endpointgate import EndpointGate
from .endpointpaces import EndpointPaces
from .liverun import LiveRun
from .registry import Registry

# Engines that are compared for one choice. With hundreds of engines, comparing all of
# them takes tens of milliseconds, and some of these are nearly as good as the best.
MAX_COMPARED = 64
# How long an engine is avoided after a failed connection, in seconds. A crashed
# engine's registration expires after three of its heartbeats, about 3.6 s.
AVOID_SECONDS = 2.0


class EngineCandidates:
    """Finds the engines that a run may get, and estimates their loads.

    Parameters
    ----------
    registry : Registry
        Lists the engines.
    loads : EngineLoads
        The runs that all nodes have placed.
    decode_times : DecodeTimes
        Decode speed of each engine.
    rng : random.Random
        Draws the engines that are compared.
    gate : EndpointGate
        Which engines may receive a request now.
    rates : PrefillRates
        Prefill speed of each engine and of each service's engines.
    speeds : EndpointSpeeds
        The slowness that engines state.
    paces : EndpointPaces
        Told of engines that weren't reached.
    """

    def __init__(
        self,
        *,
        registry: Registry,
        loads: EngineLoads,
        decode_times: DecodeTimes,
        rng: random.Random,
        gate: EndpointGate,
        rates: PrefillRates,
        speeds: EndpointSpeeds,
        paces: EndpointPaces,
    ) -> None:
        self._registry = registry
        self._loads = loads
        self._decode_times = decode_times
        self._rng = rng
        self._gate = gate
        self._rates = rates
        self._speeds = speeds
        self._paces = paces
        # By endpoint, the loop time until which an unreachable engine is avoided.
        self._avoid_until: dict[str, float] = {}

    def record_unreachable(self, reg: Registration) -> None:
        """Avoid an engine for a while after a failed connection."""
        now = asyncio.get_running_loop().time()
        self._avoid_until = {
            endpoint: until
            for endpoint, until in self._avoid_until.items()
            if until > now
        }
        self._avoid_until[reg.endpoint] = now + AVOID_SECONDS
        self._paces.record_start(reg, StartReason.UNREACHABLE, now + AVOID_SECONDS)

    def seconds_until_open(self, live: LiveRun) -> float | None:
        """Return the time until an engine may get a run.

        None unless all engines for it are closed by their limits or pauses.
        """
        return self._gate.seconds_until_open(self.allowed(live))

    def allowed(self, live: LiveRun) -> list[Registration]:
        """Return the engines at which a run may begin or go on."""
        return self._registry.usable_endpoints(live.ex.service, live.binding)

    def usable(
        self, live: LiveRun, excluded: set[str], *, can_wait: bool
    ) -> list[Registration]:
        """Return the engines to choose from; avoided ones only if there are no others.

        An engine that doesn't respond costs each request that tries it the connect
        timeout of 0.25 s.
        """
        now = asyncio.get_running_loop().time()

        def is_usable(reg: Registration) -> bool:
            return reg.endpoint not in excluded and self._gate.is_open_for(
                reg, live.ex.home_regions, can_wait=can_wait
            )

        regs = self.allowed(live)
        drawn = regs
        if len(regs) > MAX_COMPARED:
            drawn = self._rng.sample(regs, MAX_COMPARED)
        usable = list(filter(is_usable, drawn))
        if not usable and drawn is not regs:
            usable = list(filter(is_usable, regs))[:MAX_COMPARED]
        reachable = [
            reg for reg in usable if self._avoid_until.get(reg.endpoint, 0.0) <= now
        ]
        return reachable or usable

    def engine_loads(
        self, live: LiveRun, excluded: set[str], *, can_wait: bool = False
    ) -> list[EngineLoad]:
        """Return the loads of the engines to choose from; see `usable`."""
        return self._loads_of(live, self.usable(live, excluded, can_wait=can_wait))

    def service_loads(self, live: LiveRun) -> list[EngineLoad]:
        """Return the engines that other requests for a run's service may get."""
        regs = [
            reg
            for reg in self._registry.usable_endpoints(live.ex.service)
            if self._gate.is_open_for(reg, frozenset())
        ]
        if len(regs) > MAX_COMPARED:
            regs = self._rng.sample(regs, MAX_COMPARED)
        return self._loads_of(live, regs)

    def _loads_of(self, live: LiveRun, regs: list[Registration]) -> list[EngineLoad]:
        engine = live.engine
        now = asyncio.get_running_loop().time()
        idle_loads = [
            EngineLoad(
                reg=reg,
                n_slots=engine.n_slots,
                n_memory_tokens=engine.n_memory_tokens,
                token_seconds=self._decode_times.token_seconds(reg.endpoint),
                cold_seconds=self._gate.cold_seconds(reg),
                prefill_rate=self._present_prefill_rate(live, reg, now),
            )
            for reg in regs
        ]
        return self._loads.estimate(idle_loads, now)

    def _present_prefill_rate(
        self, live: LiveRun, reg: Registration, now: float
    ) -> float:
        """Return the rate at which an engine reads a run's prompt if it begins now.

        What is learned from first events holds its permanent speed already.
        """
        rate = self._prefill_rate(reg)
        n_tokens = live.run.n_prompt_tokens
        return self._speeds.present_rate(reg.endpoint, now, rate, n_tokens)

    def _prefill_rate(self, reg: Registration) -> float:
        return self._rates.rate(reg.endpoint, reg.service)

    def unlimited(self, loads: list[EngineLoad]) -> list[EngineLoad]:
        """Return the engines without a limit, at which any run may continue, if any."""
        unlimited = [load for load in loads if not self._gate.is_limited(load.reg)]
        return unlimited or loads
