"""Pools whose home this node is, and the routes for the requests of entry nodes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any, TypeVar

from eliot import log_message
from result import Ok

from ..clock import Clock
from ..configuration.current import Configuration
from ..configuration.document import EngineSpec
from ..decoding import decode_json
from ..engines.client import EngineClient
from ..http.messages import Request
from ..http.routes import Params, Router, send_error
from ..http.server import Responder
from ..metrics import Metrics
from ..policies.grants import AdmitRequest
from ..policies.loadreports import TimestampedReport
from ..supervision import Supervisor
from .exchange import refuse_signature
from .homewire import (
    ADMIT_PATH,
    PROGRESS_PATH,
    AdmitAnswer,
    AdmitBody,
    ProgressAnswer,
    ProgressBody,
)
from .poolhome import OnLeavingChange, PoolHome
from .pools import Pool, pools_of
from .signing import PeerKeys
from .view import NodesView, Ranking

# A node acts as home where it ranks first or second in its own view. An entry node that
# can't reach the first asks the second, which may not have detected the failure yet. If
# the second refused, there would be no home for the seconds until the views agree.
N_ELIGIBLE_HOMES = 2
IDLE_HOME_SECONDS = 30.0
SWEEP_INTERVAL_SECONDS = 5.0

T = TypeVar("T")
IsLeaving = Callable[[str], bool]


class Homes:
    """Runs a `PoolHome` for each pool that this node ranks first for.

    Parameters
    ----------
    nodes : NodesView
        The live nodes.
    keys : PeerKeys
        Verify the signatures of requests.
    configuration : Configuration
        Lists the engines.
    client : EngineClient
        Polls the engines.
    clock : Clock
        Monotonic and wall time.
    rng : random.Random
        Passed to the pools' schedulers.
    metrics : Metrics
        Counts bad input.
    is_leaving : callable
        Returns whether the engine of a name is known to be leaving.
    on_leaving_change : callable
        Called with an engine's name and its time of leaving when it reports that it
        leaves, and with None instead of the time when it reports that it stays.
    supervisor : Supervisor or None
        Runs the polls of engines; one of its own by default.
    """

    def __init__(
        self,
        *,
        nodes: NodesView,
        keys: PeerKeys,
        configuration: Configuration,
        client: EngineClient,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        is_leaving: IsLeaving = lambda engine: False,
        on_leaving_change: OnLeavingChange = lambda engine, at: None,
        supervisor: Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or Supervisor(metrics=metrics)
        self._nodes = nodes
        self._keys = keys
        self._configuration = configuration
        self._client = client
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._is_leaving = is_leaving
        self._on_leaving_change = on_leaving_change
        self._ranking = Ranking(nodes=nodes)
        self._homes: dict[str, PoolHome] = {}
        self._led_pools: set[str] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._is_started = False
        self._is_refresh_scheduled = False
        self._document_version = -1
        self.pools: dict[str, Pool] = {}

    def add_routes(self, router: Router) -> None:
        """Add the routes for admission requests and progress batches."""
        router.add("POST", ADMIT_PATH, self._on_admit)
        router.add("POST", PROGRESS_PATH, self._on_progress)

    async def start(self) -> None:
        """Open the homes of this node's pools, now and after each change."""
        self._is_started = True
        self._configuration.subscribe(lambda document: self._schedule_refresh())
        self._nodes.on_change(self._schedule_refresh)
        self._sweep()

    async def stop(self) -> None:
        """Close all homes and send their waiting requests to other homes."""
        self._is_started = False
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for home in self._homes.values():
            home.close()
        self._homes.clear()

    def refresh(self) -> None:
        """Update the homes to the document, the live nodes and the leaving engines.

        Callers invoke it when an engine becomes known to leave. Changes of the document
        and of the live nodes trigger it automatically.
        """
        self._is_refresh_scheduled = False
        if not self._is_started:
            return
        self._apply_document()
        me = self._nodes.me.node
        led_pools = set()
        for key, pool in self.pools.items():
            order = self._ranking.ranked_nodes(key, pool.region)
            if order and order[0].node == me:
                led_pools.add(key)
                self._open_home(pool)
        for key in list(self._homes):
            if key not in self.pools:
                self._homes.pop(key).close()
            elif key in self._led_pools - led_pools:
                # Another home has taken over. Requests that stay in this queue would
                # compete with those in the other, so they move there at once.
                log_message("homes:released", pool=key)
                self._homes[key].release()
        self._led_pools = led_pools
        for key, home in self._homes.items():
            home.set_engines(self._engine_specs(self.pools[key]))

    def reports(self) -> dict[str, TimestampedReport]:
        """Return the last report of each engine in pools whose home this node is."""
        return {
            name: TimestampedReport(report=view.report, at=view.reported_at)
            for key in self._led_pools & self._homes.keys()
            for name, view in self._homes[key].scheduler.tracker.views.items()
            if view.report is not None
        }

    def describe(self) -> dict[str, object]:
        """Return the queues and engines of this node's homes for the status page."""
        pools = {}
        for key, home in self._homes.items():
            engines = {
                name: {
                    "n_granted": len(view.running),
                    "n_used_tokens": view.report.n_used_tokens if view.report else None,
                    "n_preemptions": view.report.n_preemptions if view.report else None,
                    "role": view.spec.role,
                }
                for name, view in home.scheduler.tracker.views.items()
            }
            pools[key] = {
                "is_led_here": key in self._led_pools,
                "n_waiting": home.scheduler.n_waiting,
                "engines": engines,
            }
        return {"pools": pools}

    def home_for(self, pool_key: str) -> PoolHome | None:
        """Return the home of a pool, None where this node may not act as its home."""
        pool = self.pools.get(pool_key)
        if pool is None or not self._is_started:
            return None
        order = self._ranking.ranked_nodes(pool_key, pool.region)
        me = self._nodes.me.node
        if me not in [member.node for member in order[:N_ELIGIBLE_HOMES]]:
            return None
        return self._open_home(pool)

    def _schedule_refresh(self) -> None:
        """Schedule one refresh for all changes of the current event loop step.

        The loss of a failure domain arrives as dozens of changes in one datagram. A
        refresh takes 10 ms; one for each change would stall token streams for a second.
        """
        if not self._is_refresh_scheduled:
            self._is_refresh_scheduled = True
            asyncio.get_running_loop().call_soon(self.refresh)

    def _apply_document(self) -> None:
        current = self._configuration.current
        if current.version != self._document_version:
            self._document_version = current.version
            self.pools = pools_of(current.document)

    def _open_home(self, pool: Pool) -> PoolHome:
        home = self._homes.get(pool.key)
        if home is None:
            log_message("homes:opened", pool=pool.key)
            home = PoolHome(
                pool=pool,
                node=self._nodes.me.node,
                client=self._client,
                clock=self._clock,
                rng=self._rng,
                metrics=self._metrics,
                on_leaving_change=self._on_leaving_change,
                supervisor=self._supervisor,
            )
            self._homes[pool.key] = home
            home.set_engines(self._engine_specs(pool))
        return home

    def _engine_specs(self, pool: Pool) -> list[EngineSpec]:
        return [
            replace(engine, role="drain") if self._is_leaving(engine.name) else engine
            for engine in pool.engines
        ]

    def _sweep(self) -> None:
        """Close unused homes of pools that have another home, then refresh all."""
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)
        now = self._clock.monotonic()
        for key, home in list(self._homes.items()):
            is_unused = home.is_idle and now - home.used_at > IDLE_HOME_SECONDS
            if key not in self._led_pools and is_unused:
                self._homes.pop(key).close()
        self.refresh()

    async def _on_admit(self, req: Request, res: Responder, _: Params) -> None:
        body = await self._decode_body(req, res, AdmitBody)
        if body is None:
            return
        home = self.home_for(body.pool)
        if home is None:
            await res.send_json(200, AdmitAnswer())
            return
        wait_seconds = max(0.0, body.queue_deadline_at - body.sent_at)
        local_req = replace(
            body.req, queue_deadline=self._clock.monotonic() + wait_seconds
        )
        answer = await _admit_unless_disconnected(home, local_req, res)
        if answer is not None:
            await res.send_json(200, answer)

    async def _on_progress(self, req: Request, res: Responder, _: Params) -> None:
        body = await self._decode_body(req, res, ProgressBody)
        if body is None:
            return
        home = self.home_for(body.pool) or self._homes.get(body.pool)
        if home is None:
            await res.send_json(200, ProgressAnswer(is_home=False))
            return
        await res.send_json(200, home.apply_batch(body))

    async def _decode_body(
        self, req: Request, res: Responder, body_type: type[T]
    ) -> T | None:
        if not self._keys.accepts(req):
            await refuse_signature(res, self._metrics)
            return None
        decoded = decode_json(req.body, body_type)
        if isinstance(decoded, Ok):
            return decoded.ok_value
        problem = decoded.err_value
        self._metrics.count("bad_input", peer="node", problem="body")
        log_message("nodes:bad_input", peer=req.peer, problem=problem)
        await send_error(
            res, 400, "bad_body", place=f"body of {req.path}", message=problem
        )
        return None


async def _admit_unless_disconnected(
    home: PoolHome, req: AdmitRequest, res: Responder
) -> AdmitAnswer | None:
    """Wait for the decision; leave the queue when the entry node disconnects."""
    task = asyncio.get_running_loop().create_task(home.admit(req))
    try:
        awaited: list[asyncio.Future[Any]] = [task, res.lost]
        await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait([task])
    if task.cancelled():
        return None
    return task.result()
