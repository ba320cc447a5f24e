"""How old a node's knowledge of routes and keys is, and when that is too old."""

from __future__ import annotations

from collections.abc import Callable

# Share of the bound on revocation within which a request is still passed on. The bound
# counts from when its caller sent it, which is before this node looks, so neither the
# way to the endpoint nor a pause in between needs a margin; what is left is for clocks
# that differ. A shorter share refuses callers in every outage of a few seconds.
USABLE_SHARE = 0.9
# Share of the bound on configuration within which a route or key that is not known may
# be denied. The rest is for clocks that differ.
DENIABLE_SHARE = 0.9


class Freshness:
    """Tells whether what is known of routes and keys may still be acted on.

    A key that was taken away must let nothing through after a bound, also at a node
    that can't hear of it. What is not known may have been added since; denying it is
    final for its caller, so a node that can't tell must not. The age counts from when
    the confirming read was *sent*, as the answer may have waited anywhere on its way
    back.

    Parameters
    ----------
    bound_seconds : float
        After so long a key that was taken away lets nothing through.
    config_seconds : float
        After so long a route or key that was added is in force.
    is_strict : bool
        Whether that holds also for a node that is out of touch.
    clock : callable
        A steady clock that goes on during suspension.
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
        """Take in settings that changed."""
        self._usable_seconds = USABLE_SHARE * bound_seconds
        self._deniable_seconds = DENIABLE_SHARE * config_seconds
        self._is_strict = is_strict

    def confirm(self, sent_at: float, *, source: str = "") -> None:
        """Note that a read sent at ``sent_at`` showed all that was in force then.

        ``source`` is the node that told it, empty for the store.
        """
        if self._confirmed_at is None or sent_at > self._confirmed_at:
            self._confirmed_at = sent_at
            self._source = source

    @property
    def source(self) -> str:
        """Return the node that told what is known, empty for the store."""
        return self._source

    @property
    def usable_seconds(self) -> float:
        """Return how old knowledge may be that is still acted on."""
        return self._usable_seconds

    @property
    def age_seconds(self) -> float | None:
        """Return how old the knowledge is, None before the first."""
        if self._confirmed_at is None:
            return None
        return self._clock() - self._confirmed_at

    @property
    def is_usable(self) -> bool:
        """Return whether a request with a key may be passed on now."""
        age = self.age_seconds
        if age is None:
            return False
        return not self._is_strict or age < self._usable_seconds

    @property
    def may_deny(self) -> bool:
        """Return whether what is not known now is not in force for sure."""
        age = self.age_seconds
        return age is not None and age < self._deniable_seconds
