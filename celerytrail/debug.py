"""Versions for bug reports: the program, its libraries and the system."""

from __future__ import annotations

import platform
from importlib import metadata

from . import __version__

LIBRARIES = ("aioprometheus", "eliot", "h11", "msgspec", "result", "typer")


def versions() -> list[tuple[str, str]]:
    """Return the names and versions of the program, Python and the libraries."""
    found = [
        ("celerytrail", __version__),
        ("python", platform.python_version()),
        ("system", platform.system()),
    ]
    found += [(name, metadata.version(name)) for name in LIBRARIES]
    return found
