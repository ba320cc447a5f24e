"""One process of the membership bench, which runs only a node's membership.

It reads commands from standard input and prints events, one JSON array per line. Each
event starts with the machine's monotonic time in seconds.
"""

from __future__ import annotations

import asyncio
import json
import random
import resource
import sys
import time
from collections.abc import Callable
from typing import Any

from celerytrail.clock import SystemClock
from celerytrail.http.client import HttpClient
from celerytrail.http.network import P, SystemNetwork
from celerytrail.http.routes import Router
from celerytrail.http.server import HttpServer
from celerytrail.metrics import Metrics
from celerytrail.nodes.member import Member, State
from celerytrail.nodes.nodes import Nodes
from celerytrail.nodes.signing import PeerKeys
from celerytrail.types import Address


class DroppingTransport(asyncio.DatagramTransport):
    """Sends through another transport, except for dropped datagrams."""

    def __init__(
        self, inner: asyncio.DatagramTransport, network: DroppingNetwork
    ) -> None:
        super().__init__()
        self._inner = inner
        self._network = network

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send or drop a datagram."""
        if not self._network.should_drop(addr[1]):
            self._inner.sendto(data, addr)

    def close(self) -> None:
        """Close the wrapped transport."""
        self._inner.close()

    def is_closing(self) -> bool:
        """Return whether the wrapped transport is closing."""
        return self._inner.is_closing()


class DroppingProtocol(asyncio.DatagramProtocol):
    """Gives the wrapped protocol a transport that drops datagrams."""

    def __init__(
        self, inner: asyncio.DatagramProtocol, network: DroppingNetwork
    ) -> None:
        self._inner = inner
        self._network = network

    def connection_made(self, transport: Any) -> None:
        """Pass the wrapped transport on."""
        self._inner.connection_made(DroppingTransport(transport, self._network))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass the datagram on."""
        self._inner.datagram_received(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Pass the error on."""
        self._inner.error_received(exc)


class DroppingNetwork(SystemNetwork):
    """The machine's network, with datagram loss and blocked ports."""

    def __init__(self) -> None:
        self.dropped_share = 0.0
        self.blocked_ports: frozenset[int] = frozenset()

    def should_drop(self, port: int) -> bool:
        """Return whether to drop a datagram to a port."""
        return port in self.blocked_ports or random.random() < self.dropped_share

    async def connect(self, factory: Callable[[], P], address: Address) -> P:
        """Connect to an address; raise OSError for blocked ports."""
        if address.port in self.blocked_ports:
            raise OSError("cut")
        return await super().connect(factory, address)

    async def open_datagrams(
        self, factory: Callable[[], asyncio.DatagramProtocol], address: Address
    ) -> asyncio.DatagramTransport:
        """Bind a port whose outgoing datagrams can be dropped."""
        return await super().open_datagrams(
            lambda: DroppingProtocol(factory(), self), address
        )


def print_event(*values: object) -> None:
    """Print an event with its time."""
    print(json.dumps([time.monotonic(), *values]), flush=True)


class MembershipProcess:
    """Runs the node, executes commands and prints events."""

    def __init__(self, number: int, port: int, seeds: list[int]) -> None:
        self.network = DroppingNetwork()
        self.live: set[str] = set()
        self.states: dict[str, State] = {}
        self.router = Router()
        self.server = HttpServer(handler=self.router)
        self.port = port
        address = Address(host="127.0.0.1", port=port)
        self.nodes = Nodes(
            me=Member(
                node=f"n{number}",
                incarnation=int(time.time() * 1000),
                caller=address,
                peer=address,
                vm=f"vm-{number}",
                failure_domain=f"fd-{number % 3}",
                region="r",
            ),
            keys=PeerKeys(keys=[b"bench"]),
            client=HttpClient(process=f"n{number}", network=self.network),
            clock=SystemClock(),
            metrics=Metrics(process=f"n{number}"),
            rng=random.Random(),
            seeds=[Address(host="127.0.0.1", port=seed) for seed in seeds],
            network=self.network,
        )
        self.nodes.add_routes(self.router)
        self.nodes.on_change(self.on_membership_change)
        self.nodes.on_version(
            lambda version, root, member: print_event("version", version)
        )

    async def run(self) -> None:
        """Serve until the stop command or the end of the input."""
        await self.server.start(Address(host="127.0.0.1", port=self.port))
        await self.nodes.start()
        print_event("started")
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            command, *values = json.loads(line)
            if command == "stop":
                break
            getattr(self, command)(*values)
        await self.nodes.stop()
        await self.server.close()

    def on_membership_change(self) -> None:
        """Print which nodes became live, were removed or are suspected."""
        live = {member.node for member in self.nodes.live()}
        for node in live - self.live:
            print_event("live", node)
        for node in self.live - live:
            print_event("gone", node)
        self.live = live
        for member in self.nodes.members():
            if self.states.get(member.node) is not member.state:
                self.states[member.node] = member.state
                if member.state is State.SUSPECT:
                    print_event("suspect", member.node)

    def version(self, number: int) -> None:
        """Announce a configuration version."""
        print_event("announced", number)
        self.nodes.announce_version(number, f"root{number:060d}")

    def drop(self, share: float) -> None:
        """Set the share of outgoing datagrams to drop."""
        self.network.dropped_share = share

    def cut(self, ports: list[int]) -> None:
        """Block datagrams and connections to these ports, and to no others."""
        self.network.blocked_ports = frozenset(ports)

    def stats(self) -> None:
        """Print bytes sent and received, processor seconds and maximum resident KiB."""
        gossip = self.nodes.gossip
        usage = resource.getrusage(resource.RUSAGE_SELF)
        print_event(
            "stats",
            gossip.n_sent_bytes,
            gossip.n_received_bytes,
            time.process_time(),
            usage.ru_maxrss,
        )


if __name__ == "__main__":
    given_number, given_port, *given_seeds = (int(text) for text in sys.argv[1:])
    asyncio.run(MembershipProcess(given_number, given_port, given_seeds).run())
