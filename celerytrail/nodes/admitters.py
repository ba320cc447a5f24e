"""The admitter that requests grants from the pools' homes."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..decoding import decode_json
from ..http.client import HttpClient
from ..metrics import Metrics
from ..policies.grants import AdmitRequest, Admitter, GenerationEnd, Grant
from ..policies.rendezvous import rank
from ..supervision import Supervisor
from ..types import NotRun
from .batches import AdmitOutcome, ProgressBatcher
from .fallback import FallbackChooser
from .homes import Homes, IsLeaving
from .homewire import ADMIT_PATH, AdmitAnswer, AdmitBody
from .member import Member
from .pools import Pool
from .signing import PeerKeys
from .view import NodesView, Ranking

# Homes tried in order of rank before this node chooses an engine by itself.
MAX_HOMES_TRIED = 3
# Time after the queue deadline for which a home's refusal is awaited.
ANSWER_MARGIN_SECONDS = 0.25
# Attempts at a grant; another one follows when the granted engine is known to leave.
MAX_ATTEMPTS = 3
NO_ENGINE_RETRY_SECONDS = 2.0
LATE_RETRY_SECONDS = 1.0


class HomeAdmitter(Admitter):
    """Asks a pool's home, then the next in rank, and chooses by itself if none answers.

    Parameters
    ----------
    nodes : NodesView
        The live nodes.
    homes : Homes
        The pools and this node's own homes, which are called without HTTP.
    keys : PeerKeys
        Sign requests.
    client : HttpClient
        Sends requests.
    clock : Clock
        Monotonic and wall time.
    rng : random.Random
        Chooses among a model's pools.
    metrics : Metrics
        Observes the time to a decision.
    fallback : FallbackChooser
        Chooses an engine where no home can be reached.
    is_leaving : callable
        Returns whether the engine of a name is known to be leaving.
    supervisor : Supervisor or None
        Runs the sending of batches; one of its own by default.
    """

    def __init__(
        self,
        *,
        nodes: NodesView,
        homes: Homes,
        keys: PeerKeys,
        client: HttpClient,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        fallback: FallbackChooser,
        is_leaving: IsLeaving = lambda engine: False,
        supervisor: Supervisor | None = None,
    ) -> None:
        self._nodes = nodes
        self._homes = homes
        self._keys = keys
        self._client = client
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._fallback = fallback
        self._is_leaving = is_leaving
        self._ranking = Ranking(nodes=nodes)
        self._batches = ProgressBatcher(
            nodes=nodes,
            ranking=self._ranking,
            homes=homes,
            keys=keys,
            client=client,
            clock=clock,
            on_reports=fallback.on_reports,
            supervisor=supervisor or Supervisor(metrics=metrics),
        )
        self._change_events: set[asyncio.Event] = set()
        nodes.on_change(self._on_nodes_change)

    async def start(self) -> None:
        """Start sending batches."""
        await self._batches.start()

    async def stop(self) -> None:
        """Stop sending batches, after one last batch."""
        await self._batches.stop()

    async def admit(self, req: AdmitRequest) -> Result[Grant, NotRun]:
        """Wait for a grant, until the request's queue deadline at the latest."""
        started_at = self._clock.monotonic()
        answer = await self._ask_until_usable(req)
        self._metrics.observe("admission", self._clock.monotonic() - started_at)
        if not isinstance(answer, Err):
            self._fallback.record_grant(answer.ok_value, req)
        return answer

    def progress(self, grant: Grant, n_tokens: int) -> None:
        """Record how many tokens a granted generation has produced; cheap."""
        self._batches.progress(grant, n_tokens)

    def finish(self, grant: Grant, n_tokens: int, end: GenerationEnd) -> None:
        """Record that a granted generation has ended, which frees its place."""
        self._fallback.finish(grant, n_tokens, end)
        self._batches.finish(grant, n_tokens, end)

    async def _ask_until_usable(self, req: AdmitRequest) -> Result[Grant, NotRun]:
        for _ in range(MAX_ATTEMPTS):
            answer = await self._ask_homes(req)
            if isinstance(answer, Err) or not self._is_leaving(answer.ok_value.engine):
                return answer
            # This node knows that the engine leaves and the home doesn't yet. Using the
            # grant would send new work to an endpoint that is about to stop.
            grant = answer.ok_value
            self.finish(grant, 0, "not_run")
            req = replace(req, excluded=(*req.excluded, grant.engine))
        return Err(_refuse_no_engine(req))

    async def _ask_homes(self, req: AdmitRequest) -> Result[Grant, NotRun]:
        pool = self._choose_pool(req)
        if pool is None:
            return Err(_refuse_no_engine(req))
        order = self._ranking.ranked_nodes(pool.key, pool.region)
        tried: set[str] = set()
        while len(tried) < MAX_HOMES_TRIED:
            home = next((m for m in order if m.node not in tried), None)
            if home is None:
                break
            tried.add(home.node)
            answer = await self._ask_home(home, pool, req)
            if isinstance(answer, NotRun):
                return Err(answer)
            if answer is not None:
                self._batches.add_run(answer, pool.key, req)
                return Ok(answer)
            if self._clock.monotonic() >= req.queue_deadline:
                return Err(_refuse_late())
            # The live nodes may have changed during the wait for the answer.
            order = self._ranking.ranked_nodes(pool.key, pool.region)
        return self._choose_locally(pool, req)

    def _choose_locally(self, pool: Pool, req: AdmitRequest) -> Result[Grant, NotRun]:
        log_message("admission:alone", pool=pool.key, request=req.request_id)
        grant = self._fallback.choose(pool.engines, req, self._is_leaving)
        if grant is None:
            return Err(_refuse_no_engine(req))
        self._batches.add_run(grant, pool.key, req)
        return Ok(grant)

    def _choose_pool(self, req: AdmitRequest) -> Pool | None:
        """Choose among the pools that serve the model, preferring this region's."""
        pools = [pool for pool in self._homes.pools.values() if self._serves(pool, req)]
        local_pools = [pool for pool in pools if pool.region == self._nodes.me.region]
        choices = {pool.key: pool for pool in local_pools or pools}
        if not choices:
            return None
        if req.prefixes:
            # Requests with the same prefix go to the same shard, which has it cached.
            return choices[rank(req.prefixes[0], choices)[0]]
        return choices[self._rng.choice(sorted(choices))]

    def _serves(self, pool: Pool, req: AdmitRequest) -> bool:
        return pool.model == req.model and any(
            engine.role == "serve"
            and engine.name not in req.excluded
            and not self._is_leaving(engine.name)
            and (not req.adapter or req.adapter in engine.adapters)
            for engine in pool.engines
        )

    async def _ask_home(
        self, home: Member, pool: Pool, req: AdmitRequest
    ) -> Grant | NotRun | None:
        """Ask one home; return None if it is unreachable or isn't the home."""
        if home.node == self._nodes.me.node:
            own_home = self._homes.home_for(pool.key)
            answer = (
                await own_home.admit(req) if own_home is not None else AdmitAnswer()
            )
            return answer.grant or answer.refusal
        task = asyncio.get_running_loop().create_task(self._exchange(home, pool, req))
        try:
            await self._wait_while_live(task, home)
        except asyncio.CancelledError:
            # The caller has disconnected. The home also notices the closed connection,
            # except on a stalled link or when it has already sent the grant.
            self._batches.cancel(pool.key, home, req.request_id)
            raise
        finally:
            task.cancel()
            await asyncio.wait([task])
        outcome = None if task.cancelled() else task.result()
        if outcome is None:
            self._batches.cancel(pool.key, home, req.request_id)
            return None
        return outcome.grant or outcome.refusal

    async def _wait_while_live(
        self, task: asyncio.Task[AdmitOutcome], home: Member
    ) -> None:
        """Wait for the answer as long as the home is live.

        A home that is frozen or partitioned closes no connection. Without this check
        the request would wait for it until its own deadline and be refused while
        engines are free.
        """
        changed = asyncio.Event()
        self._change_events.add(changed)
        try:
            while not task.done():
                waiter = asyncio.ensure_future(changed.wait())
                try:
                    await asyncio.wait(
                        [task, waiter], return_when=asyncio.FIRST_COMPLETED
                    )
                finally:
                    waiter.cancel()
                changed.clear()
                if home.node not in {member.node for member in self._nodes.live()}:
                    return
        finally:
            self._change_events.discard(changed)

    async def _exchange(
        self, home: Member, pool: Pool, req: AdmitRequest
    ) -> AdmitOutcome:
        body = msgspec.json.encode(
            AdmitBody(
                pool=pool.key,
                sender=self._nodes.me.node,
                req=req,
                sent_at=self._clock.wall(),
                queue_deadline_at=self._clock.wall_of_deadline(req.queue_deadline),
            )
        )
        response = await self._client.request(
            home.peer,
            "POST",
            ADMIT_PATH,
            body=body,
            headers=self._keys.headers("POST", ADMIT_PATH, body),
            deadline=req.queue_deadline + ANSWER_MARGIN_SECONDS,
        )
        if isinstance(response, Err) or response.ok_value.status != 200:
            log_message("admission:home_lost", home=home.node, pool=pool.key)
            return None
        decoded = decode_json(response.ok_value.body, AdmitAnswer)
        if isinstance(decoded, Err):
            self._metrics.count("bad_input", peer="node", problem="admit_answer")
            log_message("nodes:bad_input", peer=home.node, problem=decoded.err_value)
            return None
        return decoded.ok_value

    def _on_nodes_change(self) -> None:
        for event in self._change_events:
            event.set()


def _refuse_no_engine(req: AdmitRequest) -> NotRun:
    return NotRun(
        reason="no_engine",
        detail=f"no engine serves {req.model} just now",
        retry_after=NO_ENGINE_RETRY_SECONDS,
    )


def _refuse_late() -> NotRun:
    return NotRun(
        reason="queue_deadline",
        detail="no engine had room in time",
        retry_after=LATE_RETRY_SECONDS,
    )
