"""Calls to plain services: at most once for a key, and honest about the outcome."""

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
    answered,
    decide,
    hash_body,
    in_doubt,
    released,
    row_key,
    standing_decision,
)
from .claimstore import ClaimStore, NotTaken
from .outcomes import Answered, CallInProgress, CallResult, ServiceCall
from .recorder import ClaimRecorder
from .sender import CallSender

CLAIM_SECONDS = 2.0
KEEP_SECONDS = 7 * 24 * 3600.0
MAX_IN_PROGRESS = 1_000
MAX_PROGRESS_RETRY_SECONDS = 5.0

StatusState = Literal["answered", "in_progress", "not_run", "unknown"]


@dataclass(frozen=True, kw_only=True, slots=True)
class CallStatus:
    """What is known of a keyed call.

    Parameters
    ----------
    state : {"answered", "in_progress", "not_run", "unknown"}
        ``not_run`` may be tried again with the same key.
    operation : str
        What was called.
    outcome : Outcome or None
        The answer, where it is known.
    reason : str
        Why it was not run or is unknown.
    retry_after : float or None
        Seconds after which asking again may tell more.
    """

    state: StatusState
    operation: str
    outcome: Outcome | None = None
    reason: str = ""
    retry_after: float | None = None


class ServiceCalls:
    """Makes calls.

    Each keyed call is run by one task of its own from claim to record. That task
    alone decides whether to send and, where it decides not to, has returned before
    anybody is told "not run"; so nothing can be sent after that was said, however
    long the process is paused, and whether or not the caller is still connected.

    Parameters
    ----------
    node_id : str
        Names this process in claims.
    claims : ClaimStore
        Takes claims.
    recorder : ClaimRecorder
        Records how they ended.
    sender : CallSender
        Sends calls.
    clock : Clock
        Its monotonic time must be the loop's.
    rng : random.Random
        Draws attempt ids; they must be unlike those of all other processes.
    metrics : Metrics or None
        Where outcomes are counted.
    max_in_progress : int
        Calls made at one time; more are refused at once.
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
        """Return how many calls are being made."""
        return len(self._tasks)

    async def call(self, call: ServiceCall) -> CallResult:
        """Make a call; with a key, it goes on even if whoever awaits it goes away."""
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
        """Tell what became of a keyed call; None where there is no claim on record.

        What this process knows goes before the table, which may not have heard yet.
        """
        own = self._recorder.known(row_key(organisation, key))
        if own is not None and own.service == service and own.state != "not_run":
            return Ok(self._status_of(own))
        read = await self._claims.read(row_key(organisation, key), deadline)
        if isinstance(read, Err):
            return Err(read.err_value)
        if read.ok_value is None or read.ok_value[0].service != service:
            return Ok(None)
        standing = read.ok_value[0]
        # That our attempt was not run says nothing of a later one with the same key,
        # so it is told only while no other attempt stands in the table.
        if own is not None and own.attempt == standing.attempt:
            standing = own
        return Ok(self._status_of(standing))

    async def drain(self, deadline: float) -> None:
        """Let every call end, then record what is left until ``deadline``."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))
        await self._recorder.drain(deadline)

    async def _run(self, call: ServiceCall) -> CallResult:
        try:
            if call.key is None:
                return self._count(await self._run_plain(call))
            return self._count(await self._run_keyed(call, call.key))
        except Exception as exc:
            # What a fault of ours has left behind nobody can tell, so say just that.
            log_message("services:call_failed", problem=repr(exc))
            return Err(Unknown(reason="internal", ask=_ask(call)))

    async def _run_plain(self, call: ServiceCall) -> CallResult:
        attempt = self._new_attempt()
        sent = await self._sender.send(call, attempt, is_idempotent=True)
        return sent.map(lambda outcome: Answered(outcome=outcome))

    async def _run_keyed(self, call: ServiceCall, key: str) -> CallResult:
        claim = self._new_claim(call)
        row = row_key(call.organisation, key)
        own = self._recorder.known(row)
        if own is not None and own.state == "answered":
            now = self._clock.wall()
            return self._refusal(call, decide(claim, own, 0, now))
        # What can be refused without a claim costs the table nothing.
        refusal = self._sender.refusal(call)
        if refusal is not None:
            return Err(refusal)
        until = min(call.deadline, self._clock.monotonic() + CLAIM_SECONDS)
        taken = await self._claims.take(row, claim, until)
        if isinstance(taken, Err):
            return self._not_taken(row, claim, taken.err_value)
        decision = taken.ok_value
        self._count_claim(type(decision).__name__)
        if not isinstance(decision, Held):
            return self._refusal(call, decision)
        # From here on this task alone may send under the claim, and nobody can take
        # the claim from it.
        sent = await self._sender.send(call, claim.attempt, is_idempotent=False)
        match sent:
            case Ok(outcome):
                final = answered(claim, outcome)
                result: CallResult = Ok(Answered(outcome=outcome))
            case Err(NotRun() as not_run):
                final = released(claim, not_run.reason)
                result = Err(not_run)
            case Err(Unknown(reason=reason, detail=detail)):
                final = in_doubt(claim, reason)
                result = Err(Unknown(reason=reason, detail=detail, ask=_ask(call)))
        await self._recorder.record(row, final, decision.version)
        return result

    def _not_taken(self, row: str, claim: Claim, why: NotTaken) -> CallResult:
        """Refuse; the claim, should it yet appear, is released in the background."""
        self._count_claim(why.reason)
        if why.maybe_base_version is not None:
            final = released(claim, why.reason)
            self._recorder.add(row, final, why.maybe_base_version)
        # The refusal is of this request alone; were it read as a word on the key, a
        # caller might send a call that has run once more, under another key.
        detail = (
            "the key could not be claimed, so this request was not sent; an earlier "
            "one with the same key may have run, so come back with the same key"
        )
        return Err(
            NotRun(reason=why.reason, detail=detail, retry_after=why.retry_after)
        )

    def _refusal(self, call: ServiceCall, decision: Decision) -> CallResult:
        match decision:
            case Replay(outcome=outcome):
                return Ok(Answered(outcome=outcome, is_replayed=True))
            case KeyReused():
                return Err(decision)
            case InProgress(until_at=until_at):
                seconds = self._progress_seconds(until_at)
                return Err(CallInProgress(ask=_ask(call) or "", retry_after=seconds))
            case NeverKnown(reason=reason):
                return Err(Unknown(reason=reason, ask=_ask(call)))
            case _:
                raise AssertionError(f"{decision} is no refusal")

    def _status_of(self, claim: Claim) -> CallStatus:
        operation = claim.operation
        match standing_decision(claim, 0, self._clock.wall()):
            case Proceed():
                return CallStatus(
                    state="not_run", operation=operation, reason=claim.reason
                )
            case Replay(outcome=outcome):
                return CallStatus(
                    state="answered", operation=operation, outcome=outcome
                )
            case InProgress(until_at=until_at):
                return CallStatus(
                    state="in_progress",
                    operation=operation,
                    retry_after=self._progress_seconds(until_at),
                )
            case NeverKnown(reason=reason):
                return CallStatus(
                    state="unknown",
                    operation=operation,
                    reason=reason,
                    retry_after=MAX_PROGRESS_RETRY_SECONDS,
                )

    def _progress_seconds(self, until_at: float) -> float:
        left = max(until_at - self._clock.wall(), 0.1)
        return min(left, MAX_PROGRESS_RETRY_SECONDS)

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
            expires_at=now + KEEP_SECONDS,
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


def _ask(call: ServiceCall) -> str | None:
    if call.key is None:
        return None
    return f"/v1/services/{quote(call.service)}/calls/{quote(call.key, safe='')}"
