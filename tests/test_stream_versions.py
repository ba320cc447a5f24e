"""Where a stream may go on, and who knows what began it: the decisions alone."""

from __future__ import annotations

import pytest

from celerytrail.model import EndpointState, Registration
from celerytrail.policies.leavingversions import LeavingVersions
from celerytrail.policies.streamorigins import StreamOrigin, StreamOrigins, stream_key
from celerytrail.policies.versionbinding import UNBOUND, VersionBinding
from celerytrail.policies.versionhistory import VersionHistory
from celerytrail.relay.registry import Registry
from celerytrail.types import Address

V1 = StreamOrigin(service="models", version="v1")
V2 = StreamOrigin(service="models", version="v2")
KEY = stream_key("org", "a1")


def registration(version: str, endpoint: str = "e1", **more: object) -> Registration:
    fields: dict[str, object] = {
        "endpoint": endpoint,
        "service": "models",
        "address": Address(host="10.0.0.1", port=1),
        "failure_domain": "a",
        "n_slots": 4,
        "state": EndpointState.READY,
        "started_at": 1,
        "version": version,
        **more,
    }
    return Registration(**fields)  # type: ignore[arg-type]


class TestVersionBinding:
    def test_a_run_without_events_may_begin_anywhere(self):
        assert UNBOUND.allows(registration("v1"))
        assert UNBOUND.allows(registration("v2"))

    def test_a_run_with_events_goes_on_at_their_version_only(self):
        binding = VersionBinding(version="v1")
        assert binding.allows(registration("v1", "e2"))
        assert not binding.allows(registration("v1.1"))

    @pytest.mark.parametrize("binding", [UNBOUND, VersionBinding(version="v1")])
    def test_memory_of_another_version_is_not_used(self, binding: VersionBinding):
        # Before the first event a run may begin anywhere, but not from such memory.
        source = registration("v2", "e2")
        assert not binding.allows(registration("v1"), copied_from=source)

    def test_memory_of_an_unknown_version_is_used_at_its_own_start_only(self):
        # The engine started again under its id, and has no row of that start yet.
        source = registration("", started_at=2)
        assert not UNBOUND.allows(registration("v1", "e2"), copied_from=source)
        assert not UNBOUND.allows(registration("v1"), copied_from=source)
        assert UNBOUND.allows(registration("v2", started_at=2), copied_from=source)

    def test_a_run_of_an_unknown_version_goes_on_nowhere_else(self):
        assert not VersionBinding(version="").allows(registration("v1"))

    def test_memory_of_the_same_version_is_used(self):
        source = registration("v1")
        assert UNBOUND.allows(registration("v1", "e2"), copied_from=source)


class TestVersionHistory:
    def history(self) -> VersionHistory:
        history = VersionHistory()
        history.set_followed(True, 100.0)
        history.record("models", "v1", 101.0)
        return history

    def test_one_version_all_the_time(self):
        present = frozenset({"v1"})
        assert self.history().only_version("models", present, 105.0) == "v1"

    def test_another_version_that_has_left_in_that_time_counts(self):
        history = self.history()
        history.record("models", "v2", 110.0)
        present = frozenset({"v1"})
        assert history.only_version("models", present, 110.0) is None
        assert history.only_version("models", present, 110.1) == "v1"

    def test_versions_of_other_services_do_not_count(self):
        history = self.history()
        history.record("desk", "v9", 110.0)
        assert history.only_version("models", frozenset({"v1"}), 105.0) == "v1"

    def test_a_node_that_has_not_followed_for_so_long_does_not_know(self):
        # A version may have come and gone before its start.
        present = frozenset({"v1"})
        assert self.history().only_version("models", present, 99.0) is None

    def test_a_gap_in_following_starts_anew(self):
        history = self.history()
        history.set_followed(False, 120.0)
        assert history.only_version("models", frozenset({"v1"}), 119.0) is None
        history.set_followed(True, 125.0)
        assert history.only_version("models", frozenset({"v1"}), 124.0) is None
        assert history.only_version("models", frozenset({"v1"}), 126.0) == "v1"

    def test_no_endpoint_means_no_version(self):
        history = VersionHistory()
        history.set_followed(True, 0.0)
        assert history.only_version("models", frozenset(), 1.0) is None

    def test_old_versions_are_forgotten(self):
        history = self.history()
        history.record("models", "v2", 200.0)
        history.expire(150.0)
        assert history.only_version("models", frozenset({"v2"}), 101.0) is None
        assert history.only_version("models", frozenset({"v2"}), 151.0) == "v2"


