"""Finds out what became of endpoints that broke off answers."""

from __future__ import annotations

import abc
import asyncio
import enum

from result import Err

from ...http.client import HttpClient
from ...model import Registration
from ..engineapi import EngineApi
from ..outcomes import CONNECT_REFUSED
from ..registry import Registry
from ..stoporders import UNKNOWN_START

# Timeout of one question to an endpoint, and the pause after one that failed, in
# seconds.
ASK_SECONDS = 0.5
RETRY_SECONDS = 0.2
# How long an endpoint that doesn't answer is asked, in seconds: a crashed one loses its
# row after three heartbeats.
GIVE_UP_SECONDS = 5.0
# Time in which all connections of a crashed process are reset, in seconds.
SETTLE_SECONDS = 0.01
# How long the row of an endpoint that crashed and accepts connections again may be
# late, in seconds.
ROW_SECONDS = 3.0


class Fate(enum.Enum):
    """What became of an endpoint that broke off an answer."""

    CRASHED = "crashed"
    ALIVE = "alive"
    LEFT = "left"
    UNKNOWN = "unknown"


class FateFinder(abc.ABC):
    """Tells crashes from other causes that break off an endpoint's answers.

    A reset connection, a lost path, an endpoint that leaves and one that crashed look
    alike to a request.

    Parameters
    ----------
    registry : Registry
        Which endpoints have a row, and which of them leave.
    """

    def __init__(self, *, registry: Registry) -> None:
        self._registry = registry

    async def find(self, reg: Registration, lost_at: float) -> Fate:
        """Return the fate of the start of an endpoint that broke off an answer.

        ``lost_at`` is the loop time at which that happened.
        """
        if self._registry.is_leaving(reg):
            return Fate.LEFT
        deadline = lost_at + GIVE_UP_SECONDS
        while _now() < deadline:
            fate = await self._ask(reg)
            if fate is not None:
                return fate
            if not self._registry.has(reg.endpoint):
                return Fate.CRASHED
            await asyncio.sleep(RETRY_SECONDS)
        return Fate.UNKNOWN

    @abc.abstractmethod
    async def _ask(self, reg: Registration) -> Fate | None:
        """Return an endpoint's fate, None if it doesn't answer now."""


class ReportedFates(FateFinder):
    """Asks engines for their reports, which name their starts.

    Parameters
    ----------
    api : EngineApi
        Reads reports, on every path that there is.
    registry : Registry
        See `FateFinder`.
    """

    def __init__(self, *, api: EngineApi, registry: Registry) -> None:
        super().__init__(registry=registry)
        self._api = api

    async def _ask(self, reg: Registration) -> Fate | None:
        answered = await self._api.report(reg, _now() + ASK_SECONDS)
        if isinstance(answered, Err):
            return Fate.CRASHED if answered.err_value == CONNECT_REFUSED else None
        started_at = answered.ok_value.started_at
        if started_at == reg.started_at:
            return Fate.ALIVE
        if started_at is None or reg.started_at == UNKNOWN_START:
            return Fate.UNKNOWN
        return Fate.CRASHED


class ConnectionFates(FateFinder):
    """Connects to plain endpoints, which name their starts in their rows only.

    Parameters
    ----------
    client : HttpClient
        Connects to them, on every path that there is.
    registry : Registry
        See `FateFinder`.
    """

    def __init__(self, *, client: HttpClient, registry: Registry) -> None:
        super().__init__(registry=registry)
        self._client = client

    async def _ask(self, reg: Registration) -> Fate | None:
        await asyncio.sleep(SETTLE_SECONDS)
        connected = await self._client.ensure_connected(
            reg.address, _now() + ASK_SECONDS
        )
        if isinstance(connected, Err):
            return (
                Fate.CRASHED if connected.err_value.reason == CONNECT_REFUSED else None
            )
        return await self._await_row(reg)

    async def _await_row(self, reg: Registration) -> Fate:
        """Wait for the row of another start, which may be at the same address."""
        deadline = _now() + ROW_SECONDS
        while _now() < deadline:
            if self._registry.is_leaving(reg):
                # The row of a start that another one follows counts as leaving.
                known = self._registry.find(reg.endpoint)
                is_other = known is None or known.started_at != reg.started_at
                return Fate.CRASHED if is_other else Fate.LEFT
            await asyncio.sleep(RETRY_SECONDS)
        return Fate.ALIVE


def _now() -> float:
    return asyncio.get_running_loop().time()
