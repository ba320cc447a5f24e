"""Puts a node's parts together; nothing here decides anything."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from .callers.addresses import AddressesApi
from .callers.api import CallerLimits, CallersApi
from .callers.auth import Authenticator
from .callers.memberaddresses import NodesSource
from .callers.service_api import ServiceApi
from .callers.tickets import TicketSigner
from .clock import Clock
from .configuration.collector import freeze_documents
from .configuration.current import Configuration
from .configuration.fetch import ObjectFetcher
from .configuration.sync import ConfigSync
from .engines.client import EngineClient
from .engines.streams import StreamPolicy
from .http.client import HttpClient
from .http.network import Network
from .leaving import LeavingBoard, LeavingFact
from .metrics import Metrics
from .nodes.admitters import HomeAdmitter
from .nodes.alone import AloneChooser
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

MILLISECONDS = 1_000
# How long gossip's word that an endpoint leaves holds beyond its time, in seconds;
# after that an endpoint of the same name may be a new one.
GOSSIP_WORD_SECONDS = 300.0
# How often a node says again what it knows by itself of who leaves, in seconds: more
# than `SAME_LEAVING_SECONDS` apart, so that it is news, and twice before the word of
# the last time runs out.
RETELL_SECONDS = 140.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Base:
    """What all parts of a node share."""

    cfg: NodeSettings
    node_id: str
    clock: Clock
    rng: random.Random
    network: Network
    client: HttpClient
    metrics: Metrics
    configuration: Configuration
    authenticator: Authenticator
    leaving: LeavingBoard
    keys: PeerKeys


@dataclass(frozen=True, kw_only=True, slots=True)
class Platform:
    """The platform's peers."""

    table: Table
    objects: ObjectStore
    vms: VmList
    node_rows: NodeRows


def connect_platform(base: Base) -> Platform:
    """Make the clients of the platform; nothing is sent yet."""
    exchanger = PlatformClient(
        addresses=base.cfg.platform,
        http=base.client,
        clock=base.clock,
        rng=base.rng,
        metrics=base.metrics,
    )
    rows = PlatformRows(exchanger=exchanger)
    return Platform(
        table=GroupedTable(inner=HttpTable(exchanger=exchanger)),
        objects=HttpObjectStore(exchanger=exchanger),
        vms=StoreVmList(rows=rows),
        node_rows=NodeRows(
            rows=rows,
            caller=base.cfg.caller_listen,
            peer=base.cfg.peer_listen,
            rng=base.rng,
        ),
    )


def make_nodes(base: Base) -> Nodes:
    """Make what finds and watches the other nodes."""
    cfg = base.cfg
    me = Member(
        node=base.node_id,
        # New at each start, and higher than anything said of an earlier life.
        incarnation=int(base.clock.wall() * MILLISECONDS),
        caller=cfg.caller_listen,
        peer=cfg.peer_listen,
        vm=cfg.vm,
        failure_domain=cfg.failure_domain,
        region=cfg.region,
    )
    return Nodes(
        me=me,
        keys=base.keys,
        client=base.client,
        clock=base.clock,
        metrics=base.metrics,
        rng=base.rng,
        seeds=cfg.seeds,
        answer_seconds=cfg.answer_seconds,
        network=base.network,
    )


def make_sync(base: Base, platform: Platform, nodes: Nodes) -> ConfigSync:
    """Make what keeps the configuration at the newest accepted version."""
    freeze_documents(base.configuration)
    fetcher = ObjectFetcher(
        objects=platform.objects,
        client=base.client,
        auth=base.keys,
        peers=lambda: [m.peer for m in nodes.live() if m.node != base.node_id],
        clock=base.clock,
        rng=base.rng,
        metrics=base.metrics,
    )
    sync = ConfigSync(
        configuration=base.configuration,
        table=platform.table,
        fetcher=fetcher,
        auth=base.keys,
        n_nodes=lambda: len(nodes.live()),
        announce=nodes.announce_version,
        clock=base.clock,
        rng=base.rng,
        metrics=base.metrics,
    )
    nodes.on_version(
        lambda version, root, holder: sync.hear(
            version, root, holder.peer if holder is not None else None
        )
    )
    return sync


def share_leaving(base: Base, nodes: Nodes) -> None:
    """Let what one node knows of leaving engines and endpoints reach all."""
    leaving = base.leaving

    def tell(fact: LeavingFact) -> None:
        if fact.source != "gossip":
            nodes.announce_leaving(fact.endpoint, fact.at)

    def hear(endpoint: str, at: float) -> None:
        now = base.clock.wall()
        leaving.note(endpoint, "gossip", now, max(at, now) + GOSSIP_WORD_SECONDS)

    leaving.subscribe(tell)
    nodes.on_leaving(hear)


async def keep_telling(base: Base, nodes: Nodes) -> None:
    """Say again and again who leaves, for as long as this node knows it by itself.

    One node alone may be able to read the VM list, and an endpoint may take longer to
    leave than gossip's word holds. Were it told once, all other nodes would after some
    minutes send new work there again.
    """
    while True:
        await asyncio.sleep(RETELL_SECONDS)
        now = base.clock.wall()
        for fact in base.leaving.facts(now):
            if fact.source != "gossip":
                nodes.announce_leaving(fact.endpoint, now)


