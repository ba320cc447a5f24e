"""Records how claims ended, now if the table allows, else for as long as it takes."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from eliot import log_message

from ..clock import Clock
from ..platform.backoff import full_jitter
from .claims import Claim
from .claimstore import ClaimStore

RECORD_SECONDS = 0.1
TRY_SECONDS = 2.0
N_TOGETHER = 64
MAX_PENDING = 10_000


@dataclass(frozen=True, kw_only=True, slots=True)
class _Pending:
    final: Claim
    version: int


class ClaimRecorder:
    """Writes the final rows of claims.

    The caller is given its answer whether or not the row could be written: the answer
    is true, and holding it back would help nobody. What could not be written is tried
    again in the background, some rows at a time, with growing pauses. The queue is
    bounded; a row that finds no place in it stays ``claimed`` and is told as unknown,
    which is never wrong.

    Parameters
    ----------
    store : ClaimStore
        Where the rows are.
    clock : Clock
        Its monotonic time must be the loop's.
    rng : random.Random
        Draws the pauses.
    max_pending : int
        Rows that may wait to be written.
    """

    def __init__(
        self,
        *,
        store: ClaimStore,
        clock: Clock,
        rng: random.Random,
        max_pending: int = MAX_PENDING,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._max_pending = max_pending
        self._pending: dict[str, _Pending] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def n_pending(self) -> int:
        """Return how many rows wait to be written."""
        return len(self._pending)

    def known(self, key: str) -> Claim | None:
        """Return what this process knows of a claim and the table perhaps does not."""
        pending = self._pending.get(key)
        return None if pending is None else pending.final

    async def record(self, key: str, final: Claim, version: int) -> None:
        """Write a final row now if that goes quickly, else in the background."""
        self._pending[key] = _Pending(final=final, version=version)
        deadline = self._clock.monotonic() + RECORD_SECONDS
        if await self._store.finish(key, final, version, deadline):
            self._pending.pop(key, None)
            return
        self.add(key, final, version)

    def add(self, key: str, final: Claim, version: int) -> None:
        """Write a final row in the background."""
        self._pending.pop(key, None)
        if len(self._pending) >= self._max_pending:
            log_message("claims:record_dropped", key=key, final=final.state)
            return
        self._pending[key] = _Pending(final=final, version=version)
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def drain(self, deadline: float) -> None:
        """Wait until all is written, at the latest until ``deadline`` (loop time)."""
        if self._task is None or self._task.done():
            return
        await asyncio.wait([self._task], timeout=deadline - self._clock.monotonic())
        if self._pending:
            log_message("claims:records_left", n_pending=len(self._pending))

    def close(self) -> None:
        """Stop at once."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        n_failures = 0
        while self._pending:
            some = list(self._pending.items())[:N_TOGETHER]
            deadline = self._clock.monotonic() + TRY_SECONDS
            settled = await asyncio.gather(
                *(
                    self._store.finish(key, row.final, row.version, deadline)
                    for key, row in some
                )
            )
            for (key, row), is_settled in zip(some, settled, strict=True):
                if is_settled and self._pending.get(key) is row:
                    del self._pending[key]
            if all(settled):
                n_failures = 0
                continue
            n_failures += 1
            await asyncio.sleep(full_jitter(self._rng, n_failures))
