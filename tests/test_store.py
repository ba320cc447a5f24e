"""Keeping the document: accepted once, by one operator, and said so when known."""

from __future__ import annotations

import asyncio
import random

import pytest
from storefakes import FakeObjects, FakeTable

from celerytrail.clock import LoopClock
from celerytrail.configuration.document import Document, ModelSpec, OrganisationSpec
from celerytrail.configuration.records import HEAD_KEY, history_key, object_name
from celerytrail.operators.outcomes import AcceptInDoubt, Conflict, Damaged, Invalid
from celerytrail.operators.store import DocumentStore
from celerytrail.platform.client import Unavailable

pytestmark = pytest.mark.looptime


def document(*names: str) -> Document:
    return Document(
        models=(ModelSpec(name="contracts", version="v1"),),
        organisations=tuple(OrganisationSpec(name=name) for name in names),
    )


class Desk:
    """A store on a platform that tests can make fail, and a way to accept."""

    def __init__(self, table=None, objects=None):
        self.table = table or FakeTable()
        self.objects = objects or FakeObjects()
        self.store = DocumentStore(
            table=self.table,
            objects=self.objects,
            clock=LoopClock(),
            rng=random.Random(1),
        )

    async def accept(self, doc, base, operation_id, seconds=5.0):
        return await self.store.accept(
            doc,
            base_version=base,
            operation_id=operation_id,
            author="ana",
            note="",
            deadline=self.deadline(seconds),
        )

    def deadline(self, seconds=5.0):
        return asyncio.get_running_loop().time() + seconds

    async def newest(self):
        # A new store has nothing cached, as after a restart of the console.
        return (
            await Desk(self.table, self.objects).store.load(self.deadline())
        ).ok_value


@pytest.fixture
def desk():
    return Desk()


class TestAccept:
    async def test_accepted_document_can_be_loaded(self, desk):
        head = (await desk.accept(document("a"), 0, "op1")).ok_value
        loaded = await desk.newest()
        assert (loaded.head, loaded.document) == (head, document("a"))

    async def test_change_writes_only_new_objects(self, desk):
        names = [f"o{number}" for number in range(200)]
        await desk.accept(document(*names), 0, "op1")
        before = desk.objects.n_calls["put"]
        await desk.accept(document(*names, "more"), 1, "op2")
        assert desk.objects.n_calls["put"] - before == 3

    async def test_invalid_document_has_no_effect(self, desk):
        refused = await desk.accept(document("a", "a"), 0, "op1")
        assert isinstance(refused.err_value, Invalid)
        assert not desk.table.rows
        assert not desk.objects.objects

    async def test_history_and_revert(self, desk):
        await desk.accept(document("a"), 0, "op1")
        await desk.accept(document("b"), 1, "op2")
        old = (await desk.store.load(desk.deadline(), 1)).ok_value
        await desk.accept(old.document, 2, "op3")
        heads = (await desk.store.history(desk.deadline())).ok_value
        assert [head.version for head in heads] == [3, 2, 1]
        assert heads[0].root == heads[2].root
        older = await desk.store.history(desk.deadline(), before=3, limit=1)
        assert [head.version for head in older.ok_value] == [2]


class TestRacingOperators:
    async def test_second_gets_the_newer_document(self, desk):
        """Two operators edit the same version and accept at the same moment.

        Were the later one taken as well, the first would see its change accepted and
        then gone. The later one is told, and is shown what the first accepted.
        """
        other = Desk(desk.table, desk.objects)
        made = await asyncio.gather(
            desk.accept(document("a"), 0, "op1"), other.accept(document("b"), 0, "op2")
        )
        conflicts = [one.err_value for one in made if one.is_err()]
        assert len(conflicts) == 1
        assert isinstance(conflicts[0], Conflict)
        assert conflicts[0].document == (await desk.newest()).document

    async def test_base_that_is_long_past(self, desk):
        await desk.accept(document("a"), 0, "op1")
        await desk.accept(document("b"), 1, "op2")
        refused = (await desk.accept(document("c"), 0, "op3")).err_value
        assert isinstance(refused, Conflict)
        assert refused.head.version == 2


class TestLostReplies:
    async def test_reply_lost_after_the_effect(self, desk):
        """The platform takes the version and its answer gets lost on the way back.

        An operator told "failed" would enter the change again, or give up one that is
        in force; it must be told that it was accepted.
        """
        desk.table.n_replies_to_lose = 1
        assert (await desk.accept(document("a"), 0, "op1")).ok_value.version == 1
        assert len(desk.table.rows) == 2

    async def test_write_that_arrives_after_it_was_given_up(self, desk):
        """A write stalls in the network while the console already asks about it.

        Reading the old head back would say "not accepted", and then the write would
        arrive and take effect after all.
        """
        desk.table.n_writes_to_delay = 1
        head = (await desk.accept(document("a"), 0, "op1")).ok_value
        for transaction in desk.table.delayed:
            assert desk.table.apply(transaction).is_err()
        assert (await desk.newest()).head == head

    async def test_reply_lost_and_another_operator_followed(self, desk):
        """One's own version took effect unseen, and somebody has built on it since."""
        desk.table.n_replies_to_lose = 10**6
        doubt = (await desk.accept(document("a"), 0, "op1", 1.0)).err_value
        assert isinstance(doubt, AcceptInDoubt)
        desk.table.n_replies_to_lose = 0
        await Desk(desk.table, desk.objects).accept(document("a", "b"), 1, "op2")
        # The operator's page asks again with the same operation id.
        settled = (await desk.accept(document("a"), 0, "op1")).ok_value
        assert (settled.version, settled.operation_id) == (1, "op1")

    async def test_outage_right_after_the_lost_reply(self, desk):
        """The platform goes down with the reply still out.

        Neither "accepted" nor "not accepted" would be true for sure.
        """
        desk.table.n_writes_to_delay = 1
        asking = asyncio.create_task(desk.accept(document("a"), 0, "op1", 3.0))
        await asyncio.sleep(0.05)
        assert desk.table.delayed
        desk.table.is_down = True
        assert isinstance((await asking).err_value, AcceptInDoubt)


