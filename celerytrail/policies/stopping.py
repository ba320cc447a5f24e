"""Whether a node that is stopping can still bring a generation to its end."""

from __future__ import annotations

from ..model import CallerFacts

# What a generation takes before its first token, in seconds: the usual target.
FIRST_TOKEN_SECONDS = 1.8
# What a token takes on a slow engine beside others, in seconds.
TOKEN_SECONDS = 0.016
# What is kept back of the time until the process is killed, in seconds.
MARGIN_SECONDS = 0.5


def can_finish(facts: CallerFacts, now: float, killed_at: float) -> bool:
    """Return whether a generation surely ends before its node is killed.

    Callers go on using open connections to a node that stops. A draft taken in the
    last seconds was cut in the middle when the process was killed, and can't be begun
    again; refused as not run, its caller gets it whole from another node. How long an
    output is bounded to counts, as hints are often far off.
    """
    if facts.n_max_tokens <= 0:
        return False
    seconds = FIRST_TOKEN_SECONDS + facts.n_max_tokens * TOKEN_SECONDS
    return now + seconds + MARGIN_SECONDS < killed_at
