"""What becomes of copies and callers of runs that were told to stop."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from result import Err, Ok

from celerytrail.relay.backupswitch import BackupSwitch
from celerytrail.relay.engineapi import CopyFailed
from celerytrail.relay.liverun import Prepared
from celerytrail.relay.outcomes import Failed
from celerytrail.relay.runmover import RunMover
from celerytrail.relay.runstops import RunStops
from standins import modelworker
from standins.handoverfaults import HandoverFaults, StopLoss
from standins.modelworker import AnswerEnds, ModelWorker
from tests.limitrig import now
from tests.sourcesrig import Fleet, run_fleet
from tests.test_relay_one_place import Drafts
from tests.test_relay_stopped_streams import (
    LEAVES,
    Leave,
    leave,
    read_late,
    short_of,
    without_backups,
)
from tests.test_run_stops_ends import (
    SOURCE,
    TARGET,
    FakeApi,
    FakeStream,
    copied,
    live_run,
    refused,
    reg,
    run,
)
from tests.versionrig import StreamCallers

OTHER = reg("e2", 3)

# Time without an event after which a caller may give a stream up, in seconds.
MIN_GAP_SECONDS = 2.0


def held_copies(drafts: Drafts, source: str) -> set[str]:
    """Return the unused copies that engines hold of the runs of another one."""
    return {
        name
        for engine in drafts.rig.engines.values()
        for name in engine.model.copies
        if name.startswith(f"{source}/m")
    }


def record_ends(callers: StreamCallers) -> list[float]:
    """Return how long callers wait behind their last events, filled as they read."""
    waits: list[float] = []
    attempt = callers._try

    async def read(rng, route, stream, *more):
        result = await attempt(rng, route, stream, *more)
        waits.append(now() - stream.events[-1].at if stream.events else 0.0)
        return result

    callers._try = read
    return waits


class TestCopiesOfLateStops:
    def test_the_copy_of_a_run_that_went_on_at_its_backup_is_freed(self):
        """Guards against copies that occupy engines while their runs go on."""

        async def test(fleet: Fleet) -> None:
            drafts = Drafts(fleet)
            await drafts.start()
            ended = await drafts.run()
            left = drafts.busiest
            for engine in drafts.rig.engines.values():
                engine.handover_faults = HandoverFaults(head_seconds=2.0)
            left.handover_faults = HandoverFaults(stop_seconds=1.2)
            leaving = asyncio.ensure_future(drafts.rig.leave(left, 8.0))
            await asyncio.sleep(3.5)
            assert any(one.n_from_copies for one in drafts.places())
            assert held_copies(drafts, str(left.address)) == set()
            await leaving
            await ended

        run_fleet(1, test, 1)


class TestPauses:
    def test_a_lost_answer_to_an_order_is_not_awaited_longer_than_callers_wait(self):
        """Guards against streams that go on after their callers have left."""

        async def test(fleet: Fleet) -> None:
            lost = HandoverFaults(stop_loss=StopLoss.SILENT)
            drafts = await leave(fleet, Leave(left=lost))
            pauses = [
                later.at - earlier.at
                for one in drafts.streams
                for earlier, later in zip(one.events, one.events[1:], strict=False)
            ]
            assert max(pauses) < MIN_GAP_SECONDS

        run_fleet(1, test, 1)

    @pytest.mark.parametrize(
        ("read_seconds", "unframed_share", "max_seconds"),
        [(0.5, 1.0, MIN_GAP_SECONDS), (4.5, 1.0, MIN_GAP_SECONDS), (4.5, 0.0, 0.1)],
    )
    def test_the_end_of_a_run_is_not_awaited_longer_than_callers_wait(
        self, read_seconds, unframed_share, max_seconds
    ):
        """Guards against whole answers whose callers have left before their ends."""

        async def test(fleet: Fleet) -> None:
            fleet.change(services=without_backups())
            drafts = Drafts(fleet)
            await drafts.start()
            for engine in drafts.rig.engines.values():
                engine.answer_ends = AnswerEnds(unframed_share=unframed_share)
            callers = drafts.rig.callers(
                per_second=20.0, seed=1, routes=("draft",), n_mean_events=20.0
            )
            waits = record_ends(callers)
            ended = asyncio.ensure_future(callers.run(1.5))
            await asyncio.sleep(1.0)
            left = drafts.busiest
            read_late(left, read_seconds)
            await drafts.rig.leave(left, 9.0)
            await ended
            assert short_of(callers) == []
            assert max(waits) < max_seconds

        run_fleet(1, test, 1)


class FakeOpener:
    """Prepares engines at once; their answers fail after a time."""

    def __init__(self, seconds: float = 0.0) -> None:
        self.seconds = seconds

    async def prepare(self, live, reg):
        return Ok(Prepared(admission=None, conn=None, is_tunnel=False))

    def discard_prepared(self, prepared):
        pass

    async def open_prepared(self, live, copied, prepared):
        await asyncio.sleep(self.seconds)
        return Err(Failed(reason="timeout"))


class StopAfterTwo:
    """Stops runs after their second copy."""

    def should_stop(self, n_copies, seconds, remaining_seconds):
        return n_copies == 2


def moved_run():
    return live_run(
        reg=SOURCE,
        stream=FakeStream(),
        n_events=3,
        run=SimpleNamespace(n_tokens=9, endpoint="e0"),
        partial_copy=None,
        resuming=asyncio.Event(),
        is_resuming=False,
        move=None,
        broken_at=set(),
    )


def mover_of(api):
    return RunMover(
        api=api,
        registry=None,
        loads=None,
        placer=SimpleNamespace(choose_move_target=None),
        opener=FakeOpener(),
        stops=RunStops(api=api),
        stopping=StopAfterTwo(),
    )


async def move(mover, live):
    """Move a run by copies, and return the one to go on from."""
    deadline = asyncio.get_running_loop().time() + 4.0
    moved = await mover._copies.copy_and_stop(live, SOURCE, TARGET, deadline)
    return moved.unwrap()


class TestRefusedLastCopies:
    def test_the_earlier_copy_is_freed_at_its_target(self):
        """Guards against copies that occupy engines which have no room."""

        class Api(FakeApi):
            async def free_copy(self, source, handle, deadline):
                self.freed.append((str(source), handle))

        async def steps():
            kept = Err(CopyFailed(reason="refused", status=503, handle="m1"))
            api = Api((0.2, copied()), (0.2, copied()), (0.2, kept))
            mover, live = mover_of(api), moved_run()
            moved = await move(mover, live)
            assert moved.reg is SOURCE
            live.reg = SOURCE
            await asyncio.sleep(1.0)
            live.is_complete = True
            mover.end(live)
            await asyncio.sleep(1.0)
            return api.freed

        assert (str(TARGET.address), "m1") in run(steps)


class TestLogs:
    """What is written of orders that didn't move their runs."""

    @staticmethod
    def logged(answer):
        """Return the lines of a move whose last copy is answered so."""
        lines = []

        async def steps():
            api = FakeApi((0.2, copied()), (0.2, copied()), *[(0.2, answer)] * 60)
            mover, live = mover_of(api), moved_run()
            live.ex.log = lambda kind, **more: lines.append({"kind": kind, **more})
            deadline = asyncio.get_running_loop().time() + 4.0
            await mover._copies.copy_and_stop(live, SOURCE, TARGET, deadline)

        run(steps)
        return [line for line in lines if line.get("is_last")]

    def test_a_refused_last_copy_is_not_written_as_made(self):
        """Guards against records of moves that tell of copies which don't exist."""
        kept = Err(CopyFailed(reason="refused", status=503, handle="m1"))
        (line,) = self.logged(kept)
        assert (line["kind"], line["status"]) == ("move_failed", 503)

    def test_an_order_that_was_not_sent_is_written_as_such(self):
        """Guards against records that don't tell lost orders from unsent ones."""
        unsent = Err(CopyFailed(reason="connect_refused", was_sent=False))
        (line,) = self.logged(unsent)
        assert (line["kind"], line["was_sent"]) == ("move_failed", False)


