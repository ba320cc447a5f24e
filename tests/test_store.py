"""Tests of loading and accepting documents when requests race, fail or repeat."""

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


class Console:
    """A console's document store on a fake platform with fault injection."""

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
        # A new store has an empty cache, as after a restart of the console.
        return (
            await Console(self.table, self.objects).store.load(self.deadline())
        ).ok_value


@pytest.fixture
def console():
    return Console()


class TestAccept:
    async def test_accepted_document_can_be_loaded(self, console):
        head = (await console.accept(document("a"), 0, "op1")).ok_value
        loaded = await console.newest()
        assert (loaded.head, loaded.document) == (head, document("a"))

    async def test_change_writes_only_new_objects(self, console):
        names = [f"o{number}" for number in range(200)]
        await console.accept(document(*names), 0, "op1")
        before = console.objects.n_calls["put"]
        await console.accept(document(*names, "more"), 1, "op2")
        assert console.objects.n_calls["put"] - before == 3

    async def test_invalid_document_has_no_effect(self, console):
        refused = await console.accept(document("a", "a"), 0, "op1")
        assert isinstance(refused.err_value, Invalid)
        assert not console.table.rows
        assert not console.objects.objects

    async def test_history_and_revert(self, console):
        await console.accept(document("a"), 0, "op1")
        await console.accept(document("b"), 1, "op2")
        old = (await console.store.load(console.deadline(), 1)).ok_value
        await console.accept(old.document, 2, "op3")
        heads = (await console.store.history(console.deadline())).ok_value
        assert [head.version for head in heads] == [3, 2, 1]
        assert heads[0].root == heads[2].root
        older = await console.store.history(console.deadline(), before=3, limit=1)
        assert [head.version for head in older.ok_value] == [2]


class TestRacingOperators:
    async def test_second_gets_the_newer_document(self, console):
        """Two operators edit the same version and accept at the same moment.

        If both succeeded, the later change would silently overwrite the first one. The
        later operator gets a conflict with the document that was accepted first.
        """
        other = Console(console.table, console.objects)
        outcomes = await asyncio.gather(
            console.accept(document("a"), 0, "op1"),
            other.accept(document("b"), 0, "op2"),
        )
        conflicts = [outcome.err_value for outcome in outcomes if outcome.is_err()]
        assert len(conflicts) == 1
        assert isinstance(conflicts[0], Conflict)
        assert conflicts[0].document == (await console.newest()).document

    async def test_outdated_base_version(self, console):
        await console.accept(document("a"), 0, "op1")
        await console.accept(document("b"), 1, "op2")
        refused = (await console.accept(document("c"), 0, "op3")).err_value
        assert isinstance(refused, Conflict)
        assert refused.head.version == 2


class TestLostReplies:
    async def test_reply_lost_after_the_effect(self, console):
        """The platform commits the version, but its reply is lost.

        If the console reported a failure, the operator would repeat or abandon a change
        that is in force. It must report the version as accepted.
        """
        console.table.n_replies_to_lose = 1
        assert (await console.accept(document("a"), 0, "op1")).ok_value.version == 1
        assert len(console.table.rows) == 2

    async def test_write_arrives_after_its_timeout(self, console):
        """A write is delayed in the network past its timeout.

        If the console read back the old head and reported "not accepted", the write
        could still arrive and take effect.
        """
        console.table.n_writes_to_delay = 1
        head = (await console.accept(document("a"), 0, "op1")).ok_value
        for transaction in console.table.delayed:
            assert console.table.apply(transaction).is_err()
        assert (await console.newest()).head == head

    async def test_reply_lost_and_another_operator_followed(self, console):
        """A version takes effect with its reply lost, and another one builds on it."""
        console.table.n_replies_to_lose = 10**6
        doubt = (await console.accept(document("a"), 0, "op1", 1.0)).err_value
        assert isinstance(doubt, AcceptInDoubt)
        console.table.n_replies_to_lose = 0
        await Console(console.table, console.objects).accept(
            document("a", "b"), 1, "op2"
        )
        # The operator's page retries with the same operation id.
        accepted = (await console.accept(document("a"), 0, "op1")).ok_value
        assert (accepted.version, accepted.operation_id) == (1, "op1")

    async def test_outage_right_after_the_lost_reply(self, console):
        """The platform goes down before its reply arrives.

        Neither "accepted" nor "not accepted" is certain, so the outcome is in doubt.
        """
        console.table.n_writes_to_delay = 1
        accepting = asyncio.create_task(console.accept(document("a"), 0, "op1", 3.0))
        await asyncio.sleep(0.05)
        assert console.table.delayed
        console.table.is_down = True
        assert isinstance((await accepting).err_value, AcceptInDoubt)


