"""Stand-ins for the platform's workers, which serve their published protocol.

A plain worker sends whole answers. An engine streams events, moves its runs to other
engines, and holds backups that grow with their runs.
"""

from __future__ import annotations

import abc
import asyncio
import random
from bisect import bisect_left
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec
from result import Err

from celerytrail.http.client import HttpClient
from celerytrail.http.messages import Request
from celerytrail.http.network import Network
from celerytrail.http.server import Handler, HttpServer, Responder
from celerytrail.platform import storewire
from celerytrail.types import Address

from .lateanswers import LateAnswers
from .places import WorkLog
from .requestcrashes import AT_READING, RequestCrashes

SEAL_HEADER = "x-response-seal"
# Delay of a report with this fault, in seconds: longer than a test waits for it.
REPORT_DELAY_SECONDS = 30.0


def worker_row(
    service: str, address: Address, state: str = "ready", **more: object
) -> dict[str, object]:
    """Return the row by which a worker registers in the store."""
    return {
        "service": service,
        "address": str(address),
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": state,
        "cold-remaining-ms": 0,
        "sequence": 1,
        "born": 1,
        **more,
    }


async def write_rows(
    client: HttpClient, store: Address, rows: Mapping[str, object]
) -> None:
    """Write workers' rows into the store, as the workers themselves do."""
    body = storewire.transaction_body(
        storewire.REGISTRATION_TABLE,
        writes={key: msgspec.json.encode(row) for key, row in rows.items()},
    )
    sent = await client.request(store, "POST", storewire.TRANSACT_PATH, body=body)
    if isinstance(sent, Err) or sent.ok_value.status != 200:
        raise RuntimeError(f"writing rows to the store at {store} failed: {sent}")


@dataclass(kw_only=True)
class WorkerFaults:
    """Faults that a worker shows on the next requests."""

    refuses: bool = False
    is_mute: bool = False
    cuts_after_bytes: int | None = None
    resets: bool = False
    has_extra: bool = False
    is_unsealed: bool = False
    echoes_other_id: bool = False
    delays_report: bool = False
    status: int = 200


@dataclass(kw_only=True)
class Shedding:
    """How a worker turns requests away and asks for pauses.

    Parameters
    ----------
    pauses : tuple of str
        The values of ``Retry-After``, used in turn; an empty one omits the header.
    share : float
        Share of the requests that it turns away.
    rng : random.Random
        Draws them.
    """

    pauses: tuple[str, ...]
    share: float = 1.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    n_refused: int = 0

    def refuses(self) -> bool:
        """Return whether the next request is turned away."""
        return self.rng.random() < self.share

    def next_pause(self) -> str:
        """Return the pause that the next refusal asks for."""
        self.n_refused += 1
        return self.pauses[(self.n_refused - 1) % len(self.pauses)]


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """Any request as a worker received it: from which machine, and when."""

    peer: str
    path: str
    attempt_id: str
    at: float


@dataclass(frozen=True, kw_only=True)
class Statement:
    """What a worker said of itself to a machine, in an answer to a request."""

    peer: str
    at: float
    pause_seconds: float = 0.0
    is_leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class ReceivedRequest:
    """A request as a worker received it, and the loop time of its arrival."""

    attempt_id: str
    req: Request
    arrived_at: float = 0.0


