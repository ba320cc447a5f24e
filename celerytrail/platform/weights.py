"""The platform's weight store, which is rate-limited: its interface and client."""

from __future__ import annotations

import abc
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import quote

from result import Err, Ok, Result

from .client import Exchanger, Unavailable

DEFAULT_RATE_LIMIT_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimited:
    """The weight store asks to come back after so many seconds."""

    retry_after: float


class WeightStore(abc.ABC):
    """Tells whether weights can be had; ``deadline`` is monotonic, in seconds."""

    @abc.abstractmethod
    async def fetch(
        self, model: str, version: str, deadline: float
    ) -> Result[None, RateLimited | Unavailable]:
        """Take one fetch out of the weight store's rate."""


class HttpWeightStore(WeightStore):
    """The weight store over HTTP."""

    def __init__(self, *, exchanger: Exchanger) -> None:
        self._exchanger = exchanger

    async def fetch(
        self, model: str, version: str, deadline: float
    ) -> Result[None, RateLimited | Unavailable]:
        """Take one fetch out of the weight store's rate."""
        path = f"/weights/{quote(model, safe='')}/{quote(version, safe='')}"
        made = await self._exchanger.fetch(
            "weights", "GET", path, deadline=deadline, allowed=(200, 429)
        )
        if isinstance(made, Err):
            return Err(made.err_value)
        res = made.ok_value
        if res.status == 429:
            return Err(RateLimited(retry_after=_seconds(res.headers)))
        return Ok(None)


def _seconds(headers: Mapping[str, str]) -> float:
    try:
        return max(float(headers.get("retry-after", "")), 0.0)
    except ValueError:
        return DEFAULT_RATE_LIMIT_SECONDS