class TestConsoleKilled:
    @pytest.mark.parametrize("n_puts", range(0, 6))
    async def test_killed_between_objects(self, desk, n_puts):
        """The console dies after some of the objects, before the head row.

        Nothing may have changed for anybody, and the same form sent again must work.
        """
        desk.objects.n_puts_left = n_puts
        refused = await desk.accept(document("a", "b"), 0, "op1")
        if refused.is_err():
            assert isinstance(refused.err_value, Unavailable)
            assert (await desk.newest()).version == 0
        desk.objects.n_puts_left = None
        again = Desk(desk.table, desk.objects)
        assert (await again.accept(document("a", "b"), 0, "op1")).ok_value.version == 1

    @pytest.mark.parametrize("base", [0, 1])
    async def test_killed_at_every_step(self, base):
        """The console dies at any moment of accepting, and the form is sent again.

        Whatever the moment, there must be one new version, whole, and told as accepted.
        """
        n_steps, is_done = 0, False
        while not is_done:
            desk = Desk()
            desk.objects.is_staggered = True
            if base:
                await desk.accept(document("z"), 0, "op0")
            accepting = asyncio.create_task(desk.accept(document("a"), base, "op1"))
            for _ in range(n_steps):
                await asyncio.sleep(0)
            is_done = accepting.done()
            accepting.cancel()
            await asyncio.wait([accepting])
            before = (await desk.newest()).document
            assert before in (document("z") if base else Document(), document("a"))
            again = Desk(desk.table, desk.objects)
            made = await again.accept(document("a"), base, "op1")
            assert made.ok_value.version == base + 1
            assert (await desk.newest()).document == document("a")
            assert len(desk.table.rows) == base + 2
            n_steps += 1
        assert n_steps > 10

    async def test_killed_after_the_commit(self, desk):
        """The console dies before its page says "accepted"; the browser resends.

        The operator must not be told of a conflict with its own change.
        """
        await desk.accept(document("a"), 0, "op1")
        again = Desk(desk.table, desk.objects)
        assert (await again.accept(document("a"), 0, "op1")).ok_value.version == 1
        assert (await desk.newest()).version == 1


class TestPlatformFaults:
    async def test_outage_is_not_accepted(self, desk):
        desk.table.is_down = True
        refused = (await desk.accept(document("a"), 0, "op1")).err_value
        assert isinstance(refused, Unavailable)

    async def test_stale_read_does_not_revert(self, desk):
        """A read is served from before the base version.

        Taken at its word, the operator's change would be compared with the wrong
        version and an accepted one would be overwritten.
        """
        await desk.accept(document("a"), 0, "op1")
        desk.table.stale_rows, desk.table.n_stale_reads = {}, 1
        assert (await desk.accept(document("b"), 1, "op2")).ok_value.version == 2
        desk.table.n_stale_reads = 100
        refused = (await desk.accept(document("c"), 2, "op3")).err_value
        assert refused.reason == "stale_read"
        # The reverse: a stale read that agrees with an operator's old page.
        desk.table.stale_rows = dict(desk.table.rows)
        await Desk(desk.table, desk.objects).accept(document("d"), 2, "op4")
        desk.table.n_stale_reads = 1
        assert isinstance(
            (await desk.accept(document("e"), 2, "op5")).err_value, Conflict
        )
        assert (await desk.newest()).document == document("d")

    @pytest.mark.parametrize("value", [None, 3, {}, {"version": 0}, {"version": "1"}])
    async def test_bad_head_row(self, desk, value):
        await desk.accept(document("a"), 0, "op1")
        row = desk.table.rows[HEAD_KEY]
        desk.table.rows[HEAD_KEY] = type(row)(
            key=row.key, value=value, version=row.version
        )
        refused = (await desk.store.load(desk.deadline())).err_value
        assert isinstance(refused, Damaged)
        assert refused.findings[0].place == HEAD_KEY

    async def test_bad_history_row_hides_no_other(self, desk):
        for number in range(3):
            await desk.accept(document(f"o{number}"), number, f"op{number}")
        key = history_key(2)
        desk.table.rows[key] = type(desk.table.rows[key])(key=key, value=7, version=1)
        heads = (await desk.store.history(desk.deadline())).ok_value
        assert [head.version for head in heads] == [3, 1]

    async def test_damaged_object(self, desk):
        await desk.accept(document("a"), 0, "op1")
        for name in desk.objects.objects:
            desk.objects.objects[name] = b"{}"
        fresh = Desk(desk.table, desk.objects)
        refused = (await fresh.store.load(fresh.deadline())).err_value
        assert "digest" in refused.findings[0].problem

    async def test_damaged_object_comes_back_from_a_node(self, desk):
        """The object store lost a section, and the nodes still serve by it.

        Without them the console could load nothing, and so accept nothing, for good.
        """
        await desk.accept(document("a"), 0, "op1")
        kept = dict(desk.objects.objects)
        names = list(kept)
        desk.objects.objects = {names[0]: b"damaged"}

        async def find_spare(digest):
            return kept[object_name(digest)]

        store = DocumentStore(
            table=desk.table,
            objects=desk.objects,
            clock=LoopClock(),
            rng=random.Random(1),
            find_spare=find_spare,
        )
        loaded = (await store.load(desk.deadline())).ok_value
        assert loaded.document == document("a")
        assert desk.objects.objects == kept
