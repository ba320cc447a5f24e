"""How nodes follow the store and one another: watches, mirrors, peer updates."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import msgspec
import pytest
from eliot import MemoryLogger
from eliot.testing import swap_logger
from result import Err, Ok, Result

from celerytrail.clock import ManualClock, SystemClock
from celerytrail.metrics import Metrics
from celerytrail.model import (
    EndpointState,
    EngineReport,
    LoadHeader,
    Registration,
)
from celerytrail.platform.registrations import decode_registration
from celerytrail.policies.coldlimits import ColdEndpoints
from celerytrail.policies.decodetimes import DecodeTimes
from celerytrail.policies.engineloads import (
    REPORT_EXPIRY_SECONDS,
    EngineLoad,
    EngineLoads,
    Run,
)
from celerytrail.policies.statedlimits import LimitStatement
from celerytrail.policies.versionhistory import VersionHistory
from celerytrail.relay.crashes.news import BlockEntry, CrashNews
from celerytrail.relay.peerupdates import (
    MANY_PEERS,
    MAX_RUNS_PER_DATAGRAM,
    SHORT_RUN_TOKENS,
    PeerUpdates,
)
from celerytrail.relay.registry import Registry
from celerytrail.relay.tablemirror import MAX_CHANGES, TableMirror
from celerytrail.relay.tablesinks import RegistrationSink
from celerytrail.relay.tablewatch import OUTAGE_SECONDS, TableSink, TableWatch
from celerytrail.relay.updatemessages import NodeUpdate, run_entry
from celerytrail.rowsource import (
    Changes,
    HistoryTruncated,
    Row,
    RowSource,
    StoreUnavailable,
)
from celerytrail.types import Address
from standins.worker import worker_row

CLOCK = SystemClock()


class RecordingSink(TableSink):
    """Records the rows that it receives."""

    def __init__(self) -> None:
        self.replaced: list[list[str]] = []
        self.changed: list[list[str]] = []
        self.is_after_outage: list[bool] = []

    def replace(self, rows, *, is_after_outage):
        self.replaced.append([row.key for row in rows])
        self.is_after_outage.append(is_after_outage)

    def change(self, rows, *, is_after_outage):
        self.changed.append([row.key for row in rows])
        self.is_after_outage.append(is_after_outage)


class ScriptedSource(RowSource):
    """Returns scripted answers in order, and then hangs."""

    def __init__(self, *answers: Result) -> None:
        self._answers = list(answers)
        self.requested_after: list[int | None] = []

    async def _next(self, after):
        self.requested_after.append(after)
        if not self._answers:
            await asyncio.Event().wait()
        return self._answers.pop(0)

    async def read(self, table, deadline, *, at_least=0):
        return await self._next(None)

    async def follow(self, table, after, wait_seconds, deadline):
        return await self._next(after)

    async def put(self, table, key, value, deadline):
        raise NotImplementedError

    async def drop(self, table, key, deadline):
        raise NotImplementedError


def rows(*keys: str, version: int = 1) -> tuple[Row, ...]:
    return tuple(Row(key=key, value=b"{}", version=version) for key in keys)


def make_mirror() -> tuple[TableMirror, RecordingSink]:
    sink = RecordingSink()
    return TableMirror(
        sink=sink, relevant_content=lambda key, value: value, clock=CLOCK
    ), sink


class TestTableWatch:
    async def follow(
        self, source: ScriptedSource
    ) -> tuple[RecordingSink, list[tuple[int, float]]]:
        sink = RecordingSink()
        confirmed: list[tuple[int, float]] = []
        watch = TableWatch(
            source=source,
            table="op",
            sink=sink,
            wait=lambda: 0.0,
            pause=lambda: 0.0,
            on_confirmed=lambda confirmation: confirmed.append(
                (confirmation.version, confirmation.confirmed_at)
            ),
            on_renewed=lambda age: None,
            bound_seconds=lambda: 2.0,
            clock=CLOCK,
            rng=random.Random(1),
        )
        for _ in range(len(source._answers)):
            await watch._step()
        return sink, confirmed

    async def test_reads_whole_and_then_follows(self):
        source = ScriptedSource(
            Ok(Changes(rows=rows("a", "b"), version=5)),
            Ok(Changes(rows=rows("b"), version=6)),
            Ok(Changes(rows=(), version=6)),
        )
        sink, confirmed = await self.follow(source)
        assert sink.replaced == [["a", "b"]]
        assert sink.changed == [["b"]]
        assert source.requested_after == [None, 5, 6]
        assert [version for version, _ in confirmed] == [5, 6, 6]

    async def test_reads_the_whole_table_again_without_history(self):
        # The store has dropped its history. A watch that went on from its old version
        # would miss the changes in between.
        source = ScriptedSource(
            Ok(Changes(rows=rows("a"), version=5)),
            Err(HistoryTruncated()),
            Ok(Changes(rows=rows("c"), version=9)),
        )
        sink, _ = await self.follow(source)
        assert sink.replaced == [["a"], ["c"]]

    async def test_a_whole_read_of_an_older_version_is_ignored(self):
        # An endpoint added since would be missing, and be treated as removed.
        source = ScriptedSource(
            Ok(Changes(rows=rows("a", "b"), version=9)),
            Err(HistoryTruncated()),
            Ok(Changes(rows=rows("a"), version=4)),
            Ok(Changes(rows=rows("a", "b"), version=9)),
        )
        sink, confirmed = await self.follow(source)
        assert sink.replaced == [["a", "b"], ["a", "b"]]
        assert [version for version, _ in confirmed] == [9, 9]

    async def test_an_older_answer_does_not_lower_the_version(self):
        source = ScriptedSource(
            Ok(Changes(rows=rows("a"), version=9)),
            Ok(Changes(rows=(), version=4)),
            Ok(Changes(rows=(), version=9)),
        )
        await self.follow(source)
        assert source.requested_after == [None, 9, 9]

    async def test_the_age_of_another_nodes_answer_is_subtracted(self):
        source = ScriptedSource(Ok(Changes(rows=(), version=1, age_seconds=2.0)))
        before = CLOCK.boottime()
        _, confirmed = await self.follow(source)
        assert confirmed[0][1] <= before - 1.9

    async def test_reports_a_renewal_later_than_the_bound(self):
        # An operator looks for late renewals after a caller was refused by an old
        # version of the configuration.
        clock = ManualClock()
        renewed: list[float] = []
        watch = TableWatch(
            source=ScriptedSource(
                Ok(Changes(rows=rows("a"), version=1)),
                Ok(Changes(rows=(), version=1, age_seconds=4.0)),
                Ok(Changes(rows=(), version=2, age_seconds=1.0, source="vm-2")),
            ),
            table="op",
            sink=RecordingSink(),
            wait=lambda: 0.0,
            pause=lambda: 0.0,
            on_confirmed=lambda confirmation: None,
            on_renewed=renewed.append,
            bound_seconds=lambda: 2.0,
            clock=clock,
            rng=random.Random(1),
        )
        logger = MemoryLogger()
        former = swap_logger(logger)
        try:
            for _ in range(3):
                await watch._step()
                clock.advance(3.0)
        finally:
            swap_logger(former)
        assert renewed == [6.0]
        lines = [
            line
            for line in logger.messages
            if line["message_type"] == "relay:table:renewed_late"
        ]
        assert [(line["age"], line["source"]) for line in lines] == [(6.0, "vm-2")]

    async def test_the_wait_at_the_source_does_not_count_as_age(self):
        # With ages counted from when the request was sent, new rows seemed as old as
        # the time that the request had waited.
        clock = ManualClock()
        answers = ScriptedSource(
            Ok(Changes(rows=(), version=1, age_seconds=0.2, waited_seconds=0.5))
        )
        confirmed: list[float] = []
        watch = TableWatch(
            source=answers,
            table="op",
            sink=RecordingSink(),
            wait=lambda: 0.5,
            pause=lambda: 0.0,
            on_confirmed=lambda confirmation: confirmed.append(
                confirmation.confirmed_at
            ),
            on_renewed=lambda age: None,
            bound_seconds=lambda: 2.0,
            clock=clock,
            rng=random.Random(1),
        )
        watch._record_version(answers._answers[0].ok_value, sent_at=0.0)
        clock.advance(0.6)
        watch._record_version(answers._answers[0].ok_value, sent_at=0.0)
        # At most the time that has passed at this node is subtracted.
        assert confirmed == pytest.approx([-0.2, 0.3])

    async def test_rows_after_an_outage_are_marked(self):
        # The store was unavailable; endpoints whose rows vanish may just have been
        # unable to write to it.
        source = ScriptedSource(
            Ok(Changes(rows=rows("a"), version=1)),
            Err(StoreUnavailable(reason="timeout")),
            Ok(Changes(rows=rows("b"), version=2)),
        )
        sink = RecordingSink()
        watch = TableWatch(
            source=source,
            table="servers",
            sink=sink,
            wait=lambda: 0.0,
            pause=lambda: 0.0,
            on_confirmed=lambda confirmation: None,
            on_renewed=lambda age: None,
            bound_seconds=lambda: 2.0,
            clock=CLOCK,
            rng=random.Random(1),
        )
        await watch._step()
        await watch._step()
        watch._answered_at -= OUTAGE_SECONDS + 1
        await watch._step()
        assert sink.is_after_outage == [False, True]


class TestTableMirror:
    async def test_nothing_is_served_before_the_first_whole_read(self):
        mirror, _ = make_mirror()
        assert mirror.snapshot() is None
        assert await mirror.follow(0, 0.0) is None

    async def test_a_change_wakes_a_waiting_follower(self):
        mirror, _ = make_mirror()
        mirror.replace(rows("a"), is_after_outage=False)
        mirror.confirm(1, CLOCK.boottime())
        waiting = asyncio.ensure_future(mirror.follow(1, 5.0))
        await asyncio.sleep(0)
        mirror.change([Row(key="b", value=b"x", version=2)], is_after_outage=False)
        mirror.confirm(2, CLOCK.boottime())
        found = await waiting
        assert isinstance(found, Changes)
        assert [row.key for row in found.rows] == ["b"]

    async def test_a_heartbeat_is_not_sent_to_followers(self):
        # Endpoints rewrite their rows each second. If these were passed on, each would
        # cause a message to every node.
        sink = RecordingSink()
        mirror = TableMirror(
            sink=sink, relevant_content=lambda key, value: "same", clock=CLOCK
        )
        mirror.replace(rows("a"), is_after_outage=False)
        mirror.confirm(1, CLOCK.boottime())
        mirror.change([Row(key="a", value=b"beat 2", version=2)], is_after_outage=False)
        mirror.confirm(2, CLOCK.boottime())
        found = await mirror.follow(1, 0.0)
        assert isinstance(found, Changes)
        assert found.rows == ()
        assert found.version == 2
        assert sink.changed == [["a"]]

    async def test_a_request_is_answered_while_the_rows_are_useful(self):
        # The requester needs time to try another source.
        clock = ManualClock()
        mirror = TableMirror(
            sink=RecordingSink(), relevant_content=lambda key, v: v, clock=clock
        )
        mirror.replace(rows("a"), is_after_outage=False)
        mirror.confirm(1, clock.boottime())
        clock.advance(1.5)
        found = await mirror.follow(1, 5.0, useful_seconds=1.0)
        assert isinstance(found, Changes)
        assert found.waited_seconds == 0.0

    async def test_a_removed_row_is_sent_once(self):
        mirror, _ = make_mirror()
        mirror.replace(rows("a"), is_after_outage=False)
        mirror.confirm(1, CLOCK.boottime())
        removed = Row(key="a", value=None, version=2)
        mirror.change([removed], is_after_outage=False)
        mirror.change([removed], is_after_outage=False)
        mirror.confirm(2, CLOCK.boottime())
        found = await mirror.follow(1, 0.0)
        assert isinstance(found, Changes)
        assert found.rows == (removed,)
        snapshot = mirror.snapshot()
        assert snapshot is not None and snapshot.rows == ()

    async def test_a_whole_read_of_an_older_version_lowers_the_version(self):
        # A follower that got the higher version would never request the rows between.
        mirror, _ = make_mirror()
        mirror.replace(rows("a", version=115), is_after_outage=False)
        mirror.confirm(120, CLOCK.boottime())
        mirror.replace(rows("a", version=100), is_after_outage=False)
        mirror.confirm(110, CLOCK.boottime() - 1.0)
        snapshot = mirror.snapshot()
        assert snapshot is not None
        assert snapshot.version == 110
        assert snapshot.age_seconds >= 1.0
        found = await mirror.follow(112, 0.0)
        assert isinstance(found, Changes)
        assert found.version == 110

    async def test_a_follower_that_lags_too_far_reads_the_whole_table(self):
        mirror, _ = make_mirror()
        mirror.replace(rows("a"), is_after_outage=False)
        mirror.confirm(1, CLOCK.boottime())
        for number in range(MAX_CHANGES + 1):
            row = Row(key=f"k{number}", value=b"1", version=number + 2)
            mirror.change([row], is_after_outage=False)
        mirror.confirm(MAX_CHANGES + 2, CLOCK.boottime())
        assert isinstance(await mirror.follow(1, 0.0), HistoryTruncated)
        found = await mirror.follow(2, 0.0)
        assert isinstance(found, Changes)
        assert len(found.rows) == MAX_CHANGES


class TestPeerUpdates:
    def make(
        self, name: str = "me"
    ) -> tuple[PeerUpdates, EngineLoads, dict[str, list]]:
        loads = EngineLoads()
        events: dict[str, list] = {
            name: []
            for name in (
                "leaving",
                "retried",
                "aborted",
                "limits",
                "cut_off",
                "prompts",
                "loads",
            )
        }
        peer_updates = PeerUpdates(
            on_origin=lambda entry: None,
            node=name,
            loads=loads,
            decode_times=DecodeTimes(),
            on_run=lambda run: None,
            on_ended=lambda run_id: None,
            peers=lambda: [],
            on_leaving=lambda *leaving: events["leaving"].append(leaving),
            on_retried=events["retried"].append,
            on_aborted=lambda *abort: events["aborted"].append(abort),
            on_limit=events["limits"].append,
            on_brittle=lambda statement: None,
            on_cut_off=lambda *statement: events["cut_off"].append(statement),
            on_crash_news=events["prompts"].append,
            on_load=lambda *load: events["loads"].append(load),
            on_waiting=lambda node, waiting: None,
            on_returning=lambda returning: None,
            rng=random.Random(1),
        )
        return peer_updates, loads, events

    def run(self, number: int = 1) -> Run:
        return Run(
            run_id=f"r{number}",
            endpoint="e1",
            n_prompt_tokens=10,
            n_expected_tokens=5,
            backup="e2",
            is_moving=True,
            n_generated_tokens=3,
        )

    async def test_news_of_prompts_are_passed_on(self):
        sender, _, _ = self.make("other")
        receiver, _, events = self.make()
        sent: list[NodeUpdate] = []
        sender._send = sent.append  # type: ignore[method-assign]
        block = BlockEntry(service="models", parts=["bad"], revision=1, seconds=9.0)
        sender.announce_crash_news(CrashNews(blocks=[block]))
        receiver.datagram_received(msgspec.msgpack.encode(sent[0]), ("10.0.0.1", 1))
        assert events["prompts"] == [CrashNews(blocks=[block])]

    async def test_a_sent_run_is_received_unchanged(self):
        sender, _, _ = self.make("other")
        receiver, loads, _ = self.make()
        sent: list[NodeUpdate] = []
        sender._send = sent.append  # type: ignore[method-assign]
        sender.announce_run(self.run())
        receiver.datagram_received(msgspec.msgpack.encode(sent[0]), ("10.0.0.1", 1))
        assert loads.runs_on_engine("e1") == [self.run()]

    @pytest.mark.parametrize(
        ("n_peers", "n_expected_tokens", "backup", "is_announced"),
        [
            (MANY_PEERS, SHORT_RUN_TOKENS, "", False),
            (MANY_PEERS, SHORT_RUN_TOKENS + 1, "", True),
            (MANY_PEERS, SHORT_RUN_TOKENS, "e2", True),
            (MANY_PEERS - 1, SHORT_RUN_TOKENS, "", True),
        ],
    )
    async def test_many_peers_are_not_told_that_a_short_prefill_has_ended(
        self, n_peers, n_expected_tokens, backup, is_announced
    ):
        # Guards against datagrams on runs that have ended when they arrive.
        sender, loads, _ = self.make("other")
        sent: list[NodeUpdate] = []
        sender._send = sent.append  # type: ignore[method-assign]
        sender._peers = lambda: [Address(host="10.0.0.1", port=1)] * n_peers
        run = replace(
            self.run(),
            n_generated_tokens=0,
            n_expected_tokens=n_expected_tokens,
            backup=backup,
            is_prefilling=False,
        )
        sender.announce_first_event(run)
        assert bool(sent) is is_announced
        assert loads.runs_on_engine("e1") == [run]

    async def test_a_limit_is_announced_by_the_age_of_its_statement(self):
        # Two nodes have no clock in common.
        sender, _, _ = self.make("other")
        receiver, _, events = self.make()
        sent: list[NodeUpdate] = []
        sender._send = sent.append  # type: ignore[method-assign]
        stated_at = asyncio.get_running_loop().time() - 2.0
        limit = LimitStatement(
            endpoint="d1",
            requests_per_second=1.5,
            sent_at=stated_at - 1.0,
            heard_at=stated_at,
        )
        sender.announce_limits([limit])
        receiver.datagram_received(msgspec.msgpack.encode(sent[0]), ("10.0.0.1", 1))
        (received,) = events["limits"]
        assert received.requests_per_second == 1.5
        assert received.sent_at == pytest.approx(limit.sent_at, abs=0.1)
        assert received.heard_at == pytest.approx(limit.heard_at, abs=0.1)

    async def test_a_stated_load_is_received_unchanged(self):
        # Guards against a load that is told with another meaning than it was read.
        sender, _, _ = self.make("other")
        receiver, _, events = self.make()
        sent: list[NodeUpdate] = []
        sender._send = sent.append  # type: ignore[method-assign]
        header = LoadHeader(n_running=3, n_waiting=1, n_slots=6, slowness=2.5)
        sender.announce_load("d1", header, is_sample=True)
        receiver.datagram_received(msgspec.msgpack.encode(sent[0]), ("10.0.0.1", 1))
        assert events["loads"] == [("d1", header, True)]

    @pytest.mark.parametrize(
        "entry",
        [
            ["d1", -1, 0, 6, 1.0, True],
            ["d1", 0, -1, 6, 1.0, True],
            ["d1", 0, 0, 0, 1.0, True],
            ["d1", 10**9, 0, 6, 1.0, True],
            ["d1", 0, 0, 6, 0.0, True],
            ["d1", 0, 0, 6, -1.0, True],
            ["d1", 0, 0, 6, 1e9, True],
            ["d1", 0, 0, 6, float("nan"), True],
        ],
    )
    async def test_a_load_that_no_endpoint_may_state_is_ignored(self, entry):
        # Guards against a faulty node whose values distort or end others' choices.
        receiver, _, events = self.make()
        update = ["other", *msgspec.to_builtins(NodeUpdate(node="other"))[1:]]
        update[-1] = [entry]
        receiver.datagram_received(msgspec.msgpack.encode(update), ("10.0.0.1", 1))
        assert events["loads"] == []

    async def test_an_update_of_a_node_without_limits_is_read(self):
        # Nodes of the former version run beside new ones during a rolling restart.
        receiver, _, events = self.make()
        former = ["other", False, [], [], ["e1"], [], [], [], 0.5]
        receiver.datagram_received(msgspec.msgpack.encode(former), ("10.0.0.1", 1))
        assert events["leaving"] == [("e1", None)]
        assert events["limits"] == []

    async def test_many_runs_are_split_across_datagrams(self):
        sender, _, _ = self.make("other")
        sent: list[NodeUpdate] = []
        sender._send = sent.append  # type: ignore[method-assign]
        for number in range(MAX_RUNS_PER_DATAGRAM + 1):
            sender.record_progress(self.run(number))
        sender._send_all_runs()
        assert [len(update.runs) for update in sent] == [MAX_RUNS_PER_DATAGRAM, 1]
        assert not any(update.is_complete for update in sent)

    async def test_a_node_without_runs_sends_no_updates(self):
        # Hundreds of nodes that send empty updates would keep one another busy at no
        # load.
        sender, _, _ = self.make("other")
        sent: list[NodeUpdate] = []
        sender._send = sent.append  # type: ignore[method-assign]
        for _ in range(10):
            sender._send_all_runs()
        assert sent == []

    async def test_an_empty_update_repairs_the_lost_end_of_the_last_run(self):
        # Otherwise the run's memory would count as used until its node's next update.
        sender, _, _ = self.make("other")
        receiver, loads, _ = self.make()
        sent: list[NodeUpdate] = []
        sender._send = sent.append  # type: ignore[method-assign]
        sender.announce_run(self.run())
        receiver.datagram_received(msgspec.msgpack.encode(sent.pop()), ("10.0.0.1", 1))
        sender.announce_end("r1")
        sent.clear()
        for _ in range(10):
            sender._send_all_runs()
        assert [(update.is_complete, update.runs) for update in sent] == [
            (True, [])
        ] * 2
        # The first of the two updates is lost as well.
        receiver.datagram_received(msgspec.msgpack.encode(sent[1]), ("10.0.0.1", 1))
        assert loads.runs_on_engine("e1") == []

    async def test_a_run_is_kept_for_three_periods_of_its_node(self):
        # With many nodes that have runs, each sends full updates less often. Runs
        # dropped after a fixed time would vanish between two updates, and engines
        # would look empty.
        receiver, loads, _ = self.make()
        for run_id in ("r1", "r2"):
            entry = msgspec.structs.replace(run_entry(self.run()), run_id=run_id)
            update = NodeUpdate(node="other", runs=[entry], period_seconds=3.0)
            receiver.datagram_received(msgspec.msgpack.encode(update), ("10.0.0.1", 1))
        now = asyncio.get_running_loop().time()
        loads.remove_run("other", "r1", now + 5.0)
        loads.expire(now + 9.0, "me")
        assert [run.run_id for run in loads.runs_on_engine("e1")] == ["r2"]
        loads.expire(now + 15.0, "me")
        assert loads.runs_on_engine("e1") == []

    async def test_unreadable_datagrams_change_nothing(self):
        receiver, loads, events = self.make()
        for data in (b"", b"\xc1", b"\x93\x01\x02\x03", b"{}"):
            receiver.datagram_received(data, ("10.0.0.1", 1))
        assert loads.runs_on_engine("e1") == []
        assert not any(events.values())

    async def test_events_at_engines_and_services_are_passed_on(self):
        receiver, _, events = self.make()
        update = NodeUpdate(
            node="other",
            leaving=["e1"],
            retried=["desk"],
            aborted=["d1"],
            leaving_starts=[7],
        )
        receiver.datagram_received(msgspec.msgpack.encode(update), ("10.0.0.1", 1))
        assert events == {
            "leaving": [("e1", 7)],
            "retried": ["desk"],
            "aborted": [("d1", "other")],
            "limits": [],
            "cut_off": [],
            "prompts": [],
            "loads": [],
        }

    async def test_the_services_that_a_node_is_cut_off_from_are_passed_on(self):
        receiver, _, events = self.make()
        for cut_off in (["desk"], [], None):
            update = NodeUpdate(node="other", cut_off=cut_off)
            receiver.datagram_received(msgspec.msgpack.encode(update), ("10.0.0.1", 1))
        assert events["cut_off"] == [("other", ["desk"]), ("other", [])]

    async def test_the_nodes_own_update_is_ignored(self):
        receiver, _, events = self.make()
        update = NodeUpdate(node="me", leaving=["e1"])
        receiver.datagram_received(msgspec.msgpack.encode(update), ("10.0.0.1", 1))
        assert events["leaving"] == []


class TestReports:
    """Each engine's report is read once a second by one node of hundreds."""

    def make(self, runs: list[Run]) -> tuple[PeerUpdates, EngineLoads, list]:
        peer_updates, loads, _ = TestPeerUpdates().make()
        now = asyncio.get_running_loop().time()
        loads.replace_runs("other", runs, now)
        sent: list[NodeUpdate] = []
        peer_updates._send = sent.append  # type: ignore[method-assign]
        return peer_updates, loads, sent

    @staticmethod
    def report(n_used_tokens: int, n_queued: int = 0) -> EngineReport:
        return EngineReport(
            n_queued=n_queued,
            n_running=1,
            n_used_tokens=n_used_tokens,
            n_memory_tokens=20_000,
        )

    @staticmethod
    def run_of(n_tokens: int) -> Run:
        return Run(
            run_id="r1", endpoint="e1", n_prompt_tokens=n_tokens, n_expected_tokens=5
        )

    async def test_a_report_that_the_runs_explain_is_not_announced(self):
        # Guards against datagrams to all nodes that tell them nothing.
        peer_updates, loads, sent = self.make([self.run_of(4_000)])
        peer_updates.announce_report("e1", self.report(4_900))
        assert not sent

    @pytest.mark.parametrize("report", [(5_100, 0), (4_000, 1)])
    async def test_load_that_no_run_explains_is_announced(self, report):
        # Guards against runs on memory that orphaned copies or unknown runs occupy.
        peer_updates, loads, sent = self.make([self.run_of(4_000)])
        peer_updates.announce_report("e1", self.report(*report))
        assert [update.reports[0].endpoint for update in sent] == ["e1"]

    @pytest.mark.looptime
    async def test_the_end_of_unexplained_load_is_announced_once(self):
        # Guards against engines that others keep taking for full.
        peer_updates, loads, sent = self.make([])
        peer_updates.announce_report("e1", self.report(9_000))
        await asyncio.sleep(1.0)
        peer_updates.announce_report("e1", self.report(0))
        await asyncio.sleep(1.0)
        peer_updates.announce_report("e1", self.report(0))
        assert [update.reports[0].n_used_tokens for update in sent] == [9_000, 0]

    async def test_a_report_expires(self):
        # Guards against a last report that holds after its node was lost.
        loads = EngineLoads()
        loads.record_report("e1", self.report(9_000), 10.0)
        reg = Registration(
            endpoint="e1",
            service="models",
            address=Address(host="10.0.0.1", port=1),
            failure_domain="a",
            version="v1",
            n_slots=8,
            state=EndpointState.READY,
        )
        empty = [EngineLoad(reg=reg, n_slots=8, n_memory_tokens=20_000)]
        assert loads.estimate(empty, 12.0)[0].report is not None
        loads.expire(10.0 + REPORT_EXPIRY_SECONDS, "me")
        assert loads.estimate(empty, 13.0)[0].report is None


