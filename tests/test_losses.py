"""How requests ended, counted from logs."""

from __future__ import annotations

import pytest

from celerytrail.losses import Limits, as_text, count
from celerytrail.timeline import Event

LIMITS = Limits(first_seconds=1.8, pause_seconds=0.18)


def event(name: str, request: str = "r1", **fields: object) -> Event:
    return Event(
        at=1.0,
        process="n1",
        task="t",
        level=(1,),
        name=f"relay:{name}",
        fields={"request": request, "route": "draft", **fields},
    )


class TestOutcomes:
    @pytest.mark.parametrize(
        "events, expected",
        [
            ([event("placed", age=0.5), event("answered")], "on time"),
            (
                [event("placed", age=2.0, waited=1.5), event("answered")],
                "late: waited for an engine",
            ),
            (
                [event("placed", age=2.0, waited=0.1), event("answered")],
                "late: prompt read",
            ),
            (
                [
                    event("placed", age=0.5),
                    event("copied"),
                    event("placed", age=9.0),
                    event("answered", longest_pause=0.3),
                ],
                "pause: moved",
            ),
            (
                [event("placed", age=0.5), event("answered", longest_pause=0.3)],
                "pause: not moved",
            ),
            ([event("placed", age=0.5), event("cut", reason="cut")], "cut: cut"),
            ([event("refused", reason="no_room")], "refused: no_room"),
            ([event("placed", age=0.5), event("caller_gone")], "caller left"),
            ([event("placed", age=0.5)], "no end in the logs"),
        ],
    )
    def test_each_request_has_one_outcome(self, events, expected):
        (loss,) = count(events, LIMITS)
        assert (loss.route, loss.outcome, loss.n_requests) == ("draft", expected, 1)

    def test_requests_are_counted_by_route(self):
        events = [
            event("answered", "a"),
            event("answered", "b"),
            event("refused", "c", reason="no_room"),
            event("answered", "d", route="look"),
            Event(at=1.0, process="n", task="t", level=(1,), name="nodes:member"),
        ]
        lines = list(as_text(count(events, LIMITS)))
        assert [line.split() for line in lines] == [
            ["draft", "2", "on", "time"],
            ["draft", "1", "refused:", "no_room"],
            ["look", "1", "on", "time"],
        ]
