"""A leaving endpoint that only one node can observe is known to all nodes."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from celerytrail import wiring
from celerytrail.clock import LoopClock
from celerytrail.leaving import LeavingTracker
from celerytrail.nodes.member import Member
from celerytrail.nodes.table import MemberTable
from celerytrail.types import Address

ADDRESS = Address(host="10.0.0.1", port=1)


class FakeNodes:
    """Passes updates directly to the other node, which drops those it knows."""

    def __init__(self, clock):
        self.clock = clock
        self.peer_nodes = None
        self.callbacks = []
        self.table = MemberTable(
            me=Member(node="n", incarnation=1, caller=ADDRESS, peer=ADDRESS)
        )

    def on_leaving(self, callback):
        self.callbacks.append(callback)

    def announce_leaving(self, endpoint, at):
        for nodes in (self, self.peer_nodes):
            nodes.receive(endpoint, at)

    def receive(self, endpoint, at):
        now, wall = self.clock.monotonic(), self.clock.wall()
        if self.table.put_endpoint(endpoint, at, now, wall):
            for callback in self.callbacks:
                callback(endpoint, at)


@pytest.mark.looptime
class TestSingleSource:
    async def test_long_departure_does_not_expire(self):
        """Only one node can read the VM list, and the endpoint takes an hour to leave.
        If it were announced only once, the others would send it new work after some
        minutes. When the list withdraws the departure, the others follow.
        """
        clock = LoopClock()
        first, second = (
            SimpleNamespace(clock=clock, leaving=LeavingTracker()) for _ in range(2)
        )
        first_nodes, second_nodes = FakeNodes(clock), FakeNodes(clock)
        first_nodes.peer_nodes, second_nodes.peer_nodes = second_nodes, first_nodes
        wiring.share_leaving(first, first_nodes)
        wiring.share_leaving(second, second_nodes)
        tasks = [
            asyncio.create_task(wiring.reannounce_leaving(base, nodes))
            for base, nodes in ((first, first_nodes), (second, second_nodes))
        ]
        first.leaving.record("engine-1", "vm_list", clock.wall())
        for _ in range(360):
            await asyncio.sleep(10.0)
            assert second.leaving.is_leaving("engine-1", clock.wall())
        first.leaving.withdraw("engine-1", "vm_list")
        await asyncio.sleep(wiring.GOSSIP_ANNOUNCEMENT_SECONDS + 200.0)
        assert not second.leaving.is_leaving("engine-1", clock.wall())
        for task in tasks:
            task.cancel()
