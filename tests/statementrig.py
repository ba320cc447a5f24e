"""Fleets in virtual time whose endpoints ask for pauses, or say that they leave.

The checks reckon both rules from what endpoints received and said, by the machine that
they saw.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from standins.enginemodel import EngineSpec
from standins.modelworker import ModelWorker
from standins.worker import Arrival, PlainWorker, Shedding, Worker
from tests.limitrig import EndpointFleet, now, run_endpoint_fleet
from tests.reachrig import CutFleet

# From this time after a refusal on, its pause binds, in seconds.
GRACE_SECONDS = 0.5
# Requests that may reach an endpoint in a pause.
N_ALLOWED = 2
# Requests that callers send later than this after their node passed on that an endpoint
# leaves don't reach it, in seconds.
DRAIN_SECONDS = 2.0
MOVE_PATHS = ("/api/kv-move", "/api/kv-handle/")


@dataclass(frozen=True, kw_only=True)
class Excuse:
    """A time in which a machine was restarted, frozen or cut."""

    peer: str
    since: float
    until: float


def broken_pauses(
    workers: Iterable[Worker], excuses: Sequence[Excuse] = ()
) -> list[str]:
    """Return the pauses in which too many requests arrived."""
    broken = []
    for worker in workers:
        for said in worker.statements:
            if said.pause_seconds <= 0:
                continue
            until = said.at + said.pause_seconds
            is_excused = any(
                one.peer == said.peer and one.since <= until and one.until >= said.at
                for one in excuses
            )
            arrived = [
                one
                for one in worker.arrivals
                if one.peer == said.peer
                and said.at + GRACE_SECONDS < one.at < until
                and not one.path.startswith(MOVE_PATHS)
            ]
            if len(arrived) > N_ALLOWED and not is_excused:
                broken.append(
                    f"{worker.worker_id} asked {said.peer} at {said.at:.3f} for "
                    f"{said.pause_seconds:g} s and got {len(arrived)} requests"
                )
    return broken


def broken_leavings(
    workers: Iterable[Worker],
    sent_at: Mapping[str, float],
    excuses: Sequence[Excuse] = (),
) -> list[str]:
    """Return the late requests at endpoints that had said that they leave.

    ``sent_at`` is when callers sent each request.
    """
    broken = []
    for worker in workers:
        told: dict[str, float] = {}
        for said in worker.statements:
            if said.is_leaving:
                told.setdefault(said.peer, said.at)
        for one in worker.arrivals:
            if one.peer not in told or one.attempt_id not in sent_at:
                continue
            since = told[one.peer]
            is_excused = any(
                excuse.peer == one.peer
                and excuse.until >= since
                and excuse.since <= one.at
                for excuse in excuses
            )
            is_late = sent_at[one.attempt_id] > since + DRAIN_SECONDS
            if is_late and not is_excused and one.at > since:
                broken.append(
                    f"{worker.worker_id} told {one.peer} at {since:.3f} that it leaves "
                    f"and got {one.attempt_id}, sent at {sent_at[one.attempt_id]:.3f}"
                )
    return broken


@dataclass(kw_only=True)
class StatementFleet(CutFleet):
    """A fleet with plain endpoints and engines that speak of themselves."""

    fleet: Any
    endpoints: list[PlainWorker] = field(default_factory=list)
    # Endpoints that were taken away; their records still count.
    former: list[PlainWorker] = field(default_factory=list)
    # By id, the number of an endpoint's last start.
    born: dict[str, int] = field(default_factory=dict)
    engines: dict[str, ModelWorker] = field(default_factory=dict)
    excuses: list[Excuse] = field(default_factory=list)

    async def add_endpoint(self, limit: float | None = None) -> PlainWorker:
        """Start an endpoint; its id is new, also after others were taken away."""
        name = f"d{len(self.endpoints) + len(self.former)}"
        return await self.start_endpoint(name, born=1)

    async def start_endpoint(self, name: str, born: int) -> PlainWorker:
        """Start an endpoint of an id, and wait until its row can be known."""
        endpoint = PlainWorker(
            worker_id=name, network=self.fleet.wires.network_of(name)
        )
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.born[name] = born
        self.fleet.store.put("servers", name, endpoint.row("desk", born=born))
        await asyncio.sleep(1.0)
        return endpoint

    async def take_away(self, endpoint: PlainWorker) -> None:
        """Kill an endpoint; its row stays."""
        self.fleet.wires.kill(endpoint.worker_id)
        await endpoint.close()
        self.endpoints.remove(endpoint)
        self.former.append(endpoint)

    async def add_engine(self) -> ModelWorker:
        """Start an engine, and write its row."""
        name = f"e{len(self.engines)}"
        engine = ModelWorker(
            worker_id=name,
            failure_domain="abc"[len(self.engines) % 3],
            spec=EngineSpec(n_memory_tokens=30_000, n_event_tokens=1),
            find_engine=self._find_engine,
            network=self.fleet.wires.network_of(name),
        )
        await engine.start()
        self.engines[name] = engine
        row = engine.row("models", zone=engine.failure_domain)
        self.fleet.store.put("servers", name, row)
        return engine

    def _find_engine(self, address: str) -> ModelWorker | None:
        found = (one for one in self.engines.values() if str(one.address) == address)
        return next(found, None)

    @property
    def workers(self) -> list[Worker]:
        """Return all endpoints and engines."""
        return [*self.endpoints, *self.former, *self.engines.values()]

    async def shed(
        self,
        workers: Iterable[Worker],
        seconds: float,
        *pauses: str,
        share: float = 1.0,
    ) -> None:
        """Let workers turn requests away for a while."""
        shedding = list(workers)
        for worker in shedding:
            worker.shedding = Shedding(pauses=pauses, share=share)
        await asyncio.sleep(seconds)
        for worker in shedding:
            worker.shedding = None

    def excuse(self, numbers: Iterable[int], since: float) -> None:
        """Excuse nodes that were cut, frozen or restarted from a time until now."""
        self.excuses += [
            Excuse(peer=f"vm-{number}", since=since, until=now()) for number in numbers
        ]

    @property
    def broken(self) -> list[str]:
        """Return the pauses that were not kept."""
        return broken_pauses(self.workers, self.excuses)

    def broken_leavings(self, sent_at: Mapping[str, float]) -> list[str]:
        """Return the late requests at endpoints that said that they leave."""
        return broken_leavings(self.workers, sent_at, self.excuses)


def run_statement_fleet(
    n_nodes: int,
    steps: Callable[[StatementFleet], Awaitable[None]],
    seed: int = 1,
    **more: Any,
) -> None:
    """Run a test's steps against a new fleet in virtual time."""

    async def test(fleet: EndpointFleet) -> None:
        rig = StatementFleet(fleet=fleet.fleet)
        await steps(rig)
        for worker in rig.workers:
            await worker.close()

    run_endpoint_fleet(n_nodes, test, seed, **more)


__all__ = ["Arrival", "StatementFleet", "run_statement_fleet"]
