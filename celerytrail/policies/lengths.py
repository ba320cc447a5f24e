"""Lengths: how long generations turn out, learned per model and organisation.

Kept as a life table: for each bucket of lengths, how many generations left it and how
many of those ended in it. A running or cancelled generation thus tells what it knows,
that it got so far. A plain histogram of ended ones would hold only the short ones at
first, and every forecast made from it would be too low.
"""

from __future__ import annotations

import abc
import math
from array import array
from collections import OrderedDict
from collections.abc import Sequence

BUCKETS_PER_DOUBLING = 2
N_BUCKETS = 34  # Lengths to 2**17 tokens; the last bucket is open.
EDGES = tuple(2.0 ** (b / BUCKETS_PER_DOUBLING) - 1.0 for b in range(N_BUCKETS + 1))

# With nothing learned, lengths are taken as lognormal with this median (tokens) and
# spread: about 600 tokens on average.
COLD_MEDIAN = 200.0
COLD_SIGMA = 1.5
# How many observations the layer above counts for in a bucket.
COLD_WEIGHT = 4.0
MODEL_WEIGHT = 24.0
# Classes of prompts: by the number of bits of their size in tokens, within bounds.
CLASS_BITS_MIN = 8
CLASS_BITS_MAX = 11
# Counts are halved after so many ended generations, so that habits may change.
MODEL_HALF_LIFE = 4000
ORGANISATION_HALF_LIFE = 1000
# A curve is worked out anew after this many ended generations, or this share of all.
CURVE_LIFE = 8
CURVE_LIFE_SHARE = 0.02
# Curves kept at one time, oldest dropped first.
N_CURVES = 512
# Rows of survival are kept for so many starting points in each bucket.
ROWS_PER_BUCKET = 4
# Drift: the sum of surprise to one side, in steps of -2 to 2, above which the old
# counts are discounted, and the part of each step that is put down to chance.
DRIFT_THRESHOLD = 15.0
DRIFT_SLACK = 0.5
DRIFT_KEEP = 0.2


def _cold_survival(n_tokens: float) -> float:
    score = math.log(max(n_tokens, 0.5) / COLD_MEDIAN) / COLD_SIGMA
    return 0.5 * math.erfc(score / math.sqrt(2.0))


COLD_HAZARDS = [
    1.0 - _cold_survival(EDGES[b + 1]) / _cold_survival(EDGES[b])
    for b in range(N_BUCKETS)
]


class Curve:
    """The probability that a generation is longer than a number of tokens.

    Parameters
    ----------
    hazards : sequence of float
        For each bucket, the probability to end in it once it is reached.
    """

    __slots__ = ("_area", "_log_survival", "_rows")

    def __init__(self, *, hazards: list[float]) -> None:
        self._rows: dict[int, list[float]] = {}
        logs = [0.0]
        for hazard in hazards:
            logs.append(logs[-1] + math.log1p(-min(hazard, 0.98)))
        self._log_survival = logs
        survivals = [math.exp(value) for value in logs]
        area = [0.0] * (N_BUCKETS + 1)
        for b in range(N_BUCKETS - 1, -1, -1):
            mean = (survivals[b] + survivals[b + 1]) / 2
            area[b] = area[b + 1] + mean * (EDGES[b + 1] - EDGES[b])
        self._area = area

    def log_survival(self, n_tokens: float) -> float:
        """Return the logarithm of the probability to pass ``n_tokens``."""
        place = BUCKETS_PER_DOUBLING * math.log2(n_tokens + 1.0)
        b = int(place)
        logs = self._log_survival
        if b >= N_BUCKETS:
            return logs[N_BUCKETS]
        return logs[b] + (place - b) * (logs[b + 1] - logs[b])

    def survival_row(self, n_so_far: int, steps: Sequence[int]) -> list[float]:
        """Return the probability to go on for each of ``steps`` more tokens.

        Rows are kept for starting points about a tenth apart, as forecasts ask for
        them by the hundred. ``steps`` must be the same at each call.
        """
        place = ROWS_PER_BUCKET * BUCKETS_PER_DOUBLING * math.log2(n_so_far + 1.0)
        key = int(place)
        row = self._rows.get(key)
        if row is None:
            start = 2.0 ** (key / (ROWS_PER_BUCKET * BUCKETS_PER_DOUBLING)) - 1.0
            here = self.log_survival(start)
            row = [math.exp(self.log_survival(start + n) - here) for n in steps]
            self._rows[key] = row
        return row

    def expected_residual(self, n_so_far: float) -> float:
        """Return the expected number of tokens still to come."""
        place = BUCKETS_PER_DOUBLING * math.log2(n_so_far + 1.0)
        b = int(place)
        if b >= N_BUCKETS:
            return 0.0
        here = math.exp(self.log_survival(n_so_far))
        end = math.exp(self._log_survival[b + 1])
        rest = (here + end) / 2 * (EDGES[b + 1] - n_so_far)
        return (rest + self._area[b + 1]) / here

    def quantile_residual(self, n_so_far: float, probability: float) -> float:
        """Return the tokens to come that are not exceeded with ``probability``."""
        target = self.log_survival(n_so_far) + math.log(max(1.0 - probability, 1e-9))
        logs = self._log_survival
        b = int(BUCKETS_PER_DOUBLING * math.log2(n_so_far + 1.0))
        while b < N_BUCKETS and logs[b + 1] > target:
            b += 1
        if b >= N_BUCKETS:
            return max(0.0, EDGES[N_BUCKETS] - n_so_far)
        drop = logs[b] - logs[b + 1]
        share = (logs[b] - target) / drop if drop > 0 else 1.0
        n_tokens = 2.0 ** ((b + share) / BUCKETS_PER_DOUBLING) - 1.0
        return max(0.0, n_tokens - n_so_far)


