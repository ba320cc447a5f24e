"""A node's part of what all nodes share, by what it knows of the others."""

from __future__ import annotations

import random

from celerytrail.clock import ManualClock
from celerytrail.http.client import HttpClient
from celerytrail.metrics import Metrics
from celerytrail.nodes.member import Member, State
from celerytrail.nodes.nodes import Nodes
from celerytrail.nodes.signing import PeerKeys
from celerytrail.policies.coldlimits import RankedShares
from celerytrail.relay.nodeorder import JOIN_SECONDS, NodeOrder
from celerytrail.types import Address


def member(number: int, state: State = State.ALIVE) -> Member:
    return Member(
        node=f"vm-{number}-1",
        incarnation=1,
        caller=Address(host=f"10.0.0.{number + 1}", port=1),
        peer=Address(host=f"10.0.0.{number + 1}", port=2),
        state=state,
        vm=f"vm-{number}",
        failure_domain="a",
        region="r",
    )


class Known(Nodes):
    """Knows the members that it is given."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(
            me=member(0),
            keys=PeerKeys(keys=[b"key"]),
            client=HttpClient(),
            clock=clock,
            metrics=Metrics(process="vm-0"),
            rng=random.Random(1),
        )
        self.others: tuple[Member, ...] = ()

    def members(self) -> tuple[Member, ...]:
        return (self.me, *self.others)


def make() -> tuple[NodeOrder, Known, ManualClock]:
    clock = ManualClock(start=100.0)
    nodes = Known(clock)
    return NodeOrder(nodes=nodes, clock=clock), nodes, clock


def cold_part(order: NodeOrder) -> int:
    return RankedShares().n_allowed(44.0, order.position("e1"))


class TestStart:
    """Nodes start together after a power loss, and each knows nobody at first."""

    def test_a_node_that_knows_nobody_takes_no_part_for_itself(self):
        order, _, _ = make()
        assert cold_part(order) == 0
        assert order.running_share() < 0.01

    def test_the_rows_in_the_store_count_before_their_nodes_are_known(self):
        order, nodes, _ = make()
        order.set_n_listed(12)
        assert order.running_share() == 1 / 12
        nodes.others = (member(1), member(2))
        assert order.running_share() == 3 / 12

    def test_the_only_node_has_the_whole(self):
        order, _, _ = make()
        order.set_n_listed(1)
        assert order.running_share() == 1.0
        assert cold_part(order) == 33

    def test_rows_of_vms_that_are_gone_count_for_a_while_only(self):
        # A row stays when its VM is lost, and nobody ever hears of that node.
        order, nodes, clock = make()
        nodes.others = (member(1), member(2))
        order.set_n_listed(12)
        assert order.position("e1").n_nodes == 12
        clock.time += JOIN_SECONDS
        assert order.running_share() == 1.0
        assert order.position("e1").n_nodes == 3

    def test_a_node_that_stays_alone_keeps_to_its_part(self):
        order, _, clock = make()
        order.set_n_listed(12)
        clock.time += 10 * JOIN_SECONDS
        assert order.running_share() == 1 / 12


class TestOwner:
    def test_it_is_the_first_node_that_runs(self):
        order, nodes, _ = make()
        nodes.others = tuple(member(n) for n in range(1, 6))
        owner = order.owner("e1")
        assert owner is not None
        nodes.others = tuple(
            member(n, State.SUSPECT if f"vm-{n}" == owner.vm else State.ALIVE)
            for n in range(1, 6)
        )
        nodes._on_live_change()
        successor = order.owner("e1")
        assert successor is not None
        assert (successor.vm == owner.vm) == (owner.vm == "vm-0")

    def test_endpoints_have_different_owners(self):
        order, nodes, _ = make()
        nodes.others = tuple(member(n) for n in range(1, 6))
        owners = {order.owner(f"e{n}") for n in range(40)}
        assert len(owners) == 6

    def test_dead_nodes_count_in_the_share(self):
        # One that hears nobody may still send requests.
        order, nodes, clock = make()
        clock.time += JOIN_SECONDS
        nodes.others = (member(1), member(2, State.DEAD), member(3, State.SUSPECT))
        assert order.running_share() == 0.5
