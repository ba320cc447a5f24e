"""The callers' API of plain services, over real sockets to the stand-ins."""

from __future__ import annotations

import asyncio
import random

import pytest
from result import Err, Ok

from celerytrail.callers.auth import AuthError
from celerytrail.callers.service_api import ServiceApi
from celerytrail.clock import SystemClock
from celerytrail.configuration.current import Configuration
from celerytrail.configuration.document import (
    Document,
    EndpointSpec,
    OperationSpec,
    OrganisationSpec,
    ServiceSpec,
    VersionedDocument,
)
from celerytrail.http.client import HttpClient, NotSent
from celerytrail.http.routes import Router
from celerytrail.http.server import HttpServer
from celerytrail.leaving import LeavingTracker
from celerytrail.platform.client import PlatformClient
from celerytrail.platform.grouping import GroupedTable
from celerytrail.platform.table import HttpTable
from celerytrail.services.calls import ServiceCalls
from celerytrail.services.claimstore import ClaimStore
from celerytrail.services.endpoints import EndpointDirectory
from celerytrail.services.recorder import ClaimRecorder
from celerytrail.services.sender import CallSender
from celerytrail.types import Address
from standins.faults import Fault
from standins.platform import PlatformStandin
from standins.service import ServiceStandin

LOOPBACK = Address(host="127.0.0.1", port=0)
OPERATIONS = (
    OperationSpec(name="file"),
    OperationSpec(name="status", idempotent=True),
)
ORGANISATIONS = {
    "office": OrganisationSpec(name="office"),
    "other": OrganisationSpec(name="other", services=("payroll",)),
}


class NameAuthenticator:
    """Accepts the name of an organisation as its API key."""

    def authenticate(self, req):
        organisation = ORGANISATIONS.get(req.headers.get("authorization", ""))
        if organisation is None:
            return Err(AuthError(reason="unknown_key", message="no such key"))
        return Ok(organisation)


class Stack:
    """A platform, one endpoint and one node's API of plain services."""

    async def start(self):
        clock, rng = SystemClock(), random.Random(1)
        self.platform = PlatformStandin()
        self.endpoint = ServiceStandin(name="e1")
        platform = await self.platform.server.start(LOOPBACK)
        endpoint = await self.endpoint.server.start(LOOPBACK)
        spec = EndpointSpec(name="e1", address=str(endpoint), failure_domain="a")
        service = ServiceSpec(name="books", operations=OPERATIONS, endpoints=(spec,))
        self.configuration = Configuration()
        self.configuration.offer(
            VersionedDocument(version=1, document=Document(services=(service,)))
        )
        self.http = HttpClient()
        self.leaving = LeavingTracker()
        self.directory = EndpointDirectory(
            configuration=self.configuration,
            leaving=self.leaving,
            http=self.http,
            clock=clock,
            rng=rng,
        )
        exchanger = PlatformClient(
            addresses=(platform,), http=self.http, clock=clock, rng=rng
        )
        self.table = GroupedTable(inner=HttpTable(exchanger=exchanger))
        store = ClaimStore(table=self.table, clock=clock, rng=rng)
        self.recorder = ClaimRecorder(store=store, clock=clock, rng=rng)
        sender = CallSender(directory=self.directory, http=self.http, clock=clock)
        calls = ServiceCalls(
            node_id="n1",
            claims=store,
            recorder=self.recorder,
            sender=sender,
            clock=clock,
            rng=rng,
        )
        router = Router()
        api = ServiceApi(
            calls=calls,
            configuration=self.configuration,
            authenticator=NameAuthenticator(),
            clock=clock,
        )
        api.add_routes(router)
        self.server = HttpServer(handler=router)
        self.address = await self.server.start(LOOPBACK)

    async def close(self):
        self.directory.close()
        self.recorder.close()
        self.table.close()
        self.http.close()
        for server in (self.server, self.platform.server, self.endpoint.server):
            await server.close()

    async def request(self, method, path, body=b"{}", **headers):
        """Send a request, as "office" by default; "_" in header names becomes "-"."""
        dashed = {name.replace("_", "-"): text for name, text in headers.items()}
        result = await self.http.request(
            self.address,
            method,
            f"/v1/services/{path}",
            body=body,
            headers={"authorization": "office", **dashed},
        )
        return result.ok_value


@pytest.fixture
async def stack():
    service_stack = Stack()
    await service_stack.start()
    yield service_stack
    await service_stack.close()


