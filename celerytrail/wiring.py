"""Puts a node's parts together; nothing here decides anything."""

from __future__ import annotations

import random
from dataclasses import dataclass

from .admitters import LocalAdmitter
from .callers.addresses import AddressesApi
from .callers.api import CallerLimits, CallersApi
from .callers.auth import Authenticator
from .callers.tickets import TicketSigner
from .clock import Clock
from .collector import freeze_documents
from .configfetch import ObjectFetcher
from .configsync import ConfigSync
from .configuration import Configuration
from .engines.client import EngineClient
from .engines.streams import StreamPolicy
from .httpclient import HttpClient
from .leaving import LeavingBoard
from .memberaddresses import NodesSource
from .metrics import Metrics
from .network import Network
from .nodes.member import Member
from .nodes.nodes import Nodes
from .nodes.signing import PeerKeys
from .platform.client import PlatformClient
from .platform.grouping import GroupedTable
from .platform.objects import HttpObjectStore, ObjectStore
from .platform.table import HttpTable, Table
from .platform.vms import HttpVmList, VmList
from .platform.weights import HttpWeightStore, WeightStore
from .retries import BudgetedRetry
from .settings import NodeSettings
from .status import NodeStatus

MILLISECONDS = 1_000


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
    leaving: LeavingBoard
    keys: PeerKeys


@dataclass(frozen=True, kw_only=True, slots=True)
class Platform:
    """The platform's peers."""

    table: Table
    objects: ObjectStore
    vms: VmList
    weights: WeightStore


def connect_platform(base: Base) -> Platform:
    """Make the clients of the platform; nothing is sent yet."""
    exchanger = PlatformClient(
        addresses=base.cfg.platform,
        http=base.client,
        clock=base.clock,
        rng=base.rng,
        metrics=base.metrics,
    )
    return Platform(
        table=GroupedTable(inner=HttpTable(exchanger=exchanger)),
        objects=HttpObjectStore(exchanger=exchanger),
        vms=HttpVmList(exchanger=exchanger),
        weights=HttpWeightStore(exchanger=exchanger),
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


def make_callers(base: Base) -> CallersApi:
    """Make the callers' API of generations."""
    cfg = base.cfg
    tickets = TicketSigner(
        keys={key.key_id: key.secret for key in cfg.ticket_keys},
        current=cfg.ticket_keys[0].key_id,
        clock=base.clock,
    )
    return CallersApi(
        configuration=base.configuration,
        authenticator=Authenticator(configuration=base.configuration),
        admitter=LocalAdmitter(configuration=base.configuration),
        engines=EngineClient(http=base.client, clock=base.clock),
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
