"""Plain counters of streams, handed to the metrics in steps.

An observation in the metrics library costs about as much as relaying a token, so
nothing here calls it for a token.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter

from ..metrics import TIME_BUCKETS, Metrics


class StreamCounters:
    """What the streams of one process have done since the last flush."""

    def __init__(self) -> None:
        self.n_tokens = 0
        self.n_repeats = 0
        self.n_stalls = 0
        self.stall_seconds = 0.0
        self.resumes: Counter[str] = Counter()
        self.bad_replies: Counter[str] = Counter()
        self.n_gaps = [0] * (len(TIME_BUCKETS) + 1)
        self.gap_seconds = 0.0

    def note_tokens(self, n_tokens: int, gap: float) -> None:
        """Note tokens that came together, ``gap`` seconds after those before."""
        self.n_tokens += n_tokens
        self.gap_seconds += gap
        self.n_gaps[bisect_left(TIME_BUCKETS, gap)] += 1
        self.n_gaps[0] += n_tokens - 1

    def flush(self, metrics: Metrics) -> None:
        """Hand everything to the metrics and begin anew."""
        if self.n_tokens:
            metrics.count("tokens", self.n_tokens)
        if self.n_stalls:
            metrics.count("stalls", self.n_stalls)
        if self.stall_seconds:
            metrics.count("stall_seconds", self.stall_seconds)
        for cause, n in self.resumes.items():
            metrics.count("resumes", n, cause=cause)
        for problem, n in self.bad_replies.items():
            metrics.count("bad_input", n, peer="engine", problem=problem)
        if self.n_repeats:
            metrics.count("bad_input", self.n_repeats, peer="engine", problem="repeat")
        if any(self.n_gaps):
            metrics.observe_many("between_tokens", self.n_gaps, self.gap_seconds)
        self.__init__()  # type: ignore[misc]
