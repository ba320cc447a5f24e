"""The other nodes, as the rest of the program sees them."""

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
from ..types import Address
from .events import (
    BadItem,
    EndpointLeaving,
    Event,
    ExchangeWanted,
    MemberChanged,
    Paused,
    VersionHeard,
)
from .exchange import Exchanger
from .gossip import Gossip
from .member import Member, State
from .membership import Membership
from .signing import PeerKeys
from .timing import Timing

# Time for the news that a node leaves to reach all others, in seconds.
SPREAD_SECONDS = 3.0
JOIN_SECONDS = 1.0
MAX_JOIN_SECONDS = 10.0

VersionCallback = Callable[[int, str, Member | None], None]
LeavingCallback = Callable[[str, float], None]
ChangeCallback = Callable[[], None]


class Nodes:
    """Finds the other nodes, watches them, and carries small news between all.

    Parameters
    ----------
    me : Member
        This node. Its incarnation must be new at each start, such as the milliseconds
        since the epoch; datagrams come and go at its peer address.
    keys : PeerKeys
        The keys that nodes share.
    client : HttpClient
        For whole exchanges of state.
    clock : Clock
        Monotonic and wall time.
    metrics : Metrics
        Counts changes, bytes and bad input.
    rng : random.Random
        For targets and spread.
    seeds : sequence of Address
        Peer addresses from the settings; may be out of date.
    timing : Timing or None
        Periods and bounds.
    answer_seconds : float
        How long callers may keep an answer that names this node's address.
    network : Network or None
        Carries the datagrams; the machine's own by default.
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
    ) -> None:
        timing = timing or Timing()
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._seeds = tuple(seeds)
        self._listed: tuple[Address, ...] = ()
        self._has_candidates = asyncio.Event()
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
            tell=self._tell,
            network=network,
        )
        # Asked for at each request; sorting 330 members each time would cost more
        # than the rest of the decision.
        self._live: dict[str | None, tuple[Member, ...]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._on_version: list[VersionCallback] = []
        self._on_leaving: list[LeavingCallback] = []
        self._on_change: list[ChangeCallback] = []

    # Running.

    def add_routes(self, router: Router) -> None:
        """Add the routes by which other nodes speak to this one."""
        self._exchanger.add_routes(router)

    async def start(self) -> None:
        """Listen for datagrams and begin to look for the others."""
        await self.gossip.start(self.me.peer)
        self._run(self._join())

    async def leave(self) -> float:
        """Tell all that this node leaves.

        Returns
        -------
        float
            Monotonic time until which callers may still come: the last answer that
            named this node has expired by then.
        """
        self._membership.leave()
        self.gossip.flush()
        self._changed()
        return self._clock.monotonic() + SPREAD_SECONDS + self.answer_seconds

    def set_serving(self, is_serving: bool) -> None:
        """Tell all whether callers may be sent here at this time."""
        self._membership.set_serving(is_serving)
        self.gossip.flush()
        self._changed()

    async def stop(self) -> None:
        """Say that this node is gone, and stop."""
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks))
        self._membership.depart()
        self.gossip.stop()

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """Set the peer addresses from settings that changed."""
        self._seeds = tuple(seeds)
        self._set_candidates()

    def set_listed(self, addresses: Sequence[Address]) -> None:
        """Set the peer addresses from the platform's VM list; may lag or be empty."""
        self._listed = tuple(addresses)
        self._set_candidates()

    def _set_candidates(self) -> None:
        self._membership.set_candidates(self._seeds + self._listed)
        self._has_candidates.set()

    # What is known.

    @property
    def me(self) -> Member:
        """Return this node."""
        return self._membership.me

    def members(self) -> tuple[Member, ...]:
        """Return every member that is not forgotten, the dead ones too."""
        return self._membership.members()

    def live(self, region: str | None = None) -> tuple[Member, ...]:
        """Return the members that callers and work may be sent to, by name.

        Suspects, leaving nodes and dead ones are left out.
        """
        found = self._live.get(region)
        if found is None:
            found = tuple(
                sorted(
                    (
                        member
                        for member in self._membership.members()
                        if member.is_live and region in (None, member.region)
                    ),
                    key=lambda member: member.node,
                )
            )
            self._live[region] = found
        return found

    def running(self) -> tuple[Member, ...]:
        """Return the members that run, by name, also those that serve nobody now.

        While the store is away for long, all nodes are out of service, and yet go on
        hearing one another and carrying what they have.
        """
        found = (
            member
            for member in self._membership.members()
            if member.state in (State.ALIVE, State.LEAVING)
        )
        return tuple(sorted(found, key=lambda member: member.node))

    def leaving_endpoints(self) -> dict[str, float]:
        """Return the leaving endpoints and when each leaves, in wall seconds."""
        return self._membership.endpoints

    # Small news.

    def announce_version(self, version: int, root: str) -> None:
        """Tell all that this node has a configuration version in force."""
        self._membership.announce_version(version, root)

    def announce_leaving(self, endpoint: str, at: float) -> None:
        """Tell all that an endpoint leaves at ``at``, wall seconds."""
        now, wall = self._clock.monotonic(), self._clock.wall()
        self._membership.announce_leaving(endpoint, at, now, wall)
        self.gossip.flush()

    def on_version(self, callback: VersionCallback) -> None:
        """Call with (version, root, a member that has it or None)."""
        self._on_version.append(callback)

    def on_leaving(self, callback: LeavingCallback) -> None:
        """Call with (endpoint, wall time at which it leaves)."""
        self._on_leaving.append(callback)

    def on_change(self, callback: ChangeCallback) -> None:
        """Call after any change of `live`."""
        self._on_change.append(callback)

    # Inside.

    async def _join(self) -> None:
        """Exchange states with any node that answers, and try until one does."""
        wait = JOIN_SECONDS
        while len(self.members()) == 1:
            candidates = sorted({*self._seeds, *self._listed} - {self.me.peer})
            self._rng.shuffle(candidates)
            for address in candidates:
                if await self._exchanger.exchange(address):
                    self.gossip.flush()
                    return
            # After an outage all nodes start at once; without the spread they would
            # all ask the same few again at the same moments.
            await self._await_candidates(wait * self._rng.uniform(0.5, 1.0))
            wait = min(2 * wait, MAX_JOIN_SECONDS)

    async def _await_candidates(self, seconds: float) -> None:
        """Wait a while, or until others are named that may be asked."""
        try:
            async with asyncio.timeout(seconds):
                await self._has_candidates.wait()
        except TimeoutError:
            return
        self._has_candidates.clear()

    async def _exchange(self, address: Address) -> None:
        await self._exchanger.exchange(address)
        self.gossip.flush()

    def _run(self, coroutine: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(
            coroutine  # type: ignore[arg-type]
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _tell(self, event: Event) -> None:
        match event:
            case MemberChanged(member=member, is_refuted=is_refuted):
                state = "refuted" if is_refuted else member.state.name.lower()
                self._metrics.count("membership_changes", state=state)
                log_message("nodes:member", node=member.node, state=state)
                self._changed()
            case VersionHeard(version=version, root=root, member=source):
                for on_version in self._on_version:
                    on_version(version, root, source)
            case EndpointLeaving(endpoint=endpoint, at=at):
                for on_leaving in self._on_leaving:
                    on_leaving(endpoint, at)
            case ExchangeWanted(peer=peer):
                self._run(self._exchange(peer))
            case BadItem(sender=sender, problem=problem, detail=detail):
                self._metrics.count("bad_input", peer="node", problem=problem)
                log_message(
                    "nodes:bad_input", peer=sender, problem=problem, detail=detail
                )
            case Paused(seconds=seconds):
                log_message("nodes:paused", seconds=seconds)

    def _changed(self) -> None:
        self._live.clear()
        for on_change in self._on_change:
            on_change()

    def count_members(self) -> None:
        """Set the gauge of members by state."""
        states = [member.state for member in self.members()]
        for state in State:
            self._metrics.set("members", states.count(state), state=state.name.lower())
