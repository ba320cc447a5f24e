"""Token streams from engines that break their protocol, stall or restart."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest
from callers_rig import POLICY, expected_text, start_engine, until

from celerytrail.clock import SystemClock
from celerytrail.engines.client import EngineClient
from celerytrail.engines.counters import StreamCounters
from celerytrail.engines.streams import EngineStream, StreamLost
from celerytrail.engines.wire import (
    BadReply,
    EngineOrder,
    Finished,
    GenerateRequest,
    NewerReader,
    OrderExpired,
    StaleFencing,
    UnknownGeneration,
)
from celerytrail.http.client import HttpClient
from celerytrail.types import Address


def deadline_in(seconds=1.0):
    return asyncio.get_running_loop().time() + seconds


class StreamRig:
    """Holds a stand-in engine and a client connected to it."""

    def __init__(self, engine):
        self.engine = engine
        self.http = HttpClient(process="n1")
        self.client = EngineClient(http=self.http, clock=SystemClock())
        self.counters = StreamCounters()

    async def start(self, prompt, generation_id="g1", n_max_tokens=10_000):
        req = GenerateRequest(
            generation_id=generation_id,
            model="draft",
            prompt=prompt,
            n_max_tokens=n_max_tokens,
        )
        opened = await self.client.generate(
            self.engine.address, req, deadline=deadline_in()
        )
        reader = opened.ok_value
        return self.stream(reader.incarnation, generation_id, reader=reader)

    def stream(
        self, incarnation, generation_id="g1", reader=None, offset=0, deadline=None
    ):
        return EngineStream(
            client=self.client,
            clock=SystemClock(),
            rng=random.Random(1),
            policy=POLICY,
            counters=self.counters,
            address=self.engine.address,
            generation_id=generation_id,
            incarnation=incarnation,
            reader=reader,
            offset=offset,
            deadline=deadline,
        )

    @staticmethod
    async def read(stream, n_tokens=None):
        """Read to the end or to ``n_tokens``; return the text and the last result."""
        text = ""
        while True:
            received = await stream.next()
            if not received.is_ok():
                return text, received.err_value
            if isinstance(received.ok_value, Finished):
                return text, received.ok_value
            text += "".join(msgspec.json.decode(t) for t in received.ok_value.tokens)
            if n_tokens is not None and stream.offset >= n_tokens:
                return text, received.ok_value


@pytest.fixture
async def rig():
    rig = StreamRig(await start_engine())
    yield rig
    rig.http.close()
    await rig.engine.close()


class TestStream:
    async def test_stream_is_complete_and_in_order(self, rig):
        text, last = await rig.read(await rig.start("a [length=40]"))
        assert text == expected_text("a [length=40]", "g1", 40)
        assert last == Finished(end="stop", n_tokens=40, n_prompt_tokens=3)
        assert rig.counters.n_tokens == 40

    async def test_preempted_generation_stalls_and_loses_nothing(self):
        """The engine runs out of memory during two generations and preempts one, which
        it computes again later. Its reader sees a pause and each token once.
        """
        rig = StreamRig(await start_engine(n_memory_tokens=150))
        streams = [await rig.start("b [length=100]", f"g{n}") for n in (1, 2)]
        answers = await asyncio.gather(*(rig.read(s) for s in streams))
        for number, (text, _) in enumerate(answers, start=1):
            assert text == expected_text("b [length=100]", f"g{number}", 100)
        report = (
            await rig.client.load(rig.engine.address, deadline=deadline_in())
        ).ok_value
        assert rig.engine.batch.report(0.0, 0.0).n_preemptions > 0
        assert report.engine == "e1"
        await rig.engine.close()

    @pytest.mark.parametrize("fault", ["stall", "lose_reply"])
    async def test_stalled_or_cut_connection_is_resumed(self, rig, fault):
        """The connection stalls or breaks in mid-stream while the engine keeps
        generating. The caller sees a pause and then the rest.
        """
        rig.engine.fault(fault, after_writes=5, n=1, path="/generate")
        text, last = await rig.read(await rig.start("c [length=60]"))
        assert text == expected_text("c [length=60]", "g1", 60)
        assert last.n_tokens == 60
        assert sum(rig.counters.resumes.values()) == 1

    @pytest.mark.parametrize("fault", ["resend", "skip"])
    async def test_engine_that_resends_or_skips_after_a_resume(self, rig, fault):
        """After a broken connection the engine resumes at too low or too high an
        offset. Without a check the text would have repeated or missing tokens.
        """
        rig.engine.fault("lose_reply", after_writes=5, n=1, path="/generate")
        rig.engine.fault(fault, tokens=3, n=1)
        text, last = await rig.read(await rig.start("d [length=60]"))
        assert text == expected_text("d [length=60]", "g1", 60)
        assert last.n_tokens == 60

    async def test_permanent_gap_ends_with_an_error(self, rig):
        """The engine omits tokens permanently. After a few retries the stream ends with
        an error and never returns a text with missing tokens.
        """
        rig.engine.fault("jump", after=10, tokens=2)
        text, last = await rig.read(await rig.start("e [length=60]"))
        assert text == expected_text("e [length=60]", "g1", 10)
        assert last.reason == "engine_broken"
        assert last.n_tokens == 10

    async def test_malformed_line_is_read_again(self, rig):
        """One line of a stream is not JSON. The connection is closed and the stream is
        resumed at that token.
        """
        rig.engine.fault("garbage", after=7, n=1)
        text, _ = await rig.read(await rig.start("f [length=30]"))
        assert text == expected_text("f [length=30]", "g1", 30)
        assert rig.counters.resumes["bad_line"] == 1
        assert rig.counters.bad_replies["bad_line"] == 1

    async def test_tokens_of_another_generation_are_rejected(self, rig):
        """After a broken connection the engine answers with another generation. If it
        were accepted, a caller would read the answer to another caller's prompt.
        """
        rig.engine.fault("lose_reply", after_writes=5, n=1, path="/generate")
        stream = await rig.start("g [length=300]")
        await rig.read(stream, n_tokens=4)
        rig.engine.fault("swap")
        text, last = await rig.read(stream)
        assert isinstance(last, StreamLost)
        assert last.reason == "engine_unreachable"
        assert last.can_resume

    async def test_restarted_engine_ends_the_stream(self, rig):
        """The engine crashes in mid-stream, and a new process at the same address
        starts a generation with the same id. The stream ends with an error.
        """
        stream = await rig.start("h [length=300]")
        text, _ = await rig.read(stream, n_tokens=5)
        address = rig.engine.address
        await rig.engine.close()
        rig.engine = await start_engine(listen=address)
        other = rig.engine.batch.start(
            "g1", "other [length=300]", 500, 5, deadline_in()
        )
        await until(lambda: other.n_produced > 5)
        more, last = await rig.read(stream)
        assert last.reason == "engine_restarted"
        assert not last.can_resume
        n_tokens = last.n_tokens
        assert text + more == expected_text("h [length=300]", "g1", n_tokens)

    @pytest.mark.parametrize(("seconds", "reason"), [(0.2, "deadline"), (60.0, None)])
    async def test_engine_enforces_the_deadline_first(self, rig, seconds, reason):
        """An engine whose clock is slightly ahead cancels a generation at its deadline
        before the node does. This was once reported to the caller as a cancellation; a
        cancel long before the deadline still is one.
        """
        first = await rig.start("k [length=5000]")
        await rig.read(first, n_tokens=2)
        stream = rig.stream(
            first.incarnation, offset=first.offset, deadline=deadline_in(seconds)
        )
        await rig.client.cancel(rig.engine.address, "g1", deadline=deadline_in())
        _, last = await rig.read(stream)
        if reason is None:
            assert isinstance(last, Finished)
            assert last.end == "cancelled"
        else:
            assert last.reason == reason

    async def test_request_after_a_cancel_gets_its_own_tokens(self, rig):
        """A generation is cancelled while its tokens are in transit, and the next
        request is sent to the same engine immediately. It gets its own tokens only.
        """
        first = await rig.start("i [length=5000]", "g1")
        await rig.read(first, n_tokens=3)
        cancel = asyncio.create_task(first.cancel())
        second = await rig.start("j [length=20]", "g2")
        text, _ = await rig.read(second)
        assert (await cancel).is_ok()
        assert text == expected_text("j [length=20]", "g2", 20)

    async def test_answer_with_another_exchange_id_is_rejected(self, rig):
        """An engine, or a proxy in front of it, answers with another exchange's id. The
        tokens of that answer may belong to any generation.
        """
        rig.engine.fault("crossed")
        req = GenerateRequest(
            generation_id="g1", model="draft", prompt="k", n_max_tokens=5
        )
        opened = await rig.client.generate(
            rig.engine.address, req, deadline=deadline_in()
        )
        assert opened.err_value.reason == "crossed"


class TestRandomFaults:
    @pytest.mark.parametrize("seed", range(10))
    async def test_text_is_a_prefix_of_the_right_text(self, rig, seed):
        """Connections stall and break, and the engine resends, skips and sends garbage,
        in any order and repeatedly. The caller's text is always a prefix of the right
        text, and complete if the stream ends without an error.
        """
        rng = random.Random(seed)
        stream = await rig.start("z [length=150]")
        text, last = await rig.read(stream, 3)
        while not isinstance(last, Finished | StreamLost):
            name = rng.choice(["stall", "lose_reply", "resend", "skip", "garbage"])
            after = stream.offset + rng.randrange(20)
            rig.engine.fault(name, n=1, tokens=rng.randrange(1, 5), after=after)
            if stream._reader is not None and rng.random() < 0.5:
                stream._reader.close()
            more, last = await rig.read(stream, stream.offset + rng.randrange(1, 25))
            text += more
        assert text == expected_text("z [length=150]", "g1", stream.offset)
        assert isinstance(last, StreamLost) or stream.offset == 150


class TestClient:
    async def test_cancel_by_an_earlier_reader_is_refused(self, rig):
        """A paused node resumes and cancels a generation that its caller now reads
        through another node. If the engine obeyed, the caller's text would be cut off.
        """
        first = await rig.start("l [length=5000]")
        await rig.read(first, n_tokens=2)
        second = rig.stream(first.incarnation, offset=first.offset)
        await rig.read(second, n_tokens=first.offset + 2)
        cancelled = await first.cancel(only_if_last_reader=True)
        assert isinstance(cancelled.err_value, NewerReader)
        assert rig.engine.batch.generations["g1"].end is None
        assert (await second.cancel(only_if_last_reader=True)).is_ok()
        assert rig.engine.batch.generations["g1"].end == "cancelled"

    async def test_orders_and_their_refusals(self, rig):
        def order(order_id, fencing, expires_in=60.0):
            return EngineOrder(
                order_id=order_id,
                kind="load_adapter",
                adapter="legal",
                fencing=fencing,
                expires_at=SystemClock().wall() + expires_in,
            )

        address = rig.engine.address
        send_order = rig.client.order
        assert (
            await send_order(address, order("o1", 5), deadline=deadline_in())
        ).is_ok()
        assert (
            await send_order(address, order("o1", 5), deadline=deadline_in())
        ).is_ok()
        stale = await send_order(address, order("o2", 4), deadline=deadline_in())
        assert stale.err_value == StaleFencing(fencing=5)
        late = await send_order(address, order("o3", 6, -1.0), deadline=deadline_in())
        assert late.err_value == OrderExpired()
        assert rig.engine.batch.adapters == ["legal"]

    async def test_cache_events_arrive_late_and_with_gaps(self, rig):
        """The engine publishes cache events late and omits some."""
        rig.engine.batch.event_seconds = 3600.0
        for number in range(12):
            stream = await rig.start(f"{number} {'x' * 600} [length=1]", f"g{number}")
            await rig.read(stream)
        events = rig.client.cache_events
        before_publication = await events(rig.engine.address, 0, deadline=deadline_in())
        assert before_publication.ok_value.events == ()
        rig.engine.batch.event_seconds = 0.0
        late = (await events(rig.engine.address, 0, deadline=deadline_in())).ok_value
        assert [e.sequence for e in late.events] == [1, 2, 3, 4, 5, 6, 8, 9, 10, 11, 12]
        assert late.next == 12

    async def test_engine_cancels_generation_past_its_deadline(self, rig):
        """The node stops reading and its caller's deadline passes. The engine, which
        was sent the deadline, cancels the generation itself.
        """
        req = GenerateRequest(
            generation_id="g1",
            model="draft",
            prompt="n [length=9000]",
            n_max_tokens=9000,
        )
        opened = await rig.client.generate(
            rig.engine.address,
            req,
            deadline=deadline_in(),
            request_deadline=deadline_in(0.1),
        )
        opened.ok_value.close()
        await until(lambda: rig.engine.batch.generations["g1"].end == "cancelled")

    async def test_leaving_engine_reports_it_and_refuses(self, rig):
        """The engine has received notice that its machine will be reclaimed."""
        rig.engine.fault("leaving")
        report = (
            await rig.client.load(rig.engine.address, deadline=deadline_in())
        ).ok_value
        assert report.leaving_at is not None
        req = GenerateRequest(
            generation_id="g1", model="draft", prompt="m", n_max_tokens=5
        )
        opened = await rig.client.generate(
            rig.engine.address, req, deadline=deadline_in()
        )
        assert opened.err_value.reason == "leaving"

    async def test_bad_replies_are_reported(self):
        """A server that is not an engine answers at the engine's address."""
        server = await asyncio.start_server(_answer_malformed_json, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        address = Address(host="127.0.0.1", port=port)
        client = EngineClient(http=HttpClient(process="n1"), clock=SystemClock())
        load = await client.load(address, deadline=deadline_in())
        assert isinstance(load.err_value, BadReply)
        resumed = await client.resume(address, "g1", 0, deadline=deadline_in())
        assert isinstance(resumed.err_value, BadReply)
        server.close()

    async def test_cancel_of_unknown_generation(self, rig):
        cancelled = await rig.client.cancel(
            rig.engine.address, "g9", deadline=deadline_in()
        )
        assert cancelled.err_value == UnknownGeneration()


async def _answer_malformed_json(reader, writer):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().lower().splitlines()
    request_id = next(line for line in lines if line.startswith("x-request-id"))
    writer.write(f"HTTP/1.1 200 OK\r\n{request_id}\r\n".encode())
    writer.write(b"content-length: 9\r\nconnection: close\r\n\r\n[not json")
    await writer.drain()
    writer.close()
