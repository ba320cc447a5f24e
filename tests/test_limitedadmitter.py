"""The admitter that enforces organisations' limits, with fake limits."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok

from celerytrail.nodes.limited import LimitedAdmitter
from celerytrail.policies.grants import AdmitRequest, Admitter, Grant
from celerytrail.types import NotRun


class FakeLimits:
    """Counts places and tokens, and refuses requests when no place is left."""

    def __init__(self, n_places):
        self.n_places, self.n_tokens = n_places, 0

    def admit(self, organisation, n_tokens):
        if self.n_places == 0:
            return NotRun(reason="concurrency_limit", retry_after=1.0)
        self.n_places -= 1
        self.n_tokens += n_tokens
        return None

    def settle(self, organisation, n_tokens):
        self.n_tokens += n_tokens

    def has_passed(self, deadline):
        return True

    def release(self, organisation):
        self.n_places += 1


class FakeAdmitter(Admitter):
    """Returns the given answer, or waits for ever without one."""

    def __init__(self, answer=None):
        self.answer = answer

    async def admit(self, req):
        if self.answer is None:
            await asyncio.Event().wait()
        return self.answer

    def progress(self, grant, n_tokens):
        pass

    def finish(self, grant, n_tokens, end):
        pass


def request():
    return AdmitRequest(
        request_id="r",
        organisation="o",
        model="m",
        n_prompt_tokens=10,
        n_max_tokens=1_000,
        queue_deadline=1.0,
    )


class TestLimits:
    async def test_over_the_limit_is_refused_at_once(self):
        limits = FakeLimits(0)
        admitter = LimitedAdmitter(inner=FakeAdmitter(), limits=limits)
        refused = await admitter.admit(request())
        assert refused.err_value.reason == "concurrency_limit"

    @pytest.mark.parametrize("n_tokens", [0, 3, 64, 65, 1_000])
    async def test_total_charge_is_exactly_the_produced_tokens(self, n_tokens):
        limits = FakeLimits(1)
        grant = Grant(grant_id="g", engine="e")
        admitter = LimitedAdmitter(inner=FakeAdmitter(Ok(grant)), limits=limits)
        await admitter.admit(request())
        for n in range(1, n_tokens + 1):
            admitter.progress(grant, n)
        admitter.finish(grant, n_tokens, "answered")
        assert limits.n_tokens == n_tokens
        assert limits.n_places == 1

    async def test_refused_or_cancelled_keeps_no_place(self):
        """The pool refuses a request, then a caller disconnects while it waits. If
        their places leaked, the organisation would soon be refused while nothing runs.
        """
        limits = FakeLimits(1)
        refusal = Err(NotRun(reason="shed"))
        await LimitedAdmitter(inner=FakeAdmitter(refusal), limits=limits).admit(
            request()
        )
        admitter = LimitedAdmitter(inner=FakeAdmitter(), limits=limits)
        task = asyncio.create_task(admitter.admit(request()))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task])
        assert (limits.n_places, limits.n_tokens) == (1, 0)
