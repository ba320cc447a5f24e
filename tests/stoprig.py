"""Plays the planned stop of a node, in virtual time, with callers that keep coming."""

from __future__ import annotations

import asyncio
import enum
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Ok

from celerytrail.http.messages import Request, Response
from celerytrail.http.server import Responder
from standins.worker import PlainWorker

from .limitrig import EndpointFleet, now, run_endpoint_fleet
from .relayrig import HOST, KEY

GRACE_SECONDS = 8.0
# Between two requests, and how many a play sends: they come until the kill.
PERIOD_SECONDS = 0.2
N_REQUESTS = 40
# Requests that are answered before the stop.
N_BEFORE = 12
# Enough repeats for all requests.
RETRY_SLACK = 100.0


class TimedWorker(PlainWorker):
    """Takes as long for an answer as a function of the request's path says.

    If ``refuses_after`` is set, it refuses each request after that time, in seconds.
    """

    seconds_of: Callable[[str], float]
    refuses_after: float | None = None

    async def _run(self, req: Request, res: Responder, attempt_id: str) -> None:
        if self.refuses_after is not None:
            await asyncio.sleep(self.refuses_after)
            headers = {**self._headers(attempt_id), "x-not-executed": ""}
            await res.send(503, headers=headers)
            return
        await asyncio.sleep(self.seconds_of(req.path))
        await self._answer(req, res, attempt_id)


class Fate(enum.Enum):
    """What came of a caller's request."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    CUT = "cut"
    UNREAD = "unread"


@dataclass(frozen=True, kw_only=True)
class Sent:
    """A request to a node that stops; times are in seconds since the stop."""

    attempt: str
    sent_at: float
    ended_at: float
    fate: Fate
    res: Response | None
    needs_seconds: float

    @property
    def can_end(self) -> bool:
        """Return whether it ends before the kill if it is sent on at once."""
        return self.sent_at + self.needs_seconds < GRACE_SECONDS


@dataclass(kw_only=True)
class StopPlay:
    """Stops the first of some nodes, to which callers send requests until its kill.

    Parameters
    ----------
    seconds_of : callable
        Returns how long the answer to a path takes, in seconds.
    routes : tuple of str
        The routes of the requests, in turn.
    n_nodes : int
        The nodes.
    n_before : int
        Requests that are answered before the stop.
    begins_at : float
        When the first request of the stop is sent, in seconds since it began.
    prepare : callable
        Called with the endpoints before the stop begins.
    is_fresh : bool
        Whether each request comes on a new connection.
    seed : int
        The fleet's seed.
    """

    seconds_of: Callable[[str], float]
    routes: tuple[str, ...] = ("file",)
    n_nodes: int = 2
    n_before: int = N_BEFORE
    begins_at: float = 0.0
    prepare: Callable[[list[TimedWorker]], None] = lambda _: None
    is_fresh: bool = True
    seed: int = 1
    sent: list[Sent] = field(default_factory=list)
    workers: list[TimedWorker] = field(default_factory=list)
    _n_sent: int = 0

    def run(self) -> Counter[Fate]:
        """Run the play; return how many requests met each fate."""
        run_endpoint_fleet(
            self.n_nodes, self._steps, self.seed, retry_slack=RETRY_SLACK
        )
        return Counter(one.fate for one in self.sent)

    def n_runs(self, attempt: str) -> int:
        """Return how often a request reached an endpoint."""
        return sum(
            one.attempt_id == attempt for worker in self.workers for one in worker.seen
        )

    def of(self, fate: Fate) -> list[Sent]:
        """Return the requests that met a fate."""
        return [one for one in self.sent if one.fate is fate]

    async def add_workers(self, rig: EndpointFleet) -> None:
        """Start the endpoints."""
        for number in range(2):
            name = f"d{number}"
            worker = TimedWorker(
                worker_id=name, network=rig.fleet.wires.network_of(name)
            )
            worker.seconds_of = self.seconds_of
            await worker.start()
            self.workers.append(worker)
            rig.fleet.store.put("servers", name, worker.row("desk"))
        await asyncio.sleep(1.0)

    async def _steps(self, rig: EndpointFleet) -> None:
        await self.add_workers(rig)
        before = [self._send(rig, 0.0) for _ in range(self.n_before)]
        await asyncio.gather(*before)
        assert all(one.fate is Fate.SERVED for one in self.sent)
        self.sent.clear()
        node = rig.fleet.nodes[0]
        self.prepare(self.workers)
        stopped_at = now()
        stop = asyncio.ensure_future(node.stop())
        sending = asyncio.ensure_future(self.send_all(rig, stopped_at))
        await asyncio.sleep(stopped_at + GRACE_SECONDS - now())
        rig.fleet.wires.kill("vm-0")
        await sending
        stop.cancel()
        for worker in self.workers:
            await worker.close()

    async def send_all(self, rig: EndpointFleet, stopped_at: float) -> None:
        """Send the requests of the stop, and wait for their ends."""
        callers = []
        for number in range(N_REQUESTS):
            after_seconds = self.begins_at + number * PERIOD_SECONDS
            if after_seconds >= GRACE_SECONDS:
                break
            await asyncio.sleep(stopped_at + after_seconds - now())
            callers.append(asyncio.ensure_future(self._send(rig, stopped_at)))
        await asyncio.gather(*callers)

    async def _send(self, rig: EndpointFleet, stopped_at: float) -> None:
        number = self._n_sent
        self._n_sent += 1
        route = self.routes[number % len(self.routes)]
        path = f"/{route}/{self.seed}-{number}"
        attempt = f"stop-{number}"
        address = rig.fleet.nodes[0].cfg.callers
        assert address is not None
        sent_at = now()
        answered = await rig.fleet.client.request(
            address,
            "POST",
            path,
            headers={
                "host": HOST,
                "authorization": f"Bearer {KEY}",
                "x-attempt-id": attempt,
                "x-time-budget-ms": "15000",
            },
            deadline=sent_at + 20.0,
            fresh=self.is_fresh,
        )
        res = answered.ok_value if isinstance(answered, Ok) else None
        self.sent.append(
            Sent(
                attempt=attempt,
                sent_at=sent_at - stopped_at,
                ended_at=now() - stopped_at,
                fate=self._fate(res, attempt),
                res=res,
                needs_seconds=self.seconds_of(path),
            )
        )

    def _fate(self, res: Response | None, attempt: str) -> Fate:
        if res is None:
            return Fate.CUT if self.n_runs(attempt) else Fate.UNREAD
        if res.status == 200:
            return Fate.SERVED
        return Fate.REFUSED if res.status == 503 else Fate.FAILED
