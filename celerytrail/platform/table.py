"""The platform's transactional table: its interface and its client."""

from __future__ import annotations

import abc
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from .client import Exchanger, InDoubt, Unavailable

ABSENT = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row of the table.

    Parameters
    ----------
    key : str
        Its key.
    value : object
        What JSON can hold. Rows come from outside: whoever reads one checks it.
    version : int
        Rises with each change; 0 stands for a row that does not exist.
    """

    key: str
    value: object = None
    version: int = ABSENT


@dataclass(frozen=True, kw_only=True, slots=True)
class Check:
    """A condition: the row must stand at this version; 0 for "must not exist"."""

    key: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Put:
    """A row to write."""

    key: str
    value: object


@dataclass(frozen=True, kw_only=True, slots=True)
class Transaction:
    """Changes that are applied all or not at all, if every check holds."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """The transaction was applied; the versions of the rows it put, by key."""

    versions: Mapping[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """Nothing was applied, as these rows stood in the way."""

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
        """Return rows in the order of their keys, from beyond ``after``."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _RowsAnswer:
    rows: tuple[Row, ...]


class HttpTable(Table):
    """The table over HTTP.

    Parameters
    ----------
    exchanger : Exchanger
        Makes the exchanges.
    """

    def __init__(self, *, exchanger: Exchanger) -> None:
        self._exchanger = exchanger

    async def transact(
        self, transaction: Transaction, deadline: float
    ) -> TransactResult:
        """Apply a transaction."""
        made = await self._exchanger.exchange(
            "transact",
            "POST",
            "/table/transact",
            body=msgspec.json.encode(transaction),
            deadline=deadline,
            is_repeatable=False,
        )
        if isinstance(made, Err):
            return Err(made.err_value)
        res = made.ok_value
        try:
            if res.status == 200:
                return Ok(msgspec.json.decode(res.body, type=Committed))
            if res.status == 409:
                return Err(msgspec.json.decode(res.body, type=Conflict))
        except msgspec.MsgspecError as exc:
            self._exchanger.note_bad_answer("transact", str(exc))
            return Err(InDoubt(reason="bad_answer", detail=str(exc)))
        if 400 <= res.status < 500:
            return Err(Unavailable(reason="rejected", detail=f"status {res.status}"))
        return Err(InDoubt(reason="bad_answer", detail=f"status {res.status}"))

    async def read(
        self, keys: Sequence[str], deadline: float
    ) -> Result[Rows, Unavailable]:
        """Return the rows that exist, by key."""
        answer = await self._rows("read", "/table/read", {"keys": list(keys)}, deadline)
        return answer.map(lambda rows: {row.key: row for row in rows})

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100, deadline: float
    ) -> Result[tuple[Row, ...], Unavailable]:
        """Return rows in the order of their keys."""
        asked = {"prefix": prefix, "after": after, "limit": limit}
        return await self._rows("scan", "/table/scan", asked, deadline)

    async def _rows(
        self, kind: str, path: str, asked: object, deadline: float
    ) -> Result[tuple[Row, ...], Unavailable]:
        made = await self._exchanger.fetch(
            kind, "POST", path, body=msgspec.json.encode(asked), deadline=deadline
        )
        if isinstance(made, Err):
            return Err(made.err_value)
        try:
            return Ok(msgspec.json.decode(made.ok_value.body, type=_RowsAnswer).rows)
        except msgspec.MsgspecError as exc:
            self._exchanger.note_bad_answer(kind, str(exc))
            return Err(Unavailable(reason="bad_answer", detail=str(exc)))
