"""Opens the stream of a generation at one engine."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from result import Err, Ok, Result

from ..http.client import ClientError, HttpClient, NotSent, Stream
from ..http.messages import Connection
from ..model import Registration
from ..platform import wire
from ..policies.blockedprompts import Block
from ..policies.crashsuspects import LostRun
from ..policies.pace import AnswerKind
from .crashes.watch import CrashWatch
from .endpointanswers import MAX_REFUSAL_BYTES, EndpointAnswers
from .endpointgate import (
    ENDPOINT_CLOSED,
    ENDPOINT_LIMITED,
    PROMPT_BLOCKED,
    Admission,
    EndpointGate,
)
from .endpointpaces import EndpointPaces
from .liverun import Copied, LiveRun, Prepared
from .outcomes import BROKEN_OFF, Failed, NotExecuted
from .startchecks import StartChecks

# Reasons for which a request wasn't sent: it must not run at its engine's version, or
# that engine hasn't named its start.
OTHER_VERSION = "other_version"
START_UNKNOWN = "start_unknown"
# Longest wait of a run's first event for the start of its engine, in seconds: where it
# begins, and where it goes on, which it must not do at another version.
BEGIN_CHECK_SECONDS = 0.3
CONTINUE_CHECK_SECONDS = 1.5
# Longest wait for that start before a run leaves its engine, in seconds. Engines leave
# about two seconds after they say so.
PREPARE_CHECK_SECONDS = 1.0
# Connect timeout before another engine is tried, in seconds.
CONNECT_SECONDS = 0.25
# How long a run that continues at a cold engine waits until that may receive it, in
# seconds. The run would be lost otherwise.
COLD_WAIT_SECONDS = 1.2
# The same at an engine with a limit; engines keep copies for about five seconds.
LIMIT_WAIT_SECONDS = 4.0


@dataclass(kw_only=True, slots=True)
class _Sending:
    """A run that is being sent to an engine.

    ``obstacle`` is why it wasn't sent, None if it was, and ``check`` finds out which
    start of the engine runs it. ``sent_at`` and ``head_at`` are loop times.
    """

    live: LiveRun
    admission: Admission
    copied: Copied | None
    obstacle: str | None = None
    reserved: Connection | None = None
    check: asyncio.Task[int | None] | None = None
    sent_at: float = 0.0
    head_at: float = 0.0

    @property
    def is_new(self) -> bool:
        """Return whether the run may begin at any version."""
        return self.copied is None and self.live.binding.version is None


class EngineOpener:
    """Opens the streams of runs.

    Parameters
    ----------
    client : HttpClient
        Sends requests to engines.
    gate : EndpointGate
        Whether an engine may receive a request now.
    answers : EndpointAnswers
        Records what engines state in their answers.
    paces : EndpointPaces
        Told how engines answer.
    starts : StartChecks
        Finds out which start of an engine runs a request.
    watch : CrashWatch
        Finds out why an engine broke off an answer.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        gate: EndpointGate,
        answers: EndpointAnswers,
        paces: EndpointPaces,
        starts: StartChecks,
        watch: CrashWatch,
    ) -> None:
        self._client = client
        self._gate = gate
        self._answers = answers
        self._paces = paces
        self._starts = starts
        self._watch = watch

    async def prepare(
        self, live: LiveRun, reg: Registration
    ) -> Result[Prepared, NotExecuted]:
        """Prepare an engine for a run that is still at work at another one.

        Whatever takes time is done before anything is sent, so that the run leaves its
        engine for an answer that comes at once.
        """
        admission = await self._admit_copy(live, reg)
        if admission is None:
            return Err(NotExecuted(reason=ENDPOINT_LIMITED))
        prepared: Prepared | None = None
        conn: Connection | None = None
        try:
            reserved = await self._client.reserve(
                reg.address,
                live.ex.facts.attempt_id,
                deadline=live.ex.loop_deadline,
                connect_seconds=CONNECT_SECONDS,
            )
            if isinstance(reserved, Err):
                return Err(self._on_unprepared(live, reg, reserved.err_value.reason))
            conn = reserved.ok_value
            is_tunnel = conn.is_retired
            # Asked for behind the connection, the report is of the start that has it.
            check = self._starts.begin(reg)
            started_at = await self._starts.wait(check, PREPARE_CHECK_SECONDS)
            if started_at != reg.started_at:
                live.ex.log(
                    "start_unknown", endpoint=reg.endpoint, started_at=started_at
                )
                return Err(self._on_unprepared(live, reg, START_UNKNOWN))
            prepared = Prepared(admission=admission, conn=conn, is_tunnel=is_tunnel)
            return Ok(prepared)
        finally:
            if prepared is None:
                self._gate.end(admission)
                if conn is not None:
                    conn.close()

    def discard_prepared(self, prepared: Prepared) -> None:
        """Give back what was prepared for a run that doesn't use it."""
        self._gate.end(prepared.admission)
        prepared.conn.close()

    @staticmethod
    def _on_unprepared(live: LiveRun, reg: Registration, reason: str) -> NotExecuted:
        live.ex.log("unprepared", endpoint=reg.endpoint, reason=reason)
        return NotExecuted(reason=reason)

    async def _admit_copy(self, live: LiveRun, reg: Registration) -> Admission | None:
        """Wait until an engine may receive a run that goes on."""
        now = asyncio.get_running_loop().time()
        await self._gate.wait_for_share(reg, now + COLD_WAIT_SECONDS)
        admission = await self._gate.admit_until(
            reg, live.ex.prompt, now + LIMIT_WAIT_SECONDS
        )
        if admission is None:
            live.ex.log(
                "attempt_failed", endpoint=reg.endpoint, reason=ENDPOINT_LIMITED
            )
        return admission

    async def open_copy(
        self, live: LiveRun, copied: Copied
    ) -> Result[Stream, NotExecuted | Failed]:
        """Resume a generation from a copy, once its engine may receive it.

        An engine that was prepared receives it at once. If its connection has closed
        since, another one is made, and the engine's start is found out again.
        """
        prepared = copied.prepared
        if prepared is not None:
            if prepared.is_usable:
                return await self.open_prepared(live, copied, prepared)
            self.discard_prepared(prepared)
        admission = await self._admit_copy(live, copied.reg)
        if admission is None:
            return Err(NotExecuted(reason=ENDPOINT_LIMITED))
        return await self.open(live, admission, None, copied)

    async def open_prepared(
        self, live: LiveRun, copied: Copied, prepared: Prepared
    ) -> Result[Stream, NotExecuted | Failed]:
        """Resume a generation from a copy at an engine that was prepared for it."""
        return await self.open(
            live, prepared.admission, None, copied, reserved=prepared.conn
        )

    async def open(
        self,
        live: LiveRun,
        admission: Admission,
        backup: Registration | None,
        copied: Copied | None = None,
        *,
        reserved: Connection | None = None,
    ) -> Result[Stream, NotExecuted | Failed]:
        """Send a generation to an engine, to begin it or to resume it from a copy.

        Parameters
        ----------
        live : LiveRun
            The generation.
        admission : Admission
            The engine, and what admits the request there.
        backup : Registration or None
            The engine that receives a growing copy of the run, if any.
        copied : Copied or None
            The copy to resume from; None begins a new run.
        reserved : Connection or None
            A connection to the start of the engine that its row names.
        """
        opened: Result[Stream, NotExecuted | Failed] | None = None
        try:
            opened = await self._send(live, admission, backup, copied, reserved)
            return opened
        finally:
            if isinstance(opened, Ok):
                self.end(live)
                live.admission = admission
            else:
                if live.is_unanswered:
                    self._record_answer(live, admission.reg, None)
                is_refused = (
                    opened is not None
                    and isinstance(opened.err_value, NotExecuted)
                    and opened.err_value.was_sent
                )
                self._gate.end(admission, is_refused=is_refused)

    def record_lost(self, live: LiveRun, reg: Registration, reason: str) -> None:
        """Record that an engine's answer to a run broke off."""
        self._record_lost(live, reg, live.sent_at, reason)

    def _record_lost(
        self, live: LiveRun, reg: Registration, sent_at: float, reason: str
    ) -> None:
        if live.is_unanswered or reason == BROKEN_OFF:
            kind = AnswerKind.FAILED if reason == BROKEN_OFF else None
            self._record_answer(live, reg, kind)
        if reason == BROKEN_OFF:
            run = LostRun(prompt=live.ex.prompt, sent_at=sent_at)
            self._watch.record_lost(reg, run, live.n_events)

    def record_first_event(self, live: LiveRun) -> None:
        """Record that a run's engine has sent its first event."""
        if live.is_unanswered and live.reg is not None:
            self._record_answer(live, live.reg, AnswerKind.ANSWERED)

    def _record_answer(
        self, live: LiveRun, reg: Registration, kind: AnswerKind | None
    ) -> None:
        """Record how an engine answered a run; None tells nothing of the engine.

        An engine that leaves may break off its runs.
        """
        live.is_unanswered = False
        if kind is None or self._gate.is_leaving(reg):
            self._paces.end(reg, live.sent_at)
        else:
            self._paces.record_answer(reg, live.ex.route.name, live.sent_at, kind)

    def is_paused(self, reg: Registration) -> bool:
        """Return whether an engine wants no requests from this node now."""
        return self._gate.is_paused(reg)

    def find_block(self, live: LiveRun) -> Block | None:
        """Return what keeps a run from all engines, if anything does."""
        return self._gate.find_block(live.ex.prompt)

    def discard(self, admission: Admission) -> None:
        """Give back an admission that isn't used."""
        self._gate.end(admission)

    def end(self, live: LiveRun) -> None:
        """Record that a run is no longer at its engine."""
        if live.admission is not None:
            if live.is_unanswered:
                self._record_answer(live, live.admission.reg, None)
            self._gate.end(live.admission)
            live.admission = None

    async def _send(
        self,
        live: LiveRun,
        admission: Admission,
        backup: Registration | None,
        copied: Copied | None,
        reserved: Connection | None,
    ) -> Result[Stream, NotExecuted | Failed]:
        ex = live.ex
        reg = admission.reg
        if ex.seconds_left <= 0:
            if reserved is not None:
                reserved.close()
            return Err(Failed(reason="timeout"))
        sending = _Sending(
            live=live, admission=admission, copied=copied, reserved=reserved
        )
        facts = wire.ForwardMetadata(
            endpoint=reg.endpoint,
            budget_seconds=ex.seconds_left,
            organisation=ex.organisation,
            priority=ex.priority,
            backup=backup.address if backup else None,
            resume_from=copied.name if copied else None,
            last_event_id=live.last_event_id,
        )
        asked_at = asyncio.get_running_loop().time()
        opened = await self._client.open(
            reg.address,
            ex.req.method,
            ex.target,
            body=ex.req.body,
            headers=wire.forward_headers(ex.req, facts),
            deadline=ex.loop_deadline,
            connect_seconds=CONNECT_SECONDS,
            max_idle=self._gate.max_idle_connections(reg),
            request_id=ex.facts.attempt_id,
            may_send=lambda: self._begin_sending(sending),
            reserved=reserved,
        )
        if isinstance(opened, Err):
            return Err(self._on_unopened(sending, opened.err_value))
        stream = opened.ok_value
        sending.head_at = asyncio.get_running_loop().time()
        if self._answers.read(ex, reg, stream, asked_at):
            self._record_answer(live, reg, AnswerKind.REFUSED)
            if copied is None:
                live.n_attempts -= 1
            await stream.read(ex.loop_deadline, n_max_bytes=MAX_REFUSAL_BYTES)
            return Err(NotExecuted(reason="engine_refused", was_sent=True))
        live.n_runs += 1
        if stream.status != 200:
            is_failed = stream.status >= 500
            self._record_answer(live, reg, AnswerKind.FAILED if is_failed else None)
        if not await self._may_use(sending, stream):
            ex.log(
                "attempt_failed",
                endpoint=reg.endpoint,
                reason=OTHER_VERSION,
                copy=copied.name if copied else None,
            )
            return Err(Failed(reason=OTHER_VERSION))
        live.sent_at = sending.sent_at
        _log_placed(sending, backup, stream.status)
        return Ok(stream)

    def _begin_sending(self, sending: _Sending) -> bool:
        """Return whether a run may be sent now, and begin to check its engine's start.

        Called right before the first byte.
        """
        sending.obstacle = self._find_obstacle(sending)
        if sending.obstacle is not None:
            return False
        if sending.reserved is None:
            sending.check = self._starts.begin(sending.admission.reg)
        sending.sent_at = asyncio.get_running_loop().time()
        live = sending.live
        live.stop_orders.begin_stream(sending.admission.reg)
        if sending.copied is None:
            live.sent_at = sending.sent_at
            live.is_unanswered = True
            live.n_attempts += 1
            self._paces.begin(sending.admission.reg, live.sent_at)
        return True

    def _find_obstacle(self, sending: _Sending) -> str | None:
        """Return why a run may not be sent now; empty if its own request forbids it."""
        live, admission, copied = sending.live, sending.admission, sending.copied
        if copied is None:
            n_made_tokens = live.n_events * live.engine.n_event_tokens
            may_send = live.ex.may_send(n_made_tokens)
        else:
            may_send = live.ex.can_continue()
        if not may_send:
            return ""
        source = copied.source if copied is not None else None
        if not live.binding.allows(admission.reg, copied_from=source):
            return OTHER_VERSION
        gate = self._gate
        if (gate.may_begin if copied is None else gate.may_continue)(admission):
            return None
        is_blocked = gate.find_block(admission.prompt) is not None
        return PROMPT_BLOCKED if is_blocked else ENDPOINT_CLOSED

    def _on_unopened(self, sending: _Sending, exc: ClientError) -> NotExecuted | Failed:
        """Return the outcome of a run whose engine sent no head of an answer."""
        live, reg = sending.live, sending.admission.reg
        reason = sending.obstacle or exc.reason
        live.ex.log(
            "attempt_failed",
            endpoint=reg.endpoint,
            address=str(reg.address),
            reason=reason,
            was_sent=not isinstance(exc, NotSent),
            copy=sending.copied.name if sending.copied else None,
            digest=live.ex.facts.digest,
        )
        if isinstance(exc, NotSent):
            return NotExecuted(reason=reason)
        self._record_lost(live, reg, sending.sent_at, exc.reason)
        return Failed(reason=exc.reason)

    async def _may_use(self, sending: _Sending, stream: Stream) -> bool:
        """Return whether the caller may get an engine's answer; close it otherwise."""
        is_known = False
        try:
            is_known = sending.check is None or await self._is_known(
                sending.live, sending.admission.reg, sending.check, sending.is_new
            )
        finally:
            if not is_known:
                stream.close()
        return is_known

    async def _is_known(
        self,
        live: LiveRun,
        reg: Registration,
        check: asyncio.Task[int | None],
        is_new: bool,
    ) -> bool:
        """Return whether a run may go on at the start of an engine that runs it.

        A new one may do so at any start; its version isn't known then before that start
        has a row.
        """
        seconds = BEGIN_CHECK_SECONDS if is_new else CONTINUE_CHECK_SECONDS
        started_at = await self._starts.wait(check, seconds)
        if started_at == reg.started_at:
            return True
        live.ex.log("start_unknown", endpoint=reg.endpoint, started_at=started_at)
        if not is_new:
            return False
        live.set_unknown_version(reg, started_at)
        check.add_done_callback(lambda done: _confirm(live, reg, done))
        return True


def _log_placed(sending: _Sending, backup: Registration | None, status: int) -> None:
    live, reg, copied = sending.live, sending.admission.reg, sending.copied
    live.ex.log(
        "placed",
        endpoint=reg.endpoint,
        version=reg.version,
        started_at=reg.started_at,
        backup=backup.endpoint if backup else "",
        backup_version=backup.version if backup else "",
        resumes=live.ex.facts.resumed_attempt,
        last_event=live.last_event_id,
        copy=copied.name if copied else None,
        bound_to=live.binding.version,
        status=status,
        waited=round(live.waited_seconds, 3),
        n_queued_tokens=live.n_queued_tokens,
        head_seconds=round(sending.head_at - sending.sent_at, 3),
        check_seconds=round(asyncio.get_running_loop().time() - sending.head_at, 3),
    )


def _confirm(live: LiveRun, reg: Registration, check: asyncio.Task[int | None]) -> None:
    """Take the version from the row of an engine whose late report names its start."""
    if not check.cancelled() and check.result() == reg.started_at:
        live.confirm_version(reg)
