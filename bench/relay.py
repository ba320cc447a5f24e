"""What a relayed token costs a node: ``make bench-relay``.

The floor is h11's own work for a token: receiving the chunk with the engine's line
and sending the chunk with the caller's event. The measure is the processor time of a
real relay process (user and system) for each token that callers received, with
stand-in engines and callers in other processes. Both come from one run, so that their
ratio does not depend on how fast the machine is.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from dataclasses import dataclass, replace

import h11
import msgspec
import psutil
import typer

from .relayprocess import KEY, MODEL

N_ENGINES = 3
FLOOR_TOKENS = 20_000
SETTLE_SECONDS = 3.0
LINE = b'{"offset":123,"token":"w123-ab1f76 "}\n'
MIB = 1024 * 1024


def h11_floor(event_bytes: int) -> float:
    """Return the microseconds h11 takes to receive a line and send an event."""
    engine, here = h11.Connection(h11.SERVER), h11.Connection(h11.CLIENT)
    head = here.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    engine.receive_data(head or b"")
    engine.next_event()
    engine.next_event()
    here.send(h11.EndOfMessage())
    answer = h11.Response(status_code=200, headers=[("transfer-encoding", "chunked")])
    here.receive_data(engine.send(answer) or b"")
    here.next_event()
    chunk = engine.send(h11.Data(data=LINE)) or b""
    event = h11.Data(data=b"x" * event_bytes)
    started = time.process_time()
    for _ in range(FLOOR_TOKENS):
        here.receive_data(chunk)
        while here.next_event() is not h11.NEED_DATA:
            pass
        engine.send(event)
    return (time.process_time() - started) / FLOOR_TOKENS * 1e6


class Reader(asyncio.Protocol):
    """One caller: it asks for a long draft and counts the bytes and events."""

    n_events = 0
    n_bytes = 0

    def __init__(self, number: int) -> None:
        self._number = number

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask."""
        assert isinstance(transport, asyncio.Transport)
        body = msgspec.json.encode(
            {
                "model": MODEL,
                "prompt": f"draft {self._number} [length=1000000]",
                "stream": True,
            }
        )
        head = (
            f"POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}"
            f"\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        transport.write(head.encode() + body)

    def data_received(self, data: bytes) -> None:
        """Count."""
        Reader.n_events += data.count(b"\ndata: ")
        Reader.n_bytes += len(data)


class Processes:
    """The processes that this bench starts, and ends by their ids."""

    def __init__(self) -> None:
        self._started: list[subprocess.Popen[str]] = []

    def start(self, *words: str) -> tuple[int, str]:
        """Start a module; returns its process id and the address it listens on."""
        process = subprocess.Popen(
            [sys.executable, "-m", *words], stdout=subprocess.PIPE, text=True
        )
        self._started.append(process)
        assert process.stdout is not None
        return process.pid, process.stdout.readline().split()[1]

    def end(self) -> None:
        """End them all."""
        for process in self._started:
            process.terminate()
        for process in self._started:
            process.wait()


@dataclass(frozen=True, kw_only=True, slots=True)
class Measured:
    """What a relay process used: for each token, and resident."""

    microseconds: float
    n_bytes: float
    tokens_per_second: float
    mib: float
    idle_mib: float = 0.0


async def _measure(pid: int, address: str, n_streams: int, seconds: float) -> Measured:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    transports = []
    for number in range(n_streams):
        transport, _ = await loop.create_connection(
            lambda number=number: Reader(number),  # type: ignore[misc]
            host,
            int(port),
        )
        transports.append(transport)
        if number % 50 == 49:
            await asyncio.sleep(0.1)
    await asyncio.sleep(SETTLE_SECONDS)
    process = psutil.Process(pid)
    before, events, n_bytes = process.cpu_times(), Reader.n_events, Reader.n_bytes
    started = loop.time()
    await asyncio.sleep(seconds)
    elapsed = loop.time() - started
    after = process.cpu_times()
    n_tokens = max(1, Reader.n_events - events)
    cpu = after.user + after.system - before.user - before.system
    resident = process.memory_info().rss / MIB
    for transport in transports:
        transport.abort()
    return Measured(
        microseconds=cpu / n_tokens * 1e6,
        n_bytes=(Reader.n_bytes - n_bytes) / n_tokens,
        tokens_per_second=n_tokens / elapsed,
        mib=resident,
    )


def _start_engines(processes: Processes, pace: float) -> list[str]:
    addresses = []
    for number in range(N_ENGINES):
        _, address = processes.start(
            "standins.engine",
            f"--name=e{number}",
            f"--tokens-per-second={pace}",
            "--memory-tokens=1000000000",
        )
        addresses.append(address)
    return addresses


def _run(words: list[str], n_streams: int, pace: float, seconds: float) -> Measured:
    """Measure one relay process before fresh engines."""
    processes = Processes()
    try:
        engines = _start_engines(processes, pace)
        if words[0] == "bench.barerelay":
            engines = engines[:1]
        options = [f"--engine={address}" for address in engines]
        pid, address = processes.start(*words, *options)
        idle = psutil.Process(pid).memory_info().rss / MIB
        measured = asyncio.run(_measure(pid, address, n_streams, seconds))
        return replace(measured, idle_mib=idle)
    finally:
        processes.end()


def main(
    seconds: float = typer.Option(10.0, help="Seconds of each measurement."),
    tokens_per_second: float = typer.Option(30.0, help="Of each stream, at 100."),
) -> None:
    """Measure the relay and print a table.

    floor: h11 alone; bare: sockets and asyncio alone, without h11 or any check.
    """
    print("streams tokens/s  us/token  floor   bare  us/floor  us/(floor+bare)  MiB")
    for n_streams in (100, 1_000):
        # The same tokens a second in all, so that 1,000 streams show what streams
        # cost and not a processor that is full.
        pace = tokens_per_second * 100 / n_streams
        bare = _run(["bench.barerelay"], n_streams, pace, seconds)
        ours = _run(["bench.relayprocess"], n_streams, pace, seconds)
        floor = h11_floor(round(ours.n_bytes))
        print(
            f"{n_streams:7} {ours.tokens_per_second:8.0f}  {ours.microseconds:8.1f}"
            f"  {floor:5.1f}  {bare.microseconds:5.1f}"
            f"  {ours.microseconds / floor:8.2f}"
            f"  {ours.microseconds / (floor + bare.microseconds):15.2f}"
            f"  {ours.idle_mib:.1f} idle, {ours.mib:.1f}"
        )


if __name__ == "__main__":
    typer.run(main)
