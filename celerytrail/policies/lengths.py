"""Length forecasts: how many tokens generations produce, per model and organisation.

Lengths are kept as a life table: for each bucket of lengths, the number of generations
that left it and of those that ended in it. So a running or cancelled generation counts
as well, as one that reached a known length. A plain histogram of ended generations
would hold only the short ones at first, and its forecasts would be too low.

The ``model`` arguments of this module may be any key under which lengths are learned,
such as the names that `prompt_class` returns.
"""

from __future__ import annotations

import abc
import math
from array import array
from collections import OrderedDict
from collections.abc import Sequence

BUCKETS_PER_DOUBLING = 2
N_BUCKETS = 34  # Lengths to 2**17 tokens; the last bucket is open.
BUCKET_EDGES = tuple(
    2.0 ** (b / BUCKETS_PER_DOUBLING) - 1.0 for b in range(N_BUCKETS + 1)
)

# The prior: lengths are lognormal with this median and this standard deviation of the
# logarithm, which gives a mean of about 600 tokens.
COLD_MEDIAN_TOKENS = 200.0
COLD_SIGMA = 1.5
# The number of observations that the prior counts for in each bucket: the cold prior
# in a model's table, and the model's table in an organisation's.
COLD_WEIGHT = 4.0
MODEL_WEIGHT = 24.0
# Prompts are classed by the bit length of their number of tokens, within these bounds.
CLASS_BITS_MIN = 8
CLASS_BITS_MAX = 11
# The weight of a count halves after this many ended generations, so that the table
# follows changes of usage.
MODEL_HALF_LIFE_ENDINGS = 4000
ORGANISATION_HALF_LIFE_ENDINGS = 1000
# A curve is recomputed after this many ended generations or this share of the counted
# ones, whichever is more.
CURVE_LIFE_ENDINGS = 8
CURVE_LIFE_SHARE = 0.02
# The most curves kept; the oldest are dropped first.
MAX_CURVES = 512
# Starting points per bucket for which survival rows are cached.
ROWS_PER_BUCKET = 4
# Drift detection by a cumulative sum. Each ended generation adds a step of -2 to 2,
# less the allowance for chance. Above the threshold, the old counts are reduced to the
# kept share.
DRIFT_THRESHOLD = 15.0
DRIFT_ALLOWANCE = 0.5
DRIFT_KEPT_SHARE = 0.2


def _cold_survival(n_tokens: float) -> float:
    z_score = math.log(max(n_tokens, 0.5) / COLD_MEDIAN_TOKENS) / COLD_SIGMA
    return 0.5 * math.erfc(z_score / math.sqrt(2.0))


COLD_HAZARDS = [
    1.0 - _cold_survival(BUCKET_EDGES[b + 1]) / _cold_survival(BUCKET_EDGES[b])
    for b in range(N_BUCKETS)
]


class Curve:
    """Survival curve: the probability that a generation exceeds a number of tokens.

    Parameters
    ----------
    hazards : sequence of float
        For each bucket, the probability to end in it once it is reached.
    """

    __slots__ = ("_area", "_log_survival", "_rows")

    def __init__(self, *, hazards: list[float]) -> None:
        self._rows: dict[int, list[float]] = {}
        log_survival = [0.0]
        for hazard in hazards:
            log_survival.append(log_survival[-1] + math.log1p(-min(hazard, 0.98)))
        self._log_survival = log_survival
        survivals = [math.exp(value) for value in log_survival]
        area = [0.0] * (N_BUCKETS + 1)
        for b in range(N_BUCKETS - 1, -1, -1):
            mean = (survivals[b] + survivals[b + 1]) / 2
            area[b] = area[b + 1] + mean * (BUCKET_EDGES[b + 1] - BUCKET_EDGES[b])
        self._area = area

    def log_survival(self, n_tokens: float) -> float:
        """Return the logarithm of the probability to exceed ``n_tokens``."""
        position = BUCKETS_PER_DOUBLING * math.log2(n_tokens + 1.0)
        b = int(position)
        logs = self._log_survival
        if b >= N_BUCKETS:
            return logs[N_BUCKETS]
        return logs[b] + (position - b) * (logs[b + 1] - logs[b])

    def survival_row(self, n_so_far: int, steps: Sequence[int]) -> list[float]:
        """Return the probability to continue for each of ``steps`` more tokens.

        Forecasts need rows by the hundred, so they are cached for starting points that
        are about a tenth apart. ``steps`` must be the same in each call.
        """
        position = ROWS_PER_BUCKET * BUCKETS_PER_DOUBLING * math.log2(n_so_far + 1.0)
        key = int(position)
        row = self._rows.get(key)
        if row is None:
            start = 2.0 ** (key / (ROWS_PER_BUCKET * BUCKETS_PER_DOUBLING)) - 1.0
            at_start = self.log_survival(start)
            row = [math.exp(self.log_survival(start + n) - at_start) for n in steps]
            self._rows[key] = row
        return row

    def expected_residual(self, n_so_far: float) -> float:
        """Return the expected number of further tokens."""
        position = BUCKETS_PER_DOUBLING * math.log2(n_so_far + 1.0)
        b = int(position)
        if b >= N_BUCKETS:
            return 0.0
        survival_now = math.exp(self.log_survival(n_so_far))
        survival_at_edge = math.exp(self._log_survival[b + 1])
        area = (survival_now + survival_at_edge) / 2 * (BUCKET_EDGES[b + 1] - n_so_far)
        return (area + self._area[b + 1]) / survival_now

    def quantile_residual(self, n_so_far: float, probability: float) -> float:
        """Return the number of further tokens not exceeded with ``probability``."""
        target = self.log_survival(n_so_far) + math.log(max(1.0 - probability, 1e-9))
        logs = self._log_survival
        b = int(BUCKETS_PER_DOUBLING * math.log2(n_so_far + 1.0))
        while b < N_BUCKETS and logs[b + 1] > target:
            b += 1
        if b >= N_BUCKETS:
            return max(0.0, BUCKET_EDGES[N_BUCKETS] - n_so_far)
        drop = logs[b] - logs[b + 1]
        share = (logs[b] - target) / drop if drop > 0 else 1.0
        n_tokens = 2.0 ** ((b + share) / BUCKETS_PER_DOUBLING) - 1.0
        return max(0.0, n_tokens - n_so_far)


