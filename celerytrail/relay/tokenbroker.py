"""Obtains and issues the tokens of endpoints that limit the requests of all nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..http.messages import Request
from ..http.routes import Params, Router
from ..http.server import Responder
from ..metrics import Metrics
from ..nodes.member import Member
from ..policies.requesttokens import Decision, RequestTokens
from ..policies.statedlimits import LimitStatement, StatedLimits
from .nodeorder import NodeOrder
from .peerrequests import PeerRequests

TOKEN_PATH = "/peer/v1/request-token"
# Longest time for the owner's answer, in seconds: a request has to be answered within
# little more than a tenth of a second, and may still be served elsewhere.
ANSWER_SECONDS = 0.08
# Time for which an owner that didn't answer isn't asked again, in seconds.
UNREACHABLE_SECONDS = 1.0
# Time in which a token must be used, in seconds: as long as making a connection takes.
TOKEN_SECONDS = 0.4
# Interval at which the owner of an endpoint announces its limit to all, in seconds.
ANNOUNCE_SECONDS = 1.0


class TokenRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A node's request for a token, with what it knows of the endpoint's limit."""

    node: str
    endpoint: str
    requests_per_second: float
    heard_seconds_ago: float


class TokenAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The owner's answer, and the time until the node may ask again, in seconds."""

    is_granted: bool
    ask_again_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestToken:
    """Admits one request to an endpoint until boot time ``expires_at``."""

    endpoint: str
    expires_at: float


