"""Orders engines to be as the document says, one node at a time for each engine."""

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
from ..http.client import HttpClient
from ..http.messages import Response
from ..metrics import Metrics
from ..platform.client import Unavailable
from ..platform.table import Table
from ..policies.reports import EngineReport, SeenReport
from ..types import Address
from .leases import LEASE_SECONDS, Lease, LeaseKeeper
from .order import Order, Wanted, compare, is_rolling, may_begin_roll
from .pacing import LoadPacer

STEP_SECONDS = 1.0
TRY_SECONDS = 5.0
# Reports lag, so a carried-out order shows only after a while.
SETTLE_SECONDS = 5.0
RETRY_SECONDS = 1.0

# What an engine reported longer ago tells nothing of it now.
MAX_REPORT_AGE_SECONDS = 30.0


Reports = Callable[[], Mapping[str, SeenReport]]
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
class _Work:
    """What this node knows of its orders to one engine; it changes as they go."""

    lease: Lease | None = None
    ask_at: float = 0.0
    above: int = 0
    report_after: float = 0.0
    slots: dict[Wanted, float] = field(default_factory=dict)
    ids: dict[Wanted, str] = field(default_factory=dict)
    ordered: Wanted | None = None
    resend_at: float = 0.0
    settled: tuple[int, str] | None = None


