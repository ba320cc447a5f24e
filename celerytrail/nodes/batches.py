"""Batches of progress and ends, from an entry node to its pools' homes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec
from eliot import log_message
from result import Err

from ..clock import Clock
from ..http.client import HttpClient
from ..policies.grants import AdmitRequest, GenerationEnd, Grant
from ..policies.reports import EngineReport
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

Outcome = AdmitAnswer | None

FLUSH_SECONDS = 0.25
EXCHANGE_SECONDS = 1.0
# Progress goes with ends, and by itself this often, in seconds.
PROGRESS_SECONDS = 1.0
# A generation's progress is told again once it has grown by this much.
GROWTH = 1.5
MIN_GROWTH_TOKENS = 8
# Reports for deciding alone are asked for this often, in seconds: at each batch they
# would cost 1 KB for a pool of 16 engines.
REPORTS_SECONDS = 5.0
# Ends that no home took are kept up to so many; homes drop silent grants themselves.
MAX_KEPT = 2_000


@dataclass(kw_only=True, slots=True)
class _Run:
    grant: Grant
    req: AdmitRequest
    pool: str
    n_tokens: int = 0
    n_told_tokens: int = -1

    @property
    def is_due(self) -> bool:
        """Return whether the home should hear how far it is.

        Homes learn the same from the engines' reports, only later. Told at every
        batch, the progress of a hundred streams alone would take more than a node's
        whole allowance for control.
        """
        return self.n_tokens > GROWTH * self.n_told_tokens + MIN_GROWTH_TOKENS


@dataclass(kw_only=True, slots=True)
class _Outbox:
    ended: list[Ended] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    adopted: list[str] = field(default_factory=list)
    reports_at: float = 0.0
    progress_at: float = 0.0
    home: str = ""


class Batches:
    """Collects what became of this node's generations, and tells the homes.

    Parameters
    ----------
    nodes : NodesView
        The live nodes.
    ranking : Ranking
        Their order for each pool.
    homes : Homes
        This node's own homes, told without HTTP, and the pools.
    keys : PeerKeys
        Sign requests.
    client : HttpClient
        Makes them.
    clock : Clock
        Monotonic time.
    take_reports : callable
        Called with the engines' reports and their ages in seconds.
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
        take_reports: Callable[[Sequence[EngineReport], Sequence[float]], None],
    ) -> None:
        self._nodes = nodes
        self._ranking = ranking
        self._homes = homes
        self._keys = keys
        self._client = client
        self._clock = clock
        self._take_reports = take_reports
        self._runs: dict[str, _Run] = {}
        self._outboxes: dict[str, _Outbox] = {}
        self._former: list[tuple[Address, str, str]] = []
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to send."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop, after one last batch."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])
            self._task = None
        await self.flush()

    def open(self, grant: Grant, pool: str, req: AdmitRequest) -> None:
        """Note a generation that was let in."""
        self._runs[grant.grant_id] = _Run(grant=grant, req=req, pool=pool)

    def progress(self, grant: Grant, n_tokens: int) -> None:
        """Note how many tokens it has produced."""
        run = self._runs.get(grant.grant_id)
        if run is not None:
            run.n_tokens = n_tokens

    def finish(self, grant: Grant, n_tokens: int, end: GenerationEnd) -> None:
        """Note that it has ended."""
        run = self._runs.pop(grant.grant_id, None)
        if run is None:
            return
        outbox = self._outbox(run.pool)
        ended = Ended(grant_id=grant.grant_id, n_tokens=n_tokens, end=end)
        outbox.ended.append(ended)

    def cancel(self, pool: str, home: Member, request_id: str) -> None:
        """Note that a request is no longer asked of a home."""
        del self._former[: max(0, len(self._former) - MAX_KEPT)]
        self._former.append((home.peer, pool, request_id))

    async def flush(self) -> None:
        """Send what has gathered to each pool's home."""
        await self._flush_cancelled()
        pools = {run.pool for run in self._runs.values()} | self._outboxes.keys()
        if pools:
            await asyncio.gather(*(self._flush_pool(pool) for pool in sorted(pools)))

    # Inside.

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            try:
                await self.flush()
            except Exception as exc:
                # A fault here must not end the batches for good: homes would take
                # every grant for lost and let in more than the engines hold.
                log_message("batches:failed", problem=repr(exc))

    async def _flush_cancelled(self) -> None:
        former, self._former = self._former, []
        by_home: dict[tuple[Address, str], list[str]] = {}
        for address, pool, request_id in former:
            by_home.setdefault((address, pool), []).append(request_id)
        bodies = [
            self._post(address, self._body(pool, cancelled=tuple(request_ids)))
            for (address, pool), request_ids in by_home.items()
        ]
        if bodies:
            await asyncio.gather(*bodies)

    async def _flush_pool(self, pool: str) -> None:
        outbox = self._outbox(pool)
        known = self._homes.pools.get(pool)
        order = self._ranking.order(pool, known.region) if known is not None else []
        runs = [run for run in self._runs.values() if run.pool == pool]
        if known is None or (not runs and not outbox.ended):
            # Nothing runs there, or the document no longer has the pool and nobody
            # counts its places.
            del self._outboxes[pool]
            return
        if not order:
            return
        if order[0].node != outbox.home:
            # A new home knows nothing, and is told of all that runs.
            outbox.home = order[0].node
            outbox.progress_at = 0.0
            for run in runs:
                run.n_told_tokens = -1 - MIN_GROWTH_TOKENS
        now = self._clock.monotonic()
        due = [run for run in runs if run.is_due]
        is_progress_due = bool(due) and now >= outbox.progress_at
        if outbox.ended or outbox.adopted or is_progress_due:
            await self._send_batch(order[0], pool, outbox, due, now)

    async def _send_batch(
        self, home: Member, pool: str, outbox: _Outbox, due: list[_Run], now: float
    ) -> None:
        outbox.progress_at = now + PROGRESS_SECONDS
        wants_reports = now >= outbox.reports_at
        ended, outbox.ended = outbox.ended, []
        adopted, outbox.adopted = outbox.adopted, []
        told = [(run, run.n_tokens) for run in due]
        body = self._body(
            pool,
            progress=tuple((run.grant.grant_id, n_tokens) for run, n_tokens in told),
            ended=tuple(ended),
            adopted=tuple(self._adopted(adopted)),
            wants_reports=wants_reports,
        )
        answer = await self._tell(home, pool, body)
        if answer is None or not answer.is_home:
            # Whoever is home by the next batch gets it; progress is a total, so
            # only ends have to be kept.
            outbox.ended = (ended + outbox.ended)[-MAX_KEPT:]
            outbox.adopted += adopted
            return
        for run, n_tokens in told:
            run.n_told_tokens = n_tokens
        outbox.adopted += answer.unknown
        if wants_reports:
            outbox.reports_at = now + REPORTS_SECONDS
            self._take_reports(answer.reports, answer.ages)

    def _body(
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

    def _adopted(self, grant_ids: Sequence[str]) -> list[Adopted]:
        runs = [self._runs[name] for name in grant_ids if name in self._runs]
        return [
            Adopted(grant=run.grant, req=run.req, n_tokens=run.n_tokens) for run in runs
        ]

    async def _tell(
        self, home: Member, pool: str, body: ProgressBody
    ) -> ProgressAnswer | None:
        if home.node != self._nodes.me.node:
            return await self._post(home.peer, body)
        own = self._homes.admitting(pool)
        return own.take(body) if own is not None else None

    async def _post(
        self, address: Address, value: ProgressBody
    ) -> ProgressAnswer | None:
        body = msgspec.json.encode(value)
        answered = await self._client.request(
            address,
            "POST",
            PROGRESS_PATH,
            body=body,
            headers=self._keys.headers("POST", PROGRESS_PATH, body),
            deadline=self._clock.monotonic() + EXCHANGE_SECONDS,
        )
        if isinstance(answered, Err) or answered.ok_value.status != 200:
            return None
        try:
            return msgspec.json.decode(answered.ok_value.body, type=ProgressAnswer)
        except msgspec.DecodeError as exc:
            log_message("nodes:bad_input", peer=str(address), problem=str(exc))
            return None

    def _outbox(self, pool: str) -> _Outbox:
        return self._outboxes.setdefault(pool, _Outbox())
