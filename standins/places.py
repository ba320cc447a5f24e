"""Records when endpoints work on requests, and finds requests at two of them."""

from __future__ import annotations

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

# How long two endpoints may work on one request (rule TWICE), in seconds.
MAX_OVERLAP_SECONDS = 0.4
# From when, and until when; loop times.
Span = tuple[float, float]


@dataclass(kw_only=True)
class Work:
    """One endpoint's work on a request.

    Parameters
    ----------
    endpoint, attempt_id : str
        The endpoint, and the id of the caller's attempt.
    copy : str or None
        The copy from which it goes on; None if it begins from the start.
    began_at, ended_at : float
        Loop times; it hasn't ended if the second is infinite.
    machine : str
        The machine whose connection brought the request; may be empty.
    """

    endpoint: str
    attempt_id: str
    copy: str | None
    began_at: float
    ended_at: float = float("inf")
    machine: str = ""


class WorkLog:
    """Records the work of one endpoint."""

    def __init__(self) -> None:
        self.works: list[Work] = []

    def begin(
        self,
        endpoint: str,
        attempt_id: str,
        copy: str | None = None,
        *,
        machine: str = "",
    ) -> Work:
        """Record that an endpoint begins to work on a request."""
        work = Work(
            endpoint=endpoint,
            attempt_id=attempt_id,
            copy=copy,
            began_at=asyncio.get_running_loop().time(),
            machine=machine,
        )
        self.works.append(work)
        return work

    @staticmethod
    def end(work: Work) -> None:
        """Record the end of a work, unless it has one."""
        now = asyncio.get_running_loop().time()
        work.ended_at = min(work.ended_at, now)


@dataclass(frozen=True, kw_only=True)
class Places:
    """At which endpoints a request was.

    Parameters
    ----------
    attempt_id : str
        The id of the caller's attempt.
    n_begun, n_from_copies : int
        How often it began from the start, and went on from a copy.
    overlap_seconds : float
        The longest time for which two endpoints worked on it, in seconds.
    """

    attempt_id: str
    n_begun: int
    n_from_copies: int
    overlap_seconds: float

    @property
    def is_at_two(self) -> bool:
        """Return whether two endpoints worked on it for too long."""
        return self.overlap_seconds > MAX_OVERLAP_SECONDS


def find_places(
    logs: Iterable[WorkLog],
    now: float,
    exempt: Callable[[Work], Iterable[Span]] | None = None,
) -> dict[str, Places]:
    """Return at which endpoints each request was until ``now``, by its attempt.

    Parameters
    ----------
    logs : iterable of WorkLog
        The works of all endpoints, former ones too.
    now : float
        Loop time at which works that haven't ended are cut off.
    exempt : callable or None
        Returns the times that don't count while a work goes on beside a later one: the
        machine that sent it isn't in touch, or doesn't reach its endpoint.
    """
    works: defaultdict[str, list[Work]] = defaultdict(list)
    for log in logs:
        for work in log.works:
            works[work.attempt_id].append(work)
    return {
        attempt_id: Places(
            attempt_id=attempt_id,
            n_begun=sum(work.copy is None for work in found),
            n_from_copies=sum(work.copy is not None for work in found),
            overlap_seconds=max(
                (
                    _overlap_seconds(one, other, now, exempt)
                    for one, other in itertools.combinations(found, 2)
                    if one.endpoint != other.endpoint
                ),
                default=0.0,
            ),
        )
        for attempt_id, found in works.items()
    }


def _overlap_seconds(
    one: Work,
    other: Work,
    now: float,
    exempt: Callable[[Work], Iterable[Span]] | None,
) -> float:
    """Return the longest time for which both go on that isn't exempt."""
    before = min(one, other, key=lambda work: work.began_at)
    at = max(one.began_at, other.began_at)
    until = min(one.ended_at, other.ended_at, now)
    longest = 0.0
    for since, ends_at in sorted(exempt(before)) if exempt is not None else ():
        longest = max(longest, min(since, until) - at)
        at = max(at, ends_at)
    return max(longest, until - at)
