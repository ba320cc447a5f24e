"""The order of waiting requests: decisions, messages and the room of each node."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

import msgspec
import pytest

from celerytrail.metrics import Metrics
from celerytrail.model import EndpointState, Prompt, Registration
from celerytrail.policies import waiting as policy
from celerytrail.policies.decodetimes import DecodeTimes
from celerytrail.policies.endpointspeeds import EndpointSpeeds
from celerytrail.policies.engineloads import EngineLoad, EngineLoads, Run
from celerytrail.policies.placing import Demand, LeastCostPlacement
from celerytrail.policies.prefillrates import PrefillRates
from celerytrail.policies.versionbinding import UNBOUND, VersionBinding
from celerytrail.policies.waiting import (
    Assignment,
    Returning,
    ReturningCallers,
    SharedOrder,
    UnusedTurns,
    Waiting,
    WaitingTable,
    find_turn,
    organisation_tag,
    overtaken,
    return_key,
)
from celerytrail.relay.engineplacer import EnginePlacer
from celerytrail.relay.liverun import LiveRun
from celerytrail.relay.peerupdates import MAX_WAITING_PER_DATAGRAM, PeerUpdates
from celerytrail.relay.updatemessages import NodeUpdate, RunEntry, WaitingEntry
from celerytrail.relay.waitingroom import WaitingRoom
from celerytrail.types import Address

SERVICE = "models"


def request(number: int = 0, now: float = 0.0, **fields: object) -> Waiting:
    """Return a request that arrives at ``now`` and should have its event in 4 s."""
    known: dict[str, object] = {
        "request_id": f"r{number:03}",
        "service": SERVICE,
        "organisation": "org",
        "priority": 1,
        "waiting_since": now,
        "target_at": now + 4.0,
        "gives_up_at": now + 39.0,
        "n_tokens": 3_000,
        "n_prefill_tokens": 3_000,
        "n_remaining_tokens": 700,
        **fields,
    }
    return Waiting(**known)  # type: ignore[arg-type]


def engine(name: str = "e1", *runs: Run, n_memory_tokens: int = 4_600) -> EngineLoad:
    """Return an engine that by default has memory for one request."""
    reg = Registration(
        endpoint=name,
        service=SERVICE,
        address=Address(host="10.0.0.1", port=1),
        failure_domain="a",
        n_slots=24,
        state=EndpointState.READY,
    )
    return EngineLoad(
        reg=reg, n_slots=24, n_memory_tokens=n_memory_tokens, runs=tuple(runs)
    )


def run_of(waiting: Waiting, endpoint: str, **fields: object) -> Run:
    known: dict[str, object] = {
        "run_id": waiting.request_id,
        "endpoint": endpoint,
        "n_prompt_tokens": waiting.n_tokens,
        "n_expected_tokens": waiting.n_remaining_tokens,
        "organisation": waiting.organisation,
        "priority": waiting.priority,
        **fields,
    }
    return Run(**known)  # type: ignore[arg-type]


def demand_of(waiting: Waiting) -> Demand:
    return Demand(
        n_tokens=waiting.n_tokens,
        n_prefill_tokens=waiting.n_prefill_tokens,
        n_remaining_tokens=waiting.n_remaining_tokens,
        failure_domain="a",
    )


def assignment(*loads: EngineLoad) -> Assignment:
    return Assignment(loads=loads, policy=LeastCostPlacement(), rng=random.Random(1))


def turn_of(own: Waiting, ordered: list[Waiting], *loads: EngineLoad, now: float = 0.0):
    return find_turn(
        own,
        ordered,
        demand_of(own),
        assignment(*loads),
        choose=lambda left: LeastCostPlacement().choose(
            left, demand_of(own), random.Random(1)
        ),
        is_ignored=lambda request_id: False,
        now=now,
    )


def ids(requests: list[Waiting]) -> list[str]:
    return [waiting.request_id for waiting in requests]


class TestOrder:
    def test_urgent_requests_come_first(self):
        # Guards against urgent requests that wait behind older, less urgent ones.
        urgent = request(1, now=2.0, priority=0)
        other = request(2, now=0.0, priority=2)
        assert SharedOrder().order([other, urgent], {}, 2.5) == [urgent, other]

    def test_requests_that_are_late_come_last(self):
        # Guards against capacity for requests that can only be late while others, which
        # can still be in time, become late behind them.
        late = request(1, now=0.0, priority=0)
        other = request(2, now=3.0, priority=2)
        assert SharedOrder().order([late, other], {}, 3.9) == [other, late]
        assert SharedOrder().order([late, other], {}, 3.5) == [late, other]

    def test_requests_of_one_millisecond_are_ordered_by_id(self):
        # Guards against nodes that order by differences below what messages hold.
        first, second = request(1, now=1.0002), request(2, now=1.0)
        assert SharedOrder().order([second, first], {}, 1.0) == [first, second]

    def test_the_order_does_not_depend_on_how_the_requests_were_received(self):
        # Guards against nodes that decide differently on the same requests.
        rng = random.Random(1)
        requests = [
            request(
                number,
                now=rng.choice((0.0, 0.5, 1.0)),
                priority=rng.randrange(3),
                organisation=rng.choice("abc"),
                by_age_at=rng.choice((0.5, math.inf)),
            )
            for number in range(60)
        ]
        expected = SharedOrder().order(requests, {"a": 3}, 1.5)
        assert sorted(ids(expected)) == sorted(ids(requests))
        for _ in range(20):
            rng.shuffle(requests)
            assert SharedOrder().order(requests, {"a": 3}, 1.5) == expected


class TestOrganisations:
    def test_a_large_organisation_leaves_room_to_small_ones(self):
        # Guards against one large organisation that takes the capacity of twenty small
        # ones because its requests came first.
        large = [request(number, now=0.0, organisation="large") for number in range(60)]
        small = [
            request(100 + number, now=0.5, organisation=f"small-{number}")
            for number in range(20)
        ]
        first = SharedOrder().order([*large, *small], {}, 1.0)[:21]
        counts = Counter(waiting.organisation for waiting in first)
        assert counts["large"] == 1
        assert len(counts) == 21

    def test_running_requests_count(self):
        # Guards against an organisation that gets more only because its runs are long.
        busy = request(1, now=0.0, organisation="busy")
        idle = request(2, now=0.5, organisation="idle")
        assert SharedOrder().order([busy, idle], {"busy": 1}, 1.0) == [idle, busy]

    def test_more_urgent_requests_of_the_organisation_count(self):
        # Guards against an organisation that uses its priority and its share as well.
        urgent = request(1, now=0.0, organisation="a", priority=0)
        first = request(2, now=0.0, organisation="a")
        second = request(3, now=0.5, organisation="b")
        ordered = SharedOrder().order([urgent, first, second], {}, 1.0)
        assert ordered == [urgent, second, first]

    def test_nothing_is_kept_for_an_organisation_that_does_not_wait(self):
        # Guards against capacity that stays free while requests wait.
        own = request(1, organisation="large")
        ordered = SharedOrder().order([own], {"large": 90, "small": 0}, 0.0)
        assert turn_of(own, ordered, engine()).load is not None

    def test_tags_are_short_and_differ(self):
        # Guards against names of organisations that don't fit into datagrams.
        tags = {organisation_tag(f"organisation {n}" * 20) for n in range(100)}
        assert len(tags) == 100
        assert {len(tag) for tag in tags} == {4}
        assert organisation_tag(None) == ""


class TestPassedOver:
    def test_a_request_is_ordered_by_age_after_a_quarter_of_its_target(self):
        # Guards against a large organisation that gets nothing while small ones send.
        passed = request(1, now=0.0, organisation="large").passed_over(0.5)
        small = request(2, now=0.6, organisation="small")
        running = {"large": 9}
        assert SharedOrder().order([passed, small], running, 1.4) == [small, passed]
        assert SharedOrder().order([passed, small], running, 1.5) == [passed, small]

    def test_only_the_first_time_counts(self):
        # Guards against a request that waits longer each time that it is passed over.
        passed = request(1).passed_over(0.5)
        assert passed.passed_over(1.2) == passed

    def test_more_urgent_requests_still_come_first(self):
        # Guards against less urgent requests that overtake urgent ones by their age.
        passed = request(1, by_age_at=0.1)
        urgent = request(2, now=1.0, priority=0)
        assert SharedOrder().order([passed, urgent], {}, 1.5) == [urgent, passed]

    def test_a_large_request_is_not_passed_over_by_small_ones_for_ever(self):
        # Guards against small requests that take each room before it is large enough.
        large = request(1, by_age_at=1.0)
        small = request(2, now=0.9, n_tokens=500, n_prefill_tokens=500)
        ordered = [large, small]
        load = engine("e1", run_of(request(3), "e1", is_prefilling=False))
        load = replace(load, n_memory_tokens=6_000)
        assert turn_of(small, ordered, load, now=0.9).load is not None
        assert turn_of(small, ordered, load, now=1.0).load is None
        # The room that is kept is one engine's.
        other = replace(load, reg=engine("e2").reg)
        assert turn_of(small, ordered, load, other, now=1.0).load is not None

    def test_the_reasons_of_overtakings_are_told_apart(self):
        own = request(1, now=3.0, priority=1)
        ordered = [
            request(2, priority=0),
            own,
            request(3, now=2.0, organisation="large"),
            request(4, now=2.0, priority=2),
            request(5, now=0.0),
            request(6, now=4.0),
        ]
        counts = overtaken(own, ordered, 4.5)
        assert counts == {"no_room": 1, "organisation": 1, "priority": 1, "late": 1}


class TestTurn:
    def test_capacity_goes_to_those_ahead(self):
        # Guards against requests that take the capacity of those ahead of them.
        first, second, third = (request(number, now=number / 10) for number in range(3))
        ordered = [first, second, third]
        loads = (engine("e1"), engine("e2"))
        assert turn_of(first, ordered, *loads).load is not None
        assert turn_of(second, ordered, *loads).load is not None
        turn = turn_of(third, ordered, *loads)
        assert turn.load is None
        assert turn.n_ahead == 2
        assert turn.assigned == (first.request_id, second.request_id)

    def test_a_request_that_fits_nowhere_does_not_stop_smaller_ones(self):
        # Guards against engines that stay idle behind one request that is too large.
        large = request(1, n_tokens=9_000)
        small = request(2, now=0.1)
        assert turn_of(small, [large, small], engine()).load is not None

    def test_a_decision_with_hundreds_ahead_is_bounded(self):
        # Guards against a node whose loop stands still when a third of its engines
        # returns while hundreds of requests wait.
        requests = [request(number) for number in range(300)]
        loads = [engine(f"e{n}", n_memory_tokens=100_000) for n in range(30)]
        turn = turn_of(requests[-1], requests, *loads)
        assert turn.load is None
        assert len(turn.assigned) == policy.MAX_ASSIGNED

    def test_full_engines_are_looked_at_once(self):
        # Guards against decisions of tens of milliseconds while many requests wait.
        class CountingPlacement(LeastCostPlacement):
            n_looked_at = 0

            def choose(self, loads, demand, rng):
                self.n_looked_at += len(loads)
                return super().choose(loads, demand, rng)

        rng = random.Random(1)
        counting = CountingPlacement()
        requests = [
            request(
                number,
                now=number / 100,
                n_tokens=rng.randrange(2_000, 3_000),
                n_remaining_tokens=rng.randrange(500, 700),
            )
            for number in range(60)
        ]
        engines = [
            engine(f"e{n}", run_of(request(900 + n), f"e{n}", is_prefilling=False))
            for n in range(30)
        ]
        turn = find_turn(
            requests[-1],
            requests,
            demand_of(requests[-1]),
            Assignment(loads=[*engines, engine()], policy=counting, rng=rng),
            choose=lambda left: None,
            is_ignored=lambda request_id: False,
            now=0.6,
        )
        assert len(turn.assigned) == 1
        assert counting.n_looked_at <= 31 + 60

    def test_capacity_is_not_kept_for_a_request_that_does_not_take_it(self):
        # Guards against capacity that is kept for a node which may not send there.
        unused = UnusedTurns()
        assert [unused.record(["r1"], now / 20) for now in range(6)] == [0] * 5 + [1]
        assert unused.is_ignored("r1", 0.3)
        assert not unused.is_ignored("r1", 0.25 + policy.IGNORED_SECONDS)

    def test_only_decisions_in_succession_count_as_unused(self):
        # Guards against requests that are passed over as they had room long ago.
        unused = UnusedTurns()
        unused.record(["r1"], 0.0)
        assert unused.record(["r1"], 0.9) == 0
        unused.record([], 1.0)
        assert unused.record(["r1"], 1.2) == 0


class TestTable:
    def test_requests_of_a_silent_node_expire(self):
        # Guards against capacity that is kept for requests of a node that is gone.
        table = WaitingTable(own="me")
        table.put("other", request(1), 0.0)
        table.put("me", request(2), 0.0)
        assert len(table.of_service(SERVICE, 1.5)) == 2
        assert ids(table.of_service(SERVICE, 1.7)) == ["r002"]
        table.expire(1.7)
        assert len(table) == 1

    def test_many_requests_are_repeated_less_often_and_live_longer(self):
        # Guards against control messages that exceed a node's budget in a burst, and
        # against requests that expire between two announcements then.
        table = WaitingTable(own="me")
        for number in range(64):
            table.put("other", request(number), 0.0)
        assert table.period_seconds == 64 / policy.MAX_REPEATS_PER_SECOND == 2.0
        assert len(table.of_service(SERVICE, 6.3)) == 64
        assert table.of_service(SERVICE, 6.5) == []

    def test_requests_whose_callers_gave_up_expire(self):
        # Guards against capacity for requests that nobody waits for.
        table = WaitingTable(own="me")
        table.put("me", request(1, gives_up_at=1.0), 0.0)
        assert table.of_service(SERVICE, 1.0) == []

    def test_a_delayed_announcement_does_not_revive_a_request(self):
        # Guards against datagrams that arrive in another order.
        table = WaitingTable(own="me")
        table.put("other", request(1), 0.0)
        table.remove("r001", 1.0)
        table.put("other", request(1), 1.1)
        assert table.of_service(SERVICE, 1.1) == []
        table.expire(1.3)
        table.put("other", request(1), 1.3)
        assert len(table.of_service(SERVICE, 1.3)) == 1


class TestReturningCallers:
    PROMPT = Prompt(service=SERVICE, shared_parts=("s1", "s2"), own_part="own")

    def test_the_key_tells_callers_apart(self):
        # Guards against a position that goes to another organisation or prompt.
        key = return_key("org", "draft", self.PROMPT)
        assert len(key) == policy.RETURN_KEY_BYTES
        assert key == return_key("org", "draft", self.PROMPT)
        others = {
            return_key("org2", "draft", self.PROMPT),
            return_key(None, "draft", self.PROMPT),
            return_key("org", "check", self.PROMPT),
            return_key("org", "draft", replace(self.PROMPT, own_part="")),
            return_key("org", "draft", replace(self.PROMPT, shared_parts=("s1s2",))),
        }
        assert len(others | {key}) == 6

    def test_each_caller_returns_once(self):
        # Guards against one refusal that moves all later requests forward.
        callers = ReturningCallers()
        callers.put(Returning(key=b"k", waiting_since=1.0, returns_at=2.0))
        callers.put(Returning(key=b"k", waiting_since=0.5, returns_at=2.0))
        found = callers.take(b"k", 2.0)
        assert found is not None
        assert found.waiting_since == 0.5
        assert callers.take(b"k", 2.0) is not None
        assert callers.take(b"k", 2.0) is None

    def test_callers_are_forgotten(self):
        # Guards against memory that grows with each refusal.
        callers = ReturningCallers(n_max=3)
        for number in range(5):
            key = bytes([number])
            callers.put(Returning(key=key, waiting_since=0.0, returns_at=number))
        assert len(callers) == 3
        callers.expire(3.0 + policy.RETURN_SLACK_SECONDS)
        assert len(callers) == 1
        assert callers.take(b"\x03", 9.0) is None
        assert callers.take(b"\x04", 5.9) is not None
        assert len(callers) == 0


@dataclass(kw_only=True)
class Node:
    """A node's waiting room and what it knows of runs."""

    name: str
    loads: EngineLoads
    updates: PeerUpdates
    room: WaitingRoom


