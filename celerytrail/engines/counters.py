"""Plain counters of token streams, flushed to the metrics at intervals.

An observation in the metrics library costs about as much as relaying a token, so the
counters avoid one for each token.
"""

from __future__ import annotations

from collections import Counter

from ..metrics import DurationCounts, Metrics


class StreamCounters:
    """Counts the events of one process's streams since the last flush."""

    def __init__(self) -> None:
        self.n_tokens = 0
        self.n_repeats = 0
        self.n_stalls = 0
        self.stall_seconds = 0.0
        self.resumes: Counter[str] = Counter()
        self.bad_replies: Counter[str] = Counter()
        self.token_intervals = DurationCounts()

    def record_tokens(self, n_tokens: int, interval_seconds: float) -> None:
        """Count tokens that arrived together and the interval before them."""
        self.n_tokens += n_tokens
        self.token_intervals.add(interval_seconds, n_tokens)

    def flush(self, metrics: Metrics) -> None:
        """Add all counts to the metrics and reset them."""
        if self.n_tokens:
            metrics.count("tokens", self.n_tokens)
        if self.n_stalls:
            metrics.count("stalls", self.n_stalls)
        if self.stall_seconds:
            metrics.count("stall_seconds", self.stall_seconds)
        for cause, n_resumes in self.resumes.items():
            metrics.count("resumes", n_resumes, cause=cause)
        for problem, n_replies in self.bad_replies.items():
            metrics.count("bad_input", n_replies, peer="engine", problem=problem)
        if self.n_repeats:
            metrics.count("bad_input", self.n_repeats, peer="engine", problem="repeat")
        if not self.token_intervals.is_empty:
            metrics.observe_many("between_tokens", self.token_intervals)
        self.__init__()  # type: ignore[misc]
