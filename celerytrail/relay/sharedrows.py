"""Lets a few nodes follow the platform's tables for all.

Each call to the store costs, and all nodes together may make a bounded number of them.
So a few readers follow the tables there, and the others follow the readers. A node
that can't reach the store hears from those that can, and a node whose reader falls
silent or behind asks the store itself.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable

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
from ..rowsource import (
    Changes,
    HistoryGone,
    Row,
    RowSource,
    StoreInDoubt,
    StoreUnavailable,
)
from ..types import Address
from .mirror import TableMirror

ROWS_PATH = "/peer/v1/rows"
# Nodes that one reader serves: each asks about twice a second, and an answer costs the
# reader about a millisecond.
NODES_PER_READER = 32
# A reader whose knowledge is older than this is passed over, in seconds: its own
# question to the store waits 0.35 s, and the bound on configuration is two.
MAX_AGE_SECONDS = 1.2
# How long a source that failed is passed over, in seconds.
AVOID_SECONDS = 4.0
# How many readers are tried besides the store.
MAX_READERS = 3
# How many sources one question goes to, within its deadline.
MAX_TRIES = 3


Answer = Result[Changes, StoreUnavailable | HistoryGone]


class _Question(msgspec.Struct, forbid_unknown_fields=True):
    table: str
    # None asks for the whole table.
    after: int | None
    wait_seconds: float


class _RowOnWire(msgspec.Struct, array_like=True):
    key: str
    value: bytes | None
    version: int


class _Answer(msgspec.Struct):
    version: int
    age_seconds: float
    rows: list[_RowOnWire]
    is_history_gone: bool = False


class SharedRows(RowSource):
    """Follows tables at a reader, or at the store where there is no good reader.

    Parameters
    ----------
    store : RowSource
        The store itself.
    nodes : Nodes
        The live nodes, among which the readers are ranked.
    client : HttpClient
        Asks other nodes.
    keys : PeerKeys
        Sign questions.
    metrics : Metrics
        Counts bad questions.
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
        self._client = client
        self._keys = keys
        self._metrics = metrics
        self._mirrors: dict[str, TableMirror] = {}
        self._avoid_until: dict[str, float] = {}
        self._order: list[str] = []
        nodes.on_change(self._forget_order)

    def serve(self, table: str, mirror: TableMirror) -> None:
        """Let other nodes follow a table here."""
        self._mirrors[table] = mirror

    def add_routes(self, router: Router) -> None:
        """Add the route by which other nodes follow tables."""
        router.add("POST", ROWS_PATH, self._answer)

    @property
    def is_reader(self) -> bool:
        """Return whether this node follows the store for others."""
        return self._nodes.me.node in self._readers()

    # As a source.

    async def read(
        self, table: str, deadline: float
    ) -> Result[Changes, StoreUnavailable]:
        """Read a whole table as of one moment."""
        found = await self._ask_each(
            lambda address: self._ask(address, table, None, 0.0, deadline),
            lambda: self._store.read(table, deadline),
        )
        if isinstance(found, Err):
            exc = found.err_value
            if isinstance(exc, HistoryGone):
                return Err(StoreUnavailable(reason="a reader knows nothing yet"))
            return Err(exc)
        return found

    async def follow(
        self, table: str, after: int, wait_seconds: float, deadline: float
    ) -> Result[Changes, StoreUnavailable | HistoryGone]:
        """Return what changed after a version, waiting a while for something."""
        return await self._ask_each(
            lambda address: self._ask(address, table, after, wait_seconds, deadline),
            lambda: self._store.follow(table, after, wait_seconds, deadline),
        )

    async def put(
        self, table: str, key: str, value: bytes, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        """Write one row at the store."""
        return await self._store.put(table, key, value, deadline)

    async def drop(
        self, table: str, key: str, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        """Remove one row at the store."""
        return await self._store.drop(table, key, deadline)

    # Choosing.

    def _forget_order(self) -> None:
        self._order = []

    def _ranked(self) -> list[str]:
        if not self._order:
            names = [member.node for member in self._nodes.live()]
            self._order = rank("readers of the store", names)
        return self._order

    def _readers(self) -> list[str]:
        order = self._ranked()
        return order[: math.ceil(len(order) / NODES_PER_READER)]

    def _sources(self) -> list[str]:
        """Return where to ask, best first; an empty name is the store itself."""
        me = self._nodes.me.node
        readers = self._readers()
        if me in readers:
            return ["", *[name for name in self._ranked() if name != me][:MAX_READERS]]
        mine = rank(me, readers)
        rest = [name for name in self._ranked() if name not in mine and name != me]
        return [*mine[:1], "", *mine[1:], *rest][: MAX_READERS + 1]

    async def _ask_each(
        self,
        ask: Callable[[Address], Awaitable[Answer]],
        ask_store: Callable[[], Awaitable[Answer]],
    ) -> Result[Changes, StoreUnavailable | HistoryGone]:
        """Ask the best source that has not failed of late, then the next ones."""
        now = asyncio.get_running_loop().time()
        sources = self._sources()
        good = [name for name in sources if self._avoid_until.get(name, 0.0) <= now]
        answered: Result[Changes, StoreUnavailable | HistoryGone]
        answered = Err(StoreUnavailable(reason="no source"))
        for name in (good or sources or [""])[:MAX_TRIES]:
            address = self._address(name)
            if address is None:
                answered = await ask_store()
            else:
                answered = await ask(address)
            if isinstance(answered, Ok) or isinstance(answered.err_value, HistoryGone):
                return answered
            self._note_failed(name, answered.err_value.reason)
        return answered

    def _note_failed(self, name: str, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        self._avoid_until[name] = now + AVOID_SECONDS
        log_message("relay:rows:source_failed", source=name or "store", reason=reason)

    def _address(self, name: str) -> Address | None:
        for member in self._nodes.live():
            if member.node == name:
                return member.peer
        return None

    # Between nodes.

    async def _ask(
        self,
        address: Address,
        table: str,
        after: int | None,
        wait_seconds: float,
        deadline: float,
    ) -> Result[Changes, StoreUnavailable | HistoryGone]:
        question = _Question(table=table, after=after, wait_seconds=wait_seconds)
        body = msgspec.json.encode(question)
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
            answer = msgspec.json.decode(res.body, type=_Answer)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return Err(StoreUnavailable(reason=f"can't be read: {exc}"))
        if answer.is_history_gone:
            return Err(HistoryGone())
        if answer.age_seconds > MAX_AGE_SECONDS:
            return Err(StoreUnavailable(reason="the reader is behind"))
        rows = tuple(
            Row(key=row.key, value=row.value, version=row.version)
            for row in answer.rows
        )
        return Ok(
            Changes(rows=rows, version=answer.version, age_seconds=answer.age_seconds)
        )

    async def _answer(self, req: Request, res: Responder, _: Params) -> None:
        if not self._keys.accepts(req):
            await refuse_signature(res, self._metrics)
            return
        try:
            question = msgspec.json.decode(req.body, type=_Question)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            await send_error(res, 400, "bad_question", place="body", message=str(exc))
            return
        mirror = self._mirrors.get(question.table)
        found: Changes | HistoryGone | None = None
        if mirror is not None and question.after is None:
            found = mirror.whole()
        elif mirror is not None and question.after is not None:
            found = await mirror.follow(question.after, question.wait_seconds)
        if found is None:
            await send_error(
                res, 503, "nothing_known", place="table", message="not read yet"
            )
            return
        if isinstance(found, HistoryGone):
            answer = _Answer(version=0, age_seconds=0, rows=[], is_history_gone=True)
        else:
            answer = _on_wire(found)
        await res.send_json(200, answer)


def _on_wire(changes: Changes) -> _Answer:
    rows = [
        _RowOnWire(key=row.key, value=row.value, version=row.version)
        for row in changes.rows
    ]
    return _Answer(version=changes.version, age_seconds=changes.age_seconds, rows=rows)
