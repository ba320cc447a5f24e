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
        begin anywhere.
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
        if copied_from is not None and reg.version != copied_from.version:
            return False
        return self.version is None or reg.version == self.version


UNBOUND = VersionBinding()
