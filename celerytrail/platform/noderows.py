"""Node discovery through the store: each node writes a row at its start."""

from __future__ import annotations

import asyncio
import random

from eliot import log_message
from result import Err, Ok, Result

from ..rowsource import Changes, RowSource, StoreInDoubt, StoreUnavailable
from ..types import Address
from . import storewire
from .vms import node_address

STORE_SECONDS = 1.0
# Mean pause between tries while the store is unavailable; jitter is added.
RETRY_SECONDS = 1.0


class NodeRows:
    """Writes a node's row in the store and reads the rows of the others.

    The row of a dead node stays; the membership protocol detects that it is dead.

    Parameters
    ----------
    rows : RowSource
        The store's tables.
    caller, peer : Address
        Where the node accepts callers and other nodes; the first is its row's key.
    rng : random.Random
        Draws the jitter of the retries.
    is_first_start : bool
        Whether the row is expected not to exist yet, so that it is written first.
    """

    def __init__(
        self,
        *,
        rows: RowSource,
        caller: Address,
        peer: Address,
        rng: random.Random,
        is_first_start: bool = False,
    ) -> None:
        self._rows = rows
        self._key = str(caller)
        self._value = str(peer).encode("ascii")
        self._rng = rng
        self._is_first_start = is_first_start

    async def enter(self) -> list[Address]:
        """Write the row and read all rows, retrying until both succeed.

        A row that is still there from before a restart is not written again.
        """
        while True:
            found: Result[Changes, StoreUnavailable | StoreInDoubt]
            if self._is_first_start:
                found = await self._put_and_read()
            else:
                found = await self._read()
            if isinstance(found, Ok) and not self._is_entered(found.ok_value):
                # Read again after the write, so that of two nodes that enter
                # concurrently at least one sees the other.
                found = await self._put_and_read()
            if isinstance(found, Ok):
                return _addresses(found.ok_value)
            log_message("nodes:not_entered", row=self._key)
            await asyncio.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1.5))

    def _is_entered(self, changes: Changes) -> bool:
        return any(
            row.key == self._key and row.value == self._value for row in changes.rows
        )

    async def _put_and_read(
        self,
    ) -> Result[Changes, StoreUnavailable | StoreInDoubt]:
        put = await self._rows.put(
            storewire.NODES_TABLE, self._key, self._value, self._deadline()
        )
        if isinstance(put, Err):
            return put
        return await self._read()

    async def leave(self) -> None:
        """Remove the row; without the store it stays, which does no harm."""
        result = await self._rows.drop(
            storewire.NODES_TABLE, self._key, self._deadline()
        )
        if isinstance(result, Err):
            log_message("nodes:row_left", row=self._key, reason=str(result.err_value))

    async def _read(self) -> Result[Changes, StoreUnavailable]:
        return await self._rows.read(storewire.NODES_TABLE, self._deadline())

    @staticmethod
    def _deadline() -> float:
        return asyncio.get_running_loop().time() + STORE_SECONDS


def _addresses(changes: Changes) -> list[Address]:
    found = map(node_address, changes.rows)
    return [address for address in found if address is not None]