class Worker(Handler, abc.ABC):
    """The part of the protocol that both kinds of workers share.

    Parameters
    ----------
    worker_id : str
        Its id; a request for another worker is refused.
    network : Network or None
        Carries its connections; the machine's network by default.
    """

    def __init__(self, *, worker_id: str, network: Network | None = None) -> None:
        self.worker_id = worker_id
        self.faults = WorkerFaults()
        self.seen: list[ReceivedRequest] = []
        self.ran: list[str] = []
        # When it worked on which request; for checks.
        self.work_log = WorkLog()
        # How long it states in its answers that it stays cold, in milliseconds.
        self.cold_ms = 0
        # The requests per second that it states to take from all nodes together.
        self.request_limit: float | None = None
        # The load that it states in its answers; several values are used in turn.
        self.load_headers: tuple[str, ...] = ()
        self.shedding: Shedding | None = None
        self.request_crashes: RequestCrashes | None = None
        self.late_answers: LateAnswers | None = None
        # Whether it says in all its answers that it leaves.
        self.is_leaving = False
        # All that reached it, and what it said; for checks.
        self.arrivals: list[Arrival] = []
        self.statements: list[Statement] = []
        # The version of its software, and its start in Unix milliseconds.
        self.software = "v1"
        self.born = 1
        self.address = Address(host="127.0.0.1", port=1)
        self._server = HttpServer(handler=self, network=network)

    async def start(self, address: Address | None = None) -> Address:
        """Listen on an address; by default a free port of the loopback address."""
        free = Address(host="127.0.0.1", port=0)
        self.address = await self._server.start(address or free)
        return self.address

    async def close(self) -> None:
        """Stop as in a crash: all connections are cut."""
        await self._server.close()

    @property
    def n_connections(self) -> int:
        """Return how many connections are open."""
        return self._server.n_connections

    def row(self, service: str, state: str = "ready", **more: object) -> object:
        """Return the row by which it registers in the store."""
        columns = {"version": self.software, "born": self.born, **more}
        return worker_row(service, self.address, state, **columns)

    @property
    def max_requests_per_second(self) -> int:
        """Return the most requests that arrived within any second."""
        return self.max_requests(seconds=1.0)

    def max_requests(self, *, seconds: float, since: float = 0.0) -> int:
        """Return the most requests that arrived within a window after a time."""
        times = [seen.arrived_at for seen in self.seen if seen.arrived_at >= since]
        return max(
            (bisect_left(times, at + seconds) - n for n, at in enumerate(times)),
            default=0,
        )

    async def handle(self, req: Request, res: Responder) -> None:
        """Answer one request."""
        attempt_id = req.headers.get("x-attempt-id", "")
        arrived_at = asyncio.get_running_loop().time()
        peer = req.peer.rpartition(":")[0]
        self.arrivals.append(
            Arrival(peer=peer, path=req.path, attempt_id=attempt_id, at=arrived_at)
        )
        if self.is_leaving:
            self.statements.append(Statement(peer=peer, at=arrived_at, is_leaving=True))
        if self.late_answers is not None:
            late = self.late_answers.draw(res._conn, attempt_id)
            if late is not None:
                await _write_raw(res, late)
        if await self._answer_other(req, res):
            return
        self.seen.append(
            ReceivedRequest(attempt_id=attempt_id, req=req, arrived_at=arrived_at)
        )
        target_id = req.headers.get("x-target-instance", self.worker_id)
        if target_id != self.worker_id:
            headers = {**self._headers(attempt_id), "x-not-executed": "1"}
            await res.send(421, headers=headers)
        elif self.faults.refuses:
            headers = {**self._headers(attempt_id), "x-not-executed": "1"}
            await res.send(503, headers=headers)
        elif self.shedding is not None and self.shedding.refuses():
            await self._shed(res, attempt_id, peer, self.shedding)
        elif self._crashes_at_reading(req):
            await res.lost
        elif self.faults.is_mute:
            self.ran.append(attempt_id)
            await res.lost
        else:
            await self._run(req, res, attempt_id)

    def crash_of(self, req: Request) -> RequestCrashes | None:
        """Return how a request crashes this worker, None if it doesn't."""
        crashes = self.request_crashes
        return crashes if crashes is not None and req.path in crashes.paths else None

    def _crashes_at_reading(self, req: Request) -> bool:
        """Crash if a request does so as soon as it is read; return whether it did."""
        crashes = self.crash_of(req)
        if crashes is None or crashes.n_events != AT_READING:
            return False
        crashes.on_crash(self, req.path)
        return True

    async def _shed(
        self, res: Responder, attempt_id: str, peer: str, shedding: Shedding
    ) -> None:
        """Turn a request away, and ask its machine for a pause."""
        headers = {**self._headers(attempt_id), "x-not-executed": "1"}
        pause = shedding.next_pause()
        if pause:
            headers["retry-after"] = pause
            self.statements.append(
                Statement(
                    peer=peer,
                    at=asyncio.get_running_loop().time(),
                    pause_seconds=float(pause),
                )
            )
        await res.send(503, headers=headers)

    async def _answer_other(self, req: Request, res: Responder) -> bool:
        """Answer a call of the protocol that isn't a caller's request, if it is one."""
        return False

    @property
    def leaving_headers(self) -> dict[str, str]:
        """Return what it adds to all its answers while it leaves."""
        return {"server-leaving": "1"} if self.is_leaving else {}

    @abc.abstractmethod
    async def _run(self, req: Request, res: Responder, attempt_id: str) -> None:
        """Run a request."""

    def _headers(self, attempt_id: str) -> dict[str, str]:
        echoed = "another" if self.faults.echoes_other_id else attempt_id
        headers = {"x-attempt-id": echoed, "x-worker-id": self.worker_id}
        headers |= self.leaving_headers
        if self.cold_ms:
            headers["x-cold-ms"] = str(self.cold_ms)
        if self.request_limit is not None:
            headers["server-limit"] = f"{self.request_limit:g}"
        if self.load_headers:
            position = len(self.arrivals) % len(self.load_headers)
            headers["x-worker-load"] = self.load_headers[position]
        if not self.faults.is_unsealed:
            headers[SEAL_HEADER] = f"seal of {self.worker_id}"
        return headers


