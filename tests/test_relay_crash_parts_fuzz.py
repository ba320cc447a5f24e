"""Random troubles beside prompt parts that crash engines."""

from __future__ import annotations

import random

import pytest
from msgspec.structs import replace

from bench.crashparts import CASES, base_load, part_outcome
from bench.crashrules import N_ALLOWED
from bench.fleet import Variation, simulate
from bench.fleetload import FleetEvent, FleetLoad
from tests.fuzzseeds import seeds

# A few seeds for each change; more by hand: CELERYTRAIL_CRASH_SEEDS=100-160.
SEEDS = seeds("CELERYTRAIL_CRASH_SEEDS", "1-3")
N_NODES = 9
BAD_CASES = ("one part", "after one event", "with backups", "two parts", "comes back")


def draw_event(rng: random.Random, load: FleetLoad) -> FleetEvent:
    """Draw one trouble; they overlap."""
    n_nodes = rng.randint(1, load.n_nodes // 2)
    at = rng.uniform(6.0, 22.0)
    event = FleetEvent(kind="freeze_node", at=at, seconds=rng.uniform(1.0, 5.0))
    return rng.choice(
        [
            event,
            replace(event, kind="restart_nodes", n_nodes=n_nodes),
            replace(event, kind="cut_nodes", n_nodes=n_nodes, how="silent"),
            replace(event, kind="cut_nodes", n_nodes=n_nodes, how="reset"),
            replace(event, kind="cut_nodes", n_nodes=n_nodes, how="refused"),
            replace(event, kind="evacuate", domain=rng.choice(load.zones)),
            replace(event, kind="release", version="v2"),
        ]
    )


def draw_load(seed: int) -> FleetLoad:
    """Draw a load, and troubles beside it."""
    rng = random.Random(f"crash parts {seed}")
    load = CASES[rng.choice(BAD_CASES)](replace(base_load(), n_nodes=N_NODES))
    events = [draw_event(rng, load) for _ in range(rng.randint(1, 4))]
    engines = replace(
        load.engines,
        reclaim_every=rng.choice([0.0, 3.0, 6.0]),
        notice=rng.choice([[0.0, 0.0], [2.0, 2.0]]),
        unframed_share=rng.choice([0.0, 0.5]),
        torn_share=0.2,
    )
    return replace(load, engines=engines, events=events)


@pytest.mark.parametrize("seed", SEEDS)
def test_engines_are_kept_from_the_part_whatever_else_happens(seed):
    # News of crashes gets lost, late or to nodes that have just started.
    load = draw_load(seed)
    dropped = random.Random(seed).choice([0.0, 0.1])
    result = simulate(load, Variation(dropped_share=dropped), seed)
    for part in load.engines.crash_parts:
        found = part_outcome(part, result)
        assert found.n_late <= N_ALLOWED, found
    sound = [res for res in result.request_results if res.kind.name == "check"]
    assert all(res.outcome != "wrong" for res in sound)
    assert result.repeated_attempts == []
