"""How long callers of a route wait over all of their attempts.

The load pattern: each attempt states what is left of its caller's time, so the longest
of many statements is about the whole of it.
"""

from __future__ import annotations

from dataclasses import dataclass

# How long a statement counts at least, in seconds; at most twice as long.
PERIOD_SECONDS = 1_800.0
# A longer one counts as this, in seconds.
MAX_WAIT_SECONDS = 3_600.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Longest:
    """The longest waits of the present period and of the one before it."""

    ends_at: float
    present: float = 0.0
    former: float = 0.0


class CallerWaits:
    """Records the longest wait that callers of each route have stated."""

    def __init__(self) -> None:
        self._longest: dict[str, _Longest] = {}

    def record(self, route: str, seconds: float, now: float) -> None:
        """Record what is left of a caller's time at its attempt's arrival."""
        known = self._at(route, now)
        longest = max(known.present, min(seconds, MAX_WAIT_SECONDS))
        self._longest[route] = _Longest(
            ends_at=known.ends_at, present=longest, former=known.former
        )

    def longest(self, route: str, now: float) -> float:
        """Return the longest wait of a route's callers in seconds, 0 if unknown."""
        known = self._at(route, now)
        return max(known.present, known.former)

    def _at(self, route: str, now: float) -> _Longest:
        known = self._longest.get(route)
        if known is None or now >= known.ends_at + PERIOD_SECONDS:
            return _Longest(ends_at=now + PERIOD_SECONDS)
        if now >= known.ends_at:
            return _Longest(ends_at=now + PERIOD_SECONDS, former=known.present)
        return known
