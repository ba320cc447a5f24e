"""Keeps the statements on blocked prompts in the store, for nodes that start."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable, Sequence

import msgspec
from eliot import log_message
from result import Err

from ...decoding import Count, decode_json
from ...platform import storewire
from ...policies.blockedprompts import BLOCK_SECONDS, Block, BlockedPrompts, BlockKey
from ...rowsource import Row, RowSource
from ..nodeorder import NodeOrder

ROW_KEY_BYTES = 12
# Timeout of a call to the store, and the mean pause after one that failed, in seconds.
STORE_SECONDS = 1.0
STORE_RETRY_SECONDS = 1.0


class BlockRow(msgspec.Struct, frozen=True, kw_only=True, rename="kebab"):
    """The value of a block's row in the store."""

    service: str
    parts: list[str]
    revision: Count
    is_lifted: bool = False
    is_ordered: bool = False


class BlockStore:
    """Reads the statements that the store has, and writes those that it lacks.

    Each statement is written by one node, the first in the statement's order of nodes.

    Parameters
    ----------
    node : str
        This node's name.
    node_order : NodeOrder
        Which node writes a statement.
    rows : RowSource
        The platform's tables.
    blocked : BlockedPrompts
        The statements that this node knows.
    on_block : callable
        Called with each statement that the store has.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        *,
        node: str,
        node_order: NodeOrder,
        rows: RowSource,
        blocked: BlockedPrompts,
        on_block: Callable[[Block], object],
        rng: random.Random,
    ) -> None:
        self._node = node
        self._node_order = node_order
        self._rows = rows
        self._blocked = blocked
        self._on_block = on_block
        self._rng = rng
        # The revisions of the statements that the store has.
        self._stored: dict[BlockKey, int] = {}

    async def read(self) -> None:
        """Read all statements, as soon as the store answers."""
        while True:
            found = await self._rows.read(
                storewire.PROMPT_BLOCKS_TABLE, _now() + STORE_SECONDS
            )
            if not isinstance(found, Err):
                break
            await asyncio.sleep(STORE_RETRY_SECONDS * self._rng.uniform(0.5, 1.5))
        for row in found.ok_value.rows:
            self._apply_row(row)

    def missing(self) -> list[Block]:
        """Return the statements that the store lacks and that this node writes."""
        now = _now()
        return [
            block
            for block in self._blocked.all()
            if self._stored.get(block.key, 0) < block.revision
            and now < block.ends_at
            and self._is_writer(block)
        ]

    def ended(self, now: float) -> list[Block]:
        """Return the statements that have ended, and whose rows this node drops."""
        return [
            block
            for block in self._blocked.all()
            if now >= block.ends_at
            and block.key in self._stored
            and self._is_writer(block)
        ]

    async def update(self, missing: Sequence[Block], ended: Sequence[Block]) -> None:
        """Write statements and drop others; what fails is tried again later."""
        for block in ended:
            dropped = await self._rows.drop(
                storewire.PROMPT_BLOCKS_TABLE, _row_key(block), _now() + STORE_SECONDS
            )
            if isinstance(dropped, Err):
                log_message("relay:prompt:not_dropped", reason=str(dropped.err_value))
            else:
                del self._stored[block.key]
        for block in missing:
            row = BlockRow(
                service=block.service,
                parts=sorted(block.parts),
                revision=block.revision,
                is_lifted=block.is_lifted,
                is_ordered=block.is_ordered,
            )
            put = await self._rows.put(
                storewire.PROMPT_BLOCKS_TABLE,
                _row_key(block),
                msgspec.json.encode(row),
                _now() + STORE_SECONDS,
            )
            if isinstance(put, Err):
                log_message("relay:prompt:not_stored", reason=str(put.err_value))
            else:
                self._stored[block.key] = block.revision

    def _apply_row(self, row: Row) -> None:
        if row.value is None:
            return
        decoded = decode_json(row.value, BlockRow)
        if isinstance(decoded, Err):
            problem = decoded.err_value
            log_message("relay:prompt:unreadable", row=row.key, problem=problem)
            return
        entry = decoded.ok_value
        block = Block(
            service=entry.service,
            parts=frozenset(entry.parts),
            revision=entry.revision,
            ends_at=_now() + BLOCK_SECONDS,
            is_lifted=entry.is_lifted,
            is_ordered=entry.is_ordered,
        )
        self._on_block(block)
        self._stored[block.key] = block.revision

    def _is_writer(self, block: Block) -> bool:
        key = f"prompt block {_row_key(block)}"
        return any(
            member.node == self._node for member in self._node_order.first(key, 1)
        )


def _row_key(block: Block) -> str:
    text = f"{block.service} {' '.join(sorted(block.parts))}"
    return hashlib.blake2b(text.encode(), digest_size=ROW_KEY_BYTES).hexdigest()


def _now() -> float:
    return asyncio.get_running_loop().time()
