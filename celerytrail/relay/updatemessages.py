"""The updates of runs, endpoints and waiting requests that nodes send one another.

The fields' order is the format: a node of an earlier release skips further ones, and
those that it doesn't send have their defaults.
"""

from __future__ import annotations

import math

import msgspec
from result import Ok, Result

from ..decoding import contained
from ..model import EngineReport, LoadHeader
from ..platform.wire import MAX_LOAD_COUNT, MAX_LOAD_PERCENT
from ..policies.engineloads import Run
from ..policies.runlistschedule import MIN_LIST_PERIOD_SECONDS
from ..policies.statedlimits import LimitStatement
from ..policies.waiting import Returning, Waiting
from .crashes.news import CrashNews


class RunEntry(msgspec.Struct, array_like=True, frozen=True):
    """A run as sent between nodes."""

    run_id: str
    endpoint: str
    n_prompt_tokens: int
    n_expected_tokens: int
    backup: str
    is_prefilling: bool
    n_generated_tokens: int = 0
    is_moving: bool = False
    organisation: str = ""
    priority: int = 0


class ReportEntry(msgspec.Struct, array_like=True, frozen=True):
    """An engine's load report as sent between nodes."""

    endpoint: str
    n_queued: int
    n_running: int
    n_used_tokens: int
    n_memory_tokens: int


