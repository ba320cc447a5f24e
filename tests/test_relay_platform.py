"""Tests how the adapter decodes and encodes the platform's names and formats."""

from __future__ import annotations

import msgspec
import pytest
from result import Err, Ok

from celerytrail.http.messages import Request
from celerytrail.model import EndpointState, RouteKind
from celerytrail.platform import wire
from celerytrail.platform.nodesettings import read_settings
from celerytrail.platform.operatorconfig import decode_config
from celerytrail.platform.registrations import decode_registration
from celerytrail.types import Address

SETTINGS = {
    "node": "edge-a-1",
    "zone": "a",
    "region": "r",
    "listen": {"front": "10.1.0.1:80", "control": "10.1.0.1:81"},
    "port-range": [7200, 7215],
    "seeds": ["10.1.0.1:81"],
    "bounds": {"revoke-ms": 5000, "grace-s": 8, "retry-slack": 113},
    "infrastructure": {"address": "10.9.0.1:82"},
    "a-field-of-tomorrow": {"x": 1},
}

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "draft",
            "hostname": "Desk.example",
            "prefix": "/d/",
            "route-type": "streaming",
            "timeout-ms": 39000,
            "target-latency-ms": 1800,
            "gap-target-ms": 180,
            "service": "models",
            "priority": 1,
            "max-attempts": 1,
        },
        {
            "name": "file",
            "hostname": "desk.example",
            "prefix": "/d/file/",
            "route-type": "unsafe",
            "timeout-ms": 1500,
            "target-latency-ms": 400,
            "traffic-split": [
                {"service": "desk", "weight": 90},
                {"service": "desk2", "weight": 10},
            ],
        },
    ],
    "services": [
        {
            "name": "models",
            "engine": {
                "slots": 24,
                "kv-capacity-tokens": 34359,
                "kv-token-bytes": 18432,
                "link-mbps": 2700.0,
                "moves": True,
                "backups": True,
                "stride": 4,
                "handle-s": 5.0,
            },
        },
        {"name": "desk"},
    ],
    "tenants": [{"name": "org", "api-keys": ["k1", "k2"], "priority": 0}],
}


def request(headers: dict[str, str], path: str = "/d/x", query: str = "") -> Request:
    pairs = [(name.encode(), value.encode()) for name, value in headers.items()]
    return Request(
        method="POST", path=path, query=query, headers=headers, raw_headers=pairs
    )


class TestSettingsFile:
    def test_known_fields_are_read_and_others_ignored(self):
        cfg = read_settings(msgspec.json.encode(SETTINGS)).ok_value
        assert cfg.node == "edge-a-1"
        assert cfg.callers == Address(host="10.1.0.1", port=80)
        assert cfg.store == Address(host="10.9.0.1", port=82)
        assert cfg.revoke_seconds == 5.0
        assert cfg.peer_ports == (7200, 7215)

    def test_all_findings_are_returned_with_their_places(self):
        # An operator should see all mistakes in the file at once, and not one for each
        # start of a node.
        invalid = {
            **SETTINGS,
            "node": 3,
            "port-range": "7200",
            "bounds": {"revoke-ms": "soon"},
            "listen": {"front": "here"},
        }
        read = read_settings(msgspec.json.encode(invalid))
        assert isinstance(read, Err)
        places = {finding.place for finding in read.err_value}
        assert places == {"node", "port-range", "bounds.revoke-ms", "listen.front"}

    def test_invalid_json_is_a_finding(self):
        assert isinstance(read_settings(b"{"), Err)


