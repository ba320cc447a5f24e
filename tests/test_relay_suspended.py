"""A node whose VM is suspended or disconnected from the store, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from celerytrail.clock import LoopClock
from celerytrail.http.client import HttpClient
from celerytrail.http.messages import Response
from celerytrail.platform.nodesettings import RelaySettings
from celerytrail.relay.node import RelayNode
from celerytrail.types import Address
from scenarios.memorynetwork import MemoryFabric
from scenarios.virtualtime import close_loop, new_loop
from standins.rowstore import RowStore
from standins.worker import PlainWorker
from tests.relayrig import KEY, config, error_type

HOST = "10.1.0.1"
REVOKE_SECONDS = 5.0


class Deployment:
    """A node, its store and one endpoint on a network that can be cut."""

    def __init__(self) -> None:
        self.wires = MemoryFabric(rng=random.Random(1))
        self.store = RowStore(network=self.wires.network_of("store"))
        self.worker = PlainWorker(
            worker_id="d1", network=self.wires.network_of("worker")
        )
        self.clock = LoopClock()
        self.client = HttpClient(
            network=self.wires.network_of("callers"), id_header=None
        )
        self.callers = Address(host=HOST, port=8740)
        self.n_requests = 0

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
            network=self.wires.network_of("vm-1"),
            rng=random.Random(1),
            clock=self.clock,
        )
        await node.start()
        return node

    def cut_off_from_store(self) -> None:
        self.wires.cut("vm-1", "store")
        self.wires.cut("store", "vm-1")

    async def send_request(self) -> Response:
        """Send a request for the unsafe route with the organisation's key."""
        self.n_requests += 1
        headers = {
            "host": "desk.example",
            "authorization": f"Bearer {KEY}",
            "x-attempt-id": f"a{self.n_requests}",
            "x-time-budget-ms": "3000",
        }
        answered = await self.client.request(
            self.callers, "POST", "/file/1", headers=headers
        )
        return answered.unwrap()


def run_deployment(test: Callable[[Deployment, RelayNode], Awaitable[None]]) -> None:
    """Run a test's steps in virtual time."""

    async def steps() -> None:
        deployment = Deployment()
        node = await deployment.start()
        await asyncio.sleep(2.0)
        await test(deployment, node)
        await node.close()

    loop = new_loop()
    try:
        loop.run_until_complete(steps())
    finally:
        close_loop(loop)


class TestSuspended:
    """A VM is suspended for a minute, during which a key is revoked. A request with
    that key arrives right after the VM resumes and before the store answers. On a
    clock that stops during suspension the node's rows would look new.
    """

    def test_requests_are_refused_until_the_store_answers(self):
        async def steps(deployment: Deployment, node: RelayNode) -> None:
            assert (await deployment.send_request()).status == 200
            deployment.cut_off_from_store()
            deployment.store.put("op", "config", config(2, tenants=[]))
            deployment.clock.suspended_seconds += 60.0
            refused = await deployment.send_request()
            assert refused.status == 503
            assert error_type(refused) == "keys_unknown"
            assert deployment.worker.ran == ["a1"]
            assert not node.is_ready

        run_deployment(steps)

    def test_the_node_serves_again_once_the_store_answers(self):
        async def steps(deployment: Deployment, node: RelayNode) -> None:
            deployment.clock.suspended_seconds += 60.0
            assert not node.is_ready
            await asyncio.sleep(3.0)
            assert (await deployment.send_request()).status == 200

        run_deployment(steps)

    def test_the_revoked_key_stays_revoked(self):
        async def steps(deployment: Deployment, node: RelayNode) -> None:
            deployment.cut_off_from_store()
            deployment.store.put("op", "config", config(2, tenants=[]))
            deployment.clock.suspended_seconds += 60.0
            deployment.wires.heal()
            await asyncio.sleep(4.0)
            assert (await deployment.send_request()).status == 401
            assert deployment.worker.ran == []

        run_deployment(steps)


class TestCutOffFromTheStore:
    @pytest.mark.parametrize(
        "seconds, status", [(1.0, 200), (3.5, 200), (REVOKE_SECONDS, 503)]
    )
    def test_keys_are_used_for_a_part_of_the_bound_only(self, seconds, status):
        """The connection to the store is cut without a reset. The node may serve on for
        a while; after the bound no revoked key may be accepted, and the node can't
        know which keys are revoked.
        """

        async def steps(deployment: Deployment, node: RelayNode) -> None:
            deployment.cut_off_from_store()
            await asyncio.sleep(seconds)
            assert (await deployment.send_request()).status == status

        run_deployment(steps)

    def test_a_jump_of_the_wall_clock_changes_nothing(self):
        """The wall clock jumps by an hour, as on a VM whose clock is set. A node that
        measured ages on it would refuse all callers, or use old rows for ever.
        """

        async def steps(deployment: Deployment, node: RelayNode) -> None:
            for jump in (3_600.0, -7_200.0):
                deployment.clock.wall_offset += jump
                await asyncio.sleep(1.0)
                assert (await deployment.send_request()).status == 200

        run_deployment(steps)
