"""Choice of the endpoint of a plain service that gets a request.

Endpoints of one service differ in speed, some fail part of their requests or take many
times as long while they pass their health checks, and many nodes choose at the same
time, each with few requests of its own in progress.
"""

from __future__ import annotations

import math
import random
import statistics
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field

from ..model import Registration
from ..types import Address
from .endpointspeeds import DEFAULT_ANSWER_SECONDS, EndpointSpeeds
from .loadshares import Server, fair_shares, fill_shares

# Weight of one outcome in an endpoint's failure rate, a moving average that covers
# about the last ten.
OUTCOME_WEIGHT = 0.15
# Cost of a failure rate of 1. All costs are in shares of an endpoint's slots.
FAILURE_COST = 3.0
# Cost of another failure domain; it only breaks ties.
CROSS_DOMAIN_COST = 0.05
# Cost of a new connection: less than one request in progress at an endpoint of six
# slots. With many nodes, each sends few requests. If it spread them over all endpoints,
# connections would time out as idle before they are used again.
CONNECT_COST = 0.1
# Cost of a second that an endpoint takes for an answer.
ANSWER_COST = 2.0
# Weight of one answer's time in an endpoint's moving average.
ANSWER_WEIGHT = 0.3
# Half-life of that average, in seconds. An endpoint that was slow is tried again.
ANSWER_HALF_LIFE_SECONDS = 10.0
# Half-life of the failure rate, in seconds. Through the decay an endpoint that was
# avoided gets a request now and then and can recover.
HALF_LIFE_SECONDS = 3.0
# Cost that separates two endpoints of which one should get 2.7 times the requests of
# the other, where an endpoint should get none. It is scaled down as the shares become
# equal, so that equal endpoints are chosen as those without statements. It is as large
# as the cost of a connection, or open connections would decide.
SHARE_COST = 0.1
# Smallest share, which bounds the cost: failures matter more.
MIN_SHARE = 1e-4
# Fewest requests in progress that are assumed, as a share of all slots. With fewer, a
# difference of some percent would leave an endpoint without requests; with these, one
# of a quarter does.
MIN_LOAD_SHARE = 0.2
# Share of the stated requests that count beside those to come. Within the time of one
# answer the ones are replaced by the others.
STATED_SHARE = 0.5
MAX_RECORDS = 5_000
# Minimum time between two announcements of one broken endpoint by a node, in seconds.
# Announcements by three of ten nodes already make the endpoint the last choice.
ANNOUNCE_SECONDS = 0.2


@dataclass(kw_only=True, slots=True)
class _Record:
    # When each request in progress began, the oldest first.
    began_at: list[float] = field(default_factory=list)
    failure_rate: float = 0.0
    updated_at: float = 0.0
    answer_seconds: float = 0.0
    answered_at: float = 0.0
    next_announcement_at: float = 0.0
    # By node, when its last announcement counted.
    announced_at: dict[str, float] = field(default_factory=dict)


