"""Places of endpoints that fall over by refusals, as their owner counts them."""

from __future__ import annotations

import itertools

import pytest

from celerytrail.platform import wire
from celerytrail.policies.brittleplaces import COUNT_SECONDS, BrittlePlaces
from celerytrail.policies.coldlimits import NodePosition

N_SLOTS = 4
N_REFUSALS = 3.0


class Owner:
    """The owner of one endpoint, and the nodes that ask it."""

    def __init__(self, known_share: float = 1.0) -> None:
        self.places = BrittlePlaces()
        self.known_share = known_share
        self.n_own: dict[str, int] = {}
        self.numbers = itertools.count(1)

    def ask(self, node: str, now: float) -> bool:
        decision = self.places.decide(
            "e1",
            node,
            now,
            number=next(self.numbers),
            n_own=self.n_own.get(node, 0),
            n_slots=N_SLOTS,
            n_refusals=N_REFUSALS,
            position=NodePosition(index=9, n_nodes=10),
            known_share=self.known_share,
        )
        assert decision.is_granted or decision.ask_again_at > now
        self.n_own[node] = self.n_own.get(node, 0) + decision.is_granted
        return decision.is_granted

    def end(self, node: str, now: float, *, is_refused: bool = False) -> None:
        self.n_own[node] -= 1
        self.places.record(
            "e1",
            node,
            now,
            number=next(self.numbers),
            n_own=self.n_own[node],
            is_refused=is_refused,
            seconds=0.1,
        )


class TestBrittlePlaces:
    def test_there_are_as_many_as_the_endpoint_runs_at_a_time(self):
        owner = Owner()
        assert all(owner.ask(f"n{number}", 0.0) for number in range(N_SLOTS))
        assert not owner.ask("n5", 0.0)
        owner.end("n2", 0.1)
        assert owner.ask("n5", 0.1)

    def test_beyond_them_few_of_what_it_can_refuse_are_sent(self):
        owner = Owner()
        for number in range(N_SLOTS):
            owner.ask(f"n{number}", 0.0)
        n_risked = sum(owner.ask("n9", 0.01 * step) for step in range(1, 1_001))
        assert 0 < n_risked <= 0.5 * N_REFUSALS * 10.0 + 1

    @pytest.mark.parametrize("known_share", [0.1, 0.24])
    def test_a_node_that_knows_few_others_grants_only_their_part(self, known_share):
        owner = Owner(known_share=known_share)
        n_granted = sum(owner.ask("n1", 0.01 * step) for step in range(1_000))
        assert n_granted <= 0.5 * N_REFUSALS * known_share * 10.0 + 1

    def test_a_refused_request_with_a_place_makes_the_places_fewer(self):
        owner = Owner()
        for number in range(N_SLOTS):
            owner.ask(f"n{number}", 0.0)
        owner.end("n0", 0.1, is_refused=True)
        assert not owner.ask("n5", 0.2)
        assert owner.ask("n5", 1.2)

    def test_counts_that_overtake_each_other_change_nothing(self):
        owner = Owner()
        for number in range(N_SLOTS):
            owner.ask(f"n{number}", 0.0)
        owner.places.record(
            "e1", "n0", 0.1, number=0, n_own=0, is_refused=False, seconds=0.1
        )
        assert not owner.ask("n5", 0.1)

    def test_the_counts_of_nodes_that_are_gone_are_forgotten(self):
        owner = Owner()
        for number in range(N_SLOTS):
            owner.ask(f"n{number}", 0.0)
        assert not owner.ask("n5", 0.1)
        owner.places.keep({"e1"}, {"n1", "n2", "n3", "n5"})
        assert owner.ask("n5", 0.1)

    def test_a_count_without_news_ends(self):
        owner = Owner()
        for number in range(N_SLOTS):
            owner.ask(f"n{number}", 0.0)
        assert owner.ask("n5", COUNT_SECONDS + 0.1)


class TestStatement:
    @pytest.mark.parametrize(
        ("text", "expected"), [("3", 3.0), ("0", 0.0), ("x", None), ("-1", None)]
    )
    def test_it_is_decoded(self, text: str, expected: float | None):
        headers = {"server-brittle": text, "x-response-seal": "s"}
        stated = wire.decode_statements(200, headers)
        assert stated.refusals_per_second == expected
        assert wire.decode_statements(200, {}).refusals_per_second is None
