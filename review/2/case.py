"""Another writer leaves an entry among the workers' rows that can't be read."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from celerytrail.http.messages import Request
from celerytrail.http.server import Responder
from review.rig import (
    BOUNDS,
    BROKEN,
    HELD,
    HOST,
    KEY,
    CaseError,
    Rig,
    has_trouble,
    run_case,
)
from standins.worker import PlainWorker

FOLDER = Path(__file__).resolve().parent
# Depth and size of the foreign entry: a row holds up to `row-bytes`, 65,536.
N_NESTED = 3_000
REQUESTS_PER_SECOND = 25
DRAIN_SECONDS = float(str(BOUNDS["drain-ms"])) / 1_000
# How long the worker serves on after it said that it leaves, at least `drain-ms`, and
# how long requests go on after it has exited.
SERVED_SECONDS = 5.0
EXITED_SECONDS = 2.0
ANSWER_SECONDS = 0.25
SERVED = (200,)
# How long the nodes are down at their restart, and have to read the rows after it.
DOWN_SECONDS = 1.5
RESTARTED_SECONDS = 3.0


def configuration() -> dict[str, object]:
    """Return a configuration with one route for filings that run once."""
    route = {
        "name": "file",
        "hostname": HOST,
        "prefix": "/file/",
        "route-type": "unsafe",
        "timeout-ms": 1_500,
        "target-latency-ms": 300,
        "priority": 2,
        "service": "desk",
        "max-attempts": 1,
        "public": False,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "desk", "health-path": "/health"}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "org", "api-keys": [KEY]}],
    }


class LeavingWorker(PlainWorker):
    """A plain worker that begins to work on a request as soon as it has read it."""

    def __init__(self, *, worker_id: str) -> None:
        super().__init__(worker_id=worker_id)
        self.begun: list[str] = []

    async def _run(self, req: Request, res: Responder, attempt_id: str) -> None:
        self.begun.append(attempt_id)
        await super()._run(req, res, attempt_id)


async def send_requests(
    rig: Rig, seconds: float, prefix: str, statuses: dict[str, int] | None = None
) -> list[int]:
    """Send requests at a steady rate; return the statuses of the answers."""
    sending = []
    for number in range(int(seconds * REQUESTS_PER_SECOND)):
        request = rig.request(
            number % 2,
            "POST",
            "/file/1",
            f"{prefix}-{number}",
            body=b"deposit",
            x_time_budget_ms="3000",
        )
        sending.append(asyncio.ensure_future(request))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    found = [answer.status for answer in await asyncio.gather(*sending)]
    if statuses is not None:
        statuses |= {f"{prefix}-{number}": one for number, one in enumerate(found)}
    return found


async def play(rig: Rig) -> int:
    """Let a worker leave after the foreign entry was written; watch what it gets."""
    workers = [LeavingWorker(worker_id=f"desk-{number}") for number in (1, 2, 3)]
    rig.store.put("op", "config", configuration())
    for worker in workers:
        worker.answer_seconds = ANSWER_SECONDS
        await worker.start()
        rig.store.put("servers", worker.worker_id, worker.row("desk", slots=6))
    await rig.start_nodes(2)
    await asyncio.sleep(2.0)
    before = await send_requests(rig, 2.0, "before")
    if before.count(200) < len(before) / 2:
        raise CaseError(f"the service did not answer at first: {before}")
    if has_trouble():
        nested = b'{"notes":' + b"[" * N_NESTED + b"]" * N_NESTED + b"}"
        rig.store.put("servers", "i-other-writer", nested)
        rig.record("foreign entry", n_bytes=len(nested))
    await asyncio.sleep(1.0)

    loop = asyncio.get_running_loop()
    leaving = workers[0]
    row = leaving.row("desk", "draining", slots=6, sequence=2)
    rig.store.put("servers", leaving.worker_id, row)
    acknowledged_at = loop.time()
    rig.record("acknowledged", worker=leaving.worker_id, state="draining")
    statuses: dict[str, int] = {}
    requests = asyncio.ensure_future(
        send_requests(rig, SERVED_SECONDS + EXITED_SECONDS, "after", statuses)
    )
    await asyncio.sleep(SERVED_SECONDS)
    await leaving.close()
    rig.store.drop("servers", leaving.worker_id)
    rig.record("exited", worker=leaving.worker_id)
    after = await requests
    late = [
        (seen.attempt_id, round(seen.arrived_at - acknowledged_at, 3))
        for seen in leaving.seen
        if seen.arrived_at > acknowledged_at + DRAIN_SECONDS
    ]
    for worker in workers:
        rig.record("ran", worker=worker.worker_id, attempts=worker.begun)
    lost = [
        attempt for attempt in leaving.begun if statuses.get(attempt, 200) not in SERVED
    ]
    rig.record("lost with the worker", attempts=lost)
    # Not part of the verdict: what nodes that start beside such an entry serve.
    await rig.kill_and_restart_nodes(DOWN_SECONDS)
    await asyncio.sleep(RESTARTED_SECONDS)
    restarted = await send_requests(rig, 2.0, "restarted")
    rig.record("after a restart", n=len(restarted), n_served=restarted.count(200))
    for attempt, seconds in late:
        rig.record("late arrival", attempt=attempt, seconds_after=seconds)
    rig.record("statuses", before=sorted(set(before)), after=sorted(set(after)))
    for worker in workers[1:]:
        await worker.close()
    print(
        f"{len(late)} requests reached the leaving worker more than "
        f"{DRAIN_SECONDS:g} s after the store's acknowledgement; "
        f"{len(lost)} that it had begun were lost as it exited"
    )
    return BROKEN if late else HELD


async def main() -> int:
    """Run the case."""
    rig = Rig(folder=FOLDER)
    try:
        return await play(rig)
    finally:
        rig.save_logs(("RecursionError", "relay:endpoint:leaving", "unreadable"))
        await rig.close()


if __name__ == "__main__":
    sys.exit(run_case(main()))
