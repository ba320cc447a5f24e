"""A steady clock that goes on while the VM is suspended."""

from __future__ import annotations

import time


def boottime() -> float:
    """Return seconds on a clock that neither jumps nor stands still.

    The event loop's clock stands still while a VM is suspended. Were the age of what a
    node knows counted on it, a node that wakes after a minute would take its knowledge
    for fresh, and let a key through that was taken away meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
