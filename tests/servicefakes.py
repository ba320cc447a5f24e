"""Test fakes: two nodes that share one table and two endpoints in one process."""

from __future__ import annotations

import asyncio
import random
from contextvars import ContextVar

import msgspec
from result import Err, Ok

from celerytrail.clock import LoopClock
from celerytrail.configuration.current import Configuration
from celerytrail.configuration.document import (
    Document,
    EndpointSpec,
    OperationSpec,
    ServiceSpec,
    VersionedDocument,
)
from celerytrail.http.client import HttpClient, NotSent, RequestLost
from celerytrail.http.messages import Response
from celerytrail.leaving import LeavingTracker
from celerytrail.services.calls import ServiceCalls
from celerytrail.services.claims import KeyReused
from celerytrail.services.claimstore import ClaimStore
from celerytrail.services.endpoints import EndpointDirectory
from celerytrail.services.outcomes import Answered, CallInProgress, ServiceCall
from celerytrail.services.recorder import ClaimRecorder
from celerytrail.services.sender import CallSender
from celerytrail.types import NotRun, Unknown
from tests.fakes import FakeTable

BOOKINGS = ServiceSpec(
    name="bookings",
    operations=(
        OperationSpec(name="file"),
        OperationSpec(name="status", idempotent=True),
    ),
    endpoints=(
        EndpointSpec(name="e1", address="127.0.0.1:9001", failure_domain="a"),
        EndpointSpec(name="e2", address="127.0.0.1:9002", failure_domain="b"),
    ),
)

_current_attempt: ContextVar[str] = ContextVar("attempt", default="")


class FakeEndpoints(HttpClient):
    """Answers calls according to a script and records the attempts that ran.

    Entries of ``script``, one for each request: ``ok``, ``refused`` (the connection),
    ``not_run`` (refused by the endpoint), ``lost_before`` and ``lost_after`` (the
    connection is lost before or after the run), ``failed`` (the call ran and its answer
    is a 503). Without an entry the request succeeds. ``gate``, where set, blocks a
    request after it has connected, as in a paused process. ``run_seconds`` is the
    duration of a run.
    """

    def __init__(self):
        super().__init__()
        self.script = []
        self.run_attempts = []
        self.gate = None
        self.run_seconds = 0.0
        self.n_padding_bytes = 0

    async def request(self, address, method, path, **kwargs):
        await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        entry = self.script.pop(0) if self.script else "ok"
        if entry == "refused":
            return Err(NotSent(reason="connect_refused"))
        if self.gate is not None:
            await self.gate.wait()
        deadline = kwargs["deadline"]
        if loop.time() >= deadline:
            return Err(NotSent(reason="deadline"))
        if entry == "not_run":
            return self._answer(503, {"not_run": True, "retry_after": 0.5})
        if entry == "lost_before":
            return Err(RequestLost(reason="cut"))
        self.run_attempts.append(kwargs["headers"]["x-attempt-id"])
        if entry == "lost_after":
            return Err(RequestLost(reason="cut"))
        if entry == "failed":
            return self._answer(503, {"error": "after it ran"})
        if self.run_seconds:
            await asyncio.sleep(min(self.run_seconds, deadline - loop.time()))
            if loop.time() >= deadline:
                return Err(RequestLost(reason="timeout"))
        return self._answer(
            200, {"run": len(self.run_attempts), "pad": "x" * self.n_padding_bytes}
        )

    def _answer(self, status, value):
        return Ok(Response(status=status, headers={}, body=msgspec.json.encode(value)))


class RecordingCalls(ServiceCalls):
    """Records the result of each attempt."""

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.attempt_results = []

    def _new_attempt(self):
        attempt = super()._new_attempt()
        _current_attempt.set(attempt)
        return attempt

    async def _run(self, call):
        result = await super()._run(call)
        self.attempt_results.append((_current_attempt.get(), result))
        return result


class FakeNode:
    """The service calls of one node, over a shared table and shared endpoints."""

    def __init__(self, *, name, table, http, seed=1, spec=BOOKINGS):
        self.clock = LoopClock()
        self.rng = random.Random(f"{name}{seed}")
        self.configuration = Configuration()
        self.leaving = LeavingTracker()
        self.directory = EndpointDirectory(
            configuration=self.configuration,
            leaving=self.leaving,
            http=http,
            clock=self.clock,
            rng=self.rng,
            failure_domain="a",
        )
        document = Document(services=(spec,))
        self.configuration.offer(VersionedDocument(version=1, document=document))
        self.store = ClaimStore(table=table, clock=self.clock, rng=self.rng)
        self.recorder = ClaimRecorder(store=self.store, clock=self.clock, rng=self.rng)
        sender = CallSender(directory=self.directory, http=http, clock=self.clock)
        self.calls = RecordingCalls(
            node_id=name,
            claims=self.store,
            recorder=self.recorder,
            sender=sender,
            clock=self.clock,
            rng=self.rng,
        )

    async def file(self, key="k", body=b'{"a": 1}', seconds=10.0, operation="file"):
        now = self.clock.monotonic()
        call = ServiceCall(
            organisation="office",
            service="bookings",
            operation=operation,
            body=body,
            key=key,
            deadline=now + seconds,
            deadline_at=self.clock.wall() + seconds,
        )
        return await self.calls.call(call)

    async def status(self, key="k"):
        deadline = self.clock.monotonic() + 1.0
        return await self.calls.status("office", "bookings", key, deadline)


class Cluster:
    """Two nodes that share a table and endpoints."""

    def __init__(self, *, seed=1):
        self.table = FakeTable()
        self.http = FakeEndpoints()
        self.a = FakeNode(name="a", table=self.table, http=self.http, seed=seed)
        self.b = FakeNode(name="b", table=self.table, http=self.http, seed=seed)

    @property
    def run_attempts(self):
        return self.http.run_attempts


def outcome_name(result):
    """Return the name of the outcome that the caller received."""
    if isinstance(result, Ok):
        assert isinstance(result.ok_value, Answered)
        return "replayed" if result.ok_value.is_replayed else "answered"
    outcome_names = {
        NotRun: "not_run",
        Unknown: "unknown",
        KeyReused: "reused",
        CallInProgress: "in_progress",
    }
    return outcome_names[type(result.err_value)]
