"""A run that may run once is at one engine, whatever becomes of its hand-overs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest

from standins.handoverfaults import CopyReset, HandoverFaults
from standins.modelworker import ModelWorker
from standins.places import MAX_OVERLAP_SECONDS, Places, find_places
from tests.limitrig import now
from tests.sourcesrig import Fleet, run_fleet
from tests.versionrig import EngineFleet, HeldStream

N_DRAFTS = 12


@dataclass(frozen=True, kw_only=True)
class Trouble:
    """What is wrong with the engine that is left, and with all others.

    Drafts can't be moved to engines whose starts aren't known in time.
    """

    report_seconds: float = 0.0
    can_move: bool = True
    others: HandoverFaults = field(default_factory=HandoverFaults)
    left: HandoverFaults = field(default_factory=HandoverFaults)


TROUBLES = {
    "none": Trouble(),
    "reports take 0.2 s": Trouble(report_seconds=0.2),
    "reports take 0.7 s": Trouble(report_seconds=0.7),
    "reports take 3 s": Trouble(report_seconds=3.0, can_move=False),
    "head 1.2 s late": Trouble(others=HandoverFaults(head_seconds=1.2)),
    "event 1.5 s behind the head": Trouble(
        others=HandoverFaults(head_seconds=1.5, is_head_first=True)
    ),
    "copy reset and dropped": Trouble(
        others=HandoverFaults(copy_reset=CopyReset.DROPS)
    ),
    "copy reset and worked on": Trouble(
        others=HandoverFaults(copy_reset=CopyReset.WORKS_ON)
    ),
    "works on behind its connection": Trouble(left=HandoverFaults(linger_seconds=10.0)),
    "copies take 1 s": Trouble(left=HandoverFaults(move_seconds=1.0)),
}


class Drafts:
    """Drafts over engines, and what became of their places."""

    def __init__(self, fleet: Fleet) -> None:
        self.rig = EngineFleet(fleet)
        self.streams: list[HeldStream] = []
        # To which callers go; all by default.
        self.nodes: list[int] | None = None

    async def start(self, n_engines: int = 3) -> None:
        """Start engines, and wait until all nodes know them."""
        for _ in range(n_engines):
            await self.rig.add_engine(zone="a")
        await asyncio.sleep(2.0)

    async def run(self, n_drafts: int = N_DRAFTS) -> asyncio.Future[None]:
        """Begin drafts, and return once they have events."""
        nodes = self.nodes
        callers = self.rig.callers(
            per_second=40.0,
            routes=("draft",),
            n_mean_events=150.0,
            nodes=None if nodes is None else lambda: nodes,
        )
        self.streams = callers.streams
        ended = asyncio.ensure_future(callers.run(n_drafts / 40.0))
        await asyncio.sleep(1.2)
        return ended

    @property
    def busiest(self) -> ModelWorker:
        """Return the engine that works on most drafts."""
        return max(self.rig.engines.values(), key=lambda one: len(one.model.running))

    def places(self) -> list[Places]:
        """Return the places of all drafts."""
        logs = [engine.work_log for engine in self.rig.all_engines]
        return list(find_places(logs, now()).values())

    def at_two(self) -> list[Places]:
        """Return the drafts that two engines worked on for too long."""
        return [
            one
            for one in self.places()
            if one.overlap_seconds > MAX_OVERLAP_SECONDS or one.n_begun > 1
        ]


class TestLeavingEngines:
    @pytest.mark.parametrize("n_nodes", [1, 3])
    @pytest.mark.parametrize("name", TROUBLES)
    def test_a_draft_is_at_one_engine_while_its_engine_leaves(self, name, n_nodes):
        """Guards against drafts that two engines run while they are moved."""
        trouble = TROUBLES[name]

        async def test(fleet: Fleet) -> None:
            drafts = Drafts(fleet)
            await drafts.start()
            ended = await drafts.run()
            left = drafts.busiest
            for engine in drafts.rig.engines.values():
                is_left = engine is left
                engine.handover_faults = trouble.left if is_left else trouble.others
                if not is_left:
                    engine.report_seconds = trouble.report_seconds
            await drafts.rig.leave(left, 4.0)
            await ended
            are_moved = any(one.n_from_copies for one in drafts.places())
            assert are_moved == trouble.can_move
            assert drafts.at_two() == []

        run_fleet(1, test, n_nodes)


class TestBrokenAnswers:
    @pytest.mark.parametrize("n_events", [0, 20])
    def test_a_draft_is_not_continued_beside_an_engine_that_works_on(self, n_events):
        """Guards against a broken answer that is taken for a stopped run."""

        async def test(fleet: Fleet) -> None:
            drafts = Drafts(fleet)
            await drafts.start()
            for engine in drafts.rig.engines.values():
                engine.handover_faults = HandoverFaults(
                    breaks_after=n_events, linger_seconds=10.0
                )
            await (await drafts.run())
            assert drafts.at_two() == []

        run_fleet(1, test, 1)
