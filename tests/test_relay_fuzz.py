"""Random troubles around nodes on the platform, and what callers and workers see.

Each seed draws one order of troubles; requests of all kinds are under way meanwhile.
"""

from __future__ import annotations

import asyncio
import os
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest
from result import Ok

from celerytrail.http.messages import Response
from standins.worker import EngineWorker, PlainWorker, WorkerFaults
from tests.relayrig import PATIENCE_SECONDS, Rig, config, events_of, until, whole_stream

# A short run for each change; more by hand: CELERYTRAIL_FUZZ_SEEDS=100-160.
SEEDS = os.environ.get("CELERYTRAIL_FUZZ_SEEDS", "1-5")
N_STEPS = 30
STEP_SECONDS = 0.04
N_EVENTS = 20
# Statuses that promise that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
# Statuses that the node may answer by itself to a proper request.
OWN_FAILURES = (*NOT_RUN, 502, 504)


def seeds() -> range:
    first, _, last = SEEDS.partition("-")
    return range(int(first), int(last or first) + 1)


@dataclass(frozen=True, kw_only=True)
class Asked:
    """One request, and what its caller got: None where the connection was cut."""

    kind: str
    attempt_id: str
    body: bytes
    res: Response | None


@dataclass(kw_only=True)
class Play:
    """A rig with requests under way and troubles drawn from one seed."""

    rig: Rig
    rng: random.Random
    asked: list[Asked] = field(default_factory=list)
    under_way: set[asyncio.Task[None]] = field(default_factory=set)
    n_started: int = 2
    version: int = 1
    engines: list[EngineWorker] = field(default_factory=list)
    desks: list[PlainWorker] = field(default_factory=list)

    async def start(self) -> None:
        await self.rig.start()
        for number in range(3):
            self.engines.append(await self.rig.add_engine(f"e{number}", N_EVENTS))
        for number in range(2):
            self.desks.append(await self.rig.add_desk(f"d{number}"))
        await self.rig.add_node("vm-0")
        await self.rig.add_node("vm-1")

    async def tick(self) -> None:
        """Let all engines make events until cancelled."""
        while True:
            for engine in list(self.engines):
                await engine.tick()
            await asyncio.sleep(0.01)

    # Requests.

    def request(self) -> None:
        kind = self.rng.choice(["draft", "check", "file", "file", "look"])
        task = asyncio.ensure_future(self._ask(kind, len(self.asked)))
        self.under_way.add(task)
        task.add_done_callback(self.under_way.discard)

    async def _ask(self, kind: str, number: int) -> None:
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
        one = Asked(kind=kind, attempt_id=headers["x-attempt-id"], body=body, res=res)
        self.asked.append(one)

    # Troubles.

    async def trouble(self) -> None:
        await self.rng.choice(
            [
                self._engine_leaves,
                self._engine_dies,
                self._engine_joins,
                self._desk_fails,
                self._desks_heal,
                self._store_is_silent,
                self._store_refuses,
                self._store_forgets,
                self._store_heals,
                self._config_changes,
                self._node_dies,
                self._node_joins,
            ]
        )()

    async def _engine_leaves(self) -> None:
        if len(self.engines) > 1:
            engine = self.rng.choice(self.engines)
            row = engine.row("models", "draining")
            self.rig.store.put("servers", engine.worker_id, row)

    async def _engine_dies(self) -> None:
        if len(self.engines) > 2:
            engine = self.engines.pop(self.rng.randrange(len(self.engines)))
            self.rig.store.drop("servers", engine.worker_id)
            await engine.close()

    async def _engine_joins(self) -> None:
        self.n_started += 1
        name = f"e{self.n_started}"
        self.engines.append(await self.rig.add_engine(name, N_EVENTS))

    async def _desk_fails(self) -> None:
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
        self.rng.choice(self.desks).faults = WorkerFaults(**faults)

    async def _desks_heal(self) -> None:
        for desk in self.desks:
            desk.faults = WorkerFaults()

    async def _store_is_silent(self) -> None:
        self.rig.store.faults.is_silent = True

    async def _store_refuses(self) -> None:
        self.rig.store.faults.status = self.rng.choice([429, 500, 503])

    async def _store_forgets(self) -> None:
        self.rig.store.faults.has_forgotten = True

    async def _store_heals(self) -> None:
        self.rig.store.faults.is_silent = False
        self.rig.store.faults.status = None

    async def _config_changes(self) -> None:
        self.version += self.rng.randint(1, 4)
        self.rig.store.put("op", "config", config(self.version))

    async def _node_dies(self) -> None:
        if len(self.rig.nodes) > 1:
            node = self.rig.nodes.pop(self.rng.randrange(len(self.rig.nodes)))
            await node.close()

    async def _node_joins(self) -> None:
        is_well = not (self.rig.store.faults.is_silent or self.rig.store.faults.status)
        if is_well and len(self.rig.nodes) < 3:
            self.n_started += 1
            await self.rig.add_node(f"vm-{self.n_started}")

    async def heal(self) -> None:
        """Let all trouble end, and all requests."""
        await self._store_heals()
        await self._desks_heal()
        await self._engine_joins()
        while self.under_way:
            await asyncio.wait(self.under_way)

    # What must hold.

    def check(self) -> None:
        filed = Counter(name for desk in self.desks for name in desk.ran)
        begun: Counter[str] = Counter()
        for worker in self.rig.workers:
            if isinstance(worker, EngineWorker):
                begun.update(
                    seen.attempt_id
                    for seen in worker.seen
                    if "kv-from" not in seen.req.headers
                )
        for one in self.asked:
            self._check_answer(one)
            if one.kind == "file":
                assert filed[one.attempt_id] <= 1, "a filing ran twice"
            if one.kind == "draft":
                assert begun[one.attempt_id] <= 1, "a draft was begun twice"
            if one.res is not None and one.res.status in NOT_RUN:
                n_run = filed[one.attempt_id] + begun[one.attempt_id]
                is_once_only = one.kind in ("file", "draft")
                assert not (n_run and is_once_only), "it ran, and was said not to have"

    def _check_answer(self, one: Asked) -> None:
        res = one.res
        if res is None:
            return
        assert res.headers.get("x-attempt-id") == one.attempt_id
        if "x-response-seal" not in res.headers:
            assert res.status in OWN_FAILURES
            return
        if one.kind in ("draft", "check"):
            assert res.status == 200
            assert events_of(res.body) == whole_stream(N_EVENTS)
        elif res.status == 200:
            assert res.body.partition(b" ")[2] == one.body


