"""Random faults around relay nodes, checked by what callers and workers see.

Each seed draws one sequence of faults, with requests of all kinds in progress.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest
from result import Ok

from celerytrail.http.messages import Response
from standins.worker import EngineWorker, PlainWorker, WorkerFaults
from tests.fuzzseeds import seeds
from tests.relayrig import (
    PATIENCE_SECONDS,
    Rig,
    config,
    expected_events,
    split_events,
    wait_until,
)

# A few seeds for each change; more by hand: CELERYTRAIL_FUZZ_SEEDS=100-160.
SEEDS = seeds("CELERYTRAIL_FUZZ_SEEDS", "1-5")
N_STEPS = 30
STEP_SECONDS = 0.04
N_EVENTS = 20
# Statuses that guarantee that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
# Statuses that the node itself may return for a valid request.
NODE_ERRORS = (*NOT_RUN, 502, 504)


@dataclass(frozen=True, kw_only=True)
class RequestRecord:
    """One request and its caller's answer: None where the connection was cut."""

    kind: str
    attempt_id: str
    body: bytes
    res: Response | None


@dataclass(kw_only=True)
class Scenario:
    """A rig with requests in progress and faults drawn from one seed."""

    rig: Rig
    rng: random.Random
    records: list[RequestRecord] = field(default_factory=list)
    pending: set[asyncio.Task[None]] = field(default_factory=set)
    n_started: int = 2
    version: int = 1
    engines: list[EngineWorker] = field(default_factory=list)
    endpoints: list[PlainWorker] = field(default_factory=list)

    async def start(self) -> None:
        await self.rig.start()
        for number in range(3):
            self.engines.append(await self.rig.add_engine(f"e{number}", N_EVENTS))
        for number in range(2):
            self.endpoints.append(await self.rig.add_plain_worker(f"d{number}"))
        await self.rig.add_node("vm-0")
        await self.rig.add_node("vm-1")

    async def tick(self) -> None:
        """Make all engines produce events until cancelled."""
        while True:
            for engine in list(self.engines):
                await engine.tick()
            await asyncio.sleep(0.01)

    # Requests.

    def start_request(self) -> None:
        kind = self.rng.choice(["draft", "check", "file", "file", "look"])
        task = asyncio.ensure_future(self._send(kind, len(self.records)))
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)

    async def _send(self, kind: str, number: int) -> None:
        headers = self.rig.headers()
        body = f"{kind} {headers['x-attempt-id']}".encode()
        node = self.rng.choice(self.rig.nodes)
        answered = await self.rig.client.request(
            node.cfg.callers,
            "POST",
            f"/{kind}/{number}",
            body=body,
            headers=headers,
            deadline=asyncio.get_running_loop().time() + PATIENCE_SECONDS,
        )
        res = answered.ok_value if isinstance(answered, Ok) else None
        record = RequestRecord(
            kind=kind, attempt_id=headers["x-attempt-id"], body=body, res=res
        )
        self.records.append(record)

    # Faults.

    def faults(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the faults that may be drawn."""
        return [
            self._engine_leaves,
            self._engine_crashes,
            self._engine_joins,
            self._endpoint_fails,
            self._endpoints_recover,
            self._store_is_silent,
            self._store_refuses,
            self._store_loses_history,
            self._store_recovers,
            self._config_changes,
            self._node_crashes,
            self._node_joins,
        ]

    async def inject_fault(self) -> None:
        await self.rng.choice(self.faults())()

    async def _engine_leaves(self) -> None:
        if len(self.engines) > 1:
            engine = self.rng.choice(self.engines)
            row = engine.row("models", "draining")
            self.rig.store.put("servers", engine.worker_id, row)

    async def _engine_crashes(self) -> None:
        if len(self.engines) > 2:
            engine = self.engines.pop(self.rng.randrange(len(self.engines)))
            self.rig.store.drop("servers", engine.worker_id)
            await engine.close()

    async def _engine_joins(self) -> None:
        self.n_started += 1
        name = f"e{self.n_started}"
        self.engines.append(await self.rig.add_engine(name, N_EVENTS))

    async def _endpoint_fails(self) -> None:
        faults = self.rng.choice(
            [
                {"resets": True},
                {"cuts_after_bytes": 3},
                {"is_unsealed": True},
                {"echoes_other_id": True},
                {"has_extra": True},
                {"status": 500},
            ]
        )
        self.rng.choice(self.endpoints).faults = WorkerFaults(**faults)

    async def _endpoints_recover(self) -> None:
        for endpoint in self.endpoints:
            endpoint.faults = WorkerFaults()

    async def _store_is_silent(self) -> None:
        self.rig.store.faults.is_silent = True

    async def _store_refuses(self) -> None:
        self.rig.store.faults.status = self.rng.choice([429, 500, 503])

    async def _store_loses_history(self) -> None:
        self.rig.store.faults.has_forgotten = True

    async def _store_recovers(self) -> None:
        self.rig.store.faults.is_silent = False
        self.rig.store.faults.status = None

    async def _config_changes(self) -> None:
        self.version += self.rng.randint(1, 4)
        self.rig.store.put("op", "config", config(self.version))

    async def _node_crashes(self) -> None:
        if len(self.rig.nodes) > 1:
            node = self.rig.nodes.pop(self.rng.randrange(len(self.rig.nodes)))
            await node.close()

    async def _node_joins(self) -> None:
        is_store_available = not (
            self.rig.store.faults.is_silent or self.rig.store.faults.status
        )
        if is_store_available and len(self.rig.nodes) < 3:
            self.n_started += 1
            await self.rig.add_node(f"vm-{self.n_started}")

    async def recover_all(self) -> None:
        """End all faults, and wait for all requests."""
        await self._store_recovers()
        await self._endpoints_recover()
        await self._engine_joins()
        while self.pending:
            await asyncio.wait(self.pending)

    # Guarantees.

    def check(self) -> None:
        executed = Counter(
            name
            for worker in self.rig.workers
            if isinstance(worker, PlainWorker)
            for name in worker.ran
        )
        started: Counter[str] = Counter()
        for worker in self.rig.workers:
            if isinstance(worker, EngineWorker):
                started.update(
                    seen.attempt_id
                    for seen in worker.seen
                    if "kv-from" not in seen.req.headers
                    and seen.req.headers["x-target-instance"] == worker.worker_id
                )
        for record in self.records:
            self._check_answer(record)
            if record.kind == "file":
                assert executed[record.attempt_id] <= 1, "an unsafe request ran twice"
            if record.kind == "draft":
                assert started[record.attempt_id] <= 1, "a draft was started twice"
            if record.res is not None and record.res.status in NOT_RUN:
                n_run = executed[record.attempt_id] + started[record.attempt_id]
                is_unrepeatable = record.kind in ("file", "draft")
                assert not (n_run and is_unrepeatable), (
                    "it ran but was reported as not run"
                )

    def _check_answer(self, record: RequestRecord) -> None:
        res = record.res
        if res is None:
            return
        assert res.headers.get("x-attempt-id") == record.attempt_id
        if "x-response-seal" not in res.headers:
            assert res.status in NODE_ERRORS
            return
        if record.kind in ("draft", "check"):
            assert res.status == 200
            assert split_events(res.body) == expected_events(N_EVENTS)
        elif res.status == 200:
            assert res.body.partition(b" ")[2] == record.body


class TestFuzz:
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_guarantees_hold_under_random_faults(self, seed):
        """Injects random faults in engines, endpoints, store, configuration and nodes.

        Engines leave and crash, endpoints answer wrongly, the store is silent, refuses
        or loses its history, configurations change, nodes are killed and added, in any
        order. Callers may be refused or cut; no unsafe request runs twice, nothing that
        ran is reported as not run, and no answer is partial, duplicated or another
        request's.
        """
        scenario = Scenario(rig=Rig(), rng=random.Random(seed))
        try:
            await scenario.start()
            ticking = asyncio.ensure_future(scenario.tick())
            for _ in range(N_STEPS):
                scenario.start_request()
                if scenario.rng.random() < 0.5:
                    await scenario.inject_fault()
                await asyncio.sleep(STEP_SECONDS)
            await scenario.recover_all()
            scenario.check()
            await self.recover(scenario)
            ticking.cancel()
        finally:
            await scenario.rig.close()

    async def recover(self, scenario: Scenario) -> None:
        """Kill all nodes; a new one must serve with only what the store holds."""
        while scenario.rig.nodes:
            await scenario.rig.nodes.pop().close()
        node = await scenario.rig.add_node("vm-new")
        await wait_until(lambda: node.registry.usable_endpoints("desk"))
        plain_res = await scenario.rig.request("/file/1", body=b"again")
        assert plain_res.status == 200
        stream_res = await scenario.rig.request("/draft/1")
        assert split_events(stream_res.body) == expected_events(N_EVENTS)