class TestOperatorConfig:
    def test_decodes_units_kinds_and_shares(self):
        cfg = decode_config(msgspec.json.encode(CONFIG)).ok_value
        draft, file = cfg.routes
        assert draft.kind is RouteKind.STREAM
        assert draft.timeout_seconds == 39.0
        assert draft.target_gap_seconds == pytest.approx(0.18)
        assert [share.weight for share in file.shares] == [90, 10]
        engine = cfg.services["models"].engine
        assert engine is not None
        assert engine.link_bytes_per_second == 2700 * 125_000
        assert cfg.keys is not None
        assert cfg.keys["k2"].organisation == "org"

    def test_the_longest_prefix_of_the_host_wins(self):
        cfg = decode_config(msgspec.json.encode(CONFIG)).ok_value
        found = cfg.find_route("desk.example:80", "/d/file/1")
        assert found is not None and found.name == "file"
        found = cfg.find_route("DESK.example", "/d/other")
        assert found is not None and found.name == "draft"
        assert cfg.find_route("desk.example", "/elsewhere/") is None
        assert cfg.find_route("other.example", "/d/x") is None

    @pytest.mark.parametrize(
        "change",
        [
            {"routes": [{"hostname": "x", "prefix": "/", "route-type": "odd"}]},
            {"routes": [{"hostname": "x", "prefix": "/", "route-type": "safe"}]},
            {"version": "seven"},
        ],
    )
    def test_an_unreadable_configuration_is_an_error_with_a_reason(self, change):
        decoded = decode_config(msgspec.json.encode({**CONFIG, **change}))
        assert isinstance(decoded, Err)
        assert decoded.err_value


class TestRegistrations:
    ROW = {
        "service": "desk",
        "address": "10.1.0.9:80",
        "zone": "a",
        "version": "v1.2",
        "slots": 6,
        "state": "ready",
        "cold-remaining-ms": 1500,
        "born": 42,
    }

    def test_decodes_a_row(self):
        reg = decode_registration("i-1", msgspec.json.encode(self.ROW)).ok_value
        assert reg.endpoint == "i-1"
        assert reg.state is EndpointState.READY
        assert reg.cold_seconds == 1.5
        assert reg.started_at == 42
        assert reg.version == "v1.2"

    def test_a_row_without_a_version_is_rejected(self):
        # Any stream might go on at such an endpoint.
        row = {name: value for name, value in self.ROW.items() if name != "version"}
        assert isinstance(decode_registration("i-1", msgspec.json.encode(row)), Err)

    @pytest.mark.parametrize(
        "change",
        [
            {"address": "nowhere"},
            {"address": None},
            {"state": "dancing"},
            {"slots": "six"},
            {"service": 7},
            {"born": "once"},
            {"version": ""},
            {"version": 2},
            {"version": None},
        ],
    )
    def test_a_row_with_an_invalid_field_is_rejected(self, change):
        # Another writer may have stored the row, with fields of other types or unknown
        # values. Callers would be sent to an invalid address.
        raw = msgspec.json.encode({**self.ROW, **change})
        assert isinstance(decode_registration("i-1", raw), Err)

    def test_invalid_json_is_rejected(self):
        assert isinstance(decode_registration("i-1", b"\xff\x00{"), Err)


class TestForwardedHeaders:
    FACTS = wire.ForwardMetadata(
        endpoint="i-1", budget_seconds=1.5, organisation="org", priority=0
    )

    def test_caller_headers_are_forwarded_and_system_headers_added(self):
        req = request(
            {
                "host": "desk.example",
                "x-attempt-id": "a1",
                "x-model-name": "m",
                "accept": "text/event-stream",
            }
        )
        sent = dict(wire.forward_headers(req, self.FACTS))
        assert sent["host"] == "desk.example"
        assert sent["x-attempt-id"] == "a1"
        assert sent["x-model-name"] == "m"
        assert sent["x-target-instance"] == "i-1"
        assert sent["x-time-budget-ms"] == "1500"
        assert sent["x-tenant-id"] == "org"

    def test_headers_reserved_for_the_system_are_dropped(self):
        # A caller that names another organisation, or a copy in an engine's memory,
        # would get access to data of others.
        req = request(
            {
                "x-tenant-id": "victim",
                "authorization": "Bearer k1",
                "kv-from": "10.0.0.1:1/other",
                "x-kv-backup": "10.0.0.1:1",
                "x-kv-hold": "h",
                "x-pin-ms": "9",
                "x-target-instance": "i-2",
                "x-request-priority": "0",
            }
        )
        facts = wire.ForwardMetadata(endpoint="i-1", budget_seconds=1.0)
        sent = dict(wire.forward_headers(req, facts))
        assert sent == {"x-time-budget-ms": "1000", "x-target-instance": "i-1"}

    def test_hop_by_hop_headers_are_dropped(self):
        req = request(
            {
                "connection": "close, x-private",
                "x-private": "1",
                "transfer-encoding": "chunked",
                "te": "trailers",
            }
        )
        sent = dict(wire.forward_headers(req, self.FACTS))
        assert not {"connection", "x-private", "transfer-encoding", "te"} & set(sent)

    def test_a_connection_header_cannot_drop_the_attempt_id(self):
        # If a caller could list the id as a hop-by-hop header, its request would reach
        # an endpoint without one, and the answer couldn't be checked.
        req = request({"connection": "x-attempt-id", "x-attempt-id": "a1"})
        assert dict(wire.forward_headers(req, self.FACTS))["x-attempt-id"] == "a1"


