"""The exceptions of this package, by who must act on them.

Expected failures travel as ``result`` values; these are raised only for what the
immediate caller can't act on.
"""

from __future__ import annotations


class CelerytrailError(Exception):
    """Base of every exception that this package raises on purpose."""


class SettingsError(CelerytrailError):
    """Whoever starts the process must mend its settings.

    Parameters
    ----------
    findings : sequence of Finding
        All that is wrong, each with its place.
    """

    def __init__(self, findings: object) -> None:
        super().__init__(str(findings))
        self.findings = findings


class PeerError(CelerytrailError):
    """A peer broke its protocol; the connection to it must be closed."""


class InternalError(CelerytrailError):
    """A state was reached that should be impossible: a bug to report."""
