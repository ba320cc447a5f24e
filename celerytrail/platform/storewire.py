"""Encoding of the metadata store's calls: paths, transactions, rows and pages.

The functions only encode and decode; the meaning of a response is left to the caller.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable, Mapping
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
from result import Err, Ok, Result

from ..decoding import contained
from ..http.messages import Response
from ..rowsource import Changes, Row

OK = 200
GONE = 410
# The current versions of the rows don't match the transaction's conditions.
CONFLICT = 412
# No change was applied: too many calls, or the store is unavailable.
NOT_APPLIED_STATUSES = (429, 503)

TRANSACT_PATH = "/api/rows-tx"
# Most rows in one response; further rows take further calls.
MAX_ROWS = 500

# Tables that the operator and the endpoints write.
CONFIG_TABLE = "op"
CONFIG_KEY = "config"
# Start of the keys of rows that evacuate a failure domain; its name follows.
EVACUATION_PREFIX = "evacuate/"
REGISTRATION_TABLE = "servers"
# A row for each node with its peer address, written by the nodes.
NODES_TABLE = "nodes"
# A row for each block on prompts, written by the nodes.
PROMPT_BLOCKS_TABLE = "prompt-blocks"


def range_path(
    table: str, *, start: str = "", end: str | None = None, limit: int | None = None
) -> str:
    """Return the path that reads rows in key order; ``end`` is exclusive."""
    query: dict[str, str | int] = {"table": table, "part": "", "from": start}
    if end is not None:
        query["to"] = end
    if limit is not None:
        query["limit"] = limit
    return f"/api/rows-get?{urlencode(query)}"


def changes_path(table: str, after: int, wait_seconds: float) -> str:
    """Return the path of a long poll for the changes after a version."""
    query = {"table": table, "after": after, "wait-ms": int(wait_seconds * 1_000)}
    return f"/api/rows-feed?{urlencode(query)}"


def put_object_path(name: str) -> str:
    """Return the path that stores an object; the name is one path segment."""
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

    ``versions`` are the versions that rows must have, 0 for a row that must not exist.
    Without any, the transaction is unconditional.
    """
    changes = {
        "expected-revision": [
            {**_row_id(table, key), "ver": version}
            for key, version in (versions or {}).items()
        ],
        "writes": [
            {**_row_id(table, key), "value": base64.b64encode(value).decode("ascii")}
            for key, value in (writes or {}).items()
        ],
        "remove": [_row_id(table, key) for key in removed],
    }
    return msgspec.json.encode(changes)


@contained
def decode_page(res: Response) -> Result[tuple[Changes, bool], str]:
    """Decode a page of rows, and whether more follow."""
    raw = msgspec.json.decode(res.body)
    rows = tuple(_decode_row(row) for row in raw["rows"])
    has_more = bool(raw.get("has-more"))
    if has_more and not rows:
        return Err("an empty page behind which more rows follow")
    changes = Changes(rows=rows, version=int(raw["ver"]))
    return Ok((changes, has_more))


@contained
def decode_conflict(res: Response) -> Result[tuple[Row, ...], str]:
    """Decode the current state of the rows that a refused transaction checked."""
    raw = msgspec.json.decode(res.body)
    return Ok(tuple(_decode_row(row) for row in raw["rows"]))


@contained
def decode_version(res: Response) -> Result[int, str]:
    """Decode the version that a transaction gave to the rows that it wrote."""
    return Ok(int(msgspec.json.decode(res.body)["ver"]))


def _row_id(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _decode_row(raw: dict[str, Any]) -> Row:
    version = int(raw.get("ver", 0))
    if raw.get("tombstone") or version == 0:
        return Row(key=raw["key"], value=None, version=version)
    try:
        value = base64.b64decode(raw.get("value") or "", validate=True)
    except (binascii.Error, ValueError, TypeError):
        # Invalid base64 affects this row only: the value is left empty, and the row's
        # decoder reports it.
        value = b""
    return Row(key=raw["key"], value=value, version=version)
