"""The node on a platform: creates, connects and runs the relay's components."""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Sequence

from eliot import log_message

from ..clock import Clock, SystemClock
from ..http.bodymemory import MAX_HELD_BYTES, BodyMemory
from ..http.network import Network, SystemNetwork
from ..http.routes import Router
from ..http.server import ServerLimits
from ..metrics import Metrics
from ..model import LoadHeader, Registration, RelayConfig, Service
from ..nodes.member import Member
from ..platform import storewire
from ..platform.nodesettings import RelaySettings
from ..platform.operatorconfig import decode_config
from ..platform.registrations import decode_registration
from ..policies.coldlimits import ColdEndpoints
from ..policies.decodetimes import DecodeTimes
from ..policies.endpointspeeds import News
from ..policies.engineloads import EngineLoads, Run
from ..policies.evacuations import Evacuations
from ..policies.freshness import Freshness
from ..policies.pace import StartReason
from ..policies.prefillrates import PrefillObserver, PrefillRates
from ..policies.retrybudget import SharedRetryBudget
from ..policies.versionhistory import VersionHistory
from ..rowsource import RowSource
from ..supervision import Supervisor
from ..types import Address
from .addresses import DirectoryHandler, ReadinessHandler
from .crashes.broker import CrashBroker
from .crashes.news import CrashNews
from .endpointaccess import EndpointAccess
from .endpointlimits import EndpointLimits
from .endpointstate import EndpointState
from .enginerelay import EnginePolicies, EngineRelay
from .enginewatch import EngineWatch
from .followedtables import FollowedTables
from .gauges import RelayMetrics
from .handler import RelayHandler
from .nodepeers import NodePeers
from .originbroker import OriginBroker
from .peerupdates import PeerUpdates
from .plainrelay import PlainRelay
from .servers import NodeServers
from .shutdown import Shutdown
from .status import RelayStatus
from .tablesinks import ConfigSink, EvacuationSink, RegistrationSink, SinkGroup
from .updatemessages import OriginEntry
from .waitingroom import WaitingRoom

HOUSEKEEPING_SECONDS = 0.25
# Share of the process's memory for bodies, twice: for their first bytes and the rest.
BODY_MEMORY_SHARE = 0.25
# How long a stopping node still accepts new connections, in seconds: callers cache an
# address answer for up to three times its lifetime.
STOP_ACCEPT_SECONDS = 6.0
# Time before it is killed at which a stopping node ends the last tunnels, in seconds.
STOP_MARGIN_SECONDS = 0.5


