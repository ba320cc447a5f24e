"""Speed and load of endpoints, estimated from what they and their answers show.

Machines of one service differ permanently in speed, and each becomes slow for some
tenths of a second now and then. Endpoints state the present load and slowness with each
answer. With ninety nodes one node gets an answer of an endpoint every few seconds, so
nodes also announce what they read: one value of each endpoint a second, and changes.
"""

from __future__ import annotations

import enum
import math
import statistics
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..model import LoadHeader

# A machine whose work takes this much longer than it does permanently is slow for the
# moment. Smaller differences are within the usual spread.
PASSING_RATIO = 1.25
# Stated values by which the permanent speed of an endpoint is estimated, and the fewest
# that suffice. A median of 25 holds while machines are slow for a fifth of the time.
N_SAMPLES = 25
MIN_SAMPLES = 5
# Time between two of them, in seconds. It exceeds the usual length of a slow phase, so
# that one phase isn't counted several times.
SAMPLE_SECONDS = 1.0
# Initial estimate of the length of a slow phase, in seconds, and its weight in observed
# phases.
INITIAL_PHASE_SECONDS = 0.5
INITIAL_WEIGHT = 2.0
# Weight of all endpoints' phases in the estimate for one endpoint, in observed phases.
SHARED_WEIGHT = 5.0
# Observed phases after which earlier ones count less.
MAX_PHASES = 40.0
# Share of the time for which an endpoint is assumed to be slow when it is observed
# again long after a slow phase.
SLOW_SHARE = 0.15
# Weight of one answer's time in the moving average, which covers about the last ten.
ANSWER_WEIGHT = 0.15
# Assumed for an endpoint without an answer, in seconds.
DEFAULT_ANSWER_SECONDS = 0.05
# Answers before an endpoint's statements are compared with their times, and the ratio
# from which the statements are taken as false. Times of single answers vary by a
# factor of two.
MIN_ANSWERS = 3
FALSE_RATIO = 3.0
# Weight of one stated load in the moving average of an endpoint.
LOAD_WEIGHT = 0.1
# Shortest time between two announcements of changes at one endpoint, in seconds. It
# bounds the messages if an endpoint states other values in each answer.
NEWS_SECONDS = 0.1


class News(enum.Enum):
    """Whether other nodes should learn of a stated value."""

    NONE = "none"
    # The value differs from what the other nodes expect.
    CHANGE = "change"
    # The value is one that is due by time, whatever it is.
    SAMPLE = "sample"