class TestLeavingVersions:
    VERSIONS = ("v1", "v2")

    def test_a_version_of_which_an_engine_leaves_is_avoided_for_a_while(self):
        leaving = LeavingVersions()
        leaving.record("models", "v1", 100.0)
        assert leaving.avoided("models", self.VERSIONS, 101.0) == {"v1"}
        assert leaving.avoided("models", self.VERSIONS, 110.0) == frozenset()
        assert leaving.avoided("desk", self.VERSIONS, 101.0) == frozenset()

    def test_not_all_versions_are_avoided(self):
        # New runs would find no engine, though all of them serve.
        leaving = LeavingVersions()
        leaving.record("models", "v1", 100.0)
        assert leaving.avoided("models", ("v1",), 101.0) == frozenset()
        leaving.record("models", "v2", 101.0)
        assert leaving.avoided("models", self.VERSIONS, 102.0) == frozenset()

    def test_none_is_avoided_before_any_leaves(self):
        assert LeavingVersions().avoided("models", self.VERSIONS, 1.0) == frozenset()


class TestStreamOrigins:
    def test_a_stream_is_known_until_its_caller_gives_up(self):
        origins = StreamOrigins()
        origins.record(KEY, V1, 10.0)
        assert origins.find(KEY, 9.9) == V1
        assert origins.find(KEY, 10.0) is None
        origins.expire(10.0)
        assert len(origins) == 0

    def test_an_id_of_another_organisation_tells_nothing(self):
        origins = StreamOrigins()
        origins.record(stream_key("org", "a1"), V1, 10.0)
        assert origins.find(stream_key("other", "a1"), 1.0) is None
        assert origins.find(stream_key(None, "a1"), 1.0) is None

    def test_names_that_run_together_are_different_streams(self):
        assert stream_key("a", "b 1") != stream_key("a b", "1")

    def test_an_overlong_id_takes_no_more_room(self):
        assert len(stream_key("org", "x" * 100_000)) == len(KEY)

    def test_contradicting_statements_make_it_unknown(self):
        # Either could be true; the caller may hold events of the other version.
        origins = StreamOrigins()
        origins.record(KEY, V1, 10.0)
        origins.record(KEY, V2, 12.0)
        assert origins.find(KEY, 1.0) is None
        origins.record(KEY, V1, 12.0)
        assert origins.find(KEY, 1.0) is None

    def test_a_repeated_statement_holds_for_the_longer_time(self):
        origins = StreamOrigins()
        origins.record(KEY, V1, 12.0)
        origins.record(KEY, V1, 10.0)
        assert origins.find(KEY, 11.0) == V1

    def test_the_oldest_are_dropped_beyond_the_bound(self):
        origins = StreamOrigins(n_max=2)
        keys = [stream_key("org", str(number)) for number in range(3)]
        for key in keys:
            origins.record(key, V1, 10.0)
        assert len(origins) == 2
        assert origins.find(keys[0], 1.0) is None


class TestRegistry:
    def registry(self) -> Registry:
        registry = Registry(on_leaving=lambda reg: None)
        registry.put(registration("v1", "e1"))
        registry.put(registration("v2", "e2"))
        registry.put(registration("v2", "e3", state=EndpointState.LEAVING))
        return registry

    def test_only_endpoints_of_its_version_are_usable_for_a_bound_run(self):
        usable = self.registry().usable_endpoints(
            "models", VersionBinding(version="v2")
        )
        assert [reg.endpoint for reg in usable] == ["e2"]

    def test_a_version_whose_endpoints_all_leave_is_gone(self):
        registry = self.registry()
        registry.record_leaving(registration("v2", "e2"))
        assert not registry.has_accepting("models", VersionBinding(version="v2"))
        assert registry.has_accepting("models", VersionBinding(version="v1"))

    def test_leaving_endpoints_of_other_versions_are_not_named(self):
        assert self.registry().leaving_endpoints("models", "v1") == []
        assert self.registry().leaving_endpoints("models", "v2") == ["e3"]
