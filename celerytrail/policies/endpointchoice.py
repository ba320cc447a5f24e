"""Which endpoint of a plain service takes a request.

The load that this answers: endpoints of one service differ in speed, some fail part
of their requests while their health answers are good, and many nodes choose at once.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from ..model import Registration
from ..types import Address

# How much one outcome counts in an endpoint's failure rate: about the last ten count.
OUTCOME_WEIGHT = 0.15
# What a failure rate of one costs, in shares of an endpoint's slots.
FAILURE_COST = 3.0
# What another failure domain costs, in the same unit; only breaks ties.
FAR_COST = 0.05
# What a new connection costs, in the same unit: less than one request in progress at an
# endpoint of six slots. With many nodes each sends an endpoint little; spread over all
# of them, its connections would close for want of use.
CONNECT_COST = 0.1
# A failure is forgotten by half after so many seconds, so that an endpoint that was
# left out gets a request now and then and can show that it works again.
HALF_LIFE_SECONDS = 3.0
MAX_RECORDS = 5_000
# One node tells the others of an endpoint that breaks requests at most this often, in
# seconds: three of ten nodes telling at once already make it the last choice.
TELL_SECONDS = 0.2


@dataclass(kw_only=True, slots=True)
class _Record:
    n_open: int = 0
    failure_rate: float = 0.0
    noted_at: float = 0.0
    tell_at: float = 0.0


class EndpointChoice:
    """Chooses by work in progress and by how the last requests ended.

    Parameters
    ----------
    failure_domain : str
        Where this node runs.
    rng : random.Random
        Breaks ties, so that nodes that decide alike don't choose alike.
    tell : callable
        Called with an endpoint that broke a request off, for the other nodes.
    is_connected : callable
        Returns whether an idle connection to an address stands.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        rng: random.Random,
        tell: Callable[[str], None],
        is_connected: Callable[[Address], bool],
    ) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._tell = tell
        self._is_connected = is_connected
        self._records: dict[str, _Record] = {}

    def choose(
        self, regs: Sequence[Registration], excluded: Collection[str], now: float
    ) -> Registration | None:
        """Return the best endpoint that is not excluded."""
        choices = [reg for reg in regs if reg.endpoint not in excluded]
        if not choices:
            return None
        return min(choices, key=lambda reg: self._cost(reg, now))

    def begin(self, endpoint: str) -> None:
        """Note that a request goes to an endpoint."""
        self._record(endpoint).n_open += 1

    def end(
        self, endpoint: str, *, is_failed: bool, is_broken: bool, now: float
    ) -> None:
        """Note how a request ended at an endpoint.

        One that was broken off is told to the other nodes. An endpoint may reset all
        requests while its row says that it is well; each of a dozen nodes would find
        out by a request of its own that may have run and can't be sent again, and as
        many callers would not know whether theirs was filed. An endpoint's own failing
        answers are not told: all have some, and the busiest would look the worst.
        With it 4 requests in place of 11 were cut in one played incident of twelve
        nodes.
        """
        record = self._record(endpoint)
        record.n_open -= 1
        self._observe(record, 1.0 if is_failed else 0.0, now)
        if is_broken and now >= record.tell_at:
            record.tell_at = now + TELL_SECONDS
            self._tell(endpoint)

    def hear_broken(self, endpoint: str, now: float) -> None:
        """Note that another node's request was broken off by an endpoint."""
        self._observe(self._record(endpoint), 1.0, now)

    def _observe(self, record: _Record, outcome: float, now: float) -> None:
        rate = self._rate(record, now)
        record.failure_rate = rate + OUTCOME_WEIGHT * (outcome - rate)
        record.noted_at = now

    def _cost(self, reg: Registration, now: float) -> float:
        record = self._record(reg.endpoint)
        is_far = reg.failure_domain != self._failure_domain
        return (
            record.n_open / max(1, reg.n_slots)
            + FAILURE_COST * self._rate(record, now)
            + (FAR_COST if is_far else 0.0)
            + (0.0 if self._is_connected(reg.address) else CONNECT_COST)
            + 0.04 * self._rng.random()
        )

    @staticmethod
    def _rate(record: _Record, now: float) -> float:
        age = max(0.0, now - record.noted_at)
        return float(record.failure_rate * 0.5 ** (age / HALF_LIFE_SECONDS))

    def _record(self, endpoint: str) -> _Record:
        if len(self._records) >= MAX_RECORDS:
            # Endpoints are replaced under new ids; only those in use are kept.
            self._records = {
                name: record for name, record in self._records.items() if record.n_open
            }
        return self._records.setdefault(endpoint, _Record())
