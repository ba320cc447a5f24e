"""Stand-in engines, callers' APIs and a caller in one event loop, on real sockets."""

from __future__ import annotations

import asyncio
import hashlib
import random
import secrets
from dataclasses import dataclass, field, replace

import msgspec

from celerytrail.callers.api import CallerLimits, CallersApi
from celerytrail.callers.auth import Authenticator
from celerytrail.callers.tickets import TicketSigner
from celerytrail.clock import SystemClock
from celerytrail.configuration.current import Configuration
from celerytrail.configuration.document import (
    Document,
    EngineSpec,
    ModelSpec,
    OrganisationSpec,
    VersionedDocument,
)
from celerytrail.engines.client import EngineClient
from celerytrail.engines.streams import StreamPolicy
from celerytrail.http.client import HttpClient
from celerytrail.http.routes import Router
from celerytrail.http.server import HttpServer
from celerytrail.metrics import Metrics
from celerytrail.policies.localadmitter import LocalAdmitter
from celerytrail.policies.retries import BudgetedRetry
from celerytrail.types import Address
from standins.batch import Batch, token_text
from standins.engine import serve
from standins.faults import Fault

LOOPBACK = Address(host="127.0.0.1", port=0)
KEY = "office-key"
OTHER_KEY = "other-key"
POLICY = StreamPolicy(
    first_token_seconds=0.3,
    stall_seconds=0.15,
    max_stall_seconds=1.0,
    head_seconds=0.5,
    unreachable_retry_seconds=1.0,
    backoff_seconds=0.01,
)


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def expected_text(prompt, generation_id, n_tokens):
    return "".join(token_text(prompt, generation_id, n) for n in range(n_tokens))


@dataclass
class Engine:
    """A stand-in engine that runs in this event loop."""

    server: object
    task: asyncio.Task
    batch: Batch

    @property
    def address(self):
        return self.server.address

    def fault(self, name, **fields):
        options = {k: fields.pop(k) for k in ("tokens", "after") if k in fields}
        self.server._faults.add(Fault(name=name, options=options, **fields))

    def clear_faults(self):
        self.server._faults.clear()

    async def close(self):
        self.task.cancel()
        await self.server.close()


async def start_engine(name="e1", listen=LOOPBACK, **options):
    batch = Batch(
        engine=name,
        incarnation=secrets.token_hex(6),
        model="draft",
        **{"tokens_per_second": 400.0, **options},
    )
    server, task = await serve(listen=listen, batch=batch)
    return Engine(server=server, task=task, batch=batch)


@dataclass
class Answer:
    """A streamed answer as its caller has received it so far."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    events: list = field(default_factory=list)
    text: str = ""
    last_id: str = ""
    unread: bytes = b""
    error: dict | None = None
    is_done: bool = False
    finish_reason: str | None = None

    @property
    def ticket(self):
        return self.last_id.rpartition(".")[0]

    @property
    def n_tokens(self):
        return int(self.last_id.rpartition(".")[2])

    def add_event(self, block):
        fields = dict(line.split(": ", 1) for line in block.decode().splitlines())
        self.last_id = fields.get("id", self.last_id)
        if fields["data"] == "[DONE]":
            self.is_done = True
            return
        value = msgspec.json.decode(fields["data"])
        self.events.append(value)
        if fields.get("event") == "error":
            self.error = value["error"]
            return
        for choice in value["choices"]:
            self.text += choice.get("text") or choice.get("delta", {}).get(
                "content", ""
            )
            self.finish_reason = choice["finish_reason"] or self.finish_reason


class Caller:
    """A client of the callers' API with a key."""

    def __init__(self, key=KEY):
        self.http = HttpClient(process="caller")
        self.headers = {"authorization": f"Bearer {key}"}

    async def request(self, address, method, path, value=None, headers=None):
        body = b"" if value is None else msgspec.json.encode(value)
        answer = await self.http.request(
            address,
            method,
            path,
            body=body,
            headers={**self.headers, **(headers or {})},
        )
        return answer.ok_value

    async def open(self, address, method, path, value=None, headers=None):
        body = b"" if value is None else msgspec.json.encode(value)
        opened = await self.http.open(
            address,
            method,
            path,
            body=body,
            headers={**self.headers, **(headers or {})},
        )
        return opened.ok_value

    async def complete(self, address, prompt, **fields):
        body = {"model": "draft", "prompt": prompt, "stream": True, **fields}
        return await self.open(address, "POST", "/v1/completions", body)

    async def read(self, stream, n_tokens=None, answer=None):
        """Read events until the end, a lost connection, or ``n_tokens`` tokens."""
        answer = answer or Answer()
        answer.status, answer.headers = stream.status, stream.headers
        while True:
            while b"\n\n" in answer.unread:
                block, answer.unread = answer.unread.split(b"\n\n", 1)
                answer.add_event(block)
                if n_tokens is not None and answer.n_tokens >= n_tokens:
                    return answer
            chunk = await stream.next_chunk()
            if chunk.is_err() or chunk.ok_value is None:
                return answer
            answer.unread += chunk.ok_value

    async def resume(self, address, answer):
        """Resume an answer from the id of its last event."""
        answer.unread = b""
        stream = await self.open(
            address,
            "GET",
            f"/v1/generations/{answer.ticket}",
            headers={"last-event-id": answer.last_id},
        )
        return await self.read(stream, answer=answer)


