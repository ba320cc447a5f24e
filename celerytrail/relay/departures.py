"""Carries runs off engines that leave or fall silent, while their callers read on."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable
from typing import Any

from eliot import log_message
from result import Err, Ok, Result

from ..model import Registration
from ..platform import wire
from ..policies import moving
from ..policies.engineloads import EngineLoads
from .engineapi import EngineApi, MoveFailed
from .engineopener import EngineOpener
from .engineplacer import EnginePlacer
from .liverun import Copied, LiveRun, Switched
from .registry import Registry

# How many engines are asked that refuse a run before it stays where it is.
MAX_REFUSED = 3
# Copies that take longer than this are not worth waiting for, in seconds.
COPY_SECONDS = 4.0
# Between two looks whether it is a run's turn to be moved, in seconds.
TURN_SECONDS = 0.005
# A copy that is made as the run grows is taken to stand after so long, in seconds: it
# is sent several times a second, and 4,000 tokens take 0.2 s to 0.5 s over a link.
COPY_AGE_SECONDS = 0.3
# How much older than its answer an engine's report is, in seconds.
REPORT_LAG_SECONDS = 0.55
# How long an engine that leaves may take to say when it will be gone, in seconds.
REPORT_SECONDS = 0.3
# How long the order to free a copy may take, in seconds.
FREE_SECONDS = 0.5
# How often a copy is tried that does not stand yet, and the pause between, in seconds.
SWITCH_TRIES = 3
SWITCH_PAUSE_SECONDS = 0.2
# A stream with a copy elsewhere goes on there after so long without an event, in
# seconds; engines under load pause for a few tenths at most.
SILENT_SECONDS = 0.9


class Departures:
    """Gets runs off engines before these are gone.

    Parameters
    ----------
    api : EngineApi
        Orders copies.
    registry : Registry
        Knows the engines.
    loads : EngineLoads
        What all nodes have placed.
    placer : EnginePlacer
        Chooses where runs go.
    opener : EngineOpener
        Opens their streams there.
    """

    def __init__(
        self,
        *,
        api: EngineApi,
        registry: Registry,
        loads: EngineLoads,
        placer: EnginePlacer,
        opener: EngineOpener,
    ) -> None:
        self._api = api
        self._registry = registry
        self._loads = loads
        self._placer = placer
        self._opener = opener
        self._tasks: set[asyncio.Task[None]] = set()
        # When engines that leave will be gone, in loop time.
        self._leaves_at: dict[str, float] = {}

    def on_leaving(self, reg: Registration, runs: Iterable[LiveRun]) -> None:
        """Carry what runs on an engine that leaves to others, most advanced first."""
        leaving = []
        for live in runs:
            if live.backup is not None and live.backup.endpoint == reg.endpoint:
                self._placer.forget_backup(live)
            if live.reg is not None and live.reg.endpoint == reg.endpoint:
                leaving.append(live)
        leaving.sort(key=lambda live: live.n_events, reverse=True)
        if leaving:
            self._run(self._ask_end(reg))
        for live in leaving:
            self._leave_engine(live)

    def look_at(self, live: LiveRun) -> None:
        """Begin to carry a run off an engine that leaves or sends nothing more.

        One that began to leave while the run was on its way there was not told of it;
        the run would be lost with it. A run that is on its way now is let be: sent to a
        second engine at the same time, it would run at both.
        """
        if live.is_resuming or not live.started.is_set():
            return
        if live.move is not None or live.reg is None:
            return
        if self._registry.is_leaving(live.reg):
            self._leave_engine(live)
        elif live.backup is not None and live.silent_seconds > SILENT_SECONDS:
            live.move = asyncio.ensure_future(self._leave_silent(live))

    @staticmethod
    def drop_move(live: LiveRun) -> None:
        """Let go of a move that is no longer needed."""
        move = live.move
        if move is None:
            return
        if not move.done():
            move.cancel()
        elif not move.cancelled() and move.exception() is None:
            switched = move.result()
            if isinstance(switched, Switched):
                switched.stream.close()

    def drop_backup(self, live: LiveRun, reg: Registration) -> None:
        """Free the copy that a run leaves behind when it goes on at ``reg``."""
        backup = live.backup
        if backup is None or backup.endpoint == reg.endpoint:
            return
        deadline = asyncio.get_running_loop().time() + FREE_SECONDS
        attempt = live.ex.facts.attempt_id
        self._run(self._api.free(backup.address, attempt, deadline))

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something beside the requests, and keep it from being collected."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _leave_engine(self, live: LiveRun) -> None:
        """Begin to carry a run off its engine."""
        if live.move is None or _came_to_nothing(live.move):
            live.move = asyncio.ensure_future(self._carry_off(live))

    async def _carry_off(self, live: LiveRun) -> Copied | Switched | None:
        """Get a run off an engine that leaves."""
        source = live.reg
        await live.started.wait()
        for _ in range(SWITCH_TRIES):
            if live.backup is None or not self._registry.is_usable(live.backup):
                break
            # A copy is made as the run grows; right after the first event there is
            # none.
            await asyncio.sleep(COPY_AGE_SECONDS - live.age_seconds)
            switched = await self._switch(live, live.backup)
            if switched is not None:
                return switched
            await asyncio.sleep(SWITCH_PAUSE_SECONDS)
        if live.reg != source or source is None or not live.engine.can_move:
            return None
        if live.backup is not None:
            # The others must know that it takes its turn on the link.
            self._placer.forget_backup(live)
        return await self._move_in_turn(live, source)

    async def _leave_silent(self, live: LiveRun) -> Copied | Switched | None:
        """Go on from a copy, where there is one, as the engine sends nothing more."""
        if live.backup is None:
            return None
        live.ex.log("silent", endpoint=live.run.endpoint)
        return await self._switch(live, live.backup)

    async def _switch(self, live: LiveRun, backup: Registration) -> Switched | None:
        """Go on from a copy that grew elsewhere, and only then leave the engine.

        The copy may be missing. Were the engine left first, the run would be lost; as
        it is, both work on it for the few milliseconds until the answer's head comes.
        """
        name = wire.copy_name(backup.address, live.ex.facts.attempt_id)
        opened = await self._opener.open(live, backup, None, name)
        if isinstance(opened, Err):
            return None
        if live.stream is not None:
            live.stream.close()
        live.ex.log("switched", endpoint=backup.endpoint, n_events=live.n_events)
        return Switched(reg=backup, stream=opened.ok_value)

    async def _move_in_turn(self, live: LiveRun, source: Registration) -> Copied | None:
        """Move a run when those before it have left the engine's link."""
        await self._await_turn(live, source)
        if live.reg != source:
            return None
        return await self._move(live, source)

    async def _await_turn(self, live: LiveRun, source: Registration) -> None:
        """Wait until the moves before this one are done, or given up."""
        loop = asyncio.get_running_loop()
        turns = moving.Turns(run_id=live.run.run_id, engine=live.engine)
        while live.reg == source:
            if turns.may_begin(self._loads.on_engine(source.endpoint), loop.time()):
                break
            await asyncio.sleep(TURN_SECONDS)

    async def _move(self, live: LiveRun, source: Registration) -> Copied | None:
        """Copy a run to an engine with room; one that refuses is not asked again."""
        excluded = {source.endpoint}
        deadline = asyncio.get_running_loop().time() + COPY_SECONDS
        for _ in range(MAX_REFUSED):
            target = self._placer.move_target(live, source, excluded)
            if target is None:
                live.ex.log("move_no_room", endpoint=source.endpoint)
                return None
            if not self._is_in_time(live, source, target):
                # A copy that is cut off by its engine's end takes memory at the other
                # one for seconds, and holds up those behind it.
                live.ex.log("move_too_late", endpoint=source.endpoint)
                return None
            # The other nodes see the room taken before the run is there.
            live.backup = target
            self._placer.share(live, is_reading=False, is_moving=True)
            copied = await self._copy_and_stop(live, source, target, deadline)
            if isinstance(copied, Ok):
                return copied.ok_value
            live.backup = None
            if copied.err_value.status != 503:
                return None
            excluded.add(target.endpoint)
        return None

    def _is_in_time(
        self, live: LiveRun, source: Registration, target: Registration
    ) -> bool:
        leaves_at = self._leaves_at.get(source.endpoint)
        if leaves_at is None:
            return True
        is_far = source.failure_domain != target.failure_domain
        seconds = moving.copy_seconds(live.run, live.engine, is_far=is_far)
        return asyncio.get_running_loop().time() + seconds < leaves_at

    async def _ask_end(self, reg: Registration) -> None:
        """Ask an engine that leaves when it will be gone."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(REPORT_LAG_SECONDS)
        asked_at = loop.time()
        answered = await self._api.report(reg, asked_at + REPORT_SECONDS)
        if isinstance(answered, Err) or answered.ok_value.leaves_in_seconds is None:
            return
        # The report is some hundred milliseconds old, so the end is no later than this.
        self._leaves_at[reg.endpoint] = asked_at + answered.ok_value.leaves_in_seconds
        log_message(
            "relay:engine:end_known",
            endpoint=reg.endpoint,
            seconds=answered.ok_value.leaves_in_seconds,
        )

    async def _copy_and_stop(
        self,
        live: LiveRun,
        source: Registration,
        target: Registration,
        deadline: float,
    ) -> Result[Copied, MoveFailed]:
        """Copy a run while it goes on, then stop it and copy what is new."""
        moved: wire.Moved | None = None
        loop = asyncio.get_running_loop()
        for is_last in (False, True):
            began_at = loop.time()
            copied = await self._api.copy(
                source.address,
                live.ex.facts.attempt_id,
                target.address,
                is_last=is_last,
                deadline=deadline,
            )
            if isinstance(copied, Err):
                if moved is not None:
                    # The first copy would take memory there for seconds.
                    for end in (source, target):
                        self._run(self._api.free(end.address, moved.handle, deadline))
                live.ex.log(
                    "move_failed",
                    endpoint=source.endpoint,
                    target=target.endpoint,
                    reason=copied.err_value.reason,
                    status=copied.err_value.status,
                    is_last=is_last,
                )
                handle = copied.err_value.handle
                if is_last and handle is not None:
                    name = wire.copy_name(source.address, handle)
                    return Ok(Copied(reg=source, name=name))
                return Err(copied.err_value)
            moved = copied.ok_value
            live.ex.log(
                "copied",
                endpoint=source.endpoint,
                target=target.endpoint,
                seconds=round(loop.time() - began_at, 4),
                n_tokens=live.run.n_tokens,
                is_last=is_last,
            )
        assert moved is not None
        name = wire.copy_name(source.address, moved.handle)
        return Ok(Copied(reg=target, name=name))


def _came_to_nothing(move: asyncio.Task[Copied | Switched | None]) -> bool:
    if not move.done() or move.cancelled():
        return False
    return move.exception() is not None or move.result() is None
