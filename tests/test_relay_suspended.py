"""A node whose VM is suspended, or cut off, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from celerytrail.clock import LoopClock
from celerytrail.http.client import HttpClient
from celerytrail.http.messages import Response
from celerytrail.platform.nodefile import RelaySettings
from celerytrail.relay.node import RelayNode
from celerytrail.types import Address
from scenarios.memorynetwork import Wires
from scenarios.virtualtime import close_loop, new_loop
from standins.rowstore import RowStore
from standins.worker import PlainWorker
from tests.relayrig import KEY, config, error_type

HOST = "10.1.0.1"
REVOKE_SECONDS = 5.0


class Desk:
    """A node, its store and a booking desk on wires that can be cut."""

    def __init__(self) -> None:
        self.wires = Wires(rng=random.Random(1))
        self.store = RowStore(network=self.wires.process("store"))
        self.worker = PlainWorker(worker_id="d1", network=self.wires.process("worker"))
        self.clock = LoopClock()
        self.client = HttpClient(network=self.wires.process("callers"), id_header=None)
        self.callers = Address(host=HOST, port=8740)
        self.n_asked = 0

    async def start(self) -> RelayNode:
        store = await self.store.start()
        await self.worker.start()
        self.store.put("op", "config", config())
        self.store.put("servers", "d1", self.worker.row("desk"))
        cfg = RelaySettings(
            node="vm-1",
            failure_domain="a",
            region="r",
            callers=self.callers,
            readiness=Address(host=HOST, port=8741),
            peers=Address(host=HOST, port=8742),
            directory=Address(host=HOST, port=8743),
            peer_ports=(7200, 7201),
            seeds=(),
            store=store,
            revoke_seconds=REVOKE_SECONDS,
        )
        node = RelayNode(
            cfg=cfg,
            network=self.wires.process("vm-1"),
            rng=random.Random(1),
            clock=self.clock,
        )
        await node.start()
        return node

    def cut_off_from_store(self) -> None:
        self.wires.cut("vm-1", "store")
        self.wires.cut("store", "vm-1")

    async def file(self) -> Response:
        """File a signature with the key of the organisation."""
        self.n_asked += 1
        headers = {
            "host": "desk.example",
            "authorization": f"Bearer {KEY}",
            "x-attempt-id": f"a{self.n_asked}",
            "x-time-budget-ms": "3000",
        }
        asked = await self.client.request(
            self.callers, "POST", "/file/1", headers=headers
        )
        return asked.unwrap()


def play(work: Callable[[Desk, RelayNode], Awaitable[None]]) -> None:
    """Run a test's steps in virtual time."""

    async def steps() -> None:
        desk = Desk()
        node = await desk.start()
        await asyncio.sleep(2.0)
        await work(desk, node)
        await node.close()

    loop = new_loop()
    try:
        loop.run_until_complete(steps())
    finally:
        close_loop(loop)


class TestSuspended:
    """A VM is suspended for a minute. Meanwhile a key is taken away. Right after it
    wakes a request with that key is there already, and the node has not heard from the
    store yet; counted on a clock that stood still, what it knows looks fresh.
    """

    def test_nothing_passes_on_what_was_known_before(self):
        async def steps(desk: Desk, node: RelayNode) -> None:
            assert (await desk.file()).status == 200
            desk.cut_off_from_store()
            desk.store.put("op", "config", config(2, tenants=[]))
            desk.clock.suspended_seconds += 60.0
            refused = await desk.file()
            assert refused.status == 503
            assert error_type(refused) == "keys_unknown"
            assert desk.worker.ran == ["a1"]
            assert not node.is_ready

        play(steps)

    def test_it_serves_again_once_it_has_heard_from_the_store(self):
        async def steps(desk: Desk, node: RelayNode) -> None:
            desk.clock.suspended_seconds += 60.0
            assert not node.is_ready
            await asyncio.sleep(3.0)
            assert (await desk.file()).status == 200

        play(steps)

    def test_the_key_that_was_taken_away_stays_so(self):
        async def steps(desk: Desk, node: RelayNode) -> None:
            desk.cut_off_from_store()
            desk.store.put("op", "config", config(2, tenants=[]))
            desk.clock.suspended_seconds += 60.0
            desk.wires.heal()
            await asyncio.sleep(4.0)
            assert (await desk.file()).status == 401
            assert desk.worker.ran == []

        play(steps)


class TestCutOffFromTheStore:
    @pytest.mark.parametrize(
        "seconds, status", [(1.0, 200), (3.5, 200), (REVOKE_SECONDS, 503)]
    )
    def test_keys_are_used_for_a_part_of_the_bound_only(self, seconds, status):
        """A node's way to the store is cut, without a reset. It may go on for a while;
        after the bound a key that was taken away must let nothing through, though the
        node can't know which one that is.
        """

        async def steps(desk: Desk, node: RelayNode) -> None:
            desk.cut_off_from_store()
            await asyncio.sleep(seconds)
            assert (await desk.file()).status == status

        play(steps)

    def test_a_jump_of_the_time_of_day_changes_nothing(self):
        """The time of day jumps by an hour, as on a VM whose clock is set. A node that
        counted ages on it would refuse all callers, or trust its knowledge for ever.
        """

        async def steps(desk: Desk, node: RelayNode) -> None:
            for jump in (3_600.0, -7_200.0):
                desk.clock.wall_offset += jump
                await asyncio.sleep(1.0)
                assert (await desk.file()).status == 200

        play(steps)
