"""How fast nodes notice, tell and forgive: real processes on 127.0.0.1.

``python -m bench.membership`` starts some dozens of processes of
`bench.membership_process`, measures, ends them by their ids, and writes
``out/membership.json``. The figures depend on how busy the machine is; its load is
written beside them.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import statistics
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import typer

from .membership_loaded import measure_loaded

Event = tuple[float, str, Any]
OUT = Path("out/membership.json")


class Child:
    """One process and what it said."""

    def __init__(self, number: int, port: int) -> None:
        self.number = number
        self.name = f"n{number}"
        self.port = port
        self.events: list[Event] = []
        self.live: set[str] = set()
        self.is_running = False
        self.started_at = 0.0
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    async def start(self, seeds: list[int]) -> None:
        """Start the process and wait until it serves."""
        self.live = set()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bench.membership_process",
            str(self.number),
            str(self.port),
            *map(str, seeds),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        assert self._process.stdout is not None
        await self._process.stdout.readline()
        self.is_running = True
        self.started_at = time.monotonic()
        self._reading = asyncio.create_task(self._read(self._process.stdout))

    async def _read(self, stdout: asyncio.StreamReader) -> None:
        while line := await stdout.readline():
            at, kind, *values = json.loads(line)
            self.events.append((at, kind, values[0] if len(values) == 1 else values))
            if kind == "live":
                self.live.add(values[0])
            elif kind == "gone":
                self.live.discard(values[0])

    def tell(self, *command: object) -> None:
        """Send a command."""
        assert self._process is not None and self._process.stdin is not None
        self._process.stdin.write(json.dumps(command).encode() + b"\n")

    def signal(self, number: int) -> float:
        """Send a signal to this process alone; returns when."""
        assert self._process is not None
        self._process.send_signal(number)
        return time.monotonic()

    async def kill(self) -> float:
        """Kill it and return when."""
        at = self.signal(9)
        self.is_running = False
        assert self._process is not None and self._reading is not None
        await self._process.wait()
        await self._reading
        return at

    def first(self, kind: str, value: object, since: float) -> float | None:
        """Return when it first said this since a time."""
        for at, said, said_value in self.events:
            if at >= since and said == kind and said_value == value:
                return at
        return None


class Bench:
    """The processes and the measurements."""

    def __init__(self, n_nodes: int) -> None:
        self.rng = random.Random(1)
        self.children = [
            Child(number, port) for number, port in enumerate(free_ports(n_nodes))
        ]

    @property
    def running(self) -> list[Child]:
        """Return the children that run."""
        return [child for child in self.children if child.is_running]

    async def start(self) -> None:
        """Start all and wait until each knows all."""
        for group in range(0, len(self.children), 6):
            children = self.children[group : group + 6]
            await asyncio.gather(*(self.start_child(child) for child in children))
        await self.until(self.is_whole, 60.0)

    async def start_child(self, child: Child) -> None:
        """Start one, with three others for seeds."""
        seeds = [other.port for other in self.children[:3] if other is not child]
        await child.start(seeds)

    async def stop(self) -> None:
        """End all by their ids."""
        await asyncio.gather(*(child.kill() for child in self.running))

    def is_whole(self) -> bool:
        """Return whether each knows all that run, and no others."""
        names = {child.name for child in self.running}
        return all(child.live == names for child in self.running)

    async def until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Wait until something holds; returns whether it came about in time."""
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.05)  # noqa: ASYNC110
        return True

    def n_suspicions(self, since: float, excluded: set[str]) -> int:
        """Count suspicions first raised or heard of others than these."""
        suspects = {
            (name, round(at))
            for child in self.children
            for at, kind, name in child.events
            if kind == "suspect" and at >= since and name not in excluded
        }
        return len(suspects)

    async def kills(self, n_kills: int) -> dict[str, Any]:
        """Kill one after another; time until each other leaves it out."""
        seconds, last, n_missed = [], [], 0
        since = time.monotonic()
        killed = set()
        for _ in range(n_kills):
            await asyncio.sleep(self.rng.uniform(0.5, 1.5))
            victim = self.rng.choice(self.running[3:])
            killed.add(victim.name)
            at = await victim.kill()
            others = self.running
            await self.until(partial(is_unknown, victim.name, others), 10.0)
            seen = [child.first("gone", victim.name, at) for child in others]
            found = [when - at for when in seen if when is not None]
            n_missed += len(seen) - len(found)
            seconds += found
            last.append(max(found))
            await self.start_child(victim)
            await self.until(self.is_whole, 20.0)
        return {
            "n_kills": n_kills,
            "seconds": spread(seconds),
            "seconds_until_the_last": spread(last),
            "n_never_noticed": n_missed,
            "n_false_suspicions": self.n_suspicions(since, killed),
        }

    async def drops(self, seconds: float, n_kills: int) -> dict[str, Any]:
        """Drop a tenth of all datagrams; count false suspicions, then kill too."""
        for child in self.running:
            child.tell("drop", 0.1)
        since = time.monotonic()
        await asyncio.sleep(seconds)
        n_false = self.n_suspicions(since, set())
        kills = await self.kills(n_kills)
        for child in self.running:
            child.tell("drop", 0.0)
        await self.until(self.is_whole, 20.0)
        minutes = seconds * len(self.running) / 60.0
        return {
            "dropped_share": 0.1,
            "node_minutes": round(minutes, 1),
            "n_false_suspicions": n_false,
            "kills": kills,
        }

    async def pauses(self, n_pauses: int) -> dict[str, Any]:
        """Freeze one after another; count who was blamed and how soon it is back."""
        since = time.monotonic()
        paused, back, n_blamed = set(), [], 0
        for number in range(n_pauses):
            child = self.rng.choice(self.running[3:])
            paused.add(child.name)
            frozen_at = child.signal(19)
            await asyncio.sleep((0.3, 1.0, 3.0, 8.0)[number % 4])
            at = child.signal(18)
            await self.until(self.is_whole, 20.0)
            back.append(time.monotonic() - at)
            n_blamed += sum(
                when >= at and kind == "suspect" for when, kind, _ in child.events
            )
            await asyncio.sleep(max(0.0, frozen_at + 1.0 - time.monotonic()))
        return {
            "n_pauses": n_pauses,
            "pause_seconds": [0.3, 1.0, 3.0, 8.0],
            "n_suspicions_by_the_thawed": n_blamed,
            "n_suspicions_of_running_nodes": self.n_suspicions(since, paused),
            "seconds_until_whole_again": spread(back),
        }

    async def versions(self, n_versions: int) -> dict[str, Any]:
        """Announce versions while a fifth restart, and some are cut off and healed."""
        cut = self.running[-6:]
        restarting = self.rng.sample(self.running[3:-6], len(self.running) // 5)
        task = asyncio.create_task(self._restart(restarting))
        said: list[tuple[int, float, list[Child]]] = []
        first_cut, first_healed = n_versions // 3, 2 * n_versions // 3
        for number in range(1, n_versions + 1):
            if number == first_cut:
                self._cut(cut)
            if number == first_healed:
                healed_at = time.monotonic()
                self._cut([])
            is_cut = first_cut <= number < first_healed
            hearers = [c for c in self.running if not (is_cut and c in cut)]
            speaker = self.rng.choice(self.running[:3])
            said.append((number, time.monotonic(), hearers))
            speaker.tell("version", number)
            await asyncio.sleep(1.0)
        await task
        is_whole = await self.until(self.is_whole, 30.0)
        seconds, n_missed = heard(said)
        healed = []
        for child in cut:
            when = first_version(child, first_healed, healed_at)
            healed.append(when - healed_at if when is not None else float("inf"))
        return {
            "n_versions": n_versions,
            "n_restarted": len(restarting),
            "n_cut": len(cut),
            "seconds": spread(seconds),
            "n_never_heard": n_missed,
            "seconds_from_healing_at_those_cut_off": spread(healed),
            "is_whole_after": is_whole,
        }

    async def _restart(self, children: list[Child]) -> None:
        for child in children:
            await child.kill()
            await asyncio.sleep(1.0)
            await self.start_child(child)
            await asyncio.sleep(1.0)

    def _cut(self, group: list[Child]) -> None:
        inside = [child.port for child in group]
        outside = [child.port for child in self.children if child not in group]
        for child in self.running:
            child.tell("cut", outside if child in group else inside)
            if not group:
                child.tell("cut", [])

    async def usage(self, seconds: float) -> dict[str, Any]:
        """Measure bytes and processor time of the quiet group."""
        before = await self._stats()
        await asyncio.sleep(seconds)
        after = await self._stats()
        sent, received, cpu = [], [], []
        for name, (at, values) in after.items():
            elapsed = at - before[name][0]
            old = before[name][1]
            sent.append((values[0] - old[0]) / elapsed)
            received.append((values[1] - old[1]) / elapsed)
            cpu.append((values[2] - old[2]) / elapsed)
        resident = [values[3] / 1024 for _, values in after.values()]
        return {
            "n_nodes": len(self.running),
            "sent_bytes_per_second": round(statistics.fmean(sent), 1),
            "received_bytes_per_second": round(statistics.fmean(received), 1),
            "most_sent_and_received": round(
                max(s + r for s, r in zip(sent, received, strict=True)), 1
            ),
            "share_of_a_core": round(statistics.fmean(cpu), 5),
            "resident_megabytes": round(statistics.fmean(resident), 1),
        }

    async def _stats(self) -> dict[str, tuple[float, list[float]]]:
        asked_at = time.monotonic()
        for child in self.running:
            child.tell("stats")
        stats: dict[str, tuple[float, list[float]]] = {}
        while len(stats) < len(self.running):
            await asyncio.sleep(0.05)  # noqa: ASYNC110
            for child in self.running:
                for at, kind, values in child.events[-5:]:
                    if kind == "stats" and at >= asked_at:
                        stats[child.name] = (at, values)
        return stats


def heard(said: list[tuple[int, float, list[Child]]]) -> tuple[list[float], int]:
    """Return the seconds until each hearer that ran on heard, and who never did."""
    seconds, n_missed = [], 0
    for number, at, hearers in said:
        for child in hearers:
            if child.started_at > at:
                continue
            when = first_version(child, number, at)
            if when is None:
                n_missed += 1
            else:
                seconds.append(when - at)
    return seconds, n_missed


def first_version(child: Child, number: int, since: float) -> float | None:
    """Return when a child first heard of this version or a newer one."""
    for at, kind, value in child.events:
        if at >= since and kind in ("version", "announced") and value >= number:
            return at
    return None


def is_unknown(name: str, children: list[Child]) -> bool:
    """Return whether none of them has a node among the live ones."""
    return all(name not in child.live for child in children)


def spread(seconds: list[float]) -> dict[str, float]:
    """Return count, median, p99 and the largest, in seconds."""
    if not seconds:
        return {"n": 0}
    ordered = sorted(seconds)
    return {
        "n": len(ordered),
        "p50": round(statistics.median(ordered), 3),
        "p99": round(ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))], 3),
        "max": round(ordered[-1], 3),
    }


