"""Invalid requests of callers, the addresses that they get, and their API keys."""

from __future__ import annotations

import random

import msgspec
import pytest
from callers_rig import KEY, Rig, digest
from hypothesis import given, settings
from hypothesis import strategies as st

from celerytrail.callers.addresses import AddressesApi, MemberAddress, MemberSource
from celerytrail.callers.auth import Authenticator
from celerytrail.callers.bodies import GenerationBody, read_body
from celerytrail.callers.context import read_request_id
from celerytrail.clock import ManualClock
from celerytrail.configuration.current import Configuration
from celerytrail.configuration.document import (
    Document,
    OrganisationSpec,
    VersionedDocument,
)
from celerytrail.http.messages import Request

FIELDS = [
    "model",
    "prompt",
    "messages",
    "max_tokens",
    "stream",
    "n",
    "stop",
    "temperature",
    "timeout",
    "logit_bias",
    "stream_options",
    "user",
    "seed",
    "logprobs",
    "tools",
    "response_format",
    "wild",
]
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=9), inner, max_size=3)
    ),
    max_leaves=6,
)


@pytest.fixture
async def rig():
    rig = Rig()
    yield rig
    await rig.close()


class TestBodies:
    @settings(derandomize=True, max_examples=300)
    @given(
        shape=st.sampled_from(["completion", "chat"]),
        body=st.dictionaries(st.sampled_from(FIELDS), JSON, max_size=6),
    )
    def test_any_json_is_read_or_refused_with_places(self, shape, body):
        read = read_body(shape, msgspec.json.encode(body))
        if read.is_ok():
            assert isinstance(read.ok_value, GenerationBody)
        else:
            assert all(f.place and f.problem for f in read.err_value)

    @settings(derandomize=True, max_examples=200)
    @given(data=st.binary(max_size=80))
    def test_any_bytes_are_read_or_refused(self, data):
        read_body("chat", data)

    def test_deep_nesting_is_refused(self):
        """A body nested many thousand levels deep is refused."""
        deep = b'{"prompt":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        assert read_body("completion", deep).is_err()

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("n", 2),
            ("n", True),
            ("best_of", 3),
            ("echo", True),
            ("logprobs", 5),
            ("stop", ["a"] * 5),
            ("temperature", 3),
            ("temperature", "hot"),
            ("max_tokens", 0),
            ("max_tokens", 10**30),
            ("stream", "yes"),
            ("timeout", -1),
            ("stream_options", {"x": 1}),
            ("prompt", ["a", "b"]),
            ("prompt", "x" * 600_000),
            ("model", ""),
        ],
    )
    def test_finding_names_the_field(self, field, value):
        body = {"model": "draft", "prompt": "a", field: value}
        read = read_body("completion", msgspec.json.encode(body))
        assert [f.place for f in read.err_value] == [field]


class TestHeaders:
    async def test_oversized_head_is_refused(self, rig):
        """A request head of 20 KB that arrives in one piece is refused as too large.
        If it were accepted, each such caller would occupy that much memory.
        """
        await rig.add_engine()
        _, _, node = await rig.add_node()
        answer = await rig.caller.request(
            node, "GET", "/v1/models", headers={"x-other": "x" * 20_000}
        )
        assert answer.status == 431
        assert answer.json()["error"]["type"] == "too_large"

    @pytest.mark.parametrize("text", ["", "x" * 129, "\xe9"])
    def test_bad_request_id_is_refused(self, text):
        req = Request(method="GET", path="/", headers={"x-request-id": text})
        assert read_request_id(req).err_value.place == "x-request-id"

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("x-deadline-at", "soon"),
            ("x-deadline-at", "nan"),
            ("x-deadline-at", "inf"),
        ],
    )
    async def test_bad_deadline_is_refused(self, rig, name, value):
        await rig.add_engine()
        _, _, node = await rig.add_node()
        answer = await rig.caller.request(
            node, "GET", "/v1/models", headers={name: value}
        )
        assert answer.status == 400
        assert answer.json()["error"]["place"] == name

    async def test_deadline_in_the_past_is_answered_at_once(self, rig):
        """A request that arrives after its deadline starts no generation."""
        engine = await rig.add_engine()
        _, _, node = await rig.add_node()
        body = {"model": "draft", "prompt": "a"}
        answer = await rig.caller.request(
            node, "POST", "/v1/completions", body, headers={"x-deadline-at": "1"}
        )
        assert answer.status == 503
        assert answer.json()["error"]["reason"] == "deadline"
        assert answer.json()["error"]["not_run"] is True
        assert engine.batch.generations == {}


