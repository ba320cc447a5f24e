"""A network in memory with switches for its faults; a fake at one interface.

Streams and datagrams between named processes of one event loop. Nothing here knows
what the processes are or do.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import defaultdict, deque
from collections.abc import Callable
from typing import Any, TypeVar

from celerytrail.http.network import Listener, Network
from celerytrail.types import Address

P = TypeVar("P", bound=asyncio.BaseProtocol)

HIGH_WATER_BYTES = 64 * 1024
FIRST_FREE_PORT = 40_000


class Wires:
    """All that processes of one scenario are connected by.

    Parameters
    ----------
    rng : random.Random
        Decides which datagrams are dropped.
    delay : float
        Seconds from sender to receiver.
    """

    def __init__(self, *, rng: random.Random, delay: float = 0.001) -> None:
        self.rng = rng
        self.delay = delay
        self.dropped_share = 0.0
        self.listeners: dict[Address, MemoryListener] = {}
        self.datagrams: dict[Address, MemoryDatagrams] = {}
        self._cut: set[tuple[str, str]] = set()
        self._frozen: set[str] = set()
        self._on_way: defaultdict[tuple[str, str], deque[Callable[[], None]]]
        self._on_way = defaultdict(deque)
        self._held: list[tuple[str, str, Callable[[], None]]] = []
        self._streams: list[MemoryStream] = []
        self._ports = itertools.count(FIRST_FREE_PORT)

    def process(self, name: str) -> MemoryNetwork:
        """Return the network as one process has it."""
        return MemoryNetwork(self, name)

    def cut(self, sender: str, receiver: str) -> None:
        """Hold everything one way, without breaking anything."""
        self._cut.add((sender, receiver))

    def heal(self) -> None:
        """Take all cuts away; what was held arrives."""
        self._cut.clear()
        self._release()

    def freeze(self, name: str) -> None:
        """Hold everything to and from a process, as if it were stopped."""
        self._frozen.add(name)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self._frozen.discard(name)
        self._release()

    def kill(self, name: str) -> None:
        """Take a process's sockets away, as the kernel does for a dead process."""
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
        """Return a port that nobody has."""
        return next(self._ports)

    def deliver(self, sender: str, receiver: str, action: Callable[[], None]) -> None:
        """Do something at the receiver after the delay, or once it can hear again."""
        # The loop keeps no order between two timers of the same moment, and bytes out
        # of order would be a fault that no network has; so each timer takes the first.
        on_way = self._on_way[sender, receiver]
        on_way.append(action)
        asyncio.get_running_loop().call_later(
            self.delay,
            lambda: self._arrive(sender, receiver, on_way.popleft()),
        )

    def deliver_past_freeze(
        self, sender: str, receiver: str, action: Callable[[], None]
    ) -> None:
        """Do something that a frozen receiver's kernel does for it."""
        if (sender, receiver) in self._cut:
            self._held.append((sender, receiver, action))
        else:
            asyncio.get_running_loop().call_later(2 * self.delay, action)

    def is_held(self, sender: str, receiver: str) -> bool:
        """Return whether what one process sends to another is held back."""
        frozen = sender in self._frozen or receiver in self._frozen
        return frozen or (sender, receiver) in self._cut

    def add(self, stream: MemoryStream) -> None:
        """Remember a stream until it is closed."""
        self._streams.append(stream)

    def remove(self, stream: MemoryStream) -> None:
        """Forget a closed stream."""
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
    """The network as one process has it."""

    def __init__(self, wires: Wires, name: str) -> None:
        self._wires = wires
        self._name = name

    async def listen(
        self, factory: Callable[[], asyncio.Protocol], address: Address
    ) -> Listener:
        """Accept connections on an address."""
        if address.port == 0:
            address = Address(host=address.host, port=self._wires.new_port())
        if address in self._wires.listeners:
            raise OSError(f"{address} is in use")
        listener = MemoryListener(self._wires, self._name, factory, address)
        self._wires.listeners[address] = listener
        return listener

    async def connect(self, factory: Callable[[], P], address: Address) -> P:
        """Make a connection; it waits for ever while the other end can't hear."""
        listener = self._wires.listeners.get(address)
        if listener is None:
            await asyncio.sleep(self._wires.delay)
            raise ConnectionRefusedError(f"nothing accepts at {address}")
        # The kernel of a frozen process accepts for it; a cut link lets nothing pass.
        arrived = asyncio.Event()
        self._wires.deliver_past_freeze(self._name, listener.owner, arrived.set)
        await arrived.wait()
        if self._wires.listeners.get(address) is not listener:
            raise ConnectionRefusedError(f"nothing accepts at {address}")
        ours = factory()
        near = MemoryStream(self._wires, self._name, ours)
        theirs = listener.factory()
        far = MemoryStream(self._wires, listener.owner, theirs)
        near.other, far.other = far, near
        theirs.connection_made(far)
        ours.connection_made(near)
        return ours

    async def open_datagrams(
        self, factory: Callable[[], asyncio.DatagramProtocol], address: Address
    ) -> asyncio.DatagramTransport:
        """Send and receive datagrams on an address."""
        transport = MemoryDatagrams(self._wires, self._name, factory(), address)
        self._wires.datagrams[address] = transport
        transport.protocol.connection_made(transport)
        return transport


