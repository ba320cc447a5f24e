"""How nodes follow the store and one another: watches, mirrors, news of runs."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest
from eliot import MemoryLogger
from eliot.testing import swap_logger
from result import Err, Ok, Result

from celerytrail.clock import ManualClock, SystemClock
from celerytrail.policies.engineloads import EngineLoads, Run
from celerytrail.policies.paces import Paces
from celerytrail.relay.mirror import MAX_CHANGES, TableMirror
from celerytrail.relay.sharing import MAX_RUNS, News, Sharing, _news
from celerytrail.relay.watch import OUTAGE_SECONDS, TableSink, TableWatch
from celerytrail.rowsource import Changes, HistoryGone, Row, RowSource, StoreUnavailable
from celerytrail.types import Address

CLOCK = SystemClock()


class Recorder(TableSink):
    """Keeps what it is given."""

    def __init__(self) -> None:
        self.wholes: list[list[str]] = []
        self.changes: list[list[str]] = []
        self.was_away: list[bool] = []

    def replace(self, rows, *, was_away):
        self.wholes.append([row.key for row in rows])
        self.was_away.append(was_away)

    def change(self, rows, *, was_away):
        self.changes.append([row.key for row in rows])
        self.was_away.append(was_away)


class Scripted(RowSource):
    """Gives the answers of a list, one after another, and then hangs."""

    def __init__(self, *answers: Result) -> None:
        self._answers = list(answers)
        self.asked: list[int | None] = []

    async def _next(self, after):
        self.asked.append(after)
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


def mirror() -> tuple[TableMirror, Recorder]:
    inner = Recorder()
    return TableMirror(
        inner=inner, meaning=lambda key, value: value, clock=CLOCK
    ), inner


class TestTableWatch:
    async def play(self, source: Scripted) -> tuple[Recorder, list[tuple[int, float]]]:
        sink = Recorder()
        confirmed: list[tuple[int, float]] = []
        watch = TableWatch(
            source=source,
            table="op",
            sink=sink,
            wait=lambda: 0.0,
            pause=lambda: 0.0,
            on_confirmed=lambda known: confirmed.append((known.version, known.at)),
            on_renewed=lambda age: None,
            bound_seconds=lambda: 2.0,
            clock=CLOCK,
            rng=random.Random(1),
        )
        for _ in range(len(source._answers)):
            await watch._step()
        return sink, confirmed

    async def test_reads_whole_and_then_follows(self):
        source = Scripted(
            Ok(Changes(rows=rows("a", "b"), version=5)),
            Ok(Changes(rows=rows("b"), version=6)),
            Ok(Changes(rows=(), version=6)),
        )
        sink, confirmed = await self.play(source)
        assert sink.wholes == [["a", "b"]]
        assert sink.changes == [["b"]]
        assert source.asked == [None, 5, 6]
        assert [version for version, _ in confirmed] == [5, 6, 6]

    async def test_where_history_is_gone_it_reads_whole_again(self):
        # The store has dropped its history. Whoever went on from its old version would
        # never hear of what was changed in between.
        source = Scripted(
            Ok(Changes(rows=rows("a"), version=5)),
            Err(HistoryGone()),
            Ok(Changes(rows=rows("c"), version=9)),
        )
        sink, _ = await self.play(source)
        assert sink.wholes == [["a"], ["c"]]

    async def test_a_whole_read_of_a_node_that_lags_takes_nothing_back(self):
        # An endpoint that came since would be missing, and taken for gone for good.
        source = Scripted(
            Ok(Changes(rows=rows("a", "b"), version=9)),
            Err(HistoryGone()),
            Ok(Changes(rows=rows("a"), version=4)),
            Ok(Changes(rows=rows("a", "b"), version=9)),
        )
        sink, confirmed = await self.play(source)
        assert sink.wholes == [["a", "b"], ["a", "b"]]
        assert [version for version, _ in confirmed] == [9, 9]

    async def test_an_answer_from_a_node_that_lags_takes_nothing_back(self):
        source = Scripted(
            Ok(Changes(rows=rows("a"), version=9)),
            Ok(Changes(rows=(), version=4)),
            Ok(Changes(rows=(), version=9)),
        )
        await self.play(source)
        assert source.asked == [None, 9, 9]

    async def test_an_age_that_another_node_tells_makes_the_word_older(self):
        source = Scripted(Ok(Changes(rows=(), version=1, age_seconds=2.0)))
        before = CLOCK.boottime()
        _, confirmed = await self.play(source)
        assert confirmed[0][1] <= before - 1.9

    async def test_tells_how_old_its_word_had_become(self):
        # Word that comes later than the bound is what an operator looks for after a
        # caller was refused by an old version.
        clock = ManualClock()
        renewed: list[float] = []
        watch = TableWatch(
            source=Scripted(
                Ok(Changes(rows=rows("a"), version=1)),
                Ok(Changes(rows=(), version=1, age_seconds=4.0)),
                Ok(Changes(rows=(), version=2, age_seconds=1.0, source="vm-2")),
            ),
            table="op",
            sink=Recorder(),
            wait=lambda: 0.0,
            pause=lambda: 0.0,
            on_confirmed=lambda known: None,
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

    async def test_what_a_question_waited_elsewhere_does_not_make_the_word_older(self):
        # Counted from when the question was sent, word that was fresh seemed to be as
        # old as the question had waited.
        clock = ManualClock()
        answers = Scripted(
            Ok(Changes(rows=(), version=1, age_seconds=0.2, waited_seconds=0.5))
        )
        confirmed: list[float] = []
        watch = TableWatch(
            source=answers,
            table="op",
            sink=Recorder(),
            wait=lambda: 0.5,
            pause=lambda: 0.0,
            on_confirmed=lambda known: confirmed.append(known.at),
            on_renewed=lambda age: None,
            bound_seconds=lambda: 2.0,
            clock=clock,
            rng=random.Random(1),
        )
        watch._note_version(answers._answers[0].ok_value, sent_at=0.0)
        clock.advance(0.6)
        watch._note_version(answers._answers[0].ok_value, sent_at=0.0)
        # No more than the time that has passed here is believed.
        assert confirmed == pytest.approx([-0.2, 0.3])

    async def test_rows_that_come_after_a_long_silence_are_marked(self):
        # The store was away; endpoints whose rows vanish now may only have been unable
        # to write there.
        source = Scripted(
            Ok(Changes(rows=rows("a"), version=1)),
            Err(StoreUnavailable(reason="timeout")),
            Ok(Changes(rows=rows("b"), version=2)),
        )
        sink = Recorder()
        watch = TableWatch(
            source=source,
            table="servers",
            sink=sink,
            wait=lambda: 0.0,
            pause=lambda: 0.0,
            on_confirmed=lambda known: None,
            on_renewed=lambda age: None,
            bound_seconds=lambda: 2.0,
            clock=CLOCK,
            rng=random.Random(1),
        )
        await watch._step()
        await watch._step()
        watch._heard_at -= OUTAGE_SECONDS + 1
        await watch._step()
        assert sink.was_away == [False, True]


class TestTableMirror:
    async def test_nothing_is_told_before_the_first_whole_read(self):
        made, _ = mirror()
        assert made.whole() is None
        assert await made.follow(0, 0.0) is None

    async def test_a_change_wakes_whoever_waits(self):
        made, _ = mirror()
        made.replace(rows("a"), was_away=False)
        made.confirm(1, CLOCK.boottime())
        waiting = asyncio.ensure_future(made.follow(1, 5.0))
        await asyncio.sleep(0)
        made.change([Row(key="b", value=b"x", version=2)], was_away=False)
        made.confirm(2, CLOCK.boottime())
        found = await waiting
        assert isinstance(found, Changes)
        assert [row.key for row in found.rows] == ["b"]

    async def test_a_heartbeat_is_no_news(self):
        # Endpoints write their rows again each second. Told on, each of them would be
        # a message to every node.
        inner = Recorder()
        made = TableMirror(inner=inner, meaning=lambda key, value: "same", clock=CLOCK)
        made.replace(rows("a"), was_away=False)
        made.confirm(1, CLOCK.boottime())
        made.change([Row(key="a", value=b"beat 2", version=2)], was_away=False)
        made.confirm(2, CLOCK.boottime())
        found = await made.follow(1, 0.0)
        assert isinstance(found, Changes)
        assert found.rows == ()
        assert found.version == 2
        assert inner.changes == [["a"]]

    async def test_a_question_is_answered_before_the_knowledge_is_of_no_use(self):
        # Whoever asked needs time to ask elsewhere.
        clock = ManualClock()
        made = TableMirror(inner=Recorder(), meaning=lambda key, v: v, clock=clock)
        made.replace(rows("a"), was_away=False)
        made.confirm(1, clock.boottime())
        clock.advance(1.5)
        found = await made.follow(1, 5.0, useful_seconds=1.0)
        assert isinstance(found, Changes)
        assert found.waited_seconds == 0.0

    async def test_a_removed_row_is_news_once(self):
        made, _ = mirror()
        made.replace(rows("a"), was_away=False)
        made.confirm(1, CLOCK.boottime())
        gone = Row(key="a", value=None, version=2)
        made.change([gone], was_away=False)
        made.change([gone], was_away=False)
        made.confirm(2, CLOCK.boottime())
        found = await made.follow(1, 0.0)
        assert isinstance(found, Changes)
        assert found.rows == (gone,)
        whole = made.whole()
        assert whole is not None and whole.rows == ()

    async def test_a_whole_read_of_a_node_that_knows_less_claims_no_more_than_it(self):
        # A follower that was told the higher version never asked for the rows between.
        made, _ = mirror()
        made.replace(rows("a", version=115), was_away=False)
        made.confirm(120, CLOCK.boottime())
        made.replace(rows("a", version=100), was_away=False)
        made.confirm(110, CLOCK.boottime() - 1.0)
        whole = made.whole()
        assert whole is not None
        assert whole.version == 110
        assert whole.age_seconds >= 1.0
        found = await made.follow(112, 0.0)
        assert isinstance(found, Changes)
        assert found.version == 110

    async def test_who_lags_too_far_reads_whole(self):
        made, _ = mirror()
        made.replace(rows("a"), was_away=False)
        made.confirm(1, CLOCK.boottime())
        for number in range(MAX_CHANGES + 1):
            value = str(number).encode()
            row = Row(key="a", value=value, version=number + 2)
            made.change([row], was_away=False)
        made.confirm(MAX_CHANGES + 2, CLOCK.boottime())
        assert isinstance(await made.follow(1, 0.0), HistoryGone)


class TestSharing:
    def make(self, name: str = "me") -> tuple[Sharing, EngineLoads, dict[str, list]]:
        loads = EngineLoads()
        heard: dict[str, list] = {"leaving": [], "retried": [], "broken": []}
        made = Sharing(
            node=name,
            loads=loads,
            paces=Paces(),
            peers=lambda: [],
            on_leaving=heard["leaving"].append,
            on_retried=heard["retried"].append,
            on_broken=heard["broken"].append,
            rng=random.Random(1),
        )
        return made, loads, heard

    def run(self, number: int = 1) -> Run:
        return Run(
            run_id=f"r{number}",
            endpoint="e1",
            n_prompt_tokens=10,
            n_expected_tokens=5,
            backup="e2",
            is_moving=True,
            n_made_tokens=3,
        )

    async def test_what_is_sent_is_what_is_heard(self):
        sender, _, _ = self.make("other")
        receiver, loads, _ = self.make()
        sent: list[News] = []
        sender._send = sent.append  # type: ignore[method-assign]
        sender.placed(self.run())
        receiver.datagram_received(msgspec.msgpack.encode(sent[0]), ("10.0.0.1", 1))
        assert loads.on_engine("e1") == [self.run()]

    async def test_a_list_larger_than_a_datagram_goes_in_parts(self):
        sender, _, _ = self.make("other")
        sent: list[News] = []
        sender._send = sent.append  # type: ignore[method-assign]
        for number in range(MAX_RUNS + 1):
            sender.progressed(self.run(number))
        sender._refresh()
        assert [len(news.runs) for news in sent] == [MAX_RUNS, 1]
        assert not any(news.is_whole for news in sent)

    async def test_a_node_without_runs_sends_no_lists(self):
        # Hundreds of nodes that repeat empty lists keep one another busy at no load.
        sender, _, _ = self.make("other")
        sent: list[News] = []
        sender._send = sent.append  # type: ignore[method-assign]
        for _ in range(10):
            sender._refresh()
        assert sent == []

    async def test_the_lost_news_of_a_last_end_is_mended_by_an_empty_list(self):
        # The run's memory would count as taken until its node speaks again.
        sender, _, _ = self.make("other")
        receiver, loads, _ = self.make()
        sent: list[News] = []
        sender._send = sent.append  # type: ignore[method-assign]
        sender.placed(self.run())
        receiver.datagram_received(msgspec.msgpack.encode(sent.pop()), ("10.0.0.1", 1))
        sender.ended("r1")
        sent.clear()
        for _ in range(10):
            sender._refresh()
        assert [(news.is_whole, news.runs) for news in sent] == [(True, [])] * 2
        # The first of the two is lost as well.
        receiver.datagram_received(msgspec.msgpack.encode(sent[1]), ("10.0.0.1", 1))
        assert loads.on_engine("e1") == []

    async def test_a_run_stands_for_three_periods_of_its_node(self):
        # Where many nodes have runs each repeats its list less often. Forgotten after
        # a fixed time, runs would vanish between two lists, and engines look empty.
        receiver, loads, _ = self.make()
        for run_id in ("r1", "r2"):
            known = msgspec.structs.replace(_news(self.run()), run_id=run_id)
            news = News(node="other", runs=[known], period_seconds=3.0)
            receiver.datagram_received(msgspec.msgpack.encode(news), ("10.0.0.1", 1))
        now = asyncio.get_running_loop().time()
        loads.end("other", "r1", now + 5.0)
        loads.expire(now + 9.0, "me")
        assert [run.run_id for run in loads.on_engine("e1")] == ["r2"]
        loads.expire(now + 15.0, "me")
        assert loads.on_engine("e1") == []

    async def test_bytes_that_are_no_news_change_nothing(self):
        receiver, loads, heard = self.make()
        for data in (b"", b"\xc1", b"\x93\x01\x02\x03", b"{}"):
            receiver.datagram_received(data, ("10.0.0.1", 1))
        assert loads.on_engine("e1") == []
        assert heard == {"leaving": [], "retried": [], "broken": []}

    async def test_what_is_told_of_engines_and_services_is_handed_on(self):
        receiver, _, heard = self.make()
        news = News(node="other", leaving=["e1"], retried=["desk"], broken=["d1"])
        receiver.datagram_received(msgspec.msgpack.encode(news), ("10.0.0.1", 1))
        assert heard == {"leaving": ["e1"], "retried": ["desk"], "broken": ["d1"]}

    async def test_one_s_own_news_come_to_nothing(self):
        receiver, _, heard = self.make()
        news = News(node="me", leaving=["e1"])
        receiver.datagram_received(msgspec.msgpack.encode(news), ("10.0.0.1", 1))
        assert heard["leaving"] == []


class TestAddresses:
    def test_near_ones_first_and_only_those_that_serve(self):
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
        found = choose_addresses(members, "near", random.Random(1))
        assert [address.port for address in found] == [ord("b"), ord("a")]

    def test_where_none_serves_those_that_may_live_are_named(self):
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
        assert choose_addresses([leaving], "x", random.Random(1)) == [address]
