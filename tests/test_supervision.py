"""Tasks that run as long as their process."""

from __future__ import annotations

import asyncio

import eliot
import pytest

from celerytrail.http.client import HttpClient
from celerytrail.metrics import Metrics
from celerytrail.platform import storewire
from celerytrail.platform.noderows import NodeRows
from celerytrail.supervision import (
    MAX_PAUSE_SECONDS,
    BackgroundTasks,
    Supervisor,
)
from tests.relayrig import Rig, wait_until


class FailingWork:
    """Fails as often as it is told, then runs on."""

    def __init__(self, n_failures: int, *, returns: bool = False) -> None:
        self.n_failures = n_failures
        self.returns = returns
        self.begun_at: list[float] = []

    async def run(self) -> None:
        self.begun_at.append(asyncio.get_running_loop().time())
        if len(self.begun_at) <= self.n_failures:
            if self.returns:
                return
            raise RecursionError("too deep")
        await asyncio.sleep(1e6)


@pytest.fixture
def messages():
    """Collect what is logged."""
    logged: list[dict[str, object]] = []
    eliot.add_destinations(logged.append)
    # The first destination gets what was logged before it.
    logged.clear()
    yield logged
    eliot.remove_destination(logged.append)


class TestSupervisor:
    @pytest.mark.looptime
    @pytest.mark.parametrize("returns", [False, True])
    async def test_a_task_that_ends_is_started_again(self, returns):
        """Guards against a task that ends unnoticed."""
        metrics = Metrics(process="vm-1")
        supervisor = Supervisor(metrics=metrics)
        work = FailingWork(8, returns=returns)
        supervisor.start("table", work.run)
        await asyncio.sleep(60.0)
        assert len(work.begun_at) == 9
        pauses = [b - a for a, b in zip(work.begun_at, work.begun_at[1:], strict=False)]
        assert pauses == sorted(pauses)
        assert pauses[-1] == pytest.approx(MAX_PAUSE_SECONDS)
        assert supervisor.paused == []
        await supervisor.close()

    @pytest.mark.looptime
    async def test_a_paused_task_is_named(self):
        supervisor = Supervisor(metrics=Metrics(process="vm-1"))
        supervisor.start("table", FailingWork(100).run)
        await asyncio.sleep(20.0)
        assert supervisor.paused == ["table"]
        await supervisor.close()

    @pytest.mark.looptime
    async def test_a_job_that_returns_is_no_alarm(self):
        """Guards against expected ends that drown an unexpected one."""
        metrics = Metrics(process="vm-1")
        supervisor = Supervisor(metrics=metrics)
        work = FailingWork(1, returns=True)
        supervisor.start_job("join", work.run)
        await asyncio.sleep(60.0)
        assert len(work.begun_at) == 1
        assert supervisor.paused == []
        assert b"ended_tasks_total{" not in metrics.render()[0]
        await supervisor.close()

    @pytest.mark.looptime
    async def test_a_job_that_fails_is_started_again(self):
        """Guards against a job that never comes to its end."""
        supervisor = Supervisor(metrics=Metrics(process="vm-1"))
        work = FailingWork(3)
        task = supervisor.start_job("join", work.run)
        await asyncio.sleep(60.0)
        assert len(work.begun_at) == 4
        task.cancel()
        await asyncio.wait([task])
        assert supervisor.paused == []

    @pytest.mark.looptime
    async def test_repeated_ends_do_not_fill_the_log(self, messages):
        """Guards against a log that grows with the time instead of the decisions."""
        supervisor = Supervisor(metrics=Metrics(process="vm-1"))
        work = FailingWork(10_000)
        supervisor.start("table", work.run)
        await asyncio.sleep(3_600.0)
        logged = [one["n_ends"] for one in messages if one.get("task") == "table"]
        assert len(work.begun_at) > 700
        assert logged == [2**n for n in range(len(logged))]
        assert len(logged) < 12
        await supervisor.close()

    @pytest.mark.looptime
    async def test_a_cancelled_pause_is_forgotten(self):
        supervisor = Supervisor(metrics=Metrics(process="vm-1"))
        task = supervisor.start("poll", FailingWork(100).run)
        await asyncio.sleep(20.0)
        task.cancel()
        await asyncio.wait([task])
        assert supervisor.paused == []


class TestBackgroundTasks:
    async def test_an_error_is_logged(self, messages):
        """Guards against an error that only the event loop sees."""
        tasks = BackgroundTasks()

        async def fail():
            raise ZeroDivisionError("by zero")

        await tasks.spawn(fail())
        (logged,) = [one for one in messages if one["message_type"] == "task:failed"]
        assert "ZeroDivisionError" in logged["problem"]


class TestNode:
    async def test_an_error_in_a_sink_is_logged_and_the_table_followed_again(
        self, monkeypatch
    ):
        """Guards against rows that are never read again after one error."""
        rig = Rig()
        await rig.start()
        worker = await rig.add_plain_worker("d1")
        node = await rig.add_node()
        failures = iter([True, True])

        put = node.registry.put

        def fail_twice(reg):
            if next(failures, False):
                raise ZeroDivisionError
            put(reg)

        monkeypatch.setattr(node.registry, "put", fail_twice)
        rig.store.put("servers", "d1", worker.row("desk", slots=9))
        rig.store.put("servers", "d1", worker.row("desk", "draining"))
        try:
            await wait_until(lambda: not node.registry.usable_endpoints("desk"))
            assert "ended_tasks_total{" in await rig.metrics(node)
            client = HttpClient(id_header=None)
            res = await client.request(node.cfg.readiness, "GET", "/api/readiness")
            client.close()
            assert (res.unwrap().status, res.unwrap().json()) == (
                200,
                {"paused_tasks": []},
            )
        finally:
            await rig.close()

    async def test_idle_nodes_report_no_ended_task(self):
        """Guards against a task that has joined the others and counts as ended."""
        rig = Rig()
        await rig.start()
        try:
            for number in (1, 2, 3):
                await rig.add_node(f"vm-{number}")
            await wait_until(
                lambda: all(len(node.nodes.live()) == 3 for node in rig.nodes)
            )
            await asyncio.sleep(0.5)
            for node in rig.nodes:
                assert "ended_tasks_total{" not in await rig.metrics(node)
                assert node.supervisor.paused == []
        finally:
            await rig.close()

    async def test_entering_the_store_is_tried_again_after_an_error(self, monkeypatch):
        """Guards against a node that never learns the others' addresses."""
        rig = Rig()
        await rig.start()
        failures = iter([True, True])
        enter = NodeRows.enter

        async def fail_twice(self):
            if next(failures, False):
                raise RecursionError("too deep")
            return await enter(self)

        monkeypatch.setattr(NodeRows, "enter", fail_twice)
        try:
            node = await rig.add_node()
            caller = str(node.cfg.callers)
            await wait_until(lambda: caller in rig.store.keys(storewire.NODES_TABLE))
        finally:
            await rig.close()