class Rig:
    """Engines and callers' APIs that share one document."""

    def __init__(self):
        self.configuration = Configuration()
        self.engines = {}
        self.nodes = []
        self.caller = Caller()
        self.clock = SystemClock()
        self.keys = {"k1": b"s" * 32}

    async def add_engine(self, name="e1", **options):
        engine = await start_engine(name, **options)
        self.engines[name] = engine
        self.offer_document()
        return engine

    def offer_document(self, **changes):
        document = Document(
            models=(ModelSpec(name="draft", version="1"),),
            organisations=(
                OrganisationSpec(name="office", key_digests=(digest(KEY),)),
                OrganisationSpec(name="other", key_digests=(digest(OTHER_KEY),)),
            ),
            engines=tuple(
                EngineSpec(
                    name=name,
                    address=str(engine.address),
                    failure_domain="fd1",
                    model="draft",
                )
                for name, engine in self.engines.items()
            ),
        )
        version = self.configuration.current.version + 1
        self.configuration.offer(
            VersionedDocument(version=version, document=replace(document, **changes))
        )

    async def add_node(self, grace_seconds=0.2, policy=POLICY, **limits):
        number = len(self.nodes) + 1
        api = CallersApi(
            configuration=self.configuration,
            authenticator=Authenticator(configuration=self.configuration),
            admitter=LocalAdmitter(configuration=self.configuration),
            engines=EngineClient(
                http=HttpClient(process=f"n{number}"), clock=self.clock
            ),
            retries=BudgetedRetry(rng=random.Random(number)),
            tickets=TicketSigner(keys=self.keys, current_key_id="k1", clock=self.clock),
            metrics=Metrics(process=f"n{number}"),
            clock=self.clock,
            rng=random.Random(number),
            limits=CallerLimits(resume_grace_seconds=grace_seconds, **limits),
            policy=policy,
        )
        router = Router()
        api.add_routes(router)
        server = HttpServer(handler=router)
        address = await server.start(LOOPBACK)
        self.nodes.append((server, api, address))
        return server, api, address

    async def close(self):
        self.caller.http.close()
        for server, api, _ in self.nodes:
            await server.close()
            api.close()
        for engine in self.engines.values():
            await engine.close()

    def expected(self, prompt, answer, n_tokens):
        """Return the text that an answer of ``n_tokens`` tokens should have."""
        generation_id = answer.events[0]["id"].split("-", 1)[1]
        return expected_text(prompt, generation_id, n_tokens)


async def until(condition):
    """Wait until a condition is true; the test's timeout bounds the wait."""
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.005)
