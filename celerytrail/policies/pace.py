"""Pace at which endpoints get requests after they started or recovered.

The load pattern: to every node an endpoint that has just come looks like the least
loaded one, so all nodes send it their requests at the same moment. One that is still
faulty fails them all. A node receives one or two requests a second, so most nodes have
no answer of their own to judge by before the endpoint should have its full share.

Each node derives a share from its own clock and the answers that it knows of. The node
takes part if its rank in the endpoint's order is within that share of the live nodes,
so the shares of all nodes add up without a message.
"""

from __future__ import annotations

import abc
import enum
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from .coldlimits import NodePosition

# Time at the first share, and then until the full share without bad answers, in
# seconds. The bound for both is 2 s, and nodes learn of a start up to 0.3 s apart. The
# first part is long enough for a plain answer, or for finding that none comes.
TRIAL_SECONDS = 0.5
RAMP_SECONDS = 0.9
# Share at which the increase begins, and the nodes that it is at least. With 96 nodes
# and 64 requests a second, four nodes have the first request after 0.4 s.
FIRST_SHARE = 0.02
N_TRIAL_NODES = 4
# Share for a while after bad answers: no node, as each failed request is lost to its
# caller and the next trial tells the same.
LOWEST_SHARE = 0.001
# How much earlier the full share is reached with each good answer, in seconds.
GOOD_PROGRESS_SECONDS = 0.1
# Time at the lowest share after the first drop, in seconds; it doubles with each
# further drop or start up to the longest.
HOLD_SECONDS = 0.5
MAX_HOLD_SECONDS = 8.0
# Starts within this time of one another have one cause, in seconds: a row, a path and a
# pause may report the same recovery.
SAME_START_SECONDS = 1.0
# How long an endpoint is watched after it has its full share, in seconds. Drops count
# together within this time.
WATCH_SECONDS = 20.0
# How long an endpoint that is gone is remembered, in seconds. One whose row comes and
# goes would be new each time otherwise.
GONE_SECONDS = 10.0
# Suspicion at which an endpoint that is watched drops, and at which one that isn't
# is treated as having started: a single error there may be chance.
DROP_SUSPICION = 1.0
AVOID_SUSPICION = 2.0
# Half-life of suspicion, in seconds, and what a good answer leaves of it.
SUSPICION_HALF_LIFE_SECONDS = 3.0
GOOD_SUSPICION_FACTOR = 0.5
# Weight of a refusal by an endpoint that has its full share: it may just be full.
FULL_WEIGHT = 0.35
# Weight of another node's report about an endpoint that answers this node well or isn't
# watched: several nodes have to agree, as the fault may be on a node's path.
PEER_WEIGHT = 0.7
# Time in which the reports of one node about an endpoint count once, in seconds: that
# of a trial and an increase.
PEER_REPORT_SECONDS = 2.0
MAX_SUSPICIONS = 1_000

# Error rate of a faulty endpoint by which an error is weighed against the usual rate.
FAULTY_ERROR_RATE = 0.6
MIN_ERROR_RATE = 0.01
# Evidence (logarithm of the likelihood ratio) that counts as weight 1. An error is
# conclusive alone where fewer than 8% of the answers are errors.
CONCLUSIVE_EVIDENCE = 2.0
# An answer is slow if it takes this many times as long as elsewhere. Permanent
# differences and transient slowdowns of the known deployments reach 3.4.
SLOW_RATIO = 4.0
SLOW_WEIGHT = 0.3
# A request without an answer after ``SLOW_RATIO`` times the usual time, and at least
# this time in seconds, is a failure.
MIN_OVERDUE_SECONDS = 0.25
# Shortest usual time, in seconds: differences below it are due to the network.
MIN_USUAL_SECONDS = 0.03
USUAL_WEIGHT = 0.05
# Answers after which the usual time of a route is known.
MIN_USUAL_ANSWERS = 3