class LifeTable:
    """Decaying counts of generations that left each bucket, and ended in it."""

    __slots__ = (
        "_growth",
        "ended",
        "is_new",
        "left",
        "n_ended",
        "n_new",
        "n_seen",
        "too_long",
        "too_short",
    )

    def __init__(self, *, half_life: int) -> None:
        # Instead of decaying all counts at each observation, new ones weigh more.
        self._growth = 0.5 ** (-1.0 / half_life)
        self.left = array("f", bytes(4 * N_BUCKETS))
        self.ended = array("f", bytes(4 * N_BUCKETS))
        self.n_new = 0
        self.n_ended = 0
        self.n_seen = 1.0
        self.too_long = 0.0
        self.too_short = 0.0
        self.is_new = True

    def add(self, b: int, *, ended: float, left: float = 1.0) -> None:
        """Count a generation that left bucket ``b``."""
        self.left[b] += self.n_seen * left
        self.ended[b] += self.n_seen * ended

    def age(self) -> None:
        """Let what was counted before weigh a little less."""
        self.n_new += 1
        self.n_ended += 1
        self.n_seen *= self._growth
        if self.n_seen > 1024.0:
            self.scale(1.0 / self.n_seen)
            self.n_seen = 1.0

    @property
    def is_stale(self) -> bool:
        """Whether its curve is to be worked out anew."""
        if self.is_new:
            return True
        n_known = min(self.n_ended, ORGANISATION_HALF_LIFE)
        return self.n_new >= max(CURVE_LIFE, CURVE_LIFE_SHARE * n_known)

    def settle(self) -> None:
        """Note that its curve was worked out."""
        self.is_new = False
        self.n_new = 0

    def scale(self, factor: float) -> None:
        """Multiply all counts by ``factor``."""
        for b in range(N_BUCKETS):
            self.left[b] *= factor
            self.ended[b] *= factor

    def hazards(self, prior: list[float], weight: float) -> list[float]:
        """Return each bucket's hazard, drawn to ``prior`` where little is known."""
        scale = 1.0 / self.n_seen
        return [
            (self.ended[b] * scale + weight * prior[b])
            / (self.left[b] * scale + weight)
            for b in range(N_BUCKETS)
        ]


class LengthModel(abc.ABC):
    """Forecasts how many tokens generations still produce."""

    @abc.abstractmethod
    def curve(self, model: str, organisation: str) -> Curve:
        """Return the curve to forecast by."""

    @abc.abstractmethod
    def advance(
        self, model: str, organisation: str, n_before: int, n_after: int
    ) -> None:
        """Learn that a generation went on from ``n_before`` to ``n_after`` tokens."""

    @abc.abstractmethod
    def end(
        self, model: str, organisation: str, n_tokens: int, *, censored: bool
    ) -> None:
        """Learn that a generation is over.

        Parameters
        ----------
        model, organisation : str
            What ran and for whom.
        n_tokens : int
            Tokens it had produced.
        censored : bool
            Whether it was cut (cancelled, lost, at its limit), so that its own length
            stays unknown.
        """

    def expected_residual(self, model: str, organisation: str, n_so_far: int) -> float:
        """Return the expected number of tokens still to come."""
        return self.curve(model, organisation).expected_residual(n_so_far)

    def quantile_residual(
        self, model: str, organisation: str, n_so_far: int, probability: float
    ) -> float:
        """Return the tokens to come that are not exceeded with ``probability``."""
        curve = self.curve(model, organisation)
        return curve.quantile_residual(n_so_far, probability)


