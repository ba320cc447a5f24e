"""Simulated callers: they send a request, read its events and retry.

Some break their stream off and take it up again at another node.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from result import Err

from bench.fleetload import Arrival, RequestKind
from celerytrail.http.client import HttpClient
from celerytrail.http.network import Network
from celerytrail.types import Address
from standins.modelworker import request_body

N_EVENT_TOKENS = 4
# A caller retries once after a refusal, after the Retry-After delay if that is at most
# a third of its timeout.
N_ATTEMPTS = 2
# The same once it has events; it names the last one of them.
N_RESUMPTIONS = 4
# Pause before a broken stream is taken up, in seconds.
RESUME_SECONDS = 0.2
MAX_WAIT_SHARE = 1 / 3
# Tokens of each part between a prompt's first one and its own, and the number of the
# first of these.
N_PART_TOKENS = 16
FIRST_OWN_PART = 0x1000


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
    versions : frozenset of str
        Software versions of the engines that sent the events it got.
    n_resumptions : int
        How often it took its stream up.
    parts : frozenset of str
        Ids of the prompt parts that other requests share.
    node : Address
        Where its first attempt went.
    first_attempt_seconds : float or None
        Time to its first event if the first attempt brought that.
    has_resumed : bool
        Whether one of these brought events.
    """

    kind: RequestKind
    at: float
    outcome: str
    n_events: int
    first_seconds: float = 0.0
    longest_pause: float = 0.0
    seconds: float = 0.0
    versions: frozenset[str] = frozenset()
    n_resumptions: int = 0
    has_resumed: bool = False
    parts: frozenset[str] = frozenset()
    node: Address | None = None
    first_attempt_seconds: float | None = None


def first_part(kind: RequestKind) -> str:
    """Return the id of the first part of a kind's prompts."""
    return f"{len(kind.route_name):x}"


def format_attempt_id(arrival: int, number: int) -> str:
    """Return the id of an attempt of a request."""
    return f"r{arrival}t{number}"


def parse_request_number(attempt_id: str) -> int:
    """Return the number of the request that an attempt belongs to."""
    return int(attempt_id[1:].partition("t")[0])


