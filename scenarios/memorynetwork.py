"""A network in memory with injectable faults, which implements ``Network``.

It carries streams and datagrams between named processes of one event loop, and is
independent of what the processes do.
"""

from __future__ import annotations

import asyncio
import functools
import itertools
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from typing import Any, TypeVar

from celerytrail.http.network import Listener, Network
from celerytrail.types import Address

P = TypeVar("P", bound=asyncio.BaseProtocol)

HIGH_WATER_BYTES = 64 * 1024
# Largest part of a write that crosses a link of limited bandwidth at once.
SEGMENT_BYTES = 16 * 1024
FIRST_FREE_PORT = 40_000


class MemoryFabric:
    """Connects the processes of one scenario: links, sockets and their faults.

    Parameters
    ----------
    rng : random.Random
        Decides which datagrams are dropped.
    delay_seconds : float
        Latency in seconds from sender to receiver.
    """

    def __init__(self, *, rng: random.Random, delay_seconds: float = 0.001) -> None:
        self.rng = rng
        self.delay_seconds = delay_seconds
        self.datagram_loss_rate = 0.0
        # By process, bytes per second of its link; unlimited if missing.
        self.bandwidths: dict[str, float] = {}
        self.sent_bytes: defaultdict[str, int] = defaultdict(int)
        self._busy_until: defaultdict[tuple[str, str], float] = defaultdict(float)
        self.listeners: dict[Address, MemoryListener] = {}
        self.datagrams: dict[Address, MemoryDatagrams] = {}
        self._cut: set[tuple[str, str]] = set()
        self._refused: set[tuple[str, str]] = set()
        # By client and server, how often a connection was asked for.
        self.n_connects: Counter[tuple[str, str]] = Counter()
        self._frozen: set[str] = set()
        self._in_flight: defaultdict[tuple[str, str], deque[Callable[[], None]]]
        self._in_flight = defaultdict(deque)
        self._held: list[tuple[str, str, Callable[[], None]]] = []
        self._streams: list[MemoryStream] = []
        self._ports = itertools.count(FIRST_FREE_PORT)

    def network_of(self, name: str) -> MemoryNetwork:
        """Return the network interface of one process."""
        return MemoryNetwork(self, name)

    def cut(self, sender: str, receiver: str) -> None:
        """Hold everything in one direction of a link, without breaking connections."""
        self._cut.add((sender, receiver))

    def refuse(self, client: str, server: str) -> None:
        """Refuse new connections from one process to another; open ones stay."""
        self._refused.add((client, server))

    def reset(self, process: str, other: str) -> None:
        """Reset the open connections between two processes."""
        for stream in list(self._streams):
            peer = stream.peer
            if stream.owner == process and peer is not None and peer.owner == other:
                stream.receive_reset()
                peer.receive_reset()

    def is_refused(self, client: str, server: str) -> bool:
        """Return whether new connections from one process to another are refused."""
        return (client, server) in self._refused

    def heal_link(self, process: str, other: str) -> None:
        """Remove the cuts and refusals between two processes."""
        for link in ((process, other), (other, process)):
            self._cut.discard(link)
            self._refused.discard(link)
        self._release()

    def heal(self) -> None:
        """Remove all cuts and deliver what they held."""
        self._cut.clear()
        self._refused.clear()
        self._release()

    def freeze(self, name: str) -> None:
        """Hold everything to and from a process, as if it were suspended."""
        self._frozen.add(name)

    def thaw(self, name: str) -> None:
        """End a process's freeze and deliver what it held."""
        self._frozen.discard(name)
        self._release()

    def kill(self, name: str) -> None:
        """Close a process's sockets, as the kernel does for a dead process."""
        for address, listener in list(self.listeners.items()):
            if listener.owner == name:
                del self.listeners[address]
        for address, datagrams in list(self.datagrams.items()):
            if datagrams.owner == name:
                del self.datagrams[address]
        for stream in list(self._streams):
            if stream.owner == name:
                stream.abort()

    def new_port(self) -> int:
        """Return an unused port."""
        return next(self._ports)

    def deliver(
        self,
        sender: str,
        receiver: str,
        action: Callable[[], None],
        n_bytes: int = 0,
    ) -> None:
        """Run an action at the receiver after the delay, or once nothing holds it.

        ``n_bytes`` first pass the sender's link and then the receiver's, each behind
        what already waits there.
        """
        # The loop does not order two timers that are due at the same time, and a stream
        # never reorders bytes; so each timer runs the oldest action of the link.
        in_flight = self._in_flight[sender, receiver]
        in_flight.append(action)
        self.sent_bytes[sender] += n_bytes
        loop = asyncio.get_running_loop()
        sent_at = self._pass_link(sender, "out", loop.time(), n_bytes)
        arrives_at = self._pass_link(receiver, "in", sent_at, n_bytes)
        loop.call_at(
            arrives_at + self.delay_seconds,
            lambda: self._arrive(sender, receiver, in_flight.popleft()),
        )

    def _pass_link(
        self, process: str, direction: str, starts_at: float, n_bytes: int
    ) -> float:
        """Return when bytes have passed one direction of a process's link."""
        bandwidth = self.bandwidths.get(process)
        if bandwidth is None:
            return starts_at
        link = (process, direction)
        ends_at = max(starts_at, self._busy_until[link]) + n_bytes / bandwidth
        self._busy_until[link] = ends_at
        return ends_at

    def deliver_despite_freeze(
        self, sender: str, receiver: str, action: Callable[[], None]
    ) -> None:
        """Run an action that a frozen receiver's kernel still does, unless cut off."""
        if (sender, receiver) in self._cut:
            self._held.append((sender, receiver, action))
        else:
            asyncio.get_running_loop().call_later(2 * self.delay_seconds, action)

    def is_held(self, sender: str, receiver: str) -> bool:
        """Return whether a cut or a freeze holds what one process sends to another."""
        frozen = sender in self._frozen or receiver in self._frozen
        return frozen or (sender, receiver) in self._cut

    def add(self, stream: MemoryStream) -> None:
        """Register an open stream."""
        self._streams.append(stream)

    def remove(self, stream: MemoryStream) -> None:
        """Remove a closed stream."""
        if stream in self._streams:
            self._streams.remove(stream)

    def _arrive(self, sender: str, receiver: str, action: Callable[[], None]) -> None:
        if self.is_held(sender, receiver):
            self._held.append((sender, receiver, action))
        else:
            action()

    def _release(self) -> None:
        held, self._held = self._held, []
        for sender, receiver, action in held:
            self._arrive(sender, receiver, action)


