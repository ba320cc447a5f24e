"""News of prompts that crash engines, as nodes send them to one another.

Nodes have no clock in common, so the news hold ages, not times.
"""

from __future__ import annotations

import msgspec

from ..model import Prompt
from ..policies.blockedprompts import BLOCK_SECONDS, Block
from ..policies.crashsuspects import Crash, LostRun, Part

# Keep a datagram of usual prompts below 1,200 bytes.
MAX_RUNS_PER_CRASH = 8
MAX_PARTS_PER_DATAGRAM = 12


class LostRunEntry(msgspec.Struct, array_like=True, frozen=True):
    """A run that was lost by a crash, as sent between nodes."""

    service: str
    parts: list[str]
    own_part: str
    sent_seconds_ago: float


class CrashEntry(msgspec.Struct, array_like=True, frozen=True):
    """An engine's crash as sent between nodes, with the runs that the sender lost."""

    endpoint: str
    started_at: int
    seconds_ago: float
    runs: list[LostRunEntry]


class AnswerEntry(msgspec.Struct, array_like=True, frozen=True):
    """An answer to a prompt with some parts, as sent between nodes.

    ``is_whole`` says that these are all shared parts of the prompt.
    """

    service: str
    parts: list[str]
    own_part: str
    seconds_ago: float
    is_whole: bool = True


class BlockEntry(msgspec.Struct, array_like=True, frozen=True):
    """A statement on prompts with all of some parts; it holds for some seconds."""

    service: str
    parts: list[str]
    revision: int
    seconds: float
    is_lifted: bool = False
    is_ordered: bool = False


class PromptNews(msgspec.Struct, array_like=True, frozen=True):
    """News of prompts that crash engines."""

    crashes: list[CrashEntry] = []
    answers: list[AnswerEntry] = []
    blocks: list[BlockEntry] = []


def crash_entry(crash: Crash, now: float) -> CrashEntry:
    """Return a crash as sent to other nodes."""
    endpoint, started_at = crash.incarnation
    return CrashEntry(
        endpoint=endpoint,
        started_at=started_at,
        seconds_ago=round(now - crash.crashed_at, 4),
        runs=[
            LostRunEntry(
                service=run.prompt.service,
                parts=list(run.prompt.shared_parts[:MAX_PARTS_PER_DATAGRAM]),
                own_part=run.prompt.own_part,
                sent_seconds_ago=round(now - run.sent_at, 4),
            )
            for run in crash.runs[:MAX_RUNS_PER_CRASH]
        ],
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
                    own_part=run.own_part,
                ),
                sent_at=now - run.sent_seconds_ago,
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
        own_part=prompt.own_part,
        seconds_ago=0.0,
    )


def part_entry(part: Part, seconds_ago: float) -> AnswerEntry:
    """Return an earlier answer on one shared part, as sent to other nodes."""
    service, name = part
    return AnswerEntry(
        service=service,
        parts=[name],
        own_part="",
        seconds_ago=round(seconds_ago, 3),
        is_whole=False,
    )


def answered_prompt(entry: AnswerEntry) -> Prompt:
    """Return the prompt, or the part of it, on which another node saw an answer."""
    return Prompt(
        service=entry.service,
        shared_parts=tuple(entry.parts),
        own_part=entry.own_part,
    )
