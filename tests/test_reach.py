"""What a node knows of the endpoints that it reaches."""

from __future__ import annotations

import random
from dataclasses import dataclass

from celerytrail.policies.peerchoice import DomainPeers
from celerytrail.policies.reach import (
    DOWN_SECONDS,
    RETRY_SECONDS,
    RETURN_SECONDS,
    STATEMENT_SECONDS,
    CutOffNodes,
    Reach,
    listed_nodes,
)
from celerytrail.types import Address

ENDPOINTS = [Address(host=f"10.0.0.{n}", port=1) for n in range(1, 5)]


class TestReach:
    def test_one_endpoint_that_is_down_is_no_cut(self):
        reach = Reach()
        reach.record_unreached(ENDPOINTS[0], 0.0)
        for address in ENDPOINTS[1:3]:
            reach.record_reached(address, 0.0)
        assert not reach.update_service("desk", ENDPOINTS, 0.1)
        assert not reach.is_lost(ENDPOINTS[0])

    def test_a_node_that_reaches_none_of_those_it_tried_is_cut_off(self):
        reach = Reach()
        for address in ENDPOINTS[:3]:
            reach.record_unreached(address, 0.0)
        assert reach.update_service("desk", ENDPOINTS, 0.1)
        assert not reach.update_service("others", [ENDPOINTS[3]], 0.1)

    def test_it_counts_as_cut_off_for_a_while_after_the_path_is_back(self):
        reach = Reach()
        for address in ENDPOINTS:
            reach.record_lost(address, 0.0)
        assert reach.update_service("desk", ENDPOINTS, 1.0)
        for address in ENDPOINTS:
            assert reach.record_reached(address, 1.0)
        assert reach.update_service("desk", ENDPOINTS, 0.9 + RETURN_SECONDS)
        assert not reach.update_service("desk", ENDPOINTS, 1.1 + RETURN_SECONDS)

    def test_a_path_that_is_back_is_used_at_once(self):
        reach = Reach()
        assert reach.record_lost(ENDPOINTS[0], 0.0)
        assert not reach.record_lost(ENDPOINTS[0], 0.1)
        assert reach.is_lost(ENDPOINTS[0])
        reach.record_reached(ENDPOINTS[0], 0.2)
        assert not reach.is_lost(ENDPOINTS[0])

    def test_a_lost_path_is_tried_again_now_and_then(self):
        reach = Reach()
        reach.record_lost(ENDPOINTS[0], 0.0)
        assert not reach.is_retry_due(ENDPOINTS[0], 0.9 * RETRY_SECONDS)
        assert reach.is_retry_due(ENDPOINTS[0], RETRY_SECONDS)
        assert not reach.is_retry_due(ENDPOINTS[0], 1.9 * RETRY_SECONDS)

    def test_an_endpoint_that_nobody_reaches_is_down_for_a_moment(self):
        reach = Reach()
        reach.record_down(ENDPOINTS[0], 0.0)
        assert reach.is_down(ENDPOINTS[0], 0.9 * DOWN_SECONDS)
        assert not reach.is_down(ENDPOINTS[0], DOWN_SECONDS)

    def test_endpoints_that_are_gone_are_forgotten(self):
        reach = Reach()
        for address in ENDPOINTS:
            reach.record_lost(address, 0.0)
        reach.keep(ENDPOINTS[:1], 0.0)
        assert reach.unreached() == ENDPOINTS[:1]
        assert reach.n_lost == 1


class TestCutOffNodes:
    def test_a_statement_holds_for_a_while_and_can_be_taken_back(self):
        nodes = CutOffNodes()
        nodes.record("a", ["desk"], 0.0)
        nodes.record("b", ["desk"], 0.0)
        assert nodes.is_cut_off("a", 0.0, "desk")
        assert not nodes.is_cut_off("a", 0.0, "models")
        nodes.record("a", [], 0.1)
        assert not nodes.is_cut_off("a", 0.1)
        assert nodes.n_cut_off(0.9 * STATEMENT_SECONDS) == 1
        assert nodes.n_cut_off(STATEMENT_SECONDS) == 0

    def test_callers_are_sent_to_the_others_as_long_as_these_suffice(self):
        names = ["a", "b", "c", "d"]
        assert listed_nodes(names, lambda name: name in "ab") == ["c", "d"]
        assert listed_nodes(names, lambda name: name in "abc") == names
        assert listed_nodes(names, lambda name: True) == names


@dataclass(frozen=True, kw_only=True)
class Peer:
    failure_domain: str


class TestPeerChoice:
    def test_only_the_first_is_taken_from_the_own_domain(self):
        # A whole domain lost the path, and each of its nodes asked the others in it.
        peers = [Peer(failure_domain=domain) for domain in "aaaabbbb"]
        choice = DomainPeers(failure_domain="a", rng=random.Random(1))
        for _ in range(20):
            domains = [peer.failure_domain for peer in choice.order(peers, 3)]
            assert domains == ["a", "b", "b"]
