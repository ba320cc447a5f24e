"""Fault switches that all stand-ins share, set by ``PUT /faults``.

The body is one fault, ``{"name": ..., "until_at": ..., ...}``. It is added to the
active ones, where it replaces a fault of the same name and path; ``{}`` clears all.
``GET /faults`` lists them. Every fault may carry ``until_at`` (seconds since the
epoch), ``path`` (only requests whose path has this prefix) and ``n`` (only the next n
requests). The names:

``outage``
    Every request is answered 503 without effect, with ``retry_after`` (seconds) and
    ``not_run``, or cut without an answer where ``cut`` is true.
``refuse``
    Connections are refused. ``until_at`` is required, as ``/faults`` is unreachable
    then as well.
``slow``
    Each request waits ``seconds`` before its effect.
``lose_reply``
    The effect happens, then the connection is closed without an answer. For a
    streamed answer, ``after_writes`` pieces of it come first.
``stall``
    The request is accepted without effect or answer, and the connection stays open.
    For a streamed answer, ``after_writes`` pieces of it come first.
``stall_reply``
    The effect happens, but no answer is sent and the connection stays open.
``freeze``
    All requests pause and then continue, as with SIGSTOP and SIGCONT: effects happen
    late. Streams pause between two pieces.

A stand-in adds faults of its own by passing their names to `Faults` as ``more_names``
and checking them with `Faults.find`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import msgspec
from result import Err, Ok, Result

from celerytrail.clock import Clock, SystemClock
from celerytrail.exceptions import PeerError
from celerytrail.http.messages import Request
from celerytrail.http.network import Network
from celerytrail.http.routes import send_error
from celerytrail.http.server import Handler, HttpServer, Responder, ServerLimits
from celerytrail.types import Address, Finding

FAULTS_PATH = "/faults"
NAMES = ("outage", "refuse", "slow", "lose_reply", "stall", "stall_reply", "freeze")


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """One fault that is switched on; the module's docstring describes the fields.

    Parameters
    ----------
    options : Mapping
        Further fields, for the faults of one stand-in.
    """

    name: str
    until_at: float | None = None
    path: str = ""
    n: int | None = None
    seconds: float = 0.0
    retry_after: float = 1.0
    cut: bool = False
    after_writes: int = 0
    options: Mapping[str, object] = field(default_factory=dict)


class Faults:
    """The faults that are switched on in one stand-in.

    Parameters
    ----------
    clock : Clock
        Source of the wall time at which faults end.
    more_names : tuple of str
        Names of the faults that only this stand-in has.
    """

    def __init__(
        self, *, clock: Clock | None = None, more_names: tuple[str, ...] = ()
    ) -> None:
        self.clock = clock or SystemClock()
        self._names = (*NAMES, *more_names)
        self._faults: list[Fault] = []
        self._changed = asyncio.Event()

    def add(self, fault: Fault) -> None:
        """Switch a fault on, in place of one with the same name and path."""
        identity = (fault.name, fault.path)
        self._faults = [f for f in self._faults if (f.name, f.path) != identity]
        self._faults.append(fault)
        self._notify_change()

    def clear(self) -> None:
        """Switch all faults off."""
        self._faults = []
        self._notify_change()

    def active(self) -> list[Fault]:
        """Return the faults that haven't expired or been used up."""
        now = self.clock.wall()
        self._faults = [
            f
            for f in self._faults
            if (f.until_at is None or now < f.until_at) and f.n != 0
        ]
        return list(self._faults)

    def find(self, name: str, path: str = "") -> Fault | None:
        """Return the active fault of a name that applies to a path, if any."""
        for fault in self.active():
            if fault.name == name and path.startswith(fault.path):
                return fault
        return None

    def take(self, name: str, path: str = "") -> Fault | None:
        """Return what `find` returns, and count down the fault's ``n``."""
        fault = self.find(name, path)
        if fault is not None and fault.n is not None:
            index = self._faults.index(fault)
            self._faults[index] = replace(fault, n=fault.n - 1)
        return fault

    async def wait_while(self, name: str, path: str = "") -> None:
        """Wait until no fault of a name applies to a path."""
        while (fault := self.find(name, path)) is not None:
            timeout = None
            if fault.until_at is not None:
                timeout = max(fault.until_at - self.clock.wall(), 0.0) + 0.001
            self._changed.clear()
            try:
                async with asyncio.timeout(timeout):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def wait_change(self) -> None:
        """Wait until a fault is switched on or off."""
        self._changed.clear()
        await self._changed.wait()

    def put(self, body: bytes) -> Result[Fault | None, Finding]:
        """Apply the body of ``PUT /faults``; returns None if it cleared all faults."""
        try:
            raw = msgspec.json.decode(body or b"{}", type=dict[str, object])
            if not raw:
                self.clear()
                return Ok(None)
            field_names = {f for f in Fault.__dataclass_fields__ if f != "options"}
            options = {k: v for k, v in raw.items() if k not in field_names}
            plain = {k: v for k, v in raw.items() if k in field_names}
            fault = msgspec.convert({**plain, "options": options}, Fault)
        except msgspec.MsgspecError as exc:
            return Err(Finding(place="body", problem=str(exc)))
        if fault.name not in self._names:
            problem = f"{fault.name!r} is none of {', '.join(self._names)}"
            return Err(Finding(place="body.name", problem=problem))
        if fault.name == "refuse" and fault.until_at is None:
            return Err(Finding(place="body.until_at", problem="refuse needs an end"))
        self.add(fault)
        return Ok(fault)

    def _notify_change(self) -> None:
        self._changed.set()


