"""Stand-ins for the platform's workers, by their published protocol.

A plain worker answers whole; an engine answers by a stream of events, moves its runs
to other engines, and keeps copies of runs as they grow.
"""

from __future__ import annotations

import abc
import asyncio
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

SEAL = "x-response-seal"


def worker_row(
    service: str, address: Address, state: str = "ready", **more: object
) -> dict[str, object]:
    """Return what a worker writes of itself into the store."""
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
    made = await client.request(store, "POST", storewire.TRANSACT_PATH, body=body)
    if isinstance(made, Err) or made.ok_value.status != 200:
        raise RuntimeError(f"the store at {store} took no rows: {made}")


@dataclass(kw_only=True)
class WorkerFaults:
    """What a worker does wrong with the next requests."""

    refuses: bool = False
    is_mute: bool = False
    cuts_after_bytes: int | None = None
    resets: bool = False
    has_extra: bool = False
    is_unsealed: bool = False
    echoes_other_id: bool = False
    status: int = 200


@dataclass(frozen=True, kw_only=True)
class Seen:
    """A request as it reached a worker."""

    attempt_id: str
    req: Request


class Worker(Handler, abc.ABC):
    """What both kinds have in common.

    Parameters
    ----------
    worker_id : str
        Its id; a request that means another one is refused.
    network : Network or None
        What carries its connections; the machine's own by default.
    """

    def __init__(self, *, worker_id: str, network: Network | None = None) -> None:
        self.worker_id = worker_id
        self.faults = WorkerFaults()
        self.seen: list[Seen] = []
        self.ran: list[str] = []
        self.address = Address(host="127.0.0.1", port=1)
        self._server = HttpServer(handler=self, network=network)

    async def start(self) -> Address:
        """Listen on a free port of the loopback address."""
        self.address = await self._server.start(Address(host="127.0.0.1", port=0))
        return self.address

    async def close(self) -> None:
        """Die: all connections are cut."""
        await self._server.close()

    def row(self, service: str, state: str = "ready", **more: object) -> object:
        """Return what it writes of itself into the store."""
        return worker_row(service, self.address, state, **more)

    async def handle(self, req: Request, res: Responder) -> None:
        """Answer one request."""
        if await self._answer_other(req, res):
            return
        attempt_id = req.headers.get("x-attempt-id", "")
        self.seen.append(Seen(attempt_id=attempt_id, req=req))
        meant = req.headers.get("x-target-instance", self.worker_id)
        if meant != self.worker_id:
            await res.send(421, headers=self._headers(attempt_id))
        elif self.faults.refuses:
            headers = {**self._headers(attempt_id), "x-not-executed": "1"}
            await res.send(503, headers=headers)
        elif self.faults.is_mute:
            self.ran.append(attempt_id)
            await res.lost
        else:
            await self._run(req, res, attempt_id)

    async def _answer_other(self, req: Request, res: Responder) -> bool:
        """Answer calls that are no request of a caller's."""
        return False

    @abc.abstractmethod
    async def _run(self, req: Request, res: Responder, attempt_id: str) -> None:
        """Run a request."""

    def _headers(self, attempt_id: str) -> dict[str, str]:
        echoed = "another" if self.faults.echoes_other_id else attempt_id
        headers = {"x-attempt-id": echoed, "x-worker-id": self.worker_id}
        if not self.faults.is_unsealed:
            headers[SEAL] = f"seal of {self.worker_id}"
        return headers


class PlainWorker(Worker):
    """Answers each request with its own id and the request's body."""

    async def _run(self, req: Request, res: Responder, attempt_id: str) -> None:
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
            await _send_raw(res, b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra")


async def _send_raw(res: Responder, data: bytes) -> None:
    """Write bytes that belong to no answer."""
    transport = res._conn.transport
    assert transport is not None
    transport.write(data)


@dataclass(kw_only=True)
class _Run:
    attempt_id: str
    n_events: int
    copies: dict[str, Address] = field(default_factory=dict)
    is_stopped: bool = False


class EngineWorker(Worker):
    """Streams numbered events, one each time `tick` is called.

    Parameters
    ----------
    worker_id : str
        Its id.
    n_events : int
        How long each answer is.
    """

    def __init__(self, *, worker_id: str, n_events: int = 6) -> None:
        super().__init__(worker_id=worker_id)
        self.n_events = n_events
        self.held: dict[str, int] = {}
        self.backups: dict[str, int] = {}
        self.freed: list[str] = []
        self.refuses_moves = False
        self.leaves_ms: float | None = None
        self._runs: dict[str, _Run] = {}
        self._others: dict[str, EngineWorker] = {}
        self._ticks = asyncio.Condition()
        self._n_ticks = 0

    def knows(self, *others: EngineWorker) -> None:
        """Let it copy runs to other engines."""
        for other in others:
            self._others[str(other.address)] = other

    async def tick(self, n: int = 1) -> None:
        """Let each run make so many more events."""
        for _ in range(n):
            async with self._ticks:
                self._n_ticks += 1
                self._ticks.notify_all()
            await asyncio.sleep(0.01)

    @property
    def running(self) -> list[str]:
        """Return the attempts that it works on."""
        return list(self._runs)

    async def _answer_other(self, req: Request, res: Responder) -> bool:
        if req.path == "/api/report":
            report = {"queued": 0, "in-flight": len(self._runs), "kv-used": 0}
            if self.leaves_ms is not None:
                report["leaves_ms"] = self.leaves_ms  # type: ignore[assignment]
            await res.send_json(200, {**report, "kv-total": 1, "state": "ready"})
            return True
        if req.path == "/api/kv-move":
            await self._move(req, res)
            return True
        if req.path.startswith("/api/kv-handle/"):
            self.freed.append(req.path.rpartition("/")[2])
            await res.send(200)
            return True
        return False

    async def _move(self, req: Request, res: Responder) -> None:
        order = msgspec.json.decode(req.body)
        run = self._runs.get(order["id"])
        if run is None:
            await res.send(404)
            return
        if self.refuses_moves:
            await res.send(503)
            return
        target = self._others[order["to"]]
        handle = f"copy-{run.attempt_id}"
        target.held[f"{self.address}/{handle}"] = run.n_events
        run.is_stopped = run.is_stopped or order["last"]
        await res.send_json(200, {"handle": handle, "created": run.n_events})
        if order["last"]:
            await self.tick()

    async def _run(self, req: Request, res: Responder, attempt_id: str) -> None:
        first = 0
        name = req.headers.get("kv-from")
        if name is not None:
            known = self.held.pop(name, None)
            if known is None:
                known = self.backups.pop(attempt_id, None)
            if known is None:
                headers = {**self._headers(attempt_id), "x-not-executed": "1"}
                await res.send(503, headers=headers)
                return
        if "last-event-id" in req.headers:
            first = int(req.headers["last-event-id"]) + 1
        self.ran.append(attempt_id)
        run = _Run(attempt_id=attempt_id, n_events=first)
        self._runs[attempt_id] = run
        backup = self._others.get(req.headers.get("x-kv-backup", ""))
        try:
            await self._stream(res, run, backup)
        finally:
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
    """Return an answer that has no length and ends with its connection."""
    head = f"HTTP/1.1 200 OK\r\nx-attempt-id: {attempt_id}\r\n{SEAL}: s\r\n\r\n"
    return head.encode("ascii") + body