# Largest part of a service's open endpoints that the pace holds back. The others would
# have to serve more than twice their requests otherwise.
MAX_PACED_PART = 0.5


class StartReason(enum.Enum):
    """Why an endpoint's pace is limited."""

    NEW = "new"
    RESTARTED = "restarted"
    PAUSE_ENDED = "pause_ended"
    PATH_REGAINED = "path_regained"
    EVACUATION_ENDED = "evacuation_ended"
    UNREACHABLE = "unreachable"
    ERRORS = "errors"


# Recoveries that an endpoint or an operator stated beforehand: they are no flapping.
STATED_REASONS = (StartReason.PAUSE_ENDED, StartReason.EVACUATION_ENDED)


class PaceShares(abc.ABC):
    """Decides which nodes send requests to an endpoint with a given share."""

    @abc.abstractmethod
    def takes_part(self, share: float, position: NodePosition) -> bool:
        """Return whether a node takes part, by its position among the live nodes."""


class RankedPaceShares(PaceShares):
    """Lets the first nodes in the endpoint's order take part, at first four of them."""

    def takes_part(self, share: float, position: NodePosition) -> bool:
        """Return whether a node takes part, by its position among the live nodes."""
        if share < FIRST_SHARE:
            return False
        n_nodes = max(N_TRIAL_NODES, math.floor(share * position.n_nodes))
        return position.index < n_nodes


class Pace(abc.ABC):
    """Limits the share of requests of endpoints that have started or recovered."""

    @abc.abstractmethod
    def share(self, endpoint: str, now: float) -> float:
        """Return the part of the live nodes that may use an endpoint, in (0, 1]."""

    @abc.abstractmethod
    def record_start(
        self,
        endpoint: str,
        now: float,
        *,
        reason: StartReason = StartReason.NEW,
        from_at: float | None = None,
    ) -> None:
        """Record that an endpoint has started or recovered.

        Parameters
        ----------
        endpoint : str
            The endpoint.
        now : float
            The current time, in seconds.
        reason : StartReason
            How that was noticed.
        from_at : float or None
            When it takes requests again, if that is later, in seconds.
        """

    @abc.abstractmethod
    def record_outcome(
        self, endpoint: str, is_good: bool, now: float, *, weight: float = 1.0
    ) -> bool:
        """Record an answer; return whether the endpoint drops to the lowest share.

        ``weight`` is the evidence of a bad answer; 1 is conclusive.
        """

    def is_watched(self, endpoint: str) -> bool:
        """Return whether single bad answers of an endpoint matter."""
        return False

    def n_holds(self, endpoint: str) -> int:
        """Return how often an endpoint was held at the lowest share."""
        return 0

    def n_unanswered(self, endpoint: str) -> int | None:
        """Return how many requests a node may have without an answer; None for any."""
        return None

    def record_peer_report(self, endpoint: str, node: str, now: float) -> bool:
        """Record that another node found an endpoint faulty; return if it drops."""
        return False

    def states(self, now: float) -> Sequence[PaceState]:
        """Return the endpoints that are watched, with their shares."""
        return ()

    def expire(  # noqa: B027  (a pace without state has nothing to forget)
        self, now: float, is_known: Callable[[str], bool]
    ) -> None:
        """Forget endpoints that are gone or have had their full share for long."""


@dataclass(kw_only=True, slots=True)
class _Paced:
    """An endpoint that has started or recovered.

    ``rises_at`` is when the increase begins or began, and ``full_at`` when the full
    share is reached; ``known_at`` is when it was last in the table. All are in seconds.
    """

    reason: StartReason
    started_at: float
    rises_at: float
    full_at: float
    known_at: float
    n_holds: int = 0
    n_good: int = 0
    n_bad: int = 0
    suspicion: float = 0.0
    suspected_at: float = 0.0
    # By node, when its last report counted.
    reported_at: dict[str, float] = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class _Suspect:
    suspicion: float = 0.0
    suspected_at: float = 0.0
    reported_at: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class PaceState:
    """An endpoint's share and what it is based on; for operators.

    ``started_at``, ``rises_at`` and ``full_at`` are in seconds.
    """

    endpoint: str
    share: float
    reason: StartReason
    started_at: float
    rises_at: float
    full_at: float
    n_good: int
    n_bad: int
    n_holds: int


