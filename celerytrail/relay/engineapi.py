"""Control requests to engines: load reports, and copies of runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from eliot import log_message
from result import Err, Ok, Result

from ..http.client import ClientError, HttpClient, NotSent, RequestLost
from ..http.messages import JSON_TYPE, MAX_HEAD_BYTES, Response
from ..model import EngineReport, Registration
from ..platform import wire
from ..policies.reportpauses import ReportPauses
from ..policies.runstops import OrderEffect, judge_order
from ..types import Address

REPORT_SECONDS = 0.5
# Status of an engine that has stopped a run and keeps its memory, as there was no room
# for the copy.
KEPT_STATUS = 503
# A report lists an engine's runs by the ids that callers chose, and an id may be nearly
# as long as a head.
MAX_REPORT_BYTES = 32 * MAX_HEAD_BYTES
# Other answers name a copy of a run at most.
MAX_ANSWER_BYTES = 16 * 1024
# Why an engine wasn't asked for a report.
REPORTS_PAUSED = "reports_paused"

# Called with an engine's address, the head of its answer, and when it was asked.
AnswerRecorder = Callable[[Address, int, Mapping[str, str], float], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class CopyFailed:
    """A copy of a run failed.

    Where ``handle`` is set, the run was stopped nevertheless and can be resumed at its
    own engine under that name. ``was_sent`` is false if the engine can't have got the
    request.
    """

    reason: str
    status: int | None = None
    handle: str | None = None
    was_sent: bool = True


def effect_of(answered: Result[wire.CompletedMove, CopyFailed]) -> OrderEffect:
    """Return what a request for a last copy did to its run."""
    if isinstance(answered, Ok):
        return OrderEffect.STOPPED
    failed = answered.err_value
    return judge_order(
        status=failed.status,
        has_copy=failed.handle is not None,
        was_sent=failed.was_sent,
    )


class EngineApi:
    """Sends engines control requests about their load and their runs.

    Parameters
    ----------
    client : HttpClient
        Sends the requests, each over a connection of its own: engines return no attempt
        id on these, which would show an answer to an earlier one.
    on_answer : callable
        Called with each answer, which may state something of its engine.
    """

    def __init__(self, *, client: HttpClient, on_answer: AnswerRecorder) -> None:
        self._client = client
        self._on_answer = on_answer
        self._pauses = ReportPauses()
        self.n_reports = 0

    def close_retired(self) -> None:
        """Close the idle connections that must not be used again."""
        self._client.close_retired()

    async def report(
        self, reg: Registration, deadline: float
    ) -> Result[EngineReport, str]:
        """Read an engine's load report, unless its last ones couldn't be used."""
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        if not self._pauses.begin(reg.incarnation, asked_at):
            return Err(REPORTS_PAUSED)
        is_good: bool | None = None
        try:
            is_good, report = await self._read_report(reg, deadline)
            return report
        finally:
            self._pauses.end(
                reg.incarnation, asked_at=asked_at, now=loop.time(), is_good=is_good
            )

    async def _read_report(
        self, reg: Registration, deadline: float
    ) -> tuple[bool | None, Result[EngineReport, str]]:
        """Return a report, and whether the answer can be used; None without one."""
        self.n_reports += 1
        answered = await self._request(
            reg.address, "GET", wire.REPORT_PATH, deadline, n_max_bytes=MAX_REPORT_BYTES
        )
        if isinstance(answered, Err):
            failed = answered.err_value
            is_bad = isinstance(failed, RequestLost) and failed.is_bad_answer
            return False if is_bad else None, Err(failed.reason)
        if answered.ok_value.status != 200:
            return None, Err(f"status {answered.ok_value.status}")
        report = wire.decode_report(answered.ok_value.body)
        return isinstance(report, Ok), report

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
        body = wire.encode_move(attempt_id, target, is_last)
        answered = await self._request(source, "POST", wire.MOVE_PATH, deadline, body)
        if isinstance(answered, Err):
            lost = answered.err_value
            was_sent = not isinstance(lost, NotSent)
            return Err(CopyFailed(reason=lost.reason, was_sent=was_sent))
        res = answered.ok_value
        moved = wire.decode_completed_move(res.body)
        if res.status != 200 or isinstance(moved, Err):
            handle = None
            if res.status == KEPT_STATUS and isinstance(moved, Ok):
                handle = moved.ok_value.handle
            return Err(CopyFailed(reason="refused", status=res.status, handle=handle))
        return Ok(moved.ok_value)

    async def free_copy(self, source: Address, handle: str, deadline: float) -> None:
        """Free a copy that won't be used, at both engines."""
        path = wire.free_copy_path(handle)
        answered = await self._request(source, "DELETE", path, deadline)
        status = None if isinstance(answered, Err) else answered.ok_value.status
        log_message(
            "relay:copy:freed", engine=str(source), handle=handle, status=status
        )

    async def _request(
        self,
        address: Address,
        method: str,
        path: str,
        deadline: float,
        body: bytes = b"",
        *,
        n_max_bytes: int = MAX_ANSWER_BYTES,
    ) -> Result[Response, ClientError]:
        sent_at = asyncio.get_running_loop().time()
        headers = {"content-type": JSON_TYPE} if body else None
        answered = await self._client.request(
            address,
            method,
            path,
            body=body,
            headers=headers,
            deadline=deadline,
            n_max_bytes=n_max_bytes,
        )
        if isinstance(answered, Ok):
            res = answered.ok_value
            self._on_answer(address, res.status, res.headers, sent_at)
        return answered
