"""Finishes a generation's grant, and cancels the generation if it may still run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..engines.streams import EngineStream, StreamLost
from ..engines.wire import Finished
from ..policies.grants import Admitter, GenerationEnd, Grant
from ..supervision import BackgroundTasks

# Reasons of a lost stream after which the generation may still run, unread.
CANCEL_REASONS = ("deadline", "too_large")


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
        self, stream: EngineStream, grant: Grant, outcome: Finished | StreamLost
    ) -> None:
        """Finish the grant of an ended stream and release its connection."""
        end: GenerationEnd = "answered"
        if isinstance(outcome, StreamLost):
            end = "lost"
            if outcome.reason in CANCEL_REASONS:
                self._tasks.spawn(stream.cancel())
                end = "cancelled"
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
