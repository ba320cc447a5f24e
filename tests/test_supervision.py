"""Tasks that run as long as their process."""

from __future__ import annotations

import asyncio

import pytest

from celerytrail.http.client import HttpClient
from celerytrail.metrics import Metrics
from celerytrail.supervision import MAX_PAUSE_SECONDS, Supervisor
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
