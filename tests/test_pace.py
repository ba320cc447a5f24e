"""Endpoints that have just started or recovered get requests at a pace of their own."""

from __future__ import annotations

import functools

import pytest

from bench import pace as comparison
from bench.pace import CASES, RETURN_AT, SERVICE, Case, Measured, Simulation
from celerytrail.policies.coldlimits import NodePosition
from celerytrail.policies.pace import (
    FIRST_SHARE,
    LOWEST_SHARE,
    MAX_HOLD_SECONDS,
    N_TRIAL_NODES,
    RAMP_SECONDS,
    TRIAL_SECONDS,
    AdaptivePace,
    AnswerKind,
    NodePace,
    RankedPaceShares,
    StartReason,
    UsualAnswers,
    is_in_force,
)

# Bounds of docs/design/crowded-services.md.
FULL_SECONDS = 2.0
N_FAULTY = 12

SIZES = pytest.mark.parametrize("n_nodes", [12, 100, 330])


@functools.cache
def measure(way: str, n_nodes: int, case: Case, seed: int = 1) -> Measured:
    return comparison.measure(way, n_nodes, case, seed)


def first(n_nodes: int, index: int = 0) -> NodePosition:
    return NodePosition(index=index, n_nodes=n_nodes)


def taught(n_answers: int = 10, seconds: float = 0.1) -> NodePace:
    """Return the pace of a node that knows the usual answers."""
    pace = NodePace()
    for n in range(n_answers):
        pace.record_answer(
            "other", SERVICE, "r", n, kind=AnswerKind.ANSWERED, seconds=seconds
        )
    return pace


class TestOneOfThirtyReturns:
    """The load: one of 30 endpoints returns, and looks idle to all nodes."""

    @SIZES
    def test_a_healthy_one_has_its_full_share_in_time(self, n_nodes):
        # Guards against a server that is left idle too long.
        measured = measure("adaptive", n_nodes, CASES["one of 30"])
        assert measured.full_share_at is not None
        assert measured.full_share_at <= FULL_SECONDS
        assert measured.n_failed == measured.n_refused == 0

    @SIZES
    def test_it_isnt_flooded(self, n_nodes):
        # Guards against all nodes sending their requests to it at the same moment.
        measured = measure("adaptive", n_nodes, CASES["one of 30"])
        assert measured.n_shed == 0

    @SIZES
    @pytest.mark.parametrize("seed", [1, 2])
    def test_a_faulty_one_gets_few_requests(self, n_nodes, seed):
        # Guards against one lost request per node at a server that is still faulty.
        measured = measure("adaptive", n_nodes, CASES["failing"], seed)
        assert 0 < measured.n_until_lowest <= N_FAULTY

    @SIZES
    def test_a_silent_one_gets_few_requests(self, n_nodes):
        # Guards against a server that accepts all requests and answers none.
        measured = measure("adaptive", n_nodes, CASES["silent"])
        assert 0 < measured.n_until_lowest <= N_FAULTY


class TestAThirdReturns:
    """The load: ten of 30 endpoints return at the same moment."""

    @SIZES
    def test_they_have_their_full_share_in_time(self, n_nodes):
        # Guards against two thirds that carry the load of all for longer than needed.
        measured = measure("adaptive", n_nodes, CASES["a third"])
        assert measured.full_share_at is not None
        assert measured.full_share_at <= FULL_SECONDS
        assert measured.n_failed == measured.n_refused == 0


