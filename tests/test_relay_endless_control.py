"""Endless bytes as answers to requests of a node's own: reports and copies."""

from __future__ import annotations

import asyncio
import json

import pytest

from celerytrail.http.messages import READ_AHEAD_BYTES
from standins.endless import EndlessBytes, EndlessControl, answer_head
from standins.modelworker import ModelWorker
from tests.latepeer import ScriptedPeer
from tests.limitrig import now
from tests.relayrig import Rig
from tests.sourcesrig import Fleet, run_fleet
from tests.test_relay_endless import BODIES, CHUNKED, HEADS
from tests.test_relay_one_place import Drafts
from tests.test_stream_versions import registration

N_ENGINES = 3
N_DRAFTS = 24
SECONDS = 12.0
# A report lists the runs of an engine with the ids that callers chose, and an id may be
# as long as a head: 32 runs of 16 KiB each. The answer to a copy names the copy.
REPORT_BYTES = 512 * 1024
COPY_BYTES = 16 * 1024
# What is on its way to a node once it has enough: both ends' buffers.
N_BUFFER_BYTES = 2 * READ_AHEAD_BYTES + 64 * 1024
# The poll of an engine and one question more; at first some until its trouble is known.
ASKS_PER_SECOND = 2
N_FIRST_ASKS = 8
# How long an engine whose reports are sound again may be unknown, in seconds.
NOTICE_SECONDS = 4.0


def length_head(n_bytes: int) -> bytes:
    """Return the head of an answer with a body of a length."""
    return answer_head(200, f"content-length: {n_bytes}")


ANSWERS = {
    **{f"head: {name}": sends for name, sends in HEADS.items()},
    **{f"body: {name}": sends for name, sends in BODIES.items()},
    # Bytes that belong to no body, between the single bytes of one.
    "body: chunk extensions": EndlessBytes(
        first=answer_head(200, CHUNKED), again=(b"1;" + b"e" * 8_000 + b"\r\nx\r\n") * 4
    ),
}

BAD_REPORTS = {
    "no JSON": EndlessBytes(first=length_head(4) + b"oops", again=b"", pause=SECONDS),
    "no report": EndlessBytes(first=length_head(2) + b"[]", again=b"", pause=SECONDS),
    "cut short": EndlessBytes(
        first=length_head(9) + b"{", again=b"", pause=0.3, n_times=1
    ),
    "no answer": EndlessBytes(first=b"oops\r\n\r\n", again=b"", pause=SECONDS),
}


def reports_since(engine: ModelWorker, since: float) -> list[float]:
    """Return when an engine was asked for reports."""
    return [
        one.at
        for one in engine.arrivals
        if one.path == "/api/report" and one.at >= since
    ]


def add_trouble(drafts: Drafts, sends: EndlessBytes, path: str) -> list[EndlessControl]:
    """Let all engines answer some control requests without end."""
    found = []
    for engine in drafts.rig.engines.values():
        trouble = EndlessControl(sends=sends, path=path)
        trouble.attach(engine)
        found.append(trouble)
    return found


