"""Event loops on virtual time, made and ended as scenarios and fuzzing need them."""

from __future__ import annotations

import asyncio

import looptime


def new_loop() -> asyncio.AbstractEventLoop:
    """Return a loop whose time begins at 0 and passes only while it waits."""
    loop: asyncio.AbstractEventLoop = looptime.new_event_loop()
    # No real input is ever waited for here, so no cycle is spent on looking for it.
    loop.setup_looptime(start=0, noop_cycles=0)  # type: ignore[attr-defined]
    return loop


def close_loop(loop: asyncio.AbstractEventLoop) -> None:
    """End what still waits, then close the loop.

    An exchange that a cut link holds, say, is still under way when a scenario ends.
    Left to the garbage collector it would end at any later moment, in the middle of
    another test.
    """
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks))
    loop.close()
