"""The network interface of this package, which tests replace by a faulty one."""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Callable
from typing import TypeVar

from ..types import Address

P = TypeVar("P", bound=asyncio.BaseProtocol)

BACKLOG = 1_024


class Listener(abc.ABC):
    """Accepts connections on an address."""

    @property
    @abc.abstractmethod
    def address(self) -> Address:
        """Return the listening address with its actual port."""

    @abc.abstractmethod
    def close(self) -> None:
        """Stop accepting connections; established ones stay open."""


class Network(abc.ABC):
    """Opens stream connections and datagram sockets between IP addresses."""

    @abc.abstractmethod
    async def listen(
        self, factory: Callable[[], asyncio.Protocol], address: Address
    ) -> Listener:
        """Accept connections, creating a protocol for each."""

    @abc.abstractmethod
    async def connect(self, factory: Callable[[], P], address: Address) -> P:
        """Make a connection and return its protocol.

        Raises
        ------
        OSError
            When the connection can't be made.
        """

    @abc.abstractmethod
    async def open_datagrams(
        self, factory: Callable[[], asyncio.DatagramProtocol], address: Address
    ) -> asyncio.DatagramTransport:
        """Open a socket for datagrams on an address."""


class SystemNetwork(Network):
    """TCP and UDP of this machine."""

    async def listen(
        self, factory: Callable[[], asyncio.Protocol], address: Address
    ) -> Listener:
        """Listen on a TCP port."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            factory, address.host, address.port, backlog=BACKLOG
        )
        return _SystemListener(server, address.host)

    async def connect(self, factory: Callable[[], P], address: Address) -> P:
        """Connect by TCP."""
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_connection(factory, address.host, address.port)
        return protocol

    async def open_datagrams(
        self, factory: Callable[[], asyncio.DatagramProtocol], address: Address
    ) -> asyncio.DatagramTransport:
        """Bind a UDP port."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            factory, local_addr=(address.host, address.port)
        )
        return transport


class _SystemListener(Listener):
    def __init__(self, server: asyncio.Server, host: str) -> None:
        self._server = server
        self._host = host
        self._port: int = server.sockets[0].getsockname()[1]

    @property
    def address(self) -> Address:
        return Address(host=self._host, port=self._port)

    def close(self) -> None:
        self._server.close()
