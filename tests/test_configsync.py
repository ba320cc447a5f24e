"""Distribution of versions to nodes under failures; versions never decrease."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import pytest
from storefakes import FakeObjects, FakeTable

from celerytrail.clock import LoopClock
from celerytrail.configuration.current import Configuration
from celerytrail.configuration.document import Document, ModelSpec, OrganisationSpec
from celerytrail.configuration.fetch import ObjectFetcher
from celerytrail.configuration.records import HEAD_KEY, history_key, object_name
from celerytrail.configuration.sections import (
    Tree,
    digest_of,
    make_section,
    section_name,
)
from celerytrail.configuration.sync import HEAD_PATH, HINT_PATH, ConfigSync
from celerytrail.http.client import HttpClient
from celerytrail.http.routes import Router
from celerytrail.http.server import HttpServer
from celerytrail.metrics import Metrics
from celerytrail.operators.store import DocumentStore
from celerytrail.types import Address
from scenarios.memorynetwork import MemoryFabric

pytestmark = pytest.mark.looptime


class FakePeerAuth:
    def headers(self, method, path, body):
        return {"x-peer-signature": "good"}

    def accepts(self, req):
        return req.headers.get("x-peer-signature") == "good"


def document(*names: str) -> Document:
    return Document(
        models=(ModelSpec(name="contracts", version="v1"),),
        organisations=tuple(OrganisationSpec(name=name) for name in sorted(names)),
    )


class NodeUnderTest:
    """A node's configuration; the test cluster delivers its gossip directly."""

    def __init__(self, cluster, number, n_nodes):
        self.cluster = cluster
        self.name = f"n{number}"
        self.address = Address(host=f"10.0.0.{number + 1}", port=7101)
        network = cluster.wires.network_of(self.name)
        self.metrics = Metrics(process=self.name)
        self.configuration = Configuration()
        self.applied = []
        self.configuration.subscribe(lambda new: self.applied.append(new.version))
        self.client = HttpClient(process=self.name, network=network)
        self.fetcher = ObjectFetcher(
            objects=cluster.objects,
            client=self.client,
            auth=FakePeerAuth(),
            peers=lambda: [n.address for n in cluster.nodes if n is not self],
            clock=cluster.clock,
            rng=random.Random(number),
            metrics=self.metrics,
        )
        self.sync = ConfigSync(
            configuration=self.configuration,
            table=cluster.table,
            fetcher=self.fetcher,
            auth=FakePeerAuth(),
            n_nodes=lambda: n_nodes,
            announce=self.announce,
            clock=cluster.clock,
            rng=random.Random(100 + number),
            metrics=self.metrics,
        )
        router = Router()
        self.sync.add_routes(router)
        self.server = HttpServer(handler=router, network=network)

    async def start(self):
        await self.server.start(self.address)
        await self.sync.start()
        self.cluster.nodes.append(self)

    async def stop(self):
        await self.sync.stop()
        await self.server.close()
        self.client.close()

    def announce(self, version, root):
        if self.cluster.is_gossiping:
            for other in self.cluster.nodes:
                if other is not self:
                    other.sync.record_version(version, root, self.address)

    @property
    def document(self):
        return self.configuration.current.document

    @property
    def version(self):
        return self.configuration.current.version


class Cluster:
    """A platform and nodes on a network in memory."""

    def __init__(self):
        self.wires = MemoryFabric(rng=random.Random(1))
        self.clock = LoopClock()
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.nodes = []
        self.is_gossiping = True
        self.n_operations = 0

    async def add(self, n_nodes=3, n=1):
        for _ in range(n):
            await NodeUnderTest(self, len(self.nodes), n_nodes).start()
        return self.nodes[-1]

    async def accept(self, doc):
        store = DocumentStore(
            table=self.table,
            objects=self.objects,
            clock=self.clock,
            rng=random.Random(1),
        )
        self.n_operations += 1
        deadline = self.clock.monotonic() + 5
        base = (await store.load(deadline)).ok_value.version
        accepted = await store.accept(
            doc,
            base_version=base,
            operation_id=f"op{self.n_operations}",
            author="ana",
            note="",
            deadline=deadline,
        )
        return accepted.ok_value

    def versions(self):
        return [node.version for node in self.nodes]


@pytest.fixture
async def cluster():
    cluster = Cluster()
    yield cluster
    for node in cluster.nodes:
        await node.stop()


