"""The reconciler with the engine and platform stand-ins, over real sockets."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from celerytrail.clock import SystemClock
from celerytrail.configuration.current import Configuration
from celerytrail.configuration.document import (
    Document,
    EngineSpec,
    ModelSpec,
    VersionedDocument,
)
from celerytrail.configuration.records import HEAD_KEY, Head
from celerytrail.http.client import HttpClient
from celerytrail.orders.leases import LeaseKeeper
from celerytrail.orders.pacing import LoadPacer
from celerytrail.orders.reconciler import EngineReconciler, table_head_version
from celerytrail.platform.client import PlatformClient
from celerytrail.platform.table import HttpTable, Put, Transaction
from celerytrail.policies.loadreports import EngineReport, TimestampedReport
from celerytrail.types import Address
from standins.batch import Batch
from standins.engine import serve
from standins.platform import PlatformStandin

LOOPBACK = Address(host="127.0.0.1", port=0)


@pytest.mark.parametrize("fencing", ["honoured", "ignored"])
class TestAgainstStandins:
    async def test_old_order_is_refused_only_where_fencing_is_honoured(self, fencing):
        """An engine loads the accepted version. An order with an old fencing number
        follows: an engine that honours fencing refuses it, another carries it out.
        """
        clock, rng, http = SystemClock(), random.Random(1), HttpClient()
        platform = PlatformStandin()
        address = await platform.server.start(LOOPBACK)
        batch = Batch(engine="e1", incarnation="i", model="m")
        batch.version = "1"
        engine, task = await serve(
            listen=LOOPBACK, batch=batch, does_honour_fencing=fencing == "honoured"
        )
        exchanger = PlatformClient(
            addresses=(address,), http=http, clock=clock, rng=rng
        )
        table = HttpTable(exchanger=exchanger)
        head = Head(version=3, root="0" * 64, operation_id="o", author="ana", at=1.0)
        row = Put(key=HEAD_KEY, value=msgspec.to_builtins(head))
        await table.transact(Transaction(puts=(row,)), clock.monotonic() + 1.0)
        spec = EngineSpec(
            name="e1", address=str(engine.address), failure_domain="a", model="m"
        )
        document = Document(models=(ModelSpec(name="m", version="2"),), engines=(spec,))
        configuration = Configuration()
        configuration.offer(VersionedDocument(version=3, document=document))

        async def read_report():
            answered = await http.request(engine.address, "GET", "/load")
            return msgspec.json.decode(answered.ok_value.body, type=EngineReport)

        seen = {}
        reconciler = EngineReconciler(
            configuration=configuration,
            reports=lambda: seen,
            leases=LeaseKeeper(table=table, holder="n", clock=clock, rng=rng),
            pacer=LoadPacer(table=table, clock=clock),
            head_version=table_head_version(table),
            http=http,
            clock=clock,
            rng=rng,
        )
        for _ in range(300):
            seen["e1"] = TimestampedReport(
                report=await read_report(), at=clock.monotonic()
            )
            await reconciler.step()
            if seen["e1"].report.version == "2":
                break
            await asyncio.sleep(0.02)
        assert seen["e1"].report.fencing == 1
        old_order = {
            "order_id": "old",
            "kind": "load_model",
            "model": "m",
            "version": "1",
            "fencing": 0,
            "expires_at": clock.wall() + 60.0,
        }
        answered = await http.request_json(engine.address, "POST", "/orders", old_order)
        is_refused = fencing == "honoured"
        assert answered.ok_value.status == (409 if is_refused else 200)
        assert batch.version == ("2" if is_refused else "1")
        task.cancel()
        http.close()
        await engine.close()
        await platform.server.close()