class TestCallersWhoLeave:
    @pytest.mark.parametrize("leave_seconds", [0.3, 0.5, 0.7])
    def test_the_copy_of_a_run_that_is_moved_is_freed(self, leave_seconds):
        """Guards against copies that occupy engines for callers who have gone."""

        async def steps():
            # Two copies while the run goes on, and the last one.
            api = FakeApi((0.2, copied()), (0.2, copied()), (0.2, copied()))
            mover, live = mover_of(api), moved_run()
            live.move = asyncio.ensure_future(move(mover, live))
            await asyncio.sleep(leave_seconds)
            mover.end(live)
            await asyncio.sleep(2.0)
            return set(api.freed)

        assert run(steps) == {"m1"}

    @pytest.mark.parametrize("leave_seconds", [0.18, 0.22, 0.3, 0.5])
    def test_the_copy_of_a_run_whose_backup_failed_is_freed(self, leave_seconds):
        """Guards against copies that occupy engines for callers who have gone."""

        async def steps():
            # The engine that is left, and the backup.
            api = FakeApi((0.4, copied()), *[(0.4, refused(404))] * 4)
            stops = RunStops(api=api)
            switch = BackupSwitch(
                opener=FakeOpener(0.2), stops=stops, choose_target=lambda *_: OTHER
            )
            live = moved_run()
            moving = asyncio.ensure_future(switch.switch(live, TARGET))
            await asyncio.sleep(leave_seconds)
            live.is_over = True
            stops.free_kept(live)
            moving.cancel()
            await asyncio.wait({moving})
            await asyncio.sleep(2.0)
            return set(api.freed)

        assert "m1" in run(steps)