class TestSpread:
    async def test_version_is_applied_on_every_node(self, cluster):
        await cluster.add(n=3)
        for number in range(3):
            await cluster.accept(document("a", f"b{number}"))
            await asyncio.sleep(3)
            assert cluster.versions() == [number + 1] * 3
            assert cluster.nodes[2].document == document("a", f"b{number}")

    async def test_polling_alone_is_enough(self, cluster):
        """Gossip doesn't arrive, as between partitioned regions.

        A node that relied on gossip would serve the old document for minutes.
        """
        cluster.is_gossiping = False
        await cluster.add(n_nodes=330, n=3)
        await cluster.accept(document("a"))
        await asyncio.sleep(1)
        await cluster.accept(document("b"))
        await asyncio.sleep(7.1)
        assert cluster.versions() == [2, 2, 2]

    async def test_330_nodes_rarely_read_head_row(self, cluster):
        """Reading the head row on each node every second would be a sixth of all reads.

        The polling interval therefore grows with the number of nodes.
        """
        node = await cluster.add(n_nodes=330)
        await cluster.accept(document("a"))
        await asyncio.sleep(5)
        before = cluster.table.n_calls["read"]
        await asyncio.sleep(600)
        reads_a_second = (cluster.table.n_calls["read"] - before) / 600 * 330
        assert reads_a_second < 2_000 / 6 / 4
        assert node.version == 1

    async def test_console_hint_is_applied_at_once(self, cluster):
        node = await cluster.add(n_nodes=330)
        await cluster.accept(document("a"))
        await asyncio.sleep(5)
        head = await cluster.accept(document("b"))
        body = f'{{"version": 2, "root": "{head.root}"}}'.encode()
        answer = await node.client.request(
            node.address,
            "POST",
            HINT_PATH,
            body=body,
            headers=FakePeerAuth().headers("", "", b""),
        )
        assert answer.ok_value.status == 204
        await asyncio.sleep(0.1)
        assert node.version == 2

    async def test_only_changed_objects_are_fetched(self, cluster):
        names = [f"o{number}" for number in range(200)]
        node = await cluster.add()
        await cluster.accept(document(*names))
        await asyncio.sleep(3)
        before = cluster.objects.n_calls["get"]
        await cluster.accept(document(*names, "more"))
        n_console_reads = cluster.objects.n_calls["get"] - before
        await asyncio.sleep(3)
        assert node.version == 2
        n_fetched = cluster.objects.n_calls["get"] - before - n_console_reads
        assert n_fetched == 3


class TestUpwardsOnly:
    async def test_old_version_never_reverts(self, cluster):
        """A node resumes and gossips its old version, and reads are stale.

        Applying the old version would revert an accepted change.
        """
        node = await cluster.add()
        first = await cluster.accept(document("a"))
        await asyncio.sleep(3)
        old_rows = dict(cluster.table.rows)
        await cluster.accept(document("b"))
        await asyncio.sleep(3)
        node.sync.record_version(1, first.root, Address(host="10.0.0.9", port=1))
        cluster.table.stale_rows, cluster.table.n_stale_reads = old_rows, 5
        await asyncio.sleep(20)
        assert node.applied == [1, 2]
        assert node.document == document("b")

    async def test_frozen_through_three_versions(self, cluster):
        """A node is frozen while three versions are accepted, and then resumes."""
        node = await cluster.add()
        await cluster.accept(document("a"))
        await asyncio.sleep(3)
        await node.sync.stop()
        for name in ("b", "c", "d"):
            head = await cluster.accept(document(name))
        node.sync.record_version(2, (await root_of_version(cluster, 2)), None)
        await node.sync.start()
        await asyncio.sleep(3)
        assert (node.version, node.sync.root) == (4, head.root)
        assert node.applied == sorted(node.applied)
        assert node.document == document("d")

    async def test_second_root_of_one_version_is_reported_once(self, cluster):
        node = await cluster.add()
        await cluster.accept(document("a"))
        await asyncio.sleep(3)
        for _ in range(5):
            node.sync.record_version(1, "f" * 64)
        assert b'problem="other_root",process="n0"} 1' in node.metrics.render()[0]
        assert node.document == document("a")

    async def test_head_row_is_older_than_current_version(self, cluster):
        """The platform loses its newest rows; the node keeps its current version."""
        node = await cluster.add()
        await cluster.accept(document("a"))
        rows = dict(cluster.table.rows)
        await cluster.accept(document("b"))
        await asyncio.sleep(3)
        cluster.table.rows = rows
        await asyncio.sleep(30)
        assert node.version == 2
        assert b'problem="old_head"' in node.metrics.render()[0]


async def root_of_version(cluster, version):
    return cluster.table.rows[history_key(version)].value["root"]


class TestPlatformDown:
    async def test_node_boots_from_its_peers(self, cluster):
        """A VM is replaced during a platform outage of an hour.

        A node that could only load from the platform would refuse every caller for
        that hour.
        """
        await cluster.add(n=2)
        await cluster.accept(document("a", "b"))
        await asyncio.sleep(3)
        cluster.table.is_down = cluster.objects.is_down = True
        node = await cluster.add()
        await asyncio.sleep(3)
        assert node.version == 1
        assert node.document == document("a", "b")
        assert node.fetcher.n_bytes_by_source["platform"] == 0

    async def test_single_node_recovers_after_outage(self, cluster):
        cluster.table.is_down = cluster.objects.is_down = True
        node = await cluster.add()
        await asyncio.sleep(3600)
        assert node.version == 0
        cluster.table.is_down = cluster.objects.is_down = False
        await cluster.accept(document("a"))
        await asyncio.sleep(3)
        assert node.version == 1

    async def test_objects_missing_for_a_while(self, cluster):
        """The head row is readable; the object store is down and no peer holds it."""
        node = await cluster.add()
        await cluster.accept(document("a"))
        cluster.objects.is_down = True
        await asyncio.sleep(60)
        assert node.version == 0
        n_tries = cluster.objects.n_calls["get"]
        assert n_tries < 200
        cluster.objects.is_down = False
        await asyncio.sleep(7)
        assert node.version == 1


