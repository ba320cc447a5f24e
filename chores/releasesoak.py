"""A soak of releases: one node process is out of step while a new version joins.

The node stands still, is cut off, or is stopped in the middle of a take-up. Streams
that begin at the new version through other nodes are broken off and taken up at it. A
stream is then checked for events of two versions.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import typer
from result import Err

from celerytrail.http.client import HttpClient, Stream
from celerytrail.http.messages import Request
from celerytrail.http.network import SystemNetwork
from celerytrail.http.server import Handler, HttpServer, Responder
from celerytrail.types import Address
from review.rig import ENGINE, HOST, KEY
from standins.enginemodel import EngineSpec
from standins.modelworker import ModelWorker, request_body
from standins.rowstore import RowStore

from .soak import SoakNodes

N_EVENTS = 80
N_ENGINES = 2
# Streams of a round, and the time between two of them in seconds.
N_STREAMS = 12
STREAM_SECONDS = 0.08
# The route's and the callers' time in seconds. A node that has followed the rows for
# so long knows whether a service has one version.
PATIENCE_SECONDS = 3.0
CALM_SECONDS = 4.2
# How long the former engines serve on without a row, in seconds.
SERVE_ON_SECONDS = 2.0
# From the rows of a release to the first stream, in seconds.
BEGIN_SECONDS = 0.12


class StoreGate(Handler):
    """One node's access to the store, which can be silent.

    Its address differs from the store's, and with it the key of the node's signatures.
    So the other nodes refuse what this node sends, and it refuses theirs.
    """

    def __init__(self, *, store: RowStore) -> None:
        self._store = store
        self._silenced = asyncio.Event()
        self._server = HttpServer(handler=self)

    def silence(self) -> None:
        """Answer nothing from now on, calls in progress included."""
        self._silenced.set()

    def go_on(self) -> None:
        """Answer new calls again."""
        self._silenced = asyncio.Event()

    async def start(self) -> Address:
        """Listen on a free port of the loopback address."""
        return await self._server.start(Address(host="127.0.0.1", port=0))

    async def close(self) -> None:
        """Stop at once."""
        await self._server.close()

    async def handle(self, req: Request, res: Responder) -> None:
        """Pass a call on to the store."""
        silenced = asyncio.ensure_future(self._silenced.wait())
        answering = asyncio.ensure_future(self._store.handle(req, res))
        pending: set[asyncio.Task[Any]] = {silenced, answering}
        try:
            if not self._silenced.is_set():
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in pending:
                task.cancel()
        if self._silenced.is_set():
            await res.lost


class GatedNodes(SoakNodes):
    """Nodes of which the last one reaches the store over a gate."""

    gate: Address | None = None
    gated = ""

    def _start_node(self, name: str, settings: Path) -> subprocess.Popen[bytes]:
        if name == self.gated:
            read = json.loads(settings.read_text())
            read["infrastructure"]["address"] = str(self.gate)
            settings.write_text(json.dumps(read))
        return super()._start_node(name, settings)


@dataclass(kw_only=True)
class TakenStream:
    """What one caller got of a stream, by the versions that sent its events."""

    kind: str
    began_at: str
    went_on_at: str = ""
    # How the take-up was answered: a status, or that the connection was lost.
    answered: str = ""

    @property
    def is_mixed(self) -> bool:
        """Return whether it holds events of two versions."""
        return bool(self.went_on_at) and self.went_on_at != self.began_at


@dataclass(frozen=True, kw_only=True)
class Round:
    """One release, and the node that is out of step."""

    kind: str
    seconds: float
    victim: int
    others: tuple[int, ...]


@dataclass(kw_only=True)
class ReleaseSoak:
    """Plays releases one after the other.

    Parameters
    ----------
    seed : int
        Draws the rounds.
    n_rounds, n_nodes : int
        Rounds, and node processes; the last one can be cut off.
    """

    seed: int
    n_rounds: int = 3
    n_nodes: int = 4
    streams: list[TakenStream] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._nodes = GatedNodes(folder=Path(tempfile.mkdtemp(prefix="release-")))
        self._gate = StoreGate(store=self._nodes.store)
        self._engines: list[ModelWorker] = []
        self._serving_on: list[ModelWorker] = []
        self._version = 0
        self._n_engines = 0
        self._n_sent = 0

    @property
    def n_mixed(self) -> int:
        """Return how many streams hold events of two versions."""
        return sum(stream.is_mixed for stream in self.streams)

    async def run(self) -> None:
        """Play all rounds."""
        kinds: list[tuple[str, Callable[[Round], Awaitable[None]]]] = [
            ("frozen", self._play_frozen),
            ("cut off", self._play_cut_off),
            ("stopped in a take-up", self._play_stopped),
        ]
        try:
            await self._start()
            for number in range(self.n_rounds):
                kind, play = kinds[number % len(kinds)]
                await asyncio.sleep(CALM_SECONDS)
                gated = self.n_nodes - 1
                is_cut = kind == "cut off"
                victim = gated if is_cut else self._rng.randrange(gated)
                others = [node for node in range(gated) if node != victim]
                seconds = self._rng.uniform(0.8, 2.5 if is_cut else 4.0)
                playing = Round(
                    kind=kind, seconds=seconds, victim=victim, others=tuple(others)
                )
                await play(playing)
                await self._end_former()
        finally:
            await self._nodes.close()
            await self._gate.close()
            for engine in [*self._engines, *self._serving_on]:
                await engine.close()

    # Nodes and engines.

    async def _start(self) -> None:
        self._nodes.store.put("op", "config", _configuration())
        await self._release()
        self._nodes.gate = await self._gate.start()
        self._nodes.gated = f"edge-a-{self.n_nodes}"
        await self._nodes.start_nodes(self.n_nodes)

    async def _release(self) -> None:
        """Start engines of the next version; rows of the former ones are removed."""
        self._serving_on, self._engines = self._engines, []
        self._version += 1
        store = self._nodes.store
        for _ in range(N_ENGINES):
            self._n_engines += 1
            engine = ModelWorker(
                worker_id=f"engine-{self._n_engines}",
                failure_domain="a",
                spec=EngineSpec(n_event_tokens=1, step_seconds=0.02),
                find_engine=lambda address: None,
                network=SystemNetwork(),
            )
            engine.software, engine.signs_events = f"v{self._version}", True
            await engine.start()
            self._engines.append(engine)
            store.put("servers", engine.worker_id, engine.row("models", slots=24))
        for engine in self._serving_on:
            store.drop("servers", engine.worker_id)

    async def _end_former(self) -> None:
        await asyncio.sleep(SERVE_ON_SECONDS)
        for engine in self._serving_on:
            await engine.close()
        self._serving_on = []

    def _signal(self, node: int, number: signal.Signals) -> None:
        self._nodes.processes[f"edge-a-{node + 1}"].send_signal(number)

    # Rounds.

    async def _play_frozen(self, playing: Round) -> None:
        """Stop a node; callers come back to it before and right after it wakes."""
        loop = asyncio.get_running_loop()
        self._signal(playing.victim, signal.SIGSTOP)
        wakes_at = loop.time() + playing.seconds
        await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        await self._release()
        streams = asyncio.ensure_future(self._read_streams(playing))
        await asyncio.sleep(max(0.0, wakes_at - loop.time()))
        self._signal(playing.victim, signal.SIGCONT)
        await streams

    async def _play_cut_off(self, playing: Round) -> None:
        """Silence the store for the node that no other one answers."""
        loop = asyncio.get_running_loop()
        self._gate.silence()
        ends_at = loop.time() + playing.seconds
        await self._release()
        streams = asyncio.ensure_future(self._read_streams(playing))
        await asyncio.sleep(max(0.0, ends_at - loop.time()))
        self._gate.go_on()
        await streams

    async def _play_stopped(self, playing: Round) -> None:
        """Stop a node a few milliseconds after it got take-ups."""
        await self._release()
        streams = asyncio.ensure_future(self._read_streams(playing))
        await asyncio.sleep(BEGIN_SECONDS + self._rng.uniform(0.1, 0.4))
        while not streams.done():
            self._signal(playing.victim, signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.2, 1.4))
            self._signal(playing.victim, signal.SIGCONT)
            await asyncio.sleep(self._rng.uniform(0.002, 0.06))

    # Callers.

    async def _read_streams(self, playing: Round) -> None:
        await asyncio.sleep(BEGIN_SECONDS)
        reading = []
        for _ in range(N_STREAMS):
            reading.append(asyncio.ensure_future(self._read(playing)))
            await asyncio.sleep(STREAM_SECONDS)
        await asyncio.gather(*reading)

    async def _read(self, playing: Round) -> None:
        """Begin a stream at another node, break it off, and take it up."""
        self.counts[f"{playing.kind}: streams"] += 1
        attempt, opened = await self._open(self._rng.choice(playing.others))
        versions = await _read_events(opened, self._rng.randint(1, 12))
        if not versions:
            self.counts[f"{playing.kind}: not begun"] += 1
            return
        stream = TakenStream(kind=playing.kind, began_at=versions[0])
        self.streams.append(stream)
        more = {"resumes": attempt, "last-event-id": str(len(versions) - 1)}
        _, opened = await self._open(playing.victim, **more)
        stream.answered = await _answer_of(opened)
        went_on = await _read_events(opened, N_EVENTS)
        if len({*went_on}) > 1:
            stream.went_on_at = " ".join(sorted({*went_on}))
        elif went_on:
            stream.went_on_at = went_on[0]
        self.counts[f"{playing.kind}: taken up, {stream.answered}"] += 1
        self.counts[f"{playing.kind}: went on"] += bool(went_on)
        self.counts[f"{playing.kind}: mixed"] += stream.is_mixed

    async def _open(self, node: int, **more: str) -> tuple[str, Stream | None]:
        self._n_sent += 1
        attempt = f"r{self.seed}-{self._n_sent}"
        host, port = self._nodes.callers[node]
        client = HttpClient(network=SystemNetwork(), id_header=None)
        opened = await client.open(
            Address(host=host, port=port),
            "POST",
            "/check/1",
            body=request_body(N_EVENTS),
            headers={
                "host": HOST,
                "authorization": f"Bearer {KEY}",
                "x-attempt-id": attempt,
                "x-time-budget-ms": str(round(PATIENCE_SECONDS * 1_000)),
                "x-token-count": "100,200",
                **more,
            },
            deadline=asyncio.get_running_loop().time() + 2 * PATIENCE_SECONDS,
            fresh=True,
        )
        return attempt, None if isinstance(opened, Err) else opened.ok_value


async def _answer_of(stream: Stream | None) -> str:
    """Return how a request was answered: its status, and the reason of a refusal."""
    if stream is None:
        return "lost"
    if stream.status == 200:
        return "200"
    deadline = asyncio.get_running_loop().time() + PATIENCE_SECONDS
    body = await stream.read(deadline)
    reason = "" if isinstance(body, Err) else _error_type(body.ok_value)
    return f"{stream.status} {reason}"


def _error_type(body: bytes) -> str:
    """Return the type that a refusal states."""
    return str(json.loads(body)["error"]["type"])


async def _read_events(stream: Stream | None, n_events: int) -> list[str]:
    """Read events of a stream and break it off; return the versions that sent them."""
    if stream is None or stream.status != 200:
        return []
    deadline = asyncio.get_running_loop().time() + 2 * PATIENCE_SECONDS
    versions: list[str] = []
    buffer = b""
    while len(versions) < n_events:
        chunk = await stream.next_chunk(deadline)
        if isinstance(chunk, Err) or chunk.ok_value is None:
            break
        *events, buffer = (buffer + chunk.ok_value).split(b"\n\n")
        versions += [_version_of(raw) for raw in events]
    stream.close()
    return versions[:n_events]


def _version_of(raw: bytes) -> str:
    fields = dict(line.split(": ", 1) for line in raw.decode().split("\n"))
    return fields["sender"].rpartition(" ")[2]


def _configuration() -> dict[str, object]:
    return {
        "version": 1,
        "routes": [
            {
                "name": "check",
                "hostname": HOST,
                "prefix": "/check/",
                "route-type": "streaming",
                "timeout-ms": round(PATIENCE_SECONDS * 1_000),
                "target-latency-ms": 1_500,
                "priority": 1,
                "service": "models",
                "max-attempts": 2,
                "public": False,
                "resumable": True,
                "session-affinity": True,
                "gap-target-ms": 180,
            }
        ],
        "services": [{"name": "models", "health-path": "/health", "engine": ENGINE}],
        "tenants": [{"name": "org", "api-keys": [KEY]}],
    }


def main(seed: int = 1, rounds: int = 12, nodes: int = 4) -> None:
    """Run one soak, print its counts, and fail if a stream holds two versions."""
    soak = ReleaseSoak(seed=seed, n_rounds=rounds, n_nodes=nodes)
    asyncio.run(soak.run())
    for name, n_seen in sorted(soak.counts.items()):
        print(f"{name}: {n_seen}")
    print(f"releases: seed {seed}, {len(soak.streams)} taken up, {soak.n_mixed} mixed")
    sys.exit(1 if soak.n_mixed else 0)


if __name__ == "__main__":
    typer.run(main)