class EngineReconciler:
    """Compares and orders, for the engines that this node looks after.

    It is driven by what engines report, not by what was ordered: whatever makes an
    engine differ from the document, a lost order, a restart or an order of a former
    holder, is met in the same way.

    Parameters
    ----------
    configuration : Configuration
        What should be.
    reports : callable
        Returns the newest report of each engine that this node looks after, by name;
        two nodes that look after the same one are kept apart by the lease.
    leases : LeaseKeeper
        Takes leases, one for each engine, and only when there is something to order.
    pacer : LoadPacer
        Says when a load may begin.
    head_version : callable
        Reads the newest accepted version, so that a node that slept through one
        orders nothing by the old one.
    http : HttpClient
        Sends orders.
    clock : Clock
        Its monotonic time must be the loop's.
    rng : random.Random
        Spreads the steps.
    metrics : Metrics or None
        Where orders are counted, by outcome.
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
        self._work: dict[str, _Work] = {}

    async def run(self) -> None:
        """Step for ever."""
        while True:
            try:
                await self.step()
            except Exception as exc:
                # A fault met with one engine must not end the orders to all others.
                log_message("orders:step_failed", problem=repr(exc))
            await asyncio.sleep(STEP_SECONDS * self._rng.uniform(0.8, 1.2))

    async def step(self) -> None:
        """Compare once and send what is due."""
        versioned = self._configuration.current
        document = versioned.document
        reports = {n: r for n, r in self._reports().items() if not self._is_old(r)}
        self._forget({spec.name for spec in document.engines})
        rolls = _Rolls(document=document, reports=reports)
        due = []
        for spec in document.engines:
            seen = reports.get(spec.name)
            if seen is None:
                continue
            found = compare(document, spec, seen.report)
            if found.is_settled:
                await self._settle(spec.name, versioned, seen.report)
            elif found.wanted and rolls.allow(spec, found.wanted[0]):
                due.append((spec, seen, found.wanted[0]))
        if due and await self._is_current(versioned):
            await asyncio.gather(
                *(self._order(versioned, spec, seen, want) for spec, seen, want in due)
            )

    def _forget(self, names: set[str]) -> None:
        for name in [name for name in self._work if name not in names]:
            del self._work[name]

    def _is_old(self, seen: SeenReport) -> bool:
        return self._clock.monotonic() - seen.at > MAX_REPORT_AGE_SECONDS

    async def _is_current(self, versioned: VersionedDocument) -> bool:
        head = await self._head_version(self._clock.monotonic() + TRY_SECONDS)
        if isinstance(head, Err):
            self._count("store_down")
            return False
        if head.ok_value != versioned.version:
            self._count("old_document")
            return False
        return True

    async def _settle(
        self, name: str, versioned: VersionedDocument, report: EngineReport
    ) -> None:
        """Note that an engine is as it should be, and let go of its lease."""
        work = self._work.setdefault(name, _Work())
        work.settled = (versioned.version, report.incarnation)
        work.slots.clear()
        work.ids.clear()
        work.resend_at = 0.0
        if work.lease is not None:
            lease, work.lease = work.lease, None
            deadline = self._clock.monotonic() + TRY_SECONDS
            await self._leases.give_up(lease, deadline)

    async def _order(
        self,
        versioned: VersionedDocument,
        spec: EngineSpec,
        seen: SeenReport,
        wanted: Wanted,
    ) -> None:
        work = self._work.setdefault(spec.name, _Work())
        self._note_overridden(work, versioned, spec, seen.report)
        if wanted == work.ordered and self._clock.monotonic() < work.resend_at:
            return
        # The wait for a slot may be long, so it comes before the lease: a lease held
        # for each engine of a large roll-out would cost a write every few seconds.
        if wanted.needs_weights and not await self._may_load(work, wanted):
            return
        lease = await self._hold(work, spec, versioned.version)
        if lease is None or seen.at < work.report_after:
            return
        order = self._make_order(work, lease, wanted)
        work.ordered = wanted
        work.resend_at = self._clock.monotonic() + RETRY_SECONDS
        sent = await self._send(spec, lease, order)
        if isinstance(sent, Ok):
            self._take_answer(work, spec, wanted, sent.ok_value)

    async def _hold(self, work: _Work, spec: EngineSpec, version: int) -> Lease | None:
        """Return a lease with some time left, or None."""
        now = self._clock.monotonic()
        lease = work.lease
        if lease is not None and now + LEASE_SECONDS / 2 < lease.deadline:
            return lease
        if lease is not None and lease.holds(now):
            renewed = await self._leases.renew(lease, now + TRY_SECONDS)
            if isinstance(renewed, Ok):
                work.lease = renewed.ok_value
            return work.lease
        if now < work.ask_at:
            return None
        work.ids.clear()
        taken = await self._leases.take(
            f"orders/{spec.name}",
            document_version=version,
            deadline=now + TRY_SECONDS,
            above=work.above,
        )
        if isinstance(taken, Err):
            work.lease, work.ask_at = None, taken.err_value.ask_at
            self._count(taken.err_value.reason)
            return None
        work.lease = taken.ok_value
        if taken.ok_value.is_after_lapse:
            # The former holder's last order may have been carried out since the
            # report was made; ordering by that report could undo what is right.
            work.report_after = self._clock.monotonic()
        return work.lease

    async def _may_load(self, work: _Work, wanted: Wanted) -> bool:
        if wanted not in work.slots:
            slot = await self._pacer.slot(self._clock.monotonic() + TRY_SECONDS)
            if isinstance(slot, Err):
                return False
            work.slots[wanted] = slot.ok_value
        return self._clock.wall() >= work.slots[wanted]

    def _make_order(self, work: _Work, lease: Lease, wanted: Wanted) -> Order:
        default = f"{lease.holder}-{self._rng.getrandbits(32):08x}"
        return Order(
            order_id=work.ids.setdefault(wanted, default),
            kind=wanted.kind,
            model=wanted.model,
            version=wanted.version,
            adapter=wanted.adapter,
            role=wanted.role,
            fencing=lease.fencing,
            expires_at=self._clock.wall_of_deadline(lease.deadline),
        )

    async def _send(
        self, spec: EngineSpec, lease: Lease, order: Order
    ) -> Result[Response, None]:
        """Send under the lease; the client looks at its deadline right before."""
        now = self._clock.monotonic()
        if not lease.holds(now):
            self._count("lapsed")
            return Err(None)
        log_message(
            "orders:send", engine=spec.name, kind=order.kind, fencing=order.fencing
        )
        made = await self._http.request(
            Address.parse(spec.address),
            "POST",
            "/orders",
            body=msgspec.json.encode(order),
            headers={"content-type": "application/json"},
            deadline=min(lease.deadline, now + TRY_SECONDS),
            fresh=True,
        )
        if isinstance(made, Err):
            self._count(made.err_value.reason)
            return Err(None)
        return Ok(made.ok_value)

    def _take_answer(
        self, work: _Work, spec: EngineSpec, wanted: Wanted, res: Response
    ) -> None:
        if res.status == 200:
            self._count("carried_out")
            work.resend_at = self._clock.monotonic() + SETTLE_SECONDS
            # Should it show up as wanted again, that is a new order.
            work.ids.pop(wanted, None)
            work.slots.pop(wanted, None)
            return
        self._count(f"status_{res.status}")
        if res.status == 409:
            # Somebody has acted with a higher number: this lease is over.
            work.lease = None
            work.above = max(work.above, _fencing(res))
        log_message("orders:refused", engine=spec.name, status=res.status)

    def _note_overridden(
        self,
        work: _Work,
        versioned: VersionedDocument,
        spec: EngineSpec,
        report: EngineReport,
    ) -> None:
        """Tell operators of a change that nothing in the document asked for."""
        if work.settled == (versioned.version, report.incarnation):
            log_message(
                "orders:overridden", engine=spec.name, fencing_kind=spec.fencing
            )
            self._count("overridden")
        work.settled = None

    def _count(self, outcome: str) -> None:
        if self._metrics is not None:
            self._metrics.count("orders", outcome=outcome)


class _Rolls:
    """Counts the engines of each model that drain only for a change."""

    def __init__(
        self, *, document: Document, reports: Mapping[str, SeenReport]
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

    def allow(self, spec: EngineSpec, wanted: Wanted) -> bool:
        """Hold back a drain for a change while the model can't spare the engine."""
        if wanted.role != "drain" or spec.role == "drain":
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


class _OldFencing(msgspec.Struct):
    fencing: int = 0


def _fencing(res: Response) -> int:
    try:
        return msgspec.json.decode(res.body, type=_OldFencing).fencing
    except msgspec.MsgspecError:
        return 0
