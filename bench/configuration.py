"""Measure transfer size, memory and time for a document of the design size.

Run it with ``python -m bench.configuration``. The parent process writes the objects of
two versions to a temporary directory. A new child process, which imports only what a
node imports, applies both in order and reports its memory, the time taken and the
longest time that its event loop was blocked.
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
N_CHANGES_PER_DAY = 9_200
SECONDS_PER_DAY = 86_400


def make_document() -> Document:
    """Return a document of the design size."""
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


def change_one_organisation(document: Document) -> Document:
    """Return a copy of the document with one organisation changed."""
    first, *rest = document.organisations
    changed = dataclasses.replace(first, priority=9)
    return dataclasses.replace(document, organisations=(changed, *rest))


class DirectoryObjects(ObjectStore):
    """Stores objects as files, so that they don't count in the child's memory."""

    def __init__(self, *, directory: Path) -> None:
        self._directory = directory

    async def put(
        self, name: str, data: bytes, deadline: float
    ) -> Result[None, Unavailable]:
        """Write an object to its file."""
        (self._directory / name.removeprefix(OBJECT_PREFIX)).write_bytes(data)
        return Ok(None)

    async def get(
        self, name: str, deadline: float
    ) -> Result[bytes | None, Unavailable]:
        """Read an object from its file."""
        await asyncio.sleep(0)
        return Ok((self._directory / name.removeprefix(OBJECT_PREFIX)).read_bytes())


class HeadOnlyTable(Table):
    """Serves a table that has only a head row."""

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
        """Return the head row, if it is set."""
        if self.head is None:
            return Ok({})
        value = msgspec.to_builtins(self.head)
        return Ok({HEAD_KEY: Row(key=HEAD_KEY, value=value, version=1)})

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100, deadline: float
    ) -> Result[tuple[Row, ...], Unavailable]:
        """Not used here."""
        raise NotImplementedError


class NullAuth:
    """Signs no requests, as no peer is queried here."""

    def headers(self, method: str, path: str, body: bytes) -> dict[str, str]:
        """Return no headers."""
        return {}

    def accepts(self, req: Request) -> bool:
        """Refuse each request."""
        return False


class LoopGapMeter:
    """Measures the longest time between two iterations of the event loop."""

    def __init__(self) -> None:
        self.longest_seconds = 0.0
        self._task = asyncio.get_running_loop().create_task(self._watch())

    async def _watch(self) -> None:
        last = time.perf_counter()
        while True:
            await asyncio.sleep(0)
            now = time.perf_counter()
            self.longest_seconds = max(self.longest_seconds, now - last)
            last = now

    def reset(self) -> float:
        """Return the longest gap in seconds and start over from zero."""
        longest, self.longest_seconds = self.longest_seconds, 0.0
        return longest

    def stop(self) -> None:
        """Stop measuring."""
        self._task.cancel()


def resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise RuntimeError("/proc/self/status has no VmRSS line")


async def run_child(directory: Path, roots: list[str]) -> None:
    """Apply versions in order and print time, memory and bytes fetched."""
    table = HeadOnlyTable()
    configuration = Configuration()
    freeze_documents(configuration)
    applied = asyncio.Event()
    configuration.subscribe(lambda _: applied.set())
    clock, rng, metrics = SystemClock(), random.Random(1), Metrics(process="bench")
    fetcher = ObjectFetcher(
        objects=DirectoryObjects(directory=directory),
        client=HttpClient(process="bench"),
        auth=NullAuth(),
        peers=lambda: [],
        clock=clock,
        rng=rng,
        metrics=metrics,
    )
    sync = ConfigSync(
        configuration=configuration,
        table=table,
        fetcher=fetcher,
        auth=NullAuth(),
        n_nodes=lambda: 330,
        announce=lambda version, root: None,
        clock=clock,
        rng=rng,
        metrics=metrics,
    )
    gc.collect()
    resident_before = resident_bytes()
    await sync.start()
    for version, root in enumerate(roots, 1):
        gap_meter = LoopGapMeter()
        n_bytes, cpu_before = (
            fetcher.n_bytes_by_source["platform"],
            time.process_time(),
        )
        started = time.perf_counter()
        sync.record_version(version, root, is_accepted=True)
        await applied.wait()
        applied.clear()
        seconds = time.perf_counter() - started
        # The gap meter runs in each loop iteration, so that processor time is close to
        # wall time, which is its upper bound.
        cpu_seconds = time.process_time() - cpu_before
        n_bytes = fetcher.n_bytes_by_source["platform"] - n_bytes
        print(f"version {version}: {n_bytes} bytes fetched, {seconds * 1000:.0f} ms")
        print(f"  longest block of the event loop {gap_meter.reset() * 1000:.1f} ms")
        print(f"  processor {cpu_seconds * 1000:.0f} ms")
        gap_meter.stop()
        started = time.perf_counter()
        gc.collect()
        collection_seconds = time.perf_counter() - started
        print(f"  a full collection takes {collection_seconds * 1000:.1f} ms")
        added_mb = (resident_bytes() - resident_before) / 1e6
        print(f"version {version}: resident memory {added_mb:.1f} MB above the start")
    print(f"resident at the start {resident_before / 1e6:.1f} MB")
    await sync.stop()


def run_parent() -> None:
    """Write two versions, measure them and start a child that applies them."""
    document = make_document()
    started = time.perf_counter()
    trees = [Tree.of(document), Tree.of(change_one_organisation(document))]
    split_seconds = (time.perf_counter() - started) / 2
    started = time.perf_counter()
    n_findings = sum(len(step) for step in findings_in_steps(document))
    check_seconds = time.perf_counter() - started
    encoded = encode(document)
    new_digests = set(trees[1].digests()) - set(trees[0].digests())
    n_shipped = sum(len(trees[1].get(digest) or b"") for digest in new_digests)
    byte_rate = n_shipped * N_CHANGES_PER_DAY / SECONDS_PER_DAY
    print(
        f"whole document {len(encoded)} bytes; split in {split_seconds * 1000:.0f} ms"
    )
    print(f"checked in {check_seconds * 1000:.0f} ms with {n_findings} findings")
    print(f"one organisation changed: {len(new_digests)} objects, {n_shipped} bytes;")
    print(f"  {N_CHANGES_PER_DAY} such changes per day are {byte_rate:.0f} bytes/s")
    tracemalloc.start()
    decoded = msgspec.json.decode(encoded, type=Document)
    print(
        f"decoded whole: {tracemalloc.get_traced_memory()[0] / 1e6:.1f} MB of objects"
    )
    tracemalloc.stop()
    del decoded
    with tempfile.TemporaryDirectory() as name:
        for tree in trees:
            for digest in tree.digests():
                Path(name, digest).write_bytes(tree.get(digest) or b"")
        roots = [tree.root for tree in trees]
        command = [sys.executable, "-m", "bench.configuration", name, *roots]
        subprocess.run(command, check=True)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        asyncio.run(run_child(Path(sys.argv[1]), sys.argv[2:]))
    else:
        run_parent()
