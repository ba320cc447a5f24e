"""Orders engines into the documented state, from one node at a time per engine."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..configuration.current import Configuration
from ..configuration.document import Document, EngineSpec, VersionedDocument
from ..configuration.records import HEAD_KEY, read_head
from ..decoding import decode_json
from ..http.client import HttpClient
from ..http.messages import Response
from ..metrics import Metrics
from ..platform.client import Unavailable
from ..platform.table import Table
from ..policies.loadreports import EngineReport, TimestampedReport
from ..types import Address
from .leases import LEASE_SECONDS, Lease, LeaseKeeper
from .order import Change, Order, compare, is_rolling, may_begin_roll
from .pacing import LoadPacer

STEP_INTERVAL_SECONDS = 1.0
REQUEST_TIMEOUT_SECONDS = 5.0
# Reports lag, so the effect of an order shows only after a while.
REPORT_LAG_SECONDS = 5.0
RETRY_INTERVAL_SECONDS = 1.0
# How long an engine may work on an order whose answer was lost, in seconds. Then the
# change is ordered anew.
MAX_ORDER_SECONDS = 120.0

# An older report no longer shows the engine's present state.
MAX_REPORT_AGE_SECONDS = 30.0


Reports = Callable[[], Mapping[str, TimestampedReport]]
HeadVersion = Callable[[float], Awaitable[Result[int, Unavailable]]]


def table_head_version(table: Table) -> HeadVersion:
    """Return a function that reads the newest accepted version from the table."""

    async def head_version(deadline: float) -> Result[int, Unavailable]:
        read = await table.read([HEAD_KEY], deadline)
        if isinstance(read, Err):
            return Err(read.err_value)
        row = read.ok_value.get(HEAD_KEY)
        if row is None:
            return Ok(0)
        head = read_head(row.value, HEAD_KEY)
        if isinstance(head, Err):
            return Err(Unavailable(reason="bad_row", detail=str(head.err_value)))
        return Ok(head.ok_value.version)

    return head_version


@dataclass(kw_only=True, slots=True)
class _SentOrder:
    """An order that is sent again under its id until monotonic time ``ends_at``."""

    order_id: str
    ends_at: float
    n_sent: int = 0


@dataclass(kw_only=True, slots=True)
class _EngineState:
    """The state of this node's orders to one engine.

    ``lease_retry_at`` is the monotonic time before which no lease is requested;
    ``seen_fencing`` is the highest fencing number that the engine refused an order
    with; reports from before ``min_report_at`` are not acted on; ``load_slots`` and
    ``orders`` belong to changes that may not be carried out yet; ``last_settled`` is
    the document version and incarnation at which the engine last matched.
    """

    lease: Lease | None = None
    lease_retry_at: float = 0.0
    seen_fencing: int = 0
    min_report_at: float = 0.0
    load_slots: dict[Change, float] = field(default_factory=dict)
    orders: dict[Change, _SentOrder] = field(default_factory=dict)
    last_sent: Change | None = None
    resend_at: float = 0.0
    last_settled: tuple[int, str] | None = None


class EngineReconciler:
    """Orders the changes that bring this node's engines to the document's state.

    Orders follow from what engines report, not from what was ordered before, so a
    lost order, a restart and an order of a former lease holder are all handled alike.

    Parameters
    ----------
    configuration : Configuration
        The state that engines should be in.
    reports : callable
        Returns the newest report of each engine that this node follows, by name.
        Several nodes may follow one engine; the lease lets one of them order.
    leases : LeaseKeeper
        Takes one lease per engine, only while there is something to order.
    pacer : LoadPacer
        Reserves the times at which loads of weights may begin.
    head_version : callable
        Reads the newest accepted version, so that a node that missed one does not
        order by an older document.
    http : HttpClient
        Sends orders.
    clock : Clock
        Its monotonic time must be the event loop's.
    rng : random.Random
        Adds jitter to the steps and draws order ids.
    metrics : Metrics or None
        Counts orders by outcome.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        reports: Reports,
        leases: LeaseKeeper,
        pacer: LoadPacer,
        head_version: HeadVersion,
        http: HttpClient,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics | None = None,
    ) -> None:
        self._configuration = configuration
        self._reports = reports
        self._leases = leases
        self._pacer = pacer
        self._head_version = head_version
        self._http = http
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._states: dict[str, _EngineState] = {}

    async def run(self) -> None:
        """Step forever."""
        while True:
            try:
                await self.step()
            except Exception as exc:
                # A fault with one engine must not stop the orders to all others.
                log_message("orders:step_failed", problem=repr(exc))
            await asyncio.sleep(STEP_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2))

    async def step(self) -> None:
        """Compare all engines with the document once and send the orders due."""
        versioned = self._configuration.current
        document = versioned.document
        reports = {n: r for n, r in self._reports().items() if not self._is_stale(r)}
        self._remove_unlisted({spec.name for spec in document.engines})
        rolls = _RollingChanges(document=document, reports=reports)
        due = []
        for spec in document.engines:
            seen = reports.get(spec.name)
            if seen is None:
                continue
            comparison = compare(document, spec, seen.report)
            if comparison.is_settled:
                await self._on_settled(spec.name, versioned, seen.report)
            elif comparison.changes and rolls.try_begin(spec, comparison.changes[0]):
                due.append((spec, seen, comparison.changes[0]))
        if due and await self._is_newest_version(versioned):
            await asyncio.gather(
                *(
                    self._order_change(versioned, spec, seen, change)
                    for spec, seen, change in due
                )
            )

    def _remove_unlisted(self, names: set[str]) -> None:
        for name in [name for name in self._states if name not in names]:
            del self._states[name]

    def _is_stale(self, seen: TimestampedReport) -> bool:
        return self._clock.monotonic() - seen.at > MAX_REPORT_AGE_SECONDS

    async def _is_newest_version(self, versioned: VersionedDocument) -> bool:
        head = await self._head_version(
            self._clock.monotonic() + REQUEST_TIMEOUT_SECONDS
        )
        if isinstance(head, Err):
            self._count("store_down")
            return False
        if head.ok_value != versioned.version:
            self._count("old_document")
            return False
        return True

    async def _on_settled(
        self, name: str, versioned: VersionedDocument, report: EngineReport
    ) -> None:
        """Record that an engine matches the document, and release its lease."""
        state = self._states.setdefault(name, _EngineState())
        state.last_settled = (versioned.version, report.incarnation)
        state.load_slots.clear()
        state.orders.clear()
        state.resend_at = 0.0
        if state.lease is not None:
            lease, state.lease = state.lease, None
            deadline = self._clock.monotonic() + REQUEST_TIMEOUT_SECONDS
            await self._leases.release(lease, deadline)

    async def _order_change(
        self,
        versioned: VersionedDocument,
        spec: EngineSpec,
        seen: TimestampedReport,
        change: Change,
    ) -> None:
        state = self._states.setdefault(spec.name, _EngineState())
        self._record_override(state, versioned, spec, seen.report)
        if seen.at < state.min_report_at:
            return
        # The report shows the effect of an order for another change.
        state.orders = {
            one: sent for one, sent in state.orders.items() if one == change
        }
        if change == state.last_sent and self._clock.monotonic() < state.resend_at:
            return
        # The wait for a slot may be long, so it comes before the lease: holding a
        # lease for each engine of a large roll-out would cost a write every few
        # seconds.
        if change.needs_weights and not await self._may_begin_load(state, change):
            return
        lease = await self._ensure_lease(state, spec, versioned.version)
        if lease is None or seen.at < state.min_report_at:
            return
        order = self._make_order(state, lease, change)
        state.last_sent = change
        state.resend_at = self._clock.monotonic() + RETRY_INTERVAL_SECONDS
        sent = await self._send(spec, lease, order)
        if isinstance(sent, Ok):
            self._on_answer(state, spec, change, sent.ok_value)

    async def _ensure_lease(
        self, state: _EngineState, spec: EngineSpec, version: int
    ) -> Lease | None:
        """Return the held lease, renewed or newly taken where needed, or None.

        A lease is renewed once half of its time has passed; when that fails, it is
        returned as it is.
        """
        now = self._clock.monotonic()
        lease = state.lease
        if lease is not None and now + LEASE_SECONDS / 2 < lease.deadline:
            return lease
        if lease is not None and lease.is_valid(now):
            renewed = await self._leases.renew(lease, now + REQUEST_TIMEOUT_SECONDS)
            if isinstance(renewed, Ok):
                state.lease = renewed.ok_value
            return state.lease
        if now < state.lease_retry_at:
            return None
        state.orders.clear()
        taken = await self._leases.take(
            f"orders/{spec.name}",
            document_version=version,
            deadline=now + REQUEST_TIMEOUT_SECONDS,
            seen_fencing=state.seen_fencing,
        )
        if isinstance(taken, Err):
            state.lease, state.lease_retry_at = None, taken.err_value.retry_at
            self._count(taken.err_value.reason)
            return None
        state.lease = taken.ok_value
        if taken.ok_value.is_after_lapse:
            # The former holder's last order may have been carried out after the
            # report was made; ordering by that report could undo a correct change.
            state.min_report_at = self._clock.monotonic()
        return state.lease

    async def _may_begin_load(self, state: _EngineState, change: Change) -> bool:
        if change not in state.load_slots:
            slot = await self._pacer.reserve_slot(
                self._clock.monotonic() + REQUEST_TIMEOUT_SECONDS
            )
            if isinstance(slot, Err):
                return False
            state.load_slots[change] = slot.ok_value
        return self._clock.wall() >= state.load_slots[change]

    def _make_order(self, state: _EngineState, lease: Lease, change: Change) -> Order:
        now = self._clock.monotonic()
        sent = state.orders.get(change)
        if sent is None or now >= sent.ends_at:
            order_id = f"{lease.holder}-{self._rng.getrandbits(32):08x}"
            sent = _SentOrder(order_id=order_id, ends_at=now + MAX_ORDER_SECONDS)
            state.orders[change] = sent
        sent.n_sent += 1
        return Order(
            order_id=sent.order_id,
            kind=change.kind,
            model=change.model,
            version=change.version,
            adapter=change.adapter,
            role=change.role,
            fencing=lease.fencing,
            expires_at=self._clock.wall_of_deadline(lease.deadline),
        )

    async def _send(
        self, spec: EngineSpec, lease: Lease, order: Order
    ) -> Result[Response, None]:
        """Send under the lease; the client checks the deadline right before."""
        now = self._clock.monotonic()
        if not lease.is_valid(now):
            self._count("lapsed")
            return Err(None)
        log_message(
            "orders:send", engine=spec.name, kind=order.kind, fencing=order.fencing
        )
        answered = await self._http.request(
            Address.parse(spec.address),
            "POST",
            "/orders",
            body=msgspec.json.encode(order),
            headers={"content-type": "application/json"},
            deadline=min(lease.deadline, now + REQUEST_TIMEOUT_SECONDS),
            fresh=True,
        )
        if isinstance(answered, Err):
            self._count(answered.err_value.reason)
            return Err(None)
        return Ok(answered.ok_value)

    def _on_answer(
        self, state: _EngineState, spec: EngineSpec, change: Change, res: Response
    ) -> None:
        if res.status == 200:
            now = self._clock.monotonic()
            state.resend_at = now + REPORT_LAG_SECONDS
            # An earlier report shows the state before the change.
            state.min_report_at = now
            if change in state.orders and state.orders[change].n_sent > 1:
                # The engine knows the order, and may still be at work on it.
                self._count("known")
                return
            self._count("carried_out")
            # If the same change is due again later, it is a new order.
            state.orders.pop(change, None)
            state.load_slots.pop(change, None)
            return
        self._count(f"status_{res.status}")
        if res.status == 409:
            # Another holder has ordered with a higher number: this lease is lost.
            state.lease = None
            state.seen_fencing = max(state.seen_fencing, _seen_fencing(res))
        log_message("orders:refused", engine=spec.name, status=res.status)

    def _record_override(
        self,
        state: _EngineState,
        versioned: VersionedDocument,
        spec: EngineSpec,
        report: EngineReport,
    ) -> None:
        """Log and count a change to a settled engine that the document didn't cause."""
        if state.last_settled == (versioned.version, report.incarnation):
            log_message(
                "orders:overridden", engine=spec.name, fencing_kind=spec.fencing
            )
            self._count("overridden")
        state.last_settled = None

    def _count(self, outcome: str) -> None:
        if self._metrics is not None:
            self._metrics.count("orders", outcome=outcome)


