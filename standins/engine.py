"""A stand-in for a model engine: ``python -m standins.engine --help``.

It prints ``listening IP:PORT`` once it serves. `docs/DESIGN.md` describes its
protocol; `standins.batch` generates the tokens. ``PUT /faults`` accepts the faults of
`standins.faults` and these:

``resend``
    A resumed stream starts ``tokens`` before the requested offset.
``skip``
    A resumed stream starts ``tokens`` after the requested offset.
``jump``
    Any stream omits ``tokens`` offsets after the first ``after`` of them.
``swap``
    Streams carry another generation's id in their headers.
``crossed``
    Answers carry another exchange's id in their headers.
``garbage``
    The line at offset ``after`` of a stream isn't valid JSON.
``leaving``
    Load reports announce that the engine leaves ``in_seconds`` from now, and it
    refuses new work.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from urllib.parse import parse_qs

import msgspec
import typer
from eliot import log_message

from celerytrail.clock import Clock, SystemClock
from celerytrail.exceptions import PeerError
from celerytrail.http.messages import Request
from celerytrail.http.network import Network
from celerytrail.http.routes import Params, Router, send_error
from celerytrail.http.server import Responder, ServerLimits
from celerytrail.log import TASK_HEADER, continue_task, start_logging
from celerytrail.types import Address

from .batch import Batch, Generation
from .faults import Faults, FaultyServer
from .orders import Orders

FAULT_NAMES = ("resend", "skip", "jump", "swap", "crossed", "garbage", "leaving")
MAX_WRITE_TOKENS = 64


class GenerateBody(msgspec.Struct, kw_only=True):
    """The body of ``POST /generate``."""

    generation_id: str
    model: str
    prompt: str
    n_max_tokens: int
    adapter: str = ""
    priority: int = 5
    organisation: str = ""
    sampling: dict[str, object] = {}


class Engine:
    """Serves the engine's protocol.

    Parameters
    ----------
    batch : Batch
        Generates the tokens.
    faults : Faults
        The faults that are switched on.
    does_honour_fencing : bool
        Whether an order with an old fencing token is refused.
    report_seconds : float
        Interval at which the load report is renewed; it is stale in between.
    load_seconds : float
        How long loading a model takes.
    clock : Clock or None
        Source of the wall time that it reports.
    """

    def __init__(
        self,
        *,
        batch: Batch,
        faults: Faults,
        does_honour_fencing: bool = True,
        report_seconds: float = 0.5,
        load_seconds: float = 0.2,
        clock: Clock | None = None,
    ) -> None:
        self.batch = batch
        self.faults = faults
        self._has_work = asyncio.Event()
        # Every requested generation and its wall time, for tests.
        self.requested: list[dict[str, object]] = []
        self._report_seconds = report_seconds
        self._loop = asyncio.get_running_loop()
        self._clock = clock or SystemClock()
        self._orders = Orders(
            batch=batch,
            clock=self._clock,
            does_honour_fencing=does_honour_fencing,
            load_seconds=load_seconds,
        )
        self._report = batch.report(self._loop.time(), self._clock.wall())

    def add_routes(self, router: Router) -> None:
        """Add the routes of the engine's protocol."""
        router.add("POST", "/generate", self._generate)
        router.add("GET", "/generations/{generation_id}", self._resume)
        router.add("DELETE", "/generations/{generation_id}", self._cancel)
        router.add("GET", "/load", self._load)
        router.add("GET", "/cache-events", self._cache_events)
        self._orders.add_routes(router)
        router.add("GET", "/started", self._list_started)

    async def run(self) -> None:
        """Generate tokens until cancelled."""
        next_report = 0.0
        step_at = self._loop.time()
        while True:
            now = self._loop.time()
            self.batch.step(now)
            if now >= next_report:
                self._report = self.batch.report(now, self._clock.wall())
                next_report = now + self._report_seconds
            if self.batch.is_idle:
                await self._wait_for_work(next_report - now)
                step_at = self._loop.time()
                continue
            step_at = max(step_at + self.batch.step_seconds, now)
            await asyncio.sleep(step_at - now)

    async def _wait_for_work(self, seconds: float) -> None:
        self._has_work.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._has_work.wait()
        except TimeoutError:
            pass

    async def _generate(self, req: Request, res: Responder, params: Params) -> None:
        try:
            body = msgspec.json.decode(req.body, type=GenerateBody)
        except msgspec.MsgspecError as exc:
            await send_error(res, 400, "bad_body", place="body", message=str(exc))
            return
        entry = {"generation_id": body.generation_id, "at": self._clock.wall()}
        self.requested.append(entry)
        reason = self._refusal(body)
        if reason is not None:
            await res.send_json(
                503, {"not_run": True, "reason": reason, "retry_after": 1.0}
            )
            return
        action = continue_task(
            req.headers.get(TASK_HEADER),
            "engine:generation",
            generation_id=body.generation_id,
        )
        with action:
            generation = self.batch.start(
                body.generation_id,
                body.prompt,
                body.n_max_tokens,
                body.priority,
                self._loop.time(),
            )
            self._has_work.set()
            generation.deadline = self._deadline(req)
            await self._stream(res, generation, 0)

    def _deadline(self, req: Request) -> float | None:
        """Return the caller's deadline as a loop time, or None without one."""
        text = req.headers.get("x-deadline-at")
        if text is None:
            return None
        return self._loop.time() + (float(text) - self._clock.wall())

    def _refusal(self, body: GenerateBody) -> str | None:
        if self.faults.find("leaving") is not None:
            return "leaving"
        if self.batch.role == "drain":
            return "draining"
        if body.model != self.batch.model:
            return "model_not_loaded"
        if body.adapter and body.adapter not in self.batch.adapters:
            return "adapter_not_loaded"
        return None

    async def _resume(self, req: Request, res: Responder, params: Params) -> None:
        generation = self.batch.generations.get(params["generation_id"])
        if generation is None:
            await self._send_unknown(res)
            return
        start = int(parse_qs(req.query).get("from", ["0"])[0])
        for name, sign in (("resend", -1), ("skip", 1)):
            fault = self.faults.take(name, req.path)
            if fault is not None:
                start += sign * _int_option(fault.options, "tokens", 1)
        log_message("engine:resumed", generation_id=generation.generation_id, at=start)
        await self._stream(res, generation, max(0, start))

    async def _cancel(self, req: Request, res: Responder, params: Params) -> None:
        generation = self.batch.generations.get(params["generation_id"])
        if generation is None:
            await self._send_unknown(res)
            return
        readers = parse_qs(req.query).get("reader")
        if readers is not None and int(readers[0]) != generation.reader:
            # The canceller was paused or slow, and a newer reader took over since.
            await res.send_json(409, {"reason": "newer_reader"}, self._headers())
            return
        self.batch.cancel(generation, self._loop.time())
        await res.send(204, b"", self._headers())

    async def _stream(self, res: Responder, generation: Generation, start: int) -> None:
        generation.reader += 1
        generation.n_readers += 1
        # Without this a lost reader would be noticed only at the next token.
        res.lost.add_done_callback(lambda _: generation.notify_change())
        headers = self._headers()
        headers["content-type"] = "application/x-ndjson"
        headers["x-reader"] = str(generation.reader)
        headers["x-generation-id"] = generation.generation_id
        if self.faults.find("swap") is not None:
            headers["x-generation-id"] = f"{generation.generation_id}-other"
        if self.faults.find("crossed") is not None:
            res._conn.request_id = "another-exchange"
        res.start(200, headers)
        offset = start
        try:
            while True:
                while offset < generation.n_produced:
                    stop = min(generation.n_produced, offset + MAX_WRITE_TOKENS)
                    await res.write(self._lines(generation, offset, stop))
                    offset = stop
                if generation.end is not None:
                    break
                await generation.wait_for_change()
                if res.is_lost:
                    return
            end = {
                "end": generation.end,
                "n_tokens": generation.n_produced,
                "n_prompt_tokens": generation.n_prompt,
            }
            await res.write(msgspec.json.encode(end) + b"\n")
            await res.finish()
        except PeerError:
            log_message("engine:reader_lost", generation_id=generation.generation_id)
        finally:
            generation.n_readers -= 1
            generation.last_read_at = self._loop.time()

    def _lines(self, generation: Generation, start: int, stop: int) -> bytes:
        jump = self.faults.find("jump")
        garbage = self.faults.find("garbage")
        lines = []
        for offset in range(start, stop):
            if jump is not None:
                after = _int_option(jump.options, "after", 0)
                if after <= offset < after + _int_option(jump.options, "tokens", 1):
                    continue
            if garbage is not None and offset == _int_option(
                garbage.options, "after", 0
            ):
                lines.append(b"}garbage{\n")
                self.faults.take("garbage")
                continue
            line = {"offset": offset, "token": generation.text(offset)}
            lines.append(msgspec.json.encode(line) + b"\n")
        return b"".join(lines)

    async def _load(self, req: Request, res: Responder, params: Params) -> None:
        leaving = self.faults.find("leaving")
        if leaving is None:
            self.batch.leaving_at = None
        elif self.batch.leaving_at is None:
            in_seconds = _int_option(leaving.options, "in_seconds", 30)
            self.batch.leaving_at = self._clock.wall() + in_seconds
        report = replace(self._report, leaving_at=self.batch.leaving_at)
        await res.send_json(200, report, self._headers())

    async def _cache_events(self, req: Request, res: Responder, params: Params) -> None:
        after = int(parse_qs(req.query).get("after", ["0"])[0])
        published_until = self._loop.time() - self.batch.event_seconds
        wall_offset = self._clock.wall() - self._loop.time()
        events = []
        next_after = after
        for event in self.batch.events:
            sequence, at = event["sequence"], event["at"]
            assert isinstance(sequence, int) and isinstance(at, float)
            if sequence <= after or at > published_until:
                continue
            events.append({**event, "at": at + wall_offset})
            next_after = max(next_after, sequence)
        value = {"events": events, "next": next_after}
        await res.send_json(200, value, self._headers())

    async def _list_started(self, req: Request, res: Responder, params: Params) -> None:
        """Answer with every requested generation and its time, for tests."""
        await res.send_json(200, {"started": self.requested})

    async def _send_unknown(self, res: Responder) -> None:
        await res.send_json(404, {"reason": "unknown_generation"}, self._headers())

    def _headers(self) -> dict[str, str]:
        return {"x-engine-incarnation": self.batch.incarnation}


