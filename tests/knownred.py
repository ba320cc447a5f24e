"""The format of KNOWN-RED.txt, the list of tests that fail because of known faults."""

from __future__ import annotations

KNOWN_RED = "KNOWN-RED.txt"


def known_red_tests(text: str) -> set[str]:
    """Return the ids of the listed tests: the first field of each line."""
    lines = [line.strip() for line in text.splitlines()]
    return {line.split(" | ")[0] for line in lines if line and not line.startswith("#")}
