"""Construction of a node's components; contains no decision logic."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from .callers.addresses import AddressesApi
from .callers.api import CallerLimits, CallersApi
from .callers.auth import Authenticator
from .callers.memberaddresses import GossipMemberSource
from .callers.service_api import ServiceApi
from .callers.tickets import TicketSigner
from .clock import Clock
from .configuration.current import Configuration
from .configuration.fetch import ObjectFetcher
from .configuration.gcfreeze import freeze_documents
from .configuration.sync import ConfigSync
from .engines.client import EngineClient
from .engines.streams import StreamPolicy
from .http.client import HttpClient
from .http.network import Network
from .leaving import LeavingNotice, LeavingTracker
from .metrics import Metrics
from .nodes.admitters import HomeAdmitter
from .nodes.fallback import FallbackChooser
from .nodes.homes import Homes
from .nodes.limit_homes import LimitHomes
from .nodes.member import Member
from .nodes.nodes import Nodes
from .nodes.signing import PeerKeys
from .orders.leases import LeaseKeeper
from .orders.pacing import LoadPacer
from .orders.reconciler import EngineReconciler, table_head_version
from .platform.client import PlatformClient
from .platform.grouping import GroupedTable
from .platform.noderows import NodeRows
from .platform.objects import HttpObjectStore, ObjectStore
from .platform.rows import PlatformRows
from .platform.table import HttpTable, Table
from .platform.vms import StoreVmList, VmList
from .policies.grants import Admitter
from .policies.lengths import LearnedLengths
from .policies.retries import BudgetedRetry
from .policies.routing import PowerOfTwo
from .services.calls import ServiceCalls
from .services.claimstore import ClaimStore
from .services.endpoints import EndpointDirectory
from .services.recorder import ClaimRecorder
from .services.sender import CallSender
from .services.sweeper import ClaimSweeper
from .settings import NodeSettings
from .status import NodeStatus
from .supervision import Supervisor

MILLISECONDS_PER_SECOND = 1_000
# How long a gossiped announcement that an endpoint leaves stays valid after its time;
# later, an endpoint of the same name may be a new one.
GOSSIP_ANNOUNCEMENT_SECONDS = 300.0
# Interval at which a node repeats announcements from its own sources: longer than
# `SAME_LEAVING_SECONDS`, so that a repeat counts as new, and short enough for two
# repeats before the previous announcement expires.
REANNOUNCE_SECONDS = 140.0


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeContext:
    """Holds what all components of a node share."""

    cfg: NodeSettings
    node_id: str
    clock: Clock
    rng: random.Random
    network: Network
    client: HttpClient
    metrics: Metrics
    configuration: Configuration
    authenticator: Authenticator
    leaving: LeavingTracker
    keys: PeerKeys
    supervisor: Supervisor


@dataclass(frozen=True, kw_only=True, slots=True)
class Platform:
    """Holds the clients of the platform's services."""

    table: Table
    objects: ObjectStore
    vms: VmList
    node_rows: NodeRows


def connect_platform(context: NodeContext) -> Platform:
    """Create the clients of the platform; nothing is sent yet."""
    exchanger = PlatformClient(
        addresses=context.cfg.platform,
        http=context.client,
        clock=context.clock,
        rng=context.rng,
        metrics=context.metrics,
    )
    rows = PlatformRows(exchanger=exchanger)
    return Platform(
        table=GroupedTable(inner=HttpTable(exchanger=exchanger)),
        objects=HttpObjectStore(exchanger=exchanger),
        vms=StoreVmList(rows=rows),
        node_rows=NodeRows(
            rows=rows,
            caller=context.cfg.caller_listen,
            peer=context.cfg.peer_listen,
            rng=context.rng,
        ),
    )


def make_nodes(context: NodeContext) -> Nodes:
    """Create the membership and gossip with the other nodes."""
    cfg = context.cfg
    me = Member(
        node=context.node_id,
        # Higher at each start, so it supersedes updates about earlier incarnations.
        incarnation=int(context.clock.wall() * MILLISECONDS_PER_SECOND),
        caller=cfg.caller_listen,
        peer=cfg.peer_listen,
        vm=cfg.vm,
        failure_domain=cfg.failure_domain,
        region=cfg.region,
    )
    return Nodes(
        me=me,
        keys=context.keys,
        client=context.client,
        clock=context.clock,
        metrics=context.metrics,
        rng=context.rng,
        seeds=cfg.seeds,
        answer_seconds=cfg.answer_seconds,
        network=context.network,
        supervisor=context.supervisor,
    )


