"""What goes wrong in a bench run, and when."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from bench.simulation import Simulation

LEAVING_NOTICE = 10.0
ENGINE_AWAY = 60.0
SLOW_FACTOR = 3.0
HOME_EVERY = 60.0


def engine_lost(sim: Simulation, start: float, seconds: float) -> None:
    """An engine dies without notice, and is back, empty, a minute later."""
    engine = sim.engines["e0"]
    sim.at(start, lambda: engine.die(sim.now))
    sim.at(start + ENGINE_AWAY, partial(_restart, sim, "e0"))


def engine_reclaimed(sim: Simulation, start: float, seconds: float) -> None:
    """An engine says that it leaves in ten seconds, and does."""
    engine = sim.engines["e0"]

    def announce() -> None:
        engine.leaving_at = sim.now + LEAVING_NOTICE

    sim.at(start, announce)
    sim.at(start + LEAVING_NOTICE, lambda: engine.die(sim.now))
    sim.at(start + LEAVING_NOTICE + ENGINE_AWAY, partial(_restart, sim, "e0"))


def engine_slow(sim: Simulation, start: float, seconds: float) -> None:
    """An engine's steps take three times as long for the middle of the run."""
    engine = sim.engines["e0"]

    def slow(factor: float) -> None:
        engine.slowness = factor

    sim.at(start, partial(slow, SLOW_FACTOR))
    sim.at(start + seconds / 2, partial(slow, 1.0))


def engine_lies(sim: Simulation, start: float, seconds: float) -> None:
    """An engine reports a tenth of its load and no preemptions."""
    engine = sim.engines["e0"]

    def lie(lies: bool) -> None:
        engine.lies = lies

    sim.at(start, partial(lie, True))
    sim.at(start + seconds / 2, partial(lie, False))


def homes_move(sim: Simulation, start: float, seconds: float) -> None:
    """The pool's home is replaced every minute by one that knows nothing."""
    at = start
    while at < start + seconds:
        sim.at(at, sim.strategy.move_home)
        at += HOME_EVERY


def _restart(sim: Simulation, name: str) -> None:
    engine = sim.engines[name]
    engine.restart()
    engine.busy = False
    sim.kick(engine)


Fault = Callable[[Simulation, float, float], None]
FAULTS: dict[str, Fault] = {
    "lost": engine_lost,
    "reclaimed": engine_reclaimed,
    "slow": engine_slow,
    "lies": engine_lies,
    "homes": homes_move,
}
