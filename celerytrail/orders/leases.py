"""Leases in the platform's table, with fencing numbers.

A lease lets one node act on a resource for a limited time. Nodes share no clock: the
holder counts the lease from just before it sent the request, and every other node
counts from when it first read the row, each on its own monotonic clock. So the
holder's count always ends first, by at least the time that a write takes.
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
# Covers clocks that run at different rates and requests still in flight when the
# holder's count ends.
MARGIN_SECONDS = 5.0
MAX_OBSERVATIONS = 10_000


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRow:
    """The value of a lease's row.

    Parameters
    ----------
    holder : str
        The id of the acquisition, new each time; empty while the lease is free.
    fencing : int
        Rises with each acquisition and never falls, also while the lease is free.
    seconds : float
        How long the lease lasts: a duration, as nodes share no clock.
    document_version : int
        The highest document version under which the lease was ever taken.
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
        The resource that it covers.
    holder : str
        The id of this acquisition.
    fencing : int
        Sent with each action, so that a peer can refuse those of an earlier holder.
    version : int
        The row's version.
    deadline : float
        Monotonic time from which the lease no longer allows any action.
    is_after_lapse : bool
        Whether the former holder never released it and may still resume its work.
    """

    name: str
    holder: str
    fencing: int
    version: int
    deadline: float
    is_after_lapse: bool = False

    def is_valid(self, now: float) -> bool:
        """Return whether the lease allows an action; check right before each one."""
        return now < self.deadline


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRefusal:
    """The reason why a lease can't be taken or renewed now.

    Parameters
    ----------
    reason : str
        ``held``, ``old_document``, ``store_down``, ``in_doubt`` or ``bad_row``.
    retry_at : float
        Monotonic time at which to try again.
    """

    reason: str
    retry_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Observation:
    """A row's version and the monotonic time at which it was first read."""

    version: int
    first_seen_at: float


