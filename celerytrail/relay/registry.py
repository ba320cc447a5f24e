"""The endpoints that are known to exist, and which of them take new work."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..model import EndpointState, Registration

# How long an endpoint whose row vanished beside an outage of the store may still be
# used where no other is left, in seconds: rows that lapsed only since the store was
# away are back within two seconds of its return.
LAPSE_SECONDS = 2.0


@dataclass(kw_only=True, slots=True)
class _Lapsed:
    reg: Registration
    until: float


class Registry:
    """Endpoints by id.

    Parameters
    ----------
    on_leaving : callable
        Called once with an endpoint that begins to leave or is gone.
    """

    def __init__(self, *, on_leaving: Callable[[Registration], None]) -> None:
        self._known: dict[str, Registration] = {}
        self._lapsed: dict[str, _Lapsed] = {}
        self._told_leaving: set[tuple[str, int]] = set()
        self._on_leaving = on_leaving

    def put(self, reg: Registration) -> None:
        """Take in what an endpoint says of itself."""
        former = self._known.get(reg.endpoint)
        if former is not None and reg.started_at < former.started_at:
            return
        if former is not None and reg.started_at > former.started_at:
            self._leave(former)
        self._known[reg.endpoint] = reg
        self._lapsed.pop(reg.endpoint, None)
        if reg.state is EndpointState.LEAVING:
            self._leave(reg)

    def remove(self, endpoint: str, now: float, *, may_be_lapse: bool) -> None:
        """Note that an endpoint's row is gone."""
        former = self._known.pop(endpoint, None)
        if former is None:
            return
        if may_be_lapse and former.state is EndpointState.READY:
            self._lapsed[endpoint] = _Lapsed(reg=former, until=now + LAPSE_SECONDS)
            return
        self._leave(former)

    def replace(
        self, regs: Iterable[Registration], now: float, *, may_be_lapse: bool
    ) -> None:
        """Take in all rows as of one moment."""
        found = {reg.endpoint: reg for reg in regs}
        for endpoint in self._known.keys() - found.keys():
            self.remove(endpoint, now, may_be_lapse=may_be_lapse)
        for reg in found.values():
            self.put(reg)

    def note_leaving(self, endpoint: str) -> None:
        """Note that an endpoint said by its answers or report that it leaves."""
        reg = self._known.get(endpoint)
        if reg is not None:
            self._leave(reg)

    def expire(self, now: float) -> None:
        """Let go of lapsed endpoints that did not come back."""
        for endpoint, lapsed in list(self._lapsed.items()):
            if now >= lapsed.until:
                del self._lapsed[endpoint]
                self._leave(lapsed.reg)

    def is_usable(self, reg: Registration) -> bool:
        """Return whether the endpoint is known and takes new work."""
        known = self._known.get(reg.endpoint)
        if known is None or known.started_at != reg.started_at:
            return False
        return not self._is_leaving(known)

    def is_leaving(self, reg: Registration) -> bool:
        """Return whether the endpoint said that it leaves, or is gone for sure."""
        return (reg.endpoint, reg.started_at) in self._told_leaving

    def usable(self, service: str) -> list[Registration]:
        """Return a service's endpoints that take new work.

        Where none is left and some vanished beside an outage of the store, those.
        """
        found = [
            reg
            for reg in self._known.values()
            if reg.service == service and not self._is_leaving(reg)
        ]
        if found:
            return found
        return [
            lapsed.reg
            for lapsed in self._lapsed.values()
            if lapsed.reg.service == service
        ]

    def all(self) -> list[Registration]:
        """Return all endpoints whose rows stand."""
        return list(self._known.values())

    def _is_leaving(self, reg: Registration) -> bool:
        if reg.state is EndpointState.LEAVING:
            return True
        return self.is_leaving(reg)

    def _leave(self, reg: Registration) -> None:
        life = (reg.endpoint, reg.started_at)
        if life not in self._told_leaving:
            self._told_leaving.add(life)
            self._on_leaving(reg)