class TestLeavingRows:
    """Endpoints say in their rows, two seconds ahead, that they leave."""

    def change(self, *rows: Row) -> list[str]:
        announced: list[str] = []
        sink = RegistrationSink(
            registry=Registry(on_leaving=lambda reg: None),
            cold=ColdEndpoints(),
            versions=VersionHistory(),
            clock=CLOCK,
            decode=decode_registration,
            on_leaving_row=lambda reg: announced.append(reg.endpoint),
            metrics=Metrics(process="vm-1"),
        )
        for row in rows:
            sink.change([row], is_after_outage=False)
        return announced

    @staticmethod
    def row(version: int, state: str) -> Row:
        address = Address(host="10.0.0.1", port=1)
        value = msgspec.json.encode(worker_row("models", address, state=state))
        return Row(key="e1", value=value, version=version)

    async def test_the_first_row_of_a_leaving_endpoint_is_announced(self):
        # Guards against followers that hear of it a pause and two polls later.
        rows = [self.row(1, "ready"), self.row(2, "draining"), self.row(3, "draining")]
        assert self.change(*rows) == ["e1"]

    async def test_the_row_of_one_that_stays_is_not_announced(self):
        assert self.change(self.row(1, "ready"), self.row(2, "ready")) == []


class TestAddresses:
    def test_only_serving_nodes_are_chosen_and_near_ones_first(self):
        from celerytrail.nodes.member import Member, State
        from celerytrail.relay.addresses import choose_addresses

        def member(name: str, domain: str, state: State = State.ALIVE) -> Member:
            address = Address(host="10.0.0.1", port=ord(name))
            return Member(
                node=name,
                incarnation=1,
                caller=address,
                peer=address,
                failure_domain=domain,
                state=state,
            )

        members = [
            member("a", "far"),
            member("b", "near"),
            member("c", "near", State.LEAVING),
            member("d", "near", State.DEAD),
        ]
        found = choose_addresses(members, "r", "near", random.Random(1))
        assert [address.port for address in found] == [ord("b"), ord("a")]

    def test_leaving_nodes_are_chosen_if_none_serves(self):
        from celerytrail.nodes.member import Member, State
        from celerytrail.relay.addresses import choose_addresses

        address = Address(host="10.0.0.1", port=7)
        leaving = Member(
            node="a",
            incarnation=1,
            caller=address,
            peer=address,
            state=State.LEAVING,
        )
        assert choose_addresses([leaving], "r", "x", random.Random(1)) == [address]
