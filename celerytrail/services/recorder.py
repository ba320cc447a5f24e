"""Records the outcome of claims, in the background while the table is unavailable."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from eliot import log_message

from ..clock import Clock
from ..metrics import Metrics
from ..platform.backoff import full_jitter
from ..supervision import Supervisor
from .claims import Claim
from .claimstore import ClaimStore

FOREGROUND_TIMEOUT_SECONDS = 0.1
BATCH_TIMEOUT_SECONDS = 2.0
BATCH_ROWS = 64
MAX_PENDING = 10_000


@dataclass(frozen=True, kw_only=True, slots=True)
class _Pending:
    final: Claim
    version: int


class ClaimRecorder:
    """Writes the final rows of claims.

    The caller receives its answer whether or not the row could be written, as the
    answer is correct either way. Rows that could not be written are retried in the
    background, in batches and with exponential backoff. The queue is bounded. A row
    that does not fit stays ``claimed`` in the table and its outcome is reported as
    unknown, which is always correct.

    Parameters
    ----------
    store : ClaimStore
        Writes the rows.
    clock : Clock
        Its monotonic time must be the event loop's.
    rng : random.Random
        Adds jitter to the backoff.
    max_pending : int
        Limit of rows that wait to be written.
    supervisor : Supervisor or None
        Runs the background writes; one of its own by default.
    """

    def __init__(
        self,
        *,
        store: ClaimStore,
        clock: Clock,
        rng: random.Random,
        max_pending: int = MAX_PENDING,
        supervisor: Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or Supervisor(
            metrics=Metrics(process="claims recorder")
        )
        self._store = store
        self._clock = clock
        self._rng = rng
        self._max_pending = max_pending
        self._pending: dict[str, _Pending] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def n_pending(self) -> int:
        """Return the number of rows that wait to be written."""
        return len(self._pending)

    def pending_claim(self, key: str) -> Claim | None:
        """Return a claim that may not have been written to the table yet."""
        pending = self._pending.get(key)
        return None if pending is None else pending.final

    async def record(self, key: str, final: Claim, version: int) -> None:
        """Write a final row, in the background if a short timeout passes."""
        self._pending[key] = _Pending(final=final, version=version)
        deadline = self._clock.monotonic() + FOREGROUND_TIMEOUT_SECONDS
        if await self._store.finish(key, final, version, deadline):
            self._pending.pop(key, None)
            return
        self.enqueue(key, final, version)

    def enqueue(self, key: str, final: Claim, version: int) -> None:
        """Write a final row in the background."""
        self._pending.pop(key, None)
        if len(self._pending) >= self._max_pending:
            log_message("claims:record_dropped", key=key, final=final.state)
            return
        self._pending[key] = _Pending(final=final, version=version)
        if self._task is None or self._task.done():
            self._task = self._supervisor.start_job("claims recorder", self._run)

    async def drain(self, deadline: float) -> None:
        """Wait until all rows are written, at most until ``deadline`` (monotonic)."""
        if self._task is None or self._task.done():
            return
        await asyncio.wait([self._task], timeout=deadline - self._clock.monotonic())
        if self._pending:
            log_message("claims:records_left", n_pending=len(self._pending))

    def close(self) -> None:
        """Stop the background writes."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        n_failures = 0
        while self._pending:
            batch = list(self._pending.items())[:BATCH_ROWS]
            deadline = self._clock.monotonic() + BATCH_TIMEOUT_SECONDS
            results = await asyncio.gather(
                *(
                    self._store.finish(key, row.final, row.version, deadline)
                    for key, row in batch
                )
            )
            for (key, row), is_settled in zip(batch, results, strict=True):
                if is_settled and self._pending.get(key) is row:
                    del self._pending[key]
            if all(results):
                n_failures = 0
                continue
            n_failures += 1
            await asyncio.sleep(full_jitter(self._rng, n_failures))
