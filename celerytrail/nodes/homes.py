"""The pools whose home this node is, and the routes by which entry nodes ask it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any, TypeVar

import msgspec
from eliot import log_message

from ..clock import Clock
from ..configuration.current import Configuration
from ..configuration.document import EngineSpec
from ..engines.client import EngineClient
from ..http.messages import Request
from ..http.routes import Params, Router, send_error
from ..http.server import Responder
from ..metrics import Metrics
from ..policies.grants import AdmitRequest
from ..policies.reports import SeenReport
from .exchange import refuse_signature
from .homewire import (
    ADMIT_PATH,
    PROGRESS_PATH,
    AdmitAnswer,
    AdmitBody,
    ProgressAnswer,
    ProgressBody,
)
from .poolhome import LeavingNews, PoolHome
from .pools import Pool, pools_of
from .signing import PeerKeys
from .view import NodesView, Ranking

# A node serves as home where it is first or second in its own view. An entry node that
# has just lost the first asks the second, which may not have noticed yet; were it
# refused, it would have no home for the seconds until all agree.
N_ACCEPTING = 2
IDLE_SECONDS = 30.0
SWEEP_SECONDS = 5.0

T = TypeVar("T")
IsLeaving = Callable[[str], bool]


class Homes:
    """Runs a `PoolHome` for each pool that falls to this node.

    Parameters
    ----------
    nodes : NodesView
        The live nodes.
    keys : PeerKeys
        Check requests.
    configuration : Configuration
        Names the engines.
    client : EngineClient
        Polls them.
    clock : Clock
        Monotonic and wall time.
    rng : random.Random
        Handed on to the pools' schedulers.
    metrics : Metrics
        Counts bad input.
    is_leaving : callable
        Whether an engine is known to leave, by its name.
    tell_leaving : callable
        Called with an engine's name and time when it reports that it leaves, and with
        None when it takes that back.
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
        tell_leaving: LeavingNews = lambda engine, at: None,
    ) -> None:
        self._nodes = nodes
        self._keys = keys
        self._configuration = configuration
        self._client = client
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._is_leaving = is_leaving
        self._tell_leaving = tell_leaving
        self._ranking = Ranking(nodes=nodes)
        self._homes: dict[str, PoolHome] = {}
        self._led: set[str] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._is_started = False
        self._is_refresh_due = False
        self._version = -1
        self.pools: dict[str, Pool] = {}

    def add_routes(self, router: Router) -> None:
        """Add the routes by which entry nodes ask."""
        router.add("POST", ADMIT_PATH, self._admit)
        router.add("POST", PROGRESS_PATH, self._progress)

    async def start(self) -> None:
        """Take up the pools that fall to this node, now and with each change."""
        self._is_started = True
        self._configuration.subscribe(lambda document: self._refresh_soon())
        self._nodes.on_change(self._refresh_soon)
        self._sweep()

    async def stop(self) -> None:
        """Hand all who wait to other homes."""
        self._is_started = False
        if self._timer is not None:
            self._timer.cancel()
        for home in self._homes.values():
            home.close()
        self._homes.clear()

    def refresh(self) -> None:
        """Bring the homes in step with the document, the nodes and who leaves.

        To be called when an engine becomes known to leave; the rest calls it itself.
        """
        self._is_refresh_due = False
        if not self._is_started:
            return
        self._take_document()
        me = self._nodes.me.node
        led = set()
        for key, pool in self.pools.items():
            order = self._ranking.order(key, pool.region)
            if order and order[0].node == me:
                led.add(key)
                self._open(pool)
        for key in list(self._homes):
            if key not in self.pools:
                self._homes.pop(key).close()
            elif key in self._led - led:
                # A new home has taken over. Those who wait here would be served by
                # the leavings of two queues; they move on to the new one at once.
                log_message("homes:released", pool=key)
                self._homes[key].release()
        self._led = led
        for key, home in self._homes.items():
            home.set_engines(self._specs(self.pools[key]))

    def reports(self) -> dict[str, SeenReport]:
        """Return the last report of each engine of the pools that this node leads."""
        return {
            name: SeenReport(report=view.report, at=view.reported_at)
            for key in self._led & self._homes.keys()
            for name, view in self._homes[key].scheduler.book.views.items()
            if view.report is not None
        }

    def describe(self) -> dict[str, object]:
        """Return the queues and engines of this node's homes, for operators."""
        pools = {}
        for key, home in self._homes.items():
            engines = {
                name: {
                    "n_granted": len(view.running),
                    "n_used_tokens": view.report.n_used_tokens if view.report else None,
                    "n_preemptions": view.report.n_preemptions if view.report else None,
                    "role": view.spec.role,
                }
                for name, view in home.scheduler.book.views.items()
            }
            pools[key] = {
                "is_led_here": key in self._led,
                "n_waiting": home.scheduler.n_waiting,
                "engines": engines,
            }
        return {"pools": pools}

    def admitting(self, pool: str) -> PoolHome | None:
        """Return the home of a pool where this node may act as it."""
        known = self.pools.get(pool)
        if known is None or not self._is_started:
            return None
        order = self._ranking.order(pool, known.region)
        me = self._nodes.me.node
        if me not in [member.node for member in order[:N_ACCEPTING]]:
            return None
        return self._open(known)

    # Inside.

    def _refresh_soon(self) -> None:
        """Refresh once for all changes of this moment.

        A lost failure domain comes as dozens of changes in one datagram. At 10 ms for
        each, tokens would stand still for a second.
        """
        if not self._is_refresh_due:
            self._is_refresh_due = True
            asyncio.get_running_loop().call_soon(self.refresh)

    def _take_document(self) -> None:
        current = self._configuration.current
        if current.version != self._version:
            self._version = current.version
            self.pools = pools_of(current.document)

    def _open(self, pool: Pool) -> PoolHome:
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
                tell_leaving=self._tell_leaving,
            )
            self._homes[pool.key] = home
            home.set_engines(self._specs(pool))
        return home

    def _specs(self, pool: Pool) -> list[EngineSpec]:
        return [
            replace(engine, role="drain") if self._is_leaving(engine.name) else engine
            for engine in pool.engines
        ]

    def _sweep(self) -> None:
        """Close homes that nobody uses and that others lead; look at all again."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SWEEP_SECONDS, self._sweep)
        now = self._clock.monotonic()
        for key, home in list(self._homes.items()):
            is_unused = home.is_idle and now - home.used_at > IDLE_SECONDS
            if key not in self._led and is_unused:
                self._homes.pop(key).close()
        self.refresh()

    async def _admit(self, req: Request, res: Responder, _: Params) -> None:
        body = await self._read(req, res, AdmitBody)
        if body is None:
            return
        home = self.admitting(body.pool)
        if home is None:
            await res.send_json(200, AdmitAnswer())
            return
        patience = max(0.0, body.queue_deadline_at - body.sent_at)
        asked = replace(body.req, queue_deadline=self._clock.monotonic() + patience)
        answer = await _unless_lost(home, asked, res)
        if answer is not None:
            await res.send_json(200, answer)

    async def _progress(self, req: Request, res: Responder, _: Params) -> None:
        body = await self._read(req, res, ProgressBody)
        if body is None:
            return
        home = self.admitting(body.pool) or self._homes.get(body.pool)
        if home is None:
            await res.send_json(200, ProgressAnswer(is_home=False))
            return
        await res.send_json(200, home.take(body))

    async def _read(self, req: Request, res: Responder, kind: type[T]) -> T | None:
        if not self._keys.accepts(req):
            await refuse_signature(res, self._metrics)
            return None
        try:
            return msgspec.json.decode(req.body, type=kind)
        except msgspec.DecodeError as exc:
            self._metrics.count("bad_input", peer="node", problem="body")
            log_message("nodes:bad_input", peer=req.peer, problem=str(exc))
            await send_error(
                res, 400, "bad_body", place=f"body of {req.path}", message=str(exc)
            )
            return None


async def _unless_lost(
    home: PoolHome, req: AdmitRequest, res: Responder
) -> AdmitAnswer | None:
    """Wait for the decision; give up the place when the entry node has gone."""
    task = asyncio.get_running_loop().create_task(home.admit(req))
    try:
        both: list[asyncio.Future[Any]] = [task, res.lost]
        await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait([task])
    if task.cancelled():
        return None
    return task.result()
