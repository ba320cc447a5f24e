"""Reduction of a platform node's memory: unused modules are not imported."""

from __future__ import annotations

import sys

# The modules of OpenSSL that asyncio and hashlib import.
UNUSED_MODULES = ("ssl", "_ssl", "_hashlib")


def leave_out_unused() -> None:
    """Block the import of OpenSSL's modules.

    asyncio and hashlib import them if they are installed. They take some 5 MB in each
    node's process and delay each start, during which no caller is served. A node on the
    platform only uses plain HTTP: without these modules asyncio works without TLS, and
    hashlib uses its built-in implementations.
    """
    for name in UNUSED_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
