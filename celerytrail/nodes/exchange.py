"""Anti-entropy exchanges of full state between two nodes, over HTTP in JSON."""

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
from .wire import StateExchange, decode_exchange, decode_json_update

STATE_PATH = "/peer/v1/state"
EXCHANGE_TIMEOUT_SECONDS = 2.0


class Exchanger:
    """Exchanges full states: at the start, and when gossip missed an update.

    Parameters
    ----------
    membership : Membership
        The state machine whose state is exchanged.
    keys : PeerKeys
        Sign and verify requests.
    client : HttpClient
        Makes the exchanges.
    clock : Clock
        Provides the state machine's time.
    metrics : Metrics
        Counts rejected input.
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
        """Add the route of exchanges that other nodes start."""
        router.add("POST", STATE_PATH, self._on_exchange)

    async def exchange(self, address: Address) -> bool:
        """Exchange states with a node; returns whether it succeeded."""
        body = self._encode()
        result = await self._client.request(
            address,
            "POST",
            STATE_PATH,
            body=body,
            headers=self._keys.headers("POST", STATE_PATH, body),
            deadline=asyncio.get_running_loop().time() + EXCHANGE_TIMEOUT_SECONDS,
        )
        if isinstance(result, Err):
            return False
        res = result.ok_value
        if res.status != 200:
            log_message("nodes:exchange:refused", peer=str(address), status=res.status)
            return False
        return self._apply(res.body, str(address))

    async def _on_exchange(self, req: Request, res: Responder, _: Params) -> None:
        if not self._keys.accepts(req):
            await refuse_signature(res, self._metrics)
            return
        if not self._apply(req.body, req.peer):
            await send_error(
                res, 400, "bad_state", place="body", message="not a state exchange"
            )
            return
        headers = {"content-type": "application/json"}
        await res.send(200, self._encode(), headers)

    def _encode(self) -> bytes:
        items = [
            msgspec.Raw(msgspec.json.encode(update))
            for update in self._membership.snapshot()
        ]
        return msgspec.json.encode(
            StateExchange(
                sender=self._membership.me.node,
                sent_at=self._clock.wall(),
                items=items,
            )
        )

    def _apply(self, body: bytes, peer: str) -> bool:
        decoded = decode_exchange(body)
        if isinstance(decoded, Err):
            self._reject(peer, "state", decoded.err_value)
            return False
        exchange = decoded.ok_value
        now, wall = self._clock.monotonic(), self._clock.wall()
        for raw in exchange.items:
            update = decode_json_update(raw)
            if isinstance(update, Err):
                self._reject(peer, "item", update.err_value)
                continue
            self._membership.apply(
                update.ok_value, exchange.sender, now, wall, exchange.sent_at
            )
        return True

    def _reject(self, peer: str, problem: str, detail: str) -> None:
        self._metrics.count("bad_input", peer="node", problem=problem)
        log_message("nodes:bad_input", peer=peer, problem=problem, detail=detail)


async def refuse_signature(res: Responder, metrics: Metrics) -> None:
    """Refuse a request without a signature by an accepted peer key."""
    metrics.count("bad_input", peer="node", problem="signature")
    await send_error(
        res,
        403,
        "bad_signature",
        place="x-peer-signature",
        message="no accepted peer key signed this request",
    )