class LimitEntry(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint's limit as sent between nodes, which have no clock in common.

    The ages, in seconds, are those of the request and of the answer that stated it.
    """

    endpoint: str
    requests_per_second: float | None
    sent_seconds_ago: float
    heard_seconds_ago: float


class OriginEntry(msgspec.Struct, array_like=True, frozen=True):
    """What began a stream as told to its owners, and for how many seconds it holds."""

    key: bytes
    service: str
    version: str
    seconds: float


class LoadEntry(msgspec.Struct, array_like=True, frozen=True):
    """What an endpoint states of its load and speed, as sent between nodes.

    ``is_sample`` says that the value was due by time and not chosen as a change.
    """

    endpoint: str
    n_running: int
    n_waiting: int
    n_slots: int
    slowness: float
    is_sample: bool


class WaitingEntry(msgspec.Struct, array_like=True, frozen=True):
    """A request that waits for an engine, as sent between nodes.

    Times are in milliseconds from the sending. ``by_age_ms`` is None unless it has been
    passed over.
    """

    request_id: str
    service: str
    organisation: str
    priority: int
    waited_ms: int
    target_ms: int
    gives_up_ms: int
    n_tokens: int
    n_prefill_tokens: int
    n_remaining_tokens: int
    by_age_ms: int | None = None
    return_key: bytes = b""


class ReturningEntry(msgspec.Struct, array_like=True, frozen=True):
    """A refused caller that is expected to return, as sent between nodes."""

    key: bytes
    waited_ms: int
    returns_ms: int


class NodeUpdate(msgspec.Struct, array_like=True, frozen=True):
    """One node's update: its runs, and events at engines and endpoints.

    ``is_complete`` says that ``runs`` are all runs of the sender. ``ended`` holds run
    ids, ``leaving`` endpoints that are about to leave, ``retried`` services at which
    the sender made a retry, and ``aborted`` endpoints that aborted its requests.
    ``period_seconds`` is the time to the sender's next run list. ``limits`` are limits
    that endpoints state for all nodes together. ``cut_off`` are all services that the
    sender is cut off from, None if it says nothing of them. ``brittle`` are endpoints
    that fall over, with the refusals per second that they bear. ``leaving_starts``
    are the starts of the endpoints in ``leaving``; earlier versions don't send them.
    ``origins`` are those of streams that the receiver owns. ``prompts`` are news of
    prompts that crash engines. ``stated_loads`` are loads that plain endpoints have
    just stated to the sender. ``waiting`` are requests that wait for an engine; their
    ids are in ``ended``, or among ``runs``, once they don't. ``returning`` are callers
    that the sender refused.
    """

    node: str
    is_complete: bool = False
    runs: list[RunEntry] = []
    ended: list[str] = []
    leaving: list[str] = []
    retried: list[str] = []
    reports: list[ReportEntry] = []
    aborted: list[str] = []
    period_seconds: float = MIN_LIST_PERIOD_SECONDS
    limits: list[LimitEntry] = []
    cut_off: list[str] | None = None
    brittle: list[LimitEntry] = []
    leaving_starts: list[int] = []
    origins: list[OriginEntry] = []
    prompts: CrashNews | None = None
    stated_loads: list[LoadEntry] = []
    waiting: list[WaitingEntry] = []
    returning: list[ReturningEntry] = []


_UPDATE_DECODER = msgspec.msgpack.Decoder(NodeUpdate)


def run_entry(run: Run) -> RunEntry:
    """Return a run as it is sent."""
    return RunEntry(
        run_id=run.run_id,
        endpoint=run.endpoint,
        n_prompt_tokens=run.n_prompt_tokens,
        n_expected_tokens=run.n_expected_tokens,
        backup=run.backup,
        is_prefilling=run.is_prefilling,
        n_generated_tokens=run.n_generated_tokens,
        is_moving=run.is_moving,
        organisation=run.organisation,
        priority=run.priority,
    )


def report_from(entry: ReportEntry) -> EngineReport:
    """Return the report that another node read."""
    return EngineReport(
        n_queued=entry.n_queued,
        n_running=entry.n_running,
        n_used_tokens=entry.n_used_tokens,
        n_memory_tokens=entry.n_memory_tokens,
    )


def limit_from(entry: LimitEntry, now: float) -> LimitStatement:
    """Return the limit that an endpoint stated to another node."""
    return LimitStatement(
        endpoint=entry.endpoint,
        requests_per_second=entry.requests_per_second,
        sent_at=now - entry.sent_seconds_ago,
        heard_at=now - entry.heard_seconds_ago,
    )


def header_from(entry: LoadEntry) -> LoadHeader | None:
    """Return the stated load, or None if no endpoint's header may state it."""
    counts = (entry.n_running, entry.n_waiting, entry.n_slots)
    if not all(0 <= n <= MAX_LOAD_COUNT for n in counts) or entry.n_slots == 0:
        return None
    if not 0 < entry.slowness <= MAX_LOAD_PERCENT / 100:
        return None
    return LoadHeader(
        n_running=entry.n_running,
        n_waiting=entry.n_waiting,
        n_slots=entry.n_slots,
        slowness=entry.slowness,
    )


def run_from(entry: RunEntry) -> Run:
    """Return a run that another node placed."""
    return Run(
        run_id=entry.run_id,
        endpoint=entry.endpoint,
        n_prompt_tokens=entry.n_prompt_tokens,
        n_expected_tokens=entry.n_expected_tokens,
        backup=entry.backup,
        is_prefilling=entry.is_prefilling,
        n_generated_tokens=entry.n_generated_tokens,
        is_moving=entry.is_moving,
        organisation=entry.organisation,
        priority=entry.priority,
    )


def _milliseconds(seconds: float) -> int:
    return round(1_000 * seconds)


def waiting_entry(waiting: Waiting, now: float) -> WaitingEntry:
    """Return a waiting request as it is sent."""
    has_age = waiting.by_age_at < math.inf
    return WaitingEntry(
        request_id=waiting.request_id,
        service=waiting.service,
        organisation=waiting.organisation,
        priority=waiting.priority,
        waited_ms=_milliseconds(now - waiting.waiting_since),
        target_ms=_milliseconds(waiting.target_at - now),
        gives_up_ms=_milliseconds(waiting.gives_up_at - now),
        n_tokens=waiting.n_tokens,
        n_prefill_tokens=waiting.n_prefill_tokens,
        n_remaining_tokens=waiting.n_remaining_tokens,
        by_age_ms=_milliseconds(waiting.by_age_at - now) if has_age else None,
        return_key=waiting.return_key,
    )


def waiting_from(entry: WaitingEntry, now: float) -> Waiting:
    """Return a request that waits at another node."""
    by_age_at = math.inf
    if entry.by_age_ms is not None:
        by_age_at = now + entry.by_age_ms / 1_000
    return Waiting(
        request_id=entry.request_id,
        service=entry.service,
        organisation=entry.organisation,
        priority=entry.priority,
        waiting_since=now - entry.waited_ms / 1_000,
        target_at=now + entry.target_ms / 1_000,
        gives_up_at=now + entry.gives_up_ms / 1_000,
        n_tokens=entry.n_tokens,
        n_prefill_tokens=entry.n_prefill_tokens,
        n_remaining_tokens=entry.n_remaining_tokens,
        by_age_at=by_age_at,
        return_key=entry.return_key,
    )


def returning_entry(returning: Returning, now: float) -> ReturningEntry:
    """Return a caller that was sent away for a while as it is sent."""
    return ReturningEntry(
        key=returning.key,
        waited_ms=_milliseconds(now - returning.waiting_since),
        returns_ms=_milliseconds(returning.returns_at - now),
    )


def returning_from(entry: ReturningEntry, now: float) -> Returning:
    """Return a caller that another node sent away for a while."""
    return Returning(
        key=entry.key,
        waiting_since=now - entry.waited_ms / 1_000,
        returns_at=now + entry.returns_ms / 1_000,
    )


@contained
def decode_update(data: bytes) -> Result[NodeUpdate, str]:
    """Decode another node's update."""
    return Ok(_UPDATE_DECODER.decode(data))
