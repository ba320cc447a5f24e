"""A generation in progress, and the outcomes of moving it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from ..http.client import Stream
from ..http.messages import Connection
from ..metrics import DurationCounts
from ..model import EngineProfile, Registration
from ..policies.engineloads import Run
from ..policies.versionbinding import VersionBinding
from ..policies.waiting import Waiting
from .endpointgate import Admission
from .exchange import Exchange
from .stoporders import UNKNOWN_START, StopOrders


@dataclass(frozen=True, kw_only=True, slots=True)
class Prepared:
    """An engine to which a run can be sent: what admits it, and a connection.

    The engine has named its start since the connection was made, so a request over it
    runs at that start.
    """

    admission: Admission
    conn: Connection
    is_tunnel: bool

    @property
    def is_usable(self) -> bool:
        """Return whether a request may be sent; tunnels are retired from the start."""
        is_retired = self.conn.is_retired and not self.is_tunnel
        return not self.conn.is_lost and not is_retired


@dataclass(frozen=True, kw_only=True, slots=True)
class Copied:
    """A run's memory was copied: from which engine, where to, and the copy's name.

    ``handle`` is its name at the engines, if they have given it one, and ``prepared``
    is set if the engine that has the copy was prepared for the run.
    """

    source: Registration
    reg: Registration
    name: str
    handle: str = ""
    prepared: Prepared | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Switched:
    """A run already continues at another engine."""

    reg: Registration
    stream: Stream


# What became of a move: where the run's copy is, the run's new stream, or nothing.
Move = Copied | Switched | None


class LiveRun:
    """A generation in progress, with the state needed to move it to another engine.

    Parameters
    ----------
    ex : Exchange
        The caller's request.
    engine : EngineProfile
        What the engines of its service have in common.
    run : Run
        The description announced to the other nodes.
    """

    def __init__(self, *, ex: Exchange, engine: EngineProfile, run: Run) -> None:
        self.ex = ex
        self.engine = engine
        self.run = run
        self.reg: Registration | None = None
        self.binding = ex.binding
        self.backup: Registration | None = None
        # What admitted it to its engine.
        self.admission: Admission | None = None
        self.stream: Stream | None = None
        self.last_event_id: str | None = ex.facts.last_event_id
        self.last_number: int | None = None
        # Time for which it waited for its first engine, and prompt tokens queued there.
        self.waited_seconds = 0.0
        self.n_queued_tokens = 0
        # What the other nodes were told while it waited; None if it has not waited.
        self.waiting: Waiting | None = None
        self.n_events = 0
        self.n_runs = 0
        # Engines that were sent it to begin it, and haven't refused it.
        self.n_attempts = 0
        # When its current engine was sent it, in loop time, and whether that one hasn't
        # answered yet; a run that continues from a copy counts as answered.
        self.sent_at = 0.0
        self.is_unanswered = False
        # Set between the end of one stream and the start of the next.
        self.resuming = asyncio.Event()
        self.is_complete = False
        # Set once nobody needs it any more.
        self.is_over = False
        # Engines whose connections broke after they were sent it.
        self.broken_at: set[str] = set()
        self.move: asyncio.Task[Move] | None = None
        self.stop_orders = StopOrders()
        # A copy made while the run went on, before it was told to stop.
        self.partial_copy: Copied | None = None
        # Set once the current engine has sent an event.
        self.started = asyncio.Event()
        self._first_event_at = 0.0
        self._last_event_at = 0.0
        self.longest_pause = 0.0
        self.pauses = DurationCounts()

    @property
    def is_resuming(self) -> bool:
        """Return whether its stream has ended, and the next one hasn't begun."""
        return self.resuming.is_set()

    def bind(self) -> None:
        """Bind the run to its engine's version: its caller is about to get an event."""
        assert self.reg is not None
        if not self.binding.version:
            self.binding = VersionBinding(version=self.reg.version)

    def set_unknown_version(self, reg: Registration, started_at: int | None) -> None:
        """Record that its engine may be at another start than its row says."""
        self.reg = replace(
            reg,
            version="",
            started_at=UNKNOWN_START if started_at is None else started_at,
        )

    def confirm_version(self, reg: Registration) -> None:
        """Record that its engine is at the start of a row after all."""
        if self.reg is not None and self.reg.incarnation == (
            reg.endpoint,
            UNKNOWN_START,
        ):
            self.reg = reg

    def record_event(self) -> None:
        """Record the arrival of an event."""
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
        """Return whether events are missing between the last one and this one."""
        return self.last_number is not None and number > self.last_number + 1

    @property
    def silent_seconds(self) -> float:
        """Return the time since the last event; 0 before an engine's first one."""
        if not self.started.is_set():
            return 0.0
        return asyncio.get_running_loop().time() - self._last_event_at

    @property
    def age_seconds(self) -> float:
        """Return the time since the engine's first event."""
        return asyncio.get_running_loop().time() - self._first_event_at

    def on_engine_changed(self) -> None:
        """Record that another engine now runs it, which hasn't sent an event yet."""
        self.started.clear()
