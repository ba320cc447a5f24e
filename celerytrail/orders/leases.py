"""Leases in the platform's table, with fencing numbers.

A lease lets one node act on something for a while. No clock is shared: the holder
counts the lease from just before it asked for it, on its own monotonic clock, and
anyone else counts from when it first saw the row, on its own. So the holder's count
always ends first, by at least the time a write takes.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..platform.client import InDoubt, Unavailable
from ..platform.table import Check, Put, Row, Table, Transaction

LEASE_PREFIX = "leases/"
LEASE_SECONDS = 15.0
# Covers clocks that run at different rates and requests that are on their way when
# the holder's count ends.
MARGIN_SECONDS = 5.0
MAX_OBSERVED = 10_000


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRow:
    """The value of a lease's row.

    Parameters
    ----------
    holder : str
        An id that is new for each taking; empty when nobody holds it.
    fencing : int
        Rises with each taking and never falls, also while nobody holds the lease.
    seconds : float
        How long the holder counts. This is a duration, as clocks are not shared.
    document_version : int
        The highest version of the document under which it was ever taken.
    """

    holder: str
    fencing: int
    seconds: float
    document_version: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Lease:
    """A lease that this process took.

    Parameters
    ----------
    name : str
        What it is on.
    holder : str
        This taking's id.
    fencing : int
        Sent with each act, so that a peer can refuse those of an earlier holder.
    version : int
        The row's version.
    deadline : float
        Monotonic time after which nothing may be done under it.
    is_after_lapse : bool
        Whether it was taken from a holder that never gave it up, and so may wake up.
    """

    name: str
    holder: str
    fencing: int
    version: int
    deadline: float
    is_after_lapse: bool = False

    def holds(self, now: float) -> bool:
        """Return whether acting is allowed; to be asked right before each act."""
        return now < self.deadline


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The lease can't be had now.

    Parameters
    ----------
    reason : str
        ``held``, ``old_document``, ``store_down``, ``in_doubt`` or ``bad_row``.
    ask_at : float
        Monotonic time at which to try again.
    """

    reason: str
    ask_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Observed:
    version: int
    since: float