def free_ports(n_ports: int) -> list[int]:
    """Return ports that are free just now for both TCP and UDP."""
    sockets = [socket.socket() for _ in range(n_ports)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def slope(rows: list[dict[str, Any]], field: str) -> float:
    """Return the least-squares slope of a field for each node more."""
    line = statistics.linear_regression(
        [row["n_nodes"] for row in rows], [row[field] for row in rows]
    )
    return round(line.slope, 5)


def note(name: str, result: object) -> None:
    """Print one part's figures as soon as they are there."""
    print(name, json.dumps(result), file=sys.stderr, flush=True)


async def measure_failures(bench: Bench, scale: float) -> dict[str, Any]:
    """Kill, drop, freeze, restart and cut, one kind after another."""
    results: dict[str, Any] = {}
    results["kills"] = await bench.kills(round(20 * scale))
    note("kills", results["kills"])
    results["drops"] = await bench.drops(60.0 * scale, round(10 * scale))
    note("drops", results["drops"])
    results["pauses"] = await bench.pauses(round(12 * scale))
    note("pauses", results["pauses"])
    results["versions"] = await bench.versions(round(30 * scale))
    note("versions", results["versions"])
    return results


async def measure(n_nodes: int, scale: float) -> dict[str, Any]:
    """Run everything; ``scale`` shortens it."""
    results: dict[str, Any] = {"load_average_at_start": os.getloadavg()}
    results["loaded"] = [measure_loaded(number) for number in (30, 100, 330)]
    usage = []
    for number in (n_nodes // 3, 2 * n_nodes // 3, n_nodes):
        bench = Bench(number)
        try:
            await bench.start()
            await asyncio.sleep(10.0 * scale)
            usage.append(await bench.usage(20.0 * scale))
            note("usage", usage[-1])
            if number == n_nodes:
                results |= await measure_failures(bench, scale)
        finally:
            await bench.stop()
    results["usage"] = usage
    results["slopes_per_node"] = {
        field: slope(usage, field)
        for field in ("sent_bytes_per_second", "received_bytes_per_second")
    }
    results["load_average_at_end"] = os.getloadavg()
    return results


def main(n_nodes: int = 30, scale: float = 1.0) -> None:
    """Measure membership and write the figures to out/membership.json."""
    results = asyncio.run(measure(n_nodes, scale))
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_text(json.dumps(results, indent=1) + "\n")
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    typer.run(main)