class TestAllReturn:
    """The load: all endpoints of a service return, or there is only one."""

    @SIZES
    def test_nothing_is_held_back(self, n_nodes):
        # Guards against requests that wait or fail where there is no other endpoint.
        measured = measure("adaptive", n_nodes, CASES["all"])
        unpaced = measure("none", n_nodes, CASES["all"])
        assert measured.n_bypassed == 0
        assert measured.n_refused <= unpaced.n_refused
        assert measured.n_failed == 0

    @SIZES
    def test_the_only_one_gets_every_request(self, n_nodes):
        # Guards against refusals by the pace.
        case = Case(n_endpoints=1, n_returning=1, load=0.3)
        simulation = Simulation(NodePace, n_nodes, case, 1)
        measured = simulation.run()
        late = [pace for pace in simulation.paces if pace.is_paced("e0", 1e9)]
        assert late == []
        # Requests before the nodes learn of it have no endpoint.
        n_early = round(0.3 * 6 / 0.2 * 0.4)
        assert measured.n_refused <= n_early + 5

    @pytest.mark.parametrize(
        ("n_paced", "n_open", "expected"),
        [(1, 1, False), (1, 2, True), (2, 3, False), (10, 30, True), (30, 30, False)],
    )
    def test_the_pace_needs_as_many_other_endpoints(self, n_paced, n_open, expected):
        # Guards against few endpoints that get the load of many.
        assert is_in_force(n_paced, n_open) is expected


class TestFailsAfterAWhile:
    """The load: an endpoint answers well for two seconds and then fails."""

    @SIZES
    @pytest.mark.parametrize("seed", [1, 2])
    def test_it_gets_few_requests_once_it_fails(self, n_nodes, seed):
        # Guards against a judgement that ends with the increase.
        case = CASES["2 s healthy, then failing"]
        measured = measure("adaptive", n_nodes, case, seed)
        assert measured.full_share_at is not None
        assert 0 < measured.n_until_lowest <= N_FAULTY


class TestHalfAsFast:
    """The load: an endpoint is healthy and permanently takes twice the time."""

    @SIZES
    def test_it_has_its_full_share(self, n_nodes):
        # Guards against a server that is held back for being another machine.
        measured = measure("adaptive", n_nodes, CASES["half as fast"])
        assert measured.full_share_at is not None
        assert measured.full_share_at <= FULL_SECONDS


class TestBurst:
    """The load: twice the requests come at the moment of the return."""

    @SIZES
    def test_no_request_fails_because_of_the_pace(self, n_nodes):
        # Guards against requests that are refused while there is an endpoint.
        measured = measure("adaptive", n_nodes, CASES["burst"])
        unpaced = measure("none", n_nodes, CASES["burst"])
        n_unserved = measured.n_failed + measured.n_refused
        assert n_unserved <= unpaced.n_failed + unpaced.n_refused

    @SIZES
    def test_refused_requests_are_tried_at_a_paced_endpoint(self, n_nodes):
        # Guards against a refusal while an endpoint is idle because of its pace.
        measured = measure("adaptive", n_nodes, CASES["burst"])
        assert measured.n_refused > 0
        assert measured.n_held_untried == 0


class TestFlapping:
    """The load: an endpoint comes and goes each second, and fails each time."""

    @SIZES
    def test_it_gets_fewer_requests_each_time(self, n_nodes):
        # Guards against one trial after each return of a row.
        measured = measure("adaptive", n_nodes, CASES["flapping each second"])
        n_early = sum(at < 5.0 for at in measured.arrived_at)
        assert 0 < n_early <= N_FAULTY
        assert len(measured.arrived_at) - n_early <= n_early

    def test_holds_grow_up_to_a_limit(self):
        # Guards against holds without end, and against a fixed rhythm.
        pace, now, holds = AdaptivePace(), 0.0, []
        for _ in range(8):
            pace.record_start("e", now)
            rises_at = pace.states(now)[0].rises_at
            holds.append(rises_at - now)
            now = rises_at + 1.0
        assert holds == sorted(holds)
        assert holds[0] == 0.0
        assert holds[-1] == MAX_HOLD_SECONDS

    def test_several_reports_of_one_recovery_count_once(self):
        # Guards against a hold because the row and the path return together.
        pace = AdaptivePace()
        pace.record_start("e", 0.0)
        pace.record_start("e", 0.5, reason=StartReason.PATH_REGAINED)
        assert pace.share("e", 0.5 + TRIAL_SECONDS + RAMP_SECONDS) == 1.0


