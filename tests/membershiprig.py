"""A group of state machines on a clock that tests move."""

from __future__ import annotations

import random

from celerytrail.clock import ManualClock
from celerytrail.nodes.events import ExchangeWanted, MemberChanged
from celerytrail.nodes.member import Member, State
from celerytrail.nodes.membership import Membership
from celerytrail.nodes.timing import Timing
from celerytrail.nodes.wire import MAX_DATAGRAM_BYTES, decode_datagram, encode_datagram
from celerytrail.types import Address

TIMING = Timing()


def make_member(number: int, **changes) -> Member:
    fields = {
        "node": f"node-{number}",
        "incarnation": 1_000_000,
        "caller": Address(host="127.0.0.1", port=10_000 + number),
        "peer": Address(host="127.0.0.1", port=20_000 + number),
        "vm": f"vm-{number}",
        "failure_domain": f"fd-{number % 3}",
        "region": f"r-{number % 2}",
    }
    return Member(**{**fields, **changes})


class Group:
    """A few state machines, with a fake in place of the datagrams between them."""

    def __init__(self, n_nodes: int, *, seed: int = 1, drop: float = 0.0):
        self.clock = ManualClock(start=100.0, wall_offset=1_700_000_000.0)
        self.rng = random.Random(seed)
        self.drop = drop
        self.events: dict[str, list] = {}
        self.stopped: set[str] = set()
        self.cut: frozenset[str] = frozenset()
        self.offsets: dict[str, float] = {}
        self.n_bytes = 0
        self.nodes: dict[str, Membership] = {}
        self.by_address: dict[Address, Membership] = {}
        for number in range(n_nodes):
            self.add(make_member(number))

    def add(self, me: Member) -> Membership:
        first = next(iter(self.nodes.values()), None)
        node = Membership(
            me=me,
            timing=TIMING,
            rng=random.Random(self.rng.random()),
            now=self.clock.time,
            wall=self.clock.wall(),
        )
        if first is not None:
            node.set_candidates([first.me.peer])
            self.exchange(node, first)
        self.nodes[me.node] = node
        self.by_address[me.peer] = node
        self.events.setdefault(me.node, [])
        return node

    def wall_at(self, name: str) -> float:
        return self.clock.wall() + self.offsets.get(name, 0.0)

    def exchange(self, one: Membership, other: Membership) -> None:
        now, wall = self.clock.monotonic(), self.clock.wall()
        for item in one.items():
            other.apply(item, one.me.node, now, wall, wall)
        for item in other.items():
            one.apply(item, other.me.node, now, wall, wall)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TIMING.tick_seconds)):
            self.clock.advance(TIMING.tick_seconds)
            for name, node in list(self.nodes.items()):
                if name not in self.stopped:
                    node.step(self.clock.monotonic(), self.wall_at(name))
            self._deliver()

    def run_until(self, condition, seconds: float) -> float:
        started_at = self.clock.time
        while not condition():
            assert self.clock.time < started_at + seconds, "it never came about"
            self.run(TIMING.tick_seconds)
        return self.clock.time - started_at

    def _deliver(self) -> None:
        for _ in range(20):
            batch = []
            for name, node in self.nodes.items():
                if name not in self.stopped:
                    batch += [(node, outgoing) for outgoing in node.take_outgoing()]
            if not batch:
                break
            for node, outgoing in batch:
                self._deliver_one(node, outgoing)
        for name, node in self.nodes.items():
            for event in node.take_events():
                self.events[name].append(event)
                if isinstance(event, ExchangeWanted):
                    self.exchange(node, self.by_address[event.peer])

    def _deliver_one(self, sender: Membership, outgoing) -> None:
        data = encode_datagram(outgoing.datagram)
        assert len(data) + 16 <= MAX_DATAGRAM_BYTES
        self.n_bytes += len(data) + 16 + 28
        target = self.by_address.get(outgoing.address)
        if target is None or target.me.node in self.stopped:
            return
        if (sender.me.node in self.cut) != (target.me.node in self.cut):
            return
        if self.rng.random() < self.drop:
            return
        target.receive(
            decode_datagram(data),
            sender.me.peer,
            self.clock.monotonic(),
            self.wall_at(target.me.node),
        )

    def state_at(self, holder: str, node: str) -> State | None:
        for member in self.nodes[holder].members():
            if member.node == node:
                return member.state
        return None

    def all_hold(self, node: str, *states: State) -> bool:
        holders = [name for name in self.nodes if name not in self.stopped]
        return all(self.state_at(holder, node) in states for holder in holders)

    def is_whole(self) -> bool:
        names = [name for name in self.nodes if name not in self.stopped]
        return all(self.all_hold(name, State.ALIVE) for name in names)

    def told(self, kind: type) -> list:
        return [
            event
            for told in self.events.values()
            for event in told
            if isinstance(event, kind)
        ]

    def false_suspicions(self) -> int:
        return sum(
            event.member.state is State.SUSPECT
            and event.member.node not in self.stopped
            for event in self.told(MemberChanged)
        )
