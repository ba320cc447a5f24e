"""The admitter that asks the pools' homes."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..http.client import HttpClient
from ..metrics import Metrics
from ..policies.grants import AdmitRequest, Admitter, GenerationEnd, Grant
from ..types import NotRun
from .alone import AloneChooser
from .batches import Batches, Outcome
from .homes import Homes, IsLeaving
from .homewire import ADMIT_PATH, AdmitAnswer, AdmitBody
from .member import Member
from .pools import Pool
from .rendezvous import rank
from .signing import PeerKeys
from .view import NodesView, Ranking

# Homes tried one after another before this node chooses by itself.
N_HOMES_TRIED = 3
# How long after the queue deadline a home's refusal is still waited for, in seconds.
MARGIN_SECONDS = 0.25
# Asking anew because the granted engine became known to leave meanwhile.
N_ASKINGS = 3
NO_ENGINE_RETRY_SECONDS = 2.0
LATE_RETRY_SECONDS = 1.0


class HomeAdmitter(Admitter):
    """Asks the home of a pool, the next in rank where that fails, else decides alone.

    Parameters
    ----------
    nodes : NodesView
        The live nodes.
    homes : Homes
        This node's own homes, asked without HTTP, and the pools.
    keys : PeerKeys
        Sign requests.
    client : HttpClient
        Makes them.
    clock : Clock
        Monotonic and wall time.
    rng : random.Random
        Chooses among a model's pools.
    metrics : Metrics
        Observes the time to a decision.
    alone : AloneChooser
        Decides where no home can be reached.
    is_leaving : callable
        Whether an engine is known to leave, by its name.
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
        alone: AloneChooser,
        is_leaving: IsLeaving = lambda engine: False,
    ) -> None:
        self._nodes = nodes
        self._homes = homes
        self._keys = keys
        self._client = client
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._alone = alone
        self._is_leaving = is_leaving
        self._ranking = Ranking(nodes=nodes)
        self._batches = Batches(
            nodes=nodes,
            ranking=self._ranking,
            homes=homes,
            keys=keys,
            client=client,
            clock=clock,
            take_reports=alone.take_reports,
        )
        self._waiting: set[asyncio.Event] = set()
        nodes.on_change(self._wake)

    async def start(self) -> None:
        """Begin to send batches."""
        await self._batches.start()

    async def stop(self) -> None:
        """Send a last batch and stop."""
        await self._batches.stop()

    async def admit(self, req: AdmitRequest) -> Result[Grant, NotRun]:
        """Wait for a grant, until the request's queue deadline at the latest."""
        started_at = self._clock.monotonic()
        answer = await self._ask_until_sound(req)
        self._metrics.observe("admission", self._clock.monotonic() - started_at)
        if not isinstance(answer, Err):
            self._alone.note(answer.ok_value, req)
        return answer

    def progress(self, grant: Grant, n_tokens: int) -> None:
        """Note how many tokens a granted generation has produced; cheap."""
        self._batches.progress(grant, n_tokens)

    def finish(self, grant: Grant, n_tokens: int, end: GenerationEnd) -> None:
        """Note that a granted generation has ended, which frees its place."""
        self._alone.finish(grant, n_tokens, end)
        self._batches.finish(grant, n_tokens, end)

    # Inside.

    async def _ask_until_sound(self, req: AdmitRequest) -> Result[Grant, NotRun]:
        for _ in range(N_ASKINGS):
            answer = await self._ask(req)
            if isinstance(answer, Err) or not self._is_leaving(answer.ok_value.engine):
                return answer
            # The home had not heard yet that the engine leaves; this node has. Taking
            # the grant would send new work to an endpoint that is known to go.
            grant = answer.ok_value
            self.finish(grant, 0, "not_run")
            req = replace(req, excluded=(*req.excluded, grant.engine))
        return Err(_no_engine(req))

    async def _ask(self, req: AdmitRequest) -> Result[Grant, NotRun]:
        pool = self._pool(req)
        if pool is None:
            return Err(_no_engine(req))
        order = self._ranking.order(pool.key, pool.region)
        tried: set[str] = set()
        while len(tried) < N_HOMES_TRIED:
            home = next((m for m in order if m.node not in tried), None)
            if home is None:
                break
            tried.add(home.node)
            answer = await self._ask_home(home, pool, req)
            if isinstance(answer, NotRun):
                return Err(answer)
            if answer is not None:
                self._batches.open(answer, pool.key, req)
                return Ok(answer)
            if self._clock.monotonic() >= req.queue_deadline:
                return Err(_late())
            # Who lives may have changed while the answer was waited for.
            order = self._ranking.order(pool.key, pool.region)
        return self._choose_alone(pool, req)

    def _choose_alone(self, pool: Pool, req: AdmitRequest) -> Result[Grant, NotRun]:
        log_message("admission:alone", pool=pool.key, request=req.request_id)
        grant = self._alone.choose(pool.engines, req, self._is_leaving)
        if grant is None:
            return Err(_no_engine(req))
        self._batches.open(grant, pool.key, req)
        return Ok(grant)

    def _pool(self, req: AdmitRequest) -> Pool | None:
        """Choose among the pools that serve the model, those of this region first."""
        pools = [pool for pool in self._homes.pools.values() if self._serves(pool, req)]
        mine = [pool for pool in pools if pool.region == self._nodes.me.region]
        choices = {pool.key: pool for pool in mine or pools}
        if not choices:
            return None
        if req.prefixes:
            # Requests that share a beginning meet at one shard, where it is cached.
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
        """Ask one home; None where it is lost or isn't the home."""
        if home.node == self._nodes.me.node:
            own = self._homes.admitting(pool.key)
            answer = await own.admit(req) if own is not None else AdmitAnswer()
            return answer.grant or answer.refusal
        task = asyncio.get_running_loop().create_task(self._exchange(home, pool, req))
        try:
            await self._until_gone(task, home)
        except asyncio.CancelledError:
            # The caller has gone. Closing the connection tells the home too, but not
            # where a link stalls, and a grant may be on its way already.
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

    async def _until_gone(self, task: asyncio.Task[Outcome], home: Member) -> None:
        """Wait for the answer, but not for a home that is no longer live.

        A home that is frozen or cut off closes no connection: without this the
        request would wait on it until its own deadline, and be refused with engines
        standing free.
        """
        changed = asyncio.Event()
        self._waiting.add(changed)
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
            self._waiting.discard(changed)

    async def _exchange(self, home: Member, pool: Pool, req: AdmitRequest) -> Outcome:
        body = msgspec.json.encode(
            AdmitBody(
                pool=pool.key,
                sender=self._nodes.me.node,
                req=req,
                sent_at=self._clock.wall(),
                queue_deadline_at=self._clock.wall_of_deadline(req.queue_deadline),
            )
        )
        answered = await self._client.request(
            home.peer,
            "POST",
            ADMIT_PATH,
            body=body,
            headers=self._keys.headers("POST", ADMIT_PATH, body),
            deadline=req.queue_deadline + MARGIN_SECONDS,
        )
        if isinstance(answered, Err) or answered.ok_value.status != 200:
            log_message("admission:home_lost", home=home.node, pool=pool.key)
            return None
        try:
            return msgspec.json.decode(answered.ok_value.body, type=AdmitAnswer)
        except msgspec.DecodeError as exc:
            self._metrics.count("bad_input", peer="node", problem="admit_answer")
            log_message("nodes:bad_input", peer=home.node, problem=str(exc))
            return None

    def _wake(self) -> None:
        for event in self._waiting:
            event.set()


def _no_engine(req: AdmitRequest) -> NotRun:
    return NotRun(
        reason="no_engine",
        detail=f"no engine serves {req.model} just now",
        retry_after=NO_ENGINE_RETRY_SECONDS,
    )


def _late() -> NotRun:
    return NotRun(
        reason="queue_deadline",
        detail="no engine had room in time",
        retry_after=LATE_RETRY_SECONDS,
    )
