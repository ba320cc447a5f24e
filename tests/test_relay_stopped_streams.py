"""Streams without length and chunks, whose ends are the ends of their connections."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, field

import msgspec
import pytest

from standins.handoverfaults import HandoverFaults, StopLoss
from standins.modelworker import AnswerEnds, ModelWorker
from tests.relayrig import config
from tests.sourcesrig import Fleet, run_fleet
from tests.test_relay_one_place import Drafts
from tests.versionrig import STEP_SECONDS

LEAVE_SECONDS = 4.0


@dataclass(frozen=True, kw_only=True)
class Leave:
    """How engines are set up of which one leaves, and when it does."""

    left: HandoverFaults = field(default_factory=HandoverFaults)
    others: HandoverFaults = field(default_factory=HandoverFaults)
    has_backups: bool = False
    unframed_share: float = 1.0
    is_full: bool = False
    # How late the engine that leaves reads orders to stop runs, and when it leaves.
    read_seconds: float = 0.0
    leave_seconds: float = LEAVE_SECONDS


LEAVES = {
    "answered at once": Leave(),
    "answered after 0.5 s": Leave(left=HandoverFaults(stop_seconds=0.5)),
    "answered after 2 s": Leave(left=HandoverFaults(stop_seconds=2.0)),
    "closed after 0.3 s": Leave(left=HandoverFaults(stopped_seconds=0.3)),
    "closed behind the answer": Leave(
        left=HandoverFaults(stopped_seconds=0.5, stop_seconds=0.1)
    ),
    "reset": Leave(left=HandoverFaults(resets_stopped=True)),
    "answer reset": Leave(left=HandoverFaults(stop_loss=StopLoss.RESET)),
    "answer never sent": Leave(left=HandoverFaults(stop_loss=StopLoss.SILENT)),
    "order reset": Leave(left=HandoverFaults(stop_loss=StopLoss.UNREAD)),
    "order read after 0.5 s": Leave(read_seconds=0.5),
    "order read after it was given up": Leave(read_seconds=4.5, leave_seconds=8.0),
    "no room for the last copy": Leave(is_full=True),
    "events unsent": Leave(left=HandoverFaults(n_unsent_events=5)),
    "closed inside an event": Leave(
        left=HandoverFaults(n_unsent_events=5, tears_stopped=True)
    ),
    "closed inside an event, answer reset": Leave(
        left=HandoverFaults(
            n_unsent_events=5, tears_stopped=True, stop_loss=StopLoss.RESET
        )
    ),
    "framed": Leave(unframed_share=0.0),
    "framed, answered after 0.02 s": Leave(
        left=HandoverFaults(stop_seconds=0.02), unframed_share=0.0
    ),
    "framed, answered after 2 s": Leave(
        left=HandoverFaults(stop_seconds=2.0), unframed_share=0.0
    ),
    "reset, answered after 0.02 s": Leave(
        left=HandoverFaults(resets_stopped=True, stop_seconds=0.02)
    ),
    "backups": Leave(has_backups=True),
    "backups with late heads": Leave(
        has_backups=True, others=HandoverFaults(head_seconds=1.0)
    ),
    "backups with late heads, answer reset": Leave(
        has_backups=True,
        others=HandoverFaults(head_seconds=1.0),
        left=HandoverFaults(stop_loss=StopLoss.RESET),
    ),
    "backups with late heads, answer never sent": Leave(
        has_backups=True,
        others=HandoverFaults(head_seconds=0.4),
        left=HandoverFaults(stop_loss=StopLoss.SILENT),
    ),
}


def refuse_last_copies(engine: ModelWorker) -> None:
    """Let an engine find no room for the first last copy of each run."""
    copy = engine._copy
    refused: set[str] = set()

    async def refuse(stream, target, name):
        attempt_id = stream.job.attempt_id
        if stream.is_cut and attempt_id not in refused:
            refused.add(attempt_id)
            return False
        return await copy(stream, target, name)

    engine._copy = refuse


def read_late(engine: ModelWorker, seconds: float) -> None:
    """Let an engine read orders to stop runs late."""
    move = engine._move

    async def read(req, res):
        if msgspec.json.decode(req.body)["last"]:
            await asyncio.sleep(seconds)
        await move(req, res)

    engine._move = read


def without_backups() -> list[dict[str, object]]:
    models, desk = config()["services"]
    return [{**models, "engine": {**models["engine"], "backups": False}}, desk]


async def leave(fleet: Fleet, setup: Leave, *, are_paths_cut: bool = False) -> Drafts:
    """Let the busiest of three engines leave, and return what became of the drafts.

    ``are_paths_cut`` cuts the first node, to which all callers go then, off from them.
    """
    if not setup.has_backups:
        fleet.change(services=without_backups())
    drafts = Drafts(fleet)
    await drafts.start()
    if are_paths_cut:
        for name in drafts.rig.engines:
            fleet.wires.cut("vm-0", name)
            fleet.wires.cut(name, "vm-0")
        # The node finds out which paths are lost.
        await asyncio.sleep(6.0)
        drafts.nodes = [0]
    for engine in drafts.rig.engines.values():
        engine.answer_ends = AnswerEnds(unframed_share=setup.unframed_share)
    ended = await drafts.run()
    left = drafts.busiest
    for engine in drafts.rig.engines.values():
        engine.handover_faults = setup.left if engine is left else setup.others
    if setup.is_full:
        refuse_last_copies(left)
    read_late(left, setup.read_seconds)
    await drafts.rig.leave(left, setup.leave_seconds)
    await ended
    return drafts


def short_of(drafts: Drafts) -> list[str]:
    """Return the whole answers that lack events."""
    return [
        f"{one.first_attempt}: {len(one.events)} of {one.n_events}"
        for one in drafts.streams
        if one.is_complete and len(one.events) != one.n_events
    ]


class TestLeavingEngines:
    @pytest.mark.parametrize("n_nodes", [1, 3])
    @pytest.mark.parametrize("name", LEAVES)
    def test_a_stopped_stream_is_not_taken_for_a_whole_one(self, name, n_nodes):
        """Guards against a part of an answer that its caller gets as the whole."""

        async def test(fleet: Fleet) -> None:
            drafts = await leave(fleet, LEAVES[name])
            assert any(one.n_from_copies for one in drafts.places())
            assert short_of(drafts) == []
            assert drafts.at_two() == []
            assert [one for one in drafts.streams if not one.is_complete] == []

        run_fleet(1, test, n_nodes)

    @pytest.mark.parametrize("name", ["answered at once", "answer reset"])
    def test_so_it_is_over_a_node_in_the_middle(self, name):
        """Guards against a tunnel that passes a stop on as the end of an answer."""

        async def test(fleet: Fleet) -> None:
            drafts = await leave(fleet, LEAVES[name], are_paths_cut=True)
            machines = {
                work.machine
                for engine in drafts.rig.all_engines
                for work in engine.work_log.works
            }
            assert machines == {"vm-1"}
            assert any(one.n_from_copies for one in drafts.places())
            assert short_of(drafts) == []
            assert [one for one in drafts.streams if not one.is_complete] == []

        run_fleet(1, test, 2)

    @pytest.mark.parametrize("n_nodes", [2, 119])
    def test_so_it_is_at_any_size(self, n_nodes):
        """Guards against an order of one node that another one reads as an end."""

        async def test(fleet: Fleet) -> None:
            drafts = await leave(fleet, LEAVES["answered at once"])
            assert any(one.n_from_copies for one in drafts.places())
            assert short_of(drafts) == []
            assert drafts.at_two() == []
            assert [one for one in drafts.streams if not one.is_complete] == []

        run_fleet(1, test, n_nodes)


class TestOpenStreams:
    @pytest.mark.parametrize("n_nodes", [1, 3])
    @pytest.mark.parametrize("unframed_share", [0.0, 1.0])
    def test_a_stopped_run_goes_on_before_its_stream_is_closed(
        self, unframed_share, n_nodes
    ):
        """Guards against callers that wait until an engine closes a stopped stream."""

        def worst_pause(stopped_seconds: float) -> float:
            pauses: list[float] = []
            setup = Leave(
                left=HandoverFaults(stopped_seconds=stopped_seconds),
                unframed_share=unframed_share,
            )

            async def test(fleet: Fleet) -> None:
                drafts = await leave(fleet, setup)
                assert short_of(drafts) == []
                assert [one for one in drafts.streams if not one.is_complete] == []
                pauses.extend(
                    after.at - before.at
                    for one in drafts.streams
                    for before, after in itertools.pairwise(one.events)
                )

            run_fleet(1, test, n_nodes)
            return max(pauses)

        assert worst_pause(LEAVE_SECONDS) <= worst_pause(0.0) + STEP_SECONDS


class TestRunsThatEnd:
    @pytest.mark.parametrize("seed", range(1, 9))
    @pytest.mark.parametrize("has_backups", [False, True])
    def test_a_run_that_ends_beside_an_order_is_whole(self, has_backups, seed):
        """Guards against whole answers that are cut for an order that came too late."""

        async def test(fleet: Fleet) -> None:
            if not has_backups:
                fleet.change(services=without_backups())
            drafts = Drafts(fleet)
            await drafts.start()
            for engine in drafts.rig.engines.values():
                engine.answer_ends = AnswerEnds(unframed_share=1.0)
            callers = drafts.rig.callers(
                per_second=20.0, seed=seed, routes=("draft",), n_mean_events=20.0
            )
            drafts.streams = callers.streams
            ended = asyncio.ensure_future(callers.run(1.5))
            await asyncio.sleep(1.0 + 0.05 * seed)
            left = drafts.busiest
            if seed % 2:
                left.handover_faults = HandoverFaults(stop_seconds=0.3)
            await drafts.rig.leave(left, LEAVE_SECONDS)
            await ended
            assert short_of(drafts) == []
            assert [one for one in drafts.streams if not one.is_complete] == []

        run_fleet(seed, test, 1)

    def test_a_stream_that_nobody_stops_costs_no_request(self):
        """Guards against questions to engines at the end of each stream."""

        async def test(fleet: Fleet) -> None:
            drafts = Drafts(fleet)
            await drafts.start()
            n_moves = 0

            async def count(req, res):
                nonlocal n_moves
                n_moves += 1
                await res.send(404)

            for engine in drafts.rig.engines.values():
                engine.answer_ends = AnswerEnds(unframed_share=1.0)
                engine._move = count
            await (await drafts.run())
            assert all(one.is_complete for one in drafts.streams)
            assert n_moves == 0

        run_fleet(1, test, 1)
