"""Edits of the document under faults and kills in any order, against an oracle."""

from __future__ import annotations

import asyncio
import random

import looptime
from hypothesis import given, settings
from hypothesis import strategies as st
from storefakes import FakeObjects, FakeTable

from celerytrail.clock import LoopClock
from celerytrail.configuration.document import Document, OrganisationSpec
from celerytrail.configuration.records import HISTORY_PREFIX
from celerytrail.operators.store import Conflict, DocumentStore

FAULTS = ("none", "lost", "delayed", "down", "stale", "objects down", "killed")

steps = st.lists(
    st.tuples(
        st.sampled_from(["accept", "accept", "accept", "again", "release", "heal"]),
        st.integers(0, 2),
        st.sampled_from(FAULTS),
        st.integers(0, 12),
    ),
    max_size=14,
)


class World:
    """Three operators, each with a console, and the answers that they received.

    ``answers`` maps an operation to its accepted version; 0 denotes a conflict.
    """

    def __init__(self):
        self.table, self.objects = FakeTable(), FakeObjects()
        self.objects.is_staggered = True
        self.n_operations = 0
        self.answers = {}
        self.last_forms = {}
        self.earlier_rows = {}

    def console_store(self, number):
        return DocumentStore(
            table=self.table,
            objects=self.objects,
            clock=LoopClock(),
            rng=random.Random(number),
        )

    async def accept(self, operator, fault, n_turns):
        """Load the document, edit it and submit the operator's form."""
        deadline = asyncio.get_running_loop().time() + 5
        loaded = await self.console_store(operator).load(deadline)
        if loaded.is_err():
            return
        self.n_operations += 1
        name = f"op{self.n_operations}"
        document = Document(organisations=(OrganisationSpec(name=name),))
        self.last_forms[operator] = (name, loaded.ok_value.version, document)
        await self.submit(operator, fault, n_turns)

    async def submit(self, operator, fault, n_turns):
        """Submit the operator's last form, for the first time or as a retry."""
        if operator not in self.last_forms:
            return
        name, base, document = self.last_forms[operator]
        self.set_fault(fault, n_turns)
        accept_task = asyncio.create_task(
            self.console_store(operator).accept(
                document,
                base_version=base,
                operation_id=name,
                author=str(operator),
                note="",
                deadline=asyncio.get_running_loop().time() + 2,
            )
        )
        if fault == "killed":
            for _ in range(n_turns):
                await asyncio.sleep(0)
            accept_task.cancel()
            await asyncio.wait([accept_task])
            return
        accepted = await accept_task
        if accepted.is_ok():
            answer = accepted.ok_value.version
        elif isinstance(accepted.err_value, Conflict):
            answer = 0
        else:
            # Unavailability or an unknown outcome says nothing about earlier attempts.
            return
        assert self.answers.setdefault(name, answer) == answer

    def set_fault(self, fault, n_turns):
        self.table.n_replies_to_lose = n_turns if fault == "lost" else 0
        self.table.n_writes_to_delay = n_turns if fault == "delayed" else 0
        self.table.is_down = fault == "down"
        self.objects.is_down = fault == "objects down"
        self.table.stale_rows = dict(self.earlier_rows)
        self.table.n_stale_reads = n_turns if fault == "stale" else 0
        if n_turns % 2:
            self.earlier_rows = dict(self.table.rows)

    def release(self):
        """Apply the delayed writes, whose callers have timed out."""
        delayed, self.table.delayed = self.table.delayed, []
        for transaction in delayed:
            self.table.apply(transaction)

    async def run(self, plan):
        for action, operator, fault, n_turns in plan:
            if action == "accept":
                await self.accept(operator, fault, n_turns)
            elif action == "again":
                await self.submit(operator, fault, n_turns)
            elif action == "release":
                self.release()
            self.set_fault("none", 0)
        self.release()
        self.check_history()
        loaded = await self.console_store(9).load(asyncio.get_running_loop().time() + 5)
        newest = loaded.ok_value
        if newest.head is not None:
            name = newest.document.organisations[0].name
            assert name == newest.head.operation_id

    def check_history(self):
        history = [
            row.value
            for key, row in self.table.rows.items()
            if key.startswith(HISTORY_PREFIX)
        ]
        history.sort(key=lambda row: row["version"])
        versions = [row["version"] for row in history]
        assert versions == list(range(1, len(history) + 1))
        by_operation = {row["operation_id"]: row["version"] for row in history}
        assert len(by_operation) == len(history)
        for name, version in self.answers.items():
            assert by_operation.get(name, 0) == version, name


class TestFuzz:
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(steps)
    def test_what_was_told_is_true(self, plan):
        """Operators race, replies get lost, writes come late and consoles die.

        Whoever was told "accepted" must find the version in the history, and whoever
        was told of a conflict must not.
        """
        loop = looptime.new_event_loop()
        loop.setup_looptime(start=0, noop_cycles=0)
        try:
            loop.run_until_complete(World().run(plan))
        finally:
            loop.close()
