"""Fair queueing: orders waiting requests by the tokens served to each organisation.

Each organisation has a virtual token counter, after Sheng et al., "Fairness in Serving
Large Language Models" (2024). The organisation with the least service in proportion to
its weight goes first. A generation's forecast cost is charged at its grant and
corrected as its tokens are produced.
"""

from __future__ import annotations

import abc
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from .grants import AdmitRequest

# Cost of a prompt token relative to a generated one; prefill is far cheaper per token
# than decode.
PROMPT_TOKEN_COST = 0.25
# Each step of priority multiplies an organisation's weight by this, so that a higher
# priority is served sooner and a lower one never starves.
PRIORITY_FACTOR = 1.5
PRIORITY_NORMAL = 5
# The most accounts of idle organisations kept; the oldest account is dropped first.
MAX_IDLE_ACCOUNTS = 8192


class WaitingQueue(abc.ABC):
    """Holds waiting requests and the order in which to try them."""

    @abc.abstractmethod
    def push(self, req: AdmitRequest) -> None:
        """Add a request."""

    @abc.abstractmethod
    def remove(self, request_id: str) -> AdmitRequest | None:
        """Remove a request from any position; return None if it isn't queued."""

    @abc.abstractmethod
    def heads(self) -> Iterator[AdmitRequest]:
        """Return the requests that may be granted next, head of the line first."""

    @abc.abstractmethod
    def charge(self, organisation: str, n_tokens: float) -> None:
        """Charge an organisation for service; a negative number is a refund."""

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
        The weight, adjusted by priority.
    """

    served: float = 0.0
    weight: float = 1.0
    waiting: deque[AdmitRequest] = field(default_factory=deque)


class FairQueue(WaitingQueue):
    """Puts the organisation with the least service by weight first."""

    def __init__(self) -> None:
        self._accounts: dict[str, Account] = {}
        self._requests: dict[str, AdmitRequest] = {}
        self._backlogged: set[str] = set()
        # The lowest counter of the waiting organisations, as of the last charge; it
        # never falls. New organisations start at it, and so do idle ones that rejoin
        # while none wait.
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._requests)

    def get(self, request_id: str) -> AdmitRequest | None:
        """Return a waiting request, or None."""
        return self._requests.get(request_id)

    def push(self, req: AdmitRequest) -> None:
        """Add a request at the end of its organisation's queue."""
        account = self._accounts.get(req.organisation)
        if account is None:
            account = self._accounts[req.organisation] = Account(
                served=self._virtual_time
            )
            self._drop_idle_account()
        account.weight = effective_weight(req.weight, req.priority)
        if not account.waiting:
            # An organisation that was idle joins at the level of those that wait. If
            # it kept credit for its idle time, it could lock out all others for just
            # as long with one burst.
            account.served = max(account.served, self._least_served())
            self._backlogged.add(req.organisation)
        account.waiting.append(req)
        self._requests[req.request_id] = req

    def remove(self, request_id: str) -> AdmitRequest | None:
        """Remove a request from the queue."""
        req = self._requests.pop(request_id, None)
        if req is None:
            return None
        account = self._accounts[req.organisation]
        if account.waiting[0] is req:
            account.waiting.popleft()
        else:
            account.waiting.remove(req)
        if not account.waiting:
            self._backlogged.discard(req.organisation)
        return req

    def heads(self) -> Iterator[AdmitRequest]:
        """Return each organisation's first request, least served first."""
        accounts = self._accounts
        for name in sorted(self._backlogged, key=lambda name: accounts[name].served):
            yield accounts[name].waiting[0]

    def charge(self, organisation: str, n_tokens: float) -> None:
        """Charge an organisation for service, divided by its weight."""
        account = self._accounts.get(organisation)
        if account is not None:
            account.served += n_tokens / account.weight
            if n_tokens > 0 and organisation in self._backlogged:
                self._virtual_time = max(self._virtual_time, self._least_served())

    def share(self, organisation: str, weight: float) -> float:
        """Return an organisation's share of the pool among those that wait, 0 to 1."""
        total = sum(self._accounts[name].weight for name in self._backlogged)
        if organisation not in self._backlogged:
            total += weight
        return weight / total if total else 1.0

    def n_waiting(self, organisation: str) -> int:
        """Return the number of an organisation's waiting requests."""
        account = self._accounts.get(organisation)
        return len(account.waiting) if account is not None else 0

    def _least_served(self) -> float:
        if not self._backlogged:
            return self._virtual_time
        return min(self._accounts[name].served for name in self._backlogged)

    def _drop_idle_account(self) -> None:
        if len(self._accounts) <= MAX_IDLE_ACCOUNTS + len(self._backlogged):
            return
        for name in self._accounts:
            if name not in self._backlogged:
                del self._accounts[name]
                return


class ArrivalQueue(WaitingQueue):
    """Serves in order of arrival regardless of organisation; a baseline."""

    def __init__(self) -> None:
        self._requests: dict[str, AdmitRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def push(self, req: AdmitRequest) -> None:
        """Add a request at the end."""
        self._requests[req.request_id] = req

    def remove(self, request_id: str) -> AdmitRequest | None:
        """Remove a request from the queue."""
        return self._requests.pop(request_id, None)

    def heads(self) -> Iterator[AdmitRequest]:
        """Return the oldest request."""
        yield from list(self._requests.values())[:1]

    def charge(self, organisation: str, n_tokens: float) -> None:
        """Do nothing, as the order doesn't depend on service."""


def effective_weight(weight: float, priority: int) -> float:
    """Return an organisation's weight, adjusted by its priority."""
    return max(weight, 1e-3) * PRIORITY_FACTOR ** (priority - PRIORITY_NORMAL)
