"""A stand-in for the platform's metadata store, which serves its published protocol.

It has rows with one version counter, conditional transactions, a feed of changes and
objects, and the faults that clients must tolerate: no answer, error statuses, and a
feed whose history is lost.
"""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec

from celerytrail.http.messages import Request
from celerytrail.http.network import Network
from celerytrail.http.server import Handler, HttpServer, Responder
from celerytrail.types import Address

from .rowtable import RowId, RowTable, StoredRow

MAX_ROWS = 500
# Bytes of values in one response, unless its first row is larger.
MAX_PAGE_BYTES = 1_000_000
OBJECT_PATHS = ("/api/blob-put/", "/api/blob-get/")


@dataclass(kw_only=True)
class StoreFaults:
    """Faults that the store shows now; ``has_forgotten`` fails one feed call."""

    is_silent: bool = False
    status: int | None = None
    has_forgotten: bool = False


class RowStore(Handler):
    """Holds rows and objects in memory and answers the calls of the protocol.

    Parameters
    ----------
    network : Network or None
        Carries its connections; the machine's network by default.
    """

    def __init__(self, *, network: Network | None = None) -> None:
        self.faults = StoreFaults()
        self.n_calls = 0
        self.rows = RowTable()
        self.objects: dict[str, bytes] = {}
        self._changed = asyncio.Event()
        self._server = HttpServer(handler=self, network=network)

    async def start(self) -> Address:
        """Listen on a free port of the loopback address."""
        return await self._server.start(Address(host="127.0.0.1", port=0))

    async def close(self) -> None:
        """Stop at once."""
        await self._server.close()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row: bytes as they are, other values encoded as JSON."""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        encoded = base64.b64encode(data).decode("ascii")
        self.rows.commit({}, {(table, key): encoded}, [])
        self._notify()

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self.rows.commit({}, {}, [(table, key)])
        self._notify()

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table's rows."""
        return [row.key for row in self.rows.find(table, "", None, MAX_ROWS)]

    def _notify(self) -> None:
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
        await self.answer(req, res, self.rows)

    async def answer(self, req: Request, res: Responder, visible: RowTable) -> None:
        """Answer one call; reads are served from the rows in ``visible``."""
        query = {name: values[0] for name, values in parse_qs(req.query).items()}
        match req.method, req.path:
            case "POST", "/api/rows-tx":
                await self._answer_transaction(req, res)
            case "GET", "/api/rows-get":
                await self._answer_range(res, query, visible)
            case "GET", "/api/rows-feed":
                await self._answer_feed(res, query)
            case method, path if path.startswith(OBJECT_PATHS):
                await self._answer_object(req, res, method)
            case _:
                await res.send(404)

    async def _answer_range(
        self, res: Responder, query: dict[str, str], visible: RowTable
    ) -> None:
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        rows = visible.find(
            query.get("table", ""), query.get("from", ""), query.get("to"), limit
        )
        page = _first_page(rows[:limit])
        answer = self._page(page, visible.version)
        await res.send_json(200, {**answer, "has-more": len(rows) > len(page)})

    async def _answer_feed(self, res: Responder, query: dict[str, str]) -> None:
        table, after = query["table"], int(query["after"])
        if self.faults.has_forgotten:
            self.faults.has_forgotten = False
            await res.send(410)
            return
        deadline = asyncio.get_running_loop().time() + int(query["wait-ms"]) / 1_000
        while not self.rows.changed_since(table, after):
            try:
                async with asyncio.timeout_at(deadline):
                    await self._changed.wait()
            except TimeoutError:
                break
        rows = self.rows.changed_since(table, after)
        await res.send_json(200, self._page(rows, self.rows.version))

    async def _answer_transaction(self, req: Request, res: Responder) -> None:
        try:
            entries = msgspec.json.decode(req.body)
            expected = {
                _row_id(row): row["ver"] for row in entries["expected-revision"]
            }
            writes = {_row_id(row): row["value"] for row in entries["writes"]}
            removed = [_row_id(row) for row in entries["remove"]]
        except (msgspec.DecodeError, KeyError, TypeError):
            await res.send(400)
            return
        expected_rows = self.rows.commit(expected, writes, removed)
        if expected_rows:
            await res.send_json(412, self._page(expected_rows, self.rows.version))
            return
        self._notify()
        await res.send_json(200, {"ver": self.rows.version, "now-ms": 0})

    async def _answer_object(self, req: Request, res: Responder, method: str) -> None:
        name = unquote(req.path.split("/", 3)[3])
        if method == "PUT":
            self.objects[name] = req.body
            await res.send(200)
            return
        data = self.objects.get(name)
        if data is None:
            await res.send(404)
            return
        await res.send(200, data, {"content-type": "application/octet-stream"})

    @staticmethod
    def _page(rows: list[StoredRow], version: int) -> dict[str, object]:
        return {"rows": [_to_wire(row) for row in rows], "ver": version, "now-ms": 0}


def _first_page(rows: list[StoredRow]) -> list[StoredRow]:
    """Return the first rows that fit into one response, one at least."""
    n_bytes = 0
    for number, row in enumerate(rows):
        n_bytes += len(row.value or "")
        if number and n_bytes > MAX_PAGE_BYTES:
            return rows[:number]
    return rows


def _row_id(row: dict[str, Any]) -> RowId:
    return row["table"], row["key"]


def _to_wire(row: StoredRow) -> dict[str, object]:
    raw: dict[str, object] = {
        "table": row.table,
        "part": "",
        "key": row.key,
        "ver": row.version,
    }
    if row.value is not None:
        raw["value"] = row.value
    elif row.version:
        raw["tombstone"] = True
    return raw