@dataclass(kw_only=True)
class Brittleness:
    """How a worker that falls over is set up, and what became of it.

    Parameters
    ----------
    n_refusals : int
        Requests that it can refuse within a second for want of room, as it states.
    n_slots, n_waiting : int
        Requests that it runs at a time, and those that it lets wait.
    run_seconds : float
        How long it runs a request.
    down_seconds : float
        How long it is away after it fell over.
    """

    n_refusals: int
    n_slots: int = 4
    n_waiting: int = 0
    run_seconds: float = 0.1
    down_seconds: float = 3.0
    n_running: int = 0
    refused_at: list[float] = field(default_factory=list)
    fell_at: list[float] = field(default_factory=list)

    @property
    def is_full(self) -> bool:
        """Return whether it has no room for one more request."""
        return self.n_running >= self.n_slots + self.n_waiting

    @property
    def max_refused(self) -> int:
        """Return the most requests that it refused within any second."""
        times = self.refused_at
        return max(
            (bisect_left(times, at + 1.0) - n for n, at in enumerate(times)), default=0
        )


class PlainWorker(Worker):
    """Answers each request with its own id and the request's body.

    If it is brittle, it falls over when it has to refuse more than it states.
    ``answer_seconds`` is how long it takes for an answer otherwise.
    """

    brittleness: Brittleness | None = None
    answer_seconds: float = 0.0

    async def _run(self, req: Request, res: Responder, attempt_id: str) -> None:
        crashes = self.crash_of(req)
        if crashes is not None:
            await self._crash(req, res, attempt_id, crashes)
            return
        brittle = self.brittleness
        if brittle is None:
            if self.answer_seconds:
                await asyncio.sleep(self.answer_seconds)
            await self._answer(req, res, attempt_id)
            return
        now = asyncio.get_running_loop().time()
        if brittle.fell_at and now < brittle.fell_at[-1] + brittle.down_seconds:
            res.abort()
            return
        if brittle.is_full:
            await self._refuse(res, attempt_id, brittle, now)
            return
        brittle.n_running += 1
        try:
            n_ahead = max(0, brittle.n_running - brittle.n_slots)
            await asyncio.sleep(brittle.run_seconds * (1 + n_ahead / brittle.n_slots))
        finally:
            brittle.n_running -= 1
        await self._answer(req, res, attempt_id)

    async def _crash(
        self, req: Request, res: Responder, attempt_id: str, crashes: RequestCrashes
    ) -> None:
        """Run a request up to the moment at which it crashes this worker."""
        self.ran.append(attempt_id)
        await asyncio.sleep(crashes.seconds)
        if crashes.n_body_bytes is not None:
            headers = {**self._headers(attempt_id), "content-length": "1000000"}
            res.start(200, headers)
            await res.write(b"x" * crashes.n_body_bytes)
            # The bytes are on their way before the connections are closed.
            await asyncio.sleep(0.01)
        crashes.on_crash(self, req.path)
        await res.lost

    async def _refuse(
        self, res: Responder, attempt_id: str, brittle: Brittleness, now: float
    ) -> None:
        brittle.refused_at.append(now)
        if sum(at > now - 1.0 for at in brittle.refused_at) > brittle.n_refusals:
            brittle.fell_at.append(now)
            res.abort()
            return
        await res.send(503, headers={**self._headers(attempt_id), "x-not-executed": ""})

    def _headers(self, attempt_id: str) -> dict[str, str]:
        headers = super()._headers(attempt_id)
        if self.brittleness is not None:
            headers["server-brittle"] = str(self.brittleness.n_refusals)
        return headers

    async def _answer(self, req: Request, res: Responder, attempt_id: str) -> None:
        self.ran.append(attempt_id)
        faults = self.faults
        if faults.resets:
            res.abort()
            return
        body = self.worker_id.encode() + b" " + req.body
        headers = self._headers(attempt_id)
        if faults.cuts_after_bytes is not None:
            res.start(200, {**headers, "content-length": str(len(body))})
            await res.write(body[: faults.cuts_after_bytes])
            res.abort()
            return
        await res.send(faults.status, body, headers)
        if faults.has_extra:
            await _write_raw(res, b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra")


async def _write_raw(res: Responder, data: bytes) -> None:
    """Write bytes to the connection that belong to no answer."""
    transport = res._conn.transport
    assert transport is not None
    transport.write(data)


@dataclass(kw_only=True)
class _Run:
    """A run of an `EngineWorker` and the number of events it has sent."""

    attempt_id: str
    n_events: int
    copies: dict[str, Address] = field(default_factory=dict)
    is_stopped: bool = False


class EngineWorker(Worker):
    """Streams numbered events, one for each tick (see `tick`).

    Parameters
    ----------
    worker_id : str
        Its id.
    n_events : int
        Events in each answer.
    """

    def __init__(self, *, worker_id: str, n_events: int = 6) -> None:
        super().__init__(worker_id=worker_id)
        self.n_events = n_events
        self.held_copies: dict[str, int] = {}
        self.backups: dict[str, int] = {}
        self.freed_handles: list[str] = []
        self.refuses_moves = False
        self.leaves_ms: float | None = None
        self._runs: dict[str, _Run] = {}
        self._peers: dict[str, EngineWorker] = {}
        self._ticks = asyncio.Condition()
        self._n_ticks = 0

    def add_peers(self, *peers: EngineWorker) -> None:
        """Add engines to which it can copy runs."""
        for peer in peers:
            self._peers[str(peer.address)] = peer

    async def tick(self, n: int = 1) -> None:
        """Let each run send ``n`` more events."""
        for _ in range(n):
            async with self._ticks:
                self._n_ticks += 1
                self._ticks.notify_all()
            await asyncio.sleep(0.01)

    @property
    def running(self) -> list[str]:
        """Return the ids of the attempts that it runs."""
        return list(self._runs)

    async def _answer_other(self, req: Request, res: Responder) -> bool:
        if req.path == "/api/report":
            if self.faults.delays_report:
                await asyncio.sleep(REPORT_DELAY_SECONDS)
            report = {"queued": 0, "in-flight": len(self._runs), "kv-used": 0}
            if self.leaves_ms is not None:
                report["leaves_ms"] = self.leaves_ms  # type: ignore[assignment]
            report |= {"kv-total": 1, "state": "ready"}  # type: ignore[dict-item]
            report["born"] = self.born
            await res.send_json(200, report, self.leaving_headers)
            return True
        if req.path == "/api/kv-move":
            await self._move(req, res)
            return True
        if req.path.startswith("/api/kv-handle/"):
            self.freed_handles.append(req.path.rpartition("/")[2])
            await res.send(200, headers=self.leaving_headers)
            return True
        return False

    async def _move(self, req: Request, res: Responder) -> None:
        order = msgspec.json.decode(req.body)
        run = self._runs.get(order["id"])
        if run is None:
            await res.send(404, headers=self.leaving_headers)
            return
        if self.refuses_moves:
            await res.send(503, headers=self.leaving_headers)
            return
        target = self._peers[order["to"]]
        handle = f"copy-{run.attempt_id}"
        target.held_copies[f"{self.address}/{handle}"] = run.n_events
        run.is_stopped = run.is_stopped or order["last"]
        moved = {"handle": handle, "created": run.n_events}
        await res.send_json(200, moved, self.leaving_headers)
        if order["last"]:
            await self.tick()

    async def _run(self, req: Request, res: Responder, attempt_id: str) -> None:
        first_event = 0
        name = req.headers.get("kv-from")
        if name is not None:
            n_copied = self.held_copies.pop(name, None)
            if n_copied is None:
                n_copied = self.backups.pop(attempt_id, None)
            if n_copied is None:
                headers = {**self._headers(attempt_id), "x-not-executed": "1"}
                await res.send(503, headers=headers)
                return
        if "last-event-id" in req.headers:
            first_event = int(req.headers["last-event-id"]) + 1
        self.ran.append(attempt_id)
        run = _Run(attempt_id=attempt_id, n_events=first_event)
        self._runs[attempt_id] = run
        backup = self._peers.get(req.headers.get("x-kv-backup", ""))
        work = self.work_log.begin(self.worker_id, attempt_id, name)
        try:
            await self._stream(res, run, backup)
        finally:
            self.work_log.end(work)
            self._runs.pop(attempt_id, None)

    async def _stream(
        self, res: Responder, run: _Run, backup: EngineWorker | None
    ) -> None:
        headers = {
            **self._headers(run.attempt_id),
            "content-type": "text/event-stream",
        }
        res.start(200, headers)
        n_ticks = self._n_ticks
        for number in range(run.n_events, self.n_events):
            n_ticks += 1
            await self._await_tick(n_ticks, res)
            if run.is_stopped or res.is_lost:
                res.abort()
                return
            event = f"id: {number}\ndata: word {number}\n\n".encode()
            if self.faults.cuts_after_bytes is not None:
                await res.write(event[: self.faults.cuts_after_bytes])
                res.abort()
                return
            await res.write(event)
            run.n_events = number + 1
            if backup is not None:
                backup.backups[run.attempt_id] = run.n_events
        await res.finish()

    async def _await_tick(self, number: int, res: Responder) -> None:
        async with self._ticks:
            while self._n_ticks < number and not res.is_lost:
                try:
                    async with asyncio.timeout(0.05):
                        await self._ticks.wait()
                except TimeoutError:
                    continue


def unframed_answer(attempt_id: str, body: bytes) -> bytes:
    """Return an answer without a length, which ends when its connection closes."""
    head = f"HTTP/1.1 200 OK\r\nx-attempt-id: {attempt_id}\r\n{SEAL_HEADER}: s\r\n\r\n"
    return head.encode("ascii") + body
