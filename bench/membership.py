"""Measures failure detection, version updates and recovery in real processes.

``python -m bench.membership`` starts some dozens of processes of
`bench.membership_process` on 127.0.0.1, measures, ends them by their ids, and writes
``out/membership.json``. The figures depend on the load of the machine, so its load
averages are part of the file.
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


class NodeProcess:
    """One node process and the events that it printed."""

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
        """Start the process and wait for its first event: it serves then."""
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

    def send_command(self, *command: object) -> None:
        """Send a command to the process."""
        assert self._process is not None and self._process.stdin is not None
        self._process.stdin.write(json.dumps(command).encode() + b"\n")

    def send_signal(self, number: int) -> float:
        """Send a signal to this process only; return the monotonic time."""
        assert self._process is not None
        self._process.send_signal(number)
        return time.monotonic()

    async def kill(self) -> float:
        """Kill the process; return the monotonic time of the signal."""
        at = self.send_signal(9)
        self.is_running = False
        assert self._process is not None and self._reading is not None
        await self._process.wait()
        await self._reading
        return at

    def first_event_at(self, kind: str, value: object, since: float) -> float | None:
        """Return the time of the first such event since a time, or None."""
        for at, event_kind, event_value in self.events:
            if at >= since and event_kind == kind and event_value == value:
                return at
        return None


class MembershipBench:
    """Runs a group of node processes and the measurements on it."""

    def __init__(self, n_nodes: int) -> None:
        self.rng = random.Random(1)
        self.processes = [
            NodeProcess(number, port) for number, port in enumerate(free_ports(n_nodes))
        ]

    @property
    def running(self) -> list[NodeProcess]:
        """Return the processes that are running."""
        return [process for process in self.processes if process.is_running]

    async def start(self) -> None:
        """Start all processes and wait until their membership tables agree."""
        for group in range(0, len(self.processes), 6):
            processes = self.processes[group : group + 6]
            await asyncio.gather(
                *(self.start_process(process) for process in processes)
            )
        await self.wait_until(self.has_converged, 60.0)

    async def start_process(self, process: NodeProcess) -> None:
        """Start a process with the first three as its seeds."""
        seeds = [other.port for other in self.processes[:3] if other is not process]
        await process.start(seeds)

    async def stop(self) -> None:
        """Kill all running processes by their ids."""
        await asyncio.gather(*(process.kill() for process in self.running))

    def has_converged(self) -> bool:
        """Return whether each process sees exactly the running nodes as live."""
        names = {process.name for process in self.running}
        return all(process.live == names for process in self.running)

    async def wait_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Wait until a condition is true; return False after a timeout in seconds."""
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(0.05)  # noqa: ASYNC110
        return True

    def count_suspicions(self, since: float, excluded: set[str]) -> int:
        """Count suspicions since a time, without those of the excluded nodes.

        Reports of one node that round to the same second count once.
        """
        suspects = {
            (name, round(at))
            for process in self.processes
            for at, kind, name in process.events
            if kind == "suspect" and at >= since and name not in excluded
        }
        return len(suspects)

    async def measure_kills(self, n_kills: int) -> dict[str, Any]:
        """Kill nodes in turn; measure the time until each other node removes them."""
        seconds, last_seconds, n_missed = [], [], 0
        since = time.monotonic()
        killed = set()
        for _ in range(n_kills):
            await asyncio.sleep(self.rng.uniform(0.5, 1.5))
            victim = self.rng.choice(self.running[3:])
            killed.add(victim.name)
            at = await victim.kill()
            others = self.running
            await self.wait_until(partial(is_removed, victim.name, others), 10.0)
            seen = [
                process.first_event_at("gone", victim.name, at) for process in others
            ]
            found = [when - at for when in seen if when is not None]
            n_missed += len(seen) - len(found)
            seconds += found
            last_seconds.append(max(found))
            await self.start_process(victim)
            await self.wait_until(self.has_converged, 20.0)
        return {
            "n_kills": n_kills,
            "seconds": summarise(seconds),
            "seconds_until_the_last": summarise(last_seconds),
            "n_never_noticed": n_missed,
            "n_false_suspicions": self.count_suspicions(since, killed),
        }

    async def measure_drops(self, seconds: float, n_kills: int) -> dict[str, Any]:
        """Drop a tenth of all datagrams; count false suspicions, then kill nodes."""
        for process in self.running:
            process.send_command("drop", 0.1)
        since = time.monotonic()
        await asyncio.sleep(seconds)
        n_false = self.count_suspicions(since, set())
        kills = await self.measure_kills(n_kills)
        for process in self.running:
            process.send_command("drop", 0.0)
        await self.wait_until(self.has_converged, 20.0)
        minutes = seconds * len(self.running) / 60.0
        return {
            "dropped_share": 0.1,
            "node_minutes": round(minutes, 1),
            "n_false_suspicions": n_false,
            "kills": kills,
        }

    async def measure_pauses(self, n_pauses: int) -> dict[str, Any]:
        """Freeze nodes in turn; count suspicions and measure the time to recover."""
        since = time.monotonic()
        paused, recovery_seconds, n_suspicions = set(), [], 0
        for number in range(n_pauses):
            process = self.rng.choice(self.running[3:])
            paused.add(process.name)
            frozen_at = process.send_signal(19)
            await asyncio.sleep((0.3, 1.0, 3.0, 8.0)[number % 4])
            at = process.send_signal(18)
            await self.wait_until(self.has_converged, 20.0)
            recovery_seconds.append(time.monotonic() - at)
            n_suspicions += sum(
                when >= at and kind == "suspect" for when, kind, _ in process.events
            )
            await asyncio.sleep(max(0.0, frozen_at + 1.0 - time.monotonic()))
        return {
            "n_pauses": n_pauses,
            "pause_seconds": [0.3, 1.0, 3.0, 8.0],
            "n_suspicions_by_the_thawed": n_suspicions,
            "n_suspicions_of_running_nodes": self.count_suspicions(since, paused),
            "seconds_until_whole_again": summarise(recovery_seconds),
        }

    async def measure_versions(self, n_versions: int) -> dict[str, Any]:
        """Announce versions during restarts of a fifth of the nodes and a partition."""
        partitioned = self.running[-6:]
        restarting = self.rng.sample(self.running[3:-6], len(self.running) // 5)
        task = asyncio.create_task(self._restart(restarting))
        announced: list[tuple[int, float, list[NodeProcess]]] = []
        first_partitioned, first_healed = n_versions // 3, 2 * n_versions // 3
        for number in range(1, n_versions + 1):
            if number == first_partitioned:
                self._partition(partitioned)
            if number == first_healed:
                healed_at = time.monotonic()
                self._partition([])
            is_partitioned = first_partitioned <= number < first_healed
            receivers = [
                process
                for process in self.running
                if not (is_partitioned and process in partitioned)
            ]
            announcer = self.rng.choice(self.running[:3])
            announced.append((number, time.monotonic(), receivers))
            announcer.send_command("version", number)
            await asyncio.sleep(1.0)
        await task
        did_converge = await self.wait_until(self.has_converged, 30.0)
        seconds, n_missed = update_delays(announced)
        delays_after_healing = []
        for process in partitioned:
            when = version_received_at(process, first_healed, healed_at)
            delays_after_healing.append(
                when - healed_at if when is not None else float("inf")
            )
        return {
            "n_versions": n_versions,
            "n_restarted": len(restarting),
            "n_cut": len(partitioned),
            "seconds": summarise(seconds),
            "n_never_heard": n_missed,
            "seconds_from_healing_at_those_cut_off": summarise(delays_after_healing),
            "is_whole_after": did_converge,
        }

    async def _restart(self, processes: list[NodeProcess]) -> None:
        for process in processes:
            await process.kill()
            await asyncio.sleep(1.0)
            await self.start_process(process)
            await asyncio.sleep(1.0)

    def _partition(self, group: list[NodeProcess]) -> None:
        inside = [process.port for process in group]
        outside = [process.port for process in self.processes if process not in group]
        for process in self.running:
            process.send_command("cut", outside if process in group else inside)
            if not group:
                process.send_command("cut", [])

    async def measure_usage(self, seconds: float) -> dict[str, Any]:
        """Measure bytes, processor time and memory of the idle group."""
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
        requested_at = time.monotonic()
        for process in self.running:
            process.send_command("stats")
        stats: dict[str, tuple[float, list[float]]] = {}
        while len(stats) < len(self.running):
            await asyncio.sleep(0.05)  # noqa: ASYNC110
            for process in self.running:
                for at, kind, values in process.events[-5:]:
                    if kind == "stats" and at >= requested_at:
                        stats[process.name] = (at, values)
        return stats


def update_delays(
    announced: list[tuple[int, float, list[NodeProcess]]],
) -> tuple[list[float], int]:
    """Return the update delays, in seconds, and the number of missed updates.

    Processes that started after an announcement are left out.
    """
    seconds, n_missed = [], 0
    for number, at, receivers in announced:
        for process in receivers:
            if process.started_at > at:
                continue
            when = version_received_at(process, number, at)
            if when is None:
                n_missed += 1
            else:
                seconds.append(when - at)
    return seconds, n_missed


def version_received_at(
    process: NodeProcess, number: int, since: float
) -> float | None:
    """Return when a process first received this version or a newer one."""
    for at, kind, value in process.events:
        if at >= since and kind in ("version", "announced") and value >= number:
            return at
    return None


def is_removed(name: str, processes: list[NodeProcess]) -> bool:
    """Return whether none of the processes sees a node as live."""
    return all(name not in process.live for process in processes)


def summarise(seconds: list[float]) -> dict[str, float]:
    """Return the count, and the median, p99 and maximum in seconds."""
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
    """Return TCP ports that are free now; nodes use the same numbers for UDP."""
    sockets = [socket.socket() for _ in range(n_ports)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def slope(rows: list[dict[str, Any]], field: str) -> float:
    """Return the least-squares slope of a field per additional node."""
    line = statistics.linear_regression(
        [row["n_nodes"] for row in rows], [row[field] for row in rows]
    )
    return round(line.slope, 5)


def print_figures(name: str, result: object) -> None:
    """Print the figures of one measurement as soon as it ends."""
    print(name, json.dumps(result), file=sys.stderr, flush=True)


async def measure_failures(bench: MembershipBench, scale: float) -> dict[str, Any]:
    """Measure crashes, lost datagrams, freezes, restarts and partitions in turn."""
    results: dict[str, Any] = {}
    results["kills"] = await bench.measure_kills(round(20 * scale))
    print_figures("kills", results["kills"])
    results["drops"] = await bench.measure_drops(60.0 * scale, round(10 * scale))
    print_figures("drops", results["drops"])
    results["pauses"] = await bench.measure_pauses(round(12 * scale))
    print_figures("pauses", results["pauses"])
    results["versions"] = await bench.measure_versions(round(30 * scale))
    print_figures("versions", results["versions"])
    return results


async def measure(n_nodes: int, scale: float) -> dict[str, Any]:
    """Run all measurements; ``scale`` multiplies their length."""
    results: dict[str, Any] = {"load_average_at_start": os.getloadavg()}
    results["loaded"] = [measure_loaded(number) for number in (30, 100, 330)]
    usage = []
    for number in (n_nodes // 3, 2 * n_nodes // 3, n_nodes):
        bench = MembershipBench(number)
        try:
            await bench.start()
            await asyncio.sleep(10.0 * scale)
            usage.append(await bench.measure_usage(20.0 * scale))
            print_figures("usage", usage[-1])
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
