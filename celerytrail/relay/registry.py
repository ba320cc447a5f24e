"""Tracks the known endpoints and which of them accept new work."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from eliot import log_message

from ..model import EndpointState, Incarnation, Registration
from ..policies.evacuations import Evacuations
from ..policies.versionbinding import UNBOUND, VersionBinding
from ..types import Address

# How long an endpoint whose row vanished around an outage of the store may still be
# used if its service has no other, in seconds. Rows that lapsed only because of the
# outage are back within two seconds of the store's return.
LAPSE_GRACE_SECONDS = 2.0
# How long it is remembered which heartbeat an absent row had last, in seconds.
ABSENCE_SECONDS = 3_600.0


@dataclass(kw_only=True, slots=True)
class _Lapsed:
    reg: Registration
    expires_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Absence:
    """A row that vanished: its last heartbeat, and when that is forgotten."""

    sequence: int
    forget_at: float


class Registry:
    """Holds the registrations of endpoints by id.

    An endpoint leaves if it says so, and for good if it does. One whose row vanished
    counts as leaving until its row is back with a later heartbeat of the same start: an
    earlier one may have been on its way to the store.

    Parameters
    ----------
    on_leaving : callable
        Called once for each incarnation of an endpoint that leaves, and for each time
        that its row is removed.
    on_started : callable or None
        Called with an endpoint that has a new row or a new start, and with whether it
        had a row before. Not called for the first rows that a node reads.
    evacuations : Evacuations or None
        The failure domains whose endpoints get no new work; none by default.
    """

    def __init__(
        self,
        *,
        on_leaving: Callable[[Registration], None],
        on_started: Callable[[Registration, bool], None] | None = None,
        evacuations: Evacuations | None = None,
    ) -> None:
        self._evacuations = evacuations or Evacuations()
        self._known: dict[str, Registration] = {}
        self._lapsed: dict[str, _Lapsed] = {}
        self._said_leaving: set[Incarnation] = set()
        self._absent: dict[Incarnation, _Absence] = {}
        # By service, cached as it is read for each request.
        self._accepting: dict[str, list[Registration]] = {}
        # By address, the latest start that has a row; cached in the same way.
        self._latest_starts: dict[Address, int] | None = None
        self._on_leaving = on_leaving
        self._on_started = on_started
        self._has_read = False

    def put(self, reg: Registration) -> None:
        """Add or update an endpoint's registration, unless a later start is known.

        If that fails, the endpoint isn't used; the other rows are read on.
        """
        try:
            self._put(reg)
        except Exception:
            self._known.pop(reg.endpoint, None)
            self._invalidate()
            _log_error(reg.endpoint)

    def _put(self, reg: Registration) -> None:
        former = self._known.get(reg.endpoint)
        if former is not None and reg.started_at < former.started_at:
            return
        if former is not None and reg.started_at > former.started_at:
            self._set_leaving(former)
        self._known[reg.endpoint] = reg
        lapsed = self._lapsed.pop(reg.endpoint, None)
        self._invalidate()
        seen = former or (lapsed.reg if lapsed is not None else None)
        if reg.incarnation in self._absent:
            self._record_returned(reg)
        elif seen is None or seen.started_at != reg.started_at:
            self._record_started(reg, was_known=seen is not None)
        if reg.state is EndpointState.LEAVING:
            self._set_leaving(reg)

    def remove(self, endpoint: str, now: float, *, may_be_lapse: bool) -> None:
        """Remove an endpoint, or keep it as lapsed if an outage may explain that."""
        former = self._known.pop(endpoint, None)
        if former is None:
            return
        self._invalidate()
        if may_be_lapse and former.state is EndpointState.READY:
            self._lapsed[endpoint] = _Lapsed(
                reg=former, expires_at=now + LAPSE_GRACE_SECONDS
            )
            return
        self._set_absent(former, now)

    def replace(
        self, regs: Iterable[Registration], now: float, *, may_be_lapse: bool
    ) -> None:
        """Replace all registrations."""
        found = {reg.endpoint: reg for reg in regs}
        for endpoint in self._known.keys() - found.keys():
            self.remove(endpoint, now, may_be_lapse=may_be_lapse)
        for reg in found.values():
            self.put(reg)
        self._has_read = True

    def _record_started(self, reg: Registration, *, was_known: bool) -> None:
        if self._on_started is None or not self._has_read:
            return
        if reg.state is EndpointState.READY:
            try:
                self._on_started(reg, was_known)
            except Exception:
                _log_error(reg.endpoint)

    def record_leaving(self, reg: Registration) -> bool:
        """Record that an endpoint stated in an answer or its report that it leaves.

        This holds for its present start, whatever its row says and whether it has one.

        Returns
        -------
        bool
            Whether this is news.
        """
        is_news = reg.incarnation not in self._said_leaving
        self._set_leaving(reg)
        return is_news

    def record_leaving_at_peer(self, endpoint: str, started_at: int | None) -> None:
        """Record what another node announced; None means the last known start."""
        reg = self._known.get(endpoint)
        if reg is None and endpoint in self._lapsed:
            reg = self._lapsed[endpoint].reg
        if reg is not None and started_at in (None, reg.started_at):
            self._set_leaving(reg)
        elif started_at is not None:
            self._said_leaving.add((endpoint, started_at))

    def expire(self, now: float) -> None:
        """Remove lapsed endpoints whose rows were not restored in time."""
        for incarnation, absence in list(self._absent.items()):
            if now >= absence.forget_at:
                del self._absent[incarnation]
        for endpoint, lapsed in list(self._lapsed.items()):
            if now >= lapsed.expires_at:
                del self._lapsed[endpoint]
                self._set_absent(lapsed.reg, now)

    def is_usable(self, reg: Registration) -> bool:
        """Return whether the endpoint may get new work."""
        return self.is_accepting(reg) and not self._is_evacuated(reg)

    def is_accepting(self, reg: Registration) -> bool:
        """Return whether the endpoint is known and doesn't leave."""
        known = self._known.get(reg.endpoint)
        if known is None or known.started_at != reg.started_at:
            return False
        return self._may_get_work(known)

    def is_leaving(self, reg: Registration) -> bool:
        """Return whether the endpoint said that it leaves, or its row is gone."""
        return reg.incarnation in self._said_leaving or reg.incarnation in self._absent

    def usable_endpoints(
        self, service: str, binding: VersionBinding = UNBOUND
    ) -> list[Registration]:
        """Return a service's endpoints that may get a run's work.

        If none accepts any, return those whose rows vanished around an outage.

        Parameters
        ----------
        service : str
            The service.
        binding : VersionBinding
            The version that the run is bound to, if any.
        """
        return [
            reg
            for reg in self._accepting_endpoints(service)
            if binding.allows(reg) and not self._is_evacuated(reg)
        ]

    def has_accepting(self, service: str, binding: VersionBinding) -> bool:
        """Return whether an endpoint at which a run may continue doesn't leave."""
        return any(map(binding.allows, self._accepting_endpoints(service)))

    def is_service_evacuated(
        self, service: str, binding: VersionBinding = UNBOUND
    ) -> bool:
        """Return whether all endpoints for a run are in evacuated domains."""
        accepting = list(filter(binding.allows, self._accepting_endpoints(service)))
        return bool(accepting) and all(map(self._is_evacuated, accepting))

    def versions(self, service: str) -> frozenset[str]:
        """Return the software versions of a service's endpoints that have a row."""
        return frozenset(
            reg.version for reg in self._known.values() if reg.service == service
        )

    def _accepting_endpoints(self, service: str) -> list[Registration]:
        found = self._accepting.get(service)
        if found is None:
            found = self._accepting[service] = self._find_accepting(service)
        return found

    def _find_accepting(self, service: str) -> list[Registration]:
        found = [
            reg
            for reg in self._known.values()
            if reg.service == service and self._may_get_work(reg)
        ]
        if found:
            return found
        return [
            lapsed.reg
            for lapsed in self._lapsed.values()
            if lapsed.reg.service == service and self._may_get_work(lapsed.reg)
        ]

    def leaving_endpoints(self, service: str, version: str) -> list[str]:
        """Return the ids of a version's endpoints that leave and still have a row."""
        return [
            reg.endpoint
            for reg in self._known.values()
            if reg.service == service
            and reg.version == version
            and self._is_leaving(reg)
        ]

    def find(self, endpoint: str) -> Registration | None:
        """Return an endpoint's registration, None if it has no row."""
        return self._known.get(endpoint)

    def find_address(self, address: Address) -> Registration | None:
        """Return the registration of the endpoint at an address, if there is one.

        If several have it, the one that started last is there.
        """
        regs = [reg for reg in self._known.values() if reg.address == address]
        if not regs:
            lapsed = [one.reg for one in self._lapsed.values()]
            regs = [reg for reg in lapsed if reg.address == address]
        return max(regs, key=lambda reg: reg.started_at, default=None)

    def has(self, endpoint: str) -> bool:
        """Return whether an endpoint has a row, or had one before an outage."""
        return endpoint in self._known or endpoint in self._lapsed

    def all(self) -> list[Registration]:
        """Return all endpoints that have a row."""
        return list(self._known.values())

    def _is_evacuated(self, reg: Registration) -> bool:
        return self._evacuations.is_evacuated(reg.failure_domain)

    def _is_leaving(self, reg: Registration) -> bool:
        if reg.state is EndpointState.LEAVING:
            return True
        return self.is_leaving(reg)

    def _may_get_work(self, reg: Registration) -> bool:
        return not self._is_leaving(reg) and not self._is_superseded(reg)

    def _is_superseded(self, reg: Registration) -> bool:
        """Return whether a later start has the endpoint's address, so that it is gone.

        A row remains for a while after its endpoint, and addresses are used again.
        """
        if self._latest_starts is None:
            self._latest_starts = {}
            for known in self._known.values():
                latest = self._latest_starts.get(known.address, known.started_at)
                self._latest_starts[known.address] = max(latest, known.started_at)
        return self._latest_starts.get(reg.address, 0) > reg.started_at

    def _record_returned(self, reg: Registration) -> None:
        """End an endpoint's absence, unless its row is of an earlier heartbeat."""
        if reg.sequence > self._absent[reg.incarnation].sequence:
            del self._absent[reg.incarnation]
            log_message("relay:endpoint:returned", endpoint=reg.endpoint)

    def _invalidate(self) -> None:
        """Forget what was derived from the rows."""
        self._accepting.clear()
        self._latest_starts = None

    def _set_leaving(self, reg: Registration) -> None:
        """Record that an endpoint leaves, for good."""
        if reg.incarnation in self._said_leaving:
            return
        is_news = not self.is_leaving(reg)
        self._said_leaving.add(reg.incarnation)
        self._invalidate()
        if is_news:
            self._notify_leaving(reg)

    def _notify_leaving(self, reg: Registration) -> None:
        try:
            self._on_leaving(reg)
        except Exception:
            # What an endpoint's row says holds, whatever fails in what is told of it.
            _log_error(reg.endpoint)

    def _set_absent(self, reg: Registration, now: float) -> None:
        """Record that an endpoint's row is gone, until it is back."""
        is_news = not self.is_leaving(reg)
        former = self._absent.get(reg.incarnation)
        last = max(reg.sequence, former.sequence) if former else reg.sequence
        self._absent[reg.incarnation] = _Absence(
            sequence=last, forget_at=now + ABSENCE_SECONDS
        )
        self._invalidate()
        if is_news:
            self._notify_leaving(reg)


def _log_error(endpoint: str) -> None:
    log_message(
        "relay:registry:failed", endpoint=endpoint, problem=traceback.format_exc()
    )