class TestCallerFacts:
    def test_reads_sizes_key_and_budget(self):
        facts = wire.decode_request_metadata(
            request(
                {
                    "x-attempt-id": "a1",
                    "authorization": "Bearer k1",
                    "x-time-budget-ms": "2500",
                    "x-token-count": "1460,80",
                    "x-length-hint": "60",
                    "x-prompt-prefix": "5c1e07a2:800,91bd3f06:410",
                }
            )
        )
        assert facts.key == "k1"
        assert facts.budget_seconds == 2.5
        assert (facts.n_prompt_tokens, facts.n_max_tokens) == (1460, 80)
        assert facts.n_expected_tokens == 60
        assert facts.shared_parts == ("5c1e07a2",)
        assert facts.own_part == "91bd3f06"

    @pytest.mark.parametrize(
        "text, shared, own",
        [
            ("", (), ""),
            ("aa:1", (), "aa"),
            ("AA:1,aa:2,Bb:3,cc:4", ("aa", "bb"), "cc"),
            (" aa:1 , bb:2 ", ("aa",), "bb"),
            ("aa:1,x,:3,bb,cc:,dd:2,ee:1", ("aa", "dd"), "ee"),
            ("aa:1,bb:2,torn", ("aa", "bb"), ""),
            ("aa:1,xaa:2,ee:1", ("aa",), "ee"),
        ],
    )
    def test_parts_of_a_prompt_are_told_by_their_ids(self, text, shared, own):
        facts = wire.decode_request_metadata(request({"x-prompt-prefix": text}))
        assert (facts.shared_parts, facts.own_part) == (shared, own)

    def test_long_ids_of_parts_take_bounded_room(self):
        text = f"{'a' * 5_000}:1,{'a' * 5_001}:1,bb:2"
        facts = wire.decode_request_metadata(request({"x-prompt-prefix": text}))
        assert len(set(facts.shared_parts)) == 2
        assert max(map(len, facts.shared_parts)) <= wire.MAX_PART_LENGTH

    @pytest.mark.parametrize("text", ["", "x", "-5", "1e400", "nan"])
    def test_an_unreadable_budget_counts_as_not_stated(self, text):
        facts = wire.decode_request_metadata(request({"x-time-budget-ms": text}))
        assert facts.budget_seconds is None


class TestAnswers:
    def test_only_a_sealed_answer_without_encoding_is_accepted(self):
        assert wire.is_sealed_answer({"x-response-seal": "s"})
        assert not wire.is_sealed_answer({})
        assert not wire.is_sealed_answer(
            {"x-response-seal": "s", "content-encoding": "gzip"}
        )

    def test_an_answer_that_states_not_executed_is_recognised(self):
        assert wire.is_not_run(503, {"x-not-executed": "1"})
        assert wire.is_not_run(421, {})
        assert not wire.is_not_run(503, {})

    def test_reports_and_moves_are_decoded(self):
        body = b'{"queued":1,"in-flight":2,"kv-used":3,"kv-total":4,"leaves_ms":500}'
        report = wire.decode_report(body).ok_value
        assert report.is_leaving and report.leaves_in_seconds == 0.5
        assert report.n_used_tokens == 3
        assert isinstance(wire.decode_report(b"[]"), Err)
        assert isinstance(wire.decode_completed_move(b'{"created":1}'), Err)
        assert isinstance(wire.decode_completed_move(b'{"handle":"h","created":1}'), Ok)
