"""The platform's metadata store: typed calls, each with a deadline and one outcome."""

from __future__ import annotations

import base64
import binascii
from typing import Any
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from ..http import Response
from ..httpclient import HttpClient, NotSent
from ..network import Network
from ..relay.rowsource import (
    Changes,
    HistoryGone,
    Row,
    RowSource,
    StoreInDoubt,
    StoreUnavailable,
)
from ..types import Address

OK = 200
GONE = 410

# The tables that others write.
CONFIG_TABLE = "op"
CONFIG_KEY = "config"
REGISTRATION_TABLE = "servers"


class PlatformRows(RowSource):
    """Speaks with the platform's store over kept connections.

    Parameters
    ----------
    address : Address
        The store.
    network : Network or None
        What carries the connections.
    """

    def __init__(self, *, address: Address, network: Network | None = None) -> None:
        self._address = address
        self._http = HttpClient(network=network, id_header=None)
        self.n_calls = 0

    async def read(
        self, table: str, deadline: float
    ) -> Result[Changes, StoreUnavailable]:
        """Read a whole table as of one moment; pages are joined at their oldest."""
        rows: list[Row] = []
        version: int | None = None
        start = ""
        while True:
            query = urlencode({"table": table, "part": "", "from": start})
            answered = await self._get(f"/api/rows-get?{query}", deadline)
            if isinstance(answered, Err):
                return Err(answered.err_value)
            page = _page(answered.ok_value)
            if isinstance(page, Err):
                return Err(page.err_value)
            found, has_more = page.ok_value
            rows += found.rows
            # What changed between two pages is told again by the feed from the first.
            version = found.version if version is None else version
            if not has_more or not found.rows:
                return Ok(Changes(rows=tuple(rows), version=version))
            start = found.rows[-1].key + "\0"

    async def follow(
        self, table: str, after: int, wait_seconds: float, deadline: float
    ) -> Result[Changes, StoreUnavailable | HistoryGone]:
        """Return what changed after a version, waiting a while for something."""
        query = urlencode(
            {"table": table, "after": after, "wait-ms": int(wait_seconds * 1_000)}
        )
        answered = await self._get(f"/api/rows-feed?{query}", deadline)
        if isinstance(answered, Err):
            if answered.err_value.status == GONE:
                return Err(HistoryGone())
            return Err(answered.err_value)
        page = _page(answered.ok_value)
        if isinstance(page, Err):
            return Err(page.err_value)
        return Ok(page.ok_value[0])

    async def put(
        self, table: str, key: str, value: bytes, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        """Write one row without a condition."""
        encoded = base64.b64encode(value).decode("ascii")
        row = {"table": table, "part": "", "key": key, "value": encoded}
        return await self._write({"writes": [row]}, deadline)

    async def drop(
        self, table: str, key: str, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        """Remove one row without a condition."""
        row = {"table": table, "part": "", "key": key}
        return await self._write({"remove": [row]}, deadline)

    async def _write(
        self, entries: dict[str, Any], deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        self.n_calls += 1
        body = {"expected-revision": [], "writes": [], "remove": [], **entries}
        answered = await self._http.request_json(
            self._address, "POST", "/api/rows-tx", body, deadline=deadline
        )
        if isinstance(answered, Err):
            exc = answered.err_value
            if isinstance(exc, NotSent):
                return Err(StoreUnavailable(reason=exc.reason))
            return Err(StoreInDoubt(reason=exc.reason))
        status = answered.ok_value.status
        if status != OK:
            return Err(StoreUnavailable(reason=f"status {status}", status=status))
        return Ok(None)

    async def _get(
        self, path: str, deadline: float
    ) -> Result[Response, StoreUnavailable]:
        self.n_calls += 1
        answered = await self._http.request(
            self._address, "GET", path, deadline=deadline
        )
        if isinstance(answered, Err):
            exc = answered.err_value
            return Err(StoreUnavailable(reason=f"{exc.reason} {exc.detail}".strip()))
        res = answered.ok_value
        if res.status != OK:
            return Err(
                StoreUnavailable(reason=f"status {res.status}", status=res.status)
            )
        return Ok(res)


def _page(res: Response) -> Result[tuple[Changes, bool], StoreUnavailable]:
    """Decode an answer that holds rows."""
    try:
        raw = msgspec.json.decode(res.body)
        rows = tuple(_row(row) for row in raw["rows"])
        changes = Changes(rows=rows, version=int(raw["ver"]))
        return Ok((changes, bool(raw.get("has-more"))))
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
    ) as exc:
        return Err(StoreUnavailable(reason=f"the answer can't be read: {exc!r}"))


def _row(raw: dict[str, Any]) -> Row:
    if raw.get("tombstone"):
        return Row(key=raw["key"], value=None, version=int(raw.get("ver", 0)))
    try:
        value = base64.b64decode(raw.get("value") or "", validate=True)
    except (binascii.Error, ValueError, TypeError):
        # Bytes that can't be read are the row's own fault; its reader says so.
        value = b""
    return Row(key=raw["key"], value=value, version=int(raw.get("ver", 0)))