class AdaptivePace(Pace):
    """Increases the share by the clock and by good answers; drops it on bad ones.

    Without bad answers the share is 1 after ``TRIAL_SECONDS`` and ``RAMP_SECONDS``. A
    drop holds it at the lowest value, twice as long at each repetition, so that an
    endpoint which fails again and again doesn't oscillate.
    """

    def __init__(self) -> None:
        self._paced: dict[str, _Paced] = {}
        self._suspects: dict[str, _Suspect] = {}

    def share(self, endpoint: str, now: float) -> float:
        """Return the part of the live nodes that may use an endpoint, in (0, 1]."""
        known = self._paced.get(endpoint)
        if known is None or now >= known.full_at:
            return 1.0
        if now < known.rises_at:
            return LOWEST_SHARE
        seconds_left = known.full_at - now
        return float(FIRST_SHARE ** min(1.0, seconds_left / RAMP_SECONDS))

    def record_start(
        self,
        endpoint: str,
        now: float,
        *,
        reason: StartReason = StartReason.NEW,
        from_at: float | None = None,
    ) -> None:
        """Record that an endpoint has started or recovered."""
        from_at = now if from_at is None else max(now, from_at)
        self._suspects.pop(endpoint, None)
        known = self._paced.get(endpoint)
        if known is None:
            self._paced[endpoint] = _Paced(
                reason=reason,
                started_at=now,
                rises_at=from_at,
                full_at=from_at + TRIAL_SECONDS + RAMP_SECONDS,
                known_at=now,
            )
            return
        known.reason = reason
        if reason in STATED_REASONS:
            known.started_at = now
        elif now >= known.started_at + SAME_START_SECONDS:
            from_at += _hold_seconds(known.n_holds)
            known.n_holds += 1
            known.started_at = now
            known.n_good = 0
        if from_at > known.rises_at:
            self._rise(known, from_at)

    def record_outcome(
        self, endpoint: str, is_good: bool, now: float, *, weight: float = 1.0
    ) -> bool:
        """Record an answer; return whether the endpoint drops to the lowest share."""
        known = self._paced.get(endpoint)
        if known is not None:
            return self._record_paced(known, is_good, now, weight)
        suspect = self._suspects.get(endpoint)
        if is_good:
            if suspect is not None:
                suspect.suspicion *= GOOD_SUSPICION_FACTOR
            return False
        if suspect is None:
            suspect = self._add_suspect(endpoint)
        if _suspect(suspect, weight, now) < AVOID_SUSPICION:
            return False
        self.record_start(endpoint, now, reason=StartReason.ERRORS)
        self._drop(self._paced[endpoint], now)
        return True

    def is_watched(self, endpoint: str) -> bool:
        """Return whether single bad answers of an endpoint matter."""
        return endpoint in self._paced

    def n_holds(self, endpoint: str) -> int:
        """Return how often an endpoint was held at the lowest share."""
        known = self._paced.get(endpoint)
        return known.n_holds if known is not None else 0

    def n_unanswered(self, endpoint: str) -> int | None:
        """Return how many requests a node may have without an answer; None for any.

        One more for each good answer, so that an endpoint which accepts requests and
        answers none gets few.
        """
        known = self._paced.get(endpoint)
        return 1 + known.n_good if known is not None else None

    def record_peer_report(self, endpoint: str, node: str, now: float) -> bool:
        """Record that another node found an endpoint faulty; return if it drops."""
        known = self._paced.get(endpoint)
        reported_at = (
            known.reported_at
            if known is not None
            else self._add_suspect(endpoint).reported_at
        )
        if now < reported_at.get(node, -math.inf) + PEER_REPORT_SECONDS:
            return False
        reported_at[node] = now
        is_unknown = known is not None and not known.n_good
        weight = DROP_SUSPICION if is_unknown else PEER_WEIGHT
        return self.record_outcome(endpoint, False, now, weight=weight)

    def states(self, now: float) -> Sequence[PaceState]:
        """Return the endpoints that are watched, with their shares."""
        return [
            PaceState(
                endpoint=endpoint,
                share=self.share(endpoint, now),
                reason=known.reason,
                started_at=known.started_at,
                rises_at=known.rises_at,
                full_at=known.full_at,
                n_good=known.n_good,
                n_bad=known.n_bad,
                n_holds=known.n_holds,
            )
            for endpoint, known in sorted(self._paced.items())
        ]

    def expire(self, now: float, is_known: Callable[[str], bool]) -> None:
        """Forget endpoints that are gone or have had their full share for long."""
        for endpoint, known in self._paced.items():
            if is_known(endpoint):
                known.known_at = now
        self._paced = {
            endpoint: known
            for endpoint, known in self._paced.items()
            if now < known.known_at + GONE_SECONDS
            and now < known.full_at + WATCH_SECONDS
        }
        self._suspects = {
            endpoint: known
            for endpoint, known in self._suspects.items()
            if is_known(endpoint) and now < known.suspected_at + WATCH_SECONDS
        }

    def _record_paced(
        self, known: _Paced, is_good: bool, now: float, weight: float
    ) -> bool:
        if is_good:
            known.n_good += 1
            known.suspicion *= GOOD_SUSPICION_FACTOR
            if known.rises_at <= now < known.full_at:
                known.full_at -= GOOD_PROGRESS_SECONDS
            return False
        known.n_bad += 1
        if _suspect(known, weight, now) < DROP_SUSPICION:
            return False
        return self._drop(known, now)

    def _drop(self, known: _Paced, now: float) -> bool:
        """Set the lowest share; return whether it wasn't set before."""
        known.suspicion = 0.0
        known.n_good = 0
        is_new = now >= known.rises_at
        if is_new:
            known.n_holds += 1
        # Failures while it is held are of requests that were sent before.
        self._rise(known, now + _hold_seconds(max(0, known.n_holds - 1)))
        return is_new

    @staticmethod
    def _rise(known: _Paced, at: float) -> None:
        known.rises_at = max(known.rises_at, at)
        known.full_at = known.rises_at + TRIAL_SECONDS + RAMP_SECONDS

    def _add_suspect(self, endpoint: str) -> _Suspect:
        if len(self._suspects) >= MAX_SUSPICIONS:
            self._suspects.clear()
        return self._suspects.setdefault(endpoint, _Suspect())