class TestConsoleKilled:
    @pytest.mark.parametrize("n_puts", range(0, 6))
    async def test_killed_between_objects(self, console, n_puts):
        """The console dies after writing some of the objects, before the head row.

        The newest version must be unchanged, and sending the form again must work.
        """
        console.objects.n_puts_left = n_puts
        refused = await console.accept(document("a", "b"), 0, "op1")
        if refused.is_err():
            assert isinstance(refused.err_value, Unavailable)
            assert (await console.newest()).version == 0
        console.objects.n_puts_left = None
        restarted = Console(console.table, console.objects)
        assert (
            await restarted.accept(document("a", "b"), 0, "op1")
        ).ok_value.version == 1

    @pytest.mark.parametrize("base", [0, 1])
    async def test_killed_at_every_step(self, base):
        """The console dies at any step of accepting, and the form is sent again.

        At every step, exactly one complete new version must result, and the second
        attempt must report it as accepted.
        """
        n_steps, is_done = 0, False
        while not is_done:
            console = Console()
            console.objects.is_staggered = True
            if base:
                await console.accept(document("z"), 0, "op0")
            accepting = asyncio.create_task(console.accept(document("a"), base, "op1"))
            for _ in range(n_steps):
                await asyncio.sleep(0)
            is_done = accepting.done()
            accepting.cancel()
            await asyncio.wait([accepting])
            before = (await console.newest()).document
            assert before in (document("z") if base else Document(), document("a"))
            restarted = Console(console.table, console.objects)
            made = await restarted.accept(document("a"), base, "op1")
            assert made.ok_value.version == base + 1
            assert (await console.newest()).document == document("a")
            assert len(console.table.rows) == base + 2
            n_steps += 1
        assert n_steps > 10

    async def test_killed_after_the_commit(self, console):
        """The console dies before it answers "accepted", and the browser resends.

        The retry must not report a conflict with the operator's own change.
        """
        await console.accept(document("a"), 0, "op1")
        restarted = Console(console.table, console.objects)
        assert (await restarted.accept(document("a"), 0, "op1")).ok_value.version == 1
        assert (await console.newest()).version == 1


class TestPlatformFaults:
    async def test_outage_is_not_accepted(self, console):
        console.table.is_down = True
        refused = (await console.accept(document("a"), 0, "op1")).err_value
        assert isinstance(refused, Unavailable)

    async def test_stale_read_does_not_revert(self, console):
        """A read returns rows older than the base version.

        If the console trusted it, it would compare the change with the wrong version
        and overwrite an accepted one.
        """
        await console.accept(document("a"), 0, "op1")
        console.table.stale_rows, console.table.n_stale_reads = {}, 1
        assert (await console.accept(document("b"), 1, "op2")).ok_value.version == 2
        console.table.n_stale_reads = 100
        refused = (await console.accept(document("c"), 2, "op3")).err_value
        assert refused.reason == "stale_read"
        # The reverse: a stale read that matches the operator's outdated page.
        console.table.stale_rows = dict(console.table.rows)
        await Console(console.table, console.objects).accept(document("d"), 2, "op4")
        console.table.n_stale_reads = 1
        assert isinstance(
            (await console.accept(document("e"), 2, "op5")).err_value, Conflict
        )
        assert (await console.newest()).document == document("d")

    @pytest.mark.parametrize("value", [None, 3, {}, {"version": 0}, {"version": "1"}])
    async def test_bad_head_row(self, console, value):
        await console.accept(document("a"), 0, "op1")
        row = console.table.rows[HEAD_KEY]
        console.table.rows[HEAD_KEY] = type(row)(
            key=row.key, value=value, version=row.version
        )
        refused = (await console.store.load(console.deadline())).err_value
        assert isinstance(refused, Damaged)
        assert refused.findings[0].place == HEAD_KEY

    async def test_bad_history_row_hides_no_other(self, console):
        for number in range(3):
            await console.accept(document(f"o{number}"), number, f"op{number}")
        key = history_key(2)
        console.table.rows[key] = type(console.table.rows[key])(
            key=key, value=7, version=1
        )
        heads = (await console.store.history(console.deadline())).ok_value
        assert [head.version for head in heads] == [3, 1]

    async def test_damaged_object(self, console):
        await console.accept(document("a"), 0, "op1")
        for name in console.objects.objects:
            console.objects.objects[name] = b"{}"
        restarted = Console(console.table, console.objects)
        refused = (await restarted.store.load(restarted.deadline())).err_value
        assert "digest" in refused.findings[0].problem

    async def test_damaged_object_is_restored_from_a_node(self, console):
        """The object store loses a section that the nodes still hold in memory.

        Without the nodes' copies, the console could never load or accept a document
        again.
        """
        await console.accept(document("a"), 0, "op1")
        intact = dict(console.objects.objects)
        names = list(intact)
        console.objects.objects = {names[0]: b"damaged"}

        async def fetch_from_node(digest):
            return intact[object_name(digest)]

        store = DocumentStore(
            table=console.table,
            objects=console.objects,
            clock=LoopClock(),
            rng=random.Random(1),
            fetch_from_node=fetch_from_node,
        )
        loaded = (await store.load(console.deadline())).ok_value
        assert loaded.document == document("a")
        assert console.objects.objects == intact