class LeaseKeeper:
    """Takes, renews and gives up leases.

    Parameters
    ----------
    table : Table
        Where the rows are.
    holder : str
        Names this process.
    clock : Clock
        Its monotonic time must be the loop's.
    rng : random.Random
        Draws the ids of takings.
    """

    def __init__(
        self, *, table: Table, holder: str, clock: Clock, rng: random.Random
    ) -> None:
        self._table = table
        self._holder = holder
        self._clock = clock
        self._rng = rng
        self._observed: dict[str, _Observed] = {}

    async def take(
        self,
        name: str,
        *,
        document_version: int,
        deadline: float,
        seconds: float = LEASE_SECONDS,
        above: int = 0,
    ) -> Result[Lease, Refused]:
        """Take a lease, where nobody holds it or its holder's time is long over.

        Parameters
        ----------
        name : str
            What it is on.
        document_version : int
            The version this node serves by. A node that slept through a version must
            not act by the old one where a newer one has been acted on.
        deadline : float
            Monotonic time until which to try.
        seconds : float
            How long to hold it.
        above : int
            A fencing number that a peer is known to have seen.
        """
        key = LEASE_PREFIX + name
        read = await self._table.read([key], deadline)
        if isinstance(read, Err):
            return Err(self._refused("store_down", read.err_value.retry_after))
        row = read.ok_value.get(key, Row(key=key))
        standing = _decode(row)
        if standing is None:
            return Err(self._refused("bad_row", LEASE_SECONDS))
        if document_version < standing.document_version:
            return Err(self._refused("old_document", 1.0))
        ask_at = self._free_at(name, row.version, standing)
        if self._clock.monotonic() < ask_at:
            return Err(Refused(reason="held", ask_at=ask_at))
        wanted = LeaseRow(
            holder=f"{self._holder}-{self._rng.getrandbits(64):016x}",
            fencing=max(standing.fencing, above) + 1,
            seconds=seconds,
            document_version=document_version,
        )
        taken = await self._write(name, wanted, row.version, deadline)
        if isinstance(taken, Ok) and standing.holder:
            log_message("leases:taken_over", name=name, former=standing.holder)
            return Ok(replace(taken.ok_value, is_after_lapse=True))
        return taken

    async def renew(
        self, lease: Lease, deadline: float, seconds: float = LEASE_SECONDS
    ) -> Result[Lease, Refused]:
        """Hold a lease for longer; after a failure its former deadline still counts."""
        wanted = LeaseRow(holder=lease.holder, fencing=lease.fencing, seconds=seconds)
        read = await self._table.read([LEASE_PREFIX + lease.name], deadline)
        if isinstance(read, Err):
            return Err(self._refused("store_down", read.err_value.retry_after))
        row = read.ok_value.get(LEASE_PREFIX + lease.name)
        standing = None if row is None else _decode(row)
        if row is None or standing is None or standing.holder != lease.holder:
            return Err(self._refused("held", LEASE_SECONDS))
        wanted = replace(wanted, document_version=standing.document_version)
        renewed = await self._write(lease.name, wanted, row.version, deadline)
        return renewed.map(lambda new: replace(new, is_after_lapse=False))

    async def give_up(self, lease: Lease, deadline: float) -> None:
        """Let others take it at once; when that fails they wait it out."""
        key = LEASE_PREFIX + lease.name
        read = await self._table.read([key], deadline)
        row = read.ok_value.get(key) if isinstance(read, Ok) else None
        standing = None if row is None else _decode(row)
        if row is None or standing is None or standing.holder != lease.holder:
            return
        freed = replace(standing, holder="")
        await self._table.transact(_transaction(key, freed, row.version), deadline)

    def _free_at(self, name: str, version: int, standing: LeaseRow) -> float:
        """Return when a row that has stood unchanged is surely its holder's no more."""
        if not standing.holder:
            self._observed.pop(name, None)
            return 0.0
        seen = self._observed.get(name)
        if seen is None or seen.version != version:
            if len(self._observed) >= MAX_OBSERVED:
                self._observed.clear()
            seen = _Observed(version=version, since=self._clock.monotonic())
            self._observed[name] = seen
        return seen.since + standing.seconds + MARGIN_SECONDS

    async def _write(
        self, name: str, wanted: LeaseRow, version: int, deadline: float
    ) -> Result[Lease, Refused]:
        key = LEASE_PREFIX + name
        # Counted from before the request: counted from its answer, a slow answer would
        # make this process believe in the lease when others may have taken it.
        until = self._clock.monotonic() + wanted.seconds
        result = await self._table.transact(
            _transaction(key, wanted, version), deadline
        )
        match result:
            case Ok(committed):
                return Ok(_lease(name, wanted, committed.versions[key], until))
            case Err(InDoubt()):
                return await self._settle(name, wanted, version, until, deadline)
            case Err(Unavailable(retry_after=retry_after)):
                return Err(self._refused("store_down", retry_after))
            case _:
                return Err(self._refused("held", wanted.seconds))

    async def _settle(
        self,
        name: str,
        wanted: LeaseRow,
        former_version: int,
        until: float,
        deadline: float,
    ) -> Result[Lease, Refused]:
        """Find out by our taking's id whether a write whose reply was lost stands.

        A renewal finds that id also in the row it was to replace. Were that taken for
        success, this process would count from now while others count from then.
        """
        key = LEASE_PREFIX + name
        read = await self._table.read([key], deadline)
        row = read.ok_value.get(key) if isinstance(read, Ok) else None
        is_new = row is not None and row.version != former_version
        if row is not None and is_new and _is_held_by(row, wanted):
            return Ok(_lease(name, wanted, row.version, until))
        return Err(self._refused("in_doubt", 1.0))

    def _refused(self, reason: str, seconds: float) -> Refused:
        return Refused(reason=reason, ask_at=self._clock.monotonic() + seconds)


def _lease(name: str, row: LeaseRow, version: int, until: float) -> Lease:
    return Lease(
        name=name,
        holder=row.holder,
        fencing=row.fencing,
        version=version,
        deadline=until,
    )


def _transaction(key: str, row: LeaseRow, version: int) -> Transaction:
    return Transaction(
        checks=(Check(key=key, version=version),),
        puts=(Put(key=key, value=msgspec.to_builtins(row)),),
    )


def _is_held_by(row: Row, wanted: LeaseRow) -> bool:
    standing = _decode(row)
    return standing is not None and standing.holder == wanted.holder


def _decode(row: Row) -> LeaseRow | None:
    if row.version == 0:
        return LeaseRow(holder="", fencing=0, seconds=0.0)
    try:
        return msgspec.convert(row.value, LeaseRow)
    except msgspec.ValidationError as exc:
        log_message("leases:bad_row", place=row.key, problem=str(exc))
        return None
