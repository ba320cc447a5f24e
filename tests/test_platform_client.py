"""The platform client against the stand-in, on real sockets."""

from __future__ import annotations

import asyncio
import random

import pytest

from celerytrail.clock import SystemClock
from celerytrail.http.client import HttpClient
from celerytrail.http.server import Handler, HttpServer
from celerytrail.platform import storewire
from celerytrail.platform.client import InDoubt, PlatformClient, Unavailable
from celerytrail.platform.noderows import NodeRows
from celerytrail.platform.objects import HttpObjectStore
from celerytrail.platform.rows import PlatformRows
from celerytrail.platform.table import (
    PRODUCT_TABLE,
    Check,
    Conflict,
    HttpTable,
    Put,
    Transaction,
)
from celerytrail.platform.vms import StoreVmList, node_addresses
from celerytrail.types import Address
from standins.faults import Fault
from standins.platform import PlatformStandin
from standins.worker import worker_row

LOOPBACK = Address(host="127.0.0.1", port=0)


class Garbage(Handler):
    """Answers every call as some web server would."""

    async def handle(self, req, res):
        await res.send(200, b"<html>It works!</html>")


def client_of(address):
    return PlatformClient(
        addresses=(address,),
        http=HttpClient(),
        clock=SystemClock(),
        rng=random.Random(1),
    )


def put_if(key, value, version):
    return Transaction(
        checks=(Check(key=key, version=version),), puts=(Put(key=key, value=value),)
    )


def soon(seconds=0.2):
    return asyncio.get_running_loop().time() + seconds


@pytest.fixture
async def platform():
    standin = PlatformStandin()
    address = await standin.server.start(LOOPBACK)
    http = HttpClient()
    exchanger = PlatformClient(
        addresses=(address,), http=http, clock=SystemClock(), rng=random.Random(1)
    )
    yield standin, exchanger
    http.close()
    await standin.server.close()


