"""A stand-in worker that serves the platform's protocol around `EngineModel`."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

from celerytrail.exceptions import PeerError
from celerytrail.http.messages import Request
from celerytrail.http.network import Network
from celerytrail.http.server import Responder
from celerytrail.types import Address

from .enginemodel import EngineModel, EngineSpec, Job, Link
from .handoverfaults import CopyReset, HandoverFaults, StopLoss
from .places import Work
from .unframed import UnframedResponder
from .worker import Worker

# Interval between two increments of a run's backup, in seconds.
BACKUP_INTERVAL_SECONDS = 0.25
# Age of a load report when it is served, in seconds.
REPORT_LAG_SECONDS = 0.5
REPORT_INTERVAL_SECONDS = 0.1
# Time after which an unused copy is dropped, in seconds.
COPY_LIFETIME_SECONDS = 5.0
# A copy between failure domains takes this many times as long.
CROSS_DOMAIN_FACTOR = 2.0
LENGTH_MARK = b"length="


@dataclass(kw_only=True)
class _Stream:
    """A request and the state of its answer's stream."""

    job: Job
    work: Work
    backup: str | None = None
    n_events: int = 0
    is_ended: bool = False
    is_cut: bool = False
    is_moving: bool = False
    has_lost_stop: bool = False
    has_refused_last: bool = False
    # Tokens of the run that each other engine holds, by the engine's address.
    n_copied: dict[str, int] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    # Set once it is worked on without a connection.
    lingers: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True, kw_only=True)
class _Copy:
    """A run's memory at this engine, and when it is dropped if it isn't used."""

    job: Job
    n_tokens: int
    drop_at: float


@dataclass(frozen=True, kw_only=True)
class PromptCrashes:
    """Which prompts crash an engine.

    Parameters
    ----------
    parts : frozenset of str
        Ids of the parts; the last part of a prompt crashes nothing.
    n_events : int
        Events of an answer that are sent before the crash.
    on_crash : callable
        Called with the engine and the part, at the moment of the crash.
    """

    parts: frozenset[str]
    n_events: int
    on_crash: Callable[[ModelWorker, str], None]

    def crashing_part(self, job: Job) -> str | None:
        """Return the part by which a run crashes its engine, if there is one."""
        found = (part for part, _ in job.parts[:-1] if part in self.parts)
        return next(found, None)


@dataclass(frozen=True, kw_only=True)
class AnswerEnds:
    """How an engine ends the bodies of its answers.

    Parameters
    ----------
    unframed_share : float
        Share of the answers without length and chunks, which end with their connection.
    torn_share : float
        Share of these that are closed inside an event, unless they resume a stream.
    rng : random.Random
        Draws them.
    """

    unframed_share: float
    torn_share: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def draw_tear(self) -> int:
        """Draw the number of the event that is torn, -1 for none."""
        is_torn = self.rng.random() < self.torn_share
        return self.rng.randrange(1, 6) if is_torn else -1


@dataclass(frozen=True, kw_only=True)
class SlowTimes:
    """When an engine is slow for a while.

    Parameters
    ----------
    share : float
        Share of the time in which it is slow.
    factor : float
        Factor on the duration of its steps then.
    seconds : float
        How long that lasts each time, in seconds.
    rng : random.Random
        Draws the times between, which are exponentially distributed.
    """

    share: float
    factor: float
    seconds: float
    rng: random.Random

    def draw_pause(self) -> float:
        """Draw how long the engine is as usual before it is slow again, in seconds."""
        mean = self.seconds * (1 - self.share) / self.share
        return self.rng.expovariate(1 / mean)


