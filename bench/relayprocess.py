"""Run a process that only relays tokens, for `bench.relay` and tests.

It serves the callers' API of a node with the local admitter and a document of one
model, one organisation and the engines given as options. There is no platform and no
other node.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
from pathlib import Path

import typer

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
from celerytrail.http.client import HttpClient
from celerytrail.http.routes import Router
from celerytrail.http.server import HttpServer, ServerLimits
from celerytrail.log import start_logging
from celerytrail.metrics import Metrics
from celerytrail.policies.localadmitter import LocalAdmitter
from celerytrail.policies.retries import BudgetedRetry
from celerytrail.types import Address

KEY = "bench-key"
TICKET_KEY = b"bench-ticket-key-of-all-relays.."
MODEL = "draft"


def make_document(engines: list[str]) -> Document:
    """Return a document with engines at the given addresses."""
    return Document(
        models=(ModelSpec(name=MODEL, version="1", n_context_tokens=1_000_000),),
        organisations=(
            OrganisationSpec(
                name="office", key_digests=(hashlib.sha256(KEY.encode()).hexdigest(),)
            ),
        ),
        engines=tuple(
            EngineSpec(
                name=f"e{number}", address=address, failure_domain="fd1", model=MODEL
            )
            for number, address in enumerate(engines, start=1)
        ),
    )


def make_api(name: str, engines: list[str], grace_seconds: float) -> CallersApi:
    """Return a callers' API that relays from the given engines."""
    clock = SystemClock()
    rng = random.Random(1)
    configuration = Configuration()
    configuration.offer(VersionedDocument(version=1, document=make_document(engines)))
    return CallersApi(
        configuration=configuration,
        authenticator=Authenticator(configuration=configuration),
        admitter=LocalAdmitter(configuration=configuration),
        engines=EngineClient(http=HttpClient(process=name), clock=clock),
        retries=BudgetedRetry(rng=rng),
        tickets=TicketSigner(keys={"k1": TICKET_KEY}, current_key_id="k1", clock=clock),
        metrics=Metrics(process=name),
        clock=clock,
        rng=rng,
        limits=CallerLimits(resume_grace_seconds=grace_seconds),
    )


async def _serve(name: str, engines: list[str], grace_seconds: float) -> None:
    api = make_api(name, engines, grace_seconds)
    router = Router()
    api.add_routes(router)
    server = HttpServer(handler=router, limits=ServerLimits(max_connections=5_000))
    address = await server.start(Address(host="127.0.0.1", port=0))
    print(f"listening {address}", flush=True)
    while True:
        await asyncio.sleep(1.0)
        api.flush_metrics()


def main(
    engine: list[str] = typer.Option([], help="IP:PORT of an engine; repeatable."),  # noqa: B008
    name: str = typer.Option("relay", help="Name of the process in logs."),
    grace_seconds: float = typer.Option(
        20.0, help="Seconds in which a caller may resume."
    ),
    log: Path | None = typer.Option(None, help="Log file; without it, no logging."),  # noqa: B008
) -> None:
    """Relay tokens from engines to callers."""
    if log is not None:
        start_logging(name, str(log))
    asyncio.run(_serve(name, engine, grace_seconds))


if __name__ == "__main__":
    typer.run(main)
