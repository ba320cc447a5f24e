"""A generation on its way, and what may become of it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ..http.client import Stream
from ..metrics import TimeCounts
from ..model import EngineFacts, Registration
from ..policies.engineloads import Run
from .exchange import Exchange


@dataclass(frozen=True, kw_only=True, slots=True)
class Copied:
    """A run's memory lies ready: where to go on, and by which name."""

    reg: Registration
    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Switched:
    """A run already goes on elsewhere."""

    reg: Registration
    stream: Stream


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """An engine has not run it; ``was_sent`` says whether it got to see the request."""

    reason: str
    was_sent: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """An engine may have run it, and it can't go on."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Reading:
    """A prompt that is being read: the tokens queued with it, and since when."""

    n_tokens: int
    since: float


class LiveRun:
    """A generation on its way, with what is needed to carry it elsewhere.

    Parameters
    ----------
    ex : Exchange
        The caller's request.
    engine : EngineFacts
        What the engines of its service have in common.
    run : Run
        What the other nodes are told of it.
    """

    def __init__(self, *, ex: Exchange, engine: EngineFacts, run: Run) -> None:
        self.ex = ex
        self.engine = engine
        self.run = run
        self.reg: Registration | None = None
        self.backup: Registration | None = None
        self.stream: Stream | None = None
        self.last_event_id: str | None = ex.facts.last_event_id
        self.last_number: int | None = None
        # Until the first event of its first engine.
        self.reading: Reading | None = None
        self.n_events = 0
        self.n_runs = 0
        # Whether its former stream ended and the next one is not there yet.
        self.is_resuming = False
        self.is_whole = False
        self.move: asyncio.Task[Copied | Switched | None] | None = None
        self.started = asyncio.Event()
        self._first_event_at = 0.0
        self._last_event_at = 0.0
        self.longest_pause = 0.0
        self.pauses = TimeCounts()

    def note_event(self) -> None:
        """Note that an event came."""
        now = asyncio.get_running_loop().time()
        if self.n_events:
            pause = now - self._last_event_at
            self.longest_pause = max(self.longest_pause, pause)
            self.pauses.add(pause)
        if not self.started.is_set():
            self._first_event_at = now
            self.started.set()
        self._last_event_at = now
        self.n_events += 1

    def is_gap(self, number: int) -> bool:
        """Return whether events between the last one and this are missing."""
        return self.last_number is not None and number > self.last_number + 1

    @property
    def silent_seconds(self) -> float:
        """Return how long no event came since one did; 0 before the first."""
        if not self.started.is_set():
            return 0.0
        return asyncio.get_running_loop().time() - self._last_event_at

    @property
    def age_seconds(self) -> float:
        """Return how long ago the engine's first event came."""
        return asyncio.get_running_loop().time() - self._first_event_at

    def begin_engine(self) -> None:
        """Note that another engine works on it, which has sent nothing yet."""
        self.started.clear()
