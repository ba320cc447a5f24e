"""Pauses that endpoints ask for, and leaving ones: the decisions alone."""

from __future__ import annotations

import pytest

from celerytrail.model import EndpointState, Registration
from celerytrail.policies.statedpauses import (
    MAX_SPREAD_SECONDS,
    N_CONTINUED,
    PROBE_POLL_SECONDS,
    StatedPauses,
)
from celerytrail.relay.registry import LAPSE_GRACE_SECONDS, Registry
from celerytrail.types import Address

D1 = ("d1", 1)


def registration(started_at: int = 1, **more: object) -> Registration:
    fields: dict[str, object] = {
        "endpoint": "d1",
        "service": "desk",
        "address": Address(host="10.0.0.1", port=1),
        "failure_domain": "a",
        "n_slots": 4,
        "state": EndpointState.READY,
        "started_at": started_at,
        **more,
    }
    return Registration(**fields)  # type: ignore[arg-type]


class TestPauses:
    def test_no_request_is_sent_in_a_pause(self):
        pauses = StatedPauses()
        assert pauses.record(D1, 10.0, 3.0)
        assert pauses.is_paused(D1, 12.9)
        assert pauses.seconds_until_open(D1, 11.0) == 2.0
        assert not pauses.admits(D1, 12.9, is_probe=False)
        assert not pauses.begin_probe(D1, 12.9)

    def test_a_later_shorter_pause_ends_no_longer_one(self):
        pauses = StatedPauses()
        pauses.record(D1, 10.0, 3.0)
        assert not pauses.record(D1, 11.0, 1.0)
        assert pauses.seconds_until_open(D1, 11.0) == 2.0
        assert pauses.record(D1, 12.0, 3.0)
        assert pauses.seconds_until_open(D1, 12.0) == 3.0

    def test_an_answer_to_an_earlier_request_ends_no_pause(self):
        # Requests in flight are answered in the pause, also by other refusals.
        pauses = StatedPauses()
        pauses.record(D1, 10.0, 3.0)
        assert not pauses.record_answer(D1, 9.9)
        assert not pauses.record_answer(D1, 12.0)
        assert pauses.is_paused(D1, 12.0)

    def test_another_start_of_the_endpoint_has_no_pause(self):
        pauses = StatedPauses()
        pauses.record(D1, 10.0, 3.0)
        assert not pauses.is_paused(("d1", 2), 11.0)

    def test_one_request_goes_first_after_a_pause(self):
        # All that waited arrived at once at an endpoint that still shed load.
        pauses = StatedPauses()
        pauses.record(D1, 10.0, 3.0)
        assert pauses.seconds_until_open(D1, 13.0) == 0.0
        assert pauses.begin_probe(D1, 13.0)
        assert not pauses.begin_probe(D1, 13.0)
        assert pauses.seconds_until_open(D1, 13.0) == PROBE_POLL_SECONDS
        assert pauses.admits(D1, 13.0, is_probe=True)
        assert not pauses.admits(D1, 13.0, is_probe=False)
        pauses.end_probe(D1)
        assert pauses.seconds_until_open(D1, 13.1) == 0.0
        assert pauses.record_answer(D1, 13.0)
        assert pauses.admits(D1, 13.1, is_probe=False)

    def test_a_new_pause_stops_the_request_that_goes_first(self):
        pauses = StatedPauses()
        pauses.record(D1, 10.0, 3.0)
        assert pauses.begin_probe(D1, 13.0)
        pauses.record(D1, 13.1, 3.0)
        assert not pauses.admits(D1, 13.2, is_probe=True)

    def test_runs_in_progress_may_continue_a_bounded_number_of_times(self):
        pauses = StatedPauses()
        assert not pauses.take_continuation(D1, 10.0)
        pauses.record(D1, 10.0, 3.0)
        taken = [pauses.take_continuation(D1, 11.0) for _ in range(5)]
        assert taken.count(True) == N_CONTINUED

    def test_callers_return_in_order_and_not_at_once(self):
        pauses = StatedPauses()
        pauses.record(D1, 10.0, 4.0)
        returns = [at + pauses.return_seconds(D1, at) for at in (10.0, 11.0, 13.0)]
        assert returns == sorted(returns)
        assert returns[0] == 14.0
        assert returns[-1] - returns[0] == pytest.approx(3.0)

    def test_a_long_pause_spreads_them_over_some_seconds(self):
        pauses = StatedPauses()
        pauses.record(D1, 10.0, 600.0)
        assert 609.0 + pauses.return_seconds(D1, 609.0) < 610.0 + MAX_SPREAD_SECONDS

    def test_ended_pauses_and_gone_endpoints_are_forgotten(self):
        pauses = StatedPauses()
        pauses.record(D1, 10.0, 3.0)
        pauses.expire(11.0, lambda endpoint: True)
        assert pauses.n_paused(11.0) == 1
        pauses.expire(11.0, lambda endpoint: False)
        assert pauses.n_paused(11.0) == 0


class TestLeaving:
    def make(self) -> tuple[Registry, list[Registration]]:
        told: list[Registration] = []
        return Registry(on_leaving=told.append), told

    def test_a_row_that_says_ready_does_not_undo_it(self):
        registry, told = self.make()
        registry.put(registration())
        assert registry.record_leaving(registration())
        assert not registry.record_leaving(registration())
        registry.put(registration(cold_seconds=1.0))
        assert registry.usable_endpoints("desk") == []
        assert len(told) == 1

    def test_a_row_that_lapses_does_not_undo_it(self):
        # Lapsed rows were used without asking whether their endpoint leaves.
        registry, _ = self.make()
        registry.put(registration())
        registry.remove("d1", 10.0, may_be_lapse=True)
        assert registry.usable_endpoints("desk") != []
        registry.record_leaving(registration())
        assert registry.usable_endpoints("desk") == []
        registry.put(registration())
        assert registry.usable_endpoints("desk") == []
        registry.expire(10.0 + LAPSE_GRACE_SECONDS)
        assert registry.usable_endpoints("desk") == []

    def test_it_is_known_before_and_after_the_row(self):
        # The word of an endpoint without a row was dropped.
        registry, _ = self.make()
        registry.record_leaving(registration())
        registry.put(registration())
        assert registry.usable_endpoints("desk") == []

    def test_a_new_start_undoes_it(self):
        registry, _ = self.make()
        registry.put(registration())
        registry.record_leaving(registration())
        registry.put(registration(started_at=2))
        assert registry.usable_endpoints("desk") != []
        # A late answer of the former start.
        registry.record_leaving(registration())
        assert registry.usable_endpoints("desk") != []

    def test_another_node_tells_of_one_start(self):
        registry, _ = self.make()
        registry.put(registration(started_at=2))
        registry.record_leaving_at_peer("d1", 1)
        assert registry.usable_endpoints("desk") != []
        registry.record_leaving_at_peer("d1", 3)
        registry.put(registration(started_at=3))
        assert registry.usable_endpoints("desk") == []

    def test_a_node_of_an_earlier_version_tells_of_the_last_start(self):
        registry, _ = self.make()
        registry.put(registration(started_at=2))
        registry.record_leaving_at_peer("d1", None)
        assert registry.usable_endpoints("desk") == []
