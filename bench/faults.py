"""Schedule faults in a bench run.

A fault takes the simulation, the virtual time at which it starts and how many seconds
the faulty part of the run lasts.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from bench.simulation import Simulation

LEAVING_NOTICE_SECONDS = 10.0
ENGINE_DOWN_SECONDS = 60.0
SLOW_FACTOR = 3.0
HOME_CHANGE_INTERVAL_SECONDS = 60.0


def engine_lost(sim: Simulation, start: float, seconds: float) -> None:
    """Fail an engine without notice and restart it, empty, a minute later."""
    engine = sim.engines["e0"]
    sim.call_at(start, lambda: engine.fail(sim.now))
    sim.call_at(start + ENGINE_DOWN_SECONDS, partial(_restart, sim, "e0"))


def engine_reclaimed(sim: Simulation, start: float, seconds: float) -> None:
    """Reclaim an engine ten seconds after it announces that it is leaving.

    It restarts, empty, a minute later.
    """
    engine = sim.engines["e0"]

    def announce() -> None:
        engine.leaving_at = sim.now + LEAVING_NOTICE_SECONDS

    sim.call_at(start, announce)
    sim.call_at(start + LEAVING_NOTICE_SECONDS, lambda: engine.fail(sim.now))
    sim.call_at(
        start + LEAVING_NOTICE_SECONDS + ENGINE_DOWN_SECONDS,
        partial(_restart, sim, "e0"),
    )


def engine_slow(sim: Simulation, start: float, seconds: float) -> None:
    """Slow an engine's steps by a factor of three during half of the faulty part."""
    engine = sim.engines["e0"]

    def set_slowdown(factor: float) -> None:
        engine.slowdown_factor = factor

    sim.call_at(start, partial(set_slowdown, SLOW_FACTOR))
    sim.call_at(start + seconds / 2, partial(set_slowdown, 1.0))


def engine_underreports(sim: Simulation, start: float, seconds: float) -> None:
    """Make an engine report a tenth of its load, no queue and no preemptions.

    It does so during half of the faulty part.
    """
    engine = sim.engines["e0"]

    def set_underreporting(is_underreporting: bool) -> None:
        engine.is_underreporting = is_underreporting

    sim.call_at(start, partial(set_underreporting, True))
    sim.call_at(start + seconds / 2, partial(set_underreporting, False))


def homes_move(sim: Simulation, start: float, seconds: float) -> None:
    """Replace the pool's home by an empty one every minute."""
    change_at = start
    while change_at < start + seconds:
        sim.call_at(change_at, sim.strategy.replace_home)
        change_at += HOME_CHANGE_INTERVAL_SECONDS


def _restart(sim: Simulation, name: str) -> None:
    engine = sim.engines[name]
    engine.restart()
    engine.is_busy = False
    sim.start_step(engine)


Fault = Callable[[Simulation, float, float], None]
FAULTS: dict[str, Fault] = {
    "lost": engine_lost,
    "reclaimed": engine_reclaimed,
    "slow": engine_slow,
    "lies": engine_underreports,
    "homes": homes_move,
}
