"""Tasks that run as long as their process."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from eliot import log_message

from .metrics import Metrics

# Pause before a task is started again, in seconds; each failure doubles it.
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 5.0
# A task that ran for so long begins with the shortest pause again, in seconds.
SOUND_SECONDS = 30.0


class Supervisor:
    """Starts tasks, and starts them again when they end.

    Such a task follows a table or checks on peers. If it ended unnoticed, its process
    would go on with ever older knowledge.

    Parameters
    ----------
    metrics : Metrics
        Counts the ends of tasks.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self._tasks: list[asyncio.Task[None]] = []
        self._paused: set[str] = set()

    @property
    def paused(self) -> list[str]:
        """Return the names of the tasks that have ended and aren't running again."""
        return sorted(self._paused)

    def start(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run a function that returns an endless coroutine, again after each end."""
        task = asyncio.get_running_loop().create_task(self._run(name, work))
        self._tasks.append(task)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def close(self) -> None:
        """Cancel all tasks, and wait until they have ended."""
        self.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _run(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        loop = asyncio.get_running_loop()
        pause_seconds = MIN_PAUSE_SECONDS
        while True:
            began_at = loop.time()
            problem = await self._run_once(work)
            if loop.time() - began_at >= SOUND_SECONDS:
                pause_seconds = MIN_PAUSE_SECONDS
            self._metrics.count("ended_tasks", task=name)
            log_message("task:ended", task=name, problem=problem, pause=pause_seconds)
            self._paused.add(name)
            await asyncio.sleep(pause_seconds)
            self._paused.discard(name)
            pause_seconds = min(2 * pause_seconds, MAX_PAUSE_SECONDS)

    @staticmethod
    async def _run_once(work: Callable[[], Awaitable[None]]) -> str:
        """Run a task to its end, and return why it ended."""
        try:
            await work()
        except Exception:
            return traceback.format_exc()
        return "returned"