def make_homes(base: Base, nodes: Nodes, engines: EngineClient) -> Homes:
    """Make what runs the pools that fall to this node."""
    leaving = base.leaving
    clock = base.clock

    def note(engine: str, at: float | None) -> None:
        if at is None:
            leaving.withdraw(engine, "report")
            homes.refresh()
        else:
            leaving.note(engine, "report", clock.wall())

    homes = Homes(
        nodes=nodes,
        keys=base.keys,
        configuration=base.configuration,
        client=engines,
        clock=clock,
        rng=base.rng,
        metrics=base.metrics,
        is_leaving=lambda name: leaving.is_leaving(name, clock.wall()),
        tell_leaving=note,
    )
    leaving.subscribe(lambda fact: homes.refresh())
    return homes


def make_limits(base: Base, nodes: Nodes) -> LimitHomes:
    """Make what keeps organisations within their limits over all nodes."""
    return LimitHomes(
        nodes=nodes,
        configuration=base.configuration,
        keys=base.keys,
        client=base.client,
        clock=base.clock,
        metrics=base.metrics,
    )


def make_reconciler(base: Base, platform: Platform, homes: Homes) -> EngineReconciler:
    """Make what orders engines to be as the document says."""
    return EngineReconciler(
        configuration=base.configuration,
        reports=homes.reports,
        leases=LeaseKeeper(
            table=platform.table,
            holder=base.node_id,
            clock=base.clock,
            rng=base.rng,
        ),
        pacer=LoadPacer(table=platform.table, clock=base.clock),
        head_version=table_head_version(platform.table),
        http=base.client,
        clock=base.clock,
        rng=base.rng,
        metrics=base.metrics,
    )


def make_admitter(base: Base, nodes: Nodes, homes: Homes) -> HomeAdmitter:
    """Make what asks the pools' homes, and decides alone where none answers."""
    lengths = LearnedLengths()
    alone = AloneChooser(
        configuration=base.configuration,
        routing=PowerOfTwo(rng=base.rng, lengths=lengths),
        clock=base.clock,
        rng=base.rng,
        lengths=lengths,
    )
    return HomeAdmitter(
        nodes=nodes,
        homes=homes,
        keys=base.keys,
        client=base.client,
        clock=base.clock,
        rng=base.rng,
        metrics=base.metrics,
        alone=alone,
        is_leaving=lambda name: base.leaving.is_leaving(name, base.clock.wall()),
    )


def make_callers(base: Base, engines: EngineClient, admitter: Admitter) -> CallersApi:
    """Make the callers' API of generations."""
    cfg = base.cfg
    tickets = TicketSigner(
        keys={key.key_id: key.secret for key in cfg.ticket_keys},
        current=cfg.ticket_keys[0].key_id,
        clock=base.clock,
    )
    return CallersApi(
        configuration=base.configuration,
        authenticator=base.authenticator,
        admitter=admitter,
        engines=engines,
        retries=BudgetedRetry(rng=base.rng),
        tickets=tickets,
        metrics=base.metrics,
        clock=base.clock,
        rng=base.rng,
        limits=CallerLimits(
            queue_seconds=cfg.queue_seconds,
            generation_seconds=cfg.generation_seconds,
        ),
        policy=StreamPolicy(stall_seconds=cfg.stall_seconds),
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Services:
    """What serves calls to plain services."""

    directory: EndpointDirectory
    sweeper: ClaimSweeper
    recorder: ClaimRecorder
    calls: ServiceCalls
    api: ServiceApi


def make_services(base: Base, platform: Platform) -> Services:
    """Make the callers' API of plain services."""
    directory = EndpointDirectory(
        configuration=base.configuration,
        leaving=base.leaving,
        http=base.client,
        clock=base.clock,
        rng=base.rng,
        failure_domain=base.cfg.failure_domain,
        metrics=base.metrics,
    )
    claims = ClaimStore(table=platform.table, clock=base.clock, rng=base.rng)
    recorder = ClaimRecorder(store=claims, clock=base.clock, rng=base.rng)
    calls = ServiceCalls(
        node_id=base.node_id,
        claims=claims,
        recorder=recorder,
        sender=CallSender(directory=directory, http=base.client, clock=base.clock),
        clock=base.clock,
        rng=base.rng,
        metrics=base.metrics,
    )
    api = ServiceApi(
        calls=calls,
        configuration=base.configuration,
        authenticator=base.authenticator,
        clock=base.clock,
        call_seconds=base.cfg.call_seconds,
    )
    return Services(
        directory=directory,
        sweeper=ClaimSweeper(table=platform.table, clock=base.clock, rng=base.rng),
        recorder=recorder,
        calls=calls,
        api=api,
    )


def make_addresses(base: Base, nodes: Nodes) -> AddressesApi:
    """Make what tells callers which addresses to use."""
    return AddressesApi(
        source=NodesSource(nodes=nodes),
        failure_domain=base.cfg.failure_domain,
        region=base.cfg.region,
        clock=base.clock,
        rng=base.rng,
        address_seconds=base.cfg.answer_seconds,
    )


def make_status(base: Base, nodes: Nodes, sync: ConfigSync) -> NodeStatus:
    """Make what operators see of the node."""
    return NodeStatus(
        nodes=nodes,
        sync=sync,
        leaving=base.leaving,
        keys=base.keys,
        wall=base.clock.wall,
    )
