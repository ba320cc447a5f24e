"""How long the answers of endpoints take, by service and route."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

# Answers that are remembered for each service and route.
N_ANSWERS = 64
# Fewer answers than this don't tell how long others take.
MIN_ANSWERS = 3
# Share of the answers that are expected to take no longer than the estimate. Up to 20
# answers it is the longest one; beyond, single outliers don't count.
QUANTILE = 0.95

Key = tuple[str, str]


class AnswerTimes:
    """Estimates how long an answer takes that begins now.

    A request without an answer tells that answers have become slower, as soon as it has
    waited for longer than answers took before.
    """

    def __init__(self) -> None:
        self._seconds: dict[Key, deque[float]] = {}
        # By service and route, when the requests in progress were sent.
        self._sent_at: dict[Key, list[float]] = {}

    def begin(self, service: str, route: str, now: float) -> None:
        """Record that a request is sent."""
        self._sent_at.setdefault((service, route), []).append(now)

    def end(
        self, service: str, route: str, sent_at: float, now: float, *, is_answered: bool
    ) -> None:
        """Record that a request has ended.

        Parameters
        ----------
        service, route : str
            Its service and route.
        sent_at, now : float
            When it was sent, as given to `begin`, and the current time, in seconds.
        is_answered : bool
            Whether it has a complete answer. One that was given up tells nothing.
        """
        key = service, route
        sent = self._sent_at.get(key, [])
        if sent_at in sent:
            sent.remove(sent_at)
            if not sent:
                del self._sent_at[key]
        if is_answered:
            known = self._seconds.setdefault(key, deque(maxlen=N_ANSWERS))
            known.append(max(0.0, now - sent_at))

    def expected_seconds(
        self, service: str, route: str, now: float, *, default: float
    ) -> float:
        """Return the time that nearly all answers take, in seconds.

        Parameters
        ----------
        service, route : str
            The service and the route of the request.
        now : float
            The current time, in seconds.
        default : float
            The least estimate while hardly any answers are known, in seconds.
        """
        key = service, route
        known = list(self._seconds.get(key, ()))
        if len(known) < MIN_ANSWERS:
            known.append(default)
        expected = _quantile(known)
        late = [now - at for at in self._sent_at.get(key, ()) if now - at > expected]
        return _quantile([*known, *late]) if late else expected

    def keep(self, services: set[str]) -> None:
        """Forget all services but some."""
        self._seconds = {
            key: known for key, known in self._seconds.items() if key[0] in services
        }


def _quantile(values: Iterable[float]) -> float:
    """Return the smallest value that at least ``QUANTILE`` of the values don't pass."""
    ordered = sorted(values)
    return ordered[math.ceil(QUANTILE * len(ordered)) - 1]
