"""Versions reach every node, upwards only, whatever fails."""

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
from scenarios.memorynetwork import Wires

pytestmark = pytest.mark.looptime


class Auth:
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
    """A node's configuration, with gossip that tests carry by hand."""

    def __init__(self, world, number, n_nodes):
        self.world = world
        self.name = f"n{number}"
        self.address = Address(host=f"10.0.0.{number + 1}", port=7101)
        network = world.wires.process(self.name)
        self.metrics = Metrics(process=self.name)
        self.configuration = Configuration()
        self.applied = []
        self.configuration.subscribe(lambda new: self.applied.append(new.version))
        self.client = HttpClient(process=self.name, network=network)
        self.fetcher = ObjectFetcher(
            objects=world.objects,
            client=self.client,
            auth=Auth(),
            peers=lambda: [n.address for n in world.nodes if n is not self],
            clock=world.clock,
            rng=random.Random(number),
            metrics=self.metrics,
        )
        self.sync = ConfigSync(
            configuration=self.configuration,
            table=world.table,
            fetcher=self.fetcher,
            auth=Auth(),
            n_nodes=lambda: n_nodes,
            announce=self.announce,
            clock=world.clock,
            rng=random.Random(100 + number),
            metrics=self.metrics,
        )
        router = Router()
        self.sync.add_routes(router)
        self.server = HttpServer(handler=router, network=network)

    async def start(self):
        await self.server.start(self.address)
        await self.sync.start()
        self.world.nodes.append(self)

    async def stop(self):
        await self.sync.stop()
        await self.server.close()
        self.client.close()

    def announce(self, version, root):
        if self.world.is_gossiping:
            for other in self.world.nodes:
                if other is not self:
                    other.sync.hear(version, root, self.address)

    @property
    def document(self):
        return self.configuration.current.document

    @property
    def version(self):
        return self.configuration.current.version


class World:
    def __init__(self):
        self.wires = Wires(rng=random.Random(1))
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
        made = await store.accept(
            doc,
            base_version=base,
            operation_id=f"op{self.n_operations}",
            author="ana",
            note="",
            deadline=deadline,
        )
        return made.ok_value

    def versions(self):
        return [node.version for node in self.nodes]


@pytest.fixture
async def world():
    world = World()
    yield world
    for node in world.nodes:
        await node.stop()


class TestSpread:
    async def test_version_is_in_force_everywhere(self, world):
        await world.add(n=3)
        for number in range(3):
            await world.accept(document("a", f"b{number}"))
            await asyncio.sleep(3)
            assert world.versions() == [number + 1] * 3
            assert world.nodes[2].document == document("a", f"b{number}")

    async def test_polling_alone_is_enough(self, world):
        """Gossip carries nothing, as between regions that lost each other.

        A node that waited for gossip would serve by the old document for minutes.
        """
        world.is_gossiping = False
        await world.add(n_nodes=330, n=3)
        await world.accept(document("a"))
        await asyncio.sleep(1)
        await world.accept(document("b"))
        await asyncio.sleep(7.1)
        assert world.versions() == [2, 2, 2]

    async def test_330_nodes_read_little(self, world):
        """Were each node to read the head row every second, a sixth of all reads went
        on that alone.
        """
        node = await world.add(n_nodes=330)
        await world.accept(document("a"))
        await asyncio.sleep(5)
        before = world.table.n_calls["read"]
        await asyncio.sleep(600)
        reads_a_second = (world.table.n_calls["read"] - before) / 600 * 330
        assert reads_a_second < 2_000 / 6 / 4
        assert node.version == 1

    async def test_console_hint_is_heard_at_once(self, world):
        node = await world.add(n_nodes=330)
        await world.accept(document("a"))
        await asyncio.sleep(5)
        head = await world.accept(document("b"))
        body = f'{{"version": 2, "root": "{head.root}"}}'.encode()
        answer = await node.client.request(
            node.address,
            "POST",
            HINT_PATH,
            body=body,
            headers=Auth().headers("", "", b""),
        )
        assert answer.ok_value.status == 204
        await asyncio.sleep(0.1)
        assert node.version == 2

    async def test_only_changed_objects_are_fetched(self, world):
        names = [f"o{number}" for number in range(200)]
        node = await world.add()
        await world.accept(document(*names))
        await asyncio.sleep(3)
        before = world.objects.n_calls["get"]
        await world.accept(document(*names, "more"))
        loads_by_the_operator = world.objects.n_calls["get"] - before
        await asyncio.sleep(3)
        assert node.version == 2
        n_fetched = world.objects.n_calls["get"] - before - loads_by_the_operator
        assert n_fetched == 3


