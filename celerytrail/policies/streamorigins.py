"""What began the streams that callers may still take up elsewhere.

The load pattern: every stream of a resumable route is recorded once, at its first
event, and few of them are ever asked for, within the time that their callers wait.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

# Records kept at most, about 10 MB. A stream whose record was dropped is unknown.
MAX_RECORDS = 50_000
KEY_BYTES = 12


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamOrigin:
    """The service and the software version that began a stream.

    The version is empty if it isn't known.
    """

    service: str
    version: str


@dataclass(frozen=True, kw_only=True, slots=True)
class _Record:
    # None if two statements contradict each other.
    origin: StreamOrigin | None
    expires_at: float


def stream_key(organisation: str | None, attempt_id: str) -> bytes:
    """Return the key of a stream, by the attempt that brought its first event.

    The organisation is part of it, so an id tells nothing to another organisation.
    """
    text = f"{len(organisation or '')} {organisation or ''} {attempt_id}"
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).digest()


class StreamOrigins:
    """Holds origins of streams until their callers have given up.

    Parameters
    ----------
    n_max : int
        Records kept at most; the oldest are dropped.
    """

    def __init__(self, *, n_max: int = MAX_RECORDS) -> None:
        self._n_max = n_max
        self._records: dict[bytes, _Record] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def record(self, key: bytes, origin: StreamOrigin, expires_at: float) -> None:
        """Record what began a stream, until its caller gives up."""
        known = self._records.pop(key, None)
        found: StreamOrigin | None = origin
        if known is not None:
            expires_at = max(expires_at, known.expires_at)
            found = _joined(known.origin, origin)
        self._records[key] = _Record(origin=found, expires_at=expires_at)
        while len(self._records) > self._n_max:
            del self._records[next(iter(self._records))]

    def find(self, key: bytes, now: float) -> StreamOrigin | None:
        """Return what began a stream, None if it isn't known."""
        known = self._records.get(key)
        if known is None or now >= known.expires_at:
            return None
        return known.origin

    def expire(self, now: float) -> None:
        """Forget the streams whose callers have given up."""
        expired = [
            key for key, known in self._records.items() if now >= known.expires_at
        ]
        for key in expired:
            del self._records[key]


def _joined(known: StreamOrigin | None, told: StreamOrigin) -> StreamOrigin | None:
    """Return what two statements say together, None if they contradict each other."""
    if known is None or known == told:
        return known
    if not told.version:
        return known
    return None if known.version else told
