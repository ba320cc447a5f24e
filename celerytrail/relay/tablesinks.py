"""Applies rows of the platform's tables: operator's rows and registrations."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Iterable, Sequence

from eliot import log_message
from result import Err, Result

from ..clock import Clock
from ..metrics import Metrics
from ..model import EndpointState, Registration, RelayConfig
from ..platform.storewire import REGISTRATION_TABLE
from ..policies.coldlimits import ColdEndpoints
from ..policies.versionhistory import VersionHistory
from ..rowsource import Row
from .registry import Registry
from .tablewatch import TableSink

EvacuationCallback = Callable[[frozenset[str]], None]
ConfigDecoder = Callable[[bytes], Result[RelayConfig, str]]
RegistrationDecoder = Callable[[str, bytes], Result[Registration, str]]


class SinkGroup(TableSink):
    """Passes the rows of one table to several sinks, in their order.

    Parameters
    ----------
    sinks : sequence of TableSink
        The sinks.
    """

    def __init__(self, *, sinks: Sequence[TableSink]) -> None:
        self._sinks = tuple(sinks)

    def replace(self, rows: Sequence[Row], *, is_after_outage: bool) -> None:
        """Replace the whole table."""
        for sink in self._sinks:
            sink.replace(rows, is_after_outage=is_after_outage)

    def change(self, rows: Sequence[Row], *, is_after_outage: bool) -> None:
        """Apply changed rows."""
        for sink in self._sinks:
            sink.change(rows, is_after_outage=is_after_outage)


class EvacuationSink(TableSink):
    """Holds the failure domains that the operator evacuates.

    A row exists for each evacuated domain, and its key alone names the domain. A value
    that can't be decoded doesn't end the evacuation.

    Parameters
    ----------
    prefix : str
        Start of the rows' keys, before the name of the domain.
    on_change : callable
        Called with all evacuated domains when they change.
    """

    def __init__(self, *, prefix: str, on_change: EvacuationCallback) -> None:
        self._prefix = prefix
        self._on_change = on_change
        self._domains: frozenset[str] = frozenset()

    def replace(self, rows: Sequence[Row], *, is_after_outage: bool) -> None:
        """Replace the whole table."""
        self._set_domains(
            frozenset(
                domain
                for row in rows
                if (domain := self._domain(row)) and row.value is not None
            )
        )

    def change(self, rows: Sequence[Row], *, is_after_outage: bool) -> None:
        """Apply changed rows."""
        domains = set(self._domains)
        for row in rows:
            domain = self._domain(row)
            if not domain:
                continue
            if row.value is None:
                domains.discard(domain)
            else:
                domains.add(domain)
        self._set_domains(frozenset(domains))

    def _domain(self, row: Row) -> str:
        """Return the domain that a row names, empty for a row of another kind."""
        if not row.key.startswith(self._prefix):
            return ""
        return row.key.removeprefix(self._prefix)

    def _set_domains(self, domains: frozenset[str]) -> None:
        former, self._domains = self._domains, domains
        if domains == former:
            return
        log_message(
            "relay:domains:evacuated",
            domains=sorted(domains),
            returned=sorted(former - domains),
        )
        self._on_change(domains)


class ConfigSink(TableSink):
    """Holds the newest configuration; an older version never replaces a newer one.

    Parameters
    ----------
    key : str
        Key of the row that holds the configuration.
    decode : callable
        Decodes the row's value.
    on_change : callable
        Called with each version that takes effect.
    """

    def __init__(
        self,
        *,
        key: str,
        decode: ConfigDecoder,
        on_change: Callable[[RelayConfig], None],
    ) -> None:
        self._key = key
        self._decode = decode
        self._on_change = on_change
        self.cfg: RelayConfig | None = None

    def replace(self, rows: Sequence[Row], *, is_after_outage: bool) -> None:
        """Replace the whole table."""
        self.change(rows, is_after_outage=is_after_outage)

    def change(self, rows: Sequence[Row], *, is_after_outage: bool) -> None:
        """Apply changed rows."""
        for row in rows:
            if row.key == self._key and row.value is not None:
                self._apply(row.value)

    def _apply(self, value: bytes) -> None:
        decoded = self._decode(value)
        if isinstance(decoded, Err):
            log_message("relay:config:unreadable", problem=decoded.err_value)
            return
        cfg = decoded.ok_value
        # A late answer may carry an older version. If it were applied, a revoked key
        # would be accepted again, and callers would see the change undone.
        if self.cfg is not None and cfg.version <= self.cfg.version:
            return
        former = self.cfg.version if self.cfg else None
        self.cfg = cfg
        log_message(
            "relay:config:applied",
            version=cfg.version,
            former=former,
            n_routes=len(cfg.routes),
        )
        self._on_change(cfg)


class RegistrationSink(TableSink):
    """Applies the endpoints' rows to the registry.

    Parameters
    ----------
    registry : Registry
        Holds the known endpoints.
    cold : ColdEndpoints
        Records until when endpoints are cold.
    versions : VersionHistory
        Records the versions that are seen.
    clock : Clock
        Dates them.
    decode : callable
        Decodes a row.
    on_leaving_row : callable
        Called with an endpoint before a changed row is applied that is the first to
        say that it leaves.
    metrics : Metrics
        Counts rows that can't be decoded.
    """

    def __init__(
        self,
        *,
        registry: Registry,
        cold: ColdEndpoints,
        versions: VersionHistory,
        clock: Clock,
        decode: RegistrationDecoder,
        on_leaving_row: Callable[[Registration], None],
        metrics: Metrics,
    ) -> None:
        self._registry = registry
        self._cold = cold
        self._versions = versions
        self._clock = clock
        self._decode = decode
        self._on_leaving_row = on_leaving_row
        self._metrics = metrics
        # By key, what was wrong with the last value.
        self._unreadable: dict[str, str] = {}

    def replace(self, rows: Sequence[Row], *, is_after_outage: bool) -> None:
        """Replace the whole table."""
        now = asyncio.get_running_loop().time()
        regs = [reg for row in rows if (reg := self._decode_row(row)) is not None]
        self._record_versions(self._registry.all())
        self._record_versions(regs)
        self._registry.replace(regs, now, may_be_lapse=is_after_outage)

    def change(self, rows: Sequence[Row], *, is_after_outage: bool) -> None:
        """Apply changed rows."""
        now = asyncio.get_running_loop().time()
        for row in rows:
            reg = self._decode_row(row)
            former = self._registry.find(row.key)
            self._record_versions(one for one in (former, reg) if one is not None)
            if reg is not None:
                is_leaving = reg.state is EndpointState.LEAVING
                if is_leaving and not self._registry.is_leaving(reg):
                    self._tell_leaving(reg)
                self._registry.put(reg)
            else:
                is_lapse = is_after_outage and row.value is None
                self._registry.remove(row.key, now, may_be_lapse=is_lapse)

    def _tell_leaving(self, reg: Registration) -> None:
        try:
            self._on_leaving_row(reg)
        except Exception:
            # The row holds, and so do the rows behind it, whatever fails in telling.
            log_message(
                "relay:registration:untold",
                endpoint=reg.endpoint,
                problem=traceback.format_exc(),
            )

    def _record_versions(self, regs: Iterable[Registration]) -> None:
        now = self._clock.boottime()
        for reg in regs:
            self._versions.record(reg.service, reg.version, now)

    def _record_unreadable(self, endpoint: str, problem: str) -> None:
        """Count and log a problem of a row once, however often the row changes."""
        if self._unreadable.get(endpoint) == problem:
            return
        self._unreadable[endpoint] = problem
        self._metrics.count("unreadable_rows", table=REGISTRATION_TABLE)
        log_message("relay:registration:unreadable", endpoint=endpoint, problem=problem)

    def _decode_row(self, row: Row) -> Registration | None:
        if row.value is None:
            self._unreadable.pop(row.key, None)
            return None
        decoded = self._decode(row.key, row.value)
        if isinstance(decoded, Err):
            # A row may be torn or written by another program. It is ignored, and the
            # other rows are applied.
            self._record_unreadable(row.key, decoded.err_value)
            return None
        self._unreadable.pop(row.key, None)
        reg = decoded.ok_value
        if reg.cold_seconds > 0:
            now = asyncio.get_running_loop().time()
            self._cold.record(reg.endpoint, now + reg.cold_seconds)
        return reg
