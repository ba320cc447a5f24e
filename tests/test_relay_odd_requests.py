"""Requests that are proper, though few callers send such."""

from __future__ import annotations

import pytest

from celerytrail.relay.events import StreamEvent
from tests.relayrig import Rig


@pytest.fixture
async def desk():
    rig = Rig()
    await rig.start()
    worker = await rig.add_plain_worker("d1")
    await rig.add_node()
    yield rig, worker
    await rig.close()


class TestHeaders:
    async def test_a_value_outside_ascii_is_passed_on(self, desk):
        """Guards against a 500 of our own for a header that we don't read."""
        rig, worker = desk
        headers = rig.headers(**{"x-note": "caf\xe9"})
        assert (await rig.request("/file/1", headers=headers)).status == 200
        assert worker.seen[-1].req.headers["x-note"] == "caf\xe9"

    @pytest.mark.parametrize("count", ["\xb2,5", "5,\xb2", "1" * 5_000])
    async def test_a_count_that_is_no_number_counts_as_missing(self, desk, count):
        """Guards against a 500 of our own for a digit outside ASCII."""
        rig, _ = desk
        headers = rig.headers(**{"x-token-count": count})
        assert (await rig.request("/file/1", headers=headers)).status == 200


class TestQueries:
    @pytest.mark.parametrize("query", ["", "?", "?a=1", "?a=1?"])
    async def test_a_query_is_passed_on_as_it_came(self, desk, query):
        """Guards against a path that reaches the endpoint changed (UNASKED)."""
        rig, worker = desk
        assert (await rig.request(f"/file/1{query}")).status == 200
        req = worker.seen[-1].req
        found = req.path + ("?" + req.query if req.has_query else "")
        assert found == f"/file/1{query}"


class TestEventIds:
    @pytest.mark.parametrize("event_id", ["\xb2", "1" * 5_000, "", "-1", None])
    def test_an_id_that_is_no_number_has_none(self, event_id):
        """Guards against a stream that ends by the id of one event."""
        assert StreamEvent(data=b"", event_id=event_id).number is None
