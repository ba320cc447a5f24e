"""Queries nodes for their status and their objects, and sends them version hints."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
from eliot import log_message
from result import Ok

from ..clock import Clock
from ..configuration.fetch import OBJECT_PATH, PeerAuth
from ..configuration.records import Head
from ..configuration.sync import HINT_PATH
from ..http.client import HttpClient
from ..types import Address

STATUS_PATH = "/peer/v1/status"
STATUS_SECONDS = 2.0
# For a version hint, and for one object from one node.
REQUEST_SECONDS = 1.0
N_PARALLEL_REQUESTS = 32
N_HINTED_NODES = 4
N_OBJECT_SOURCES = 4
MAX_NODES = 1_000

AddressSource = Callable[[], Awaitable[Sequence[Address]]]


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeStatus:
    """The status of one node, or why it is unknown.

    Parameters
    ----------
    address : Address
        The node's peer address.
    status : dict or None
        The node's answer; None if there is none.
    problem : str
        Why there is no status; empty if there is one.
    """

    address: Address
    status: dict[str, Any] | None = None
    problem: str = ""

    @property
    def version(self) -> int | None:
        """Return the version that the node has in force, or None if unknown."""
        version = (self.status or {}).get("version")
        return version if isinstance(version, int) else None


class LiveView:
    """Queries the nodes that the platform lists or the settings name.

    Parameters
    ----------
    client : HttpClient
        Sends the requests.
    auth : PeerAuth
        Signs the requests.
    addresses : callable
        Returns the nodes' peer addresses.
    clock : Clock
        Supplies monotonic time for deadlines.
    rng : random.Random
        Samples the nodes for hints and for objects.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        auth: PeerAuth,
        addresses: AddressSource,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._auth = auth
        self._addresses = addresses
        self._clock = clock
        self._rng = rng

    async def fetch(self) -> list[NodeStatus]:
        """Return each node's status, sorted by address."""
        addresses = sorted(set(await self._addresses()))[:MAX_NODES]
        statuses: list[NodeStatus] = []
        for start in range(0, len(addresses), N_PARALLEL_REQUESTS):
            batch = addresses[start : start + N_PARALLEL_REQUESTS]
            statuses.extend(
                await asyncio.gather(
                    *(self._fetch_status(address) for address in batch)
                )
            )
        return statuses

    async def send_hint(self, head: Head) -> None:
        """Send a hint about a newly accepted version to a few nodes.

        It saves the second or two until the first node polls; nothing depends on it.
        """
        addresses = sorted(set(await self._addresses()))
        chosen = self._rng.sample(addresses, min(N_HINTED_NODES, len(addresses)))
        hint = {"version": head.version, "root": head.root}
        body = msgspec.json.encode(hint)
        headers = self._auth.headers("POST", HINT_PATH, body)
        deadline = self._clock.monotonic() + REQUEST_SECONDS
        await asyncio.gather(
            *(
                self._client.request(
                    address,
                    "POST",
                    HINT_PATH,
                    body=body,
                    headers=headers,
                    deadline=deadline,
                )
                for address in chosen
            )
        )

    async def find_object(self, digest: str) -> bytes | None:
        """Fetch an object of the version in force from one of a few nodes."""
        addresses = sorted(set(await self._addresses()))
        path = OBJECT_PATH + digest
        headers = self._auth.headers("GET", path, b"")
        for address in self._rng.sample(
            addresses, min(N_OBJECT_SOURCES, len(addresses))
        ):
            deadline = self._clock.monotonic() + REQUEST_SECONDS
            outcome = await self._client.request(
                address, "GET", path, headers=headers, deadline=deadline
            )
            if isinstance(outcome, Ok) and outcome.ok_value.status == 200:
                return outcome.ok_value.body
        return None

    async def _fetch_status(self, address: Address) -> NodeStatus:
        headers = self._auth.headers("GET", STATUS_PATH, b"")
        deadline = self._clock.monotonic() + STATUS_SECONDS
        outcome = await self._client.request(
            address, "GET", STATUS_PATH, headers=headers, deadline=deadline
        )
        if not isinstance(outcome, Ok):
            return NodeStatus(address=address, problem=outcome.err_value.reason)
        res = outcome.ok_value
        if res.status != 200:
            return NodeStatus(address=address, problem=f"answered {res.status}")
        try:
            status = msgspec.json.decode(res.body, type=dict[str, Any])
        except (msgspec.MsgspecError, UnicodeError) as exc:
            log_message("console:bad_status", node=str(address), problem=str(exc))
            return NodeStatus(address=address, problem="answered no valid JSON object")
        return NodeStatus(address=address, status=status)
