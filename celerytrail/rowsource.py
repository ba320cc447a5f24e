"""What the relay needs of the platform's table of rows."""

from __future__ import annotations

import abc
from dataclasses import dataclass

from result import Result


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One row; ``value`` is None where it was removed."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Changes:
    """Rows, and the version of the table as of which they were read.

    ``age_seconds`` is how old that was when the question was answered; 0 from the store
    itself. ``waited_seconds`` is how long the question waited there for news.
    ``source`` is the node that told it, empty for the store.
    """

    rows: tuple[Row, ...]
    version: int
    age_seconds: float = 0.0
    waited_seconds: float = 0.0
    source: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreUnavailable:
    """The store was not reached or refused: certainly without effect."""

    reason: str
    status: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreInDoubt:
    """A write may or may not have had its effect, now or later."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryGone:
    """The changes since that version are no longer known; read the whole table."""


class RowSource(abc.ABC):
    """Reads, follows and writes rows; deadlines are loop time in seconds."""

    @abc.abstractmethod
    async def read(
        self, table: str, deadline: float, *, at_least: int = 0
    ) -> Result[Changes, StoreUnavailable]:
        """Read a whole table as of one moment, at a source that knows a version."""

    @abc.abstractmethod
    async def follow(
        self, table: str, after: int, wait_seconds: float, deadline: float
    ) -> Result[Changes, StoreUnavailable | HistoryGone]:
        """Return what changed after a version, waiting a while for something."""

    @abc.abstractmethod
    async def put(
        self, table: str, key: str, value: bytes, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        """Write one row without a condition."""

    @abc.abstractmethod
    async def drop(
        self, table: str, key: str, deadline: float
    ) -> Result[None, StoreUnavailable | StoreInDoubt]:
        """Remove one row without a condition."""
