"""The part that both drivers share: requests over the processes' own protocols."""

from __future__ import annotations

import abc
import asyncio
import hashlib
import random
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

import msgspec
from result import Err, Ok

from celerytrail.clock import Clock
from celerytrail.configuration.document import (
    Document,
    EndpointSpec,
    EngineSpec,
    ModelSpec,
    OperationSpec,
    OrganisationSpec,
    ServiceSpec,
)
from celerytrail.http.client import HttpClient
from celerytrail.http.network import Network
from celerytrail.operators.store import Conflict, DocumentStore, Loaded
from celerytrail.platform.client import PlatformClient
from celerytrail.platform.objects import HttpObjectStore
from celerytrail.platform.table import HttpTable
from celerytrail.types import Address
from standins.worker import worker_row, write_rows

from .callers import MODEL, OPERATION, SERVICE, Callers, count_runs, new_key
from .driver import Driver, Outcome
from .faultnames import fault_body

ORGANISATIONS = ("lone-star", "ciranda", "smallest")
FAILURE_DOMAINS = ("a", "b", "c")
ACCEPT_SECONDS = 10.0
READY_SECONDS = 20.0
POLL_SECONDS = 0.05


class HttpDriver(Driver):
    """A driver over the processes' own protocols; subclasses start the processes.

    Parameters
    ----------
    network : Network
        Network on which the driver and the callers connect.
    clock : Clock
        The driver's clock.
    seed : int
        Seed of the driver's random generator.
    """

    def __init__(self, *, network: Network, clock: Clock, seed: int = 1) -> None:
        keys = {name: new_key(name) for name in ORGANISATIONS}
        self.callers = Callers(network=network, keys=keys)
        self.clock = clock
        self._keys = keys
        self._network = network
        self._rng = random.Random(seed)
        self._client = HttpClient(process="driver", network=network)
        self._changes: dict[str, Outcome] = {}
        self._base_of_change: dict[str, Loaded] = {}
        self._leaving_announced_at: dict[str, float] = {}
        self._store: DocumentStore | None = None
        self._leaving_vms: set[str] = set()

    # What each driver implements.

    @abc.abstractmethod
    def addresses(self, prefix: str) -> Mapping[str, Address]:
        """Return the listen addresses of the processes whose names have a prefix."""

    @abc.abstractmethod
    def peer_addresses(self) -> Mapping[str, Address]:
        """Return the addresses at which nodes listen for their peers."""

    def address(self, name: str) -> Address:
        """Return the address of a node for callers."""
        return self.addresses(name)[name]

    # The document.

    async def publish_initial_document(self) -> None:
        """Publish a document of the running processes and wait until it is in force."""
        platform = self.addresses("platform")["platform"]
        exchanger = PlatformClient(
            addresses=(platform,),
            http=HttpClient(process="operator", network=self._network),
            clock=self.clock,
            rng=self._rng,
        )
        self._store = DocumentStore(
            table=HttpTable(exchanger=exchanger),
            objects=HttpObjectStore(exchanger=exchanger),
            clock=self.clock,
            rng=self._rng,
        )
        await self.publish_vms()
        await self._accept("first", "ana", self._initial_document(), 0)
        if self._changes["first"].kind != "accepted":
            raise RuntimeError(
                f"the initial document was not accepted: {self._changes['first']}"
            )
        deadline = self.clock.monotonic() + READY_SECONDS
        while self.clock.monotonic() < deadline:
            versions = await self.versions()
            if all(version == self.newest_version for version in versions.values()):
                return
            await asyncio.sleep(POLL_SECONDS)
        raise RuntimeError("the initial document did not come into force at every node")

    async def change_priority(
        self, operator: str, change: str, organisation: str, priority: int, base: str
    ) -> None:
        """Change an organisation's priority as an operator.

        The change builds on the base of the change named ``base``, or on the current
        document where ``base`` is empty.
        """
        loaded = await self._load(base)
        if loaded is None:
            self._changes[change] = Outcome(kind="not run", reason="unavailable")
            return
        self._base_of_change[change] = loaded
        organisations = tuple(
            replace(spec, priority=priority) if spec.name == organisation else spec
            for spec in loaded.document.organisations
        )
        document = replace(loaded.document, organisations=organisations)
        await self._accept(change, operator, document, loaded.version)

    async def drain(self, operator: str, name: str) -> None:
        """Set the role of an engine or endpoint to drain, as an operator."""
        loaded = await self._load("")
        if loaded is None:
            raise RuntimeError("the document could not be loaded")
        document = loaded.document
        engines = tuple(
            replace(engine, role="drain") if engine.name == name else engine
            for engine in document.engines
        )
        services = tuple(
            replace(
                service,
                endpoints=tuple(
                    replace(endpoint, role="drain")
                    if endpoint.name == name
                    else endpoint
                    for endpoint in service.endpoints
                ),
            )
            for service in document.services
        )
        changed = replace(document, engines=engines, services=services)
        self._leaving_announced_at[name] = self.clock.wall()
        await self._accept(f"drain-{name}", operator, changed, loaded.version)

    async def _load(self, base: str) -> Loaded | None:
        if base:
            return self._base_of_change[base]
        assert self._store is not None
        loaded = await self._store.load(self.clock.monotonic() + ACCEPT_SECONDS)
        return loaded.ok_value if isinstance(loaded, Ok) else None

    async def _accept(
        self, change: str, operator: str, document: Document, base_version: int
    ) -> None:
        assert self._store is not None
        accepted = await self._store.accept(
            document,
            base_version=base_version,
            operation_id=f"{change}-{self._rng.getrandbits(64):x}",
            author=operator,
            note=change,
            deadline=self.clock.monotonic() + ACCEPT_SECONDS,
        )
        if isinstance(accepted, Ok):
            self.newest_version = max(self.newest_version, accepted.ok_value.version)
            self._changes[change] = Outcome(kind="accepted")
        elif isinstance(accepted.err_value, Conflict):
            self._changes[change] = Outcome(kind="conflict")
        else:
            reason = type(accepted.err_value).__name__
            self._changes[change] = Outcome(kind="unknown", reason=reason)

    def _initial_document(self) -> Document:
        return Document(
            models=(ModelSpec(name=MODEL, version="1"),),
            organisations=tuple(
                OrganisationSpec(
                    name=name, key_digests=(hashlib.sha256(key.encode()).hexdigest(),)
                )
                for name, key in self._keys.items()
            ),
            engines=tuple(
                EngineSpec(
                    name=name,
                    address=str(address),
                    failure_domain=FAILURE_DOMAINS[n % len(FAILURE_DOMAINS)],
                    region="default",
                    vm=name,
                    model=MODEL,
                )
                for n, (name, address) in enumerate(self.addresses("engine-").items())
            ),
            services=(self._initial_service(),),
        )

    def _initial_service(self) -> ServiceSpec:
        return ServiceSpec(
            name=SERVICE,
            operations=(OperationSpec(name=OPERATION, idempotent=False),),
            endpoints=tuple(
                EndpointSpec(
                    name=name,
                    address=str(address),
                    failure_domain=FAILURE_DOMAINS[n % len(FAILURE_DOMAINS)],
                    region="default",
                    vm=name,
                )
                for n, (name, address) in enumerate(
                    self.addresses(f"{SERVICE}-").items()
                )
            ),
        )

    # Faults of stand-ins and leaving processes.

    async def fault(self, name: str, fault: str, value: float | None) -> None:
        """Enable a fault of a stand-in."""
        body = fault_body(fault, value, self.clock.wall())
        await self._put(self.addresses(name)[name], "/faults", body)

    async def clear_faults(self, name: str) -> None:
        """Disable all faults of a stand-in."""
        await self._put(self.addresses(name)[name], "/faults", {})

    async def list_leaving(self, name: str) -> None:
        """Mark a process's VM as leaving in the platform's VM list."""
        self._leaving_vms.add(name)
        self._leaving_announced_at[name] = self.clock.wall()
        await self.publish_vms()

    async def announce_leaving(self, name: str, seconds: float) -> None:
        """Make an engine or endpoint report that it leaves in ``seconds``."""
        self._leaving_announced_at[name] = self.clock.wall()
        address = self.addresses(name)[name]
        if name.startswith("engine-"):
            await self.fault(name, "leaving", seconds)
            return
        state = {"leaving_at": self.clock.wall() + seconds}
        await self._put(address, "/state", state)

    async def publish_vms(self) -> None:
        """Write the rows of the platform's VM list."""
        addresses = self.addresses("")
        rows = {
            name: worker_row(
                name, address, "draining" if name in self._leaving_vms else "ready"
            )
            for name, address in addresses.items()
        }
        await write_rows(self._client, addresses["platform"], rows)

    # Observed state.

    def outcome(self, name: str) -> Outcome:
        """Return how a draft, call or change ended."""
        return self._changes.get(name) or self.callers.outcome(name)

    async def n_runs(self, call: str) -> int:
        """Return how often the endpoints ran a call."""
        body = self.callers.calls[call].body
        n_runs = 0
        for address in self.addresses(f"{SERVICE}-").values():
            ledger = await self._get(address, "/ledger")
            n_runs += count_runs(ledger.get("runs", []), body)
        return n_runs

    async def versions(self) -> dict[str, int]:
        """Return the version in force at each running node."""
        found = {}
        for name, address in self.addresses("node-").items():
            if not self.has_ended(name):
                found[name] = (await self._get(address, "/readyz")).get("version", -1)
        return found

    async def listed_nodes(self) -> dict[str, set[str]]:
        """Return the nodes that each running node lists in its address answer."""
        name_by_address = {
            str(address): name for name, address in self.addresses("node-").items()
        }
        found = {}
        for name, address in self.addresses("node-").items():
            if self.has_ended(name):
                continue
            answer = await self._get(address, "/v1/addresses")
            entries = answer.get("addresses", [])
            found[name] = {
                name_by_address.get(entry["address"], "?") for entry in entries
            }
        return found

    async def work_start_times(self, name: str) -> list[float]:
        """Return the wall-clock times at which an engine or endpoint began work."""
        address = self.addresses(name)[name]
        if name.startswith("engine-"):
            started = await self._get(address, "/started")
            return [float(run["at"]) for run in started["started"]]
        ledger = await self._get(address, "/ledger")
        return [float(run["at"]) for run in ledger["runs"]]

    def leaving_announced_at(self, name: str) -> float:
        """Return the earliest wall-clock time at which a leaving could be known."""
        return self._leaving_announced_at[name]

    async def _get(self, address: Address, path: str) -> dict[str, Any]:
        deadline = self.clock.monotonic() + READY_SECONDS
        answer = await self._client.request(address, "GET", path, deadline=deadline)
        if isinstance(answer, Err):
            return {}
        return msgspec.json.decode(answer.ok_value.body, type=dict[str, Any])

    async def _put(self, address: Address, path: str, value: object) -> None:
        deadline = self.clock.monotonic() + READY_SECONDS
        answer = await self._client.request_json(
            address, "PUT", path, value, deadline=deadline
        )
        if isinstance(answer, Err) or answer.ok_value.status >= 300:
            raise RuntimeError(f"{path} at {address}: {answer}")

    async def close_clients(self) -> None:
        """Close the callers' and the driver's own connections."""
        await self.callers.close()
        self._client.close()
