"""The reconciler against the engine and platform stand-ins, on real sockets."""

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
from celerytrail.policies.reports import EngineReport, SeenReport
from celerytrail.types import Address
from standins.batch import Batch
from standins.engine import serve
from standins.platform import PlatformStandin

LOOPBACK = Address(host="127.0.0.1", port=0)


@pytest.mark.parametrize("fencing", ["honoured", "ignored"])
class TestAgainstStandins:
    async def test_loads_and_shows_who_checks(self, fencing):
        """A version is accepted and an engine of each kind loads it. An order with an
        old number then comes in: one refuses it, the other carries it out.
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

        async def load():
            made = await http.request(engine.address, "GET", "/load")
            return msgspec.json.decode(made.ok_value.body, type=EngineReport)

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
            seen["e1"] = SeenReport(report=await load(), at=clock.monotonic())
            await reconciler.step()
            if seen["e1"].report.version == "2":
                break
            await asyncio.sleep(0.02)
        assert seen["e1"].report.fencing == 1
        old = {
            "order_id": "old",
            "kind": "load_model",
            "model": "m",
            "version": "1",
            "fencing": 0,
            "expires_at": clock.wall() + 60.0,
        }
        made = await http.request_json(engine.address, "POST", "/orders", old)
        is_refused = fencing == "honoured"
        assert made.ok_value.status == (409 if is_refused else 200)
        assert batch.version == ("2" if is_refused else "1")
        task.cancel()
        http.close()
        await engine.close()
        await platform.server.close()
