"""The interface through which the relay reads and writes the platform's tables."""

from __future__ import annotations

import abc
from dataclasses import dataclass

from result import Result


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One row of a table; ``value`` is None if the row was removed."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Changes:
    """Rows and the version of the table at which they were read.

    ``age_seconds`` is the age of that version when the request was answered, 0 for an
    answer of the store itself. ``waited_seconds`` is how long the request waited there
    for changes. ``source`` is the node that answered, empty for the store.
    """

    rows: tuple[Row, ...]
    version: int
    age_seconds: float = 0.0
    waited_seconds: float = 0.0
    source: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreUnavailable:
    """The store was not reached or refused the request, which had no effect."""

    reason: str
    status: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreInDoubt:
    """A write may have taken effect, may do so later, or may never."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryTruncated:
    """The changes since that version are no longer kept; read the whole table."""


class RowSource(abc.ABC):
    """Reads, follows and writes rows; deadlines are in seconds of the loop's time."""

    @abc.abstractmethod
    async def read(
        self, table: str, deadline: float, *, at_least: int = 0
    ) -> Result[Changes, StoreUnavailable]:
        """Read a whole table as of one version, ``at_least`` or newer."""

    @abc.abstractmethod
    async def follow(
        self, table: str, after: int, wait_seconds: float, deadline: float
    ) -> Result[Changes, StoreUnavailable | HistoryTruncated]:
        """Return the changes after a version, waiting a limited time for the first."""

    @abc.abstractmethod
    async def put(
        self, table: str, key: str, value: bytes, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        """Write one row unconditionally."""

    @abc.abstractmethod
    async def drop(
        self, table: str, key: str, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        """Remove one row unconditionally."""
