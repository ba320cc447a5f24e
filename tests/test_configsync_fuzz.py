"""Versions, outages, freezes and old versions in any order: no node ever reverts."""

from __future__ import annotations

import asyncio

import looptime
from hypothesis import given, settings
from hypothesis import strategies as st
from test_configsync import Cluster, NodeUnderTest, document

from celerytrail.types import Address

N_NODES = 3

steps = st.lists(
    st.tuples(
        st.sampled_from(
            ["accept", "accept", "down", "objects down", "up", "freeze", "thaw"]
            + ["old version", "invented version", "stale", "restart", "deaf", "wait"]
        ),
        st.integers(0, N_NODES - 1),
        st.integers(0, 30),
    ),
    max_size=15,
)


async def run(plan):
    cluster = Cluster()
    frozen = set()
    heads = []
    await cluster.add(n=N_NODES)
    applied_versions = [node.applied for node in cluster.nodes]
    for action, number, amount in plan:
        node = cluster.nodes[number]
        if action == "accept" and not (
            cluster.table.is_down or cluster.objects.is_down
        ):
            cluster.table.n_stale_reads = 0
            heads.append(await cluster.accept(document(f"o{len(heads)}")))
        elif action == "down":
            cluster.table.is_down = True
        elif action == "objects down":
            cluster.objects.is_down = True
        elif action == "up":
            cluster.table.is_down = cluster.objects.is_down = False
        elif action == "freeze" and number not in frozen:
            frozen.add(number)
            await node.sync.stop()
        elif action == "thaw" and number in frozen:
            frozen.discard(number)
            await node.sync.start()
        elif action == "old version" and heads:
            old = heads[amount % len(heads)]
            node.sync.record_version(
                old.version, old.root, cluster.nodes[amount % 3].address
            )
        elif action == "invented version":
            node.sync.record_version(amount, "f" * 64, Address(host="10.9.9.9", port=1))
        elif action == "stale":
            cluster.table.n_stale_reads = amount
            cluster.table.stale_rows = dict(cluster.table.rows)
        elif action == "restart" and number not in frozen:
            await node.stop()
            cluster.nodes[number] = restarted = NodeUnderTest(cluster, number, N_NODES)
            applied_versions.append(restarted.applied)
            await restarted.server.start(restarted.address)
            await restarted.sync.start()
        elif action == "deaf":
            cluster.is_gossiping = not cluster.is_gossiping
        await asyncio.sleep(amount / 10)
    cluster.table.is_down = cluster.objects.is_down = False
    cluster.table.n_stale_reads = 0
    for number in frozen:
        await cluster.nodes[number].sync.start()
    await asyncio.sleep(20)
    for node in cluster.nodes:
        assert node.version == len(heads)
        if heads:
            assert node.document == document(f"o{len(heads) - 1}")
            assert node.sync.root == heads[-1].root
        await node.stop()
    for applied in applied_versions:
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
