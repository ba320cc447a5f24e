"""Rows in tables with one version counter, changed by whole transactions."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# A row's table and key.
RowId = tuple[str, str]


@dataclass(frozen=True, kw_only=True)
class StoredRow:
    """One row; ``value`` is base64 text, or None for a removed row."""

    table: str
    key: str
    value: str | None = None
    version: int = 0


class RowTable:
    """Rows in memory.

    Each transaction takes the next number of one counter as the version of the rows
    that it changes, so a version is never reused, not even after a removal.
    """

    def __init__(self) -> None:
        self.version = 0
        self._rows: dict[RowId, StoredRow] = {}

    def commit(
        self,
        expected: Mapping[RowId, int],
        writes: Mapping[RowId, str],
        removed: Iterable[RowId],
    ) -> list[StoredRow]:
        """Apply a transaction; on a conflict returns the current expected rows."""
        current = {row_id: self._get_live(row_id) for row_id in expected}
        if any(
            current[row_id].version != version for row_id, version in expected.items()
        ):
            return list(current.values())
        self.version += 1
        for row_id in removed:
            self._put(row_id, None)
        for row_id, value in writes.items():
            self._put(row_id, value)
        return []

    def find(
        self, table: str, start: str, end: str | None, limit: int
    ) -> list[StoredRow]:
        """Return rows in the order of their keys, at most ``limit`` + 1 of them."""
        row_ids = sorted(
            (table, key)
            for row_table, key in self._rows
            if row_table == table and key >= start and (end is None or key < end)
        )
        rows = [self._rows[row_id] for row_id in row_ids]
        return [row for row in rows if row.value is not None][: limit + 1]

    def changed_since(self, table: str, version: int) -> list[StoredRow]:
        """Return the rows changed after a version, ordered by version."""
        changed = [
            row
            for row in self._rows.values()
            if row.table == table and row.version > version
        ]
        return sorted(changed, key=lambda row: row.version)

    def copy(self) -> RowTable:
        """Return a snapshot of the rows."""
        other = RowTable()
        other.version = self.version
        other._rows = dict(self._rows)
        return other

    def _put(self, row_id: RowId, value: str | None) -> None:
        table, key = row_id
        self._rows[row_id] = StoredRow(
            table=table, key=key, value=value, version=self.version
        )

    def _get_live(self, row_id: RowId) -> StoredRow:
        table, key = row_id
        row = self._rows.get(row_id)
        if row is None or row.value is None:
            return StoredRow(table=table, key=key)
        return row
