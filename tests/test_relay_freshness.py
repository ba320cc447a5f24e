"""Tests of the staleness bounds for use, denial and renewal of a node's data."""

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
        freshness = Freshness(clock=lambda: now[0], **fields)  # type: ignore[arg-type]
        return freshness, now

    def test_nothing_is_usable_before_the_first_read(self):
        freshness, _ = self.make()
        assert not freshness.is_usable

    def test_a_partitioned_node_refuses_before_the_bound(self):
        # A node is partitioned from the store and all other nodes. Without the bound it
        # would accept a revoked key until the partition ends.
        freshness, now = self.make()
        freshness.confirm(100.0)
        now[0] = 102.0
        assert freshness.is_usable
        now[0] = 104.51
        assert not freshness.is_usable

    def test_a_short_outage_causes_no_refusals(self):
        # The store is unavailable for four seconds, as during a restart. To refuse all
        # callers long before the bound has no benefit, as a revoked key may be used
        # until then.
        freshness, now = self.make()
        freshness.confirm(100.0)
        now[0] = 104.4
        assert freshness.is_usable

    def test_the_age_counts_from_when_the_read_was_sent(self):
        freshness, now = self.make()
        now[0] = 104.51
        freshness.confirm(100.0)
        assert not freshness.is_usable

    def test_an_older_confirmation_is_ignored(self):
        freshness, now = self.make()
        freshness.confirm(100.0)
        freshness.confirm(95.0)
        now[0] = 102.0
        assert freshness.is_usable

    def test_a_changed_bound_applies_at_once(self):
        freshness, now = self.make()
        freshness.confirm(100.0)
        now[0] = 102.0
        freshness.set_bounds(bound_seconds=1.0, config_seconds=2.0, is_strict=True)
        assert not freshness.is_usable

    def test_old_data_is_usable_if_revocation_is_not_strict(self):
        freshness, now = self.make(is_strict=False)
        freshness.confirm(100.0)
        now[0] = 1_000.0
        assert freshness.is_usable


class TestDenial:
    def test_stale_data_does_not_lead_to_a_denial(self):
        # A caller doesn't retry after an answer that its route doesn't exist.
        now = [100.0]
        freshness = Freshness(
            bound_seconds=5.0,
            config_seconds=2.0,
            is_strict=True,
            clock=lambda: now[0],
        )
        assert not freshness.can_deny
        freshness.confirm(100.0)
        now[0] = 101.7
        assert freshness.can_deny
        now[0] = 101.9
        assert not freshness.can_deny
        freshness.set_bounds(bound_seconds=5.0, config_seconds=4.0, is_strict=True)
        assert freshness.can_deny


class TestRenewalBound:
    @pytest.mark.parametrize("seconds", [1.0, 2.0, 3.0, 7.0])
    def test_a_silent_source_leaves_time_for_the_store(self, seconds):
        # If each step had a timeout of its own, their sum could exceed the bound.
        bound = RenewalBound(seconds=seconds)
        for age in (0.0, 0.1, 0.3, 0.45):
            asked_at = age * seconds
            wait = bound.wait_seconds(asked_at, max_seconds=seconds)
            timeout_at = asked_at + wait + bound.answer_seconds(max_seconds=seconds)
            assert bound.is_overdue(timeout_at)
            assert seconds - timeout_at >= 0.2 * seconds

    def test_useful_data_leaves_time_to_wait(self):
        # Otherwise nodes would poll one another without a pause.
        bound = RenewalBound(seconds=2.0)
        assert bound.wait_seconds(bound.useful_seconds, max_seconds=0.7) >= 0.1

    def test_a_wait_does_not_exceed_its_limit(self):
        assert RenewalBound(seconds=60.0).wait_seconds(None, max_seconds=0.7) == 0.7

    def test_there_is_no_wait_if_data_is_overdue(self):
        assert RenewalBound(seconds=2.0).wait_seconds(5.0, max_seconds=0.7) == 0.0

    def test_a_node_without_data_may_ask_any_source(self):
        assert not RenewalBound(seconds=2.0).is_overdue(None)
