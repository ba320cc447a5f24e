"""Nodes learn of crashes and blocked prompts from one another and from the store."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgspec
import pytest

from celerytrail.model import Prompt
from celerytrail.nodes.signing import PeerKeys
from celerytrail.platform import storewire
from celerytrail.policies.crashsuspects import Crash, LostRun
from celerytrail.relay.crashes.broker import BlockOrder, CrashBroker
from celerytrail.relay.crashes.news import CrashNews
from celerytrail.relay.updatemessages import NodeUpdate
from celerytrail.status import PROMPT_BLOCKS_PATH, STATUS_PATH
from tests.limitrig import now
from tests.relayrig import HOST, KEY
from tests.sourcesrig import Fleet, run_fleet

BAD = Prompt(service="models", shared_parts=("first", "bad"), digest="1")
SOUND = Prompt(service="models", shared_parts=("first", "second"), digest="2")


def crash(number: int, *prompts: Prompt) -> Crash:
    runs = tuple(LostRun(prompt=one, sent_at=now() - 0.1) for one in prompts)
    return Crash(incarnation=(f"e{number}", 1), runs=runs, crashed_at=now())


def bad(own: str) -> Prompt:
    return Prompt(service="models", shared_parts=("first", "bad"), digest=own)


async def crash_three(fleet: Fleet) -> None:
    """Let three nodes see one crash each, of engines with a sound and a bad run."""
    for node in fleet.nodes:
        node.crashes.record_begun(SOUND)
    for number in range(3):
        await asyncio.sleep(0.5)
        node = fleet.nodes[number % len(fleet.nodes)]
        node.crashes.record_crash(crash(number, bad(f"own{number}")))


class CountingPuts:
    """Counts a broker's writes to the store."""

    def __init__(self, broker: CrashBroker) -> None:
        self.n_puts = 0
        self._put = broker._store._rows.put
        broker._store._rows.put = self.put

    async def put(self, *args):
        self.n_puts += 1
        return await self._put(*args)


def knowing(fleet: Fleet) -> list[bool]:
    return [node.crashes.blocked.find(BAD, now()) is not None for node in fleet.nodes]


class TestNews:
    def test_all_nodes_find_the_part_by_what_each_one_saw(self):
        async def steps(fleet: Fleet) -> None:
            await crash_three(fleet)
            await asyncio.sleep(0.1)
            assert all(knowing(fleet))
            assert not any(
                node.crashes.blocked.find(SOUND, now()) for node in fleet.nodes
            )

        run_fleet(1, steps, 8)

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_lost_datagrams_delay_it_by_two_seconds_at_most(self, seed):
        async def steps(fleet: Fleet) -> None:
            fleet.wires.datagram_loss_rate = 0.3
            await crash_three(fleet)
            await asyncio.sleep(2.0)
            assert all(knowing(fleet))

        run_fleet(seed, steps, 12)

    def test_a_node_that_was_out_of_touch_learns_of_it(self):
        async def steps(fleet: Fleet) -> None:
            fleet.cut_off(7)
            await crash_three(fleet)
            await asyncio.sleep(3.0)
            assert not knowing(fleet)[7]
            fleet.wires.heal()
            await asyncio.sleep(8.0)
            assert all(knowing(fleet))

        run_fleet(1, steps, 8)

    def test_a_node_that_starts_learns_of_it(self):
        async def steps(fleet: Fleet) -> None:
            await crash_three(fleet)
            await fleet.restart_node(5)
            await asyncio.sleep(3.0)
            assert all(knowing(fleet))

        run_fleet(1, steps, 8)

    def test_an_answer_clears_the_part_at_all_nodes(self):
        async def steps(fleet: Fleet) -> None:
            for number in range(2):
                await asyncio.sleep(0.2)
                fleet.nodes[0].crashes.record_crash(crash(number, bad(f"o{number}")))
            await asyncio.sleep(0.2)
            fleet.nodes[1].crashes.record_begun(bad("other"))
            await asyncio.sleep(0.2)
            fleet.nodes[2].crashes.record_crash(crash(2, bad("o2")))
            await asyncio.sleep(2.0)
            assert not any(knowing(fleet))

        run_fleet(1, steps, 8)

    def test_updates_of_earlier_versions_are_read(self):
        data = msgspec.msgpack.encode(["vm-1", False, [], ["run"]])
        update = msgspec.msgpack.decode(data, type=NodeUpdate)
        assert update.prompts is None
        data = msgspec.msgpack.encode(NodeUpdate(node="vm-1", prompts=CrashNews()))
        assert msgspec.msgpack.decode(data, type=NodeUpdate).prompts == CrashNews()


