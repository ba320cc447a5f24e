"""Measures the document at the size we design for: bytes shipped, memory, time.

Run it by ``python -m bench.configuration``. A parent writes the objects of two versions
to a temporary directory; a fresh child, with only what a node imports, brings both into
force one after the other and reports its memory, the time and the longest time that its
event loop stood still.
"""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import hashlib
import random
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Sequence
from pathlib import Path

import msgspec
from result import Ok, Result

from celerytrail.clock import SystemClock
from celerytrail.configuration.checks import findings_in_steps
from celerytrail.configuration.current import Configuration
from celerytrail.configuration.document import (
    AdapterSpec,
    Document,
    EngineSpec,
    ModelSpec,
    OperationSpec,
    OrganisationSpec,
    ServiceSpec,
    encode,
)
from celerytrail.configuration.fetch import ObjectFetcher
from celerytrail.configuration.gcfreeze import freeze_documents
from celerytrail.configuration.records import HEAD_KEY, OBJECT_PREFIX, Head
from celerytrail.configuration.sections import Tree
from celerytrail.configuration.sync import ConfigSync
from celerytrail.http.client import HttpClient
from celerytrail.http.messages import Request
from celerytrail.metrics import Metrics
from celerytrail.platform.client import Unavailable
from celerytrail.platform.objects import ObjectStore
from celerytrail.platform.table import Row, Rows, Table, Transaction, TransactResult

N_ORGANISATIONS = 6_400
N_ENGINES = 2_000
N_MODELS = 31
N_ADAPTERS = 62
N_REGIONS = 6
N_FAILURE_DOMAINS = 15
N_CHANGES_A_DAY = 9_200
SECONDS_A_DAY = 86_400


def make_document() -> Document:
    """Return a document of the size we design for."""
    models = [f"model-{number:02}" for number in range(N_MODELS)]
    return Document(
        models=tuple(ModelSpec(name=name, version="v1") for name in models),
        adapters=tuple(
            AdapterSpec(
                name=f"adapter-{number:03}",
                model=models[number % N_MODELS],
                version="v1",
            )
            for number in range(N_ADAPTERS)
        ),
        organisations=tuple(_organisation(n, models) for n in range(N_ORGANISATIONS)),
        engines=tuple(_engine(n, models) for n in range(N_ENGINES)),
        services=(
            ServiceSpec(name="booking", operations=(OperationSpec(name="file"),)),
        ),
    )


def _organisation(number: int, models: list[str]) -> OrganisationSpec:
    name = f"organisation-{number:05}"
    return OrganisationSpec(
        name=name,
        key_digests=(hashlib.sha256(name.encode()).hexdigest(),),
        weight=1.0 + number % 4,
        n_tokens_per_second=1_000 + number,
        n_concurrent=20,
        models=(models[number % N_MODELS],),
        services=("booking",),
    )


def _engine(number: int, models: list[str]) -> EngineSpec:
    domain = number % N_FAILURE_DOMAINS
    return EngineSpec(
        name=f"engine-{number:05}",
        address=f"10.{domain}.{number // 250}.{number % 250 + 1}:8000",
        failure_domain=f"fd-{domain:02}",
        region=f"region-{domain % N_REGIONS}",
        vm=f"vm-{number:05}",
        model=models[number % N_MODELS],
    )


def change_one(document: Document) -> Document:
    """Return the document with one organisation changed."""
    first, *rest = document.organisations
    changed = dataclasses.replace(first, priority=9)
    return dataclasses.replace(document, organisations=(changed, *rest))


class DirectoryObjects(ObjectStore):
    """Objects as files, so that the child's memory holds none of them."""

    def __init__(self, *, directory: Path) -> None:
        self._directory = directory

    async def put(
        self, name: str, data: bytes, deadline: float
    ) -> Result[None, Unavailable]:
        """Write a file."""
        (self._directory / name.removeprefix(OBJECT_PREFIX)).write_bytes(data)
        return Ok(None)

    async def get(
        self, name: str, deadline: float
    ) -> Result[bytes | None, Unavailable]:
        """Read a file."""
        await asyncio.sleep(0)
        return Ok((self._directory / name.removeprefix(OBJECT_PREFIX)).read_bytes())


class HeadTable(Table):
    """A table with nothing but a head row."""

    def __init__(self) -> None:
        self.head: Head | None = None

    async def transact(
        self, transaction: Transaction, deadline: float
    ) -> TransactResult:
        """Not used here."""
        raise NotImplementedError

    async def read(
        self, keys: Sequence[str], deadline: float
    ) -> Result[Rows, Unavailable]:
        """Return the head row."""
        if self.head is None:
            return Ok({})
        value = msgspec.to_builtins(self.head)
        return Ok({HEAD_KEY: Row(key=HEAD_KEY, value=value, version=1)})

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100, deadline: float
    ) -> Result[tuple[Row, ...], Unavailable]:
        """Not used here."""
        raise NotImplementedError


