"""Measures the cost of a node as the fleet grows; writes a table and a chart."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated

import matplotlib
import msgspec
import typer

from bench.fleet import Variation, simulate
from bench.fleetcompare import LOADS, earned_worth, total_worth
from bench.fleetload import FleetLoad, read_load

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402

LOAD = "many-nodes"
N_NODES = (12, 102, 195, 330)
MILLISECONDS = 1_000


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """Holds the costs of one fleet, per node and second of traffic.

    ``load`` is the factor of the request rates (0: no traffic), ``n_start_calls`` the
    number of store calls per node before traffic starts, ``store_calls`` the store
    calls of all nodes per second of traffic.
    """

    n_nodes: int
    load: float
    worth: float
    processor_ms: float
    n_updates: float
    update_bytes: float
    gossip_bytes: float
    n_start_calls: float
    store_calls: float


def measure(n_nodes: int, factor: float, seconds: float, seed: int) -> Point:
    """Simulate the workload with its request rates multiplied by a factor."""
    load = _load(n_nodes, factor, seconds)
    result = simulate(load, Variation(), seed)
    costs = result.traffic_costs
    per_node_second = 1.0 / (n_nodes * costs.at)
    return Point(
        n_nodes=n_nodes,
        load=factor,
        worth=earned_worth(result.request_results) / total_worth(result.request_results)
        if factor
        else 1.0,
        processor_ms=costs.processor_seconds * MILLISECONDS * per_node_second,
        n_updates=costs.n_updates * per_node_second,
        update_bytes=costs.update_bytes * per_node_second,
        gossip_bytes=costs.gossip_bytes * per_node_second,
        n_start_calls=result.start_costs.n_store_calls / n_nodes,
        store_calls=costs.n_store_calls / costs.at,
    )


def table(points: list[Point]) -> str:
    """Return the points as a Markdown table."""
    lines = [
        "| VMs | load | worth | processor, ms | updates, datagrams | updates, bytes "
        "| gossip, bytes | store calls at start | store calls per second, all |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for point in points:
        lines.append(
            f"| {point.n_nodes} | {point.load:g} | {point.worth:.3f} "
            f"| {point.processor_ms:.1f} | {point.n_updates:.0f} "
            f"| {point.update_bytes:.0f} | {point.gossip_bytes:.0f} "
            f"| {point.n_start_calls:.1f} | {point.store_calls:.1f} |"
        )
    return "\n".join(lines)


def draw(points: list[Point], path: Path) -> None:
    """Plot cost and worth against the number of nodes."""
    figure, (cost, worth) = plt.subplots(1, 2, figsize=(10, 4))
    for load in sorted({point.load for point in points}):
        selected = [point for point in points if point.load == load]
        n_nodes = [point.n_nodes for point in selected]
        label = f"load {load:g}"
        cost.plot(
            n_nodes, [point.update_bytes for point in selected], "o-", label=label
        )
        if load:
            worth.plot(n_nodes, [point.worth for point in selected], "o-", label=label)
    cost.set(xlabel="VMs", ylabel="updates, bytes per node and second")
    worth.set(xlabel="VMs", ylabel="share of worth", ylim=(0.0, 1.02))
    for axes in (cost, worth):
        axes.legend()
        axes.grid(alpha=0.3)
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)


def main(
    vms: Annotated[list[int] | None, typer.Argument(help="Numbers of VMs.")] = None,
    loads: Annotated[
        str, typer.Option(help="Comma-separated factors of the request rates.")
    ] = "0,1",
    seconds: Annotated[
        float, typer.Option(help="Seconds of traffic in each simulation.")
    ] = 12.0,
    seed: Annotated[int, typer.Option(help="Seed of all random draws.")] = 1,
    jobs: Annotated[int, typer.Option(help="Number of parallel simulations.")] = 1,
    picture: Annotated[Path, typer.Option(help="Output file of the chart.")] = Path(
        "out/fleetcost.png"
    ),
) -> None:
    """Simulate the same workload with growing fleets and show the cost of a node."""
    factors = [float(factor) for factor in loads.split(",")]
    simulations = [
        (n_nodes, factor) for factor in factors for n_nodes in vms or N_NODES
    ]
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        futures = [pool.submit(measure, n, f, seconds, seed) for n, f in simulations]
        points = []
        for number, future in enumerate(futures, start=1):
            points.append(future.result())
            typer.echo(f"{number} of {len(simulations)} simulations", err=True)
    typer.echo(table(points))
    draw(points, picture)


def _load(n_nodes: int, factor: float, seconds: float) -> FleetLoad:
    load = read_load(LOADS / f"{LOAD}.toml")
    requests = [
        msgspec.structs.replace(kind, per_second=kind.per_second * factor)
        for kind in load.requests
        if factor
    ]
    return msgspec.structs.replace(
        load, n_nodes=n_nodes, requests=requests, seconds=seconds
    )


if __name__ == "__main__":
    typer.run(main)
