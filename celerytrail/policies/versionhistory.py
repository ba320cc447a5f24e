"""The software versions that each service has had, and since when that is known."""

from __future__ import annotations


class VersionHistory:
    """Records when each version of a service was last seen.

    A node that hasn't followed the endpoints' rows without a gap can't tell whether a
    version has come and gone.
    """

    def __init__(self) -> None:
        self._seen_at: dict[str, dict[str, float]] = {}
        self._followed_since: float | None = None

    def record(self, service: str, version: str, now: float) -> None:
        """Record that an endpoint of a version has a row."""
        self._seen_at.setdefault(service, {})[version] = now

    def has_seen(self, service: str, version: str) -> bool:
        """Return whether an endpoint of a version has had a row."""
        return version in self._seen_at.get(service, {})

    def set_followed(self, is_followed: bool, now: float) -> None:
        """Record whether the rows known at a time are current."""
        if not is_followed:
            self._followed_since = None
        elif self._followed_since is None:
            self._followed_since = now

    def only_version(
        self, service: str, present: frozenset[str], since: float
    ) -> str | None:
        """Return the one version that a service has had since a time.

        None if there were several or none, or if this isn't known.

        Parameters
        ----------
        service : str
            The service.
        present : frozenset of str
            The versions of the endpoints that have a row now.
        since : float
            The time from which no other version may have been there.
        """
        if self._followed_since is None or self._followed_since > since:
            return None
        former = self._seen_at.get(service, {})
        versions = present | {name for name, at in former.items() if at >= since}
        return next(iter(versions)) if len(versions) == 1 else None

    def expire(self, oldest: float) -> None:
        """Forget what was last seen before a time; it isn't known from then on."""
        if self._followed_since is not None:
            self._followed_since = max(self._followed_since, oldest)
        for service, seen in list(self._seen_at.items()):
            kept = {name: at for name, at in seen.items() if at >= oldest}
            if kept:
                self._seen_at[service] = kept
            else:
                del self._seen_at[service]