class ModelWorker(Worker):
    """Runs the engine's model in steps, and speaks the platform's protocol.

    Parameters
    ----------
    worker_id, failure_domain : str
        Its id and its failure domain.
    spec : EngineSpec
        Its capacity and speed.
    find_engine : callable
        Returns the engine at an address, or None.
    network : Network
        Carries its connections.
    """

    def __init__(
        self,
        *,
        worker_id: str,
        failure_domain: str,
        spec: EngineSpec,
        find_engine: Callable[[str], ModelWorker | None],
        network: Network,
    ) -> None:
        super().__init__(worker_id=worker_id, network=network)
        self.failure_domain = failure_domain
        self.model = EngineModel(spec=spec)
        self.link = Link()
        self.leaving_at: float | None = None
        self.is_closed = False
        # Attempts that started with a prefill, not from a copy.
        self.prefilled_ids: list[str] = []
        # Whether its events name its id, its start and its software version.
        self.signs_events = False
        # How long its answers to requests for reports take, in seconds.
        self.report_seconds = 0.0
        self.handover_faults = HandoverFaults()
        self.prompt_crashes: PromptCrashes | None = None
        self.answer_ends: AnswerEnds | None = None
        self.slow_times: SlowTimes | None = None
        # Factor on the duration of its steps now.
        self.slow_factor = 1.0
        # Attempts whose streams were closed inside an event.
        self.torn: list[str] = []
        # Works whose streams were sent to their ends, and works that it stopped.
        self.ended: list[Work] = []
        self.stopped: list[Work] = []
        self._find_engine = find_engine
        self._streams: dict[str, _Stream] = {}
        # The paths of the requests that it runs, by attempt.
        self._paths: dict[str, str] = {}
        self._copies: dict[str, _Copy] = {}
        # Names of the copies that aren't complete yet.
        self.receiving: set[str] = set()
        # By name, the addresses of the engines that have got copies of own runs.
        self._copied_to: dict[str, set[str]] = {}
        self._reports: deque[tuple[float, dict[str, object]]] = deque(maxlen=20)
        self._has_work = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, address: Address | None = None) -> Address:
        """Listen, and start the background tasks."""
        address = await super().start(address)
        loop = asyncio.get_running_loop()
        for coroutine in (
            self._run_steps(),
            self._record_reports(),
            self._update_backups(),
        ):
            self._tasks.append(loop.create_task(coroutine))
        if self.slow_times is not None:
            self._tasks.append(loop.create_task(self._be_slow(self.slow_times)))
        return address

    async def close(self) -> None:
        """Stop as in a crash: all connections are cut."""
        self.is_closed = True
        for task in self._tasks:
            task.cancel()
        await super().close()

    # Steps and load reports.

    async def _run_steps(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if self.model.is_idle:
                self._has_work.clear()
                await self._has_work.wait()
            self._drop_expired_copies(loop.time())
            step = self.model.step()
            await asyncio.sleep(step.seconds * self.slow_factor)
            if self._crashes_by_prompt(step.decoded):
                return
            if self._crashes_by_request(step.decoded):
                return
            for job in step.decoded:
                stream = self._streams.get(job.attempt_id)
                if stream is not None and stream.job is job:
                    self._on_token(stream)

    async def _be_slow(self, times: SlowTimes) -> None:
        """Be slow from time to time."""
        while True:
            await asyncio.sleep(times.draw_pause())
            self.slow_factor = times.factor
            await asyncio.sleep(times.seconds)
            self.slow_factor = 1.0

    def _crashes_by_prompt(self, decoded: Sequence[Job]) -> bool:
        """Crash if a run that has just made a token does so; return whether it did."""
        crashes = self.prompt_crashes
        if crashes is None:
            return False
        n_tokens = crashes.n_events * self.model.spec.n_event_tokens
        for job in decoded:
            part = crashes.crashing_part(job)
            if part is not None and job.n_generated > n_tokens:
                crashes.on_crash(self, part)
                return True
        return False

    def _crashes_by_request(self, decoded: Sequence[Job]) -> bool:
        """Crash if a request that has just made a token does so."""
        crashes = self.request_crashes
        if crashes is None:
            return False
        n_tokens = crashes.n_events * self.model.spec.n_event_tokens
        for job in decoded:
            path = self._paths.get(job.attempt_id, "")
            if path in crashes.paths and job.n_generated > n_tokens:
                crashes.on_crash(self, path)
                return True
        return False

    def _on_token(self, stream: _Stream) -> None:
        job = stream.job
        n_whole, n_rest = divmod(job.n_generated, self.model.spec.n_event_tokens)
        # Called when the step ends; its tokens can't be sent before.
        stream.n_events = n_whole + (1 if job.is_done and n_rest else 0)
        stream.is_ended = job.is_done
        stream.changed.set()

    def _drop_expired_copies(self, now: float) -> None:
        for name, copy in list(self._copies.items()):
            if now >= copy.drop_at:
                self._drop_copy(name)

    def _drop_copy(self, name: str) -> None:
        self._copies.pop(name, None)
        self.model.copies.pop(name, None)

    async def _record_reports(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            model = self.model
            report: dict[str, object] = {
                "stage": "hybrid",
                "queued": len(model.waiting),
                "in-flight": len(model.running),
                "kv-used": model.n_used,
                "kv-total": model.spec.n_memory_tokens,
                "state": "ready" if self.leaving_at is None else "draining",
                "born": self.born,
            }
            if self.leaving_at is not None:
                seconds_left = max(0.0, self.leaving_at - loop.time())
                report["leaves_ms"] = round(seconds_left * 1_000)
            self._reports.append((loop.time(), report))
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    # Copies.

    async def _update_backups(self) -> None:
        """Copy the growth of each run to its backup, several times a second."""
        while True:
            await asyncio.sleep(BACKUP_INTERVAL_SECONDS)
            for stream in list(self._streams.values()):
                target = self._find_engine(stream.backup) if stream.backup else None
                if target is not None and stream.job.n_prefill == 0:
                    name = f"{target.address}/{stream.job.attempt_id}"
                    await self._copy(stream, target, name)

    async def _copy(self, stream: _Stream, target: ModelWorker, name: str) -> bool:
        """Copy the growth of a run; False without capacity, or if an engine closed."""
        loop = asyncio.get_running_loop()
        job = stream.job
        n_before = stream.n_copied.get(str(target.address), 0)
        n_tokens = job.n_tokens
        is_held = name in target._copies
        if not is_held and not target.model.can_hold_copy(n_tokens):
            return False
        # The target's slot and memory are reserved before the transfer starts.
        target.model.copies[name] = n_tokens
        spec = self.model.spec
        n_bytes = (n_tokens - n_before) * spec.token_bytes
        is_cross_domain = target.failure_domain != self.failure_domain
        seconds = (
            n_bytes
            / spec.link_bytes_per_second
            * (CROSS_DOMAIN_FACTOR if is_cross_domain else 1)
        )
        ends_at = Link.book(self.link, target.link, n_bytes, seconds, loop.time())
        await asyncio.sleep(ends_at - loop.time())
        if target.is_closed or self.is_closed:
            return False
        stream.n_copied[str(target.address)] = n_tokens
        self._copied_to.setdefault(name, set()).add(str(target.address))
        target._copies[name] = _Copy(
            job=job, n_tokens=n_tokens, drop_at=loop.time() + COPY_LIFETIME_SECONDS
        )
        return True

    async def _move(self, req: Request, res: Responder) -> None:
        order = msgspec.json.decode(req.body)
        stream = self._streams.get(order["id"])
        if order["last"] and stream is not None:
            await self._read_late(stream)
            stream = self._streams.get(order["id"])
        if stream is None:
            await res.send(404, headers=self.leaving_headers)
            return
        if stream.is_moving:
            await res.send(409, headers=self.leaving_headers)
            return
        loss = self._draw_stop_loss(stream) if order["last"] else None
        if loss is StopLoss.UNREAD:
            res.abort()
            return
        stream.is_moving = True
        handle = f"m{order['id']}"
        target = self._find_engine(order["to"])
        if order["last"] and self._refuses_last(stream):
            target = None
        job = stream.job
        if order["last"]:
            # The run stops at this engine, and its stream is cut before its end.
            self.model.withdraw(job)
            self.work_log.end(stream.work)
            self.stopped.append(stream.work)
            self._hold_copy(f"{self.address}/{handle}", job)
            stream.is_cut = True
            stream.changed.set()
        name = f"{self.address}/{handle}"
        faults = self.handover_faults
        stop_seconds = faults.stop_seconds if order["last"] else 0.0
        if target is not None:
            target.receiving.add(name)
        try:
            is_copied = target is not None and await self._copy(stream, target, name)
            await asyncio.sleep(faults.move_seconds + stop_seconds)
        finally:
            if target is not None:
                target.receiving.discard(name)
        stream.is_moving = False
        stream.changed.set()
        if loss is not None:
            if loss is StopLoss.SILENT:
                await asyncio.wait({res.lost})
            res.abort()
            return
        if not is_copied:
            body = {"handle": handle} if order["last"] else {}
            await res.send_json(503, body, self.leaving_headers)
            return
        if order["last"]:
            self._drop_copy(f"{self.address}/{handle}")
        n_events = job.n_generated // self.model.spec.n_event_tokens
        moved = {"handle": handle, "created": n_events}
        await res.send_json(200, moved, self.leaving_headers)

    async def _read_late(self, stream: _Stream) -> None:
        """Wait before a request to stop a run is read."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.handover_faults.read_seconds):
                await stream.lingers.wait()

    def _draw_stop_loss(self, stream: _Stream) -> StopLoss | None:
        """Return whether the answer to a request that stops a run is lost."""
        if stream.has_lost_stop:
            return None
        stream.has_lost_stop = True
        return self.handover_faults.stop_loss

    def _refuses_last(self, stream: _Stream) -> bool:
        """Return whether there is no room for the last copy of a run."""
        is_first = not stream.has_refused_last
        stream.has_refused_last = True
        return is_first and self.handover_faults.refuses_last

    def _hold_copy(self, name: str, job: Job) -> None:
        drop_at = asyncio.get_running_loop().time() + COPY_LIFETIME_SECONDS
        self._copies[name] = _Copy(job=job, n_tokens=job.n_tokens, drop_at=drop_at)
        self.model.copies[name] = job.n_tokens

    async def _free_copy(self, req: Request, res: Responder) -> None:
        """Free a copy; the source of one frees it at its target as well."""
        handle = req.path.rpartition("/")[2]
        names = [name for name in self._copies if name.endswith(f"/{handle}")]
        for name in names:
            self._drop_copy(name)
        own_name = f"{self.address}/{handle}"
        for address in self._copied_to.pop(own_name, ()):
            target = self._find_engine(address)
            if target is not None and own_name in target._copies:
                target._drop_copy(own_name)
                names.append(own_name)
        await res.send(200 if names else 404, headers=self.leaving_headers)

    # Requests.

    async def _answer_other(self, req: Request, res: Responder) -> bool:
        if req.path == "/api/report":
            await asyncio.sleep(self.report_seconds)
            latest_at = asyncio.get_running_loop().time() - REPORT_LAG_SECONDS
            stale = [report for at, report in self._reports if at <= latest_at]
            report = stale[-1] if stale else self._reports[0][1]
            await res.send_json(200, report, self.leaving_headers)
        elif req.path == "/api/kv-move":
            await self._move(req, res)
        elif req.path.startswith("/api/kv-handle/"):
            await self._free_copy(req, res)
        else:
            return False
        return True

    async def _run(self, req: Request, res: Responder, attempt_id: str) -> None:
        job = self._job(req, attempt_id)
        if job is None or not self.model.submit(job):
            headers = {**self._headers(attempt_id), "x-not-executed": "1"}
            await res.send(503, headers=headers)
            return
        self.ran.append(attempt_id)
        if not job.is_from_copy:
            self.prefilled_ids.append(attempt_id)
        copy = req.headers.get("kv-from")
        machine = req.peer.rpartition(":")[0]
        work = self.work_log.begin(self.worker_id, attempt_id, copy, machine=machine)
        stream = _Stream(job=job, work=work, backup=req.headers.get("x-kv-backup"))
        self._streams[attempt_id] = stream
        self._paths[attempt_id] = req.path
        self._has_work.set()
        first_event = 0
        if "last-event-id" in req.headers:
            first_event = int(req.headers["last-event-id"]) + 1
        try:
            await self._answer(res, stream, first_event)
            if res.is_lost:
                await self._linger(stream, self.handover_faults.linger_seconds)
        except PeerError:
            await self._linger(stream, self.handover_faults.linger_seconds)
            raise
        finally:
            self.model.withdraw(job)
            self.work_log.end(work)
            if self._streams.get(attempt_id) is stream:
                del self._streams[attempt_id]

    async def _answer(self, res: Responder, stream: _Stream, first_event: int) -> None:
        """Answer a run with its events, after the troubles of one from a copy."""
        ends = self.answer_ends
        if ends is not None and ends.rng.random() < ends.unframed_share:
            res = UnframedResponder(res=res)
        faults = self.handover_faults
        if stream.work.copy is not None:
            if faults.copy_reset is not None:
                res.abort()
                if faults.copy_reset is CopyReset.WORKS_ON:
                    await self._linger(stream, float("inf"))
                return
            if faults.is_head_first:
                res.start(200, self._stream_headers(stream.job.attempt_id))
            # The connection may close meanwhile.
            await asyncio.wait({res.lost}, timeout=faults.head_seconds)
        await self._send_events(res, stream, first_event)

    @staticmethod
    async def _linger(stream: _Stream, seconds: float) -> None:
        """Work on a run without a connection, until it ends or is stopped."""
        stream.lingers.set()
        try:
            async with asyncio.timeout(seconds if seconds < float("inf") else None):
                while not stream.is_ended and not stream.is_cut:
                    stream.changed.clear()
                    await stream.changed.wait()
        except TimeoutError:
            pass

    def _job(self, req: Request, attempt_id: str) -> Job | None:
        name = req.headers.get("kv-from")
        if name is not None:
            return self._job_of_copy(name)
        n_prompt = int(req.headers.get("x-token-count", "1,1").partition(",")[0])
        parts = tuple(
            (part, int(n_tokens))
            for part, _, n_tokens in (
                entry.partition(":")
                for entry in req.headers.get("x-prompt-prefix", "").split(",")
                if entry
            )
        )
        return Job(
            attempt_id=attempt_id,
            n_prompt=n_prompt,
            n_output=_answer_length(req.body),
            parts=parts,
            priority=int(req.headers.get("x-request-priority", "5")),
        )

    def _job_of_copy(self, name: str) -> Job | None:
        copy = self._copies.get(name)
        if copy is None or name in self.receiving:
            return None
        self._drop_copy(name)
        source_job = copy.job
        return Job(
            attempt_id=source_job.attempt_id,
            n_prompt=source_job.n_prompt,
            n_output=source_job.n_output,
            parts=source_job.parts,
            priority=source_job.priority,
            n_generated=source_job.n_generated,
            n_prefill=source_job.n_tokens - copy.n_tokens,
            is_from_copy=True,
        )

    async def _send_events(
        self, res: Responder, stream: _Stream, first_event: int
    ) -> None:
        attempt_id = stream.job.attempt_id
        headers = self._stream_headers(attempt_id)
        ends = self.answer_ends
        faults = self.handover_faults
        breaks_at = faults.breaks_after
        tears_at = -1
        if ends is not None and isinstance(res, UnframedResponder) and not first_event:
            tears_at = ends.draw_tear()
        # The headers are sent with the first event: a waiting request hasn't started.
        is_begun = res.has_begun
        number = first_event
        while True:
            while number < self._n_sendable(stream):
                if stream.work.copy is None and number == breaks_at:
                    res.abort()
                    await asyncio.wait({res.lost})
                    return
                if not is_begun:
                    res.start(200, headers)
                    is_begun = True
                data = event(attempt_id, number, self._signature)
                if number == tears_at:
                    self.torn.append(attempt_id)
                    await res.write(data[: len(data) // 2])
                    await res.finish()
                    return
                await res.write(data)
                number += 1
            if stream.is_ended:
                break
            if stream.is_cut and not res.is_lost:
                if is_begun and number < stream.n_events and faults.tears_stopped:
                    data = event(attempt_id, number, self._signature)
                    await res.write(data[: len(data) // 2])
                await self._close_stopped(res)
                return
            if res.is_lost:
                res.abort()
                return
            stream.changed.clear()
            await self._await_change(stream, res)
        if not is_begun:
            res.start(200, headers)
        if not res.is_lost:
            self.ended.append(stream.work)
        await res.finish()

    def _n_sendable(self, stream: _Stream) -> int:
        """Return how many events of a run its stream may have by now."""
        if stream.is_ended:
            return stream.n_events
        return stream.n_events - self.handover_faults.n_unsent_events

    async def _close_stopped(self, res: Responder) -> None:
        """Close the stream of a stopped run without its end."""
        faults = self.handover_faults
        await asyncio.wait({res.lost}, timeout=faults.stopped_seconds)
        if faults.resets_stopped or not isinstance(res, UnframedResponder):
            res.abort()
            return
        await res.finish()

    def _stream_headers(self, attempt_id: str) -> dict[str, str]:
        return {**self._headers(attempt_id), "content-type": "text/event-stream"}

    @property
    def _signature(self) -> str:
        if not self.signs_events:
            return ""
        return f"{self.worker_id} {self.born} {self.software}"

    @staticmethod
    async def _await_change(stream: _Stream, res: Responder) -> None:
        changed = asyncio.ensure_future(stream.changed.wait())
        waiting: set[asyncio.Future[Any]] = {changed, res.lost}
        try:
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        finally:
            changed.cancel()


def event(attempt_id: str, number: int, signature: str = "") -> bytes:
    """Return the right event of a run at a position of its stream.

    Parameters
    ----------
    attempt_id : str
        The caller's id.
    number : int
        The position, from 0.
    signature : str
        What names the engine that sends it; may be empty.
    """
    signed = f"sender: {signature}\n" if signature else ""
    return f"id: {number}\ndata: {attempt_id} {number}\n{signed}\n".encode()


def request_body(n_output: int) -> bytes:
    """Return a request body that sets the length of the answer, in tokens."""
    return LENGTH_MARK + str(n_output).encode()


def _answer_length(body: bytes) -> int:
    _, _, digits = body.partition(LENGTH_MARK)
    return int(digits) if digits.isdigit() else 1
