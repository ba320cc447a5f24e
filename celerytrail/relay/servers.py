"""The servers of a node on a platform: callers, peers, addresses and readiness."""

from __future__ import annotations

import asyncio

from ..http.bodymemory import BodyMemory
from ..http.network import Network
from ..http.server import Handler, HttpServer, ServerLimits
from ..platform.nodesettings import RelaySettings

# Interval at which a stopping node closes idle connections, in seconds.
STOP_POLL_SECONDS = 0.1


class NodeServers:
    """Listens on the addresses that the settings name.

    Parameters
    ----------
    cfg : RelaySettings
        The node's settings.
    network : Network
        Accepts the connections.
    callers, peers, directory, readiness : Handler
        Answer the requests of callers, of other nodes, for addresses and for readiness.
    memory : BodyMemory
        Bounds the bodies that are held for callers.
    """

    def __init__(
        self,
        *,
        cfg: RelaySettings,
        network: Network,
        callers: Handler,
        peers: Handler,
        directory: Handler,
        readiness: Handler,
        memory: BodyMemory,
    ) -> None:
        self.callers = HttpServer(handler=callers, network=network, memory=memory)
        self._listeners = [
            (HttpServer(handler=peers, network=network), cfg.peers),
            (self.callers, cfg.callers),
            (HttpServer(handler=readiness, network=network), cfg.readiness),
            (HttpServer(handler=directory, network=network), cfg.directory),
        ]

    async def start(self) -> None:
        """Listen on each address that is set."""
        for server, address in self._listeners:
            if address is not None:
                await server.start(address)

    async def drain(self, accept_until: float) -> None:
        """Accept connections until a loop time, and let all answers end."""
        loop = asyncio.get_running_loop()
        self.callers.retire()
        while loop.time() < accept_until:
            await asyncio.sleep(STOP_POLL_SECONDS)
            self.callers.retire()
        await self.callers.drain()

    async def close(self) -> None:
        """Stop at once, aborting what is in progress."""
        for server, _ in self._listeners:
            await server.close()

    def set_limits(self, limits: ServerLimits) -> None:
        """Set the limits for callers."""
        self.callers.set_limits(limits)