class NoAuth:
    """Signs nothing; no peer is asked here."""

    def headers(self, method: str, path: str, body: bytes) -> dict[str, str]:
        """Return nothing."""
        return {}

    def accepts(self, req: Request) -> bool:
        """Refuse all."""
        return False


class Gaps:
    """Finds the longest time between two turns of the event loop, in seconds."""

    def __init__(self) -> None:
        self.longest = 0.0
        self._task = asyncio.get_running_loop().create_task(self._watch())

    async def _watch(self) -> None:
        last = time.perf_counter()
        while True:
            await asyncio.sleep(0)
            now = time.perf_counter()
            self.longest = max(self.longest, now - last)
            last = now

    def take(self) -> float:
        """Return the longest so far and begin anew."""
        longest, self.longest = self.longest, 0.0
        return longest

    def stop(self) -> None:
        """Stop watching."""
        self._task.cancel()


def resident_bytes() -> int:
    """Return this process's resident memory."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise RuntimeError("no VmRSS")


async def child(directory: Path, roots: list[str]) -> None:
    """Bring versions into force and print what that cost."""
    table = HeadTable()
    configuration = Configuration()
    freeze_documents(configuration)
    applied = asyncio.Event()
    configuration.subscribe(lambda _: applied.set())
    clock, rng, metrics = SystemClock(), random.Random(1), Metrics(process="bench")
    fetcher = ObjectFetcher(
        objects=DirectoryObjects(directory=directory),
        client=HttpClient(process="bench"),
        auth=NoAuth(),
        peers=lambda: [],
        clock=clock,
        rng=rng,
        metrics=metrics,
    )
    sync = ConfigSync(
        configuration=configuration,
        table=table,
        fetcher=fetcher,
        auth=NoAuth(),
        n_nodes=lambda: 330,
        announce=lambda version, root: None,
        clock=clock,
        rng=rng,
        metrics=metrics,
    )
    gc.collect()
    before = resident_bytes()
    await sync.start()
    for version, root in enumerate(roots, 1):
        gaps = Gaps()
        n_bytes, cpu = fetcher.n_bytes_by_source["platform"], time.process_time()
        started = time.perf_counter()
        sync.record_version(version, root, is_accepted=True)
        await applied.wait()
        applied.clear()
        seconds = time.perf_counter() - started
        # The watcher itself spins, so processor time is the wall time at most.
        processor = time.process_time() - cpu
        n_bytes = fetcher.n_bytes_by_source["platform"] - n_bytes
        print(f"version {version}: {n_bytes} bytes fetched, {seconds * 1000:.0f} ms")
        print(f"  longest stand-still {gaps.take() * 1000:.1f} ms")
        print(f"  processor {processor * 1000:.0f} ms")
        gaps.stop()
        started = time.perf_counter()
        gc.collect()
        collected = time.perf_counter() - started
        print(f"  a full collection takes {collected * 1000:.1f} ms")
        more = (resident_bytes() - before) / 1e6
        print(f"version {version}: resident memory {more:.1f} MB above the start")
    print(f"resident at the start {before / 1e6:.1f} MB")
    await sync.stop()


def parent() -> None:
    """Write two versions and measure a child that takes them."""
    document = make_document()
    started = time.perf_counter()
    trees = [Tree.of(document), Tree.of(change_one(document))]
    split = (time.perf_counter() - started) / 2
    started = time.perf_counter()
    n_findings = sum(len(step) for step in findings_in_steps(document))
    checked = time.perf_counter() - started
    whole = encode(document)
    new = set(trees[1].digests()) - set(trees[0].digests())
    shipped = sum(len(trees[1].get(digest) or b"") for digest in new)
    a_second = shipped * N_CHANGES_A_DAY / SECONDS_A_DAY
    print(f"whole document {len(whole)} bytes; split in {split * 1000:.0f} ms")
    print(f"checked in {checked * 1000:.0f} ms with {n_findings} findings")
    print(f"one organisation changed: {len(new)} objects, {shipped} bytes;")
    print(f"  {N_CHANGES_A_DAY} such changes a day are {a_second:.0f} bytes a second")
    tracemalloc.start()
    held = msgspec.json.decode(whole, type=Document)
    print(
        f"decoded whole: {tracemalloc.get_traced_memory()[0] / 1e6:.1f} MB of objects"
    )
    tracemalloc.stop()
    del held
    with tempfile.TemporaryDirectory() as name:
        for tree in trees:
            for digest in tree.digests():
                Path(name, digest).write_bytes(tree.get(digest) or b"")
        roots = [tree.root for tree in trees]
        command = [sys.executable, "-m", "bench.configuration", name, *roots]
        subprocess.run(command, check=True)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        asyncio.run(child(Path(sys.argv[1]), sys.argv[2:]))
    else:
        parent()
