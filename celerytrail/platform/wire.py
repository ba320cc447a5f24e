"""Headers, paths and bodies of the platform's HTTP interfaces, without decisions."""

from __future__ import annotations

import hashlib
import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import parse_qs, quote

import msgspec
from result import Err, Ok, Result

from ..decoding import Count, Milliseconds, contained
from ..http.messages import Request
from ..model import EndpointStatements, EngineReport, LoadHeader, RequestMetadata
from ..types import Address

MS = 0.001

# The id of an attempt, which the answer echoes; header names are in lower case.
ATTEMPT_HEADER = "x-attempt-id"
# The endpoint's seal, which shows that the answer is its own.
SEAL_HEADER = "x-response-seal"

_BUDGET = "x-time-budget-ms"
_TARGET = "x-target-instance"
_ORGANISATION = "x-tenant-id"
_PRIORITY = "x-request-priority"
_BACKUP = "x-kv-backup"
_RESUME_FROM = "kv-from"
_LAST_EVENT = "last-event-id"
_RESUMED = "resumes"
_NOT_RUN = "x-not-executed"
_COLD = "x-cold-ms"
_LIMIT = "server-limit"
_BRITTLE = "server-brittle"
_LEAVING = "server-leaving"
_RETRY_AFTER = "retry-after"
_LOAD = "x-worker-load"

# Longest pause that an endpoint may ask for, in seconds.
MAX_PAUSE_SECONDS = 3_600.0
# Bounds of the values in a load header: larger ones are faults of the endpoint, and
# would distort the estimates for seconds.
MAX_LOAD_COUNT = 100_000
MAX_LOAD_PERCENT = 10_000
MAX_LOAD_DIGITS = 9

# Headers that concern one connection only (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Headers that only the system may set; a caller's values for them are dropped.
_SYSTEM_HEADERS = frozenset(
    {
        "authorization",
        _BUDGET,
        _TARGET,
        _ORGANISATION,
        _PRIORITY,
        _BACKUP,
        _RESUME_FROM,
        _LAST_EVENT,
        "kv-fetch",
        "x-kv-hold",
        "x-pin-ms",
    }
)

# Headers that distinguish requests, beside their method, path and body.
_IDENTIFYING = ("host", "authorization", "x-model-name", "x-prompt-prefix")

READINESS_PATH = "/api/readiness"
ADDRESSES_PATH = "/api/resolve"
REPORT_PATH = "/api/report"
MOVE_PATH = "/api/kv-move"

_INTEGER = re.compile(r"-?[0-9]+")
_PREFIX_PART = re.compile(r"\s*([0-9a-fA-F]+):\d+\s*")
# Longer ids of prompt parts are replaced by digests of this many bytes.
MAX_PART_LENGTH = 32
PART_DIGEST_BYTES = 12
REQUEST_DIGEST_BYTES = 12


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardMetadata:
    """Metadata that the system adds to a request that it forwards.

    Parameters
    ----------
    endpoint : str
        The id of the target endpoint; any other endpoint refuses the request.
    budget_seconds : float
        What remains of the caller's time budget.
    organisation : str or None
        The organisation that holds the caller's key.
    priority : int or None
        The priority at the engine; 0 is the most urgent.
    backup : Address or None
        The engine to which the run's memory is replicated as it grows.
    resume_from : str or None
        The name of the copy from which the run resumes.
    last_event_id : str or None
        The id of the last event that the caller received.
    """

    endpoint: str
    budget_seconds: float
    organisation: str | None = None
    priority: int | None = None
    backup: Address | None = None
    resume_from: str | None = None
    last_event_id: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CompletedMove:
    """A completed copy of a run: its name and the number of events made so far."""

    handle: str
    n_events: int


def decode_request_metadata(req: Request) -> RequestMetadata:
    """Decode the caller's headers; values that can't be decoded count as missing."""
    headers = req.headers
    scheme, _, key = headers.get("authorization", "").partition(" ")
    prompt, _, output = headers.get("x-token-count", "").partition(",")
    hint = headers.get("x-length-hint", "")
    shared_parts, own_part = _decode_parts(headers.get("x-prompt-prefix", ""))
    return RequestMetadata(
        attempt_id=headers.get(ATTEMPT_HEADER, ""),
        budget_seconds=_milliseconds(headers.get(_BUDGET)),
        key=key.strip() if scheme.lower() == "bearer" and key.strip() else None,
        last_event_id=headers.get(_LAST_EVENT) or None,
        resumed_attempt=headers.get(_RESUMED) or None,
        n_prompt_tokens=_count(prompt),
        n_max_tokens=_count(output),
        n_hinted_tokens=_count(hint) if hint else None,
        shared_parts=shared_parts,
        own_part=own_part,
        digest=_request_digest(req),
    )