def request_crash(number: int, *digests: str) -> Crash:
    """Return a crash by which plain requests were lost."""
    return crash(number, *(Prompt(service="desk", digest=one) for one in digests))


def blocking(fleet: Fleet, digest: str) -> list[bool]:
    prompt = Prompt(service="desk", digest=digest)
    return [
        node.crashes.blocked.find(prompt, now()) is not None for node in fleet.nodes
    ]


class TestRequests:
    def test_all_nodes_find_a_request_by_what_two_of_them_saw(self):
        async def steps(fleet: Fleet) -> None:
            for number in range(2):
                await asyncio.sleep(0.5)
                lost = request_crash(number, "bad", f"sound{number}")
                fleet.nodes[number].crashes.record_crash(lost)
            await asyncio.sleep(0.1)
            assert all(blocking(fleet, "bad"))
            assert not any(blocking(fleet, "sound0") + blocking(fleet, "sound1"))

        run_fleet(1, steps, 8)

    def test_requests_that_fit_equally_wait_for_the_third_crash(self):
        # Nodes report the runs that they lost at slightly different times.
        async def steps(fleet: Fleet) -> None:
            for number in range(2):
                await asyncio.sleep(0.5)
                for node, digest in zip(fleet.nodes, ("sound", "bad"), strict=False):
                    node.crashes.record_crash(request_crash(number, digest))
                    await asyncio.sleep(0.005)
            await asyncio.sleep(0.5)
            assert not any(blocking(fleet, "bad") + blocking(fleet, "sound"))
            fleet.nodes[3].crashes.record_crash(request_crash(2, "bad"))
            await asyncio.sleep(0.1)
            assert all(blocking(fleet, "bad"))
            assert not any(blocking(fleet, "sound"))

        run_fleet(1, steps, 8)

    def test_a_whole_answer_clears_a_request_at_all_nodes(self):
        async def steps(fleet: Fleet) -> None:
            sound = Prompt(service="desk", digest="sound")
            for number in range(4):
                await asyncio.sleep(0.2)
                fleet.nodes[0].crashes.record_crash(request_crash(number, "sound"))
                await asyncio.sleep(0.2)
                fleet.nodes[1].crashes.record_whole(sound)
            await asyncio.sleep(0.2)
            assert not any(blocking(fleet, "sound"))
            assert not any(node.crashes.is_suspect(sound) for node in fleet.nodes)

        run_fleet(1, steps, 8)

    def test_an_answer_before_the_news_of_the_crash_clears_as_well(self):
        # It takes longer to learn what became of an endpoint than to try another one.
        async def steps(fleet: Fleet) -> None:
            sound = Prompt(service="desk", digest="sound")
            late = request_crash(1, "sound")
            await asyncio.sleep(0.2)
            fleet.nodes[1].crashes.record_whole(sound)
            await asyncio.sleep(0.2)
            fleet.nodes[0].crashes.record_crash(late)
            await asyncio.sleep(0.2)
            assert not any(node.crashes.is_suspect(sound) for node in fleet.nodes)

        run_fleet(1, steps, 8)

    def test_one_node_tells_of_an_answer_that_all_know(self):
        # Each node that had answered a much asked page told all others of it.
        async def steps(fleet: Fleet) -> None:
            page = Prompt(service="desk", digest="page")
            late = request_crash(1, "page")
            await asyncio.sleep(0.2)
            for node in fleet.nodes:
                node.crashes.record_whole(page)
            await asyncio.sleep(0.1)
            told: list[CrashNews] = []
            for node in fleet.nodes:
                announce = node.crashes._announce
                node.crashes._announce = lambda news, announce=announce: (
                    told.append(news) if news.answers else None,
                    announce(news),
                )
            fleet.nodes[0].crashes.record_crash(late)
            await asyncio.sleep(0.2)
            assert 1 <= len(told) <= 3
            assert not any(node.crashes.is_suspect(page) for node in fleet.nodes)

        run_fleet(1, steps, 12)

    def test_a_part_that_is_found_frees_the_requests_with_it(self):
        # They were held back before it was known to be a part that others share.
        async def steps(fleet: Fleet) -> None:
            for number, digest in enumerate(("1", "1", "2", "3")):
                await asyncio.sleep(0.5)
                fleet.nodes[number].crashes.record_crash(crash(number, bad(digest)))
            await asyncio.sleep(0.2)
            assert all(knowing(fleet))
            found = [node.crashes.blocked.in_force(now()) for node in fleet.nodes]
            assert all(len(blocks) == 1 for blocks in found), found

        run_fleet(1, steps, 8)

    def test_blocks_on_requests_outlive_all_nodes(self):
        async def steps(fleet: Fleet) -> None:
            for number in range(2):
                await asyncio.sleep(0.5)
                fleet.nodes[0].crashes.record_crash(request_crash(number, "bad"))
            await asyncio.sleep(3.0)
            await fleet.restart()
            await asyncio.sleep(3.0)
            assert all(blocking(fleet, "bad"))

        run_fleet(1, steps, 8)

    def test_rows_of_blocks_that_have_ended_are_dropped(self):
        # Each request that crashed endpoints would leave a row in the store for good.
        async def steps(fleet: Fleet) -> None:
            for number in range(2):
                await asyncio.sleep(0.5)
                fleet.nodes[0].crashes.record_crash(request_crash(number, "bad"))
            await asyncio.sleep(5.0)
            assert len(fleet.store.keys(storewire.PROMPT_BLOCKS_TABLE)) == 1
            for node in fleet.nodes:
                (block,) = node.crashes.blocked.in_force(now())
                newer = replace(block, revision=2, ends_at=now() + 2.0)
                node.crashes.blocked.put(newer)
            await asyncio.sleep(8.0)
            assert fleet.store.keys(storewire.PROMPT_BLOCKS_TABLE) == []

        run_fleet(1, steps, 4)


