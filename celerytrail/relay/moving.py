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

# How much longer than within a failure domain a copy takes: a few go to another one,
# which takes twice as long.
DOMAIN_FACTOR = 1.3
# A run with no more than this to be expected ends by itself in about a second.
N_LAST_TOKENS = 60


def copy_seconds(run: Run, engine: EngineFacts) -> float:
    """Return how long the copy of a run keeps its engine's link busy."""
    if engine.link_bytes_per_second <= 0:
        return 0.0
    n_bytes = run.n_tokens * engine.token_bytes
    return DOMAIN_FACTOR * n_bytes / engine.link_bytes_per_second


def start_seconds(run_id: str, runs: Iterable[Run], engine: EngineFacts) -> float:
    """Return after how long a run's move begins.

    Every node reckons the same order from the same list, so no message is needed: runs
    without a copy elsewhere, the most advanced first, as most would be lost with them;
    last those that may well end before their engine does.
    """
    moved = [run for run in runs if not run.backup]
    moved.sort(key=_rank)
    seconds = 0.0
    for run in moved:
        if run.run_id == run_id:
            return seconds
        seconds += copy_seconds(run, engine)
    return 0.0


def _rank(run: Run) -> tuple[bool, int, str]:
    is_ending = 0 <= run.n_expected_tokens - run.n_made_tokens < N_LAST_TOKENS
    return is_ending, -run.n_made_tokens, run.run_id