class TestFuzz:
    @pytest.mark.parametrize("seed", seeds())
    async def test_promises_hold_through_random_troubles(self, seed):
        """Engines leave and die, endpoints answer wrongly, the store is silent, refuses
        or forgets, configurations change, nodes are killed and added, in any order.
        Callers may be refused or cut; no filing runs twice, nothing that ran is said
        not to have, and no answer is torn, doubled or somebody else's.
        """
        play = Play(rig=Rig(), rng=random.Random(seed))
        try:
            await play.start()
            ticking = asyncio.ensure_future(play.tick())
            for _ in range(N_STEPS):
                play.request()
                if play.rng.random() < 0.5:
                    await play.trouble()
                await asyncio.sleep(STEP_SECONDS)
            await play.heal()
            play.check()
            await self.recover(play)
            ticking.cancel()
        finally:
            await play.rig.close()

    async def recover(self, play: Play) -> None:
        """Kill all nodes at once; a new one serves from what the store holds alone."""
        while play.rig.nodes:
            await play.rig.nodes.pop().close()
        node = await play.rig.add_node("vm-new")
        await until(lambda: node.registry.usable("desk"))
        filed = await play.rig.ask("/file/1", body=b"again")
        assert filed.status == 200
        drafted = await play.rig.ask("/draft/1")
        assert events_of(drafted.body) == whole_stream(N_EVENTS)