class TestStore:
    def test_blocks_outlive_all_nodes(self):
        async def steps(fleet: Fleet) -> None:
            await crash_three(fleet)
            await asyncio.sleep(3.0)
            await fleet.restart()
            await asyncio.sleep(3.0)
            assert all(knowing(fleet))

        run_fleet(1, steps, 8)

    def test_one_node_writes_each_block_once(self):
        async def steps(fleet: Fleet) -> None:
            writers = [CountingPuts(node.crashes) for node in fleet.nodes]
            await crash_three(fleet)
            await asyncio.sleep(6.0)
            assert len(fleet.store.keys(storewire.PROMPT_BLOCKS_TABLE)) == 1
            assert sum(writer.n_puts for writer in writers) == 1

        run_fleet(1, steps, 8)

    def test_rows_that_cannot_be_read_are_skipped(self):
        async def steps(fleet: Fleet) -> None:
            fleet.store.put(storewire.PROMPT_BLOCKS_TABLE, "torn", ["no", "block"])
            row = {"service": "models", "parts": ["bad"], "revision": 1}
            fleet.store.put(storewire.PROMPT_BLOCKS_TABLE, "good", row)
            await fleet.restart()
            await asyncio.sleep(3.0)
            assert all(knowing(fleet))

        run_fleet(1, steps, 4)