@dataclass(kw_only=True)
class Fleet:
    """Nodes whose datagrams are passed on in memory."""

    n_nodes: int
    engines: list[EngineLoad]
    loss_rate: float = 0.0
    nodes: list[Node] = field(default_factory=list)
    lost: set[str] = field(default_factory=set)
    # The side of each node while a link is cut.
    sides: dict[str, int] = field(default_factory=dict)
    n_datagrams: int = 0
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def __post_init__(self) -> None:
        self.nodes = [self.make(f"vm-{number}") for number in range(self.n_nodes)]

    def make(self, name: str) -> Node:
        loads = EngineLoads()
        room = WaitingRoom(
            node=name,
            loads=loads,
            peer_updates=lambda: updates,
            metrics=Metrics(process=name),
            rng=random.Random(name),
        )
        updates = PeerUpdates(
            node=name,
            loads=loads,
            decode_times=DecodeTimes(),
            on_run=lambda run: room.on_run(run, SERVICE),
            on_ended=room.on_ended,
            peers=lambda: [],
            on_leaving=lambda *leaving: None,
            on_retried=lambda service: None,
            on_aborted=lambda *abort: None,
            on_limit=lambda statement: None,
            on_brittle=lambda statement: None,
            on_cut_off=lambda *statement: None,
            on_origin=lambda entry: None,
            on_crash_news=lambda news: None,
            on_load=lambda *load: None,
            on_waiting=room.on_waiting,
            on_returning=room.on_returning,
            rng=random.Random(name),
        )
        updates._send = lambda update: self.send(name, update)  # type: ignore
        return Node(name=name, loads=loads, updates=updates, room=room)

    def send(self, sender: str, update: NodeUpdate) -> None:
        data = msgspec.msgpack.encode(update)
        if sender in self.lost:
            return
        for node in self.nodes:
            is_cut = self.sides.get(sender) != self.sides.get(node.name)
            if node.name == sender or node.name in self.lost or is_cut:
                continue
            self.n_datagrams += 1
            if self.rng.random() >= self.loss_rate:
                node.updates.datagram_received(data, ("10.0.0.1", 1))

    def try_place(self, node: Node, own: Waiting) -> str | None:
        """Place a request as `EnginePlacer` does; return its engine, None if it waits.

        A request that can't be placed is announced.
        """
        now = asyncio.get_running_loop().time()
        loads = node.loads.estimate(self.engines, now)
        demand = demand_of(own)
        choice = LeastCostPlacement()

        def choose(left: list[EngineLoad]) -> EngineLoad | None:
            return choice.choose(left, demand, self.rng)

        load = choose(loads)
        if load is not None and not node.room.is_free(SERVICE):
            decision = node.room.find_turn(own, demand, loads, choice, choose)
            load = decision.turn.load
        if load is None:
            node.room.enter(own)
            return None
        self.place(node, own, load.reg.endpoint)
        return load.reg.endpoint

    def place(self, node: Node, own: Waiting, endpoint: str) -> None:
        node.updates.announce_run(run_of(own, endpoint))
        node.room.leave(own.request_id, "placed")

    def fill(self) -> None:
        """Fill all engines with runs of the first node."""
        for number, load in enumerate(self.engines):
            self.place(self.nodes[0], request(900 + number), load.reg.endpoint)

    def free(self, number: int) -> None:
        """End the run that filled an engine."""
        self.nodes[0].updates.announce_end(f"r{900 + number}")

    def known(self, node: Node) -> list[str]:
        now = asyncio.get_running_loop().time()
        return sorted(ids(node.room.table.of_service(SERVICE, now)))


