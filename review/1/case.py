"""A model worker leaves while it streams answers that have no length."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from review.engines import make_engines
from review.rig import BROKEN, ENGINE, HELD, HOST, KEY, Rig, has_trouble, run_case
from standins.modelworker import event, request_body

FOLDER = Path(__file__).resolve().parent
N_ENGINES = 6
N_STREAMS = 18
N_TOKENS = 1_000
N_EVENT_TOKENS = 4
# Streams take about eight seconds; the worker says that it leaves when about a quarter
# of their events is made.
LEAVES_AFTER_SECONDS = 2.5
# Bound `drain-ms`: for so long a leaving worker serves on, at least.
DRAIN_SECONDS = 2.0


def configuration() -> dict[str, object]:
    """Return a configuration with one route for streams that run once."""
    route = {
        "name": "draft",
        "hostname": HOST,
        "prefix": "/draft/",
        "route-type": "streaming",
        "timeout-ms": 39_000,
        "target-latency-ms": 1_800,
        "priority": 1,
        "service": "models",
        "max-attempts": 1,
        "public": False,
        "session-affinity": True,
        "resumable": False,
        "gap-target-ms": 180,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "models", "health-path": "/health", "engine": ENGINE}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "org", "api-keys": [KEY]}],
    }


async def play(rig: Rig) -> int:
    """Stream answers while a worker leaves, and compare them with what is due."""
    engines = make_engines(N_ENGINES)
    rig.store.put("op", "config", configuration())
    for engine in engines:
        await engine.start()
        rig.store.put("servers", engine.worker_id, engine.row("models", slots=24))
    await rig.start_nodes(2)
    await asyncio.sleep(2.0)
    expected_events = N_TOKENS // N_EVENT_TOKENS

    async def stream(number: int) -> bool:
        attempt = f"attempt-{number}"
        answer = await rig.request(
            number % 2,
            "POST",
            "/draft/1",
            attempt,
            body=request_body(N_TOKENS),
            x_model_name="m",
            x_token_count=f"400,{N_TOKENS}",
            x_prompt_prefix=f"a{number:03x}:400",
            x_time_budget_ms="39000",
        )
        whole = b"".join(event(attempt, n) for n in range(expected_events))
        is_false_end = answer.status == 200 and answer.is_complete
        is_false_end = is_false_end and answer.body != whole
        rig.record(
            "checked",
            attempt=attempt,
            n_events=answer.body.count(b"\n\n"),
            n_events_due=expected_events,
            looks_complete=answer.is_complete,
            is_broken=is_false_end,
        )
        return is_false_end

    streams = [asyncio.ensure_future(stream(number)) for number in range(N_STREAMS)]
    await asyncio.sleep(LEAVES_AFTER_SECONDS)
    if has_trouble():
        leaving = max(engines, key=lambda engine: len(engine.model.running))
        rig.record("leaves", worker=leaving.worker_id, n=len(leaving.model.running))
        leaving.leaving_at = asyncio.get_running_loop().time() + 2 * DRAIN_SECONDS
        rig.store.put(
            "servers",
            leaving.worker_id,
            leaving.row("models", "draining", slots=24, sequence=2),
        )
        await asyncio.sleep(2 * DRAIN_SECONDS)
        rig.store.drop("servers", leaving.worker_id)
        rig.record("left", worker=leaving.worker_id, n=len(leaving.model.running))
        await leaving.close()
    n_broken = sum(await asyncio.gather(*streams))
    for engine in engines:
        rig.record("ran", worker=engine.worker_id, attempts=engine.ran)
        if not engine.is_closed:
            await engine.close()
    print(f"{n_broken} of {N_STREAMS} streams ended as complete before their end")
    return BROKEN if n_broken else HELD


async def main() -> int:
    """Run the case."""
    rig = Rig(folder=FOLDER)
    try:
        return await play(rig)
    finally:
        rig.save_logs(("relay:switched", "relay:answered", "relay:cut"))
        await rig.close()


if __name__ == "__main__":
    sys.exit(run_case(main()))