class TestOperators:
    def test_a_lifted_block_does_not_come_back(self):
        async def steps(fleet: Fleet) -> None:
            await crash_three(fleet)
            await asyncio.sleep(2.0)
            fleet.cut_off(3)
            fleet.nodes[0].crashes.set_blocked("models", ["bad"], is_blocked=False)
            await asyncio.sleep(2.0)
            fleet.wires.heal()
            await asyncio.sleep(8.0)
            assert not any(knowing(fleet))

        run_fleet(1, steps, 8)

    def test_an_answer_lifts_what_was_found_but_no_order(self):
        async def steps(fleet: Fleet) -> None:
            await crash_three(fleet)
            # It crosses the news of the block, which some nodes hear after it.
            fleet.nodes[1].crashes.record_begun(bad("other"))
            await asyncio.sleep(4.0)
            assert not any(knowing(fleet))
            fleet.nodes[0].crashes.set_blocked("models", ["bad"], is_blocked=True)
            await asyncio.sleep(0.5)
            fleet.nodes[1].crashes.record_begun(bad("other"))
            await asyncio.sleep(0.5)
            assert all(knowing(fleet))

        run_fleet(1, steps, 4)

    def test_a_block_that_an_operator_sets_holds_everywhere(self):
        async def steps(fleet: Fleet) -> None:
            fleet.nodes[0].crashes.set_blocked("models", ["bad"], is_blocked=True)
            await asyncio.sleep(0.5)
            assert all(knowing(fleet))

        run_fleet(1, steps, 8)

    def test_an_order_reaches_all_nodes_and_shows_in_the_status(self):
        async def steps(fleet: Fleet) -> None:
            node = fleet.nodes[2]
            address = node.cfg.peers
            assert address is not None
            keys = PeerKeys(keys=[f"nodes of {node.cfg.store}".encode()])
            order = BlockOrder(service="models", parts=["BAD"], is_blocked=True)
            body = msgspec.json.encode(order)
            unsigned = await fleet.client.request(
                address, "POST", PROMPT_BLOCKS_PATH, body=body
            )
            assert unsigned.unwrap().status == 403
            assert not any(knowing(fleet))
            signed = keys.headers("POST", PROMPT_BLOCKS_PATH, body)
            answered = await fleet.client.request(
                address, "POST", PROMPT_BLOCKS_PATH, body=body, headers=signed
            )
            assert answered.unwrap().status == 200
            await asyncio.sleep(0.5)
            assert all(knowing(fleet))
            shown = await fleet.client.request(
                address,
                "GET",
                STATUS_PATH,
                headers=keys.headers("GET", STATUS_PATH, b""),
            )
            status = msgspec.json.decode(shown.unwrap().body)
            assert status["blocked_prompts"][0]["parts"] == ["bad"]

        run_fleet(1, steps, 4)


class TestCallers:
    def test_a_blocked_prompt_is_refused_at_once_as_not_run(self):
        # Coming back before the end of the block helps nobody, so that is stated.
        async def steps(fleet: Fleet) -> None:
            fleet.nodes[0].crashes.set_blocked("models", ["bad"], is_blocked=True)
            address = fleet.nodes[0].cfg.callers
            assert address is not None
            headers = {
                "host": HOST,
                "authorization": f"Bearer {KEY}",
                "x-attempt-id": "a1",
                "x-token-count": "100,10",
                "x-prompt-prefix": "f1:10,BAD:20,c3:5",
            }
            sent_at = now()
            answered = await fleet.client.request(
                address, "POST", "/check/1", headers=headers
            )
            res = answered.unwrap()
            assert (res.status, res.headers["x-attempt-id"]) == (503, "a1")
            assert res.body == b'{"error":{"type":"prompt_blocked"}}'
            assert float(res.headers["retry-after"]) > 3_500
            assert now() - sent_at < 0.1

        run_fleet(1, steps, 2)
