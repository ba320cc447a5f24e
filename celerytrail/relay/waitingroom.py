"""The requests that wait for engines: this node's own, and those of all other nodes."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..metrics import Metrics
from ..policies.engineloads import EngineLoad, EngineLoads, Run
from ..policies.placing import Demand, PlacementPolicy
from ..policies.waiting import (
    Assignment,
    Returning,
    ReturningCallers,
    SharedOrder,
    Turn,
    UnusedTurns,
    Waiting,
    WaitingOrder,
    WaitingTable,
    find_turn,
    overtaken,
)
from .peerupdates import PeerUpdates

# Shortest time between two checks for capacity, in seconds.
MIN_CHECK_SECONDS = 0.02
# Longest one. Ends of runs and first events start a check at once; what nodes don't
# announce, such as limits of engines that are over, is found by checking again.
MAX_CHECK_SECONDS = 0.05
# For how long the start of a run is remembered, in seconds; runs without a first event
# after it have failed.
START_SECONDS = 60.0
# How many times the end of a request that got no engine is announced again. The first
# announcement may be lost.
N_REPEATED_ENDS = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueTurn:
    """A decision on a waiting request, with what it was based on.

    Parameters
    ----------
    turn : Turn
        The decision.
    n_waiting : int
        Requests that wait for the service, this one included.
    overtaken : mapping of str to int
        Earlier requests that it passes over if it takes its engine now, by reason.
    oldest_update : float
        Loop time of the oldest information on the others.
    """

    turn: Turn
    n_waiting: int
    overtaken: Counter[str]
    oldest_update: float


@dataclass(kw_only=True, slots=True)
class _End:
    request_id: str
    n_repeats: int = field(default=0)


class WaitingRoom:
    """Holds waiting requests, announces this node's own, and finds whose turn it is.

    Parameters
    ----------
    node : str
        This node's name.
    loads : EngineLoads
        The runs that all nodes have placed.
    peer_updates : callable
        Returns what announces requests to the other nodes.
    metrics : Metrics
        Counts waits and overtakings.
    rng : random.Random
        Breaks ties.
    order : WaitingOrder or None
        The order, which must be the same at all nodes; `SharedOrder` by default.
    """

    def __init__(
        self,
        *,
        node: str,
        loads: EngineLoads,
        peer_updates: Callable[[], PeerUpdates],
        metrics: Metrics,
        rng: random.Random,
        order: WaitingOrder | None = None,
    ) -> None:
        self._node = node
        self._loads = loads
        self._peer_updates = peer_updates
        self._metrics = metrics
        self._rng = rng
        self._order = order or SharedOrder()
        self.table = WaitingTable(own=node)
        self.returning = ReturningCallers()
        self._unused: dict[str, UnusedTurns] = {}
        self._ends: list[_End] = []
        # By run whose prefill is in progress, when it was first announced.
        self._started: dict[str, float] = {}
        self._n_changes = 0
        self._checks: set[asyncio.Future[None]] = set()

    # This node's requests.

    @property
    def n_own(self) -> int:
        """Return the number of this node's waiting requests."""
        return len(self._unused)

    def enter(self, waiting: Waiting) -> bool:
        """Announce a request of this node; return False if it was announced before."""
        if waiting.request_id in self._unused:
            return False
        self._unused[waiting.request_id] = UnusedTurns()
        self.table.put(self._node, waiting, _now())
        self._peer_updates().announce_waiting([waiting], [])
        return True

    def leave(self, request_id: str, outcome: str) -> None:
        """Record that a request of this node no longer waits.

        The announcement of its run ends the wait of a request that was placed. The
        other ends are announced here.
        """
        if self._unused.pop(request_id, None) is None:
            return
        self._metrics.count("waits", outcome=outcome)
        if self.table.remove(request_id, _now()) is None:
            return
        self._ends.append(_End(request_id=request_id))
        self._peer_updates().announce_waiting([], [request_id])
        self._wake()

    def remember_refused(self, returning: Returning) -> None:
        """Remember, at all nodes, a caller that was refused and will return."""
        self.returning.put(returning)
        self._peer_updates().announce_returning(returning)

    def take_returned(self, key: bytes) -> Returning | None:
        """Return what is remembered of a caller, and forget it."""
        returning = self.returning.take(key, _now())
        if returning is not None:
            self._metrics.count("returns")
        return returning

    def is_free(self, service: str) -> bool:
        """Return whether no request is known to wait for a service."""
        return not len(self.table) or not self.table.of_service(service, _now())

    def n_waiting(self, service: str) -> int:
        """Return how many requests are known to wait for a service."""
        return len(self.table.of_service(service, _now()))

    def find_turn(
        self,
        own: Waiting,
        demand: Demand,
        loads: Sequence[EngineLoad],
        policy: PlacementPolicy,
        choose: Callable[[list[EngineLoad]], EngineLoad | None],
    ) -> QueueTurn:
        """Decide whether a request of this node may take an engine now, and which.

        Parameters
        ----------
        own : Waiting
            The request, which may not have been announced.
        demand : Demand
            What it needs.
        loads : sequence of EngineLoad
            The engines of its service.
        policy : PlacementPolicy
            Chooses the engines of those ahead.
        choose : callable
            Chooses the request's engine among those given.
        """
        now = _now()
        own = self.table.find(own.request_id) or own
        waiting = self.table.of_service(own.service, now)
        if all(other.request_id != own.request_id for other in waiting):
            waiting.append(own)
        endpoints = {load.reg.endpoint for load in loads}
        running = self._loads.n_runs_by_organisation(endpoints)
        ordered = self._order.order(waiting, running, now)
        unused = self._unused.get(own.request_id) or UnusedTurns()
        turn = find_turn(
            own,
            ordered,
            demand,
            Assignment(loads=loads, policy=policy, rng=self._rng),
            choose=choose,
            is_ignored=lambda request_id: unused.is_ignored(request_id, now),
            now=now,
        )
        n_unused = unused.record(turn.assigned, now)
        if n_unused:
            self._metrics.count("unused_turns", n_unused)
        return QueueTurn(
            turn=turn,
            n_waiting=len(ordered),
            overtaken=overtaken(own, ordered, now),
            oldest_update=self.table.oldest_update(own.service, now),
        )

    def record_overtaken(self, decision: QueueTurn) -> None:
        """Count the requests that a placement passes over."""
        for reason, n in decision.overtaken.items():
            self._metrics.count("overtakings", n, reason=reason)

    async def wait_for_change(self) -> None:
        """Wait until there may be capacity that the last check didn't find."""
        n_changes = self._n_changes
        await asyncio.sleep(MIN_CHECK_SECONDS)
        if self._n_changes != n_changes:
            return
        check: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._checks.add(check)
        try:
            async with asyncio.timeout(MAX_CHECK_SECONDS - MIN_CHECK_SECONDS):
                await check
        except TimeoutError:
            pass
        finally:
            self._checks.discard(check)

    # Announcements.

    def on_waiting(self, node: str, waiting: Waiting) -> None:
        """Record a waiting request of another node."""
        now = _now()
        if waiting.return_key and self.table.find(waiting.request_id) is None:
            # Its caller has returned there, and won't return here.
            self.returning.take(waiting.return_key, now)
        self.table.put(node, waiting, now)

    def on_returning(self, returning: Returning) -> None:
        """Remember a caller that another node refused."""
        self.returning.put(returning)

    def on_run(self, run: Run, service: str) -> None:
        """Record that a run was announced, by this node or another one.

        Parameters
        ----------
        run : Run
            The run.
        service : str
            The service of its engine; empty if not known.
        """
        now = _now()
        waiting = self.table.remove(run.run_id, now)
        if not run.is_prefilling:
            if self._started.pop(run.run_id, None) is not None:
                self._wake()
            return
        if run.run_id in self._started:
            return
        self._started[run.run_id] = now
        if self._unused:
            self._record_passed_over(run, service, waiting, now)

    def on_ended(self, run_id: str) -> None:
        """Record that a run ended, or a request no longer waits."""
        self._started.pop(run_id, None)
        self.table.remove(run_id, _now())
        self._wake()

    async def run(self) -> None:
        """Repeat the announcements of this node's requests, until cancelled."""
        while True:
            await asyncio.sleep(self.table.period_seconds)
            self.repeat()

    def repeat(self) -> None:
        """Announce this node's requests again, and the last ends."""
        ended = [end.request_id for end in self._ends]
        for end in self._ends:
            end.n_repeats += 1
        self._ends = [end for end in self._ends if end.n_repeats < N_REPEATED_ENDS]
        own = self.table.own_requests()
        if own or ended:
            self._peer_updates().announce_waiting(own, ended)

    def expire(self, now: float) -> None:
        """Forget requests of silent nodes, and callers that didn't return."""
        self.table.expire(now)
        self.returning.expire(now)
        self._started = {
            run_id: started_at
            for run_id, started_at in self._started.items()
            if now - started_at < START_SECONDS
        }

    def _record_passed_over(
        self, run: Run, service: str, placed: Waiting | None, now: float
    ) -> None:
        """Record which of this node's requests a later one of their priority passed.

        A request that wasn't announced has arrived just now.
        """
        since = placed.waiting_since if placed is not None else now
        for own in self.table.own_requests():
            is_equal = own.service == service and own.priority == run.priority
            if is_equal and own.waiting_since < since:
                self.table.put(self._node, own.passed_over(now), now)

    def _wake(self) -> None:
        """Let the waiting requests check for capacity."""
        self._n_changes += 1
        for check in self._checks:
            if not check.done():
                check.set_result(None)


def _now() -> float:
    return asyncio.get_running_loop().time()