def loop_now() -> float:
    return asyncio.get_running_loop().time()


class TestRoom:
    async def test_a_request_that_finds_capacity_costs_no_message(self):
        # Guards against messages for each request while there is enough capacity.
        fleet = Fleet(n_nodes=3, engines=[engine()])
        assert fleet.try_place(fleet.nodes[0], request(1, loop_now())) == "e1"
        # The announcement of its run, to both others.
        assert fleet.n_datagrams == 2
        for node in fleet.nodes:
            node.room.repeat()
        assert fleet.n_datagrams == 2

    async def test_freed_capacity_goes_to_the_first_in_the_order(self):
        # Guards against whoever checks first getting the capacity.
        fleet = Fleet(n_nodes=4, engines=[engine()])
        fleet.fill()
        now = loop_now()
        requests = [
            request(number, now - 1.0 + number / 10, priority=3 - number)
            for number in range(4)
        ]
        for node, own in zip(fleet.nodes, requests, strict=True):
            assert fleet.try_place(node, own) is None
        fleet.free(0)
        placed = [
            fleet.try_place(node, own)
            for node, own in zip(fleet.nodes, requests, strict=True)
        ]
        assert placed == [None, None, None, "e1"]
        assert {len(fleet.known(node)) for node in fleet.nodes} == {3}

    async def test_a_new_request_does_not_take_what_others_wait_for(self):
        # Guards against requests that arrive at the moment at which a run ends.
        fleet = Fleet(n_nodes=2, engines=[engine()])
        fleet.fill()
        first = request(1, loop_now() - 0.5)
        assert fleet.try_place(fleet.nodes[0], first) is None
        fleet.free(0)
        assert fleet.try_place(fleet.nodes[1], request(2, loop_now())) is None
        assert fleet.try_place(fleet.nodes[0], first) == "e1"

    async def test_a_caller_that_leaves_is_forgotten_at_once(self):
        # Guards against capacity that is kept for a caller who has disconnected.
        fleet = Fleet(n_nodes=2, engines=[engine()])
        fleet.fill()
        first, second = request(1, loop_now() - 0.5), request(2, loop_now())
        assert fleet.try_place(fleet.nodes[0], first) is None
        assert fleet.try_place(fleet.nodes[1], second) is None
        fleet.nodes[0].room.leave(first.request_id, "ended")
        assert fleet.known(fleet.nodes[1]) == [second.request_id]
        fleet.free(0)
        assert fleet.try_place(fleet.nodes[1], second) == "e1"

    @pytest.mark.looptime
    async def test_the_requests_of_a_lost_node_expire(self):
        # Guards against requests that wait behind those of a node that is gone.
        fleet = Fleet(n_nodes=3, engines=[engine()])
        fleet.fill()
        first, second = request(1, loop_now() - 0.5), request(2, loop_now())
        assert fleet.try_place(fleet.nodes[1], first) is None
        assert fleet.try_place(fleet.nodes[2], second) is None
        fleet.lost.add("vm-1")
        fleet.free(0)
        assert fleet.try_place(fleet.nodes[2], second) is None
        await asyncio.sleep(policy.EXPIRY_SECONDS)
        assert fleet.try_place(fleet.nodes[2], second) == "e1"

    @pytest.mark.looptime
    async def test_capacity_that_a_lost_node_does_not_take_is_used_sooner(self):
        # Guards against capacity that stays idle until the requests expire.
        fleet = Fleet(n_nodes=3, engines=[engine()])
        fleet.fill()
        first, second = request(1, loop_now() - 0.5), request(2, loop_now())
        assert fleet.try_place(fleet.nodes[1], first) is None
        assert fleet.try_place(fleet.nodes[2], second) is None
        fleet.lost.add("vm-1")
        fleet.free(0)
        began_at = loop_now()
        while fleet.try_place(fleet.nodes[2], second) is None:
            await fleet.nodes[2].room.wait_for_change()
        assert loop_now() - began_at <= policy.UNUSED_SECONDS + 0.06

    @pytest.mark.looptime
    async def test_each_side_of_a_cut_link_serves_its_own_requests(self):
        # Guards against requests that wait for those on the other side of a cut.
        fleet = Fleet(n_nodes=4, engines=[engine("e1"), engine("e2")])
        fleet.fill()
        first, second = request(1, loop_now() - 0.5), request(2, loop_now())
        assert fleet.try_place(fleet.nodes[1], first) is None
        assert fleet.try_place(fleet.nodes[2], second) is None
        fleet.sides = {"vm-0": 0, "vm-1": 0, "vm-2": 1, "vm-3": 1}
        for _ in range(4):
            for node in fleet.nodes:
                node.room.repeat()
            await asyncio.sleep(0.5)
        assert fleet.known(fleet.nodes[0]) == [first.request_id]
        assert fleet.known(fleet.nodes[3]) == [second.request_id]
        # Both sides learn that an engine is free, and may take the same capacity.
        for node in fleet.nodes:
            node.loads.remove_run("vm-0", "r900", loop_now())
        assert fleet.try_place(fleet.nodes[1], first) == "e1"
        assert fleet.try_place(fleet.nodes[2], second) == "e1"
        # Once the link is back, the sides know of each other's runs and requests again.
        fleet.sides = {}
        third = request(3, loop_now())
        assert fleet.try_place(fleet.nodes[1], third) is None
        assert fleet.known(fleet.nodes[3]) == [third.request_id]

    @pytest.mark.looptime
    async def test_lost_announcements_are_made_up_for_by_the_next(self):
        # Guards against an order that lacks requests because a datagram was lost.
        fleet = Fleet(n_nodes=2, engines=[engine()])
        fleet.fill()
        fleet.loss_rate = 1.0
        first = request(1, loop_now() - 0.5)
        assert fleet.try_place(fleet.nodes[0], first) is None
        assert fleet.known(fleet.nodes[1]) == []
        fleet.loss_rate = 0.0
        await asyncio.sleep(0.5)
        fleet.nodes[0].room.repeat()
        assert fleet.known(fleet.nodes[1]) == [first.request_id]

    async def test_lost_ends_are_repeated(self):
        # Guards against capacity that is kept for a request whose end was lost.
        fleet = Fleet(n_nodes=2, engines=[engine()])
        fleet.fill()
        first = request(1, loop_now() - 0.5)
        assert fleet.try_place(fleet.nodes[0], first) is None
        fleet.loss_rate = 1.0
        fleet.nodes[0].room.leave(first.request_id, "refused")
        fleet.loss_rate = 0.0
        assert fleet.known(fleet.nodes[1]) == [first.request_id]
        fleet.nodes[0].room.repeat()
        assert fleet.known(fleet.nodes[1]) == []
        n_datagrams = fleet.n_datagrams
        fleet.nodes[0].room.repeat()
        assert fleet.n_datagrams == n_datagrams

    async def test_a_lost_placement_is_made_up_for_by_the_list_of_runs(self):
        # Guards against a placed request that keeps its position at other nodes.
        fleet = Fleet(n_nodes=2, engines=[engine()])
        first = request(1, loop_now() - 0.5)
        fleet.nodes[0].room.enter(first)
        fleet.loss_rate = 1.0
        fleet.place(fleet.nodes[0], first, "e1")
        fleet.loss_rate = 0.0
        assert fleet.known(fleet.nodes[1]) == [first.request_id]
        fleet.nodes[0].updates._send_all_runs()
        assert fleet.known(fleet.nodes[1]) == []

    async def test_a_request_learns_that_it_is_passed_over(self):
        # Guards against new requests of small organisations that pass a large one's for
        # ever: they are placed at once, and were never announced as waiting.
        fleet = Fleet(n_nodes=2, engines=[engine(n_memory_tokens=100_000)])
        own = request(1, loop_now() - 0.5)
        room = fleet.nodes[0].room
        room.enter(own)
        fleet.place(fleet.nodes[1], request(2, loop_now(), priority=0), "e1")
        assert room.table.find(own.request_id) == own
        fleet.place(fleet.nodes[1], request(3, loop_now()), "e1")
        passed = room.table.find(own.request_id)
        assert passed is not None
        assert passed.by_age_at == pytest.approx(loop_now() + 1.0, abs=0.1)
        room.repeat()
        known = fleet.nodes[1].room.table.find(own.request_id)
        assert known is not None
        assert known.by_age_at == pytest.approx(passed.by_age_at, abs=0.1)

    async def test_older_requests_do_not_pass_over_younger_ones(self):
        # Guards against an order by age of requests that have been served in turn.
        fleet = Fleet(n_nodes=2, engines=[engine(n_memory_tokens=100_000)])
        own = request(1, loop_now() - 0.1)
        older = request(2, loop_now() - 0.5)
        fleet.nodes[0].room.enter(own)
        fleet.nodes[1].room.enter(older)
        fleet.place(fleet.nodes[1], older, "e1")
        # Lists repeat the run.
        fleet.nodes[1].updates._send_all_runs()
        assert fleet.nodes[0].room.table.find(own.request_id) == own

    async def test_a_refused_caller_keeps_its_position_at_any_node(self):
        # Guards against callers that start again at the end of the queue.
        fleet = Fleet(n_nodes=3, engines=[engine()])
        now = loop_now()
        returning = Returning(key=b"12345678", waiting_since=now - 2, returns_at=now)
        fleet.nodes[0].room.remember_refused(returning)
        found = fleet.nodes[1].room.take_returned(b"12345678")
        assert found is not None
        assert found.waiting_since == pytest.approx(now - 2, abs=0.1)
        # The others forget it once its new attempt waits there.
        fleet.nodes[1].room.enter(request(1, now - 2, return_key=b"12345678"))
        assert fleet.nodes[2].room.take_returned(b"12345678") is None
        assert fleet.nodes[0].room.take_returned(b"12345678") is None

    @pytest.mark.looptime
    async def test_an_end_wakes_the_requests_that_wait(self):
        # Guards against capacity that stays idle until the next check.
        fleet = Fleet(n_nodes=2, engines=[engine()])
        fleet.fill()
        began_at = loop_now()
        asyncio.get_running_loop().call_later(0.03, fleet.free, 0)
        await fleet.nodes[1].room.wait_for_change()
        assert loop_now() - began_at == pytest.approx(0.03, abs=0.005)
        await fleet.nodes[1].room.wait_for_change()
        assert loop_now() - began_at == pytest.approx(0.08, abs=0.005)

    @pytest.mark.looptime
    @pytest.mark.parametrize("n_nodes", [12, 100, 330])
    async def test_fleets_give_capacity_in_order(self, n_nodes: int):
        # Guards against an order that holds in small fleets only: each of 12, 100 or
        # 330 nodes decides on its own request, and five engines are free.
        fleet = Fleet(n_nodes=n_nodes, engines=[engine(f"e{n}") for n in range(5)])
        fleet.fill()
        now = loop_now()
        requests = [
            request(
                number,
                now - 1.0 + 0.002 * number,
                priority=number % 3,
                organisation=f"org-{number % 7}",
            )
            for number in range(min(n_nodes, 60))
        ]
        nodes = fleet.nodes[-len(requests) :]
        for node, own in zip(nodes, requests, strict=True):
            assert fleet.try_place(node, own) is None
        for number in range(5):
            fleet.free(number)
        expected = SharedOrder().order(requests, {}, loop_now())[:5]
        pairs = list(zip(nodes, requests, strict=True))
        fleet.rng.shuffle(pairs)
        placed = [own for node, own in pairs if fleet.try_place(node, own)]
        assert sorted(ids(placed)) == sorted(ids(expected))