def make_sync(context: NodeContext, platform: Platform, nodes: Nodes) -> ConfigSync:
    """Create the component that keeps the newest accepted document in force."""
    freeze_documents(context.configuration)
    fetcher = ObjectFetcher(
        objects=platform.objects,
        client=context.client,
        auth=context.keys,
        peers=lambda: [m.peer for m in nodes.live() if m.node != context.node_id],
        clock=context.clock,
        rng=context.rng,
        metrics=context.metrics,
    )
    sync = ConfigSync(
        configuration=context.configuration,
        table=platform.table,
        fetcher=fetcher,
        auth=context.keys,
        n_nodes=lambda: len(nodes.live()),
        announce=nodes.announce_version,
        clock=context.clock,
        rng=context.rng,
        metrics=context.metrics,
        supervisor=context.supervisor,
    )
    nodes.on_version(
        lambda version, root, holder: sync.record_version(
            version, root, holder.peer if holder is not None else None
        )
    )
    return sync


def share_leaving(context: NodeContext, nodes: Nodes) -> None:
    """Exchange announcements of leaving engines and endpoints with other nodes."""
    leaving = context.leaving

    def announce(fact: LeavingNotice) -> None:
        if fact.source != "gossip":
            nodes.announce_leaving(fact.endpoint, fact.known_at)

    def on_announcement(endpoint: str, at: float) -> None:
        now = context.clock.wall()
        leaving.record(
            endpoint, "gossip", now, max(at, now) + GOSSIP_ANNOUNCEMENT_SECONDS
        )

    leaving.subscribe(announce)
    nodes.on_leaving(on_announcement)


async def reannounce_leaving(context: NodeContext, nodes: Nodes) -> None:
    """Repeat announcements of leaving endpoints while this node's sources report them.

    Perhaps only one node can read the VM list, and an endpoint may take longer to leave
    than a gossiped announcement stays valid. After a single announcement, all other
    nodes would send new work there again some minutes later.
    """
    while True:
        await asyncio.sleep(REANNOUNCE_SECONDS)
        now = context.clock.wall()
        for fact in context.leaving.valid_notices(now):
            if fact.source != "gossip":
                nodes.announce_leaving(fact.endpoint, now)


def make_homes(context: NodeContext, nodes: Nodes, engines: EngineClient) -> Homes:
    """Create the component that runs the pools whose home is this node."""
    leaving = context.leaving
    clock = context.clock

    def on_engine_leaving(engine: str, at: float | None) -> None:
        if at is None:
            leaving.withdraw(engine, "report")
            homes.refresh()
        else:
            leaving.record(engine, "report", clock.wall())

    homes = Homes(
        nodes=nodes,
        keys=context.keys,
        configuration=context.configuration,
        client=engines,
        clock=clock,
        rng=context.rng,
        metrics=context.metrics,
        is_leaving=lambda name: leaving.is_leaving(name, clock.wall()),
        on_leaving_change=on_engine_leaving,
        supervisor=context.supervisor,
    )
    leaving.subscribe(lambda fact: homes.refresh())
    return homes


def make_limits(context: NodeContext, nodes: Nodes) -> LimitHomes:
    """Create the component that enforces organisations' limits across all nodes."""
    return LimitHomes(
        nodes=nodes,
        configuration=context.configuration,
        keys=context.keys,
        client=context.client,
        clock=context.clock,
        metrics=context.metrics,
        supervisor=context.supervisor,
    )


def make_reconciler(
    context: NodeContext, platform: Platform, homes: Homes
) -> EngineReconciler:
    """Create the reconciler that sends engines orders to match the document."""
    return EngineReconciler(
        configuration=context.configuration,
        reports=homes.reports,
        leases=LeaseKeeper(
            table=platform.table,
            holder=context.node_id,
            clock=context.clock,
            rng=context.rng,
        ),
        pacer=LoadPacer(table=platform.table, clock=context.clock),
        head_version=table_head_version(platform.table),
        http=context.client,
        clock=context.clock,
        rng=context.rng,
        metrics=context.metrics,
    )


