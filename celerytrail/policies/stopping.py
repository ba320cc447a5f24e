"""Admission of generations at a node that is stopping."""

from __future__ import annotations

from ..model import RequestMetadata

# Time to the first token, in seconds: the usual target.
FIRST_TOKEN_SECONDS = 1.8
# Decode time per token on a slow engine with other runs, in seconds.
TOKEN_SECONDS = 0.016
# Safety margin before the process is killed, in seconds.
MARGIN_SECONDS = 0.5


def can_finish(facts: RequestMetadata, now: float, killed_at: float) -> bool:
    """Return whether a generation certainly ends before its node is killed.

    Callers continue to use open connections to a node that stops. A generation
    accepted in the last seconds would be cut off when the process is killed, and can't
    be started again. If it is refused as not run, its caller gets it whole from another
    node. The estimate uses the limit on the output, as hints are often far off.
    """
    if facts.n_max_tokens <= 0:
        return False
    seconds = FIRST_TOKEN_SECONDS + facts.n_max_tokens * TOKEN_SECONDS
    return now + seconds + MARGIN_SECONDS < killed_at
