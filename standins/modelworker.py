"""A model engine as a process of its own on the network, around the engine's model."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from celerytrail.http.messages import Request
from celerytrail.http.network import Network
from celerytrail.http.server import Responder
from celerytrail.types import Address

from .enginemodel import EngineModel, EngineSpec, Job, Link
from .worker import Worker

# Between two parts of a copy that grows with its run, in seconds.
BACKUP_SECONDS = 0.25
# How old what an engine says of its load is, in seconds.
REPORT_LAG_SECONDS = 0.5
REPORT_EVERY_SECONDS = 0.1
# How long a copy waits for its use, in seconds.
COPY_SECONDS = 5.0
FAR_FACTOR = 2.0
LENGTH_MARK = b"length="


@dataclass(kw_only=True)
class _Stream:
    """A request, and what its answer still has to send."""

    job: Job
    backup: str | None = None
    n_events: int = 0
    is_ended: bool = False
    is_cut: bool = False
    is_moving: bool = False
    # What was copied of it, in tokens, by the other engine's address.
    copied: dict[str, int] = field(default_factory=dict)
    news: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True, kw_only=True)
class _Copy:
    job: Job
    n_tokens: int
    drop_at: float


class ModelWorker(Worker):
    """Runs the engine's model in steps, and speaks the platform's protocol.

    Parameters
    ----------
    worker_id, failure_domain : str
        What it calls itself, and where it is.
    spec : EngineSpec
        What it has.
    find : callable
        Returns the engine at an address, if one lives there.
    network : Network
        What carries its connections.
    """

    def __init__(
        self,
        *,
        worker_id: str,
        failure_domain: str,
        spec: EngineSpec,
        find: Callable[[str], ModelWorker | None],
        network: Network,
    ) -> None:
        super().__init__(worker_id=worker_id, network=network)
        self.failure_domain = failure_domain
        self.model = EngineModel(spec=spec)
        self.link = Link()
        self.leaves_at: float | None = None
        self.is_dead = False
        # Attempts whose prompt it read from the start, not from a copy.
        self.begun: list[str] = []
        self._find = find
        self._streams: dict[str, _Stream] = {}
        self._copies: dict[str, _Copy] = {}
        self._reports: deque[tuple[float, dict[str, object]]] = deque(maxlen=20)
        self._has_work = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> Address:
        """Listen, and begin to step."""
        address = await super().start()
        loop = asyncio.get_running_loop()
        for work in (self._step_on(), self._note_reports(), self._back_up()):
            self._tasks.append(loop.create_task(work))
        return address

    async def close(self) -> None:
        """Die: all connections are cut."""
        self.is_dead = True
        for task in self._tasks:
            task.cancel()
        await super().close()

    # The engine's own work.

    async def _step_on(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if self.model.is_idle:
                self._has_work.clear()
                await self._has_work.wait()
            self._drop_copies(loop.time())
            step = self.model.step()
            await asyncio.sleep(step.seconds)
            for job in step.made:
                stream = self._streams.get(job.attempt_id)
                if stream is not None and stream.job is job:
                    self._note_token(stream)

    def _note_token(self, stream: _Stream) -> None:
        job = stream.job
        n_whole, n_over = divmod(job.n_made, self.model.spec.n_event_tokens)
        # The step is over only now; what it made could not be sent before.
        stream.n_events = n_whole + (1 if job.is_done and n_over else 0)
        stream.is_ended = job.is_done
        stream.news.set()

    def _drop_copies(self, now: float) -> None:
        for name, copy in list(self._copies.items()):
            if now >= copy.drop_at:
                self._forget_copy(name)

    def _forget_copy(self, name: str) -> None:
        self._copies.pop(name, None)
        self.model.copies.pop(name, None)

    async def _note_reports(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            model = self.model
            report: dict[str, object] = {
                "stage": "hybrid",
                "queued": len(model.waiting),
                "in-flight": len(model.running),
                "kv-used": model.n_used,
                "kv-total": model.spec.n_memory_tokens,
                "state": "ready" if self.leaves_at is None else "draining",
            }
            if self.leaves_at is not None:
                left = max(0.0, self.leaves_at - loop.time())
                report["leaves_ms"] = round(left * 1_000)
            self._reports.append((loop.time(), report))
            await asyncio.sleep(REPORT_EVERY_SECONDS)

    # Copies.

    async def _back_up(self) -> None:
        """Send what grew of each run that has a backup, several times a second."""
        while True:
            await asyncio.sleep(BACKUP_SECONDS)
            for stream in list(self._streams.values()):
                target = self._find(stream.backup) if stream.backup else None
                if target is not None and stream.job.n_unread == 0:
                    name = f"{target.address}/{stream.job.attempt_id}"
                    await self._copy(stream, target, name)

    async def _copy(self, stream: _Stream, target: ModelWorker, name: str) -> bool:
        """Copy what is new of a run; False where there is no room for it."""
        loop = asyncio.get_running_loop()
        job = stream.job
        n_before = stream.copied.get(str(target.address), 0)
        n_tokens = job.n_tokens
        is_known = name in target._copies
        if not is_known and not target.model.has_room_for(n_tokens):
            return False
        # The place is taken from the first moment on.
        target.model.copies[name] = n_tokens
        spec = self.model.spec
        n_bytes = (n_tokens - n_before) * spec.token_bytes
        is_cross_domain = target.failure_domain != self.failure_domain
        seconds = (
            n_bytes
            / spec.link_bytes_per_second
            * (FAR_FACTOR if is_cross_domain else 1)
        )
        ends_at = Link.take(self.link, target.link, n_bytes, seconds, loop.time())
        await asyncio.sleep(ends_at - loop.time())
        if target.is_dead or self.is_dead:
            return False
        stream.copied[str(target.address)] = n_tokens
        target._copies[name] = _Copy(
            job=job, n_tokens=n_tokens, drop_at=loop.time() + COPY_SECONDS
        )
        return True

    async def _move(self, req: Request, res: Responder) -> None:
        order = msgspec.json.decode(req.body)
        stream = self._streams.get(order["id"])
        if stream is None:
            await res.send(404)
            return
        if stream.is_moving:
            await res.send(409)
            return
        stream.is_moving = True
        handle = f"m{order['id']}"
        target = self._find(order["to"])
        job = stream.job
        if order["last"]:
            # The run stops here, and its stream is closed without its end.
            self.model.withdraw(job)
            self._hold(f"{self.address}/{handle}", job)
            stream.is_cut = True
        copied = target is not None and await self._copy(
            stream, target, f"{self.address}/{handle}"
        )
        stream.is_moving = False
        stream.news.set()
        if not copied:
            body = {"handle": handle} if order["last"] else {}
            await res.send_json(503, body)
            return
        if order["last"]:
            self._forget_copy(f"{self.address}/{handle}")
        n_events = job.n_made // self.model.spec.n_event_tokens
        await res.send_json(200, {"handle": handle, "created": n_events})

    def _hold(self, name: str, job: Job) -> None:
        drop_at = asyncio.get_running_loop().time() + COPY_SECONDS
        self._copies[name] = _Copy(job=job, n_tokens=job.n_tokens, drop_at=drop_at)
        self.model.copies[name] = job.n_tokens

    async def _free(self, req: Request, res: Responder) -> None:
        handle = req.path.rpartition("/")[2]
        names = [name for name in self._copies if name.endswith(f"/{handle}")]
        for name in names:
            self._forget_copy(name)
        await res.send(200 if names else 404)

    # Calls.

    async def _answer_other(self, req: Request, res: Responder) -> bool:
        if req.path == "/api/report":
            lag = asyncio.get_running_loop().time() - REPORT_LAG_SECONDS
            old = [report for at, report in self._reports if at <= lag]
            await res.send_json(200, old[-1] if old else self._reports[0][1])
        elif req.path == "/api/kv-move":
            await self._move(req, res)
        elif req.path.startswith("/api/kv-handle/"):
            await self._free(req, res)
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
        if not job.is_copy:
            self.begun.append(attempt_id)
        stream = _Stream(job=job, backup=req.headers.get("x-kv-backup"))
        self._streams[attempt_id] = stream
        self._has_work.set()
        first = 0
        if "last-event-id" in req.headers:
            first = int(req.headers["last-event-id"]) + 1
        try:
            await self._send_events(res, stream, first)
        finally:
            self.model.withdraw(job)
            if self._streams.get(attempt_id) is stream:
                del self._streams[attempt_id]

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
            n_output=_length(req.body),
            parts=parts,
            priority=int(req.headers.get("x-request-priority", "5")),
        )

    def _job_of_copy(self, name: str) -> Job | None:
        copy = self._copies.get(name)
        if copy is None:
            return None
        self._forget_copy(name)
        former = copy.job
        return Job(
            attempt_id=former.attempt_id,
            n_prompt=former.n_prompt,
            n_output=former.n_output,
            parts=former.parts,
            priority=former.priority,
            n_made=former.n_made,
            n_unread=former.n_tokens - copy.n_tokens,
            is_copy=True,
        )

    async def _send_events(self, res: Responder, stream: _Stream, first: int) -> None:
        attempt_id = stream.job.attempt_id
        headers = {**self._headers(attempt_id), "content-type": "text/event-stream"}
        # The head comes with the first token, as a request that waits has not begun.
        is_begun = False
        number = first
        while True:
            while number < stream.n_events:
                if not is_begun:
                    res.start(200, headers)
                    is_begun = True
                await res.write(event(attempt_id, number))
                number += 1
            if stream.is_ended:
                break
            if stream.is_cut or res.is_lost:
                res.abort()
                return
            stream.news.clear()
            await self._await_news(stream, res)
        if not is_begun:
            res.start(200, headers)
        await res.finish()

    @staticmethod
    async def _await_news(stream: _Stream, res: Responder) -> None:
        news = asyncio.ensure_future(stream.news.wait())
        waiting: set[asyncio.Future[Any]] = {news, res.lost}
        try:
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        finally:
            news.cancel()


def event(attempt_id: str, number: int) -> bytes:
    """Return the one right event of a run at a place of its stream."""
    return f"id: {number}\ndata: {attempt_id} {number}\n\n".encode()


def request_body(n_output: int) -> bytes:
    """Return a body that tells a model engine how long its answer is."""
    return LENGTH_MARK + str(n_output).encode()


def _length(body: bytes) -> int:
    _, _, digits = body.partition(LENGTH_MARK)
    return int(digits) if digits.isdigit() else 1
