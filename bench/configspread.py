"""Measure how a document version spreads over 330 nodes, in virtual time.

Run it with ``python -m bench.configspread``. The nodes' own `ConfigSync` and
`ObjectFetcher` communicate over an in-memory network; the platform's table and object
store count reads. Gossip is modelled: a node that has applied a version announces it to
three random nodes within 0.2 s, as real nodes do with their gossip datagrams.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence

import looptime
import msgspec
from result import Ok, Result

from celerytrail.clock import LoopClock
from celerytrail.configuration.current import Configuration
from celerytrail.configuration.document import Document, OrganisationSpec
from celerytrail.configuration.fetch import ObjectFetcher
from celerytrail.configuration.records import HEAD_KEY, OBJECT_PREFIX, Head
from celerytrail.configuration.sections import Tree
from celerytrail.configuration.sync import ConfigSync
from celerytrail.http.client import HttpClient
from celerytrail.http.messages import Request
from celerytrail.http.routes import Router
from celerytrail.http.server import HttpServer
from celerytrail.metrics import Metrics
from celerytrail.platform.client import Unavailable
from celerytrail.platform.objects import ObjectStore
from celerytrail.platform.table import Row, Rows, Table, Transaction, TransactResult
from celerytrail.types import Address
from scenarios.memorynetwork import MemoryFabric

N_NODES = 330
N_VERSIONS = 5
N_ORGANISATIONS = 300
N_GOSSIP_PEERS = 3
MAX_GOSSIP_DELAY_SECONDS = 0.2
PLATFORM_DELAY_SECONDS = 0.005
PUBLISH_INTERVAL_SECONDS = 20.0
WARM_UP_SECONDS = 30.0


class CountingPlatform(Table, ObjectStore):
    """Holds a head row and objects, and counts the reads of each."""

    def __init__(self) -> None:
        self.head: Head | None = None
        self.objects: dict[str, bytes] = {}
        self.n_reads: Counter[str] = Counter()

    async def read(
        self, keys: Sequence[str], deadline: float
    ) -> Result[Rows, Unavailable]:
        """Return the head row, if it is set, and count the read."""
        self.n_reads["head"] += 1
        await asyncio.sleep(PLATFORM_DELAY_SECONDS)
        if self.head is None:
            return Ok({})
        value = msgspec.to_builtins(self.head)
        return Ok({HEAD_KEY: Row(key=HEAD_KEY, value=value, version=1)})

    async def get(
        self, name: str, deadline: float
    ) -> Result[bytes | None, Unavailable]:
        """Return an object, if it exists, and count the read."""
        self.n_reads["object"] += 1
        await asyncio.sleep(PLATFORM_DELAY_SECONDS)
        return Ok(self.objects.get(name.removeprefix(OBJECT_PREFIX)))

    def publish(self, version: int, tree: Tree) -> None:
        """Store a tree's objects and make it the newest version."""
        for digest in tree.digests():
            self.objects[digest] = tree.get(digest) or b""
        self.head = Head(
            version=version, root=tree.root, operation_id="o", author="a", at=0.0
        )

    async def transact(
        self, transaction: Transaction, deadline: float
    ) -> TransactResult:
        """Not used here."""
        raise NotImplementedError

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100, deadline: float
    ) -> Result[tuple[Row, ...], Unavailable]:
        """Not used here."""
        raise NotImplementedError

    async def put(
        self, name: str, data: bytes, deadline: float
    ) -> Result[None, Unavailable]:
        """Not used here."""
        raise NotImplementedError


class AcceptAllAuth:
    """Signs no requests and accepts each."""

    def headers(self, method: str, path: str, body: bytes) -> dict[str, str]:
        """Return no headers."""
        return {}

    def accepts(self, req: Request) -> bool:
        """Accept each request."""
        return True


