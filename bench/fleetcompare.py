"""Plays workloads with several policies side by side: a table, JSON and a picture."""

from __future__ import annotations

import dataclasses
import json
import statistics
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated

import matplotlib
import typer

from bench.fleet import FleetResult, play
from bench.fleetcallers import N_EVENT_TOKENS, Ending
from bench.fleetload import read_load
from bench.fleetplacing import VARIATIONS

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402

LOADS = Path(__file__).parent / "loads"
# Shares of worth: an answer that comes late is worth little, as on the users' sheets.
LATE_SHARE = 0.15
# A generation is worth this much, and the rest by its size against the mean.
BASE_SHARE = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measures:
    """What one play of a load gave; times in seconds.

    Parameters
    ----------
    load, policy, seed
        What was played.
    worth : float
        Share of what all requests are worth that was earned.
    n_asked, n_late, n_refused, n_lost, n_wrong : int
        Requests, and those that ended late, refused, cut or failed, or wrong.
    first_p95, gap_p99 : float
        Until the first event; the longest pause of an answer.
    stall_seconds : float
        By how much pauses were longer than allowed, of all answers.
    token_ms : float
        Milliseconds a token of the long answers.
    n_preempted, n_read_again : int
        Preemptions, and tokens that were read again for them.
    moved_gigabytes : float
        Memory copied between engines.
    """

    load: str
    policy: str
    seed: int
    worth: float
    n_asked: int
    n_late: int
    n_refused: int
    n_lost: int
    n_wrong: int
    first_p95: float
    gap_p99: float
    stall_seconds: float
    token_ms: float
    n_preempted: int
    n_read_again: int
    moved_gigabytes: float


COLUMNS = (
    ("worth", "{:.3f}"),
    ("n_late", "{:.1f}"),
    ("n_refused", "{:.1f}"),
    ("n_lost", "{:.1f}"),
    ("first_p95", "{:.2f}"),
    ("gap_p99", "{:.3f}"),
    ("stall_seconds", "{:.2f}"),
    ("token_ms", "{:.2f}"),
    ("n_preempted", "{:.1f}"),
    ("moved_gigabytes", "{:.2f}"),
)


def measure(load: str, policy: str, seed: int) -> Measures:
    """Play a load once."""
    result = play(read_load(LOADS / f"{load}.toml"), VARIATIONS[policy](), seed)
    return summarise(load, policy, seed, result)


def summarise(load: str, policy: str, seed: int, result: FleetResult) -> Measures:
    """Return the measures of a play."""
    ends = result.endings
    answered = [end for end in ends if end.outcome in ("on time", "late")]
    counts = dict.fromkeys(("late", "refused", "cut", "failed", "wrong"), 0)
    for end in ends:
        if end.outcome in counts:
            counts[end.outcome] += 1
    return Measures(
        load=load,
        policy=policy,
        seed=seed,
        worth=earned(ends) / owed(ends),
        n_asked=len(ends),
        n_late=counts["late"],
        n_refused=counts["refused"],
        n_lost=counts["cut"] + counts["failed"],
        n_wrong=counts["wrong"],
        first_p95=_share_point([end.first_seconds for end in answered], 0.95),
        gap_p99=_share_point([end.longest_pause for end in answered], 0.99),
        stall_seconds=sum(
            max(0.0, end.longest_pause - end.kind.pause) for end in answered
        ),
        token_ms=_token_ms(answered),
        n_preempted=result.n_preempted,
        n_read_again=result.n_read_again,
        moved_gigabytes=result.moved_bytes / 1e9,
    )


def worths(ends: list[Ending]) -> list[float]:
    """Return what each request is worth: a part by itself, the rest by its size."""
    means = {
        name: statistics.mean(end.n_events for end in ends if end.kind.name == name)
        for name in {end.kind.name for end in ends}
    }
    return [
        end.kind.worth
        * (BASE_SHARE + (1 - BASE_SHARE) * min(4, end.n_events / means[end.kind.name]))
        for end in ends
    ]


def owed(ends: list[Ending]) -> float:
    """Return what all requests are worth."""
    return sum(worths(ends))


def earned(ends: list[Ending]) -> float:
    """Return what the answers are worth."""
    shares = {"on time": 1.0, "late": LATE_SHARE}
    values = zip(ends, worths(ends), strict=True)
    return sum(shares.get(end.outcome, 0.0) * worth for end, worth in values)


def _token_ms(answered: list[Ending]) -> float:
    most = max((end.kind.worth for end in answered), default=0.0)
    long = [end for end in answered if end.kind.worth == most]
    n_tokens = sum(end.n_events * N_EVENT_TOKENS for end in long)
    seconds = sum(end.seconds - end.first_seconds for end in long)
    return 1_000 * seconds / max(1, n_tokens)


def _share_point(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def table(found: list[Measures]) -> list[str]:
    """Return the means over seeds as lines of a table."""
    lines = ["load/policy".ljust(32) + "".join(f"{name:>16}" for name, _ in COLUMNS)]
    for load, policy in dict.fromkeys((one.load, one.policy) for one in found):
        mine = [one for one in found if (one.load, one.policy) == (load, policy)]
        cells = [
            form.format(statistics.mean(getattr(one, name) for one in mine))
            for name, form in COLUMNS
        ]
        lines.append(
            f"{load}/{policy}".ljust(32) + "".join(f"{cell:>16}" for cell in cells)
        )
    return lines


def picture(found: list[Measures], path: Path) -> None:
    """Draw worth and losses by policy, a point for each seed."""
    loads = list(dict.fromkeys(one.load for one in found))
    figure, axes = plt.subplots(2, len(loads), figsize=(4 * len(loads), 6))
    for column, load in enumerate(loads):
        mine = [one for one in found if one.load == load]
        for row, name in enumerate(("worth", "n_lost")):
            axis = axes[row][column] if len(loads) > 1 else axes[row]
            axis.plot(
                [one.policy for one in mine], [getattr(one, name) for one in mine], "o"
            )
            axis.set_title(f"{load}: {name}", fontsize=8)
            axis.tick_params(axis="x", labelrotation=60, labelsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)


def main(
    loads: Annotated[list[str], typer.Argument(help="Names of files in bench/loads.")],
    policies: Annotated[str, typer.Option(help="With commas between.")] = ",".join(
        VARIATIONS
    ),
    seeds: Annotated[str, typer.Option(help="With commas between.")] = "1,2,3",
    jobs: Annotated[int, typer.Option(help="Plays at once.")] = 4,
    out: Annotated[Path, typer.Option(help="Where the files go.")] = Path("out"),
) -> None:
    """Play workloads with several policies side by side."""
    plays = [
        (load, policy, int(seed))
        for load in loads
        for policy in policies.split(",")
        for seed in seeds.split(",")
    ]
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        found = list(pool.map(measure, *zip(*plays, strict=True)))
    out.mkdir(exist_ok=True)
    rows = [dataclasses.asdict(one) for one in found]
    (out / "fleet.json").write_text(json.dumps(rows, indent=1), encoding="utf-8")
    picture(found, out / "fleet.png")
    for line in table(found):
        typer.echo(line)


if __name__ == "__main__":
    typer.run(main)
