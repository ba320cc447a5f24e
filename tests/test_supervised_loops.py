"""Loops of the project's own interface, after an error that nobody expected."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest
from result import Ok

from celerytrail.configuration.current import Configuration
from celerytrail.configuration.document import Document, VersionedDocument
from celerytrail.http.messages import Response
from celerytrail.leaving import LeavingTracker
from celerytrail.policies.loadreports import EndpointReport
from celerytrail.services.claims import Claim
from celerytrail.services.endpoints import EndpointDirectory
from celerytrail.services.recorder import ClaimRecorder
from tests.servicefakes import BOOKINGS
from tests.test_configsync import Cluster, document
from tests.test_foreign_bytes import nested

pytestmark = pytest.mark.looptime


class FakeEndpoint:
    """An HTTP client that gets one answer after the other, the last one for ever."""

    def __init__(self, *bodies: bytes) -> None:
        self.bodies = list(bodies)

    async def request(self, address, method, path, **kwargs):
        body = self.bodies.pop(0) if len(self.bodies) > 1 else self.bodies[0]
        return Ok(Response(status=200, headers={}, body=body))


class LoopClock:
    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    wall = monotonic


class FailingStore:
    """Fails as often as it is told, then writes each row."""

    def __init__(self, n_failures: int) -> None:
        self.n_failures = n_failures
        self.written: list[str] = []

    async def finish(self, key, final, version, deadline):
        if self.n_failures:
            self.n_failures -= 1
            raise RecursionError("too deep")
        self.written.append(key)
        return True


def make_directory(http: FakeEndpoint) -> EndpointDirectory:
    configuration = Configuration()
    directory = EndpointDirectory(
        configuration=configuration,
        leaving=LeavingTracker(),
        http=http,
        clock=LoopClock(),
        rng=random.Random(1),
    )
    document = Document(services=(BOOKINGS,))
    configuration.offer(VersionedDocument(version=1, document=document))
    return directory


class TestEndpoints:
    async def test_an_endpoint_is_polled_again_after_an_odd_report(self):
        """Guards against a load that is never read again after one odd report."""
        report = msgspec.json.encode(EndpointReport(endpoint="e1", incarnation="i"))
        directory = make_directory(FakeEndpoint(nested(), nested(), nested(), report))
        directory.start()
        await asyncio.sleep(30.0)
        views = {view.spec.name: view for view in directory.views("bookings")}
        assert views["e1"].report is not None
        directory.close()


class TestRecorder:
    async def test_rows_are_written_after_an_error(self):
        """Guards against an outcome that stays unwritten until the next one."""
        store = FailingStore(3)
        recorder = ClaimRecorder(store=store, clock=LoopClock(), rng=random.Random(1))
        claim = Claim(
            organisation="o",
            service="s",
            operation="file",
            body_hash="",
            attempt="a",
            node="n",
            state="answered",
            claimed_at=0.0,
            deadline_at=1.0,
            expires_at=2.0,
        )
        recorder.enqueue("key", claim, 1)
        await asyncio.sleep(30.0)
        assert store.written == ["key"]
        assert recorder.n_pending == 0


class TestConfiguration:
    async def test_an_error_of_one_subscriber_stops_neither_the_others_nor_the_next(
        self,
    ):
        """Guards against a version that reaches only some parts of a node for good."""
        cluster = Cluster()
        node = await cluster.add()
        seen: list[int] = []
        failures = iter([True])

        def fail_once(new):
            if next(failures, False):
                raise ZeroDivisionError

        node.configuration.subscribe(fail_once)
        node.configuration.subscribe(lambda new: seen.append(new.version))
        for version in (1, 2):
            await cluster.accept(document(f"d{version}"))
            await asyncio.sleep(30.0)
            assert node.version == version
        assert seen == [1, 2]
        await node.stop()
