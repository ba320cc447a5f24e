"""Obtains and grants places at endpoints that fall over when they refuse too much."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ..http.messages import Request
from ..http.routes import Params, Router
from ..http.server import Responder
from ..metrics import Metrics
from ..nodes.member import Member
from ..policies.brittleplaces import BrittlePlaces
from ..policies.requesttokens import Decision
from ..policies.statedlimits import LimitStatement, StatedLimits
from ..supervision import BackgroundTasks
from .nodeorder import NodeOrder
from .peerrequests import PeerRequests

PLACE_PATH = "/peer/v1/place"
ENDED_PATH = "/peer/v1/place-ended"
# Longest time for the owner's answer, in seconds.
ANSWER_SECONDS = 0.08
# Timeout for telling the owner that a request has ended, in seconds.
ENDED_SECONDS = 0.5
# Time for which an owner that didn't answer isn't asked again, in seconds.
UNREACHABLE_SECONDS = 0.5
# Time after which requests look again whether another one got a place, in seconds.
PROBE_SECONDS = 0.01
# Interval at which the owner announces that an endpoint is brittle, in seconds.
ANNOUNCE_SECONDS = 1.0


class PlaceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A node's request for a place, with what it knows of the endpoint.

    ``n_own`` are its requests there without this one, ``n_refusals`` those that the
    endpoint can refuse in a second. ``number`` rises with each message of the node.
    """

    node: str
    endpoint: str
    number: int
    n_own: int
    n_slots: int
    n_refusals: float
    heard_seconds_ago: float


class PlaceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The owner's answer, and the time until the node may ask again, in seconds."""

    is_granted: bool
    ask_again_seconds: float = 0.0


class PlaceEnded(msgspec.Struct, frozen=True, kw_only=True):
    """A node's word that one of its requests has ended; ``n_own`` are left."""

    node: str
    endpoint: str
    number: int
    n_own: int
    is_refused: bool
    seconds: float


class Acknowledged(msgspec.Struct, frozen=True, kw_only=True):
    """The owner's answer to such a word."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """A request's place at an endpoint, since loop time ``taken_at``."""

    endpoint: str
    taken_at: float


