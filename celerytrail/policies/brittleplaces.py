"""Places of an endpoint that falls over when it has to refuse too many requests.

The load pattern: callers press on many nodes at once; each node knows only its own
requests at the endpoint. That may let fewer wait at any moment, without saying so, and
one that refuses more than it can in a second is away for seconds. So one node, the
endpoint's owner, counts the requests of all nodes there. As many as it runs at a time
have a place; beyond that, requests are admitted only at a rate at which it could refuse
all of them. A node that knows only some of the others admits their part.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .coldlimits import NodePosition
from .requesttokens import Decision, TokenSchedule

# How long a node's count of its requests holds without news of it, in seconds.
COUNT_SECONDS = 60.0
# Share of the refusals that an endpoint bears for which requests without a place are
# sent. The rest is for nodes that count without knowing of each other.
RISKED_SHARE = 0.5
# How often all nodes together should ask per place, so that few stay empty.
N_ASKS_PER_PLACE = 4.0
# How long a refused request makes the places fewer, in seconds.
REFUSED_SECONDS = 1.0
# Bounds of the time after which a node may ask again for a place, in seconds.
MIN_ASK_AGAIN_SECONDS = 0.01
MAX_ASK_AGAIN_SECONDS = 0.5
# Time for which a node that got no place counts as competing for one, in seconds.
COMPETING_SECONDS = 0.5
# Weight of one request's time at an endpoint in its moving average.
TIME_WEIGHT = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class _Count:
    n_requests: int
    counted_at: float
    number: int


@dataclass(kw_only=True, slots=True)
class _Endpoint:
    """The requests at one endpoint by node, and what is known of its room."""

    schedule: TokenSchedule
    counts: dict[str, _Count] = field(default_factory=dict)
    n_places: int = 0
    # After a refusal of one with a place: how many places there were too many, and
    # until when that counts.
    n_refused: int = 0
    refused_until: float = 0.0
    request_seconds: float = MIN_ASK_AGAIN_SECONDS
    # By node, when it was last refused a place.
    refused_at: dict[str, float] = field(default_factory=dict)


class BrittlePlaces:
    """Counts the requests at the endpoints that this node owns, and admits more."""

    def __init__(self) -> None:
        self._endpoints: dict[str, _Endpoint] = {}

    def decide(
        self,
        endpoint: str,
        node: str,
        now: float,
        *,
        number: int,
        n_own: int,
        n_slots: int,
        n_refusals: float,
        position: NodePosition,
        known_share: float,
    ) -> Decision:
        """Decide whether a node may send one more request to an endpoint.

        Parameters
        ----------
        endpoint, node : str
            The endpoint, and the node that asks.
        now : float
            The current time, in seconds.
        number : int
            Number of the node's message; messages may overtake each other.
        n_own : int
            The node's requests there, without this one.
        n_slots : int
            Requests that the endpoint runs at a time.
        n_refusals : float
            Requests that it can refuse within a second.
        position : NodePosition
            The position of this node, which decides.
        known_share : float
            Share of all nodes that run and are known to this one; over 0.
        """
        known = self._endpoints.get(endpoint)
        if known is None:
            schedule = TokenSchedule(
                now=now,
                position=position,
                requests_per_second=RISKED_SHARE * n_refusals,
                known_share=known_share,
            )
            known = self._endpoints[endpoint] = _Endpoint(schedule=schedule)
        n_taken = self._n_others(known, node, now) + n_own
        n_places = math.floor(n_slots * known_share)
        if now < known.refused_until:
            n_places -= known.n_refused
        known.n_places = n_places
        decision = Decision(is_granted=True, ask_again_at=now)
        if n_taken >= n_places:
            decision = known.schedule.take(now, RISKED_SHARE * n_refusals, known_share)
        n_own += decision.is_granted
        self._count(known, node, now, n_own, number)
        if decision.is_granted:
            return decision
        known.refused_at[node] = now
        known.refused_at = {
            name: at
            for name, at in known.refused_at.items()
            if now < at + COMPETING_SECONDS
        }
        n_competing = len(known.refused_at)
        n_asks = N_ASKS_PER_PLACE * max(1, n_slots)
        seconds = n_competing * known.request_seconds / n_asks
        seconds = min(seconds, MAX_ASK_AGAIN_SECONDS, decision.ask_again_at - now)
        ask_again_at = now + max(seconds, MIN_ASK_AGAIN_SECONDS)
        return Decision(is_granted=False, ask_again_at=ask_again_at)

    def record(
        self,
        endpoint: str,
        node: str,
        now: float,
        *,
        number: int,
        n_own: int,
        is_refused: bool,
        seconds: float,
    ) -> None:
        """Record that one of a node's requests has ended.

        Parameters
        ----------
        endpoint, node : str
            The endpoint, and the node.
        now : float
            The current time, in seconds.
        number : int
            Number of the node's message.
        n_own : int
            The node's requests that are left there.
        is_refused : bool
            Whether the endpoint had no room for it.
        seconds : float
            How long it was there.
        """
        known = self._endpoints.get(endpoint)
        if known is None:
            return
        self._count(known, node, now, n_own, number)
        if not is_refused:
            known.request_seconds += TIME_WEIGHT * (seconds - known.request_seconds)
            return
        n_there = self._n_others(known, node, now) + n_own
        if n_there >= known.n_places:
            # One that was sent without a place.
            return
        known.n_refused = 1 + (known.n_refused if now < known.refused_until else 0)
        known.refused_until = now + REFUSED_SECONDS

    def keep(self, endpoints: set[str], nodes: set[str]) -> None:
        """Forget endpoints that aren't brittle any more, and nodes that are gone."""
        for endpoint in self._endpoints.keys() - endpoints:
            del self._endpoints[endpoint]
        for known in self._endpoints.values():
            for node in known.counts.keys() - nodes:
                del known.counts[node]

    @staticmethod
    def _count(
        known: _Endpoint, node: str, now: float, n_requests: int, number: int
    ) -> None:
        former = known.counts.get(node)
        if former is None or number > former.number:
            known.counts[node] = _Count(
                n_requests=n_requests, counted_at=now, number=number
            )

    @staticmethod
    def _n_others(known: _Endpoint, node: str, now: float) -> int:
        return sum(
            count.n_requests
            for name, count in known.counts.items()
            if name != node and now < count.counted_at + COUNT_SECONDS
        )
