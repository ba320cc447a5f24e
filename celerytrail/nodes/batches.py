"""Batches of progress and ends that an entry node sends to its pools' homes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec
from eliot import log_message
from result import Err

from ..clock import Clock
from ..decoding import decode_json
from ..http.client import HttpClient
from ..policies.grants import AdmitRequest, GenerationEnd, Grant
from ..policies.loadreports import EngineReport
from ..supervision import Supervisor
from ..types import Address
from .homes import Homes
from .homewire import (
    PROGRESS_PATH,
    AdmitAnswer,
    Adopted,
    Ended,
    ProgressAnswer,
    ProgressBody,
)
from .member import Member
from .signing import PeerKeys
from .view import NodesView, Ranking

AdmitOutcome = AdmitAnswer | None

FLUSH_INTERVAL_SECONDS = 0.25
EXCHANGE_TIMEOUT_SECONDS = 1.0
# Progress is sent with ends; without any, it is sent at this interval.
PROGRESS_INTERVAL_SECONDS = 1.0
# A generation's progress is sent again once its tokens have grown by this factor and
# this number.
PROGRESS_GROWTH = 1.5
MIN_GROWTH_TOKENS = 8
# Interval at which engine reports for the fallback chooser are requested. In each batch
# they would cost 1 KB for a pool of 16 engines.
REPORTS_INTERVAL_SECONDS = 5.0
# Unsent ends and cancellations kept at most; the oldest are dropped first. This is safe
# because homes drop silent grants themselves.
MAX_UNSENT = 2_000


@dataclass(kw_only=True, slots=True)
class _Run:
    grant: Grant
    req: AdmitRequest
    pool: str
    n_tokens: int = 0
    n_reported_tokens: int = -1

    @property
    def is_due(self) -> bool:
        """Return whether the progress is due to be reported to the home.

        Homes get the same numbers later from the engines' reports. Sent in every batch,
        the progress of a hundred streams would exceed a node's bandwidth budget for
        control traffic.
        """
        return (
            self.n_tokens > PROGRESS_GROWTH * self.n_reported_tokens + MIN_GROWTH_TOKENS
        )


@dataclass(kw_only=True, slots=True)
class _Outbox:
    ended: list[Ended] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    adopted: list[str] = field(default_factory=list)
    next_reports_at: float = 0.0
    next_progress_at: float = 0.0
    home: str = ""


class ProgressBatcher:
    """Collects progress and ends of this node's generations and sends them to homes.

    Parameters
    ----------
    nodes : NodesView
        The live nodes.
    ranking : Ranking
        The nodes' order for each pool.
    homes : Homes
        The pools and this node's own homes, which are called without HTTP.
    keys : PeerKeys
        Sign requests.
    client : HttpClient
        Sends requests.
    clock : Clock
        Monotonic time.
    on_reports : callable
        Called with the engines' reports and their ages in seconds.
    supervisor : Supervisor
        Runs the sending.
    """

    def __init__(
        self,
        *,
        nodes: NodesView,
        ranking: Ranking,
        homes: Homes,
        keys: PeerKeys,
        client: HttpClient,
        clock: Clock,
        on_reports: Callable[[Sequence[EngineReport], Sequence[float]], None],
        supervisor: Supervisor,
    ) -> None:
        self._supervisor = supervisor
        self._nodes = nodes
        self._ranking = ranking
        self._homes = homes
        self._keys = keys
        self._client = client
        self._clock = clock
        self._on_reports = on_reports
        self._runs: dict[str, _Run] = {}
        self._outboxes: dict[str, _Outbox] = {}
        self._cancelled: list[tuple[Address, str, str]] = []
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start sending batches."""
        self._task = self._supervisor.start("batches", self._flush_periodically)

    async def stop(self) -> None:
        """Stop sending, after one last batch."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])
            self._task = None
        await self.flush()

    def add_run(self, grant: Grant, pool: str, req: AdmitRequest) -> None:
        """Add a generation that was admitted."""
        self._runs[grant.grant_id] = _Run(grant=grant, req=req, pool=pool)

    def progress(self, grant: Grant, n_tokens: int) -> None:
        """Record how many tokens a generation has produced."""
        run = self._runs.get(grant.grant_id)
        if run is not None:
            run.n_tokens = n_tokens

    def finish(self, grant: Grant, n_tokens: int, end: GenerationEnd) -> None:
        """Record that a generation has ended."""
        run = self._runs.pop(grant.grant_id, None)
        if run is None:
            return
        outbox = self._outbox(run.pool)
        ended = Ended(grant_id=grant.grant_id, n_tokens=n_tokens, end=end)
        outbox.ended.append(ended)

    def cancel(self, pool: str, home: Member, request_id: str) -> None:
        """Record that a request to a home is cancelled."""
        del self._cancelled[: max(0, len(self._cancelled) - MAX_UNSENT)]
        self._cancelled.append((home.peer, pool, request_id))

    async def flush(self) -> None:
        """Send the collected records to each pool's home."""
        await self._flush_cancelled()
        pools = {run.pool for run in self._runs.values()} | self._outboxes.keys()
        if pools:
            await asyncio.gather(*(self._flush_pool(pool) for pool in sorted(pools)))

    async def _flush_periodically(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            try:
                await self.flush()
            except Exception as exc:
                # An exception must not end the batches: homes would count every grant
                # as lost and admit more than the engines can hold.
                log_message("batches:failed", problem=repr(exc))

    async def _flush_cancelled(self) -> None:
        cancelled, self._cancelled = self._cancelled, []
        by_home: dict[tuple[Address, str], list[str]] = {}
        for address, pool, request_id in cancelled:
            by_home.setdefault((address, pool), []).append(request_id)
        posts = [
            self._post(address, self._make_body(pool, cancelled=tuple(request_ids)))
            for (address, pool), request_ids in by_home.items()
        ]
        if posts:
            await asyncio.gather(*posts)

    async def _flush_pool(self, pool: str) -> None:
        outbox = self._outbox(pool)
        pool_spec = self._homes.pools.get(pool)
        order = (
            self._ranking.ranked_nodes(pool, pool_spec.region)
            if pool_spec is not None
            else []
        )
        runs = [run for run in self._runs.values() if run.pool == pool]
        if pool_spec is None or (not runs and not outbox.ended):
            # Nothing runs in the pool, or the document no longer lists it and no home
            # counts its places.
            del self._outboxes[pool]
            return
        if not order:
            return
        if order[0].node != outbox.home:
            # A new home has no state, so the progress of all runs is sent; the value
            # set here makes a run due even without tokens.
            outbox.home = order[0].node
            outbox.next_progress_at = 0.0
            for run in runs:
                run.n_reported_tokens = -1 - MIN_GROWTH_TOKENS
        now = self._clock.monotonic()
        due_runs = [run for run in runs if run.is_due]
        is_progress_due = bool(due_runs) and now >= outbox.next_progress_at
        if outbox.ended or outbox.adopted or is_progress_due:
            await self._send_batch(order[0], pool, outbox, due_runs, now)

    async def _send_batch(
        self, home: Member, pool: str, outbox: _Outbox, due_runs: list[_Run], now: float
    ) -> None:
        outbox.next_progress_at = now + PROGRESS_INTERVAL_SECONDS
        wants_reports = now >= outbox.next_reports_at
        ended, outbox.ended = outbox.ended, []
        adopted, outbox.adopted = outbox.adopted, []
        reported = [(run, run.n_tokens) for run in due_runs]
        body = self._make_body(
            pool,
            progress=tuple(
                (run.grant.grant_id, n_tokens) for run, n_tokens in reported
            ),
            ended=tuple(ended),
            adopted=tuple(self._make_adopted(adopted)),
            wants_reports=wants_reports,
        )
        answer = await self._deliver(home, pool, body)
        if answer is None or not answer.is_home:
            # The next batch goes to the home of that time. Progress is a total and
            # needs no retry, so only ends and adoptions are kept.
            outbox.ended = (ended + outbox.ended)[-MAX_UNSENT:]
            outbox.adopted += adopted
            return
        for run, n_tokens in reported:
            run.n_reported_tokens = n_tokens
        outbox.adopted += answer.unknown
        if wants_reports:
            outbox.next_reports_at = now + REPORTS_INTERVAL_SECONDS
            self._on_reports(answer.reports, answer.ages)

    def _make_body(
        self,
        pool: str,
        *,
        progress: tuple[tuple[str, int], ...] = (),
        ended: tuple[Ended, ...] = (),
        cancelled: tuple[str, ...] = (),
        adopted: tuple[Adopted, ...] = (),
        wants_reports: bool = False,
    ) -> ProgressBody:
        return ProgressBody(
            pool=pool,
            sender=self._nodes.me.node,
            progress=progress,
            ended=ended,
            cancelled=cancelled,
            adopted=adopted,
            wants_reports=wants_reports,
        )

    def _make_adopted(self, grant_ids: Sequence[str]) -> list[Adopted]:
        runs = [self._runs[name] for name in grant_ids if name in self._runs]
        return [
            Adopted(grant=run.grant, req=run.req, n_tokens=run.n_tokens) for run in runs
        ]

    async def _deliver(
        self, home: Member, pool: str, body: ProgressBody
    ) -> ProgressAnswer | None:
        if home.node != self._nodes.me.node:
            return await self._post(home.peer, body)
        own_home = self._homes.home_for(pool)
        return own_home.apply_batch(body) if own_home is not None else None

    async def _post(
        self, address: Address, batch: ProgressBody
    ) -> ProgressAnswer | None:
        body = msgspec.json.encode(batch)
        response = await self._client.request(
            address,
            "POST",
            PROGRESS_PATH,
            body=body,
            headers=self._keys.headers("POST", PROGRESS_PATH, body),
            deadline=self._clock.monotonic() + EXCHANGE_TIMEOUT_SECONDS,
        )
        if isinstance(response, Err) or response.ok_value.status != 200:
            return None
        decoded = decode_json(response.ok_value.body, ProgressAnswer)
        if isinstance(decoded, Err):
            log_message("nodes:bad_input", peer=str(address), problem=decoded.err_value)
            return None
        return decoded.ok_value

    def _outbox(self, pool: str) -> _Outbox:
        return self._outboxes.setdefault(pool, _Outbox())
