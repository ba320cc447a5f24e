"""Stops runs at engines that they leave or have left."""

from __future__ import annotations

import asyncio
import functools
from dataclasses import dataclass, field

from eliot import log_message
from result import Ok

from ..model import Registration
from ..platform import wire
from ..policies.runstops import GIVE_UP_SECONDS, StopState, judge_stop, next_pause
from ..supervision import BackgroundTasks
from .engineapi import CopyFailed, EngineApi, effect_of
from .liverun import Copied, LiveRun
from .outcomes import UNREACHABLE_REASONS

# How long an engine may take to drop the request of a closed connection before it is
# asked to stop the run, in seconds.
DROP_SECONDS = 0.02
# Timeout of one request, for the copy of a whole run, and for freeing a copy that isn't
# used, in seconds.
REQUEST_SECONDS = 4.0
FREE_TIMEOUT_SECONDS = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class RunStop:
    """What became of a run at an engine that was told to stop it.

    ``copied`` is the copy of it that the engine made when it stopped, if it did,
    ``n_created`` the events that the engine had made by then, if it says so, and
    ``failed`` the answer of an engine that hasn't copied it to another one.
    """

    state: StopState
    copied: Copied | None = None
    n_created: int | None = None
    failed: CopyFailed | None = None


@dataclass(kw_only=True, slots=True)
class _Stopping:
    """A run that an engine is being asked to stop.

    ``has_tried`` is set once the engine has answered, or wasn't reached. The copy that
    it makes is freed unless ``is_claimed``. It isn't asked again once the run
    ``goes_on`` there. ``latest`` is its latest answer.
    """

    live: LiveRun
    reg: Registration
    task: asyncio.Task[RunStop] | None = None
    has_tried: asyncio.Event = field(default_factory=asyncio.Event)
    is_claimed: bool = False
    goes_on: bool = False
    latest: RunStop | None = None


