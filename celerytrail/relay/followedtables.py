"""Follows the tables of the operator's rows and of the registrations."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

from result import Err

from ..clock import Clock
from ..metrics import Metrics
from ..model import Registration
from ..platform import storewire
from ..platform.nodesettings import RelaySettings
from ..platform.registrations import decode_registration
from ..policies.freshness import Freshness
from ..policies.renewal import RenewalBound
from .sharedrows import SharedRows
from .tablemirror import TableMirror
from .tablewatch import Confirmation, TableSink, TableWatch

# Longest wait of one request for changes, in seconds. Keys stay usable only while the
# absence of changes is confirmed, so an answer must arrive well within the bound on
# revocation.
WAIT_SECONDS = 0.7
# The same if one reader can't serve all nodes: these requests are most of what an idle
# node costs.
MANY_NODES_WAIT_SECONDS = 1.1
# The same for a reader: half of it, as the followers' own wait is added to it.
READER_WAIT_SECONDS = 0.35
# Largest share of the age up to which keys are usable that one request may wait.
WAIT_SHARE = 0.25
# Pause between two requests for the configuration, in seconds.
CONFIG_PAUSE_SECONDS = 0.0
# Pause between two requests for the endpoints' rows, in seconds. Heartbeats change them
# many times a second, and each request is a priced call. An engine announces in its
# row, two seconds ahead, that it leaves.
REGISTRATION_PAUSE_SECONDS = 0.1
# The same where most nodes get the rows over two others, as a share of the staleness
# bound. While engines come and go, the rows change several times a second, and each
# change would cost every node a request. What can't wait, that an endpoint leaves, the
# reader announces.
RELAYED_PAUSE_SHARE = 0.1
# The same until a node has found a reader to follow, in seconds. After a loss of all
# VMs every node calls the store itself for a second or two.
UNSETTLED_PAUSE_SECONDS = 0.6
# How much longer than stated before an endpoint must stay cold for that to be passed
# on, in seconds. The times at which heartbeats arrive vary by less.
COLD_TOLERANCE_SECONDS = 0.5
# While the registrations are older than this, in seconds, the engines themselves are
# asked more often whether they leave.
STALE_REGISTRATIONS_SECONDS = 1.5
# Shortest wait for a confirmation, in seconds: timers are no finer.
MIN_LEFT_SECONDS = 0.001


class FollowedTables:
    """Follows the two tables that a node needs, and serves them to its followers.

    Parameters
    ----------
    shared_rows : SharedRows
        Where the rows come from.
    settings : callable
        Returns the node's settings, which hold the tables' staleness bounds.
    freshness : Freshness
        Told of each confirmation of the operator's rows.
    operator_rows, registrations : TableSink
        Apply the rows at this node.
    clock : Clock
        Dates the requests.
    rng : random.Random
        Source of jitter.
    metrics : Metrics
        Counts late renewals.
    """

    def __init__(
        self,
        *,
        shared_rows: SharedRows,
        settings: Callable[[], RelaySettings],
        freshness: Freshness,
        operator_rows: TableSink,
        registrations: TableSink,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._shared_rows = shared_rows
        self._freshness = freshness
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._registrations_confirmed_at: float | None = None
        self._registrations_confirmed = asyncio.Event()
        self.watches = (
            self._watch(
                storewire.CONFIG_TABLE,
                TableMirror(
                    sink=operator_rows,
                    relevant_content=lambda key, value: value,
                    clock=clock,
                ),
                lambda confirmation: freshness.confirm(
                    confirmation.confirmed_at, source=confirmation.source
                ),
                lambda: CONFIG_PAUSE_SECONDS,
                lambda: settings().config_seconds,
            ),
            self._watch(
                storewire.REGISTRATION_TABLE,
                TableMirror(
                    sink=registrations,
                    relevant_content=RegistrationContent(clock=clock),
                    clock=clock,
                ),
                self._on_registrations_confirmed,
                lambda: self._registration_pause_seconds(settings().drain_seconds),
                lambda: settings().drain_seconds,
            ),
        )

    @property
    def has_stale_registrations(self) -> bool:
        """Return whether an engine may leave without this node knowing it in time."""
        confirmed_at = self._registrations_confirmed_at
        return (
            confirmed_at is not None
            and self._clock.boottime() - confirmed_at > STALE_REGISTRATIONS_SECONDS
        )

    @property
    def has_current_registrations(self) -> bool:
        """Return whether the endpoints' rows are known, and recently confirmed."""
        is_known = self._registrations_confirmed_at is not None
        return is_known and not self.has_stale_registrations

    async def wait_for_registrations(self, since: float) -> bool:
        """Wait until the endpoints' rows are complete as of a boot time.

        Returns
        -------
        bool
            False if they have become too old meanwhile.
        """
        while not self._are_registrations_of(since):
            confirmed_at = self._registrations_confirmed_at
            if confirmed_at is None or self.has_stale_registrations:
                return False
            age = self._clock.boottime() - confirmed_at
            left = max(STALE_REGISTRATIONS_SECONDS - age, MIN_LEFT_SECONDS)
            confirmed = self._registrations_confirmed
            try:
                async with asyncio.timeout(left):
                    await confirmed.wait()
            except TimeoutError:
                # Whether they are too old now is checked again.
                continue
        return True

    def _are_registrations_of(self, since: float) -> bool:
        confirmed_at = self._registrations_confirmed_at
        return confirmed_at is not None and confirmed_at >= since

    def _watch(
        self,
        table: str,
        mirror: TableMirror,
        on_confirmed: Callable[[Confirmation], None],
        pause_seconds: Callable[[], float],
        bound_seconds: Callable[[], float],
    ) -> TableWatch:
        def confirm(confirmation: Confirmation) -> None:
            mirror.confirm(confirmation.version, confirmation.confirmed_at)
            on_confirmed(confirmation)

        def bound() -> RenewalBound:
            return RenewalBound(seconds=bound_seconds())

        self._shared_rows.serve(table, mirror, bound)
        return TableWatch(
            source=self._shared_rows,
            table=table,
            sink=mirror,
            wait=lambda: bound().wait_seconds(
                mirror.age_seconds, self._longest_wait_seconds(bound())
            ),
            pause=lambda: self._pause_seconds(pause_seconds(), bound_seconds()),
            on_confirmed=confirm,
            on_renewed=lambda age: self._on_renewed(table, age, bound_seconds()),
            bound_seconds=bound_seconds,
            clock=self._clock,
            rng=self._rng,
        )

    def _longest_wait_seconds(self, bound: RenewalBound) -> float:
        """Return the longest wait of one request for changes, in seconds.

        An answer counts as old as its request. If the bound on revocation is short, a
        node whose requests wait too long would never have rows new enough to serve.
        """
        sources = self._shared_rows.sources
        if sources.is_reader:
            longest = READER_WAIT_SECONDS
            if sources.is_relayed:
                longest = bound.relayed_seconds(longest)
        else:
            longest = MANY_NODES_WAIT_SECONDS if sources.is_relayed else WAIT_SECONDS
        return min(longest, WAIT_SHARE * self._freshness.usable_seconds)

    def _registration_pause_seconds(self, bound_seconds: float) -> float:
        """Return the pause between two requests for the endpoints' rows, in seconds."""
        sources = self._shared_rows.sources
        if sources.is_reader or not sources.is_relayed:
            return REGISTRATION_PAUSE_SECONDS
        return max(REGISTRATION_PAUSE_SECONDS, RELAYED_PAUSE_SHARE * bound_seconds)

    def _pause_seconds(self, usual: float, bound_seconds: float) -> float:
        """Return the pause between two requests for a table, in seconds."""
        if self._shared_rows.sources.is_settled:
            return usual
        return min(UNSETTLED_PAUSE_SECONDS, WAIT_SHARE * bound_seconds)

    def _on_renewed(self, table: str, age: float, bound_seconds: float) -> None:
        self._metrics.observe("knowledge_renewed", age, table=table)
        if age > bound_seconds:
            self._metrics.count("relay_events", event="renewed_late", cause=table)

    def _on_registrations_confirmed(self, confirmation: Confirmation) -> None:
        self._registrations_confirmed_at = confirmation.confirmed_at
        self._registrations_confirmed.set()
        self._registrations_confirmed = asyncio.Event()


class RegistrationContent:
    """Returns the content of an endpoint's row that heartbeats don't change.

    Each heartbeat of a cold endpoint states how long it stays cold. That changes the
    content only if the endpoint stays cold for longer than it stated before, as one
    that turns cold again does.

    Parameters
    ----------
    clock : Clock
        Dates the ends of cold phases.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._cold_until: dict[str, float] = {}

    def __call__(self, key: str, value: bytes) -> Registration | None:
        """Return the content of a row, None if it can't be decoded."""
        decoded = decode_registration(key, value)
        if isinstance(decoded, Err):
            return None
        reg = decoded.ok_value
        now = self._clock.boottime()
        cold_until = now + reg.cold_seconds
        if reg.cold_seconds > 0 and cold_until > self._known_end(key, now):
            self._cold_until[key] = cold_until
        return replace(reg, cold_seconds=self._cold_until.get(key, 0.0))

    def _known_end(self, key: str, now: float) -> float:
        """Return the time up to which a statement says nothing new."""
        known = self._cold_until.get(key)
        if known is None or known < now:
            return now
        return known + COLD_TOLERANCE_SECONDS
