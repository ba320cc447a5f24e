"""Which endpoints and engines are leaving, from whatever source says so first."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from eliot import log_message

Source = Literal["vm_list", "report", "document", "gossip"]
# How often a word that is said again is told on: what others heard of it runs out.
RETELL_SECONDS = 30.0

News = Callable[["LeavingFact"], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingFact:
    """One source's word that an endpoint or engine is leaving.

    Parameters
    ----------
    endpoint : str
        Its name in the document.
    source : str
        Who says so.
    at : float
        Wall time since which it is known, in seconds since the epoch.
    until_at : float or None
        Wall time at which this word runs out unless it is said again; None for never.
    """

    endpoint: str
    source: Source
    at: float
    until_at: float | None = None


class LeavingBoard:
    """Collects the words of all sources; the earliest one counts.

    Each source lags or can fall silent, so no source is asked to agree: were two
    needed, an endpoint known to be going would get work until the slower one woke up.
    A source may withdraw its own word only, for example when a new VM carries on
    under the name.
    """

    def __init__(self) -> None:
        self._facts: dict[str, dict[Source, LeavingFact]] = {}
        self._told_at: dict[str, float] = {}
        self._subscribers: list[News] = []

    def note(
        self, endpoint: str, source: Source, at: float, until_at: float | None = None
    ) -> bool:
        """Take a source's word; returns whether the endpoint was not known to leave.

        Parameters
        ----------
        endpoint : str
            The name in the document.
        source : str
            Who says so.
        at : float
            Wall time of the evidence; it counts from then on.
        until_at : float or None
            Wall time at which the word runs out.
        """
        facts = self._facts.setdefault(endpoint, {})
        is_new = not any(_holds(f, at) for f in facts.values())
        known = facts.get(source)
        since = at if known is None or not _holds(known, at) else min(known.at, at)
        fact = LeavingFact(
            endpoint=endpoint, source=source, at=since, until_at=until_at
        )
        facts[source] = fact
        if is_new:
            log_message("leaving:known", endpoint=endpoint, source=source, at=at)
        if is_new or self._is_to_be_told_again(endpoint, source, at):
            self._told_at[endpoint] = at
            for subscriber in self._subscribers:
                subscriber(fact)
        return is_new

    def _is_to_be_told_again(self, endpoint: str, source: Source, at: float) -> bool:
        # Nodes that know it by hearsay alone would forget it when that runs out, and
        # send work to an endpoint that is still on its way out.
        if source == "gossip":
            return False
        return abs(at - self._told_at.get(endpoint, 0.0)) >= RETELL_SECONDS

    def withdraw(self, endpoint: str, source: Source) -> None:
        """Drop a source's own word."""
        facts = self._facts.get(endpoint, {})
        if facts.pop(source, None) is not None:
            log_message("leaving:withdrawn", endpoint=endpoint, source=source)
        if not facts:
            self._facts.pop(endpoint, None)
            self._told_at.pop(endpoint, None)

    def is_leaving(self, endpoint: str, now: float) -> bool:
        """Return whether any source says that it leaves; ``now`` is wall time."""
        facts = self._facts.get(endpoint)
        if facts is None:
            return False
        return any(_holds(fact, now) for fact in facts.values())

    def first_fact(self, endpoint: str, now: float) -> LeavingFact | None:
        """Return the earliest word that holds, for operators."""
        facts = self._facts.get(endpoint, {}).values()
        holding = [fact for fact in facts if _holds(fact, now)]
        return min(holding, key=lambda fact: fact.at, default=None)

    def facts(self, now: float) -> list[LeavingFact]:
        """Return all words that hold."""
        every = [fact for facts in self._facts.values() for fact in facts.values()]
        return [fact for fact in every if _holds(fact, now)]

    def forget_stale(self, names: set[str], now: float) -> None:
        """Drop words that ran out and those about names no longer in the document."""
        for endpoint in list(self._facts):
            facts = self._facts[endpoint]
            kept = {s: f for s, f in facts.items() if _holds(f, now)}
            if endpoint in names and kept:
                self._facts[endpoint] = kept
            else:
                del self._facts[endpoint]
                self._told_at.pop(endpoint, None)

    def subscribe(self, subscriber: News) -> None:
        """Call ``subscriber`` when an endpoint becomes known to leave.

        It is called again now and then while a source of this node's own, one that
        is not hearsay, goes on saying so.
        """
        self._subscribers.append(subscriber)


def _holds(fact: LeavingFact, now: float) -> bool:
    # The time of the evidence plays no part: were it compared with the time now, a
    # wall clock that jumped back would give work to an endpoint known to be going.
    return fact.until_at is None or now < fact.until_at
