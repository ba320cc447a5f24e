"""Which start of an engine runs a request: the checks alone, in virtual time."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok

from celerytrail.model import EngineReport, Registration
from celerytrail.relay.startchecks import GIVE_UP_SECONDS, StartChecks
from tests.test_stream_versions import registration

pytestmark = pytest.mark.looptime


class ScriptedApi:
    """Answers requests for reports from a script; the last answer repeats."""

    def __init__(self, *answers: int | None | str) -> None:
        self._answers = list(answers)
        self.asked_at: list[float] = []

    async def report(self, reg: Registration, deadline: float):
        self.asked_at.append(asyncio.get_running_loop().time())
        answer = self._answers[0]
        if len(self._answers) > 1:
            del self._answers[0]
        if isinstance(answer, str):
            return Err(answer)
        return Ok(
            EngineReport(
                n_queued=0,
                n_running=0,
                n_used_tokens=0,
                n_memory_tokens=1,
                started_at=answer,
            )
        )


class TestStartChecks:
    def checks(self, api: ScriptedApi, *, is_paused: bool = False) -> StartChecks:
        self.superseded: list[Registration] = []
        return StartChecks(
            api=api,  # type: ignore[arg-type]
            is_paused=lambda reg: is_paused,
            on_superseded=self.superseded.append,
        )

    async def test_requests_of_one_moment_share_a_report(self):
        api = ScriptedApi(1)
        checks = self.checks(api)
        reg = registration("v1")
        found = await asyncio.gather(checks.begin(reg), checks.begin(reg))
        assert found == [1, 1]
        assert len(api.asked_at) == 1
        assert self.superseded == []

    async def test_a_later_request_needs_a_report_of_its_own(self):
        # An earlier report doesn't show that the start still runs.
        api = ScriptedApi(1, 2)
        checks = self.checks(api)
        assert await checks.begin(registration("v1")) == 1
        assert await checks.begin(registration("v1")) == 2

    async def test_a_later_start_supersedes_that_of_the_row(self):
        reg = registration("v1", started_at=5)
        checks = self.checks(ScriptedApi(6))
        assert await checks.begin(reg) == 6
        assert self.superseded == [reg]

    @pytest.mark.parametrize("started_at", [None, 4])
    def test_no_start_or_an_earlier_one_supersedes_nothing(self, started_at):
        checks = self.checks(ScriptedApi(1))
        checks.record(registration("v1", started_at=5), started_at)
        assert self.superseded == []

    async def test_an_engine_that_is_gone_is_asked_ever_less(self):
        # Each failed request may be tried through other nodes as well.
        api = ScriptedApi("connect_refused")
        began_at = asyncio.get_running_loop().time()
        assert await self.checks(api).begin(registration("v1")) is None
        assert len(api.asked_at) < 20
        assert asyncio.get_running_loop().time() - began_at < GIVE_UP_SECONDS + 2.0

    async def test_an_engine_that_asked_for_a_pause_is_not_asked_again(self):
        api = ScriptedApi("stalled", 1)
        checks = self.checks(api, is_paused=True)
        assert await checks.begin(registration("v1")) is None
        assert len(api.asked_at) == 1

    async def test_an_engine_that_answers_late_is_known_then(self):
        checks = self.checks(ScriptedApi("stalled", "stalled", 1))
        assert await checks.begin(registration("v1")) == 1
