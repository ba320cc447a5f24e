"""Limits per organisation, held over many nodes without a counter in the table.

Each organisation has a limit home, which lends out its tokens and its places to entry
nodes in portions. An entry node decides by what it has borrowed, with no message for a
request. When the home can't be reached, it goes by its even share. Both sides are
pure; whoever wires them sends `LoanRequest` and `Loan` between nodes.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..types import NotRun

# A bucket holds so many seconds' worth of tokens: the burst that is allowed.
BURST_SECONDS = 5.0
# Borrowers ask for about so many seconds' worth at a time.
PORTION_SECONDS = 1.0
# Places that are borrowed and not renewed fall back to the lender after this.
LEASE_SECONDS = 10.0
RENEW_SECONDS = 3.0
# Whoever found no place comes back after this: places are borrowed for the refused at
# once, and kept for them for RENEW_SECONDS.
PLACE_RETRY_SECONDS = RENEW_SECONDS / 2
# Without an answer from the lender for so long, the even share is taken.
LENDER_LOST_SECONDS = 3.0
RETRY_AFTER_MIN = 0.2
RETRY_AFTER_MAX = 60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Limit:
    """An organisation's limits, from the document; None for no limit."""

    n_tokens_per_second: int | None = None
    n_concurrent: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class LoanRequest:
    """What an entry node asks of a limit home.

    Parameters
    ----------
    organisation, borrower : str
        Whose limit, and which node asks.
    n_tokens : int
        Tokens wanted.
    n_places, n_places_used : int
        Places wanted in all, and those in use, which must not be taken away.
    """

    organisation: str
    borrower: str
    n_tokens: int = 0
    n_places: int = 0
    n_places_used: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Loan:
    """What a limit home lends.

    Parameters
    ----------
    organisation : str
        Whose limit.
    n_tokens : int
        Tokens, on top of what was lent before.
    n_places : int
        Places held from now on, in all.
    """

    organisation: str
    n_tokens: int = 0
    n_places: int = 0


@dataclass(kw_only=True, slots=True)
class _Lease:
    n_places: int
    expires_at: float


@dataclass(kw_only=True, slots=True)
class _Bucket:
    n_tokens: float
    filled_at: float
    started_at: float
    leases: dict[str, _Lease] = field(default_factory=dict)