class FaultyHandler(Handler):
    """Serves ``/faults`` and applies the faults to the requests of a handler.

    Parameters
    ----------
    inner : Handler
        Answers the requests when no fault prevents it.
    faults : Faults
        The faults that are switched on.
    """

    def __init__(self, *, inner: Handler, faults: Faults) -> None:
        self._inner = inner
        self._faults = faults

    async def handle(self, req: Request, res: Responder) -> None:
        """Answer a request, or fail as an active fault requires."""
        if req.path == FAULTS_PATH:
            await self._serve_faults(req, res)
            return
        faults = self._faults
        await faults.wait_while("freeze", req.path)
        if (fault := faults.take("outage", req.path)) is not None:
            await _answer_outage(fault, res)
            return
        stall = faults.take("stall", req.path)
        if stall is not None and stall.after_writes == 0:
            await _hold_connection(res)
            return
        if (fault := faults.take("slow", req.path)) is not None:
            await asyncio.sleep(fault.seconds)
        faulty = _FaultyResponder(
            res=res,
            faults=faults,
            path=req.path,
            stall=stall,
            stall_reply=faults.take("stall_reply", req.path),
            lose_reply=faults.take("lose_reply", req.path),
        )
        await self._inner.handle(req, faulty)

    async def _serve_faults(self, req: Request, res: Responder) -> None:
        if req.method == "GET":
            await res.send_json(200, {"faults": self._faults.active()})
            return
        match self._faults.put(req.body):
            case Ok(_):
                await res.send_json(200, {"faults": self._faults.active()})
            case Err(finding):
                await send_error(
                    res,
                    400,
                    "bad_fault",
                    place=finding.place,
                    message=finding.problem,
                )


class FaultyServer:
    """Listens with a `FaultyHandler` and implements the fault ``refuse``.

    Parameters
    ----------
    inner : Handler
        Answers the requests when no fault prevents it.
    faults : Faults
        The faults that are switched on.
    limits : ServerLimits
        Bounds of the server.
    """

    def __init__(
        self, *, inner: Handler, faults: Faults, limits: ServerLimits | None = None
    ) -> None:
        self._handler = FaultyHandler(inner=inner, faults=faults)
        self._faults = faults
        self._limits = limits
        self._network: Network | None = None
        self._server = HttpServer(handler=self._handler, limits=limits)
        self._tasks: list[asyncio.Task[None]] = []
        self.address = Address(host="127.0.0.1", port=1)

    async def start(self, address: Address, network: Network | None = None) -> Address:
        """Listen; returns the bound address.

        Parameters
        ----------
        address : Address
            Address to bind; port 0 selects a free port.
        network : Network or None
            Carries the connections; the machine's network by default.
        """
        self._network = network
        self._server = self._new_server()
        self.address = await self._server.start(address)
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._watch_refuse()))
        return self.address

    async def close(self) -> None:
        """Stop at once."""
        for task in self._tasks:
            task.cancel()
        await self._server.close()

    def _new_server(self) -> HttpServer:
        return HttpServer(
            handler=self._handler, limits=self._limits, network=self._network
        )

    async def _watch_refuse(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if self._faults.find("refuse") is None:
                await self._faults.wait_change()
                continue
            self._tasks.append(loop.create_task(self._server.drain()))
            await self._faults.wait_while("refuse")
            self._server = self._new_server()
            await self._server.start(self.address)


class _FaultyResponder(Responder):
    """Forwards an answer, or stops it as the request's faults require."""

    def __init__(
        self,
        *,
        res: Responder,
        faults: Faults,
        path: str,
        stall: Fault | None,
        stall_reply: Fault | None,
        lose_reply: Fault | None,
    ) -> None:
        super().__init__(conn=res._conn, limits=res._limits)
        self.is_closing = res.is_closing
        self._res = res
        self._faults = faults
        self._path = path
        self._stall = stall
        self._stall_reply = stall_reply
        self._lose_reply = lose_reply
        self._n_writes = 0

    async def send(
        self, status: int, body: bytes = b"", headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a whole answer, unless a fault drops it."""
        await self._faults.wait_while("freeze", self._path)
        if self._lose_reply is not None:
            self.abort()
        elif self._stall_reply is not None:
            await _hold_connection(self)
        else:
            self._res.status = status
            await super().send(status, body, headers)

    async def write(self, data: bytes) -> None:
        """Send a piece, unless a fault stops the stream before it."""
        await self._faults.wait_while("freeze", self._path)
        await self._stop_if_due(self._n_writes)
        self._n_writes += 1
        await super().write(data)

    async def finish(self) -> None:
        """Send the end, unless a fault stops the stream before it."""
        await self._stop_if_due(None)
        await super().finish()

    async def _stop_if_due(self, n_writes: int | None) -> None:
        lose_reply, stall = self._lose_reply, self._stall
        if lose_reply is not None and (
            n_writes is None or n_writes >= lose_reply.after_writes
        ):
            self.abort()
            raise PeerError("the fault lose_reply cut the answer")
        if stall is not None and (n_writes is None or n_writes >= stall.after_writes):
            await _hold_connection(self)
            raise PeerError("the fault stall held the answer until the caller left")


async def _answer_outage(fault: Fault, res: Responder) -> None:
    if fault.cut:
        res.abort()
        return
    body = {"not_run": True, "reason": "outage", "retry_after": fault.retry_after}
    await res.send_json(503, body, {"retry-after": str(fault.retry_after)})


async def _hold_connection(res: Responder) -> None:
    """Keep the connection open without an answer until the caller closes it."""
    await res.lost
    res.abort()