class TestMessages:
    async def test_a_request_is_received_as_it_was_sent(self):
        fleet = Fleet(n_nodes=2, engines=[])
        now = loop_now()
        own = request(1, now - 1, by_age_at=now + 0.5, return_key=b"12345678")
        fleet.nodes[0].room.enter(own)
        received = fleet.nodes[1].room.table.find(own.request_id)
        assert received is not None
        for name in ("waiting_since", "target_at", "gives_up_at", "by_age_at"):
            sent_at = getattr(own, name)
            assert getattr(received, name) == pytest.approx(sent_at, abs=0.1)
            received = replace(received, **{name: sent_at})
        assert received == own

    async def test_runs_state_organisation_and_priority(self):
        fleet = Fleet(n_nodes=2, engines=[])
        own = request(1, loop_now(), organisation="abcd", priority=2)
        fleet.place(fleet.nodes[0], own, "e1")
        (run,) = fleet.nodes[1].loads.runs_on_engine("e1")
        assert (run.organisation, run.priority) == ("abcd", 2)
        assert fleet.nodes[1].loads.n_runs_by_organisation({"e1"}) == {"abcd": 1}

    async def test_updates_of_the_former_version_are_read(self):
        # Guards against nodes that don't understand each other in a rolling restart.
        fleet = Fleet(n_nodes=1, engines=[])
        former_run = ["r1", "e1", 10, 5, "", True, 0, False]
        former = ["other", False, [former_run], [], [], [], [], [], 0.5]
        former += [[], None, [], [], [], None]
        data = msgspec.msgpack.encode(former)
        fleet.nodes[0].updates.datagram_received(data, ("10.0.0.1", 1))
        (run,) = fleet.nodes[0].loads.runs_on_engine("e1")
        assert (run.organisation, run.priority) == ("", 0)

    def test_nodes_of_the_former_version_can_read_updates(self):
        # Guards against new fields that don't come last.
        entry = RunEntry("r1", "e1", 10, 5, "", True, 0, False, "abcd", 2)
        update = msgspec.to_builtins(NodeUpdate(node="other", runs=[entry]))
        assert update[-2:] == [[], []]
        assert update[2][0][:8] == ["r1", "e1", 10, 5, "", True, 0, False]

    def test_a_full_datagram_is_not_fragmented(self):
        # Guards against datagrams that exceed a link's size and are lost in pieces.
        entry = WaitingEntry(
            request_id="attempt-0123456789abcdef0123/ffffff",
            service="assistente-llm",
            organisation="abcd",
            priority=2,
            waited_ms=9_999,
            target_ms=-9_999,
            gives_up_ms=39_000,
            n_tokens=26_000,
            n_prefill_tokens=26_000,
            n_remaining_tokens=3_000,
            by_age_ms=3_000,
            return_key=b"12345678",
        )
        update = NodeUpdate(
            node="edge-recife-a-2-31cda185",
            waiting=[entry] * MAX_WAITING_PER_DATAGRAM,
            ended=[entry.request_id] * 2,
        )
        assert len(msgspec.msgpack.encode(update)) < 1_200

    async def test_many_requests_are_split_across_datagrams(self):
        fleet = Fleet(n_nodes=2, engines=[])
        node = fleet.nodes[0]
        for number in range(MAX_WAITING_PER_DATAGRAM + 1):
            node.room.table.put(node.name, request(number, loop_now()), loop_now())
        node.room.repeat()
        assert fleet.n_datagrams == 2
        assert len(fleet.known(fleet.nodes[1])) == MAX_WAITING_PER_DATAGRAM + 1


