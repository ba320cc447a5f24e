"""Keeps a node on the platform small: what it never uses is not loaded."""

from __future__ import annotations

import sys

# OpenSSL, by the names that asyncio and hashlib import it under.
UNUSED = ("ssl", "_ssl", "_hashlib")


def leave_out_unused() -> None:
    """Keep the modules of OpenSSL from being loaded.

    asyncio and hashlib load them wherever they are found. They take some 5 MB in each
    node's process, and time at each start, in which no caller is served. All that a
    node on the platform speaks is plain HTTP; asyncio goes on without TLS, and hashlib
    with functions of its own.
    """
    for name in UNUSED:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
