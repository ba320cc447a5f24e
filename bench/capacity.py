"""Measure what a real node costs by its engines, organisations and requests.

``python -m bench.capacity`` starts one node with stand-ins several times: with a
growing number of engines, with as many organisations as the design size has, and under
a load of requests. It reads the processor time and resident memory of the node's
process alone.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import tempfile
from dataclasses import asdict, dataclass, replace
from pathlib import Path

import psutil
from result import Err

from celerytrail.clock import SystemClock
from celerytrail.configuration.document import Document, OrganisationSpec
from celerytrail.http.client import HttpClient
from celerytrail.operators.store import DocumentStore
from celerytrail.platform.client import PlatformClient
from celerytrail.platform.objects import HttpObjectStore
from celerytrail.platform.table import HttpTable
from chores.caller import Caller, Draft
from chores.documents import first_document
from chores.system import MODEL, Layout, System

OUTPUT_FOLDER = Path("out")
SETTLE_SECONDS = 6.0
MEASURE_SECONDS = 15.0
N_ENGINES = (2, 12, 32)
N_ORGANISATIONS = 6_400
REQUESTS_PER_SECOND = 20.0
ACCEPT_SECONDS = 30.0
MEGABYTE = 1_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Reading:
    """Holds a setting and what the node's process used with it.

    Parameters
    ----------
    n_engines, n_organisations : int
        Numbers of both in the document.
    requests_per_second : float
        Rate of requests during the measurement, each for one token.
    core_share : float
        Processor time divided by wall time.
    resident_megabytes : float
        Resident memory at the end of the measurement.
    """

    n_engines: int
    n_organisations: int
    requests_per_second: float
    core_share: float
    resident_megabytes: float


async def measure(
    n_engines: int, n_organisations: int, requests_per_second: float
) -> Reading:
    """Start a system with one node and measure what the node uses."""
    with tempfile.TemporaryDirectory(prefix="celerytrail-capacity-") as folder:
        layout = Layout(n_engines=n_engines, n_endpoints=1, n_nodes=1)
        system = System(folder=Path(folder), layout=layout)
        try:
            await system.start(has_console=False)
            document, keys = first_document(system.children, "lone-star")
            await _accept_document(
                system, _with_organisations(document, n_organisations)
            )
            await asyncio.sleep(SETTLE_SECONDS)
            node = system.children["node-1"]
            process = psutil.Process(node.pid)
            caller = Caller(key=keys["lone-star"], known=(node.address,))
            before = process.cpu_times()
            await _send_requests(system, caller, requests_per_second)
            after = process.cpu_times()
            caller.close()
            cpu_seconds = after.user + after.system - before.user - before.system
            return Reading(
                n_engines=n_engines,
                n_organisations=n_organisations,
                requests_per_second=requests_per_second,
                core_share=round(cpu_seconds / MEASURE_SECONDS, 4),
                resident_megabytes=round(process.memory_info().rss / MEGABYTE, 1),
            )
        finally:
            system.stop()


async def _send_requests(
    system: System, caller: Caller, requests_per_second: float
) -> None:
    """Send requests for one token at a steady rate for `MEASURE_SECONDS`."""
    loop = asyncio.get_running_loop()
    stop_at = loop.time() + MEASURE_SECONDS
    tasks: set[asyncio.Task[None]] = set()
    while loop.time() < stop_at:
        if requests_per_second == 0.0:
            await asyncio.sleep(stop_at - loop.time())
            continue
        task = loop.create_task(_generate_one_token(system, caller))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / requests_per_second)
    if tasks:
        await asyncio.wait(tasks)


async def _generate_one_token(system: System, caller: Caller) -> None:
    address = system.children["node-1"].address
    stream = await caller.start(address, MODEL, "one [length=1]", 1)
    async for _ in caller.follow(stream, Draft()):
        pass


def _with_organisations(document: Document, n_organisations: int) -> Document:
    added = tuple(
        OrganisationSpec(
            name=f"organisation-{n}",
            key_digests=(hashlib.sha256(str(n).encode()).hexdigest(),),
        )
        for n in range(n_organisations - 1)
    )
    return replace(document, organisations=(*document.organisations, *added))


async def _accept_document(system: System, document: Document) -> None:
    clock = SystemClock()
    rng = random.Random(1)
    exchanger = PlatformClient(
        addresses=(system.children["platform"].address,),
        http=HttpClient(process="bench"),
        clock=clock,
        rng=rng,
    )
    store = DocumentStore(
        table=HttpTable(exchanger=exchanger),
        objects=HttpObjectStore(exchanger=exchanger),
        clock=clock,
        rng=rng,
    )
    accepted = await store.accept(
        document,
        base_version=0,
        operation_id="bench",
        author="bench",
        note="",
        deadline=clock.monotonic() + ACCEPT_SECONDS,
    )
    if isinstance(accepted, Err):
        raise RuntimeError(f"the document was not accepted: {accepted.err_value}")


async def _main() -> None:
    readings = [await measure(n, 1, 0.0) for n in N_ENGINES]
    readings.append(await measure(N_ENGINES[0], N_ORGANISATIONS, 0.0))
    readings.append(await measure(N_ENGINES[1], 1, REQUESTS_PER_SECOND))
    print("engines  organisations  requests/s  share of a core  resident MB")
    for reading in readings:
        print(
            f"{reading.n_engines:7}  {reading.n_organisations:13}  "
            f"{reading.requests_per_second:10}  {reading.core_share:15.2%}  "
            f"{reading.resident_megabytes:11}"
        )
    _write(readings)


def _write(readings: list[Reading]) -> None:
    OUTPUT_FOLDER.mkdir(exist_ok=True)
    result = {
        "load_average": psutil.getloadavg(),
        "readings": [asdict(reading) for reading in readings],
    }
    (OUTPUT_FOLDER / "capacity.json").write_text(json.dumps(result, indent=2))


if __name__ == "__main__":
    asyncio.run(_main())