def _request_digest(req: Request) -> str:
    """Return a digest of what all attempts at a request have in common.

    Attempts differ in their ids, their budgets, and in where they resume a stream.
    """
    digest = hashlib.blake2b(digest_size=REQUEST_DIGEST_BYTES)
    fields = (req.method, req.path, req.query, *map(req.headers.get, _IDENTIFYING))
    for field in fields:
        data = (field or "").encode()
        digest.update(b"%d " % len(data))
        digest.update(data)
    digest.update(req.body)
    return digest.hexdigest()


def _decode_parts(text: str) -> tuple[tuple[str, ...], str]:
    """Decode the ids of a prompt's parts: the shared ones, and the last, its own.

    Entries that can't be decoded are skipped. Case and sizes don't distinguish parts.
    """
    matches = [_PREFIX_PART.fullmatch(entry) for entry in text.split(",")]
    ids = [_part_id(match[1]) if match else "" for match in matches]
    shared = dict.fromkeys(part for part in ids[:-1] if part)
    return tuple(shared), ids[-1]


def _part_id(text: str) -> str:
    if len(text) <= MAX_PART_LENGTH:
        return text.lower()
    digest = hashlib.blake2b(text.lower().encode(), digest_size=PART_DIGEST_BYTES)
    return f"~{digest.hexdigest()}"


def forward_headers(req: Request, facts: ForwardMetadata) -> list[tuple[str, str]]:
    """Return the headers for an endpoint: the caller's and the system's."""
    connection_headers = {
        name.strip().lower()
        for name in req.headers.get("connection", "").split(",")
        if name.strip()
    }
    dropped = (
        _HOP_BY_HOP | _SYSTEM_HEADERS | connection_headers - {ATTEMPT_HEADER, "host"}
    )
    pairs = [
        (name.decode("ascii"), value.decode("latin-1"))
        for name, value in req.raw_headers
        if name.decode("ascii").lower() not in dropped
    ]
    pairs.append((_BUDGET, str(max(1, int(facts.budget_seconds / MS)))))
    pairs.append((_TARGET, facts.endpoint))
    optional = (
        (_ORGANISATION, facts.organisation),
        (_PRIORITY, facts.priority),
        (_BACKUP, facts.backup),
        (_RESUME_FROM, facts.resume_from),
        (_LAST_EVENT, facts.last_event_id),
    )
    pairs += [(name, str(value)) for name, value in optional if value is not None]
    return pairs


def copy_name(address: Address, handle: str) -> str:
    """Return the name by which a run resumes from a copy."""
    return f"{address}/{handle}"


def answer_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of an endpoint's answer that are passed to the caller."""
    connection_headers = {
        name.strip().lower() for name in headers.get("connection", "").split(",")
    }
    dropped = _HOP_BY_HOP | connection_headers
    return {name: value for name, value in headers.items() if name not in dropped}


def is_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether an endpoint reports that it did not run the request.

    A 421 with the endpoint's seal and without that statement is an answer of its own.
    """
    return _NOT_RUN in headers or (status == 421 and SEAL_HEADER not in headers)


def decode_statements(status: int, headers: Mapping[str, str]) -> EndpointStatements:
    """Decode what an endpoint states about itself; unreadable values are ignored."""
    return EndpointStatements(
        cold_seconds=_milliseconds(headers.get(_COLD)) or 0.0,
        requests_per_second=_rate(headers.get(_LIMIT)),
        refusals_per_second=_rate(headers.get(_BRITTLE)),
        is_own=is_sealed_answer(headers)
        and not is_not_run(status, headers)
        and status != 421,
        pause_seconds=_pause_seconds(status, headers.get(_RETRY_AFTER)),
        is_leaving=headers.get(_LEAVING, "0").strip() not in ("", "0"),
    )


def is_sealed_answer(headers: Mapping[str, str]) -> bool:
    """Return whether an answer has an endpoint's seal and can be passed on."""
    return SEAL_HEADER in headers and "content-encoding" not in headers


