"""The platform's transactional table: its interface and its HTTP client."""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from .. import rowsource
from ..decoding import contained
from ..http.messages import Response
from . import storewire
from .client import Exchanger, InDoubt, Unavailable

ABSENT = 0
# Holds all rows of the product in one partition: a transaction over several
# partitions takes twice as long and isn't allowed everywhere.
PRODUCT_TABLE = "celerytrail"
# Sorts after every key with a given prefix: keys are text in byte order.
LAST_CHARACTER = "\U0010ffff"


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row of the table.

    Parameters
    ----------
    key : str
        The row's key.
    value : object
        Any JSON value. Rows come from outside the process, so readers validate it.
    version : int
        Rises with each change; 0 for a row that does not exist.
    """

    key: str
    value: object = None
    version: int = ABSENT


@dataclass(frozen=True, kw_only=True, slots=True)
class Check:
    """A condition: the row must have this version; 0 for "must not exist"."""

    key: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Put:
    """A row to write."""

    key: str
    value: object


@dataclass(frozen=True, kw_only=True, slots=True)
class Transaction:
    """Changes that are applied atomically if every check holds."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """The transaction was applied; holds the versions of the rows it put, by key."""

    versions: Mapping[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """Nothing was applied, as these rows don't have the checked versions."""

    rows: tuple[Row, ...]


TransactError = Conflict | Unavailable | InDoubt
TransactResult = Result[Committed, TransactError]
Rows = Mapping[str, Row]


class Table(abc.ABC):
    """The transactional table; ``deadline`` is monotonic, in seconds."""

    @abc.abstractmethod
    async def transact(
        self, transaction: Transaction, deadline: float
    ) -> TransactResult:
        """Apply a transaction; `InDoubt` when it may or may not be applied."""

    @abc.abstractmethod
    async def read(
        self, keys: Sequence[str], deadline: float
    ) -> Result[Rows, Unavailable]:
        """Return the rows that exist, by key."""

    @abc.abstractmethod
    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100, deadline: float
    ) -> Result[tuple[Row, ...], Unavailable]:
        """Return rows in key order, starting after the key ``after``."""


class HttpTable(Table):
    """The table over HTTP; values are stored as JSON.

    Parameters
    ----------
    exchanger : Exchanger
        Sends the requests.
    """

    def __init__(self, *, exchanger: Exchanger) -> None:
        self._exchanger = exchanger

    async def transact(
        self, transaction: Transaction, deadline: float
    ) -> TransactResult:
        """Apply a transaction."""
        body = storewire.transaction_body(
            PRODUCT_TABLE,
            versions={check.key: check.version for check in transaction.checks},
            writes={
                put.key: msgspec.json.encode(put.value) for put in transaction.puts
            },
            removed=transaction.deletes,
        )
        result = await self._exchanger.send_transaction(body, deadline)
        if isinstance(result, Err):
            return Err(result.err_value)
        res = result.ok_value
        match res.status:
            case storewire.OK:
                return self._committed(transaction, res)
            case storewire.CONFLICT:
                return self._conflict(transaction, res)
            case status if status in storewire.NOT_APPLIED_STATUSES:
                return Err(Unavailable(reason="overload"))
            case status if 400 <= status < 500:
                return Err(Unavailable(reason="rejected", detail=f"status {status}"))
        return Err(InDoubt(reason="bad_answer", detail=f"status {res.status}"))

    def _committed(self, transaction: Transaction, res: Response) -> TransactResult:
        decoded = storewire.decode_version(res)
        if isinstance(decoded, Err):
            return self._bad_answer(decoded.err_value)
        versions = {put.key: decoded.ok_value for put in transaction.puts}
        return Ok(Committed(versions=versions))

    def _conflict(self, transaction: Transaction, res: Response) -> TransactResult:
        """Return the mismatched rows; the response holds all checked ones."""
        decoded = storewire.decode_conflict(res).and_then(_decode_rows)
        if isinstance(decoded, Err):
            return self._bad_answer(decoded.err_value)
        rows = {row.key: row for row in decoded.ok_value}
        mismatched = [
            rows.get(check.key, Row(key=check.key))
            for check in transaction.checks
            if rows.get(check.key, Row(key=check.key)).version != check.version
        ]
        return Err(Conflict(rows=tuple(mismatched)))

    def _bad_answer(self, problem: str) -> TransactResult:
        self._exchanger.record_bad_answer("transact", problem)
        return Err(InDoubt(reason="bad_answer", detail=problem))

    async def read(
        self, keys: Sequence[str], deadline: float
    ) -> Result[Rows, Unavailable]:
        """Return the rows that exist, by key; they aren't one snapshot."""
        rows_by_key: dict[str, Row] = {}
        reads = [self._range("read", key, key + "\0", 1, deadline) for key in keys]
        for read in await asyncio.gather(*reads):
            if isinstance(read, Err):
                return Err(read.err_value)
            rows, _ = read.ok_value
            rows_by_key.update((row.key, row) for row in rows)
        return Ok(rows_by_key)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100, deadline: float
    ) -> Result[tuple[Row, ...], Unavailable]:
        """Return rows in key order, from as many pages as hold them."""
        start = max(prefix, after + "\0" if after else "")
        end = prefix + LAST_CHARACTER
        limit = min(limit, storewire.MAX_ROWS)
        rows: tuple[Row, ...] = ()
        while True:
            n_left = limit - len(rows)
            page = await self._range("scan", start, end, n_left, deadline)
            if isinstance(page, Err):
                return Err(page.err_value)
            found, has_more = page.ok_value
            rows += found
            # A page ends early if its rows are large.
            if not has_more or len(rows) >= limit:
                return Ok(rows)
            start = rows[-1].key + "\0"

    async def _range(
        self, kind: str, start: str, end: str, limit: int, deadline: float
    ) -> Result[tuple[tuple[Row, ...], bool], Unavailable]:
        """Return a page of rows, and whether more follow."""
        path = storewire.range_path(PRODUCT_TABLE, start=start, end=end, limit=limit)
        result = await self._exchanger.fetch(kind, "GET", path, deadline=deadline)
        if isinstance(result, Err):
            return Err(result.err_value)
        decoded = storewire.decode_page(result.ok_value).and_then(_decode_page)
        if isinstance(decoded, Ok):
            return Ok(decoded.ok_value)
        problem = decoded.err_value
        self._exchanger.record_bad_answer(kind, problem)
        return Err(Unavailable(reason="bad_answer", detail=problem))


@contained
def _decode_page(
    page: tuple[rowsource.Changes, bool],
) -> Result[tuple[tuple[Row, ...], bool], str]:
    changes, has_more = page
    return Ok((tuple(map(_row, changes.rows)), has_more))


@contained
def _decode_rows(rows: Sequence[rowsource.Row]) -> Result[tuple[Row, ...], str]:
    return Ok(tuple(map(_row, rows)))


def _row(row: rowsource.Row) -> Row:
    if row.value is None:
        return Row(key=row.key)
    return Row(key=row.key, value=msgspec.json.decode(row.value), version=row.version)
