"""What stops and switches of runs leave behind."""

from __future__ import annotations

import asyncio
import errno
from types import SimpleNamespace

import pytest
from result import Err, Ok

from celerytrail.http.client import HttpClient
from celerytrail.http.network import SystemNetwork
from celerytrail.policies.runstops import StopState, StreamEnd
from celerytrail.relay.backupswitch import BackupSwitch
from celerytrail.relay.engineapi import CopyFailed, EngineApi
from celerytrail.relay.liverun import Prepared
from celerytrail.relay.runstops import RunStops
from celerytrail.relay.stoporders import StopOrders
from scenarios.virtualtime import close_loop, new_loop
from tests.relayrig import local


class FakeApi:
    """Answers requests for last copies by a list, each after a time."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.asked: list[str] = []
        self.freed: list[str] = []

    async def copy(self, source, attempt_id, target, *, is_last, deadline):
        self.asked.append(str(source))
        seconds, answer = self.answers.pop(0)
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(min(seconds, deadline - now))
        if now + seconds > deadline:
            return Err(CopyFailed(reason="timeout"))
        return answer

    async def free_copy(self, source, handle, deadline):
        self.freed.append(handle)


def copied(handle="m1"):
    return Ok(SimpleNamespace(handle=handle, n_events=0))


def refused(status):
    return Err(CopyFailed(reason="refused", status=status))


def live_run(**more):
    ex = SimpleNamespace(
        facts=SimpleNamespace(attempt_id="a1"),
        log=lambda *_, **__: None,
        observe_seconds=lambda *_: None,
    )
    engine = SimpleNamespace(can_move=True)
    state = {
        "stop_orders": StopOrders(),
        "reg": None,
        "is_over": False,
        "is_resuming": False,
    }
    return SimpleNamespace(ex=ex, engine=engine, **{**state, **more})


def reg(name, port):
    return SimpleNamespace(
        endpoint=name, address=local(port), version="v1", started_at=1
    )


SOURCE, TARGET = reg("e0", 1), reg("e1", 2)


def run(steps):
    loop = new_loop()
    try:
        return loop.run_until_complete(steps())
    finally:
        close_loop(loop)


class TestOutcomesThatNobodyAwaits:
    def test_the_copy_of_a_run_that_is_still_there_is_kept_for_it(self):
        """Guards against a stop whose outcome comes late and that loses the run."""

        async def steps():
            api = FakeApi((0.5, copied()))
            stops, live = RunStops(api=api), live_run(reg=SOURCE)
            assert await stops.settle(live, SOURCE, TARGET, 0.2) is None
            await asyncio.sleep(1.0)
            stop = await stops.settle(live, SOURCE, TARGET, 0.2)
            return stop.copied.handle, len(api.asked), api.freed

        assert run(steps) == ("m1", 1, [])

    def test_the_name_of_a_copy_that_is_about_to_be_used_is_not_freed(self):
        """Guards against a run that is refused where its earlier copy was freed."""

        async def steps():
            api = FakeApi((0.5, copied()))
            stops, live = RunStops(api=api), live_run(reg=SOURCE)
            assert await stops.settle(live, SOURCE, TARGET, 0.2) is None
            live.reg, live.is_resuming = TARGET, True
            await asyncio.sleep(1.0)
            assert stops.has_kept(live, SOURCE) and not api.freed
            stops.free_kept(live)
            await asyncio.sleep(0.1)
            return api.freed

        assert run(steps) == ["m1"]

    def test_an_order_under_way_counts_for_a_run_that_has_come_back(self):
        """Guards against a former stop that ends the run's next stream."""

        async def steps():
            api = FakeApi((0.5, refused(500)), (0.1, copied()))
            stops, live = RunStops(api=api), live_run(reg=SOURCE)
            stops.stop(live, SOURCE, TARGET)
            await asyncio.sleep(0.2)
            stops.forget(live, SOURCE)
            live.stop_orders.begin_stream(SOURCE)
            during = live.stop_orders.judge_end(SOURCE)
            await asyncio.sleep(2.0)
            return during, live.stop_orders.judge_end(SOURCE), len(api.asked)

        assert run(steps) == (StreamEnd.PENDING, StreamEnd.UNKNOWN, 1)