@dataclass(frozen=True, kw_only=True)
class _Event:
    number: int
    attempt_id: str
    version: str


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
        self._first_at = self._last_at = 0.0
        self._longest_pause = 0.0
        self._events: list[_Event] = []
        self._is_wrong = False
        self._n_resumptions = 0
        self._n_repeats = 0
        self._has_resumed = False
        self._node: Address | None = None
        self._has_begun_at_first = False
        rng = random.Random(f"break {arrival.number}")
        self._breaks_at: int | None = None
        if arrival.kind.resumable and rng.random() < arrival.kind.break_share:
            self._breaks_at = max(1, rng.randrange(arrival.n_events))

    async def send(self, pick: Callable[[], Address]) -> RequestResult:
        """Send the request to a node; retry or resume it at others."""
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        outcome = "failed"
        number = 0
        while True:
            attempt_id = format_attempt_id(self._arrival.number, number)
            client = HttpClient(network=self._network, id_header=None)
            address = pick()
            self._node = self._node or address
            outcome, wait_seconds = await self._attempt(client, address, attempt_id)
            client.close()
            if number == 0:
                self._has_begun_at_first = bool(self._events)
            max_wait_seconds = MAX_WAIT_SHARE * self._arrival.kind.timeout
            number += 1
            if wait_seconds is None or wait_seconds > max_wait_seconds:
                return self._result(outcome)
            if number >= (N_RESUMPTIONS if self._events else N_ATTEMPTS):
                return self._result(outcome)
            await asyncio.sleep(wait_seconds)

    async def _attempt(
        self, client: HttpClient, address: Address, attempt_id: str
    ) -> tuple[str, float | None]:
        """Return the outcome, and after which time to try again; None for never."""
        kind = self._arrival.kind
        deadline = self._started_at + kind.timeout
        is_resumption = bool(self._events)
        self._n_resumptions += is_resumption
        opened = await client.open(
            address,
            "POST",
            f"/{kind.route_name}/1",
            body=request_body(self._arrival.n_events * N_EVENT_TOKENS),
            headers=self._headers(attempt_id),
            deadline=deadline,
            fresh=True,
        )
        if isinstance(opened, Err):
            return "failed", self._repeat_seconds()
        stream = opened.ok_value
        if stream.status != 200:
            await stream.read(deadline)
            if stream.status != 503:
                return "failed", self._repeat_seconds()
            return "refused", float(stream.headers.get("retry-after", 1.0))
        loop = asyncio.get_running_loop()
        buffer = b""
        while True:
            chunk = await stream.next_chunk(deadline)
            if isinstance(chunk, Err):
                if kind.resumable and not kind.is_repeated:
                    return "cut", RESUME_SECONDS
                return "cut", self._repeat_seconds()
            if chunk.ok_value is None:
                break
            *events, buffer = (buffer + chunk.ok_value).split(b"\n\n")
            if events:
                self._record_time(loop.time())
            for event in events:
                self._record_event(event, attempt_id)
                self._has_resumed = self._has_resumed or is_resumption
                if len(self._events) == self._breaks_at:
                    self._breaks_at = None
                    stream.close()
                    return "cut", RESUME_SECONDS
        return self._whole_outcome(), None

    def _repeat_seconds(self) -> float | None:
        """Return after which time a request that failed is repeated, None for never."""
        if not self._arrival.kind.is_repeated or self._n_repeats:
            return None
        self._n_repeats += 1
        return RESUME_SECONDS

    def _whole_outcome(self) -> str:
        kind = self._arrival.kind
        if self._is_wrong or len(self._events) != self._arrival.n_events:
            return "wrong"
        is_late = self._first_seconds > kind.target or self._longest_pause > kind.pause
        return "late" if is_late else "on time"

    def _record_time(self, now: float) -> None:
        if self._first_at:
            self._longest_pause = max(self._longest_pause, now - self._last_at)
        self._first_at = self._first_at or now
        self._last_at = now

    def _record_event(self, raw: bytes, attempt_id: str) -> None:
        """Record an event; a missing, doubled or foreign one makes it all wrong."""
        fields = dict(line.split(": ", 1) for line in raw.decode().split("\n"))
        number = int(fields["id"])
        is_next = number == len(self._events)
        if not is_next or fields["data"] != f"{attempt_id} {number}":
            self._is_wrong = True
        version = fields["sender"].rpartition(" ")[2]
        self._events.append(
            _Event(number=number, attempt_id=attempt_id, version=version)
        )

    @property
    def _first_seconds(self) -> float:
        return self._first_at - self._started_at if self._first_at else 0.0

    def _headers(self, attempt_id: str) -> dict[str, str]:
        arrival = self._arrival
        kind = arrival.kind
        entries = [(first_part(kind), kind.shared)]
        entries += [(part, N_PART_TOKENS) for part in arrival.parts]
        n_own = max(1, arrival.n_prompt - sum(n_tokens for _, n_tokens in entries))
        entries.append((f"{arrival.number + FIRST_OWN_PART:x}", n_own))
        n_max_output = round(kind.events.max * N_EVENT_TOKENS)
        headers = {
            "host": self._host,
            "authorization": f"Bearer {self._key}",
            "x-attempt-id": attempt_id,
            "x-time-budget-ms": str(round(kind.timeout * 1_000)),
            "x-token-count": f"{arrival.n_prompt},{n_max_output}",
            "x-length-hint": str(arrival.n_hinted),
            "x-prompt-prefix": ",".join(f"{part}:{n}" for part, n in entries),
        }
        if self._events:
            headers["last-event-id"] = str(self._events[-1].number)
            headers["resumes"] = self._events[0].attempt_id
        return headers

    def _result(self, outcome: str) -> RequestResult:
        return RequestResult(
            kind=self._arrival.kind,
            at=self._arrival.at,
            outcome=outcome,
            n_events=self._arrival.n_events,
            first_seconds=self._first_seconds,
            longest_pause=self._longest_pause,
            seconds=asyncio.get_running_loop().time() - self._started_at,
            versions=frozenset(event.version for event in self._events),
            n_resumptions=self._n_resumptions,
            has_resumed=self._has_resumed,
            parts=frozenset({first_part(self._arrival.kind), *self._arrival.parts}),
            node=self._node,
            first_attempt_seconds=(
                self._first_seconds if self._has_begun_at_first else None
            ),
        )
