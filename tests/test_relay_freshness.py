"""How old a node's knowledge may be: for acting, for denying, before it is renewed."""

from __future__ import annotations

import pytest

from celerytrail.policies.freshness import Freshness
from celerytrail.policies.renewal import RenewalBound


class TestFreshness:
    def make(self, **more: object) -> tuple[Freshness, list[float]]:
        now = [100.0]
        fields: dict[str, object] = {
            "bound_seconds": 5.0,
            "config_seconds": 2.0,
            "is_strict": True,
            **more,
        }
        made = Freshness(clock=lambda: now[0], **fields)  # type: ignore[arg-type]
        return made, now

    def test_nothing_is_usable_before_the_first_read(self):
        freshness, _ = self.make()
        assert not freshness.is_usable

    def test_a_node_that_hears_nothing_stops_before_the_bound(self):
        # A node is cut off from the store and from all others. A key is taken away;
        # the node would let its holder through until the cut heals.
        freshness, now = self.make()
        freshness.confirm(100.0)
        now[0] = 102.0
        assert freshness.is_usable
        now[0] = 104.51
        assert not freshness.is_usable

    def test_a_short_outage_refuses_nobody(self):
        # The store is away for four seconds, as while it is restarted. Refusing all
        # callers long before the bound protects nobody: a key that was taken away may
        # be used until then.
        freshness, now = self.make()
        freshness.confirm(100.0)
        now[0] = 104.4
        assert freshness.is_usable

    def test_an_answer_that_comes_late_counts_from_its_question(self):
        freshness, now = self.make()
        now[0] = 104.51
        freshness.confirm(100.0)
        assert not freshness.is_usable

    def test_an_older_confirmation_takes_nothing_back(self):
        freshness, now = self.make()
        freshness.confirm(100.0)
        freshness.confirm(95.0)
        now[0] = 102.0
        assert freshness.is_usable

    def test_a_bound_that_changed_holds_at_once(self):
        freshness, now = self.make()
        freshness.confirm(100.0)
        now[0] = 102.0
        freshness.set_bounds(bound_seconds=1.0, config_seconds=2.0, is_strict=True)
        assert not freshness.is_usable

    def test_where_revocation_is_not_strict_old_knowledge_serves(self):
        freshness, now = self.make(is_strict=False)
        freshness.confirm(100.0)
        now[0] = 1_000.0
        assert freshness.is_usable


class TestDenial:
    def test_what_may_have_been_added_since_is_not_denied(self):
        # A caller that is told that its route doesn't exist gives up for good.
        now = [100.0]
        freshness = Freshness(
            bound_seconds=5.0,
            config_seconds=2.0,
            is_strict=True,
            clock=lambda: now[0],
        )
        assert not freshness.may_deny
        freshness.confirm(100.0)
        now[0] = 101.7
        assert freshness.may_deny
        now[0] = 101.9
        assert not freshness.may_deny
        freshness.set_bounds(bound_seconds=5.0, config_seconds=4.0, is_strict=True)
        assert freshness.may_deny


class TestRenewalBound:
    @pytest.mark.parametrize("seconds", [1.0, 2.0, 3.0, 7.0])
    def test_a_source_that_never_answers_leaves_time_for_the_store(self, seconds):
        # Steps that are each bounded by a time of their own add up to any sum.
        bound = RenewalBound(seconds=seconds)
        for age in (0.0, 0.1, 0.3, 0.45):
            asked_at = age * seconds
            wait = bound.wait_seconds(asked_at, max_seconds=seconds)
            given_up_at = asked_at + wait + bound.answer_seconds(max_seconds=seconds)
            assert bound.is_overdue(given_up_at)
            assert seconds - given_up_at >= 0.2 * seconds

    def test_word_that_is_of_use_leaves_time_to_wait(self):
        # Without it nodes would ask one another without a pause.
        bound = RenewalBound(seconds=2.0)
        assert bound.wait_seconds(bound.useful_seconds, max_seconds=0.7) >= 0.1

    def test_no_wait_is_longer_than_it_was_asked_for(self):
        assert RenewalBound(seconds=60.0).wait_seconds(None, max_seconds=0.7) == 0.7

    def test_overdue_knowledge_is_not_waited_for(self):
        assert RenewalBound(seconds=2.0).wait_seconds(5.0, max_seconds=0.7) == 0.0

    def test_a_node_that_knows_nothing_yet_may_ask_any_source(self):
        assert not RenewalBound(seconds=2.0).is_overdue(None)
