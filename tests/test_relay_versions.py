"""A stream goes on only at the software version that began it."""

from __future__ import annotations

import asyncio

import pytest

from tests.fuzzseeds import fleet_sizes
from tests.versionrig import (
    MIN_TAKEN_UP,
    EngineFleet,
    StreamCallers,
    check,
    run_engine_fleet,
)

SIZES = [12, *fleet_sizes()]
BOTH_ROUTES = ("draft", "check")


async def add_engines(rig: EngineFleet, *versions: str) -> None:
    for version in versions:
        await rig.add_engine(version)
    await asyncio.sleep(1.0)


async def run_while(callers: StreamCallers, seconds: float, *steps) -> None:
    """Run callers, and other work beside them."""
    sending = asyncio.ensure_future(callers.run(seconds))
    await asyncio.sleep(2.0)
    for step in steps:
        await step
    await sending


class TestOneAnswer:
    def test_backups_take_over_from_engines_that_crash(self):
        # A backup at another version held the run's memory, and went on with it.
        async def steps(rig: EngineFleet) -> None:
            await add_engines(rig, *["v1", "v2"] * 3)
            callers = rig.callers(10.0, routes=BOTH_ROUTES, break_share=0.0)

            async def crash_engines() -> None:
                for _ in range(6):
                    await asyncio.sleep(2.0)
                    engine = rig.rng.choice(list(rig.engines.values()))
                    await rig.crash(engine)
                    await rig.add_engine(engine.software, zone=engine.failure_domain)

            await run_while(callers, 18.0, crash_engines())
            check(rig, callers)

        run_engine_fleet(12, steps)

    def test_runs_move_off_engines_that_leave_together(self):
        # Targets of moves, and the last resort, were chosen by their room alone.
        async def steps(rig: EngineFleet) -> None:
            await add_engines(rig, *["v1", "v2"] * 4)
            callers = rig.callers(
                16.0, routes=BOTH_ROUTES, break_share=0.0, n_mean_events=80.0
            )

            async def leave_in_pairs() -> None:
                for _ in range(3):
                    leaving = rig.rng.sample(list(rig.engines.values()), 3)
                    await asyncio.gather(*(rig.leave(one) for one in leaving))
                    for one in leaving:
                        await rig.add_engine(one.software, zone=one.failure_domain)

            await run_while(callers, 12.0, leave_in_pairs())
            check(rig, callers)

        run_engine_fleet(12, steps)

    def test_resumable_runs_begin_again_after_crashes(self):
        # After its first event a run began again at any engine that had room.
        async def steps(rig: EngineFleet) -> None:
            await add_engines(rig, *["v1", "v2"] * 3)
            callers = rig.callers(12.0, break_share=0.0, n_mean_events=60.0)

            async def crash_engines() -> None:
                for _ in range(6):
                    await asyncio.sleep(2.0)
                    engine = rig.rng.choice(list(rig.engines.values()))
                    await rig.crash(engine)
                    await rig.add_engine(engine.software, zone=engine.failure_domain)

            await run_while(callers, 18.0, crash_engines())
            check(rig, callers)

        run_engine_fleet(12, steps)


class TestSlowReports:
    def test_runs_go_on_elsewhere_once_their_start_is_known(self):
        # A run whose engine didn't name its start in time was never moved, and lost.
        async def steps(rig: EngineFleet) -> None:
            await add_engines(rig, *["v1"] * 4)
            for engine in rig.engines.values():
                engine.report_seconds = 0.45
            callers = rig.callers(
                6.0, routes=("draft",), break_share=0.0, n_mean_events=120.0
            )
            leaving = list(rig.engines.values())[0]
            await run_while(callers, 6.0, asyncio.sleep(2.0), rig.leave(leaving))
            check(rig, callers)
            assert all(stream.is_complete for stream in callers.streams)

        run_engine_fleet(12, steps)


