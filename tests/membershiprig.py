"""A group of membership state machines on a manual clock."""

from __future__ import annotations

import random

from celerytrail.clock import ManualClock
from celerytrail.nodes.events import ExchangeNeeded, MemberChanged
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
    """Connects membership state machines by simulated datagrams."""

    def __init__(self, n_nodes: int, *, seed: int = 1, drop_rate: float = 0.0):
        self.clock = ManualClock(start=100.0, wall_offset=1_700_000_000.0)
        self.rng = random.Random(seed)
        self.drop_rate = drop_rate
        self.events: dict[str, list] = {}
        self.stopped: set[str] = set()
        self.partition: frozenset[str] = frozenset()
        self.wall_offsets: dict[str, float] = {}
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
        return self.clock.wall() + self.wall_offsets.get(name, 0.0)

    def exchange(self, first: Membership, second: Membership) -> None:
        now, wall = self.clock.monotonic(), self.clock.wall()
        for update in first.snapshot():
            second.apply(update, first.me.node, now, wall, wall)
        for update in second.snapshot():
            first.apply(update, second.me.node, now, wall, wall)

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
            assert self.clock.time < started_at + seconds, "condition not met in time"
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
                self._deliver_datagram(node, outgoing)
        for name, node in self.nodes.items():
            for event in node.take_events():
                self.events[name].append(event)
                if isinstance(event, ExchangeNeeded):
                    self.exchange(node, self.by_address[event.peer])

    def _deliver_datagram(self, sender: Membership, outgoing) -> None:
        data = encode_datagram(outgoing.datagram)
        assert len(data) + 16 <= MAX_DATAGRAM_BYTES
        self.n_bytes += len(data) + 16 + 28
        target = self.by_address.get(outgoing.address)
        if target is None or target.me.node in self.stopped:
            return
        if (sender.me.node in self.partition) != (target.me.node in self.partition):
            return
        if self.rng.random() < self.drop_rate:
            return
        target.receive(
            decode_datagram(data).unwrap(),
            sender.me.peer,
            self.clock.monotonic(),
            self.wall_at(target.me.node),
        )

    def state_at(self, observer: str, node: str) -> State | None:
        for member in self.nodes[observer].members():
            if member.node == node:
                return member.state
        return None

    def all_see(self, node: str, *states: State) -> bool:
        observers = [name for name in self.nodes if name not in self.stopped]
        return all(self.state_at(observer, node) in states for observer in observers)

    def all_alive(self) -> bool:
        names = [name for name in self.nodes if name not in self.stopped]
        return all(self.all_see(name, State.ALIVE) for name in names)

    def events_of(self, event_type: type) -> list:
        return [
            event
            for events in self.events.values()
            for event in events
            if isinstance(event, event_type)
        ]

    def n_false_suspicions(self) -> int:
        return sum(
            event.member.state is State.SUSPECT
            and event.member.node not in self.stopped
            for event in self.events_of(MemberChanged)
        )
