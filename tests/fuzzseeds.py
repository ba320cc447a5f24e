"""Seeds of tests that draw random faults; more of them by an environment variable."""

from __future__ import annotations

import os


def seeds(variable: str, default: str) -> range:
    """Return the seeds that a variable names, such as ``100-160``."""
    first, _, last = os.environ.get(variable, default).partition("-")
    return range(int(first), int(last or first) + 1)
