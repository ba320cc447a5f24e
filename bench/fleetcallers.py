"""Simulated callers: they send a request, read its events and retry once."""

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
# A caller retries once after a refusal, after the Retry-After delay if that is at most
# a third of its timeout.
N_ATTEMPTS = 2
MAX_WAIT_SHARE = 1 / 3


@dataclass(frozen=True, kw_only=True)
class RequestResult:
    """Holds the result of one request.

    Parameters
    ----------
    kind : RequestKind
        The kind of request.
    at : float
        Arrival of the request, in seconds from the start of traffic.
    outcome : {"on time", "late", "refused", "failed", "cut", "wrong"}
        ``wrong`` is a complete response with unexpected content.
    n_events : int
        Number of events of the complete response.
    first_seconds, longest_pause, seconds : float
        Time to the first event, longest pause between two events, and time to the end
        of the response, in seconds.
    """

    kind: RequestKind
    at: float
    outcome: str
    n_events: int
    first_seconds: float = 0.0
    longest_pause: float = 0.0
    seconds: float = 0.0


def format_attempt_id(arrival: int, number: int) -> str:
    """Return the id of an attempt of a request."""
    return f"r{arrival}t{number}"


def parse_request_number(attempt_id: str) -> int:
    """Return the number of the request that an attempt belongs to."""
    return int(attempt_id[1:].partition("t")[0])


class Caller:
    """Sends one request and checks its response.

    Parameters
    ----------
    arrival : Arrival
        The request.
    network : Network
        The network that carries the request.
    host, key : str
        Host name of the request, and the caller's API key.
    """

    def __init__(
        self, *, arrival: Arrival, network: Network, host: str, key: str
    ) -> None:
        self._arrival = arrival
        self._network = network
        self._host = host
        self._key = key
        self._started_at = 0.0

    async def send(self, address: Address) -> RequestResult:
        """Send the request to a node; retry once if it is refused."""
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        result = self._result("failed")
        for number in range(N_ATTEMPTS):
            attempt_id = format_attempt_id(self._arrival.number, number)
            client = HttpClient(network=self._network, id_header=None)
            result, wait_seconds = await self._attempt(client, address, attempt_id)
            client.close()
            max_wait_seconds = MAX_WAIT_SHARE * self._arrival.kind.timeout
            if wait_seconds is None or wait_seconds > max_wait_seconds:
                break
            await asyncio.sleep(wait_seconds)
        return result

    async def _attempt(
        self, client: HttpClient, address: Address, attempt_id: str
    ) -> tuple[RequestResult, float | None]:
        kind = self._arrival.kind
        deadline = self._started_at + kind.timeout
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
            return self._result("failed"), None
        stream = opened.ok_value
        if stream.status != 200:
            await stream.read(deadline)
            if stream.status != 503:
                return self._result("failed"), None
            return self._result("refused"), float(
                stream.headers.get("retry-after", 1.0)
            )
        body = bytearray()
        loop = asyncio.get_running_loop()
        first_at = last_at = 0.0
        longest_pause = 0.0
        while True:
            chunk = await stream.next_chunk(deadline)
            if isinstance(chunk, Err):
                return self._result("cut"), None
            if chunk.ok_value is None:
                break
            now = loop.time()
            longest_pause = max(longest_pause, now - last_at) if first_at else 0.0
            first_at = first_at or now
            last_at = now
            body += chunk.ok_value
        first_seconds = first_at - self._started_at
        is_late = first_seconds > kind.target or longest_pause > kind.pause
        outcome = "late" if is_late else "on time"
        if bytes(body) != self._expected_body(attempt_id):
            outcome = "wrong"
        return self._result(outcome, first_seconds, longest_pause), None

    def _expected_body(self, attempt_id: str) -> bytes:
        numbers = range(self._arrival.n_events)
        return b"".join(event(attempt_id, number) for number in numbers)

    def _headers(self, attempt_id: str) -> dict[str, str]:
        arrival = self._arrival
        kind = arrival.kind
        n_own = arrival.n_prompt - kind.shared
        n_max_output = round(kind.events.max * N_EVENT_TOKENS)
        return {
            "host": self._host,
            "authorization": f"Bearer {self._key}",
            "x-attempt-id": attempt_id,
            "x-time-budget-ms": str(round(kind.timeout * 1_000)),
            "x-token-count": f"{arrival.n_prompt},{n_max_output}",
            "x-length-hint": str(arrival.n_hinted),
            "x-prompt-prefix": f"{len(kind.name):x}:{kind.shared},"
            f"{arrival.number + 16:x}:{n_own}",
        }

    def _result(
        self, outcome: str, first_seconds: float = 0.0, longest_pause: float = 0.0
    ) -> RequestResult:
        return RequestResult(
            kind=self._arrival.kind,
            at=self._arrival.at,
            outcome=outcome,
            n_events=self._arrival.n_events,
            first_seconds=first_seconds,
            longest_pause=longest_pause,
            seconds=asyncio.get_running_loop().time() - self._started_at,
        )
