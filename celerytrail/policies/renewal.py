"""How long word of a table may be waited for, so that it stays within its bound.

Word of a table reaches a node in several steps: a question waits for news, its source
may be silent, another source is asked. Each step is bounded here by how old the node's
knowledge has become, not by a time of its own, so that the sum can't exceed the bound
as long as the store answers.
"""

from __future__ import annotations

from dataclasses import dataclass

# Shares of the bound. What is left beside the last two is for the store's answer.
OVERDUE_SHARE = 0.5
WAIT_SHARE = 0.6
ANSWER_SHARE = 0.15
# Share of the useful age for which a node waits whose word goes over another node: word
# is up to two waits old at the first and one more at the second.
RELAYED_SHARE = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class RenewalBound:
    """The age that knowledge of a table must not reach, in seconds."""

    seconds: float

    @property
    def useful_seconds(self) -> float:
        """Return how old the word of another node may be to be of use.

        It is less than the age until which a question waits, so that the next question
        has time to wait: else nodes would ask one another without a pause.
        """
        return OVERDUE_SHARE * self.seconds

    def answer_seconds(self, longest: float) -> float:
        """Return how long another node may take to answer beyond its wait.

        Parameters
        ----------
        longest : float
            The longest time where the bound allows more, in seconds.
        """
        return min(longest, ANSWER_SHARE * self.seconds)

    def relayed_seconds(self, longest: float) -> float:
        """Return how long a question may wait whose answer goes over another node.

        Parameters
        ----------
        longest : float
            The longest time where the bound allows more, in seconds.
        """
        return min(longest, RELAYED_SHARE * self.useful_seconds)

    def is_overdue(self, age: float | None) -> bool:
        """Return whether only the store can renew knowledge of that age in time."""
        return age is not None and age >= self.useful_seconds

    def wait_seconds(self, age: float | None, longest: float) -> float:
        """Return how long a question may wait for news at another node.

        Parameters
        ----------
        age : float or None
            The age of what is known, in seconds; None where nothing is.
        longest : float
            The longest wait where the bound allows more, in seconds.
        """
        left = WAIT_SHARE * self.seconds - (age or 0.0)
        return min(longest, max(0.0, left))
