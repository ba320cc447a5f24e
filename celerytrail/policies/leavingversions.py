"""Which software versions of a service are about to leave.

The load pattern: a release replaces engines one by one, so that every few seconds one
of the former version leaves. A run that begins there has to be moved soon, to ever
fewer engines, and its caller may find none of them left to take the stream up at.
"""

from __future__ import annotations

from collections.abc import Collection

# How long after an engine has begun to leave its version counts as leaving, in seconds:
# longer than a release takes between two engines, and than most streams last.
LEAVING_SECONDS = 10.0


class LeavingVersions:
    """Records when an engine of each version last began to leave."""

    def __init__(self) -> None:
        self._left_at: dict[tuple[str, str], float] = {}

    def record(self, service: str, version: str, now: float) -> None:
        """Record that an engine of a version leaves."""
        self._left_at[service, version] = now

    def avoided(
        self, service: str, versions: Collection[str], now: float
    ) -> frozenset[str]:
        """Return the versions at which new runs shouldn't begin, never all of them.

        Parameters
        ----------
        service : str
            The service.
        versions : collection of str
            The versions of its engines that accept work.
        now : float
            The present time, in seconds.
        """
        leaving = frozenset(
            version
            for version in versions
            if now
            < self._left_at.get((service, version), -LEAVING_SECONDS) + LEAVING_SECONDS
        )
        return frozenset() if len(leaving) == len(set(versions)) else leaving