class LifeTable:
    """Decaying counts of the generations that left each bucket or ended in it."""

    __slots__ = (
        "_weight_growth",
        "ended",
        "needs_curve",
        "left",
        "n_ended",
        "n_ended_since_curve",
        "observation_weight",
        "longer_drift",
        "shorter_drift",
    )

    def __init__(self, *, half_life: int) -> None:
        # Instead of decaying all counts, each ended generation raises the weight of the
        # later observations.
        self._weight_growth = 0.5 ** (-1.0 / half_life)
        self.left = array("f", bytes(4 * N_BUCKETS))
        self.ended = array("f", bytes(4 * N_BUCKETS))
        self.n_ended_since_curve = 0
        self.n_ended = 0
        self.observation_weight = 1.0
        self.longer_drift = 0.0
        self.shorter_drift = 0.0
        self.needs_curve = True

    def add(self, b: int, *, ended: float, left: float = 1.0) -> None:
        """Count a generation that left bucket ``b``, by ending or by growing."""
        self.left[b] += self.observation_weight * left
        self.ended[b] += self.observation_weight * ended

    def decay(self) -> None:
        """Count an ended generation, so that earlier observations weigh less."""
        self.n_ended_since_curve += 1
        self.n_ended += 1
        self.observation_weight *= self._weight_growth
        if self.observation_weight > 1024.0:
            self.scale(1.0 / self.observation_weight)
            self.observation_weight = 1.0

    @property
    def is_stale(self) -> bool:
        """Whether the curve made from this table must be recomputed."""
        if self.needs_curve:
            return True
        n_known = min(self.n_ended, ORGANISATION_HALF_LIFE_ENDINGS)
        return self.n_ended_since_curve >= max(
            CURVE_LIFE_ENDINGS, CURVE_LIFE_SHARE * n_known
        )

    def mark_curve_current(self) -> None:
        """Record that the curve was recomputed."""
        self.needs_curve = False
        self.n_ended_since_curve = 0

    def scale(self, factor: float) -> None:
        """Multiply all counts by ``factor``."""
        for b in range(N_BUCKETS):
            self.left[b] *= factor
            self.ended[b] *= factor

    def hazards(self, prior: list[float], weight: float) -> list[float]:
        """Return each bucket's hazard, shrunk towards ``prior`` by ``weight``."""
        scale = 1.0 / self.observation_weight
        return [
            (self.ended[b] * scale + weight * prior[b])
            / (self.left[b] * scale + weight)
            for b in range(N_BUCKETS)
        ]


class LengthModel(abc.ABC):
    """Learns the lengths of generations and forecasts their further tokens."""

    @abc.abstractmethod
    def curve(self, model: str, organisation: str) -> Curve:
        """Return the survival curve for an organisation's generations."""

    @abc.abstractmethod
    def advance(
        self, model: str, organisation: str, n_before: int, n_after: int
    ) -> None:
        """Learn that a generation grew from ``n_before`` to ``n_after`` tokens."""

    @abc.abstractmethod
    def end(
        self, model: str, organisation: str, n_tokens: int, *, is_censored: bool
    ) -> None:
        """Learn that a generation has ended.

        Parameters
        ----------
        model, organisation : str
            The model that ran, or its prompt class, and whose generation it was.
        n_tokens : int
            Tokens that it produced.
        is_censored : bool
            Whether it was cut off (cancelled, lost, at its limit), so that its natural
            length is unknown.
        """

    def expected_residual(self, model: str, organisation: str, n_so_far: int) -> float:
        """Return the expected number of further tokens."""
        return self.curve(model, organisation).expected_residual(n_so_far)

    def quantile_residual(
        self, model: str, organisation: str, n_so_far: int, probability: float
    ) -> float:
        """Return the number of further tokens not exceeded with ``probability``."""
        curve = self.curve(model, organisation)
        return curve.quantile_residual(n_so_far, probability)


