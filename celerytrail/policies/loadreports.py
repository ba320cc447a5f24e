"""Load reports of engines and service endpoints, as decoded from JSON."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineReport:
    """A model engine's load report, which describes a moment in the past.

    Parameters
    ----------
    engine, incarnation : str
        The engine's name, and an id that changes at each start of its process.
    sequence : int
        Rises with each report of one incarnation.
    at : float
        Wall time that it describes, in seconds since the epoch.
    n_memory_tokens, n_used_tokens : int
        The memory's capacity and its current use, in tokens.
    n_running, n_waiting : int
        Generations in the batch and in the engine's own queue.
    n_preemptions : int
        Number of preempted generations so far, in this incarnation.
    stall_seconds : float
        Total time for which generations stalled so far, in this incarnation.
    tokens_per_second : float
        Recent rate of generated tokens, over the whole batch.
    leaving_at : float or None
        Wall time at which the engine will stop; None if it knows of no stop.
    running : tuple of (str, int)
        Generation ids and the tokens each has produced so far.
    """

    engine: str
    incarnation: str
    sequence: int
    at: float
    n_memory_tokens: int
    n_used_tokens: int
    n_running: int = 0
    n_waiting: int = 0
    n_preemptions: int = 0
    stall_seconds: float = 0.0
    tokens_per_second: float = 0.0
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: Literal["serve", "drain"] = "serve"
    leaving_at: float | None = None
    fencing: int = 0
    running: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointReport:
    """A plain service endpoint's load report."""

    endpoint: str
    incarnation: str
    n_running: int = 0
    n_waiting: int = 0
    capacity: int = 1
    leaving_at: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class TimestampedReport:
    """An engine's report and the monotonic time that it describes, in seconds."""

    report: EngineReport
    at: float
