"""Runs the membership state machine on a UDP socket."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from result import Err

from ..clock import Clock
from ..exceptions import InternalError
from ..http.network import Network, SystemNetwork
from ..metrics import Metrics
from ..types import Address
from .events import Event, Outgoing
from .membership import Membership
from .signing import PeerKeys
from .wire import MAX_DATAGRAM_BYTES, decode_datagram, encode_datagram

# IP and UDP headers of a datagram; they count against the bandwidth budget.
DATAGRAM_HEADER_BYTES = 28
METRICS_PERIOD_SECONDS = 5.0


class Gossip(asyncio.DatagramProtocol):
    """Connects the membership state machine to a socket and steps it on a timer.

    Parameters
    ----------
    membership : Membership
        The state machine.
    keys : PeerKeys
        Sign and verify datagrams.
    clock : Clock
        Provides the state machine's time.
    metrics : Metrics
        Counts bytes and dropped datagrams.
    tick_seconds : float
        Time between two steps.
    on_event : callable
        Called with each event.
    network : Network or None
        Sends and receives the datagrams; the system's network by default.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        keys: PeerKeys,
        clock: Clock,
        metrics: Metrics,
        tick_seconds: float,
        on_event: Callable[[Event], None],
        network: Network | None = None,
    ) -> None:
        self._network = network or SystemNetwork()
        self._membership = membership
        self._keys = keys
        self._clock = clock
        self._metrics = metrics
        self._tick_seconds = tick_seconds
        self._on_event = on_event
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._next_count_at = 0.0
        self.n_sent_bytes = 0
        self.n_received_bytes = 0
        self._n_counted_bytes = (0, 0)

    async def start(self, address: Address) -> None:
        """Listen on an address and start the timer."""
        await self._network.open_datagrams(lambda: self, address)
        self._tick()

    def stop(self) -> None:
        """Send the remaining datagrams and close the socket."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.flush()
        self._count_bytes()
        if self._transport is not None:
            self._transport.close()

    def flush(self) -> None:
        """Send the state machine's datagrams and handle its events."""
        for outgoing in self._membership.take_outgoing():
            self._send(outgoing)
        for event in self._membership.take_events():
            self._on_event(event)

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # The event loop's datagram transport is not a subclass of the abstract class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Verify a datagram and pass it to the state machine."""
        self.n_received_bytes += len(data) + DATAGRAM_HEADER_BYTES
        if len(data) > MAX_DATAGRAM_BYTES:
            self._drop("too_large")
            return
        verified = self._keys.open(data)
        if verified is None:
            self._drop("signature")
            return
        decoded = decode_datagram(verified)
        if isinstance(decoded, Err):
            self._drop("datagram")
            return
        source = Address(host=addr[0], port=addr[1])
        now = self._clock.monotonic()
        self._membership.receive(decoded.ok_value, source, now, self._clock.wall())
        self.flush()

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors, as probes detect an unreachable peer."""

    # Internals.

    def _tick(self) -> None:
        now = self._clock.monotonic()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._tick_seconds, self._tick)
        self._membership.step(now, self._clock.wall())
        self.flush()
        if now >= self._next_count_at:
            self._next_count_at = now + METRICS_PERIOD_SECONDS
            self._count_bytes()

    def _send(self, outgoing: Outgoing) -> None:
        sealed = self._keys.seal(encode_datagram(outgoing.datagram))
        if len(sealed) > MAX_DATAGRAM_BYTES:
            raise InternalError(f"datagram of {len(sealed)} bytes is too large")
        if self._transport is None or self._transport.is_closing():
            return
        address = outgoing.address
        self._transport.sendto(sealed, (address.host, address.port))
        self.n_sent_bytes += len(sealed) + DATAGRAM_HEADER_BYTES

    def _drop(self, problem: str) -> None:
        self._metrics.count("bad_input", peer="node", problem=problem)

    def _count_bytes(self) -> None:
        sent, received = self._n_counted_bytes
        self._n_counted_bytes = (self.n_sent_bytes, self.n_received_bytes)
        self._metrics.count("gossip_bytes", self.n_sent_bytes - sent, direction="out")
        self._metrics.count(
            "gossip_bytes", self.n_received_bytes - received, direction="in"
        )
