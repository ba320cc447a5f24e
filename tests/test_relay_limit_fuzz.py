"""Random faults around endpoints with limits, in virtual time.

Each seed draws one sequence of faults, which overlap, under steady traffic.
"""

from __future__ import annotations

import asyncio
import random
from bisect import bisect_left
from dataclasses import dataclass, field

import pytest

from standins.worker import PlainWorker
from tests.fuzzseeds import seeds
from tests.limitrig import (
    CONTACT_SECONDS,
    WINDOW_SECONDS,
    EndpointFleet,
    allowed,
    now,
    run_endpoint_fleet,
)

# A few seeds for each change; more by hand: CELERYTRAIL_LIMIT_SEEDS=100-160.
SEEDS = seeds("CELERYTRAIL_LIMIT_SEEDS", "1-4")
N_NODES = 12
MIN_NODES = 8
N_FAULTS = 24
PER_SECOND = 30.0
# A node counts from this time on after it has passed on an answer with a limit.
TOLD_SECONDS = 0.5


@dataclass(frozen=True, kw_only=True)
class Period:
    """A time in which an endpoint states one limit."""

    limit: float
    since: float
    until: float


@dataclass(kw_only=True)
class Faults:
    """Draws faults, and keeps what the check needs of them."""

    rig: EndpointFleet
    rng: random.Random
    periods: dict[str, list[Period]] = field(default_factory=dict)
    since: dict[str, float] = field(default_factory=dict)
    started_at: dict[str, float] = field(default_factory=dict)
    frozen: set[int] = field(default_factory=set)
    # VMs whose node was frozen, and when it went on; what it held arrives at once then.
    thawed_at: list[tuple[str, float]] = field(default_factory=list)

    async def inject(self) -> None:
        await self.rng.choice(
            [
                self._change_limit,
                self._change_limit,
                self._change_limit,
                self._restart_node,
                self._add_node,
                self._cut_nodes_off,
                self._heal,
                self._freeze_node,
                self._thaw_nodes,
                self._lose_datagrams,
                self._endpoint_fails,
                self._endpoints_recover,
            ]
        )()

    async def _change_limit(self) -> None:
        endpoint = self.rng.choice(self.rig.endpoints[:-1])
        limit = self.rng.choice([None, 0.3, 1.0, 1.0, 2.2, 2.2, 6.0, 20.0])
        self._end_period(endpoint)
        endpoint.request_limit = limit
        self.since[endpoint.worker_id] = now()

    def _end_period(self, endpoint: PlainWorker) -> None:
        if endpoint.request_limit is not None:
            self.periods.setdefault(endpoint.worker_id, []).append(
                Period(
                    limit=endpoint.request_limit,
                    since=self.since[endpoint.worker_id],
                    until=now(),
                )
            )

    async def _restart_node(self) -> None:
        number = self.rng.randrange(len(self.rig.fleet.nodes))
        if number not in self.frozen:
            await self.rig.fleet.restart_node(number)
            self.started_at[f"vm-{number}"] = now()

    async def _add_node(self) -> None:
        if len(self.rig.fleet.nodes) < N_NODES:
            self.started_at[f"vm-{len(self.rig.fleet.nodes)}"] = now()
            await self.rig.fleet.add()

    async def _cut_nodes_off(self) -> None:
        n_cut = self.rng.randint(1, 4)
        numbers = self.rng.sample(range(len(self.rig.fleet.nodes)), n_cut)
        self.rig.fleet.cut_off(*numbers)

    async def _heal(self) -> None:
        self.rig.fleet.wires.heal()

    async def _freeze_node(self) -> None:
        number = self.rng.randrange(len(self.rig.fleet.nodes))
        self.frozen.add(number)
        self.rig.fleet.freeze(number)

    async def _thaw_nodes(self) -> None:
        for number in self.frozen:
            self.rig.fleet.thaw(number)
            self.thawed_at.append((f"vm-{number}", now()))
        self.frozen.clear()

    async def _lose_datagrams(self) -> None:
        self.rig.fleet.wires.datagram_loss_rate = self.rng.choice([0.0, 0.03, 0.3, 0.8])

    async def _endpoint_fails(self) -> None:
        endpoint = self.rng.choice(self.rig.endpoints)
        fault = self.rng.choice(["refuses", "resets", "is_unsealed"])
        setattr(endpoint.faults, fault, True)

    async def _endpoints_recover(self) -> None:
        for endpoint in self.rig.endpoints:
            for fault in ("refuses", "resets", "is_unsealed"):
                setattr(endpoint.faults, fault, False)

    async def end(self) -> None:
        """End all faults."""
        await self._heal()
        await self._thaw_nodes()
        await self._endpoints_recover()
        self.rig.fleet.wires.datagram_loss_rate = 0.0

    # The rule.

    def check(self) -> int:
        """Check the rule for all endpoints; return how many windows were checked."""
        n_checked = 0
        for endpoint in self.rig.endpoints:
            self._end_period(endpoint)
            for period in self.periods.get(endpoint.worker_id, []):
                n_checked += self._check_period(endpoint, period)
        return n_checked

    def _check_period(self, endpoint: PlainWorker, period: Period) -> int:
        since = period.since + CONTACT_SECONDS
        times = [
            seen.arrived_at
            for seen in endpoint.seen
            if since <= seen.arrived_at < period.until
            and self._counts(endpoint, seen.req.peer.split(":")[0], seen.arrived_at)
        ]
        for number, at in enumerate(times):
            n_arrived = bisect_left(times, at + WINDOW_SECONDS) - number
            assert n_arrived <= allowed(period.limit), (
                f"{endpoint.worker_id} stated {period.limit:g} a second and got "
                f"{n_arrived} requests in {WINDOW_SECONDS:g} s"
            )
        return len(times)

    def _counts(self, endpoint: PlainWorker, vm: str, at: float) -> bool:
        """Return whether a node knew of a limit, and hadn't just been frozen.

        A restart excuses a node until it has passed one on again.
        """
        if any(
            name == vm and 0 <= at - thawed < 0.1 for name, thawed in self.thawed_at
        ):
            return False
        began = self.started_at.get(vm, 0.0)
        return any(
            seen.req.peer.split(":")[0] == vm
            and began <= seen.arrived_at <= at - TOLD_SECONDS
            for seen in endpoint.seen
        )


class TestFuzz:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_limits_are_kept_under_random_faults(self, seed: int):
        """Limits change while nodes restart, join, freeze, and lose sight of others."""

        async def steps(rig: EndpointFleet) -> None:
            for _ in range(4):
                await rig.add_endpoint()
            faults = Faults(rig=rig, rng=random.Random(seed))
            traffic = rig.traffic(PER_SECOND, seed=seed)
            sending = asyncio.ensure_future(traffic.run(1.0 * N_FAULTS + 8.0))
            for _ in range(N_FAULTS):
                await asyncio.sleep(faults.rng.uniform(0.2, 1.8))
                await faults.inject()
            await faults.end()
            await sending
            assert faults.check() > 0
            statuses = {res.status for res in traffic.answers if res is not None}
            assert statuses <= {200, 502, 503, 504}

        run_endpoint_fleet(MIN_NODES, steps, seed)