class PlaceBroker:
    """Asks the owner of a brittle endpoint for places, and grants those of its own.

    Parameters
    ----------
    node : str
        This node's name.
    brittle : StatedLimits
        The refusals a second that endpoints state to bear.
    node_order : NodeOrder
        The owner of each endpoint, and this node's position.
    requests : PeerRequests
        Sends requests to owners, and decodes those of other nodes.
    announce : callable
        Announces the brittle endpoints that this node owns to all nodes.
    metrics : Metrics
        Counts requests for places by outcome.
    """

    def __init__(
        self,
        *,
        node: str,
        brittle: StatedLimits,
        node_order: NodeOrder,
        requests: PeerRequests,
        announce: Callable[[list[LimitStatement]], None],
        metrics: Metrics,
    ) -> None:
        self._node = node
        self._brittle = brittle
        self._node_order = node_order
        self._requests = requests
        self._announce = announce
        self._metrics = metrics
        self._places = BrittlePlaces()
        # By endpoint, this node's requests there.
        self._n_own: Counter[str] = Counter()
        # By endpoint that had no place, the loop time until which none is asked for.
        self._ask_again_at: dict[str, float] = {}
        # Endpoints of these that one request asks for again, while the others wait.
        self._probed: set[str] = set()
        self._numbers = itertools.count(1)
        self._tasks = BackgroundTasks()

    def add_routes(self, router: Router) -> None:
        """Add the routes at which other nodes ask for places and give them back."""
        router.add("POST", PLACE_PATH, self._on_request)
        router.add("POST", ENDED_PATH, self._on_ended)

    async def run(self) -> None:
        """Announce owned brittle endpoints periodically, until cancelled."""
        while True:
            await asyncio.sleep(ANNOUNCE_SECONDS)
            in_force = self._brittle.in_force()
            owned = [one for one in in_force if self._owns(one.endpoint)]
            if owned:
                self._announce(owned)
            known = {one.endpoint for one in in_force}
            self._places.keep(known, self._node_order.running_nodes())
            self._ask_again_at = {
                endpoint: at
                for endpoint, at in self._ask_again_at.items()
                if endpoint in known
            }

    def is_brittle(self, endpoint: str) -> bool:
        """Return whether requests to an endpoint need places."""
        return self._brittle.find(endpoint) is not None

    def seconds_until_open(self, endpoint: str) -> float:
        """Return the time until a place may be asked for; 0 if it may be now."""
        if not self.is_brittle(endpoint):
            return 0.0
        if endpoint in self._probed:
            return PROBE_SECONDS
        return max(0.0, self._ask_again_at.get(endpoint, 0.0) - _now())

    async def take(self, endpoint: str, n_slots: int) -> Place | None:
        """Return a place at an endpoint, None if there is none now.

        Requests to endpoints that aren't brittle are counted too, as an endpoint may
        say so while they last.
        """
        statement = self._brittle.find(endpoint)
        self._n_own[endpoint] += 1
        if statement is None:
            return Place(endpoint=endpoint, taken_at=_now())
        is_granted = False
        try:
            is_granted = await self._ask(statement, n_slots)
        finally:
            if not is_granted:
                self._n_own[endpoint] -= 1
        return Place(endpoint=endpoint, taken_at=_now()) if is_granted else None

    def end(self, place: Place, *, is_refused: bool) -> None:
        """Give a place back; ``is_refused`` if the endpoint had no room."""
        endpoint = place.endpoint
        self._n_own[endpoint] -= 1
        if self._n_own[endpoint] <= 0:
            del self._n_own[endpoint]
        if not self.is_brittle(endpoint):
            return
        ended = PlaceEnded(
            node=self._node,
            endpoint=endpoint,
            number=next(self._numbers),
            n_own=self._n_own.get(endpoint, 0),
            is_refused=is_refused,
            seconds=round(_now() - place.taken_at, 4),
        )
        owner = self._node_order.owner(endpoint)
        if owner is None or owner.node == self._node:
            self._record_ended(ended)
            return
        self._tasks.spawn(self._tell_owner(owner, ended))

    # Asking.

    async def _ask(self, statement: LimitStatement, n_slots: int) -> bool:
        endpoint = statement.endpoint
        if self.seconds_until_open(endpoint) > 0:
            return False
        now = _now()
        asked = PlaceRequest(
            node=self._node,
            endpoint=endpoint,
            number=next(self._numbers),
            n_own=self._n_own[endpoint] - 1,
            n_slots=n_slots,
            n_refusals=statement.rate,
            heard_seconds_ago=max(0.0, now - statement.heard_at),
        )
        owner = self._node_order.owner(endpoint)
        if owner is None or owner.node == self._node:
            answered: Result[PlaceAnswer, str] = Ok(self._answer(self._decide(asked)))
        elif endpoint in self._ask_again_at:
            self._probed.add(endpoint)
            try:
                answered = await self._ask_owner(owner, asked)
            finally:
                self._probed.discard(endpoint)
        else:
            answered = await self._ask_owner(owner, asked)
        if isinstance(answered, Err):
            self._ask_again_at[endpoint] = _now() + UNREACHABLE_SECONDS
            self._metrics.count("places", outcome="unreachable")
            log_message(
                "relay:place:unreachable",
                endpoint=endpoint,
                owner=owner.node if owner is not None else None,
                reason=answered.err_value,
            )
            return False
        answer = answered.ok_value
        outcome = "granted" if answer.is_granted else "refused"
        self._metrics.count("places", outcome=outcome)
        if answer.is_granted:
            self._ask_again_at.pop(endpoint, None)
        else:
            self._ask_again_at[endpoint] = _now() + answer.ask_again_seconds
        return answer.is_granted

    async def _ask_owner(
        self, owner: Member, asked: PlaceRequest
    ) -> Result[PlaceAnswer, str]:
        deadline = _now() + ANSWER_SECONDS
        return await self._requests.post(
            owner, PLACE_PATH, asked, PlaceAnswer, deadline
        )

    async def _tell_owner(self, owner: Member, ended: PlaceEnded) -> None:
        deadline = _now() + ENDED_SECONDS
        told = await self._requests.post(
            owner, ENDED_PATH, ended, Acknowledged, deadline
        )
        if isinstance(told, Err):
            log_message(
                "relay:place:untold", endpoint=ended.endpoint, reason=told.err_value
            )

    # Granting.

    async def _on_request(self, req: Request, res: Responder, _: Params) -> None:
        asked = await self._requests.decode(req, res, PlaceRequest)
        if asked is None:
            return
        heard_at = _now() - asked.heard_seconds_ago
        self._brittle.record(
            LimitStatement(
                endpoint=asked.endpoint,
                requests_per_second=asked.n_refusals,
                sent_at=heard_at,
                heard_at=heard_at,
            )
        )
        answer = PlaceAnswer(is_granted=False, ask_again_seconds=UNREACHABLE_SECONDS)
        # Nodes may disagree on the owner for a while; only one of them grants places.
        if self._owns(asked.endpoint):
            answer = self._answer(self._decide(asked))
        await res.send_json(200, msgspec.to_builtins(answer))

    async def _on_ended(self, req: Request, res: Responder, _: Params) -> None:
        ended = await self._requests.decode(req, res, PlaceEnded)
        if ended is not None:
            self._record_ended(ended)
            await res.send_json(200, {})

    def _decide(self, asked: PlaceRequest) -> Decision:
        return self._places.decide(
            asked.endpoint,
            asked.node,
            _now(),
            number=asked.number,
            n_own=asked.n_own,
            n_slots=asked.n_slots,
            n_refusals=asked.n_refusals,
            position=self._node_order.position(asked.endpoint),
            known_share=self._node_order.running_share(),
        )

    @staticmethod
    def _answer(decision: Decision) -> PlaceAnswer:
        return PlaceAnswer(
            is_granted=decision.is_granted,
            ask_again_seconds=decision.ask_again_at - _now(),
        )

    def _record_ended(self, ended: PlaceEnded) -> None:
        self._places.record(
            ended.endpoint,
            ended.node,
            _now(),
            number=ended.number,
            n_own=ended.n_own,
            is_refused=ended.is_refused,
            seconds=ended.seconds,
        )

    def _owns(self, endpoint: str) -> bool:
        owner = self._node_order.owner(endpoint)
        return owner is not None and owner.node == self._node


def _now() -> float:
    return asyncio.get_running_loop().time()
