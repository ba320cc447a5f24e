"""Fleets in virtual time whose endpoints state limits, under steady traffic."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from result import Ok

from celerytrail.http.messages import Response
from celerytrail.policies.rendezvous import rank
from standins.worker import PlainWorker
from tests.relayrig import HOST, KEY
from tests.sourcesrig import Fleet, run_fleet

# The rule's window, and how long after the first statement it begins to bind.
WINDOW_SECONDS = 4.0
CONTACT_SECONDS = 3.0


def allowed(requests_per_second: float) -> float:
    """Return the most requests that an endpoint may get in any window."""
    return 1.5 * WINDOW_SECONDS * requests_per_second + 5


@dataclass(kw_only=True)
class Traffic:
    """Callers that send requests to random nodes, and the answers they get."""

    fleet: Fleet
    per_second: float
    seed: int = 1
    # By default, half of the requests may be repeated.
    routes: tuple[str, ...] = ("file", "look")
    answers: list[Response | None] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _n_sent: int = 0

    async def run(self, seconds: float) -> None:
        """Send requests for a while, and wait for their answers."""
        rng = random.Random(f"{self.seed}:{self._n_sent}")
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(rng.expovariate(self.per_second))
            task = asyncio.ensure_future(self._send(rng))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _send(self, rng: random.Random) -> None:
        self._n_sent += 1
        node = rng.choice(self.fleet.nodes)
        assert node.cfg.callers is not None
        answered = await self.fleet.client.request(
            node.cfg.callers,
            "POST",
            f"/{rng.choice(self.routes)}/{self._n_sent}",
            headers={
                "host": HOST,
                "authorization": f"Bearer {KEY}",
                "x-attempt-id": f"limit-{self.seed}-{self._n_sent}",
                "x-time-budget-ms": "2000",
            },
            deadline=asyncio.get_running_loop().time() + 5.0,
        )
        self.answers.append(answered.ok_value if isinstance(answered, Ok) else None)

    @property
    def n_served(self) -> int:
        """Return how many requests were served."""
        return sum(res is not None and res.status == 200 for res in self.answers)

    @property
    def refused(self) -> list[Response]:
        """Return the answers that say that the request has not run."""
        return [res for res in self.answers if res is not None and res.status == 503]


class EndpointFleet:
    """A fleet with plain endpoints, of which some state a limit."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.endpoints: list[PlainWorker] = []

    async def add_endpoint(self, limit: float | None = None) -> PlainWorker:
        """Start an endpoint, and wait until its row can be known."""
        name = f"d{len(self.endpoints)}"
        endpoint = PlainWorker(
            worker_id=name, network=self.fleet.wires.network_of(name)
        )
        endpoint.request_limit = limit
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.fleet.store.put("servers", name, endpoint.row("desk"))
        await asyncio.sleep(1.0)
        return endpoint

    def n_most(self, endpoint: PlainWorker, since: float) -> int:
        """Return the most requests in any window once a limit binds."""
        return endpoint.max_requests(
            seconds=WINDOW_SECONDS, since=since + CONTACT_SECONDS
        )

    def owner_of(self, endpoint: PlainWorker) -> int:
        """Return the number of the node that issues an endpoint's tokens."""
        running = {
            node.cfg.node: number for number, node in enumerate(self.fleet.nodes)
        }
        return running[rank(f"cold {endpoint.worker_id}", set(running))[0]]

    async def restart(self, *numbers: int) -> None:
        """Kill nodes, and start them again one after the other."""
        for number in numbers:
            await self.fleet.restart_node(number)
            await asyncio.sleep(0.5)

    def traffic(self, per_second: float, **more: object) -> Traffic:
        """Return callers of this fleet."""
        return Traffic(fleet=self.fleet, per_second=per_second, **more)  # type: ignore[arg-type]


def run_endpoint_fleet(
    n_nodes: int,
    steps: Callable[[EndpointFleet], Awaitable[None]],
    seed: int = 1,
    **more: Any,
) -> None:
    """Run a test's steps against a new fleet in virtual time."""

    async def test(fleet: Fleet) -> None:
        endpoint_fleet = EndpointFleet(fleet)
        await steps(endpoint_fleet)
        for endpoint in endpoint_fleet.endpoints:
            await endpoint.close()

    run_fleet(seed, test, n_nodes, **more)


def now() -> float:
    return asyncio.get_running_loop().time()
