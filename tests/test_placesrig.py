"""The checks of the random plays of drafts find what they are there for."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from standins.places import Work
from standins.reach import Reach
from tests.placesrig import PASS_SECONDS, broken_ends
from tests.versionrig import HeldEvent, HeldStream, Sender, Try, broken_contents

ENDED_AT = 3.0


def held(n_events: int, *, is_complete: bool, endpoint: str = "e1") -> HeldStream:
    """Return a stream of four events, as far as its caller got it."""
    one = Try(
        attempt_id="a1",
        node=0,
        sent_at=1.0,
        takes_up=False,
        is_in_touch=True,
        status=200,
        n_events=n_events,
    )
    sender = Sender(endpoint=endpoint, born=1, version="v1")
    events = [HeldEvent(number=n, sender=sender) for n in range(n_events)]
    return HeldStream(n_events=4, tries=[one], events=events, is_complete=is_complete)


def engine() -> SimpleNamespace:
    """Return what an engine records that sent the stream to its end."""
    work = Work(
        endpoint="e1", attempt_id="a1", copy=None, began_at=1.0, ended_at=ENDED_AT
    )
    return SimpleNamespace(ended=[work], ran=["a1"])


def lost(since: float, until: float, endpoint: str = "e1") -> Reach:
    reach = Reach()
    reach.add("vm-0", endpoint, (since, until))
    return reach


class TestBrokenContents:
    def test_a_part_that_came_as_the_whole_is_found(self):
        """Guards against a check that passes over short answers."""
        assert len(broken_contents([held(3, is_complete=True)], [engine()])) == 1
        assert broken_contents([held(4, is_complete=True)], [engine()]) == []


class TestBrokenEnds:
    def test_a_stream_that_came_cut_and_was_sent_whole_is_found(self):
        """Guards against a check that passes over whole answers that are cut."""
        cut = held(3, is_complete=False)
        assert len(broken_ends([cut], [engine()], [Reach()])) == 1

    @pytest.mark.parametrize(
        "stream",
        [held(4, is_complete=True), held(3, is_complete=False, endpoint="e2")],
        ids=["whole", "from another engine"],
    )
    def test_other_streams_are_not(self, stream):
        assert broken_ends([stream], [engine()], [Reach()]) == []

    @pytest.mark.parametrize(
        ("reach", "n_broken"),
        [
            (lost(ENDED_AT - 1, ENDED_AT + 1), 0),
            (lost(ENDED_AT, ENDED_AT), 0),
            (lost(ENDED_AT - 1, ENDED_AT + 1, endpoint="e2"), 1),
            (lost(ENDED_AT - 1, ENDED_AT - PASS_SECONDS), 1),
        ],
        ids=["out of touch", "reset", "another path", "before"],
    )
    def test_only_undisturbed_ends_count(self, reach, n_broken):
        cut = held(3, is_complete=False)
        assert len(broken_ends([cut], [engine()], [reach])) == n_broken
