"""Random troubles beside requests that crash endpoints."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from typing import Any

import pytest

from standins.requestcrashes import AT_READING
from tests.crashrig import (
    SAFE,
    STREAM,
    STREAM_ONCE,
    UNSAFE,
    CrashFleet,
    run_crash_fleet,
)
from tests.fuzzseeds import seeds

# A few seeds for each change; more by hand: CELERYTRAIL_CRASH_REQUEST_SEEDS=100-160.
SEEDS = seeds("CELERYTRAIL_CRASH_REQUEST_SEEDS", "1-6")
N_NODES = 8
SECONDS = 20.0
PARTS = ("f1", "5ec", "OWN")


def draw_crashes(rng: random.Random) -> dict[str, Any]:
    """Draw the moment at which requests crash their endpoints."""
    return rng.choice(
        [
            {"n_events": AT_READING},
            {"seconds": rng.uniform(0.0, 0.3)},
            {"n_events": rng.randint(0, 15), "n_body_bytes": 100},
        ]
    )


async def make_trouble(rig: CrashFleet, rng: random.Random) -> None:
    """Bring one trouble about, and end it."""
    await asyncio.sleep(rng.uniform(0.0, SECONDS / 2))
    number = rng.randrange(N_NODES)
    seconds = rng.uniform(0.5, 4.0)
    match rng.choice(["restart", "freeze", "drop", "crash", "cut"]):
        case "restart":
            rig.put_out_of_touch(number, 0.0)
            await rig.fleet.restart_node(number)
        case "freeze":
            rig.put_out_of_touch(number, seconds)
            rig.fleet.freeze(number)
            await asyncio.sleep(seconds)
            rig.fleet.thaw(number)
        case "drop":
            rig.fleet.wires.datagram_loss_rate = 0.1
        case "crash":
            service = rng.choice(["models", "desk"])
            await rig.crash_some(service, rng.uniform(1.0, 3.0), SECONDS / 2)
        case "cut":
            rig.put_out_of_touch(number, seconds)
            links = [(f"vm-{number}", name) for name in rig.workers]
            for node, name in links:
                rig.fleet.wires.refuse(node, name)
                rig.fleet.wires.reset(node, name)
            await asyncio.sleep(seconds)
            for node, name in links:
                rig.fleet.wires.heal_link(node, name)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_request_reaches_an_endpoint_after_its_third_end(seed):
    # News gets lost or is late, and endpoints end for other reasons as well.
    rng = random.Random(f"crash requests {seed}")
    kind = rng.choice([SAFE, UNSAFE, STREAM, STREAM_ONCE])
    if rng.random() < 0.5:
        kind = replace(kind, parts=PARTS)
    keys = [f"7a{n}" for n in range(rng.randint(1, 3))]
    pause = rng.choice([0.1, 0.6, 2.0])

    async def steps(rig: CrashFleet) -> None:
        work = [
            rig.send_sound(SAFE, 8.0, SECONDS),
            rig.send_sound(STREAM, 4.0, SECONDS),
            *(make_trouble(rig, rng) for _ in range(rng.randint(1, 4))),
            *(
                rig.repeat(kind, key, int(SECONDS / (pause + 0.5)), pause)
                for key in keys
            ),
        ]
        await asyncio.gather(*work)
        counts = {key: rig.count(kind, key) for key in keys}
        assert all(one.n_late == 0 for one in counts.values()), counts
        assert rig.broken_promises() == []

    run_crash_fleet(N_NODES, steps, seed=seed, crashes=draw_crashes(rng))