class FixedMembers(MemberSource):
    def __init__(self, *members):
        self._members = members

    def members(self):
        return self._members


def member(number, failure_domain, state="alive", region="south"):
    return MemberAddress(
        node=f"n{number}",
        address=f"10.0.0.{number}:7100",
        failure_domain=failure_domain,
        region=region,
        state=state,
    )


def addresses_api(*members, seed=1):
    return AddressesApi(
        source=FixedMembers(*members),
        failure_domain="fd1",
        clock=ManualClock(),
        rng=random.Random(seed),
    )


class TestAddresses:
    def test_own_failure_domain_comes_first(self):
        nodes = [member(n, f"fd{n % 3}") for n in range(30)]
        chosen = addresses_api(*nodes).choose("fd2")
        domains = [m.failure_domain for m in chosen]
        assert domains[:4] == ["fd2"] * 4
        assert set(domains[4:6]) == {"fd0", "fd1"}

    def test_leaving_and_suspect_nodes_are_left_out(self):
        """Nodes that are about to stop or don't respond aren't returned: callers would
        wait for them in vain.
        """
        states = ["leaving", "suspect", "dead", "alive"]
        nodes = [member(n, "fd1", state) for n, state in enumerate(states)]
        assert [m.node for m in addresses_api(*nodes).choose("fd1")] == ["n3"]

    def test_first_node_varies_between_callers(self):
        nodes = [member(n, "fd1") for n in range(4)]
        first_nodes = {
            addresses_api(*nodes, seed=seed).choose("fd1")[0].node for seed in range(50)
        }
        assert len(first_nodes) == 4

    def test_own_region_comes_before_other_regions(self):
        same_region, other_region = member(1, "fd2"), member(2, "fd9", region="north")
        chosen = addresses_api(other_region, same_region, member(3, "fd1")).choose(
            "fd1"
        )
        assert [m.node for m in chosen] == ["n3", "n1", "n2"]


class TestAuthenticator:
    def test_keys_follow_the_document(self):
        """When an operator replaces an organisation's key, the new one is accepted and
        the old one refused as soon as the document is in force.
        """
        configuration = Configuration()
        authenticator = Authenticator(configuration=configuration)
        for version, key in ((1, KEY), (2, "newer")):
            office = OrganisationSpec(name="office", key_digests=(digest(key),))
            document = Document(organisations=(office,))
            configuration.offer(VersionedDocument(version=version, document=document))
            headers = {"authorization": f"Bearer {key}"}
            req = Request(method="GET", path="/", headers=headers)
            assert authenticator.authenticate(req).ok_value.name == "office"
        old = Request(
            method="GET", path="/", headers={"authorization": f"Bearer {KEY}"}
        )
        assert authenticator.authenticate(old).err_value.reason == "unknown_key"

    @pytest.mark.parametrize(
        "header", ["", "Bearer", "Bearer ", "Basic abc", "Bearer " + "x" * 9000]
    )
    def test_error_of_bad_header_hides_the_key(self, header):
        authenticator = Authenticator(configuration=Configuration())
        req = Request(method="GET", path="/", headers={"authorization": header})
        error = authenticator.authenticate(req).err_value
        assert error.reason == "bad_scheme"
        assert "xxx" not in str(error)
