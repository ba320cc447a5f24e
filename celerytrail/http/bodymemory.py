"""Memory of the bodies that a process holds."""

from __future__ import annotations

from result import Err, Ok, Result

MAX_BODY_BYTES = 4 * 1024 * 1024
# Bodies that are held at most, without the first bytes of each: small ones are held
# however large others grow.
MAX_HELD_BYTES = 16 * 1024 * 1024
FREE_BODY_BYTES = 64 * 1024


class BodyMemory:
    """Bounds the memory of all bodies that are held at the same time.

    Parameters
    ----------
    n_max_bytes : int
        Bytes of all bodies together, without the first `FREE_BODY_BYTES` of each.
    """

    def __init__(self, *, n_max_bytes: int = MAX_HELD_BYTES) -> None:
        self._n_max_bytes = n_max_bytes
        self.n_held_bytes = 0

    def resize(self, n_before: int, n_after: int) -> bool:
        """Record a body's new size in bytes, unless there is no memory for it."""
        n_more = _n_counted(n_after) - _n_counted(n_before)
        if n_more > 0 and self.n_held_bytes + n_more > self._n_max_bytes:
            return False
        self.n_held_bytes += n_more
        return True


class HeldBody:
    """Collects a body in memory that it shares with others.

    Parameters
    ----------
    memory : BodyMemory
        Counts its bytes until `release`.
    n_max_bytes : int
        The largest size of this body.
    """

    def __init__(
        self, *, memory: BodyMemory, n_max_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self._memory = memory
        self._n_max_bytes = n_max_bytes
        self._data = bytearray()

    def add(self, data: bytes) -> Result[None, str]:
        """Append bytes; the error is ``too_large`` or ``no_memory``."""
        n_bytes = len(self._data) + len(data)
        if n_bytes > self._n_max_bytes:
            return Err("too_large")
        if not self._memory.resize(len(self._data), n_bytes):
            return Err("no_memory")
        self._data += data
        return Ok(None)

    def content(self) -> bytes:
        """Return what has been collected."""
        return bytes(self._data)

    def release(self) -> None:
        """Drop the bytes and give their memory back."""
        self._memory.resize(len(self._data), 0)
        self._data = bytearray()


def _n_counted(n_bytes: int) -> int:
    return max(0, n_bytes - FREE_BODY_BYTES)
