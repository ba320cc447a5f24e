"""Fairness: whose waiting request is next, by tokens served to each organisation.

A virtual token counter per organisation, after Sheng et al., "Fairness in Serving
Large Language Models" (2024): the organisation that has had the least, by its weight,
goes first. What a generation will cost is charged at its grant by forecast, and
corrected as its tokens come.
"""

from __future__ import annotations

import abc
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from .grants import AdmitRequest

# A prompt token costs an engine far less than a generated one.
PROMPT_COST = 0.25
# Each step of priority multiplies an organisation's weight, so that a higher one is
# served sooner and a lower one is never starved.
PRIORITY_FACTOR = 1.5
PRIORITY_NORMAL = 5
# Idle organisations beyond this number are forgotten, least recently active first.
N_IDLE_KEPT = 8192


class WaitingQueue(abc.ABC):
    """Holds waiting requests and says in which order they are to be tried."""

    @abc.abstractmethod
    def push(self, req: AdmitRequest) -> None:
        """Add a request."""

    @abc.abstractmethod
    def remove(self, request_id: str) -> AdmitRequest | None:
        """Take a request out, wherever it stands; None where it isn't there."""

    @abc.abstractmethod
    def heads(self) -> Iterator[AdmitRequest]:
        """Return the requests that may be granted next, the first in line first."""

    @abc.abstractmethod
    def charge(self, organisation: str, n_tokens: float) -> None:
        """Charge an organisation with service, or give it back when negative."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting requests."""


@dataclass(kw_only=True, slots=True)
class Account:
    """An organisation's counter and its waiting requests.

    Parameters
    ----------
    served : float
        Virtual tokens: tokens served, divided by the organisation's weight.
    weight : float
        Its weight, with its priority worked in.
    """

    served: float = 0.0
    weight: float = 1.0
    waiting: deque[AdmitRequest] = field(default_factory=deque)


class FairQueue(WaitingQueue):
    """The organisation with the least service by weight goes first."""

    def __init__(self) -> None:
        self._accounts: dict[str, Account] = {}
        self._requests: dict[str, AdmitRequest] = {}
        self._busy: set[str] = set()
        # The counter of whoever was served last: the level that idle ones rejoin at.
        self._level = 0.0

    def __len__(self) -> int:
        return len(self._requests)

    def get(self, request_id: str) -> AdmitRequest | None:
        """Return a waiting request, where it is there."""
        return self._requests.get(request_id)

    def push(self, req: AdmitRequest) -> None:
        """Add a request at the end of its organisation's line."""
        account = self._accounts.get(req.organisation)
        if account is None:
            account = self._accounts[req.organisation] = Account(served=self._level)
            self._forget_idle()
        account.weight = effective_weight(req.weight, req.priority)
        if not account.waiting:
            # Whoever was idle joins at the level of those that wait. Were the credit
            # of the idle time kept, the organisation could lock all others out for
            # just as long with one burst.
            account.served = max(account.served, self._floor())
            self._busy.add(req.organisation)
        account.waiting.append(req)
        self._requests[req.request_id] = req

    def remove(self, request_id: str) -> AdmitRequest | None:
        """Take a request out."""
        req = self._requests.pop(request_id, None)
        if req is None:
            return None
        account = self._accounts[req.organisation]
        if account.waiting[0] is req:
            account.waiting.popleft()
        else:
            account.waiting.remove(req)
        if not account.waiting:
            self._busy.discard(req.organisation)
        return req

    def heads(self) -> Iterator[AdmitRequest]:
        """Return each organisation's first request, least served first."""
        accounts = self._accounts
        for name in sorted(self._busy, key=lambda name: accounts[name].served):
            yield accounts[name].waiting[0]

    def charge(self, organisation: str, n_tokens: float) -> None:
        """Charge an organisation with service."""
        account = self._accounts.get(organisation)
        if account is not None:
            account.served += n_tokens / account.weight
            if n_tokens > 0 and organisation in self._busy:
                self._level = max(self._level, self._floor())

    def share(self, organisation: str, weight: float) -> float:
        """Return the share of the pool that an organisation gets among those busy."""
        total = sum(self._accounts[name].weight for name in self._busy)
        if organisation not in self._busy:
            total += weight
        return weight / total if total else 1.0

    def n_waiting(self, organisation: str) -> int:
        """Return how many requests of an organisation wait."""
        account = self._accounts.get(organisation)
        return len(account.waiting) if account is not None else 0

    def _floor(self) -> float:
        if not self._busy:
            return self._level
        return min(self._accounts[name].served for name in self._busy)

    def _forget_idle(self) -> None:
        if len(self._accounts) <= N_IDLE_KEPT + len(self._busy):
            return
        for name in self._accounts:
            if name not in self._busy:
                del self._accounts[name]
                return


class ArrivalQueue(WaitingQueue):
    """First come, first served, whoever it is; a baseline."""

    def __init__(self) -> None:
        self._requests: dict[str, AdmitRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def push(self, req: AdmitRequest) -> None:
        """Add a request at the end."""
        self._requests[req.request_id] = req

    def remove(self, request_id: str) -> AdmitRequest | None:
        """Take a request out."""
        return self._requests.pop(request_id, None)

    def heads(self) -> Iterator[AdmitRequest]:
        """Return the oldest request."""
        yield from list(self._requests.values())[:1]

    def charge(self, organisation: str, n_tokens: float) -> None:
        """Do nothing: nobody is charged."""


def effective_weight(weight: float, priority: int) -> float:
    """Return an organisation's weight with its priority worked in."""
    return max(weight, 1e-3) * PRIORITY_FACTOR ** (priority - PRIORITY_NORMAL)
