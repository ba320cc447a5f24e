"""The endpoints and engines that are leaving, as reported by several sources."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from eliot import log_message

LeavingSource = Literal["vm_list", "report", "document", "gossip"]
# Interval at which a repeated notice is announced again, as it expires at other nodes.
REANNOUNCE_SECONDS = 30.0

LeavingSubscriber = Callable[["LeavingNotice"], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingNotice:
    """One source's notice that an endpoint or engine is leaving.

    Parameters
    ----------
    endpoint : str
        Its name in the document.
    source : str
        The source of the notice.
    known_at : float
        Wall time of the first evidence, in seconds since the epoch.
    expires_at : float or None
        Wall time at which the notice expires unless it is repeated; None for never.
    """

    endpoint: str
    source: LeavingSource
    known_at: float
    expires_at: float | None = None


class LeavingTracker:
    """Holds the notices of all sources; any one of them marks an endpoint as leaving.

    Each source may lag or fall silent, so one notice is enough: if two were needed, an
    endpoint known to be leaving would get work until the slower source caught up. A
    source may withdraw only its own notice, for example when a new VM takes over the
    name.
    """

    def __init__(self) -> None:
        self._notices: dict[str, dict[LeavingSource, LeavingNotice]] = {}
        self._announced_at: dict[str, float] = {}
        self._subscribers: list[LeavingSubscriber] = []

    def record(
        self,
        endpoint: str,
        source: LeavingSource,
        at: float,
        expires_at: float | None = None,
    ) -> bool:
        """Record a source's notice and return whether it is the first valid one.

        Parameters
        ----------
        endpoint : str
            The name in the document.
        source : str
            The source of the notice.
        at : float
            Wall time of the evidence.
        expires_at : float or None
            Wall time at which the notice expires; None for never.
        """
        notices = self._notices.setdefault(endpoint, {})
        is_new = not any(_is_valid(n, at) for n in notices.values())
        known = notices.get(source)
        since = (
            at if known is None or not _is_valid(known, at) else min(known.known_at, at)
        )
        notice = LeavingNotice(
            endpoint=endpoint, source=source, known_at=since, expires_at=expires_at
        )
        notices[source] = notice
        if is_new:
            log_message("leaving:known", endpoint=endpoint, source=source, at=at)
        if is_new or self._should_announce_again(endpoint, source, at):
            self._announced_at[endpoint] = at
            for subscriber in self._subscribers:
                subscriber(notice)
        return is_new

    def _should_announce_again(
        self, endpoint: str, source: LeavingSource, at: float
    ) -> bool:
        # Nodes that know a notice from gossip alone drop it when it expires, and would
        # then send work to an endpoint that is still leaving.
        if source == "gossip":
            return False
        return abs(at - self._announced_at.get(endpoint, 0.0)) >= REANNOUNCE_SECONDS

    def withdraw(self, endpoint: str, source: LeavingSource) -> None:
        """Remove a source's own notice."""
        notices = self._notices.get(endpoint, {})
        if notices.pop(source, None) is not None:
            log_message("leaving:withdrawn", endpoint=endpoint, source=source)
        if not notices:
            self._notices.pop(endpoint, None)
            self._announced_at.pop(endpoint, None)

    def is_leaving(self, endpoint: str, now: float) -> bool:
        """Return whether any source has a valid notice; ``now`` is wall time."""
        notices = self._notices.get(endpoint)
        if notices is None:
            return False
        return any(_is_valid(notice, now) for notice in notices.values())

    def earliest_notice(self, endpoint: str, now: float) -> LeavingNotice | None:
        """Return an endpoint's earliest valid notice, for operators."""
        notices = self._notices.get(endpoint, {}).values()
        valid = [notice for notice in notices if _is_valid(notice, now)]
        return min(valid, key=lambda notice: notice.known_at, default=None)

    def valid_notices(self, now: float) -> list[LeavingNotice]:
        """Return all valid notices."""
        notices = [
            notice
            for by_source in self._notices.values()
            for notice in by_source.values()
        ]
        return [notice for notice in notices if _is_valid(notice, now)]

    def remove_stale(self, names: set[str], now: float) -> None:
        """Remove expired notices and those for names no longer in the document."""
        for endpoint in list(self._notices):
            notices = self._notices[endpoint]
            kept = {s: n for s, n in notices.items() if _is_valid(n, now)}
            if endpoint in names and kept:
                self._notices[endpoint] = kept
            else:
                del self._notices[endpoint]
                self._announced_at.pop(endpoint, None)

    def subscribe(self, subscriber: LeavingSubscriber) -> None:
        """Call ``subscriber`` when an endpoint becomes known to leave.

        It is called again, at most every `REANNOUNCE_SECONDS`, while a source other
        than gossip repeats its notice.
        """
        self._subscribers.append(subscriber)


def _is_valid(notice: LeavingNotice, now: float) -> bool:
    # The time of the evidence is not compared with the time now: after a wall clock
    # jumped back, an endpoint known to be leaving would get work again.
    return notice.expires_at is None or now < notice.expires_at
