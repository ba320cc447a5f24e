"""Limits that endpoints state for the requests of all nodes together.

The load pattern: an endpoint in need states in its answers how many requests per second
it takes, lowers or raises that, and omits it once it has recovered. Its answers reach
different nodes and may overtake each other, and nodes tell one another what they read.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# How long the end of a limit is remembered, in seconds, so that a late announcement of
# the limit by another node doesn't restore it.
ENDED_RETENTION_SECONDS = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitStatement:
    """An endpoint's statement of its limit, from an answer or from another node.

    Parameters
    ----------
    endpoint : str
        The endpoint.
    requests_per_second : float or None
        What it takes from all nodes together; None without a limit.
    sent_at, heard_at : float
        When the request was sent that it answered, and when the answer arrived. The
        statement was made at some time in between.
    """

    endpoint: str
    requests_per_second: float | None
    sent_at: float
    heard_at: float

    @property
    def rate(self) -> float:
        """Return the limit, infinite if there is none."""
        return (
            math.inf if self.requests_per_second is None else self.requests_per_second
        )


class StatedLimits:
    """Holds the newest statement of each endpoint that has stated a limit.

    When two statements may have been made in either order, the lower limit counts.
    """

    def __init__(self) -> None:
        self._statements: dict[str, LimitStatement] = {}

    def record(self, statement: LimitStatement) -> bool:
        """Record a statement; return whether it changes the endpoint's limit."""
        known = self._statements.get(statement.endpoint)
        former = known.rate if known is not None else math.inf
        if known is None and statement.requests_per_second is None:
            return False
        if known is not None:
            made_after = (
                statement.sent_at if statement.rate > former else statement.heard_at
            )
            if made_after <= known.heard_at:
                return False
        self._statements[statement.endpoint] = statement
        return statement.rate != former

    def find(self, endpoint: str) -> LimitStatement | None:
        """Return the statement of the limit in force, None without one."""
        known = self._statements.get(endpoint)
        if known is None or known.requests_per_second is None:
            return None
        return known

    def in_force(self) -> list[LimitStatement]:
        """Return the statements of all limits in force."""
        return [
            known
            for known in self._statements.values()
            if known.requests_per_second is not None
        ]

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is gone."""
        self._statements.pop(endpoint, None)

    def expire(self, now: float) -> None:
        """Forget limits that ended some time ago."""
        self._statements = {
            endpoint: known
            for endpoint, known in self._statements.items()
            if known.requests_per_second is not None
            or now < known.heard_at + ENDED_RETENTION_SECONDS
        }
