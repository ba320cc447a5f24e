"""A request that crashes endpoints is kept from them, and sound ones are not."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from bench.crashrules import REQUIRED_PART
from standins.requestcrashes import AT_READING
from tests.crashrig import (
    SAFE,
    STREAM,
    STREAM_ONCE,
    UNSAFE,
    CrashFleet,
    Kind,
    Sent,
    run_crash_fleet,
)
from tests.fuzzseeds import fleet_sizes

SIZES = [12, *fleet_sizes()]
PARTS = ("f1", "5ec", "OWN")
KEYS = ("7a1", "7a2", "7a3")


@dataclass(kw_only=True)
class Play:
    """Requests that crash endpoints, beside sound traffic."""

    kind: Kind
    crashes: dict[str, Any] = field(default_factory=dict)
    n_times: int = 8
    pause: float = 0.6
    keys: tuple[str, ...] = KEYS
    calls_per_second: float = 10.0
    streams_per_second: float = 5.0
    calls: list[Sent] = field(default_factory=list)
    streams: list[Sent] = field(default_factory=list)

    async def run(self, rig: CrashFleet) -> None:
        """Play it, and check what endpoints received."""
        seconds = max(12.0, (self.n_times + 1) * self.pause)
        sound = [
            asyncio.ensure_future(rig.send_sound(SAFE, self.calls_per_second, seconds)),
            asyncio.ensure_future(
                rig.send_sound(STREAM, self.streams_per_second, seconds)
            ),
        ]
        await asyncio.sleep(1.0)
        await asyncio.gather(
            *(rig.repeat(self.kind, key, self.n_times, self.pause) for key in self.keys)
        )
        self.calls, self.streams = await asyncio.gather(*sound)
        self.check(rig)

    def check(self, rig: CrashFleet) -> None:
        """Check that no request reached an endpoint after its third end."""
        counts = {key: rig.count(self.kind, key) for key in self.keys}
        assert all(one.n_late == 0 for one in counts.values()), counts
        assert rig.broken_promises() == []
        for sent in (self.calls, self.streams):
            n_on_time = sum(one.is_on_time for one in sent)
            assert n_on_time >= REQUIRED_PART * len(sent), (n_on_time, len(sent))


def play(n_nodes: int, kind: Kind, crashes: dict[str, Any], **more: Any) -> None:
    """Play one case."""
    one = Play(kind=kind, crashes=crashes, **more)
    run_crash_fleet(n_nodes, one.run, crashes=crashes)


class TestRequestsThatCrashEndpoints:
    @pytest.mark.parametrize("n_nodes", SIZES)
    def test_a_safe_call_is_sent_to_endpoint_after_endpoint(self, n_nodes):
        # Only parts of prompts were remembered, which plain calls don't state.
        play(n_nodes, SAFE, {"seconds": 0.05})

    def test_a_safe_call_crashes_endpoints_amid_their_answers(self):
        # The head of an answer says nothing of its end.
        play(12, SAFE, {"seconds": 0.05, "n_body_bytes": 100})

    def test_a_safe_call_crashes_endpoints_when_they_read_it(self):
        # Such an endpoint ends without a byte, like one whose idle connection closed.
        play(12, SAFE, {"n_events": AT_READING})

    def test_a_safe_call_that_states_parts_is_sent_again(self):
        # What a call stated didn't matter, as plain endpoints' ends accused nobody.
        play(12, replace(SAFE, parts=PARTS), {"seconds": 0.05})

    def test_an_unsafe_call_is_sent_again_for_each_attempt_of_its_caller(self):
        # Each attempt has an id of its own.
        play(12, UNSAFE, {"seconds": 0.05})

    def test_a_stream_without_parts_is_sent_to_engine_after_engine(self):
        # A request without parts was sent without asking.
        play(12, STREAM, {})

    def test_a_stream_crashes_engines_when_they_read_it(self):
        # The run has neither begun nor been refused.
        play(12, STREAM, {"n_events": AT_READING})

    def test_a_stream_crashes_engines_late_in_its_run(self):
        # A run that had begun accused nobody.
        play(12, replace(STREAM, parts=PARTS), {"n_events": 6})

    def test_a_stream_that_must_run_once_crashes_engines_late_in_its_run(self):
        # Its backup takes it to another engine, and its caller's attempts to more.
        play(12, replace(STREAM_ONCE, parts=PARTS), {"n_events": 6})

    def test_a_caller_repeats_a_request_after_more_than_a_minute(self):
        # The block on a single request ended after a minute.
        play(
            12,
            replace(STREAM, parts=PARTS),
            {},
            n_times=6,
            pause=65.0,
            calls_per_second=1.0,
            streams_per_second=0.5,
        )


class TestSoundRequests:
    def test_calls_whose_endpoints_crash_by_themselves_are_served(self):
        # Callers of a few pages lose endpoints, and no page is to blame for it.
        sent: list[Sent] = []

        async def steps(rig: CrashFleet) -> None:
            crashing = asyncio.ensure_future(rig.crash_some("desk", 1.2, 20.0))
            sent.extend(await rig.send_sound(SAFE, 15.0, 20.0, n_keys=5))
            await crashing

        run_crash_fleet(12, steps, n_engines=0)
        assert len(sent) > 200
        assert all(one.is_on_time for one in sent)

    def test_streams_whose_engines_crash_by_themselves_are_served(self):
        # A stream may lose two engines that crash for other reasons.
        sent: list[Sent] = []

        async def steps(rig: CrashFleet) -> None:
            crashing = asyncio.ensure_future(rig.crash_some("models", 1.5, 20.0))
            sent.extend(await rig.send_sound(replace(STREAM, n_events=60), 4.0, 20.0))
            await crashing

        run_crash_fleet(12, steps, n_endpoints=0)
        assert len(sent) > 60
        n_refused = sum(one.status == 503 for one in sent)
        assert n_refused == 0