class MemoryNetwork(Network):
    """The network interface of one process."""

    def __init__(self, fabric: MemoryFabric, name: str) -> None:
        self._fabric = fabric
        self._name = name

    async def listen(
        self, factory: Callable[[], asyncio.Protocol], address: Address
    ) -> Listener:
        """Accept connections on an address."""
        if address.port == 0:
            address = Address(host=address.host, port=self._fabric.new_port())
        if address in self._fabric.listeners:
            raise OSError(f"{address} is in use")
        listener = MemoryListener(self._fabric, self._name, factory, address)
        self._fabric.listeners[address] = listener
        return listener

    async def connect(self, factory: Callable[[], P], address: Address) -> P:
        """Open a connection; this waits without limit while the link is cut."""
        listener = self._fabric.listeners.get(address)
        if listener is not None:
            self._fabric.n_connects[self._name, listener.owner] += 1
        if listener is None or self._fabric.is_refused(self._name, listener.owner):
            await asyncio.sleep(self._fabric.delay_seconds)
            raise ConnectionRefusedError(f"nothing accepts at {address}")
        # The kernel of a frozen process still accepts connections; a cut link carries
        # nothing.
        arrived = asyncio.Event()
        self._fabric.deliver_despite_freeze(self._name, listener.owner, arrived.set)
        await arrived.wait()
        if self._fabric.listeners.get(address) is not listener:
            raise ConnectionRefusedError(f"nothing accepts at {address}")
        client_protocol = factory()
        client_end = MemoryStream(self._fabric, self._name, client_protocol)
        server_protocol = listener.factory()
        server_end = MemoryStream(self._fabric, listener.owner, server_protocol)
        client_end.peer, server_end.peer = server_end, client_end
        server_protocol.connection_made(server_end)
        client_protocol.connection_made(client_end)
        return client_protocol

    async def open_datagrams(
        self, factory: Callable[[], asyncio.DatagramProtocol], address: Address
    ) -> asyncio.DatagramTransport:
        """Open a datagram socket on an address."""
        transport = MemoryDatagrams(self._fabric, self._name, factory(), address)
        self._fabric.datagrams[address] = transport
        transport.protocol.connection_made(transport)
        return transport


class MemoryListener(Listener):
    """Accepts connections on one address of a process."""

    def __init__(
        self,
        fabric: MemoryFabric,
        owner: str,
        factory: Callable[[], asyncio.Protocol],
        address: Address,
    ) -> None:
        self._fabric = fabric
        self.owner = owner
        self.factory = factory
        self._address = address

    @property
    def address(self) -> Address:
        """Return the listen address."""
        return self._address

    def close(self) -> None:
        """Accept no more connections."""
        if self._fabric.listeners.get(self._address) is self:
            del self._fabric.listeners[self._address]


