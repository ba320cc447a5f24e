"""Opens the stream of a generation at one engine."""

from __future__ import annotations

from result import Err, Ok, Result

from ..http.client import HttpClient, NotSent, Stream
from ..model import Registration
from ..platform import wire
from .liverun import Failed, LiveRun, Refused

# Connect timeout before another engine is tried, in seconds.
CONNECT_SECONDS = 0.25


class EngineOpener:
    """Opens the streams of runs.

    Parameters
    ----------
    client : HttpClient
        Sends requests to engines.
    """

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client

    async def open(
        self,
        live: LiveRun,
        reg: Registration,
        backup: Registration | None,
        copy_name: str | None = None,
    ) -> Result[Stream, Refused | Failed]:
        """Send a generation to an engine, to begin it or to resume it from a copy.

        Parameters
        ----------
        live : LiveRun
            The generation.
        reg : Registration
            The engine.
        backup : Registration or None
            The engine that receives a growing copy of the run, if any.
        copy_name : str or None
            The copy to resume from; None begins a new run.
        """
        ex = live.ex
        if ex.seconds_left <= 0:
            return Err(Failed(reason="timeout"))
        facts = wire.ForwardMetadata(
            endpoint=reg.endpoint,
            budget_seconds=ex.seconds_left,
            organisation=ex.organisation,
            priority=ex.priority,
            backup=backup.address if backup else None,
            resume_from=copy_name,
            last_event_id=live.last_event_id,
        )
        opened = await self._client.open(
            reg.address,
            ex.req.method,
            ex.target,
            body=ex.req.body,
            headers=wire.forward_headers(ex.req, facts),
            deadline=ex.loop_deadline,
            connect_seconds=CONNECT_SECONDS,
            request_id=ex.facts.attempt_id,
            may_send=ex.can_continue if copy_name else ex.may_send,
        )
        if isinstance(opened, Err):
            exc = opened.err_value
            ex.log("attempt_failed", endpoint=reg.endpoint, reason=exc.reason)
            if isinstance(exc, NotSent):
                return Err(Refused(reason=exc.reason))
            return Err(Failed(reason=exc.reason))
        stream = opened.ok_value
        if wire.is_not_run(stream.status, stream.headers):
            ex.log("attempt_refused", endpoint=reg.endpoint, status=stream.status)
            await stream.read(ex.loop_deadline)
            return Err(Refused(reason="engine_refused", was_sent=True))
        live.n_runs += 1
        ex.log(
            "placed",
            endpoint=reg.endpoint,
            backup=backup.endpoint if backup else "",
            copy=copy_name,
            status=stream.status,
        )
        return Ok(stream)
