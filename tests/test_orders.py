"""Orders: engines become as the document says, whoever wakes up late."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import msgspec
import pytest
from result import Err, Ok

from celerytrail.clock import LoopClock
from celerytrail.configuration.current import Configuration
from celerytrail.configuration.document import (
    AdapterSpec,
    Document,
    EngineSpec,
    ModelSpec,
    VersionedDocument,
)
from celerytrail.http.client import HttpClient, Lost, NotSent
from celerytrail.http.messages import Response
from celerytrail.orders.leases import LEASE_SECONDS, MARGIN_SECONDS, LeaseKeeper
from celerytrail.orders.order import Order, compare, may_begin_roll
from celerytrail.orders.pacing import LoadPacer
from celerytrail.orders.reconciler import EngineReconciler
from celerytrail.policies.reports import EngineReport, SeenReport
from tests.fakes import FakeTable

SPEC = EngineSpec(
    name="e1",
    address="127.0.0.1:9001",
    failure_domain="a",
    model="m",
    adapters=("legal",),
)


FULL_CHANGE = ["set_role", "load_model", "load_adapter", "set_role"]


def document(version, spec=SPEC):
    return Document(
        models=(ModelSpec(name="m", version=version),),
        adapters=(AdapterSpec(name="legal", model="m", version="7"),),
        engines=(spec,),
    )


def report(**kwargs):
    values = {"model": "m", "version": "1", "adapters": ("legal",), **kwargs}
    return EngineReport(
        engine="e1",
        incarnation="i",
        sequence=1,
        at=0.0,
        n_memory_tokens=1,
        n_used_tokens=0,
        **values,
    )


class FakeEngines(HttpClient):
    """Engines that carry out orders; `does_honour` fencing numbers or not.

    ``words`` are the fates of the next orders: ``refused``, ``lost_before``,
    ``lost_after``; past them all is well. ``gate`` holds an order on its way.
    """

    def __init__(self, *, does_honour):
        super().__init__()
        self.does_honour = does_honour
        self.clock = LoopClock()
        self.state = {}
        self.fencing = 0
        self.accepted = []
        self.words = []
        self.gate = None
        self.n_sent = 0
        self.old_reports = None

    def freeze_reports(self):
        """Give the reports of now from now on."""
        self.old_reports = self.reports()

    def reports(self):
        if self.old_reports is not None:
            return self.old_reports
        state = {name: report(**values) for name, values in self.state.items()}
        at = self.clock.monotonic()
        return {name: SeenReport(report=rep, at=at) for name, rep in state.items()}

    async def request(self, address, method, path, **kwargs):
        self.n_sent += 1
        await asyncio.sleep(0.001)
        word = self.words.pop(0) if self.words else "ok"
        if word == "refused":
            return Err(NotSent(reason="connect_refused"))
        if self.gate is not None:
            await self.gate.wait()
        order = msgspec.json.decode(kwargs["body"], type=Order)
        if word == "lost_before":
            return Err(Lost(reason="cut"))
        answer = self.carry_out(order, f"e{address.port - 9000}")
        return Err(Lost(reason="cut")) if word == "lost_after" else answer

    def carry_out(self, order, name):
        if self.does_honour and order.fencing < self.fencing:
            body = {"reason": "old_fencing", "fencing": self.fencing}
            return Ok(Response(status=409, headers={}, body=msgspec.json.encode(body)))
        self.fencing = max(self.fencing, order.fencing)
        if order.order_id not in [known.order_id for known in self.accepted]:
            self.accepted.append(order)
            state = self.state[name]
            if order.kind == "load_model":
                state |= {"model": order.model, "version": order.version}
                state["adapters"] = ()
            elif order.kind == "load_adapter":
                state["adapters"] = (*state["adapters"], order.adapter)
            elif order.kind == "unload_adapter":
                state["adapters"] = tuple(
                    name for name in state["adapters"] if name != order.adapter
                )
            else:
                state["role"] = order.role
        return Ok(Response(status=200, headers={}, body=b"{}"))


class Fleet:
    """Two nodes that both look after one engine."""

    def __init__(self, *, does_honour=True):
        self.table = FakeTable()
        self.clock = LoopClock()
        self.engines = FakeEngines(does_honour=does_honour)
        self.engines.state["e1"] = {"version": "1"}
        self.head = 1
        self.configurations = []
        self.nodes = [self.make_node(name) for name in "ab"]
        self.accept(document("1"))

    def make_node(self, name):
        rng = random.Random(name)
        configuration = Configuration()
        self.configurations.append(configuration)

        async def head_version(deadline):
            return Ok(self.head)

        return EngineReconciler(
            configuration=configuration,
            reports=self.engines.reports,
            leases=LeaseKeeper(
                table=self.table, holder=name, clock=self.clock, rng=rng
            ),
            pacer=LoadPacer(table=self.table, clock=self.clock),
            head_version=head_version,
            http=self.engines,
            clock=self.clock,
            rng=rng,
        )

    def accept(self, doc, nodes=(0, 1)):
        self.head = max(c.current.version for c in self.configurations) + 1
        newer = VersionedDocument(version=self.head, document=doc)
        for number in nodes:
            self.configurations[number].offer(newer)

    async def run(self, seconds, nodes=(0, 1)):
        """Let nodes step once a second."""
        for _ in range(int(seconds)):
            for number in nodes:
                await self.nodes[number].step()
            await asyncio.sleep(1.0)

    @property
    def kinds(self):
        return [order.kind for order in self.engines.accepted]


def wanted(doc, spec, rep):
    return [
        (want.kind, want.adapter or want.role)
        for want in compare(doc, spec, rep).wanted
    ]


class TestCompare:
    def test_settled_where_all_is_as_it_should_be(self):
        assert compare(document("1"), SPEC, report()).is_settled

    def test_drain_that_the_document_asks_for_goes_first(self):
        spec = replace(SPEC, role="drain")
        assert wanted(document("2"), spec, report()) == [("set_role", "drain")]
        assert wanted(document("2"), spec, report(role="drain")) == [("load_model", "")]

    def test_engine_without_a_model_is_loaded_at_once(self):
        empty = report(model="", version="", adapters=())
        assert wanted(document("1"), SPEC, empty) == [("load_model", "")]

    def test_adapters(self):
        drained = report(adapters=("old",), role="drain")
        assert wanted(document("1"), SPEC, drained) == [
            ("unload_adapter", "old"),
            ("load_adapter", "legal"),
        ]

    def test_model_that_is_not_in_the_document_is_left_alone(self):
        spec = replace(SPEC, model="gone", adapters=())
        assert compare(document("1"), spec, report(adapters=())).is_settled

    def test_change_never_cuts_a_draft(self):
        """A new version is accepted while an engine writes drafts. Loaded at once it
        would cut them; so the engine drains, is waited for, loads and serves again.
        """
        busy = report(n_running=3)
        # One that looks idle may be given a draft before the order comes.
        for rep in (busy, report()):
            assert wanted(document("2"), SPEC, rep) == [("set_role", "drain")]
        draining = compare(document("2"), SPEC, replace(busy, role="drain"))
        assert (draining.wanted, draining.is_waiting) == ((), True)
        idle = report(role="drain")
        assert wanted(document("2"), SPEC, idle) == [("load_model", "")]
        loaded = report(role="drain", version="2")
        assert wanted(document("2"), SPEC, loaded) == [("set_role", "serve")]
        # What cuts nothing is not held up by work in progress.
        assert wanted(document("1"), SPEC, report(adapters=(), n_running=3)) == [
            ("load_adapter", "legal")
        ]

    def test_a_quarter_of_a_model_at_one_time(self):
        for n_engines, allowed in ((6, 1), (8, 2)):
            for n in range(3):
                may = may_begin_roll(
                    n_rolling=n, n_serving=n_engines - n, n_engines=n_engines
                )
                assert may == (n < allowed)

    def test_last_one_that_serves_is_not_drained(self):
        """Of two engines one is dead. Were the other drained for a change, new drafts
        would find no engine at all until its last draft has ended.
        """
        assert not may_begin_roll(n_rolling=0, n_serving=1, n_engines=2)
        assert may_begin_roll(n_rolling=0, n_serving=1, n_engines=1)


@pytest.mark.looptime
class TestReconciler:
    async def test_brings_the_engine_to_the_document(self):
        fleet = Fleet()
        await fleet.run(3)
        assert fleet.table.n_transactions == 0
        fleet.accept(document("2"))
        await fleet.run(20)
        assert fleet.kinds == FULL_CHANGE
        assert fleet.engines.state["e1"]["version"] == "2"
        assert fleet.table.rows.read(["leases/orders/e1"])[0]["value"]["holder"] == ""

    async def test_roll_leaves_most_engines_serving(self):
        """Six busy engines get a new version. Only one of them drains at a time, so
        that new drafts always find a place.
        """
        fleet = Fleet()
        specs = tuple(
            replace(SPEC, name=f"e{n}", address=f"127.0.0.1:900{n}") for n in range(6)
        )
        fleet.engines.state = {
            spec.name: {"version": "1", "n_running": 2} for spec in specs
        }
        fleet.accept(replace(document("2"), engines=specs))
        await fleet.run(20)
        assert [(order.kind, order.role) for order in fleet.engines.accepted] == [
            ("set_role", "drain")
        ]

    @pytest.mark.parametrize("word", ["refused", "lost_before", "lost_after"])
    async def test_lost_order_is_sent_again_and_carried_out_once(self, word):
        """An order or its answer is lost. It is sent again under the same id, so that
        the engine does not load the model a second time.
        """
        fleet = Fleet()
        fleet.engines.words = [word]
        fleet.accept(document("2"))
        fleet.engines.freeze_reports()
        await fleet.run(4)
        assert fleet.engines.n_sent > 1
        fleet.engines.old_reports = None
        await fleet.run(20)
        assert fleet.kinds == FULL_CHANGE

    async def test_restarted_engine_is_ordered_again(self):
        fleet = Fleet()
        fleet.engines.state["e1"] = {"model": "", "version": "", "adapters": ()}
        await fleet.run(20)
        assert fleet.kinds == ["load_model", "load_adapter"]

    async def test_frozen_holder_is_waited_out(self):
        """The node that gives orders freezes. Another one takes over only when the
        first one's lease is surely over, and finishes the work.
        """
        fleet = Fleet()
        fleet.engines.words = ["refused"]
        fleet.accept(document("2"))
        await fleet.run(1, nodes=(0,))
        await fleet.run(LEASE_SECONDS, nodes=(1,))
        assert fleet.kinds == []
        await fleet.run(MARGIN_SECONDS + 10, nodes=(1,))
        assert fleet.engines.state["e1"]["version"] == "2"

    async def test_new_holder_reads_back_first(self):
        """The former holder's order may have been carried out after the last report
        came. The new holder orders nothing by that report: it could undo what is
        right.
        """
        fleet = Fleet()
        fleet.engines.words = ["refused"]
        fleet.accept(document("2"))
        await fleet.run(1, nodes=(0,))
        fleet.engines.freeze_reports()
        await fleet.run(LEASE_SECONDS + MARGIN_SECONDS + 10, nodes=(1,))
        assert fleet.engines.n_sent == 1
        fleet.engines.old_reports = None
        await fleet.run(10, nodes=(1,))
        assert fleet.engines.state["e1"]["version"] == "2"

    async def test_lease_that_lapses_while_it_is_renewed(self):
        """The platform stands still while a node renews its lease, for longer than
        the lease. The node must notice before it sends, as another may hold it now.
        """
        fleet = Fleet()
        fleet.engines.words = ["refused"] * 100
        fleet.accept(document("2"))
        await fleet.run(LEASE_SECONDS // 2, nodes=(0,))
        fleet.table.gate = asyncio.Event()
        await asyncio.sleep(1.0)
        n_sent = fleet.engines.n_sent
        step = asyncio.create_task(fleet.nodes[0].step())
        await asyncio.sleep(LEASE_SECONDS)
        fleet.table.is_down = True
        fleet.table.gate.set()
        await step
        assert fleet.engines.n_sent == n_sent

    async def test_thawed_holder_is_refused_by_an_engine_that_checks(self):
        """A node is paused with an order half sent. Meanwhile another took over and a
        newer version was accepted and loaded. The old order arrives after all: an
        engine that looks at fencing numbers refuses it.
        """
        fleet = await self.thaw(Fleet(does_honour=True))
        assert fleet.kinds == FULL_CHANGE
        assert fleet.engines.state["e1"]["version"] == "3"

    async def test_thawed_holder_is_repaired_on_an_engine_that_does_not(self):
        """The same with an engine that ignores the numbers: it does load the old
        version for a moment. The next report shows it, and it is ordered back.
        """
        fleet = await self.thaw(Fleet(does_honour=False))
        loads = [o.version for o in fleet.engines.accepted if o.kind == "load_model"]
        assert loads == ["3", "2", "3"]
        assert fleet.engines.state["e1"]["version"] == "3"

    async def thaw(self, fleet):
        fleet.accept(document("2"))
        await fleet.run(1, nodes=(0,))
        assert fleet.kinds == ["set_role"]
        fleet.engines.gate = asyncio.Event()
        gate, paused = fleet.engines.gate, asyncio.create_task(fleet.nodes[0].step())
        await asyncio.sleep(0.5)
        fleet.engines.gate = None
        fleet.accept(document("3"), nodes=(1,))
        await fleet.run(LEASE_SECONDS + MARGIN_SECONDS + 20, nodes=(1,))
        assert fleet.engines.state["e1"]["version"] == "3"
        gate.set()
        await paused
        await fleet.run(20, nodes=(0, 1))
        return fleet

    async def test_node_with_an_old_document_orders_nothing(self):
        """A node was frozen through three versions and thaws with the oldest. By its
        document the engine is wrong, but it must not order the engine back.
        """
        fleet = Fleet()
        for version in ("2", "3", "4"):
            fleet.accept(document(version), nodes=(1,))
        await fleet.run(20, nodes=(1,))
        n_orders = len(fleet.engines.accepted)
        await fleet.run(20, nodes=(0,))
        assert fleet.engines.state["e1"]["version"] == "4"
        assert len(fleet.engines.accepted) == n_orders

    async def test_node_with_an_old_document_and_no_order_before(self):
        """The same for an engine that came up with the newest version by itself, so
        that no lease tells of it: the node asks for the accepted version first.
        """
        fleet = Fleet()
        fleet.accept(document("2"), nodes=(1,))
        fleet.engines.state["e1"]["version"] = "2"
        await fleet.run(10, nodes=(0,))
        assert fleet.engines.n_sent == 0

    async def test_platform_down_orders_nothing_and_catches_up(self):
        fleet = Fleet()
        fleet.table.is_down = True
        fleet.accept(document("2"))
        await fleet.run(30)
        assert fleet.kinds == []
        fleet.table.is_down = False
        await fleet.run(20)
        assert fleet.engines.state["e1"]["version"] == "2"


@pytest.mark.looptime
class TestPacing:
    async def test_slots_of_all_nodes_keep_the_rate(self):
        """A new version is accepted and every node wants to load it at once. The
        loads are spread over all nodes to what the weight store allows.
        """
        table, clock = FakeTable(), LoopClock()
        pacers = [
            LoadPacer(table=table, clock=clock, loads_per_second=2.0) for _ in range(4)
        ]
        start, deadline = clock.wall(), clock.monotonic() + 1.0
        slots = [(await pacers[n % 4].slot(deadline)).ok_value for n in range(20)]
        assert slots == pytest.approx([start + n / 2.0 for n in range(20)], abs=0.01)

    async def test_row_of_a_clock_that_ran_ahead(self):
        """A node whose clock is a month ahead took a slot. Were its time believed,
        no engine would load anything for a month.
        """
        table, clock = FakeTable(), LoopClock()
        ahead = LoopClock(wall_offset=clock.wall_offset + 30 * 24 * 3600.0)
        deadline = clock.monotonic() + 1.0
        await LoadPacer(table=table, clock=ahead).slot(deadline)
        slot = await LoadPacer(table=table, clock=clock).slot(deadline)
        assert slot.ok_value < clock.wall() + 5.0
