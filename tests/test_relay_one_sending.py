"""A call that may run once is sent once, wherever its connection ends."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from result import Ok

from celerytrail.http.messages import Request, Response
from celerytrail.http.server import Responder
from standins.worker import SEAL_HEADER, PlainWorker, WorkerFaults
from tests.limitrig import now
from tests.reachrig import CutFleet, run_cut_fleet
from tests.relayrig import HOST, KEY

# Statuses that say that a call has not run and never will.
NOT_RUN = (408, 421, 429, 503)
BODY = b"a body of some length"
# Node 0 has lost the path to all endpoints, and node 1 has not.
THROUGH_PEER, DIRECT = 0, 1
# Pause between two calls, in seconds: a failure makes nodes avoid one another for less.
PAUSE_SECONDS = 1.2


class BreakingWorker(PlainWorker):
    """Runs each call, and breaks its answer off after ``breaks_at`` bytes."""

    breaks_at: int | None = None
    is_reset: bool = False

    def __init__(self, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.begun: list[str] = []

    @property
    def n_runs(self) -> Counter[str]:
        """Return how often it has begun to work on each call, whatever it answered."""
        return Counter(self.begun) | Counter(self.ran)

    async def _run(self, req: Request, res: Responder, attempt_id: str) -> None:
        self.begun.append(attempt_id)
        await super()._run(req, res, attempt_id)

    async def _answer(self, req: Request, res: Responder, attempt_id: str) -> None:
        if self.breaks_at is None:
            await super()._answer(req, res, attempt_id)
            return
        self.ran.append(attempt_id)
        transport = res._conn.transport
        assert transport is not None
        transport.write(answer(attempt_id)[: self.breaks_at])
        if self.is_reset:
            transport.abort()
        else:
            transport.close()


def answer(attempt_id: str) -> bytes:
    """Return a whole answer with a length."""
    head = (
        f"HTTP/1.1 200 OK\r\nx-attempt-id: {attempt_id}\r\n{SEAL_HEADER}: s\r\n"
        f"content-length: {len(BODY)}\r\n\r\n"
    )
    return head.encode() + BODY


class Calls:
    """Calls of one caller, and how often each ran."""

    def __init__(self, rig: CutFleet) -> None:
        self.rig = rig
        self.n_sent = 0

    async def start(self, n_endpoints: int) -> None:
        """Start endpoints, and cut node 0 off from them."""
        for number in range(n_endpoints):
            worker = BreakingWorker(
                worker_id=f"d{number}",
                network=self.rig.fleet.wires.network_of(f"d{number}"),
            )
            await worker.start()
            self.rig.endpoints.append(worker)
            self.rig.fleet.store.put("servers", worker.worker_id, worker.row("desk"))
        await asyncio.sleep(1.0)
        self.rig.cut([THROUGH_PEER], "refused")

    async def send(self, node: int, route: str = "file") -> tuple[str, Response | None]:
        """Send a call, and return its id and its answer."""
        self.n_sent += 1
        attempt_id = f"a{self.n_sent:04}"
        address = self.rig.fleet.nodes[node].cfg.callers
        assert address is not None
        answered = await self.rig.fleet.client.request(
            address,
            "POST",
            f"/{route}/{self.n_sent}",
            body=attempt_id.encode(),
            headers={
                "host": HOST,
                "authorization": f"Bearer {KEY}",
                "x-attempt-id": attempt_id,
                "x-time-budget-ms": "12000",
            },
            deadline=now() + 15.0,
        )
        return attempt_id, answered.ok_value if isinstance(answered, Ok) else None

    @property
    def n_runs(self) -> Counter[str]:
        """Return how often each call ran."""
        return sum((worker.n_runs for worker in self.rig.endpoints), Counter())

    def peers(self, attempt_id: str) -> list[str]:
        """Return the machines from which a call arrived at endpoints."""
        return [
            one.peer
            for worker in self.rig.endpoints
            for one in worker.arrivals
            if one.attempt_id == attempt_id
        ]

    def check(self, attempt_id: str, res: Response | None) -> None:
        """Check that a call ran once at most, and not at all if that was said."""
        n_runs = self.n_runs[attempt_id]
        assert n_runs <= 1, f"{attempt_id} ran {n_runs} times"
        assert res is not None
        if res.status in NOT_RUN:
            assert n_runs == 0, f"{attempt_id} ran, and got {res.status}"
        if res.status == 200:
            assert n_runs == 1


def run_calls(
    n_nodes: int,
    steps: Callable[[Calls], Awaitable[None]],
    n_endpoints: int = 2,
    **more: Any,
) -> None:
    """Run a test's steps with endpoints that node 0 doesn't reach itself."""

    async def test(rig: CutFleet) -> None:
        calls = Calls(rig)
        await calls.start(n_endpoints)
        await steps(calls)

    run_cut_fleet(n_nodes, test, **more)


class TestBrokenAnswers:
    @pytest.mark.parametrize("node", [THROUGH_PEER, DIRECT])
    @pytest.mark.parametrize("is_reset", [False, True])
    def test_a_call_whose_answer_breaks_off_is_not_sent_again(self, node, is_reset):
        """Guards against an end behind the request that is taken for "not sent"."""

        async def steps(calls: Calls) -> None:
            n_bytes = len(answer("a0000"))
            n_head = n_bytes - len(BODY)
            for breaks_at in (0, 1, 16, n_head - 3, n_head - 1, n_head, n_bytes - 1):
                for worker in calls.rig.endpoints:
                    worker.breaks_at, worker.is_reset = breaks_at, is_reset
                attempt_id, res = await calls.send(node)
                assert res is not None
                assert (res.status, calls.n_runs[attempt_id]) == (502, 1), breaks_at
                for worker in calls.rig.endpoints:
                    worker.breaks_at = None
                await asyncio.sleep(PAUSE_SECONDS)
                attempt_id, res = await calls.send(node)
                calls.check(attempt_id, res)

        run_calls(3, steps)


class TestBrokenPaths:
    @pytest.mark.parametrize("other", ["node", "endpoint"])
    def test_a_tunnel_that_breaks_at_any_moment_repeats_no_call(self, other):
        """Guards against a broken tunnel that is taken for one that carried nothing."""

        async def steps(calls: Calls) -> None:
            fabric = calls.rig.fleet.wires
            for worker in calls.rig.endpoints:
                worker.answer_seconds = 0.004
            statuses = Counter()
            for milliseconds in range(20):
                sending = asyncio.ensure_future(calls.send(THROUGH_PEER))
                await asyncio.sleep(milliseconds / 1000 + 0.0005)
                for middle in ("vm-1", "vm-2"):
                    if other == "node":
                        fabric.reset("vm-0", middle)
                        continue
                    for worker in calls.rig.endpoints:
                        fabric.reset(middle, worker.worker_id)
                attempt_id, res = await sending
                calls.check(attempt_id, res)
                statuses[res.status, calls.n_runs[attempt_id]] += 1
                await asyncio.sleep(PAUSE_SECONDS)
            # Some broke behind the run, and some calls were served all the same.
            assert statuses[502, 1] > 0
            assert statuses[200, 1] > 0

        run_calls(3, steps)

    @pytest.mark.parametrize(("answer_seconds", "status"), [(6.8, 200), (7.9, 502)])
    def test_a_node_in_the_middle_stops(self, answer_seconds, status):
        """Guards against a planned stop that cuts a call of another node.

        A call that outlasts the stop is cut with its run, and is neither sent again nor
        called "not run". A call whose connection is made after the stop began goes
        through another node.
        """

        async def steps(calls: Calls) -> None:
            nodes = calls.rig.fleet.nodes
            n_through = 0
            for worker in calls.rig.endpoints:
                worker.answer_seconds = answer_seconds
            for _ in range(2):
                sending = asyncio.ensure_future(calls.send(THROUGH_PEER))
                async with asyncio.timeout(2.0):
                    while not any(node.access.tunnels.n_open for node in nodes):
                        await asyncio.sleep(0.0005)
                middle = next(node for node in nodes if node.access.tunnels.n_open)
                await middle.stop()
                calls.rig.fleet.wires.kill(middle.cfg.node)
                attempt_id, res = await sending
                assert res is not None
                is_through = calls.peers(attempt_id) == [middle.cfg.node]
                n_through += is_through
                expected = status if is_through else 200
                assert (res.status, calls.n_runs[attempt_id]) == (expected, 1)
            assert n_through > 0

        run_calls(6, steps)

    def test_no_call_goes_through_a_node_that_was_asked_to_stop(self):
        """Guards against a call that is cut together with the node in the middle.

        The other nodes don't know of the stop yet.
        """

        async def steps(calls: Calls) -> None:
            for worker in calls.rig.endpoints:
                worker.answer_seconds = 8.5
            middle = calls.rig.fleet.nodes[DIRECT]
            stopping = asyncio.ensure_future(middle.stop())
            await asyncio.sleep(0)
            sent = [calls.send(THROUGH_PEER) for _ in range(6)]
            sending = asyncio.gather(*sent)
            await asyncio.sleep(middle.cfg.grace_seconds)
            calls.rig.fleet.wires.kill(middle.cfg.node)
            for attempt_id, res in await sending:
                assert res is not None
                assert (res.status, calls.n_runs[attempt_id]) == (200, 1)
                assert middle.cfg.node not in calls.peers(attempt_id)
            stopping.cancel()

        run_calls(3, steps)


class TestCallersThatLeave:
    @pytest.mark.parametrize("node", [THROUGH_PEER, DIRECT])
    def test_a_call_given_up_at_any_moment_arrives_once_or_never(self, node):
        """Guards against an attempt that goes on, or begins again, without a caller."""

        async def steps(calls: Calls) -> None:
            for milliseconds in range(12):
                sending = asyncio.ensure_future(calls.send(node))
                await asyncio.sleep(milliseconds / 1000 + 0.0005)
                sending.cancel()
                left_at = now()
                await asyncio.sleep(PAUSE_SECONDS)
                arrivals = [
                    one
                    for worker in calls.rig.endpoints
                    for one in worker.arrivals
                    if one.attempt_id == f"a{calls.n_sent:04}"
                ]
                assert len(arrivals) <= 1
                # The close takes a millisecond, and what was sent then another two.
                assert all(one.at <= left_at + 0.0035 for one in arrivals)

        run_calls(3, steps)


class TestAttempts:
    @pytest.mark.parametrize("seed", range(3))
    def test_attempts_and_retries_are_counted_however_they_end(self, seed):
        """Guards against an attempt that is given up, refused or lost and not counted.

        Endpoints refuse, reset, fail, fall silent, or accept no connection, and change
        all the time. A call may run at two, and each further arrival costs a retry.
        """
        rng = random.Random(seed)
        kinds = (
            WorkerFaults(),
            WorkerFaults(refuses=True),
            WorkerFaults(is_mute=True),
            *2 * (WorkerFaults(resets=True), WorkerFaults(status=500)),
            *2 * (WorkerFaults(cuts_after_bytes=1),),
        )

        async def steps(calls: Calls) -> None:
            node = calls.rig.fleet.nodes[DIRECT]
            budget, n_taken = node.calls._budget, 0
            take = budget.take

            def count(service: str, at: float) -> bool:
                nonlocal n_taken
                is_taken = take(service, at)
                n_taken += is_taken
                return is_taken

            budget.take = count
            fabric = calls.rig.fleet.wires
            n_tried = Counter()
            for _ in range(40):
                for worker in calls.rig.endpoints:
                    worker.faults = rng.choice(kinds)
                    fabric.heal_link("vm-1", worker.worker_id)
                    if rng.random() < 0.2:
                        fabric.refuse("vm-1", worker.worker_id)
                        fabric.refuse("vm-2", worker.worker_id)
                attempt_id, _ = await calls.send(DIRECT, "look")
                await asyncio.sleep(rng.choice((0.01, 0.5, PAUSE_SECONDS)))
                assert calls.n_runs[attempt_id] <= 2
                n_tried[attempt_id] = sum(
                    one.attempt_id == attempt_id
                    for worker in calls.rig.endpoints
                    for one in worker.arrivals
                )
            assert 0 < sum(max(0, n - 1) for n in n_tried.values()) <= n_taken

        run_calls(3, steps, n_endpoints=4, retry_slack=1000.0)


class TestControlRequests:
    def test_each_has_a_tunnel_of_its_own(self):
        """Guards against an answer without an id that is read for a later request."""

        async def steps(calls: Calls) -> None:
            fabric = calls.rig.fleet.wires
            worker = calls.rig.endpoints[0]
            reg = calls.rig.fleet.nodes[0].access._registry.find_address(worker.address)
            api = calls.rig.fleet.nodes[0].access.engine_api
            before = sum(fabric.n_connects[f"vm-{n}", worker.worker_id] for n in (1, 2))
            for _ in range(3):
                await api.report(reg, now() + 1.0)
                # Not an engine's, its answer pauses the next request.
                await asyncio.sleep(1.0)
            after = sum(fabric.n_connects[f"vm-{n}", worker.worker_id] for n in (1, 2))
            assert after - before >= 3

        run_calls(3, steps)
