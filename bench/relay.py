"""Measure what a relayed token costs a node: ``make bench-relay``.

The cost is the processor time (user and system) of a real relay process divided by the
tokens that callers received; stand-in engines and callers run in other processes. The
floor is h11's own work for a token: receiving the chunk with the engine's line and
sending the chunk with the caller's event. Both are measured in one run, so that their
ratio doesn't depend on the speed of the machine.
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
N_FLOOR_TOKENS = 20_000
SETTLE_SECONDS = 3.0
ENGINE_LINE = b'{"offset":123,"token":"w123-ab1f76 "}\n'
MIB = 1024 * 1024


def measure_h11_floor(event_bytes: int) -> float:
    """Return the microseconds that h11 takes to receive a line and send an event."""
    engine, relay_side = h11.Connection(h11.SERVER), h11.Connection(h11.CLIENT)
    head = relay_side.send(
        h11.Request(method="GET", target="/", headers=[("host", "x")])
    )
    engine.receive_data(head or b"")
    engine.next_event()
    engine.next_event()
    relay_side.send(h11.EndOfMessage())
    response = h11.Response(status_code=200, headers=[("transfer-encoding", "chunked")])
    relay_side.receive_data(engine.send(response) or b"")
    relay_side.next_event()
    chunk = engine.send(h11.Data(data=ENGINE_LINE)) or b""
    event = h11.Data(data=b"x" * event_bytes)
    started = time.process_time()
    for _ in range(N_FLOOR_TOKENS):
        relay_side.receive_data(chunk)
        while relay_side.next_event() is not h11.NEED_DATA:
            pass
        engine.send(event)
    return (time.process_time() - started) / N_FLOOR_TOKENS * 1e6


class StreamCaller(asyncio.Protocol):
    """Requests a long draft; the class counts the events and bytes of all callers."""

    n_events = 0
    n_bytes = 0

    def __init__(self, number: int) -> None:
        self._number = number

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send a request for a stream of a million tokens."""
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
        """Count the events and bytes received."""
        StreamCaller.n_events += data.count(b"\ndata: ")
        StreamCaller.n_bytes += len(data)


class Processes:
    """Starts processes and terminates those that it started."""

    def __init__(self) -> None:
        self._started: list[subprocess.Popen[str]] = []

    def start(self, *arguments: str) -> tuple[int, str]:
        """Start a module; return its process id and the address that it listens on."""
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments], stdout=subprocess.PIPE, text=True
        )
        self._started.append(process)
        assert process.stdout is not None
        return process.pid, process.stdout.readline().split()[1]

    def terminate(self) -> None:
        """Terminate all started processes and wait for them to exit."""
        for process in self._started:
            process.terminate()
        for process in self._started:
            process.wait()


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayUsage:
    """Holds what a relay process used.

    Microseconds of processor time and bytes sent are per token; memory is resident.
    """

    microseconds: float
    n_bytes: float
    tokens_per_second: float
    mib: float
    idle_mib: float = 0.0


async def _measure(
    pid: int, address: str, n_streams: int, seconds: float
) -> RelayUsage:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    transports = []
    for number in range(n_streams):
        transport, _ = await loop.create_connection(
            lambda number=number: StreamCaller(number),  # type: ignore[misc]
            host,
            int(port),
        )
        transports.append(transport)
        if number % 50 == 49:
            await asyncio.sleep(0.1)
    await asyncio.sleep(SETTLE_SECONDS)
    process = psutil.Process(pid)
    before, n_events_before, n_bytes_before = (
        process.cpu_times(),
        StreamCaller.n_events,
        StreamCaller.n_bytes,
    )
    started = loop.time()
    await asyncio.sleep(seconds)
    elapsed = loop.time() - started
    after = process.cpu_times()
    n_tokens = max(1, StreamCaller.n_events - n_events_before)
    cpu = after.user + after.system - before.user - before.system
    resident = process.memory_info().rss / MIB
    for transport in transports:
        transport.abort()
    return RelayUsage(
        microseconds=cpu / n_tokens * 1e6,
        n_bytes=(StreamCaller.n_bytes - n_bytes_before) / n_tokens,
        tokens_per_second=n_tokens / elapsed,
        mib=resident,
    )


def _start_engines(
    processes: Processes, tokens_per_second_per_stream: float
) -> list[str]:
    addresses = []
    for number in range(N_ENGINES):
        _, address = processes.start(
            "standins.engine",
            f"--name=e{number}",
            f"--tokens-per-second={tokens_per_second_per_stream}",
            "--memory-tokens=1000000000",
        )
        addresses.append(address)
    return addresses


def _run(
    arguments: list[str],
    n_streams: int,
    tokens_per_second_per_stream: float,
    seconds: float,
) -> RelayUsage:
    """Measure one relay process with newly started engines."""
    processes = Processes()
    try:
        engines = _start_engines(processes, tokens_per_second_per_stream)
        if arguments[0] == "bench.barerelay":
            engines = engines[:1]
        options = [f"--engine={address}" for address in engines]
        pid, address = processes.start(*arguments, *options)
        idle = psutil.Process(pid).memory_info().rss / MIB
        measured = asyncio.run(_measure(pid, address, n_streams, seconds))
        return replace(measured, idle_mib=idle)
    finally:
        processes.terminate()


def main(
    seconds: float = typer.Option(
        10.0, help="Duration of each measurement in seconds."
    ),
    tokens_per_second: float = typer.Option(
        30.0, help="Token rate of each stream with 100 streams."
    ),
) -> None:
    """Measure the relay and print a table.

    The column floor is for h11 alone; bare is for sockets and asyncio alone, without
    h11 or any check.
    """
    print("streams tokens/s  us/token  floor   bare  us/floor  us/(floor+bare)  MiB")
    for n_streams in (100, 1_000):
        # The total token rate is the same for both numbers of streams, so that 1,000
        # streams show the cost of streams and not that of a saturated processor.
        tokens_per_second_per_stream = tokens_per_second * 100 / n_streams
        bare = _run(
            ["bench.barerelay"], n_streams, tokens_per_second_per_stream, seconds
        )
        relay = _run(
            ["bench.relayprocess"], n_streams, tokens_per_second_per_stream, seconds
        )
        floor = measure_h11_floor(round(relay.n_bytes))
        print(
            f"{n_streams:7} {relay.tokens_per_second:8.0f}  {relay.microseconds:8.1f}"
            f"  {floor:5.1f}  {bare.microseconds:5.1f}"
            f"  {relay.microseconds / floor:8.2f}"
            f"  {relay.microseconds / (floor + bare.microseconds):15.2f}"
            f"  {relay.idle_mib:.1f} idle, {relay.mib:.1f}"
        )


if __name__ == "__main__":
    typer.run(main)
