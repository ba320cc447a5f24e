"""A stand-in for the platform: table, object store, VM list and weight store.

It keeps everything in memory and gives each committed transaction the next number of
one counter as the version of the rows it put, so a version never comes back, not even
after a delete. Beside the routes of ``docs/DESIGN.md`` it has ``PUT /vms`` with
``{"vms": [...], "visible_at": t}`` (the list as it is from ``t`` on; at once without),
``GET /stats`` (how often each route had its effect) and these faults of its own:

``stale``
    Reads and scans are served from the rows as they were when the fault was set.

A route for tests only, as a real platform gives its VM list itself.
"""

from __future__ import annotations

import asyncio
from typing import Annotated, TypeVar

import msgspec
import typer

from celerytrail.clock import Clock, SystemClock
from celerytrail.http import Request
from celerytrail.httpserver import Responder
from celerytrail.routes import Params, Router, send_error
from celerytrail.types import Address

from .faults import Faults, FaultyServer

SCAN_LIMIT = 1_000

T = TypeVar("T")


class _Check(msgspec.Struct, forbid_unknown_fields=True):
    key: str
    version: int


class _Put(msgspec.Struct, forbid_unknown_fields=True):
    key: str
    value: object


class _Transaction(msgspec.Struct, forbid_unknown_fields=True):
    checks: list[_Check] = []
    puts: list[_Put] = []
    deletes: list[str] = []


class _Read(msgspec.Struct, forbid_unknown_fields=True):
    keys: list[str]


class _Scan(msgspec.Struct, forbid_unknown_fields=True):
    prefix: str
    after: str = ""
    limit: int = SCAN_LIMIT


class _Vms(msgspec.Struct, forbid_unknown_fields=True):
    vms: list[dict[str, object]]
    visible_at: float | None = None


class _Bucket:
    """A token bucket that holds one second's worth."""

    def __init__(self, *, rate: float, clock: Clock) -> None:
        self._rate = rate
        self._clock = clock
        self._level = max(rate, 1.0)
        self._at = clock.monotonic()

    def wait_seconds(self) -> float:
        """Take a token; returns 0.0, or the seconds until there is one."""
        now = self._clock.monotonic()
        self._level += (now - self._at) * self._rate
        self._level = min(self._level, max(self._rate, 1.0))
        self._at = now
        if self._level >= 1.0:
            self._level -= 1.0
            return 0.0
        return (1.0 - self._level) / self._rate


class Rows:
    """The table: rows with versions, changed by whole transactions."""

    def __init__(self) -> None:
        self._rows: dict[str, dict[str, object]] = {}
        self._revision = 0

    def transact(
        self, checks: list[_Check], puts: list[_Put], deletes: list[str]
    ) -> tuple[dict[str, int], list[dict[str, object]]]:
        """Apply all or nothing; returns the versions, or the rows in the way."""
        in_the_way = [
            self._get(check.key)
            for check in checks
            if self._get(check.key)["version"] != check.version
        ]
        if in_the_way:
            return {}, in_the_way
        self._revision += 1
        for key in deletes:
            self._rows.pop(key, None)
        for put in puts:
            row = {"key": put.key, "value": put.value, "version": self._revision}
            self._rows[put.key] = row
        return {put.key: self._revision for put in puts}, []

    def read(self, keys: list[str]) -> list[dict[str, object]]:
        """Return the rows that exist."""
        return [self._rows[key] for key in keys if key in self._rows]

    def scan(self, prefix: str, after: str, limit: int) -> list[dict[str, object]]:
        """Return rows in the order of their keys, from beyond ``after``."""
        keys = sorted(k for k in self._rows if k.startswith(prefix) and k > after)
        return self.read(keys[: min(limit, SCAN_LIMIT)])

    def copy(self) -> Rows:
        """Return the rows as they are now."""
        other = Rows()
        other._rows = dict(self._rows)
        return other

    def _get(self, key: str) -> dict[str, object]:
        return self._rows.get(key, {"key": key, "value": None, "version": 0})


