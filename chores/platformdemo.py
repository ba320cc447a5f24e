"""Plays the path on the published platform: nodes as processes between stand-ins."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from celerytrail.http.client import HttpClient
from celerytrail.http.messages import Response
from celerytrail.platform.nodesettings import SETTINGS_VARIABLE
from celerytrail.types import Address
from standins.rowstore import RowStore
from standins.worker import EngineWorker, PlainWorker

from .system import free_address

HOST = "desk.example"
KEY = "demo-key"
N_EVENTS = 8
# Far beyond what any step takes, in seconds.
PATIENCE_SECONDS = 30.0


def configuration(version: int, services: list[str]) -> dict[str, object]:
    """Return the operator's configuration; each service gets a route of its name."""
    engine = {
        "slots": 8,
        "kv-capacity-tokens": 30_000,
        "kv-token-bytes": 1_000,
        "link-mbps": 10_000.0,
        "moves": True,
        "backups": True,
    }
    kinds = {"draft": "streaming", "file": "unsafe", "look": "safe"}
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "hostname": HOST,
                "prefix": f"/{name}/",
                "route-type": kinds[name],
                "timeout-ms": 20_000,
                "target-latency-ms": 5_000,
                "service": "models" if name == "draft" else "desk",
                "max-attempts": 2 if name == "look" else 1,
            }
            for name in services
        ],
        "services": [{"name": "models", "engine": engine}, {"name": "desk"}],
        "tenants": [{"name": "org", "api-keys": [KEY]}],
    }


@dataclass(kw_only=True)
class PlatformDemo:
    """Two nodes, two engines, a desk and a store.

    Parameters
    ----------
    folder : Path
        Where settings and logs go.
    """

    folder: Path
    store: RowStore = field(default_factory=RowStore)
    engines: list[EngineWorker] = field(default_factory=list)
    desk: PlainWorker = field(default_factory=lambda: PlainWorker(worker_id="desk-1"))
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    client: HttpClient = field(default_factory=lambda: HttpClient(id_header=None))
    directories: list[Address] = field(default_factory=list)
    _n_asked: int = 0

    async def run(self) -> str:
        """Play it; returns a line of figures.

        Raises
        ------
        AssertionError
            When a promise was not kept.
        """
        try:
            return await self._play()
        finally:
            for process in self.processes:
                process.kill()
                process.wait()
            self.client.close()
            for worker in (*self.engines, self.desk):
                await worker.close()
            await self.store.close()

    async def _play(self) -> str:
        store = await self.store.start()
        self.store.put("op", "config", configuration(1, ["draft", "file"]))
        await self.desk.start()
        self.store.put("servers", "desk-1", self.desk.row("desk"))
        first = await self._add_engine("engine-1")
        news_port = free_address().port
        for number in (1, 2):
            self._start_node(number, store, news_port)
        addresses = await self._addresses(len(self.processes))
        node = addresses[0]

        filed = await self._ask(node, "/file/1", body=b"deposit")
        assert filed.body == b"desk-1 deposit", filed
        assert (await self._ask(node, "/look/1")).status == 404
        self.store.put("op", "config", configuration(2, ["draft", "file", "look"]))
        await self._until_status(node, "/look/1", 200)

        drafting = asyncio.ensure_future(self._ask(node, "/draft/1"))
        await _until(lambda: bool(first.running))
        await first.tick(3)
        second = await self._add_engine("engine-2")
        await asyncio.sleep(1.5)
        self.store.put("servers", "engine-1", first.row("models", "draining"))
        await _until(lambda: bool(second.running))
        await second.tick(N_EVENTS)
        draft = await drafting
        events = [event for event in draft.body.split(b"\n\n") if event]
        wanted = [f"id: {n}\ndata: word {n}".encode() for n in range(N_EVENTS)]
        assert events == wanted, events
        assert len(self.desk.ran) == 2, self.desk.ran

        for process in self.processes:
            process.terminate()
        for process in self.processes:
            assert process.wait(PATIENCE_SECONDS) == 0
        self.processes.clear()
        return (
            f"platform: a filing ran once, a look-up's route came into force, a draft "
            f"of {N_EVENTS} events was moved between engines, two nodes stopped"
        )

    async def _add_engine(self, name: str) -> EngineWorker:
        engine = EngineWorker(worker_id=name, n_events=N_EVENTS)
        await engine.start()
        for other in self.engines:
            other.knows(engine)
            engine.knows(other)
        self.engines.append(engine)
        self.store.put("servers", name, engine.row("models"))
        return engine

    def _start_node(self, number: int, store: Address, news_port: int) -> None:
        # Nodes find one another's news by one port on different addresses.
        host = f"127.0.0.{20 + number}"
        names = ("front", "ready", "control", "directory")
        listen = {name: f"{host}:{free_address().port}" for name in names}
        settings = {
            "node": f"vm-{number}",
            "zone": "a",
            "region": "r",
            "listen": listen,
            "port-range": [news_port, news_port],
            "seeds": [],
            "bounds": {"retry-slack": 100},
            "infrastructure": {"address": str(store)},
        }
        path = self.folder / f"vm-{number}.json"
        path.write_bytes(msgspec.json.encode(settings))
        with (self.folder / f"vm-{number}.log").open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "celerytrail", "node"],
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                stdout=log,
            )
        self.processes.append(process)
        self.directories.append(Address.parse(listen["directory"]))

    async def _addresses(self, n_wanted: int) -> list[Address]:
        """Ask a node which addresses to use, until all are named."""
        deadline = asyncio.get_running_loop().time() + PATIENCE_SECONDS
        while asyncio.get_running_loop().time() < deadline:
            answered = await self.client.request(
                self.directories[0], "GET", f"/api/resolve?name={HOST}&zone=a"
            )
            if answered.is_ok():
                found = answered.unwrap().json()["addresses"]  # type: ignore[index]
                if len(found) == n_wanted:
                    return [Address.parse(text) for text in found]
            await asyncio.sleep(0.1)
        raise AssertionError("the nodes did not find one another")

    async def _ask(self, node: Address, path: str, body: bytes = b"") -> Response:
        self._n_asked += 1
        headers = {
            "host": HOST,
            "authorization": f"Bearer {KEY}",
            "x-attempt-id": f"demo-{self._n_asked}",
            "x-time-budget-ms": "20000",
            "x-token-count": "1000,50",
        }
        method = "GET" if path.startswith("/look") else "POST"
        answered = await self.client.request(
            node, method, path, body=body, headers=headers
        )
        return answered.unwrap()

    async def _until_status(self, node: Address, path: str, status: int) -> None:
        deadline = asyncio.get_running_loop().time() + PATIENCE_SECONDS
        while (await self._ask(node, path)).status != status:
            assert asyncio.get_running_loop().time() < deadline, f"no {status}"
            await asyncio.sleep(0.1)


async def _until(is_so: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE_SECONDS):
        while not is_so():  # noqa: ASYNC110 - the stand-ins have no event for it
            await asyncio.sleep(0.01)
