"""The console's process: builds its parts, starts and stops them."""

from __future__ import annotations

import asyncio
import os
import random
import signal
from collections.abc import Sequence

from eliot import log_message
from result import Err

from ..accounts import parse_accounts
from ..clock import Clock, SystemClock
from ..exceptions import SettingsError
from ..http.client import HttpClient
from ..http.messages import Request
from ..http.network import Network, SystemNetwork
from ..http.routes import Params, Router
from ..http.server import HttpServer, Responder, ServerLimits
from ..log import start_logging
from ..nodes.signing import PeerKeys
from ..platform.client import PlatformClient
from ..platform.objects import HttpObjectStore
from ..platform.rows import PlatformRows
from ..platform.table import HttpTable
from ..platform.vms import StoreVmList, VmList, node_addresses
from ..settings import ConsoleSettings
from ..types import Address
from .console import Console
from .live import LiveView
from .sessions import Accounts, Sessions
from .store import DocumentStore

# A draft that replaces the whole document at 6,400 organisations is 2 MB, and grows
# to about three times that when a browser encodes it.
MAX_FORM_BYTES = 24 * 1024 * 1024
MAX_CONNECTIONS = 100
VM_LIST_SECONDS = 2.0


class ConsoleApp:
    """Builds and runs a console.

    Parameters
    ----------
    cfg : ConsoleSettings
        The console's settings.
    clock : Clock or None
        Supplies the time; the system's clocks by default.
    rng : random.Random or None
        Draws jitter and samples of nodes; seeded by the system by default.
    network : Network or None
        Opens and accepts connections; the system's network by default.
    """

    def __init__(
        self,
        *,
        cfg: ConsoleSettings,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        network: Network | None = None,
    ) -> None:
        self._cfg = cfg
        self._clock = clock or SystemClock()
        self._rng = rng or random.Random()
        network = network or SystemNetwork()
        self._client = HttpClient(process=cfg.vm, network=network)
        exchanger = PlatformClient(
            addresses=cfg.platform,
            http=self._client,
            clock=self._clock,
            rng=self._rng,
        )
        self._vms: VmList = StoreVmList(rows=PlatformRows(exchanger=exchanger))
        self._live = LiveView(
            client=self._client,
            auth=PeerKeys(keys=[key.secret for key in cfg.peer_keys]),
            addresses=self.addresses,
            clock=self._clock,
            rng=self._rng,
        )
        store = DocumentStore(
            table=HttpTable(exchanger=exchanger),
            objects=HttpObjectStore(exchanger=exchanger),
            clock=self._clock,
            rng=self._rng,
            fetch_from_node=self._live.find_object,
        )
        router = Router()
        router.add("GET", "/healthz", _health)
        self._make_console(store).add_routes(router)
        limits = ServerLimits(
            max_body_bytes=MAX_FORM_BYTES, max_connections=MAX_CONNECTIONS
        )
        self._server = HttpServer(handler=router, limits=limits, network=network)

    async def start(self) -> Address:
        """Start listening and return the bound address."""
        address = await self._server.start(self._cfg.listen)
        log_message("console:started", address=str(address))
        return address

    async def stop(self) -> None:
        """Stop listening, wait for exchanges in progress, then close."""
        await self._server.drain()
        self._client.close()

    async def addresses(self) -> Sequence[Address]:
        """Return the nodes' peer addresses, from the settings and from the store."""
        addresses = list(self._cfg.nodes)
        listed = await self._vms.fetch(self._clock.monotonic() + VM_LIST_SECONDS)
        if isinstance(listed, Err):
            log_message("console:no_vm_list", problem=listed.err_value.reason)
            return addresses
        return addresses + node_addresses(listed.ok_value)

    def _make_console(self, store: DocumentStore) -> Console:
        hashes = parse_accounts(self._cfg.accounts, "accounts")
        if isinstance(hashes, Err):
            raise SettingsError(hashes.err_value)
        return Console(
            store=store,
            accounts=Accounts(hashes=hashes.ok_value, clock=self._clock),
            sessions=Sessions(
                keys=[key.secret for key in self._cfg.session_keys], clock=self._clock
            ),
            live=self._live,
            clock=self._clock,
        )


def run_console(cfg: ConsoleSettings) -> None:
    """Run a console until SIGTERM or SIGINT."""
    start_logging(cfg.vm, None if cfg.log_file == "-" else cfg.log_file)
    asyncio.run(_run(cfg))


async def _run(cfg: ConsoleSettings) -> None:
    app = ConsoleApp(cfg=cfg)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    address = await app.start()
    print(f"listening {address} pid {os.getpid()}", flush=True)
    await stop_requested.wait()
    await app.stop()


async def _health(req: Request, res: Responder, params: Params) -> None:
    await res.send_json(200, {"status": "alive"})
