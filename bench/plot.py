"""Plot the bench's outcomes: measures by load for each policy."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt

from bench.cases import Outcome, median, spread
from bench.strategies import POLICIES

FIELDS = (
    ("stall_seconds", "stall time (s)", "symlog"),
    ("n_preemptions", "preemptions", "symlog"),
    ("gap_p99", "p99 between tokens (s)", "linear"),
    ("goodput", "goodput (tokens/s)", "linear"),
)


def plot(outcomes: list[Outcome], path: Path) -> None:
    """Write a picture: a row for each deployment, a column for each measure."""
    plain = [outcome for outcome in outcomes if outcome.fault == "none"]
    names = sorted({outcome.deployment for outcome in plain})
    if not names:
        return
    size = (4 * len(FIELDS), 3 * len(names))
    figure, axes = plt.subplots(len(names), len(FIELDS), figsize=size, squeeze=False)
    for row, name in enumerate(names):
        for column, (field, label, scale) in enumerate(FIELDS):
            axis = axes[row][column]
            for policy in POLICIES:
                _line(axis, plain, name, policy, field)
            axis.set_yscale(scale)
            axis.set_title(f"{name}: {label}", fontsize=8)
            axis.set_xlabel("load, share of capacity", fontsize=7)
    axes[0][0].legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)


def _line(axis, outcomes, name, policy, field) -> None:  # type: ignore[no-untyped-def]
    mine = [o for o in outcomes if o.deployment == name and o.policy == policy]
    loads = sorted({outcome.load for outcome in mine})
    if not loads:
        return
    groups = [[o for o in mine if o.load == load] for load in loads]
    middle = [median(group, field) for group in groups]
    low = [m - spread(g, field)[0] for m, g in zip(middle, groups, strict=True)]
    high = [spread(g, field)[1] - m for m, g in zip(middle, groups, strict=True)]
    axis.errorbar(loads, middle, yerr=[low, high], marker="o", ms=3, label=policy)