class _Phases:
    """Mean length of slow phases, learned from pairs of successive observations.

    Phases are taken as exponentially distributed. Their ends lie between two
    observations; each pair adds the expected time in the phase and the expected number
    of ends (one step of expectation maximisation).
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self.n_ended = 0.0

    def mean_seconds(self, prior_seconds: float, prior_weight: float) -> float:
        """Return the mean length, in seconds."""
        seconds = prior_weight * prior_seconds + self.seconds
        return seconds / (prior_weight + self.n_ended)

    def add(self, gap_seconds: float, mean_seconds: float, *, is_slow: bool) -> None:
        """Add an observation that follows a slow one after ``gap_seconds``."""
        ratio = gap_seconds / mean_seconds
        p_lasted = math.exp(-ratio)
        # Mean time to an end that lies within the gap.
        ended_seconds = gap_seconds / 2
        if ratio > 1e-3:
            ended_seconds = mean_seconds - gap_seconds * p_lasted / (1 - p_lasted)
        share = 0.0
        if is_slow:
            # It may be another phase.
            share = p_lasted / (p_lasted + (1 - p_lasted) * SLOW_SHARE)
        self.seconds += share * gap_seconds + (1 - share) * ended_seconds
        self.n_ended += 1 - share
        if self.n_ended > MAX_PHASES:
            self.seconds *= MAX_PHASES / self.n_ended
            self.n_ended = MAX_PHASES


@dataclass(kw_only=True, slots=True)
class _Endpoint:
    stated: LoadHeader | None = None
    stated_at: float = -math.inf
    slowness: float | None = None
    slowness_at: float = -math.inf
    sampled_at: float = -math.inf
    announced_at: float = -math.inf
    samples: deque[float] = field(default_factory=lambda: deque(maxlen=N_SAMPLES))
    # Median of the samples, kept because choices read it more often than it changes.
    lasting: float = 1.0
    phases: _Phases = field(default_factory=_Phases)
    mean_load: float = 0.0
    n_answers: int = 0
    answer_seconds: float = 0.0
    # The same, divided by the slowness that was stated with the answer.
    usual_seconds: float = 0.0
    is_doubted: bool = False


class EndpointSpeeds:
    """Estimates slowness and load of endpoints from stated values and answers.

    The permanent slowness is the median of values that are a second apart. What exceeds
    it is expected to end after the mean length of earlier slow phases. An endpoint that
    refuses a request although it states free slots is treated like one without
    statements until it answers again.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, _Endpoint] = {}
        self._phases = _Phases()

    def record_stated(self, endpoint: str, header: LoadHeader, now: float) -> News:
        """Record what an endpoint states in an answer that arrived now.

        Returns
        -------
        News
            Whether the other nodes should learn of it.
        """
        known = self._endpoints.setdefault(endpoint, _Endpoint())
        news = News.NONE
        if header.slowness is not None:
            news = self._find_news(known, header.slowness, now)
        self._record(known, header, now, is_sample=news is News.SAMPLE)
        if news is not News.NONE:
            known.announced_at = now
        return news

    def record_told(
        self, endpoint: str, header: LoadHeader, now: float, *, is_sample: bool
    ) -> None:
        """Record what an endpoint stated to another node, which announced it."""
        known = self._endpoints.setdefault(endpoint, _Endpoint())
        known.announced_at = now
        self._record(known, header, now, is_sample=is_sample)

    def record_answer(self, endpoint: str, seconds: float, now: float) -> None:
        """Record the time of a complete answer that arrived now.

        An answer shows that the endpoint doesn't refuse everything.
        """
        known = self._endpoints.get(endpoint)
        if known is None:
            return
        known.is_doubted = False
        known.n_answers += 1
        weight = max(ANSWER_WEIGHT, 1 / known.n_answers)
        slowness = known.slowness if known.slowness_at > now - seconds else None
        usual_seconds = seconds / (slowness or known.lasting)
        known.answer_seconds += weight * (seconds - known.answer_seconds)
        known.usual_seconds += weight * (usual_seconds - known.usual_seconds)

    def record_refusal(self, endpoint: str) -> None:
        """Record that an endpoint refused a request, though it may state free slots."""
        known = self._endpoints.get(endpoint)
        if known is not None and known.stated is not None and known.stated.is_free:
            known.is_doubted = True

    def is_stated(self, endpoint: str) -> bool:
        """Return whether an endpoint states its load and isn't doubted."""
        known = self._endpoints.get(endpoint)
        return known is not None and known.stated is not None and not known.is_doubted

    def slowness(self, endpoint: str, now: float, work_seconds: float) -> float:
        """Return how many times as long work takes as usual, if it begins now.

        Parameters
        ----------
        endpoint : str
            The endpoint.
        now : float
            The loop time.
        work_seconds : float
            Time that the work usually takes.
        """
        if not self.is_stated(endpoint):
            return 1.0
        known = self._endpoints[endpoint]
        expected = known.lasting * self.passing_slowness(endpoint, now, work_seconds)
        if known.n_answers >= MIN_ANSWERS:
            ratio = known.usual_seconds / work_seconds
            if ratio >= FALSE_RATIO:
                return expected * ratio
        return expected

    def passing_slowness(self, endpoint: str, now: float, work_seconds: float) -> float:
        """Return the part of the slowness that will end soon; 1.0 if there is none.

        It counts by the share of the work that it is expected to cover, so work of
        seconds isn't affected by slow phases of tenths of a second.
        """
        known = self._endpoints.get(endpoint)
        if known is None or known.slowness is None or known.is_doubted:
            return 1.0
        ratio = known.slowness / known.lasting
        if 1 / PASSING_RATIO < ratio < PASSING_RATIO:
            return 1.0
        seconds = self.phase_seconds(endpoint)
        age = max(0.0, now - known.slowness_at)
        covered = work_seconds / seconds
        share = (1 - math.exp(-covered)) / covered if covered > 1e-6 else 1.0
        return 1.0 + (ratio - 1.0) * share * math.exp(-age / seconds)

    def present_rate(
        self, endpoint: str, now: float, rate: float, n_units: float
    ) -> float:
        """Return the rate of work that begins now, from the endpoint's mean rate.

        Parameters
        ----------
        endpoint : str
            The endpoint.
        now : float
            The loop time.
        rate : float
            Units of work per second that the endpoint does at its permanent speed.
        n_units : float
            Size of the work.
        """
        return rate / self.passing_slowness(endpoint, now, n_units / rate)

    def lasting_slowness(self, endpoint: str) -> float:
        """Return the permanent slowness of an endpoint; 1.0 if it isn't known."""
        known = self._endpoints.get(endpoint)
        return known.lasting if known is not None else 1.0

    def phase_seconds(self, endpoint: str) -> float:
        """Return the expected length of an endpoint's slow phases, in seconds."""
        shared = self._phases.mean_seconds(INITIAL_PHASE_SECONDS, INITIAL_WEIGHT)
        known = self._endpoints.get(endpoint)
        if known is None:
            return shared
        return known.phases.mean_seconds(shared, SHARED_WEIGHT)

    def n_elsewhere(self, endpoint: str, now: float) -> float:
        """Return how many of the stated requests are expected to be there still.

        They end within the time of an answer, and so does the value of the statement.
        """
        if not self.is_stated(endpoint):
            return 0.0
        known = self._endpoints[endpoint]
        assert known.stated is not None
        n_stated = known.stated.n_running + known.stated.n_waiting
        age = max(0.0, now - known.stated_at)
        return n_stated * math.exp(-age / self.answer_seconds(endpoint))

    def mean_load(self, endpoint: str) -> float:
        """Return the mean number of requests that an endpoint stated."""
        known = self._endpoints.get(endpoint)
        return known.mean_load if known is not None else 0.0

    def answer_seconds(self, endpoint: str) -> float:
        """Return the mean time of an endpoint's answers, in seconds."""
        known = self._endpoints.get(endpoint)
        if known is None or known.n_answers == 0:
            return DEFAULT_ANSWER_SECONDS
        return max(1e-4, known.answer_seconds)

    def usual_seconds(self, endpoint: str) -> float | None:
        """Return the mean time of answers at usual speed; None if there were none."""
        known = self._endpoints.get(endpoint)
        if known is None or known.n_answers == 0:
            return None
        return max(1e-4, known.usual_seconds)

    def age_seconds(self, endpoint: str, now: float) -> float:
        """Return the age of an endpoint's last statement; infinite without one."""
        known = self._endpoints.get(endpoint)
        return now - known.stated_at if known is not None else math.inf

    def expire(self, is_known: Callable[[str], bool]) -> None:
        """Forget endpoints that are gone."""
        gone = [endpoint for endpoint in self._endpoints if not is_known(endpoint)]
        for endpoint in gone:
            del self._endpoints[endpoint]

    def _find_news(self, known: _Endpoint, slowness: float, now: float) -> News:
        if now >= known.sampled_at + SAMPLE_SECONDS:
            return News.SAMPLE
        if now < known.announced_at + NEWS_SECONDS:
            return News.NONE
        expected = known.lasting
        if known.slowness is not None:
            seconds = self._phase_seconds(known)
            left = math.exp(-max(0.0, now - known.slowness_at) / seconds)
            expected += (known.slowness - known.lasting) * left
        ratio = slowness / expected
        is_change = not 1 / PASSING_RATIO < ratio < PASSING_RATIO
        return News.CHANGE if is_change else News.NONE

    def _record(
        self, known: _Endpoint, header: LoadHeader, now: float, *, is_sample: bool
    ) -> None:
        n_stated = header.n_running + header.n_waiting
        weight = LOAD_WEIGHT if known.stated is not None else 1.0
        known.mean_load += weight * (n_stated - known.mean_load)
        known.stated = header
        known.stated_at = now
        slowness = header.slowness
        if slowness is None:
            known.slowness = None
            return
        self._record_phase(known, slowness, now)
        known.slowness = slowness
        known.slowness_at = now
        if is_sample:
            known.sampled_at = now
            known.samples.append(slowness)
            if len(known.samples) >= MIN_SAMPLES:
                known.lasting = statistics.median(known.samples)

    def _record_phase(self, known: _Endpoint, slowness: float, now: float) -> None:
        if known.slowness is None:
            return
        if known.slowness < PASSING_RATIO * known.lasting:
            return
        gap_seconds = now - known.slowness_at
        if gap_seconds <= 0:
            return
        is_slow = slowness >= PASSING_RATIO * known.lasting
        mean_seconds = self._phase_seconds(known)
        for phases in (known.phases, self._phases):
            phases.add(gap_seconds, mean_seconds, is_slow=is_slow)

    def _phase_seconds(self, known: _Endpoint) -> float:
        shared = self._phases.mean_seconds(INITIAL_PHASE_SECONDS, INITIAL_WEIGHT)
        return known.phases.mean_seconds(shared, SHARED_WEIGHT)
