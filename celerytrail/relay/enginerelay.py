"""The components that relay generations, connected to one another."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from ..clock import Clock
from ..metrics import Metrics
from ..policies.backups import BackupPolicy
from ..policies.decodetimes import DecodeTimes
from ..policies.engineloads import EngineLoads
from ..policies.movetargets import MoveTargets
from ..policies.moving import StopPolicy
from ..policies.placing import LeastCostPlacement, PlacementPolicy
from ..policies.prefillrates import PrefillRates
from ..policies.retrybudget import SharedRetryBudget
from ..policies.waiting import WaitingOrder
from .crashes.broker import CrashBroker
from .crashes.fates import ReportedFates
from .crashes.watch import CrashWatch
from .endpointaccess import EndpointAccess
from .endpointstate import EndpointState
from .engineopener import EngineOpener
from .engineplacer import EnginePlacer
from .generations import Generations
from .originbroker import OriginBroker
from .peerupdates import PeerUpdates
from .resumption import Resumptions
from .runmover import RunMover
from .runstops import RunStops
from .shutdown import Shutdown
from .startchecks import StartChecks
from .waitingroom import WaitingRoom


@dataclass(frozen=True, kw_only=True, slots=True)
class EnginePolicies:
    """The decisions on engines; the product's own by default.

    Parameters
    ----------
    placing : PlacementPolicy
        Chooses the engine for a generation.
    backups : BackupPolicy or None
        Chooses the engine that keeps a generation's copy.
    move_targets : MoveTargets or None
        See `EnginePlacer`.
    stopping : StopPolicy or None
        See `RunMover`.
    order : WaitingOrder or None
        See `WaitingRoom`.
    """

    placing: PlacementPolicy = field(default_factory=LeastCostPlacement)
    backups: BackupPolicy | None = None
    move_targets: MoveTargets | None = None
    stopping: StopPolicy | None = None
    order: WaitingOrder | None = None


class EngineRelay:
    """Creates what places, opens, moves and resumes generations.

    Parameters
    ----------
    failure_domain : str
        The failure domain of this node.
    endpoints : EndpointState
        What is known of the engines.
    access : EndpointAccess
        Reaches them.
    peer_updates : PeerUpdates
        Announces runs to the other nodes.
    loads : EngineLoads
        The runs that all nodes have placed.
    decode_times : DecodeTimes
        Decode speed of each engine.
    rates : PrefillRates
        Prefill speed of each engine.
    budget : SharedRetryBudget
        Bounds repeated requests.
    origins : OriginBroker
        What began the streams that callers may take up.
    shutdown : Shutdown
        Which generations can end before this process is killed.
    crashes : CrashBroker
        Told of crashes and answers.
    waiting_room : WaitingRoom
        The requests of all nodes that wait for engines.
    policies : EnginePolicies
        The decisions.
    rng : random.Random
        Breaks ties, and generates run ids.
    metrics : Metrics
        Counts streams that are taken up.
    clock : Clock
        Dates what callers state.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        endpoints: EndpointState,
        access: EndpointAccess,
        peer_updates: PeerUpdates,
        loads: EngineLoads,
        decode_times: DecodeTimes,
        rates: PrefillRates,
        budget: SharedRetryBudget,
        origins: OriginBroker,
        shutdown: Shutdown,
        crashes: CrashBroker,
        waiting_room: WaitingRoom,
        policies: EnginePolicies,
        rng: random.Random,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        registry, gate, answers = endpoints.registry, endpoints.gate, endpoints.answers
        self.starts = StartChecks(
            api=access.engine_api,
            is_paused=gate.is_paused,
            on_superseded=answers.record_leaving,
        )
        placer = EnginePlacer(
            registry=registry,
            loads=loads,
            peer_updates=peer_updates,
            decode_times=decode_times,
            failure_domain=failure_domain,
            rng=rng,
            gate=gate,
            policy=policies.placing,
            rates=rates,
            speeds=endpoints.speeds,
            waiting_room=waiting_room,
            paces=endpoints.paces,
            backups=policies.backups,
            move_targets=policies.move_targets,
        )
        watch = CrashWatch(
            fates=ReportedFates(api=access.engine_api, registry=registry),
            on_lost=crashes.record_lost,
            on_crash=crashes.record_crash,
            metrics=metrics,
        )
        opener = EngineOpener(
            client=access.client,
            gate=gate,
            answers=answers,
            paces=endpoints.paces,
            starts=self.starts,
            watch=watch,
        )
        run_mover = RunMover(
            api=access.engine_api,
            registry=registry,
            loads=loads,
            placer=placer,
            opener=opener,
            stops=RunStops(api=access.engine_api),
            stopping=policies.stopping,
        )
        self.generations = Generations(
            placer=placer,
            opener=opener,
            run_mover=run_mover,
            peer_updates=peer_updates,
            budget=budget,
            origins=origins,
            shutdown=shutdown,
            on_begun=crashes.record_begun,
            on_whole=crashes.record_whole,
            rng=rng,
        )
        self.resumptions = Resumptions(
            broker=origins, registry=registry, metrics=metrics, clock=clock
        )
