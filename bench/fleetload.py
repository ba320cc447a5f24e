"""Workload files of fleet simulations, and the requests drawn from them."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Literal

import msgspec


class Spread(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Log-normal size: its mean, the deviation of its logarithm, its upper bound."""

    mean: float
    spread: float
    max: float

    def draw(self, rng: random.Random) -> int:
        """Draw a size of at least 1."""
        log_mean = math.log(self.mean) - self.spread**2 / 2
        return max(1, round(min(self.max, rng.lognormvariate(log_mean, self.spread))))


class Burst(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A period, in seconds, in which the arrival rate is multiplied by a factor."""

    at: float
    seconds: float
    factor: float


class PromptPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A part of prompts beside their first one, and the share of prompts that hold it.

    ``id`` is hexadecimal.
    """

    id: str
    share: float = 1.0


class RequestKind(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One kind of request; times are in seconds."""

    name: str
    per_second: float
    prompt: Spread
    events: Spread
    target: float
    pause: float
    timeout: float
    worth: float
    shared: int = 0
    hint_spread: float = 0.0
    resumable: bool = False
    priority: int = 1
    # Share of the requests whose callers break the stream off and take it up again.
    break_share: float = 0.0
    burst: Burst | None = None
    # The parts of its prompts between the first one and the request's own.
    parts: tuple[PromptPart, ...] = ()
    # Whether callers repeat a request once that failed.
    is_repeated: bool = False
    # Times in which such requests arrive; always if empty.
    active: tuple[tuple[float, float], ...] = ()
    # The route that it uses, if another kind's.
    route: str = ""

    @property
    def route_name(self) -> str:
        """Return the name of its route."""
        return self.route or self.name

    def rate(self, at: float) -> float:
        """Return the arrival rate at a time, in requests per second."""
        if self.active and not any(first <= at < last for first, last in self.active):
            return 0.0
        burst = self.burst
        if burst is not None and burst.at <= at < burst.at + burst.seconds:
            return self.per_second * burst.factor
        return self.per_second


class EngineFleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The engines, their reclaiming and replacement; times are in seconds."""

    # In each domain, or by domain.
    n_per_zone: int | list[int]
    slowness: list[float]
    reclaim_every: float
    notice: list[float]
    replace_after: float
    n_memory_tokens: int = 34_000
    # Engines that are reclaimed together.
    n_reclaimed: int = 1
    # How long a new engine is cold.
    cold: float = 0.0
    # The software versions of the engines, in turn.
    versions: tuple[str, ...] = ("v1",)
    # Ids of prompt parts that crash them, after how many events of an answer.
    crash_parts: tuple[str, ...] = ()
    crash_events: int = 0
    # How answers end; see `standins.modelworker.AnswerEnds`.
    unframed_share: float = 0.0
    torn_share: float = 0.0
    # Memory of a token, and speed of an engine's link, in megabits a second.
    token_bytes: float = 18_432.0
    link_mbps: float = 2_700.0
    # Share of the time in which an engine is slow, the factor on its steps then, and
    # how long that lasts each time.
    slow_share: float = 0.0
    slow_factor: float = 1.0
    slow_seconds: float = 0.6


class FleetEvent(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An event in a simulation; times are in seconds from the start of traffic.

    ``kind`` is one of "evacuate" (the operator evacuates a domain), "cold_return" (a
    domain's engines are down, and others come back cold), "big_config" (the operator
    adds ``n_routes`` routes), "cut_nodes" (the first ``n_nodes`` nodes lose the path to
    all engines; ``how`` their connections end), "release" (the engines are replaced one
    by one by others of ``version``), "start_again" (they start again one by one at
    ``version``, under their ids, with their rows 0.1 s late), "restart_nodes" (the
    first ``n_nodes`` nodes are killed and started again, within ``seconds``) and
    "freeze_node" (the first node is frozen).
    """

    kind: Literal[
        "evacuate",
        "cold_return",
        "big_config",
        "cut_nodes",
        "release",
        "start_again",
        "restart_nodes",
        "freeze_node",
    ]
    at: float
    seconds: float = 0.0
    domain: str = ""
    n_routes: int = 0
    n_nodes: int = 0
    how: Literal["silent", "reset", "refused"] = "silent"
    version: str = ""


class FleetLoad(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A workload: the nodes, the engines and the kinds of requests."""

    seconds: float
    n_nodes: int
    zones: list[str]
    engines: EngineFleet
    requests: list[RequestKind]
    events: list[FleetEvent] = []

    def n_engines(self, zone: str) -> int:
        """Return the number of engines that a failure domain has at the start."""
        n_per_zone = self.engines.n_per_zone
        if isinstance(n_per_zone, int):
            return n_per_zone
        return n_per_zone[self.zones.index(zone)]


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """Holds one request of a workload.

    Parameters
    ----------
    number : int
        Position in the order of arrival, from 0.
    at : float
        Time of arrival, in seconds from the start of traffic.
    kind : RequestKind
        The kind of request.
    n_prompt, n_events, n_hinted : int
        Prompt tokens, events of the response, and output tokens in the length hint.
    parts : tuple of str
        Ids of the prompt's parts between the first one and the request's own.
    """

    number: int
    at: float
    kind: RequestKind
    n_prompt: int
    n_events: int
    n_hinted: int
    parts: tuple[str, ...] = ()


def read_load(path: Path) -> FleetLoad:
    """Read a workload file; unknown fields are errors."""
    return msgspec.toml.decode(path.read_bytes(), type=FleetLoad)


def draw_arrivals(load: FleetLoad, n_event_tokens: int, seed: int) -> list[Arrival]:
    """Draw the requests of a workload and return them in order of arrival."""
    drawn: list[dict[str, Any]] = []
    for kind in load.requests:
        rng = random.Random(f"{seed}:{kind.name}")
        part_rng = random.Random(f"{seed}:{kind.name}:parts")
        at = _next_arrival(kind, 0.0, rng)
        while at < load.seconds:
            n_events = kind.events.draw(rng)
            error = rng.lognormvariate(0.0, kind.hint_spread)
            drawn.append(
                {
                    "at": at,
                    "kind": kind,
                    "n_prompt": kind.shared + kind.prompt.draw(rng),
                    "n_events": n_events,
                    "n_hinted": max(1, round(n_events * n_event_tokens * error)),
                    "parts": tuple(
                        part.id for part in kind.parts if part_rng.random() < part.share
                    ),
                }
            )
            at = _next_arrival(kind, at, rng)
    drawn.sort(key=lambda fields: fields["at"])
    return [Arrival(number=number, **fields) for number, fields in enumerate(drawn)]


def _next_arrival(kind: RequestKind, at: float, rng: random.Random) -> float:
    """Draw when the next request of a kind arrives after a time."""
    if not kind.rate(at):
        later = [first for first, _ in kind.active if first > at]
        if not later:
            return math.inf
        at = min(later)
    return at + rng.expovariate(kind.rate(at))
