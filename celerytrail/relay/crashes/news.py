"""News of requests that crash endpoints, as nodes send them to one another.

Nodes have no clock in common, so the news hold ages, not times.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from ...decoding import Count
from ...model import Prompt
from ...policies.blockedprompts import BLOCK_SECONDS, Block
from ...policies.crashrequests import MAX_RUNS, RequestKey
from ...policies.crashsuspects import Crash, LostRun, Part

# Keep a datagram of usual prompts below 1,200 bytes.
MAX_RUNS_PER_ENTRY = 8
MAX_PARTS_PER_DATAGRAM = 12


class LostRunEntry(msgspec.Struct, array_like=True, frozen=True):
    """A run that was lost by a crash, as sent between nodes.

    Earlier versions have the id of the prompt's own part in place of the digest.
    """

    service: str
    parts: list[str]
    digest: str
    sent_seconds_ago: float
    has_begun: bool = False


class CrashEntry(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint's crash as sent between nodes, with runs that the sender lost."""

    endpoint: str
    started_at: int
    seconds_ago: float
    runs: list[LostRunEntry]


class AnswerEntry(msgspec.Struct, array_like=True, frozen=True):
    """An answer to a prompt with some parts, as sent between nodes.

    ``digest`` names a request that was answered to its end. ``is_whole`` says that
    these are all shared parts of the prompt.
    """

    service: str
    parts: list[str]
    digest: str
    seconds_ago: float
    is_whole: bool = True


class BlockEntry(msgspec.Struct, array_like=True, frozen=True):
    """A statement on prompts with all of some parts; it holds for some seconds."""

    service: str
    parts: list[str]
    revision: Count
    seconds: float
    is_lifted: bool = False
    is_ordered: bool = False


class CrashNews(msgspec.Struct, array_like=True, frozen=True):
    """News of requests that crash endpoints."""

    crashes: list[CrashEntry] = []
    answers: list[AnswerEntry] = []
    blocks: list[BlockEntry] = []


def crash_entries(crash: Crash, now: float) -> list[CrashEntry]:
    """Return a crash as sent to other nodes, with a few of its runs in each entry."""
    endpoint, started_at = crash.incarnation
    return [
        CrashEntry(
            endpoint=endpoint,
            started_at=started_at,
            seconds_ago=round(now - crash.crashed_at, 4),
            runs=[_run_entry(run, now) for run in runs],
        )
        for runs in _split(crash.runs[:MAX_RUNS], MAX_RUNS_PER_ENTRY)
    ]


def _split(runs: Sequence[LostRun], n_most: int) -> Iterable[Sequence[LostRun]]:
    return (runs[n : n + n_most] for n in range(0, len(runs), n_most))


def _run_entry(run: LostRun, now: float) -> LostRunEntry:
    parts = [] if run.has_begun else run.prompt.shared_parts[:MAX_PARTS_PER_DATAGRAM]
    return LostRunEntry(
        service=run.prompt.service,
        parts=list(parts),
        digest=run.prompt.digest,
        sent_seconds_ago=round(now - run.sent_at, 4),
        has_begun=run.has_begun,
    )


def crash_from(entry: CrashEntry, now: float) -> Crash:
    """Return the crash that another node sent."""
    return Crash(
        incarnation=(entry.endpoint, entry.started_at),
        runs=tuple(
            LostRun(
                prompt=Prompt(
                    service=run.service,
                    shared_parts=tuple(run.parts),
                    digest=run.digest,
                ),
                sent_at=now - run.sent_seconds_ago,
                has_begun=run.has_begun,
            )
            for run in entry.runs
        ),
        crashed_at=now - entry.seconds_ago,
    )


def block_entry(block: Block, now: float) -> BlockEntry:
    """Return a statement on prompts as sent to other nodes."""
    return BlockEntry(
        service=block.service,
        parts=sorted(block.parts),
        revision=block.revision,
        seconds=round(max(0.0, block.ends_at - now), 2),
        is_lifted=block.is_lifted,
        is_ordered=block.is_ordered,
    )


def block_from(entry: BlockEntry, now: float) -> Block:
    """Return the statement on prompts that another node sent."""
    return Block(
        service=entry.service,
        parts=frozenset(entry.parts),
        revision=entry.revision,
        ends_at=now + min(entry.seconds, BLOCK_SECONDS),
        is_lifted=entry.is_lifted,
        is_ordered=entry.is_ordered,
    )


def answer_entry(prompt: Prompt) -> AnswerEntry:
    """Return the answer to a prompt that has just begun, as sent to other nodes."""
    return AnswerEntry(
        service=prompt.service,
        parts=list(prompt.shared_parts),
        digest="",
        seconds_ago=0.0,
    )


def request_entry(key: RequestKey, seconds_ago: float) -> AnswerEntry:
    """Return the whole answer to a request, as sent to other nodes."""
    service, digest = key
    return AnswerEntry(
        service=service,
        parts=[],
        digest=digest,
        seconds_ago=round(seconds_ago, 3),
        is_whole=False,
    )


def part_entry(part: Part, seconds_ago: float) -> AnswerEntry:
    """Return an earlier answer on one shared part, as sent to other nodes."""
    service, name = part
    return AnswerEntry(
        service=service,
        parts=[name],
        digest="",
        seconds_ago=round(seconds_ago, 3),
        is_whole=False,
    )


def answered_prompt(entry: AnswerEntry) -> Prompt:
    """Return the prompt, or the part of it, on which another node saw an answer."""
    return Prompt(
        service=entry.service,
        shared_parts=tuple(entry.parts),
        digest=entry.digest,
    )
