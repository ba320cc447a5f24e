"""Asking the nodes what they have in force and how they fare."""

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
ASK_SECONDS = 2.0
HINT_SECONDS = 1.0
N_PARALLEL = 32
N_HINTED = 4
N_ASKED = 4
MAX_NODES = 1_000

AddressSource = Callable[[], Awaitable[Sequence[Address]]]


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeStatus:
    """What one node answered.

    Parameters
    ----------
    address : Address
        Its peer address.
    status : dict or None
        Its answer; None where it gave none.
    problem : str
        Why there is no answer.
    """

    address: Address
    status: dict[str, Any] | None = None
    problem: str = ""

    @property
    def version(self) -> int | None:
        """Return the version it has in force, where it said so."""
        version = (self.status or {}).get("version")
        return version if isinstance(version, int) else None


class LiveView:
    """Asks every node known to the platform or named in the settings.

    Parameters
    ----------
    client : HttpClient
        Makes the exchanges.
    auth : PeerAuth
        Signs them.
    addresses : callable
        Returns the nodes' peer addresses.
    clock : Clock
        Monotonic time for deadlines.
    rng : random.Random
        Chooses the nodes that get a hint.
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
        """Return what each node says of itself, by address."""
        addresses = sorted(set(await self._addresses()))[:MAX_NODES]
        found: list[NodeStatus] = []
        for start in range(0, len(addresses), N_PARALLEL):
            batch = addresses[start : start + N_PARALLEL]
            found.extend(await asyncio.gather(*(self._ask(one) for one in batch)))
        return found

    async def hint(self, head: Head) -> None:
        """Tell a few nodes of a version that was just accepted.

        It saves the second or two until the first node's poll; nothing depends on it.
        """
        addresses = sorted(set(await self._addresses()))
        chosen = self._rng.sample(addresses, min(N_HINTED, len(addresses)))
        value = {"version": head.version, "root": head.root}
        body = msgspec.json.encode(value)
        headers = self._auth.headers("POST", HINT_PATH, body)
        deadline = self._clock.monotonic() + HINT_SECONDS
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
        """Ask a few nodes for an object of the version they have in force."""
        addresses = sorted(set(await self._addresses()))
        path = OBJECT_PATH + digest
        headers = self._auth.headers("GET", path, b"")
        for address in self._rng.sample(addresses, min(N_ASKED, len(addresses))):
            deadline = self._clock.monotonic() + HINT_SECONDS
            made = await self._client.request(
                address, "GET", path, headers=headers, deadline=deadline
            )
            if isinstance(made, Ok) and made.ok_value.status == 200:
                return made.ok_value.body
        return None

    async def _ask(self, address: Address) -> NodeStatus:
        headers = self._auth.headers("GET", STATUS_PATH, b"")
        deadline = self._clock.monotonic() + ASK_SECONDS
        made = await self._client.request(
            address, "GET", STATUS_PATH, headers=headers, deadline=deadline
        )
        if not isinstance(made, Ok):
            return NodeStatus(address=address, problem=made.err_value.reason)
        res = made.ok_value
        if res.status != 200:
            return NodeStatus(address=address, problem=f"answered {res.status}")
        try:
            status = msgspec.json.decode(res.body, type=dict[str, Any])
        except (msgspec.MsgspecError, UnicodeError) as exc:
            log_message("console:bad_status", node=str(address), problem=str(exc))
            return NodeStatus(address=address, problem="answered no valid JSON object")
        return NodeStatus(address=address, status=status)
