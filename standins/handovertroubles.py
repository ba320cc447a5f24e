"""Draws troubles of engines around copies of runs, one at a time and together."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from .handoverfaults import CopyReset, HandoverFaults, StopLoss
from .modelworker import ModelWorker

Trouble = Callable[[ModelWorker, random.Random], None]


def _slow_reports(engine: ModelWorker, rng: random.Random) -> None:
    engine.report_seconds = rng.uniform(0.2, 3.0)


def _change(**draws: Callable[[random.Random], Any]) -> Trouble:
    """Return a trouble that sets drawn values of an engine's hand-over faults."""

    def apply(engine: ModelWorker, rng: random.Random) -> None:
        values = {name: draw(rng) for name, draw in draws.items()}
        engine.handover_faults = replace(engine.handover_faults, **values)

    return apply


TROUBLES: dict[str, Trouble] = {
    "slow reports": _slow_reports,
    "late heads": _change(head_seconds=lambda rng: rng.uniform(0.3, 2.0)),
    "heads first": _change(
        head_seconds=lambda rng: rng.uniform(0.3, 2.0), is_head_first=lambda rng: True
    ),
    "resets that drop": _change(copy_reset=lambda rng: CopyReset.DROPS),
    "resets that work on": _change(copy_reset=lambda rng: CopyReset.WORKS_ON),
    "lingers": _change(linger_seconds=lambda rng: rng.uniform(0.5, 5.0)),
    "slow copies": _change(move_seconds=lambda rng: rng.uniform(0.3, 2.0)),
    "breaks": _change(breaks_after=lambda rng: rng.randrange(40)),
    "lost answers to stops": _change(stop_loss=lambda rng: rng.choice([*StopLoss])),
    "late answers to stops": _change(stop_seconds=lambda rng: rng.uniform(0.1, 5.0)),
    "late closes": _change(stopped_seconds=lambda rng: rng.uniform(0.1, 3.0)),
    "resets of stopped": _change(resets_stopped=lambda rng: True),
    "late reads of stops": _change(read_seconds=lambda rng: rng.uniform(0.05, 4.5)),
    "no room for last copies": _change(refuses_last=lambda rng: True),
    "unsent events": _change(
        n_unsent_events=lambda rng: rng.randint(1, 8),
        tears_stopped=lambda rng: rng.random() < 0.5,
    ),
}


def draw_troubles(
    engine: ModelWorker, rng: random.Random, names: Iterable[str], share: float = 1.0
) -> None:
    """Give an engine a share of the named troubles, in place of those that it has."""
    engine.report_seconds = 0.0
    engine.handover_faults = HandoverFaults()
    for name in names:
        if share >= 1.0 or rng.random() < share:
            TROUBLES[name](engine, rng)
