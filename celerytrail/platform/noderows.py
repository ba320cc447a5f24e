"""The rows by which nodes find one another: one each, written at start."""

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
# Between two tries while the store is away, in seconds, with jitter.
RETRY_SECONDS = 1.0


class NodeRows:
    """Enters a node in the store, and reads who else is there.

    The row of a dead node stays; membership asks it and finds nobody.

    Parameters
    ----------
    rows : RowSource
        The store's tables.
    caller, peer : Address
        Where the node takes callers, which names its row, and other nodes.
    rng : random.Random
        For jitter.
    is_first_start : bool
        Whether its row is not expected to stand already.
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
        """Write the row and read the others, trying until both are done.

        A row that stands from before a restart is not written again.
        """
        while True:
            found: Result[Changes, StoreUnavailable | StoreInDoubt]
            if self._is_first_start:
                found = await self._put_and_read()
            else:
                found = await self._read()
            if isinstance(found, Ok) and not self._is_entered(found.ok_value):
                # Read again: of two nodes that enter at once one must see the other.
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
        """Remove the row; where the store is away it stays, which does no harm."""
        dropped = await self._rows.drop(
            storewire.NODES_TABLE, self._key, self._deadline()
        )
        if isinstance(dropped, Err):
            log_message("nodes:row_left", row=self._key, reason=str(dropped.err_value))

    async def _read(self) -> Result[Changes, StoreUnavailable]:
        return await self._rows.read(storewire.NODES_TABLE, self._deadline())

    @staticmethod
    def _deadline() -> float:
        return asyncio.get_running_loop().time() + STORE_SECONDS


def _addresses(changes: Changes) -> list[Address]:
    found = map(node_address, changes.rows)
    return [address for address in found if address is not None]