class TestServersGone:
    """The load: endpoints are replaced all the time, under new ids."""

    def test_no_state_is_kept(self):
        # Guards against memory that grows with each replaced server.
        pace = taught()
        for n in range(200):
            pace.pace.record_start(f"e{n}", 0.0)
            pace.begin(f"e{n}", 0.0)
            pace.end(f"e{n}", 0.0)
            pace.pace.record_outcome(f"s{n}", False, 0.0)
        pace.expire(11.0, lambda endpoint: False, set())
        assert pace.pace.states(11.0) == []
        assert pace.pace._suspects == {}  # type: ignore[attr-defined]
        assert pace._sent_at == {}
        assert pace._usual._usual == {}

    def test_one_with_its_full_share_is_forgotten(self):
        # Guards against a start of hours ago that lengthens a hold.
        pace = AdaptivePace()
        pace.record_start("e", 0.0)
        pace.expire(5.0, lambda endpoint: True)
        assert pace.is_watched("e")
        pace.expire(60.0, lambda endpoint: True)
        assert not pace.is_watched("e")


class TestNodeLost:
    """The load: the nodes that are first in the endpoint's order are lost."""

    @SIZES
    def test_the_others_open_by_the_clock(self, n_nodes):
        # Guards against a server that waits for nodes that don't run.
        measured = measure("adaptive", n_nodes, Case(n_lost_nodes=N_TRIAL_NODES))
        assert measured.full_share_at is not None
        assert measured.full_share_at <= FULL_SECONDS

    @SIZES
    def test_a_faulty_one_gets_few_requests(self, n_nodes):
        # Guards against trials that nobody makes, and an increase that nobody stops.
        case = Case(n_lost_nodes=N_TRIAL_NODES, fails_since=0.0)
        assert measure("adaptive", n_nodes, case).n_until_lowest <= N_FAULTY


class TestLinkCut:
    """The load: half of the nodes hear nothing from the others."""

    @SIZES
    def test_each_side_keeps_the_bound(self, n_nodes):
        # Guards against a side that neither tries nor hears of failures.
        case = Case(cut_nodes=0.5, fails_since=0.0)
        assert measure("adaptive", n_nodes, case).n_until_lowest <= 2 * N_FAULTY

    @SIZES
    def test_lost_announcements_are_made_up_for(self, n_nodes):
        # Guards against nodes that missed one announcement and go on to the full share.
        case = Case(lost_datagrams=0.1, fails_since=0.0)
        measured = measure("adaptive", n_nodes, case)
        assert sum(at < 2.0 for at in measured.arrived_at) <= N_FAULTY


class TestShares:
    @SIZES
    def test_the_nodes_that_take_part_add_up(self, n_nodes):
        # Guards against one trial request of each of 330 nodes.
        shares = RankedPaceShares()

        def n_parts(share: float) -> int:
            return sum(
                shares.takes_part(share, first(n_nodes, index))
                for index in range(n_nodes)
            )

        assert n_parts(LOWEST_SHARE) == 0
        assert n_parts(FIRST_SHARE) <= 6
        assert n_parts(0.5) == n_nodes // 2
        assert n_parts(1.0) == n_nodes

    def test_others_try_after_a_hold(self):
        # Guards against one node with a faulty path that decides for all.
        pace = NodePace()
        pace.pace.record_start("e", 0.0)
        assert not pace.holds_back("e", first(100), 0.1)
        pace.pace.record_outcome("e", False, 0.1)
        rises_at = pace.pace.states(0.1)[0].rises_at
        assert pace.holds_back("e", first(100), rises_at)
        assert not pace.holds_back("e", first(100, N_TRIAL_NODES), rises_at)

    def test_one_request_at_a_time_until_it_answers(self):
        # Guards against a silent server that gets all requests of the first nodes.
        pace = NodePace()
        pace.pace.record_start("e", 0.0)
        assert pace.wants_trial("e", first(100), 0.1)
        pace.begin("e", 0.1)
        assert pace.holds_back("e", first(100), 0.2)
        pace.end("e", 0.1)
        pace.record_answer(
            "e", SERVICE, "r", 0.2, kind=AnswerKind.ANSWERED, seconds=0.1
        )
        assert not pace.holds_back("e", first(100), 0.2)
        assert not pace.wants_trial("e", first(100), 0.2)

    def test_an_endpoint_in_use_isnt_held_back(self):
        # Guards against an effect where nothing has started or recovered.
        pace = taught()
        assert not pace.holds_back("other", first(100, 99), 20.0)
        assert pace.overdue_at("other", SERVICE, 20.0) is None


