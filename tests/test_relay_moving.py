"""Tests generations that continue at another engine than the one that began them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace

import pytest
import pytest_asyncio
from result import UnwrapError

from tests.relayrig import (
    Rig,
    config,
    expected_events,
    running_first,
    split_events,
    wait_until,
)


@pytest_asyncio.fixture
async def rig() -> AsyncIterator[Rig]:
    relay_rig = Rig()
    await relay_rig.start()
    yield relay_rig
    await relay_rig.close()


def without_backups() -> list[dict[str, object]]:
    """Return the services of the rig, with engines that keep no backups."""
    models, desk = config()["services"]
    engine = {**models["engine"], "backups": False}
    return [{**models, "engine": engine}, desk]


class TestMoves:
    async def test_a_run_is_moved_off_a_leaving_engine(self, rig):
        # The engine announces its shutdown while a draft is half done. If the draft
        # stayed there it would be lost, as it must not be run again from the start.
        first = await rig.add_engine("e1")
        node = await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: first.running)
        await first.tick(3)
        second = await rig.add_engine("e2")
        await wait_until(lambda: len(node.registry.usable_endpoints("models")) == 2)
        rig.store.put("servers", "e1", first.row("models", "draining"))
        await wait_until(lambda: second.running)
        await second.tick(6)
        res = await pending
        assert split_events(res.body) == expected_events(6)
        assert not first.running

    async def test_a_late_word_of_a_former_start_moves_no_run(self, rig):
        # The engine is back under its id; its former start had said that it leaves.
        engines = {name: await rig.add_engine(name) for name in ("e1", "e2")}
        node = await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: any(engine.running for engine in engines.values()))
        first = next(name for name, engine in engines.items() if engine.running)
        await engines[first].tick(2)
        reg = node.registry.find(first)
        node.registry.record_leaving(replace(reg, started_at=reg.started_at - 1))
        # Long enough for a move to begin.
        await asyncio.sleep(0.6)
        await engines[first].tick(4)
        assert split_events((await pending).body) == expected_events(6)
        assert [len(engine.seen) for engine in engines.values()].count(0) == 1

    async def test_a_run_that_is_being_moved_is_not_moved_again(self, rig):
        # The last copy of a run waits on a link while its engine leaves. A check during
        # that time sent the run to the same engine under another name as well; that
        # request was served before the right one, and the caller's events paused.
        engines = {name: await rig.add_engine(name) for name in ("e1", "e2")}
        node = await rig.add_node()
        rig.store.put("op", "config", config(2, services=without_backups()))
        await wait_until(lambda: node.configs.cfg.version == 2)
        copy = node.access.engine_api.copy

        async def copy_slowly(source, attempt_id, target, *, is_last, deadline):
            copied = await copy(
                source, attempt_id, target, is_last=is_last, deadline=deadline
            )
            if is_last:
                for _ in range(3):
                    await asyncio.sleep(0.01)
                    node.generations.report_progress()
                # A copy is used only once it has had time to become usable.
                await asyncio.sleep(0.5)
            return copied

        node.access.engine_api.copy = copy_slowly
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: any(engine.running for engine in engines.values()))
        first = next(name for name, engine in engines.items() if engine.running)
        await engines[first].tick(2)
        node.registry.record_leaving(node.registry.find(first))
        second = next(engine for name, engine in engines.items() if name != first)
        await wait_until(lambda: second.running)
        await second.tick(6)
        assert split_events((await pending).body) == expected_events(6)
        assert len(second.seen) == 1

    async def test_a_run_is_copied_when_its_backup_leaves_before_it_is_used(self, rig):
        """Guards against a stream that is cut because two engines leave together."""
        engines = {name: await rig.add_engine(name) for name in ("e1", "e2", "e3")}
        node = await rig.add_node()
        await wait_until(lambda: len(node.registry.usable_endpoints("models")) == 3)
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: any(engine.running for engine in engines.values()))
        first = next(name for name, engine in engines.items() if engine.running)
        await engines[first].tick()
        (live,) = node.generations._live
        backup = live.backup.endpoint
        (third,) = engines.keys() - {first, backup}
        for name in (first, backup):
            node.registry.record_leaving(node.registry.find(name))
            # Within the time that a backup gets to be built up.
            await asyncio.sleep(0.05)
        await wait_until(lambda: engines[third].running)
        await engines[third].tick(6)
        assert split_events((await pending).body) == expected_events(6)

    async def test_a_run_is_moved_again_when_its_target_leaves_too(self, rig):
        # Two engines leave one after the other. The second one announces it while a run
        # is being moved to it from the first. The run wasn't checked again, and its
        # stream broke when the second engine shut down.
        engines = {name: await rig.add_engine(name) for name in ("e1", "e2", "e3")}
        node = await rig.add_node()
        rig.store.put("op", "config", config(2, services=without_backups()))
        await wait_until(lambda: node.configs.cfg.version == 2)
        copy = node.access.engine_api.copy

        async def copy_and_leave(source, attempt_id, target, *, is_last, deadline):
            copied = await copy(
                source, attempt_id, target, is_last=is_last, deadline=deadline
            )
            if is_last and len(leaving) == 1:
                name = next(
                    n for n, engine in engines.items() if engine.address == target
                )
                leaving.append(name)
                node.registry.record_leaving(node.registry.find(name))
            return copied

        node.access.engine_api.copy = copy_and_leave
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: any(engine.running for engine in engines.values()))
        leaving = [next(name for name, engine in engines.items() if engine.running)]
        await engines[leaving[0]].tick(2)
        node.registry.record_leaving(node.registry.find(leaving[0]))
        await wait_until(lambda: len(leaving) == 2 and engines[leaving[1]].running)
        await engines[leaving[1]].tick(2)
        third = next(engine for name, engine in engines.items() if name not in leaving)
        await wait_until(lambda: third.running)
        await third.tick(6)
        assert split_events((await pending).body) == expected_events(6)

    async def test_a_run_continues_at_its_backup_when_its_engine_fails(self, rig):
        # The engine fails without notice. The draft resumes from its backup at another
        # engine, at the event that the caller has last.
        engine_1, engine_2 = await rig.add_engine("e1"), await rig.add_engine("e2")
        await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        first, second = await running_first(engine_1, engine_2)
        await first.tick(3)
        await wait_until(lambda: second.backups)
        await first.close()
        await wait_until(lambda: second.running)
        await second.tick(6)
        res = await pending
        assert split_events(res.body) == expected_events(6)

    async def test_a_run_goes_on_when_its_engine_fails_before_it_named_its_start(
        self, rig
    ):
        # The engine's report came too late, so the version of its memory wasn't known,
        # and the backup wasn't used. The service has one version only.
        engine_1, engine_2 = await rig.add_engine("e1"), await rig.add_engine("e2")
        engine_1.faults.delays_report = engine_2.faults.delays_report = True
        node = await rig.add_node()
        await wait_until(lambda: node.origins.only_version("models", 0.0))
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        first, second = await running_first(engine_1, engine_2)
        second.faults.delays_report = False
        await first.tick(3)
        await wait_until(lambda: second.backups)
        await first.close()
        await wait_until(lambda: second.running)
        await second.tick(6)
        assert split_events((await pending).body) == expected_events(6)

    async def test_memory_of_an_engine_that_named_no_start_is_not_used_in_a_release(
        self, rig
    ):
        engine_1, engine_2 = await rig.add_engine("e1"), await rig.add_engine("e2")
        engine_1.faults.delays_report = engine_2.faults.delays_report = True
        node = await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        first, second = await running_first(engine_1, engine_2)
        await first.tick(3)
        await wait_until(lambda: second.backups)
        newer = await rig.add_engine("e3")
        newer.software = "v2"
        rig.store.put("servers", "e3", newer.row("models"))
        await wait_until(lambda: len(node.registry.versions("models")) == 2)
        await first.close()
        with pytest.raises(UnwrapError):
            await pending
        assert not second.ran

    async def test_a_resumed_run_gets_no_new_backup(self, rig):
        # An engine leaves, and its runs resume at their backups. When each of them was
        # copied in full again at that moment, the links were busy for seconds, and runs
        # without a backup couldn't be moved before the engine shut down.
        engines = [await rig.add_engine(f"e{n}") for n in (1, 2, 3)]
        await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: any(engine.running for engine in engines))
        first = next(engine for engine in engines if engine.running)
        await first.tick(3)
        await wait_until(lambda: any(engine.backups for engine in engines))
        second = next(engine for engine in engines if engine.backups)
        await first.close()
        await wait_until(lambda: second.running)
        await second.tick(6)
        assert split_events((await pending).body) == expected_events(6)
        third = next(engine for engine in engines if engine not in (first, second))
        assert not third.backups

    async def test_a_run_on_a_silent_engine_continues_at_its_backup(self, rig):
        # The engine's connections stay open, but no more events arrive. Callers give up
        # after a few seconds without one.
        engine_1, engine_2 = await rig.add_engine("e1"), await rig.add_engine("e2")
        await rig.add_node()
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        first, second = await running_first(engine_1, engine_2)
        await first.tick(2)
        await wait_until(lambda: second.running)
        await second.tick(6)
        assert split_events((await pending).body) == expected_events(6)
