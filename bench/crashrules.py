"""Reckons the rules on prompt parts that crash engines, apart from the nodes' code.

Everything is known from outside: when engines ended and by which part, which requests
they received from which machine, and what callers got.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bench.fleetcallers import RequestResult

# The end after which nodes must have learned of a part, and the requests with it that
# engines may still receive once the news had time to spread.
N_ENDS = 5
N_ALLOWED = 3
# That time, in seconds.
CONTACT_SECONDS = 3.0
# Fewer sound requests in either of the compared times show nothing.
MIN_COMPARED = 20
# Part of the usual share of requests that begin, which must still be reached.
REQUIRED_PART = 0.5


@dataclass(frozen=True, kw_only=True)
class PartCrash:
    """An engine's end by a prompt part, in seconds from the start of traffic."""

    part: str
    at: float


@dataclass(frozen=True, kw_only=True)
class PartReceipt:
    """A request with such a part that an engine received, and from which machine."""

    part: str
    at: float
    machine: str


@dataclass(frozen=True, kw_only=True)
class Absence:
    """A time in which a machine was out of touch."""

    machine: str
    since: float
    until: float


def _ends(crashes: Iterable[PartCrash], part: str) -> list[float]:
    return sorted(crash.at for crash in crashes if crash.part == part)


def late_receipts(
    part: str,
    crashes: Sequence[PartCrash],
    receipts: Iterable[PartReceipt],
    absences: Sequence[Absence] = (),
) -> list[PartReceipt]:
    """Return the requests with a part that came too late, three of which are allowed.

    Those of machines out of touch, or less than the contact time back, don't count.
    """
    ends = _ends(crashes, part)
    if len(ends) < N_ENDS:
        return []
    since = ends[N_ENDS - 1] + CONTACT_SECONDS

    def is_in_touch(receipt: PartReceipt) -> bool:
        return not any(
            absence.machine == receipt.machine
            and absence.since <= receipt.at < absence.until + CONTACT_SECONDS
            for absence in absences
        )

    return [
        receipt
        for receipt in receipts
        if receipt.part == part and receipt.at > since and is_in_touch(receipt)
    ]


@dataclass(frozen=True, kw_only=True)
class SoundShares:
    """Shares of sound requests that began at their first attempt.

    ``n_usual`` and ``n_after`` are how many requests each share is of.
    """

    usual: float
    after: float
    n_usual: int
    n_after: int

    @property
    def is_lost(self) -> bool:
        """Return whether too few began once the part had to be known."""
        if min(self.n_usual, self.n_after) < MIN_COMPARED:
            return False
        return self.after < REQUIRED_PART * self.usual


def sound_shares(
    part: str,
    crashes: Sequence[PartCrash],
    results: Sequence[RequestResult],
    *,
    first_at: float,
    last_at: float,
) -> SoundShares:
    """Compare sound requests before the part came with those once it must be known.

    Parameters
    ----------
    part : str
        The part.
    crashes : sequence of PartCrash
        The engines' ends.
    results : sequence of RequestResult
        What callers got; those of requests with a part that crashes are left out.
    first_at, last_at : float
        When the first and the last request with the part came.
    """
    bad = {crash.part for crash in crashes}
    sound = [res for res in results if not res.parts & bad]
    ends = _ends(crashes, part)
    known_at = first_at
    if ends:
        known_at = ends[min(len(ends), N_ENDS) - 1] + 2 * CONTACT_SECONDS
    usual = [res for res in sound if res.at < first_at]
    after = [res for res in sound if known_at <= res.at <= last_at]
    return SoundShares(
        usual=_begun_share(usual),
        after=_begun_share(after),
        n_usual=len(usual),
        n_after=len(after),
    )


def _begun_share(results: Sequence[RequestResult]) -> float:
    begun = sum(
        res.first_attempt_seconds is not None
        and res.first_attempt_seconds <= res.kind.target
        for res in results
    )
    return begun / max(1, len(results))
