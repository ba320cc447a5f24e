"""Plain counters of streams, handed to the metrics in steps.

An observation in the metrics library costs about as much as relaying a token, so
nothing here calls it for a token.
"""

from __future__ import annotations

from collections import Counter

from ..metrics import Metrics, TimeCounts


class StreamCounters:
    """What the streams of one process have done since the last flush."""

    def __init__(self) -> None:
        self.n_tokens = 0
        self.n_repeats = 0
        self.n_stalls = 0
        self.stall_seconds = 0.0
        self.resumes: Counter[str] = Counter()
        self.bad_replies: Counter[str] = Counter()
        self.gaps = TimeCounts()

    def note_tokens(self, n_tokens: int, gap: float) -> None:
        """Note tokens that came together, ``gap`` seconds after those before."""
        self.n_tokens += n_tokens
        self.gaps.add(gap, n_tokens)

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
        if not self.gaps.is_empty:
            metrics.observe_many("between_tokens", self.gaps)
        self.__init__()  # type: ignore[misc]
