"""Moves runs off engines that leave or fall silent, unnoticed by their callers."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Collection, Coroutine, Iterable
from typing import Any

from eliot import log_message
from result import Err, Ok

from ..model import Registration
from ..policies import moving
from ..policies.engineloads import EngineLoads
from ..policies.runstops import StreamEnd
from ..supervision import BackgroundTasks
from .backupswitch import BackupSwitch
from .engineapi import EngineApi
from .engineopener import EngineOpener
from .engineplacer import EnginePlacer
from .liverun import Copied, LiveRun, Move, Switched
from .outcomes import Failed, NotExecuted
from .registry import Registry
from .runcopies import RunCopies
from .runstops import RunStops

# Engines that may refuse a run before its move is abandoned.
MAX_REFUSALS = 3
# Timeout of the copies of a run, in seconds; copies that take longer aren't worth
# waiting for.
COPY_TIMEOUT_SECONDS = 4.0
# Interval between two checks whether it is a run's turn to be moved, in seconds.
TURN_POLL_SECONDS = 0.005
# How long a last copy may still take if its run can't go on from another one, in
# seconds.
LATE_COPY_SECONDS = 2.0
# Age of a run from which its backup is expected to be usable, in seconds: engines send
# it several times a second, and 4,000 tokens take 0.2 s to 0.5 s over a link.
BACKUP_READY_SECONDS = 0.3
# How much older an engine's report may be than the answer that carries it, in seconds.
REPORT_LAG_SECONDS = 0.55
# Timeout for reading a leaving engine's shutdown time, in seconds.
REPORT_TIMEOUT_SECONDS = 0.3
# Attempts to switch to a backup that isn't usable yet, and the pause between them, in
# seconds.
MAX_SWITCH_TRIES = 3
SWITCH_PAUSE_SECONDS = 0.2
# Time without an event after which a run with a backup continues there, in seconds;
# engines under load pause for a few tenths at most.
SILENCE_TIMEOUT_SECONDS = 0.9


class RunMover:
    """Moves runs off engines before these shut down.

    Parameters
    ----------
    api : EngineApi
        Requests copies and reports.
    registry : Registry
        Lists the engines.
    loads : EngineLoads
        The runs that all nodes have placed.
    placer : EnginePlacer
        Chooses the target engines.
    opener : EngineOpener
        Prepares the target engines.
    stops : RunStops
        Stops runs at the engines that they leave.
    stopping : StopPolicy or None
        Decides when a run is stopped for its last copy.
    """

    def __init__(
        self,
        *,
        api: EngineApi,
        registry: Registry,
        loads: EngineLoads,
        placer: EnginePlacer,
        opener: EngineOpener,
        stops: RunStops,
        stopping: moving.StopPolicy | None = None,
    ) -> None:
        self._api = api
        self._stops = stops
        self._switch = BackupSwitch(
            opener=opener, stops=stops, choose_target=placer.choose_move_target
        )
        self._copies = RunCopies(
            api=api,
            opener=opener,
            stops=stops,
            stopping=stopping or moving.StopAfterQuick(),
            remaining_seconds=self._remaining_seconds,
        )
        self._registry = registry
        self._loads = loads
        self._placer = placer
        self._opener = opener
        self._tasks = BackgroundTasks()
        # By endpoint, the loop time at which a leaving engine shuts down.
        self._leaves_at: dict[str, float] = {}

    def on_leaving(self, reg: Registration, runs: Iterable[LiveRun]) -> None:
        """Move the runs of a leaving engine to others, the most advanced ones first."""
        leaving = []
        for live in runs:
            backup = live.backup
            if backup is not None and backup.incarnation == reg.incarnation:
                self._placer.clear_backup(live)
            if live.reg is not None and live.reg.incarnation == reg.incarnation:
                leaving.append(live)
        leaving.sort(key=lambda live: live.n_events, reverse=True)
        if leaving:
            self._tasks.spawn(self._fetch_shutdown_time(reg))
        for live in leaving:
            self._begin_move(live)

    def on_evacuated(self, domains: Collection[str], runs: Iterable[LiveRun]) -> None:
        """Give up the backups in evacuated domains; runs in progress there go on."""
        for live in runs:
            backup = live.backup
            # The target of a move in progress is kept until the move has ended.
            if live.run.is_moving or backup is None:
                continue
            if backup.failure_domain in domains:
                self._placer.clear_backup(live)

    def move_if_needed(self, live: LiveRun) -> None:
        """Begin to move a run off an engine that leaves or has stopped sending.

        An engine may begin to leave while a run is being moved to it, so that
        ``on_leaving`` doesn't see the run; without this check the run would be lost
        with the engine. A run that is already being resumed is skipped: opened at a
        second engine at the same time, it would run at both.
        """
        if live.is_resuming or not live.started.is_set():
            return
        if live.move is not None or live.reg is None:
            return
        if self._registry.is_leaving(live.reg):
            self._begin_move(live)
        elif live.backup is not None and live.silent_seconds > SILENCE_TIMEOUT_SECONDS:
            self._start_move(live, self._leave_silent_engine(live))

    def on_path_silent(self, reg: Registration, runs: Iterable[LiveRun]) -> None:
        """Take runs off the connections to an engine on which nothing arrives now.

        The engine still makes them. They continue from a copy, at another engine, and
        over another node.
        """
        for live in runs:
            if live.reg is None or live.reg.endpoint != reg.endpoint:
                continue
            if live.is_resuming or not live.started.is_set():
                continue
            if live.move is None or _has_failed(live.move):
                self._start_move(live, self._leave_silent_path(live))

    async def _leave_silent_path(self, live: LiveRun) -> Move:
        source, stream = live.reg, live.stream
        if live.backup is not None:
            live.ex.log("silent", endpoint=live.run.endpoint)
            switched = await self._switch.switch(live, live.backup)
            if isinstance(switched, Ok):
                return switched.ok_value
        copied = None
        if source is not None and live.engine.can_move:
            copied = await self._copy_to_engine(live, source)
        # Without a copy, only a request that may run again is better off elsewhere: the
        # path may come back.
        if stream is not None and (copied is not None or live.ex.route.is_resumable):
            stream.close()
        return copied

    async def find_copy(self, live: LiveRun, source: Registration) -> Copied | None:
        """Return the copy to go on from of a run whose stream has ended, if any.

        One that has a backup is stopped first: its engine may work on it.
        """
        if live.backup is not None and live.backup != live.reg:
            return await self._switch.stop_and_copy(live, source)
        target = self._placer.choose_move_target(live, source, {source.endpoint})
        return await self._copies.find_copy(live, source, target)

    def stop_before_repeat(self, live: LiveRun, source: Registration) -> None:
        """Stop a run at its engine that is about to begin again at another one."""
        target = self._placer.choose_move_target(live, source, {source.endpoint})
        if target is not None:
            self._stops.stop(live, source, target, delay_seconds=0.0)

    def unsettled(self, live: LiveRun) -> set[str]:
        """Return the engines that a run has left and at which it may still be."""
        return self._stops.unsettled(live)

    async def find_later_copy(
        self, live: LiveRun, source: Registration
    ) -> Copied | None:
        """Return the last copy of a run that couldn't go on from another one, if any.

        It may come late.
        """
        is_open = live.stop_orders.judge_end(source) is StreamEnd.PENDING
        if not is_open and not self._stops.has_kept(live, source):
            return None
        target = self._placer.choose_move_target(live, source, {source.endpoint})
        return await self._copies.find_copy(
            live, source, target, seconds=LATE_COPY_SECONDS
        )

    def free_kept(self, live: LiveRun) -> None:
        """Free the last copies of a run that goes on without them."""
        self._stops.free_kept(live)

    def leave(self, live: LiveRun, reg: Registration) -> None:
        """Free what a run doesn't need that goes on at ``reg``."""
        self.free_backup(live, reg)
        self._stops.free_kept(live)
        self._copies.free_partial(live)

    def end(self, live: LiveRun) -> None:
        """Discard what a run that is over would go on from."""
        live.is_over = True
        self._stops.free_kept(live)
        self._copies.free_partial(live)
        self._discard_move(live)

    def _discard_move(self, live: LiveRun) -> None:
        move = live.move
        if move is None:
            return
        if not move.done():
            move.cancel()
        elif not move.cancelled() and move.exception() is None:
            moved = move.result()
            if isinstance(moved, Switched):
                moved.stream.close()
            elif moved is not None:
                self._copies.free(moved)
                if moved.prepared is not None:
                    self._opener.discard_prepared(moved.prepared)

    def free_backup(self, live: LiveRun, reg: Registration) -> None:
        """Free the backup that a run no longer needs when it continues at ``reg``."""
        backup = live.backup
        if backup is None or backup.endpoint == reg.endpoint:
            return
        self._stops.free_backup(live, backup)

    @staticmethod
    def _start_move(live: LiveRun, work: Coroutine[Any, Any, Move]) -> None:
        live.move = asyncio.ensure_future(work)
        live.move.add_done_callback(functools.partial(_log_error, live))

    def _begin_move(self, live: LiveRun) -> None:
        """Begin to move a run off its engine, unless it is going on elsewhere."""
        if live.is_resuming:
            return
        if live.move is None or _has_failed(live.move):
            self._start_move(live, self._move_off(live))

    async def _move_off(self, live: LiveRun) -> Move:
        """Move a run off a leaving engine, to its backup or by a copy."""
        source = live.reg
        await live.started.wait()
        for _ in range(MAX_SWITCH_TRIES):
            backup = live.backup
            if backup is None or not self._registry.is_usable(backup):
                break
            if self._opener.is_paused(backup):
                break
            # A backup is built up while the run progresses; right after the first event
            # there is none yet.
            await asyncio.sleep(BACKUP_READY_SECONDS - live.age_seconds)
            if live.backup != backup:
                # It was given up meanwhile.
                continue
            switched = await self._switch.switch(live, backup)
            if isinstance(switched, Ok):
                return switched.ok_value
            if not _may_be_early(switched.err_value):
                break
            await asyncio.sleep(SWITCH_PAUSE_SECONDS)
        if live.reg != source or source is None or not live.engine.can_move:
            return None
        if live.stop_orders.judge_end(source) is not StreamEnd.ENDED:
            # It may have been stopped, and its backup is what is left of it.
            return None
        if live.backup is not None:
            # The other nodes count only runs without a backup when they order moves on
            # the link.
            self._placer.clear_backup(live)
        return await self._move_in_turn(live, source)

    async def _leave_silent_engine(self, live: LiveRun) -> Move:
        """Switch to the backup, if any, because the engine sends nothing."""
        if live.backup is None:
            return None
        live.ex.log("silent", endpoint=live.run.endpoint)
        switched = await self._switch.switch(live, live.backup)
        return switched.ok_value if isinstance(switched, Ok) else None

    async def _move_in_turn(self, live: LiveRun, source: Registration) -> Copied | None:
        """Move a run once the runs ahead of it have left the engine's link."""
        await self._await_turn(live, source)
        if live.reg != source:
            return None
        copied = await self._copy_to_engine(live, source)
        if copied is not None and live.reg == source and live.stream is not None:
            # The engine may close the stopped stream late, or its close may be lost.
            live.stream.close()
        return copied

    async def _await_turn(self, live: LiveRun, source: Registration) -> None:
        """Wait until the moves ahead of this one are done or skipped."""
        loop = asyncio.get_running_loop()
        turns = moving.MoveQueue(run_id=live.run.run_id, engine=live.engine)
        while live.reg == source:
            if turns.can_start(
                self._loads.runs_on_engine(source.endpoint), loop.time()
            ):
                break
            await asyncio.sleep(TURN_POLL_SECONDS)

    async def _copy_to_engine(
        self, live: LiveRun, source: Registration
    ) -> Copied | None:
        """Copy a run to an engine with capacity; one that refuses isn't tried again."""
        excluded = {source.endpoint} | self._stops.unsettled(live) | live.broken_at
        deadline = asyncio.get_running_loop().time() + COPY_TIMEOUT_SECONDS
        for _ in range(MAX_REFUSALS):
            target = self._placer.choose_move_target(live, source, excluded)
            if target is None:
                live.ex.log("move_no_room", endpoint=source.endpoint)
                return None
            if not self._can_finish_copy(live, source, target):
                # A copy that is interrupted by its engine's shutdown occupies memory at
                # the target for seconds, and delays the copies queued behind it.
                live.ex.log("move_too_late", endpoint=source.endpoint)
                return None
            # Announced first, so that the other nodes count the memory as taken before
            # the run arrives.
            live.backup = target
            self._placer.announce(live, is_prefilling=False, is_moving=True)
            copied = await self._copies.copy_and_stop(live, source, target, deadline)
            if isinstance(copied, Ok):
                return copied.ok_value
            live.backup = None
            if copied.err_value.status != 503:
                return None
            excluded.add(target.endpoint)
        return None

    def _can_finish_copy(
        self, live: LiveRun, source: Registration, target: Registration
    ) -> bool:
        remaining_seconds = self._remaining_seconds(source)
        if remaining_seconds is None:
            return True
        is_cross_domain = source.failure_domain != target.failure_domain
        seconds = moving.copy_seconds(
            live.run, live.engine, is_cross_domain=is_cross_domain
        )
        return seconds < remaining_seconds

    async def _fetch_shutdown_time(self, reg: Registration) -> None:
        """Read from a leaving engine's report when it shuts down."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(REPORT_LAG_SECONDS)
        asked_at = loop.time()
        answered = await self._api.report(reg, asked_at + REPORT_TIMEOUT_SECONDS)
        if isinstance(answered, Err) or answered.ok_value.leaves_in_seconds is None:
            return
        # The report is a few hundred milliseconds old, so the engine shuts down no
        # later than this.
        self._leaves_at[reg.endpoint] = asked_at + answered.ok_value.leaves_in_seconds
        log_message(
            "relay:engine:end_known",
            endpoint=reg.endpoint,
            seconds=answered.ok_value.leaves_in_seconds,
        )

    def _remaining_seconds(self, reg: Registration) -> float | None:
        """Return the time until a leaving engine shuts down, None if unknown."""
        leaves_at = self._leaves_at.get(reg.endpoint)
        if leaves_at is None:
            return None
        return leaves_at - asyncio.get_running_loop().time()


def _log_error(live: LiveRun, move: asyncio.Task[Move]) -> None:
    """Log the error that ended a move: nobody awaits one that is discarded."""
    if not move.cancelled() and (exc := move.exception()) is not None:
        live.ex.log("move_error", endpoint=live.run.endpoint, problem=repr(exc))


def _may_be_early(outcome: NotExecuted | Failed) -> bool:
    """Return whether a backup may be usable a moment after it refused its run."""
    return isinstance(outcome, NotExecuted) and outcome.was_sent


def _has_failed(move: asyncio.Task[Move]) -> bool:
    if not move.done() or move.cancelled():
        return False
    return move.exception() is not None or move.result() is None