class RelayNode:
    """Runs the system's node of one VM on a platform.

    Parameters
    ----------
    cfg : RelaySettings
        The node's settings.
    network : Network or None
        Opens and accepts connections; the VM's own network by default.
    rng : random.Random or None
        Source of jitter and of ids.
    store : RowSource or None
        The platform's tables; the store that the settings name by default.
    clock : Clock or None
        The clocks; the VM's by default.
    policies : EnginePolicies or None
        The decisions on engines; the product's own by default.
    """

    def __init__(
        self,
        *,
        cfg: RelaySettings,
        network: Network | None = None,
        rng: random.Random | None = None,
        store: RowSource | None = None,
        clock: Clock | None = None,
        policies: EnginePolicies | None = None,
    ) -> None:
        self.cfg = cfg
        self._policies = policies or EnginePolicies()
        self._network = network or SystemNetwork()
        self._rng = rng or random.Random()
        self._clock = clock or SystemClock()
        self._metrics = Metrics(process=cfg.node)
        self.supervisor = Supervisor(metrics=self._metrics)
        # Bodies of callers and of the answers to them.
        n_body_bytes = max(MAX_HELD_BYTES, int(BODY_MEMORY_SHARE * cfg.memory_bytes))
        self._memory = BodyMemory(
            n_max_bytes=n_body_bytes, n_max_first_bytes=n_body_bytes
        )
        self.is_stopping = False
        self.shutdown = Shutdown(has_others=self._has_others)
        self._was_ready = False
        self.node_id = f"{cfg.node}-{self._rng.getrandbits(32):08x}"
        self._freshness = Freshness(
            bound_seconds=cfg.revoke_seconds,
            config_seconds=cfg.config_seconds,
            is_strict=cfg.is_revocation_strict,
            clock=self._clock.boottime,
        )
        self._peers = peers = NodePeers(
            cfg=cfg,
            node=self.node_id,
            network=self._network,
            store=store,
            clock=self._clock,
            rng=self._rng,
            metrics=self._metrics,
            supervisor=self.supervisor,
        )
        self.nodes = peers.nodes
        self.rows = peers.rows
        self.shared_rows = peers.shared_rows
        self._keys = peers.keys
        self._make_endpoints()
        self._make_tables()
        self._make_updates()
        self._make_access()
        self._make_relay()
        self._make_servers()

    def _make_endpoints(self) -> None:
        """Create what is known of endpoints, and of requests that crash them."""
        self._limits = EndpointLimits(
            node=self.node_id,
            node_order=self._peers.node_order,
            network=self._network,
            keys=self._keys,
            announce_rates=lambda found: self.peer_updates.announce_limits(found),
            announce_brittle=lambda found: self.peer_updates.announce_brittle(found),
            clock=self._clock,
            metrics=self._metrics,
        )
        self.crashes = CrashBroker(
            node=self.node_id,
            node_order=self._peers.node_order,
            announce=lambda news: self.peer_updates.announce_crash_news(news),
            tell=self._tell_crash_news,
            others=self._peers.others,
            rows=self.rows,
            requests=self._peers.requests,
            rng=self._rng,
            metrics=self._metrics,
        )
        self._endpoint_state = EndpointState(
            cfg=self.cfg,
            find_service=self._find_service,
            node_order=self._peers.node_order,
            limits=self._limits,
            crashes=self.crashes,
            on_leaving=self._on_leaving,
            announce_leaving=lambda reg: self.peer_updates.announce_leaving(reg),
            announce_load=self._announce_load,
            announce_failing=lambda reg: self._announce_abort(reg.endpoint),
            metrics=self._metrics,
        )
        self.registry = self._endpoint_state.registry

    def _make_tables(self) -> None:
        """Create what follows the platform's tables."""
        state = self._endpoint_state
        self._versions = VersionHistory()
        self.configs = ConfigSink(
            key=storewire.CONFIG_KEY, decode=decode_config, on_change=self._on_config
        )
        evacuated = EvacuationSink(
            prefix=storewire.EVACUATION_PREFIX, on_change=self._on_evacuated
        )
        self._tables = FollowedTables(
            shared_rows=self.shared_rows,
            settings=lambda: self.cfg,
            freshness=self._freshness,
            operator_rows=SinkGroup(sinks=(evacuated, self.configs)),
            registrations=RegistrationSink(
                registry=state.registry,
                cold=state.cold,
                versions=self._versions,
                clock=self._clock,
                decode=decode_registration,
                on_leaving_row=self._announce_leaving_row,
                metrics=self._metrics,
            ),
            clock=self._clock,
            rng=self._rng,
            metrics=self._metrics,
        )

    def _make_updates(self) -> None:
        """Create what nodes tell one another of runs, endpoints and retries."""
        self._decode_times = DecodeTimes()
        self.loads = EngineLoads(token_seconds=self._decode_times.token_seconds)
        self._prefill_rates = PrefillRates()
        self._prefills = PrefillObserver(rates=self._prefill_rates)
        self.waiting_room = WaitingRoom(
            node=self.node_id,
            loads=self.loads,
            peer_updates=lambda: self.peer_updates,
            metrics=self._metrics,
            rng=self._rng,
            order=self._policies.order,
        )
        self.peer_updates = PeerUpdates(
            node=self.node_id,
            loads=self.loads,
            decode_times=self._decode_times,
            on_run=self._on_run,
            on_ended=self._on_ended,
            peers=self._update_addresses,
            on_leaving=self.registry.record_leaving_at_peer,
            on_retried=self._on_retried,
            on_aborted=self._on_aborted,
            on_limit=self._limits.record_rate,
            on_brittle=self._limits.record_brittle,
            on_cut_off=self._on_node_cut_off,
            on_origin=lambda entry: self.origins.record_told(entry),
            on_crash_news=self.crashes.record_news,
            on_load=self._on_load_told,
            on_waiting=self.waiting_room.on_waiting,
            on_returning=self.waiting_room.on_returning,
            rng=self._rng,
        )
        self._budget = SharedRetryBudget(
            ratio=self.cfg.retry_ratio,
            allowance=self.cfg.retry_slack,
            window_seconds=self.cfg.retry_window_seconds,
            received_share=self._peers.node_order.running_share,
            tell=self.peer_updates.announce_retry,
        )

    def _make_access(self) -> None:
        """Create what reaches endpoints, and the owners' records of streams."""
        self.access = EndpointAccess(
            network=self._network,
            nodes=self.nodes,
            registry=self.registry,
            answers=self._endpoint_state.answers,
            keys=self._keys,
            metrics=self._metrics,
            rng=self._rng,
            announce=self.peer_updates.announce_cut_off,
            on_silent=lambda reg: self.generations.on_path_silent(reg),
            on_regained=self._on_path_regained,
            memory=self._memory,
        )
        self.origins = OriginBroker(
            node=self.node_id,
            node_order=self._peers.node_order,
            requests=self._peers.requests,
            tell=self._tell_origin,
            registry=self.registry,
            versions=self._versions,
            is_current=lambda: self._tables.has_current_registrations,
            wait_for_rows=lambda since: self._tables.wait_for_registrations(since),
            clock=self._clock,
        )

    def _make_relay(self) -> None:
        """Create what sends requests to endpoints."""
        failure_domain = self.cfg.failure_domain
        relay = EngineRelay(
            failure_domain=failure_domain,
            endpoints=self._endpoint_state,
            access=self.access,
            peer_updates=self.peer_updates,
            loads=self.loads,
            decode_times=self._decode_times,
            rates=self._prefill_rates,
            budget=self._budget,
            origins=self.origins,
            shutdown=self.shutdown,
            crashes=self.crashes,
            waiting_room=self.waiting_room,
            policies=self._policies,
            rng=self._rng,
            metrics=self._metrics,
            clock=self._clock,
        )
        self.generations = relay.generations
        self._resumptions = relay.resumptions
        plain = PlainRelay(
            failure_domain=failure_domain,
            endpoints=self._endpoint_state,
            access=self.access,
            budget=self._budget,
            crashes=self.crashes,
            shutdown=self.shutdown,
            announce_abort=self._announce_abort,
            rng=self._rng,
            metrics=self._metrics,
        )
        self._choice, self.calls = plain.choice, plain.calls
        self._engine_watch = EngineWatch(
            api=self.access.engine_api,
            registry=self.registry,
            peer_updates=self.peer_updates,
            nodes=self.nodes,
            is_store_stale=lambda: self._tables.has_stale_registrations,
            is_engine_service=self._is_engine_service,
            gate=self._endpoint_state.gate,
            on_leaving=self._endpoint_state.answers.record_leaving,
            on_started=relay.starts.record,
        )

    def _make_servers(self) -> None:
        """Create the servers of callers and of other nodes."""
        handler = RelayHandler(
            config=lambda: self.configs.cfg,
            freshness=self._freshness,
            calls=self.calls,
            generations=self.generations,
            resumptions=self._resumptions,
            blocked=self.crashes.blocked,
            shutdown=self.shutdown,
            clock=self._clock,
            rng=self._rng,
            metrics=self._metrics,
        )
        directory = DirectoryHandler(
            nodes=self.nodes,
            max_seconds=self.cfg.max_address_seconds,
            rng=self._rng,
            is_cut_off=self.access.is_node_cut_off,
        )
        self._servers = NodeServers(
            cfg=self.cfg,
            network=self._network,
            callers=handler,
            peers=self._make_router(),
            directory=directory,
            readiness=ReadinessHandler(
                is_ready=lambda: self.is_ready,
                paused_tasks=lambda: self.supervisor.paused,
            ),
            memory=self._memory,
        )

    def _make_router(self) -> Router:
        """Return the routes for other nodes and for operators."""
        router = Router()
        self.nodes.add_routes(router)
        self.shared_rows.add_routes(router)
        self._limits.add_routes(router)
        self.origins.add_routes(router)
        self.crashes.add_routes(router)
        self.access.add_routes(router)
        RelayStatus(
            nodes=self.nodes,
            config=lambda: self.configs.cfg,
            endpoints=self._endpoint_state,
            generations=self.generations,
            origins=self.origins,
            crashes=self.crashes,
            keys=self._keys,
            metrics=self._metrics,
        ).add_routes(router)
        RelayMetrics(
            metrics=self._metrics,
            config=lambda: self.configs.cfg,
            nodes=self.nodes,
            freshness=self._freshness,
            endpoints=self._endpoint_state,
            access=self.access,
            generations=self.generations,
            origins=self.origins,
            crashes=self.crashes,
            peer_updates=self.peer_updates,
            waiting_room=self.waiting_room,
            memory=self._memory,
        ).add_routes(router)
        return router

    # Starting and stopping.

    async def start(self) -> None:
        """Listen, join the other nodes, and serve once a configuration is known."""
        cfg = self.cfg
        await self._servers.start()
        await self.nodes.start()
        assert cfg.callers is not None
        await self.peer_updates.start(
            self._network, Address(host=cfg.callers.host, port=cfg.peer_ports[0])
        )
        for number, watch in enumerate(self._tables.watches):
            self.supervisor.start(f"table {number}", watch.run)
        self.supervisor.start("updates", self.peer_updates.run)
        self.supervisor.start("waiting", self.waiting_room.run)
        self.supervisor.start("engines", self._engine_watch.run)
        self.supervisor.start("limits", self._limits.run)
        self.supervisor.start("paths", self.access.run)
        self.supervisor.start("crashes", self.crashes.run)
        self.supervisor.start("housekeeping", self._run_housekeeping)
        self.supervisor.start_job("blocks", self.crashes.read_store)
        self.supervisor.start_job("entering", self._peers.enter_store)
        log_message("relay:node:started", node=self.node_id, callers=str(cfg.callers))

    async def stop(self) -> None:
        """Close idle connections, let answers in progress end, and leave."""
        loop = asyncio.get_running_loop()
        self.is_stopping = True
        killed_at = loop.time() + self.cfg.grace_seconds
        self.shutdown.begin(killed_at)
        log_message(
            "relay:node:stopping",
            node=self.node_id,
            n_busy=self._servers.callers.n_busy,
        )
        self.nodes.set_serving(False)
        self.access.tunnels.retire()
        await self._servers.drain(loop.time() + STOP_ACCEPT_SECONDS)
        await self.access.tunnels.stop(killed_at - STOP_MARGIN_SECONDS)
        await self._peers.node_rows.leave()
        self.supervisor.cancel()
        await self.nodes.stop()
        self.peer_updates.close()
        self.crashes.close()
        log_message("relay:node:stopped", node=self.node_id)

    async def close(self) -> None:
        """Stop at once, aborting what is in progress; for tests."""
        await self._servers.close()
        await self.supervisor.close()
        await self.nodes.stop()
        self.peer_updates.close()
        self.access.close()
        self.crashes.close()

    @property
    def evacuations(self) -> Evacuations:
        """Return the evacuated failure domains."""
        return self._endpoint_state.evacuations

    @property
    def cold(self) -> ColdEndpoints:
        """Return the cold endpoints."""
        return self._endpoint_state.cold

    @property
    def n_endpoint_requests(self) -> int:
        """Return how many requests at endpoints are in progress."""
        return self.generations.n_live + self.calls.n_open

    def apply_settings(self, cfg: RelaySettings) -> None:
        """Apply settings that changed while the node runs.

        The addresses to listen on take effect only at the start.
        """
        self.cfg = cfg
        self._freshness.set_bounds(
            bound_seconds=cfg.revoke_seconds,
            config_seconds=cfg.config_seconds,
            is_strict=cfg.is_revocation_strict,
        )
        self.nodes.set_seeds(cfg.seeds)
        log_message("relay:node:reloaded", node=self.node_id)

    @property
    def is_ready(self) -> bool:
        """Return whether callers should be sent here."""
        has_config = self.configs.cfg is not None
        return has_config and self._freshness.is_usable and not self.is_stopping

    # Internals.

    def _has_others(self) -> bool:
        """Return whether another node serves callers."""
        return any(member.node != self.node_id for member in self.nodes.live())

    def _find_service(self, name: str) -> Service | None:
        cfg = self.configs.cfg
        return cfg.services.get(name) if cfg else None

    def _is_engine_service(self, name: str) -> bool:
        service = self._find_service(name)
        return service is not None and service.engine is not None

    def _on_config(self, cfg: RelayConfig) -> None:
        bounds = cfg.bounds
        self._servers.set_limits(
            ServerLimits(
                max_head_bytes=bounds.max_head_bytes,
                max_body_bytes=bounds.max_body_bytes,
                head_seconds=bounds.head_seconds,
                idle_seconds=bounds.idle_seconds,
            )
        )

    def _on_evacuated(self, domains: frozenset[str]) -> None:
        self._endpoint_state.set_evacuated(domains)
        self.generations.on_evacuated(domains)

    def _on_leaving(self, reg: Registration) -> None:
        log_message("relay:endpoint:leaving", endpoint=reg.endpoint)
        self.loads.discard_report(reg.endpoint)
        self.generations.on_leaving(reg)

    def _announce_leaving_row(self, reg: Registration) -> None:
        """Announce a leaving endpoint that this node reads of before most others."""
        if self.shared_rows.sources.is_first_reader:
            self.peer_updates.announce_leaving(reg)

    def _on_run(self, run: Run) -> None:
        reg = self.registry.find(run.endpoint)
        self.waiting_room.on_run(run, reg.service if reg is not None else "")
        if reg is not None:
            n_ahead = 0
            if self._prefills.is_new(run):
                n_ahead = self.loads.n_prefill_tokens(run.endpoint, excluded=run.run_id)
            now = asyncio.get_running_loop().time()
            self._prefills.on_run(run, reg.service, n_ahead, now)

    def _on_ended(self, run_id: str) -> None:
        self._prefills.forget(run_id)
        self.waiting_room.on_ended(run_id)

    def _on_retried(self, service: str) -> None:
        self._budget.record_peer_retry(service, asyncio.get_running_loop().time())

    def _on_path_regained(self, reg: Registration) -> None:
        self._endpoint_state.paces.record_start(reg, StartReason.PATH_REGAINED)

    def _on_aborted(self, endpoint: str, node: str) -> None:
        if self._endpoint_state.paces.record_peer_report(endpoint, node):
            return
        now = asyncio.get_running_loop().time()
        self._choice.record_peer_failure(endpoint, node, now)

    def _announce_abort(self, endpoint: str) -> None:
        """Announce an abort to the other nodes, unless the path is the cause."""
        reg = self.registry.find(endpoint)
        if reg is not None:
            announce = functools.partial(self.peer_updates.announce_abort, endpoint)
            self.access.paths.check_then(reg.address, announce)

    def _announce_load(self, reg: Registration, header: LoadHeader, news: News) -> None:
        """Announce the load of a plain endpoint to the other nodes.

        Those of engines are not announced: streams of seconds aren't affected by slow
        phases, and the lists of runs show the engines' load.
        """
        if not self._is_engine_service(reg.service):
            self.peer_updates.announce_load(
                reg.endpoint, header, is_sample=news is News.SAMPLE
            )

    def _on_load_told(self, endpoint: str, header: LoadHeader, is_sample: bool) -> None:
        if self.registry.has(endpoint):
            now = asyncio.get_running_loop().time()
            self._endpoint_state.speeds.record_told(
                endpoint, header, now, is_sample=is_sample
            )

    def _on_node_cut_off(self, node: str, services: list[str]) -> None:
        now = asyncio.get_running_loop().time()
        self.access.cut_off_nodes.record(node, services, now)

    def _tell_origin(self, entry: OriginEntry, owners: Sequence[Member]) -> None:
        self.peer_updates.tell_origin(entry, self._peers.update_addresses(owners))

    def _tell_crash_news(self, news: CrashNews, members: Sequence[Member]) -> None:
        addresses = self._peers.update_addresses(members)
        self.peer_updates.tell_crash_news(news, addresses)

    def _update_addresses(self) -> list[Address]:
        return self._peers.update_addresses(self._peers.others())

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            now = asyncio.get_running_loop().time()
            self._endpoint_state.expire(now)
            self.shutdown.expire(self.configs.cfg)
            self.access.update(now)
            self.loads.expire(now, self.node_id)
            self.waiting_room.expire(now)
            self.origins.expire()
            self.generations.report_progress()
            if self.is_ready != self._was_ready and not self.is_stopping:
                self._was_ready = self.is_ready
                log_message("relay:node:ready", is_ready=self.is_ready)
                self.nodes.set_serving(self.is_ready)