class TokenBroker:
    """Asks the owner of an endpoint for tokens, and issues those of its own endpoints.

    Parameters
    ----------
    node : str
        This node's name.
    limits : StatedLimits
        The limits that endpoints state.
    node_order : NodeOrder
        The owner of each endpoint, and this node's position.
    requests : PeerRequests
        Sends requests to owners, and decodes those of other nodes.
    announce : callable
        Announces the limits of endpoints that this node owns to all nodes.
    clock : Clock
        Measures the age of tokens, time suspended included.
    metrics : Metrics
        Counts requests for tokens by outcome.
    """

    def __init__(
        self,
        *,
        node: str,
        limits: StatedLimits,
        node_order: NodeOrder,
        requests: PeerRequests,
        announce: Callable[[list[LimitStatement]], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._node = node
        self._limits = limits
        self._node_order = node_order
        self._requests = requests
        self._announce = announce
        self._clock = clock
        self._metrics = metrics
        self._tokens = RequestTokens()
        # By endpoint, the boot time until which no token is asked for.
        self._ask_again_at: dict[str, float] = {}

    def add_routes(self, router: Router) -> None:
        """Add the route at which other nodes ask for tokens."""
        router.add("POST", TOKEN_PATH, self._on_request)

    async def run(self) -> None:
        """Announce the limits of owned endpoints periodically, until cancelled."""
        while True:
            await asyncio.sleep(ANNOUNCE_SECONDS)
            in_force = self._limits.in_force()
            owned = [
                statement
                for statement in in_force
                if self._is_own(self._node_order.owner(statement.endpoint))
            ]
            if owned:
                self._announce(owned)
            self._forget_all_but({statement.endpoint for statement in in_force})

    def is_limited(self, endpoint: str) -> bool:
        """Return whether an endpoint's requests need tokens."""
        return self._limits.find(endpoint) is not None

    def seconds_until_open(self, endpoint: str) -> float:
        """Return the time until a token may be asked for; 0 if it may be now."""
        if not self.is_limited(endpoint):
            return 0.0
        ask_again_at = self._ask_again_at.get(endpoint, 0.0)
        return max(0.0, ask_again_at - self._clock.boottime())

    def admits(self, endpoint: str, token: RequestToken | None) -> bool:
        """Return whether a request may be sent to an endpoint at this moment."""
        if not self.is_limited(endpoint):
            return True
        return token is not None and self._clock.boottime() < token.expires_at

    async def take(self, endpoint: str) -> RequestToken | None:
        """Return a token for an endpoint that needs one, None if there is none now."""
        statement = self._limits.find(endpoint)
        expires_at = self._clock.boottime() + TOKEN_SECONDS
        if statement is not None and not await self._ask(statement):
            return None
        return RequestToken(endpoint=endpoint, expires_at=expires_at)

    async def _ask(self, statement: LimitStatement) -> bool:
        endpoint = statement.endpoint
        if self.seconds_until_open(endpoint) > 0:
            return False
        owner = self._node_order.owner(endpoint)
        if owner is None or self._is_own(owner):
            decision = self._decide(endpoint, self._node)
            answered: Result[TokenAnswer, str] = Ok(self._answer(decision))
        else:
            answered = await self._ask_owner(owner, statement)
        if isinstance(answered, Err):
            self._hold(endpoint, UNREACHABLE_SECONDS)
            self._metrics.count("request_tokens", outcome="unreachable")
            log_message(
                "relay:token:unreachable",
                endpoint=endpoint,
                owner=owner.node if owner is not None else None,
                reason=answered.err_value,
            )
            return False
        answer = answered.ok_value
        outcome = "granted" if answer.is_granted else "refused"
        self._metrics.count("request_tokens", outcome=outcome)
        if not answer.is_granted:
            self._hold(endpoint, answer.ask_again_seconds)
        return answer.is_granted

    async def _ask_owner(
        self, owner: Member, statement: LimitStatement
    ) -> Result[TokenAnswer, str]:
        now = asyncio.get_running_loop().time()
        asked = TokenRequest(
            node=self._node,
            endpoint=statement.endpoint,
            requests_per_second=statement.rate,
            heard_seconds_ago=max(0.0, now - statement.heard_at),
        )
        return await self._requests.post(
            owner, TOKEN_PATH, asked, TokenAnswer, now + ANSWER_SECONDS
        )

    async def _on_request(self, req: Request, res: Responder, _: Params) -> None:
        asked = await self._requests.decode(req, res, TokenRequest)
        if asked is None:
            return
        heard_at = asyncio.get_running_loop().time() - asked.heard_seconds_ago
        self._limits.record(
            LimitStatement(
                endpoint=asked.endpoint,
                requests_per_second=asked.requests_per_second,
                sent_at=heard_at,
                heard_at=heard_at,
            )
        )
        answer = TokenAnswer(is_granted=False, ask_again_seconds=UNREACHABLE_SECONDS)
        # Nodes may disagree on the owner for a while; only one of them issues tokens.
        if self._is_own(self._node_order.owner(asked.endpoint)):
            answer = self._answer(self._decide(asked.endpoint, asked.node))
        headers = {"content-type": "application/json"}
        await res.send(200, msgspec.json.encode(answer), headers)

    def _decide(self, endpoint: str, node: str) -> Decision:
        """Decide whether a node gets a token of an endpoint that this node owns."""
        now = self._clock.boottime()
        statement = self._limits.find(endpoint)
        if statement is None:
            return Decision(is_granted=True, ask_again_at=now)
        return self._tokens.decide(
            endpoint,
            node,
            now,
            requests_per_second=statement.rate,
            position=self._node_order.position(endpoint),
            known_share=self._node_order.running_share(),
        )

    def _answer(self, decision: Decision) -> TokenAnswer:
        return TokenAnswer(
            is_granted=decision.is_granted,
            ask_again_seconds=decision.ask_again_at - self._clock.boottime(),
        )

    def _is_own(self, owner: Member | None) -> bool:
        return owner is not None and owner.node == self._node

    def _hold(self, endpoint: str, seconds: float) -> None:
        self._ask_again_at[endpoint] = self._clock.boottime() + seconds

    def _forget_all_but(self, endpoints: set[str]) -> None:
        """Forget the endpoints whose limit has ended, or that are gone."""
        self._tokens.forget_all_but(endpoints)
        self._ask_again_at = {
            endpoint: at
            for endpoint, at in self._ask_again_at.items()
            if endpoint in endpoints
        }
