"""Follows the platform's tables through a few readers on behalf of all nodes.

Each call to the store costs, and all nodes together may make a bounded number of them.
So one reader follows the tables at the store, further readers follow that one if there
are many nodes, and all other nodes follow the readers. A node that can't reach the
store gets the rows from nodes that can, and a node whose reader is silent or behind
turns to the store itself.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ..http.client import HttpClient
from ..http.messages import Request
from ..http.routes import Params, Router, send_error
from ..http.server import Responder
from ..metrics import Metrics
from ..nodes.exchange import refuse_signature
from ..nodes.nodes import Nodes
from ..nodes.rendezvous import rank
from ..nodes.signing import PeerKeys
from ..policies.renewal import RenewalBound
from ..rowsource import (
    Changes,
    HistoryTruncated,
    Row,
    RowSource,
    StoreInDoubt,
    StoreUnavailable,
)
from ..types import Address
from .tablemirror import TableMirror

# Rendezvous key by which nodes are ranked as readers.
READERS_KEY = "readers of the store"
ROWS_PATH = "/peer/v1/rows"
# Nodes that one reader serves: each sends about two requests a second, and an answer
# costs the reader about a millisecond.
NODES_PER_READER = 32
# Readers that follow the store itself; the other readers follow these, so that calls to
# the store don't grow with the number of nodes.
N_STORE_READERS = 1
# How long a failed source is avoided, in seconds.
AVOID_SECONDS = 4.0
# The same for a reader that is behind: the next node in rank becomes a reader as soon
# as it notices that.
AVOID_BEHIND_SECONDS = 0.5
# How many other nodes are tried for one request before the store.
MAX_READERS_TRIED = 2
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
# Shortest time between a failure of the store and the next call to it by a node whose
# rows are overdue, in seconds.
STORE_RETRY_SECONDS = 1.0
# For this long after its start, a node that sees no other node assumes that it has not
# found them yet, in seconds.
SETTLE_SECONDS = 1.5

# The store's name among the sources; other nodes are named by their ids.
STORE = ""


Answer = Result[Changes, StoreUnavailable | HistoryTruncated]


class ReaderBehind(StoreUnavailable):
    """A reader whose rows are too old or of too low a version."""


class _RowsRequest(msgspec.Struct, forbid_unknown_fields=True):
    table: str
    # None requests the whole table.
    after: int | None
    wait_seconds: float


class _SentRow(msgspec.Struct, array_like=True):
    key: str
    value: bytes | None
    version: int


class _RowsAnswer(msgspec.Struct):
    version: int
    age_seconds: float
    waited_seconds: float
    rows: list[_SentRow]
    is_history_gone: bool = False
    # Nodes between the store and the sender; 0 if the sender follows the store.
    n_hops: int = 0


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
        self._nodes = nodes
        self._me = nodes.me.node
        self._client = client
        self._keys = keys
        self._metrics = metrics
        self._tables: dict[str, _ServedTable] = {}
        self._store_failed_at = -math.inf
        self._avoid_until: dict[str, float] = {}
        # By table: nodes between the store and this node for the newest rows.
        self._n_hops: dict[str, int] = {}
        self._ranking: list[str] = []
        self._settled_at: float | None = None
        nodes.on_change(self._on_nodes_changed)

    def serve(
        self, table: str, mirror: TableMirror, bound: Callable[[], RenewalBound]
    ) -> None:
        """Serve a table, whose age has a bound, to the nodes that follow this one."""
        self._tables[table] = _ServedTable(mirror=mirror, bound=bound)

    def add_routes(self, router: Router) -> None:
        """Add the route at which other nodes follow tables."""
        router.add("POST", ROWS_PATH, self._on_request)

    @property
    def is_reader(self) -> bool:
        """Return whether this node is a reader."""
        return self._me in self._readers()

    @property
    def is_relayed(self) -> bool:
        """Return whether most nodes get rows over two others."""
        return len(self._readers()) > N_STORE_READERS

    @property
    def is_settled(self) -> bool:
        """Return whether this node has found a reader to follow, or is alone."""
        readers = self._readers()
        if readers and readers != [self._me]:
            return True
        settled_at = self._settled_at
        return (
            settled_at is not None and asyncio.get_running_loop().time() >= settled_at
        )

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

    # Choosing a source.

    def _on_nodes_changed(self) -> None:
        self._ranking = []

    def _ranked(self) -> list[str]:
        if not self._ranking:
            names = [member.node for member in self._nodes.live()]
            self._ranking = rank(READERS_KEY, names)
        return self._ranking

    def _readers(self) -> list[str]:
        """Return the nodes that this node considers to be the readers.

        A reader that failed is left out, and the next node in rank replaces it: that
        node notices the failure too, finds itself among the readers, and turns to the
        store. So a single node takes over the calls to the store, not all of them.
        """
        now = asyncio.get_running_loop().time()
        ranking = self._ranked()
        available = (
            name
            for name in ranking
            if not self._is_avoided(STORE if name == self._me else name, now)
        )
        return list(
            itertools.islice(available, math.ceil(len(ranking) / NODES_PER_READER))
        )

    def _is_avoided(self, name: str, now: float) -> bool:
        return self._avoid_until.get(name, 0.0) > now

    def _can_retry_store(self, now: float) -> bool:
        return now - self._store_failed_at >= STORE_RETRY_SECONDS

    def _choose_source(self, table: str, tried: set[str]) -> str | None:
        """Return the source to try next, None if there is none."""
        me = self._me
        now = asyncio.get_running_loop().time()
        if (
            STORE not in tried
            and self._tables[table].is_overdue
            and self._can_retry_store(now)
        ):
            return STORE
        is_store_available = STORE not in tried and not self._is_avoided(STORE, now)
        readers = self._readers()
        followed = readers
        if me in readers:
            followed = readers[:N_STORE_READERS]
            if me in followed and is_store_available:
                return STORE
        n_nodes_tried = len(tried - {STORE})
        others = [name for name in followed if name not in tried and name != me]
        if is_store_available and (n_nodes_tried >= MAX_READERS_TRIED or not others):
            return STORE
        if others:
            return rank(me, self._in_own_domain(others) or others)[0]
        return self._choose_among_failed(tried)

    def _in_own_domain(self, names: list[str]) -> list[str]:
        """Return the nodes of this node's failure domain; traffic to others costs."""
        domains = {member.node: member.failure_domain for member in self._nodes.live()}
        own = self._nodes.me.failure_domain
        return [name for name in names if domains.get(name) == own]

    def _choose_among_failed(self, tried: set[str]) -> str | None:
        """Return the source to try if all have failed recently, the store included."""
        me = self._me
        rest = [name for name in self._ranked() if name not in tried and name != me]
        n_nodes_tried = len(tried - {STORE})
        if STORE not in tried and (n_nodes_tried >= MAX_READERS_TRIED or not rest):
            return STORE
        # Prefers the one that failed longest ago.
        return min(
            rest, key=lambda name: self._avoid_until.get(name, 0.0), default=None
        )

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
        if self._settled_at is None:
            self._settled_at = loop.time() + SETTLE_SECONDS
        answered: Answer = Err(StoreUnavailable(reason="no source"))
        tried: set[str] = set()
        while (
            len(tried) < MAX_SOURCES_TRIED and deadline - loop.time() > MIN_TRY_SECONDS
        ):
            name = self._choose_source(table, tried)
            if name is None:
                break
            tried.add(name)
            was_available = not self._is_avoided(name, loop.time())
            address = self._address(name)
            if address is None:
                # After a recent failure the call only checks whether the store is back.
                wait = wait_seconds if was_available else 0.0
                until = min(deadline, loop.time() + wait + STORE_ANSWER_SECONDS)
                answered = await call_store(wait, until)
            else:
                answer_seconds = (
                    self._tables[table].bound().answer_seconds(READER_ANSWER_SECONDS)
                )
                until = min(deadline, loop.time() + wait_seconds + answer_seconds)
                answered = await call_node(name, address, wait_seconds, until)
            if isinstance(answered, Ok) or isinstance(
                answered.err_value, HistoryTruncated
            ):
                if address is None:
                    self._n_hops[table] = 0
                    self._avoid_until.pop(STORE, None)
                return answered
            self._on_failed(name, answered.err_value)
            if was_available:
                wait_seconds = 0.0
        return answered

    def _on_failed(self, name: str, exc: StoreUnavailable) -> None:
        now = asyncio.get_running_loop().time()
        if name == STORE:
            self._store_failed_at = now
        former = self._avoid_until.get(name, -math.inf)
        is_first = now - former > AVOID_SECONDS
        is_brief = is_first and isinstance(exc, ReaderBehind)
        self._avoid_until[name] = now + (
            AVOID_BEHIND_SECONDS if is_brief else AVOID_SECONDS
        )
        log_message(
            "relay:rows:source_failed", source=name or "store", reason=exc.reason
        )

    @property
    def _max_hops(self) -> int:
        """Return how many nodes may lie between the store and a source of this node.

        Rows that came over more nodes are new enough, but may stem from this node
        itself. Readers follow those that follow the store, and all others the readers.
        """
        readers = self._readers()
        if len(readers) <= N_STORE_READERS or self._me in readers:
            return 0
        return 1

    def _avoid(self, address: Address) -> None:
        now = asyncio.get_running_loop().time()
        for member in self._nodes.live():
            if member.peer == address:
                self._avoid_until[member.node] = now + AVOID_SECONDS

    def _address(self, name: str) -> Address | None:
        for member in self._nodes.live():
            if member.node == name:
                return member.peer
        return None

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
        request = _RowsRequest(table=table, after=after, wait_seconds=wait_seconds)
        body = msgspec.json.encode(request)
        answered = await self._client.request(
            address,
            "POST",
            ROWS_PATH,
            body=body,
            headers=self._keys.headers("POST", ROWS_PATH, body),
            deadline=deadline,
        )
        if isinstance(answered, Err):
            return Err(StoreUnavailable(reason=answered.err_value.reason))
        res = answered.ok_value
        if res.status != 200:
            return Err(StoreUnavailable(reason=f"status {res.status}"))
        try:
            answer = msgspec.json.decode(res.body, type=_RowsAnswer)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return Err(StoreUnavailable(reason=f"can't be read: {exc}"))
        if answer.is_history_gone:
            return Err(HistoryTruncated())
        if answer.age_seconds > self._tables[table].bound().useful_seconds:
            return Err(ReaderBehind(reason="the reader is behind"))
        if answer.n_hops > self._max_hops:
            self._avoid(address)
        self._record_hops(table, answer)
        rows = tuple(
            Row(key=row.key, value=row.value, version=row.version)
            for row in answer.rows
        )
        return Ok(
            Changes(
                rows=rows,
                version=answer.version,
                age_seconds=answer.age_seconds,
                waited_seconds=answer.waited_seconds,
                source=name,
            )
        )

    def _record_hops(self, table: str, answer: _RowsAnswer) -> None:
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
        try:
            request = msgspec.json.decode(req.body, type=_RowsRequest)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            await send_error(res, 400, "bad_question", place="body", message=str(exc))
            return
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
            answer = _RowsAnswer(
                version=0,
                age_seconds=0.0,
                waited_seconds=0.0,
                rows=[],
                is_history_gone=True,
            )
        else:
            answer = _make_answer(found, n_hops=self._n_hops.get(request.table, 0))
        await res.send_json(200, answer)


def _make_answer(changes: Changes, *, n_hops: int) -> _RowsAnswer:
    rows = [
        _SentRow(key=row.key, value=row.value, version=row.version)
        for row in changes.rows
    ]
    return _RowsAnswer(
        version=changes.version,
        age_seconds=changes.age_seconds,
        waited_seconds=changes.waited_seconds,
        rows=rows,
        n_hops=n_hops,
    )
