"""Follows the platform's tables through a few readers on behalf of all nodes.

Each call to the store costs, and all nodes together may make a bounded number of them.
So one reader follows the tables at the store, further readers follow that one if there
are many nodes, and all other nodes follow the readers. A node that can't reach the
store gets the rows from nodes that can, and a node whose reader is silent or behind
turns to the store itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from ..decoding import decode_json
from ..http.client import HttpClient, Progress
from ..http.messages import Request
from ..http.routes import Params, Router, send_error
from ..http.server import Responder
from ..metrics import Metrics
from ..nodes.exchange import refuse_signature
from ..nodes.nodes import Nodes
from ..nodes.signing import PeerKeys
from ..policies.renewal import RenewalBound
from ..rowsource import (
    Changes,
    HistoryTruncated,
    RowSource,
    StoreInDoubt,
    StoreUnavailable,
)
from ..types import Address
from .rowsmessages import (
    ACCEPT_HEADERS,
    ROWS_PATH,
    RowsAnswer,
    RowsEncoder,
    RowsRequest,
    decode_rows,
    history_gone,
)
from .rowsources import STORE, ReaderBehind, RowSources
from .tablemirror import TableMirror

# How many sources are tried for one request, within its deadline.
MAX_SOURCES_TRIED = 3
# Longest time for another node's answer beyond the requested wait, in seconds. A silent
# node must leave time to try the next source.
READER_ANSWER_SECONDS = 0.35
# A source is not tried with less time than this, in seconds: a timeout would not show
# that it failed.
MIN_TRY_SECONDS = 0.1
# Longest time for the store's answer beyond the requested wait, in seconds.
STORE_ANSWER_SECONDS = 0.6
# Longest time for an answer of another node that keeps arriving, in seconds.
MAX_TRANSFER_SECONDS = 10.0

Answer = Result[Changes, StoreUnavailable | HistoryTruncated]


@dataclass(frozen=True, kw_only=True, slots=True)
class _ServedTable:
    mirror: TableMirror
    bound: Callable[[], RenewalBound]

    @property
    def is_overdue(self) -> bool:
        return self.bound().is_overdue(self.mirror.age_seconds)


class SharedRows(RowSource):
    """Follows tables at a reader, or at the store if no reader is available.

    Parameters
    ----------
    store : RowSource
        The store itself.
    nodes : Nodes
        The live nodes, among which the readers are ranked.
    client : HttpClient
        Sends requests to other nodes.
    keys : PeerKeys
        Sign requests, and verify those of other nodes.
    metrics : Metrics
        Counts requests with a wrong signature.
    """

    def __init__(
        self,
        *,
        store: RowSource,
        nodes: Nodes,
        client: HttpClient,
        keys: PeerKeys,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._client = client
        self._keys = keys
        self._metrics = metrics
        self._encoder = RowsEncoder()
        self._tables: dict[str, _ServedTable] = {}
        # By table: nodes between the store and this node for the newest rows.
        self._n_hops: dict[str, int] = {}
        self.sources = RowSources(nodes=nodes)

    def serve(
        self, table: str, mirror: TableMirror, bound: Callable[[], RenewalBound]
    ) -> None:
        """Serve a table, whose age has a bound, to the nodes that follow this one."""
        self._tables[table] = _ServedTable(mirror=mirror, bound=bound)

    def add_routes(self, router: Router) -> None:
        """Add the route at which other nodes follow tables."""
        router.add("POST", ROWS_PATH, self._on_request)

    # The row source.

    async def read(
        self, table: str, deadline: float, *, at_least: int = 0
    ) -> Result[Changes, StoreUnavailable]:
        """Read a whole table as of one moment, at a source that has a version."""
        found = await self._try_sources(
            table,
            lambda name, address, wait, until: self._request_whole(
                name, address, table, at_least, until
            ),
            lambda _, until: self._store.read(table, until),
            wait_seconds=0.0,
            deadline=deadline,
        )
        if isinstance(found, Err):
            exc = found.err_value
            if isinstance(exc, HistoryTruncated):
                return Err(StoreUnavailable(reason="a reader has no rows yet"))
            return Err(exc)
        return found

    async def follow(
        self, table: str, after: int, wait_seconds: float, deadline: float
    ) -> Result[Changes, StoreUnavailable | HistoryTruncated]:
        """Return the changes after a version, waiting for one if there is none."""
        return await self._try_sources(
            table,
            lambda name, address, wait, until: self._request(
                name, address, table, after, wait, until
            ),
            lambda wait, until: self._store.follow(table, after, wait, until),
            wait_seconds=wait_seconds,
            deadline=deadline,
        )

    async def put(
        self, table: str, key: str, value: bytes, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        """Write one row to the store."""
        return await self._store.put(table, key, value, deadline)

    async def drop(
        self, table: str, key: str, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        """Remove one row from the store."""
        return await self._store.drop(table, key, deadline)

    async def _try_sources(
        self,
        table: str,
        call_node: Callable[[str, Address, float, float], Awaitable[Answer]],
        call_store: Callable[[float, float], Awaitable[Answer]],
        *,
        wait_seconds: float,
        deadline: float,
    ) -> Answer:
        """Try the best source that has not failed recently, then the next ones.

        Each gets its own share of the time. Otherwise a silent reader would use up all
        of it, and the store, called in the last tenths of a second, would seem to fail
        too and be avoided by nodes that it could serve. After a good source has failed,
        the next ones answer without waiting, as this node's rows may soon be too old.
        """
        loop = asyncio.get_running_loop()
        self.sources.on_first_request()
        answered: Answer = Err(StoreUnavailable(reason="no source"))
        tried: set[str] = set()
        while (
            len(tried) < MAX_SOURCES_TRIED and deadline - loop.time() > MIN_TRY_SECONDS
        ):
            is_overdue = self._tables[table].is_overdue
            name = self.sources.choose(tried, is_overdue=is_overdue)
            if name is None:
                break
            tried.add(name)
            was_available = not self.sources.is_avoided(name)
            address = self.sources.address(name)
            if address is None:
                # After a recent failure the call only checks whether the store is back.
                wait = wait_seconds if was_available else 0.0
                until = min(deadline, loop.time() + wait + STORE_ANSWER_SECONDS)
                answered = await call_store(wait, until)
            else:
                until = loop.time() + wait_seconds + self._answer_seconds(table)
                until = min(deadline, until)
                answered = await call_node(name, address, wait_seconds, until)
            if isinstance(answered, Ok) or isinstance(
                answered.err_value, HistoryTruncated
            ):
                if name == STORE:
                    self._n_hops[table] = 0
                self.sources.on_answered(name)
                return answered
            self.sources.on_failed(name, answered.err_value)
            if was_available:
                wait_seconds = 0.0
        return answered

    # Requests between nodes.

    async def _request(
        self,
        name: str,
        address: Address,
        table: str,
        after: int | None,
        wait_seconds: float,
        deadline: float,
    ) -> Result[Changes, StoreUnavailable | HistoryTruncated]:
        request = RowsRequest(table=table, after=after, wait_seconds=wait_seconds)
        body = msgspec.json.encode(request)
        answered = await self._client.request(
            address,
            "POST",
            ROWS_PATH,
            body=body,
            headers={**ACCEPT_HEADERS, **self._keys.headers("POST", ROWS_PATH, body)},
            deadline=deadline,
            progress=Progress(
                seconds=self._answer_seconds(table),
                deadline=asyncio.get_running_loop().time() + MAX_TRANSFER_SECONDS,
            ),
        )
        if isinstance(answered, Err):
            return Err(StoreUnavailable(reason=answered.err_value.reason))
        res = answered.ok_value
        if res.status != 200:
            return Err(StoreUnavailable(reason=f"status {res.status}"))
        decoded = decode_rows(res.body)
        if isinstance(decoded, Err):
            return Err(StoreUnavailable(reason=f"can't be read: {decoded.err_value}"))
        answer, rows = decoded.ok_value
        if answer.is_history_gone:
            return Err(HistoryTruncated())
        if answer.age_seconds > self._tables[table].bound().useful_seconds:
            return Err(ReaderBehind(reason="the reader is behind"))
        if answer.n_hops > self.sources.max_hops:
            self.sources.avoid(name)
        self._record_hops(table, answer)
        return Ok(
            Changes(
                rows=rows,
                version=answer.version,
                age_seconds=answer.age_seconds,
                waited_seconds=answer.waited_seconds,
                source=name,
            )
        )

    def _record_hops(self, table: str, answer: RowsAnswer) -> None:
        """Record over how many nodes the rows came, if they are newer than this node's.

        A reader may get rows back from a follower that it sent them to. The reader is
        still as close to the store as before, and the others must not avoid it.
        """
        age = self._tables[table].mirror.age_seconds
        if age is None or answer.age_seconds < age:
            self._n_hops[table] = answer.n_hops + 1

    async def _request_whole(
        self, name: str, address: Address, table: str, at_least: int, deadline: float
    ) -> Answer:
        answered = await self._request(name, address, table, None, 0.0, deadline)
        if isinstance(answered, Ok) and answered.ok_value.version < at_least:
            return Err(ReaderBehind(reason="the reader has an older version"))
        return answered

    async def _on_request(self, req: Request, res: Responder, _: Params) -> None:
        if not self._keys.accepts(req):
            await refuse_signature(res, self._metrics)
            return
        decoded = decode_json(req.body, RowsRequest)
        if isinstance(decoded, Err):
            problem = decoded.err_value
            await send_error(res, 400, "bad_question", place="body", message=problem)
            return
        request = decoded.ok_value
        table = self._tables.get(request.table)
        found: Changes | HistoryTruncated | None = None
        if table is not None and request.after is None:
            found = table.mirror.snapshot()
        elif table is not None and request.after is not None:
            found = await table.mirror.follow(
                request.after,
                request.wait_seconds,
                useful_seconds=table.bound().useful_seconds,
            )
        if found is None:
            await send_error(
                res, 503, "nothing_known", place="table", message="not read yet"
            )
            return
        if isinstance(found, HistoryTruncated):
            answer = history_gone()
        else:
            n_hops = self._n_hops.get(request.table, 0)
            answer = self._encoder.answer(found, n_hops=n_hops, req=req)
        await res.send_json(200, answer)

    def _answer_seconds(self, table: str) -> float:
        """Return how long another node may take to answer after its wait."""
        return self._tables[table].bound().answer_seconds(READER_ANSWER_SECONDS)