class TestUpwardsOnly:
    async def test_old_news_never_reverts(self, world):
        """A node thaws and gossips what it had, and a read is served stale.

        Users would see an accepted change go and come back.
        """
        node = await world.add()
        first = await world.accept(document("a"))
        await asyncio.sleep(3)
        old_rows = dict(world.table.rows)
        await world.accept(document("b"))
        await asyncio.sleep(3)
        node.sync.hear(1, first.root, Address(host="10.0.0.9", port=1))
        world.table.stale_rows, world.table.n_stale_reads = old_rows, 5
        await asyncio.sleep(20)
        assert node.applied == [1, 2]
        assert node.document == document("b")

    async def test_frozen_through_three_versions(self, world):
        """A node stands still while three versions are accepted, and then goes on."""
        node = await world.add()
        await world.accept(document("a"))
        await asyncio.sleep(3)
        await node.sync.stop()
        for name in ("b", "c", "d"):
            head = await world.accept(document(name))
        node.sync.hear(2, (await world_root(world, 2)), None)
        await node.sync.start()
        await asyncio.sleep(3)
        assert (node.version, node.sync.root) == (4, head.root)
        assert node.applied == sorted(node.applied)
        assert node.document == document("d")

    async def test_two_roots_under_one_version_are_told_once(self, world):
        node = await world.add()
        await world.accept(document("a"))
        await asyncio.sleep(3)
        for _ in range(5):
            node.sync.hear(1, "f" * 64)
        assert b'problem="other_root",process="n0"} 1' in node.metrics.render()[0]
        assert node.document == document("a")

    async def test_damaged_head_goes_back_in_time(self, world):
        """The platform loses its newest rows; what is in force stays in force."""
        node = await world.add()
        await world.accept(document("a"))
        rows = dict(world.table.rows)
        await world.accept(document("b"))
        await asyncio.sleep(3)
        world.table.rows = rows
        await asyncio.sleep(30)
        assert node.version == 2
        assert b'problem="old_head"' in node.metrics.render()[0]


async def world_root(world, version):
    return world.table.rows[history_key(version)].value["root"]


class TestPlatformDown:
    async def test_node_boots_from_its_peers(self, world):
        """A VM is replaced while the platform is down for an hour.

        A node that could only ask the platform would refuse every caller all the time.
        """
        await world.add(n=2)
        await world.accept(document("a", "b"))
        await asyncio.sleep(3)
        world.table.is_down = world.objects.is_down = True
        node = await world.add()
        await asyncio.sleep(3)
        assert node.version == 1
        assert node.document == document("a", "b")
        assert node.fetcher.n_bytes["platform"] == 0

    async def test_lone_node_waits_and_recovers(self, world):
        world.table.is_down = world.objects.is_down = True
        node = await world.add()
        await asyncio.sleep(3600)
        assert node.version == 0
        world.table.is_down = world.objects.is_down = False
        await world.accept(document("a"))
        await asyncio.sleep(3)
        assert node.version == 1

    async def test_objects_missing_for_a_while(self, world):
        """The head row is read, but the object store is down and no peer has it yet."""
        node = await world.add()
        await world.accept(document("a"))
        world.objects.is_down = True
        await asyncio.sleep(60)
        assert node.version == 0
        n_tries = world.objects.n_calls["get"]
        assert n_tries < 200
        world.objects.is_down = False
        await asyncio.sleep(7)
        assert node.version == 1