class LimitLender:
    """A limit home's side: lends organisations' tokens and places.

    A home that takes over knows nothing. It starts with an empty bucket, and for the
    length of a lease it lends no place beyond a borrower's even share but those the
    borrower says are in use; so a change of home gives no second burst.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def lend(
        self,
        req: LoanRequest,
        limit: Limit,
        *,
        n_nodes: int,
        now: float,
        home_since: float | None = None,
    ) -> Loan:
        """Answer an entry node.

        Parameters
        ----------
        req : LoanRequest
            What it asks.
        limit : Limit
            The organisation's limit.
        n_nodes : int
            The number of entry nodes alive.
        now : float
            Monotonic time.
        home_since : float or None
            Since when this is the organisation's home. A home of long standing knows
            that an organisation it holds no books on has borrowed nothing anywhere.
        """
        bucket = self._bucket(req.organisation, limit, now, home_since)
        n_tokens = self._lend_tokens(bucket, req, limit)
        n_places = self._lend_places(bucket, req, limit, n_nodes, now)
        return Loan(organisation=req.organisation, n_tokens=n_tokens, n_places=n_places)

    def forget_idle(self, now: float) -> None:
        """Drop buckets that are full again and have no lease."""
        for name, bucket in list(self._buckets.items()):
            bucket.leases = _current(bucket.leases, now)
            if not bucket.leases and now - bucket.filled_at > 2 * LEASE_SECONDS:
                del self._buckets[name]

    def _bucket(
        self, organisation: str, limit: Limit, now: float, home_since: float | None
    ) -> _Bucket:
        bucket = self._buckets.get(organisation)
        if bucket is None:
            started_at = now if home_since is None else home_since
            bucket = _Bucket(n_tokens=0.0, filled_at=now, started_at=started_at)
            self._buckets[organisation] = bucket
        rate = limit.n_tokens_per_second or 0
        filled = bucket.n_tokens + rate * (now - bucket.filled_at)
        bucket.n_tokens = min(filled, rate * BURST_SECONDS)
        bucket.filled_at = now
        return bucket

    def _lend_tokens(self, bucket: _Bucket, req: LoanRequest, limit: Limit) -> int:
        if limit.n_tokens_per_second is None:
            return 0
        # Half at most: who asks first doesn't leave the others with nothing.
        n_tokens = int(min(req.n_tokens, max(0.0, bucket.n_tokens / 2)))
        bucket.n_tokens -= n_tokens
        return n_tokens

    def _lend_places(
        self,
        bucket: _Bucket,
        req: LoanRequest,
        limit: Limit,
        n_nodes: int,
        now: float,
    ) -> int:
        if limit.n_concurrent is None:
            return 0
        bucket.leases = _current(bucket.leases, now)
        n_others = sum(
            lease.n_places
            for borrower, lease in bucket.leases.items()
            if borrower != req.borrower
        )
        n_free = max(0, limit.n_concurrent - n_others)
        if now - bucket.started_at < LEASE_SECONDS:
            n_free = min(n_free, limit.n_concurrent // max(1, n_nodes))
        n_places = max(req.n_places_used, min(req.n_places, n_free))
        bucket.leases[req.borrower] = _Lease(
            n_places=n_places, expires_at=now + LEASE_SECONDS
        )
        return n_places


@dataclass(kw_only=True, slots=True)
class _Purse:
    """What an entry node holds of one organisation's limit."""

    limit: Limit
    n_tokens: float = 0.0
    n_places: int = 0
    n_places_used: int = 0
    n_refused: int = 0
    n_spare: int = 1
    spare_until: float = float("-inf")
    rate: float = 0.0
    updated_at: float = 0.0
    asked_at: float = float("-inf")
    answered_at: float = float("-inf")
    waits_since: float | None = None


