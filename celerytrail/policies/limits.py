"""Limits per organisation, enforced over many nodes without a counter in the store.

Each organisation has a limit home: the node that lends the organisation's tokens and
places (concurrent generations) to entry nodes in portions. An entry node decides by
what it has borrowed, without a message per request. While it can't reach the limit
home, it uses an even share of the limit. Both sides do no I/O; their owners exchange
`LoanRequest` and `Loan` between nodes.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..types import NotRun

# The allowed burst: a bucket holds the tokens of this many seconds.
BURST_SECONDS = 5.0
# A loan covers about this many seconds of an organisation's use.
PORTION_SECONDS = 1.0
# Borrowed places that aren't renewed return to the lender after this.
LEASE_SECONDS = 10.0
RENEW_SECONDS = 3.0
# Callers refused because no place was free retry after this. Places are borrowed for
# them at once and kept for RENEW_SECONDS.
PLACE_RETRY_SECONDS = RENEW_SECONDS / 2
# After this long without an answer from the lender, the even share is used.
LENDER_TIMEOUT_SECONDS = 3.0
RETRY_AFTER_MIN = 0.2
RETRY_AFTER_MAX = 60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Limit:
    """An organisation's limits, from the document; None means no limit."""

    n_tokens_per_second: int | None = None
    n_concurrent: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class LoanRequest:
    """An entry node's request to a limit home.

    Parameters
    ----------
    organisation, borrower : str
        The organisation, and the entry node's name.
    n_tokens : int
        Tokens requested.
    n_places, n_places_used : int
        Places requested in total, and those in use, which are never withdrawn.
    """

    organisation: str
    borrower: str
    n_tokens: int = 0
    n_places: int = 0
    n_places_used: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Loan:
    """A limit home's answer to a `LoanRequest`.

    Parameters
    ----------
    organisation : str
        The organisation.
    n_tokens : int
        Tokens lent in addition to earlier loans.
    n_places : int
        Places lent in total; replaces the earlier number.
    """

    organisation: str
    n_tokens: int = 0
    n_places: int = 0


@dataclass(kw_only=True, slots=True)
class _Lease:
    """The places lent to one borrower, and when they return to the lender."""

    n_places: int
    expires_at: float


@dataclass(kw_only=True, slots=True)
class _Bucket:
    """A limit home's state of one organisation: its token bucket and leases."""

    n_tokens: float
    filled_at: float
    started_at: float
    leases: dict[str, _Lease] = field(default_factory=dict)


