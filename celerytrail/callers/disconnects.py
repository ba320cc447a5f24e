"""Keeps a generation running for a while after its caller has disconnected.

The caller may have lost only its connection or its node, and may resume with its ticket
at this node or another one. So the generation continues for a grace period. Then this
node cancels it, unless another reader has opened it since: the engine numbers the
readers of a generation and refuses a cancel that names an older one. This also protects
the generation from a node that was frozen while the caller resumed elsewhere. If the
node itself fails, the engine cancels the generation once it has been unread for some
time.
"""

from __future__ import annotations

import asyncio

from eliot import log_message

from ..engines.streams import EngineStream
from ..policies.grants import Admitter, Grant
from ..supervision import BackgroundTasks

RESUME_GRACE_SECONDS = 20.0
N_MAX_PENDING_CANCELS = 2_000


class DisconnectHandler:
    """Cancels generations whose callers have disconnected, after a grace period.

    Parameters
    ----------
    admitter : Admitter
        Gets the end of each generation.
    tasks : BackgroundTasks
        Runs the waits and the cancels.
    grace_seconds : float
        How long a caller may take to resume, in seconds.
    """

    def __init__(
        self,
        *,
        admitter: Admitter,
        tasks: BackgroundTasks,
        grace_seconds: float = RESUME_GRACE_SECONDS,
    ) -> None:
        self._admitter = admitter
        self._tasks = tasks
        self._grace_seconds = grace_seconds
        self._n_pending_cancels = 0

    def handle(self, stream: EngineStream, grant: Grant, *, can_return: bool) -> None:
        """Stop reading a generation and schedule its cancel.

        Parameters
        ----------
        stream : EngineStream
            The generation's stream, which is abandoned now.
        grant : Grant
            The generation's grant.
        can_return : bool
            Whether the caller has a ticket with which it can resume. If not, the
            generation is cancelled without a grace period.
        """
        stream.abandon()
        log_message(
            "callers:caller_left",
            generation_id=stream.generation_id,
            n_tokens=stream.offset,
            can_return=can_return,
        )
        self._tasks.spawn(self._cancel_later(stream, grant, can_return))

    async def _cancel_later(
        self, stream: EngineStream, grant: Grant, can_return: bool
    ) -> None:
        self._n_pending_cancels += 1
        try:
            # Above the limit there is no grace period, so that many disconnects at
            # once can't exhaust this node's memory.
            if can_return and self._n_pending_cancels <= N_MAX_PENDING_CANCELS:
                await asyncio.sleep(self._grace_seconds)
            await stream.cancel(only_if_last_reader=can_return)
        finally:
            self._n_pending_cancels -= 1
            self._admitter.finish(grant, stream.offset, "cancelled")
