"""Order and timing of the migration of runs off a leaving engine.

An engine is withdrawn two seconds after its notice while half a dozen runs are on it,
and its link can barely transfer them in that time. Copies queue on the link. If all
migrations started at once, the final copy of a run, during which the run makes no
progress, would wait behind the first copies of all others.
"""

from __future__ import annotations

import abc
from collections.abc import Iterable

from ..model import EngineProfile
from .engineloads import Run

# Duration of a copy to another failure domain, relative to one within a domain, and the
# same while the target isn't known.
CROSS_DOMAIN_FACTOR = 2.0
UNKNOWN_DOMAIN_FACTOR = 1.7
# Time that the first run in the queue has to start its move, in seconds. Its node
# learns that the engine leaves within 0.1 s of this one and announces the move at once.
START_TIMEOUT_SECONDS = 0.2
# Multiple of its estimated duration after which a copy no longer delays the next.
LATE_FACTOR = 1.5
# Loss if a run is not moved, in prompt tokens: a fixed part for each run, and a weight
# for each token of output, whose decode takes as long as the prefill of ten or more
# prompt tokens.
BASE_TOKENS = 5_000
OUTPUT_WEIGHT = 10
# Time that an engine's link can be used for moves after a notice, in seconds. The
# engine stops 1.5 s to 2.1 s after it, and the first tenths pass until all nodes know.
MAX_MOVE_SECONDS = 1.0
# A run that is expected to make fewer further tokens than this ends by itself in about
# a second, at 8 ms to 13 ms per token.
N_ENDING_TOKENS = 100


# A copy that took less than this, in seconds, had nothing ahead of it on either link.
QUICK_SECONDS = 0.04
# Copies of a run while it continues, before it is stopped in any case.
MAX_COPIES = 4
# Time before an engine's shutdown from which its runs aren't copied again before they
# are stopped, in seconds.
URGENT_SECONDS = 0.6


class StopPolicy(abc.ABC):
    """Decides when a run that is being copied is stopped for its last copy.

    The caller receives nothing until the last copy is complete. That copy is small, but
    waits behind whatever else the links of both engines carry.
    """

    @abc.abstractmethod
    def should_stop(
        self, n_copies: int, copy_seconds: float, remaining_seconds: float | None
    ) -> bool:
        """Return whether to stop the run now.

        Parameters
        ----------
        n_copies : int
            Copies made while the run continued.
        copy_seconds : float
            Duration of the latest one.
        remaining_seconds : float or None
            Time until the engine shuts down, None if unknown.
        """


class StopAfterQuick(StopPolicy):
    """Copies what is new until that finds the links idle, then stops the run."""

    def should_stop(
        self, n_copies: int, copy_seconds: float, remaining_seconds: float | None
    ) -> bool:
        """Return whether to stop the run now."""
        if remaining_seconds is not None and remaining_seconds < URGENT_SECONDS:
            return True
        return copy_seconds < QUICK_SECONDS or n_copies >= MAX_COPIES


def copy_seconds(
    run: Run, engine: EngineProfile, *, is_cross_domain: bool | None = None
) -> float:
    """Return the seconds for which the copy of a run occupies its engine's link.

    ``is_cross_domain`` says whether the target is in another failure domain, None if
    unknown.
    """
    if engine.link_bytes_per_second <= 0:
        return 0.0
    n_bytes = run.n_tokens * engine.token_bytes
    factor = {None: UNKNOWN_DOMAIN_FACTOR, True: CROSS_DOMAIN_FACTOR, False: 1.0}[
        is_cross_domain
    ]
    return factor * n_bytes / engine.link_bytes_per_second


class MoveQueue:
    """Decides when a run may use the link of the engine that it leaves.

    All nodes compute the same order from the same list of runs, so they exchange no
    messages for it. The queue holds the runs without a copy elsewhere. The run whose
    loss costs most per second of link time goes first, and runs that probably end
    before their engine go last. Otherwise the order depends only on values that are the
    same at all nodes. A run's progress is not: its own node knows it earlier than the
    others, so two runs ordered by progress could both start.

    A run that was moved is listed at another engine, which lets the next one start. A
    run whose node failed, or whose update was lost, is skipped after a timeout.

    Parameters
    ----------
    run_id : str
        The run that waits.
    engine : EngineProfile
        Properties that the engines of its service share.
    """

    def __init__(self, *, run_id: str, engine: EngineProfile) -> None:
        self._run_id = run_id
        self._engine = engine
        self._skipped: set[str] = set()
        self._head: Run | None = None
        self._head_timeout_at = 0.0

    def can_start(self, runs: Iterable[Run], now: float) -> bool:
        """Return whether the run is first in the queue of its engine's runs."""
        waiting = [run for run in runs if self._is_queued(run)]
        if not waiting:
            return False
        head = min(waiting, key=_rank)
        if head.run_id == self._run_id:
            return True
        if self._is_new_head(head):
            self._head = head
            self._head_timeout_at = now + self._timeout_seconds(head)
        elif now >= self._head_timeout_at:
            self._skipped.add(head.run_id)
        return False

    def _is_queued(self, run: Run) -> bool:
        if run.run_id == self._run_id:
            return True
        # A run can't be moved during its prefill.
        if run.has_copy or run.is_prefilling:
            return False
        return run.run_id not in self._skipped

    def _is_new_head(self, head: Run) -> bool:
        previous = self._head
        if previous is None or previous.run_id != head.run_id:
            return True
        return previous.is_moving != head.is_moving

    def _timeout_seconds(self, head: Run) -> float:
        if not head.is_moving:
            return START_TIMEOUT_SECONDS
        return START_TIMEOUT_SECONDS + LATE_FACTOR * copy_seconds(head, self._engine)


def needs_backup(run: Run, runs: Iterable[Run], engine: EngineProfile) -> bool:
    """Return whether an engine's runs without copies exceed what its link can move."""
    seconds = sum(copy_seconds(other, engine) for other in runs if not other.has_copy)
    return seconds + copy_seconds(run, engine) > MAX_MOVE_SECONDS


def _rank(run: Run) -> tuple[bool, float, str]:
    # A run that has exceeded its hint may continue for long.
    is_ending = 0 <= run.n_expected_tokens - run.n_generated_tokens < N_ENDING_TOKENS
    n_lost = BASE_TOKENS + run.n_prompt_tokens + OUTPUT_WEIGHT * run.n_expected_tokens
    n_copied = run.n_prompt_tokens + run.n_expected_tokens
    return is_ending, -n_lost / n_copied, run.run_id
