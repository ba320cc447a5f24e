"""Each configuration version takes effect at undisturbed nodes within its bound."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.relayrig import error_type
from tests.sourcesrig import CONFIG_SECONDS, N_NODES, Fleet, run_fleet

# Time after its own disturbance until a node counts as undisturbed, in seconds.
RECOVERY_SECONDS = 3.0
STEP_SECONDS = 0.02
# By then a request that waits at the store has been answered.
REQUEST_SECONDS = 1.0


class Disturbances:
    """Freezes nodes while the configuration changes, and finds others that are late."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._changed_at: list[tuple[int, float]] = []
        self._frozen_until: dict[int, float] = {}
        self._disturbed_at: dict[int, float] = {}

    @property
    def frozen(self) -> set[int]:
        """Return the numbers of the nodes that are frozen now."""
        return set(self._frozen_until)

    def freeze(self, number: int, seconds: float) -> None:
        """Freeze a node for a while."""
        self._fleet.freeze(number)
        self._frozen_until[number] = self._now() + seconds

    def change(self) -> None:
        """Write the next configuration version."""
        self._fleet.change()
        self._changed_at.append((self._fleet.version, self._now()))

    async def step(self) -> None:
        """Let one step of time pass, and check that no undisturbed node is late."""
        await asyncio.sleep(STEP_SECONDS)
        now = self._now()
        for number, until in list(self._frozen_until.items()):
            self._disturbed_at[number] = now
            if now >= until:
                del self._frozen_until[number]
                self._fleet.thaw(number)
        due = [version for version, at in self._changed_at if now - at > CONFIG_SECONDS]
        for number, node in enumerate(self._fleet.nodes):
            cfg = node.configs.cfg
            assert cfg is not None
            is_undisturbed = (
                now - self._disturbed_at.get(number, 0.0) > RECOVERY_SECONDS
            )
            if is_undisturbed and due:
                assert cfg.version >= due[-1], f"node {number} is late at {now:.2f} s"

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


class TestReadersLost:
    """Readers freeze while the operator adds a route. An undisturbed node must not
    answer that the route doesn't exist.
    """

    @pytest.mark.parametrize("n_frozen", [1, 2, 3, 4, 5])
    def test_a_route_is_not_denied_when_the_first_readers_freeze_together(
        self, n_frozen: int
    ):
        # Each frozen reader used to cost its whole timeout before the next was tried.
        async def steps(fleet: Fleet) -> None:
            ranked = fleet.ranked
            for number in ranked[:n_frozen]:
                fleet.freeze(number)
            fleet.change("added")
            await asyncio.sleep(CONFIG_SECONDS)
            for number in ranked[n_frozen:]:
                assert (await fleet.request(number, "added")).status != 404

        run_fleet(1, steps)

    @pytest.mark.parametrize("gap", [0.2, 0.5, 0.8, 1.1, 1.4, 1.7])
    def test_no_undisturbed_node_is_late_when_readers_freeze_in_turn(self, gap: float):
        # Each node that replaces a lost reader freezes before it has answered.
        async def steps(fleet: Fleet) -> None:
            disturbances = Disturbances(fleet)
            for number in fleet.ranked[:5]:
                disturbances.freeze(number, 20.0)
                for _ in range(round(gap / STEP_SECONDS / 4)):
                    disturbances.change()
                    for _ in range(4):
                        await disturbances.step()
            for _ in range(round(3.0 / STEP_SECONDS)):
                await disturbances.step()

        run_fleet(1, steps)

    @pytest.mark.parametrize("seed", [1, 2, 3, 4, 10, 38, 54, 57])
    def test_no_undisturbed_node_is_late_when_nodes_freeze_at_random(self, seed: int):
        # Up to five of eight nodes at a time, the reader among them more often.
        rng = random.Random(seed)

        async def steps(fleet: Fleet) -> None:
            disturbances = Disturbances(fleet)
            loop = asyncio.get_running_loop()
            until = loop.time() + 20.0
            change_at = freeze_at = loop.time()
            while loop.time() < until:
                if loop.time() >= change_at:
                    disturbances.change()
                    change_at = loop.time() + rng.choice([0.1, 0.3, 0.6, 1.0])
                if loop.time() >= freeze_at:
                    freeze_some(disturbances, fleet, rng)
                    freeze_at = loop.time() + rng.uniform(0.2, 4.0)
                await disturbances.step()

        run_fleet(seed, steps)


def freeze_some(disturbances: Disturbances, fleet: Fleet, rng: random.Random) -> None:
    """Freeze the reader, or some nodes at the same moment."""
    rest = [number for number in fleet.ranked if number not in disturbances.frozen]
    n_max = 5 - len(disturbances.frozen)
    if n_max <= 0:
        return
    chosen = rest[:1]
    if rng.random() < 0.5:
        chosen = rng.sample(rest, rng.randint(1, n_max))
    for number in chosen:
        disturbances.freeze(number, rng.uniform(0.3, 5.0))


class TestDeniedByStaleConfig:
    """A node that gets no changes must not deny what may have been added since. A 404
    or 401 is final for the caller; after a 503 it tries another node.
    """

    def test_a_stale_node_does_not_deny_an_unknown_route(self):
        async def steps(fleet: Fleet) -> None:
            fleet.gates[0].is_refusing = True
            await asyncio.sleep(REQUEST_SECONDS)
            fleet.change("added")
            await asyncio.sleep(CONFIG_SECONDS)
            refused = await fleet.request(0, "added")
            assert refused.status == 503
            assert error_type(refused) == "configuration_unsure"
            assert float(refused.headers["retry-after"]) > 0

        run_fleet(1, steps, 1)

    def test_a_stale_node_does_not_deny_an_unknown_key(self):
        async def steps(fleet: Fleet) -> None:
            fleet.gates[0].is_refusing = True
            await asyncio.sleep(REQUEST_SECONDS)
            fleet.change(tenants=[{"name": "org", "api-keys": ["new key"]}])
            await asyncio.sleep(CONFIG_SECONDS)
            refused = await fleet.request(0, "look", key="new key")
            assert refused.status == 503
            assert error_type(refused) == "configuration_unsure"

        run_fleet(1, steps, 1)

    def test_routes_and_keys_of_no_version_are_denied_at_once(self):
        async def steps(fleet: Fleet) -> None:
            for number in range(N_NODES):
                denied = await fleet.request(number, "never-there")
                assert (denied.status, error_type(denied)) == (404, "no_route")
                denied = await fleet.request(number, "look", key="never held")
                assert (denied.status, error_type(denied)) == (401, "unknown_key")

        run_fleet(1, steps)


class TestStoreReturn:
    """The store is silent for all nodes, and then answers again."""

    @pytest.mark.parametrize("seed", [1, 2, 3, 4])
    @pytest.mark.parametrize("seconds", [0.5, 2.0, 6.0])
    def test_a_change_made_at_its_return_takes_effect_in_time(
        self, seed: int, seconds: float
    ):
        # Nodes that avoided the failed store used to get the change from nobody.
        async def steps(fleet: Fleet) -> None:
            fleet.store.faults.is_silent = True
            await asyncio.sleep(seconds)
            fleet.store.faults.is_silent = False
            fleet.change("added")
            await asyncio.sleep(CONFIG_SECONDS)
            for node in fleet.nodes:
                assert node.configs.cfg is not None
                assert node.configs.cfg.version == fleet.version

        run_fleet(seed, steps)
