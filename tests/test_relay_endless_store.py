"""Endless bytes as the store's answers to a node's own requests."""

from __future__ import annotations

import asyncio

import pytest

from standins.endless import EndlessBytes, EndlessControl, answer_head
from standins.worker import PlainWorker
from tests.limitrig import now
from tests.sourcesrig import CONFIG_SECONDS, Fleet, run_fleet
from tests.test_relay_endless import BODIES, HEADS
from tests.test_relay_endless_control import ANSWERS, N_BUFFER_BYTES

SECONDS = 12.0
# An answer has up to 500 rows; a node reads 4 MiB of it, and as much again for chunks.
STORE_BYTES = 2 * 4 * 1024 * 1024
# A node asks for each of its two tables by itself, until the store counts as down.
N_FIRST_ASKS = 10
ASKS_PER_SECOND = 5
STORE_ANSWERS = {
    **{f"head: {name}": sends for name, sends in HEADS.items()},
    **{f"body: {name}": sends for name, sends in BODIES.items()},
    "body: chunk extensions": ANSWERS["body: chunk extensions"],
    "no JSON": EndlessBytes(
        first=answer_head(200, "content-length: 4") + b"oops",
        again=b"",
        pause=0.1,
        n_times=1,
    ),
}


def add_trouble(fleet: Fleet, sends: EndlessBytes) -> EndlessControl:
    """Let the store answer without end while this is on."""
    trouble = EndlessControl(sends=sends, path="/")
    handle = fleet.store.handle

    async def answer(req, res):
        if trouble.is_on:
            trouble.n_asked += 1
            await trouble._send(res._conn)
        else:
            await handle(req, res)

    fleet.store.handle = answer
    return trouble


class TestEndlessStore:
    @pytest.mark.parametrize("name", STORE_ANSWERS)
    def test_a_node_serves_on_beside_a_store_that_answers_without_end(self, name):
        """Guards against a node that reads a faulty store's bytes all the time."""

        async def steps(fleet: Fleet) -> None:
            worker = PlainWorker(
                worker_id="d1", network=fleet.wires.network_of("worker")
            )
            await worker.start()
            fleet.store.put("servers", "d1", worker.row("desk"))
            await asyncio.sleep(1.0)
            trouble = add_trouble(fleet, STORE_ANSWERS[name])
            began_at = now()
            served = []
            while now() < began_at + SECONDS:
                served.append((await fleet.request(0, "look")).status)
                await asyncio.sleep(0.5)
            n_most = N_FIRST_ASKS + ASKS_PER_SECOND * SECONDS
            assert trouble.n_asked <= n_most
            n_bytes = trouble.n_sent_bytes
            assert n_bytes <= trouble.n_asked * (STORE_BYTES + N_BUFFER_BYTES)
            # The keys are known for less long than this lasts.
            assert served[:4] == [200] * 4
            trouble.is_on = False
            fleet.change("extra")
            await asyncio.sleep(CONFIG_SECONDS)
            assert (await fleet.request(0, "extra")).status == 200
            await worker.close()

        run_fleet(1, steps, 1)