class LearnedLengths(LengthModel):
    """A life table per model, and one per model and organisation drawn towards it.

    Parameters
    ----------
    n_tables : int
        The most tables of organisations kept; the least recently used goes first and
        falls back to its model's. This bounds the memory.
    """

    def __init__(self, *, n_tables: int = 4096) -> None:
        self._n_tables = n_tables
        self._curves: OrderedDict[tuple[str, str], Curve] = OrderedDict()
        self._models: dict[str, LifeTable] = {}
        self._tables: OrderedDict[tuple[str, str], LifeTable] = OrderedDict()

    def __len__(self) -> int:
        return len(self._tables)

    def curve(self, model: str, organisation: str) -> Curve:
        """Return the organisation's curve, or its model's where it has none."""
        key = (model, organisation)
        table = self._tables.get(key)
        if table is None:
            key, table = (model, ""), self._model(model)
        curve = self._curves.get(key)
        if curve is None or table.is_stale:
            curve = self._curves[key] = Curve(hazards=self._hazards(key, table))
            table.settle()
            # Curves with their rows are larger than tables and quickly made again;
            # kept for each of thousands of organisations they would fill the node.
            if len(self._curves) > N_CURVES:
                self._curves.popitem(last=False)
        return curve

    def advance(
        self, model: str, organisation: str, n_before: int, n_after: int
    ) -> None:
        """Learn that a generation left the buckets between the two lengths."""
        first, last = bucket(n_before), bucket(n_after)
        if first == last:
            return
        for table in self._both(model, organisation):
            for b in range(first, last):
                table.add(b, ended=0.0)

    def end(
        self, model: str, organisation: str, n_tokens: int, *, censored: bool
    ) -> None:
        """Learn that a generation is over; see `LengthModel.end`."""
        b = bucket(n_tokens)
        if censored:
            # It saw half of its last bucket on average: the actuary's convention.
            for table in self._both(model, organisation):
                table.add(b, ended=0.0, left=0.5)
            return
        rank = 1.0 - math.exp(self.curve(model, organisation).log_survival(n_tokens))
        for table in self._both(model, organisation):
            table.add(b, ended=1.0)
            table.age()
            self._watch_drift(table, rank)

    def _watch_drift(self, table: LifeTable, rank: float) -> None:
        # Ranks are uniform while the forecast is right. A change of prompts or of a
        # model's version shifts them all one way; with the old counts in full weight
        # an engine would be overfilled, or left half empty, for thousands of
        # generations. A sum that keeps its sign tells the shift from chance.
        step = 4.0 * (rank - 0.5)
        table.too_long = max(0.0, table.too_long + step - DRIFT_SLACK)
        table.too_short = max(0.0, table.too_short - step - DRIFT_SLACK)
        if max(table.too_long, table.too_short) > DRIFT_THRESHOLD:
            table.scale(DRIFT_KEEP)
            table.too_long = table.too_short = 0.0
            table.is_new = True

    def _both(self, model: str, organisation: str) -> tuple[LifeTable, LifeTable]:
        key = (model, organisation)
        table = self._tables.get(key)
        if table is None:
            table = LifeTable(half_life=ORGANISATION_HALF_LIFE)
            self._tables[key] = table
            if len(self._tables) > self._n_tables:
                self._tables.popitem(last=False)
        else:
            self._tables.move_to_end(key)
        return table, self._model(model)

    def _model(self, model: str) -> LifeTable:
        table = self._models.get(model)
        if table is None:
            table = self._models[model] = LifeTable(half_life=MODEL_HALF_LIFE)
        return table

    def _hazards(self, key: tuple[str, str], table: LifeTable) -> list[float]:
        if not key[1]:
            return table.hazards(COLD_HAZARDS, COLD_WEIGHT)
        prior = self._model(key[0]).hazards(COLD_HAZARDS, COLD_WEIGHT)
        return table.hazards(prior, MODEL_WEIGHT)


def prompt_class(model: str, n_prompt_tokens: int) -> str:
    """Return the name under which lengths for prompts of about this size are learned.

    A short question and a long brief for a draft tell much about the answer's length;
    a power of two is fine enough, and few classes keep the tables small.
    """
    n_bits = n_prompt_tokens.bit_length()
    return f"{model}/{min(max(n_bits, CLASS_BITS_MIN), CLASS_BITS_MAX)}"


def bucket(n_tokens: int) -> int:
    """Return the number of the bucket that a length falls into."""
    return min(int(BUCKETS_PER_DOUBLING * math.log2(n_tokens + 1.0)), N_BUCKETS - 1)
