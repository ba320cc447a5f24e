"""The exceptions of this package, one class for each party that must act on them.

Expected failures are returned as ``result`` values. Exceptions are raised only for
failures that the immediate caller can't handle.
"""

from __future__ import annotations


class CelerytrailError(Exception):
    """Base class of all exceptions that this package raises."""


class SettingsError(CelerytrailError):
    """The settings are invalid; the operator must correct them.

    Parameters
    ----------
    findings : sequence of Finding
        All problems, each with its place.
    """

    def __init__(self, findings: object) -> None:
        super().__init__(str(findings))
        self.findings = findings


class PeerError(CelerytrailError):
    """A peer violated its protocol; the connection to it must be closed."""


class ConnectionClosedError(PeerError):
    """The connection was closed by this process, which shows nothing of the peer."""


class InternalError(CelerytrailError):
    """An impossible state was reached, which is a bug to report."""
