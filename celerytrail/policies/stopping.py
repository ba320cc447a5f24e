"""Estimates whether work ends before the process of a stopping node is killed."""

from __future__ import annotations

import math

from ..model import RequestMetadata

# Time to the first token, in seconds: the usual target.
FIRST_TOKEN_SECONDS = 1.8
# Decode time per token on a slow engine with other runs, in seconds.
TOKEN_SECONDS = 0.016
# Safety margin before the process is killed, in seconds, and the one of calls, whose
# times are measured.
MARGIN_SECONDS = 0.5
CALL_MARGIN_SECONDS = 0.15


def generation_seconds(facts: RequestMetadata, n_made_tokens: int = 0) -> float:
    """Return how long a generation takes at most, in seconds; infinite if unknown.

    The estimate uses the limit on the output, as hints are often far off.
    ``n_made_tokens`` is how many tokens don't have to be made any more.
    """
    if facts.n_max_tokens <= 0:
        return math.inf
    n_tokens = max(0, facts.n_max_tokens - n_made_tokens)
    return FIRST_TOKEN_SECONDS + n_tokens * TOKEN_SECONDS


def can_finish(
    seconds: float, now: float, killed_at: float, margin_seconds: float
) -> bool:
    """Return whether work that begins now ends before its node is killed.

    Callers continue to use open connections to a node that stops. A request accepted in
    the last seconds would be cut off when the process is killed, and many can't be
    started again. If it is refused as not run, its caller gets it whole from another
    node.

    Parameters
    ----------
    seconds : float
        How long the work takes.
    now, killed_at : float
        The current time, and when the process is killed, in seconds.
    margin_seconds : float
        How long before the kill it has to end.
    """
    return now + seconds + margin_seconds < killed_at
