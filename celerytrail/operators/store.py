"""Loads the document and accepts new versions by compare-and-swap.

A version is reported as accepted only once that is certain.
"""

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
from ..configuration.treeloader import N_PARALLEL, InvalidObject, TreeLoader
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

MEAN_BACKOFF_SECONDS = 0.2
MAX_CACHED_TREES = 4
N_BASE_READS = 3


FetchFromNode = Callable[[str], Awaitable[bytes | None]]


class DocumentStore:
    """Loads documents and accepts new versions.

    Deadlines are monotonic, in seconds.

    Parameters
    ----------
    table : Table
        Holds the head row and one history row for each version.
    objects : ObjectStore
        Holds the content-addressed objects.
    clock : Clock
        Wall time stamps accepted versions; monotonic time bounds the retries.
    rng : random.Random
        Adds jitter to the backoff between attempts.
    fetch_from_node : callable or None
        Fetches an object that the platform has lost or damaged from a node. Nodes
        hold the objects of the version in force in memory.
    """

    def __init__(
        self,
        *,
        table: Table,
        objects: ObjectStore,
        clock: Clock,
        rng: random.Random,
        fetch_from_node: FetchFromNode | None = None,
    ) -> None:
        self._fetch_from_node = fetch_from_node
        self._table = table
        self._objects = objects
        self._clock = clock
        self._rng = rng
        self._trees: OrderedDict[str, Tree] = OrderedDict()

    async def load(
        self, deadline: float, version: int | None = None
    ) -> Result[Loaded, LoadError]:
        """Return the newest version that a read shows, or the given version."""
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
        """Return versions below ``before``, newest first.

        With None, the list starts with the newest version.
        """
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
        history = []
        for row in rows.ok_value:
            head = read_head(row.value, row.key)
            if isinstance(head, Err):
                # An unreadable row must not hide the other versions.
                log_message("configuration:bad_row", finding=str(head.err_value))
                continue
            history.append(head.ok_value)
        return Ok(tuple(reversed(history)))

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
        """Accept a document as the version after ``base_version``.

        The order of the writes makes a console crash safe at any step: first the
        objects, which aren't read before a head refers to them, then the head and
        history rows in one transaction. A retry with the same operation id is safe
        and resolves an earlier attempt that ended in doubt.
        """
        validated = validate(document)
        if isinstance(validated, Err):
            return Err(Invalid(findings=validated.err_value))
        base_read = await self._read_base(base_version, operation_id, deadline)
        if isinstance(base_read, Err):
            return Err(base_read.err_value)
        base = base_read.ok_value
        if base.accepted is not None:
            return Ok(base.accepted)
        tree = Tree.of(document)
        put_result = await self._put_objects(tree, base.head, deadline)
        if isinstance(put_result, Err):
            return Err(put_result.err_value)
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
            self._cache_tree(tree)
        return committed

    async def _read_base(
        self, base_version: int, operation_id: str, deadline: float
    ) -> Result[_BaseState, AcceptError]:
        """Read the head row and compare it with the operator's base version.

        Reads again, up to `N_BASE_READS` reads in all, while the result is stale.
        """
        next_key = history_key(base_version + 1)
        for _ in range(N_BASE_READS):
            read = await self._table.read([HEAD_KEY, next_key], deadline)
            if isinstance(read, Err):
                return Err(read.err_value)
            rows = read.ok_value
            parsed = _parse_heads(rows.values())
            if isinstance(parsed, Err):
                return Err(parsed.err_value)
            head = parsed.ok_value.get(HEAD_KEY)
            successor = parsed.ok_value.get(next_key)
            if successor is not None:
                if successor.operation_id == operation_id:
                    return Ok(_BaseState(accepted=successor))
                return Err(await self._conflict(head or successor, deadline))
            version = head.version if head is not None else 0
            if version == base_version:
                row_version = rows[HEAD_KEY].version if head is not None else 0
                return Ok(_BaseState(head=head, row_version=row_version))
            # The read is stale: it is older than the version on the operator's page,
            # or its two rows are of different ages.
            await asyncio.sleep(self._draw_backoff())
        return Err(Unavailable(reason="stale_read"))

    async def _commit(
        self, head: Head, row_version: int, deadline: float
    ) -> Result[Head, AcceptError]:
        """Write the head and history rows, retrying while the outcome is in doubt."""
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
            outcome = await self._table.transact(transaction, deadline)
            match outcome:
                case Ok(Committed()):
                    return Ok(head)
                case Err(tables.Conflict() as conflict):
                    return await self._resolve_conflict(head, conflict.rows, deadline)
                case Err(Unavailable() as failure) if not is_in_doubt:
                    return Err(failure)
                case Err((Unavailable() | InDoubt()) as failure):
                    # Reading back the old head would prove nothing, as the first
                    # write may still arrive. Repeating the write resolves the doubt,
                    # since only one of the two can match the base version.
                    is_in_doubt = True
                    detail = failure.reason
            backoff_seconds = self._draw_backoff()
            if self._clock.monotonic() + backoff_seconds >= deadline:
                return Err(AcceptInDoubt(operation_id=head.operation_id, detail=detail))
            await asyncio.sleep(backoff_seconds)

    async def _resolve_conflict(
        self, head: Head, rows: Iterable[Row], deadline: float
    ) -> Result[Head, AcceptError]:
        """Find out by its operation id which write followed the base version."""
        key = history_key(head.version)
        heads = _parse_heads(rows)
        while isinstance(heads, Ok) and key not in heads.ok_value:
            read = await self._read_heads([HEAD_KEY, key], deadline)
            if isinstance(read, Err):
                operation_id = head.operation_id
                return Err(
                    AcceptInDoubt(operation_id=operation_id, detail=str(read.err_value))
                )
            heads = read
            if key not in read.ok_value:
                if self._clock.monotonic() >= deadline:
                    return Err(AcceptInDoubt(operation_id=head.operation_id))
                await asyncio.sleep(self._draw_backoff())
        if isinstance(heads, Err):
            return Err(heads.err_value)
        successor = heads.ok_value[key]
        if successor.operation_id == head.operation_id:
            return Ok(successor)
        return Err(
            await self._conflict(heads.ok_value.get(HEAD_KEY, successor), deadline)
        )

    async def _conflict(self, head: Head, deadline: float) -> Conflict:
        """Return the conflict with a newer version, with its document if it loads."""
        tree = await self._load_tree(head.root, deadline)
        document = tree.ok_value.document() if isinstance(tree, Ok) else None
        return Conflict(head=head, document=document)

    async def _read_heads(
        self, keys: list[str], deadline: float
    ) -> Result[dict[str, Head], LoadError]:
        read = await self._table.read(keys, deadline)
        if isinstance(read, Err):
            return Err(read.err_value)
        return _parse_heads(read.ok_value.values())

    async def _put_objects(
        self, tree: Tree, base: Head | None, deadline: float
    ) -> Result[None, LoadError]:
        """Write the objects that the base version does not contain."""
        existing: set[str] = set()
        if base is not None:
            loaded = await self._load_tree(base.root, deadline)
            if isinstance(loaded, Ok):
                existing.update(loaded.ok_value.digests())

        async def put(digest: str) -> Result[None, Unavailable]:
            data = tree.get(digest)
            assert data is not None
            return await self._objects.put(object_name(digest), data, deadline)

        missing = [digest for digest in tree.digests() if digest not in existing]
        for start in range(0, len(missing), N_PARALLEL):
            batch = missing[start : start + N_PARALLEL]
            for outcome in await asyncio.gather(*(put(digest) for digest in batch)):
                if isinstance(outcome, Err):
                    return Err(outcome.err_value)
        return Ok(None)

    async def _load_tree(
        self, root_digest: str, deadline: float
    ) -> Result[Tree, LoadError]:
        cached = self._trees.get(root_digest)
        if cached is not None:
            return Ok(cached)
        loader = TreeLoader(
            get=lambda digest: self._get_object(digest, deadline),
            cached_trees=tuple(self._trees.values()),
        )
        loaded = await loader.load(root_digest)
        if isinstance(loaded, Err):
            failure = loaded.err_value
            if isinstance(failure, InvalidObject):
                return Err(Damaged(findings=failure.findings))
            return Err(failure)
        tree = loaded.ok_value
        self._cache_tree(tree)
        return Ok(tree)

    async def _get_object(
        self, digest: str, deadline: float
    ) -> Result[bytes, LoadError]:
        """Return an object from the object store, or else from a node."""
        name = object_name(digest)
        got = await self._objects.get(name, deadline)
        data = got.ok_value if isinstance(got, Ok) else None
        if data is not None and digest_of(data) == digest:
            return Ok(data)
        from_node = (
            await self._fetch_from_node(digest) if self._fetch_from_node else None
        )
        if from_node is not None and digest_of(from_node) == digest:
            log_message("configuration:object_from_node", digest=digest)
            if isinstance(got, Ok):
                # Restore the object: once no node has the version in memory, no
                # document could be accepted any more. If the write fails, the next
                # load tries again.
                await self._objects.put(name, from_node, deadline)
            return Ok(from_node)
        if isinstance(got, Err):
            return Err(got.err_value)
        problem = "the object store does not have it"
        if data is not None:
            problem = "its content does not have that digest"
        return Err(Damaged(findings=(Finding(place=name, problem=problem),)))

    def _cache_tree(self, tree: Tree) -> None:
        self._trees[tree.root] = tree
        self._trees.move_to_end(tree.root)
        while len(self._trees) > MAX_CACHED_TREES:
            self._trees.popitem(last=False)

    def _draw_backoff(self) -> float:
        return self._rng.uniform(0.5, 1.5) * MEAN_BACKOFF_SECONDS


@dataclass(frozen=True, kw_only=True, slots=True)
class _BaseState:
    """State of the base version.

    ``accepted`` is the new version where an earlier attempt of the same operation has
    already committed it.
    """

    head: Head | None = None
    row_version: int = tables.ABSENT
    accepted: Head | None = None


def _parse_heads(rows: Iterable[Row]) -> Result[dict[str, Head], Damaged]:
    heads: dict[str, Head] = {}
    for row in rows:
        if row.version == tables.ABSENT:
            continue
        head = read_head(row.value, row.key)
        if isinstance(head, Err):
            return Err(Damaged(findings=(head.err_value,)))
        heads[row.key] = head.ok_value
    return Ok(heads)
