"""Control requests to engines: load reports, and copies of runs."""

from __future__ import annotations

from dataclasses import dataclass

from eliot import log_message
from result import Err, Ok, Result

from ..http.client import HttpClient
from ..model import EngineReport, Registration
from ..platform import wire
from ..types import Address

REPORT_SECONDS = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class CopyFailed:
    """A copy of a run failed.

    Where ``handle`` is set, the run was stopped nevertheless and can be resumed at its
    own engine under that name.
    """

    reason: str
    status: int | None = None
    handle: str | None = None


class EngineApi:
    """Sends engines control requests about their load and their runs.

    Parameters
    ----------
    client : HttpClient
        Sends the requests; engines return no attempt id on these.
    """

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client
        self.n_reports = 0

    def close_retired(self) -> None:
        """Close the idle connections that must not be used again."""
        self._client.close_retired()

    async def report(
        self, reg: Registration, deadline: float
    ) -> Result[EngineReport, str]:
        """Read an engine's load report."""
        self.n_reports += 1
        answered = await self._client.request(
            reg.address, "GET", wire.REPORT_PATH, deadline=deadline
        )
        if isinstance(answered, Err):
            return Err(answered.err_value.reason)
        if answered.ok_value.status != 200:
            return Err(f"status {answered.ok_value.status}")
        return wire.decode_report(answered.ok_value.body)

    async def copy(
        self,
        source: Address,
        attempt_id: str,
        target: Address,
        *,
        is_last: bool,
        deadline: float,
    ) -> Result[wire.CompletedMove, CopyFailed]:
        """Copy a run's memory to another engine; the last copy stops the run."""
        answered = await self._client.request(
            source,
            "POST",
            wire.MOVE_PATH,
            body=wire.encode_move(attempt_id, target, is_last),
            headers={"content-type": "application/json"},
            deadline=deadline,
        )
        if isinstance(answered, Err):
            return Err(CopyFailed(reason=answered.err_value.reason))
        res = answered.ok_value
        moved = wire.decode_completed_move(res.body)
        if res.status != 200 or isinstance(moved, Err):
            handle = None if isinstance(moved, Err) else moved.ok_value.handle
            return Err(CopyFailed(reason="refused", status=res.status, handle=handle))
        return Ok(moved.ok_value)

    async def free_copy(self, source: Address, handle: str, deadline: float) -> None:
        """Free a copy that won't be used, at both engines."""
        answered = await self._client.request(
            source, "DELETE", wire.free_copy_path(handle), deadline=deadline
        )
        status = None if isinstance(answered, Err) else answered.ok_value.status
        log_message(
            "relay:copy:freed", engine=str(source), handle=handle, status=status
        )
