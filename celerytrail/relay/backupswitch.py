"""Switches runs to their backups, so that none goes on at two engines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from ..http.client import Stream
from ..model import Registration
from ..platform import wire
from .engineopener import EngineOpener
from .liverun import Copied, LiveRun, Prepared, Switched
from .outcomes import Failed, NotExecuted
from .runstops import RunStop, RunStops

Opening = asyncio.Task[Result[Stream, NotExecuted | Failed]]
Settling = asyncio.Task[RunStop | None]

# How long a run's engine works on beside its backup until that has begun to answer, in
# seconds. The backup may refuse the run meanwhile, which then goes on as before.
OVERLAP_SECONDS = 0.15
# How long an engine may take to stop a run before the run's connection is closed, in
# seconds. A stopped engine keeps the run's memory, and one that drops it doesn't.
CLOSE_SECONDS = 0.1
# How long a backup may take to answer if the run can go on elsewhere, in seconds.
HEAD_SECONDS = 1.0
# How long a run whose connection broke waits until its engine has stopped, in seconds.
SETTLE_SECONDS = 0.15
# How long a run waits that can only go on at an engine that is asked to stop it, in
# seconds.
UNSETTLED_SECONDS = 1.5
# How long the last copy of a run may take whose backup didn't take it, in seconds.
LAST_COPY_SECONDS = 1.0
# Reasons for which a run doesn't go on at its backup: that may still be at work on it,
# or the run has another engine by now.
UNSETTLED = "unsettled"
MOVED_ON = "moved_on"
# The backup answered with a failure, or not in time.
NO_STREAM = "no_stream"
NO_ANSWER = "no_answer"


class BackupSwitch:
    """Hands runs over to the engines that have their backups.

    Parameters
    ----------
    opener : EngineOpener
        Opens streams at the backups.
    stops : RunStops
        Stops the runs at the engines that they leave.
    choose_target : callable
        Returns the engine for a run that is moved off another one, none of those
        excluded; None without one.
    """

    def __init__(
        self,
        *,
        opener: EngineOpener,
        stops: RunStops,
        choose_target: Callable[[LiveRun, Registration, set[str]], Registration | None],
    ) -> None:
        self._opener = opener
        self._stops = stops
        self._choose_target = choose_target

    async def switch(
        self, live: LiveRun, backup: Registration
    ) -> Result[Switched | Copied, NotExecuted | Failed]:
        """Let a run go on at its backup, and stop it at its engine.

        The engine is left as soon as the backup answers, and is told to stop
        `OVERLAP_SECONDS` after the backup was sent the run. If the backup refuses it
        until then, it goes on where it is.

        Returns
        -------
        Result
            The stream of the backup, or the copy that the engine made when it stopped,
            if the backup didn't take the run.
        """
        source, stream = live.reg, live.stream
        assert source is not None
        if backup.endpoint in self._stops.unsettled(live):
            return Err(NotExecuted(reason=UNSETTLED))
        prepared = await self._opener.prepare(live, backup)
        if isinstance(prepared, Err):
            return prepared
        has_moved = live.reg is None or live.reg.endpoint != source.endpoint
        if has_moved or live.stream is not stream:
            self._opener.discard_prepared(prepared.ok_value)
            return Err(NotExecuted(reason=MOVED_ON))
        return await self._hand_over(live, source, stream, backup, prepared.ok_value)

    async def stop_and_copy(self, live: LiveRun, source: Registration) -> Copied:
        """Stop a run whose connection broke, and return the copy to go on from.

        Its engine may work on it. If it stops in time, its copy has all that it has
        made; else the backup has to do.
        """
        backup = live.backup
        assert backup is not None
        if backup.endpoint in self._stops.unsettled(live):
            stop = await self._stops.settle(live, backup, source, UNSETTLED_SECONDS)
            if stop is not None:
                self._stops.free(stop)
            self._stops.forget(live, backup)
        stop = await self._stops.settle(live, source, backup, SETTLE_SECONDS)
        if stop is not None and stop.copied is not None:
            if stop.copied.reg.endpoint == backup.endpoint:
                self._stops.free_backup(live, backup)
            return stop.copied
        return _backup_copy(live, source, backup)

    async def _hand_over(
        self,
        live: LiveRun,
        source: Registration,
        stream: Stream | None,
        backup: Registration,
        prepared: Prepared,
    ) -> Result[Switched | Copied, NotExecuted | Failed]:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        copied = _backup_copy(live, source, backup)
        opening: Opening = asyncio.ensure_future(
            self._opener.open_prepared(live, copied, prepared)
        )
        settling: Settling | None = None
        try:
            await asyncio.wait({opening}, timeout=OVERLAP_SECONDS)
            if not opening.done():
                settling = self._stop_source(live, source, backup)
                await self._await_late(stream, opening, settling)
        except asyncio.CancelledError:
            self._abandon(live, source, backup, opening)
            if settling is not None:
                settling.add_done_callback(self._free)
            raise
        opened: Result[Stream, NotExecuted | Failed] = Err(Failed(reason=NO_ANSWER))
        if not opening.cancelled():
            opened = opening.result()
        overlap = min(loop.time() - sent_at, OVERLAP_SECONDS)
        live.ex.observe_seconds("relay_switch_overlap", overlap)
        if isinstance(opened, Ok) and opened.ok_value.status != 200:
            opened.ok_value.close()
            opened = Err(Failed(reason=NO_STREAM))
        if isinstance(opened, Ok):
            if stream is not None:
                stream.close()
            if settling is not None:
                settling.add_done_callback(self._free)
            else:
                self._stops.stop(live, source, backup)
            live.ex.log(
                "switched",
                endpoint=backup.endpoint,
                version=backup.version,
                n_events=live.n_events,
                overlap_seconds=round(overlap, 3),
            )
            return Ok(Switched(reg=backup, stream=opened.ok_value))
        failure = opened.err_value
        live.ex.log(
            "switch_failed",
            endpoint=backup.endpoint,
            reason=failure.reason,
            overlap_seconds=round(overlap, 3),
            is_late=settling is not None,
        )
        if isinstance(failure, Failed):
            # The backup may work on it all the same.
            live.broken_at.add(backup.endpoint)
            try:
                await self._stop_backup(live, backup, source)
            except asyncio.CancelledError:
                if settling is not None:
                    settling.add_done_callback(self._free)
                raise
        stop = await settling if settling is not None else None
        if stop is not None and stop.copied is not None:
            return Ok(stop.copied)
        return opened

    def _stop_source(
        self, live: LiveRun, source: Registration, backup: Registration
    ) -> Settling:
        """Begin to stop a run at its engine, with a copy in case its backup fails."""
        excluded = {source.endpoint, backup.endpoint, *live.broken_at}
        target = self._choose_target(live, source, excluded) or backup
        return asyncio.ensure_future(
            self._stops.settle(live, source, target, LAST_COPY_SECONDS)
        )

    async def _await_late(
        self, stream: Stream | None, opening: Opening, settling: Settling
    ) -> None:
        """Wait for a backup that takes long to answer, while its run is stopped.

        It is given up if it doesn't answer though there is a copy to go on from.
        """
        waiting: set[asyncio.Future[Any]] = {opening, settling}
        await asyncio.wait(
            waiting, timeout=CLOSE_SECONDS, return_when=asyncio.FIRST_COMPLETED
        )
        if stream is not None:
            stream.close()
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        if opening.done():
            return
        stop = settling.result()
        has_copy = stop is not None and stop.copied is not None
        await asyncio.wait({opening}, timeout=HEAD_SECONDS if has_copy else None)
        if not opening.done():
            opening.cancel()
            await asyncio.wait({opening})

    async def _stop_backup(
        self, live: LiveRun, backup: Registration, source: Registration
    ) -> None:
        stop = await self._stops.settle(live, backup, source, SETTLE_SECONDS)
        if stop is not None:
            self._stops.free(stop)

    def _free(self, settling: Settling) -> None:
        """Free the copy of a run that goes on without it."""
        if settling.cancelled() or settling.exception() is not None:
            return
        stop = settling.result()
        if stop is not None:
            self._stops.free(stop)

    def _abandon(
        self,
        live: LiveRun,
        source: Registration,
        backup: Registration,
        opening: Opening,
    ) -> None:
        """Stop a run at both engines whose caller doesn't wait for it any more."""
        opening.cancel()
        opening.add_done_callback(_close_stream)
        self._stops.stop(live, backup, source)
        self._stops.stop(live, source, backup)


def _backup_copy(live: LiveRun, source: Registration, backup: Registration) -> Copied:
    name = wire.copy_name(backup.address, live.ex.facts.attempt_id)
    return Copied(source=source, reg=backup, name=name)


def _close_stream(opening: Opening) -> None:
    if not opening.cancelled() and opening.exception() is None:
        opened = opening.result()
        if isinstance(opened, Ok):
            opened.ok_value.close()