class LearnedLengths(LengthModel):
    """Keeps a life table per model, and per organisation one shrunk towards it.

    Parameters
    ----------
    n_tables : int
        The most tables of organisations kept, which bounds the memory. The least
        recently used is dropped first; its organisation falls back to the model's.
    """

    def __init__(self, *, n_tables: int = 4096) -> None:
        self._n_tables = n_tables
        self._curves: OrderedDict[tuple[str, str], Curve] = OrderedDict()
        self._models: dict[str, LifeTable] = {}
        self._tables: OrderedDict[tuple[str, str], LifeTable] = OrderedDict()

    def __len__(self) -> int:
        return len(self._tables)

    def curve(self, model: str, organisation: str) -> Curve:
        """Return the organisation's curve, or the model's if it has no table."""
        key = (model, organisation)
        table = self._tables.get(key)
        if table is None:
            key, table = (model, ""), self._model_table(model)
        curve = self._curves.get(key)
        if curve is None or table.is_stale:
            curve = self._curves[key] = Curve(hazards=self._hazards(key, table))
            table.mark_curve_current()
            # Curves with their cached rows are larger than tables and cheap to
            # recompute. Kept for thousands of organisations they would fill the
            # node's memory.
            if len(self._curves) > MAX_CURVES:
                self._curves.popitem(last=False)
        return curve

    def advance(
        self, model: str, organisation: str, n_before: int, n_after: int
    ) -> None:
        """Learn that a generation left the buckets between the two lengths."""
        first, last = bucket_of(n_before), bucket_of(n_after)
        if first == last:
            return
        for table in self._tables_for(model, organisation):
            for b in range(first, last):
                table.add(b, ended=0.0)

    def end(
        self, model: str, organisation: str, n_tokens: int, *, is_censored: bool
    ) -> None:
        """Learn that a generation has ended; see `LengthModel.end`."""
        b = bucket_of(n_tokens)
        if is_censored:
            # It was at risk for half of its last bucket on average, by the actuarial
            # convention for censored observations.
            for table in self._tables_for(model, organisation):
                table.add(b, ended=0.0, left=0.5)
            return
        rank = 1.0 - math.exp(self.curve(model, organisation).log_survival(n_tokens))
        for table in self._tables_for(model, organisation):
            table.add(b, ended=1.0)
            table.decay()
            self._detect_drift(table, rank)

    def _detect_drift(self, table: LifeTable, rank: float) -> None:
        # Ranks are uniform while the forecast is right. A change of the prompts or of
        # the model's version shifts them all in one direction; with the old counts at
        # full weight, an engine would be overfilled or left half empty for thousands
        # of generations. A one-sided cumulative sum separates a shift from chance.
        step = 4.0 * (rank - 0.5)
        table.longer_drift = max(0.0, table.longer_drift + step - DRIFT_ALLOWANCE)
        table.shorter_drift = max(0.0, table.shorter_drift - step - DRIFT_ALLOWANCE)
        if max(table.longer_drift, table.shorter_drift) > DRIFT_THRESHOLD:
            table.scale(DRIFT_KEPT_SHARE)
            table.longer_drift = table.shorter_drift = 0.0
            table.needs_curve = True

    def _tables_for(self, model: str, organisation: str) -> tuple[LifeTable, LifeTable]:
        key = (model, organisation)
        table = self._tables.get(key)
        if table is None:
            table = LifeTable(half_life=ORGANISATION_HALF_LIFE_ENDINGS)
            self._tables[key] = table
            if len(self._tables) > self._n_tables:
                self._tables.popitem(last=False)
        else:
            self._tables.move_to_end(key)
        return table, self._model_table(model)

    def _model_table(self, model: str) -> LifeTable:
        table = self._models.get(model)
        if table is None:
            table = self._models[model] = LifeTable(half_life=MODEL_HALF_LIFE_ENDINGS)
        return table

    def _hazards(self, key: tuple[str, str], table: LifeTable) -> list[float]:
        if not key[1]:
            return table.hazards(COLD_HAZARDS, COLD_WEIGHT)
        prior = self._model_table(key[0]).hazards(COLD_HAZARDS, COLD_WEIGHT)
        return table.hazards(prior, MODEL_WEIGHT)


def prompt_class(model: str, n_prompt_tokens: int) -> str:
    """Return the key under which lengths for prompts of about this size are learned.

    The prompt's size says much about the answer's length: compare a short question
    with a long brief for a draft. Powers of two are fine enough, and few classes keep
    the number of tables small.
    """
    n_bits = n_prompt_tokens.bit_length()
    return f"{model}/{min(max(n_bits, CLASS_BITS_MIN), CLASS_BITS_MAX)}"


def bucket_of(n_tokens: int) -> int:
    """Return the index of the bucket that contains a length."""
    return min(int(BUCKETS_PER_DOUBLING * math.log2(n_tokens + 1.0)), N_BUCKETS - 1)
