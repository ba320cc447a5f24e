"""Random cuts between nodes and endpoints, beside other faults, in virtual time.

Each seed draws one sequence of faults, which overlap, under steady traffic.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from tests.fuzzseeds import seeds
from tests.reachrig import CutFleet, CutKind, now, run_cut_fleet

# A few seeds for each change; more by hand: CELERYTRAIL_REACH_SEEDS=100-160.
SEEDS = seeds("CELERYTRAIL_REACH_SEEDS", "1-4")
N_NODES = 10
N_FAULTS = 20
KINDS: tuple[CutKind, ...] = ("silent", "reset", "refused")


@dataclass(kw_only=True)
class Faults:
    """Draws faults; all are ended at the end."""

    rig: CutFleet
    rng: random.Random
    frozen: set[str] = field(default_factory=set)

    async def inject(self) -> None:
        await self.rng.choice(
            [
                self._cut_some,
                self._cut_some,
                self._cut_most,
                self._cut_from_one,
                self._mend,
                self._mend,
                self._restart_node,
                self._silence_endpoint,
                self._freeze_node,
                self._thaw,
                self._replace_endpoint,
                self._lose_datagrams,
                self._endpoint_resets,
            ]
        )()

    def _nodes(self, n_most: int) -> list[int]:
        return self.rng.sample(range(N_NODES), self.rng.randint(1, n_most))

    async def _cut_some(self) -> None:
        self.rig.cut(self._nodes(5), self.rng.choice(KINDS))

    async def _cut_most(self) -> None:
        self.rig.cut(self.rng.sample(range(N_NODES), 8), self.rng.choice(KINDS))

    async def _cut_from_one(self) -> None:
        endpoint = self.rng.choice(self.rig.endpoints)
        self.rig.cut(self._nodes(8), self.rng.choice(KINDS), [endpoint])

    async def _mend(self) -> None:
        self.rig.mend(range(N_NODES))

    async def _restart_node(self) -> None:
        number = self.rng.randrange(N_NODES)
        if f"vm-{number}" not in self.frozen:
            await self.rig.fleet.restart_node(number)

    async def _silence_endpoint(self) -> None:
        endpoint = self.rng.choice(self.rig.endpoints)
        self.rig.fleet.wires.freeze(endpoint.worker_id)
        await asyncio.sleep(1.0)
        self.rig.fleet.wires.thaw(endpoint.worker_id)

    async def _freeze_node(self) -> None:
        name = f"vm-{self.rng.randrange(N_NODES)}"
        self.frozen.add(name)
        self.rig.fleet.wires.freeze(name)

    async def _thaw(self) -> None:
        for name in self.frozen:
            self.rig.fleet.wires.thaw(name)
        self.frozen.clear()

    async def _replace_endpoint(self) -> None:
        endpoint = self.rng.choice(self.rig.endpoints[-3:])
        self.rig.fleet.wires.kill(endpoint.worker_id)
        await endpoint.close()
        self.rig.fleet.store.drop("servers", endpoint.worker_id)
        await self.rig.add_endpoint()

    async def _lose_datagrams(self) -> None:
        self.rig.fleet.wires.datagram_loss_rate = self.rng.choice([0.0, 0.03, 0.3, 0.8])

    async def _endpoint_resets(self) -> None:
        endpoint = self.rng.choice(self.rig.endpoints)
        endpoint.faults.resets = not endpoint.faults.resets

    async def end(self) -> None:
        """End all faults."""
        await self._mend()
        await self._thaw()
        self.rig.fleet.wires.datagram_loss_rate = 0.0
        for endpoint in self.rig.endpoints:
            endpoint.faults.resets = False


class TestFuzz:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_answers_are_true_and_all_is_served_in_the_end(self, seed: int):
        """Paths are lost and return while nodes restart and endpoints come and go."""

        async def steps(rig: CutFleet) -> None:
            for _ in range(4):
                await rig.add_endpoint()
            faults = Faults(rig=rig, rng=random.Random(seed))
            callers = rig.first_tries(30.0, seed=seed)
            sending = asyncio.ensure_future(callers.run(1.4 * N_FAULTS + 18.0))
            for _ in range(N_FAULTS):
                await asyncio.sleep(faults.rng.uniform(0.2, 1.6))
                await faults.inject()
            await faults.end()
            ended_at = now()
            await sending
            rig.check_executions(callers.tries)
            statuses = {one.res.status for one in callers.tries if one.res is not None}
            assert statuses <= {200, 502, 503, 504}
            last = callers.between(ended_at + 6.0, now())
            assert last
            assert [one for one in last if not one.is_served] == []

        run_cut_fleet(N_NODES, steps, seed)
