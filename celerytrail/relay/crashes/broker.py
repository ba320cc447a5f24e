"""Shares among all nodes which requests crash endpoints, and keeps them from these."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace

import msgspec
from eliot import log_message

from ...http.messages import Request
from ...http.routes import Params, Router, send_error
from ...http.server import Responder
from ...metrics import Metrics
from ...model import REQUEST_MARK, Incarnation, Prompt
from ...nodes.member import Member
from ...policies.blockedprompts import (
    BLOCK_SECONDS,
    Block,
    BlockedPrompts,
    BlockKey,
)
from ...policies.crashrequests import CrashingRequest, RequestKey, RequestSuspects
from ...policies.crashsuspects import Crash, CrashSuspects, LostRun, Part, parts_of
from ...rowsource import RowSource
from ...status import PROMPT_BLOCKS_PATH
from ...supervision import BackgroundTasks
from ..nodeorder import NodeOrder
from ..peerrequests import PeerRequests
from .blockstore import BlockStore
from .news import (
    MAX_PARTS_PER_DATAGRAM,
    CrashNews,
    answer_entry,
    answered_prompt,
    block_entry,
    block_from,
    crash_entries,
    crash_from,
    part_entry,
    request_entry,
)

# Pauses before a crash or a block is announced again, in seconds: datagrams get lost.
REPEAT_SECONDS = (0.2, 0.5, 1.0)
# Pause before requests are compared that ran at a crashed endpoint, in seconds: each
# node reports those that it lost.
REPORTS_SECONDS = 0.03
# How long a suspect that was lost once more waits for the cause at most, in seconds.
CAUSE_SECONDS = 0.2
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
    """An operator's order to block prompts with all of some parts, or to allow them.

    The only part may be a request's marked digest.
    """

    service: str
    parts: list[str]
    is_blocked: bool


class CrashBroker:
    """Collects the evidence of all nodes, and decides which requests are blocked.

    Each node announces the crashes that it sees, and answers to suspected requests and
    on suspected parts; each one decides by itself what that shows. Blocks are passed on
    as long as they hold, so that nodes that start or were out of touch learn of them.
    The store keeps them in case all nodes start again.

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
        announce: Callable[[CrashNews], None],
        tell: Callable[[CrashNews, Sequence[Member]], None],
        others: Callable[[], list[Member]],
        rows: RowSource,
        requests: PeerRequests,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._announce = announce
        self._tell = tell
        self._others = others
        self._peer_requests = requests
        self._rng = rng
        self._metrics = metrics
        self.suspects = CrashSuspects()
        self.requests = RequestSuspects(has_other_cause=self.suspects.is_explained)
        self.blocked = BlockedPrompts()
        self._store = BlockStore(
            node=node,
            node_order=node_order,
            rows=rows,
            blocked=self.blocked,
            on_block=self._put,
            rng=rng,
        )
        self._writing: asyncio.Task[None] | None = None
        # By part, or by a marked digest: until when no answer needs to be told again.
        self._told_until: dict[Part, float] = {}
        # By request, the tasks that find out why runs of it were lost.
        self._checks: dict[RequestKey, set[asyncio.Task[None]]] = {}
        self._tasks = BackgroundTasks()

    def add_routes(self, router: Router) -> None:
        """Add the route for operators' orders."""
        router.add("POST", PROMPT_BLOCKS_PATH, self._on_order)

    def is_suspect(self, prompt: Prompt) -> bool:
        """Return whether a request may have crashed an endpoint."""
        return self.requests.is_suspect((prompt.service, prompt.digest))

    async def await_causes(self, prompt: Prompt) -> None:
        """Wait until it is known why a suspect was lost once more, if it was."""
        key = (prompt.service, prompt.digest)
        checks = self._checks.get(key)
        if checks and self.is_suspect(prompt):
            await asyncio.wait(checks, timeout=CAUSE_SECONDS)
            await asyncio.sleep(REPORTS_SECONDS)

    def record_lost(self, run: LostRun, check: asyncio.Task[None]) -> None:
        """Record that a run was lost, and the task that finds out why."""
        key = (run.prompt.service, run.prompt.digest)
        checks = self._checks.setdefault(key, set())
        checks.add(check)

        def forget(check: asyncio.Task[None]) -> None:
            checks.discard(check)
            if not checks and self._checks.get(key) is checks:
                del self._checks[key]

        check.add_done_callback(forget)

    def record_crash(self, crash: Crash) -> None:
        """Record a crash by which this node lost runs, and announce it."""
        crash = self.requests.in_order(crash)

        def announce() -> None:
            for entry in crash_entries(crash, _now()):
                self._announce(CrashNews(crashes=[entry]))

        announce()
        self._later(REPEAT_SECONDS, announce)
        self._apply_crash(crash, _now(), is_own=True)

    def record_begun(self, prompt: Prompt) -> None:
        """Record that an endpoint has evidently begun an answer to a prompt."""
        if not prompt.shared_parts:
            return
        now = _now()
        if self.suspects.record_answer(prompt, now):
            self._announce(CrashNews(answers=[answer_entry(prompt)]))
        self._lift_found(prompt, now)

    def record_whole(self, prompt: Prompt) -> None:
        """Record that a request was answered to its end."""
        key = (prompt.service, prompt.digest)
        if self.requests.record_answer(key, _now()):
            self._announce(CrashNews(answers=[request_entry(key, 0.0)]))
        block = self.blocked.get(_block_key(key))
        if block is not None:
            self._lift(block)

    def record_news(self, news: CrashNews) -> None:
        """Record what another node announces."""
        now = _now()
        for answer in news.answers:
            answered_at = now - answer.seconds_ago
            prompt = answered_prompt(answer)
            if prompt.digest:
                key = (prompt.service, prompt.digest)
                self.requests.record_answer(key, answered_at)
                self._record_told([_part(key)], now)
                continue
            self.suspects.record_answer(prompt, answered_at, is_whole=answer.is_whole)
            self._record_told(parts_of(prompt), now)
            if answer.is_whole:
                self._lift_found(prompt, now, is_told=True)
        for crash in [crash_from(entry, now) for entry in news.crashes]:
            self._apply_crash(crash, now, is_own=False)
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

    async def read_store(self) -> None:
        """Read the blocks that the store has, as soon as it answers."""
        await self._store.read()

    async def run(self) -> None:
        """Pass on the blocks that are known, until cancelled."""
        while True:
            await asyncio.sleep(PASS_ON_SECONDS * self._rng.uniform(0.8, 1.2))
            self._pass_on()
            self._write_missing()

    def close(self) -> None:
        """Cancel what is in progress."""
        self._tasks.close()

    async def _on_order(self, req: Request, res: Responder, _: Params) -> None:
        order = await self._peer_requests.decode(req, res, BlockOrder)
        if order is None:
            return
        parts = [part.lower() for part in order.parts]
        if not order.service or not parts or not all(parts):
            await send_error(
                res, 400, "bad_request", place="parts", message="name service and parts"
            )
            return
        if len(parts) > 1 and any(part.startswith(REQUEST_MARK) for part in parts):
            message = "a request's digest stands alone"
            await send_error(res, 400, "bad_request", place="parts", message=message)
            return
        block = self.set_blocked(order.service, parts, is_blocked=order.is_blocked)
        await res.send_json(200, {"revision": block.revision})

    def _lift_found(self, prompt: Prompt, now: float, *, is_told: bool = False) -> None:
        """Lift the block on parts that an answered prompt meets.

        ``is_told`` says that another node saw the answer, and announces that.
        """
        block = self.blocked.find(replace(prompt, digest=""), now)
        if block is not None:
            self._lift(block, is_told=is_told)

    def _lift(self, block: Block, *, is_told: bool = False) -> None:
        """Lift a block that an answer disproves, unless it was ordered."""
        if block.is_ordered or not block.is_in_force(_now()):
            return
        lifted = self._new_block(block.service, block.parts, is_lifted=True)
        self._put(lifted)
        if not is_told:
            self._announce_block(lifted)

    # Evidence.

    def _apply_crash(self, crash: Crash, now: float, *, is_own: bool) -> None:
        """Record a crash, and block what it shows to be the cause.

        ``is_own`` says that this node lost the runs; it announces the blocks.
        """
        for finding in self.suspects.record_crash(crash, now, self._ended_parts(now)):
            log_message(
                "relay:prompt:found",
                service=finding.service,
                parts=sorted(finding.parts),
                crashes=_names(finding.crashes),
            )
            self._block(finding.service, finding.parts, is_announced=is_own)
            self._lift_explained()
        self._tell_answers_later(crash)
        answered = self.requests.record_crash(crash, now)
        if answered:
            delay = self._rng.uniform(0.0, ANSWER_JITTER_SECONDS)
            self._later((delay,), lambda: self._tell_whole_answers(answered))
        self._block_requests(self.requests.overdue(crash.incarnation), is_own)
        self._later(
            (REPORTS_SECONDS,),
            lambda: self._compare_requests(crash.incarnation, is_own),
        )

    def _ended_parts(self, now: float) -> list[Part]:
        """Return the parts on which a block has ended."""
        return [
            (block.service, part)
            for block in self.blocked.all()
            if len(block.parts) == 1 and self.blocked.has_ended(block.key, now)
            for part in block.parts
        ]

    def _compare_requests(self, incarnation: Incarnation, is_own: bool) -> None:
        """Find the requests that caused a crash, once all nodes had time to report."""
        now = _now()
        formerly_found = {
            key
            for key in self.requests.lost_by(incarnation)
            if self.blocked.has_ended(_block_key(key), now)
        }
        found = self.requests.find(incarnation, formerly_found)
        self._block_requests(found, is_own)

    def _block_requests(self, found: Iterable[CrashingRequest], is_own: bool) -> None:
        """Block requests that crash endpoints, unless they are blocked already."""
        now = _now()
        for one in found:
            known = self.blocked.get(_block_key(one.key))
            if known is not None and known.is_in_force(now):
                continue
            service, digest = one.key
            log_message(
                "relay:request:found",
                service=service,
                digest=digest,
                crashes=_names(one.crashes),
            )
            _, parts = _block_key(one.key)
            self._block(service, parts, is_announced=is_own)

    def _block(
        self, service: str, parts: frozenset[str], *, is_announced: bool
    ) -> None:
        block = self._new_block(service, parts)
        if self._put(block) and is_announced:
            self._announce_block(block)

    def _lift_explained(self) -> None:
        """Lift the blocks on requests whose crashes a part explains, known by now.

        Each node does so when it learns which part it was, so nobody needs to be told.
        """
        for block in self.blocked.in_force(_now()):
            if block.is_on_one_request and self.requests.is_explained(_key(block)):
                self._put(replace(block, revision=block.revision + 1, is_lifted=True))

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
            self._announce(CrashNews(answers=entries[:MAX_PARTS_PER_DATAGRAM]))

    def _tell_whole_answers(self, answered: Mapping[RequestKey, float]) -> None:
        """Tell of answers to requests, unless another node did so meanwhile."""
        now = _now()
        entries = [
            request_entry(key, now - at)
            for key, at in answered.items()
            if now >= self._told_until.get(_part(key), 0.0)
        ]
        if entries:
            self._record_told(map(_part, answered), now)
            self._announce(CrashNews(answers=entries[:MAX_PARTS_PER_DATAGRAM]))

    def _record_told(self, parts: Iterable[Part], now: float) -> None:
        self._told_until = {
            part: until for part, until in self._told_until.items() if now < until
        }
        self._told_until.update(dict.fromkeys(parts, now + TOLD_SECONDS))

    # Blocks.

    def _new_block(
        self, service: str, parts: frozenset[str], *, is_lifted: bool = False
    ) -> Block:
        return Block(
            service=service,
            parts=parts,
            revision=self.blocked.next_revision((service, parts)),
            ends_at=_now() + BLOCK_SECONDS,
            is_lifted=is_lifted,
        )

    def _put(self, block: Block) -> bool:
        if not self.blocked.put(block):
            return False
        if block.is_on_one_request:
            if block.is_lifted:
                self.requests.forget_cause(_key(block))
            else:
                self.requests.record_cause(_key(block))
        elif block.is_lifted:
            self.suspects.forget(block.service, block.parts)
        else:
            self.suspects.explain(block.service, block.parts)
            self._lift_explained()
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
            self._announce(CrashNews(blocks=[block_entry(block, _now())]))

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
        news = CrashNews(blocks=[block_entry(block, now) for block in told])
        self._tell(news, members)

    def _write_missing(self) -> None:
        """Bring the store's statements up to date, if this node writes them."""
        if self._writing is not None and not self._writing.done():
            return
        missing, ended = self._store.missing(), self._store.ended(_now())
        if missing or ended:
            self._writing = self._tasks.spawn(self._store.update(missing, ended))

    # Tasks.

    def _later(self, delays: Iterable[float], action: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        for seconds in delays:
            loop.call_later(seconds, action)


def _part(key: RequestKey) -> Part:
    """Return a request's marked digest in place of a part."""
    service, digest = key
    return (service, REQUEST_MARK + digest)


def _block_key(key: RequestKey) -> BlockKey:
    service, part = _part(key)
    return (service, frozenset({part}))


def _key(block: Block) -> RequestKey:
    """Return the request that a block is on."""
    (part,) = block.parts
    return (block.service, part.removeprefix(REQUEST_MARK))


def _names(crashes: Iterable[Incarnation]) -> list[str]:
    return [f"{endpoint} {started_at}" for endpoint, started_at in crashes]


def _now() -> float:
    return asyncio.get_running_loop().time()
