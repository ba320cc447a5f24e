"""The rows that the relay reads, follows and writes in the platform's store."""

from __future__ import annotations

from result import Err, Ok, Result

from ..http.messages import Response
from ..rowsource import (
    Changes,
    HistoryGone,
    Row,
    RowSource,
    StoreInDoubt,
    StoreUnavailable,
)
from . import storewire
from .client import Exchanger, InDoubt


class PlatformRows(RowSource):
    """Rows of the platform's store.

    Parameters
    ----------
    exchanger : Exchanger
        Makes the exchanges.
    """

    def __init__(self, *, exchanger: Exchanger) -> None:
        self._exchanger = exchanger

    async def read(
        self, table: str, deadline: float, *, at_least: int = 0
    ) -> Result[Changes, StoreUnavailable]:
        """Read a whole table as of one moment; pages are joined at their oldest.

        The store's answers are linearizable, so it knows every version by itself.
        """
        rows: list[Row] = []
        version: int | None = None
        start = ""
        while True:
            path = storewire.range_path(table, start=start)
            answered = await self._get("read", path, deadline)
            if isinstance(answered, Err):
                return Err(answered.err_value)
            page = self._page("read", answered.ok_value)
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
        path = storewire.changes_path(table, after, wait_seconds)
        answered = await self._get("follow", path, deadline)
        if isinstance(answered, Err):
            if answered.err_value.status == storewire.GONE:
                return Err(HistoryGone())
            return Err(answered.err_value)
        page = self._page("follow", answered.ok_value)
        if isinstance(page, Err):
            return Err(page.err_value)
        return Ok(page.ok_value[0])

    async def put(
        self, table: str, key: str, value: bytes, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        """Write one row without a condition."""
        body = storewire.transaction_body(table, writes={key: value})
        return await self._write(body, deadline)

    async def drop(
        self, table: str, key: str, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        """Remove one row without a condition."""
        body = storewire.transaction_body(table, removed=[key])
        return await self._write(body, deadline)

    async def _write(
        self, body: bytes, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        made = await self._exchanger.send_transaction(body, deadline)
        if isinstance(made, Err):
            exc = made.err_value
            if isinstance(exc, InDoubt):
                return Err(StoreInDoubt(reason=exc.reason))
            return Err(StoreUnavailable(reason=exc.reason))
        return _expect_ok(made.ok_value).map(lambda _: None)

    async def _get(
        self, kind: str, path: str, deadline: float
    ) -> Result[Response, StoreUnavailable]:
        made = await self._exchanger.exchange(
            kind, "GET", path, deadline=deadline, is_repeatable=True
        )
        if isinstance(made, Err):
            exc = made.err_value
            return Err(StoreUnavailable(reason=f"{exc.reason} {exc.detail}".strip()))
        return _expect_ok(made.ok_value)

    def _page(
        self, kind: str, res: Response
    ) -> Result[tuple[Changes, bool], StoreUnavailable]:
        decoded = storewire.decode_page(res)
        if isinstance(decoded, Err):
            self._exchanger.note_bad_answer(kind, decoded.err_value)
            return Err(StoreUnavailable(reason=decoded.err_value))
        return Ok(decoded.ok_value)


def _expect_ok(res: Response) -> Result[Response, StoreUnavailable]:
    if res.status == storewire.OK:
        return Ok(res)
    return Err(StoreUnavailable(reason=f"status {res.status}", status=res.status))
