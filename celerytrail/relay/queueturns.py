"""Turns of the requests that wait for engines, in the order that all nodes share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from ..policies import placing
from ..policies.engineloads import EngineLoad
from ..policies.waiting import Returning, Waiting, return_key
from .enginecandidates import EngineCandidates
from .liverun import LiveRun
from .peerupdates import PeerUpdates
from .waitingroom import WaitingRoom

# Largest share of its remaining time after which a refused caller returns.
MAX_RETURN_SHARE = 1 / 3

Choose = Callable[[list[EngineLoad]], EngineLoad | None]


class QueueTurns:
    """Decides when a waiting run may take an engine, and keeps its position.

    Parameters
    ----------
    waiting_room : WaitingRoom
        The requests of all nodes that wait for engines.
    candidates : EngineCandidates
        Finds the engines that the other requests may get.
    peer_updates : PeerUpdates
        Announces the ends of runs to the other nodes.
    policy : PlacementPolicy
        Chooses among the engines.
    """

    def __init__(
        self,
        *,
        waiting_room: WaitingRoom,
        candidates: EngineCandidates,
        peer_updates: PeerUpdates,
        policy: placing.PlacementPolicy,
    ) -> None:
        self._waiting_room = waiting_room
        self._candidates = candidates
        self._sharing = peer_updates
        self._placing = policy

    def leave(self, live: LiveRun, outcome: str) -> None:
        """Record that a run doesn't wait any more."""
        self._waiting_room.leave(live.run.run_id, outcome)

    async def wait_for_change(self) -> None:
        """Wait until the order or the engines' loads may have changed."""
        await self._waiting_room.wait_for_change()

    def choose(
        self,
        live: LiveRun,
        excluded: set[str],
        loads: list[EngineLoad],
        demand: placing.Demand,
        load: EngineLoad,
        usable: list[EngineLoad],
        choose_own: Choose,
    ) -> EngineLoad | None:
        """Return the engine that a run may take now, None if others come first.

        ``load`` is the engine that it would take if no other request waited, and
        ``usable`` those that it may get, among which ``choose_own`` chooses. The
        requests ahead may get any of ``loads``: at their own nodes the pace may hold
        back others.
        """
        room = self._waiting_room
        if live.waiting is None and room.is_free(live.ex.service):
            return load
        own = self._waiting(live)
        service_loads = loads
        if excluded or live.ex.home_regions:
            service_loads = self._candidates.service_loads(live)
        endpoints = {one.reg.endpoint for one in usable}
        if all(one.reg.endpoint != load.reg.endpoint for one in service_loads):
            # Only engines were left that have just started or recovered.
            service_loads = [*service_loads, load]

        def choose_left(left: list[EngineLoad]) -> EngineLoad | None:
            return choose_own([one for one in left if one.reg.endpoint in endpoints])

        decision = room.find_turn(
            own, demand, service_loads, self._placing, choose_left
        )
        turn = decision.turn
        if turn.load is None:
            return None
        room.record_overtaken(decision)
        now = asyncio.get_running_loop().time()
        live.ex.log(
            "queue_turn",
            endpoint=turn.load.reg.endpoint,
            n_waiting=decision.n_waiting,
            n_ahead=turn.n_ahead,
            n_assigned=len(turn.assigned),
            overtaken=dict(decision.overtaken),
            waited=round(now - own.waiting_since, 3),
            information_age=round(now - decision.oldest_update, 3),
        )
        return turn.load

    def enter(
        self, live: LiveRun, loads: list[EngineLoad], demand: placing.Demand
    ) -> None:
        """Announce that a run waits, unless the other nodes know it."""
        own = self._waiting(live)
        if live.run.endpoint:
            # Its engine didn't admit it; it would be counted there while it waits.
            self._sharing.announce_end(live.run.run_id)
            live.run = replace(live.run, endpoint="")
        if not self._waiting_room.enter(own):
            return
        now = asyncio.get_running_loop().time()
        live.ex.log(
            "queued",
            priority=own.priority,
            organisation=live.ex.organisation,
            waited=round(now - own.waiting_since, 3),
            has_returned=bool(own.return_key),
            n_waiting=self._waiting_room.n_waiting(live.ex.service),
            n_engines=len(loads),
            obstacles=placing.count_obstacles(loads, demand),
        )

    def _waiting(self, live: LiveRun) -> Waiting:
        """Return what the other nodes are told of a run that waits."""
        if live.waiting is None:
            ex, run = live.ex, live.run
            now = asyncio.get_running_loop().time()
            key = self._return_key(live)
            returned = self._waiting_room.take_returned(key)
            since = now - ex.age_seconds
            if returned is not None:
                since = min(since, returned.waiting_since)
            live.waiting = Waiting(
                request_id=run.run_id,
                service=ex.service,
                organisation=run.organisation,
                priority=ex.priority,
                waiting_since=since,
                target_at=since + ex.route.target_latency_seconds,
                gives_up_at=ex.loop_deadline,
                n_tokens=run.n_tokens,
                n_prefill_tokens=run.n_prompt_tokens,
                n_remaining_tokens=run.n_remaining_tokens,
                return_key=key if returned is not None else b"",
            )
        return live.waiting

    @staticmethod
    def _return_key(live: LiveRun) -> bytes:
        ex = live.ex
        return return_key(ex.organisation, ex.route.name, ex.prompt)

    def record_refused(self, live: LiveRun, retry_after: float) -> None:
        """Let a refused caller keep its position if it returns.

        Callers return once, and only if they wait for a part of their remaining time.
        """
        ex = live.ex
        seconds_left = ex.gives_up_at - ex.clock.boottime()
        has_returned = live.waiting is not None and bool(live.waiting.return_key)
        is_new = live.binding.version is None and not live.n_runs
        if not is_new or has_returned or retry_after > MAX_RETURN_SHARE * seconds_left:
            return
        now = asyncio.get_running_loop().time()
        since = now - ex.age_seconds
        if live.waiting is not None:
            since = live.waiting.waiting_since
        self._waiting_room.remember_refused(
            Returning(
                key=self._return_key(live),
                waiting_since=since,
                returns_at=now + retry_after,
            )
        )