def make_admitter(context: NodeContext, nodes: Nodes, homes: Homes) -> HomeAdmitter:
    """Create the admitter: it asks pools' homes, and decides itself if none answers."""
    lengths = LearnedLengths()
    fallback = FallbackChooser(
        configuration=context.configuration,
        routing=PowerOfTwo(rng=context.rng, lengths=lengths),
        clock=context.clock,
        rng=context.rng,
        lengths=lengths,
    )
    return HomeAdmitter(
        nodes=nodes,
        homes=homes,
        keys=context.keys,
        client=context.client,
        clock=context.clock,
        rng=context.rng,
        metrics=context.metrics,
        fallback=fallback,
        is_leaving=lambda name: context.leaving.is_leaving(name, context.clock.wall()),
        supervisor=context.supervisor,
    )


def make_callers(
    context: NodeContext, engines: EngineClient, admitter: Admitter
) -> CallersApi:
    """Create the callers' API of generations."""
    cfg = context.cfg
    tickets = TicketSigner(
        keys={key.key_id: key.secret for key in cfg.ticket_keys},
        current_key_id=cfg.ticket_keys[0].key_id,
        clock=context.clock,
    )
    return CallersApi(
        configuration=context.configuration,
        authenticator=context.authenticator,
        admitter=admitter,
        engines=engines,
        retries=BudgetedRetry(rng=context.rng),
        tickets=tickets,
        metrics=context.metrics,
        clock=context.clock,
        rng=context.rng,
        limits=CallerLimits(
            queue_seconds=cfg.queue_seconds,
            generation_seconds=cfg.generation_seconds,
        ),
        policy=StreamPolicy(stall_seconds=cfg.stall_seconds),
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Services:
    """Holds the components that serve calls to plain services."""

    directory: EndpointDirectory
    sweeper: ClaimSweeper
    recorder: ClaimRecorder
    calls: ServiceCalls
    api: ServiceApi


def make_services(context: NodeContext, platform: Platform) -> Services:
    """Create the callers' API of plain services and its components."""
    directory = EndpointDirectory(
        configuration=context.configuration,
        leaving=context.leaving,
        http=context.client,
        clock=context.clock,
        rng=context.rng,
        failure_domain=context.cfg.failure_domain,
        metrics=context.metrics,
        supervisor=context.supervisor,
    )
    claims = ClaimStore(table=platform.table, clock=context.clock, rng=context.rng)
    recorder = ClaimRecorder(
        store=claims,
        clock=context.clock,
        rng=context.rng,
        supervisor=context.supervisor,
    )
    calls = ServiceCalls(
        node_id=context.node_id,
        claims=claims,
        recorder=recorder,
        sender=CallSender(
            directory=directory, http=context.client, clock=context.clock
        ),
        clock=context.clock,
        rng=context.rng,
        metrics=context.metrics,
    )
    api = ServiceApi(
        calls=calls,
        configuration=context.configuration,
        authenticator=context.authenticator,
        clock=context.clock,
        call_seconds=context.cfg.call_seconds,
    )
    return Services(
        directory=directory,
        sweeper=ClaimSweeper(
            table=platform.table, clock=context.clock, rng=context.rng
        ),
        recorder=recorder,
        calls=calls,
        api=api,
    )


def make_addresses(context: NodeContext, nodes: Nodes) -> AddressesApi:
    """Create the API that gives callers the addresses of nodes."""
    return AddressesApi(
        source=GossipMemberSource(nodes=nodes),
        failure_domain=context.cfg.failure_domain,
        region=context.cfg.region,
        clock=context.clock,
        rng=context.rng,
        address_ttl_seconds=context.cfg.answer_seconds,
    )


def make_status(context: NodeContext, nodes: Nodes, sync: ConfigSync) -> NodeStatus:
    """Create the component that serves the node's status to operators."""
    return NodeStatus(
        nodes=nodes,
        sync=sync,
        leaving=context.leaving,
        keys=context.keys,
        wall=context.clock.wall,
    )
