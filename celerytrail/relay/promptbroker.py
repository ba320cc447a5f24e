"""Shares among all nodes which prompts crash engines, and keeps them from engines."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable, Sequence
from dataclasses import replace
from typing import Any

import msgspec
from eliot import log_message

from ..http.messages import Request
from ..http.routes import Params, Router, send_error
from ..http.server import Responder
from ..metrics import Metrics
from ..model import Prompt
from ..nodes.member import Member
from ..policies.blockedprompts import (
    BLOCK_SECONDS,
    OWN_BLOCK_SECONDS,
    Block,
    BlockedPrompts,
)
from ..policies.crashsuspects import Crash, CrashSuspects, Part, parts_of
from ..rowsource import RowSource
from ..status import PROMPT_BLOCKS_PATH
from .nodeorder import NodeOrder
from .peerrequests import PeerRequests
from .promptblockstore import PromptBlockStore
from .promptnews import (
    MAX_PARTS_PER_DATAGRAM,
    PromptNews,
    answer_entry,
    answered_prompt,
    block_entry,
    block_from,
    crash_entry,
    crash_from,
    part_entry,
)

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
        self._announce = announce
        self._tell = tell
        self._others = others
        self._requests = requests
        self._rng = rng
        self._metrics = metrics
        self.suspects = CrashSuspects()
        self.blocked = BlockedPrompts()
        self._store = PromptBlockStore(
            node=node,
            node_order=node_order,
            rows=rows,
            blocked=self.blocked,
            on_block=self._put,
            rng=rng,
        )
        self._writing: asyncio.Task[None] | None = None
        # By part, until when nobody needs to tell again that it was answered on.
        self._told_until: dict[Part, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def add_routes(self, router: Router) -> None:
        """Add the route for operators' orders."""
        router.add("POST", PROMPT_BLOCKS_PATH, self._on_order)

    def record_crash(self, crash: Crash) -> None:
        """Record a crash by which this node lost runs, and announce it."""
        now = _now()
        self._announce(PromptNews(crashes=[crash_entry(crash, now)]))
        self._later(
            REPEAT_SECONDS,
            lambda: self._announce(PromptNews(crashes=[crash_entry(crash, _now())])),
        )
        self._tell_answers_later(crash)
        for block in self._apply_crash(crash, now):
            self._announce_block(block)

    def record_answer(self, prompt: Prompt) -> None:
        """Record that an engine has evidently begun an answer to a prompt."""
        now = _now()
        if self.suspects.record_answer(prompt, now):
            self._announce(PromptNews(answers=[answer_entry(prompt)]))
        lifted = self._lift_found(prompt, now)
        if lifted is not None:
            self._announce_block(lifted)

    def record_news(self, news: PromptNews) -> None:
        """Record what another node announces."""
        now = _now()
        for answer in news.answers:
            prompt = answered_prompt(answer)
            self.suspects.record_answer(
                prompt, now - answer.seconds_ago, is_whole=answer.is_whole
            )
            self._record_told(parts_of(prompt), now)
            if answer.is_whole:
                self._lift_found(prompt, now)
        for crash in [crash_from(entry, now) for entry in news.crashes]:
            self._apply_crash(crash, now)
            self._tell_answers_later(crash)
        for block in [block_from(entry, now) for entry in news.blocks]:
            self._put(block)

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
        self._start(self._store.read())
        while True:
            await asyncio.sleep(PASS_ON_SECONDS * self._rng.uniform(0.8, 1.2))
            self._pass_on()
            self._write_missing()

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
            entries.append(part_entry(part, now - answered_at))
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
            self._announce(PromptNews(blocks=[block_entry(block, _now())]))

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
        news = PromptNews(blocks=[block_entry(block, now) for block in told])
        self._tell(news, members)

    def _write_missing(self) -> None:
        """Write the statements that the store lacks, if this node writes them."""
        if self._writing is not None and not self._writing.done():
            return
        missing = self._store.missing()
        if missing:
            self._writing = self._start(self._store.write(missing))

    # Tasks.

    def _later(self, delays: Iterable[float], action: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        for seconds in delays:
            loop.call_later(seconds, action)

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _now() -> float:
    return asyncio.get_running_loop().time()
