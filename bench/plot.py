"""Plot the bench's outcomes by load, with a line for each policy."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt

from bench.cases import Outcome, median, spread
from bench.strategies import POLICIES

PLOTTED_FIELDS = (
    ("stall_seconds", "stall time (s)", "symlog"),
    ("n_preemptions", "preemptions", "symlog"),
    ("gap_p99", "p99 between tokens (s)", "linear"),
    ("goodput", "goodput (tokens/s)", "linear"),
)


def plot(outcomes: list[Outcome], path: Path) -> None:
    """Write an image with a row per deployment and a column per measure."""
    without_faults = [outcome for outcome in outcomes if outcome.fault == "none"]
    names = sorted({outcome.deployment for outcome in without_faults})
    if not names:
        return
    size = (4 * len(PLOTTED_FIELDS), 3 * len(names))
    figure, axes = plt.subplots(
        len(names), len(PLOTTED_FIELDS), figsize=size, squeeze=False
    )
    for row, name in enumerate(names):
        for column, (field, label, scale) in enumerate(PLOTTED_FIELDS):
            axis = axes[row][column]
            for policy in POLICIES:
                _plot_policy(axis, without_faults, name, policy, field)
            axis.set_yscale(scale)
            axis.set_title(f"{name}: {label}", fontsize=8)
            axis.set_xlabel("load, share of capacity", fontsize=7)
    axes[0][0].legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)


def _plot_policy(axis, outcomes, name, policy, field) -> None:  # type: ignore[no-untyped-def]
    matching = [o for o in outcomes if o.deployment == name and o.policy == policy]
    loads = sorted({outcome.load for outcome in matching})
    if not loads:
        return
    groups = [[o for o in matching if o.load == load] for load in loads]
    medians = [median(group, field) for group in groups]
    low = [m - spread(g, field)[0] for m, g in zip(medians, groups, strict=True)]
    high = [spread(g, field)[1] - m for m, g in zip(medians, groups, strict=True)]
    axis.errorbar(loads, medians, yerr=[low, high], marker="o", ms=3, label=policy)
