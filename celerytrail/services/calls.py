"""Runs calls to plain services, at most once for each idempotency key."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Literal
from urllib.parse import quote

from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..metrics import Metrics
from ..platform.client import Unavailable
from ..types import NotRun, Unknown
from .claims import (
    Claim,
    Decision,
    Held,
    InProgress,
    KeyReused,
    NeverKnown,
    Outcome,
    Proceed,
    Replay,
    as_answered,
    as_not_run,
    as_unknown,
    decide,
    decide_for_other_attempt,
    hash_body,
    row_key,
)
from .claimstore import ClaimStore, ClaimUnavailable
from .outcomes import Answered, CallInProgress, CallResult, ServiceCall
from .recorder import ClaimRecorder
from .sender import CallSender

CLAIM_TIMEOUT_SECONDS = 2.0
CLAIM_RETENTION_SECONDS = 7 * 24 * 3600.0
MAX_IN_PROGRESS = 1_000
MAX_PROGRESS_RETRY_SECONDS = 5.0

CallState = Literal["answered", "in_progress", "not_run", "unknown"]


@dataclass(frozen=True, kw_only=True, slots=True)
class CallStatus:
    """The known state of a call that was made with an idempotency key.

    Parameters
    ----------
    state : {"answered", "in_progress", "not_run", "unknown"}
        A call that is ``not_run`` may be retried with the same key.
    operation : str
        The operation that was called.
    outcome : Outcome or None
        The endpoint's answer, where it is known.
    reason : str
        Why the call was not run or its outcome is unknown.
    retry_after : float or None
        Seconds after which another status request may return a newer state.
    """

    state: CallState
    operation: str
    outcome: Outcome | None = None
    reason: str = ""
    retry_after: float | None = None


class ServiceCalls:
    """Runs calls and reports the outcome of earlier ones.

    Each keyed call runs in a task of its own, from its claim to the record of its
    outcome. Only that task decides whether to send, and "not run" is reported only
    after it has returned. No call is therefore sent after it was reported as not run,
    however long the process is paused and whether or not the caller is connected.

    Parameters
    ----------
    node_id : str
        Identifies this process in claims.
    claims : ClaimStore
        Acquires claims.
    recorder : ClaimRecorder
        Records the outcome of claims.
    sender : CallSender
        Sends calls to endpoints.
    clock : Clock
        Its monotonic time must be the event loop's.
    rng : random.Random
        Generates attempt ids, which must be unique across processes.
    metrics : Metrics or None
        Counts claims, refusals and unknown outcomes.
    max_in_progress : int
        Limit of concurrent calls; further calls are shed.
    """

    def __init__(
        self,
        *,
        node_id: str,
        claims: ClaimStore,
        recorder: ClaimRecorder,
        sender: CallSender,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics | None = None,
        max_in_progress: int = MAX_IN_PROGRESS,
    ) -> None:
        self._node_id = node_id
        self._claims = claims
        self._recorder = recorder
        self._sender = sender
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._max_in_progress = max_in_progress
        self._tasks: set[asyncio.Task[CallResult]] = set()

    @property
    def n_in_progress(self) -> int:
        """Return the number of calls in progress."""
        return len(self._tasks)

    async def call(self, call: ServiceCall) -> CallResult:
        """Run a call, which continues if the awaiting task is cancelled."""
        if len(self._tasks) >= self._max_in_progress:
            refusal = NotRun(reason="shed", retry_after=1.0)
            return self._count(Err(refusal))
        task = asyncio.get_running_loop().create_task(self._run(call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def status(
        self, organisation: str, service: str, key: str, deadline: float
    ) -> Result[CallStatus | None, Unavailable]:
        """Return the state of a keyed call, or None where no claim is on record.

        A result that this process has not yet written to the table takes precedence
        over the table's row.
        """
        own = self._recorder.pending_claim(row_key(organisation, key))
        if own is not None and own.service == service and own.state != "not_run":
            return Ok(self._status_of(own))
        read = await self._claims.read(row_key(organisation, key), deadline)
        if isinstance(read, Err):
            return Err(read.err_value)
        if read.ok_value is None or read.ok_value[0].service != service:
            return Ok(None)
        current = read.ok_value[0]
        # A later attempt with the same key may have run although this node's attempt
        # did not, so "not run" is reported only while the row is this attempt's.
        if own is not None and own.attempt == current.attempt:
            current = own
        return Ok(self._status_of(current))

    async def drain(self, deadline: float) -> None:
        """Wait for all calls, then write pending records until ``deadline``."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))
        await self._recorder.drain(deadline)

    async def _run(self, call: ServiceCall) -> CallResult:
        try:
            if call.key is None:
                return self._count(await self._run_plain(call))
            return self._count(await self._run_keyed(call, call.key))
        except Exception as exc:
            # After a bug in this code the call may or may not have been sent.
            log_message("services:call_failed", problem=repr(exc))
            return Err(Unknown(reason="internal", status_path=_status_path(call)))

    async def _run_plain(self, call: ServiceCall) -> CallResult:
        attempt = self._new_attempt()
        sent = await self._sender.send(call, attempt, is_idempotent=True)
        return sent.map(lambda outcome: Answered(outcome=outcome))

    async def _run_keyed(self, call: ServiceCall, key: str) -> CallResult:
        claim = self._new_claim(call)
        claim_key = row_key(call.organisation, key)
        own = self._recorder.pending_claim(claim_key)
        if own is not None and own.state == "answered":
            now = self._clock.wall()
            return self._result_without_send(call, decide(claim, own, 0, now))
        # Refusing before the claim saves a write to the table.
        refusal = self._sender.refusal(call)
        if refusal is not None:
            return Err(refusal)
        claim_deadline = min(
            call.deadline, self._clock.monotonic() + CLAIM_TIMEOUT_SECONDS
        )
        acquired = await self._claims.acquire(claim_key, claim, claim_deadline)
        if isinstance(acquired, Err):
            return self._refuse_unclaimed(claim_key, claim, acquired.err_value)
        decision = acquired.ok_value
        self._count_claim(type(decision).__name__)
        if not isinstance(decision, Held):
            return self._result_without_send(call, decision)
        # From here on only this task may send under the claim, which no other attempt
        # can replace.
        sent = await self._sender.send(call, claim.attempt, is_idempotent=False)
        match sent:
            case Ok(outcome):
                final = as_answered(claim, outcome)
                result: CallResult = Ok(Answered(outcome=outcome))
            case Err(NotRun() as not_run):
                final = as_not_run(claim, not_run.reason)
                result = Err(not_run)
            case Err(Unknown(reason=reason, detail=detail)):
                final = as_unknown(claim, reason)
                result = Err(
                    Unknown(
                        reason=reason, detail=detail, status_path=_status_path(call)
                    )
                )
        await self._recorder.record(claim_key, final, decision.version)
        return result

    def _refuse_unclaimed(
        self, claim_key: str, claim: Claim, failure: ClaimUnavailable
    ) -> CallResult:
        """Refuse the request and, if its claim may still appear, release that later."""
        self._count_claim(failure.reason)
        if failure.in_doubt_base_version is not None:
            final = as_not_run(claim, failure.reason)
            self._recorder.enqueue(claim_key, final, failure.in_doubt_base_version)
        # The refusal concerns this request only. A caller that took it as the state of
        # the key might repeat, under another key, a call that has already run.
        detail = (
            "the key could not be claimed, so this request was not sent; an earlier "
            "one with the same key may have run, so come back with the same key"
        )
        return Err(
            NotRun(
                reason=failure.reason, detail=detail, retry_after=failure.retry_after
            )
        )

    def _result_without_send(self, call: ServiceCall, decision: Decision) -> CallResult:
        """Return the result of a decision that does not allow the call to be sent."""
        match decision:
            case Replay(outcome=outcome):
                return Ok(Answered(outcome=outcome, is_replayed=True))
            case KeyReused():
                return Err(decision)
            case InProgress(outcome_due_at=outcome_due_at):
                seconds = self._progress_retry_seconds(outcome_due_at)
                return Err(
                    CallInProgress(
                        status_path=_status_path(call) or "", retry_after=seconds
                    )
                )
            case NeverKnown(reason=reason):
                return Err(Unknown(reason=reason, status_path=_status_path(call)))
            case _:
                raise AssertionError(f"{decision} requires the call to be sent")

    def _status_of(self, claim: Claim) -> CallStatus:
        operation = claim.operation
        match decide_for_other_attempt(claim, 0, self._clock.wall()):
            case Proceed():
                return CallStatus(
                    state="not_run", operation=operation, reason=claim.reason
                )
            case Replay(outcome=outcome):
                return CallStatus(
                    state="answered", operation=operation, outcome=outcome
                )
            case InProgress(outcome_due_at=outcome_due_at):
                return CallStatus(
                    state="in_progress",
                    operation=operation,
                    retry_after=self._progress_retry_seconds(outcome_due_at),
                )
            case NeverKnown(reason=reason):
                return CallStatus(
                    state="unknown",
                    operation=operation,
                    reason=reason,
                    retry_after=MAX_PROGRESS_RETRY_SECONDS,
                )

    def _progress_retry_seconds(self, outcome_due_at: float) -> float:
        remaining_seconds = max(outcome_due_at - self._clock.wall(), 0.1)
        return min(remaining_seconds, MAX_PROGRESS_RETRY_SECONDS)

    def _new_claim(self, call: ServiceCall) -> Claim:
        now = self._clock.wall()
        return Claim(
            organisation=call.organisation,
            service=call.service,
            operation=call.operation,
            body_hash=hash_body(call.operation, call.body),
            attempt=self._new_attempt(),
            node=self._node_id,
            claimed_at=now,
            deadline_at=call.deadline_at,
            expires_at=now + CLAIM_RETENTION_SECONDS,
        )

    def _new_attempt(self) -> str:
        return f"{self._node_id}-{self._rng.getrandbits(64):016x}"

    def _count(self, result: CallResult) -> CallResult:
        if self._metrics is not None and isinstance(result, Err):
            error = result.err_value
            if isinstance(error, NotRun):
                self._metrics.count("refusals", reason=error.reason)
            elif isinstance(error, Unknown):
                self._metrics.count("unknowns", reason=error.reason)
        return result

    def _count_claim(self, outcome: str) -> None:
        if self._metrics is not None:
            self._metrics.count("claims", outcome=outcome)


def _status_path(call: ServiceCall) -> str | None:
    if call.key is None:
        return None
    return f"/v1/services/{quote(call.service)}/calls/{quote(call.key, safe='')}"
