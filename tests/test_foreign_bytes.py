"""Rows, answers and messages of other programs, whatever their bytes are."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec
import pytest
from result import Err, Ok

from celerytrail.http.messages import Response
from celerytrail.nodes.wire import (
    Datagram,
    Kind,
    decode_datagram,
    decode_exchange,
    decode_json_update,
)
from celerytrail.platform import storewire, wire
from celerytrail.platform.operatorconfig import decode_config
from celerytrail.platform.registrations import decode_registration
from celerytrail.relay.rowsmessages import decode_rows
from celerytrail.relay.updatemessages import NodeUpdate, decode_update
from standins.worker import worker_row
from tests.fuzzseeds import seeds
from tests.relayrig import Rig, config, local, wait_until

# Each seed draws some inputs; more by hand: CELERYTRAIL_BYTES_SEEDS=1-300.
SEEDS = seeds("CELERYTRAIL_BYTES_SEEDS", "1-20")
N_INPUTS = 40
ROW_BYTES = 65_536


def nested(n_levels: int = 3_000) -> bytes:
    return b'{"notes":' + b"[" * n_levels + b"]" * n_levels + b"}"


def response(body: bytes) -> Response:
    return Response(status=200, headers={}, body=body)


DECODERS: dict[str, Callable[[bytes], object]] = {
    "row": lambda data: decode_registration("e1", data),
    "configuration": decode_config,
    "report": wire.decode_report,
    "copy": wire.decode_completed_move,
    "page": lambda data: storewire.decode_page(response(data)),
    "conflict": lambda data: storewire.decode_conflict(response(data)),
    "version": lambda data: storewire.decode_version(response(data)),
    "datagram": decode_datagram,
    "state": decode_exchange,
    "state update": lambda data: decode_json_update(msgspec.Raw(data)),
    "peer rows": decode_rows,
    "peer update": decode_update,
}
VALUES: list[object] = [
    None, True, -1, 2**63, 1e308, "", "x" * 300, [], {}, [[]], {"a": {}}, "127.0.0.1:x"
]  # fmt: skip
EXTREMES = (
    nested(),
    b"[" * ROW_BYTES,
    b"1" * ROW_BYTES,
    b"-" + b"9" * 5_000,
    b"1e99999",
    b'{"service":"a","service":"b","service":1}',
    b"\xff\xfe\x00",
    b"\x91" * 3_000,
    b"NaN",
    b"",
)


def draw_bytes(rng: random.Random) -> bytes:
    """Draw bytes that are nearly a row, a document or an update, or are extreme."""
    if rng.random() < 0.2:
        return rng.choice(EXTREMES)
    row = worker_row("models", local(1))
    document = rng.choice([row, config(), {"rows": [row], "ver": 1}, {"handle": "h"}])
    fields = dict(document)
    for _ in range(rng.randint(0, 3)):
        fields[rng.choice([*fields, "born", "state"])] = rng.choice(VALUES)
    data = msgspec.json.encode(fields)
    if rng.random() < 0.3:
        data = msgspec.msgpack.encode(NodeUpdate(node="vm-1", leaving=["e1"]))
    if rng.random() < 0.5:
        cut = rng.randrange(len(data))
        data = data[:cut] + rng.randbytes(rng.randint(0, 4)) + data[cut + 1 :]
    return data


class TestDecoders:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_any_bytes_are_decoded_or_described(self, seed):
        """Guards against a row or a message that ends the task which reads it."""
        rng = random.Random(seed)
        for data in [*EXTREMES, *(draw_bytes(rng) for _ in range(N_INPUTS))]:
            for decode in DECODERS.values():
                assert isinstance(decode(data), Ok | Err)

    def test_an_error_that_nobody_thought_of_is_described(self, monkeypatch):
        """Guards against a list of exceptions that is never complete."""

        def fail(text):
            raise ZeroDivisionError(text)

        monkeypatch.setattr("celerytrail.types.Address.parse", fail)
        row = msgspec.json.encode(worker_row("models", local(1)))
        assert "ZeroDivisionError" in decode_registration("e1", row).err_value


def odd_datagrams(rng: random.Random) -> list[bytes]:
    """Return bytes that a peer has signed, though this version wouldn't send them."""
    datagram = Datagram(kind=Kind.PING, sender="vm-2", incarnation=1)
    fields = msgspec.to_builtins(datagram)
    found = [msgspec.msgpack.encode([*fields, extra]) for extra in VALUES]
    # A field of a later version, nested deeper than Python's recursion limit.
    found.append(
        b"\x9d" + msgspec.msgpack.encode(fields)[1:] + b"\x91" * 1_050 + b"\x90"
    )
    for number, _ in enumerate(fields):
        for value in (*VALUES, float("nan"), float("inf"), -1e300):
            changed = [*fields[:number], value, *fields[number + 1 :]]
            found.append(msgspec.msgpack.encode(changed))
    items = [
        [tag, *rng.choices([*VALUES, "vm-3", 7, float("nan")], k=7)] for tag in "mcve"
    ]
    found.append(msgspec.msgpack.encode([*fields[:-1], items]))
    return found


class TestSignedMessages:
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_odd_datagrams_of_a_peer_raise_no_error(self, seed):
        """Guards against errors that only the event loop's own handler sees."""
        rig = Rig()
        await rig.start()
        try:
            node = await rig.add_node()
            keys = node._keys
            for data in odd_datagrams(random.Random(seed)):
                node.nodes.gossip.datagram_received(keys.seal(data), ("127.0.0.1", 9))
                node.nodes.gossip._tick()
            assert node.nodes.members()
        finally:
            await rig.close()


class TestRows:
    async def test_other_rows_are_read_beside_one_that_is_nested_too_deep(self):
        """Guards against requests to an endpoint whose leaving nobody reads of."""
        rig = Rig()
        await rig.start()
        worker = await rig.add_plain_worker("d1")
        node = await rig.add_node()
        for number, data in enumerate(EXTREMES):
            rig.store.put("servers", f"foreign-{number}", data)
        await asyncio.sleep(0.5)
        rig.store.put("servers", "d1", worker.row("desk", "draining"))
        try:
            await wait_until(lambda: not node.registry.usable_endpoints("desk"))
            text = await rig.metrics(node)
            assert "unreadable_rows_total{" in text
        finally:
            await rig.close()

    async def test_a_node_that_starts_beside_such_a_row_reads_the_others(self):
        """Guards against nodes that serve nothing after their restart."""
        rig = Rig()
        await rig.start()
        await rig.add_plain_worker("d1")
        rig.store.put("servers", "foreign", nested())
        node = await rig.add_node()
        try:
            await wait_until(lambda: node.registry.usable_endpoints("desk"))
        finally:
            await rig.close()