class LimitLender:
    """The limit home's side: lends the tokens and places of organisations.

    A home that takes over doesn't know the earlier loans. It starts with an empty
    bucket, and for the duration of a lease it lends a borrower at most the even share
    of places, or the number that the borrower reports in use if that is more. So a
    change of home permits no second burst.
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
        """Grant a loan to an entry node.

        Parameters
        ----------
        req : LoanRequest
            The entry node's request.
        limit : Limit
            The organisation's limit.
        n_nodes : int
            Number of live entry nodes.
        now : float
            Monotonic time.
        home_since : float or None
            Monotonic time since when this node is the organisation's limit home; None
            for now. If a long-standing home has no bucket for an organisation, nothing
            is lent to any node.
        """
        bucket = self._bucket(req.organisation, limit, now, home_since)
        n_tokens = self._lend_tokens(bucket, req, limit)
        n_places = self._lend_places(bucket, req, limit, n_nodes, now)
        return Loan(organisation=req.organisation, n_tokens=n_tokens, n_places=n_places)

    def forget_idle(self, now: float) -> None:
        """Drop buckets that have refilled and have no lease."""
        for name, bucket in list(self._buckets.items()):
            bucket.leases = _unexpired(bucket.leases, now)
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
        # A loan is at most half of the bucket, so that the first borrower leaves tokens
        # for the others.
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
        bucket.leases = _unexpired(bucket.leases, now)
        n_lent_to_others = sum(
            lease.n_places
            for borrower, lease in bucket.leases.items()
            if borrower != req.borrower
        )
        n_free = max(0, limit.n_concurrent - n_lent_to_others)
        if now - bucket.started_at < LEASE_SECONDS:
            n_free = min(n_free, limit.n_concurrent // max(1, n_nodes))
        n_places = max(req.n_places_used, min(req.n_places, n_free))
        bucket.leases[req.borrower] = _Lease(
            n_places=n_places, expires_at=now + LEASE_SECONDS
        )
        return n_places


@dataclass(kw_only=True, slots=True)
class _Allowance:
    """An entry node's borrowed part of an organisation's limit, and its recent use."""

    limit: Limit
    n_tokens: float = 0.0
    n_places: int = 0
    n_places_used: int = 0
    n_refused: int = 0
    n_spare: int = 1
    spare_until: float = float("-inf")
    rate: float = 0.0
    updated_at: float = 0.0
    requested_at: float = float("-inf")
    answered_at: float = float("-inf")
    unanswered_since: float | None = None


class LimitBorrower:
    """The entry node's side: admits requests by what it has borrowed.

    Parameters
    ----------
    name : str
        This node's name.
    """

    def __init__(self, *, name: str) -> None:
        self._name = name
        self._allowances: dict[str, _Allowance] = {}

    def admit(
        self,
        organisation: str,
        limit: Limit,
        n_tokens: float,
        *,
        n_nodes: int,
        now: float,
    ) -> NotRun | None:
        """Take a place and ``n_tokens``, or return a refusal.

        `settle` corrects the charge by what the generation produced.
        """
        if limit.n_tokens_per_second is None and limit.n_concurrent is None:
            return None
        allowance = self._allowance(organisation, limit, n_nodes, now)
        if (
            limit.n_concurrent is not None
            and allowance.n_places_used >= allowance.n_places
        ):
            allowance.n_refused += 1
            return _refusal("concurrency_limit", PLACE_RETRY_SECONDS)
        if limit.n_tokens_per_second is not None:
            if allowance.n_tokens <= 0:
                allowance.n_refused += 1
                seconds = (n_tokens - allowance.n_tokens) / limit.n_tokens_per_second
                return _refusal("token_limit", seconds)
            allowance.n_tokens -= n_tokens
        allowance.n_places_used += 1
        allowance.rate += n_tokens / PORTION_SECONDS
        return None

    def settle(self, organisation: str, n_tokens: float) -> None:
        """Charge tokens beyond those taken; a negative number returns some."""
        allowance = self._allowances.get(organisation)
        if allowance is not None:
            allowance.n_tokens -= n_tokens

    def release(self, organisation: str) -> None:
        """Return the place of a generation that has ended."""
        allowance = self._allowances.get(organisation)
        if allowance is not None:
            allowance.n_places_used = max(0, allowance.n_places_used - 1)

    def requests(self, now: float) -> list[LoanRequest]:
        """Return the loan requests that are due, to be sent to the limit homes."""
        due = []
        for organisation, allowance in list(self._allowances.items()):
            if self._is_due(allowance, now):
                allowance.requested_at = now
                if allowance.unanswered_since is None:
                    allowance.unanswered_since = now
                _update_spare(allowance, now)
                due.append(self._loan_request(organisation, allowance))
                allowance.n_refused = 0
            elif (
                allowance.n_places_used == 0
                and now - allowance.updated_at > LEASE_SECONDS
            ):
                del self._allowances[organisation]
        return due

    def receive(self, loan: Loan, now: float) -> None:
        """Apply a limit home's answer."""
        allowance = self._allowances.get(loan.organisation)
        if allowance is None:
            return
        allowance.n_tokens += loan.n_tokens
        allowance.n_places = loan.n_places
        allowance.answered_at = now
        allowance.unanswered_since = None

    def _allowance(
        self, organisation: str, limit: Limit, n_nodes: int, now: float
    ) -> _Allowance:
        allowance = self._allowances.get(organisation)
        if allowance is None:
            allowance = self._allowances[organisation] = _Allowance(
                limit=limit, updated_at=now
            )
            # The first request isn't delayed by an exchange: it uses the even share.
            allowance.n_places = max(1, (limit.n_concurrent or 0) // max(1, n_nodes))
            allowance.n_tokens = (limit.n_tokens_per_second or 0) / max(1, n_nodes)
        allowance.limit = limit
        seconds = now - allowance.updated_at
        allowance.updated_at = now
        allowance.rate *= 0.5 ** (seconds / PORTION_SECONDS)
        if _is_lender_lost(allowance, now):
            # Without a lender each node uses its even share. Together the nodes keep
            # to the limit, though a busy node gets less than it could. Waiting for
            # the lender would refuse every request; admitting without it would
            # refuse none.
            rate = (limit.n_tokens_per_second or 0) / max(1, n_nodes)
            burst = rate * BURST_SECONDS
            if allowance.n_tokens < burst:
                allowance.n_tokens = min(burst, allowance.n_tokens + rate * seconds)
            allowance.n_places = max(1, (limit.n_concurrent or 0) // max(1, n_nodes))
        return allowance

    def _is_due(self, allowance: _Allowance, now: float) -> bool:
        if now - allowance.requested_at >= RENEW_SECONDS:
            return True
        if now - allowance.requested_at < PORTION_SECONDS / 4:
            return False
        return (
            allowance.n_refused > 0
            or allowance.n_tokens < allowance.rate * PORTION_SECONDS / 2
        )

    def _loan_request(self, organisation: str, allowance: _Allowance) -> LoanRequest:
        rate = allowance.limit.n_tokens_per_second or 0
        n_tokens_target = max(
            allowance.rate * 2 * PORTION_SECONDS, rate * PORTION_SECONDS / 16
        )
        n_places = allowance.n_places_used + allowance.n_spare
        return LoanRequest(
            organisation=organisation,
            borrower=self._name,
            n_tokens=max(0, int(n_tokens_target - allowance.n_tokens)),
            n_places=n_places,
            n_places_used=allowance.n_places_used,
        )


def _update_spare(allowance: _Allowance, now: float) -> None:
    # One spare place, and one for each refused request. These are kept until the
    # refused callers had time to retry. If they were returned with the next exchange,
    # a burst would be admitted one request at a time.
    if allowance.n_refused:
        allowance.n_spare = 1 + allowance.n_refused
        allowance.spare_until = now + RENEW_SECONDS
    elif now >= allowance.spare_until:
        allowance.n_spare = 1


def _is_lender_lost(allowance: _Allowance, now: float) -> bool:
    if allowance.unanswered_since is None:
        return False
    return now - allowance.unanswered_since > LENDER_TIMEOUT_SECONDS


def _unexpired(leases: dict[str, _Lease], now: float) -> dict[str, _Lease]:
    return {name: lease for name, lease in leases.items() if lease.expires_at > now}


def _refusal(reason: str, seconds: float) -> NotRun:
    bounded = min(max(seconds, RETRY_AFTER_MIN), RETRY_AFTER_MAX)
    return NotRun(
        reason=reason,
        detail="the organisation's limit is used up",
        retry_after=bounded,
    )
