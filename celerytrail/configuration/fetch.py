"""Fetching of the configuration's objects, from peers first, else the platform."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..http.client import HttpClient
from ..http.messages import Request
from ..metrics import Metrics
from ..platform.objects import ObjectStore
from ..types import Address, Finding
from .records import object_name
from .sections import digest_of

OBJECT_PATH = "/peer/v1/objects/"
PEER_TIMEOUT_SECONDS = 1.0
OBJECT_STORE_TIMEOUT_SECONDS = 2.0
N_RANDOM_PEERS = 3


class PeerAuth(Protocol):
    """Signs requests to peers and verifies theirs; ``nodes.PeerKeys`` implements it."""

    def headers(self, method: str, path: str, body: bytes) -> dict[str, str]:
        """Return the headers that sign a request."""

    def accepts(self, req: Request) -> bool:
        """Return whether a request is signed by a peer."""


class ObjectFetcher:
    """Fetches objects by digest from peers or the platform, and verifies them.

    Peers known to hold an object are tried before the platform: 330 nodes that fetch
    three objects per change within one second would use half of the platform's reads.

    Parameters
    ----------
    objects : ObjectStore
        The platform's object store.
    client : HttpClient
        Sends the requests to peers.
    auth : PeerAuth
        Signs them.
    peers : callable
        Returns the peer addresses of the other live nodes.
    clock : Clock
        Monotonic time for deadlines.
    rng : random.Random
        Samples peers.
    metrics : Metrics
        Counts damaged objects.
    """

    def __init__(
        self,
        *,
        objects: ObjectStore,
        client: HttpClient,
        auth: PeerAuth,
        peers: Callable[[], Sequence[Address]],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._objects = objects
        self._client = client
        self._auth = auth
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self.n_bytes_by_source: dict[str, int] = {"peer": 0, "platform": 0}

    async def get(
        self, digest: str, holders: Iterable[Address] = ()
    ) -> Result[bytes, Finding]:
        """Return an object.

        Parameters
        ----------
        digest : str
            SHA-256 of the object, in hex.
        holders : iterable of Address
            Peers that report the version it belongs to; tried first.
        """
        tried = list(holders)
        for address in tried:
            data = await self._get_from_peer(address, digest)
            if data is not None:
                return Ok(data)
        data = await self._get_from_platform(digest)
        if data is not None:
            return Ok(data)
        for address in self.sample_peers():
            if address not in tried:
                data = await self._get_from_peer(address, digest)
                if data is not None:
                    return Ok(data)
        problem = "neither the peers asked nor the platform gave it"
        return Err(Finding(place=f"object {digest}", problem=problem))

    def sample_peers(self) -> list[Address]:
        """Return up to `N_RANDOM_PEERS` peers, sampled at each call."""
        peers = list(self._peers())
        return self._rng.sample(peers, min(N_RANDOM_PEERS, len(peers)))

    async def request_peer(self, address: Address, path: str) -> bytes | None:
        """Send a signed GET to a peer; return the body of a 200 answer, else None."""
        headers: Mapping[str, str] = self._auth.headers("GET", path, b"")
        deadline = self._clock.monotonic() + PEER_TIMEOUT_SECONDS
        answer = await self._client.request(
            address, "GET", path, headers=headers, deadline=deadline
        )
        match answer:
            case Ok(res) if res.status == 200:
                return res.body
        return None

    async def _get_from_peer(self, address: Address, digest: str) -> bytes | None:
        data = await self.request_peer(address, OBJECT_PATH + digest)
        if data is None or not self._is_genuine(data, digest, str(address)):
            return None
        self.n_bytes_by_source["peer"] += len(data)
        return data

    async def _get_from_platform(self, digest: str) -> bytes | None:
        deadline = self._clock.monotonic() + OBJECT_STORE_TIMEOUT_SECONDS
        read = await self._objects.get(object_name(digest), deadline)
        data = read.ok_value if isinstance(read, Ok) else None
        if data is None or not self._is_genuine(data, digest, "platform"):
            return None
        self.n_bytes_by_source["platform"] += len(data)
        return data

    def _is_genuine(self, data: bytes, digest: str, source: str) -> bool:
        """Return whether an object matches its digest; report it if not."""
        if digest_of(data) == digest:
            return True
        log_message("configuration:bad_object", digest=digest, source=source)
        self._metrics.count("bad_input", peer="configuration", problem="digest")
        return False
