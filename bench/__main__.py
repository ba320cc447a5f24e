"""Run the bench: ``python -m bench [--quick]``.

Prints a table of medians over seeds and whether each target is met, and writes
``out/bench.json`` and ``out/bench.png``.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from bench.cases import (
    Case,
    Outcome,
    as_json,
    measure_capacity,
    median,
    n_processes,
    run_case,
    spread,
)
from bench.faults import FAULTS
from bench.strategies import POLICIES
from bench.workloads import DEPLOYMENTS

QUICK_POLICIES = ("round_robin", "least_reported", "ours", "oracle")
QUICK_LENGTH = 0.5
FAULT_POLICIES = ("round_robin", "least_reported", "power_of_two", "ours")
COLUMNS: tuple[tuple[str, str, Callable[[float], str]], ...] = (
    ("stall s", "stall_seconds", lambda v: f"{v:.0f}"),
    ("preempt", "n_preemptions", lambda v: f"{v:.0f}"),
    ("p50 ms", "gap_p50", lambda v: f"{1000 * v:.1f}"),
    ("p99 ms", "gap_p99", lambda v: f"{1000 * v:.1f}"),
    ("p99.9 ms", "gap_p999", lambda v: f"{1000 * v:.1f}"),
    ("1st p50 s", "first_p50", lambda v: f"{v:.2f}"),
    ("1st p99 s", "first_p99", lambda v: f"{v:.2f}"),
    ("goodput", "goodput", lambda v: f"{v:.0f}"),
    ("refused", "refused", lambda v: f"{v:.3f}"),
    ("lost", "lost", lambda v: f"{v:.0f}"),
    ("smallest", "smallest_share", lambda v: f"{v:.2f}"),
)
GroupKey = tuple[str, float, str, str]


def main() -> None:
    """Parse the arguments, run the cases and report the outcomes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--quick", action="store_true", help="make a few short runs, under 45 s"
    )
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds per case")
    parser.add_argument("--only", default="", help="run this deployment only")
    parser.add_argument(
        "--faults", default="", help="run these faults only, comma-separated"
    )
    parser.add_argument(
        "--policies", default="", help="run these policies only, comma-separated"
    )
    parser.add_argument(
        "--loads", default="", help="run these loads only, comma-separated"
    )
    parser.add_argument(
        "--capacity",
        type=float,
        help="capacity in tokens/s instead of measuring it; needs --only",
    )
    parser.add_argument(
        "--out", default="out/bench", help="path of the output files without suffix"
    )
    args = parser.parse_args()
    started = time.monotonic()
    names = [args.only] if args.only else list(DEPLOYMENTS)
    if args.quick and not args.only:
        names = ["office", "ciranda"]
    with ProcessPoolExecutor(n_processes()) as pool:
        if args.capacity:
            capacities = {args.only: args.capacity}
        else:
            measured = pool.map(measure_capacity, names)
            capacities = dict(zip(names, measured, strict=True))
        for name, capacity in capacities.items():
            print(f"capacity of {name}: {capacity:.0f} tokens/s by the oracle")
        cases = _cases(args, capacities)
        outcomes = list(pool.map(run_case, cases))
    groups = _group(outcomes)
    _print_table(groups)
    _print_targets(groups)
    _write(args.out, outcomes, capacities)
    print(
        f"{len(outcomes)} runs in {time.monotonic() - started:.0f} s", file=sys.stderr
    )


def _cases(args: argparse.Namespace, capacities: dict[str, float]) -> list[Case]:
    if args.quick:
        policies: Sequence[str] = QUICK_POLICIES
        plan = [(1.0, "none", policies)]
        seeds = range(1, 3)
    else:
        plan = [(load, "none", POLICIES) for load in (0.7, 1.0, 1.3)]
        plan += [(1.0, fault, FAULT_POLICIES) for fault in (*FAULTS, "greedy")]
        seeds = range(1, args.seeds + 1)
    if args.faults:
        plan = [row for row in plan if row[1] in args.faults.split(",")]
    if args.loads:
        plan = [row for row in plan if str(row[0]) in args.loads.split(",")]
    return [
        Case(
            deployment=name,
            policy=policy,
            load=load,
            fault=fault,
            seed=seed,
            capacity=capacity,
            length=QUICK_LENGTH if args.quick else 1.0,
        )
        for name, capacity in capacities.items()
        for load, fault, policies in plan
        for policy in policies
        if not args.policies or policy in args.policies.split(",")
        for seed in seeds
    ]


def _group(outcomes: list[Outcome]) -> dict[GroupKey, list[Outcome]]:
    groups: dict[GroupKey, list[Outcome]] = {}
    for o in outcomes:
        groups.setdefault((o.deployment, o.load, o.fault, o.policy), []).append(o)
    return groups


def _print_table(groups: dict[GroupKey, list[Outcome]]) -> None:
    header = "".join(f"{title:>20}" for title, _, _ in COLUMNS)
    print(f"\nmedians over seeds [least, greatest]\n{'':40}{header}")
    for (deployment, load, fault, policy), outcomes in groups.items():
        line = f"{deployment:8} {load:.1f} {fault:10} {policy:15}"
        for _, field, to_text in COLUMNS:
            low, high = spread(outcomes, field)
            cell = (
                f"{to_text(median(outcomes, field))} [{to_text(low)},{to_text(high)}]"
            )
            line += f"{cell:>20}"
        print(line)


def _print_targets(groups: dict[GroupKey, list[Outcome]]) -> None:
    print("\ntargets at 1.0 of capacity")
    for name in DEPLOYMENTS:

        def median_of(policy: str, field: str, fault: str = "none", name=name) -> float:  # type: ignore[no-untyped-def]
            return median(groups[name, 1.0, fault, policy], field)

        needed = {(name, 1.0, "none", policy) for policy in QUICK_POLICIES}
        if not needed <= groups.keys():
            continue
        baselines = ("round_robin", "least_reported")
        for field, factor in (("n_preemptions", 0.2), ("stall_seconds", 0.5)):
            best = min(median_of(policy, field) for policy in baselines)
            _print_target(
                name, field, median_of("ours", field), factor * best, at_most=True
            )
        _print_target(
            name,
            "gap_p99",
            median_of("ours", "gap_p99"),
            1.2 * median_of("oracle", "gap_p99"),
            at_most=True,
        )
        baselines_run = [p for p in POLICIES[:3] if (name, 1.0, "none", p) in groups]
        best = max(median_of(policy, "goodput") for policy in baselines_run)
        _print_target(
            name, "goodput", median_of("ours", "goodput"), best, at_most=False
        )
        if (name, 1.0, "greedy", "ours") in groups:
            share = median_of("ours", "smallest_share", "greedy")
            _print_target(name, "smallest_share", share, 0.9, at_most=False)
    late = sum(o.late_refusals for key in groups for o in groups[key])
    print(f"  refusals neither within 50 ms nor at the deadline: {late:.0f}")


def _print_target(
    name: str, field: str, value: float, bound: float, *, at_most: bool
) -> None:
    is_met = value <= bound if at_most else value >= bound
    sign = "<=" if at_most else ">="
    verdict = "met" if is_met else "NOT MET"
    print(f"  {name:8} {field:15} {value:10.4g} {sign} {bound:10.4g}  {verdict}")


def _write(out: str, outcomes: list[Outcome], capacities: dict[str, float]) -> None:
    path = Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    data = {"capacities": capacities, "outcomes": as_json(outcomes)}
    path.with_suffix(".json").write_text(json.dumps(data, indent=1))
    from bench.plot import plot

    plot(outcomes, path.with_suffix(".png"))


if __name__ == "__main__":
    main()
