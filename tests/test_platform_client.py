"""The platform client against the stand-in server, over real sockets."""

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
from celerytrail.rowsource import StoreUnavailable
from celerytrail.types import Address
from standins.faults import Fault
from standins.platform import PlatformStandin
from standins.worker import worker_row

LOOPBACK = Address(host="127.0.0.1", port=0)


class UnrelatedWebServer(Handler):
    """Answers every call with a page of an unrelated web server."""

    async def handle(self, req, res):
        await res.send(200, b"<html>It works!</html>")


class EmptyPages(Handler):
    """Answers each read with an empty page behind which more rows follow."""

    async def handle(self, req, res):
        await res.send_json(200, {"rows": [], "ver": 7, "has-more": True})


class BusyPlatform(Handler):
    """Turns calls away and asks for a pause."""

    def __init__(self, status, retry_after):
        self.status = status
        self.retry_after = retry_after
        self.n_calls = 0

    async def handle(self, req, res):
        self.n_calls += 1
        headers = {"retry-after": self.retry_after} if self.retry_after else {}
        await res.send(self.status, b"{}", headers)


def make_client(address):
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
    async def test_failed_check_rejects_whole_transaction(self, platform):
        table = HttpTable(exchanger=platform[1])
        first = await table.transact(put_if("a", {"n": 1}, 0), soon())
        version = first.ok_value.versions["a"]
        transaction = Transaction(
            checks=(Check(key="a", version=0),),
            puts=(Put(key="b", value=1), Put(key="a", value=2)),
        )
        conflict = (await table.transact(transaction, soon())).err_value
        assert isinstance(conflict, Conflict)
        assert conflict.rows[0].value == {"n": 1}
        rows = (await table.read(["a", "b"], soon())).ok_value
        assert {row.key: row.version for row in rows.values()} == {"a": version}
        assert (await table.transact(put_if("a", 3, version), soon())).is_ok()
        scanned = (await table.scan("", limit=5, deadline=soon())).ok_value
        assert [(row.key, row.value) for row in scanned] == [("a", 3)]

    async def test_lost_reply_of_a_write_is_in_doubt(self, platform):
        """The platform applies a write and its response is lost. Reported as a failure,
        a filing that was claimed would count as unclaimed.
        """
        standin, exchanger = platform
        standin.faults.add(Fault(name="lose_reply", n=1))
        table = HttpTable(exchanger=exchanger)
        result = await table.transact(put_if("a", 1, 0), soon())
        assert isinstance(result.err_value, InDoubt)
        assert "a" in (await table.read(["a"], soon())).ok_value

    async def test_outage_is_certainly_without_effect(self, platform):
        """The platform refuses a write, which is reported as without effect."""
        standin, exchanger = platform
        standin.faults.add(Fault(name="outage"))
        table = HttpTable(exchanger=exchanger)
        result = await table.transact(put_if("a", 1, 0), soon())
        assert isinstance(result.err_value, Unavailable)
        assert standin.store.keys(PRODUCT_TABLE) == []

    async def test_calls_fail_at_once_in_long_outage_and_recover(self, platform):
        """The platform stalls without closing connections. After a few failures,
        calls are refused at once instead of each waiting. When the platform is back,
        a probe succeeds and all calls are sent again.
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

    async def test_conflict_holds_only_mismatched_rows(self, platform):
        """The store's answer to a refused transaction holds every row that it checked.
        If all of them counted as conflicts, a transaction that was grouped with the
        refused one would fail needlessly.
        """
        table = HttpTable(exchanger=platform[1])
        await table.transact(put_if("a", 1, 0), soon())
        transaction = Transaction(
            checks=(Check(key="a", version=0), Check(key="b", version=0)),
            puts=(Put(key="b", value=1),),
        )
        conflict = (await table.transact(transaction, soon())).err_value
        assert [row.key for row in conflict.rows] == ["a"]

    async def test_prefix_is_scanned_in_pages(self, platform):
        table = HttpTable(exchanger=platform[1])
        keys = ["p/1", "p/2", "p/3", "q/1"]
        puts = tuple(Put(key=key, value=key) for key in keys)
        await table.transact(Transaction(puts=puts), soon())
        first = (await table.scan("p/", limit=2, deadline=soon())).ok_value
        rest = await table.scan("p/", after=first[-1].key, limit=2, deadline=soon())
        assert [row.key for row in (*first, *rest.ok_value)] == keys[:3]

    async def test_a_scan_goes_on_behind_a_page_that_is_full(self, platform):
        """Guards against a page that ends short and is taken for the last one.

        A page has up to 1 MB, whatever number of rows was asked for.
        """
        table = HttpTable(exchanger=platform[1])
        keys = [f"p/{number}" for number in range(7)]
        for key in keys:
            put = Put(key=key, value="x" * 300_000)
            await table.transact(Transaction(puts=(put,)), soon(5.0))
        for limit in (3, 6, 7, 8):
            scanned = await table.scan("p/", limit=limit, deadline=soon(5.0))
            assert [row.key for row in scanned.ok_value] == keys[:limit]

    async def test_an_empty_page_is_not_the_last_if_more_rows_follow(self):
        """Guards against a table whose further rows are taken for gone."""
        store = EmptyPages()
        server = HttpServer(handler=store)
        exchanger = make_client(await server.start(LOOPBACK))
        scanned = await HttpTable(exchanger=exchanger).scan("p/", deadline=soon(1.0))
        assert isinstance(scanned.err_value, Unavailable)
        found = await HttpTable(exchanger=exchanger).read(["p/1"], soon(1.0))
        assert isinstance(found.err_value, Unavailable)
        read = await PlatformRows(exchanger=exchanger).read("servers", soon(1.0))
        assert isinstance(read.err_value, StoreUnavailable)
        await server.close()

    async def test_rate_limited_write_is_certainly_without_effect(self):
        """All nodes share the store's rate limit. A write beyond it is refused and
        reported as without effect.
        """
        standin = PlatformStandin(writes_per_second=1.0)
        address = await standin.server.start(LOOPBACK)
        exchanger = make_client(address)
        table = HttpTable(exchanger=exchanger)
        assert (await table.transact(put_if("a", 1, 0), soon())).is_ok()
        refused = (await table.transact(put_if("b", 1, 0), soon())).err_value
        assert isinstance(refused, Unavailable)
        assert standin.store.keys(PRODUCT_TABLE) == ["a"]
        await standin.server.close()

    async def test_undecodable_response_leaves_write_in_doubt(self):
        """An unrelated server answers on the platform's port. A write to it is in
        doubt and is never reported as committed.
        """
        server = HttpServer(handler=UnrelatedWebServer())
        address = await server.start(LOOPBACK)
        exchanger = make_client(address)
        table = HttpTable(exchanger=exchanger)
        written = (await table.transact(put_if("a", 1, 0), soon())).err_value
        assert isinstance(written, InDoubt)
        assert written.reason == "bad_answer"
        read = (await table.read(["a"], soon())).err_value
        assert read.reason == "bad_answer"
        await server.close()

    async def test_rejected_call_returns_its_status(self, platform):
        exchanger = platform[1]
        result = await exchanger.exchange(
            "transact",
            "POST",
            storewire.TRANSACT_PATH,
            body=b"{}",
            deadline=soon(),
            is_repeatable=False,
        )
        assert result.ok_value.status == 400


class TestObjectsAndVms:
    async def test_object_is_stored_and_fetched(self, platform):
        store = HttpObjectStore(exchanger=platform[1])
        assert (await store.get("sections/x", soon())).ok_value is None
        await store.put("sections/x", b"\x00bytes", soon())
        assert (await store.get("sections/x", soon())).ok_value == b"\x00bytes"

    async def test_invalid_vm_row_is_skipped(self, platform):
        """Two rows of the store are invalid. The others are still used."""
        standin, exchanger = platform
        worker_address = Address(host="10.0.0.1", port=80)
        row = worker_row("desk", worker_address, "draining")
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
    def node_rows(self, exchanger, number, **kwargs):
        return NodeRows(
            rows=PlatformRows(exchanger=exchanger),
            caller=Address(host="10.0.0.1", port=number),
            peer=Address(host="10.0.0.1", port=100 + number),
            rng=random.Random(1),
            **kwargs,
        )

    async def test_nodes_discover_each_other_and_remove_their_rows(self, platform):
        standin, exchanger = platform
        first, second = self.node_rows(exchanger, 1), self.node_rows(exchanger, 2)
        await first.enter()
        assert [found.port for found in await second.enter()] == [101, 102]
        await first.leave()
        assert standin.store.keys("nodes") == ["10.0.0.1:2"]

    @pytest.mark.parametrize("is_first_start", [True, False])
    async def test_nodes_entering_concurrently_discover_each_other(
        self, platform, is_first_start
    ):
        """Both nodes start at the same time. If each read before its write, neither
        would discover the other.
        """
        _, exchanger = platform
        found = await asyncio.gather(
            *(
                self.node_rows(exchanger, number, is_first_start=is_first_start).enter()
                for number in (1, 2)
            )
        )
        assert any(len(addresses) == 2 for addresses in found)

    async def test_restart_does_not_rewrite_the_row(self, platform):
        """Hundreds of nodes restart at once after a power failure. Their rows still
        exist, and each needless write is a priced call at the store's peak load.
        """
        standin, exchanger = platform
        await self.node_rows(exchanger, 1).enter()
        version = standin.store.rows.version
        assert len(await self.node_rows(exchanger, 1).enter()) == 1
        assert standin.store.rows.version == version

    async def test_enter_retries_until_the_store_is_available(self, platform):
        """The store is down while a node starts. The node must write its row later, or
        nodes that start after it would never discover it.
        """
        standin, exchanger = platform
        standin.faults.add(Fault(name="outage"))
        entering = asyncio.create_task(self.node_rows(exchanger, 1).enter())
        await asyncio.sleep(0.1)
        assert not entering.done()
        standin.faults.clear()
        async with asyncio.timeout(20.0):
            await entering
        assert standin.store.keys("nodes") == ["10.0.0.1:1"]


class TestBounds:
    async def test_waiting_calls_are_bounded(self, platform):
        """The platform is slow and calls queue up. Beyond the limit they are refused
        at once and without effect, so memory stays bounded.
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


class TestPauses:
    @pytest.mark.parametrize(
        ("status", "retry_after", "is_held"),
        [(503, "30", True), (429, "30", True), (429, "", False), (500, "30", False)],
    )
    async def test_no_call_is_made_in_a_pause_that_the_store_asked_for(
        self, status, retry_after, is_held
    ):
        # A stated pause ended one call, and the next one went out at once.
        platform = BusyPlatform(status, retry_after)
        server = HttpServer(handler=platform)
        client = make_client(await server.start(LOOPBACK))
        for _ in range(3):
            await client.exchange(
                "read", "GET", "/", deadline=soon(), is_repeatable=False
            )
        await server.close()
        assert (platform.n_calls == 1) is is_held
