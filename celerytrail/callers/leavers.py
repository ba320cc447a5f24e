"""What becomes of a generation whose caller has gone.

The caller may come back, here or at another node, with its ticket: it may have lost
only its connection or its node. So the generation goes on for a grace. Then this node
cancels it, but only if nobody has begun to read it since this node did: the engine
numbers its readings, and refuses a cancel that names an older one. That also holds
for a node that was frozen while its caller resumed elsewhere. Where the node itself
dies, the engine gives a generation up that nobody reads.
"""

from __future__ import annotations

import asyncio

from eliot import log_message

from ..engines.streams import EngineStream
from ..policies.grants import Admitter, Grant
from .starting import BackgroundTasks

RESUME_GRACE_SECONDS = 20.0
MAX_WAITING = 2_000


class Leavers:
    """Generations that wait for their callers to come back.

    Parameters
    ----------
    admitter : Admitter
        Told when one has ended.
    tasks : BackgroundTasks
        Where the waiting is done.
    grace_seconds : float
        How long a caller has to come back.
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
        self._n_waiting = 0

    def note(self, stream: EngineStream, grant: Grant, *, can_return: bool) -> None:
        """Take over a generation whose caller has gone.

        Parameters
        ----------
        stream : EngineStream
            The reading of it, which stops now.
        grant : Grant
            Its place.
        can_return : bool
            Whether the caller holds a ticket; otherwise it is cancelled at once.
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
        self._n_waiting += 1
        try:
            # Past the bound no grace is given, so that a storm of leaving callers
            # can't fill this node's memory.
            if can_return and self._n_waiting <= MAX_WAITING:
                await asyncio.sleep(self._grace_seconds)
            await stream.cancel(only_if_last_reader=can_return)
        finally:
            self._n_waiting -= 1
            self._admitter.finish(grant, stream.offset, "cancelled")
