"""Plays fleets in which prompt parts crash engines; prints how the rules are kept.

Run it with ``python -m bench.crashparts [CASE...]``; ``--nodes`` and ``--seeds`` say
how large the fleets are and which draws are played.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer
from msgspec.structs import replace

from bench.crashrules import SoundShares, late_receipts, sound_shares
from bench.fleet import FleetResult, Variation, simulate
from bench.fleetload import FleetEvent, FleetLoad, PromptPart, RequestKind, read_load

LOAD = Path(__file__).parent / "loads" / "crash-part.toml"
COMPANION = PromptPart(id="c0de", share=0.5)


def base_load() -> FleetLoad:
    """Return the load with one part that crashes engines, and companions."""
    return read_load(LOAD)


def _with_kinds(load: FleetLoad, **changes: dict[str, Any]) -> FleetLoad:
    """Return a load with changed kinds of requests, by their names."""
    kinds = [replace(kind, **changes.get(kind.name, {})) for kind in load.requests]
    return replace(load, requests=kinds)


def _with_engines(load: FleetLoad, **changes: Any) -> FleetLoad:
    return replace(load, engines=replace(load.engines, **changes))


def _poison(load: FleetLoad) -> RequestKind:
    return next(kind for kind in load.requests if kind.name == "poison")


def after_one_event(load: FleetLoad) -> FleetLoad:
    """Engines end after the first event of an answer."""
    return _with_engines(load, crash_events=1)


def with_backups(load: FleetLoad) -> FleetLoad:
    """The route isn't resumable; runs have backups, and streams are long."""
    changes = {"resumable": False}
    return _with_kinds(load, check=changes, poison=changes)


def two_parts(load: FleetLoad) -> FleetLoad:
    """Two parts crash engines at the same time, in different requests."""
    poison = _poison(load)
    second = replace(
        poison, name="poison2", parts=(COMPANION, PromptPart(id="bad2")), per_second=0.7
    )
    load = replace(load, requests=[*load.requests, second])
    return _with_engines(load, crash_parts=("bad1", "bad2"))


def comes_back(load: FleetLoad) -> FleetLoad:
    """The part comes for a while, and again after a pause."""
    return _with_kinds(load, poison={"active": ((8.0, 13.0), (20.0, 30.0))})


def nodes_restart(load: FleetLoad) -> FleetLoad:
    """Half of the nodes start again meanwhile."""
    event = FleetEvent(
        kind="restart_nodes", at=14.0, n_nodes=load.n_nodes // 2, seconds=3.0
    )
    return replace(load, events=[event])


def all_nodes_restart(load: FleetLoad) -> FleetLoad:
    """All nodes start again within a moment, long after the part was found."""
    event = FleetEvent(kind="restart_nodes", at=18.0, n_nodes=load.n_nodes, seconds=0.1)
    return replace(load, events=[event])


def other_crashes(load: FleetLoad) -> FleetLoad:
    """Other engines crash beside it, one in four seconds."""
    return _with_engines(load, reclaim_every=4.0)


def only_other_crashes(load: FleetLoad) -> FleetLoad:
    """Engines crash by themselves, one in one and a half seconds; no part does it."""
    load = _with_engines(load, reclaim_every=1.5, crash_parts=())
    return replace(load, requests=[load.requests[0]])


def many_crash_at_once(load: FleetLoad) -> FleetLoad:
    """Whole failure domains are lost one after the other; no part does it."""
    load = _with_engines(load, crash_parts=())
    events = [
        FleetEvent(kind="cold_return", at=8.0 + 5.0 * n, seconds=2.0, domain=domain)
        for n, domain in enumerate(load.zones)
    ]
    return replace(load, requests=[load.requests[0]], events=events)