class LimitBorrower:
    """An entry node's side: decides by what it has borrowed.

    Parameters
    ----------
    name : str
        This node's name.
    """

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._purses: dict[str, _Purse] = {}

    def admit(
        self,
        organisation: str,
        limit: Limit,
        n_tokens: float,
        *,
        n_nodes: int,
        now: float,
    ) -> NotRun | None:
        """Take a place and ``n_tokens``, or return the refusal.

        What the generation really produces is settled by `settle`.
        """
        if limit.n_tokens_per_second is None and limit.n_concurrent is None:
            return None
        purse = self._purse(organisation, limit, n_nodes, now)
        if limit.n_concurrent is not None and purse.n_places_used >= purse.n_places:
            purse.n_refused += 1
            return _refusal("concurrency_limit", PLACE_RETRY_SECONDS)
        if limit.n_tokens_per_second is not None:
            if purse.n_tokens <= 0:
                purse.n_refused += 1
                seconds = (n_tokens - purse.n_tokens) / limit.n_tokens_per_second
                return _refusal("token_limit", seconds)
            purse.n_tokens -= n_tokens
        purse.n_places_used += 1
        purse.rate += n_tokens / PORTION_SECONDS
        return None

    def settle(self, organisation: str, n_tokens: float) -> None:
        """Charge tokens beyond those taken, or give some back when negative."""
        purse = self._purses.get(organisation)
        if purse is not None:
            purse.n_tokens -= n_tokens

    def release(self, organisation: str) -> None:
        """Give back the place of a generation that has ended."""
        purse = self._purses.get(organisation)
        if purse is not None:
            purse.n_places_used = max(0, purse.n_places_used - 1)

    def requests(self, now: float) -> list[LoanRequest]:
        """Return what is to be asked of the limit homes now."""
        due = []
        for organisation, purse in list(self._purses.items()):
            if self._is_due(purse, now):
                purse.asked_at = now
                if purse.waits_since is None:
                    purse.waits_since = now
                _plan_spare(purse, now)
                due.append(self._request(organisation, purse))
                purse.n_refused = 0
            elif purse.n_places_used == 0 and now - purse.updated_at > LEASE_SECONDS:
                del self._purses[organisation]
        return due

    def receive(self, loan: Loan, now: float) -> None:
        """Take in a limit home's answer."""
        purse = self._purses.get(loan.organisation)
        if purse is None:
            return
        purse.n_tokens += loan.n_tokens
        purse.n_places = loan.n_places
        purse.answered_at = now
        purse.waits_since = None

    def _purse(
        self, organisation: str, limit: Limit, n_nodes: int, now: float
    ) -> _Purse:
        purse = self._purses.get(organisation)
        if purse is None:
            purse = self._purses[organisation] = _Purse(limit=limit, updated_at=now)
            # The first request mustn't wait for a message: it gets the even share.
            purse.n_places = max(1, (limit.n_concurrent or 0) // max(1, n_nodes))
            purse.n_tokens = (limit.n_tokens_per_second or 0) / max(1, n_nodes)
        purse.limit = limit
        seconds = now - purse.updated_at
        purse.updated_at = now
        purse.rate *= 0.5 ** (seconds / PORTION_SECONDS)
        if _lender_is_lost(purse, now):
            # With no lender each node goes by its even share. All together they keep
            # to the limit; a busy node gets less than it could. Waiting for the
            # lender would refuse everybody, trusting blindly would refuse nobody.
            rate = (limit.n_tokens_per_second or 0) / max(1, n_nodes)
            burst = rate * BURST_SECONDS
            if purse.n_tokens < burst:
                purse.n_tokens = min(burst, purse.n_tokens + rate * seconds)
            purse.n_places = max(1, (limit.n_concurrent or 0) // max(1, n_nodes))
        return purse

    def _is_due(self, purse: _Purse, now: float) -> bool:
        if now - purse.asked_at >= RENEW_SECONDS:
            return True
        if now - purse.asked_at < PORTION_SECONDS / 4:
            return False
        return purse.n_refused > 0 or purse.n_tokens < purse.rate * PORTION_SECONDS / 2

    def _request(self, organisation: str, purse: _Purse) -> LoanRequest:
        rate = purse.limit.n_tokens_per_second or 0
        wanted = max(purse.rate * 2 * PORTION_SECONDS, rate * PORTION_SECONDS / 16)
        n_places = purse.n_places_used + purse.n_spare
        return LoanRequest(
            organisation=organisation,
            borrower=self._name,
            n_tokens=max(0, int(wanted - purse.n_tokens)),
            n_places=n_places,
            n_places_used=purse.n_places_used,
        )


def _plan_spare(purse: _Purse, now: float) -> None:
    # One spare place, and one for each that was refused. These are kept until the
    # refused had the time to come back; were they given back with the next message,
    # a burst would be let in one by one.
    if purse.n_refused:
        purse.n_spare = 1 + purse.n_refused
        purse.spare_until = now + RENEW_SECONDS
    elif now >= purse.spare_until:
        purse.n_spare = 1


def _lender_is_lost(purse: _Purse, now: float) -> bool:
    if purse.waits_since is None:
        return False
    return now - purse.waits_since > LENDER_LOST_SECONDS


def _current(leases: dict[str, _Lease], now: float) -> dict[str, _Lease]:
    return {name: lease for name, lease in leases.items() if lease.expires_at > now}


def _refusal(reason: str, seconds: float) -> NotRun:
    bounded = min(max(seconds, RETRY_AFTER_MIN), RETRY_AFTER_MAX)
    return NotRun(
        reason=reason,
        detail="the organisation's limit is used up",
        retry_after=bounded,
    )
