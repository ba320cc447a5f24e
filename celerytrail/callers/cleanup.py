"""Finishes a generation's grant, and cancels the generation if it may still run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..engines.streams import EngineStream, StreamLost
from ..engines.wire import Finished
from ..policies.grants import Admitter, GenerationEnd, Grant
from ..supervision import BackgroundTasks

# Reasons of a lost stream after which nobody reads the generation any more.
CANCEL_REASONS = ("deadline", "too_large")
# Reasons of a lost stream that show that the engine doesn't run the generation.
ENDED_REASONS = ("cancelled", "engine_restarted", "generation_unknown")


class GenerationCleanup:
    """Releases what a generation holds once its stream has ended.

    Parameters
    ----------
    admitter : Admitter
        Gets the end of each generation.
    tasks : BackgroundTasks
        Runs cancels and releases of connections, so that no caller waits for them.
    """

    def __init__(self, *, admitter: Admitter, tasks: BackgroundTasks) -> None:
        self._admitter = admitter
        self._tasks = tasks

    def on_end(
        self,
        stream: EngineStream,
        grant: Grant,
        outcome: Finished | StreamLost,
        *,
        can_return: bool = True,
    ) -> None:
        """Finish the grant of an ended stream and release its connection.

        Parameters
        ----------
        stream : EngineStream
            The stream.
        grant : Grant
            The generation's grant.
        outcome : Finished or StreamLost
            How the stream ended.
        can_return : bool
            Whether the caller has a ticket with which it can resume. If not, a
            generation that may still run is cancelled.
        """
        end: GenerationEnd = "answered"
        if isinstance(outcome, StreamLost):
            end = "lost"
            if outcome.reason in CANCEL_REASONS:
                self._tasks.spawn(stream.cancel())
                end = "cancelled"
            elif not can_return and outcome.reason not in ENDED_REASONS:
                self._tasks.spawn(stream.cancel())
        self._admitter.finish(grant, stream.offset, end)
        # The caller has its answer. It need not wait until the connection to the
        # engine is known to be reusable.
        self._tasks.spawn(stream.release())

    def abandon(self, stream: EngineStream, grant: Grant) -> None:
        """Stop reading a generation that may still run; finish its grant as lost."""
        stream.abandon()
        self._admitter.finish(grant, stream.offset, "lost")


def abandon_on_disconnect(
    stream: EngineStream,
) -> Callable[[asyncio.Future[None]], None]:
    """Return a callback that abandons the stream when the caller disconnects."""

    def abandon(_: asyncio.Future[None]) -> None:
        stream.abandon()

    return abandon
