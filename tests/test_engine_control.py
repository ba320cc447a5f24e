"""Control requests to engines whose answers come twice."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from celerytrail.policies.runstops import OrderEffect
from celerytrail.relay.engineapi import effect_of
from celerytrail.types import Address
from tests.latepeer import ScriptedPeer
from tests.relayrig import PATIENCE_SECONDS, Rig

TARGET = Address(host="127.0.0.1", port=1)


def json_answer(value: object, status: int = 200) -> bytes:
    body = msgspec.json.encode(value)
    head = f"HTTP/1.1 {status} Status\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


class TestRepeatedAnswers:
    async def test_a_copy_is_not_resumed_under_the_name_of_another_run(self):
        """Guards against a run that goes on from the memory of another one."""
        copies = [json_answer({"handle": name, "created": 3}) for name in ("h1", "h2")]
        peer = ScriptedPeer([(b"", copies[0]), (copies[0], copies[1])])
        address = await peer.start()
        rig = Rig()
        await rig.start()
        node = await rig.add_node()
        deadline = asyncio.get_running_loop().time() + PATIENCE_SECONDS
        found = [
            await node.access.engine_api.copy(
                address, attempt, TARGET, is_last=True, deadline=deadline
            )
            for attempt in ("a1", "a2")
        ]
        await rig.close()
        await peer.close()
        assert [one.ok_value.handle for one in found] == ["h1", "h2"]


class TestStatusesOfCopies:
    @pytest.mark.parametrize(
        ("status", "effect"),
        [
            (200, OrderEffect.STOPPED),
            (503, OrderEffect.STOPPED),
            (404, OrderEffect.NONE),
            (409, OrderEffect.NONE),
            (500, OrderEffect.UNKNOWN),
            (502, OrderEffect.UNKNOWN),
            (999, OrderEffect.UNKNOWN),
        ],
    )
    async def test_a_handle_shows_a_stop_only_in_an_answer_that_says_so(
        self, status, effect
    ):
        """Guards against a run that goes on from a handle of a failed answer."""
        answer = json_answer({"handle": "h1", "created": 3}, status)
        peer = ScriptedPeer([(b"", answer)])
        address = await peer.start()
        rig = Rig()
        await rig.start()
        node = await rig.add_node()
        deadline = asyncio.get_running_loop().time() + PATIENCE_SECONDS
        copied = await node.access.engine_api.copy(
            address, "a1", TARGET, is_last=True, deadline=deadline
        )
        await rig.close()
        await peer.close()
        assert effect_of(copied) is effect
