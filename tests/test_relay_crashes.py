"""Requests whose engine crashes are answered by another one where that is allowed."""

from __future__ import annotations

import asyncio

from tests.versionrig import EngineFleet, run_engine_fleet


class TestRunsThatBeginAgain:
    def test_the_next_engine_is_down_as_well(self):
        # A run was given up once one engine refused the connection.
        async def steps(rig: EngineFleet) -> None:
            for _ in range(5):
                await rig.add_engine()
            await asyncio.sleep(1.0)
            callers = rig.callers(4.0, break_share=0.0, n_mean_events=60.0)
            sending = asyncio.ensure_future(callers.run(6.0))
            await asyncio.sleep(3.0)
            crashed = list(rig.engines.values())[:3]
            for engine in crashed:
                rig.fleet.wires.kill(engine.worker_id)
                await engine.close()
                del rig.engines[engine.worker_id]
            await sending
            assert all(stream.is_complete for stream in callers.streams)
            assert max(len(stream.tries) for stream in callers.streams) == 1

        run_engine_fleet(6, steps, retry_slack=100.0)
