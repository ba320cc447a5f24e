"""Claims on idempotency keys: what a claim row says and what follows from it; pure.

A claim is one row in the platform's table. It is written before the call is sent and
belongs to one attempt for ever: no timeout takes it away, so an attempt that was
paused between its claim and its send may still send, and nobody else ever does. Only
the attempt itself releases the claim, after it has decided not to send.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from typing import Literal

import msgspec
from result import Err, Ok, Result

from ..types import Finding

CLAIM_PREFIX = "claims/"
MAX_KEY_CHARS = 200
MAX_OUTCOME_BYTES = 16 * 1024

ClaimState = Literal["claimed", "answered", "not_run", "unknown"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """The endpoint's answer.

    Parameters
    ----------
    status : int
        Its HTTP status.
    body : bytes
        Its body; empty where it was over `MAX_OUTCOME_BYTES` and so not kept.
    content_type : str
        The body's type.
    is_whole : bool
        Whether the body was kept.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    is_whole: bool = True

    def bounded(self) -> Outcome:
        """Return what of it is kept in the table."""
        if len(self.body) <= MAX_OUTCOME_BYTES:
            return self
        return replace(self, body=b"", is_whole=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """The value of a claim row.

    Parameters
    ----------
    organisation, service, operation : str
        Whose call it is and of what.
    body_hash : str
        Hash of operation and body, so that the key can't be used for another call.
    attempt : str
        The attempt that holds the claim; unique.
    node : str
        The node that runs the attempt.
    state : {"claimed", "answered", "not_run", "unknown"}
        ``claimed``: may be running; ``unknown``: was sent, the answer was lost.
    outcome : Outcome or None
        The endpoint's answer, where it is known.
    claimed_at, deadline_at, expires_at : float
        Wall times in seconds since the epoch: when it was claimed, after which it is
        not sent any more, and after which a finished claim may be deleted.
    reason : str
        Why it was not run or is unknown.
    settled_by : str
        The operator who settled it by hand, if one did.
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
    """The key is free: claim it with a check on this version."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Held:
    """The claim is this attempt's own, at this version."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Replay:
    """The call was answered before; this is the answer."""

    outcome: Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class InProgress:
    """Another attempt holds the claim and may still be running.

    Parameters
    ----------
    until_at : float
        Wall time after which its outcome can't be hoped for any more.
    """

    until_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class NeverKnown:
    """Another attempt held the claim and its outcome is not recorded."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyReused:
    """The key was used before for another call."""

    operation: str


Decision = Proceed | Held | Replay | InProgress | NeverKnown | KeyReused

# An outcome may be recorded a little after the deadline of the call itself.
RECORD_MARGIN_SECONDS = 5.0


def decide(asked: Claim, standing: Claim | None, version: int, now: float) -> Decision:
    """Tell what an attempt may do, given the row that stands.

    Parameters
    ----------
    asked : Claim
        The claim that the attempt would write.
    standing : Claim or None
        The row's value; None where there is no row.
    version : int
        The row's version.
    now : float
        Wall time in seconds since the epoch.
    """
    if standing is None:
        return Proceed(version=0)
    if standing.attempt == asked.attempt and standing.state == "claimed":
        return Held(version=version)
    if standing.body_hash != asked.body_hash or standing.service != asked.service:
        return KeyReused(operation=f"{standing.service}/{standing.operation}")
    return standing_decision(standing, version, now)


def standing_decision(
    standing: Claim, version: int, now: float
) -> Proceed | Replay | InProgress | NeverKnown:
    """Tell what a row says to anyone but the attempt that holds it."""
    if standing.state == "not_run":
        return Proceed(version=version)
    if standing.state == "answered" and standing.outcome is not None:
        return Replay(outcome=standing.outcome)
    until_at = standing.deadline_at + RECORD_MARGIN_SECONDS
    if standing.state == "claimed" and now < until_at:
        return InProgress(until_at=until_at)
    # No second run, however long it takes: the first may have had its effect.
    return NeverKnown(reason=standing.reason or "outcome_not_recorded")


def answered(claim: Claim, outcome: Outcome) -> Claim:
    """Return the row for a call that was answered."""
    return replace(claim, state="answered", outcome=outcome.bounded(), reason="")


def released(claim: Claim, reason: str) -> Claim:
    """Return the row for a call that was not run and may be tried again."""
    return replace(claim, state="not_run", outcome=None, reason=reason)


def in_doubt(claim: Claim, reason: str) -> Claim:
    """Return the row for a call that was sent and whose answer was lost."""
    return replace(claim, state="unknown", outcome=None, reason=reason)


def row_key(organisation: str, key: str) -> str:
    """Return the key of a claim's row; the caller's own key is only in its hash."""
    digest = hashlib.sha256(key.encode()).hexdigest()[:40]
    return f"{CLAIM_PREFIX}{organisation}/{digest}"


def hash_body(operation: str, body: bytes) -> str:
    """Return a hash that is the same for JSON that differs only in its layout."""
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        canonical = body
    else:
        canonical = msgspec.json.encode(value, order="sorted")
    return hashlib.sha256(operation.encode() + b"\0" + canonical).hexdigest()


def encode(claim: Claim) -> object:
    """Return a claim as the value of a row."""
    return msgspec.to_builtins(claim)


def decode(value: object, place: str) -> Result[Claim, Finding]:
    """Read the value of a claim's row."""
    try:
        return Ok(msgspec.convert(value, Claim))
    except msgspec.ValidationError as exc:
        return Err(Finding(place=place, problem=str(exc)))