class TestTable:
    async def test_checks_guard_a_whole_transaction(self, platform):
        table = HttpTable(exchanger=platform[1])
        first = await table.transact(put_if("a", {"n": 1}, 0), soon())
        version = first.ok_value.versions["a"]
        both = Transaction(
            checks=(Check(key="a", version=0),),
            puts=(Put(key="b", value=1), Put(key="a", value=2)),
        )
        conflict = (await table.transact(both, soon())).err_value
        assert isinstance(conflict, Conflict)
        assert conflict.rows[0].value == {"n": 1}
        rows = (await table.read(["a", "b"], soon())).ok_value
        assert {row.key: row.version for row in rows.values()} == {"a": version}
        assert (await table.transact(put_if("a", 3, version), soon())).is_ok()
        scanned = (await table.scan("", limit=5, deadline=soon())).ok_value
        assert [(row.key, row.value) for row in scanned] == [("a", 3)]

    async def test_lost_reply_of_a_write_is_in_doubt(self, platform):
        """The platform applies a write and its answer is lost on the way. Were this
        called a failure, a filing that was claimed would pass for unclaimed.
        """
        standin, exchanger = platform
        standin.faults.add(Fault(name="lose_reply", n=1))
        table = HttpTable(exchanger=exchanger)
        answer = await table.transact(put_if("a", 1, 0), soon())
        assert isinstance(answer.err_value, InDoubt)
        assert "a" in (await table.read(["a"], soon())).ok_value

    async def test_outage_is_certainly_without_effect(self, platform):
        """The platform refuses. The caller may be told that nothing was done."""
        standin, exchanger = platform
        standin.faults.add(Fault(name="outage"))
        table = HttpTable(exchanger=exchanger)
        answer = await table.transact(put_if("a", 1, 0), soon())
        assert isinstance(answer.err_value, Unavailable)
        assert standin.store.keys(PRODUCT_TABLE) == []

    async def test_long_outage_is_refused_at_once_and_ends(self, platform):
        """The platform stalls without closing connections. After a few calls the
        others are refused at once instead of each waiting; when the platform is
        back, a probe finds out and all calls go again.
        """
        standin, exchanger = platform
        standin.faults.add(Fault(name="stall"))
        table = HttpTable(exchanger=exchanger)
        for _ in range(5):
            await table.read(["a"], soon(0.01))
        refused = await table.read(["a"], soon(60.0))
        assert refused.err_value.reason == "platform_down"
        assert refused.err_value.retry_after < 6.0
        standin.faults.clear()
        for _ in range(1000):
            if (await table.read(["a"], soon(1.0))).is_ok():
                break
            await asyncio.sleep(0.01)
        assert not exchanger.is_down

    async def test_only_the_rows_in_the_way_are_a_conflict(self, platform):
        """The store's answer to a refused transaction holds every row that it checked.
        Were all of them taken to stand in the way, a transaction that was sent along
        with the refused one would be given up for nothing.
        """
        table = HttpTable(exchanger=platform[1])
        await table.transact(put_if("a", 1, 0), soon())
        both = Transaction(
            checks=(Check(key="a", version=0), Check(key="b", version=0)),
            puts=(Put(key="b", value=1),),
        )
        conflict = (await table.transact(both, soon())).err_value
        assert [row.key for row in conflict.rows] == ["a"]

    async def test_a_prefix_is_read_in_pages(self, platform):
        table = HttpTable(exchanger=platform[1])
        keys = ["p/1", "p/2", "p/3", "q/1"]
        puts = tuple(Put(key=key, value=key) for key in keys)
        await table.transact(Transaction(puts=puts), soon())
        first = (await table.scan("p/", limit=2, deadline=soon())).ok_value
        rest = await table.scan("p/", after=first[-1].key, limit=2, deadline=soon())
        assert [row.key for row in (*first, *rest.ok_value)] == keys[:3]

    async def test_too_many_calls_are_certainly_without_effect(self):
        """All nodes share the store's rate. A write beyond it is refused, and the
        caller may be told that nothing was done.
        """
        standin = PlatformStandin(writes_per_second=1.0)
        address = await standin.server.start(LOOPBACK)
        exchanger = client_of(address)
        table = HttpTable(exchanger=exchanger)
        assert (await table.transact(put_if("a", 1, 0), soon())).is_ok()
        refused = (await table.transact(put_if("b", 1, 0), soon())).err_value
        assert isinstance(refused, Unavailable)
        assert standin.store.keys(PRODUCT_TABLE) == ["a"]
        await standin.server.close()

    async def test_garbage_is_no_answer(self):
        """What answers on the platform's port is not the platform. A write to it is
        in doubt, never taken for committed.
        """
        server = HttpServer(handler=Garbage())
        address = await server.start(LOOPBACK)
        exchanger = client_of(address)
        table = HttpTable(exchanger=exchanger)
        written = (await table.transact(put_if("a", 1, 0), soon())).err_value
        assert isinstance(written, InDoubt)
        assert written.reason == "bad_answer"
        read = (await table.read(["a"], soon())).err_value
        assert read.reason == "bad_answer"
        await server.close()

    async def test_a_call_that_the_store_rejects_has_no_effect(self, platform):
        exchanger = platform[1]
        made = await exchanger.exchange(
            "transact",
            "POST",
            storewire.TRANSACT_PATH,
            body=b"{}",
            deadline=soon(),
            is_repeatable=False,
        )
        assert made.ok_value.status == 400


