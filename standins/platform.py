"""A stand-in for the platform: its metadata store, with rates and faults.

It keeps everything in memory. The store serves the platform's published protocol
(`RowStore`). ``GET /stats`` returns how often each route had its effect. Besides the
faults of `standins.faults` it has:

``stale``
    Reads and scans are served from a snapshot of the rows at the time of the fault.
"""

from __future__ import annotations

import asyncio
from typing import Annotated

import typer

from celerytrail.clock import Clock, SystemClock
from celerytrail.http.messages import Request
from celerytrail.http.routes import Params, Router
from celerytrail.http.server import Responder
from celerytrail.types import Address

from .faults import Faults, FaultyServer
from .rowstore import RowStore
from .rowtable import RowTable


class _Bucket:
    """A token bucket with a capacity of one second of its rate."""

    def __init__(self, *, rate: float, clock: Clock) -> None:
        self._rate = rate
        self._clock = clock
        self._n_tokens = max(rate, 1.0)
        self._updated_at = clock.monotonic()

    def wait_seconds(self) -> float:
        """Take a token; returns 0.0, or the seconds until one is available."""
        now = self._clock.monotonic()
        self._n_tokens += (now - self._updated_at) * self._rate
        self._n_tokens = min(self._n_tokens, max(self._rate, 1.0))
        self._updated_at = now
        if self._n_tokens >= 1.0:
            self._n_tokens -= 1.0
            return 0.0
        return (1.0 - self._n_tokens) / self._rate


class PlatformStandin:
    """The platform in one process.

    Parameters
    ----------
    clock : Clock
        Source of the time.
    writes_per_second, reads_per_second : float
        Limits of transactions and of reads; beyond them the answer is 429.
    """

    def __init__(
        self,
        *,
        clock: Clock | None = None,
        writes_per_second: float = 1_000.0,
        reads_per_second: float = 4_000.0,
    ) -> None:
        self._clock = clock or SystemClock()
        self.store = RowStore()
        self.stats: dict[str, int] = {}
        self._stale_rows: RowTable | None = None
        self._write_bucket = _Bucket(rate=writes_per_second, clock=self._clock)
        self._read_bucket = _Bucket(rate=reads_per_second, clock=self._clock)
        self.faults = Faults(clock=self._clock, more_names=("stale",))
        self.server = FaultyServer(inner=self._router(), faults=self.faults)

    def _router(self) -> Router:
        router = Router()
        router.add("POST", "/api/rows-tx", self._transact)
        router.add("GET", "/api/rows-get", self._read)
        router.add("GET", "/api/rows-feed", self._read)
        router.add("PUT", "/api/blob-put/{name+}", self._put_object)
        router.add("GET", "/api/blob-get/{name+}", self._get_object)
        router.add("GET", "/stats", self._get_stats)
        return router

    async def _transact(self, req: Request, res: Responder, _: Params) -> None:
        if await self._is_shed(self._write_bucket, res):
            return
        # The snapshot must hold the rows as they were when the fault was set, so it is
        # taken before a write as well.
        self._update_stale_rows()
        version = self.store.rows.version
        await self.store.answer(req, res, self.store.rows)
        is_applied = self.store.rows.version > version
        self._count("transact" if is_applied else "conflict")

    async def _read(self, req: Request, res: Responder, _: Params) -> None:
        if await self._is_shed(self._read_bucket, res):
            return
        self._count("read")
        self._update_stale_rows()
        await self.store.answer(req, res, self._stale_rows or self.store.rows)

    async def _put_object(self, req: Request, res: Responder, _: Params) -> None:
        self._count("put_object")
        await self.store.answer(req, res, self.store.rows)

    async def _get_object(self, req: Request, res: Responder, _: Params) -> None:
        self._count("get_object")
        await self.store.answer(req, res, self.store.rows)

    async def _get_stats(self, req: Request, res: Responder, _: Params) -> None:
        await res.send_json(200, self.stats)

    async def _is_shed(self, bucket: _Bucket, res: Responder) -> bool:
        seconds = bucket.wait_seconds()
        if seconds:
            await res.send(429)
        return seconds > 0

    def _update_stale_rows(self) -> None:
        if self.faults.find("stale") is None:
            self._stale_rows = None
        elif self._stale_rows is None:
            self._stale_rows = self.store.rows.copy()

    def _count(self, name: str) -> None:
        self.stats[name] = self.stats.get(name, 0) + 1


async def _serve(standin: PlatformStandin, listen: Address) -> None:
    address = await standin.server.start(listen)
    print(f"listening {address}", flush=True)
    await asyncio.Event().wait()


def main(
    listen: Annotated[str, typer.Option(help="IP:PORT; port 0 selects a free port.")],
    writes_per_second: Annotated[
        float, typer.Option(help="Limit of transactions per second.")
    ] = 1_000.0,
    reads_per_second: Annotated[
        float, typer.Option(help="Limit of reads and scans per second.")
    ] = 4_000.0,
) -> None:
    """Run a stand-in for the platform until it is stopped."""
    standin = PlatformStandin(
        writes_per_second=writes_per_second,
        reads_per_second=reads_per_second,
    )
    asyncio.run(_serve(standin, parse_listen(listen)))


def parse_listen(text: str) -> Address:
    """Parse ``IP:PORT``, where the port may be 0."""
    if text.endswith(":0"):
        return Address(host=text[:-2], port=0)
    return Address.parse(text)


if __name__ == "__main__":
    typer.run(main)
