"""The node: the object that an entry VM's daemon runs, and that a library user gets."""

from __future__ import annotations

import asyncio
import os
import random
import signal
from collections.abc import Coroutine

from eliot import log_message

from . import wiring
from .callers.auth import Authenticator
from .clock import Clock, SystemClock
from .configuration.current import Configuration
from .engines.client import EngineClient
from .http.client import HttpClient
from .http.messages import Request
from .http.network import Network, SystemNetwork
from .http.routes import Params, Router
from .http.server import HttpServer, Responder, ServerLimits
from .leaving import LeavingBoard
from .log import start_logging
from .metrics import Metrics
from .nodes.limited import LimitedAdmitter
from .nodes.signing import PeerKeys
from .settings import NodeSettings
from .types import Address
from .vmwatch import VmWatch

# How long a leaving node tries to write outcomes down, in seconds. While the platform
# is down longer, the claims stay and are answered as unknown, never run again.
RECORD_SECONDS = 120.0


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
        rng = rng or random.Random()
        network = network or SystemNetwork()
        configuration = Configuration()
        node_id = f"{cfg.vm}-{rng.getrandbits(32):08x}"
        self.cfg = cfg
        self.base = wiring.Base(
            cfg=cfg,
            node_id=node_id,
            clock=clock or SystemClock(),
            rng=rng,
            network=network,
            client=HttpClient(process=node_id, network=network),
            metrics=Metrics(process=cfg.vm),
            configuration=configuration,
            authenticator=Authenticator(configuration=configuration),
            leaving=LeavingBoard(),
            keys=PeerKeys(keys=[key.secret for key in cfg.peer_keys]),
        )
        self.is_leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._caller_router = Router()
        self._peer_router = Router()
        self._caller_server = HttpServer(
            handler=self._caller_router,
            limits=ServerLimits(max_connections=cfg.max_connections),
            network=network,
        )
        self._peer_server = HttpServer(handler=self._peer_router, network=network)
        self._platform = wiring.connect_platform(self.base)
        self.nodes = wiring.make_nodes(self.base)
        self.sync = wiring.make_sync(self.base, self._platform, self.nodes)
        self._vms = VmWatch(
            vms=self._platform.vms,
            nodes=self.nodes,
            leaving=self.base.leaving,
            configuration=self.base.configuration,
            clock=self.base.clock,
            rng=rng,
        )
        wiring.share_leaving(self.base, self.nodes)
        engines = EngineClient(http=self.base.client, clock=self.base.clock)
        self.homes = wiring.make_homes(self.base, self.nodes, engines)
        self.admitter = wiring.make_admitter(self.base, self.nodes, self.homes)
        self.limits = wiring.make_limits(self.base, self.nodes)
        self._reconciler = wiring.make_reconciler(self.base, self._platform, self.homes)
        limited = LimitedAdmitter(inner=self.admitter, limits=self.limits)
        self.callers = wiring.make_callers(self.base, engines, limited)
        self.services = wiring.make_services(self.base, self._platform)
        self.status = wiring.make_status(self.base, self.nodes, self.sync)
        self.status.add_part("homes", self.homes.describe)
        self.status.add_part("work", self._describe_work)
        self._add_routes()

    async def start(self) -> None:
        """Join the others and serve."""
        await self._peer_server.start(self.cfg.peer_listen)
        await self.nodes.start()
        await self.sync.start()
        await self.homes.start()
        await self.admitter.start()
        await self.limits.start()
        self.services.directory.start()
        self._run(self._enter())
        self._run(self._vms.run())
        self._run(wiring.keep_telling(self.base, self.nodes))
        self._run(self._reconciler.run())
        self._run(self.services.sweeper.run())
        await self._caller_server.start(self.cfg.caller_listen)
        log_message(
            "node:started", node=self.base.node_id, callers=str(self.caller_address)
        )

    @property
    def caller_address(self) -> Address:
        """Return the address at which callers find this node."""
        return self.cfg.caller_listen

    async def leave(self) -> None:
        """Stop gracefully: cut nothing, however long that takes.

        First all are told to name this node to callers no more. Callers keep address
        answers for a while, so it goes on serving new connections until the last
        answer that named it has expired; were it to close earlier, they would be
        refused at an address they were told to use. Then what is in progress ends.
        """
        self.is_leaving = True
        log_message("node:leaving", node=self.base.node_id)
        open_until = await self.nodes.leave()
        await asyncio.sleep(max(0.0, open_until - self.base.clock.monotonic()))
        log_message("node:draining", n_in_progress=self._caller_server.n_busy)
        await self._caller_server.drain()
        # A call's caller may have gone while the call goes on, and its outcome may
        # still wait to be written; both end before this process does.
        drained_by = self.base.clock.monotonic() + RECORD_SECONDS
        await self.services.calls.drain(drained_by)
        await self._platform.node_rows.leave()
        await self._stop_parts()
        await self._peer_server.drain()
        self.base.client.close()
        log_message("node:left", node=self.base.node_id)

    async def close(self) -> None:
        """Stop at once, cutting what is in progress; for tests."""
        await self._caller_server.close()
        await self._stop_parts()
        await self._peer_server.close()
        self.base.client.close()

    async def _stop_parts(self) -> None:
        self.callers.close()
        self.services.directory.close()
        self.services.recorder.close()
        await self.limits.stop()
        await self.admitter.stop()
        await self.homes.stop()
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        await self.sync.stop()
        await self.nodes.stop()

    async def _enter(self) -> None:
        """Enter this node in the store, and learn from there where others may be."""
        self.nodes.set_listed(await self._platform.node_rows.enter())

    def _describe_work(self) -> dict[str, object]:
        return {
            "n_streams": self.callers.n_streams,
            "n_calls": self.services.calls.n_in_progress,
            "n_records_waiting": self.services.recorder.n_pending,
        }

    def _run(self, work: Coroutine[object, object, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    def _add_routes(self) -> None:
        for router in (self._caller_router, self._peer_router):
            router.add("GET", "/healthz", self._health)
            router.add("GET", "/readyz", self._ready)
        self.callers.add_routes(self._caller_router)
        self.services.api.add_routes(self._caller_router)
        self.homes.add_routes(self._peer_router)
        self.limits.add_routes(self._peer_router)
        wiring.make_addresses(self.base, self.nodes).add_routes(self._caller_router)
        self._peer_router.add("GET", "/metrics", self._metrics)
        self.nodes.add_routes(self._peer_router)
        self.sync.add_routes(self._peer_router)
        self.status.add_routes(self._peer_router)

    async def _health(self, req: Request, res: Responder, params: Params) -> None:
        await res.send_json(200, {"status": "alive"})

    async def _ready(self, req: Request, res: Responder, params: Params) -> None:
        """Say whether callers should be sent here: not before there is a document."""
        version = self.sync.version
        is_ready = version > 0 and not self.is_leaving
        await res.send_json(
            200 if is_ready else 503,
            {"ready": is_ready, "version": version, "leaving": self.is_leaving},
        )

    async def _metrics(self, req: Request, res: Responder, params: Params) -> None:
        self.callers.flush_metrics()
        self.nodes.count_members()
        self.base.metrics.set("configuration_version", float(self.sync.version))
        body, headers = self.base.metrics.render()
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
    print(f"listening {node.caller_address} pid {os.getpid()}", flush=True)
    await told_to_stop.wait()
    await node.leave()


def _stop(told_to_stop: asyncio.Event, number: int) -> None:
    """Begin the graceful stop; a second signal changes nothing.

    A platform that sends the signal again because the stop takes long would otherwise
    cut the drafts that the first one promised to finish.
    """
    log_message("node:signal", number=number, again=told_to_stop.is_set())
    told_to_stop.set()
