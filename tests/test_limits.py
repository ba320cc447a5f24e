"""Tests of limits that are lent to many nodes."""

from __future__ import annotations

import random

from celerytrail.policies.limits import Limit, LimitBorrower, LimitLender, LoanRequest

N_NODES = 12
LIMIT = Limit(n_tokens_per_second=1000, n_concurrent=24)


def simulate(
    *, seconds: float, lender_until: float, node_rates: list[float], seed: int
):
    """Return the tokens taken and the most places used at once.

    The lender stops answering at ``lender_until``.
    """
    rng = random.Random(seed)
    lender = LimitLender()
    borrowers = [LimitBorrower(name=f"n{i}") for i in range(len(node_rates))]
    ends: list[tuple[float, int]] = []
    n_tokens, max_places = 0.0, 0
    for step in range(int(seconds * 20)):
        now = step / 20
        for ended_at, i in [end for end in ends if end[0] <= now]:
            borrowers[i].release("o")
            ends.remove((ended_at, i))
        for i, borrower in enumerate(borrowers):
            if rng.random() < node_rates[i] / 20:
                refusal = borrower.admit("o", LIMIT, 50, n_nodes=N_NODES, now=now)
                if refusal is None:
                    n_tokens += 50
                    ends.append((now + 0.5, i))
            for req in borrower.requests(now):
                if now < lender_until:
                    loan = lender.lend(req, LIMIT, n_nodes=N_NODES, now=now)
                    borrower.receive(loan, now)
        max_places = max(max_places, len(ends))
    return n_tokens, max_places


class TestTokenLimit:
    def test_holds_over_many_nodes(self):
        for seed in range(3):
            n_tokens, _ = simulate(
                seconds=60, lender_until=99, node_rates=[10.0] * N_NODES, seed=seed
            )
            assert 0.75 * 60_000 < n_tokens < 1.15 * 60_000

    def test_one_busy_node_gets_nearly_all(self):
        rates = [60.0] + [0.0] * (N_NODES - 1)
        n_tokens, _ = simulate(seconds=60, lender_until=99, node_rates=rates, seed=1)
        assert n_tokens > 0.6 * 60_000

    def test_holds_without_lender(self):
        """The limit home dies and its successor can't be reached. Entry nodes that
        admitted every request would let one organisation flood the engines; refusing
        every request would shut it out.
        """
        n_tokens, _ = simulate(
            seconds=60, lender_until=10, node_rates=[10.0] * N_NODES, seed=1
        )
        assert 0.5 * 60_000 < n_tokens < 1.2 * 60_000


class TestPlaces:
    def test_new_home_does_not_lend_places_twice(self):
        """A limit home is replaced while all places are lent. If the new one lent them
        again, the organisation would use twice its limit.
        """
        old, new = LimitLender(), LimitLender()
        limit = Limit(n_concurrent=24)
        first_req = LoanRequest(organisation="o", borrower="a", n_places=1)
        old.lend(first_req, limit, n_nodes=N_NODES, now=-20.0)
        loan = old.lend(
            LoanRequest(organisation="o", borrower="a", n_places=24),
            limit,
            n_nodes=N_NODES,
            now=0.0,
        )
        assert loan.n_places == 24
        for borrower in ("b", "c"):
            loan = new.lend(
                LoanRequest(organisation="o", borrower=borrower, n_places=24),
                limit,
                n_nodes=N_NODES,
                now=1.0,
            )
            assert loan.n_places <= 2
        loan = new.lend(
            LoanRequest(organisation="o", borrower="a", n_places=24, n_places_used=20),
            limit,
            n_nodes=N_NODES,
            now=2.0,
        )
        assert loan.n_places == 20

    def test_places_of_a_dead_borrower_expire(self):
        lender = LimitLender()
        limit = Limit(n_concurrent=4)
        req = LoanRequest(organisation="o", borrower="a", n_places=4)
        lender.lend(req, limit, n_nodes=1, now=0.0)
        other = LoanRequest(organisation="o", borrower="b", n_places=4)
        assert lender.lend(other, limit, n_nodes=1, now=5.0).n_places == 0
        assert lender.lend(other, limit, n_nodes=1, now=11.0).n_places == 4
