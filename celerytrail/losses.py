"""Counts how requests ended, by route and cause, from the logs of all nodes."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .timeline import Event

ON_TIME = "on time"
PREFIX = "relay:"
# Events of a run that goes on at another engine.
MOVE_EVENTS = frozenset({"copied", "switched", "resumed", "run_again"})


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Longest time to the first event, and longest pause, that are on time."""

    first_seconds: float
    pause_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Loss:
    """Requests of one route that ended in the same way."""

    route: str
    outcome: str
    n_requests: int


def count(events: Iterable[Event], limits: Limits) -> list[Loss]:
    """Count the requests of all routes by outcome, the most frequent ones first."""
    by_request: defaultdict[str, list[Event]] = defaultdict(list)
    for event in events:
        request = event.fields.get("request")
        if event.name.startswith(PREFIX) and isinstance(request, str):
            by_request[request].append(event)
    counts: Counter[tuple[str, str]] = Counter()
    for request_events in by_request.values():
        route = next(
            (str(e.fields["route"]) for e in request_events if "route" in e.fields),
            "no route",
        )
        counts[route, outcome(request_events, limits)] += 1
    return [
        Loss(route=route, outcome=name, n_requests=n)
        for (route, name), n in sorted(
            counts.items(), key=lambda item: (item[0][0], -item[1], item[0][1])
        )
    ]


def outcome(events: Sequence[Event], limits: Limits) -> str:
    """Return how a request ended, and for late ones which limit was missed and why."""
    names = {event.name.removeprefix(PREFIX): event for event in events}
    for name in ("cut", "failed", "refused"):
        if name in names:
            return f"{name}: {names[name].fields.get('reason', '?')}"
    if "answered" not in names:
        return "caller left" if "caller_gone" in names else "no end in the logs"
    placed = next((e for e in events if e.name == f"{PREFIX}placed"), None)
    if placed is not None:
        first_seconds = _number(placed, "age")
        if first_seconds > limits.first_seconds:
            is_waiting = _number(placed, "waited") > first_seconds / 2
            return f"late: {'waited for an engine' if is_waiting else 'prompt read'}"
    if _number(names["answered"], "longest_pause") > limits.pause_seconds:
        return f"pause: {'moved' if MOVE_EVENTS & names.keys() else 'not moved'}"
    return ON_TIME


def as_text(losses: Iterable[Loss]) -> Iterable[str]:
    """Yield one line for each route and outcome."""
    for loss in losses:
        yield f"{loss.route:<20} {loss.n_requests:>7}  {loss.outcome}"


def _number(event: Event, name: str) -> float:
    value = event.fields.get(name, 0.0)
    return float(value) if isinstance(value, int | float) else 0.0