class PlacerRig:
    """An `EnginePlacer` at a node of a fleet, with an engine that admits everything."""

    def __init__(self, fleet: Fleet, *, uses_queue_order: bool = True) -> None:
        self.fleet = fleet
        self.node = fleet.nodes[0]
        self.logged: list[tuple[str, dict]] = []
        # Engines that the pace holds back at this node.
        self.held: set[str] = set()
        regs = [load.reg for load in fleet.engines]
        registry = SimpleNamespace(
            usable_endpoints=lambda service, binding=UNBOUND: regs,
            has_accepting=lambda service, binding: True,
            is_service_evacuated=lambda service, binding: False,
            versions=lambda service: {""},
        )
        gate = SimpleNamespace(
            is_open_for=lambda reg, homes, can_wait=False: True,
            cold_seconds=lambda reg: 0.0,
            find_block=lambda prompt: None,
            held_back=lambda regs, allowed: self.held,
        )
        self.placer = EnginePlacer(
            registry=registry,  # type: ignore[arg-type]
            loads=self.node.loads,
            peer_updates=self.node.updates,
            decode_times=DecodeTimes(),
            failure_domain="a",
            rng=random.Random(1),
            gate=gate,  # type: ignore[arg-type]
            policy=LeastCostPlacement(),
            rates=PrefillRates(),
            speeds=EndpointSpeeds(),
            paces=SimpleNamespace(count_bypassed=lambda service: None),  # type: ignore[arg-type]
            waiting_room=self.node.room,
            uses_queue_order=uses_queue_order,
        )

    def live(self, number: int, **fields: object) -> LiveRun:
        now = loop_now()
        known: dict[str, object] = {
            "service": SERVICE,
            "organisation": "org",
            "priority": 1,
            "route": SimpleNamespace(
                name="draft", target_latency_seconds=4.0, is_resumable=True
            ),
            "home_regions": frozenset(),
            "binding": UNBOUND,
            "prompt": Prompt(service=SERVICE, own_part=f"own-{number}"),
            "facts": SimpleNamespace(last_event_id=None),
            "age_seconds": 0.0,
            "loop_deadline": now + 39.0,
            "gives_up_at": now + 39.0,
            "clock": SimpleNamespace(boottime=loop_now),
            "observe": lambda name: None,
            "log": lambda event, **values: self.logged.append((event, values)),
            **fields,
        }
        own = run_of(request(number), "")
        engine_profile = SimpleNamespace(
            n_slots=24, n_memory_tokens=4_600, can_back_up=False
        )
        return LiveRun(
            ex=SimpleNamespace(**known),  # type: ignore[arg-type]
            engine=engine_profile,  # type: ignore[arg-type]
            run=own,
        )

    def events(self) -> list[str]:
        return [event for event, _ in self.logged]


