"""Bounds on the duration of the steps that renew a node's replica of a table.

A renewal takes several steps: a long poll waits for changes, its source may be silent,
and another source is asked. Each step is limited by the age that the replica has
reached, not by a timeout of its own, so the sum can't exceed the staleness bound as
long as the store answers.
"""

from __future__ import annotations

from dataclasses import dataclass

# Shares of the bound. What WAIT_SHARE and ANSWER_SHARE leave is for the store's answer.
OVERDUE_SHARE = 0.5
WAIT_SHARE = 0.6
ANSWER_SHARE = 0.15
# Share of the useful age for which a poll waits whose answer passes through another
# node: a change is up to two waits old at the first node and one more at the second.
RELAYED_SHARE = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class RenewalBound:
    """Staleness bound of a table, in seconds, with the limits that follow from it."""

    seconds: float

    @property
    def useful_seconds(self) -> float:
        """Return the age up to which another node's data is useful, in seconds.

        It is less than the age until which a poll waits, so the next poll still has
        time to wait. Otherwise nodes would poll one another without a pause.
        """
        return OVERDUE_SHARE * self.seconds

    def answer_seconds(self, max_seconds: float) -> float:
        """Return the seconds that another node may take to answer after its wait.

        Parameters
        ----------
        max_seconds : float
            Upper limit of the result, in seconds.
        """
        return min(max_seconds, ANSWER_SHARE * self.seconds)

    def relayed_seconds(self, max_seconds: float) -> float:
        """Return the seconds that a poll may wait if another node passes its answer on.

        Parameters
        ----------
        max_seconds : float
            Upper limit of the result, in seconds.
        """
        return min(max_seconds, RELAYED_SHARE * self.useful_seconds)

    def is_overdue(self, age: float | None) -> bool:
        """Return whether only the store can renew data of that age in time."""
        return age is not None and age >= self.useful_seconds

    def wait_seconds(self, age: float | None, max_seconds: float) -> float:
        """Return the seconds that a poll may wait for changes at another node.

        Parameters
        ----------
        age : float or None
            The age of the data in seconds, None if there is none.
        max_seconds : float
            Upper limit of the wait, in seconds.
        """
        remaining = WAIT_SHARE * self.seconds - (age or 0.0)
        return min(max_seconds, max(0.0, remaining))
