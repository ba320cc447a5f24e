"""Versions, outages, freezes and old news in any order: no node ever goes back."""

from __future__ import annotations

import asyncio

import looptime
from hypothesis import given, settings
from hypothesis import strategies as st
from test_configsync import NodeUnderTest, World, document

from celerytrail.types import Address

N_NODES = 3

steps = st.lists(
    st.tuples(
        st.sampled_from(
            ["accept", "accept", "down", "objects down", "up", "freeze", "thaw"]
            + ["old news", "false news", "stale", "restart", "deaf", "wait"]
        ),
        st.integers(0, N_NODES - 1),
        st.integers(0, 30),
    ),
    max_size=15,
)


async def run(plan):
    world = World()
    frozen = set()
    heads = []
    await world.add(n=N_NODES)
    logs = [node.applied for node in world.nodes]
    for action, number, amount in plan:
        node = world.nodes[number]
        if action == "accept" and not (world.table.is_down or world.objects.is_down):
            world.table.n_stale_reads = 0
            heads.append(await world.accept(document(f"o{len(heads)}")))
        elif action == "down":
            world.table.is_down = True
        elif action == "objects down":
            world.objects.is_down = True
        elif action == "up":
            world.table.is_down = world.objects.is_down = False
        elif action == "freeze" and number not in frozen:
            frozen.add(number)
            await node.sync.stop()
        elif action == "thaw" and number in frozen:
            frozen.discard(number)
            await node.sync.start()
        elif action == "old news" and heads:
            old = heads[amount % len(heads)]
            node.sync.hear(old.version, old.root, world.nodes[amount % 3].address)
        elif action == "false news":
            node.sync.hear(amount, "f" * 64, Address(host="10.9.9.9", port=1))
        elif action == "stale":
            world.table.n_stale_reads = amount
            world.table.stale_rows = dict(world.table.rows)
        elif action == "restart" and number not in frozen:
            await node.stop()
            world.nodes[number] = fresh = NodeUnderTest(world, number, N_NODES)
            logs.append(fresh.applied)
            await fresh.server.start(fresh.address)
            await fresh.sync.start()
        elif action == "deaf":
            world.is_gossiping = not world.is_gossiping
        await asyncio.sleep(amount / 10)
    world.table.is_down = world.objects.is_down = False
    world.table.n_stale_reads = 0
    for number in frozen:
        await world.nodes[number].sync.start()
    await asyncio.sleep(20)
    for node in world.nodes:
        assert node.version == len(heads)
        if heads:
            assert node.document == document(f"o{len(heads) - 1}")
            assert node.sync.root == heads[-1].root
        await node.stop()
    for applied in logs:
        assert applied == sorted(set(applied))


class TestFuzz:
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(steps)
    def test_every_node_only_moves_upwards_and_arrives(self, plan):
        """Nodes freeze, restart and hear old and false news while versions come.

        A user would see an accepted change undone, or never done, at some nodes.
        """
        loop = looptime.new_event_loop()
        loop.setup_looptime(start=0, noop_cycles=0)
        try:
            loop.run_until_complete(run(plan))
        finally:
            loop.close()
