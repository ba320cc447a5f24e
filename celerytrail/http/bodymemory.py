"""Memory of the bodies that a process holds."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

from result import Err, Ok, Result

MAX_BODY_BYTES = 4 * 1024 * 1024
# The first bytes of each body count apart from the rest: small bodies are held however
# large others grow. Both parts have the same bound.
MAX_HELD_BYTES = 16 * 1024 * 1024
FREE_BODY_BYTES = 64 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class _Waiter:
    """A body that waits for memory; the future is done once it has been counted."""

    n_bytes: int
    fut: asyncio.Future[None]


class BodyMemory:
    """Bounds the memory of all bodies that are held at the same time.

    Parameters
    ----------
    n_max_bytes : int
        Bytes of all bodies together, without the first `FREE_BODY_BYTES` of each.
    n_max_first_bytes : int
        The first `FREE_BODY_BYTES` of all bodies together.
    """

    def __init__(
        self,
        *,
        n_max_bytes: int = MAX_HELD_BYTES,
        n_max_first_bytes: int = MAX_HELD_BYTES,
    ) -> None:
        self._n_max_bytes = n_max_bytes
        self._n_max_first_bytes = n_max_first_bytes
        self.n_held_bytes = 0
        self.n_held_first_bytes = 0
        self._waiting: deque[_Waiter] = deque()

    @property
    def n_all_bytes(self) -> int:
        """Return the bytes of all bodies."""
        return self.n_held_bytes + self.n_held_first_bytes

    def has_room(self, n_bytes: int) -> bool:
        """Return whether a new body of so many bytes may be held now."""
        n_first = min(n_bytes, FREE_BODY_BYTES)
        n_rest = n_bytes - n_first
        return self._may_grow(n_first, n_rest)

    def resize(self, n_before: int, n_after: int) -> bool:
        """Record a body's new size in bytes, unless there is no memory for it."""
        n_first = min(n_after, FREE_BODY_BYTES) - min(n_before, FREE_BODY_BYTES)
        n_rest = n_after - n_before - n_first
        if not self._may_grow(n_first, n_rest):
            return False
        self._add(n_first, n_rest)
        return True

    async def reserve(self, n_bytes: int, deadline: float | None) -> bool:
        """Count a whole body, waiting for memory in the order of the calls.

        Bodies that took what they need piece by piece would wait for one another.

        Returns
        -------
        bool
            Whether it was counted by the deadline (loop time); without a deadline, at
            once.
        """
        if not self._waiting and self.resize(0, n_bytes):
            return True
        if deadline is None:
            return False
        waiter = _Waiter(
            n_bytes=n_bytes, fut=asyncio.get_running_loop().create_future()
        )
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter.fut
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            if waiter.fut.done() and not waiter.fut.cancelled():
                self.release(n_bytes)
            raise
        finally:
            self._count_waiting()
        return True

    def hold(self, n_bytes: int) -> None:
        """Count a body that is there already, whether or not there is room for it."""
        n_first = min(n_bytes, FREE_BODY_BYTES)
        self._add(n_first, n_bytes - n_first)

    def release(self, n_bytes: int) -> None:
        """Give the memory of a body back."""
        n_first = min(n_bytes, FREE_BODY_BYTES)
        self._add(-n_first, n_first - n_bytes)
        self._count_waiting()

    def _count_waiting(self) -> None:
        """Count the bodies that wait, as long as there is room for the next one."""
        while self._waiting:
            waiter = self._waiting[0]
            if not waiter.fut.done():
                if not self.resize(0, waiter.n_bytes):
                    return
                waiter.fut.set_result(None)
            self._waiting.popleft()

    def _may_grow(self, n_first: int, n_rest: int) -> bool:
        has_first = self.n_held_first_bytes + n_first <= self._n_max_first_bytes
        has_rest = self.n_held_bytes + n_rest <= self._n_max_bytes
        return (n_first <= 0 or has_first) and (n_rest <= 0 or has_rest)

    def _add(self, n_first: int, n_rest: int) -> None:
        self.n_held_first_bytes += n_first
        self.n_held_bytes += n_rest


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
        # Bytes that the memory counts for it, from the first one on.
        self._n_counted_bytes = 0

    async def reserve(self, n_bytes: int, deadline: float | None) -> bool:
        """Count all bytes before they come; see `BodyMemory.reserve`."""
        if not await self._memory.reserve(n_bytes, deadline):
            return False
        self._n_counted_bytes = n_bytes
        return True

    def add(self, data: bytes) -> Result[None, str]:
        """Append bytes; the error is ``too_large`` or ``no_memory``."""
        n_bytes = len(self._data) + len(data)
        if n_bytes > self._n_max_bytes:
            return Err("too_large")
        if n_bytes > self._n_counted_bytes:
            if not self._memory.resize(self._n_counted_bytes, n_bytes):
                return Err("no_memory")
            self._n_counted_bytes = n_bytes
        self._data += data
        return Ok(None)

    def content(self) -> bytes:
        """Return what has been collected."""
        return bytes(self._data)

    def release(self) -> None:
        """Drop the bytes and give their memory back."""
        self._memory.release(self._n_counted_bytes)
        self._n_counted_bytes = 0
        self._data = bytearray()