class _RollingChanges:
    """Counts, by model, the engines that drain for a change and those that serve."""

    def __init__(
        self, *, document: Document, reports: Mapping[str, TimestampedReport]
    ) -> None:
        self._n_engines = Counter(spec.model for spec in document.engines)
        self._n_rolling: Counter[str] = Counter()
        self._n_serving: Counter[str] = Counter()
        for spec in document.engines:
            seen = reports.get(spec.name)
            if seen is None:
                continue
            self._n_rolling[spec.model] += is_rolling(spec, seen.report)
            self._n_serving[spec.model] += seen.report.role == "serve"

    def try_begin(self, spec: EngineSpec, change: Change) -> bool:
        """Return whether a change may begin, and count it when it drains the engine.

        A drain for a change is held back while too few other engines of the model
        serve; all other changes may begin at once.
        """
        if change.role != "drain" or spec.role == "drain":
            return True
        if not may_begin_roll(
            n_rolling=self._n_rolling[spec.model],
            n_serving=self._n_serving[spec.model],
            n_engines=self._n_engines[spec.model],
        ):
            return False
        self._n_rolling[spec.model] += 1
        self._n_serving[spec.model] -= 1
        return True


class _FencingRefusal(msgspec.Struct):
    fencing: int = 0


def _seen_fencing(res: Response) -> int:
    """Return the fencing number in an engine's refusal; 0 when it has none."""
    return decode_json(res.body, _FencingRefusal).unwrap_or(_FencingRefusal()).fencing
