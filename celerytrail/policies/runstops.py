"""Decides whether an engine still works on a run that has left it.

Engines that are asked for the last copy of a run stop it first, so the answer to that
request shows that the engine doesn't work on the run any more. A closed connection
doesn't: most engines drop its request, but not all. Neither does one that couldn't be
made: the engine may be out of reach only.

An engine that is so asked closes the run's stream. Where the end of an answer is the
end of its connection, only the outcomes of these orders tell a run that was stopped
from one that has ended.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

# How long an engine is asked after a run has left it, and the pauses between two
# requests, in seconds.
GIVE_UP_SECONDS = 5.0
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 1.0
# Status of an engine that doesn't know a run, and of one at which an earlier copy of it
# is under way.
UNKNOWN_RUN_STATUS = 404
BUSY_STATUS = 409


class StopState(enum.Enum):
    """What is known of a run at an engine that it has left."""

    # The engine doesn't know it, or not any more.
    DROPPED = "dropped"
    # The engine worked on it, and has stopped.
    STOPPED = "stopped"
    # It may go on.
    UNKNOWN = "unknown"


def judge_stop(*, status: int | None, has_copy: bool) -> StopState:
    """Return what a failed request for the last copy says of a run.

    Parameters
    ----------
    status : int or None
        The status of the answer; None without one.
    has_copy : bool
        Whether the engine keeps the run's memory.
    """
    if has_copy:
        return StopState.STOPPED
    return StopState.DROPPED if status == UNKNOWN_RUN_STATUS else StopState.UNKNOWN


class OrderEffect(enum.Enum):
    """What one order to stop a run has done."""

    STOPPED = "stopped"
    # It didn't reach the engine, or the engine has refused it.
    NONE = "none"
    # It may have stopped the run, or still do so.
    UNKNOWN = "unknown"


def judge_order(
    *, status: int | None, has_copy: bool, was_sent: bool = True
) -> OrderEffect:
    """Return what an order to stop a run has done.

    Parameters
    ----------
    status : int or None
        The status of the answer; None without one.
    has_copy : bool
        Whether the answer names a copy of the run's memory.
    was_sent : bool
        Whether the engine may have got the order.
    """
    if has_copy:
        return OrderEffect.STOPPED
    if not was_sent or status in (UNKNOWN_RUN_STATUS, BUSY_STATUS):
        return OrderEffect.NONE
    return OrderEffect.UNKNOWN


class StreamEnd(enum.Enum):
    """Why an engine has closed the stream of a run."""

    # The run has ended: nobody stopped it.
    ENDED = "ended"
    STOPPED = "stopped"
    # The outcome of an order isn't known yet, or will never be.
    PENDING = "pending"
    UNKNOWN = "unknown"


def judge_end(effects: Iterable[OrderEffect | None]) -> StreamEnd:
    """Return why an engine has closed a stream, by the orders to stop its run there.

    Parameters
    ----------
    effects : iterable of OrderEffect or None
        What each order has done; None for one that isn't answered yet.
    """
    found = set(effects)
    if OrderEffect.STOPPED in found:
        return StreamEnd.STOPPED
    if OrderEffect.UNKNOWN in found:
        return StreamEnd.UNKNOWN
    return StreamEnd.PENDING if None in found else StreamEnd.ENDED


def next_pause(pause_seconds: float) -> float:
    """Return the pause before the next request, in seconds, after one of a length."""
    return min(max(2 * pause_seconds, MIN_PAUSE_SECONDS), MAX_PAUSE_SECONDS)