class TestEndlessReports:
    @pytest.mark.parametrize("name", ANSWERS)
    def test_reports_without_end_cost_few_bytes(self, name):
        """Guards against gigabytes that a node reads of reports nobody can use."""

        async def test(fleet: Fleet) -> None:
            drafts = Drafts(fleet)
            await drafts.start(N_ENGINES)
            troubles = add_trouble(drafts, ANSWERS[name], "/api/report")
            ended = await drafts.run(N_DRAFTS)
            await asyncio.sleep(SECONDS - 1.2)
            n_bytes = sum(one.n_sent_bytes for one in troubles)
            n_asks = N_ENGINES * (N_FIRST_ASKS + ASKS_PER_SECOND * SECONDS)
            bound = n_asks * (REPORT_BYTES + N_BUFFER_BYTES)
            assert n_bytes <= bound, (n_bytes, [one.n_asked for one in troubles])
            await ended
            assert all(stream.is_complete for stream in drafts.streams)

        run_fleet(1, test, 1)

    @pytest.mark.parametrize("name", BAD_REPORTS)
    def test_reports_that_cannot_be_read_are_not_asked_for_at_once(self, name):
        """Guards against requests for reports as often as nobody can read them."""

        async def test(fleet: Fleet) -> None:
            drafts = Drafts(fleet)
            await drafts.start(N_ENGINES)
            troubles = add_trouble(drafts, BAD_REPORTS[name], "/api/report")
            ended = await drafts.run(N_DRAFTS)
            await asyncio.sleep(SECONDS - 1.2)
            n_most = N_FIRST_ASKS + ASKS_PER_SECOND * SECONDS
            assert all(one.n_asked <= n_most for one in troubles), [
                one.n_asked for one in troubles
            ]
            await ended
            assert all(stream.is_complete for stream in drafts.streams)

        run_fleet(1, test, 1)

    def test_a_sound_engine_is_asked_as_ever_beside_faulty_ones(self):
        """Guards against a pause that holds for the engines of others."""

        async def test(fleet: Fleet) -> None:
            drafts = Drafts(fleet)
            await drafts.start(N_ENGINES)
            sound, *faulty = drafts.rig.engines.values()
            for engine in faulty:
                EndlessControl(sends=BODIES["chunks"], path="/api/report").attach(
                    engine
                )
            await asyncio.sleep(SECONDS)
            polled = reports_since(sound, now() - SECONDS + 1.0)
            assert len(polled) >= SECONDS - 2.0

        run_fleet(1, test, 1)

    def test_reports_that_are_sound_again_are_read_within_seconds(self):
        """Guards against an engine that stays unknown after its trouble."""

        async def test(fleet: Fleet) -> None:
            drafts = Drafts(fleet)
            await drafts.start(N_ENGINES)
            troubles = add_trouble(drafts, BODIES["chunks"], "/api/report")
            await asyncio.sleep(SECONDS)
            for trouble in troubles:
                trouble.is_on = False
            await asyncio.sleep(NOTICE_SECONDS)
            api = fleet.nodes[0].access.engine_api
            for reg in fleet.nodes[0].registry.usable_endpoints("models"):
                report = await api.report(reg, now() + 0.5)
                assert report.ok_value.started_at == reg.started_at
            await asyncio.sleep(SECONDS)
            for engine in drafts.rig.engines.values():
                assert len(reports_since(engine, now() - SECONDS)) >= SECONDS - 1.0

        run_fleet(1, test, 1)

    @pytest.mark.parametrize("n_nodes", [2])
    def test_a_node_in_the_middle_passes_on_few_bytes(self, n_nodes):
        """Guards against reports without end that cross the link of another node."""

        async def test(fleet: Fleet) -> None:
            drafts = Drafts(fleet)
            await drafts.start(N_ENGINES)
            for name in drafts.rig.engines:
                fleet.wires.refuse("vm-0", name)
                fleet.wires.reset("vm-0", name)
            await asyncio.sleep(3.0)
            troubles = add_trouble(drafts, BODIES["chunks"], "/api/report")
            before = fleet.wires.sent_bytes["vm-1"]
            ended = await drafts.run(N_DRAFTS)
            await asyncio.sleep(SECONDS - 1.2)
            n_asks = n_nodes * N_ENGINES * (N_FIRST_ASKS + ASKS_PER_SECOND * SECONDS)
            # The node in the middle reads ahead by as much again.
            bound = n_asks * (REPORT_BYTES + 2 * N_BUFFER_BYTES)
            assert sum(one.n_sent_bytes for one in troubles) <= bound
            assert fleet.wires.sent_bytes["vm-1"] - before <= bound
            await ended

        run_fleet(1, test, n_nodes)

    async def test_a_report_of_a_full_engine_with_long_ids_is_read(self):
        """Guards against a bound that real reports exceed."""
        runs = [["i" * 15_000 + str(number), 2_000, 20, 5] for number in range(32)]
        fields = {"queued": 1, "in-flight": 32, "kv-used": 1, "kv-total": 2}
        body = json.dumps({**fields, "runs": runs}).encode()
        assert 0.9 * REPORT_BYTES < len(body) <= REPORT_BYTES
        peer = ScriptedPeer([(b"", length_head(len(body)) + body)])
        rig = Rig()
        await rig.start()
        node = await rig.add_node()
        reg = registration("v1", address=await peer.start())
        report = await node.access.engine_api.report(reg, now() + 5.0)
        await rig.close()
        await peer.close()
        assert report.ok_value.n_running == 32


class TestEndlessCopies:
    @pytest.mark.parametrize("name", BODIES)
    def test_answers_on_copies_without_end_cost_few_bytes(self, name):
        """Guards against megabytes that a node reads as the name of a copy."""

        async def test(fleet: Fleet) -> None:
            drafts = Drafts(fleet)
            await drafts.start(N_ENGINES)
            ended = await drafts.run(N_DRAFTS)
            troubles = [
                *add_trouble(drafts, BODIES[name], "/api/kv-move"),
                *add_trouble(drafts, BODIES[name], "/api/kv-handle/"),
            ]
            await drafts.rig.leave(drafts.busiest, 4.0)
            await ended
            n_asked = sum(one.n_asked for one in troubles)
            n_bytes = sum(one.n_sent_bytes for one in troubles)
            assert n_asked
            assert n_bytes <= n_asked * (COPY_BYTES + N_BUFFER_BYTES), (
                n_bytes,
                n_asked,
            )

        run_fleet(1, test, 1)