class MemoryStream(asyncio.Transport):
    """One end of a connection, with the bytes that its protocol has not read."""

    def __init__(self, fabric: MemoryFabric, owner: str, protocol: Any) -> None:
        super().__init__()
        self._fabric = fabric
        self._protocol = protocol
        self._is_closing = False
        self._is_lost = False
        self._is_reading = True
        self._unread: list[bytes] = []
        self._has_eof = False
        self._n_unread_by_peer = 0
        self._is_paused = False
        self.owner = owner
        self.peer: MemoryStream | None = None
        fabric.add(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the peer process's name as its address."""
        if name == "peername" and self.peer is not None:
            return (self.peer.owner, 0)
        return default

    def is_closing(self) -> bool:
        """Return whether this end is closed."""
        return self._is_closing

    def write(self, data: Any) -> None:
        """Send bytes to the peer."""
        peer = self.peer
        if self._is_closing or peer is None:
            return
        chunk = bytes(data)
        self._n_unread_by_peer += len(chunk)
        if self._n_unread_by_peer > HIGH_WATER_BYTES and not self._is_paused:
            self._is_paused = True
            self._protocol.pause_writing()
        for start in range(0, len(chunk), SEGMENT_BYTES):
            segment = chunk[start : start + SEGMENT_BYTES]
            self._fabric.deliver(
                self.owner,
                peer.owner,
                functools.partial(peer.receive, segment),
                len(segment),
            )

    def set_protocol(self, protocol: Any) -> None:
        """Replace the protocol that receives from now on."""
        self._protocol = protocol

    def get_protocol(self) -> Any:
        """Return the protocol that receives."""
        return self._protocol

    def write_eof(self) -> None:
        """Send an end of file to the peer."""
        peer = self.peer
        if peer is not None:
            self._fabric.deliver(self.owner, peer.owner, peer.receive_eof)

    def can_write_eof(self) -> bool:
        """Return true, as each direction can be closed separately."""
        return True

    def pause_reading(self) -> None:
        """Buffer arriving bytes."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Pass buffered bytes to the protocol."""
        self._is_reading = True
        asyncio.get_running_loop().call_soon(self._pass_unread)

    def close(self) -> None:
        """Close this end after sending an end of file behind the written bytes."""
        if not self._is_closing:
            self.write_eof()
            self._close(None)

    def abort(self) -> None:
        """Close this end at once and reset the peer."""
        peer = self.peer
        if self._is_closing or peer is None:
            return
        self._fabric.deliver(self.owner, peer.owner, peer.receive_reset)
        self._close(None)

    def receive(self, chunk: bytes) -> None:
        """Receive bytes from the peer."""
        if not self._is_closing:
            self._unread.append(chunk)
            self._pass_unread()

    def receive_eof(self) -> None:
        """Receive the peer's end of file."""
        self._has_eof = True
        self._pass_unread()

    def receive_reset(self) -> None:
        """Receive a reset from the peer."""
        if not self._is_closing:
            self._close(ConnectionResetError("connection reset by peer"))

    def on_peer_read(self, n_bytes: int) -> None:
        """Resume writing once the peer's protocol has read enough of what was sent."""
        self._n_unread_by_peer -= n_bytes
        if self._is_paused and self._n_unread_by_peer <= HIGH_WATER_BYTES // 2:
            self._is_paused = False
            self._protocol.resume_writing()

    def _pass_unread(self) -> None:
        while self._unread and self._is_reading and not self._is_closing:
            chunk = self._unread.pop(0)
            if self.peer is not None:
                self.peer.on_peer_read(len(chunk))
            self._protocol.data_received(chunk)
        if self._has_eof and not self._unread and not self._is_closing:
            self._has_eof = False
            if not self._protocol.eof_received():
                self.close()

    def _close(self, exc: Exception | None) -> None:
        self._is_closing = True
        self._fabric.remove(self)
        loop = asyncio.get_running_loop()
        loop.call_soon(self._protocol.connection_lost, exc)


class MemoryDatagrams(asyncio.DatagramTransport):
    """One process's datagram socket."""

    def __init__(
        self,
        fabric: MemoryFabric,
        owner: str,
        protocol: asyncio.DatagramProtocol,
        address: Address,
    ) -> None:
        super().__init__()
        self._fabric = fabric
        self._address = address
        self.owner = owner
        self.protocol = protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the local address as the socket's name."""
        if name == "sockname":
            return (self._address.host, self._address.port)
        return default

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram; it is lost at random, and whenever the link is held."""
        target = self._fabric.datagrams.get(Address(host=addr[0], port=addr[1]))
        if (
            target is None
            or self._fabric.rng.random() < self._fabric.datagram_loss_rate
        ):
            return
        if self._fabric.is_held(self.owner, target.owner):
            return
        source = (self._address.host, self._address.port)
        datagram = bytes(data)
        self._fabric.deliver(
            self.owner,
            target.owner,
            lambda: target.protocol.datagram_received(datagram, source),
            len(datagram),
        )

    def close(self) -> None:
        """Close the socket."""
        if self._fabric.datagrams.get(self._address) is self:
            del self._fabric.datagrams[self._address]

    def abort(self) -> None:
        """Close the socket."""
        self.close()

    def is_closing(self) -> bool:
        """Return whether the socket is closed."""
        return self._fabric.datagrams.get(self._address) is not self
