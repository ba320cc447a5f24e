"""Decides when an engine whose reports can't be used is asked for the next one."""

from __future__ import annotations

from dataclasses import dataclass

from ..model import Incarnation

# Pauses after the first and at most after a later report that can't be used, in
# seconds.
MIN_PAUSE_SECONDS = 0.02
MAX_PAUSE_SECONDS = 2.0
# How long an engine that isn't asked any more is remembered, in seconds.
FORGET_SECONDS = 60.0


@dataclass(kw_only=True, slots=True)
class _Trouble:
    """Bad reports of one start of an engine."""

    pause_seconds: float
    failed_at: float
    is_asked: bool = False


class ReportPauses:
    """Spaces the requests to engines whose reports can't be used.

    Each part of a node asks for reports by itself and again at once. An engine whose
    reports are too long would so fill the node's link with bytes that nobody can use.
    After a bad one the engine is asked once at a time, after a pause that doubles with
    each further one. A good report ends this.
    """

    def __init__(self) -> None:
        self._troubles: dict[Incarnation, _Trouble] = {}

    def begin(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether an engine may be asked now; `end` follows if so."""
        trouble = self._troubles.get(incarnation)
        if trouble is None:
            return True
        if trouble.is_asked or now < trouble.failed_at + trouble.pause_seconds:
            return False
        trouble.is_asked = True
        return True

    def end(
        self,
        incarnation: Incarnation,
        *,
        asked_at: float,
        now: float,
        is_good: bool | None,
    ) -> None:
        """Record what came of a request.

        Parameters
        ----------
        incarnation : Incarnation
            The start of the engine.
        asked_at, now : float
            When it was asked, and now, in seconds of the loop's time.
        is_good : bool or None
            Whether its report can be used; None if nothing of one came.
        """
        if is_good:
            self._troubles.pop(incarnation, None)
            return
        trouble = self._troubles.get(incarnation)
        if trouble is not None and asked_at >= trouble.failed_at:
            trouble.is_asked = False
        if is_good is None:
            return
        if trouble is None:
            self._forget(now)
            self._troubles[incarnation] = _Trouble(
                pause_seconds=MIN_PAUSE_SECONDS, failed_at=now
            )
        elif asked_at >= trouble.failed_at:
            # Requests that were under way at the first failure say nothing new.
            trouble.pause_seconds = min(2 * trouble.pause_seconds, MAX_PAUSE_SECONDS)
            trouble.failed_at = now

    def _forget(self, now: float) -> None:
        for incarnation, trouble in list(self._troubles.items()):
            if now >= trouble.failed_at + FORGET_SECONDS:
                del self._troubles[incarnation]
