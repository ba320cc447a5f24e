"""The order of waiting requests: decisions, messages and the room of each node."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import replace

from celerytrail.model import EndpointState, Prompt, Registration
from celerytrail.policies import waiting as policy
from celerytrail.policies.engineloads import EngineLoad, Run
from celerytrail.policies.placing import Demand, LeastCostPlacement
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
from celerytrail.types import Address

SERVICE = "models"
N_MEMORY_TOKENS = 10_000


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
