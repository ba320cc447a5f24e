"""What one node alone knows of who leaves holds at the others."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from celerytrail import wiring
from celerytrail.clock import LoopClock
from celerytrail.leaving import LeavingBoard
from celerytrail.nodes.member import Member
from celerytrail.nodes.table import MemberTable
from celerytrail.types import Address

ADDRESS = Address(host="10.0.0.1", port=1)


class FakeNodes:
    """Hands news straight to the other node, where it is news there."""

    def __init__(self, clock):
        self.clock = clock
        self.other = None
        self.callbacks = []
        self.table = MemberTable(
            me=Member(node="n", incarnation=1, caller=ADDRESS, peer=ADDRESS)
        )

    def on_leaving(self, callback):
        self.callbacks.append(callback)

    def announce_leaving(self, endpoint, at):
        for nodes in (self, self.other):
            nodes.hear(endpoint, at)

    def hear(self, endpoint, at):
        now, wall = self.clock.monotonic(), self.clock.wall()
        if self.table.put_endpoint(endpoint, at, now, wall):
            for callback in self.callbacks:
                callback(endpoint, at)


@pytest.mark.looptime
class TestOneSourceAlone:
    async def test_long_leaving_is_not_forgotten(self):
        """One node alone can read the VM list, and the endpoint takes an hour to
        leave. Were the others told only once, they would send it new work after some
        minutes. When the list takes its word back, they follow.
        """
        clock = LoopClock()
        first, second = (
            SimpleNamespace(clock=clock, leaving=LeavingBoard()) for _ in range(2)
        )
        one, other = FakeNodes(clock), FakeNodes(clock)
        one.other, other.other = other, one
        wiring.share_leaving(first, one)
        wiring.share_leaving(second, other)
        tasks = [
            asyncio.create_task(wiring.keep_telling(base, nodes))
            for base, nodes in ((first, one), (second, other))
        ]
        first.leaving.note("engine-1", "vm_list", clock.wall())
        for _ in range(360):
            await asyncio.sleep(10.0)
            assert second.leaving.is_leaving("engine-1", clock.wall())
        first.leaving.withdraw("engine-1", "vm_list")
        await asyncio.sleep(wiring.GOSSIP_WORD_SECONDS + 200.0)
        assert not second.leaving.is_leaving("engine-1", clock.wall())
        for task in tasks:
            task.cancel()
