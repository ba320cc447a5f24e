"""Copies runs to other engines, in steps of which the last one stops them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok, Result

from ..model import Registration
from ..platform import wire
from ..policies import moving
from ..policies.runstops import StreamEnd
from ..supervision import BackgroundTasks
from .engineapi import CopyFailed, EngineApi
from .engineopener import EngineOpener
from .liverun import Copied, LiveRun, Prepared
from .outcomes import NotExecuted
from .runstops import RunStop, RunStops

# Timeout for freeing a copy, in seconds.
FREE_TIMEOUT_SECONDS = 0.5
# How long a run waits for its last copy, in seconds; it can go on from an earlier one.
LAST_COPY_SECONDS = 1.3
# Pause before a run is copied again of which it isn't known whether it was stopped, in
# seconds.
RENEWAL_PAUSE_SECONDS = 0.2
# How long a run whose stream has ended waits until it is known what stopped it, in
# seconds.
SETTLE_SECONDS = 0.3
# Why there is no last copy of a run: its engine hasn't answered.
UNSETTLED = "unsettled"

Preparing = asyncio.Task[Result[Prepared, NotExecuted]]


class RunCopies:
    """Copies runs to other engines before they go on there.

    Parameters
    ----------
    api : EngineApi
        Requests the copies that don't stop a run.
    opener : EngineOpener
        Prepares the target engines.
    stops : RunStops
        Requests the last copies, which stop the runs.
    stopping : StopPolicy
        Decides when a run is stopped for its last copy.
    remaining_seconds : callable
        Returns the time until a leaving engine shuts down, None if unknown.
    """

    def __init__(
        self,
        *,
        api: EngineApi,
        opener: EngineOpener,
        stops: RunStops,
        stopping: moving.StopPolicy,
        remaining_seconds: Callable[[Registration], float | None],
    ) -> None:
        self._api = api
        self._opener = opener
        self._stops = stops
        self._stopping = stopping
        self._remaining_seconds = remaining_seconds
        self._tasks = BackgroundTasks()

    async def copy_and_stop(
        self,
        live: LiveRun,
        source: Registration,
        target: Registration,
        deadline: float,
    ) -> Result[Copied, CopyFailed]:
        """Copy a run while it continues, then stop it and copy the rest.

        It is stopped only once the target is prepared for it.

        Parameters
        ----------
        live : LiveRun
            The run.
        source, target : Registration
            The engine that works on it, and the one that gets the copies.
        deadline : float
            Loop time by which all copies must be done.
        """
        preparing = asyncio.ensure_future(self._opener.prepare(live, target))
        copied: Result[Copied, CopyFailed] | None = None
        try:
            copied = await self._copy_in_steps(
                live, source, target, deadline, preparing
            )
            return copied
        finally:
            is_used = isinstance(copied, Ok) and copied.ok_value.prepared is not None
            if not is_used:
                preparing.cancel()
                preparing.add_done_callback(self._discard_prepared)

    async def find_copy(
        self,
        live: LiveRun,
        source: Registration,
        target: Registration | None,
        seconds: float = SETTLE_SECONDS,
    ) -> Copied | None:
        """Return the copy to go on from of a run that may have been stopped.

        Parameters
        ----------
        live : LiveRun
            The run, whose stream has ended.
        source : Registration
            The engine that worked on it.
        target : Registration or None
            The engine for a last copy, None without one.
        seconds : float
            How long to wait for that copy.

        Returns
        -------
        Copied or None
            None if it wasn't stopped, or nothing of it is known to exist.
        """
        end = live.stop_orders.judge_end(source)
        partial = live.partial_copy
        if end is StreamEnd.ENDED:
            return None
        stop: RunStop | None = None
        if partial is None or end is not StreamEnd.PENDING:
            target = partial.reg if partial is not None else target
            if target is not None:
                stop = await self._stops.settle(live, source, target, seconds)
        if stop is not None and stop.copied is not None:
            return self._use(live, stop.copied)
        # Whether the run ended or was stopped by an order whose answer was lost, this
        # is a part of it.
        live.partial_copy = None
        return partial

    def free_partial(self, live: LiveRun) -> None:
        """Free the copy that a run left at an engine where it doesn't go on."""
        partial, live.partial_copy = live.partial_copy, None
        if partial is not None:
            self.free(partial)

    def free(self, copied: Copied) -> None:
        """Free a copy that nobody uses, at both engines."""
        if copied.handle:
            self._free_at(copied.source, copied.handle)
            if copied.reg.endpoint != copied.source.endpoint:
                self._free_at(copied.reg, copied.handle)

    def _discard_prepared(self, preparing: Preparing) -> None:
        if preparing.cancelled() or preparing.exception() is not None:
            return
        prepared = preparing.result()
        if isinstance(prepared, Ok):
            self._opener.discard_prepared(prepared.ok_value)

    async def _copy_in_steps(
        self,
        live: LiveRun,
        source: Registration,
        target: Registration,
        deadline: float,
        preparing: Preparing,
    ) -> Result[Copied, CopyFailed]:
        n_copies = 0
        is_quick = False
        while not is_quick:
            copied = await self._copy(live, source, target, deadline)
            if isinstance(copied, Err):
                return self._on_copy_failed(live, source, target, copied.err_value)
            n_copies += 1
            is_quick = self._stopping.should_stop(
                n_copies, copied.ok_value, self._remaining_seconds(source)
            )
        prepared = await preparing
        if isinstance(prepared, Err):
            failed = CopyFailed(reason=prepared.err_value.reason, status=503)
            return self._on_copy_failed(live, source, target, failed)
        return await self._stop(live, source, target, prepared.ok_value)

    async def _copy(
        self,
        live: LiveRun,
        source: Registration,
        target: Registration,
        deadline: float,
    ) -> Result[float, CopyFailed]:
        """Copy a run while it goes on, and return how long that took, in seconds."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        copied = await self._api.copy(
            source.address,
            live.ex.facts.attempt_id,
            target.address,
            is_last=False,
            deadline=deadline,
        )
        if isinstance(copied, Err):
            return Err(copied.err_value)
        moved = copied.ok_value
        seconds = loop.time() - started_at
        _log_copied(live, source, target, seconds, moved.n_events, is_last=False)
        live.partial_copy = Copied(
            source=source,
            reg=target,
            name=wire.copy_name(source.address, moved.handle),
            handle=moved.handle,
        )
        return Ok(seconds)

    async def _stop(
        self,
        live: LiveRun,
        source: Registration,
        target: Registration,
        prepared: Prepared,
    ) -> Result[Copied, CopyFailed]:
        """Stop a run, and return the copy to go on from.

        As long as it isn't known whether the run was stopped, it is copied again: it
        may go on, and engines drop copies after some seconds.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        stop = await self._settle(live, source, target)
        while stop is None and not live.is_resuming:
            await asyncio.sleep(RENEWAL_PAUSE_SECONDS)
            renewed_by = loop.time() + LAST_COPY_SECONDS
            if isinstance(await self._copy(live, source, target, renewed_by), Err):
                break
            stop = await self._settle(live, source, target)
        failed = self._failure(live, source, stop)
        if failed is None:
            n_created = stop.n_created if stop is not None else None
            seconds = loop.time() - started_at
            _log_copied(live, source, target, seconds, n_created, is_last=True)
        else:
            _log_failed(live, source, target, failed, is_last=True)
        if stop is not None and stop.copied is not None:
            copied = self._use(live, stop.copied)
            if copied.reg.endpoint != target.endpoint:
                return Ok(copied)
            return Ok(replace(copied, prepared=prepared))
        if live.stop_orders.judge_end(source) is StreamEnd.ENDED:
            self.free_partial(live)
        partial = live.partial_copy
        if stop is None or partial is None:
            return Err(CopyFailed(reason=UNSETTLED))
        live.partial_copy = None
        return Ok(replace(partial, prepared=prepared))

    def _failure(
        self, live: LiveRun, source: Registration, stop: RunStop | None
    ) -> CopyFailed | None:
        """Return how an order for a last copy has failed, None if it hasn't."""
        if stop is not None:
            return stop.failed
        failed = self._stops.latest_failure(live, source)
        return failed or CopyFailed(reason=UNSETTLED)

    async def _settle(
        self, live: LiveRun, source: Registration, target: Registration
    ) -> RunStop | None:
        """Stop a run, and wait for the outcome while its stream hasn't ended."""
        settling = asyncio.ensure_future(
            self._stops.settle(live, source, target, LAST_COPY_SECONDS)
        )
        resuming = asyncio.ensure_future(live.resuming.wait())
        try:
            await asyncio.wait(
                {settling, resuming}, return_when=asyncio.FIRST_COMPLETED
            )
            return settling.result() if settling.done() else None
        finally:
            resuming.cancel()
            settling.cancel()

    def _use(self, live: LiveRun, copied: Copied) -> Copied:
        """Return a last copy, with which the earlier one isn't needed any more."""
        partial, live.partial_copy = live.partial_copy, None
        if partial is not None and partial.reg.endpoint != copied.reg.endpoint:
            # Freed at its source, it would go there as well, maybe with the run's
            # memory.
            self._free_at(partial.reg, partial.handle)
        return copied

    def _on_copy_failed(
        self,
        live: LiveRun,
        source: Registration,
        target: Registration,
        failed: CopyFailed,
    ) -> Err[CopyFailed]:
        """Free an incomplete copy, which would occupy memory for seconds."""
        _log_failed(live, source, target, failed, is_last=False)
        self.free_partial(live)
        return Err(failed)

    def _free_at(self, engine: Registration, handle: str) -> None:
        deadline = asyncio.get_running_loop().time() + FREE_TIMEOUT_SECONDS
        self._tasks.spawn(self._api.free_copy(engine.address, handle, deadline))


def _log_copied(
    live: LiveRun,
    source: Registration,
    target: Registration,
    seconds: float,
    n_created: int | None,
    *,
    is_last: bool,
) -> None:
    live.ex.log(
        "copied",
        endpoint=source.endpoint,
        version=source.version,
        target=target.endpoint,
        target_version=target.version,
        seconds=round(seconds, 4),
        n_tokens=live.run.n_tokens,
        n_created=n_created,
        n_events=live.n_events,
        is_last=is_last,
    )


def _log_failed(
    live: LiveRun,
    source: Registration,
    target: Registration,
    failed: CopyFailed,
    *,
    is_last: bool,
) -> None:
    live.ex.log(
        "move_failed",
        endpoint=source.endpoint,
        target=target.endpoint,
        reason=failed.reason,
        status=failed.status,
        was_sent=failed.was_sent,
        n_events=live.n_events,
        by_orders=live.stop_orders.judge_end(source).value,
        is_last=is_last,
    )
