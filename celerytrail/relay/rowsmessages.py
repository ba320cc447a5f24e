"""Messages by which a node requests a table's rows from another node.

Large values are compressed if the requester accepts that, which it states in its
request's ``accept-encoding`` header.
"""

from __future__ import annotations

import zlib

import msgspec
from result import Ok, Result

from ..decoding import contained
from ..http.messages import Request
from ..rowsource import Changes, Row

ROWS_PATH = "/peer/v1/rows"
ACCEPT_HEADERS = {"accept-encoding": "deflate"}
# Values from this size on are compressed.
MIN_PACKED_BYTES = 1_024
COMPRESSION_LEVEL = 1
MAX_CACHED_ROWS = 64


class RowsRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Request for the rows of a table.

    ``after`` is the version after which changes are requested; None requests the whole
    table.
    """

    table: str
    after: int | None
    wait_seconds: float


class SentRow(msgspec.Struct, array_like=True):
    """One row; ``is_packed`` says that its value is compressed."""

    key: str
    value: bytes | None
    version: int
    is_packed: bool = False


class RowsAnswer(msgspec.Struct):
    """Rows with their version and age.

    ``n_hops`` is the number of nodes between the store and the sender, 0 if the sender
    follows the store.
    """

    version: int
    age_seconds: float
    waited_seconds: float
    rows: list[SentRow]
    is_history_gone: bool = False
    n_hops: int = 0


@contained
def decode_rows(body: bytes) -> Result[tuple[RowsAnswer, tuple[Row, ...]], str]:
    """Decode an answer and its rows, which may be compressed."""
    answer = msgspec.json.decode(body, type=RowsAnswer)
    rows = tuple(
        Row(
            key=row.key,
            value=(
                zlib.decompress(row.value)
                if row.is_packed and row.value is not None
                else row.value
            ),
            version=row.version,
        )
        for row in answer.rows
    )
    return Ok((answer, rows))


class RowsEncoder:
    """Encodes answers, and compresses each version of a large row once."""

    def __init__(self) -> None:
        self._packed: dict[str, tuple[int, bytes]] = {}

    def answer(self, changes: Changes, *, n_hops: int, req: Request) -> RowsAnswer:
        """Return the answer to a request."""
        is_packable = "deflate" in req.headers.get("accept-encoding", "")
        return RowsAnswer(
            version=changes.version,
            age_seconds=changes.age_seconds,
            waited_seconds=changes.waited_seconds,
            rows=[self._sent_row(row, is_packable) for row in changes.rows],
            n_hops=n_hops,
        )

    def _sent_row(self, row: Row, is_packable: bool) -> SentRow:
        if not is_packable or row.value is None or len(row.value) < MIN_PACKED_BYTES:
            return SentRow(key=row.key, value=row.value, version=row.version)
        cached = self._packed.get(row.key)
        if cached is None or cached[0] != row.version:
            if len(self._packed) >= MAX_CACHED_ROWS:
                self._packed.clear()
            cached = (row.version, zlib.compress(row.value, COMPRESSION_LEVEL))
            self._packed[row.key] = cached
        return SentRow(
            key=row.key, value=cached[1], version=row.version, is_packed=True
        )


def history_gone() -> RowsAnswer:
    """Return the answer that the requested changes are no longer kept."""
    return RowsAnswer(
        version=0, age_seconds=0.0, waited_seconds=0.0, rows=[], is_history_gone=True
    )