@pytest.mark.looptime
class TestPlacer:
    async def test_a_request_is_placed_without_waiting_while_there_is_capacity(self):
        # Guards against messages and delays of requests while nobody waits.
        fleet = Fleet(n_nodes=2, engines=[engine()])
        rig = PlacerRig(fleet)
        began_at = loop_now()
        assert await rig.placer.place(rig.live(1), set()) is not None
        assert loop_now() == pytest.approx(began_at, abs=0.001)
        assert fleet.n_datagrams == 1
        assert rig.events() == []

    async def test_a_request_waits_for_its_turn(self):
        # Guards against requests that overtake those of other nodes.
        fleet = Fleet(n_nodes=2, engines=[engine()])
        rig = PlacerRig(fleet)
        fleet.fill()
        first = request(1, loop_now() - 0.5)
        fleet.nodes[1].room.enter(first)
        task = asyncio.create_task(rig.placer.place(rig.live(2), set()))
        await asyncio.sleep(0.1)
        assert fleet.known(fleet.nodes[1]) == ["r001", "r002"]
        fleet.free(0)
        assert fleet.try_place(fleet.nodes[1], first) == "e1"
        await asyncio.sleep(0.1)
        assert not task.done()
        fleet.nodes[1].updates.announce_end("r001")
        assert (await task) is not None
        assert rig.events() == ["queued", "queue_turn"]
        assert fleet.known(fleet.nodes[1]) == []

    async def test_without_an_order_a_request_takes_what_it_finds(self):
        # Guards against messages, and turns, where the order isn't used.
        fleet = Fleet(n_nodes=2, engines=[engine()])
        rig = PlacerRig(fleet, uses_queue_order=False)
        fleet.fill()
        task = asyncio.create_task(rig.placer.place(rig.live(2), set()))
        await asyncio.sleep(0.1)
        assert fleet.known(fleet.nodes[1]) == []
        fleet.nodes[1].room.enter(request(1, loop_now() - 0.5))
        fleet.free(0)
        assert (await task) is not None
        refused = rig.live(3)
        assert await rig.placer.place(refused, set(), until=loop_now()) is None
        rig.placer.record_refused(refused, 0.1)
        assert rig.events() == ["no_room"]
        assert len(fleet.nodes[1].room.returning) == 0

    async def test_a_turn_respects_the_pace_of_an_engine(self):
        # Guards against engines that get requests from all nodes when they return.
        fleet = Fleet(n_nodes=2, engines=[engine("e1"), engine("e2")])
        rig = PlacerRig(fleet)
        rig.held = {"e2"}
        # It makes e1 the better engine for the request ahead.
        fleet.place(
            fleet.nodes[0], request(3, n_tokens=500, n_remaining_tokens=100), "e2"
        )
        first = request(1, loop_now() - 0.5)
        fleet.nodes[1].room.enter(first)
        task = asyncio.create_task(rig.placer.place(rig.live(2), set()))
        await asyncio.sleep(policy.UNUSED_SECONDS / 2)
        assert not task.done()
        fleet.nodes[1].room.leave(first.request_id, "ended")
        reg = await task
        assert reg is not None
        assert reg.endpoint == "e1"

    async def test_a_request_waits_for_half_of_its_target_by_default(self):
        # Guards against callers that are refused too late to return.
        fleet = Fleet(n_nodes=2, engines=[engine()])
        rig = PlacerRig(fleet)
        fleet.fill()
        began_at = loop_now()
        assert await rig.placer.place(rig.live(1), set()) is None
        assert loop_now() - began_at == pytest.approx(2.0, abs=0.06)
        assert fleet.known(fleet.nodes[1]) == []
        began_at = loop_now()
        until = began_at + 0.5
        assert await rig.placer.place(rig.live(2), set(), until=until) is None
        assert loop_now() - began_at == pytest.approx(0.5, abs=0.06)

    async def test_the_end_of_a_disconnected_caller_is_announced(self):
        # Guards against capacity that is kept for a caller who has disconnected.
        fleet = Fleet(n_nodes=2, engines=[engine()])
        rig = PlacerRig(fleet)
        fleet.fill()
        task = asyncio.create_task(rig.placer.place(rig.live(1), set()))
        await asyncio.sleep(0.1)
        assert fleet.known(fleet.nodes[1]) == ["r001"]
        task.cancel()
        await asyncio.wait({task})
        assert fleet.known(fleet.nodes[1]) == []
        assert rig.node.room.n_own == 0

    async def test_streams_that_are_taken_up_come_first(self):
        # Guards against broken streams that queue behind new ones.
        fleet = Fleet(n_nodes=2, engines=[engine()])
        rig = PlacerRig(fleet)
        fleet.nodes[1].room.enter(request(1, loop_now() - 0.5))
        bound = rig.live(2, binding=VersionBinding(version=""))
        assert await rig.placer.place(bound, set()) is not None
        rig.node.updates.announce_end("r002")
        repeated = rig.live(3)
        repeated.n_runs = 1
        assert await rig.placer.place(repeated, set()) is not None

    async def test_a_returned_caller_is_queued_as_if_it_had_waited(self):
        # Guards against refused callers that start again at the end of the queue.
        fleet = Fleet(n_nodes=2, engines=[engine()])
        rig = PlacerRig(fleet)
        fleet.fill()
        refused = rig.live(1)
        assert await rig.placer.place(refused, set()) is None
        rig.placer.record_refused(refused, 0.7)
        await asyncio.sleep(0.7)
        again = rig.live(1)
        again.run = replace(again.run, run_id="again")
        fleet.nodes[1].room.enter(request(3, loop_now() - 1.0))
        task = asyncio.create_task(rig.placer.place(again, set()))
        await asyncio.sleep(0.05)
        known = fleet.nodes[1].room.table.find("again")
        assert known is not None
        assert loop_now() - known.waiting_since == pytest.approx(2.75, abs=0.1)
        fleet.free(0)
        assert (await task) is not None

    async def test_a_caller_that_will_not_return_is_not_remembered(self):
        # Guards against messages for callers that don't wait as long as told.
        fleet = Fleet(n_nodes=2, engines=[engine()])
        rig = PlacerRig(fleet)
        live = rig.live(1)
        rig.placer.record_refused(live, 14.0)
        live.n_runs = 1
        rig.placer.record_refused(live, 0.7)
        assert fleet.n_datagrams == 0

    async def test_a_silent_store_changes_nothing(self):
        # Guards against an order that needs the store: the registry is all that depends
        # on it, and it keeps the engines that it knew.
        fleet = Fleet(n_nodes=2, engines=[engine("e1"), engine("e2")])
        rig = PlacerRig(fleet)
        fleet.fill()
        tasks = [
            asyncio.create_task(rig.placer.place(rig.live(number), set()))
            for number in (1, 2)
        ]
        await asyncio.sleep(0.5)
        fleet.free(0)
        await asyncio.sleep(0.03)
        assert [task.done() for task in tasks] == [True, False]
        fleet.free(1)
        assert (await tasks[1]) is not None
