"""Tokens keep an endpoint's limit however nodes lose sight of one another."""

from __future__ import annotations

import pytest

from bench.requestlimits import SCENARIOS, Scenario, allowed, play
from celerytrail.policies.coldlimits import NodePosition
from celerytrail.policies.requesttokens import (
    MAX_HOLD_SECONDS,
    MIN_REQUESTS_PER_SECOND,
    USED_SHARE,
    RequestTokens,
)

FIRST_OF_ONE = NodePosition(index=0, n_nodes=1)


def decide(tokens: RequestTokens, now: float, limit: float, node: str = "n1"):
    return tokens.decide(
        "e1",
        node,
        now,
        requests_per_second=limit,
        position=FIRST_OF_ONE,
        known_share=1.0,
    )


def n_granted(tokens: RequestTokens, start: float, seconds: float, limit: float) -> int:
    """Return how many tokens are issued to a node that asks every 5 ms."""
    moments = [start + 0.005 * n for n in range(round(seconds / 0.005))]
    return sum(decide(tokens, now, limit).is_granted for now in moments)


class TestLoads:
    """Many nodes press on an endpoint whose limit is below one request a node."""

    @pytest.mark.parametrize("n_nodes", [12, 119, 330])
    @pytest.mark.parametrize("limit", [1.0, 2.2, 10.0])
    @pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.name)
    def test_the_limit_is_kept(self, n_nodes: int, limit: float, scenario: Scenario):
        assert play(n_nodes, limit, scenario).n_most <= allowed(limit)

    @pytest.mark.parametrize("n_nodes", [12, 119, 330])
    def test_what_is_issued_is_used_though_callers_use_a_third_of_the_nodes(
        self, n_nodes: int
    ):
        scenario = next(s for s in SCENARIOS if s.name == "callers at a third")
        assert play(n_nodes, 1.0, scenario).used >= 0.9 * USED_SHARE


class TestSchedule:
    def test_no_window_has_more_than_the_tokens_of_two_owners_may_sum_up_to(self):
        for limit in (0.5, 1.0, 2.2, 7.0, 40.0):
            tokens = RequestTokens()
            decide(tokens, 0.0, limit)
            # A burst after a pause is the worst case.
            assert 2 * n_granted(tokens, 100.0, 4.0, limit) <= allowed(limit)

    def test_a_fall_of_the_limit_binds_at_once(self):
        tokens = RequestTokens()
        n_granted(tokens, 0.0, 4.0, 50.0)
        assert n_granted(tokens, 4.0, 4.0, 1.0) <= 1 + 4 * USED_SHARE

    def test_a_rise_of_the_limit_is_used_at_once(self):
        tokens = RequestTokens()
        n_granted(tokens, 0.0, 4.0, 0.1)
        assert n_granted(tokens, 4.0, 4.0, 10.0) >= 0.9 * 4 * USED_SHARE * 10.0

    def test_a_limit_of_zero_still_admits_a_request_at_times(self):
        # Without one, nobody would learn that the limit has ended.
        tokens = RequestTokens()
        period = 1.0 / (USED_SHARE * MIN_REQUESTS_PER_SECOND)
        assert n_granted(tokens, 0.0, 4 * period, 0.0) in (3, 4, 5)

    def test_a_refused_node_hears_when_it_may_ask_again(self):
        tokens = RequestTokens()
        while (decision := decide(tokens, 10.0, 2.0)).is_granted:
            pass
        assert 10.0 < decision.ask_again_at <= 10.0 + 1.0 / (USED_SHARE * 2.0)

    def test_many_nodes_that_compete_ask_less_often(self):
        tokens = RequestTokens()
        for number in range(300):
            decision = decide(tokens, 10.0, 20.0, f"n{number}")
        assert decision.ask_again_at == 10.0 + MAX_HOLD_SECONDS