def _suspect(known: _Paced | _Suspect, weight: float, now: float) -> float:
    """Add to an endpoint's suspicion, which decays, and return it."""
    age = now - known.suspected_at
    decayed = known.suspicion * 0.5 ** (age / SUSPICION_HALF_LIFE_SECONDS)
    known.suspicion = decayed + weight
    known.suspected_at = now
    return known.suspicion


def _hold_seconds(n_holds: int) -> float:
    return float(min(MAX_HOLD_SECONDS, HOLD_SECONDS * 2.0 ** min(n_holds, 10)))


@dataclass(frozen=True, kw_only=True, slots=True)
class Judgement:
    """Whether an answer is as good as elsewhere; ``weight`` as in `Pace`."""

    is_good: bool
    weight: float = 1.0


@dataclass(kw_only=True, slots=True)
class _Usual:
    n_answers: int = 0
    seconds: float = 0.0
    error_rate: float = 0.0


class AnswerKind(enum.Enum):
    """How an endpoint answered a request."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


class UsualAnswers:
    """Knows how the endpoints of a service usually answer, by service and route.

    Some routes have errors at any endpoint, and answers differ in length by route.
    """

    def __init__(self) -> None:
        self._usual: dict[tuple[str, str], _Usual] = {}

    def record(
        self, service: str, route: str, *, is_error: bool, seconds: float
    ) -> None:
        """Record an answer of an endpoint that has its full share."""
        usual = self._usual.setdefault((service, route), _Usual())
        change = (1.0 if is_error else 0.0) - usual.error_rate
        usual.error_rate += USUAL_WEIGHT * change
        if is_error:
            return
        usual.n_answers += 1
        # The first answers count equally.
        weight = max(USUAL_WEIGHT, 1.0 / usual.n_answers)
        usual.seconds += weight * (seconds - usual.seconds)

    def judge(
        self, service: str, route: str, *, is_error: bool, seconds: float
    ) -> Judgement:
        """Compare an answer with those of the other endpoints.

        Parameters
        ----------
        service, route : str
            The service and the route of the request.
        is_error : bool
            Whether it is a refusal, an error or a broken connection.
        seconds : float
            The time to the answer or to its first event.
        """
        usual = self._usual.get((service, route), _Usual())
        if is_error:
            rate = min(FAULTY_ERROR_RATE, max(MIN_ERROR_RATE, usual.error_rate))
            evidence = math.log(FAULTY_ERROR_RATE / rate)
            return Judgement(
                is_good=False, weight=min(1.0, evidence / CONCLUSIVE_EVIDENCE)
            )
        if usual.n_answers < MIN_USUAL_ANSWERS:
            return Judgement(is_good=True)
        if seconds > SLOW_RATIO * max(MIN_USUAL_SECONDS, usual.seconds):
            return Judgement(is_good=False, weight=SLOW_WEIGHT)
        return Judgement(is_good=True)

    def overdue_seconds(self, service: str) -> float | None:
        """Return after which time a request without an answer has failed, if known."""
        found = [
            usual.seconds
            for (name, _), usual in self._usual.items()
            if name == service and usual.n_answers >= MIN_USUAL_ANSWERS
        ]
        if not found:
            return None
        return max(MIN_OVERDUE_SECONDS, SLOW_RATIO * max(found))

    def keep(self, services: set[str]) -> None:
        """Forget services without endpoints."""
        self._usual = {
            key: usual for key, usual in self._usual.items() if key[0] in services
        }


def is_in_force(n_paced: int, n_open: int) -> bool:
    """Return whether enough endpoints of a service are open beside the paced ones."""
    return n_paced <= MAX_PACED_PART * n_open


class NodePace:
    """Decides for one node which paced endpoints get its requests.

    Parameters
    ----------
    pace : Pace or None
        The share of each endpoint; adaptive by default.
    shares : PaceShares or None
        Which nodes take part; the first ones in the endpoint's order by default.
    """

    def __init__(
        self, *, pace: Pace | None = None, shares: PaceShares | None = None
    ) -> None:
        self.pace = pace or AdaptivePace()
        self._shares = shares or RankedPaceShares()
        self._usual = UsualAnswers()
        # By endpoint, when its requests that aren't answered yet were sent.
        self._sent_at: dict[str, list[float]] = {}

    def is_paced(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint has less than its full share."""
        return self.pace.share(endpoint, now) < 1.0

    def holds_back(self, endpoint: str, position: NodePosition, now: float) -> bool:
        """Return whether this node has no share of an endpoint's requests now."""
        share = self.pace.share(endpoint, now)
        if share >= 1.0:
            return False
        if not self._shares.takes_part(share, self._turn(endpoint, position)):
            return True
        n_allowed = self.pace.n_unanswered(endpoint)
        n_sent = len(self._sent_at.get(endpoint, ()))
        return n_allowed is not None and n_sent >= n_allowed

    def wants_trial(self, endpoint: str, position: NodePosition, now: float) -> bool:
        """Return whether this node should send an endpoint its next request.

        The nodes that take part at first do so until one request was answered. Where
        endpoints are many, they would choose the new one only after seconds, and the
        other nodes would use it before anything is known of it.
        """
        n_allowed = self.pace.n_unanswered(endpoint)
        return (
            n_allowed == 1
            and self.pace.share(endpoint, now) == FIRST_SHARE
            and not self.holds_back(endpoint, position, now)
        )

    def takes_refused(self, endpoint: str, now: float) -> bool:
        """Return whether a paced endpoint should get a request that others refused.

        The others are full, so the request would be refused because of the pace. One
        that was found faulty is no better place.
        """
        share = self.pace.share(endpoint, now)
        n_allowed = self.pace.n_unanswered(endpoint)
        n_sent = len(self._sent_at.get(endpoint, ()))
        is_free = n_allowed is None or n_sent < n_allowed
        return FIRST_SHARE <= share < 1.0 and is_free

    def _turn(self, endpoint: str, position: NodePosition) -> NodePosition:
        """Return a node's position, in which other nodes are the first after a hold.

        The first ones may wait for answers still, or be those with a faulty path.
        """
        n_turned = N_TRIAL_NODES * self.pace.n_holds(endpoint)
        index = (position.index - n_turned) % max(1, position.n_nodes)
        return NodePosition(index=index, n_nodes=position.n_nodes)

    def begin(self, endpoint: str, now: float) -> None:
        """Record that a request is sent to an endpoint."""
        self._sent_at.setdefault(endpoint, []).append(now)

    def end(self, endpoint: str, sent_at: float) -> None:
        """Record that a request has its answer, or was given up."""
        sent = self._sent_at.get(endpoint, [])
        if sent_at in sent:
            sent.remove(sent_at)
            if not sent:
                del self._sent_at[endpoint]

    def record_answer(
        self,
        endpoint: str,
        service: str,
        route: str,
        now: float,
        *,
        kind: AnswerKind,
        seconds: float,
    ) -> bool:
        """Record an answer; return whether the endpoint drops to the lowest share.

        Parameters
        ----------
        endpoint, service, route : str
            The endpoint, its service and the route of the request.
        now : float
            The current time, in seconds.
        kind : AnswerKind
            How it answered.
        seconds : float
            The time to the answer or to its first event.
        """
        is_error = kind is not AnswerKind.ANSWERED
        judged = self._usual.judge(service, route, is_error=is_error, seconds=seconds)
        is_paced = self.is_paced(endpoint, now)
        if not is_paced:
            self._usual.record(service, route, is_error=is_error, seconds=seconds)
        if kind is AnswerKind.REFUSED and not is_paced:
            # A full endpoint that is in use isn't faulty.
            if not self.pace.is_watched(endpoint):
                return False
            judged = replace(judged, weight=min(FULL_WEIGHT, judged.weight))
        return self.pace.record_outcome(
            endpoint, judged.is_good, now, weight=judged.weight
        )

    def overdue_at(self, endpoint: str, service: str, sent_at: float) -> float | None:
        """Return when a request without an answer counts as failed, if it may.

        Only at watched endpoints, and where usual times are known.
        """
        seconds = self._usual.overdue_seconds(service)
        if seconds is None or not self.pace.is_watched(endpoint):
            return None
        return sent_at + seconds

    def record_overdue(self, endpoint: str, sent_at: float, now: float) -> bool:
        """Record that a request is overdue; return whether its endpoint drops."""
        if sent_at not in self._sent_at.get(endpoint, ()):
            return False
        return self.pace.record_outcome(endpoint, False, now)

    def expire(
        self, now: float, is_known: Callable[[str], bool], services: set[str]
    ) -> None:
        """Forget endpoints that are gone, and services without endpoints."""
        self.pace.expire(now, is_known)
        self._usual.keep(services)
