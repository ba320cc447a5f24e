"""Connections to endpoints: on this node's own path, or through a node that has one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Iterator, Mapping
from typing import Any, TypeVar

import h11
import msgspec
from eliot import log_message

from ..http.messages import Connection
from ..http.network import Listener, Network
from ..http.tunnels import TunnelRefusedError, open_tunnel
from ..metrics import Metrics
from ..nodes.member import Member
from ..nodes.signing import PeerKeys
from ..policies.peerchoice import PeerChoice
from ..policies.reach import Reach
from ..supervision import BackgroundTasks
from ..types import Address
from .endpointanswers import RelayedStatements
from .tunnelserver import TUNNEL_PATH, TunnelRequest, decode_statements

P = TypeVar("P", bound=asyncio.BaseProtocol)

# Head start of one way to connect before the next is tried beside it, in seconds: many
# round trips within a region.
STAGGER_SECONDS = 0.05
# Nodes that are asked for one connection.
MAX_PEERS = 3
# Timeout for a connection that only shows whether a path is open, in seconds.
CHECK_SECONDS = 0.25
# An endpoint that sent something less than this long ago isn't checked, in seconds.
FRESH_SECONDS = 0.3
# Endpoints that are checked after this node failed to reach another one.
N_CHECKED = 3
# How long a node that couldn't connect to an endpoint isn't asked again, in seconds.
AVOID_SECONDS = 1.0
# How long a refused connection shows that a path isn't silent, in seconds.
REFUSED_SECONDS = 0.5
# Interval at which lost paths that no request tries are tried, in seconds.
PROBE_SECONDS = 0.5
N_PROBED = 4


class EndpointPaths(Network):
    """Connects to endpoints, through another node if this one has lost the path.

    The ways are tried side by side, each a little after the one before it, and the
    first connection counts (RFC 8305 does so with addresses). So neither a path that is
    silent nor one that refuses costs a request its target.

    Parameters
    ----------
    network : Network
        This node's own network.
    reach : Reach
        Which endpoints this node has lost the path to.
    peers : callable
        Returns the other nodes that may reach an endpoint.
    same_service : callable
        Returns the endpoints of the same service as one, including itself.
    choice : PeerChoice
        Chooses among them.
    keys : PeerKeys
        Sign the requests to other nodes.
    metrics : Metrics
        Counts connections by way.
    on_silent : callable
        Called with an endpoint when the path to it has fallen silent.
    on_stated : callable
        Called with an endpoint and what it has stated to the node that connects to it,
        before anything is sent there.
    on_regained : callable
        Called with an endpoint when this node reaches it again itself.
    """

    def __init__(
        self,
        *,
        network: Network,
        reach: Reach,
        peers: Callable[[Address], list[Member]],
        same_service: Callable[[Address], list[Address]],
        choice: PeerChoice,
        keys: PeerKeys,
        metrics: Metrics,
        on_silent: Callable[[Address], None],
        on_stated: Callable[[Address, RelayedStatements], None],
        on_regained: Callable[[Address], None],
    ) -> None:
        self._network = network
        self._reach = reach
        self._peers = peers
        self._same_service = same_service
        self._choice = choice
        self._keys = keys
        self._metrics = metrics
        self._on_silent = on_silent
        self._on_stated = on_stated
        self._on_regained = on_regained
        # Connections by endpoint, on the own path and through other nodes: open ones,
        # and those that were closed a moment ago.
        self._direct: dict[Address, list[Connection]] = {}
        self._tunnelled: dict[Address, list[Connection]] = {}
        self._avoid_until: dict[tuple[str, Address], float] = {}
        # When a connection on the own path was last refused.
        self._refused_at: dict[Address, float] = {}
        self._checks: dict[Address, asyncio.Task[None]] = {}
        self._tasks = BackgroundTasks()
        # Whether idle connections may have to be closed.
        self.has_retired = False

    async def run(self) -> None:
        """Try lost paths again periodically, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            now = _now()
            due = [
                address
                for address in self._reach.unreached()
                if self._reach.is_retry_due(address, now)
            ]
            for address in due[:N_PROBED]:
                self._tasks.spawn(self._probe(address))

    def close(self) -> None:
        """Cancel what is in progress."""
        self._tasks.close()

    async def listen(
        self, factory: Callable[[], asyncio.Protocol], address: Address
    ) -> Listener:
        """Accept connections on an address."""
        return await self._network.listen(factory, address)

    async def open_datagrams(
        self, factory: Callable[[], asyncio.DatagramProtocol], address: Address
    ) -> asyncio.DatagramTransport:
        """Open a socket for datagrams on an address."""
        return await self._network.open_datagrams(factory, address)

    async def connect(self, factory: Callable[[], P], address: Address) -> P:
        """Connect to an endpoint by the first way that works.

        Raises
        ------
        OSError
            When no way works.
        """
        is_lost = self._reach.is_lost(address)
        is_retry = is_lost and self._reach.is_retry_due(address, _now())
        first = []
        if not is_lost or is_retry:
            first.append(self._connect_directly(factory, address))
        ways = self._ways(factory, address, first)
        try:
            return await self._race(ways, 0.0 if is_retry else STAGGER_SECONDS)
        except OSError:
            self._reach.record_down(address, _now())
            raise

    def suspect(self, address: Address) -> None:
        """Check the path to an endpoint from which an answer doesn't arrive."""
        if address in self._checks or self._is_fresh(address):
            return
        task = self._tasks.spawn(self._check(address))
        self._checks[address] = task
        task.add_done_callback(lambda _: self._checks.pop(address, None))

    def check_then(self, address: Address, action: Callable[[], None]) -> None:
        """Check the path to an endpoint, and call a function if it is open."""

        async def check() -> None:
            await self._check(address)
            if not self._reach.is_unreached(address):
                action()

        self._tasks.spawn(check())

    # Internals.

    def _ways(
        self,
        factory: Callable[[], P],
        address: Address,
        first: list[Coroutine[Any, Any, P]],
    ) -> Iterator[Coroutine[Any, Any, P]]:
        """Yield the ways to connect, in the order in which they are tried."""
        yield from first
        now = _now()
        if self._reach.is_down(address, now):
            return
        members = [
            member
            for member in self._peers(address)
            if now >= self._avoid_until.get((member.node, address), 0.0)
        ]
        self._record_unreached(address)
        for member in self._choice.order(members, MAX_PEERS):
            yield self._connect_through(member, factory, address)

    async def _race(
        self, ways: Iterator[Coroutine[Any, Any, P]], stagger_seconds: float
    ) -> P:
        """Return the first connection; start the next way early if one fails."""
        tasks: list[asyncio.Task[P]] = []
        pending: set[asyncio.Task[P]] = set()
        winner: asyncio.Task[P] | None = None
        exc: BaseException = ConnectionRefusedError("no node reaches the endpoint")
        are_all_begun = False
        try:
            while True:
                if not are_all_begun:
                    way = next(ways, None)
                    are_all_begun = way is None
                    if way is not None:
                        task = asyncio.ensure_future(way)
                        tasks.append(task)
                        pending.add(task)
                if not pending:
                    raise exc
                done, pending = await asyncio.wait(
                    pending,
                    timeout=None if are_all_begun else stagger_seconds,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    if task.exception() is None:
                        winner = task
                        return task.result()
                    exc = task.exception() or exc
        finally:
            for task in tasks:
                if task is not winner:
                    task.cancel()
                    task.add_done_callback(_close_connection)

    async def _connect_directly(self, factory: Callable[[], P], address: Address) -> P:
        try:
            protocol = await self._network.connect(factory, address)
        except OSError:
            self._refused_at[address] = _now()
            self._record_unreached(address)
            raise
        self._record_reached(address)
        if isinstance(protocol, Connection):
            _add_connection(self._direct, address, protocol)
        return protocol

    async def _connect_through(
        self, member: Member, factory: Callable[[], P], address: Address
    ) -> P:
        body = msgspec.json.encode(TunnelRequest(endpoint=str(address)))
        try:
            protocol = await open_tunnel(
                self._network,
                member.peer,
                TUNNEL_PATH,
                body,
                self._keys.headers("POST", TUNNEL_PATH, body),
                factory,
                on_accepted=lambda headers: self._on_accepted(address, headers),
            )
        except OSError as exc:
            self._on_tunnel_failed(member, address, exc)
            raise
        except asyncio.CancelledError:
            # Another way was faster: the node may have died, with its connections.
            self._avoid(member, address)
            raise
        self._metrics.count("endpoint_tunnels", outcome="opened")
        self._record_lost(address, member)
        if isinstance(protocol, Connection):
            _add_connection(self._tunnelled, address, protocol)
            # The node in the middle reads and tells what the endpoint states once for
            # each tunnel, so each carries one request.
            protocol.is_retired = True
        return protocol

    def _on_accepted(self, address: Address, headers: Mapping[str, str]) -> None:
        self._on_stated(address, decode_statements(headers))

    def _on_tunnel_failed(self, member: Member, address: Address, exc: OSError) -> None:
        self._avoid(member, address)
        reason = exc.reason if isinstance(exc, TunnelRefusedError) else repr(exc)
        self._metrics.count("endpoint_tunnels", outcome="failed")
        log_message(
            "relay:tunnel:failed",
            node=member.node,
            address=str(address),
            reason=reason,
        )

    def _avoid(self, member: Member, address: Address) -> None:
        now = _now()
        self._avoid_until = {
            key: until for key, until in self._avoid_until.items() if now < until
        }
        self._avoid_until[member.node, address] = now + AVOID_SECONDS

    def _record_reached(self, address: Address) -> None:
        if not self._reach.record_reached(address, _now()):
            return
        log_message("relay:path:back", address=str(address))
        self._on_regained(address)
        self._tunnelled.pop(address, None)

    def _record_lost(self, address: Address, member: Member) -> None:
        if not self._reach.record_lost(address, _now()):
            return
        log_message("relay:path:lost", address=str(address), through=member.node)
        self._metrics.count("endpoint_paths_lost")
        if _now() - self._refused_at.get(address, 0.0) > REFUSED_SECONDS:
            # The path is silent, and so are the connections that it carried.
            self._retire(self._direct.pop(address, ()))
            self._on_silent(address)

    def _record_unreached(self, address: Address) -> None:
        """Record a failure, and check other endpoints of the same service."""
        if not self._reach.record_unreached(address, _now()):
            return
        others = [
            other
            for other in self._same_service(address)
            if not self._reach.is_unreached(other) and not self._is_fresh(other)
        ]
        others.sort(key=self._received_at, reverse=True)
        for other in others[:N_CHECKED]:
            self.suspect(other)

    def _retire(self, conns: Iterable[Connection]) -> None:
        for conn in conns:
            conn.is_retired = True
            self.has_retired = True

    async def _check(self, address: Address) -> None:
        """Connect to an endpoint once, to learn whether its path is open."""
        try:
            async with asyncio.timeout(CHECK_SECONDS):
                conn = await self.connect(_make_connection, address)
        except (OSError, TimeoutError):
            return
        conn.close()

    async def _probe(self, address: Address) -> None:
        try:
            async with asyncio.timeout(CHECK_SECONDS):
                conn = await self._connect_directly(_make_connection, address)
        except (OSError, TimeoutError):
            return
        conn.close()

    def _is_fresh(self, address: Address) -> bool:
        return _now() - self._received_at(address) < FRESH_SECONDS

    def _received_at(self, address: Address) -> float:
        """Return when something last arrived from an endpoint, by any way."""
        conns = [
            *self._direct.get(address, ()),
            *self._tunnelled.get(address, ()),
        ]
        return max((conn.received_at for conn in conns), default=0.0)


def _add_connection(
    conns: dict[Address, list[Connection]], address: Address, conn: Connection
) -> None:
    """Add a connection, and drop those closed so long ago that they tell nothing."""
    fresh_since = _now() - FRESH_SECONDS
    kept = [
        other
        for other in conns.get(address, ())
        if not other.is_lost or other.received_at > fresh_since
    ]
    conns[address] = [*kept, conn]


def _make_connection() -> Connection:
    return Connection(role=h11.CLIENT)


def _close_connection(task: asyncio.Task[Any]) -> None:
    """Close what an attempt connected after another one had won."""
    if task.cancelled() or task.exception() is not None:
        return
    protocol = task.result()
    if isinstance(protocol, Connection):
        protocol.abort()


def _now() -> float:
    return asyncio.get_running_loop().time()
