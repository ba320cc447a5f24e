"""Control requests to engines whose answers come twice."""

from __future__ import annotations

import asyncio

import msgspec

from celerytrail.types import Address
from tests.latepeer import ScriptedPeer
from tests.relayrig import PATIENCE_SECONDS, Rig

TARGET = Address(host="127.0.0.1", port=1)


def json_answer(value: object) -> bytes:
    body = msgspec.json.encode(value)
    return f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body


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
