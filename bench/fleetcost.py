"""What a node costs as the number of nodes grows: a table, and a picture."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated

import matplotlib
import msgspec
import typer

from bench.fleet import Variation, play
from bench.fleetcompare import LOADS, earned, owed
from bench.fleetload import FleetLoad, read_load

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402

LOAD = "many-nodes"
N_NODES = (12, 102, 195, 330)
MILLISECONDS = 1_000


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """What one fleet cost, by node and second, without traffic and with it.

    ``n_start_calls`` are calls of the store by node until traffic began,
    ``store_calls`` those of all nodes in a second of traffic.
    """

    n_nodes: int
    load: float
    worth: float
    processor_ms: float
    n_news: float
    news_bytes: float
    gossip_bytes: float
    n_start_calls: float
    store_calls: float


def measure(n_nodes: int, factor: float, seconds: float, seed: int) -> Point:
    """Play the workload at a share of its rates with a number of nodes."""
    load = _load(n_nodes, factor, seconds)
    result = play(load, Variation(), seed)
    costs = result.traffic
    by_node = 1.0 / (n_nodes * costs.at)
    return Point(
        n_nodes=n_nodes,
        load=factor,
        worth=earned(result.endings) / owed(result.endings) if factor else 1.0,
        processor_ms=costs.processor_seconds * MILLISECONDS * by_node,
        n_news=costs.n_news * by_node,
        news_bytes=costs.news_bytes * by_node,
        gossip_bytes=costs.gossip_bytes * by_node,
        n_start_calls=result.start.n_store_calls / n_nodes,
        store_calls=costs.n_store_calls / costs.at,
    )


def table(points: list[Point]) -> str:
    """Return the points as lines of a table."""
    lines = [
        "| VMs | load | worth | processor, ms | news, datagrams | news, bytes "
        "| gossip, bytes | store calls at start | store calls a second, all |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for one in points:
        lines.append(
            f"| {one.n_nodes} | {one.load:g} | {one.worth:.3f} "
            f"| {one.processor_ms:.1f} | {one.n_news:.0f} | {one.news_bytes:.0f} "
            f"| {one.gossip_bytes:.0f} | {one.n_start_calls:.1f} "
            f"| {one.store_calls:.1f} |"
        )
    return "\n".join(lines)


def draw(points: list[Point], path: Path) -> None:
    """Draw cost and worth over the number of nodes."""
    figure, (cost, worth) = plt.subplots(1, 2, figsize=(10, 4))
    for load in sorted({point.load for point in points}):
        found = [point for point in points if point.load == load]
        n_nodes = [point.n_nodes for point in found]
        label = f"load {load:g}"
        cost.plot(n_nodes, [point.news_bytes for point in found], "o-", label=label)
        if load:
            worth.plot(n_nodes, [point.worth for point in found], "o-", label=label)
    cost.set(xlabel="VMs", ylabel="news, bytes a node and second")
    worth.set(xlabel="VMs", ylabel="share of worth", ylim=(0.0, 1.02))
    for axes in (cost, worth):
        axes.legend()
        axes.grid(alpha=0.3)
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)


def main(
    vms: Annotated[list[int] | None, typer.Argument(help="Numbers of VMs.")] = None,
    loads: Annotated[str, typer.Option(help="Shares of the rates, by comma.")] = "0,1",
    seconds: Annotated[float, typer.Option(help="Length of each play.")] = 12.0,
    seed: Annotated[int, typer.Option(help="Of all chance.")] = 1,
    jobs: Annotated[int, typer.Option(help="Plays at a time.")] = 1,
    picture: Annotated[Path, typer.Option(help="Where to draw.")] = Path(
        "out/fleetcost.png"
    ),
) -> None:
    """Play the same load before more and more nodes, and show what a node costs."""
    factors = [float(factor) for factor in loads.split(",")]
    asked = [(n_nodes, factor) for factor in factors for n_nodes in vms or N_NODES]
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        waiting = [pool.submit(measure, n, f, seconds, seed) for n, f in asked]
        points = []
        for number, found in enumerate(waiting, start=1):
            points.append(found.result())
            typer.echo(f"{number} of {len(asked)} plays", err=True)
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
