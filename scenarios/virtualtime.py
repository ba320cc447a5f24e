"""Event loops on virtual time for scenarios and fuzzing."""

from __future__ import annotations

import asyncio

import looptime


def new_loop() -> asyncio.AbstractEventLoop:
    """Return a loop whose time starts at 0 and advances only while the loop is idle."""
    loop: asyncio.AbstractEventLoop = looptime.new_event_loop()
    # Nothing here waits for real input, so no loop cycle is spent on polling for it.
    loop.setup_looptime(start=0, noop_cycles=0)  # type: ignore[attr-defined]
    return loop


def close_loop(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel all pending tasks, then close the loop.

    A request that a cut link holds, for example, is still pending when a scenario
    ends. The garbage collector would end it at an arbitrary later time, in the middle
    of another test.
    """
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks))
    loop.close()
