"""The part of the demo on the published platform: node processes and stand-ins."""

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
# Far longer than any step takes.
STEP_TIMEOUT_SECONDS = 30.0


def configuration(version: int, services: list[str]) -> dict[str, object]:
    """Return an operator's configuration with one route for each given name."""
    engine = {
        "slots": 8,
        "kv-capacity-tokens": 30_000,
        "kv-token-bytes": 1_000,
        "link-mbps": 10_000.0,
        "moves": True,
        "backups": True,
    }
    route_types = {"draft": "streaming", "file": "unsafe", "look": "safe"}
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "hostname": HOST,
                "prefix": f"/{name}/",
                "route-type": route_types[name],
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
    """Two node processes, two engines, a plain worker (the desk) and a store.

    Parameters
    ----------
    folder : Path
        Directory for the nodes' settings files and logs.
    """

    folder: Path
    store: RowStore = field(default_factory=RowStore)
    engines: list[EngineWorker] = field(default_factory=list)
    desk: PlainWorker = field(default_factory=lambda: PlainWorker(worker_id="desk-1"))
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    client: HttpClient = field(default_factory=lambda: HttpClient(id_header=None))
    directories: list[Address] = field(default_factory=list)
    _n_requests: int = 0

    async def run(self) -> str:
        """Run all steps; return a line of figures.

        Raises
        ------
        AssertionError
            When a step does not give the expected result.
        """
        try:
            return await self._run_steps()
        finally:
            for process in self.processes:
                process.kill()
                process.wait()
            self.client.close()
            for worker in (*self.engines, self.desk):
                await worker.close()
            await self.store.close()

    async def _run_steps(self) -> str:
        store_address = await self.store.start()
        self.store.put("op", "config", configuration(1, ["draft", "file"]))
        await self.desk.start()
        self.store.put("servers", "desk-1", self.desk.row("desk"))
        first_engine = await self._add_engine("engine-1")
        peer_port = free_address().port
        for number in (1, 2):
            self._start_node(number, store_address, peer_port)
        addresses = await self._wait_for_addresses(len(self.processes))
        node = addresses[0]

        filed = await self._request(node, "/file/1", body=b"deposit")
        assert filed.body == b"desk-1 deposit", filed
        assert (await self._request(node, "/look/1")).status == 404
        self.store.put("op", "config", configuration(2, ["draft", "file", "look"]))
        await self._wait_for_status(node, "/look/1", 200)

        draft_task = asyncio.ensure_future(self._request(node, "/draft/1"))
        await _wait_until(lambda: bool(first_engine.running))
        await first_engine.tick(3)
        second_engine = await self._add_engine("engine-2")
        await asyncio.sleep(1.5)
        self.store.put("servers", "engine-1", first_engine.row("models", "draining"))
        await _wait_until(lambda: bool(second_engine.running))
        await second_engine.tick(N_EVENTS)
        draft = await draft_task
        events = [event for event in draft.body.split(b"\n\n") if event]
        expected = [f"id: {n}\ndata: word {n}".encode() for n in range(N_EVENTS)]
        assert events == expected, events
        assert len(self.desk.ran) == 2, self.desk.ran

        for process in self.processes:
            process.terminate()
        for process in self.processes:
            assert process.wait(STEP_TIMEOUT_SECONDS) == 0
        self.processes.clear()
        return (
            f"platform: a filing ran once, a new look-up route took effect, a draft of "
            f"{N_EVENTS} events was migrated between engines, two nodes stopped"
        )

    async def _add_engine(self, name: str) -> EngineWorker:
        engine = EngineWorker(worker_id=name, n_events=N_EVENTS)
        await engine.start()
        for other in self.engines:
            other.add_peers(engine)
            engine.add_peers(other)
        self.engines.append(engine)
        self.store.put("servers", name, engine.row("models"))
        return engine

    def _start_node(self, number: int, store: Address, peer_port: int) -> None:
        # Nodes reach one another on the same peer port, so only their hosts differ.
        host = f"127.0.0.{20 + number}"
        listeners = ("front", "ready", "control", "directory")
        listen = {name: f"{host}:{free_address().port}" for name in listeners}
        settings = {
            "node": f"vm-{number}",
            "zone": "a",
            "region": "r",
            "listen": listen,
            "port-range": [peer_port, peer_port],
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

    async def _wait_for_addresses(self, n_expected: int) -> list[Address]:
        """Wait until a node's directory returns all nodes; return their addresses."""
        deadline = asyncio.get_running_loop().time() + STEP_TIMEOUT_SECONDS
        while asyncio.get_running_loop().time() < deadline:
            result = await self.client.request(
                self.directories[0], "GET", f"/api/resolve?name={HOST}&zone=a"
            )
            if result.is_ok():
                texts = result.unwrap().json()["addresses"]  # type: ignore[index]
                if len(texts) == n_expected:
                    return [Address.parse(text) for text in texts]
            await asyncio.sleep(0.1)
        raise AssertionError("the nodes did not discover one another")

    async def _request(self, node: Address, path: str, body: bytes = b"") -> Response:
        self._n_requests += 1
        headers = {
            "host": HOST,
            "authorization": f"Bearer {KEY}",
            "x-attempt-id": f"demo-{self._n_requests}",
            "x-time-budget-ms": "20000",
            "x-token-count": "1000,50",
        }
        method = "GET" if path.startswith("/look") else "POST"
        result = await self.client.request(
            node, method, path, body=body, headers=headers
        )
        return result.unwrap()

    async def _wait_for_status(self, node: Address, path: str, status: int) -> None:
        deadline = asyncio.get_running_loop().time() + STEP_TIMEOUT_SECONDS
        while (await self._request(node, path)).status != status:
            assert asyncio.get_running_loop().time() < deadline, (
                f"the status did not become {status}"
            )
            await asyncio.sleep(0.1)


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(STEP_TIMEOUT_SECONDS):
        while not condition():  # noqa: ASYNC110 - the stand-ins offer no event to await
            await asyncio.sleep(0.01)
