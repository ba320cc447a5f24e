"""Staleness bounds of a node's routes and keys."""

from __future__ import annotations

from collections.abc import Callable

# Share of the revocation bound within which a request is still forwarded. The bound
# counts from when the caller sent the request, which is before this node checks it, so
# neither the latency to the endpoint nor a pause in between needs a margin. The rest
# covers differences between clocks. A smaller share would refuse callers in every
# outage of a few seconds.
USABLE_SHARE = 0.9
# Share of the configuration bound within which an unknown route or key may be denied.
# The rest covers differences between clocks.
DENIABLE_SHARE = 0.9


class Freshness:
    """Decides whether a node's routes and keys are fresh enough to act on.

    A revoked key must be refused once the revocation bound has passed, also at a node
    that can't receive updates. An unknown route or key may have been added since the
    last read. A denial is final for the caller, so a node with stale data must not
    deny. The age counts from when the confirming read was *sent*, as its answer may
    have been delayed anywhere.

    Parameters
    ----------
    bound_seconds : float
        Revocation bound: a revoked key is refused after this time.
    config_seconds : float
        Configuration bound: an added route or key is in force after this time.
    is_strict : bool
        Whether the revocation bound also applies to a node that is cut off.
    clock : callable
        A monotonic clock that continues during suspension.
    """

    def __init__(
        self,
        *,
        bound_seconds: float,
        config_seconds: float,
        is_strict: bool,
        clock: Callable[[], float],
    ) -> None:
        self._usable_seconds = USABLE_SHARE * bound_seconds
        self._deniable_seconds = DENIABLE_SHARE * config_seconds
        self._is_strict = is_strict
        self._clock = clock
        self._confirmed_at: float | None = None
        self._source = ""

    def set_bounds(
        self, *, bound_seconds: float, config_seconds: float, is_strict: bool
    ) -> None:
        """Apply changed settings."""
        self._usable_seconds = USABLE_SHARE * bound_seconds
        self._deniable_seconds = DENIABLE_SHARE * config_seconds
        self._is_strict = is_strict

    def confirm(self, sent_at: float, *, source: str = "") -> None:
        """Record that a read sent at ``sent_at`` returned all that was in force then.

        ``source`` is the node that answered it, empty for the store.
        """
        if self._confirmed_at is None or sent_at > self._confirmed_at:
            self._confirmed_at = sent_at
            self._source = source

    @property
    def source(self) -> str:
        """Return the node that answered the latest read, empty for the store."""
        return self._source

    @property
    def usable_seconds(self) -> float:
        """Return the age up to which the data may be used, in seconds."""
        return self._usable_seconds

    @property
    def age_seconds(self) -> float | None:
        """Return the age of the data in seconds, None before the first read."""
        if self._confirmed_at is None:
            return None
        return self._clock() - self._confirmed_at

    @property
    def is_usable(self) -> bool:
        """Return whether a request with a known key may be forwarded now."""
        age = self.age_seconds
        if age is None:
            return False
        return not self._is_strict or age < self._usable_seconds

    @property
    def can_deny(self) -> bool:
        """Return whether an unknown route or key may be denied now."""
        age = self.age_seconds
        return age is not None and age < self._deniable_seconds
