"""A console with a fake store and a stub of a node, for the tests of the console."""

from __future__ import annotations

import random

import msgspec
from formbrowser import Browser
from result import Ok
from storefakes import FakeObjects, FakeTable

from celerytrail.accounts import make_account, parse_accounts
from celerytrail.clock import LoopClock
from celerytrail.configuration.document import (
    Document,
    EngineSpec,
    ModelSpec,
    OrganisationSpec,
)
from celerytrail.configuration.sync import HINT_PATH
from celerytrail.http.client import HttpClient
from celerytrail.http.routes import Router
from celerytrail.http.server import Handler, HttpServer, ServerLimits
from celerytrail.operators.console import Console
from celerytrail.operators.live import STATUS_PATH, LiveView
from celerytrail.operators.sessions import (
    Accounts,
    Sessions,
)
from celerytrail.operators.store import DocumentStore
from celerytrail.types import Address
from scenarios.memorynetwork import MemoryFabric

ACCOUNTS = ",".join(
    make_account(name, "secret " + name, salt=b"12345678") for name in ("ana", "bia")
)
NODE = Address(host="10.0.1.1", port=7101)
DEAD_NODE = Address(host="10.0.1.2", port=7101)


class StubAuth:
    def headers(self, method, path, body):
        return {"x-peer-signature": "good"}

    def accepts(self, req):
        return True


class NodeStub(Handler):
    def __init__(self):
        self.hints = []
        self.status = {"version": 1, "engines": {"e1": {"queued": 3}}, "streams": 7}

    async def handle(self, req, res):
        if req.path == HINT_PATH:
            self.hints.append(msgspec.json.decode(req.body))
            await res.send(204)
        elif req.path == STATUS_PATH:
            await res.send_json(200, self.status)


class ConsoleRig:
    """Runs a fake platform, a node stub, and consoles that can be replaced."""

    def __init__(self):
        self.wires = MemoryFabric(rng=random.Random(1))
        self.clock = LoopClock()
        self.table, self.objects = FakeTable(), FakeObjects()
        self.node = NodeStub()
        self.servers = []
        self.n_consoles = 0
        self.accounts = ACCOUNTS

    async def start(self):
        server = HttpServer(handler=self.node, network=self.wires.network_of("node"))
        await server.start(NODE)
        self.servers.append(server)
        await self.start_console()

    async def start_console(self):
        """Start a console that shares no state with earlier ones but the store."""
        self.n_consoles += 1
        network = self.wires.network_of(f"console{self.n_consoles}")
        self.address = Address(host=f"10.0.0.{self.n_consoles}", port=7200)

        async def addresses():
            return (NODE, DEAD_NODE)

        self.console = Console(
            store=self.store(),
            accounts=Accounts(
                hashes=parse_accounts(self.accounts, "accounts").ok_value,
                clock=self.clock,
            ),
            sessions=Sessions(keys=(b"k" * 16,), clock=self.clock),
            live=LiveView(
                client=HttpClient(network=network),
                auth=StubAuth(),
                addresses=addresses,
                clock=self.clock,
                rng=random.Random(2),
            ),
            clock=self.clock,
        )
        router = Router()
        self.console.add_routes(router)
        limits = ServerLimits(max_body_bytes=16 * 1024 * 1024)
        server = HttpServer(handler=router, limits=limits, network=network)
        await server.start(self.address)
        self.servers.append(server)

    def store(self):
        return DocumentStore(
            table=self.table,
            objects=self.objects,
            clock=self.clock,
            rng=random.Random(3),
        )

    def browser(self):
        network = self.wires.network_of("browser")
        return Browser(HttpClient(network=network), self.address)

    async def login(self, name="ana"):
        browser = self.browser()
        await browser.get("/")
        await browser.press("Log in", name=name, password="secret " + name)
        assert f"Logged in as {name}" in browser.page.text
        return browser

    async def accept(self, document, base=0):
        accepted = await self.store().accept(
            document,
            base_version=base,
            operation_id=f"{base:032x}",
            author="setup",
            note="",
            deadline=self.clock.monotonic() + 5,
        )
        assert isinstance(accepted, Ok)

    async def newest(self):
        return (await self.store().load(self.clock.monotonic() + 5)).ok_value


def initial_document() -> Document:
    return Document(
        models=(ModelSpec(name="contracts", version="v1"),),
        engines=(
            EngineSpec(
                name="e1",
                address="10.9.0.1:8000",
                failure_domain="f",
                model="contracts",
            ),
        ),
        organisations=(
            OrganisationSpec(name="local-65"),
            OrganisationSpec(name="local-72"),
        ),
    )


async def open_organisation(browser, name="local-65"):
    await browser.press("Organisations")
    return await browser.press(f"item/organisations/{name}")