class TestJudgement:
    def test_usual_errors_of_a_route_arent_conclusive(self):
        # Guards against a drop for a look-up of which one in seven fails anywhere.
        usual = UsualAnswers()
        for n in range(70):
            usual.record(SERVICE, "lookups", is_error=n % 7 == 0, seconds=0.05)
        judged = usual.judge(SERVICE, "lookups", is_error=True, seconds=0.05)
        assert not judged.is_good
        assert judged.weight < 1.0
        other = usual.judge(SERVICE, "bookings", is_error=True, seconds=0.05)
        assert other.weight == 1.0

    @pytest.mark.parametrize(("factor", "is_good"), [(2.0, True), (5.0, False)])
    def test_answers_are_compared_with_those_elsewhere(self, factor, is_good):
        # Guards against a fixed limit, which fits one deployment only.
        usual = UsualAnswers()
        for _ in range(10):
            usual.record(SERVICE, "r", is_error=False, seconds=0.2)
        judged = usual.judge(SERVICE, "r", is_error=False, seconds=0.2 * factor)
        assert judged.is_good is is_good

    def test_a_request_without_an_answer_is_a_failure(self):
        # Guards against waiting for the timeout of a request to learn of the fault.
        pace = taught(seconds=0.1)
        pace.pace.record_start("e", 20.0)
        pace.begin("e", 20.1)
        overdue_at = pace.overdue_at("e", SERVICE, 20.1)
        assert overdue_at == pytest.approx(20.5)
        assert pace.record_overdue("e", 20.1, 20.5)
        assert pace.pace.share("e", 20.5) == LOWEST_SHARE

    def test_a_full_endpoint_in_use_isnt_faulty(self):
        # Guards against a drop of engines that refuse because they are full.
        pace = taught()
        for n in range(20):
            assert not pace.record_answer(
                "e", SERVICE, "r", 20.0 + n, kind=AnswerKind.REFUSED, seconds=0.01
            )
        assert pace.pace.states(40.0) == []

    def test_errors_of_an_endpoint_in_use_begin_a_pace(self):
        # Guards against an endpoint that is avoided and then gets all requests again.
        pace = taught()
        for n in range(3):
            pace.record_answer(
                "e", SERVICE, "r", 20.0 + n / 10, kind=AnswerKind.FAILED, seconds=0.01
            )
        (state,) = pace.pace.states(20.3)
        assert state.reason is StartReason.ERRORS
        assert state.share == LOWEST_SHARE

    def test_one_other_node_doesnt_outweigh_own_good_answers(self):
        # Guards against a node with a faulty path that takes a server from all others.
        pace = AdaptivePace()
        pace.record_start("e", 0.0)
        pace.record_outcome("e", True, 0.5)
        assert not pace.record_peer_report("e", "n1", 0.6)
        assert not pace.record_peer_report("e", "n1", 0.7)
        assert pace.record_peer_report("e", "n2", 0.8)


def test_the_returned_endpoints_start_together():
    # Guards against a simulation that measures before anything has returned.
    measured = measure("none", 12, CASES["one of 30"])
    assert measured.arrived_at[0] >= 0.0
    assert RETURN_AT > 0.0
