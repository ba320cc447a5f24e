"""Keeping the document: accepted by compare-and-swap, and only said so when known."""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..configuration.document import Document
from ..configuration.records import (
    HEAD_KEY,
    HISTORY_PREFIX,
    Head,
    history_key,
    object_name,
    read_head,
)
from ..configuration.sections import Tree, digest_of
from ..configuration.treeloader import N_PARALLEL, Misfit, TreeLoader
from ..configuration.validation import validate
from ..platform import table as tables
from ..platform.client import InDoubt, Unavailable
from ..platform.objects import ObjectStore
from ..platform.table import Check, Committed, Put, Row, Table, Transaction
from ..types import Finding
from .outcomes import (
    AcceptError,
    AcceptInDoubt,
    Conflict,
    Damaged,
    Invalid,
    Loaded,
    LoadError,
)

__all__ = [
    "AcceptError",
    "AcceptInDoubt",
    "Conflict",
    "Damaged",
    "DocumentStore",
    "Invalid",
    "LoadError",
    "Loaded",
]

PAUSE_SECONDS = 0.2
N_CACHED = 4
N_STALE_READS = 3


FindSpare = Callable[[str], Awaitable[bytes | None]]


class DocumentStore:
    """Loads and accepts documents; deadlines are monotonic, in seconds.

    Parameters
    ----------
    table : Table
        Holds the head row and a row for each version.
    objects : ObjectStore
        Holds the content-addressed objects.
    clock : Clock
        Gives the time of acceptance and the time left.
    rng : random.Random
        Draws pauses between tries.
    find_spare : callable or None
        Asked for an object that the platform lost or damaged; a node that has the
        version in force can still give it.
    """

    def __init__(
        self,
        *,
        table: Table,
        objects: ObjectStore,
        clock: Clock,
        rng: random.Random,
        find_spare: FindSpare | None = None,
    ) -> None:
        self._find_spare = find_spare
        self._table = table
        self._objects = objects
        self._clock = clock
        self._rng = rng
        self._trees: OrderedDict[str, Tree] = OrderedDict()

    async def load(
        self, deadline: float, version: int | None = None
    ) -> Result[Loaded, LoadError]:
        """Return the newest version as far as a read shows, or an older one."""
        key = HEAD_KEY if version is None else history_key(version)
        read = await self._read_heads([key], deadline)
        if isinstance(read, Err):
            return Err(read.err_value)
        head = read.ok_value.get(key)
        if head is None:
            if version:
                problem = "there is no such version"
                return Err(Damaged(findings=(Finding(place=key, problem=problem),)))
            return Ok(Loaded(head=None, document=Document()))
        tree = await self._load_tree(head.root, deadline)
        return tree.map(lambda found: Loaded(head=head, document=found.document()))

    async def history(
        self, deadline: float, *, before: int | None = None, limit: int = 50
    ) -> Result[tuple[Head, ...], LoadError]:
        """Return versions, newest first, from below ``before`` (None: the newest)."""
        if before is None:
            read = await self._read_heads([HEAD_KEY], deadline)
            if isinstance(read, Err):
                return Err(read.err_value)
            newest = read.ok_value.get(HEAD_KEY)
            if newest is None:
                return Ok(())
            before = newest.version + 1
        first = max(1, before - limit)
        rows = await self._table.scan(
            HISTORY_PREFIX,
            after=history_key(first - 1),
            limit=before - first,
            deadline=deadline,
        )
        if isinstance(rows, Err):
            return Err(rows.err_value)
        heads = []
        for row in rows.ok_value:
            head = read_head(row.value, row.key)
            if isinstance(head, Err):
                # One row that can't be read must not hide the others.
                log_message("configuration:bad_row", finding=str(head.err_value))
                continue
            heads.append(head.ok_value)
        return Ok(tuple(reversed(heads)))

    async def accept(
        self,
        document: Document,
        *,
        base_version: int,
        operation_id: str,
        author: str,
        note: str,
        deadline: float,
    ) -> Result[Head, AcceptError]:
        """Make a document the next version after ``base_version``.

        The order is what makes a console safe to kill at any step: objects first,
        which nobody reads before a head names them, then head and history row in one
        transaction. Asking again with the same operation id is safe and settles what
        an earlier try left in doubt.
        """
        validated = validate(document)
        if isinstance(validated, Err):
            return Err(Invalid(findings=validated.err_value))
        based = await self._read_base(base_version, operation_id, deadline)
        if isinstance(based, Err):
            return Err(based.err_value)
        base = based.ok_value
        if base.settled is not None:
            return Ok(base.settled)
        tree = Tree.of(document)
        stored = await self._put_objects(tree, base.head, deadline)
        if isinstance(stored, Err):
            return Err(stored.err_value)
        head = Head(
            version=base_version + 1,
            root=tree.root,
            operation_id=operation_id,
            author=author,
            at=self._clock.wall(),
            note=note,
        )
        committed = await self._commit(head, base.row_version, deadline)
        if isinstance(committed, Ok):
            self._remember(tree)
        return committed

    async def _read_base(
        self, base_version: int, operation_id: str, deadline: float
    ) -> Result[_Base, AcceptError]:
        """Read the head row and compare it with the operator's base version."""
        next_key = history_key(base_version + 1)
        for _ in range(N_STALE_READS):
            read = await self._table.read([HEAD_KEY, next_key], deadline)
            if isinstance(read, Err):
                return Err(read.err_value)
            rows = read.ok_value
            heads = _heads_of(rows.values())
            if isinstance(heads, Err):
                return Err(heads.err_value)
            head = heads.ok_value.get(HEAD_KEY)
            following = heads.ok_value.get(next_key)
            if following is not None:
                if following.operation_id == operation_id:
                    return Ok(_Base(settled=following))
                return Err(await self._conflict(head or following, deadline))
            version = head.version if head is not None else 0
            if version == base_version:
                row_version = rows[HEAD_KEY].version if head is not None else 0
                return Ok(_Base(head=head, row_version=row_version))
            # The operator's page shows a version that this read does not know yet,
            # or its two rows are of different ages: the read was served stale.
            await asyncio.sleep(self._pause())
        return Err(Unavailable(reason="stale_read"))

    async def _commit(
        self, head: Head, row_version: int, deadline: float
    ) -> Result[Head, AcceptError]:
        key = history_key(head.version)
        transaction = Transaction(
            checks=(
                Check(key=HEAD_KEY, version=row_version),
                Check(key=key, version=tables.ABSENT),
            ),
            puts=(Put(key=HEAD_KEY, value=head), Put(key=key, value=head)),
        )
        is_in_doubt = False
        while True:
            made = await self._table.transact(transaction, deadline)
            match made:
                case Ok(Committed()):
                    return Ok(head)
                case Err(tables.Conflict() as conflict):
                    return await self._settle(head, conflict.rows, deadline)
                case Err(Unavailable() as failure) if not is_in_doubt:
                    return Err(failure)
                case Err((Unavailable() | InDoubt()) as failure):
                    # Reading the old head back would prove nothing, as the lost write
                    # may still be on its way. The same write again proves it either
                    # way: only one of the two can find the base version in place.
                    is_in_doubt = True
                    detail = failure.reason
            pause = self._pause()
            if self._clock.monotonic() + pause >= deadline:
                return Err(AcceptInDoubt(operation_id=head.operation_id, detail=detail))
            await asyncio.sleep(pause)

    async def _settle(
        self, head: Head, rows: Iterable[Row], deadline: float
    ) -> Result[Head, AcceptError]:
        """Tell by the operation id whose write took the place of the base version."""
        key = history_key(head.version)
        known = _heads_of(rows)
        while isinstance(known, Ok) and key not in known.ok_value:
            read = await self._read_heads([HEAD_KEY, key], deadline)
            if isinstance(read, Err):
                operation_id = head.operation_id
                return Err(
                    AcceptInDoubt(operation_id=operation_id, detail=str(read.err_value))
                )
            known = read
            if key not in read.ok_value:
                if self._clock.monotonic() >= deadline:
                    return Err(AcceptInDoubt(operation_id=head.operation_id))
                await asyncio.sleep(self._pause())
        if isinstance(known, Err):
            return Err(known.err_value)
        following = known.ok_value[key]
        if following.operation_id == head.operation_id:
            return Ok(following)
        return Err(
            await self._conflict(known.ok_value.get(HEAD_KEY, following), deadline)
        )

    async def _conflict(self, head: Head, deadline: float) -> Conflict:
        tree = await self._load_tree(head.root, deadline)
        document = tree.ok_value.document() if isinstance(tree, Ok) else None
        return Conflict(head=head, document=document)

    async def _read_heads(
        self, keys: list[str], deadline: float
    ) -> Result[dict[str, Head], LoadError]:
        read = await self._table.read(keys, deadline)
        if isinstance(read, Err):
            return Err(read.err_value)
        return _heads_of(read.ok_value.values())

    async def _put_objects(
        self, tree: Tree, base: Head | None, deadline: float
    ) -> Result[None, LoadError]:
        """Put the objects that the base version does not have already."""
        known: set[str] = set()
        if base is not None:
            loaded = await self._load_tree(base.root, deadline)
            if isinstance(loaded, Ok):
                known.update(loaded.ok_value.digests())

        async def put(digest: str) -> Result[None, Unavailable]:
            data = tree.get(digest)
            assert data is not None
            return await self._objects.put(object_name(digest), data, deadline)

        missing = [digest for digest in tree.digests() if digest not in known]
        for start in range(0, len(missing), N_PARALLEL):
            batch = missing[start : start + N_PARALLEL]
            for made in await asyncio.gather(*(put(digest) for digest in batch)):
                if isinstance(made, Err):
                    return Err(made.err_value)
        return Ok(None)

    async def _load_tree(
        self, root_digest: str, deadline: float
    ) -> Result[Tree, LoadError]:
        cached = self._trees.get(root_digest)
        if cached is not None:
            return Ok(cached)
        loader = TreeLoader(
            get=lambda digest: self._get(digest, deadline),
            held=tuple(self._trees.values()),
        )
        made = await loader.load(root_digest)
        if isinstance(made, Err):
            failure = made.err_value
            if isinstance(failure, Misfit):
                return Err(Damaged(findings=failure.findings))
            return Err(failure)
        tree = made.ok_value
        self._remember(tree)
        return Ok(tree)

    async def _get(self, digest: str, deadline: float) -> Result[bytes, LoadError]:
        name = object_name(digest)
        got = await self._objects.get(name, deadline)
        data = got.ok_value if isinstance(got, Ok) else None
        if data is not None and digest_of(data) == digest:
            return Ok(data)
        spare = await self._find_spare(digest) if self._find_spare else None
        if spare is not None and digest_of(spare) == digest:
            log_message("configuration:object_from_node", digest=digest)
            if isinstance(got, Ok):
                # Written back, or else nothing could be accepted any more once no
                # node has the version in memory. It may fail; the next load tries.
                await self._objects.put(name, spare, deadline)
            return Ok(spare)
        if isinstance(got, Err):
            return Err(got.err_value)
        problem = "the object store does not have it"
        if data is not None:
            problem = "its content does not have that digest"
        return Err(Damaged(findings=(Finding(place=name, problem=problem),)))

    def _remember(self, tree: Tree) -> None:
        self._trees[tree.root] = tree
        self._trees.move_to_end(tree.root)
        while len(self._trees) > N_CACHED:
            self._trees.popitem(last=False)

    def _pause(self) -> float:
        return self._rng.uniform(0.5, 1.5) * PAUSE_SECONDS


@dataclass(frozen=True, kw_only=True, slots=True)
class _Base:
    """What stands at the base version, or the own version that was settled before."""

    head: Head | None = None
    row_version: int = tables.ABSENT
    settled: Head | None = None


def _heads_of(rows: Iterable[Row]) -> Result[dict[str, Head], Damaged]:
    heads: dict[str, Head] = {}
    for row in rows:
        if row.version == tables.ABSENT:
            continue
        head = read_head(row.value, row.key)
        if isinstance(head, Err):
            return Err(Damaged(findings=(head.err_value,)))
        heads[row.key] = head.ok_value
    return Ok(heads)