class TestTakenUpStreams:
    @pytest.mark.parametrize("n_nodes", SIZES)
    def test_half_of_the_engines_have_another_version(self, n_nodes: int):
        # A request that names a stream was placed like a new one.
        async def steps(rig: EngineFleet) -> None:
            await add_engines(rig, *["v1", "v2"] * 3)
            callers = rig.callers()
            await callers.run(20.0)
            found = check(rig, callers)
            assert found.n_taken_up >= MIN_TAKEN_UP

        run_engine_fleet(n_nodes, steps)

    @pytest.mark.parametrize("n_nodes", SIZES)
    def test_engines_are_replaced_one_by_one(self, n_nodes: int):
        # Streams went on at engines of the version that came in.
        async def steps(rig: EngineFleet) -> None:
            await add_engines(rig, *["v1"] * 6)
            callers = rig.callers(8.0)
            await run_while(callers, 20.0, rig.roll("v2"))
            found = check(rig, callers)
            assert found.n_taken_up >= MIN_TAKEN_UP

        run_engine_fleet(n_nodes, steps)

    def test_one_engine_of_six_has_the_newer_version(self):
        # Streams of the five went on at the one, and the other way round.
        async def steps(rig: EngineFleet) -> None:
            await add_engines(rig, "v2", *["v1"] * 5)
            callers = rig.callers(8.0)
            await callers.run(20.0)
            found = check(rig, callers)
            assert found.n_taken_up >= MIN_TAKEN_UP

        run_engine_fleet(12, steps)

    def test_engines_start_again_at_another_version_under_their_ids(self):
        # Until its row is written, a new start was taken for the former one.
        async def steps(rig: EngineFleet) -> None:
            await add_engines(rig, *["v1"] * 6)
            callers = rig.callers(8.0, routes=BOTH_ROUTES)

            async def start_again() -> None:
                for engine in list(rig.engines.values()):
                    await rig.start_again(engine, "v2", row_seconds=0.8)
                    await asyncio.sleep(1.5)

            await run_while(callers, 20.0, start_again())
            check(rig, callers)

        run_engine_fleet(12, steps)

    def test_five_nodes_are_out_of_touch(self):
        # A node that hears nobody guessed where streams of other nodes may go on.
        async def steps(rig: EngineFleet) -> None:
            await add_engines(rig, *["v1", "v2"] * 3)
            callers = rig.callers(10.0)

            async def put_out() -> None:
                rig.put_out_of_touch(range(5))

            await run_while(callers, 20.0, put_out())
            found = check(rig, callers)
            assert found.n_taken_up >= MIN_TAKEN_UP

        run_engine_fleet(12, steps)

    @pytest.mark.parametrize("n_nodes", SIZES)
    def test_nodes_die_and_their_callers_go_to_others(self, n_nodes: int):
        # Only the node that relayed a stream knew what began it.
        async def steps(rig: EngineFleet) -> None:
            await add_engines(rig, *["v1", "v2"] * 3)
            callers = rig.callers(8.0, break_share=0.1, n_mean_events=80.0)

            async def kill_nodes() -> None:
                for number in range(5 * n_nodes // 12):
                    await rig.kill_node(number)
                    if number % max(1, n_nodes // 12) == 0:
                        await asyncio.sleep(2.0)

            await run_while(callers, 16.0, kill_nodes())
            found = check(rig, callers)
            assert found.n_taken_up >= MIN_TAKEN_UP

        run_engine_fleet(n_nodes, steps)

    def test_nodes_restart_one_after_the_other(self):
        # A node that has just started knows no stream that began before.
        async def steps(rig: EngineFleet) -> None:
            await add_engines(rig, *["v1", "v2"] * 3)
            callers = rig.callers(10.0, n_mean_events=80.0)

            async def restart_nodes() -> None:
                for number in range(12):
                    await rig.restart_node(number)
                    await asyncio.sleep(1.2)

            await run_while(callers, 18.0, restart_nodes())
            found = check(rig, callers)
            assert found.n_taken_up >= MIN_TAKEN_UP

        run_engine_fleet(12, steps)

    def test_all_nodes_restart_while_one_version_serves(self):
        # Nobody knows the streams any more, but there is one version to go on at.
        async def steps(rig: EngineFleet) -> None:
            await add_engines(rig, *["v1"] * 4)
            callers = rig.callers(10.0, n_mean_events=80.0)

            async def restart_all() -> None:
                for number in range(12):
                    await rig.restart_node(number)

            await run_while(callers, 16.0, restart_all())
            check(rig, callers)

        run_engine_fleet(12, steps)

    def test_a_crowd_fills_the_engines(self):
        # Streams that may go on at few engines were refused, as new ones took them.
        async def steps(rig: EngineFleet) -> None:
            await add_engines(rig, "v1", "v1", "v2", "v2")
            callers = rig.callers(
                24.0, n_mean_events=60.0, n_prompt=2_500, break_share=0.7
            )
            await callers.run(10.0)
            found = check(rig, callers)
            assert found.n_taken_up >= MIN_TAKEN_UP

        run_engine_fleet(12, steps)
