"""Records what endpoints state of themselves in answers, for all later requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from eliot import log_message
from result import Err

from ..http.client import Stream
from ..metrics import Metrics
from ..model import EndpointStatements, LoadHeader, Registration
from ..platform import wire
from ..policies.coldlimits import ColdEndpoints
from ..policies.endpointspeeds import EndpointSpeeds, News
from ..policies.pace import StartReason
from ..policies.statedpauses import StatedPauses
from ..types import Address
from .endpointlimits import EndpointLimits
from .endpointpaces import EndpointPaces
from .exchange import Exchange
from .registry import Registry

# An endpoint's status for requests that were meant for another one.
MISDIRECTED = 421
# A larger body of a refusal isn't read.
MAX_REFUSAL_BYTES = 64 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayedStatements:
    """What an endpoint has stated to the node through which it is reached.

    ``pause_seconds`` is the rest of the pause that it asked for.
    """

    pause_seconds: float = 0.0
    is_leaving: bool = False


class EndpointAnswers:
    """Records statements by endpoint and start, from any answer to this node.

    Parameters
    ----------
    registry : Registry
        Lists the endpoints, and those that leave.
    cold : ColdEndpoints
        The cold endpoints.
    pauses : StatedPauses
        The pauses that endpoints asked for.
    limits : EndpointLimits
        What endpoints state for all nodes together.
    speeds : EndpointSpeeds
        Load and speed of the endpoints.
    paces : EndpointPaces
        Told of the ends of pauses.
    announce_leaving : callable
        Announces an endpoint that leaves to the other nodes.
    announce_load : callable
        Announces the load that an endpoint states to the other nodes.
    metrics : Metrics
        Counts load headers by outcome.
    """

    def __init__(
        self,
        *,
        registry: Registry,
        cold: ColdEndpoints,
        pauses: StatedPauses,
        limits: EndpointLimits,
        speeds: EndpointSpeeds,
        paces: EndpointPaces,
        announce_leaving: Callable[[Registration], None],
        announce_load: Callable[[Registration, LoadHeader, News], None],
        metrics: Metrics,
    ) -> None:
        self._registry = registry
        self._cold = cold
        self._pauses = pauses
        self._limits = limits
        self._speeds = speeds
        self._paces = paces
        self._announce_leaving = announce_leaving
        self._announce_load = announce_load
        self._metrics = metrics

    def read(
        self, ex: Exchange, reg: Registration, stream: Stream, sent_at: float
    ) -> bool:
        """Record what the answer to a caller's request states.

        Returns
        -------
        bool
            Whether the endpoint says that it hasn't run the request.
        """
        stated = self.record(reg, stream.status, stream.headers, sent_at)
        if stated.requests_per_second is not None:
            ex.log("limit_stated", endpoint=reg.endpoint, sent_at=round(sent_at, 3))
        is_not_run = wire.is_not_run(stream.status, stream.headers)
        if is_not_run:
            ex.log(
                "attempt_refused",
                endpoint=reg.endpoint,
                status=stream.status,
                pause_seconds=stated.pause_seconds,
                address=str(reg.address),
                connection=stream.connection,
                exchange=stream.exchange,
            )
        return is_not_run

    def record(
        self, reg: Registration, status: int, headers: Mapping[str, str], sent_at: float
    ) -> EndpointStatements:
        """Record and return what an answer's head states.

        Parameters
        ----------
        reg : Registration
            The endpoint that was asked.
        status, headers : int, Mapping
            The head of its answer.
        sent_at : float
            Loop time at which the request was about to be sent.
        """
        stated = wire.decode_statements(status, headers)
        now = _now()
        if stated.cold_seconds > 0:
            self._cold.record(reg.endpoint, now + stated.cold_seconds)
        self._limits.record_statements(reg, stated, sent_at, now)
        if stated.pause_seconds > 0:
            self._record_pause(reg, stated.pause_seconds)
        elif self._pauses.record_answer(reg.incarnation, sent_at):
            log_message("relay:endpoint:resumed", endpoint=reg.endpoint)
        if stated.is_leaving and status != MISDIRECTED:
            self.record_leaving(reg)
        if status != MISDIRECTED:
            self._record_load(reg, headers, now)
        return stated

    def record_at(
        self, address: Address, status: int, headers: Mapping[str, str], sent_at: float
    ) -> None:
        """Record what an answer from an address states; see `record`."""
        reg = self._registry.find_address(address)
        if reg is not None:
            self.record(reg, status, headers, sent_at)

    def record_relayed(self, address: Address, stated: RelayedStatements) -> None:
        """Record what an endpoint has stated to the node through which it is reached.

        The endpoint sees that node, so its pause is also one for requests of this node.
        """
        reg = self._registry.find_address(address)
        if reg is None:
            return
        if stated.pause_seconds > 0:
            self._record_pause(reg, stated.pause_seconds)
        if stated.is_leaving:
            self.record_leaving(reg)

    def statements_at(self, address: Address) -> RelayedStatements:
        """Return what the endpoint at an address has stated to this node."""
        reg = self._registry.find_address(address)
        if reg is None:
            return RelayedStatements()
        now = _now()
        seconds = 0.0
        if self._pauses.is_paused(reg.incarnation, now):
            seconds = self._pauses.seconds_until_open(reg.incarnation, now)
        is_leaving = self._registry.is_leaving(reg)
        return RelayedStatements(pause_seconds=seconds, is_leaving=is_leaving)

    def record_leaving(self, reg: Registration) -> None:
        """Record that an endpoint leaves, and announce it once."""
        if self._registry.record_leaving(reg):
            self._announce_leaving(reg)

    def _record_load(
        self, reg: Registration, headers: Mapping[str, str], now: float
    ) -> None:
        decoded = wire.decode_load(headers)
        if decoded is None:
            return
        if isinstance(decoded, Err):
            self._metrics.count("load_headers", outcome=decoded.err_value)
            return
        self._metrics.count("load_headers", outcome="read")
        header = decoded.ok_value
        news = self._speeds.record_stated(reg.endpoint, header, now)
        if news is not News.NONE:
            self._announce_load(reg, header, news)

    def _record_pause(self, reg: Registration, seconds: float) -> None:
        now = _now()
        if self._pauses.record(reg.incarnation, now, seconds):
            self._paces.record_start(reg, StartReason.PAUSE_ENDED, now + seconds)
            log_message(
                "relay:endpoint:paused",
                endpoint=reg.endpoint,
                seconds=round(seconds, 3),
            )


def _now() -> float:
    return asyncio.get_running_loop().time()
