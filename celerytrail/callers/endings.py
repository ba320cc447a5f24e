"""Frees what a generation held, and stops it where it would go on for nobody."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..engines.streams import EngineStream, StreamLost
from ..engines.wire import Finished
from ..policies.grants import Admitter, GenerationEnd, Grant
from .starting import BackgroundTasks

# Losses after which the generation may still run though nobody wants it.
UNWANTED = ("deadline", "too_large")


class Endings:
    """Notes the ends of generations.

    Parameters
    ----------
    admitter : Admitter
        Told of each end.
    tasks : BackgroundTasks
        Where cancels run, so that no caller waits for them.
    """

    def __init__(self, *, admitter: Admitter, tasks: BackgroundTasks) -> None:
        self._admitter = admitter
        self._tasks = tasks

    def note(
        self, stream: EngineStream, grant: Grant, last: Finished | StreamLost
    ) -> None:
        """Note how a generation ended."""
        end: GenerationEnd = "answered"
        if isinstance(last, StreamLost):
            end = "lost"
            if last.reason in UNWANTED:
                self._tasks.spawn(stream.cancel())
                end = "cancelled"
        self._admitter.finish(grant, stream.offset, end)
        # The answer is whole; its caller needn't wait until the connection to the
        # engine is known to be fit for another exchange.
        self._tasks.spawn(stream.release())

    def give_up(self, stream: EngineStream, grant: Grant) -> None:
        """Note that this node can't go on with a generation that may still run."""
        stream.abandon()
        self._admitter.finish(grant, stream.offset, "lost")


def abandoner(stream: EngineStream) -> Callable[[asyncio.Future[None]], None]:
    """Return a callback that stops the reading once the caller has gone."""

    def abandon(_: asyncio.Future[None]) -> None:
        stream.abandon()

    return abandon
