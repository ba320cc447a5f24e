"""The node: the process that serves callers on an entry VM."""

from __future__ import annotations

import asyncio
import os
import random
import signal

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
from .leaving import LeavingTracker
from .log import start_logging
from .metrics import Metrics
from .nodes.limited import LimitedAdmitter
from .nodes.signing import PeerKeys
from .settings import NodeSettings
from .supervision import Supervisor
from .types import Address
from .vmwatch import VmWatch

# How long a draining node retries writing outcomes to the store. If the platform is
# down for longer, the claims stay open: their calls are answered as unknown and are
# never run again.
OUTCOME_DRAIN_SECONDS = 120.0


class Node:
    """Serves callers on one entry VM, together with the other nodes.

    Parameters
    ----------
    cfg : NodeSettings
        The node's settings.
    clock : Clock or None
        The source of time; the machine's clocks by default.
    rng : random.Random or None
        The source of jitter and ids.
    network : Network or None
        Opens connections and listens for them; the machine's network by default.
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
        metrics = Metrics(process=cfg.vm)
        node_id = f"{cfg.vm}-{rng.getrandbits(32):08x}"
        self.cfg = cfg
        self.context = wiring.NodeContext(
            cfg=cfg,
            node_id=node_id,
            clock=clock or SystemClock(),
            rng=rng,
            network=network,
            client=HttpClient(process=node_id, network=network),
            metrics=metrics,
            configuration=configuration,
            authenticator=Authenticator(configuration=configuration),
            leaving=LeavingTracker(),
            keys=PeerKeys(keys=[key.secret for key in cfg.peer_keys]),
            supervisor=Supervisor(metrics=metrics),
        )
        self.is_leaving = False
        self._caller_router = Router()
        self._peer_router = Router()
        self._caller_server = HttpServer(
            handler=self._caller_router,
            limits=ServerLimits(max_connections=cfg.max_connections),
            network=network,
        )
        self._peer_server = HttpServer(handler=self._peer_router, network=network)
        self._platform = wiring.connect_platform(self.context)
        self.nodes = wiring.make_nodes(self.context)
        self.sync = wiring.make_sync(self.context, self._platform, self.nodes)
        self._vm_watch = VmWatch(
            vms=self._platform.vms,
            nodes=self.nodes,
            leaving=self.context.leaving,
            configuration=self.context.configuration,
            clock=self.context.clock,
            rng=rng,
        )
        wiring.share_leaving(self.context, self.nodes)
        engines = EngineClient(http=self.context.client, clock=self.context.clock)
        self.homes = wiring.make_homes(self.context, self.nodes, engines)
        self.admitter = wiring.make_admitter(self.context, self.nodes, self.homes)
        self.limits = wiring.make_limits(self.context, self.nodes)
        self._reconciler = wiring.make_reconciler(
            self.context, self._platform, self.homes
        )
        limited_admitter = LimitedAdmitter(inner=self.admitter, limits=self.limits)
        self.callers = wiring.make_callers(self.context, engines, limited_admitter)
        self.services = wiring.make_services(self.context, self._platform)
        self.status = wiring.make_status(self.context, self.nodes, self.sync)
        self.status.add_part("homes", self.homes.describe)
        self.status.add_part("work", self._describe_work)
        self._add_routes()

    async def start(self) -> None:
        """Join the other nodes and start to serve callers."""
        await self._peer_server.start(self.cfg.peer_listen)
        await self.nodes.start()
        await self.sync.start()
        await self.homes.start()
        await self.admitter.start()
        await self.limits.start()
        self.services.directory.start()
        supervisor = self.context.supervisor
        supervisor.start_job("registration", self._register)
        supervisor.start("VM list", self._vm_watch.run)
        supervisor.start("leaving endpoints", self._reannounce_leaving)
        supervisor.start("orders", self._reconciler.run)
        supervisor.start("claims sweeper", self.services.sweeper.run)
        await self._caller_server.start(self.cfg.caller_listen)
        log_message(
            "node:started", node=self.context.node_id, callers=str(self.caller_address)
        )

    @property
    def caller_address(self) -> Address:
        """Return the address at which callers reach this node."""
        return self.cfg.caller_listen

    async def leave(self) -> None:
        """Drain and stop; requests in progress finish, however long they take.

        The other nodes first stop including this node in address answers. Callers
        cache those answers, so new connections are served until the last answer with
        this node's address has expired; closing earlier would refuse callers at an
        address that is still valid to them. Then requests in progress finish.
        """
        self.is_leaving = True
        log_message("node:leaving", node=self.context.node_id)
        close_at = await self.nodes.leave()
        await asyncio.sleep(max(0.0, close_at - self.context.clock.monotonic()))
        log_message("node:draining", n_in_progress=self._caller_server.n_busy)
        await self._caller_server.drain()
        # A call can continue after its caller has disconnected, and its outcome may
        # not be written yet; the process waits for both.
        drain_deadline = self.context.clock.monotonic() + OUTCOME_DRAIN_SECONDS
        await self.services.calls.drain(drain_deadline)
        await self._platform.node_rows.leave()
        await self._stop_parts()
        await self._peer_server.drain()
        self.context.client.close()
        log_message("node:left", node=self.context.node_id)

    async def close(self) -> None:
        """Stop at once and abort requests in progress; for tests."""
        await self._caller_server.close()
        await self._stop_parts()
        await self._peer_server.close()
        self.context.client.close()

    async def _stop_parts(self) -> None:
        self.callers.close()
        self.services.directory.close()
        self.services.recorder.close()
        await self.limits.stop()
        await self.admitter.stop()
        await self.homes.stop()
        await self.sync.stop()
        await self.nodes.stop()
        await self.context.supervisor.close()

    async def _register(self) -> None:
        """Write this node's row to the store and read the other nodes' addresses."""
        self.nodes.set_vm_addresses(await self._platform.node_rows.enter())

    def _describe_work(self) -> dict[str, object]:
        return {
            "n_streams": self.callers.n_streams,
            "n_calls": self.services.calls.n_in_progress,
            "n_records_waiting": self.services.recorder.n_pending,
        }

    async def _reannounce_leaving(self) -> None:
        await wiring.reannounce_leaving(self.context, self.nodes)

    def _add_routes(self) -> None:
        for router in (self._caller_router, self._peer_router):
            router.add("GET", "/healthz", self._on_health)
            router.add("GET", "/readyz", self._on_ready)
        self.callers.add_routes(self._caller_router)
        self.services.api.add_routes(self._caller_router)
        self.homes.add_routes(self._peer_router)
        self.limits.add_routes(self._peer_router)
        wiring.make_addresses(self.context, self.nodes).add_routes(self._caller_router)
        self._peer_router.add("GET", "/metrics", self._on_metrics)
        self.nodes.add_routes(self._peer_router)
        self.sync.add_routes(self._peer_router)
        self.status.add_routes(self._peer_router)

    async def _on_health(self, req: Request, res: Responder, params: Params) -> None:
        await res.send_json(200, {"status": "alive"})

    async def _on_ready(self, req: Request, res: Responder, params: Params) -> None:
        """Report readiness: a document is in force and the node is not leaving."""
        version = self.sync.version
        is_ready = version > 0 and not self.is_leaving
        await res.send_json(
            200 if is_ready else 503,
            {
                "ready": is_ready,
                "version": version,
                "leaving": self.is_leaving,
                "paused_tasks": self.context.supervisor.paused,
            },
        )

    async def _on_metrics(self, req: Request, res: Responder, params: Params) -> None:
        self.callers.flush_metrics()
        self.nodes.update_member_gauge()
        self.context.metrics.set("configuration_version", float(self.sync.version))
        body, headers = self.context.metrics.render()
        await res.send(200, body, headers)


def run_node(cfg: NodeSettings) -> None:
    """Run a node until a signal stops it and its requests have finished."""
    start_logging(cfg.vm, None if cfg.log_file == "-" else cfg.log_file)
    asyncio.run(_run(cfg))


async def _run(cfg: NodeSettings) -> None:
    node = Node(cfg=cfg)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, _on_signal, stop_requested, signum)
    await node.start()
    print(f"listening {node.caller_address} pid {os.getpid()}", flush=True)
    await stop_requested.wait()
    await node.leave()


def _on_signal(stop_requested: asyncio.Event, signum: int) -> None:
    """Start the graceful stop; further signals are only logged.

    A platform may repeat the signal when the stop takes long. If that forced an
    immediate stop, it would abort the generations that are being drained.
    """
    log_message("node:signal", number=signum, again=stop_requested.is_set())
    stop_requested.set()