class TestOtherPeers:
    async def test_objects(self, platform):
        store = HttpObjectStore(exchanger=platform[1])
        assert (await store.get("sections/x", soon())).ok_value is None
        await store.put("sections/x", b"\x00bytes", soon())
        assert (await store.get("sections/x", soon())).ok_value == b"\x00bytes"

    async def test_bad_vm_is_dropped_alone(self, platform):
        """One row of the store can't be read. The others are used all the same."""
        standin, exchanger = platform
        desk = Address(host="10.0.0.1", port=80)
        row = worker_row("desk", desk, "draining")
        standin.store.put("servers", "v1", row)
        standin.store.put("servers", "torn", {"service": 7})
        standin.store.put("nodes", "10.0.0.2:80", b"10.0.0.2:81")
        standin.store.put("nodes", "10.0.0.3:80", b"nowhere")
        rows = PlatformRows(exchanger=exchanger)
        vms = (await StoreVmList(rows=rows).fetch(soon())).ok_value
        assert [(vm.vm, vm.state) for vm in vms] == [
            ("v1", "leaving"),
            ("10.0.0.2:80", "live"),
        ]
        assert node_addresses(vms) == [Address(host="10.0.0.2", port=81)]


class TestNodeRows:
    def rows_of(self, exchanger, number, **more):
        return NodeRows(
            rows=PlatformRows(exchanger=exchanger),
            caller=Address(host="10.0.0.1", port=number),
            peer=Address(host="10.0.0.1", port=100 + number),
            rng=random.Random(1),
            **more,
        )

    async def test_nodes_find_one_another_and_leave_no_row(self, platform):
        standin, exchanger = platform
        one, two = self.rows_of(exchanger, 1), self.rows_of(exchanger, 2)
        await one.enter()
        assert [found.port for found in await two.enter()] == [101, 102]
        await one.leave()
        assert standin.store.keys("nodes") == ["10.0.0.1:2"]

    @pytest.mark.parametrize("is_first_start", [True, False])
    async def test_two_nodes_that_enter_at_once_find_one_another(
        self, platform, is_first_start
    ):
        """Both start at the same moment. Were each to read before it writes, neither
        would know of the other.
        """
        _, exchanger = platform
        found = await asyncio.gather(
            *(
                self.rows_of(exchanger, number, is_first_start=is_first_start).enter()
                for number in (1, 2)
            )
        )
        assert any(len(addresses) == 2 for addresses in found)

    async def test_a_restart_does_not_write_the_row_again(self, platform):
        """Hundreds of nodes come back at once after a loss of power. Their rows stand,
        and each needless write is a priced call in the store's worst second.
        """
        standin, exchanger = platform
        await self.rows_of(exchanger, 1).enter()
        version = standin.store.rows.version
        assert len(await self.rows_of(exchanger, 1).enter()) == 1
        assert standin.store.rows.version == version

    async def test_a_store_that_is_away_at_start_is_asked_until_it_is_back(
        self, platform
    ):
        """The store is down while a node starts. The node enters itself later; else
        the nodes that start after it would never hear of it.
        """
        standin, exchanger = platform
        standin.faults.add(Fault(name="outage"))
        entering = asyncio.create_task(self.rows_of(exchanger, 1).enter())
        await asyncio.sleep(0.1)
        assert not entering.done()
        standin.faults.clear()
        async with asyncio.timeout(20.0):
            await entering
        assert standin.store.keys("nodes") == ["10.0.0.1:1"]


class TestBounds:
    async def test_queue_is_bounded(self, platform):
        """The platform is slow and calls pile up. Past the bound they are refused
        at once, certainly without effect, so memory stays bounded.
        """
        standin, _ = platform
        standin.faults.add(Fault(name="freeze"))
        exchanger = PlatformClient(
            addresses=(standin.server.address,),
            http=HttpClient(),
            clock=SystemClock(),
            rng=random.Random(1),
            n_in_flight=1,
            n_waiting=2,
        )
        table = HttpTable(exchanger=exchanger)
        tasks = [
            asyncio.create_task(table.transact(put_if(str(n), n, 0), soon(seconds)))
            for n, seconds in enumerate((0.5, 0.1, 0.1, 0.1, 0.1))
        ]
        reasons = [task.err_value.reason for task in await asyncio.gather(*tasks)]
        assert reasons.count("queue_full") == 2
        assert reasons.count("queue_deadline") == 2
        standin.faults.clear()