def decode_load(headers: Mapping[str, str]) -> Result[LoadHeader, str] | None:
    """Decode the load that an endpoint states.

    Returns
    -------
    Result or None
        The load, or why the header is ignored; None if there is no header.
    """
    text = headers.get(_LOAD)
    if text is None:
        return None
    parts = [part.strip(" \t") for part in text.split(",")]
    if not all(map(_INTEGER.fullmatch, parts)):
        return Err("malformed")
    if len(parts) not in (3, 4):
        return Err("wrong_count")
    if any(part.startswith("-") for part in parts):
        return Err("negative")
    bounds = (MAX_LOAD_COUNT, MAX_LOAD_COUNT, MAX_LOAD_COUNT, MAX_LOAD_PERCENT)
    # The length is compared first: the conversion of a long text takes much time.
    if any(
        len(part) > MAX_LOAD_DIGITS or int(part) > bound
        for part, bound in zip(parts, bounds, strict=False)
    ):
        return Err("huge")
    n_running, n_waiting, n_slots, *percent = map(int, parts)
    if n_slots == 0 or 0 in percent:
        return Err("zero")
    return Ok(
        LoadHeader(
            n_running=n_running,
            n_waiting=n_waiting,
            n_slots=n_slots,
            slowness=percent[0] / 100 if percent else None,
        )
    )


class _Report(msgspec.Struct, rename="kebab"):
    queued: Count = 0
    in_flight: Count = 0
    # Memory that can't be reclaimed, and the total, in tokens.
    kv_used: Count = 0
    kv_total: Count = 0
    state: str = "ready"
    # The platform's specification spells this field with an underscore.
    leaves_in_ms: Milliseconds | None = msgspec.field(default=None, name="leaves_ms")
    # Unix time of the start in milliseconds.
    born: Count | None = None


@contained
def decode_report(body: bytes) -> Result[EngineReport, str]:
    """Decode an engine's report of its load."""
    raw = msgspec.json.decode(body, type=_Report)
    leaves = raw.leaves_in_ms
    return Ok(
        EngineReport(
            n_queued=raw.queued,
            n_running=raw.in_flight,
            n_used_tokens=raw.kv_used,
            n_memory_tokens=raw.kv_total,
            is_leaving=raw.state == "draining" or leaves is not None,
            leaves_in_seconds=None if leaves is None else leaves * MS,
            started_at=raw.born,
        )
    )


def encode_move(attempt_id: str, target: Address, is_last: bool) -> bytes:
    """Encode the order to copy a run to another engine; the last copy stops the run."""
    return msgspec.json.encode({"id": attempt_id, "to": str(target), "last": is_last})


# A copy is named in the head of the request that resumes from it.
_Handle = Annotated[str, msgspec.Meta(pattern=r"\A[!-~]+\Z", max_length=1_024)]


class _CompletedMove(msgspec.Struct):
    handle: _Handle | Count
    created: Count = 0


@contained
def decode_completed_move(body: bytes) -> Result[CompletedMove, str]:
    """Decode the answer to a completed move."""
    raw = msgspec.json.decode(body, type=_CompletedMove)
    return Ok(CompletedMove(handle=str(raw.handle), n_events=raw.created))


def free_copy_path(handle: str) -> str:
    """Return the path that frees a copy at both engines; the source is called."""
    return f"/api/kv-handle/{quote(handle, safe='')}"


def requested_domain(req: Request) -> str:
    """Return the failure domain of a caller who requests addresses."""
    return parse_qs(req.query).get("zone", [""])[0]


def requested_region(req: Request) -> str:
    """Return the region of a caller who requests addresses."""
    return parse_qs(req.query).get("region", [""])[0]


def encode_addresses(addresses: list[Address], seconds: float) -> bytes:
    """Encode the answer to a caller's request for addresses, valid for ``seconds``."""
    return msgspec.json.encode(
        {"addresses": [str(address) for address in addresses], "ttl-s": seconds}
    )


def _milliseconds(text: str | None) -> float | None:
    try:
        value = float(text) if text is not None else None
    except ValueError:
        return None
    return value * MS if value is not None and 0 <= value < 1e12 else None


def _pause_seconds(status: int, text: str | None) -> float:
    """Return the pause that a refusal asks for, 0 if it asks for none.

    Only numbers count: a date would be one of the endpoint's clock.
    """
    if status != 503 or text is None:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    if math.isnan(seconds) or seconds <= 0:
        return 0.0
    return min(seconds, MAX_PAUSE_SECONDS)


def _rate(text: str | None) -> float | None:
    try:
        value = float(text) if text is not None else None
    except ValueError:
        return None
    return value if value is not None and 0 <= value < 1e9 else None


def _count(text: str) -> int:
    text = text.strip()
    return int(text) if text.isascii() and text.isdigit() and len(text) < 10 else 0