class TestServiceApi:
    async def test_call_replay_and_status(self, stack):
        first = await stack.request("POST", "books/file", idempotency_key="k/1")
        again = await stack.request("POST", "books/file", idempotency_key="k/1")
        assert (first.status, again.status) == (200, 200)
        assert first.body == again.body
        assert "celerytrail-replayed" not in first.headers
        assert again.headers["celerytrail-replayed"] == "true"
        status = (await stack.request("GET", "books/calls/k%2F1")).json()
        assert (status["state"], status["status"]) == ("answered", 200)
        assert len(stack.endpoint.runs) == 1

    @pytest.mark.parametrize(
        ("method", "path", "headers", "status", "place"),
        [
            ("POST", "books/file", {"authorization": "x"}, 401, "authorization"),
            ("POST", "books/file", {"authorization": "other"}, 403, "path"),
            ("POST", "films/file", {}, 404, "path"),
            ("POST", "books/film", {}, 404, "path"),
            ("POST", "books/file", {}, 400, "idempotency-key"),
            ("POST", "books/file", {"idempotency_key": "k" * 201}, 400, None),
            (
                "POST",
                "books/status",
                {"x_deadline_at": "soon"},
                400,
                "x-deadline-at",
            ),
            ("GET", "books/calls/none", {}, 404, "path"),
        ],
    )
    async def test_bad_request_names_its_place(
        self, stack, method, path, headers, status, place
    ):
        res = await stack.request(method, path, **headers)
        assert res.status == status
        assert place in (None, res.json()["error"]["place"])
        assert stack.endpoint.runs == []

    async def test_body_that_is_not_json(self, stack):
        for body in (b"{", b"[" * 100_000):
            res = await stack.request("POST", "books/file", body, idempotency_key="k")
            assert (res.status, res.json()["error"]["place"]) == (400, "body")

    async def test_other_body_under_the_same_key(self, stack):
        await stack.request("POST", "books/file", b"1", idempotency_key="k")
        res = await stack.request("POST", "books/file", b"2", idempotency_key="k")
        assert res.status == 422
        assert len(stack.endpoint.runs) == 1

    async def test_platform_down_is_not_run_with_retry_after(self, stack):
        stack.platform.faults.add(Fault(name="outage", retry_after=3.0))
        res = await stack.request("POST", "books/file", idempotency_key="k")
        assert res.status == 503
        assert res.json()["error"]["type"] == "not_run"
        assert res.headers["retry-after"] == "3"
        assert res.headers["celerytrail-outcome"] == "not_run"
        assert stack.endpoint.runs == []
        # Idempotent calls need no claim and still run.
        assert (await stack.request("POST", "books/status")).status == 200
        assert (await stack.request("GET", "books/calls/k")).status == 503

    async def test_refusal_by_the_endpoint_is_not_run(self, stack):
        stack.endpoint.faults.add(Fault(name="refuse_work", retry_after=7.0))
        res = await stack.request("POST", "books/file", idempotency_key="k")
        assert (res.status, res.headers["retry-after"]) == (503, "7")
        status = (await stack.request("GET", "books/calls/k")).json()
        assert status["state"] == "not_run"
        assert stack.endpoint.runs == []

    @pytest.mark.parametrize(("sent_seconds", "header"), [(-5.0, "1"), (1e300, "3600")])
    async def test_retry_after_out_of_range_is_clamped(
        self, stack, sent_seconds, header
    ):
        stack.endpoint.faults.add(Fault(name="refuse_work", retry_after=sent_seconds))
        res = await stack.request("POST", "books/file", idempotency_key="k")
        assert (res.status, res.headers["retry-after"]) == (503, header)

    async def test_reply_lost_after_the_run(self, stack):
        """The endpoint runs a call and its answer is lost. The outcome is reported as
        unknown, with the path of its status, and a retry does not run the call again.
        """
        stack.endpoint.faults.add(Fault(name="lose_reply", path="/call", n=1))
        res = await stack.request("POST", "books/file", idempotency_key="k")
        assert res.status == 504
        assert res.json()["error"]["ask"] == "/v1/services/books/calls/k"
        assert res.headers["celerytrail-outcome"] == "unknown"
        again = await stack.request("POST", "books/file", idempotency_key="k")
        assert again.status == 504
        assert len(stack.endpoint.runs) == 1

    async def test_connection_lost_before_the_run_is_unknown(self, stack):
        """The connection is lost after the body was written and before the call ran.
        The node can't tell this from a lost answer, so it must not report "not run".
        """
        stack.endpoint.faults.add(Fault(name="outage", path="/call", cut=True))
        res = await stack.request("POST", "books/file", idempotency_key="k")
        assert res.status == 504
        assert stack.endpoint.runs == []

    async def test_stalled_endpoint_times_out_at_the_deadline(self, stack):
        stack.endpoint.faults.add(Fault(name="stall", path="/call"))
        at = f"{SystemClock().wall() + 2.0:.3f}"
        res = await stack.request(
            "POST", "books/file", idempotency_key="k", x_deadline_at=at
        )
        assert res.status == 504

    async def test_connection_refused(self, stack):
        await stack.endpoint.server.close()
        res = await stack.request("POST", "books/file", idempotency_key="k")
        assert res.status == 503
        assert res.json()["error"]["reason"] == "connect_refused"


class TestPausedBeforeTheSend:
    async def test_deadline_that_passed_while_connecting(self, stack, monkeypatch):
        """A process is paused just after it connected to the endpoint and resumes after
        the call's deadline. It must check the deadline again before it writes.
        """
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def connect_and_pause(*args, **kwargs):
            connected = await connect(*args, **kwargs)
            monkeypatch.setattr(loop, "time", lambda now=loop.time: now() + 3600.0)
            return connected

        monkeypatch.setattr(loop, "create_connection", connect_and_pause)
        result = await stack.http.request(
            stack.endpoint.server.address,
            "POST",
            "/call/file",
            deadline=loop.time() + 60.0,
            fresh=True,
        )
        monkeypatch.undo()
        assert isinstance(result.err_value, NotSent)
        assert stack.endpoint.runs == []