class PlatformStandin:
    """The platform in one process.

    Parameters
    ----------
    clock : Clock
        Whose time holds.
    weights_per_second : float
        Fetches of weights that are allowed a second.
    writes_per_second, reads_per_second : float
        Transactions, and reads and scans, that are allowed a second; beyond them the
        answer is 503 with ``retry_after``.
    """

    def __init__(
        self,
        *,
        clock: Clock | None = None,
        weights_per_second: float = 2.0,
        writes_per_second: float = 1_000.0,
        reads_per_second: float = 4_000.0,
    ) -> None:
        self._clock = clock or SystemClock()
        self.rows = Rows()
        self.objects: dict[str, bytes] = {}
        self.stats: dict[str, int] = {}
        self._vm_lists: list[tuple[float, list[dict[str, object]]]] = []
        self._stale: Rows | None = None
        self._weights = _Bucket(rate=weights_per_second, clock=self._clock)
        self._writes = _Bucket(rate=writes_per_second, clock=self._clock)
        self._reads = _Bucket(rate=reads_per_second, clock=self._clock)
        self.faults = Faults(clock=self._clock, more_names=("stale",))
        self.server = FaultyServer(inner=self._router(), faults=self.faults)

    def _router(self) -> Router:
        router = Router()
        router.add("POST", "/table/transact", self._transact)
        router.add("POST", "/table/read", self._read)
        router.add("POST", "/table/scan", self._scan)
        router.add("PUT", "/objects/{name+}", self._put_object)
        router.add("GET", "/objects/{name+}", self._get_object)
        router.add("GET", "/vms", self._get_vms)
        router.add("PUT", "/vms", self._put_vms)
        router.add("GET", "/weights/{model}/{version}", self._get_weights)
        router.add("GET", "/stats", self._get_stats)
        return router

    async def _transact(self, req: Request, res: Responder, _: Params) -> None:
        asked = await _decode(req, res, _Transaction)
        if asked is None or await self._is_shed(self._writes, res):
            return
        # The stale rows are those of just before the fault, so keep them in time.
        self._note_stale()
        versions, in_the_way = self.rows.transact(
            asked.checks, asked.puts, asked.deletes
        )
        if in_the_way:
            self._count("conflict")
            await res.send_json(409, {"rows": in_the_way})
            return
        self._count("transact")
        await res.send_json(200, {"versions": versions})

    async def _read(self, req: Request, res: Responder, _: Params) -> None:
        asked = await _decode(req, res, _Read)
        if asked is None or await self._is_shed(self._reads, res):
            return
        self._count("read")
        await res.send_json(200, {"rows": self._visible().read(asked.keys)})

    async def _scan(self, req: Request, res: Responder, _: Params) -> None:
        asked = await _decode(req, res, _Scan)
        if asked is None or await self._is_shed(self._reads, res):
            return
        self._count("scan")
        rows = self._visible().scan(asked.prefix, asked.after, asked.limit)
        await res.send_json(200, {"rows": rows})

    async def _put_object(self, req: Request, res: Responder, params: Params) -> None:
        self.objects[params["name"]] = req.body
        self._count("put_object")
        await res.send(204)

    async def _get_object(self, req: Request, res: Responder, params: Params) -> None:
        data = self.objects.get(params["name"])
        if data is None:
            message = f"no object {params['name']}"
            await send_error(res, 404, "no_such_object", place="path", message=message)
            return
        self._count("get_object")
        await res.send(200, data, {"content-type": "application/octet-stream"})

    async def _get_vms(self, req: Request, res: Responder, _: Params) -> None:
        now = self._clock.wall()
        visible: list[dict[str, object]] = []
        for visible_at, vms in self._vm_lists:
            if visible_at <= now:
                visible = vms
        self._count("vms")
        await res.send_json(200, {"vms": visible})

    async def _put_vms(self, req: Request, res: Responder, _: Params) -> None:
        asked = await _decode(req, res, _Vms)
        if asked is None:
            return
        now = self._clock.wall()
        visible_at = now if asked.visible_at is None else asked.visible_at
        self._vm_lists.append((visible_at, asked.vms))
        await res.send(204)

    async def _get_weights(self, req: Request, res: Responder, params: Params) -> None:
        seconds = self._weights.wait_seconds()
        if seconds:
            headers = {"retry-after": f"{seconds:.3f}"}
            await res.send_json(429, {"reason": "rate_limited"}, headers)
            return
        self._count("weights")
        await res.send(200, f"{params['model']} {params['version']}".encode())

    async def _get_stats(self, req: Request, res: Responder, _: Params) -> None:
        await res.send_json(200, self.stats)

    async def _is_shed(self, bucket: _Bucket, res: Responder) -> bool:
        seconds = bucket.wait_seconds()
        if seconds:
            body = {"not_run": True, "reason": "overload", "retry_after": seconds}
            await res.send_json(503, body)
        return seconds > 0

    def _note_stale(self) -> None:
        if self.faults.find("stale") is None:
            self._stale = None
        elif self._stale is None:
            self._stale = self.rows.copy()

    def _visible(self) -> Rows:
        self._note_stale()
        return self.rows if self._stale is None else self._stale

    def _count(self, name: str) -> None:
        self.stats[name] = self.stats.get(name, 0) + 1


async def _decode(req: Request, res: Responder, kind: type[T]) -> T | None:
    try:
        return msgspec.json.decode(req.body, type=kind)
    except msgspec.MsgspecError as exc:
        await send_error(res, 400, "bad_request", place="body", message=str(exc))
        return None


async def _serve(standin: PlatformStandin, listen: Address) -> None:
    address = await standin.server.start(listen)
    print(f"listening {address}", flush=True)
    await asyncio.Event().wait()


def main(
    listen: Annotated[str, typer.Option(help="IP:PORT; port 0 takes a free one.")],
    weights_per_second: Annotated[
        float, typer.Option(help="Weight fetches allowed a second.")
    ] = 2.0,
    writes_per_second: Annotated[
        float, typer.Option(help="Transactions allowed a second.")
    ] = 1_000.0,
    reads_per_second: Annotated[
        float, typer.Option(help="Reads and scans allowed a second.")
    ] = 4_000.0,
) -> None:
    """Serve a stand-in for the platform until it is stopped."""
    standin = PlatformStandin(
        weights_per_second=weights_per_second,
        writes_per_second=writes_per_second,
        reads_per_second=reads_per_second,
    )
    asyncio.run(_serve(standin, parse_listen(listen)))


def parse_listen(text: str) -> Address:
    """Read ``IP:PORT`` where the port may be 0."""
    if text.endswith(":0"):
        return Address(host=text[:-2], port=0)
    return Address.parse(text)


if __name__ == "__main__":
    typer.run(main)
