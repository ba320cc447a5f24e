"""The node: the object that an entry VM's daemon runs, and that a library user gets."""

from __future__ import annotations

import asyncio
import os
import random
import signal

from eliot import log_message

from .clock import Clock, SystemClock
from .configuration import Configuration
from .http import Request
from .httpclient import HttpClient
from .httpserver import HttpServer, Responder, ServerLimits
from .log import start_logging
from .metrics import Metrics
from .network import Network, SystemNetwork
from .routes import Params, Router
from .settings import NodeSettings
from .types import Address


class Node:
    """One entry VM's part of the system.

    Parameters
    ----------
    cfg : NodeSettings
        Its settings.
    clock : Clock or None
        Where it learns the time; the machine's clocks by default.
    rng : random.Random or None
        Its source of jitter and of ids.
    network : Network or None
        What carries its connections; the machine's own by default.
    """

    def __init__(
        self,
        *,
        cfg: NodeSettings,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        network: Network | None = None,
    ) -> None:
        self.cfg = cfg
        self.clock = clock or SystemClock()
        self.rng = rng or random.Random()
        self.node_id = f"{cfg.vm}-{self.rng.getrandbits(32):08x}"
        self.metrics = Metrics(process=cfg.vm)
        self.configuration = Configuration()
        self.network = network or SystemNetwork()
        self.client = HttpClient(process=self.node_id, network=self.network)
        self.is_leaving = False
        self._caller_router = Router()
        self._peer_router = Router()
        self._caller_server = HttpServer(
            handler=self._caller_router,
            limits=ServerLimits(max_connections=cfg.max_connections),
            network=self.network,
        )
        self._peer_server = HttpServer(handler=self._peer_router, network=self.network)
        self._add_routes()

    async def start(self) -> None:
        """Join the others and serve."""
        await self._peer_server.start(self.cfg.peer_listen)
        await self._caller_server.start(self.cfg.caller_listen)
        log_message("node:started", node=self.node_id, callers=str(self.callers))

    @property
    def callers(self) -> Address:
        """Return the address at which callers find this node."""
        return self.cfg.caller_listen

    async def leave(self) -> None:
        """Stop gracefully: cut nothing, however long that takes."""
        self.is_leaving = True
        log_message("node:leaving", node=self.node_id)
        await self._caller_server.drain()
        await self._peer_server.drain()
        self.client.close()
        log_message("node:left", node=self.node_id)

    async def close(self) -> None:
        """Stop at once, cutting what is in progress; for tests."""
        await self._caller_server.close()
        await self._peer_server.close()
        self.client.close()

    def _add_routes(self) -> None:
        for router in (self._caller_router, self._peer_router):
            router.add("GET", "/healthz", self._health)
            router.add("GET", "/readyz", self._ready)
        self._peer_router.add("GET", "/metrics", self._metrics)

    async def _health(self, req: Request, res: Responder, params: Params) -> None:
        await res.send_json(200, {"status": "alive"})

    async def _ready(self, req: Request, res: Responder, params: Params) -> None:
        """Say whether callers should be sent here: not before there is a document."""
        version = self.configuration.current.version
        is_ready = version > 0 and not self.is_leaving
        await res.send_json(
            200 if is_ready else 503,
            {"ready": is_ready, "version": version, "leaving": self.is_leaving},
        )

    async def _metrics(self, req: Request, res: Responder, params: Params) -> None:
        self.metrics.set(
            "configuration_version", float(self.configuration.current.version)
        )
        body, headers = self.metrics.render()
        await res.send(200, body, headers)


def run_node(cfg: NodeSettings) -> None:
    """Run a node until it is told to stop and has finished what it had."""
    start_logging(cfg.vm, None if cfg.log_file == "-" else cfg.log_file)
    asyncio.run(_run(cfg))


async def _run(cfg: NodeSettings) -> None:
    node = Node(cfg=cfg)
    told_to_stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _stop, told_to_stop, number)
    await node.start()
    print(f"listening {node.callers} pid {os.getpid()}", flush=True)
    await told_to_stop.wait()
    await node.leave()


def _stop(told_to_stop: asyncio.Event, number: int) -> None:
    """Begin the graceful stop; a second signal changes nothing.

    A platform that sends the signal again because the stop takes long would otherwise
    cut the drafts that the first one promised to finish.
    """
    log_message("node:signal", number=number, again=told_to_stop.is_set())
    told_to_stop.set()