class EndpointChoice:
    """Chooses endpoints by requests in progress, recent failures and answer times.

    Parameters
    ----------
    failure_domain : str
        The failure domain of this node.
    rng : random.Random
        Breaks ties, so that nodes with the same view don't all choose the same.
    tell : callable
        Called with an endpoint that aborted a request, to announce it to other nodes.
    is_connected : callable
        Returns whether an idle connection to an address is open.
    speeds : EndpointSpeeds or None
        Load and speed of endpoints that state them; none by default.
    is_new : callable or None
        Returns whether an endpoint started or recovered a short while ago. Until it has
        answered, it is taken to be as fast as one of the others; it would attract the
        requests of all nodes as the fastest one otherwise.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        rng: random.Random,
        tell: Callable[[str], None],
        is_connected: Callable[[Address], bool],
        speeds: EndpointSpeeds | None = None,
        is_new: Callable[[str], bool] | None = None,
    ) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._tell = tell
        self._is_connected = is_connected
        self._speeds = speeds or EndpointSpeeds()
        self._is_new = is_new or (lambda endpoint: False)
        self._records: dict[str, _Record] = {}

    def choose(
        self, regs: Sequence[Registration], excluded: Collection[str], now: float
    ) -> Registration | None:
        """Return the best endpoint that is not excluded."""
        choices = [reg for reg in regs if reg.endpoint not in excluded]
        if not choices:
            return None
        extra = self._unknown_costs(choices, now)
        shares = self._shares(choices, now)
        if shares is None:
            return min(
                choices,
                key=lambda reg: self._cost(reg, now) + extra.get(reg.endpoint, 0.0),
            )
        # The endpoint with the greatest sum of the logarithm of its share and a Gumbel
        # variate is chosen with the probability that its share states.
        scale = SHARE_COST * self._inequality(choices, shares)
        costs = []
        for reg, share in zip(choices, shares, strict=True):
            draw = self._rng.random()
            # The same draw as for endpoints without statements. The noise is lowest
            # where the variate is greatest, so it doesn't make the shares more unequal.
            gumbel = -math.log(-math.log(max(1.0 - draw, 1e-12)))
            bonus = math.log(max(share, MIN_SHARE)) + gumbel
            costs.append(self._cost_without_noise(reg, now) + 0.04 * draw)
            costs[-1] += extra.get(reg.endpoint, 0.0) - scale * bonus
        return choices[costs.index(min(costs))]

    def inputs(self, endpoint: str, now: float) -> dict[str, float]:
        """Return what an endpoint stated, as used in a choice, and its age.

        Empty for an endpoint that states nothing.
        """
        speeds = self._speeds
        if not speeds.is_stated(endpoint):
            return {}
        seconds = speeds.usual_seconds(endpoint) or DEFAULT_ANSWER_SECONDS
        return {
            "slowness": round(speeds.slowness(endpoint, now, seconds), 3),
            "lasting_slowness": round(speeds.lasting_slowness(endpoint), 3),
            "n_elsewhere": round(speeds.n_elsewhere(endpoint, now), 2),
            "stated_age": round(speeds.age_seconds(endpoint, now), 4),
        }

    def _unknown_costs(
        self, choices: Sequence[Registration], now: float
    ) -> dict[str, float]:
        """Return, by new endpoint without an answer, the cost of its unknown speed."""
        unknown = [
            reg.endpoint
            for reg in choices
            if self._is_new(reg.endpoint) and not self._record(reg.endpoint).answered_at
        ]
        if not unknown:
            return {}
        known = [reg.endpoint for reg in choices if reg.endpoint not in unknown]
        return {
            endpoint: ANSWER_COST * self._drawn_seconds(known, now)
            for endpoint in unknown
        }

    def _drawn_seconds(self, known: Sequence[str], now: float) -> float:
        """Return the expected time of an answer at the better of two drawn endpoints.

        With it, a new endpoint is chosen about as often as each of the others: it ties
        with the one that it was drawn from. The average of all would be too high, as
        many have no recent answer and are chosen first.
        """
        if not known:
            return 0.0
        return min(
            self._answer_seconds(self._record(self._rng.choice(known)), now)
            for _ in range(2)
        )

    def begin(self, endpoint: str, now: float) -> None:
        """Count a request that is sent to an endpoint as in progress."""
        self._record(endpoint).began_at.append(now)

    def end(
        self,
        endpoint: str,
        began_at: float,
        *,
        is_failed: bool,
        is_broken: bool,
        now: float,
        is_answered: bool = False,
        is_refused: bool = False,
    ) -> None:
        """Record how a request that began at ``began_at`` ended at an endpoint.

        ``is_answered`` says that it brought a complete answer without an error, and
        ``is_refused`` that the endpoint refused to run it. Neither holds for a request
        that was cancelled.

        An aborted request is announced to the other nodes. An endpoint may reset all
        requests while its row reports it healthy. Without the announcement each of a
        dozen nodes would find out by a request of its own, which may have run and can't
        be sent again; its caller would not know whether it was executed. Error answers
        are not announced: all endpoints send some, and the busiest would look the
        worst. In one simulated incident with twelve nodes the announcements reduced the
        requests cut off from 11 to 4.
        """
        record = self._record(endpoint)
        record.began_at.remove(began_at)
        change = ANSWER_WEIGHT * (now - began_at - record.answer_seconds)
        record.answer_seconds += change
        record.answered_at = now
        self._observe(record, 1.0 if is_failed else 0.0, now)
        if is_answered:
            self._speeds.record_answer(endpoint, now - began_at, now)
        if is_refused:
            self._speeds.record_refusal(endpoint)
        if is_broken and now >= record.next_announcement_at:
            record.next_announcement_at = now + ANNOUNCE_SECONDS
            self._tell(endpoint)

    def record_peer_failure(self, endpoint: str, node: str, now: float) -> None:
        """Record that an endpoint aborted a request of another node.

        What one node announces counts once while it is remembered: the fault may be on
        that node's path, and alone it must not take an endpoint from the others.
        """
        record = self._record(endpoint)
        if now < record.announced_at.get(node, -HALF_LIFE_SECONDS) + HALF_LIFE_SECONDS:
            return
        record.announced_at[node] = now
        self._observe(record, 1.0, now)

    def _observe(self, record: _Record, outcome: float, now: float) -> None:
        rate = self._rate(record, now)
        record.failure_rate = rate + OUTCOME_WEIGHT * (outcome - rate)
        record.updated_at = now

    def _shares(
        self, choices: Sequence[Registration], now: float
    ) -> list[float] | None:
        """Return the shares of all nodes' requests that endpoints should get.

        None if no endpoint states its load. Those that don't count as usual ones.
        """
        speeds = self._speeds
        stated = [reg.endpoint for reg in choices if speeds.is_stated(reg.endpoint)]
        if not stated:
            return None
        found = (speeds.usual_seconds(endpoint) for endpoint in stated)
        times = [seconds for seconds in found if seconds is not None]
        work_seconds = statistics.median(times) if times else DEFAULT_ANSWER_SECONDS
        servers = [self._server(reg, now, work_seconds) for reg in choices]
        n_slots = sum(server.n_slots for server in servers)
        n_running = sum(
            speeds.mean_load(endpoint) / speeds.lasting_slowness(endpoint)
            for endpoint in stated
        )
        n_running *= len(choices) / len(stated)
        n_running = max(n_running, MIN_LOAD_SHARE * n_slots)
        n_counted = sum(server.n_busy / server.slowness for server in servers)
        n_to_come = max(n_running - n_counted, (1 - STATED_SHARE) * n_running)
        return fill_shares(servers, n_to_come)

    def _server(self, reg: Registration, now: float, work_seconds: float) -> Server:
        speeds = self._speeds
        n_own = len(self._record(reg.endpoint).began_at)
        n_others = max(0.0, speeds.n_elsewhere(reg.endpoint, now) - n_own)
        return Server(
            n_slots=max(1, reg.n_slots),
            slowness=speeds.slowness(reg.endpoint, now, work_seconds),
            n_busy=STATED_SHARE * n_others,
        )

    @staticmethod
    def _inequality(choices: Sequence[Registration], shares: Sequence[float]) -> float:
        """Return how far shares are from fair ones: 0 if they are, 1 if one is 0."""
        fair = fair_shares([Server(n_slots=max(1, reg.n_slots)) for reg in choices])
        return 1 - min(
            share / fair_share for share, fair_share in zip(shares, fair, strict=True)
        )

    def _cost(self, reg: Registration, now: float) -> float:
        return self._cost_without_noise(reg, now) + 0.04 * self._rng.random()

    def _cost_without_noise(self, reg: Registration, now: float) -> float:
        record = self._record(reg.endpoint)
        is_cross_domain = reg.failure_domain != self._failure_domain
        return (
            len(record.began_at) / max(1, reg.n_slots)
            + FAILURE_COST * self._rate(record, now)
            + ANSWER_COST * self._answer_seconds(record, now)
            + (CROSS_DOMAIN_COST if is_cross_domain else 0.0)
            + (0.0 if self._is_connected(reg.address) else CONNECT_COST)
        )

    @staticmethod
    def _answer_seconds(record: _Record, now: float) -> float:
        """Return how long an answer is expected to take.

        A request in progress shows that an endpoint has become slow before it ends.
        """
        age = max(0.0, now - record.answered_at)
        expected = record.answer_seconds * 0.5 ** (age / ANSWER_HALF_LIFE_SECONDS)
        oldest = now - record.began_at[0] if record.began_at else 0.0
        return float(max(expected, oldest))

    @staticmethod
    def _rate(record: _Record, now: float) -> float:
        age = max(0.0, now - record.updated_at)
        return float(record.failure_rate * 0.5 ** (age / HALF_LIFE_SECONDS))

    def _record(self, endpoint: str) -> _Record:
        if len(self._records) >= MAX_RECORDS:
            # Replaced endpoints get new ids, so records that aren't in use are dropped.
            self._records = {
                name: record
                for name, record in self._records.items()
                if record.began_at
            }
        return self._records.setdefault(endpoint, _Record())
