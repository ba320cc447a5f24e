"""Pauses that endpoints ask this node for when they turn its requests away.

The load pattern: an endpoint that sheds load refuses a request and says for how long it
wants none from the node. One, several or all endpoints of a service do so, some after
each refusal anew, and callers wait for all of them to return. An endpoint that still
sheds load after its pause should learn so little as one request, not all that waited.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..model import Incarnation

# Requests of runs in progress that may be sent within one pause: a run that can't
# continue anywhere else would be lost.
N_CONTINUED = 1
# Time after which a request looks again whether the first one after a pause has been
# answered, in seconds.
PROBE_POLL_SECONDS = 0.02
# How long a pause that has ended is remembered without a request, in seconds.
RETENTION_SECONDS = 30.0
# Longest time over which the callers that came in a pause return, in seconds.
MAX_SPREAD_SECONDS = 10.0


@dataclass(kw_only=True, slots=True)
class _Pause:
    """A pause, and what was sent in it and since its end."""

    began_at: float
    ends_at: float
    n_continued: int = 0
    is_probed: bool = False


class StatedPauses:
    """Holds the pauses that endpoints asked for, by endpoint and start.

    After a pause one request at a time is sent, until an answer asks for no other one.
    """

    def __init__(self) -> None:
        self._pauses: dict[Incarnation, _Pause] = {}

    def record(self, incarnation: Incarnation, now: float, seconds: float) -> bool:
        """Record that an endpoint asks for a pause; return whether it changes one.

        A later, shorter pause doesn't end an earlier one.
        """
        known = self._pauses.get(incarnation)
        ends_at = now + seconds
        if known is None or now >= known.ends_at:
            self._pauses[incarnation] = _Pause(began_at=now, ends_at=ends_at)
            return True
        if ends_at <= known.ends_at:
            return False
        known.ends_at = ends_at
        return True

    def record_answer(self, incarnation: Incarnation, sent_at: float) -> bool:
        """Record an answer that asks for no pause; return whether one has ended by it.

        ``sent_at`` is when the request was sent.
        """
        known = self._pauses.get(incarnation)
        if known is None or sent_at < known.ends_at:
            return False
        del self._pauses[incarnation]
        return True

    def is_paused(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether an endpoint wants no request now."""
        known = self._pauses.get(incarnation)
        return known is not None and now < known.ends_at

    def seconds_until_open(self, incarnation: Incarnation, now: float) -> float:
        """Return the time until a request may be sent; 0 if it may be now."""
        known = self._pauses.get(incarnation)
        if known is None:
            return 0.0
        if now < known.ends_at:
            return known.ends_at - now
        return PROBE_POLL_SECONDS if known.is_probed else 0.0

    def return_seconds(self, incarnation: Incarnation, now: float) -> float:
        """Return after which time a caller that comes now should return.

        Callers that come in a pause return after its end in the same order, as spread
        as they came.
        """
        known = self._pauses.get(incarnation)
        seconds = self.seconds_until_open(incarnation, now)
        if known is None or now >= known.ends_at:
            return seconds
        length = known.ends_at - known.began_at
        spread = min(length, MAX_SPREAD_SECONDS)
        return seconds + spread * (now - known.began_at) / length

    def begin_probe(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether a request is the first one after a pause, and count it."""
        known = self._pauses.get(incarnation)
        if known is None or known.is_probed or now < known.ends_at:
            return False
        known.is_probed = True
        return True

    def end_probe(self, incarnation: Incarnation) -> None:
        """Record that the first request after a pause has ended or wasn't sent."""
        known = self._pauses.get(incarnation)
        if known is not None:
            known.is_probed = False

    def admits(self, incarnation: Incarnation, now: float, *, is_probe: bool) -> bool:
        """Return whether a request may be sent at this moment."""
        known = self._pauses.get(incarnation)
        return known is None or (now >= known.ends_at and is_probe)

    def take_continuation(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether a run may continue within a pause, and count it."""
        known = self._pauses.get(incarnation)
        if known is None or now >= known.ends_at:
            return False
        if known.n_continued >= N_CONTINUED:
            return False
        known.n_continued += 1
        return True

    def n_paused(self, now: float) -> int:
        """Return how many endpoints want no request now."""
        return sum(now < known.ends_at for known in self._pauses.values())

    def expire(self, now: float, is_known: Callable[[str], bool]) -> None:
        """Forget endpoints that are gone, and pauses that ended some time ago."""
        self._pauses = {
            incarnation: known
            for incarnation, known in self._pauses.items()
            if is_known(incarnation[0]) and now < known.ends_at + RETENTION_SECONDS
        }
