"""The software version at which a run has to continue.

What two versions write doesn't fit together, and endpoints don't check it. Engines of
several versions serve side by side while a release rolls, or for good.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..model import Registration


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionBinding:
    """Binds a run to the version that made the events which its caller holds.

    Parameters
    ----------
    version : str or None
        That version; None while the caller holds no event, so that the run may still
        begin anywhere, and empty if the version isn't known.
    """

    version: str | None = None

    def allows(
        self, reg: Registration, *, copied_from: Registration | None = None
    ) -> bool:
        """Return whether the run may continue at an endpoint.

        Parameters
        ----------
        reg : Registration
            The endpoint.
        copied_from : Registration or None
            The endpoint whose copy of the run's memory it would use, if any. Memory of
            one version isn't used by another one, even before the first event.
        """
        if copied_from is not None and not _are_alike(reg, copied_from):
            return False
        return self.version is None or reg.version == self.version


UNBOUND = VersionBinding()


def _are_alike(reg: Registration, other: Registration) -> bool:
    """Return whether two endpoints are known to run the same software."""
    if reg.incarnation == other.incarnation:
        return True
    return bool(reg.version) and reg.version == other.version
