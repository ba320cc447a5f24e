"""What became of an engine that broke off answers."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok

from celerytrail.http.client import NotSent
from celerytrail.metrics import Metrics
from celerytrail.model import EndpointState, EngineReport, Prompt, Registration
from celerytrail.policies.crashsuspects import Crash, LostRun
from celerytrail.relay.crashes.fates import ConnectionFates, Fate, ReportedFates
from celerytrail.relay.crashes.watch import N_BEGUN_EVENTS, CrashWatch
from celerytrail.relay.liverun import UNKNOWN_START
from celerytrail.relay.registry import Registry
from celerytrail.types import Address

pytestmark = pytest.mark.looptime
REFUSED = Err("connect_refused")
TIMEOUT = Err("timeout")


def registration(started_at: int = 5) -> Registration:
    return Registration(
        endpoint="e1",
        service="models",
        address=Address(host="10.0.0.1", port=1),
        failure_domain="a",
        n_slots=8,
        state=EndpointState.READY,
        started_at=started_at,
    )


def report(started_at: int | None):
    return Ok(
        EngineReport(
            n_queued=0,
            n_running=0,
            n_used_tokens=0,
            n_memory_tokens=1,
            started_at=started_at,
        )
    )


class FakeApi:
    """Answers requests for reports in turn, the last answer again and again."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.n_asked = 0

    async def report(self, reg: Registration, deadline: float):
        self.n_asked += 1
        await asyncio.sleep(0.01)
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]


class WatchRig:
    def __init__(self, *answers, started_at: int = 5) -> None:
        self.reg = registration(started_at)
        self.registry = Registry(on_leaving=lambda reg: None)
        self.registry.put(registration())
        self.api = FakeApi(*answers)
        self.crashes: list[Crash] = []
        self.watch = CrashWatch(
            fates=ReportedFates(api=self.api, registry=self.registry),
            on_lost=lambda run, check: None,
            on_crash=self.crashes.append,
            metrics=Metrics(process="test"),
        )

    async def lose(self, n_events: int = 0, own: str = "1") -> None:
        run = LostRun(
            prompt=Prompt(service="models", shared_parts=("a",), digest=own),
            sent_at=0.0,
        )
        self.watch.record_lost(self.reg, run, n_events)

    async def is_crash(self) -> bool:
        await self.lose()
        await asyncio.sleep(10.0)
        return bool(self.crashes)


class TestFates:
    async def test_an_engine_that_refuses_connections_has_crashed(self):
        assert await WatchRig(REFUSED).is_crash()

    async def test_an_engine_at_another_start_has_crashed(self):
        assert await WatchRig(report(6)).is_crash()

    async def test_a_reset_connection_is_no_crash(self):
        assert not await WatchRig(report(5)).is_crash()

    async def test_a_path_that_falls_silent_is_no_crash(self):
        assert not await WatchRig(TIMEOUT, TIMEOUT, report(5)).is_crash()
        assert not await WatchRig(TIMEOUT).is_crash()

    async def test_a_silent_engine_whose_row_expires_has_crashed(self):
        rig = WatchRig(TIMEOUT)
        await rig.lose()
        await asyncio.sleep(1.0)
        rig.registry.remove("e1", 0.0, may_be_lapse=False)
        await asyncio.sleep(2.0)
        assert len(rig.crashes) == 1

    async def test_an_engine_that_leaves_is_no_crash(self):
        rig = WatchRig(REFUSED)
        rig.registry.record_leaving(rig.reg)
        assert not await rig.is_crash()

    async def test_an_engine_whose_start_is_unknown_accuses_nothing(self):
        assert not await WatchRig(report(5), started_at=UNKNOWN_START).is_crash()
        assert not await WatchRig(report(None)).is_crash()


class TestLostRuns:
    async def test_runs_that_had_begun_are_told_apart(self):
        # They accuse no shared part, but the request may end its engine at any moment.
        rig = WatchRig(REFUSED)
        await rig.lose(n_events=N_BEGUN_EVENTS, own="1")
        await rig.lose(n_events=N_BEGUN_EVENTS - 1, own="2")
        await asyncio.sleep(1.0)
        (crash,) = rig.crashes
        begun = {run.prompt.digest: run.has_begun for run in crash.runs}
        assert begun == {"1": True, "2": False}

    async def test_one_check_serves_all_runs_of_an_engine(self):
        rig = WatchRig(REFUSED)
        for number in range(5):
            await rig.lose(own=str(number))
        await asyncio.sleep(1.0)
        assert rig.api.n_asked == 1
        assert len(rig.crashes[0].runs) == 5


class FakeClient:
    """Connects or not, in turn; the last outcome again and again."""

    def __init__(self, *outcomes) -> None:
        self.outcomes = list(outcomes)
        self.n_asked = 0

    async def ensure_connected(self, address: Address, deadline: float):
        self.n_asked += 1
        return self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]


def not_connected(reason: str):
    return Err(NotSent(reason=reason))


class PlainRig:
    def __init__(self, *outcomes) -> None:
        self.reg = registration()
        self.registry = Registry(on_leaving=lambda reg: None)
        self.registry.put(self.reg)
        self.client = FakeClient(*outcomes)
        self.fates = ConnectionFates(client=self.client, registry=self.registry)

    async def find(self) -> Fate:
        return await self.fates.find(self.reg, asyncio.get_running_loop().time())


class TestFatesOfPlainEndpoints:
    async def test_an_endpoint_that_refuses_connections_has_crashed(self):
        assert await PlainRig(not_connected("connect_refused")).find() is Fate.CRASHED

    async def test_an_endpoint_that_accepts_connections_lives(self):
        rig = PlainRig(Ok(None))
        assert await rig.find() is Fate.ALIVE
        assert rig.client.n_asked == 1

    async def test_an_endpoint_that_started_again_at_its_address_has_crashed(self):
        # It accepts connections before its row names another start.
        rig = PlainRig(Ok(None))
        finding = asyncio.ensure_future(rig.find())
        await asyncio.sleep(1.0)
        rig.registry.put(registration(6))
        assert await finding is Fate.CRASHED

    async def test_an_endpoint_that_leaves_is_no_crash(self):
        rig = PlainRig(Ok(None))
        finding = asyncio.ensure_future(rig.find())
        await asyncio.sleep(1.0)
        rig.registry.record_leaving(rig.reg)
        assert await finding is Fate.LEFT

    async def test_a_path_that_falls_silent_is_no_crash(self):
        rig = PlainRig(not_connected("connect_timeout"))
        assert await rig.find() is Fate.UNKNOWN

    async def test_a_silent_endpoint_whose_row_expires_has_crashed(self):
        rig = PlainRig(not_connected("connect_timeout"))
        finding = asyncio.ensure_future(rig.find())
        await asyncio.sleep(1.0)
        rig.registry.remove("e1", 0.0, may_be_lapse=False)
        assert await finding is Fate.CRASHED
