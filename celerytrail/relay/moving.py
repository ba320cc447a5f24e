"""In which order the runs of an engine that leaves are moved, and when each begins.

The load that this answers: an engine is taken away two seconds after its notice while
half a dozen drafts run on it, and its link carries about as much in that time. Copies
queue on the link. Were all begun at once, the last copy of a run, for which it stands
still, would wait behind the first copies of all others.
"""

from __future__ import annotations

from collections.abc import Iterable

from .engineloads import Run
from .model import EngineFacts

# How much longer than within a failure domain a copy to another one takes, and how
# much longer where it is not known yet which one it will be.
FAR_FACTOR = 2.0
USUAL_FACTOR = 1.7
# How much later than reckoned a move begins that was not told that it is its turn.
LATE_FACTOR = 1.5
# What an engine's link can move after a notice, in seconds: it is gone 1.5 s to 2.1 s
# after it, and the first tenths pass until all know.
MOVABLE_SECONDS = 1.0
# A run with no more than this to be expected ends by itself in about a second.
N_LAST_TOKENS = 60


def copy_seconds(run: Run, engine: EngineFacts, *, is_far: bool | None = None) -> float:
    """Return how long the copy of a run keeps its engine's link busy.

    ``is_far`` says whether it goes to another failure domain, where that is known.
    """
    if engine.link_bytes_per_second <= 0:
        return 0.0
    n_bytes = run.n_tokens * engine.token_bytes
    factor = {None: USUAL_FACTOR, True: FAR_FACTOR, False: 1.0}[is_far]
    return factor * n_bytes / engine.link_bytes_per_second


def is_turn(run_id: str, runs: Iterable[Run]) -> bool:
    """Return whether a run is the next to be moved off its engine.

    Every node reckons the same order from the same list, so no message is needed: runs
    without a copy elsewhere, the most advanced first, as most would be lost with them;
    last those that may well end before their engine does. A run that has gone is on
    another engine's list, which lets the next one begin.
    """
    moved = [run for run in runs if not run.has_copy or run.run_id == run_id]
    return bool(moved) and min(moved, key=_rank).run_id == run_id


def latest_seconds(run_id: str, runs: Iterable[Run], engine: EngineFacts) -> float:
    """Return after how long a run's move begins also where it was not its turn.

    The node before may have died, or its news got lost.
    """
    moved = sorted((run for run in runs if not run.has_copy), key=_rank)
    seconds = 0.0
    for run in moved:
        if run.run_id == run_id:
            break
        seconds += copy_seconds(run, engine)
    return LATE_FACTOR * seconds


def needs_backup(run: Run, runs: Iterable[Run], engine: EngineFacts) -> bool:
    """Return whether an engine has more without copies than its link can move."""
    seconds = sum(copy_seconds(other, engine) for other in runs if not other.has_copy)
    return seconds + copy_seconds(run, engine) > MOVABLE_SECONDS


def _rank(run: Run) -> tuple[bool, int, str]:
    is_ending = 0 <= run.n_expected_tokens - run.n_made_tokens < N_LAST_TOKENS
    return is_ending, -run.n_made_tokens, run.run_id
