"""Tokens that admit requests to an endpoint with a limit for all nodes together.

The load pattern: callers press on many nodes at once, and the limit is often below one
request per second and node. If every node had a part of its own, most of the limit
would be parts of nodes that have no request at that moment. So one node, the
endpoint's owner, issues a token for each request. A node that knows only some of the
others issues only their part of the tokens; one that knows nobody has a turn at times.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

from .coldlimits import NodePosition

# Share of the limit for which tokens are issued. While nodes disagree on the owner of
# an endpoint, two of them issue tokens, and may exceed the limit by one half together.
USED_SHARE = 0.75
# The least limit that is used, in requests per second. Without any request, nobody
# would learn that an endpoint's limit has ended.
MIN_REQUESTS_PER_SECOND = 0.1
# Longest time for which a node that got no token doesn't ask again, in seconds.
MAX_HOLD_SECONDS = 1.0
# How often all nodes together should ask per token, so that few tokens are lost.
N_ASKS_PER_TOKEN = 4.0
# Time for which a node that got no token counts as competing for one, in seconds.
COMPETING_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """The answer to a node that asks for a token.

    Parameters
    ----------
    is_granted : bool
        Whether it gets one.
    ask_again_at : float
        When it may ask again; the time of the decision if it got one.
    """

    is_granted: bool
    ask_again_at: float


class TokenSchedule:
    """Tokens of one endpoint, each of which admits one request.

    Tokens arise at regular times. One that nobody takes is lost after the time between
    two tokens of a node that knows all others. Without that, nodes that know nobody
    would each keep a token, and could all use them at once.

    Parameters
    ----------
    now : float
        Time at which the node begins to issue tokens.
    position : NodePosition
        This node's position among all nodes. It spreads the first tokens of nodes that
        begin at the same time.
    requests_per_second : float
        The endpoint's limit.
    known_share : float
        Share of all nodes that run and are known to this one.
    """

    def __init__(
        self,
        *,
        now: float,
        position: NodePosition,
        requests_per_second: float,
        known_share: float,
    ) -> None:
        spread = (position.index + 1) / max(1, position.n_nodes)
        period = self._period_seconds(requests_per_second, known_share)
        self._last_at = now - period * (1.0 - spread)

    @staticmethod
    def _period_seconds(requests_per_second: float, known_share: float) -> float:
        rate = max(MIN_REQUESTS_PER_SECOND, requests_per_second)
        return 1.0 / (USED_SHARE * rate * known_share)

    def take(
        self, now: float, requests_per_second: float, known_share: float
    ) -> Decision:
        """Take a token; without one, return when the next arises."""
        period = self._period_seconds(requests_per_second, known_share)
        valid_seconds = self._period_seconds(requests_per_second, 1.0)
        n_lost = (now - valid_seconds - self._last_at) / period
        arises_at = self._last_at + period * max(1, math.ceil(n_lost))
        if now < arises_at:
            return Decision(is_granted=False, ask_again_at=arises_at)
        self._last_at = arises_at
        return Decision(is_granted=True, ask_again_at=now)


class RequestTokens:
    """Issues the tokens of the endpoints that this node owns."""

    def __init__(self) -> None:
        self._schedules: dict[str, TokenSchedule] = {}
        # By endpoint, the nodes that were refused, and when.
        self._competing: dict[str, deque[tuple[float, str]]] = {}

    def decide(
        self,
        endpoint: str,
        node: str,
        now: float,
        *,
        requests_per_second: float,
        position: NodePosition,
        known_share: float,
    ) -> Decision:
        """Decide whether a node gets a token for an endpoint.

        Parameters
        ----------
        endpoint, node : str
            The endpoint, and the node that asks.
        now : float
            The current time, in seconds.
        requests_per_second : float
            The endpoint's limit.
        position : NodePosition
            The position of this node, which decides.
        known_share : float
            Share of all nodes that run and are known to this one; over 0.
        """
        schedule = self._schedules.get(endpoint)
        if schedule is None:
            schedule = self._schedules[endpoint] = TokenSchedule(
                now=now,
                position=position,
                requests_per_second=requests_per_second,
                known_share=known_share,
            )
        decision = schedule.take(now, requests_per_second, known_share)
        if decision.is_granted:
            return decision
        competing = self._competing.setdefault(endpoint, deque())
        competing.append((now, node))
        while competing[0][0] <= now - COMPETING_SECONDS:
            competing.popleft()
        rate = (
            N_ASKS_PER_TOKEN
            * USED_SHARE
            * max(MIN_REQUESTS_PER_SECOND, requests_per_second)
        )
        hold_seconds = len({name for _, name in competing}) / rate
        ask_again_at = max(
            decision.ask_again_at, now + min(MAX_HOLD_SECONDS, hold_seconds)
        )
        return Decision(is_granted=False, ask_again_at=ask_again_at)

    def forget_all_but(self, endpoints: Collection[str]) -> None:
        """Forget the endpoints whose limits have ended."""
        for endpoint in self._schedules.keys() - set(endpoints):
            del self._schedules[endpoint]
            self._competing.pop(endpoint, None)