class MemoryListener(Listener):
    """Accepts connections for one process."""

    def __init__(
        self,
        wires: Wires,
        owner: str,
        factory: Callable[[], asyncio.Protocol],
        address: Address,
    ) -> None:
        self._wires = wires
        self.owner = owner
        self.factory = factory
        self._address = address

    @property
    def address(self) -> Address:
        """Return the address listened on."""
        return self._address

    def close(self) -> None:
        """Accept no more connections."""
        if self._wires.listeners.get(self._address) is self:
            del self._wires.listeners[self._address]


class MemoryStream(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, wires: Wires, owner: str, protocol: Any) -> None:
        super().__init__()
        self._wires = wires
        self._protocol = protocol
        self._is_closing = False
        self._is_lost = False
        self._is_reading = True
        self._unread: list[bytes] = []
        self._has_eof = False
        self._n_on_way = 0
        self._is_paused = False
        self.owner = owner
        self.other: MemoryStream | None = None
        wires.add(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the other end's name as its address."""
        if name == "peername" and self.other is not None:
            return (self.other.owner, 0)
        return default

    def is_closing(self) -> bool:
        """Return whether this end was closed."""
        return self._is_closing

    def write(self, data: Any) -> None:
        """Send bytes to the other end."""
        other = self.other
        if self._is_closing or other is None:
            return
        piece = bytes(data)
        self._n_on_way += len(piece)
        if self._n_on_way > HIGH_WATER_BYTES and not self._is_paused:
            self._is_paused = True
            self._protocol.pause_writing()
        self._wires.deliver(self.owner, other.owner, lambda: other.receive(piece))

    def write_eof(self) -> None:
        """Send the end of this direction."""
        other = self.other
        if other is not None:
            self._wires.deliver(self.owner, other.owner, other.receive_eof)

    def can_write_eof(self) -> bool:
        """Return that each direction can end by itself."""
        return True

    def pause_reading(self) -> None:
        """Keep what arrives."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Hand over what was kept."""
        self._is_reading = True
        asyncio.get_running_loop().call_soon(self._hand_over)

    def close(self) -> None:
        """Close after what was written has arrived."""
        if not self._is_closing:
            self.write_eof()
            self._end(None)

    def abort(self) -> None:
        """Close at once, with a reset for the other end."""
        other = self.other
        if self._is_closing or other is None:
            return
        self._wires.deliver(self.owner, other.owner, other.receive_reset)
        self._end(None)

    def receive(self, piece: bytes) -> None:
        """Take bytes from the other end."""
        if not self._is_closing:
            self._unread.append(piece)
            self._hand_over()

    def receive_eof(self) -> None:
        """Take the other end's end."""
        self._has_eof = True
        self._hand_over()

    def receive_reset(self) -> None:
        """Take the other end's reset."""
        if not self._is_closing:
            self._end(ConnectionResetError("reset by the other end"))

    def took(self, n_bytes: int) -> None:
        """Note that the other end's protocol has taken bytes of ours."""
        self._n_on_way -= n_bytes
        if self._is_paused and self._n_on_way <= HIGH_WATER_BYTES // 2:
            self._is_paused = False
            self._protocol.resume_writing()

    def _hand_over(self) -> None:
        while self._unread and self._is_reading and not self._is_closing:
            piece = self._unread.pop(0)
            if self.other is not None:
                self.other.took(len(piece))
            self._protocol.data_received(piece)
        if self._has_eof and not self._unread and not self._is_closing:
            self._has_eof = False
            if not self._protocol.eof_received():
                self.close()

    def _end(self, exc: Exception | None) -> None:
        self._is_closing = True
        self._wires.remove(self)
        loop = asyncio.get_running_loop()
        loop.call_soon(self._protocol.connection_lost, exc)


class MemoryDatagrams(asyncio.DatagramTransport):
    """One process's datagram socket."""

    def __init__(
        self,
        wires: Wires,
        owner: str,
        protocol: asyncio.DatagramProtocol,
        address: Address,
    ) -> None:
        super().__init__()
        self._wires = wires
        self._address = address
        self.owner = owner
        self.protocol = protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the own address as the socket's name."""
        if name == "sockname":
            return (self._address.host, self._address.port)
        return default

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram; it may be dropped, and is while the other can't hear."""
        target = self._wires.datagrams.get(Address(host=addr[0], port=addr[1]))
        if target is None or self._wires.rng.random() < self._wires.dropped_share:
            return
        if self._wires.is_held(self.owner, target.owner):
            return
        here = (self._address.host, self._address.port)
        piece = bytes(data)
        self._wires.deliver(
            self.owner,
            target.owner,
            lambda: target.protocol.datagram_received(piece, here),
        )

    def close(self) -> None:
        """Close the socket."""
        if self._wires.datagrams.get(self._address) is self:
            del self._wires.datagrams[self._address]

    def abort(self) -> None:
        """Close the socket."""
        self.close()

    def is_closing(self) -> bool:
        """Return whether it was closed."""
        return self._wires.datagrams.get(self._address) is not self