def reset_orders(engine: ModelWorker) -> None:
    """Let an engine reset the connections of orders to stop runs, unread."""
    move = engine._move

    async def reset(req, res):
        if msgspec.json.decode(req.body)["last"]:
            res.abort()
            return
        await move(req, res)

    engine._move = reset


class TestOrdersWithoutEffect:
    def test_a_run_that_goes_on_to_its_end_is_whole(self, monkeypatch):
        """Guards against whole answers that are cut for orders lost long before."""
        monkeypatch.setattr(modelworker, "COPY_LIFETIME_SECONDS", 2.0)

        async def test(fleet: Fleet) -> None:
            fleet.change(services=without_backups())
            drafts = Drafts(fleet)
            await drafts.start()
            for engine in drafts.rig.engines.values():
                engine.answer_ends = AnswerEnds(unframed_share=1.0)
            ended = await drafts.run()
            left = drafts.busiest
            reset_orders(left)
            await drafts.rig.leave(left, 14.0)
            await ended
            assert short_of(drafts) == []
            assert [one for one in drafts.streams if not one.is_complete] == []

        run_fleet(1, test, 1)

    @pytest.mark.parametrize("loss", [StopLoss.RESET, StopLoss.UNREAD])
    def test_a_run_that_ends_at_the_next_start_of_its_engine_is_whole(self, loss):
        """Guards against whole answers that are cut for orders to a former start."""

        async def test(fleet: Fleet) -> None:
            fleet.change(services=without_backups())
            drafts = Drafts(fleet)
            await drafts.start(2)
            for engine in drafts.rig.engines.values():
                engine.answer_ends = AnswerEnds(unframed_share=1.0)
                engine.handover_faults = HandoverFaults(stop_loss=loss)
            ended = await drafts.run()
            first = drafts.busiest
            first.leaving_at = now() + 2.0
            drafts.rig.write_row(first, "draining")
            await asyncio.sleep(2.6)
            again = await drafts.rig.start_again(first, "v1")
            again.answer_ends = AnswerEnds(unframed_share=1.0)
            await asyncio.sleep(0.5)
            (other,) = [one for one in drafts.rig.engines.values() if one is not again]
            other.handover_faults = HandoverFaults()
            await drafts.rig.leave(other, 4.0)
            await ended
            lasted = [one for one in drafts.streams if len(one.events) == one.n_events]
            assert any(one.events[-1].sender.born == 2 for one in lasted)
            assert [one for one in lasted if not one.is_complete] == []

        run_fleet(1, test, 1)


class TestPathsOverNodes:
    @pytest.mark.parametrize(
        "name", ["answered at once", "answer reset", "answer never sent"]
    )
    def test_a_stopped_stream_is_not_taken_for_a_whole_one(self, name):
        """Guards against a part of an answer that comes over another node."""

        async def test(fleet: Fleet) -> None:
            # Two of three nodes reach engines over the third only.
            for number in range(2):
                for engine in ("e0", "e1", "e2"):
                    fleet.wires.cut(f"vm-{number}", engine)
                    fleet.wires.cut(engine, f"vm-{number}")
            drafts = await leave(fleet, LEAVES[name])
            assert {one.tries[0].node for one in drafts.streams} == {0, 1, 2}
            assert any(one.n_from_copies for one in drafts.places())
            assert short_of(drafts) == []
            assert drafts.at_two() == []
            assert [one for one in drafts.streams if not one.is_complete] == []

        run_fleet(1, test, 3)
