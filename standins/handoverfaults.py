"""Troubles of an engine to which a run is handed over, or from which it is taken."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class CopyReset(enum.Enum):
    """How an engine resets the connection of a request for a copy, before its head."""

    DROPS = "drops the run"
    WORKS_ON = "works on the run"


class StopLoss(enum.Enum):
    """What becomes of a request to stop a run whose answer is lost."""

    RESET = "stops it, and resets the connection"
    SILENT = "stops it, and never answers"
    UNREAD = "resets the connection only"


@dataclass(kw_only=True)
class HandoverFaults:
    """Troubles of an engine around copies of runs.

    Parameters
    ----------
    head_seconds : float
        How long it works on a run from a copy before it sends the head, in seconds.
    is_head_first : bool
        Whether it sends the head at once, and only the events that much later.
    copy_reset : CopyReset or None
        How it resets the connections of requests for copies, if it does.
    linger_seconds : float
        How long it works on a run whose connection has closed, in seconds.
    move_seconds : float
        How long its answers to requests for copies take, in seconds.
    breaks_after : int or None
        Events of a run from the start after which it resets the connection.
    stop_seconds : float
        How long its answers to requests that stop runs take besides, in seconds.
    stopped_seconds : float
        How long it keeps the stream of a stopped run open, in seconds.
    resets_stopped : bool
        Whether it resets the stream of a stopped run; one without length and chunks is
        closed otherwise.
    stop_loss : StopLoss or None
        What becomes of the first request to stop each run, if its answer is lost.
    read_seconds : float
        How late it reads requests that stop runs, in seconds; a run whose connection
        has closed is stopped at once.
    refuses_last : bool
        Whether there is no room for the first last copy of each run.
    n_unsent_events : int
        Newest events of a run that its stream lacks, until the run ends; a stopped one
        never sends them.
    tears_stopped : bool
        Whether the stream of a stopped run ends inside an event that it lacks.
    """

    head_seconds: float = 0.0
    is_head_first: bool = False
    copy_reset: CopyReset | None = None
    linger_seconds: float = 0.0
    move_seconds: float = 0.0
    breaks_after: int | None = None
    stop_seconds: float = 0.0
    stopped_seconds: float = 0.0
    resets_stopped: bool = False
    stop_loss: StopLoss | None = None
    read_seconds: float = 0.0
    refuses_last: bool = False
    n_unsent_events: int = 0
    tears_stopped: bool = False