class TestBadInput:
    async def test_bad_section_leaves_the_old_version(self, world):
        """A version that breaks the rules was written past the console.

        Half of it in force would refuse some organisations and not others.
        """
        node = await world.add()
        await world.accept(document("a"))
        await asyncio.sleep(3)
        self.write(world, Document(organisations=(OrganisationSpec(name="a b"),)), 2)
        await asyncio.sleep(5)
        assert node.version == 1
        assert b"version_refused" in node.metrics.render()[0]
        world.n_operations = 10
        tree = Tree.of(document("c"))
        self.write(world, tree.document(), 3)
        await asyncio.sleep(5)
        assert node.version == 3

    async def test_damaged_object_from_a_peer(self, world):
        """One peer's memory is damaged; the object is asked for elsewhere."""
        bad, good = await world.add(), await world.add()
        await world.accept(document("a"))
        await asyncio.sleep(3)
        bad.sync._tree.get = lambda digest: b"{}"
        late = NodeUnderTest(world, 2, 3)
        late.sync.hear(1, good.sync.root, bad.address)
        await late.start()
        await asyncio.sleep(1)
        assert late.version == 1
        assert b'problem="digest"' in late.metrics.render()[0]

    async def test_invented_version_blocks_no_real_one(self, world):
        """A faulty peer names, again and again, a version that nobody accepted."""
        node = await world.add()

        async def invent():
            while True:
                node.sync.hear(10**6, "f" * 64, Address(host="10.0.0.9", port=1))
                await asyncio.sleep(0.01)

        inventing = asyncio.create_task(invent())
        await world.accept(document("a"))
        await asyncio.sleep(5)
        assert node.version == 1
        inventing.cancel()
        await asyncio.sleep(100)
        assert len(node.sync._targets) == 0

    @pytest.mark.parametrize(
        ("version", "root"), [(0, "f" * 64), (-1, "f" * 64), (2, "x"), (2, "")]
    )
    async def test_bad_news_is_dropped(self, world, version, root):
        node = await world.add()
        node.sync.hear(version, root)
        assert len(node.sync._targets) == 0

    @pytest.mark.parametrize("value", [None, [], {"version": "x"}, {"version": 1}])
    async def test_bad_head_row(self, world, value):
        node = await world.add()
        await world.accept(document("a"))
        await asyncio.sleep(3)
        row = world.table.rows[HEAD_KEY]
        world.table.rows[HEAD_KEY] = dataclasses.replace(row, value=value)
        await asyncio.sleep(5)
        assert node.version == 1
        assert b'problem="head"' in node.metrics.render()[0]

    async def test_unsigned_requests_are_refused(self, world):
        node = await world.add()
        for method, path in (("GET", HEAD_PATH), ("POST", HINT_PATH)):
            answer = await node.client.request(node.address, method, path)
            assert answer.ok_value.status == 403
        await world.accept(document("a"))
        await asyncio.sleep(3)
        path = "/peer/v1/objects/" + node.sync.root
        answer = await node.client.request(node.address, "GET", path)
        assert answer.ok_value.status == 403

    @staticmethod
    def write(world, doc, version):
        tree = Tree.of(doc)
        for digest in tree.digests():
            world.objects.objects[object_name(digest)] = tree.get(digest)
        row = world.table.rows[HEAD_KEY]
        value = {**row.value, "version": version, "root": tree.root}
        world.table.rows[HEAD_KEY] = dataclasses.replace(row, value=value)

    async def test_section_that_is_not_canonical(self, world):
        """A section lists its entries in another order than this program writes.

        Nodes that could not write it again would have nothing for a booting peer.
        """
        node = await world.add()
        names = [f"m{number}" for number in range(200)]
        name = section_name("models", "m0")
        fitting = [one for one in names if section_name("models", one) == name]
        items = tuple(ModelSpec(name=one, version="1") for one in fitting[::-1])
        section = make_section(name, items)
        world.objects.objects[object_name(section.digest)] = section.encode()
        bad = Tree(sections={name: section})
        for digest in bad.digests():
            world.objects.objects[object_name(digest)] = bad.get(digest)
        assert digest_of(bad.get(bad.root)) == bad.root
        node.sync.hear(5, bad.root)
        await asyncio.sleep(5)
        assert node.version == 0
