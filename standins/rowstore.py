"""A stand-in for the platform's metadata store, by its published protocol.

Rows in tables with one version counter, a feed of changes, and the faults that its
users must bear: silence, refusals, forgotten history.
"""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass
from urllib.parse import parse_qs

import msgspec

from celerytrail.http import Request
from celerytrail.httpserver import Handler, HttpServer, Responder
from celerytrail.types import Address


@dataclass(kw_only=True)
class StoreFaults:
    """What the store does wrong at this time."""

    is_silent: bool = False
    status: int | None = None
    has_forgotten: bool = False


@dataclass(frozen=True, kw_only=True)
class _StoredRow:
    table: str
    key: str
    value: str | None
    version: int

    def on_wire(self) -> dict[str, object]:
        row: dict[str, object] = {
            "table": self.table,
            "part": "",
            "key": self.key,
            "ver": self.version,
        }
        if self.value is None:
            row["tombstone"] = True
        else:
            row["value"] = self.value
        return row


class RowStore(Handler):
    """Holds rows in memory and answers the calls of the published protocol."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.n_calls = 0
        self.version = 0
        self._rows: dict[tuple[str, str], _StoredRow] = {}
        self._changed = asyncio.Event()
        self._server = HttpServer(handler=self)

    async def start(self) -> Address:
        """Listen on a free port of the loopback address."""
        return await self._server.start(Address(host="127.0.0.1", port=0))

    async def close(self) -> None:
        """Stop at once."""
        await self._server.close()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or an endpoint does; text is taken as bytes."""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._store(table, key, base64.b64encode(data).decode("ascii"))

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self._store(table, key, None)

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table's rows."""
        return [key for name, key in self._live() if name == table]

    def _live(self) -> list[tuple[str, str]]:
        return [place for place, row in self._rows.items() if row.value is not None]

    def _store(self, table: str, key: str, value: str | None) -> None:
        self.version += 1
        self._rows[table, key] = _StoredRow(
            table=table, key=key, value=value, version=self.version
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, req: Request, res: Responder) -> None:
        """Answer one call."""
        self.n_calls += 1
        if self.faults.is_silent:
            await res.lost
            return
        if self.faults.status is not None:
            await res.send(self.faults.status)
            return
        asked = {name: values[0] for name, values in parse_qs(req.query).items()}
        if req.path == "/api/rows-get":
            await self._answer_rows(res, asked.get("table", ""), 0, has_more=False)
        elif req.path == "/api/rows-feed":
            await self._answer_feed(res, asked)
        elif req.path == "/api/rows-tx":
            await self._answer_write(req, res)
        else:
            await res.send(404)

    async def _answer_feed(self, res: Responder, asked: dict[str, str]) -> None:
        table, after = asked["table"], int(asked["after"])
        if self.faults.has_forgotten:
            self.faults.has_forgotten = False
            await res.send(410)
            return
        until = asyncio.get_running_loop().time() + int(asked["wait-ms"]) / 1_000
        while not self._since(table, after):
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                break
        await self._answer_rows(res, table, after, has_more=None)

    async def _answer_write(self, req: Request, res: Responder) -> None:
        entries = msgspec.json.decode(req.body)
        for row in entries["writes"]:
            self._store(row["table"], row["key"], row["value"])
        for row in entries["remove"]:
            self._store(row["table"], row["key"], None)
        await res.send_json(200, {"ver": self.version, "now-ms": 0})

    async def _answer_rows(
        self, res: Responder, table: str, after: int, *, has_more: bool | None
    ) -> None:
        rows = self._since(table, after)
        if after == 0:
            rows = [row for row in rows if row.value is not None]
        answer: dict[str, object] = {
            "rows": [row.on_wire() for row in rows],
            "ver": self.version,
            "now-ms": 0,
        }
        if has_more is not None:
            answer["has-more"] = has_more
        await res.send_json(200, answer)

    def _since(self, table: str, after: int) -> list[_StoredRow]:
        found = [
            row
            for row in self._rows.values()
            if row.table == table and row.version > after
        ]
        return sorted(found, key=lambda row: row.version)
