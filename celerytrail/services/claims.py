"""Claims on idempotency keys: their rows and the decisions based on them, without I/O.

A claim is one row in the platform's table. It is written before the call is sent and
belongs to one attempt permanently. It has no timeout, so an attempt that was paused
between its claim and its send may still send, and no other attempt may. Only the
attempt itself releases the claim, after it has decided not to send.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from typing import Literal

import msgspec
from result import Err, Ok, Result

from ..decoding import decode_json
from ..types import Finding

CLAIM_PREFIX = "claims/"
MAX_KEY_CHARS = 200
MAX_OUTCOME_BYTES = 16 * 1024

ClaimState = Literal["claimed", "answered", "not_run", "unknown"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """The endpoint's answer to a call.

    Parameters
    ----------
    status : int
        The HTTP status.
    body : bytes
        The body; empty where it exceeded `MAX_OUTCOME_BYTES` and was not stored.
    content_type : str
        The body's content type.
    is_whole : bool
        Whether the body was stored.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    is_whole: bool = True

    def without_large_body(self) -> Outcome:
        """Return a copy for the table, without a body that is over the limit."""
        if len(self.body) <= MAX_OUTCOME_BYTES:
            return self
        return replace(self, body=b"", is_whole=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """The value of a claim row.

    Parameters
    ----------
    organisation, service, operation : str
        The calling organisation, and the service and operation that it calls.
    body_hash : str
        Hash of operation and body, which detects a key reused for another call.
    attempt : str
        Unique id of the attempt that holds the claim.
    node : str
        The node that runs the attempt.
    state : {"claimed", "answered", "not_run", "unknown"}
        ``claimed``: the call may be running; ``unknown``: it was sent and its answer
        was lost.
    outcome : Outcome or None
        The endpoint's answer, where it is known.
    claimed_at, deadline_at, expires_at : float
        Wall times in seconds since the epoch: of the claim, after which the call is no
        longer sent, and after which a finished claim may be deleted.
    reason : str
        Why the call was not run or its outcome is unknown.
    settled_by : str
        The operator who settled the claim manually, if any.
    """

    organisation: str
    service: str
    operation: str
    body_hash: str
    attempt: str
    node: str
    state: ClaimState = "claimed"
    outcome: Outcome | None = None
    claimed_at: float
    deadline_at: float
    expires_at: float
    reason: str = ""
    settled_by: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Proceed:
    """The key is free and may be claimed by replacing this version."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Held:
    """The attempt itself holds the claim, at this version."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Replay:
    """The call was answered before, with this outcome."""

    outcome: Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class InProgress:
    """Another attempt holds the claim and may still be running.

    Parameters
    ----------
    outcome_due_at : float
        Wall time by which the outcome is recorded, if it ever is.
    """

    outcome_due_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class NeverKnown:
    """Another attempt held the claim and its outcome is not known."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyReused:
    """The key was used before for another call, of this operation."""

    operation: str


Decision = Proceed | Held | Replay | InProgress | NeverKnown | KeyReused

# The outcome may be recorded after the deadline of the call itself.
RECORD_MARGIN_SECONDS = 5.0


def decide(
    requested: Claim, current: Claim | None, version: int, now: float
) -> Decision:
    """Decide what an attempt may do, given the current row.

    Parameters
    ----------
    requested : Claim
        The claim that the attempt would write.
    current : Claim or None
        The claim in the current row; None where there is no row.
    version : int
        The row's version.
    now : float
        Wall time in seconds since the epoch.
    """
    if current is None:
        return Proceed(version=0)
    if current.attempt == requested.attempt and current.state == "claimed":
        return Held(version=version)
    if current.body_hash != requested.body_hash or current.service != requested.service:
        return KeyReused(operation=f"{current.service}/{current.operation}")
    return decide_for_other_attempt(current, version, now)


def decide_for_other_attempt(
    current: Claim, version: int, now: float
) -> Proceed | Replay | InProgress | NeverKnown:
    """Decide what an attempt that does not hold the claim may do."""
    if current.state == "not_run":
        return Proceed(version=version)
    if current.state == "answered" and current.outcome is not None:
        return Replay(outcome=current.outcome)
    outcome_due_at = current.deadline_at + RECORD_MARGIN_SECONDS
    if current.state == "claimed" and now < outcome_due_at:
        return InProgress(outcome_due_at=outcome_due_at)
    # The call is never sent again, as the first attempt may have taken effect.
    return NeverKnown(reason=current.reason or "outcome_not_recorded")


def as_answered(claim: Claim, outcome: Outcome) -> Claim:
    """Return the claim of a call that was answered."""
    return replace(
        claim, state="answered", outcome=outcome.without_large_body(), reason=""
    )


def as_not_run(claim: Claim, reason: str) -> Claim:
    """Return the claim of a call that was not run and may be retried."""
    return replace(claim, state="not_run", outcome=None, reason=reason)


def as_unknown(claim: Claim, reason: str) -> Claim:
    """Return the claim of a call that was sent and whose answer was lost."""
    return replace(claim, state="unknown", outcome=None, reason=reason)


def row_key(organisation: str, key: str) -> str:
    """Return the key of a claim's row, which holds only a hash of the caller's key."""
    digest = hashlib.sha256(key.encode()).hexdigest()[:40]
    return f"{CLAIM_PREFIX}{organisation}/{digest}"


def hash_body(operation: str, body: bytes) -> str:
    """Return a hash of a call that ignores the layout of a JSON body."""
    decoded = decode_json(body, object)
    canonical = body
    if isinstance(decoded, Ok):
        canonical = msgspec.json.encode(decoded.ok_value, order="sorted")
    return hashlib.sha256(operation.encode() + b"\0" + canonical).hexdigest()


def encode(claim: Claim) -> object:
    """Return the row value of a claim."""
    return msgspec.to_builtins(claim)


def decode(value: object, place: str) -> Result[Claim, Finding]:
    """Decode a claim from a row value."""
    try:
        return Ok(msgspec.convert(value, Claim))
    except msgspec.ValidationError as exc:
        return Err(Finding(place=place, problem=str(exc)))
