"""The metadata store's calls as bytes: paths, transactions, rows and pages.

Nothing here decides; whoever calls knows what an answer means.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable, Mapping
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
from result import Err, Ok, Result

from ..http.messages import Response
from ..rowsource import Changes, Row

OK = 200
GONE = 410
# The rows as they stand do not meet the conditions.
CONFLICT = 412
# Nothing was done: too many calls, or the store is away.
NOT_DONE = (429, 503)

TRANSACT_PATH = "/api/rows-tx"
# Rows in one answer at most; more are asked for by further calls.
MAX_ROWS = 500

# The tables that others write.
CONFIG_TABLE = "op"
CONFIG_KEY = "config"
REGISTRATION_TABLE = "servers"
# A row for each node, written by the nodes: where it talks to other nodes.
NODES_TABLE = "nodes"

_DECODE_ERRORS = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
)


def range_path(
    table: str, *, start: str = "", end: str | None = None, limit: int | None = None
) -> str:
    """Return the path that reads rows in order of keys; ``end`` is left out."""
    query: dict[str, str | int] = {"table": table, "part": "", "from": start}
    if end is not None:
        query["to"] = end
    if limit is not None:
        query["limit"] = limit
    return f"/api/rows-get?{urlencode(query)}"


def changes_path(table: str, after: int, wait_seconds: float) -> str:
    """Return the path that asks what changed after a version, and waits for it."""
    query = {"table": table, "after": after, "wait-ms": int(wait_seconds * 1_000)}
    return f"/api/rows-feed?{urlencode(query)}"


def put_object_path(name: str) -> str:
    """Return the path that keeps an object; a name is one segment."""
    return f"/api/blob-put/{quote(name, safe='')}"


def get_object_path(name: str) -> str:
    """Return the path that fetches an object."""
    return f"/api/blob-get/{quote(name, safe='')}"


def transaction_body(
    table: str,
    *,
    versions: Mapping[str, int] | None = None,
    writes: Mapping[str, bytes] | None = None,
    removed: Iterable[str] = (),
) -> bytes:
    """Return the body of a transaction over rows of one table.

    ``versions`` are those that rows must have, 0 for none; a transaction without any
    is applied as it is.
    """
    entries = {
        "expected-revision": [
            {**_place(table, key), "ver": version}
            for key, version in (versions or {}).items()
        ],
        "writes": [
            {**_place(table, key), "value": base64.b64encode(value).decode("ascii")}
            for key, value in (writes or {}).items()
        ],
        "remove": [_place(table, key) for key in removed],
    }
    return msgspec.json.encode(entries)


def decode_page(res: Response) -> Result[tuple[Changes, bool], str]:
    """Return the rows of an answer, and whether there are more."""
    try:
        raw = msgspec.json.decode(res.body)
        rows = tuple(_decode_row(row) for row in raw["rows"])
        changes = Changes(rows=rows, version=int(raw["ver"]))
        return Ok((changes, bool(raw.get("has-more"))))
    except _DECODE_ERRORS as exc:
        return Err(f"the answer can't be read: {exc!r}")


def decode_conflict(res: Response) -> Result[tuple[Row, ...], str]:
    """Return the rows that stood in the way of a transaction, as they are now."""
    try:
        raw = msgspec.json.decode(res.body)
        return Ok(tuple(_decode_row(row) for row in raw["rows"]))
    except _DECODE_ERRORS as exc:
        return Err(f"the answer can't be read: {exc!r}")


def decode_version(res: Response) -> Result[int, str]:
    """Return the version that a transaction gave the rows that it wrote."""
    try:
        return Ok(int(msgspec.json.decode(res.body)["ver"]))
    except _DECODE_ERRORS as exc:
        return Err(f"the answer can't be read: {exc!r}")


def _place(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _decode_row(raw: dict[str, Any]) -> Row:
    version = int(raw.get("ver", 0))
    if raw.get("tombstone") or version == 0:
        return Row(key=raw["key"], value=None, version=version)
    try:
        value = base64.b64decode(raw.get("value") or "", validate=True)
    except (binascii.Error, ValueError, TypeError):
        # Bytes that can't be read are the row's own fault; its reader says so.
        value = b""
    return Row(key=raw["key"], value=value, version=version)
