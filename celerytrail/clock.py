"""Clocks: the only source of time.

Policies never read a clock; they receive ``now`` as an argument. Deadlines within a
process are on the monotonic clock, in seconds. Times exchanged between processes are
on the wall clock, in seconds since the epoch.
"""

from __future__ import annotations

import abc
import asyncio
import time


class Clock(abc.ABC):
    """Provides monotonic, wall and boot time, all in seconds."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds on a clock that never goes backwards."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch; may jump in either direction."""

    @abc.abstractmethod
    def boottime(self) -> float:
        """Return seconds on a clock that never jumps and counts suspended time.

        The monotonic clock stops while a VM is suspended. If the age of a node's data
        were measured on it, a node resumed after a minute would treat stale data as
        fresh and accept a key that was revoked in that minute.
        """

    def deadline_of_wall(self, wall_deadline: float) -> float:
        """Convert a wall-clock deadline to the monotonic clock."""
        return self.monotonic() + (wall_deadline - self.wall())

    def wall_of_deadline(self, deadline: float) -> float:
        """Convert a monotonic deadline to the wall clock."""
        return self.wall() + (deadline - self.monotonic())


class SystemClock(Clock):
    """Reads the machine's clocks."""

    def monotonic(self) -> float:
        """Return ``time.monotonic()``."""
        return time.monotonic()

    def wall(self) -> float:
        """Return ``time.time()``."""
        return time.time()

    def boottime(self) -> float:
        """Return seconds since the machine booted, time suspended included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class LoopClock(Clock):
    """Reads the running event loop's clock, with a settable wall time.

    Under ``looptime`` the loop's time is virtual, so a test simulates an hour in under
    a second. A test changes ``wall_offset`` to make the wall clock jump.

    Parameters
    ----------
    wall_offset : float
        Seconds from the loop's time to the wall time.

    Attributes
    ----------
    suspended_seconds : float
        How long the machine was suspended; the loop's time does not include it.
    """

    def __init__(self, *, wall_offset: float = 1_700_000_000.0) -> None:
        self.wall_offset = wall_offset
        self.suspended_seconds = 0.0

    def monotonic(self) -> float:
        """Return the running loop's time."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the boot time plus the offset."""
        return self.boottime() + self.wall_offset

    def boottime(self) -> float:
        """Return the loop's time plus the time suspended."""
        return self.monotonic() + self.suspended_seconds


class ManualClock(Clock):
    """Keeps a time that changes only when advanced; for tests and the bench."""

    def __init__(self, *, start: float = 0.0, wall_offset: float = 0.0) -> None:
        self.time = start
        self.wall_offset = wall_offset

    def monotonic(self) -> float:
        """Return the current time."""
        return self.time

    def wall(self) -> float:
        """Return the current time plus the offset."""
        return self.time + self.wall_offset

    def boottime(self) -> float:
        """Return the current time."""
        return self.time

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds``."""
        self.time += seconds
