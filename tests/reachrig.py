"""Fleets in virtual time whose nodes lose the path to endpoints.

The checks reckon the rule from what callers got, apart from the code.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Sequence
from dataclasses import dataclass, field
from typing import Any, Literal

from result import Ok

from celerytrail.http.messages import Response
from standins.worker import PlainWorker
from tests.limitrig import CONTACT_SECONDS, EndpointFleet, now, run_endpoint_fleet
from tests.relayrig import HOST, KEY

CutKind = Literal["silent", "reset", "refused"]
# Failed first tries at cut nodes that the rule always allows, and the share of all
# first tries beyond that.
N_ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1 / 50
# A cut node serves this share of what the others serve, at least.
SERVED_SHARE = 2 / 3
# By route, the time within which an answer is in aim, in seconds.
AIM_SECONDS = {"file": 0.5, "look": 0.5}


@dataclass(frozen=True, kw_only=True)
class FirstTry:
    """A caller's first try: where and when it was sent, and what came back."""

    node: int
    route: str
    attempt_id: str
    sent_at: float
    seconds: float
    res: Response | None

    @property
    def is_served(self) -> bool:
        """Return whether it got an endpoint's answer."""
        return self.res is not None and self.res.status == 200

    @property
    def is_in_aim(self) -> bool:
        """Return whether it was served in time."""
        return self.is_served and self.seconds <= AIM_SECONDS[self.route]


@dataclass(kw_only=True)
class FirstTries:
    """Callers that send each request once, to random nodes."""

    rig: EndpointFleet
    per_second: float
    seed: int = 1
    routes: tuple[str, ...] = ("file", "look")
    # Which nodes callers know; all by default.
    nodes: Callable[[], Sequence[int]] | None = None
    tries: list[FirstTry] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _n_sent: int = 0

    async def run(self, seconds: float) -> None:
        """Send requests for a while, and wait for their answers."""
        rng = random.Random(f"{self.seed}:{self._n_sent}")
        until = now() + seconds
        while now() < until:
            await asyncio.sleep(rng.expovariate(self.per_second))
            task = asyncio.ensure_future(self._send(rng))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _send(self, rng: random.Random) -> None:
        self._n_sent += 1
        known = self.nodes() if self.nodes else range(len(self.rig.fleet.nodes))
        number = rng.choice(known)
        address = self.rig.fleet.nodes[number].cfg.callers
        assert address is not None
        route = rng.choice(self.routes)
        attempt_id = f"first-{self.seed}-{self._n_sent}"
        sent_at = now()
        answered = await self.rig.fleet.client.request(
            address,
            "POST",
            f"/{route}/{self._n_sent}",
            body=attempt_id.encode(),
            headers={
                "host": HOST,
                "authorization": f"Bearer {KEY}",
                "x-attempt-id": attempt_id,
                "x-time-budget-ms": "2000",
            },
            deadline=sent_at + 5.0,
        )
        res = answered.ok_value if isinstance(answered, Ok) else None
        self.tries.append(
            FirstTry(
                node=number,
                route=route,
                attempt_id=attempt_id,
                sent_at=sent_at,
                seconds=now() - sent_at,
                res=res,
            )
        )

    def between(self, since: float, until: float) -> list[FirstTry]:
        """Return the tries that were sent in a time."""
        return [one for one in self.tries if since <= one.sent_at < until]


def recover_broken(
    tries: Sequence[FirstTry], cut: Collection[int], since: float, until: float
) -> str:
    """Return how the rule on cut nodes is broken in a time, empty if it is kept."""
    counted = [one for one in tries if since + CONTACT_SECONDS <= one.sent_at < until]
    at_cut = [one for one in counted if one.node in cut]
    at_others = [one for one in counted if one.node not in cut]
    n_cut_served = sum(one.is_served for one in at_cut)
    n_others_served = sum(one.is_served for one in at_others)
    n_failed = len(at_cut) - n_cut_served
    n_allowed = N_ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(counted)
    is_served_less = n_cut_served * len(
        at_others
    ) < SERVED_SHARE * n_others_served * len(at_cut)
    if not (is_served_less and n_failed > n_allowed):
        return ""
    return (
        f"cut nodes served {n_cut_served} of {len(at_cut)}, "
        f"the others {n_others_served} of {len(at_others)}"
    )


def in_aim_share(tries: Sequence[FirstTry]) -> float:
    """Return the share of tries that were answered in time."""
    return sum(one.is_in_aim for one in tries) / max(1, len(tries))


class CutFleet(EndpointFleet):
    """A fleet with plain endpoints, whose nodes can lose the path to them."""

    def cut(
        self,
        numbers: Collection[int],
        kind: CutKind,
        endpoints: Sequence[PlainWorker] | None = None,
    ) -> None:
        """Cut nodes off from endpoints, all by default."""
        wires = self.fleet.wires
        for number in numbers:
            for endpoint in self.endpoints if endpoints is None else endpoints:
                node, other = f"vm-{number}", endpoint.worker_id
                if kind == "silent":
                    wires.cut(node, other)
                    wires.cut(other, node)
                    continue
                wires.refuse(node, other)
                if kind == "reset":
                    wires.reset(node, other)

    def mend(self, numbers: Collection[int]) -> None:
        """End the cuts of nodes."""
        for number in numbers:
            for endpoint in self.endpoints:
                self.fleet.wires.heal_link(f"vm-{number}", endpoint.worker_id)

    def first_tries(self, per_second: float, **more: Any) -> FirstTries:
        """Return callers of this fleet."""
        return FirstTries(rig=self, per_second=per_second, **more)

    def check_executions(self, tries: Sequence[FirstTry]) -> None:
        """Check that no filing ran twice, and none that was called not run ran."""
        n_runs = Counter(run for endpoint in self.endpoints for run in endpoint.ran)
        for one in tries:
            if one.route == "file":
                assert n_runs[one.attempt_id] <= 1, f"{one.attempt_id} ran twice"
                if one.res is not None and one.res.status in (408, 421, 429, 503):
                    assert n_runs[one.attempt_id] == 0, f"{one.attempt_id} has run"
            if one.is_served:
                assert one.res is not None
                assert one.res.body.endswith(b" " + one.attempt_id.encode())


def run_cut_fleet(
    n_nodes: int,
    steps: Callable[[CutFleet], Awaitable[None]],
    seed: int = 1,
    **more: Any,
) -> None:
    """Run a test's steps against a new fleet in virtual time."""

    async def test(fleet: EndpointFleet) -> None:
        await steps(CutFleet(fleet.fleet))

    run_endpoint_fleet(n_nodes, test, seed, **more)
