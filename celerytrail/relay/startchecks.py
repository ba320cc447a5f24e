"""Finds out which start of an engine runs a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from eliot import log_message
from result import Err, Ok, Result

from ..model import EngineReport, Incarnation, Registration
from .engineapi import EngineApi

# Requests that are sent to an engine within this time share one check, in seconds.
GATHER_SECONDS = 0.01
# Time after which an engine is asked for a report once more beside the first request,
# and the timeout of the second one, in seconds.
REPORT_SECONDS = 0.5
# Pauses before the first and at most before a later further request, and the time after
# which an engine isn't asked any more, in seconds.
RETRY_SECONDS = 0.03
MAX_RETRY_SECONDS = 1.0
GIVE_UP_SECONDS = 10.0
# How late a timeout is that passed while the process stood still, and how long a check
# may still take then, in seconds.
STALL_SECONDS = 0.05
GRACE_SECONDS = 0.3


class StartChecks:
    """Asks engines for their start, beside the requests that they have just got.

    An engine that starts again under its id and address has its former row, and so its
    former version, until it writes the next one. A request names the id only, so either
    start runs it. A report that is asked for after the request was sent, and that names
    the row's start, shows that this start runs it: connections to a former one are
    gone.

    Parameters
    ----------
    api : EngineApi
        Reads reports, which name the start.
    is_paused : callable
        Returns whether an engine wants no requests from this node now.
    on_superseded : callable
        Called with the registration of a start that another one has followed.
    """

    def __init__(
        self,
        *,
        api: EngineApi,
        is_paused: Callable[[Registration], bool],
        on_superseded: Callable[[Registration], None],
    ) -> None:
        self._api = api
        self._is_paused = is_paused
        self._on_superseded = on_superseded
        self._gathering: dict[Incarnation, asyncio.Task[int | None]] = {}

    def begin(self, reg: Registration) -> asyncio.Task[int | None]:
        """Begin to ask an engine for its start; called once a request is sent.

        Returns
        -------
        asyncio.Task
            Its result is the start, in Unix milliseconds, or None if it isn't known.
        """
        check = self._gathering.get(reg.incarnation)
        if check is None:
            check = asyncio.ensure_future(self._check(reg))
            self._gathering[reg.incarnation] = check
        return check

    @staticmethod
    async def wait(check: asyncio.Task[int | None], seconds: float) -> int | None:
        """Wait for a check, and return its result; None if it has none in time.

        What arrived while the process stood still is read only after the timeout has
        passed, so a late timeout allows a moment for that.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        await asyncio.wait({check}, timeout=seconds)
        if not check.done() and loop.time() - ends_at >= STALL_SECONDS:
            await asyncio.wait({check}, timeout=GRACE_SECONDS)
        return check.result() if check.done() else None

    def record(self, reg: Registration, started_at: int | None) -> None:
        """Record the start that an engine's report names."""
        if started_at is not None and started_at > reg.started_at:
            log_message(
                "relay:engine:superseded",
                endpoint=reg.endpoint,
                started_at=started_at,
                former=reg.started_at,
            )
            self._on_superseded(reg)

    async def _check(self, reg: Registration) -> int | None:
        loop = asyncio.get_running_loop()
        gives_up_at = loop.time() + GIVE_UP_SECONDS
        try:
            await asyncio.sleep(GATHER_SECONDS)
        finally:
            del self._gathering[reg.incarnation]
        pause_seconds = RETRY_SECONDS
        answered = await self._report(reg)
        while isinstance(answered, Err):
            log_message(
                "relay:start:unknown", endpoint=reg.endpoint, reason=answered.err_value
            )
            await asyncio.sleep(pause_seconds)
            if loop.time() >= gives_up_at or self._is_paused(reg):
                return None
            pause_seconds = min(2 * pause_seconds, MAX_RETRY_SECONDS)
            answered = await self._report(reg)
        started_at = answered.ok_value.started_at
        self.record(reg, started_at)
        return started_at

    async def _report(self, reg: Registration) -> Result[EngineReport, str]:
        """Read a report, over a second connection if the first one brings none yet.

        Connections may fall silent, and engines may be slow.
        """
        loop = asyncio.get_running_loop()
        first_deadline = loop.time() + 2 * REPORT_SECONDS
        first = asyncio.ensure_future(self._api.report(reg, first_deadline))
        requests = {first}
        try:
            done, pending = await asyncio.wait(requests, timeout=REPORT_SECONDS)
            if not done:
                second_deadline = loop.time() + REPORT_SECONDS
                requests.add(
                    asyncio.ensure_future(self._api.report(reg, second_deadline))
                )
                done, pending = await asyncio.wait(
                    requests, return_when=asyncio.FIRST_COMPLETED
                )
            for request in done:
                if isinstance(request.result(), Ok):
                    return request.result()
            return await (pending or done).pop()
        finally:
            for request in requests:
                request.cancel()
