"""Decode time per token of each engine, estimated from the progress of all runs."""

from __future__ import annotations

from dataclasses import dataclass

from .engineloads import Run

# Weight of one observation in the moving average, which covers about the last ten.
OBSERVATION_WEIGHT = 0.15
# Samples of a run that are closer than this, in seconds, are ignored: one event holds
# several tokens.
MIN_SAMPLE_SECONDS = 0.2
# Assumed for an engine without an observation, in seconds per token.
DEFAULT_TOKEN_SECONDS = 0.0105
# Upper bound of an observation, in seconds per token, for runs without progress.
MAX_TOKEN_SECONDS = 0.05
MAX_RUNS = 5_000


@dataclass(frozen=True, kw_only=True, slots=True)
class _Sample:
    endpoint: str
    n_generated_tokens: int
    at: float


class DecodeTimes:
    """Estimates the seconds per token of one run, by engine.

    Engines of one service differ in speed by a third or more, and one may become slow
    at any time; their own reports don't show it. A long output on a slow engine takes
    seconds longer, in which it occupies memory that others need and the engine may be
    withdrawn.
    """

    def __init__(self) -> None:
        self._samples: dict[str, _Sample] = {}
        self._seconds: dict[str, float] = {}

    def record_progress(self, run: Run, now: float) -> None:
        """Record the progress of a run."""
        previous = self._samples.get(run.run_id)
        is_new = previous is None or previous.endpoint != run.endpoint
        if previous is not None and not is_new:
            if now - previous.at < MIN_SAMPLE_SECONDS:
                return
            self._observe(previous, run, now)
        if len(self._samples) >= MAX_RUNS:
            self._samples.clear()
        self._samples[run.run_id] = _Sample(
            endpoint=run.endpoint, n_generated_tokens=run.n_generated_tokens, at=now
        )

    def forget(self, run_id: str) -> None:
        """Discard the sample of a run that ended."""
        self._samples.pop(run_id, None)

    def token_seconds(self, endpoint: str) -> float:
        """Return the seconds that an engine takes per token of one run."""
        return self._seconds.get(endpoint, DEFAULT_TOKEN_SECONDS)

    def _observe(self, previous: _Sample, run: Run, now: float) -> None:
        n_made = run.n_generated_tokens - previous.n_generated_tokens
        if previous.n_generated_tokens == 0 or n_made < 0:
            return
        seconds = min(MAX_TOKEN_SECONDS, (now - previous.at) / max(1, n_made))
        estimate = self._seconds.get(run.endpoint)
        if estimate is None:
            self._seconds[run.endpoint] = seconds
        else:
            change = OBSERVATION_WEIGHT * (seconds - estimate)
            self._seconds[run.endpoint] = estimate + change
