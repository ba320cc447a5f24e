"""Connects other nodes to endpoints that they can't reach themselves."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ..decoding import contained
from ..http.messages import Request
from ..http.network import Network
from ..http.routes import Params, Router, send_error
from ..http.server import Responder
from ..http.tunnels import (
    END_HEADER,
    UPGRADE_HEADERS,
    AnswerPipe,
    Pipe,
    accept_tunnel,
    new_end,
)
from ..metrics import Metrics
from ..nodes.exchange import refuse_signature
from ..nodes.signing import PeerKeys
from ..platform.wire import MAX_PAUSE_SECONDS
from ..policies.reach import Reach
from ..types import Address
from .endpointanswers import RelayedStatements
from .engineapi import AnswerRecorder

TUNNEL_PATH = "/peer/v1/tunnel"
# In the answer to a tunnel's request, what the endpoint has stated to this node: the
# rest of its pause in seconds, and that it leaves.
PAUSE_HEADER = "x-endpoint-pause"
LEAVING_HEADER = "x-endpoint-leaving"
# Reasons why a node makes no connection: it doesn't reach the endpoint either, knows no
# such endpoint, has no room, or is about to stop.
UNREACHED = "unreached"
UNKNOWN = "unknown_endpoint"
NO_ROOM = "no_room"
STOPPING = "stopping"
# Timeout of a connection to an endpoint, in seconds.
CONNECT_SECONDS = 0.2
# Tunnels of all other nodes together.
MAX_TUNNELS = 256
# Interval at which a stopping node looks whether its tunnels are closed, in seconds.
STOP_POLL_SECONDS = 0.05


class TunnelRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A node's request for a connection to an endpoint, by its address."""

    endpoint: str


def decode_statements(headers: Mapping[str, str]) -> RelayedStatements:
    """Decode what a node tells of an endpoint; nothing from earlier versions."""
    try:
        stated = float(headers.get(PAUSE_HEADER, "0"))
    except ValueError:
        stated = 0.0
    pause_seconds = min(stated, MAX_PAUSE_SECONDS) if stated > 0 else 0.0
    return RelayedStatements(
        pause_seconds=pause_seconds, is_leaving=LEAVING_HEADER in headers
    )


class TunnelServer:
    """Makes connections to endpoints for nodes that have lost the path to them.

    They are made on this node's own path only, so that no tunnel leads through another
    one. The endpoint sees this node, and what it states of itself in an answer is for
    this node too: it is read on the way, and told to the next node that asks.

    Parameters
    ----------
    network : Network
        This node's own network.
    reach : Reach
        Which endpoints this node has lost the path to.
    is_endpoint : callable
        Returns whether an endpoint has an address.
    keys : PeerKeys
        Verify the signatures of requests.
    metrics : Metrics
        Counts requests by outcome.
    on_unreached : callable
        Called with an endpoint that this node doesn't reach either.
    statements_at : callable
        Returns what the endpoint at an address has stated to this node.
    on_answer : callable
        Called with an endpoint, the head of its answer, and when it was asked.
    """

    def __init__(
        self,
        *,
        network: Network,
        reach: Reach,
        is_endpoint: Callable[[Address], bool],
        keys: PeerKeys,
        metrics: Metrics,
        on_unreached: Callable[[Address], None],
        statements_at: Callable[[Address], RelayedStatements],
        on_answer: AnswerRecorder,
    ) -> None:
        self._network = network
        self._reach = reach
        self._is_endpoint = is_endpoint
        self._keys = keys
        self._metrics = metrics
        self._on_unreached = on_unreached
        self._statements_at = statements_at
        self._on_answer = on_answer
        self._is_stopping = False
        self.n_open = 0

    def add_routes(self, router: Router) -> None:
        """Add the route that other nodes call."""
        router.add("POST", TUNNEL_PATH, self._on_request)

    def retire(self) -> None:
        """Make no more connections: they would be cut when this process is killed."""
        self._is_stopping = True

    async def stop(self, deadline: float) -> None:
        """Make no more connections, and wait until the present ones are closed."""
        self.retire()
        loop = asyncio.get_running_loop()
        while self.n_open and loop.time() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(STOP_POLL_SECONDS)

    async def _on_request(self, req: Request, res: Responder, _: Params) -> None:
        if not self._keys.accepts(req):
            await refuse_signature(res, self._metrics)
            return
        decoded = _decode_address(req.body)
        if isinstance(decoded, Err):
            problem = decoded.err_value
            await send_error(res, 400, "bad_request", place="body", message=problem)
            return
        address = decoded.ok_value
        reason = self._refusal(address)
        if reason is not None:
            await self._refuse(res, address, reason)
            return
        end = new_end()
        self.n_open += 1
        try:
            await self._connect(res, address, end)
        finally:
            self.n_open -= 1

    def _refusal(self, address: Address) -> str | None:
        """Return why no connection is made, None if one should be tried."""
        if self._is_stopping:
            return STOPPING
        if self.n_open >= MAX_TUNNELS:
            return NO_ROOM
        if not self._is_endpoint(address):
            return UNKNOWN
        if self._reach.is_lost(address):
            return UNREACHED
        return None

    async def _connect(self, res: Responder, address: Address, end: bytes) -> None:
        sent_at = asyncio.get_running_loop().time()

        def on_head(status: int, headers: Mapping[str, str]) -> None:
            self._on_answer(address, status, headers, sent_at)

        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                other = await self._network.connect(
                    lambda: AnswerPipe(end=end, on_head=on_head), address
                )
        except (OSError, TimeoutError):
            self._on_unreached(address)
            await self._refuse(res, address, UNREACHED)
            return
        if res.is_lost:
            other.abort()
            return
        self._metrics.count("tunnels_served", outcome="opened")
        headers = {
            **UPGRADE_HEADERS,
            END_HEADER: end.hex(),
            **self._statement_headers(address),
        }
        await accept_tunnel(res.switch_protocols(headers), Pipe(), other)

    def _statement_headers(self, address: Address) -> dict[str, str]:
        stated = self._statements_at(address)
        headers = {}
        if stated.pause_seconds > 0:
            headers[PAUSE_HEADER] = f"{stated.pause_seconds:.3f}"
        if stated.is_leaving:
            headers[LEAVING_HEADER] = "1"
        return headers

    async def _refuse(self, res: Responder, address: Address, reason: str) -> None:
        self._metrics.count("tunnels_served", outcome=reason)
        log_message("relay:tunnel:refused", address=str(address), reason=reason)
        res.is_closing = True
        await res.send_json(503, {"error": {"type": reason}}, {"x-reason": reason})


@contained
def _decode_address(body: bytes) -> Result[Address, str]:
    asked = msgspec.json.decode(body, type=TunnelRequest)
    return Ok(Address.parse(asked.endpoint))
