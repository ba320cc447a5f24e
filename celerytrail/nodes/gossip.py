"""The membership state machine on a UDP socket."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from ..clock import Clock
from ..exceptions import InternalError
from ..http.network import Network, SystemNetwork
from ..metrics import Metrics
from ..types import Address
from .events import Event, Outgoing
from .membership import Membership
from .signing import PeerKeys
from .wire import MAX_DATAGRAM_BYTES, decode_datagram, encode_datagram

# What IP and UDP add to each datagram, in bytes; it counts against the budget.
DATAGRAM_HEAD_BYTES = 28
METRICS_SECONDS = 5.0


class Gossip(asyncio.DatagramProtocol):
    """Carries datagrams between the state machine and the socket, and steps it.

    Parameters
    ----------
    membership : Membership
        The state machine.
    keys : PeerKeys
        Sign and check datagrams.
    clock : Clock
        Gives the state machine its time.
    metrics : Metrics
        Counts bytes, and datagrams that were dropped.
    tick_seconds : float
        Between two steps.
    tell : callable
        Called with each event.
    network : Network or None
        Carries the datagrams; the machine's own by default.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        keys: PeerKeys,
        clock: Clock,
        metrics: Metrics,
        tick_seconds: float,
        tell: Callable[[Event], None],
        network: Network | None = None,
    ) -> None:
        self._network = network or SystemNetwork()
        self._membership = membership
        self._keys = keys
        self._clock = clock
        self._metrics = metrics
        self._tick_seconds = tick_seconds
        self._tell = tell
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._count_at = 0.0
        self.n_sent_bytes = 0
        self.n_received_bytes = 0
        self._n_counted = (0, 0)

    async def start(self, address: Address) -> None:
        """Listen on an address and begin to step."""
        await self._network.open_datagrams(lambda: self, address)
        self._tick()

    def stop(self) -> None:
        """Send what is left and close."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.flush()
        self._count_bytes()
        if self._transport is not None:
            self._transport.close()

    def flush(self) -> None:
        """Send what the state machine left to send, and tell what happened."""
        for outgoing in self._membership.take_outgoing():
            self._send(outgoing)
        for event in self._membership.take_events():
            self._tell(event)

    # What the transport calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The loop's own datagram transport is not a subclass of the abstract one.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Check a datagram and hand it to the state machine."""
        self.n_received_bytes += len(data) + DATAGRAM_HEAD_BYTES
        if len(data) > MAX_DATAGRAM_BYTES:
            self._drop("too_large")
            return
        opened = self._keys.open(data)
        if opened is None:
            self._drop("signature")
            return
        try:
            datagram = decode_datagram(opened)
        except msgspec.DecodeError:
            self._drop("datagram")
            return
        source = Address(host=addr[0], port=addr[1])
        now = self._clock.monotonic()
        self._membership.receive(datagram, source, now, self._clock.wall())
        self.flush()

    def error_received(self, exc: Exception) -> None:
        """Pass over what ICMP says: probes tell a lost peer by its silence."""

    # Inside.

    def _tick(self) -> None:
        now = self._clock.monotonic()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._tick_seconds, self._tick)
        self._membership.step(now, self._clock.wall())
        self.flush()
        if now >= self._count_at:
            self._count_at = now + METRICS_SECONDS
            self._count_bytes()

    def _send(self, outgoing: Outgoing) -> None:
        sealed = self._keys.seal(encode_datagram(outgoing.datagram))
        if len(sealed) > MAX_DATAGRAM_BYTES:
            raise InternalError(f"a datagram of {len(sealed)} bytes was made")
        if self._transport is None or self._transport.is_closing():
            return
        address = outgoing.address
        self._transport.sendto(sealed, (address.host, address.port))
        self.n_sent_bytes += len(sealed) + DATAGRAM_HEAD_BYTES

    def _drop(self, problem: str) -> None:
        self._metrics.count("bad_input", peer="node", problem=problem)

    def _count_bytes(self) -> None:
        sent, received = self._n_counted
        self._n_counted = (self.n_sent_bytes, self.n_received_bytes)
        self._metrics.count("gossip_bytes", self.n_sent_bytes - sent, direction="out")
        self._metrics.count(
            "gossip_bytes", self.n_received_bytes - received, direction="in"
        )
