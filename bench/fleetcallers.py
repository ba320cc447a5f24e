"""Callers of a fleet: they ask, read the events as they come, and come back once."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from result import Err

from bench.fleetload import Arrival, RequestKind
from celerytrail.http.client import HttpClient
from celerytrail.http.network import Network
from celerytrail.types import Address
from standins.modelworker import event, request_body

N_EVENT_TOKENS = 4
# A caller comes back once after a refusal, as it is told, within a third of its time.
N_TRIES = 2
PATIENCE_SHARE = 1 / 3


@dataclass(frozen=True, kw_only=True)
class Ending:
    """What became of a request.

    Parameters
    ----------
    kind : RequestKind
        What it was.
    at : float
        When it came, in seconds from the start of traffic.
    outcome : {"on time", "late", "refused", "failed", "cut", "wrong"}
        ``wrong`` is an answer that is whole, but not the right one.
    n_events : int
        Events of its whole answer.
    first_seconds, longest_pause, seconds : float
        Until the first event, between two events at most, and until its end.
    """

    kind: RequestKind
    at: float
    outcome: str
    n_events: int
    first_seconds: float = 0.0
    longest_pause: float = 0.0
    seconds: float = 0.0


def name_attempt(arrival: int, number: int) -> str:
    """Return the id of one attempt of a request."""
    return f"r{arrival}t{number}"


def arrival_number(attempt_id: str) -> int:
    """Return which request an attempt belongs to."""
    return int(attempt_id[1:].partition("t")[0])


class Caller:
    """One caller with one request.

    Parameters
    ----------
    arrival : Arrival
        The request.
    network : Network
        What carries it.
    host, key : str
        The host name that it asks for, and its API key.
    """

    def __init__(
        self, *, arrival: Arrival, network: Network, host: str, key: str
    ) -> None:
        self._arrival = arrival
        self._network = network
        self._host = host
        self._key = key
        self._began_at = 0.0

    async def ask(self, address: Address) -> Ending:
        """Ask a node; come back once if it refuses."""
        loop = asyncio.get_running_loop()
        self._began_at = loop.time()
        ending = self._end("failed")
        for number in range(N_TRIES):
            attempt_id = name_attempt(self._arrival.number, number)
            client = HttpClient(network=self._network, id_header=None)
            ending, wait_seconds = await self._try(client, address, attempt_id)
            client.close()
            longest = PATIENCE_SHARE * self._arrival.kind.timeout
            if wait_seconds is None or wait_seconds > longest:
                break
            await asyncio.sleep(wait_seconds)
        return ending

    async def _try(
        self, client: HttpClient, address: Address, attempt_id: str
    ) -> tuple[Ending, float | None]:
        kind = self._arrival.kind
        deadline = self._began_at + kind.timeout
        opened = await client.open(
            address,
            "POST",
            f"/{kind.name}/1",
            body=request_body(self._arrival.n_events * N_EVENT_TOKENS),
            headers=self._headers(attempt_id),
            deadline=deadline,
            fresh=True,
        )
        if isinstance(opened, Err):
            return self._end("failed"), None
        stream = opened.ok_value
        if stream.status != 200:
            await stream.read(deadline)
            if stream.status != 503:
                return self._end("failed"), None
            return self._end("refused"), float(stream.headers.get("retry-after", 1.0))
        body = bytearray()
        loop = asyncio.get_running_loop()
        first_at = last_at = 0.0
        longest = 0.0
        while True:
            piece = await stream.next_chunk(deadline)
            if isinstance(piece, Err):
                return self._end("cut"), None
            if piece.ok_value is None:
                break
            now = loop.time()
            longest = max(longest, now - last_at) if first_at else 0.0
            first_at = first_at or now
            last_at = now
            body += piece.ok_value
        first_seconds = first_at - self._began_at
        is_late = first_seconds > kind.target or longest > kind.pause
        outcome = "late" if is_late else "on time"
        if bytes(body) != self._right_answer(attempt_id):
            outcome = "wrong"
        return self._end(outcome, first_seconds, longest), None

    def _right_answer(self, attempt_id: str) -> bytes:
        numbers = range(self._arrival.n_events)
        return b"".join(event(attempt_id, number) for number in numbers)

    def _headers(self, attempt_id: str) -> dict[str, str]:
        arrival = self._arrival
        kind = arrival.kind
        own = arrival.n_prompt - kind.shared
        n_most = round(kind.events.max * N_EVENT_TOKENS)
        return {
            "host": self._host,
            "authorization": f"Bearer {self._key}",
            "x-attempt-id": attempt_id,
            "x-time-budget-ms": str(round(kind.timeout * 1_000)),
            "x-token-count": f"{arrival.n_prompt},{n_most}",
            "x-length-hint": str(arrival.n_hinted),
            "x-prompt-prefix": f"{len(kind.name):x}:{kind.shared},"
            f"{arrival.number + 16:x}:{own}",
        }

    def _end(self, outcome: str, first: float = 0.0, pause: float = 0.0) -> Ending:
        return Ending(
            kind=self._arrival.kind,
            at=self._arrival.at,
            outcome=outcome,
            n_events=self._arrival.n_events,
            first_seconds=first,
            longest_pause=pause,
            seconds=asyncio.get_running_loop().time() - self._began_at,
        )