def _int_option(options: Mapping[str, object], name: str, default: int) -> int:
    value = options.get(name, default)
    return value if isinstance(value, int) else default


async def serve(
    *,
    listen: Address,
    batch: Batch,
    does_honour_fencing: bool = True,
    clock: Clock | None = None,
    network: Network | None = None,
) -> tuple[FaultyServer, asyncio.Task[None]]:
    """Start an engine in the running loop; returns its server and its task."""
    faults = Faults(clock=clock, more_names=FAULT_NAMES)
    engine = Engine(
        batch=batch,
        faults=faults,
        does_honour_fencing=does_honour_fencing,
        clock=clock,
    )
    router = Router()
    engine.add_routes(router)
    limits = ServerLimits(idle_seconds=600.0, max_body_bytes=4 * 1024 * 1024)
    server = FaultyServer(inner=router, faults=faults, limits=limits)
    await server.start(listen, network)
    return server, asyncio.get_running_loop().create_task(engine.run())


def _listen_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host=host, port=int(port))


async def _main(listen: Address, batch: Batch, does_honour_fencing: bool) -> None:
    server, task = await serve(
        listen=listen, batch=batch, does_honour_fencing=does_honour_fencing
    )
    print(f"listening {server.address}", flush=True)
    await task


def main(
    listen: str = typer.Option(
        "127.0.0.1:0", help="IP:PORT; port 0 selects a free port."
    ),
    name: str = typer.Option("engine", help="Name of the engine."),
    model: str = typer.Option("draft", help="Model that is loaded at the start."),
    version: str = typer.Option("", help="Version of that model."),
    tokens_per_second: float = typer.Option(
        30.0, help="Token rate of each generation."
    ),
    memory_tokens: int = typer.Option(20_000, help="Memory size in tokens."),
    seed: int = typer.Option(1, help="Seed of the answers' lengths."),
    keep_seconds: float = typer.Option(
        120.0, help="Seconds for which a finished generation can be read."
    ),
    unread_seconds: float = typer.Option(
        60.0, help="Seconds without a reader after which a generation is cancelled."
    ),
    fencing: str = typer.Option(
        "honoured", help="Fencing of orders: honoured or ignored."
    ),
    log: Path | None = typer.Option(None, help="Log file; no log without it."),  # noqa: B008
) -> None:
    """Run a stand-in for a model engine."""
    if log is not None:
        start_logging(name, str(log))
    batch = Batch(
        engine=name,
        incarnation=secrets.token_hex(6),
        model=model,
        tokens_per_second=tokens_per_second,
        n_memory_tokens=memory_tokens,
        seed=seed,
        keep_seconds=keep_seconds,
        unread_seconds=unread_seconds,
    )
    batch.version = version
    asyncio.run(_main(_listen_address(listen), batch, fencing != "ignored"))


if __name__ == "__main__":
    typer.run(main)
