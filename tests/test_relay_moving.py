"""Generations that go on at another engine than the one that began them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest_asyncio

from tests.relayrig import Rig, config, events_of, until, whole_stream


@pytest_asyncio.fixture
async def rig() -> AsyncIterator[Rig]:
    made = Rig()
    await made.start()
    yield made
    await made.close()


def without_backups() -> list[dict[str, object]]:
    """Return the services of the rig, with engines that copy nothing as it grows."""
    models, desk = config()["services"]
    engine = {**models["engine"], "backups": False}
    return [{**models, "engine": engine}, desk]


class TestMoves:
    async def test_a_run_is_moved_off_an_engine_that_leaves(self, rig):
        # The engine says that it will be taken away while a draft is half done. Left
        # there, the draft is lost, as it must not run a second time from the start.
        first = await rig.add_engine("e1")
        node = await rig.add_node()
        asked = asyncio.ensure_future(rig.ask("/draft/1"))
        await until(lambda: first.running)
        await first.tick(3)
        second = await rig.add_engine("e2")
        await until(lambda: len(node.registry.usable("models")) == 2)
        rig.store.put("servers", "e1", first.row("models", "draining"))
        await until(lambda: second.running)
        await second.tick(6)
        res = await asked
        assert events_of(res.body) == whole_stream(6)
        assert not first.running

    async def test_a_run_that_is_on_its_way_is_not_carried_off_again(self, rig):
        # The last copy of a run waits on a link while its engine leaves. Looked at
        # meanwhile, the run was sent to the same engine by another name as well; that
        # request went ahead of the right one, and the caller's events paused.
        engines = {name: await rig.add_engine(name) for name in ("e1", "e2")}
        node = await rig.add_node()
        rig.store.put("op", "config", config(2, services=without_backups()))
        await until(lambda: node.configs.cfg.version == 2)
        copy = node._engine_api.copy

        async def copy_slowly(source, attempt_id, target, *, is_last, deadline):
            made = await copy(
                source, attempt_id, target, is_last=is_last, deadline=deadline
            )
            if is_last:
                for _ in range(3):
                    await asyncio.sleep(0.01)
                    node.generations.note_progress()
                # A copy is only gone on from when it has had time to stand.
                await asyncio.sleep(0.5)
            return made

        node._engine_api.copy = copy_slowly
        asked = asyncio.ensure_future(rig.ask("/draft/1"))
        await until(lambda: any(one.running for one in engines.values()))
        first = next(name for name, one in engines.items() if one.running)
        await engines[first].tick(2)
        node.registry.note_leaving(first)
        second = next(one for name, one in engines.items() if name != first)
        await until(lambda: second.running)
        await second.tick(6)
        assert events_of((await asked).body) == whole_stream(6)
        assert len(second.seen) == 1

    async def test_a_run_leaves_an_engine_that_began_to_leave_as_it_came(self, rig):
        # Two engines leave one after the other. The second one says so while a run is
        # on its way there from the first; nobody looked at the run again, and its
        # caller saw it break off as the second engine went.
        engines = {name: await rig.add_engine(name) for name in ("e1", "e2", "e3")}
        node = await rig.add_node()
        rig.store.put("op", "config", config(2, services=without_backups()))
        await until(lambda: node.configs.cfg.version == 2)
        copy = node._engine_api.copy

        async def copy_and_leave(source, attempt_id, target, *, is_last, deadline):
            made = await copy(
                source, attempt_id, target, is_last=is_last, deadline=deadline
            )
            if is_last and len(left) == 1:
                name = next(n for n, one in engines.items() if one.address == target)
                left.append(name)
                node.registry.note_leaving(name)
            return made

        node._engine_api.copy = copy_and_leave
        asked = asyncio.ensure_future(rig.ask("/draft/1"))
        await until(lambda: any(one.running for one in engines.values()))
        left = [next(name for name, one in engines.items() if one.running)]
        await engines[left[0]].tick(2)
        node.registry.note_leaving(left[0])
        await until(lambda: len(left) == 2 and engines[left[1]].running)
        await engines[left[1]].tick(2)
        third = next(one for name, one in engines.items() if name not in left)
        await until(lambda: third.running)
        await third.tick(6)
        assert events_of((await asked).body) == whole_stream(6)

    async def test_a_run_goes_on_at_its_copy_when_its_engine_dies(self, rig):
        # The engine dies without notice. The copy that grew at another engine carries
        # the draft on where the caller has it.
        one, two = await rig.add_engine("e1"), await rig.add_engine("e2")
        await rig.add_node()
        asked = asyncio.ensure_future(rig.ask("/draft/1"))
        await until(lambda: one.running or two.running)
        first, second = (one, two) if one.running else (two, one)
        await first.tick(3)
        await until(lambda: second.backups)
        await first.close()
        await until(lambda: second.running)
        await second.tick(6)
        res = await asked
        assert events_of(res.body) == whole_stream(6)

    async def test_a_run_that_goes_on_elsewhere_is_not_copied_once_more(self, rig):
        # An engine leaves, and its runs go on where copies of them grew. Each of them
        # copied whole again at that moment, the links were busy for seconds, and runs
        # without a copy could not be moved before the engine was gone.
        engines = [await rig.add_engine(f"e{n}") for n in (1, 2, 3)]
        await rig.add_node()
        asked = asyncio.ensure_future(rig.ask("/draft/1"))
        await until(lambda: any(engine.running for engine in engines))
        first = next(engine for engine in engines if engine.running)
        await first.tick(3)
        await until(lambda: any(engine.backups for engine in engines))
        second = next(engine for engine in engines if engine.backups)
        await first.close()
        await until(lambda: second.running)
        await second.tick(6)
        assert events_of((await asked).body) == whole_stream(6)
        third = next(engine for engine in engines if engine not in (first, second))
        assert not third.backups

    async def test_an_engine_that_stays_silent_is_left_for_the_copy(self, rig):
        # The engine's connections stay open and nothing comes any more. The caller
        # gives up after a few seconds of that.
        one, two = await rig.add_engine("e1"), await rig.add_engine("e2")
        await rig.add_node()
        asked = asyncio.ensure_future(rig.ask("/draft/1"))
        await until(lambda: one.running or two.running)
        first, second = (one, two) if one.running else (two, one)
        await first.tick(2)
        await until(lambda: second.running)
        await second.tick(6)
        assert events_of((await asked).body) == whole_stream(6)
