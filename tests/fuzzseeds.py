"""Seeds and sizes of tests; more of them by environment variables."""

from __future__ import annotations

import os


def seeds(variable: str, default: str) -> range:
    """Return the seeds that a variable names, such as ``100-160``."""
    first, _, last = os.environ.get(variable, default).partition("-")
    return range(int(first), int(last or first) + 1)


def fleet_sizes() -> list[int]:
    """Return the numbers of nodes of large fleets; others by CELERYTRAIL_SIZES."""
    return [int(text) for text in os.environ.get("CELERYTRAIL_SIZES", "119").split(",")]