class TestBadInput:
    async def test_bad_section_leaves_the_old_version(self, cluster):
        """An invalid version was written without the console.

        Applying it in part would refuse some organisations and not others.
        """
        node = await cluster.add()
        await cluster.accept(document("a"))
        await asyncio.sleep(3)
        self.write_version(
            cluster, Document(organisations=(OrganisationSpec(name="a b"),)), 2
        )
        await asyncio.sleep(5)
        assert node.version == 1
        assert b"version_refused" in node.metrics.render()[0]
        cluster.n_operations = 10
        tree = Tree.of(document("c"))
        self.write_version(cluster, tree.document(), 3)
        await asyncio.sleep(5)
        assert node.version == 3

    async def test_damaged_object_from_a_peer(self, cluster):
        """One peer's memory is corrupted; the object is fetched from another source."""
        corrupted, good = await cluster.add(), await cluster.add()
        await cluster.accept(document("a"))
        await asyncio.sleep(3)
        corrupted.sync._tree.get = lambda digest: b"{}"
        booting = NodeUnderTest(cluster, 2, 3)
        booting.sync.record_version(1, good.sync.root, corrupted.address)
        await booting.start()
        await asyncio.sleep(1)
        assert booting.version == 1
        assert b'problem="digest"' in booting.metrics.render()[0]

    async def test_invented_version_does_not_block_real_one(self, cluster):
        """A faulty peer repeatedly reports a version that was never accepted."""
        node = await cluster.add()

        async def report_invented_version():
            while True:
                node.sync.record_version(
                    10**6, "f" * 64, Address(host="10.0.0.9", port=1)
                )
                await asyncio.sleep(0.01)

        reporting = asyncio.create_task(report_invented_version())
        await cluster.accept(document("a"))
        await asyncio.sleep(5)
        assert node.version == 1
        reporting.cancel()
        await asyncio.sleep(100)
        assert len(node.sync._targets) == 0

    @pytest.mark.parametrize(
        ("version", "root"), [(0, "f" * 64), (-1, "f" * 64), (2, "x"), (2, "")]
    )
    async def test_invalid_version_or_root_is_dropped(self, cluster, version, root):
        node = await cluster.add()
        node.sync.record_version(version, root)
        assert len(node.sync._targets) == 0

    @pytest.mark.parametrize("value", [None, [], {"version": "x"}, {"version": 1}])
    async def test_bad_head_row(self, cluster, value):
        node = await cluster.add()
        await cluster.accept(document("a"))
        await asyncio.sleep(3)
        row = cluster.table.rows[HEAD_KEY]
        cluster.table.rows[HEAD_KEY] = dataclasses.replace(row, value=value)
        await asyncio.sleep(5)
        assert node.version == 1
        assert b'problem="head"' in node.metrics.render()[0]

    async def test_unsigned_requests_are_refused(self, cluster):
        node = await cluster.add()
        for method, path in (("GET", HEAD_PATH), ("POST", HINT_PATH)):
            answer = await node.client.request(node.address, method, path)
            assert answer.ok_value.status == 403
        await cluster.accept(document("a"))
        await asyncio.sleep(3)
        path = "/peer/v1/objects/" + node.sync.root
        answer = await node.client.request(node.address, "GET", path)
        assert answer.ok_value.status == 403

    @staticmethod
    def write_version(cluster, doc, version):
        tree = Tree.of(doc)
        for digest in tree.digests():
            cluster.objects.objects[object_name(digest)] = tree.get(digest)
        row = cluster.table.rows[HEAD_KEY]
        value = {**row.value, "version": version, "root": tree.root}
        cluster.table.rows[HEAD_KEY] = dataclasses.replace(row, value=value)

    async def test_section_that_is_not_canonical(self, cluster):
        """A section lists its entries in another order than this program writes.

        Nodes couldn't encode it again under its digest to serve a booting peer.
        """
        node = await cluster.add()
        names = [f"m{number}" for number in range(200)]
        name = section_name("models", "m0")
        same_section = [
            other for other in names if section_name("models", other) == name
        ]
        items = tuple(
            ModelSpec(name=other, version="1") for other in same_section[::-1]
        )
        section = make_section(name, items)
        cluster.objects.objects[object_name(section.digest)] = section.encode()
        tree = Tree(sections={name: section})
        for digest in tree.digests():
            cluster.objects.objects[object_name(digest)] = tree.get(digest)
        assert digest_of(tree.get(tree.root)) == tree.root
        node.sync.record_version(5, tree.root)
        await asyncio.sleep(5)
        assert node.version == 0
