"""Clocks: the one place where code learns the time.

Decisions never read the time themselves; they are handed ``now``. Deadlines inside a
process are stored on the monotonic clock, in seconds; times that travel between
processes are stored on the wall clock, in seconds since the epoch.
"""

from __future__ import annotations

import abc
import asyncio
import time


class Clock(abc.ABC):
    """A source of monotonic and wall time, both in seconds."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch; it may jump either way."""

    @abc.abstractmethod
    def boottime(self) -> float:
        """Return seconds on a clock that neither jumps nor stands still.

        The monotonic clock stands still while a VM is suspended. Were the age of what a
        node knows counted on it, a node that wakes after a minute would take its
        knowledge for fresh, and let a key through that was taken away meanwhile.
        """

    def deadline_of_wall(self, wall_deadline: float) -> float:
        """Turn a deadline on the wall clock into one on the monotonic clock."""
        return self.monotonic() + (wall_deadline - self.wall())

    def wall_of_deadline(self, deadline: float) -> float:
        """Turn a deadline on the monotonic clock into one on the wall clock."""
        return self.wall() + (deadline - self.monotonic())


class SystemClock(Clock):
    """The machine's clocks."""

    def monotonic(self) -> float:
        """Return ``time.monotonic()``."""
        return time.monotonic()

    def wall(self) -> float:
        """Return ``time.time()``."""
        return time.time()

    def boottime(self) -> float:
        """Return the seconds since the machine's start, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class LoopClock(Clock):
    """The running event loop's clock, with a settable wall time.

    Under ``looptime`` this is virtual time, which is how a test gets an hour in under
    a second. ``wall_offset`` lets a test make the wall clock jump.

    Parameters
    ----------
    wall_offset : float
        Seconds added to the loop's time to give the wall time.

    Attributes
    ----------
    suspended_seconds : float
        How long the machine was suspended; the loop's time stood still meanwhile.
    """

    def __init__(self, *, wall_offset: float = 1_700_000_000.0) -> None:
        self.wall_offset = wall_offset
        self.suspended_seconds = 0.0

    def monotonic(self) -> float:
        """Return the running loop's time."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the loop's time moved by the offset."""
        return self.boottime() + self.wall_offset

    def boottime(self) -> float:
        """Return the loop's time and that of suspensions."""
        return self.monotonic() + self.suspended_seconds


class ManualClock(Clock):
    """A clock that stands still until it is moved; for tests and the bench."""

    def __init__(self, *, start: float = 0.0, wall_offset: float = 0.0) -> None:
        self.time = start
        self.wall_offset = wall_offset

    def monotonic(self) -> float:
        """Return the time it was last moved to."""
        return self.time

    def wall(self) -> float:
        """Return the time it was last moved to, with the offset."""
        return self.time + self.wall_offset

    def boottime(self) -> float:
        """Return the time it was last moved to."""
        return self.time

    def advance(self, seconds: float) -> None:
        """Move the clock on by ``seconds``."""
        self.time += seconds
