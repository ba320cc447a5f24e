"""Membership of the nodes, as the rest of the program uses it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

from eliot import log_message

from ..clock import Clock
from ..http.client import HttpClient
from ..http.network import Network
from ..http.routes import Router
from ..metrics import Metrics
from ..supervision import BackgroundTasks, Supervisor
from ..types import Address
from .events import (
    EndpointLeaving,
    Event,
    ExchangeNeeded,
    MemberChanged,
    NewerVersion,
    Paused,
    UpdateRejected,
)
from .exchange import Exchanger
from .gossip import Gossip
from .member import Member, State
from .membership import Membership
from .signing import PeerKeys
from .timing import Timing

# How long the announcement that a node leaves takes to reach all others.
GOSSIP_SPREAD_SECONDS = 3.0
JOIN_RETRY_SECONDS = 1.0
MAX_JOIN_RETRY_SECONDS = 10.0

VersionCallback = Callable[[int, str, Member | None], None]
LeavingCallback = Callable[[str, float], None]
ChangeCallback = Callable[[], None]


class Nodes:
    """Discovers and monitors the other nodes and spreads small updates among all.

    Parameters
    ----------
    me : Member
        This node. Its incarnation must be new at each start, such as the milliseconds
        since the epoch. Its peer address sends and receives the datagrams.
    keys : PeerKeys
        The keys that nodes share.
    client : HttpClient
        Makes the exchanges of full state.
    clock : Clock
        Monotonic and wall time.
    metrics : Metrics
        Counts changes, bytes and bad input.
    rng : random.Random
        Draws targets and jitter.
    seeds : sequence of Address
        Peer addresses from the settings; they may be out of date.
    timing : Timing or None
        Periods and bounds.
    answer_seconds : float
        How long callers may use an answer that names this node's address.
    network : Network or None
        Sends and receives the datagrams; the system's network by default.
    supervisor : Supervisor or None
        Runs what joins the other nodes; one of its own by default.
    """

    def __init__(
        self,
        *,
        me: Member,
        keys: PeerKeys,
        client: HttpClient,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        seeds: Sequence[Address] = (),
        timing: Timing | None = None,
        answer_seconds: float = 30.0,
        network: Network | None = None,
        supervisor: Supervisor | None = None,
    ) -> None:
        timing = timing or Timing()
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._seeds = tuple(seeds)
        self._vm_addresses: tuple[Address, ...] = ()
        self._candidates_changed = asyncio.Event()
        self.answer_seconds = answer_seconds
        self._membership = Membership(
            me=me,
            timing=timing,
            rng=rng,
            now=clock.monotonic(),
            wall=clock.wall(),
        )
        self._membership.set_candidates(self._seeds)
        self._exchanger = Exchanger(
            membership=self._membership,
            keys=keys,
            client=client,
            clock=clock,
            metrics=metrics,
        )
        self.gossip = Gossip(
            membership=self._membership,
            keys=keys,
            clock=clock,
            metrics=metrics,
            tick_seconds=timing.tick_seconds,
            on_event=self._on_event,
            network=network,
        )
        # Cached as it is read for each request; sorting 330 members each time would
        # cost more than the rest of the decision.
        self._live: dict[str | None, tuple[Member, ...]] = {}
        self._exchanges = BackgroundTasks()
        self._supervisor = supervisor or Supervisor(metrics=metrics)
        self._join_task: asyncio.Task[None] | None = None
        self._on_version: list[VersionCallback] = []
        self._on_leaving: list[LeavingCallback] = []
        self._on_change: list[ChangeCallback] = []

    # Running.

    def add_routes(self, router: Router) -> None:
        """Add the routes that other nodes call."""
        self._exchanger.add_routes(router)

    async def start(self) -> None:
        """Listen for datagrams and start to join the other nodes."""
        await self.gossip.start(self.me.peer)
        self._join_task = self._supervisor.start_job("join", self._join)

    async def leave(self) -> float:
        """Announce that this node is leaving.

        Returns
        -------
        float
            Monotonic time until which callers may still call this node; by then the
            last answer that named it has expired.
        """
        self._membership.leave()
        self.gossip.flush()
        self._on_live_change()
        return self._clock.monotonic() + GOSSIP_SPREAD_SECONDS + self.answer_seconds

    def set_serving(self, is_serving: bool) -> None:
        """Announce whether this node accepts callers at present."""
        self._membership.set_serving(is_serving)
        self.gossip.flush()
        self._on_live_change()

    async def stop(self) -> None:
        """Announce that this node has stopped, and stop."""
        if self._join_task is not None:
            self._join_task.cancel()
            await asyncio.wait([self._join_task])
        await self._exchanges.aclose()
        self._membership.depart()
        self.gossip.stop()

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """Set the peer addresses from changed settings."""
        self._seeds = tuple(seeds)
        self._set_candidates()

    def set_vm_addresses(self, addresses: Sequence[Address]) -> None:
        """Set the peer addresses from the platform's VM list; may lag or be empty."""
        self._vm_addresses = tuple(addresses)
        self._set_candidates()

    def _set_candidates(self) -> None:
        self._membership.set_candidates(self._seeds + self._vm_addresses)
        self._candidates_changed.set()

    # Members and leaving endpoints.

    @property
    def me(self) -> Member:
        """Return this node."""
        return self._membership.me

    def members(self) -> tuple[Member, ...]:
        """Return all members in the table, dead ones included; this node first."""
        return self._membership.members()

    def live(self, region: str | None = None) -> tuple[Member, ...]:
        """Return the members that accept callers and work, sorted by name.

        Suspect, leaving and dead members are excluded.
        """
        members = self._live.get(region)
        if members is None:
            members = tuple(
                sorted(
                    (
                        member
                        for member in self._membership.members()
                        if member.is_live and region in (None, member.region)
                    ),
                    key=lambda member: member.node,
                )
            )
            self._live[region] = members
        return members

    def running_members(self) -> tuple[Member, ...]:
        """Return the running members, those out of service included, sorted by name.

        During a long outage of the store all nodes are out of service. They still
        exchange gossip and continue the work that they have.
        """
        members = (
            member
            for member in self.members()
            if member.state in (State.ALIVE, State.LEAVING)
        )
        return tuple(sorted(members, key=lambda member: member.node))

    def leaving_endpoints(self) -> dict[str, float]:
        """Return the leaving endpoints and when each leaves, in wall seconds."""
        return self._membership.endpoints

    # Updates and callbacks.

    def announce_version(self, version: int, root: str) -> None:
        """Announce that this node has a configuration version in force."""
        self._membership.announce_version(version, root)

    def announce_leaving(self, endpoint: str, at: float) -> None:
        """Announce that an endpoint leaves at ``at``, wall seconds."""
        now, wall = self._clock.monotonic(), self._clock.wall()
        self._membership.announce_leaving(endpoint, at, now, wall)
        self.gossip.flush()

    def on_version(self, callback: VersionCallback) -> None:
        """Register a callback for (version, root, a member that has it or None)."""
        self._on_version.append(callback)

    def on_leaving(self, callback: LeavingCallback) -> None:
        """Register a callback for (endpoint, wall time at which it leaves)."""
        self._on_leaving.append(callback)

    def on_change(self, callback: ChangeCallback) -> None:
        """Register a callback for each change of `live`."""
        self._on_change.append(callback)

    # Internals.

    async def _join(self) -> None:
        """Exchange states with the first node that answers; retry until one does."""
        retry_seconds = JOIN_RETRY_SECONDS
        while len(self.members()) == 1:
            candidates = sorted({*self._seeds, *self._vm_addresses} - {self.me.peer})
            self._rng.shuffle(candidates)
            for address in candidates:
                if await self._exchanger.exchange(address):
                    self.gossip.flush()
                    return
            # After an outage all nodes start at once. Without the jitter they would
            # all retry the same few nodes at the same moments.
            await self._await_candidates(retry_seconds * self._rng.uniform(0.5, 1.0))
            retry_seconds = min(2 * retry_seconds, MAX_JOIN_RETRY_SECONDS)

    async def _await_candidates(self, seconds: float) -> None:
        """Wait until new candidates are set, at most for ``seconds``."""
        try:
            async with asyncio.timeout(seconds):
                await self._candidates_changed.wait()
        except TimeoutError:
            return
        self._candidates_changed.clear()

    async def _exchange(self, address: Address) -> None:
        await self._exchanger.exchange(address)
        self.gossip.flush()

    def _on_event(self, event: Event) -> None:
        match event:
            case MemberChanged(member=member, is_refuted=is_refuted):
                state = "refuted" if is_refuted else member.state.name.lower()
                self._metrics.count("membership_changes", state=state)
                log_message("nodes:member", node=member.node, state=state)
                self._on_live_change()
            case NewerVersion(version=version, root=root, member=source):
                for on_version in self._on_version:
                    on_version(version, root, source)
            case EndpointLeaving(endpoint=endpoint, at=at):
                for on_leaving in self._on_leaving:
                    on_leaving(endpoint, at)
            case ExchangeNeeded(peer=peer):
                self._exchanges.spawn(self._exchange(peer))
            case UpdateRejected(sender=sender, problem=problem, detail=detail):
                self._metrics.count("bad_input", peer="node", problem=problem)
                log_message(
                    "nodes:bad_input", peer=sender, problem=problem, detail=detail
                )
            case Paused(seconds=seconds):
                log_message("nodes:paused", seconds=seconds)

    def _on_live_change(self) -> None:
        self._live.clear()
        for on_change in self._on_change:
            on_change()

    def update_member_gauge(self) -> None:
        """Update the gauge of members by state."""
        states = [member.state for member in self.members()]
        for state in State:
            self._metrics.set("members", states.count(state), state=state.name.lower())