class LeaseKeeper:
    """Takes, renews and releases leases.

    Parameters
    ----------
    table : Table
        Holds the rows.
    holder : str
        The name of this process; begins the id of each acquisition.
    clock : Clock
        Its monotonic time must be the event loop's.
    rng : random.Random
        Draws the random part of the ids of acquisitions.
    """

    def __init__(
        self, *, table: Table, holder: str, clock: Clock, rng: random.Random
    ) -> None:
        self._table = table
        self._holder = holder
        self._clock = clock
        self._rng = rng
        self._observations: dict[str, _Observation] = {}

    async def take(
        self,
        name: str,
        *,
        document_version: int,
        deadline: float,
        duration_seconds: float = LEASE_SECONDS,
        seen_fencing: int = 0,
    ) -> Result[Lease, LeaseRefusal]:
        """Take a lease that is free or whose holder's time has surely expired.

        Parameters
        ----------
        name : str
            The resource that it covers.
        document_version : int
            The document version that this node serves by. A node that missed a
            version must not act by an older one than was already acted on.
        deadline : float
            Monotonic time until which to try.
        duration_seconds : float
            How long to hold the lease.
        seen_fencing : int
            A fencing number that a peer has seen; the lease gets a higher one.
        """
        key = LEASE_PREFIX + name
        read = await self._table.read([key], deadline)
        if isinstance(read, Err):
            return Err(self._refusal("store_down", read.err_value.retry_after))
        row = read.ok_value.get(key, Row(key=key))
        current = _decode(row)
        if current is None:
            return Err(self._refusal("bad_row", LEASE_SECONDS))
        if document_version < current.document_version:
            return Err(self._refusal("old_document", 1.0))
        retry_at = self._free_at(name, row.version, current)
        if self._clock.monotonic() < retry_at:
            return Err(LeaseRefusal(reason="held", retry_at=retry_at))
        lease_row = LeaseRow(
            holder=f"{self._holder}-{self._rng.getrandbits(64):016x}",
            fencing=max(current.fencing, seen_fencing) + 1,
            seconds=duration_seconds,
            document_version=document_version,
        )
        taken = await self._write(name, lease_row, row.version, deadline)
        if isinstance(taken, Ok) and current.holder:
            log_message("leases:taken_over", name=name, former=current.holder)
            return Ok(replace(taken.ok_value, is_after_lapse=True))
        return taken

    async def renew(
        self, lease: Lease, deadline: float, duration_seconds: float = LEASE_SECONDS
    ) -> Result[Lease, LeaseRefusal]:
        """Extend a lease; if that fails, its former deadline still applies."""
        lease_row = LeaseRow(
            holder=lease.holder, fencing=lease.fencing, seconds=duration_seconds
        )
        read = await self._table.read([LEASE_PREFIX + lease.name], deadline)
        if isinstance(read, Err):
            return Err(self._refusal("store_down", read.err_value.retry_after))
        row = read.ok_value.get(LEASE_PREFIX + lease.name)
        current = None if row is None else _decode(row)
        if row is None or current is None or current.holder != lease.holder:
            return Err(self._refusal("held", LEASE_SECONDS))
        lease_row = replace(lease_row, document_version=current.document_version)
        renewed = await self._write(lease.name, lease_row, row.version, deadline)
        return renewed.map(lambda new: replace(new, is_after_lapse=False))

    async def release(self, lease: Lease, deadline: float) -> None:
        """Free a lease at once; if that fails, others wait until it has expired."""
        key = LEASE_PREFIX + lease.name
        read = await self._table.read([key], deadline)
        row = read.ok_value.get(key) if isinstance(read, Ok) else None
        current = None if row is None else _decode(row)
        if row is None or current is None or current.holder != lease.holder:
            return
        freed = replace(current, holder="")
        await self._table.transact(_make_transaction(key, freed, row.version), deadline)

    def _free_at(self, name: str, version: int, current: LeaseRow) -> float:
        """Return when a row, if unchanged until then, has surely expired."""
        if not current.holder:
            self._observations.pop(name, None)
            return 0.0
        observation = self._observations.get(name)
        if observation is None or observation.version != version:
            if len(self._observations) >= MAX_OBSERVATIONS:
                self._observations.clear()
            observation = _Observation(
                version=version, first_seen_at=self._clock.monotonic()
            )
            self._observations[name] = observation
        return observation.first_seen_at + current.seconds + MARGIN_SECONDS

    async def _write(
        self, name: str, lease_row: LeaseRow, version: int, deadline: float
    ) -> Result[Lease, LeaseRefusal]:
        key = LEASE_PREFIX + name
        # Counts from before the request. Counting from the answer, this process could
        # rely on the lease after a slow answer, when others may have taken it.
        lease_deadline = self._clock.monotonic() + lease_row.seconds
        result = await self._table.transact(
            _make_transaction(key, lease_row, version), deadline
        )
        match result:
            case Ok(committed):
                return Ok(
                    _make_lease(
                        name, lease_row, committed.versions[key], lease_deadline
                    )
                )
            case Err(InDoubt()):
                return await self._resolve_in_doubt(
                    name, lease_row, version, lease_deadline, deadline
                )
            case Err(Unavailable(retry_after=retry_after)):
                return Err(self._refusal("store_down", retry_after))
            case _:
                return Err(self._refusal("held", lease_row.seconds))

    async def _resolve_in_doubt(
        self,
        name: str,
        lease_row: LeaseRow,
        former_version: int,
        lease_deadline: float,
        deadline: float,
    ) -> Result[Lease, LeaseRefusal]:
        """Find out by the acquisition's id whether a write in doubt took effect.

        For a renewal, the row that it replaces has that id too, so the row's version
        must have changed as well. Otherwise this process would count from the failed
        renewal while others count from the write before.
        """
        key = LEASE_PREFIX + name
        read = await self._table.read([key], deadline)
        row = read.ok_value.get(key) if isinstance(read, Ok) else None
        is_new = row is not None and row.version != former_version
        if row is not None and is_new and _is_held_by(row, lease_row):
            return Ok(_make_lease(name, lease_row, row.version, lease_deadline))
        return Err(self._refusal("in_doubt", 1.0))

    def _refusal(self, reason: str, wait_seconds: float) -> LeaseRefusal:
        return LeaseRefusal(
            reason=reason, retry_at=self._clock.monotonic() + wait_seconds
        )


def _make_lease(name: str, row: LeaseRow, version: int, deadline: float) -> Lease:
    return Lease(
        name=name,
        holder=row.holder,
        fencing=row.fencing,
        version=version,
        deadline=deadline,
    )


def _make_transaction(key: str, row: LeaseRow, version: int) -> Transaction:
    return Transaction(
        checks=(Check(key=key, version=version),),
        puts=(Put(key=key, value=msgspec.to_builtins(row)),),
    )


def _is_held_by(row: Row, lease_row: LeaseRow) -> bool:
    current = _decode(row)
    return current is not None and current.holder == lease_row.holder


def _decode(row: Row) -> LeaseRow | None:
    if row.version == 0:
        return LeaseRow(holder="", fencing=0, seconds=0.0)
    try:
        return msgspec.convert(row.value, LeaseRow)
    except msgspec.ValidationError as exc:
        log_message("leases:bad_row", place=row.key, problem=str(exc))
        return None