def cut_paths(load: FleetLoad) -> FleetLoad:
    """A third of the nodes lose the path to all engines; no part crashes any."""
    load = _with_engines(load, crash_parts=())
    cut = FleetEvent(kind="cut_nodes", at=8.0, n_nodes=load.n_nodes // 3, seconds=3.0)
    events = [
        replace(cut, how="reset"),
        replace(cut, at=14.0, how="refused"),
        replace(cut, at=20.0, how="silent"),
    ]
    return replace(load, requests=[load.requests[0]], events=events)


def unframed_answers(load: FleetLoad) -> FleetLoad:
    """Answers end with their connections, three in ten of them inside an event."""
    load = _with_engines(load, crash_parts=(), unframed_share=1.0, torn_share=0.3)
    return replace(load, requests=[load.requests[0]])


CASES: dict[str, Callable[[FleetLoad], FleetLoad]] = {
    "one part": lambda load: load,
    "after one event": after_one_event,
    "with backups": with_backups,
    "two parts": two_parts,
    "comes back": comes_back,
    "half of the nodes restart": nodes_restart,
    "all nodes restart": all_nodes_restart,
    "other crashes beside": other_crashes,
    "only other crashes": only_other_crashes,
    "domains lost": many_crash_at_once,
    "cut paths": cut_paths,
    "unframed answers": unframed_answers,
}


@dataclass(frozen=True, kw_only=True)
class PartOutcome:
    """How the rules were kept for one part."""

    part: str
    n_ends: int
    n_received: int
    n_late: int
    shares: SoundShares


def part_outcome(part: str, result: FleetResult) -> PartOutcome:
    """Reckon the rules for a part."""
    times = [res.at for res in result.request_results if part in res.parts]
    shares = sound_shares(
        part,
        result.crashes,
        result.request_results,
        first_at=min(times),
        last_at=max(times),
    )
    late = late_receipts(part, result.crashes, result.receipts, result.absences)
    return PartOutcome(
        part=part,
        n_ends=sum(crash.part == part for crash in result.crashes),
        n_received=sum(receipt.part == part for receipt in result.receipts),
        n_late=len(late),
        shares=shares,
    )


def play_case(case: str, n_nodes: int, seed: int) -> tuple[FleetLoad, FleetResult]:
    """Play one case; return its load and the result."""
    load = CASES[case](replace(base_load(), n_nodes=n_nodes))
    return load, simulate(load, Variation(), seed)


def case_rows(case: str, n_nodes: int, seed: int) -> list[str]:
    """Play one case; return a row of the table for each part, or for none."""
    load, result = play_case(case, n_nodes, seed)
    sound = [res for res in result.request_results if res.kind.name == "check"]
    n_served = sum(res.outcome in ("on time", "late") for res in sound)
    head = f"| {case} | {n_nodes} | {seed} | {n_served} of {len(sound)} |"
    rows = []
    for part in load.engines.crash_parts:
        found = part_outcome(part, result)
        shares = found.shares
        rows.append(
            f"{head} {part} | {found.n_ends} | {found.n_received} | {found.n_late} | "
            f"{shares.after:.2f} of {shares.usual:.2f} |"
        )
    return rows or [f"{head} none | | | | |"]


def main(
    cases: Annotated[list[str] | None, typer.Argument(help="Names of cases.")] = None,
    nodes: Annotated[str, typer.Option(help="Numbers of nodes.")] = "12",
    seeds: Annotated[str, typer.Option(help="Seeds.")] = "1",
    jobs: Annotated[int, typer.Option(help="Fleets played at once.")] = 2,
) -> None:
    """Print a table: sound requests served, ends, requests received, late ones."""
    plays = list(
        itertools.product(
            cases or CASES, map(int, nodes.split(",")), map(int, seeds.split(","))
        )
    )
    typer.echo(
        "| case | nodes | seed | served | part | ends | received | late | begin |"
    )
    with ProcessPoolExecutor(jobs) as pool:
        for rows in pool.map(case_rows, *zip(*plays, strict=True)):
            typer.echo("\n".join(rows))


if __name__ == "__main__":
    typer.run(main)