class TestFreedCopies:
    def test_a_copy_is_freed_whose_run_ends_while_it_is_awaited(self):
        """Guards against copies that are left by callers who go."""

        async def steps():
            api = FakeApi((0.1, copied()))
            stops = RunStops(api=api)
            settling = asyncio.ensure_future(
                stops.settle(live_run(), SOURCE, TARGET, 0.15)
            )
            await asyncio.sleep(0.05)
            settling.cancel()
            await asyncio.sleep(2.0)
            return api.freed

        assert run(steps) == ["m1"]

    def test_a_copy_is_freed_that_takes_longer_than_one_request(self):
        """Guards against copies whose answers come too late."""

        async def steps():
            api = FakeApi((1.5, copied()), (0.0, refused(409)), (0.0, refused(404)))
            stops = RunStops(api=api)
            stops.stop(live_run(), SOURCE, TARGET)
            await asyncio.sleep(6.0)
            return api.freed

        assert run(steps) == ["m1"]

    def test_a_copy_that_the_run_goes_on_from_is_not_freed(self):
        """Guards against a stop of a run that was left, and is then waited for."""

        async def steps():
            api = FakeApi((0.1, copied()))
            stops = RunStops(api=api)
            live = live_run()
            stops.stop(live, SOURCE, TARGET)
            await asyncio.sleep(0.06)
            stop = await stops.settle(live, SOURCE, TARGET, 0.15)
            assert stop is not None and stop.copied is not None
            await asyncio.sleep(1.0)
            return api.freed

        assert run(steps) == []


class TestStopStates:
    @pytest.mark.parametrize(
        "code", [errno.ENETUNREACH, errno.EMFILE, errno.ECONNRESET]
    )
    def test_only_a_refused_connection_shows_that_an_engine_is_gone(self, code):
        """Guards against errors on this side that are taken for a stopped run."""

        class Broken(SystemNetwork):
            async def connect(self, factory, address):
                raise OSError(code, "no connection")

        async def steps():
            client = HttpClient(network=Broken(), id_header=None)
            api = EngineApi(client=client, on_answer=lambda *_: None)
            stops = RunStops(api=api)
            found = await stops.settle(live_run(), SOURCE, TARGET, 0.5)
            return None if found is None else found.state

        assert run(steps) in (None, StopState.UNKNOWN)


class FakeStream:
    def __init__(self) -> None:
        self.is_closed = False

    def close(self):
        self.is_closed = True


class FakeOpener:
    """Opens a stream after a time."""

    def __init__(self, seconds) -> None:
        self.seconds = seconds
        self.stream = FakeStream()

    async def prepare(self, live, reg):
        return Ok(Prepared(admission=None, conn=None, is_tunnel=False))

    async def open_prepared(self, live, copied, prepared):
        await asyncio.sleep(self.seconds)
        return Ok(self.stream)


class TestCancelledSwitches:
    def test_a_stream_is_closed_that_opens_as_its_switch_is_cancelled(self):
        """Guards against a run at a backup that nobody reads."""

        async def steps():
            opener = FakeOpener(0.1)
            stops = RunStops(api=FakeApi((0.0, refused(404)), (0.0, refused(404))))
            switch = BackupSwitch(
                opener=opener, stops=stops, choose_target=lambda *_: None
            )
            live = live_run(reg=SOURCE, stream=FakeStream(), n_events=3)
            moving = asyncio.ensure_future(switch.switch(live, TARGET))
            # The caller goes in the turn of the loop in which the head arrives.
            loop = asyncio.get_running_loop()
            loop.call_later(0.1, lambda: loop.call_soon(moving.cancel))
            await asyncio.wait({moving})
            assert moving.cancelled()
            await asyncio.sleep(1.0)
            return opener.stream.is_closed

        assert run(steps)

    def test_the_engines_of_a_cancelled_switch_are_stopped(self):
        """Guards against two engines that work on for a caller who has gone."""

        async def steps():
            api = FakeApi(*[(0.0, refused(404))] * 9)
            switch = BackupSwitch(
                opener=FakeOpener(1.0),
                stops=RunStops(api=api),
                choose_target=lambda *_: None,
            )
            live = live_run(reg=SOURCE, stream=FakeStream(), n_events=3)
            moving = asyncio.ensure_future(switch.switch(live, TARGET))
            await asyncio.sleep(0.1)
            moving.cancel()
            await asyncio.wait({moving})
            await asyncio.sleep(1.0)
            return api.asked

        assert run(steps) != []
