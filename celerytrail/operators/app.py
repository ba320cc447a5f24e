"""The console as a daemon: its parts put together and run until told to stop."""

from __future__ import annotations

import asyncio
import os
import random
import signal
from collections.abc import Sequence

from eliot import log_message
from result import Err

from ..clock import SystemClock
from ..httpclient import HttpClient
from ..httpserver import HttpServer, ServerLimits
from ..log import start_logging
from ..nodes.signing import PeerKeys
from ..platform.client import PlatformClient
from ..platform.objects import HttpObjectStore
from ..platform.table import HttpTable
from ..platform.vms import HttpVmList, VmList, node_addresses
from ..routes import Router
from ..settings import ConsoleSettings
from ..types import Address
from .console import Console
from .live import LiveView
from .sessions import Accounts, Sessions, parse_accounts
from .store import DocumentStore

VMS_SECONDS = 2.0
# A whole document for the size to design for is uploaded as one form.
MAX_BODY_BYTES = 16 * 1024 * 1024


def run_console(cfg: ConsoleSettings) -> None:
    """Run a console until it is told to stop and has answered what it had."""
    start_logging(cfg.vm, None if cfg.log_file == "-" else cfg.log_file)
    asyncio.run(_run(cfg))


def build_console(cfg: ConsoleSettings, client: HttpClient) -> Console:
    """Put a console's parts together; nothing is sent yet."""
    clock = SystemClock()
    rng = random.Random()
    exchanger = PlatformClient(
        addresses=cfg.platform, http=client, clock=clock, rng=rng
    )
    vms = HttpVmList(exchanger=exchanger)

    async def addresses() -> Sequence[Address]:
        deadline = clock.monotonic() + VMS_SECONDS
        return [*cfg.nodes, *await _listed_addresses(vms, deadline)]

    return Console(
        store=DocumentStore(
            table=HttpTable(exchanger=exchanger),
            objects=HttpObjectStore(exchanger=exchanger),
            clock=clock,
            rng=rng,
        ),
        accounts=Accounts(
            hashes=parse_accounts(cfg.accounts, "accounts").unwrap(), clock=clock
        ),
        sessions=Sessions(keys=[key.secret for key in cfg.session_keys], clock=clock),
        live=LiveView(
            client=client,
            auth=PeerKeys(keys=[key.secret for key in cfg.peer_keys]),
            addresses=addresses,
            clock=clock,
            rng=rng,
        ),
        clock=clock,
    )


async def _listed_addresses(vms: VmList, deadline: float) -> list[Address]:
    """Return the nodes' peer addresses that the platform lists; none while down."""
    fetched = await vms.fetch(deadline)
    if isinstance(fetched, Err):
        return []
    return node_addresses(fetched.ok_value)


async def _run(cfg: ConsoleSettings) -> None:
    client = HttpClient(process=cfg.vm)
    router = Router()
    build_console(cfg, client).add_routes(router)
    limits = ServerLimits(max_body_bytes=MAX_BODY_BYTES)
    server = HttpServer(handler=router, limits=limits)
    told_to_stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told_to_stop.set)
    address = await server.start(cfg.listen)
    log_message("console:started", address=str(address))
    print(f"listening {address} pid {os.getpid()}", flush=True)
    await told_to_stop.wait()
    await server.drain()
    client.close()
    log_message("console:stopped")
