"""What a node knows of configuration and endpoints, kept from the platform's rows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from eliot import log_message
from result import Err, Result

from ..model import Registration, RelayConfig
from ..rowsource import Row
from .registry import Registry
from .watch import TableSink

ConfigDecoder = Callable[[bytes], Result[RelayConfig, str]]
RegistrationDecoder = Callable[[str, bytes], Result[Registration, str]]


class ConfigSink(TableSink):
    """Holds the newest configuration; versions go upwards only.

    Parameters
    ----------
    key : str
        The row that holds the configuration.
    decode : callable
        Decodes the row's value.
    on_change : callable
        Called with each version that comes into force.
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

    def replace(self, rows: Sequence[Row], *, was_away: bool) -> None:
        """Take in the whole table."""
        self.change(rows, was_away=was_away)

    def change(self, rows: Sequence[Row], *, was_away: bool) -> None:
        """Take in changed rows."""
        for row in rows:
            if row.key == self._key and row.value is not None:
                self._offer(row.value)

    def _offer(self, value: bytes) -> None:
        decoded = self._decode(value)
        if isinstance(decoded, Err):
            log_message("relay:config:unreadable", problem=decoded.err_value)
            return
        cfg = decoded.ok_value
        # A late answer may bring an older version. Were it applied, a key that was
        # taken away would work again, and callers would see the change undone.
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
    """Hands endpoints' rows to the registry.

    Parameters
    ----------
    registry : Registry
        Knows the endpoints.
    decode : callable
        Decodes a row.
    """

    def __init__(self, *, registry: Registry, decode: RegistrationDecoder) -> None:
        self._registry = registry
        self._decode = decode

    def replace(self, rows: Sequence[Row], *, was_away: bool) -> None:
        """Take in the whole table."""
        now = asyncio.get_running_loop().time()
        regs = [reg for row in rows if (reg := self._read(row)) is not None]
        self._registry.replace(regs, now, may_be_lapse=was_away)

    def change(self, rows: Sequence[Row], *, was_away: bool) -> None:
        """Take in changed rows."""
        now = asyncio.get_running_loop().time()
        for row in rows:
            reg = self._read(row)
            if reg is not None:
                self._registry.put(reg)
            else:
                is_lapse = was_away and row.value is None
                self._registry.remove(row.key, now, may_be_lapse=is_lapse)

    def _read(self, row: Row) -> Registration | None:
        if row.value is None:
            return None
        decoded = self._decode(row.key, row.value)
        if isinstance(decoded, Err):
            # Rows may be torn or written by others; one such names no endpoint, and
            # the others hold.
            log_message(
                "relay:registration:unreadable",
                endpoint=row.key,
                problem=decoded.err_value,
            )
            return None
        return decoded.ok_value