class RunStops:
    """Makes sure that engines don't work on runs that have left them.

    Nothing else orders engines to stop a run, so that each such order is recorded with
    the run before it is sent.

    A run doesn't go on at an engine that is being asked to stop it: the request would
    stop it there once more.

    Parameters
    ----------
    api : EngineApi
        Requests the last copies, before which engines stop the runs.
    """

    def __init__(self, *, api: EngineApi) -> None:
        self._api = api
        self._tasks = BackgroundTasks()
        # By attempt and endpoint, and the copies that nobody has awaited of runs that
        # are still there.
        self._stoppings: dict[tuple[str, str], _Stopping] = {}
        self._kept: dict[tuple[str, str], RunStop] = {}

    def unsettled(self, live: LiveRun) -> set[str]:
        """Return the engines that a run has left and at which it may still be."""
        attempt_id = live.ex.facts.attempt_id
        return {
            endpoint for attempt, endpoint in self._stoppings if attempt == attempt_id
        }

    def stop(
        self,
        live: LiveRun,
        reg: Registration,
        target: Registration,
        *,
        delay_seconds: float = DROP_SECONDS,
    ) -> None:
        """Stop a run at an engine, if that doesn't drop it by itself.

        Parameters
        ----------
        live : LiveRun
            The run.
        reg : Registration
            The engine, to which the run's connection was closed.
        target : Registration
            The engine for the copy that comes with a stop, and that is freed.
        delay_seconds : float
            How long the engine has to drop the run.
        """
        self._begin(live, reg, target, delay_seconds)

    async def settle(
        self,
        live: LiveRun,
        reg: Registration,
        target: Registration,
        seconds: float,
    ) -> RunStop | None:
        """Stop a run at an engine, and wait for the outcome.

        Returns
        -------
        RunStop or None
            None if the engine hasn't stopped it in time, or can't be reached; it is
            asked further then. The caller owns the copy, see `free`.
        """
        kept = self._kept.pop((live.ex.facts.attempt_id, reg.endpoint), None)
        if kept is not None:
            return kept
        stopping = self._begin(live, reg, target, 0.0)
        if stopping is None or stopping.task is None:
            return None
        stopping.is_claimed = True
        found: RunStop | None = None
        try:
            async with asyncio.timeout(seconds):
                await stopping.has_tried.wait()
            if stopping.task.done() and not stopping.task.cancelled():
                found = stopping.task.result()
            return found
        except TimeoutError:
            return None
        finally:
            if found is None:
                stopping.is_claimed = False
                if stopping.task.done():
                    self._keep_or_free(stopping, stopping.task)

    def latest_failure(self, live: LiveRun, reg: Registration) -> CopyFailed | None:
        """Return how the latest request to stop a run at an engine has failed."""
        stopping = self._stoppings.get((live.ex.facts.attempt_id, reg.endpoint))
        if stopping is None or stopping.latest is None:
            return None
        return stopping.latest.failed

    def forget(self, live: LiveRun, reg: Registration) -> None:
        """Ask an engine no more, since a run goes on there.

        A request that is under way may still stop it.
        """
        key = (live.ex.facts.attempt_id, reg.endpoint)
        stopping = self._stoppings.pop(key, None)
        if stopping is not None:
            stopping.goes_on = True

    def has_kept(self, live: LiveRun, reg: Registration) -> bool:
        """Return whether a run has been stopped with a copy that nobody has awaited."""
        return (live.ex.facts.attempt_id, reg.endpoint) in self._kept

    def free_kept(self, live: LiveRun) -> None:
        """Free the copies of a run that nobody has awaited."""
        attempt_id = live.ex.facts.attempt_id
        for key in [key for key in self._kept if key[0] == attempt_id]:
            self.free(self._kept.pop(key))

    def free(self, stop: RunStop) -> None:
        """Free the copy that came with a stop."""
        if stop.copied is not None:
            address, handle = stop.copied.source.address, stop.copied.handle
            deadline = asyncio.get_running_loop().time() + FREE_TIMEOUT_SECONDS
            self._tasks.spawn(self._api.free_copy(address, handle, deadline))

    def free_backup(self, live: LiveRun, reg: Registration) -> None:
        """Free the growing copy of a run that has stopped and doesn't use it."""
        deadline = asyncio.get_running_loop().time() + FREE_TIMEOUT_SECONDS
        attempt_id = live.ex.facts.attempt_id
        self._tasks.spawn(self._api.free_copy(reg.address, attempt_id, deadline))

    def _begin(
        self,
        live: LiveRun,
        reg: Registration,
        target: Registration,
        delay_seconds: float,
    ) -> _Stopping | None:
        if not live.engine.can_move:
            return None
        key = (live.ex.facts.attempt_id, reg.endpoint)
        stopping = self._stoppings.get(key)
        if stopping is None:
            stopping = _Stopping(live=live, reg=reg)
            self._stoppings[key] = stopping
            asking = self._ask(stopping, target, delay_seconds)
            stopping.task = asyncio.ensure_future(asking)
            ended = functools.partial(self._on_ended, key, stopping)
            stopping.task.add_done_callback(ended)
        return stopping

    def _on_ended(
        self, key: tuple[str, str], stopping: _Stopping, task: asyncio.Task[RunStop]
    ) -> None:
        if self._stoppings.get(key) is stopping:
            del self._stoppings[key]
        stopping.has_tried.set()
        if not task.cancelled() and (exc := task.exception()) is not None:
            attempt_id, endpoint = key
            log_message(
                "relay:stop_error",
                request=attempt_id,
                endpoint=endpoint,
                problem=repr(exc),
            )
        if not stopping.is_claimed:
            self._keep_or_free(stopping, task)

    def _keep_or_free(self, stopping: _Stopping, task: asyncio.Task[RunStop]) -> None:
        """Keep the copy of a run that hasn't left its engine, or free it.

        The run's stream is about to end, or the run is being resumed from an earlier
        copy at the same engine, which may have the same name.
        """
        if task.cancelled() or task.exception() is not None:
            return
        live, stop = stopping.live, task.result()
        if stop.copied is None:
            return
        engines = {stopping.reg.endpoint}
        if live.is_resuming:
            engines.add(stop.copied.reg.endpoint)
        if live.is_over or live.reg is None or live.reg.endpoint not in engines:
            self.free(stop)
            return
        self._kept[live.ex.facts.attempt_id, stopping.reg.endpoint] = stop

    async def _ask(
        self, stopping: _Stopping, target: Registration, delay_seconds: float
    ) -> RunStop:
        """Ask an engine until it says that it doesn't work on a run."""
        loop = asyncio.get_running_loop()
        live, reg = stopping.live, stopping.reg
        began_at = loop.time()
        stop = RunStop(state=StopState.UNKNOWN)
        while stop.state is StopState.UNKNOWN:
            await asyncio.sleep(delay_seconds)
            if stopping.goes_on or loop.time() - began_at >= GIVE_UP_SECONDS:
                break
            stop, was_reached = await self._request(live, reg, target)
            stopping.latest = stop
            if not was_reached:
                stopping.has_tried.set()
            delay_seconds = next_pause(delay_seconds)
        live.ex.log(
            "stopped",
            endpoint=reg.endpoint,
            state=stop.state.value,
            target=target.endpoint,
            seconds=round(loop.time() - began_at, 3),
        )
        return stop

    async def _request(
        self, live: LiveRun, reg: Registration, target: Registration
    ) -> tuple[RunStop, bool]:
        """Return what an engine says of a run, and whether it was reached."""
        with live.stop_orders.giving(reg) as order:
            answered = await self._api.copy(
                reg.address,
                live.ex.facts.attempt_id,
                target.address,
                is_last=True,
                deadline=asyncio.get_running_loop().time() + REQUEST_SECONDS,
            )
            order.settle(effect_of(answered))
        if isinstance(answered, Ok):
            moved = answered.ok_value
            copied = _copy_of(reg, target, moved.handle)
            state = StopState.STOPPED
            return RunStop(state=state, copied=copied, n_created=moved.n_events), True
        failed = answered.err_value
        state = judge_stop(status=failed.status, has_copy=failed.handle is not None)
        kept = None if failed.handle is None else _copy_of(reg, reg, failed.handle)
        was_reached = failed.reason not in UNREACHABLE_REASONS
        return RunStop(state=state, copied=kept, failed=failed), was_reached


def _copy_of(source: Registration, reg: Registration, handle: str) -> Copied:
    name = wire.copy_name(source.address, handle)
    return Copied(source=source, reg=reg, name=name, handle=handle)
