"""Tasks of a process: endless ones, jobs, and background tasks of a request."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable, Coroutine

from eliot import log_message

from .metrics import Metrics

# Pause before a task is started again, in seconds; each failure doubles it.
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 5.0
# A task that ran for so long begins with the shortest pause again, in seconds.
SOUND_SECONDS = 30.0

Work = Callable[[], Awaitable[None]]


class Supervisor:
    """Starts tasks, and starts them again when they end unexpectedly.

    Such a task follows a table or checks on peers. If it ended unnoticed, its process
    would go on with ever older knowledge.

    Parameters
    ----------
    metrics : Metrics
        Counts the unexpected ends of tasks.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self._tasks: set[asyncio.Task[None]] = set()
        self._paused: dict[asyncio.Task[None], str] = {}

    @property
    def paused(self) -> list[str]:
        """Return the names of the tasks that have ended and aren't running again."""
        return sorted(set(self._paused.values()))

    def start(self, name: str, work: Work) -> asyncio.Task[None]:
        """Run an endless function, again after each end.

        Returns
        -------
        asyncio.Task
            Runs until it is cancelled.
        """
        return self._start(_Watch(name=name, work=work, may_return=False))

    def start_job(self, name: str, work: Work) -> asyncio.Task[None]:
        """Run a function until it returns, again after each error.

        Returns
        -------
        asyncio.Task
            Runs until the function has returned or it is cancelled.
        """
        return self._start(_Watch(name=name, work=work, may_return=True))

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def close(self) -> None:
        """Cancel all tasks, and wait until they have ended."""
        self.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _start(self, watch: _Watch) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(self._run(watch))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run(self, watch: _Watch) -> None:
        task = asyncio.current_task()
        assert task is not None
        while (problem := await watch.run()) is not None:
            self._metrics.count("ended_tasks", task=watch.name)
            watch.log(problem)
            self._paused[task] = watch.name
            try:
                await asyncio.sleep(watch.pause_seconds)
            finally:
                del self._paused[task]


class _Watch:
    """Runs one task, and decides how its ends are logged and when it starts again."""

    def __init__(self, *, name: str, work: Work, may_return: bool) -> None:
        self.name = name
        self._work = work
        self._may_return = may_return
        # Ends since it last ran for long.
        self._n_ends = 0

    @property
    def pause_seconds(self) -> float:
        """Return the pause before the next start."""
        doublings = min(self._n_ends - 1, 16)
        return float(min(MIN_PAUSE_SECONDS * 2**doublings, MAX_PAUSE_SECONDS))

    async def run(self) -> str | None:
        """Run the task to its end; return why it ended unless that was expected."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        problem: str | None
        try:
            await self._work()
            problem = None if self._may_return else "returned"
        except Exception:
            problem = traceback.format_exc()
        if loop.time() - began_at >= SOUND_SECONDS:
            self._n_ends = 0
        self._n_ends += 1
        return problem

    def log(self, problem: str) -> None:
        """Log the 1st, 2nd, 4th, 8th, ... of the ends in a row.

        A task that ends at once each time would otherwise fill the log.
        """
        if self._n_ends & (self._n_ends - 1) == 0:
            log_message(
                "task:ended",
                task=self.name,
                problem=problem,
                pause=self.pause_seconds,
                n_ends=self._n_ends,
            )


class BackgroundTasks:
    """Runs one-time tasks that nobody awaits, and logs the errors that end them.

    The event loop keeps no strong reference to a task; this does, until it ends.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coro: Coroutine[object, object, object]) -> asyncio.Task[None]:
        """Run a coroutine as a task, which ends without an error in any case."""
        task = asyncio.get_running_loop().create_task(_run_logged(coro))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def close(self) -> None:
        """Cancel all running tasks."""
        for task in self._tasks:
            task.cancel()

    async def aclose(self) -> None:
        """Cancel all running tasks, and wait until they have ended."""
        self.close()
        if self._tasks:
            await asyncio.wait(self._tasks)


async def _run_logged(coro: Coroutine[object, object, object]) -> None:
    try:
        await coro
    except Exception:
        name = getattr(coro, "__qualname__", repr(coro))
        log_message("task:failed", task=name, problem=traceback.format_exc())
