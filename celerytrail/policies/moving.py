"""In which order the runs of an engine that leaves are moved, and when each begins.

The load that this answers: an engine is taken away two seconds after its notice while
half a dozen drafts run on it, and its link carries about as much in that time. Copies
queue on the link. Were all begun at once, the last copy of a run, for which it stands
still, would wait behind the first copies of all others.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..model import EngineFacts
from .engineloads import Run

# How much longer than within a failure domain a copy to another one takes, and how
# much longer where it is not known yet which one it will be.
FAR_FACTOR = 2.0
USUAL_FACTOR = 1.7
# How long the run whose turn it is may take to begin, in seconds: its node hears of its
# engine's leaving within 0.1 s of this one, and tells at once.
BEGIN_SECONDS = 0.2
# How much longer than reckoned its copy may take before the next one begins.
LATE_FACTOR = 1.5
# What is lost with a run, in prompt tokens: a part for any answer at all, and for each
# token of output, which takes as long to make as ten or more of a prompt to read.
BASE_TOKENS = 5_000
MADE_WEIGHT = 10
# What an engine's link can move after a notice, in seconds: it is gone 1.5 s to 2.1 s
# after it, and the first tenths pass until all know.
MOVABLE_SECONDS = 1.0
# A run with fewer tokens than this to be expected ends by itself in about a second, at
# 8 ms to 13 ms a token.
N_LAST_TOKENS = 100


def copy_seconds(run: Run, engine: EngineFacts, *, is_far: bool | None = None) -> float:
    """Return how long the copy of a run keeps its engine's link busy.

    ``is_far`` says whether it goes to another failure domain, where that is known.
    """
    if engine.link_bytes_per_second <= 0:
        return 0.0
    n_bytes = run.n_tokens * engine.token_bytes
    factor = {None: USUAL_FACTOR, True: FAR_FACTOR, False: 1.0}[is_far]
    return factor * n_bytes / engine.link_bytes_per_second


class Turns:
    """When a run may use the link of the engine that it leaves.

    Every node reckons the same order from the same list, so no message is needed: the
    runs without a copy elsewhere, those first whose loss would cost most for the time
    that they keep the link busy, last those that may well end before their engine
    does. The order rests on what all nodes hold alike; by how far each run is, two
    nodes that know their own runs better than the others' would both begin.

    A run that has gone is on another engine's list, which lets the next one begin. One
    whose node died, or whose news got lost, is passed over after a while.

    Parameters
    ----------
    run_id : str
        The run that waits.
    engine : EngineFacts
        What the engines of its service have in common.
    """

    def __init__(self, *, run_id: str, engine: EngineFacts) -> None:
        self._run_id = run_id
        self._engine = engine
        self._passed_over: set[str] = set()
        self._head: Run | None = None
        self._wait_until = 0.0

    def may_begin(self, runs: Iterable[Run], now: float) -> bool:
        """Return whether the run is next, by the list of its engine's runs."""
        waiting = [run for run in runs if self._counts(run)]
        if not waiting:
            return False
        head = min(waiting, key=_rank)
        if head.run_id == self._run_id:
            return True
        if self._is_new_head(head):
            self._head = head
            self._wait_until = now + self._patience_seconds(head)
        elif now >= self._wait_until:
            self._passed_over.add(head.run_id)
        return False

    def _counts(self, run: Run) -> bool:
        if run.run_id == self._run_id:
            return True
        # A prompt that is still read can't be moved yet.
        if run.has_copy or run.is_reading:
            return False
        return run.run_id not in self._passed_over

    def _is_new_head(self, head: Run) -> bool:
        former = self._head
        if former is None or former.run_id != head.run_id:
            return True
        return former.is_moving != head.is_moving

    def _patience_seconds(self, head: Run) -> float:
        if not head.is_moving:
            return BEGIN_SECONDS
        return BEGIN_SECONDS + LATE_FACTOR * copy_seconds(head, self._engine)


def needs_backup(run: Run, runs: Iterable[Run], engine: EngineFacts) -> bool:
    """Return whether an engine has more without copies than its link can move."""
    seconds = sum(copy_seconds(other, engine) for other in runs if not other.has_copy)
    return seconds + copy_seconds(run, engine) > MOVABLE_SECONDS


def _rank(run: Run) -> tuple[bool, float, str]:
    # One that is past its hint may go on for long.
    is_ending = 0 <= run.n_expected_tokens - run.n_made_tokens < N_LAST_TOKENS
    n_worth = BASE_TOKENS + run.n_prompt_tokens + MADE_WEIGHT * run.n_expected_tokens
    n_copied = run.n_prompt_tokens + run.n_expected_tokens
    return is_ending, -n_worth / n_copied, run.run_id
