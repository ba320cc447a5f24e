"""Random pauses and leaving endpoints, beside other faults, in virtual time.

Each seed draws one sequence of faults, which overlap, under steady traffic.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from standins.worker import Shedding
from tests.fuzzseeds import seeds
from tests.limitrig import now
from tests.reachrig import CutKind
from tests.statementrig import Excuse, StatementFleet, run_statement_fleet

# A few seeds for each change; more by hand: CELERYTRAIL_PAUSE_SEEDS=100-160.
SEEDS = seeds("CELERYTRAIL_PAUSE_SEEDS", "1-4")
N_NODES = 10
N_FAULTS = 20
N_ENDPOINTS = 5
KINDS: tuple[CutKind, ...] = ("silent", "reset", "refused")
PAUSES = ("0.3", "1", "2.5", "4", "", "9")


@dataclass(kw_only=True)
class Faults:
    """Draws faults; all are ended at the end."""

    rig: StatementFleet
    rng: random.Random
    cut_since: dict[int, float] = field(default_factory=dict)
    frozen_since: dict[int, float] = field(default_factory=dict)

    async def inject(self) -> None:
        await self.rng.choice(
            [
                self._shed_some,
                self._shed_some,
                self._shed_all,
                self._recover,
                self._recover,
                self._leave,
                self._replace,
                self._return,
                self._lapse_row,
                self._cut_some,
                self._mend,
                self._restart_node,
                self._freeze_node,
                self._thaw,
                self._lose_datagrams,
                self._change_config,
                self._refuse_store,
            ]
        )()

    def _shedding(self) -> Shedding:
        return Shedding(
            pauses=tuple(self.rng.sample(PAUSES, 3)),
            share=self.rng.choice([0.3, 0.7, 1.0]),
            rng=random.Random(self.rng.random()),
        )

    async def _shed_some(self) -> None:
        self.rng.choice(self.rig.endpoints).shedding = self._shedding()

    async def _shed_all(self) -> None:
        for endpoint in self.rig.endpoints:
            endpoint.shedding = self._shedding()

    async def _recover(self) -> None:
        for endpoint in self.rig.endpoints:
            endpoint.shedding = None

    async def _leave(self) -> None:
        staying = [one for one in self.rig.endpoints if not one.is_leaving]
        if len(staying) > 2:
            self.rng.choice(staying).is_leaving = True

    async def _replace(self) -> None:
        """Take a leaving endpoint away, before or after its row, and add another."""
        leaving = [one for one in self.rig.endpoints if one.is_leaving]
        if not leaving:
            return
        endpoint = leaving[0]
        is_row_first = self.rng.random() < 0.5
        if is_row_first:
            self.rig.fleet.store.drop("servers", endpoint.worker_id)
            await asyncio.sleep(0.5)
        await self.rig.take_away(endpoint)
        if not is_row_first:
            await asyncio.sleep(0.5)
            self.rig.fleet.store.drop("servers", endpoint.worker_id)
        await self.rig.add_endpoint()

    async def _return(self) -> None:
        """Start a leaving endpoint again under its id."""
        leaving = [one for one in self.rig.endpoints if one.is_leaving]
        if leaving:
            name = leaving[0].worker_id
            await self.rig.take_away(leaving[0])
            await asyncio.sleep(0.3)
            await self.rig.start_endpoint(name, self.rig.born[name] + 1)

    async def _lapse_row(self) -> None:
        endpoint = self.rng.choice(self.rig.endpoints)
        self.rig.fleet.store.drop("servers", endpoint.worker_id)
        await asyncio.sleep(0.3)
        row = endpoint.row("desk", born=self.rig.born[endpoint.worker_id])
        self.rig.fleet.store.put("servers", endpoint.worker_id, row)

    async def _cut_some(self) -> None:
        numbers = self.rng.sample(range(N_NODES), self.rng.randint(1, 5))
        self.rig.cut(numbers, self.rng.choice(KINDS))
        for number in numbers:
            self.cut_since.setdefault(number, now())

    async def _mend(self) -> None:
        self.rig.mend(range(N_NODES))
        self._excuse(self.cut_since)

    async def _restart_node(self) -> None:
        number = self.rng.randrange(N_NODES)
        if number not in self.frozen_since:
            await self.rig.fleet.restart_node(number)
            self._excuse({number: now()})

    async def _freeze_node(self) -> None:
        number = self.rng.randrange(N_NODES)
        self.rig.fleet.freeze(number)
        self.frozen_since.setdefault(number, now())

    async def _thaw(self) -> None:
        for number in self.frozen_since:
            self.rig.fleet.thaw(number)
        self._excuse(self.frozen_since)

    def _excuse(self, since: dict[int, float]) -> None:
        self.rig.excuses += [
            Excuse(peer=f"vm-{number}", since=at, until=now())
            for number, at in since.items()
        ]
        since.clear()

    async def _lose_datagrams(self) -> None:
        self.rig.fleet.wires.datagram_loss_rate = self.rng.choice([0.0, 0.03, 0.3, 0.8])

    async def _change_config(self) -> None:
        for _ in range(5):
            self.rig.fleet.change()
            await asyncio.sleep(0.1)

    async def _refuse_store(self) -> None:
        number = self.rng.randrange(N_NODES)
        gate = self.rig.fleet.gates[number]
        gate.is_refusing = not gate.is_refusing

    async def end(self) -> None:
        """End all faults."""
        await self._recover()
        await self._mend()
        await self._thaw()
        for gate in self.rig.fleet.gates:
            gate.is_refusing = False
        self.rig.fleet.wires.datagram_loss_rate = 0.0
        for endpoint in [one for one in self.rig.endpoints if one.is_leaving]:
            self.rig.fleet.store.drop("servers", endpoint.worker_id)
            await self.rig.take_away(endpoint)


class TestFuzz:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_what_endpoints_state_is_kept_and_all_is_served_in_the_end(self, seed: int):
        """Endpoints ask for pauses and leave while nodes are cut, frozen, restarted."""

        async def steps(rig: StatementFleet) -> None:
            for _ in range(N_ENDPOINTS):
                await rig.add_endpoint()
            faults = Faults(rig=rig, rng=random.Random(seed))
            callers = rig.first_tries(40.0, seed=seed)
            sending = asyncio.ensure_future(callers.run(1.4 * N_FAULTS + 26.0))
            for _ in range(N_FAULTS):
                await asyncio.sleep(faults.rng.uniform(0.2, 1.6))
                await faults.inject()
            await faults.end()
            ended_at = now()
            await sending
            rig.check_executions(callers.tries)
            sent_at = {one.attempt_id: one.sent_at for one in callers.tries}
            assert rig.broken == []
            assert rig.broken_leavings(sent_at) == []
            statuses = {one.res.status for one in callers.tries if one.res is not None}
            assert statuses <= {200, 502, 503, 504}
            last = callers.between(ended_at + 12.0, now())
            assert last
            assert [one for one in last if not one.is_served] == []

        run_statement_fleet(N_NODES, steps, seed)
