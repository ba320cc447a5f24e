"""Rows in tables with one version counter, changed by whole transactions."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Where a row stands: its table and its key.
Place = tuple[str, str]


@dataclass(frozen=True, kw_only=True)
class StoredRow:
    """One row; ``value`` is base64 text, and None where it was removed."""

    table: str
    key: str
    value: str | None = None
    version: int = 0


class RowTable:
    """Rows in memory.

    Each transaction gets the next number of one counter as the version of what it
    changed, so a version never comes back, not even after a removal.
    """

    def __init__(self) -> None:
        self.version = 0
        self._rows: dict[Place, StoredRow] = {}

    def commit(
        self,
        expected: Mapping[Place, int],
        writes: Mapping[Place, str],
        removed: Iterable[Place],
    ) -> list[StoredRow]:
        """Apply all or nothing; returns the rows expected, if any stands in the way."""
        known = {place: self._live(place) for place in expected}
        if any(known[place].version != version for place, version in expected.items()):
            return list(known.values())
        self.version += 1
        for place in removed:
            self._put(place, None)
        for place, value in writes.items():
            self._put(place, value)
        return []

    def find(
        self, table: str, start: str, end: str | None, limit: int
    ) -> list[StoredRow]:
        """Return rows in the order of their keys, one more than ``limit`` at most."""
        places = sorted(
            (table, key)
            for name, key in self._rows
            if name == table and key >= start and (end is None or key < end)
        )
        rows = [self._rows[place] for place in places]
        return [row for row in rows if row.value is not None][: limit + 1]

    def since(self, table: str, version: int) -> list[StoredRow]:
        """Return what changed after a version, in order."""
        found = [
            row
            for row in self._rows.values()
            if row.table == table and row.version > version
        ]
        return sorted(found, key=lambda row: row.version)

    def copy(self) -> RowTable:
        """Return the rows as they are now."""
        other = RowTable()
        other.version = self.version
        other._rows = dict(self._rows)
        return other

    def _put(self, place: Place, value: str | None) -> None:
        table, key = place
        self._rows[place] = StoredRow(
            table=table, key=key, value=value, version=self.version
        )

    def _live(self, place: Place) -> StoredRow:
        table, key = place
        row = self._rows.get(place)
        if row is None or row.value is None:
            return StoredRow(table=table, key=key)
        return row
