"""What becomes of copies and callers of runs that were told to stop."""

from __future__ import annotations

import asyncio

from standins.handoverfaults import HandoverFaults, StopLoss
from tests.sourcesrig import Fleet, run_fleet
from tests.test_relay_one_place import Drafts
from tests.test_relay_stopped_streams import Leave, leave

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
