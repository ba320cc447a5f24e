"""Tests of the length forecasts."""

from __future__ import annotations

import random

import pytest

from celerytrail.policies.lengths import COLD_HAZARDS, Curve, LearnedLengths


def learn(
    lengths: LearnedLengths, n_tokens: int, *, organisation="o", is_censored=False
):
    lengths.advance("m", organisation, 0, n_tokens)
    lengths.end("m", organisation, n_tokens, is_censored=is_censored)


class TestLearnedLengths:
    def test_prior_mean_is_moderate(self):
        assert 300 < LearnedLengths().expected_residual("m", "o", 0) < 1200

    def test_learns_the_mean_and_the_residual(self):
        rng = random.Random(1)
        sample = [int(rng.paretovariate(1.8) * 200) for _ in range(4000)]
        lengths = LearnedLengths()
        for n_tokens in sample:
            learn(lengths, n_tokens)
        mean = sum(sample) / len(sample)
        assert lengths.expected_residual("m", "o", 0) == pytest.approx(mean, rel=0.25)
        residuals = [n - 1000 for n in sample if n > 1000]
        forecast = lengths.expected_residual("m", "o", 1000)
        assert forecast == pytest.approx(sum(residuals) / len(residuals), rel=0.4)
        median = sorted(sample)[len(sample) // 2]
        assert lengths.quantile_residual("m", "o", 0, 0.5) == pytest.approx(
            median, rel=0.2
        )

    def test_new_organisation_starts_from_its_model(self):
        lengths = LearnedLengths()
        for _ in range(500):
            learn(lengths, 1000)
        learn(lengths, 10, organisation="new")
        assert lengths.expected_residual("m", "new", 0) > 600

    def test_cancelled_generations_do_not_shorten_the_forecast(self):
        """Callers cancel half of all generations early. If these counted as short
        ones, engines would be overfilled and run out of memory midway.
        """
        lengths = LearnedLengths()
        for _ in range(1000):
            learn(lengths, 2000)
            learn(lengths, 200, is_censored=True)
        assert lengths.expected_residual("m", "o", 0) > 1500

    def test_drift_is_learned_within_a_hundred_generations(self):
        """An operator loads a new version of a model whose answers are ten times as
        long. With the old counts at full weight, engines would be overfilled for hours
        and generations would stall.
        """
        rng = random.Random(2)
        lengths = LearnedLengths()
        for _ in range(3000):
            learn(lengths, int(rng.lognormvariate(5, 0.5)))
        for _ in range(100):
            learn(lengths, int(rng.lognormvariate(5, 0.5) * 10))
        assert lengths.expected_residual("m", "o", 0) > 800

    def test_steady_lengths_are_not_taken_for_drift(self):
        """Lengths vary widely without any drift. If chance were taken for drift, the
        learned counts would be discarded repeatedly and requests refused needlessly.
        """
        rng = random.Random(3)
        lengths = LearnedLengths()
        for i in range(4000):
            learn(lengths, int(rng.lognormvariate(5, 1.2)))
            if i > 1000 and i % 50 == 0:
                assert 200 < lengths.expected_residual("m", "o", 0) < 500

    def test_tables_are_bounded(self):
        lengths = LearnedLengths(n_tables=10)
        for i in range(100):
            learn(lengths, 50, organisation=f"o{i}")
        assert len(lengths) == 10


class TestCurve:
    def test_rows_agree_with_survival(self):
        curve = Curve(hazards=COLD_HAZARDS)
        row = curve.survival_row(0, (0, 100, 1000))
        assert row[0] == 1.0
        assert row[0] > row[1] > row[2] > 0
