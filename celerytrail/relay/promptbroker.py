"""Shares among all nodes which prompts crash engines, and keeps them from engines."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable, Coroutine, Iterable, Sequence
from dataclasses import replace
from typing import Any

import msgspec
from eliot import log_message
from result import Err

from ..http.messages import Request
from ..http.routes import Params, Router, send_error
from ..http.server import Responder
from ..metrics import Metrics
from ..model import Prompt
from ..nodes.member import Member
from ..platform import storewire
from ..policies.blockedprompts import (
    BLOCK_SECONDS,
    OWN_BLOCK_SECONDS,
    Block,
    BlockedPrompts,
    BlockKey,
)
from ..policies.crashsuspects import (
    Crash,
    CrashSuspects,
    LostRun,
    Part,
    parts_of,
)
from ..rowsource import Row, RowSource
from ..status import PROMPT_BLOCKS_PATH
from .nodeorder import NodeOrder
from .peerrequests import PeerRequests
from .peerupdates import AnswerEntry, BlockEntry, CrashEntry, LostRunEntry, PromptNews

# Pauses before a crash or a block is announced again, in seconds: datagrams get lost.
REPEAT_SECONDS = (0.2, 0.5)
# Longest pause before a node tells that a suspected part was answered on, in seconds;
# the others needn't once one has.
ANSWER_JITTER_SECONDS = 0.03
# Interval at which each node passes on the blocks in force, and to how many others.
PASS_ON_SECONDS = 1.0
N_PASSED_TO = 2
# How long a part that was told of needn't be told of again, in seconds.
TOLD_SECONDS = 0.5
# Keep a datagram of usual prompts below 1,200 bytes.
MAX_BLOCKS_PER_DATAGRAM = 10
MAX_RUNS_PER_CRASH = 8
MAX_PARTS_PER_DATAGRAM = 12
ROW_KEY_BYTES = 12
# Timeout of a call to the store, and the mean pause after one that failed, in seconds.
STORE_SECONDS = 1.0
STORE_RETRY_SECONDS = 1.0


class BlockRow(msgspec.Struct, frozen=True, kw_only=True, rename="kebab"):
    """The value of a block's row in the store."""

    service: str
    parts: list[str]
    revision: int
    is_lifted: bool = False
    is_ordered: bool = False


class BlockOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order to block prompts with all of some parts, or to allow them."""

    service: str
    parts: list[str]
    is_blocked: bool


class PromptBroker:
    """Collects the evidence of all nodes, and decides which prompts are blocked.

    Each node announces the crashes that it sees, and that suspected parts were answered
    on; each one decides by itself what that shows. Blocks are passed on as long as they
    hold, so that nodes that start or were out of touch learn of them. The store keeps
    them in case all nodes start again.

    Parameters
    ----------
    node : str
        This node's name.
    node_order : NodeOrder
        Which node writes a block to the store.
    announce : callable
        Sends news to all other nodes.
    tell : callable
        Sends news to some nodes.
    others : callable
        Returns the other nodes.
    rows : RowSource
        The platform's tables.
    requests : PeerRequests
        Decodes operators' orders.
    rng : random.Random
        Source of jitter.
    metrics : Metrics
        Counts blocks.
    """

    def __init__(
        self,
        *,
        node: str,
        node_order: NodeOrder,
        announce: Callable[[PromptNews], None],
        tell: Callable[[PromptNews, Sequence[Member]], None],
        others: Callable[[], list[Member]],
        rows: RowSource,
        requests: PeerRequests,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._node = node
        self._node_order = node_order
        self._announce = announce
        self._tell = tell
        self._others = others
        self._rows = rows
        self._requests = requests
        self._rng = rng
        self._metrics = metrics
        self.suspects = CrashSuspects()
        self.blocked = BlockedPrompts()
        # The statements that the store has, by their revisions.
        self._stored: dict[BlockKey, int] = {}
        self._is_writing = False
        # By part, until when nobody needs to tell again that it was answered on.
        self._told_until: dict[Part, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def add_routes(self, router: Router) -> None:
        """Add the route for operators' orders."""
        router.add("POST", PROMPT_BLOCKS_PATH, self._on_order)

    def record_crash(self, crash: Crash) -> None:
        """Record a crash by which this node lost runs, and announce it."""
        now = _now()
        self._announce(PromptNews(crashes=[_crash_entry(crash, now)]))
        self._later(
            REPEAT_SECONDS,
            lambda: self._announce(PromptNews(crashes=[_crash_entry(crash, _now())])),
        )
        self._tell_answers_later(crash)
        for block in self._apply_crash(crash, now):
            self._announce_block(block)

    def record_answer(self, prompt: Prompt) -> None:
        """Record that an engine has evidently begun an answer to a prompt."""
        now = _now()
        if self.suspects.record_answer(prompt, now):
            entry = AnswerEntry(
                service=prompt.service,
                parts=list(prompt.shared_parts),
                own_part=prompt.own_part,
                seconds_ago=0.0,
            )
            self._announce(PromptNews(answers=[entry]))
        lifted = self._lift_found(prompt, now)
        if lifted is not None:
            self._announce_block(lifted)

    def record_news(self, news: PromptNews) -> None:
        """Record what another node announces."""
        now = _now()
        for answer in news.answers:
            prompt = Prompt(
                service=answer.service,
                shared_parts=tuple(answer.parts),
                own_part=answer.own_part,
            )
            self.suspects.record_answer(
                prompt, now - answer.seconds_ago, is_whole=answer.is_whole
            )
            self._record_told(parts_of(prompt), now)
            if answer.is_whole:
                self._lift_found(prompt, now)
        for entry in news.crashes:
            crash = _crash_from(entry, now)
            self._apply_crash(crash, now)
            self._tell_answers_later(crash)
        for block_entry in news.blocks:
            self._put(_block_from(block_entry, now))

    def set_blocked(
        self, service: str, parts: Iterable[str], *, is_blocked: bool
    ) -> Block:
        """Block prompts with all of some parts, or allow them again, by order."""
        block = self._new_block(service, frozenset(parts), is_lifted=not is_blocked)
        block = replace(block, is_ordered=is_blocked)
        self._put(block)
        self._announce_block(block)
        return block

    async def run(self) -> None:
        """Read the blocks that the store has, and pass them on, until cancelled."""
        self._start(self._read_store())
        while True:
            await asyncio.sleep(PASS_ON_SECONDS * self._rng.uniform(0.8, 1.2))
            self._pass_on()
            self._write_store()

    def close(self) -> None:
        """Cancel what is in progress."""
        for task in list(self._tasks):
            task.cancel()

    async def _on_order(self, req: Request, res: Responder, _: Params) -> None:
        order = await self._requests.decode(req, res, BlockOrder)
        if order is None:
            return
        parts = [part.lower() for part in order.parts]
        if not order.service or not parts or not all(parts):
            await send_error(
                res, 400, "bad_request", place="parts", message="name service and parts"
            )
            return
        block = self.set_blocked(order.service, parts, is_blocked=order.is_blocked)
        await res.send_json(200, {"revision": block.revision})

    def _lift_found(self, prompt: Prompt, now: float) -> Block | None:
        """Lift the block that an answered prompt meets, unless it was ordered."""
        block = self.blocked.find(prompt, now)
        if block is None or block.is_ordered:
            return None
        lifted = self._new_block(block.service, block.parts, is_lifted=True)
        self._put(lifted)
        return lifted

    # Evidence.

    def _apply_crash(self, crash: Crash, now: float) -> list[Block]:
        """Record a crash of any node, and return the blocks that follow from it."""
        ended = [
            (block.service, part)
            for block in self.blocked.all()
            if len(block.parts) == 1 and self.blocked.has_ended(block.key, now)
            for part in block.parts
        ]
        blocks = []
        for finding in self.suspects.record_crash(crash, now, ended):
            log_message(
                "relay:prompt:found",
                service=finding.service,
                parts=sorted(finding.parts),
                crashes=[f"{name} {start}" for name, start in finding.crashes],
            )
            block = self._new_block(finding.service, finding.parts)
            if self._put(block):
                blocks.append(block)
        return blocks

    def _tell_answers_later(self, crash: Crash) -> None:
        """Tell which parts of a crash were answered on, unless another node does."""
        parts = {
            (run.prompt.service, part)
            for run in crash.runs
            for part in run.prompt.shared_parts
        }
        known = [part for part in parts if self.suspects.answered_at(part) is not None]
        if known:
            delay = self._rng.uniform(0.0, ANSWER_JITTER_SECONDS)
            self._later((delay,), lambda: self._tell_answers(known))

    def _tell_answers(self, parts: Iterable[Part]) -> None:
        now = _now()
        entries = []
        for part in parts:
            answered_at = self.suspects.answered_at(part)
            if answered_at is None or now < self._told_until.get(part, 0.0):
                continue
            service, name = part
            entries.append(
                AnswerEntry(
                    service=service,
                    parts=[name],
                    own_part="",
                    seconds_ago=round(now - answered_at, 3),
                    is_whole=False,
                )
            )
        if entries:
            self._record_told(parts, now)
            self._announce(PromptNews(answers=entries[:MAX_PARTS_PER_DATAGRAM]))

    def _record_told(self, parts: Iterable[Part], now: float) -> None:
        self._told_until = {
            part: until for part, until in self._told_until.items() if now < until
        }
        self._told_until.update(dict.fromkeys(parts, now + TOLD_SECONDS))

    # Blocks.

    def _new_block(
        self, service: str, parts: frozenset[str], *, is_lifted: bool = False
    ) -> Block:
        block = Block(
            service=service,
            parts=parts,
            revision=self.blocked.next_revision((service, parts)),
            ends_at=_now() + BLOCK_SECONDS,
            is_lifted=is_lifted,
        )
        if block.is_on_one_request:
            return replace(block, ends_at=_now() + OWN_BLOCK_SECONDS)
        return block

    def _put(self, block: Block) -> bool:
        if not self.blocked.put(block):
            return False
        if block.is_lifted:
            self.suspects.forget(block.service, block.parts)
        else:
            self.suspects.explain(block.service, block.parts)
            if not block.is_on_one_request:
                self.blocked.lift_on_requests(block.service, _now())
        state = "lifted" if block.is_lifted else "blocked"
        self._metrics.count("prompt_blocks", state=state)
        log_message(
            f"relay:prompt:{state}",
            service=block.service,
            parts=sorted(block.parts),
            revision=block.revision,
        )
        return True

    def _announce_block(self, block: Block) -> None:
        def announce() -> None:
            self._announce(PromptNews(blocks=[_block_entry(block, _now())]))

        announce()
        self._later(REPEAT_SECONDS, announce)

    def _pass_on(self) -> None:
        """Tell a few nodes of blocks; lifted ones too, or they would come back."""
        now = _now()
        blocks = [block for block in self.blocked.all() if now < block.ends_at]
        others = self._others()
        if not blocks or not others:
            return
        told = self._rng.sample(blocks, min(len(blocks), MAX_BLOCKS_PER_DATAGRAM))
        members = self._rng.sample(others, min(len(others), N_PASSED_TO))
        news = PromptNews(blocks=[_block_entry(block, now) for block in told])
        self._tell(news, members)

    # The store.

    async def _read_store(self) -> None:
        while True:
            found = await self._rows.read(
                storewire.PROMPT_BLOCKS_TABLE, _now() + STORE_SECONDS
            )
            if not isinstance(found, Err):
                break
            await asyncio.sleep(STORE_RETRY_SECONDS * self._rng.uniform(0.5, 1.5))
        for row in found.ok_value.rows:
            self._apply_row(row)

    def _apply_row(self, row: Row) -> None:
        if row.value is None:
            return
        try:
            entry = msgspec.json.decode(row.value, type=BlockRow)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            log_message("relay:prompt:unreadable", row=row.key, problem=str(exc))
            return
        block = Block(
            service=entry.service,
            parts=frozenset(entry.parts),
            revision=entry.revision,
            ends_at=_now() + BLOCK_SECONDS,
            is_lifted=entry.is_lifted,
            is_ordered=entry.is_ordered,
        )
        self._put(block)
        self._stored[block.key] = block.revision

    def _write_store(self) -> None:
        """Write the statements that the store lacks, if this node writes them."""
        if self._is_writing:
            return
        missing = [
            block
            for block in self.blocked.all()
            if self._stored.get(block.key, 0) < block.revision
            and not block.is_on_one_request
            and self._is_writer(block)
        ]
        if missing:
            self._is_writing = True
            self._start(self._write(missing))

    def _is_writer(self, block: Block) -> bool:
        key = f"prompt block {_row_key(block)}"
        return any(
            member.node == self._node for member in self._node_order.first(key, 1)
        )

    async def _write(self, blocks: Sequence[Block]) -> None:
        try:
            for block in blocks:
                row = BlockRow(
                    service=block.service,
                    parts=sorted(block.parts),
                    revision=block.revision,
                    is_lifted=block.is_lifted,
                    is_ordered=block.is_ordered,
                )
                put = await self._rows.put(
                    storewire.PROMPT_BLOCKS_TABLE,
                    _row_key(block),
                    msgspec.json.encode(row),
                    _now() + STORE_SECONDS,
                )
                if isinstance(put, Err):
                    log_message("relay:prompt:not_stored", reason=str(put.err_value))
                else:
                    self._stored[block.key] = block.revision
        finally:
            self._is_writing = False

    # Tasks.

    def _later(self, delays: Iterable[float], action: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        for seconds in delays:
            loop.call_later(seconds, action)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _row_key(block: Block) -> str:
    text = f"{block.service} {' '.join(sorted(block.parts))}"
    return hashlib.blake2b(text.encode(), digest_size=ROW_KEY_BYTES).hexdigest()


def _crash_entry(crash: Crash, now: float) -> CrashEntry:
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


def _crash_from(entry: CrashEntry, now: float) -> Crash:
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


def _block_entry(block: Block, now: float) -> BlockEntry:
    return BlockEntry(
        service=block.service,
        parts=sorted(block.parts),
        revision=block.revision,
        seconds=round(max(0.0, block.ends_at - now), 2),
        is_lifted=block.is_lifted,
        is_ordered=block.is_ordered,
    )


def _block_from(entry: BlockEntry, now: float) -> Block:
    return Block(
        service=entry.service,
        parts=frozenset(entry.parts),
        revision=entry.revision,
        ends_at=now + min(entry.seconds, BLOCK_SECONDS),
        is_lifted=entry.is_lifted,
        is_ordered=entry.is_ordered,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
