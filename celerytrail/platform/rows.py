"""Access to the rows of the platform's store over HTTP."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from ..http.messages import Response
from ..rowsource import (
    Changes,
    HistoryTruncated,
    Row,
    RowSource,
    StoreInDoubt,
    StoreUnavailable,
)
from . import storewire
from .client import Exchanger, InDoubt

# Time for each further page of a table, and for all pages, in seconds. With the first
# page's deadline for all, a large table would be read from its start again and again.
PAGE_SECONDS = 0.6
MAX_READ_SECONDS = 10.0


class PlatformRows(RowSource):
    """Reads, follows and writes rows of the platform's store.

    Parameters
    ----------
    exchanger : Exchanger
        Sends the requests.
    """

    def __init__(self, *, exchanger: Exchanger) -> None:
        self._exchanger = exchanger

    async def read(
        self, table: str, deadline: float, *, at_least: int = 0
    ) -> Result[Changes, StoreUnavailable]:
        """Read a whole table, at the version of its first page.

        The store's answers are linearizable, so ``at_least`` needs no check here.
        """
        loop = asyncio.get_running_loop()
        last_deadline = max(deadline, loop.time() + MAX_READ_SECONDS)
        rows: list[Row] = []
        version: int | None = None
        start = ""
        while True:
            path = storewire.range_path(table, start=start)
            response = await self._get("read", path, deadline)
            if isinstance(response, Err):
                return Err(response.err_value)
            page = self._page("read", response.ok_value)
            if isinstance(page, Err):
                return Err(page.err_value)
            changes, has_more = page.ok_value
            rows += changes.rows
            # The feed from the first page's version repeats what changed between pages.
            version = changes.version if version is None else version
            if not has_more:
                return Ok(Changes(rows=tuple(rows), version=version))
            start = changes.rows[-1].key + "\0"
            deadline = min(last_deadline, max(deadline, loop.time() + PAGE_SECONDS))

    async def follow(
        self, table: str, after: int, wait_seconds: float, deadline: float
    ) -> Result[Changes, StoreUnavailable | HistoryTruncated]:
        """Return the changes after a version; wait up to ``wait_seconds`` for one."""
        path = storewire.changes_path(table, after, wait_seconds)
        response = await self._get("follow", path, deadline)
        if isinstance(response, Err):
            if response.err_value.status == storewire.GONE:
                return Err(HistoryTruncated())
            return Err(response.err_value)
        page = self._page("follow", response.ok_value)
        if isinstance(page, Err):
            return Err(page.err_value)
        return Ok(page.ok_value[0])

    async def put(
        self, table: str, key: str, value: bytes, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        """Write one row unconditionally."""
        body = storewire.transaction_body(table, writes={key: value})
        return await self._write(body, deadline)

    async def drop(
        self, table: str, key: str, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        """Remove one row unconditionally."""
        body = storewire.transaction_body(table, removed=[key])
        return await self._write(body, deadline)

    async def _write(
        self, body: bytes, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        result = await self._exchanger.send_transaction(body, deadline)
        if isinstance(result, Err):
            exc = result.err_value
            if isinstance(exc, InDoubt):
                return Err(StoreInDoubt(reason=exc.reason))
            return Err(StoreUnavailable(reason=exc.reason))
        return _expect_ok(result.ok_value).map(lambda _: None)

    async def _get(
        self, kind: str, path: str, deadline: float
    ) -> Result[Response, StoreUnavailable]:
        result = await self._exchanger.exchange(
            kind, "GET", path, deadline=deadline, is_repeatable=True
        )
        if isinstance(result, Err):
            exc = result.err_value
            return Err(StoreUnavailable(reason=f"{exc.reason} {exc.detail}".strip()))
        return _expect_ok(result.ok_value)

    def _page(
        self, kind: str, res: Response
    ) -> Result[tuple[Changes, bool], StoreUnavailable]:
        decoded = storewire.decode_page(res)
        if isinstance(decoded, Err):
            self._exchanger.record_bad_answer(kind, decoded.err_value)
            return Err(StoreUnavailable(reason=decoded.err_value))
        return Ok(decoded.ok_value)


def _expect_ok(res: Response) -> Result[Response, StoreUnavailable]:
    if res.status == storewire.OK:
        return Ok(res)
    return Err(StoreUnavailable(reason=f"status {res.status}", status=res.status))