class Fleet:
    """Runs the configuration of all nodes, with modelled gossip.

    Parameters
    ----------
    is_gossiping : bool
        Whether nodes announce versions to one another.
    """

    def __init__(self, *, is_gossiping: bool) -> None:
        self._is_gossiping = is_gossiping
        self._rng = random.Random(1)
        self._wires = MemoryFabric(rng=random.Random(2))
        self._clock = LoopClock()
        self.platform = CountingPlatform()
        self._addresses = [
            Address(host=f"10.0.{n // 250}.{n % 250 + 1}", port=7101)
            for n in range(N_NODES)
        ]
        self.syncs: list[ConfigSync] = []
        self.fetchers: list[ObjectFetcher] = []
        self._servers: list[HttpServer] = []
        self._clients: list[HttpClient] = []
        self.in_force_at: dict[int, list[float]] = {}

    async def start(self) -> None:
        """Start every node."""
        for number in range(N_NODES):
            await self._start_node(number)

    async def _start_node(self, number: int) -> None:
        address = self._addresses[number]
        network = self._wires.network_of(str(address))
        configuration = Configuration()
        rng = random.Random(1000 + number)
        metrics = Metrics(process=str(number))
        client = HttpClient(process=str(number), network=network)
        others = [other for other in self._addresses if other != address]
        fetcher = ObjectFetcher(
            objects=self.platform,
            client=client,
            auth=AcceptAllAuth(),
            peers=lambda: others,
            clock=self._clock,
            rng=rng,
            metrics=metrics,
        )
        sync = ConfigSync(
            configuration=configuration,
            table=self.platform,
            fetcher=fetcher,
            auth=AcceptAllAuth(),
            n_nodes=lambda: N_NODES,
            announce=lambda version, root: self._announce(version, root, address),
            clock=self._clock,
            rng=rng,
            metrics=metrics,
        )
        router = Router()
        sync.add_routes(router)
        server = HttpServer(handler=router, network=network)
        await server.start(address)
        await sync.start()
        self._servers.append(server)
        self._clients.append(client)
        self.syncs.append(sync)
        self.fetchers.append(fetcher)

    async def stop(self) -> None:
        """Stop every node."""
        for sync in self.syncs:
            await sync.stop()
        for client in self._clients:
            client.close()
        for server in self._servers:
            await server.close()

    def _announce(self, version: int, root: str, holder: Address) -> None:
        now = self._clock.monotonic()
        self.in_force_at.setdefault(version, []).append(now)
        if not self._is_gossiping:
            return
        loop = asyncio.get_running_loop()
        for sync in self._rng.sample(self.syncs, N_GOSSIP_PEERS):
            delay = self._rng.uniform(0.0, MAX_GOSSIP_DELAY_SECONDS)
            loop.call_later(delay, sync.record_version, version, root, holder)


async def measure(name: str, *, is_gossiping: bool) -> None:
    """Publish versions in sequence and print how fast and at what cost they spread."""
    fleet = Fleet(is_gossiping=is_gossiping)
    organisations = [OrganisationSpec(name=f"o{n}") for n in range(N_ORGANISATIONS)]
    fleet.platform.publish(1, Tree.of(Document(organisations=tuple(organisations))))
    await fleet.start()
    await asyncio.sleep(WARM_UP_SECONDS)
    loop = asyncio.get_running_loop()
    fleet.platform.n_reads.clear()
    for fetcher in fleet.fetchers:
        fetcher.n_bytes_by_source.update(peer=0, platform=0)
    delays: list[float] = []
    started = loop.time()
    for version in range(2, 2 + N_VERSIONS):
        organisations[version] = OrganisationSpec(name=f"o{version}", priority=9)
        tree = Tree.of(Document(organisations=tuple(organisations)))
        published_at = loop.time()
        fleet.platform.publish(version, tree)
        await asyncio.sleep(PUBLISH_INTERVAL_SECONDS)
        applied_at = fleet.in_force_at[version]
        assert len(applied_at) == N_NODES, f"{len(applied_at)} of {N_NODES} nodes"
        delays += [at - published_at for at in applied_at]
    seconds = loop.time() - started
    delays.sort()
    reads = fleet.platform.n_reads
    n_bytes = Counter[str]()
    for fetcher in fleet.fetchers:
        n_bytes.update(fetcher.n_bytes_by_source)
    print(f"{name}: {N_VERSIONS} versions to {N_NODES} nodes")
    print(f"  in force after p50 {delays[len(delays) // 2]:.2f} s,", end=" ")
    print(f"p99 {delays[int(len(delays) * 0.99)]:.2f} s, at most {delays[-1]:.2f} s")
    print(f"  head rows read per second: {reads['head'] / seconds:.1f}")
    print(
        f"  objects read from the platform per version: {reads['object'] / N_VERSIONS}"
    )
    print(f"  bytes from peers {n_bytes['peer']}, platform {n_bytes['platform']}")
    await fleet.stop()


def main() -> None:
    """Measure with and without gossip."""
    for name, is_gossiping in (("gossip and polls", True), ("polls alone", False)):
        loop = looptime.new_event_loop()
        # All input and output is in memory, so the clock needn't wait for real sockets.
        loop.setup_looptime(start=0, noop_cycles=0)
        try:
            loop.run_until_complete(measure(name, is_gossiping=is_gossiping))
        finally:
            loop.close()


if __name__ == "__main__":
    main()
