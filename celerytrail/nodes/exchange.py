"""Whole exchanges of state between two nodes, over HTTP in JSON."""

from __future__ import annotations

import asyncio

import msgspec
from eliot import log_message
from result import Err

from ..clock import Clock
from ..http.client import HttpClient
from ..http.messages import Request
from ..http.routes import Params, Router, send_error
from ..http.server import Responder
from ..metrics import Metrics
from ..types import Address
from .membership import Membership
from .signing import PeerKeys
from .wire import StateExchange, decode_exchange, decode_json_item

STATE_PATH = "/peer/v1/state"
EXCHANGE_SECONDS = 2.0


class Exchanger:
    """Gives and takes whole states: at the start, and where gossip left a gap.

    Parameters
    ----------
    membership : Membership
        Whose state it is.
    keys : PeerKeys
        Sign and check requests.
    client : HttpClient
        Makes the exchanges.
    clock : Clock
        Gives the state machine its time.
    metrics : Metrics
        Counts bad items.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        keys: PeerKeys,
        client: HttpClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._membership = membership
        self._keys = keys
        self._client = client
        self._clock = clock
        self._metrics = metrics

    def add_routes(self, router: Router) -> None:
        """Add the route that answers other nodes."""
        router.add("POST", STATE_PATH, self._answer)

    async def exchange(self, address: Address) -> bool:
        """Exchange states with a node; returns whether that worked."""
        body = self._encode()
        answered = await self._client.request(
            address,
            "POST",
            STATE_PATH,
            body=body,
            headers=self._keys.headers("POST", STATE_PATH, body),
            deadline=asyncio.get_running_loop().time() + EXCHANGE_SECONDS,
        )
        if isinstance(answered, Err):
            return False
        res = answered.ok_value
        if res.status != 200:
            log_message("nodes:exchange:refused", peer=str(address), status=res.status)
            return False
        return self._take(res.body, str(address))

    async def _answer(self, req: Request, res: Responder, _: Params) -> None:
        if not self._keys.accepts(req):
            await refuse_signature(res, self._metrics)
            return
        if not self._take(req.body, req.peer):
            await send_error(
                res, 400, "bad_state", place="body", message="not a state exchange"
            )
            return
        headers = {"content-type": "application/json"}
        await res.send(200, self._encode(), headers)

    def _encode(self) -> bytes:
        items = [
            msgspec.Raw(msgspec.json.encode(item)) for item in self._membership.items()
        ]
        return msgspec.json.encode(
            StateExchange(
                sender=self._membership.me.node,
                sent_at=self._clock.wall(),
                items=items,
            )
        )

    def _take(self, body: bytes, peer: str) -> bool:
        try:
            exchange = decode_exchange(body)
        except msgspec.DecodeError as exc:
            self._bad(peer, "state", str(exc))
            return False
        now, wall = self._clock.monotonic(), self._clock.wall()
        for raw in exchange.items:
            try:
                item = decode_json_item(raw)
            except msgspec.DecodeError as exc:
                self._bad(peer, "item", str(exc))
                continue
            self._membership.apply(item, exchange.sender, now, wall, exchange.sent_at)
        return True

    def _bad(self, peer: str, problem: str, detail: str) -> None:
        self._metrics.count("bad_input", peer="node", problem=problem)
        log_message("nodes:bad_input", peer=peer, problem=problem, detail=detail)


async def refuse_signature(res: Responder, metrics: Metrics) -> None:
    """Refuse a request that no accepted peer key signed."""
    metrics.count("bad_input", peer="node", problem="signature")
    await send_error(
        res,
        403,
        "bad_signature",
        place="x-peer-signature",
        message="no accepted peer key signed this request",
    )
