"""A model of the transactional table: rows with versions in memory."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from celerytrail.platform.table import Check, Put


class Rows:
    """The table: rows with versions, changed by whole transactions."""

    def __init__(self) -> None:
        self._rows: dict[str, dict[str, object]] = {}
        self._revision = 0

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], deletes: Sequence[str]
    ) -> tuple[dict[str, int], list[dict[str, object]]]:
        """Apply all or nothing; returns the versions, or the rows in the way."""
        in_the_way = [
            self._get(check.key)
            for check in checks
            if self._get(check.key)["version"] != check.version
        ]
        if in_the_way:
            return {}, in_the_way
        self._revision += 1
        for key in deletes:
            self._rows.pop(key, None)
        for put in puts:
            value = msgspec.json.decode(msgspec.json.encode(put.value))
            row = {"key": put.key, "value": value, "version": self._revision}
            self._rows[put.key] = row
        return {put.key: self._revision for put in puts}, []

    def read(self, keys: list[str]) -> list[dict[str, object]]:
        """Return the rows that exist."""
        return [self._rows[key] for key in keys if key in self._rows]

    def scan(self, prefix: str, after: str, limit: int) -> list[dict[str, object]]:
        """Return rows in the order of their keys, from beyond ``after``."""
        keys = sorted(k for k in self._rows if k.startswith(prefix) and k > after)
        return self.read(keys[:limit])

    def _get(self, key: str) -> dict[str, object]:
        return self._rows.get(key, {"key": key, "value": None, "version": 0})
