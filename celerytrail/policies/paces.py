"""How fast each engine makes tokens, learned from the progress of all nodes' runs."""

from __future__ import annotations

from dataclasses import dataclass

from .engineloads import Run

# How much one observation counts: about the last ten do.
OBSERVATION_WEIGHT = 0.15
# Two looks at a run that are closer than this tell nothing, in seconds: an event holds
# several tokens.
MIN_SECONDS = 0.2
# Taken for an engine of which nothing is known, in seconds a token.
USUAL_TOKEN_SECONDS = 0.0105
# A run that stands still counts as no slower than this, in seconds a token.
MAX_TOKEN_SECONDS = 0.05
MAX_RUNS = 5_000


@dataclass(frozen=True, kw_only=True, slots=True)
class _Look:
    endpoint: str
    n_made_tokens: int
    at: float


class Paces:
    """Seconds a token by engine.

    Engines of one service differ in speed by a third and more, and one may turn slow
    at any time; what they say of themselves doesn't tell. A long output on a slow one
    takes seconds longer, in which its memory is missing to others and its engine may
    be taken away.
    """

    def __init__(self) -> None:
        self._looks: dict[str, _Look] = {}
        self._seconds: dict[str, float] = {}

    def note(self, run: Run, now: float) -> None:
        """Note how far a run is."""
        former = self._looks.get(run.run_id)
        is_new = former is None or former.endpoint != run.endpoint
        if former is not None and not is_new:
            if now - former.at < MIN_SECONDS:
                return
            self._observe(former, run, now)
        if len(self._looks) >= MAX_RUNS:
            self._looks.clear()
        self._looks[run.run_id] = _Look(
            endpoint=run.endpoint, n_made_tokens=run.n_made_tokens, at=now
        )

    def forget(self, run_id: str) -> None:
        """Let go of a run that ended."""
        self._looks.pop(run_id, None)

    def token_seconds(self, endpoint: str) -> float:
        """Return the seconds that an engine takes for a token of one run."""
        return self._seconds.get(endpoint, USUAL_TOKEN_SECONDS)

    def _observe(self, former: _Look, run: Run, now: float) -> None:
        n_made = run.n_made_tokens - former.n_made_tokens
        if former.n_made_tokens == 0 or n_made < 0:
            return
        seconds = min(MAX_TOKEN_SECONDS, (now - former.at) / max(1, n_made))
        known = self._seconds.get(run.endpoint)
        if known is None:
            self._seconds[run.endpoint] = seconds
        else:
            change = OBSERVATION_WEIGHT * (seconds - known)
            self._seconds[run.endpoint] = known + change
