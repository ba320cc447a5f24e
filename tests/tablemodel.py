"""An in-memory model of the platform's transactional table."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from celerytrail.platform.table import Check, Put


class Rows:
    """Rows with versions, changed by atomic transactions."""

    def __init__(self) -> None:
        self._rows: dict[str, dict[str, object]] = {}
        self._revision = 0

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], deletes: Sequence[str]
    ) -> tuple[dict[str, int], list[dict[str, object]]]:
        """Apply all changes or none; return new versions or the conflicting rows."""
        conflicts = [
            self._get(check.key)
            for check in checks
            if self._get(check.key)["version"] != check.version
        ]
        if conflicts:
            return {}, conflicts
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
        """Return rows with a key prefix in key order, from after the key ``after``."""
        keys = sorted(k for k in self._rows if k.startswith(prefix) and k > after)
        return self.read(keys[:limit])

    def _get(self, key: str) -> dict[str, object]:
        return self._rows.get(key, {"key": key, "value": None, "version": 0})
